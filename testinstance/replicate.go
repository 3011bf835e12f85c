package testinstance

import (
	"context"
	"time"
)

// idleWait is how long an instance waits for a notification when nothing is due.
const idleWait = time.Hour

// replicate copies entries from the primary and makes an old primary step down, until the instance stops.
func (i *Instance) replicate(ctx context.Context) {
	for ctx.Err() == nil {
		i.service.mutex.Lock()
		due := i.advance(time.Now())
		changed := i.service.changed
		i.service.mutex.Unlock()
		timer := time.NewTimer(due)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// advance does what is due, and returns the time until something is due again. The lock is held.
func (i *Instance) advance(now time.Time) time.Duration {
	if i.isFrozen {
		return idleWait
	}
	if i.primary {
		return i.yieldToNewPrimary(now)
	}
	source := i.source()
	if source == nil || i.paused && source.term <= i.term {
		return idleWait
	}
	i.paused = false // the promotion of a new primary ends the pause
	if source.term > i.term {
		i.enterTerm(source, now)
	}
	return i.receive(source, now)
}

// source returns the primary that a replica replicates from: of those that it can reach, the one of the highest term.
func (i *Instance) source() *Instance {
	var found *Instance
	for _, other := range i.service.instances {
		follows := other != i && other.primary && other.term >= i.term && i.service.areConnected(i, other)
		if follows && (found == nil || other.term > found.term) {
			found = other
		}
	}
	return found
}

// enterTerm begins to follow the primary of a new term. Entries that this primary lacks are truncated.
func (i *Instance) enterTerm(source *Instance, now time.Time) {
	i.term = source.term
	i.termHeld = max(i.termHeld, source.term)
	shared := i.log.commonLength(source.log)
	if shared == len(i.log) {
		return
	}
	i.service.note("%s is cut back by %d", i.id, len(i.log)-shared)
	i.log = i.log[:shared].clipped()
	i.busyUntil = now.Add(i.service.settings.CutBackTime)
}

// receive appends the source's entries whose replication delay is over, and returns the time until the next one arrives.
func (i *Instance) receive(source *Instance, now time.Time) time.Duration {
	delay := i.service.settings.Delay
	had := len(i.log)
	arrived := had
	due := idleWait
	for _, entry := range source.log[min(had, len(source.log)):] {
		if wait := entry.At.Add(delay).Sub(now); wait > 0 {
			due = wait
			break
		}
		arrived++
	}
	if arrived > had {
		i.log = source.log[:arrived].clipped()
		i.service.notifyChange()
	}
	return due
}

// yieldToNewPrimary makes an old primary step down when the step-down delay is over since it could first reach the new one.
func (i *Instance) yieldToNewPrimary(now time.Time) time.Duration {
	leader := i.service.leader
	if leader == i || !i.service.areConnected(i, leader) {
		return idleWait
	}
	if i.newPrimarySeenAt.IsZero() {
		i.newPrimarySeenAt = now
	}
	left := i.newPrimarySeenAt.Add(i.service.settings.StepDownDelay).Sub(now)
	if left > 0 {
		return left
	}
	i.stepDown(leader.term)
	return 0
}

// appendEntry appends a commit to the log of a primary. The lock is held.
func (i *Instance) appendEntry(id string, writes []Write) Entry {
	entry := Entry{ID: id, Instance: i.id, Writes: writes, At: time.Now()}
	entry.Position.Term = i.term
	entry.Position.Number = uint64(len(i.log) + 1)
	i.log = append(i.log, entry)
	i.service.notifyChange()
	return entry
}

// isReplicated reports whether enough replicas hold an entry. The lock is held.
func (s *Service) isReplicated(entry Entry) bool {
	if s.settings.SyncReplicas == 0 {
		return true
	}
	for _, other := range s.instances {
		if other.id != entry.Instance && other.isRunning && other.log.Holds(entry.Position) {
			return true
		}
	}
	return false
}

// awaitReplication waits until a commit may be answered. It returns false if this instance can't replicate the commit any more.
func (i *Instance) awaitReplication(ctx context.Context, entry Entry) bool {
	for {
		i.service.mutex.Lock()
		done := i.service.isReplicated(entry)
		lost := !i.isRunning || !i.primary || !i.log.Holds(entry.Position)
		changed := i.service.changed
		i.service.mutex.Unlock()
		if done || lost {
			return done && !lost
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}
