package host

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"eiderway/control/controller"
	"eiderway/control/failover"
	"eiderway/control/feed"
	"eiderway/control/invariant"
)

// Time between ticks. Timing decisions of the controller are tens of milliseconds apart when it leads or has work under
// way; a backup at rest only watches for silence, which takes hundreds. Each wake-up is paid for.
const (
	tickWorking = 25 * time.Millisecond
	tickResting = 50 * time.Millisecond
	// statusEvery is between two looks at how the controller stands, where its figures are served.
	statusEvery = time.Second
)

// stepper is the state machine that decides.
type stepper interface {
	Step(now time.Duration, input controller.Input) controller.Effects
}

// loop owns the controller. Only its goroutine steps it, and nothing it does there waits for a socket or the disk.
type loop struct {
	controller stepper
	leads      func() bool // whether the controller is primary
	tell       func() controller.Status
	status     atomic.Pointer[controller.Status] // at the last look; for others than the loop
	statusDue  time.Duration
	inbox      *mailbox
	disk       *diskWriter
	outbox     *outbox
	replies    *pending[controller.Reply]
	watches    *pending[feed.WatchAnswer]
	probe      func(failover.Probe)                   // does not wait
	call       func(failover.PlatformCall, time.Time) // does not wait; the time is from before the step that asked for it
	log        logrus.FieldLogger
	counters   *counters
	counterLog counterLog
	started    time.Time
	mayEnd     bool
}

// now is the steady time of this process.
func (l *loop) now() time.Duration { return time.Since(l.started) }

// run steps the controller until the context ends or the controller says that it may end.
func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(tickWorking)
	defer timer.Stop()
	due := l.now() + tickWorking
	var spare []controller.Input
	for !l.mayEnd {
		fired := false
		select {
		case <-ctx.Done():
			return
		case <-l.inbox.ready:
			spare = l.drain(spare)
		case <-timer.C:
			fired = true
		}
		if fired || l.now() >= due {
			l.tick()
			pause := l.pause()
			due = l.now() + pause
			timer.Reset(pause)
		}
	}
}

// drain steps the controller with all that waits, and returns the emptied slice for use as the next spare one.
func (l *loop) drain(spare []controller.Input) []controller.Input {
	inputs := l.inbox.take(spare)
	for index, input := range inputs {
		l.step(input)
		inputs[index] = nil
	}
	return inputs
}

func (l *loop) tick() {
	l.step(controller.Tick{})
	l.counterLog.tick(l.now())
	l.look(l.now())
}

// look notes now and then how the controller stands, if anybody wants to know.
func (l *loop) look(now time.Duration) {
	if l.tell == nil || now < l.statusDue {
		return
	}
	l.statusDue = now + statusEvery
	status := l.tell()
	l.status.Store(&status)
}

func (l *loop) pause() time.Duration {
	if l.leads() || !l.disk.idle() || !l.replies.empty() || !l.watches.empty() {
		return tickWorking
	}
	return tickResting
}

func (l *loop) step(input controller.Input) {
	switch ended := input.(type) {
	case controller.Persisted:
		l.outbox.persisted(ended.Write)
	case controller.DiskFailed:
		l.outbox.failed(ended.Write)
		l.disk.failureTaken()
	}
	l.counters.steps.Add(1)
	began := time.Now()
	l.carryOut(began, l.controller.Step(began.Sub(l.started), input))
}

// carryOut starts all that the controller wants, in the order of the effects. The step that brought them began at the
// time given.
func (l *loop) carryOut(began time.Time, effects controller.Effects) {
	l.disk.enqueue(effects.Writes)
	l.outbox.add(effects.Send)
	for _, reply := range effects.Replies {
		l.count(l.replies.finish(reply.Call, reply))
	}
	for _, reply := range effects.WatchReplies {
		l.count(l.watches.finish(reply.Call, reply.Answer))
	}
	for _, probe := range effects.Probes {
		l.probe(probe)
	}
	for _, call := range effects.PlatformCalls {
		l.call(call, began)
	}
	for _, event := range effects.Events {
		l.note(event)
	}
	l.mayEnd = l.mayEnd || effects.CanExit
}

func (l *loop) note(event controller.Event) {
	if event.What == invariant.Broken {
		l.log.Error(event.What + ": " + event.Text)
		return
	}
	l.log.Info(event.What + ": " + event.Text)
}

func (l *loop) count(wanted bool) {
	if !wanted {
		l.counters.lateReplies.Add(1)
	}
}
