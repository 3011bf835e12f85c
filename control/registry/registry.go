package registry

import (
	"time"

	"github.com/samber/lo"

	"eiderway/control/feed"
	"eiderway/control/guard"
	"eiderway/control/state"
)

// Registry tracks the instances for as long as a controller is primary; a new one is made when a controller becomes primary.
// It has no clock: the time is passed in and never runs backwards.
type Registry struct {
	lostAfter      time.Duration
	startedAt      time.Duration
	disabledGuards guard.Set
	observations   map[string]*observation // by instance id
	expiry         expiryTimer
}

// New makes a registry that treats an instance as lost when it has been silent for lostAfter. All instances count as
// alive now.
func New(now, lostAfter time.Duration) *Registry {
	return &Registry{
		lostAfter:    lostAfter,
		startedAt:    now,
		observations: make(map[string]*observation),
		expiry:       newExpiryTimer(now, lostAfter),
	}
}

// DisableGuards disables guards, for tests.
func (r *Registry) DisableGuards(guards guard.Set) *Registry {
	r.disabledGuards = guards
	return r
}

// HeartbeatResult says what became of a heartbeat.
type HeartbeatResult struct {
	Fresh   bool // its callSeq is higher than any seen of this instance before, so its role counts
	Changed bool // the transaction changes this instance: the heartbeat may be acknowledged only after the commit
}

// Heartbeat handles a heartbeat. What all gateways must know of it goes into the transaction.
func (r *Registry) Heartbeat(now time.Duration, tx *state.Transaction, heartbeat Heartbeat) HeartbeatResult {
	r.expiry.advance(now)
	fresh := r.apply(now, tx, heartbeat)
	return HeartbeatResult{Fresh: fresh, Changed: tx.InstanceChanged(heartbeat.InstanceID)}
}

func (r *Registry) apply(now time.Duration, tx *state.Transaction, heartbeat Heartbeat) (fresh bool) {
	record, isKnown := state.InstanceByID(tx, heartbeat.InstanceID)
	seen := r.observationOf(heartbeat.InstanceID, record.CallSeq)
	order := orderOf(now, seen, record, heartbeat, r.disabledGuards)
	if order == late {
		return false
	}
	seen.accept(now, heartbeat.CallSeq)
	if order == restartedProcess {
		seen.life = newLife(now, heartbeat.CallSeq)
	}
	if record.Left && !r.canReturn(tx, record, order, heartbeat) {
		recordDrainOfDeparted(tx, record, heartbeat)
		return false
	}
	current := r.nextRecord(record, order, heartbeat)
	if isKnown && !record.Left && !order.isRenumbered() && record.Instance == current.Instance {
		return order != repeated
	}
	if record.Left || record.Address != current.Address {
		r.displaceOthers(tx, current.Instance)
	}
	tx.PutInstance(current)
	return order != repeated
}

// nextRecord returns the record of an instance after a heartbeat. An acknowledged drain or leave stays, unless the process was restarted.
func (r *Registry) nextRecord(record state.Instance, order callOrder, heartbeat Heartbeat) state.Instance {
	next := state.Instance{Instance: instanceOf(heartbeat), CallSeq: heartbeat.CallSeq, Life: record.Life}
	if order == restartedProcess {
		next.Life++
		return next
	}
	if r.disabledGuards.Has(guard.EndIsFinal) {
		return next
	}
	next.Draining = next.Draining || record.Draining
	next.Farewell = record.Farewell
	return next
}

func instanceOf(heartbeat Heartbeat) feed.Instance {
	return feed.Instance{
		ID:       heartbeat.InstanceID,
		Service:  heartbeat.TargetService,
		Address:  heartbeat.Address,
		Zone:     heartbeat.Zone,
		Slots:    heartbeat.SlotCount,
		Draining: heartbeat.OperState == Draining,
	}
}

// canReturn tells whether a heartbeat that isn't late brings back an instance that has left. An instance that announced its leave comes
// back only after a restart of its process.
func (r *Registry) canReturn(reader state.Reader, record state.Instance, order callOrder, heartbeat Heartbeat) bool {
	if record.HasAnnouncedLeave() && order != restartedProcess && !r.disabledGuards.Has(guard.EndIsFinal) {
		return false
	}
	return len(othersAt(reader, instanceOf(heartbeat))) == 0
}

