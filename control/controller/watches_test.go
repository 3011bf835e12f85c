package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/feed"
)

// leading is a world of three whose first primary is in office.
func leading(t *testing.T) (*world, *machine) {
	w := newWorld(1, 3, 1, disabledGuards{})
	if !w.until(patience, func() bool { return w.primary() != nil }) {
		t.Fatal("nobody leads")
	}
	return w, w.primary()
}

// ask hands in a gateway's question, whose answer the world counts.
func (w *world) askDirectly(to *machine, number CallID, wait time.Duration) *watching {
	request := feed.WatchRequest{Gateway: "g#1", Name: "g", Wait: wait, Applied: to.controller.term.table.version}
	asked := &watching{gateway: &gateway{name: "g"}, request: request}
	w.watchings()[number] = asked
	w.give(to, Watch{Call: number, Request: request})
	return asked
}

// A gateway that has gone while its question waits, for news or for a confirmation, gets no answer and no lease.
func TestAbandonedWatchGetsNoLease(t *testing.T) {
	for _, wait := range []time.Duration{0, 500 * time.Millisecond} {
		is := is.New(t)
		w, a := leading(t)
		asked := w.askDirectly(a, 1<<30, wait)
		w.give(a, Abandon{Call: 1 << 30})
		w.run(time.Second)
		is.Equal(asked.replies, 0)
		is.Equal(len(a.controller.term.leases.gateways), 0)
	}
}

// A later question of a gateway ends its earlier one; each is answered once, and the later one brings the lease.
func TestLaterWatchOvertakes(t *testing.T) {
	is := is.New(t)
	w, a := leading(t)
	first := w.askDirectly(a, 1<<30, 500*time.Millisecond)
	second := w.askDirectly(a, 1<<30+1, 500*time.Millisecond)
	is.Equal(first.replies, 1)
	is.Equal(len(a.controller.term.leases.gateways), 0)
	w.run(time.Second)
	is.Equal(first.replies, 1)
	is.Equal(second.replies, 1)
	is.Equal(len(a.controller.term.leases.gateways), 1)
}

// A gateway that works by a table of a later epoch shows that this primary is deposed: it is sent away at once.
func TestWatchOfALaterEpochIsRefused(t *testing.T) {
	is := is.New(t)
	w, a := leading(t)
	later := feed.Version{Epoch: a.controller.term.epoch + 1, Sequence: 1}
	request := feed.WatchRequest{Gateway: "g#1", Name: "g", Wait: 500 * time.Millisecond, Applied: later}
	effects := a.controller.Step(w.now, Watch{Call: 1 << 30, Request: request})
	is.Equal(len(effects.WatchReplies), 1)
	is.True(effects.WatchReplies[0].Answer.NotPrimary)
	is.Equal(effects.WatchReplies[0].Answer.Lease, time.Duration(0))
}
