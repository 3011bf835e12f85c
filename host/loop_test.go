package host

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"eiderway/control/controller"
	"eiderway/control/failover"
)

func TestLoopEndsWhenControllerCanExit(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{withoutLoop: true, answer: func(input controller.Input) controller.Effects {
		_, asked := input.(controller.Terminate)
		return controller.Effects{CanExit: asked}
	}})
	ended := make(chan struct{})
	go func() {
		r.loop.run(t.Context())
		close(ended)
	}()
	receive(t, r.controller.ticks) // time passes without any input
	receive(t, r.controller.ticks)
	r.loop.inbox.post(controller.Terminate{})
	receive(t, ended)
	is.True(r.loop.canExit)
}

func TestTicksAreRarerWhenIdle(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{withoutLoop: true})
	is.Equal(r.loop.tickInterval(), tickIdle)
	call := r.handler.ids.next()
	r.loop.replies.open(call)
	is.Equal(r.loop.tickInterval(), tickActive)
	r.loop.replies.drop(call)
	is.Equal(r.loop.tickInterval(), tickIdle)
	r.loop.isPrimary = func() bool { return true }
	is.Equal(r.loop.tickInterval(), tickActive)
}

func TestCountersAreLoggedOnlyWhenChanged(t *testing.T) {
	is := is.New(t)
	logger, lines := test.NewNullLogger()
	counters := &counters{}
	counterLog := counterLog{counters: counters, log: logger}
	counterLog.tick(0)
	is.Equal(len(lines.AllEntries()), 0) // nothing has happened
	counters.orders.Add(2)
	counters.steps.Add(9)
	counterLog.tick(counterLogInterval - time.Millisecond)
	is.Equal(len(lines.AllEntries()), 0) // not due
	counterLog.tick(counterLogInterval)
	is.Equal(lines.LastEntry().Data, logrus.Fields{"orders": uint64(2), "steps": uint64(9)})
	counters.steps.Add(9)
	counterLog.tick(2 * counterLogInterval)
	is.Equal(len(lines.AllEntries()), 1)
}

// clockedController records when it was stepped, and requests a platform call.
type clockedController struct{ stepped time.Time }

func (c *clockedController) Step(time.Duration, controller.Input) controller.Effects {
	c.stepped = time.Now()
	return controller.Effects{PlatformCalls: []failover.PlatformCall{{Number: 1}}}
}

// A process that was frozen during a step must not send the platform call of that step as if it were new.
func TestPlatformCallAgeCountsFromBeforeItsStep(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{withoutLoop: true})
	machine := &clockedController{}
	r.loop.controller = machine
	var asked time.Time
	r.loop.startPlatformCall = func(_ failover.PlatformCall, at time.Time) { asked = at }
	r.loop.step(controller.Tick{})
	is.True(!asked.IsZero())
	is.True(!asked.After(machine.stepped))
}
