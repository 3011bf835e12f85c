package testinstance

import (
	"context"
	"time"
)

// idle is how long an instance waits for a change when nothing is due.
const idle = time.Hour

// follow keeps a replica up to date and makes an old primary step down, until the instance ends.
func (i *Instance) follow(ctx context.Context) {
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

// advance does what is due, and tells how long it is to what comes next. The lock is held.
func (i *Instance) advance(now time.Time) time.Duration {
	if i.isFrozen {
		return idle
	}
	if i.primary {
		return i.meetNewPrimary(now)
	}
	source := i.source()
	if source == nil || i.paused && source.term <= i.term {
		return idle
	}
	i.paused = false // the promote ends it
	if source.term > i.term {
		i.enter(source, now)
	}
	return i.receive(source, now)
}

// source is the primary that a replica receives from: of those that it can reach, the one of the highest term.
func (i *Instance) source() *Instance {
	var found *Instance
	for _, other := range i.service.instances {
		follows := other != i && other.primary && other.term >= i.term && i.service.reaches(i, other)
		if follows && (found == nil || other.term > found.term) {
			found = other
		}
	}
	return found
}

// enter begins to follow the primary of a new term: what it doesn't have is cut back.
func (i *Instance) enter(source *Instance, now time.Time) {
	i.term = source.term
	i.termHeld = max(i.termHeld, source.term)
	shared := i.log.common(source.log)
	if shared == len(i.log) {
		return
	}
	i.service.note("%s is cut back by %d", i.id, len(i.log)-shared)
	i.log = i.log[:shared:shared]
	i.busyUntil = now.Add(i.service.settings.CutBackTime)
}

// receive takes what has had the time to arrive.
func (i *Instance) receive(source *Instance, now time.Time) time.Duration {
	delay := i.service.settings.Delay
	had := len(i.log)
	arrived := had
	due := idle
	for _, entry := range source.log[min(had, len(source.log)):] {
		if wait := entry.At.Add(delay).Sub(now); wait > 0 {
			due = wait
			break
		}
		arrived++
	}
	if arrived > had {
		i.log = source.log[:arrived:arrived]
		i.service.announce()
	}
	return due
}

// meetNewPrimary makes an old primary step down some time after it could reach the new one first.
func (i *Instance) meetNewPrimary(now time.Time) time.Duration {
	leader := i.service.leader
	if leader == i || !i.service.reaches(i, leader) {
		return idle
	}
	if i.metNewAt.IsZero() {
		i.metNewAt = now
	}
	left := i.metNewAt.Add(i.service.settings.StepDownDelay).Sub(now)
	if left > 0 {
		return left
	}
	i.stepDown(leader.term)
	return 0
}

// write adds a commit to the log of a primary. The lock is held.
func (i *Instance) write(id string, writes []Write) Entry {
	entry := Entry{ID: id, Instance: i.id, Writes: writes, At: time.Now()}
	entry.Position.Term = i.term
	entry.Position.Number = uint64(len(i.log) + 1)
	i.log = append(i.log[:len(i.log):len(i.log)], entry)
	i.service.announce()
	return entry
}

// received tells whether enough replicas hold an entry. The lock is held.
func (s *Service) received(entry Entry) bool {
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

// awaitReplica waits until a commit may be answered. It tells false if this primary can't get it to a replica any more.
func (i *Instance) awaitReplica(ctx context.Context, entry Entry) bool {
	for {
		i.service.mutex.Lock()
		done := i.service.received(entry)
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