// recordDrainOfDeparted records that a departed instance that can't come back now is draining. Its drain is acknowledged, so it must not be
// used when it comes back later.
func recordDrainOfDeparted(tx *state.Transaction, record state.Instance, heartbeat Heartbeat) {
	if heartbeat.OperState != Draining || record.Draining || record.HasAnnouncedLeave() {
		return
	}
	record.Draining = true
	record.CallSeq = max(record.CallSeq, heartbeat.CallSeq)
	tx.PutInstance(record)
}

// displaceOthers records the departure of the instances at whose address another one has appeared.
func (r *Registry) displaceOthers(tx *state.Transaction, current feed.Instance) {
	for _, other := range othersAt(tx, current) {
		r.recordDeparture(tx, other, addressReused)
	}
}

// othersAt returns the other instances that are present at the address of an instance.
func othersAt(reader state.Reader, current feed.Instance) []state.Instance {
	return lo.Filter(state.InstancesAt(reader, current.Address), func(other state.Instance, _ int) bool {
		return other.ID != current.ID
	})
}

// Leave records that an instance has announced its leave. An instance that has drained departs at once. One that hasn't may go on serving
// for as long as a drain takes, and receive and acknowledge statements meanwhile: it drains from now on, until it is silent or another
// instance appears at its address. An unknown instance is recorded too: its heartbeats may still be on their way.
func (r *Registry) Leave(_ time.Duration, tx *state.Transaction, id string) {
	if !isValidID(id) {
		return
	}
	record, isKnown := state.InstanceByID(tx, id)
	if isKnown && record.HasAnnouncedLeave() {
		return
	}
	if isKnown && !record.Left && !record.Draining && !r.disabledGuards.Has(guard.LeaverDrains) {
		record.Draining, record.Farewell = true, true
		record.CallSeq = r.highestSeen(record)
		tx.PutInstance(record)
		return
	}
	record.ID = id
	r.recordDeparture(tx, record, leaveAnnounced)
}

// highestSeen returns the highest callSeq seen of an instance.
func (r *Registry) highestSeen(record state.Instance) uint64 {
	if seen, found := r.observations[record.ID]; found && seen.hasSequence {
		return max(record.CallSeq, seen.highest)
	}
	return record.CallSeq
}

// departureReason says why an instance counts as departed.
type departureReason int

const (
	leaveAnnounced departureReason = iota // the instance announced its leave
	timedOut                              // the instance has been silent for too long
	addressReused                         // another instance is at its address
)

// recordDeparture records that an instance has departed, with the highest callSeq seen of it.
func (r *Registry) recordDeparture(tx *state.Transaction, record state.Instance, reason departureReason) {
	record.CallSeq = r.highestSeen(record)
	record.Uncovered = record.Uncovered || !record.Left
	record.Left = true
	record.Farewell = record.Farewell || reason == leaveAnnounced
	record.Lost = reason == timedOut
	record.Displaced = reason == addressReused
	tx.PutInstance(record)
}

// SilentFor returns for how long an instance has been silent. Silence before this registry was made, or before this process last stalled,
// doesn't count.
func (r *Registry) SilentFor(now time.Duration, id string) time.Duration {
	return now - max(r.observation(id).aliveAt, r.expiry.since)
}

// MarkAlive notes other evidence that an instance is alive, such as the answer to a probe. It does not bring back an instance that has
// left.
func (r *Registry) MarkAlive(now time.Duration, id string) {
	r.expiry.advance(now)
	r.observation(id).aliveAt = now
}

// DeferExpiry keeps an instance from expiring for another lostAfter, though it is silent.
func (r *Registry) DeferExpiry(now time.Duration, id string) {
	r.expiry.advance(now)
	r.observation(id).deferredAt = now
}

func (r *Registry) observation(id string) *observation { return r.observationOf(id, 0) }

// observationOf returns what is known of an instance whose record, if there is one, has this callSeq.
func (r *Registry) observationOf(id string, recorded uint64) *observation {
	seen, found := r.observations[id]
	if !found {
		seen = &observation{}
		r.observations[id] = seen
	}
	if !seen.life.hasHighest {
		seen.life = newLife(r.startedAt, recorded)
	}
	return seen
}
