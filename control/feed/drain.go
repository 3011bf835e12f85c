package feed

import "time"

// DrainLimit says for how much longer statements may be started at a draining instance. It belongs to an answer, not to a table: it
// shrinks while the table stays the same.
type DrainLimit struct {
	InstanceID string
	Left       time.Duration // counted from the moment at which the question was sent, at the earliest
}

// DrainDeadlines holds, for the draining instances that a gateway knows of, until when it may start statements there, by its own
// monotonic clock.
//
// An acknowledged drain binds all gateways. A gateway that doesn't know of it yet works under a lease from before the drain, and a lease
// is far shorter than the time limit of a drain. A gateway that knows of it keeps to the deadline by itself: no freeze and no later
// table needs to reach it.
type DrainDeadlines struct {
	until map[string]time.Duration // by instance id
}

// NewDrainDeadlines returns deadlines without any draining instance.
func NewDrainDeadlines() *DrainDeadlines { return &DrainDeadlines{until: map[string]time.Duration{}} }

// Update applies the limits of an answer to a request that was sent at sentAt. They were computed after that moment, so a deadline
// counted from it may be too early, but never too late. Hence the latest of several deadlines for a drain holds: a controller
// that has just taken over doesn't know how old a drain is, and gives it no time at all.
func (d *DrainDeadlines) Update(sentAt time.Duration, limits []DrainLimit) {
	next := make(map[string]time.Duration, len(limits))
	for _, limit := range limits {
		next[limit.InstanceID] = max(sentAt+limit.Left, d.until[limit.InstanceID])
	}
	d.until = next
}

// MayBegin tells whether a statement may be started at the instance now. Nothing is started at a draining instance without a known limit.
func (d *DrainDeadlines) MayBegin(now time.Duration, instance Instance) bool {
	return !instance.Draining || now < d.until[instance.ID]
}

// Overdue returns by how much the deadline of a draining instance has passed; zero or less means that it hasn't.
func (d *DrainDeadlines) Overdue(now time.Duration, instance Instance) time.Duration {
	if !instance.Draining {
		return 0
	}
	return now - d.until[instance.ID]
}
