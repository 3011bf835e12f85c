package registry

import (
	"time"

	"github.com/samber/lo"

	"eiderway/control/feed"
	"eiderway/control/guard"
	"eiderway/control/state"
)

// Registry follows the instances for as long as a controller is primary; it is made anew when one becomes primary. It
// has no clock: time is handed in and never runs backwards.
type Registry struct {
	lostAfter time.Duration
	lacking   guard.Set
	sightings map[string]*sighting
	silence   silence
}

// New makes a registry that takes an instance for lost when it has been silent for lostAfter. All instances count as
// heard now.
func New(now, lostAfter time.Duration) *Registry {
	return &Registry{
		lostAfter: lostAfter,
		sightings: make(map[string]*sighting),
		silence:   newSilence(now, lostAfter),
	}
}

// DisableGuards takes guards out, for tests.
func (r *Registry) DisableGuards(guards guard.Set) *Registry {
	r.lacking = guards
	return r
}

// HeartbeatResult says what became of a heartbeat.
type HeartbeatResult struct {
	Fresh   bool // its callSeq is newer than every one seen of this instance, so its role counts
	Changed bool // the transaction changes this instance: the beat may be acknowledged only when that is committed
}

// Heartbeat takes a heartbeat. The transaction gets what all gateways must know of it.
func (r *Registry) Heartbeat(now time.Duration, tx *state.Transaction, beat Heartbeat) HeartbeatResult {
	r.silence.pass(now)
	fresh := r.take(now, tx, beat)
	return HeartbeatResult{Fresh: fresh, Changed: tx.InstanceChanged(beat.InstanceID)}
}

func (r *Registry) take(now time.Duration, tx *state.Transaction, beat Heartbeat) (fresh bool) {
	record, known := state.InstanceByID(tx, beat.InstanceID)
	seen := r.sighting(beat.InstanceID)
	order := orderOf(now, seen, record, beat)
	if order == late {
		return false
	}
	seen.take(now, beat.CallSeq)
	if record.Left && !r.mayReturn(tx, record, order, beat) {
		noteDrainOfDeparted(tx, record, beat)
		return false
	}
	current := r.nextRecord(record, order, beat)
	if known && !record.Left && !order.countsAnew() && record.Instance == current.Instance {
		return order != again
	}
	if record.Left || record.Address != current.Address {
		r.displace(tx, current.Instance)
	}
	tx.PutInstance(current)
	return order != again
}

// nextRecord is what a beat makes of the record of its instance. An end that was said stays, except in another life.
func (r *Registry) nextRecord(record state.Instance, order order, beat Heartbeat) state.Instance {
	next := state.Instance{Instance: instanceOf(beat), CallSeq: beat.CallSeq, Life: record.Life}
	if order == reborn {
		next.Life++
		return next
	}
	if r.lacking.Has(guard.EndIsFinal) {
		return next
	}
	next.Draining = next.Draining || record.Draining
	next.Farewell = record.Farewell
	return next
}

func instanceOf(beat Heartbeat) feed.Instance {
	return feed.Instance{
		ID:       beat.InstanceID,
		Service:  beat.TargetService,
		Address:  beat.Address,
		Zone:     beat.Zone,
		Slots:    beat.SlotCount,
		Draining: beat.OperState == Draining,
	}
}

// mayReturn tells whether a beat that isn't late brings back an instance that left. One that said itself that it leaves is back
// only in another life.
func (r *Registry) mayReturn(reader state.Reader, record state.Instance, order order, beat Heartbeat) bool {
	if record.HasAnnouncedLeave() && order != reborn && !r.lacking.Has(guard.EndIsFinal) {
		return false
	}
	return len(othersAt(reader, instanceOf(beat))) == 0
}

// noteDrainOfDeparted records that an instance drains that was taken for gone and can't come back now. Its drain is acknowledged, so
// it must not be used when it can.
func noteDrainOfDeparted(tx *state.Transaction, record state.Instance, beat Heartbeat) {
	if beat.OperState != Draining || record.Draining || record.HasAnnouncedLeave() {
		return
	}
	record.Draining = true
	record.CallSeq = max(record.CallSeq, beat.CallSeq)
	tx.PutInstance(record)
}

// displace records that those have left at whose address another instance has appeared.
func (r *Registry) displace(tx *state.Transaction, current feed.Instance) {
	for _, other := range othersAt(tx, current) {
		r.putLeft(tx, other, displaced)
	}
}

// othersAt returns the other instances that are present at the address of an instance.
func othersAt(reader state.Reader, current feed.Instance) []state.Instance {
	return lo.Filter(state.InstancesAt(reader, current.Address), func(other state.Instance, _ int) bool {
		return other.ID != current.ID
	})
}

// Leave records that an instance has said that it leaves. One that has drained is gone. One that hasn't serves on for as long first, and
// may receive and acknowledge meanwhile: it drains from now on, until it is silent or another is at its address. One that was
// never heard of is recorded too: its beats may still be on their way.
func (r *Registry) Leave(_ time.Duration, tx *state.Transaction, id string) {
	if !validID(id) {
		return
	}
	record, known := state.InstanceByID(tx, id)
	if known && record.HasAnnouncedLeave() {
		return
	}
	if known && !record.Left && !record.Draining && !r.lacking.Has(guard.LeaverDrains) {
		record.Draining, record.Farewell = true, true
		record.CallSeq = r.highestSeen(record)
		tx.PutInstance(record)
		return
	}
	record.ID = id
	r.putLeft(tx, record, farewell)
}

// highestSeen is the highest callSeq that was seen of an instance.
func (r *Registry) highestSeen(record state.Instance) uint64 {
	if seen, found := r.sightings[record.ID]; found && seen.counted {
		return max(record.CallSeq, seen.highest)
	}
	return record.CallSeq
}

// ending is why an instance is taken for gone.
type ending int

const (
	farewell  ending = iota // it said so
	silent                  // it has been silent for too long
	displaced               // another one is at its address
)

// putLeft records that an instance has left, with the highest callSeq that was seen of it.
func (r *Registry) putLeft(tx *state.Transaction, record state.Instance, why ending) {
	record.CallSeq = r.highestSeen(record)
	record.Uncovered = record.Uncovered || !record.Left
	record.Left = true
	record.Farewell = record.Farewell || why == farewell
	record.Lost = why == silent
	record.Displaced = why == displaced
	tx.PutInstance(record)
}

// SilentFor is how long nothing was heard of an instance; at the most since this registry was made.
func (r *Registry) SilentFor(now time.Duration, id string) time.Duration {
	return now - max(r.sighting(id).heard, r.silence.since)
}

// MarkAlive takes other evidence that an instance is alive, such as the answer to a probe. It does not bring back one that
// left.
func (r *Registry) MarkAlive(now time.Duration, id string) {
	r.silence.pass(now)
	r.sighting(id).heard = now
}

// DeferExpiry has an instance not taken for lost for now, though nothing is heard of it.
func (r *Registry) DeferExpiry(now time.Duration, id string) {
	r.silence.pass(now)
	r.sighting(id).kept = now
}

func (r *Registry) sighting(id string) *sighting {
	seen, found := r.sightings[id]
	if !found {
		seen = &sighting{}
		r.sightings[id] = seen
	}
	return seen
}
