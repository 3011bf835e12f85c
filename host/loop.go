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

// Time between ticks. Timing decisions of the controller are tens of milliseconds apart while it is primary or has work in progress; an idle
// backup only detects silence, which takes hundreds. Each wake-up costs processor time.
const (
	tickActive = 25 * time.Millisecond
	tickIdle   = 50 * time.Millisecond
	// statusInterval is the time between two readings of the controller's status, where metrics are exposed.
	statusInterval = time.Second
)

// stateMachine is the controller, which makes all decisions.
type stateMachine interface {
	Step(now time.Duration, input controller.Input) controller.Effects
}

// loop owns the controller. Only its goroutine steps the controller, and it never waits for a socket or the disk.
type loop struct {
	controller        stateMachine
	isPrimary         func() bool
	readStatus        func() controller.Status          // nil: the status is not exposed
	status            atomic.Pointer[controller.Status] // as last read; for other goroutines
	statusDue         time.Duration
	inbox             *mailbox
	disk              *diskWriter
	outbox            *outbox
	replies           *pending[controller.Reply]
	watches           *pending[feed.WatchAnswer]
	cancelProbe       func(number uint64)                    // does not block
	startProbe        func(failover.Probe)                   // does not block
	startPlatformCall func(failover.PlatformCall, time.Time) // does not block; the time is from before the step that asked for the call
	log               logrus.FieldLogger
	counters          *counters
	counterLog        counterLog
	started           time.Time
	canExit           bool
}

// now returns the monotonic time since the start of the process.
func (l *loop) now() time.Duration { return time.Since(l.started) }

// run steps the controller until the context ends or the controller reports that it can exit.
func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(tickActive)
	defer timer.Stop()
	due := l.now() + tickActive
	var spare []controller.Input
	for !l.canExit {
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
			pause := l.tickInterval()
			due = l.now() + pause
			timer.Reset(pause)
		}
	}
}

// drain steps the controller with all inputs in the mailbox, and returns the emptied slice for use as the next spare one.
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
	l.updateStatus(l.now())
}

// updateStatus reads the controller's status once in each statusInterval, if it is exposed.
func (l *loop) updateStatus(now time.Duration) {
	if l.readStatus == nil || now < l.statusDue {
		return
	}
	l.statusDue = now + statusInterval
	status := l.readStatus()
	l.status.Store(&status)
}

func (l *loop) tickInterval() time.Duration {
	if l.isPrimary() || !l.disk.isIdle() || !l.replies.empty() || !l.watches.empty() {
		return tickActive
	}
	return tickIdle
}

func (l *loop) step(input controller.Input) {
	switch ended := input.(type) {
	case controller.Persisted:
		l.outbox.persisted(ended.Write)
	case controller.DiskFailed:
		l.outbox.failed(ended.Write)
		l.disk.acknowledgeFailure()
	}
	l.counters.steps.Add(1)
	startedAt := time.Now()
	l.apply(startedAt, l.controller.Step(startedAt.Sub(l.started), input))
}

// apply carries out the effects of a step that began at startedAt, in the order of the fields of controller.Effects.
func (l *loop) apply(startedAt time.Time, effects controller.Effects) {
	l.disk.enqueue(effects.Writes)
	l.outbox.add(effects.Send)
	for _, reply := range effects.Replies {
		l.countReply(l.replies.finish(reply.Call, reply))
	}
	for _, reply := range effects.WatchReplies {
		l.countReply(l.watches.finish(reply.Call, reply.Answer))
	}
	for _, number := range effects.CancelledProbes {
		l.cancelProbe(number)
	}
	for _, probe := range effects.Probes {
		l.startProbe(probe)
	}
	for _, call := range effects.PlatformCalls {
		l.startPlatformCall(call, startedAt)
	}
	for _, event := range effects.Events {
		l.logEvent(event)
	}
	l.canExit = l.canExit || effects.CanExit
}

func (l *loop) logEvent(event controller.Event) {
	if event.What == invariant.Broken {
		l.log.Error(event.What + ": " + event.Text)
		return
	}
	l.log.Info(event.What + ": " + event.Text)
}

func (l *loop) countReply(wanted bool) {
	if !wanted {
		l.counters.lateReplies.Add(1)
	}
}
