package feed

import "time"

// DrainLimit says how long statements may yet be begun at an instance that drains. It belongs to an answer, not to a table: it
// shrinks while the table stays the same.
type DrainLimit struct {
	InstanceID string
	Left       time.Duration // counted from the moment at which the question was sent, at the earliest
}

// DrainDeadlines is what a gateway knows of instances that drain: until when it may begin statements there, by its own steady clock.
//
// An acknowledged drain binds all gateways. One that hasn't heard of it yet works under a lease that it got before, and a lease is
// far shorter than the time that a drain leaves. One that has heard of it keeps to the deadline by itself: nothing needs to
// reach it any more, no freeze and no later table.
type DrainDeadlines struct{ until map[string]time.Duration }

// NewDrainDeadlines knows of no instance that drains.
func NewDrainDeadlines() *DrainDeadlines { return &DrainDeadlines{until: map[string]time.Duration{}} }

// Update takes over the limits of an answer to a question that was sent at sentAt. They were counted after that moment, so a deadline
// counted from it is early at most. Of several deadlines for a drain each is early at most, so the latest holds: a controller
// that has just taken over doesn't know how old a drain is, and gives it no time at all.
func (d *DrainDeadlines) Update(sentAt time.Duration, limits []DrainLimit) {
	next := make(map[string]time.Duration, len(limits))
	for _, limit := range limits {
		next[limit.InstanceID] = max(sentAt+limit.Left, d.until[limit.InstanceID])
	}
	d.until = next
}

// MayBegin tells whether a statement may be begun at the instance now. One that drains and of which no limit is known is left alone.
func (d *DrainDeadlines) MayBegin(now time.Duration, instance Instance) bool {
	return !instance.Draining || now < d.until[instance.ID]
}

// Overdue is by how much the deadline of an instance that drains has passed; zero or less: it hasn't.
func (d *DrainDeadlines) Overdue(now time.Duration, instance Instance) time.Duration {
	if !instance.Draining {
		return 0
	}
	return now - d.until[instance.ID]
}
