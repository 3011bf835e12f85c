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

func TestLoopEndsWhenTheControllerMay(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{held: true, answer: func(input controller.Input) controller.Effects {
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
	is.True(r.loop.mayEnd)
}

func TestTicksAreRarerAtRest(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{held: true})
	is.Equal(r.loop.pause(), tickResting)
	call := r.front.numbers.next()
	r.loop.replies.open(call)
	is.Equal(r.loop.pause(), tickWorking)
	r.loop.replies.drop(call)
	is.Equal(r.loop.pause(), tickResting)
	r.loop.leads = func() bool { return true }
	is.Equal(r.loop.pause(), tickWorking)
}

func TestCountersAreLoggedOnlyWhenTheyChanged(t *testing.T) {
	is := is.New(t)
	logger, lines := test.NewNullLogger()
	counters := &counters{}
	counterLog := counterLog{counters: counters, log: logger}
	counterLog.tick(0)
	is.Equal(len(lines.AllEntries()), 0) // nothing has happened
	counters.orders.Add(2)
	counters.steps.Add(9)
	counterLog.tick(countersEvery - time.Millisecond)
	is.Equal(len(lines.AllEntries()), 0) // not due
	counterLog.tick(countersEvery)
	is.Equal(lines.LastEntry().Data, logrus.Fields{"orders": uint64(2), "steps": uint64(9)})
	counters.steps.Add(9)
	counterLog.tick(2 * countersEvery)
	is.Equal(len(lines.AllEntries()), 1)
}

// clocked notes when it was stepped, and wants a platform call.
type clocked struct{ stepped time.Time }

func (c *clocked) Step(time.Duration, controller.Input) controller.Effects {
	c.stepped = time.Now()
	return controller.Effects{PlatformCalls: []failover.PlatformCall{{Number: 1}}}
}

// TestAgeOfACallCountsFromBeforeItsStep: a process that stood still during a step must not send the call of that step as
// if it were new.
func TestAgeOfACallCountsFromBeforeItsStep(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{held: true})
	decides := &clocked{}
	r.loop.controller = decides
	var asked time.Time
	r.loop.call = func(_ failover.PlatformCall, at time.Time) { asked = at }
	r.loop.step(controller.Tick{})
	is.True(!asked.IsZero())
	is.True(!asked.After(decides.stepped))
}
