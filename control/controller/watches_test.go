package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/feed"
)

// newDeploymentWithPrimary returns a deployment of three controllers and its first primary.
func newDeploymentWithPrimary(t *testing.T) (*deployment, *machine) {
	d := newDeployment(1, 3, 1, disabledGuards{})
	if !d.runUntil(maxWait, func() bool { return d.primary() != nil }) {
		t.Fatal("no controller became primary")
	}
	return d, d.primary()
}

// sendWatch passes a gateway's request to a controller directly, and returns its record.
func (d *deployment) sendWatch(to *machine, id CallID, wait time.Duration) *watchRecord {
	request := feed.WatchRequest{Gateway: "g#1", Name: "g", Wait: wait, Applied: to.controller.term.table.version}
	record := &watchRecord{gateway: &gateway{name: "g"}, request: request}
	d.watchRecords()[id] = record
	d.deliver(to, Watch{Call: id, Request: request})
	return record
}

// A gateway that has gone while its request waits for a newer table or for a confirmation gets no answer and no lease.
func TestAbandonedWatchGetsNoLease(t *testing.T) {
	for _, wait := range []time.Duration{0, 500 * time.Millisecond} {
		is := is.New(t)
		d, a := newDeploymentWithPrimary(t)
		record := d.sendWatch(a, 1<<30, wait)
		d.deliver(a, Abandon{Call: 1 << 30})
		d.run(time.Second)
		is.Equal(record.replies, 0)
		is.Equal(len(a.controller.term.leases.gateways), 0)
	}
}

// A later request of a gateway supersedes its earlier one. Each is answered once, and only the later one gets a lease.
func TestLaterWatchSupersedesEarlier(t *testing.T) {
	is := is.New(t)
	d, a := newDeploymentWithPrimary(t)
	first := d.sendWatch(a, 1<<30, 500*time.Millisecond)
	second := d.sendWatch(a, 1<<30+1, 500*time.Millisecond)
	is.Equal(first.replies, 1)
	is.Equal(len(a.controller.term.leases.gateways), 0)
	d.run(time.Second)
	is.Equal(first.replies, 1)
	is.Equal(second.replies, 1)
	is.Equal(len(a.controller.term.leases.gateways), 1)
}

// A gateway that works by a table of a later epoch shows that this primary is deposed, so its request is refused at once.
func TestWatchOfALaterEpochIsRefused(t *testing.T) {
	is := is.New(t)
	d, a := newDeploymentWithPrimary(t)
	later := feed.Version{Epoch: a.controller.term.epoch + 1, Sequence: 1}
	request := feed.WatchRequest{Gateway: "g#1", Name: "g", Wait: 500 * time.Millisecond, Applied: later}
	effects := a.controller.Step(d.now, Watch{Call: 1 << 30, Request: request})
	is.Equal(len(effects.WatchReplies), 1)
	is.True(effects.WatchReplies[0].Answer.NotPrimary)
	is.Equal(effects.WatchReplies[0].Answer.Lease, time.Duration(0))
}
