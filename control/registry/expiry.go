package registry

import (
	"time"

	"eiderway/control/state"
)

// expiryChecksPerTimeout is how often within lostAfter the instances are checked while the failover keeps a silent one from expiring.
const expiryChecksPerTimeout = 4

// stallDivisor bounds the gap between two calls of the registry: after more than lostAfter/stallDivisor this process counts as stalled,
// and silence is measured anew. Expire must be called clearly more often than that.
const stallDivisor = 2

// expiryTimer measures how long instances have been silent, and skips the scan of all instances before one can expire.
type expiryTimer struct {
	lostAfter time.Duration
	since     time.Duration // silence counts from here at the earliest
	lastCall  time.Duration // the last call of the registry
	nextScan  time.Duration // no instance can be lost before
}

func newExpiryTimer(now, lostAfter time.Duration) expiryTimer {
	return expiryTimer{lostAfter: lostAfter, since: now, lastCall: now, nextScan: now + lostAfter}
}

// advance moves the time forward. If this process has stalled, messages sent meanwhile may still wait to be read, so the silence of all
// instances is measured anew.
func (e *expiryTimer) advance(now time.Duration) {
	if now-e.lastCall > e.lostAfter/stallDivisor {
		e.since = now
	}
	e.lastCall = now
}

// lostAt returns when an instance that was last known alive at aliveAt is lost.
func (e *expiryTimer) lostAt(aliveAt time.Duration) time.Duration {
	return max(aliveAt, e.since) + e.lostAfter
}

// Expire records the departure of instances that have been silent for too long, and returns their ids, sorted. It leaves the leader of a
// service, and an instance that is to become leader, to the failover of the service. It must be called regularly, several times within
// lostAfter, and costs little when nothing is due.
func (r *Registry) Expire(now time.Duration, tx *state.Transaction) []string {
	r.expiry.advance(now)
	if now < r.expiry.nextScan {
		return nil
	}
	var lost []string
	r.expiry.nextScan = now + r.lostAfter
	needed := neededByFailover(tx)
	for _, instance := range state.PresentInstances(tx) {
		seen := r.observation(instance.ID)
		lostAt := r.expiry.lostAt(max(seen.aliveAt, seen.deferredAt))
		if lostAt > now {
			r.expiry.nextScan = min(r.expiry.nextScan, lostAt)
			continue
		}
		r.expiry.nextScan = min(r.expiry.nextScan, now+r.lostAfter/expiryChecksPerTimeout)
		if _, isNeeded := needed[instance.ID]; !isNeeded {
			r.recordDeparture(tx, instance, timedOut)
			lost = append(lost, instance.ID)
		}
	}
	r.dropUnrecorded(now, tx)
	return lost
}

// instanceIDs is a set of instance ids.
type instanceIDs map[string]struct{}

// neededByFailover returns the leaders, and the instances that are to become leader.
func neededByFailover(reader state.Reader) instanceIDs {
	needed := make(instanceIDs)
	for _, leader := range state.Leaders(reader) {
		needed[leader.InstanceID] = struct{}{}
	}
	for _, intent := range state.Intents(reader) {
		needed[intent.InstanceID] = struct{}{}
	}
	return needed
}

// dropUnrecorded drops the observations of instances that are no longer recorded.
func (r *Registry) dropUnrecorded(now time.Duration, reader state.Reader) {
	for id, seen := range r.observations {
		if !state.HasInstance(reader, id) && r.expiry.lostAt(seen.aliveAt) <= now {
			delete(r.observations, id)
		}
	}
}
