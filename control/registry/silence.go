package registry

import (
	"time"

	"eiderway/control/state"
)

// checksPerLoss is how often within lostAfter the instances are looked at while some of them are silent.
const checksPerLoss = 4

// stillstandsPerLoss is the part of lostAfter for which nothing may reach the registry without doubt that the instances
// were silent. Expire must be called clearly more often than that.
const stillstandsPerLoss = 2

// silence measures how long instances were silent, and spares looking at them before one can be lost.
type silence struct {
	lostAfter time.Duration
	since     time.Duration // nobody counts as silent for longer than since then
	last      time.Duration // when something reached the registry last
	next      time.Duration // no instance can be lost before
}

func newSilence(now, lostAfter time.Duration) silence {
	return silence{lostAfter: lostAfter, since: now, last: now, next: now + lostAfter}
}

// pass lets time pass. If this process stood still, what others sent meanwhile may still wait to be read, and all silences
// begin anew.
func (s *silence) pass(now time.Duration) {
	if now-s.last > s.lostAfter/stillstandsPerLoss {
		s.since = now
	}
	s.last = now
}

// lostAt returns when an instance that was last heard at this time is lost.
func (s *silence) lostAt(heard time.Duration) time.Duration {
	return max(heard, s.since) + s.lostAfter
}

// Expire records that instances have left which have been silent for too long, and returns their ids, sorted. The leader
// of a service, and one that is to become leader, stays: what becomes of it is for the failover of the service to decide.
// It is to be called regularly, several times within lostAfter, and costs little when nothing is due.
func (r *Registry) Expire(now time.Duration, tx *state.Transaction) []string {
	r.silence.pass(now)
	if now < r.silence.next {
		return nil
	}
	var lost []string
	r.silence.next = now + r.lostAfter
	kept := keptByFailover(tx)
	for _, instance := range state.PresentInstances(tx) {
		seen := r.sighting(instance.ID)
		lostAt := r.silence.lostAt(max(seen.heard, seen.kept))
		if lostAt > now {
			r.silence.next = min(r.silence.next, lostAt)
			continue
		}
		r.silence.next = min(r.silence.next, now+r.lostAfter/checksPerLoss)
		if _, keep := kept[instance.ID]; !keep {
			r.putLeft(tx, instance, silent)
			lost = append(lost, instance.ID)
		}
	}
	r.forget(now, tx)
	return lost
}

// instanceIDs is a set of ids.
type instanceIDs map[string]struct{}

func keptByFailover(reader state.Reader) instanceIDs {
	kept := make(instanceIDs)
	for _, leader := range state.Leaders(reader) {
		kept[leader.InstanceID] = struct{}{}
	}
	for _, intent := range state.Intents(reader) {
		kept[intent.InstanceID] = struct{}{}
	}
	return kept
}

// forget drops what is remembered of instances that aren't recorded any more.
func (r *Registry) forget(now time.Duration, reader state.Reader) {
	for id, seen := range r.sightings {
		if !state.HasInstance(reader, id) && r.silence.lostAt(seen.heard) <= now {
			delete(r.sightings, id)
		}
	}
}
