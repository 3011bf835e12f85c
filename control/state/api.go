// Package state gives the entries of the control state their meaning.
//
// The control state is a set of entries, each a key and some bytes. The kind of an entry follows from the start of its
// key; see keys.go. Commands are decided on a Transaction, which collects what they change, so that a batch of
// commands becomes one change. Everything here is a pure function of the entries and the commands.
//
// Two kinds of entries are bounded. Of the taken configuration numbers the newest MaxOrders are kept: below the lowest
// of these, once there are so many, an order is acknowledged as overtaken and not recorded, so that one with another
// content under the same number is not found out there. Of the instances that left, the newest MaxDepartures are kept:
// a beat that comes later than that many departures counts as that of a new instance.
package state

import (
	"eiderway/control/feed"
	"eiderway/control/replication"
)

// Reader gives the entries of the control state.
type Reader interface {
	Entry(key string) ([]byte, bool)
	Entries(prefix string) []replication.Mutation // sorted by key
}

// OrderOutcome says what became of an order.
type OrderOutcome int

const (
	// InForce: the order is the newest configuration once the change is committed.
	InForce OrderOutcome = iota
	// Repeated: this order was taken before.
	Repeated
	// Superseded: a higher number is in force; the number is taken now, and nothing else changes.
	Superseded
	// Conflict: the number is taken by another content.
	Conflict
)

// Instance is an instance as the control state has it.
type Instance struct {
	feed.Instance
	CallSeq uint64 // of the call that brought the last change recorded here; of one that left, the highest seen
	Left    bool   // it has left (or was lost); kept so that a late beat does not bring it back
	Lost    bool   // with Left: it was taken for lost in silence, and has not said that it leaves
	// Displaced, with Left: another instance appeared at its address, and it has not said that it leaves.
	Displaced bool
	Farewell  bool // it has said that it leaves, and that was acknowledged; without Left it serves on and drains
	// Uncovered, with Left: it may hold acknowledged commits beyond every position that is known to cover it.
	Uncovered bool
	Life      uint64 // rises when the instance is known to have been started anew, so that an end it has said is over
}

// HasAnnouncedLeave tells whether an instance has said that it leaves, which was acknowledged. Records of earlier versions have no Farewell.
func (i Instance) HasAnnouncedLeave() bool { return i.Farewell || i.Left && !i.Lost && !i.Displaced }

// takesBackEnd tells whether a record would take back an end that may have been acknowledged: a drain or a leave is final in a life.
func (i Instance) takesBackEnd(next Instance) bool {
	if next.Life > i.Life {
		return false
	}
	if i.HasAnnouncedLeave() && (!next.HasAnnouncedLeave() || i.Left && !next.Left) {
		return true
	}
	return i.Draining && !next.Draining
}
