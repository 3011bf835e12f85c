// Package state defines the records of the replicated control state and the commands that change them.
//
// The control state is a set of key-value entries. The prefix of a key determines the kind of the entry; see keys.go.
// Commands are applied to a Transaction, which collects their changes, so that a batch of commands becomes one replicated
// change. Everything here is a pure function of the entries and the commands.
//
// Two kinds of entries are bounded. Of the taken configuration numbers, the highest MaxOrders are kept. Once there are that
// many, an order with a lower number is acknowledged as superseded and not recorded, so that a conflicting order under the
// same number is not detected there. Of the departed instances, the last MaxDepartures are kept: a heartbeat that arrives
// after that many later departures is treated as that of a new instance.
package state

import (
	"eiderway/control/feed"
	"eiderway/control/replication"
)

// Reader gives read access to the entries of the control state.
type Reader interface {
	Entry(key string) ([]byte, bool)
	Entries(prefix string) []replication.Mutation // sorted by key
}

// OrderOutcome is the result of a configuration order.
type OrderOutcome int

const (
	// InForce: the order becomes the configuration in force once the change is committed.
	InForce OrderOutcome = iota
	// Repeated: the same order was recorded before.
	Repeated
	// Superseded: a higher number is in force. The number is recorded as taken, and nothing else changes.
	Superseded
	// Conflict: the number is taken by an order with different content.
	Conflict
)

// Instance is an instance as recorded in the control state.
type Instance struct {
	feed.Instance
	CallSeq uint64 // of the call that made the last recorded change; for a departed instance, the highest seen
	Left    bool   // it left or was lost; the record is kept so that a late heartbeat does not bring it back
	Lost    bool   // with Left: it was declared lost after missing heartbeats, without having announced that it leaves
	// Displaced, with Left: another instance appeared at its address, and it had not announced that it leaves.
	Displaced bool
	Farewell  bool // it announced that it leaves, and that was acknowledged; without Left it is draining and still serves
	// Uncovered, with Left: no known position bounds the acknowledged commits that it may hold.
	Uncovered bool
	Life      uint64 // rises when the instance is known to have restarted, which ends an earlier drain or leave
}

// HasAnnouncedLeave reports whether the instance announced that it leaves and this was acknowledged. Records of earlier versions
// lack Farewell, so for them it is derived from the other fields.
func (i Instance) HasAnnouncedLeave() bool { return i.Farewell || i.Left && !i.Lost && !i.Displaced }

// revokesEnd reports whether replacing the record by next would revoke a drain or a leave that may have been acknowledged. Both are
// final within a life.
func (i Instance) revokesEnd(next Instance) bool {
	if next.Life > i.Life {
		return false
	}
	if i.HasAnnouncedLeave() && (!next.HasAnnouncedLeave() || i.Left && !next.Left) {
		return true
	}
	return i.Draining && !next.Draining
}
