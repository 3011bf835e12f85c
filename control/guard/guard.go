// Package guard names the safety rules for departing instances and for the keys and limits of tenants. Tests disable them one at a time, to
// show that the simulated scenarios detect the failure that each rule prevents. A running system has all of them enabled.
package guard

// Guard is a safety rule that tests can disable.
type Guard uint16

const (
	// LeaverDrains: an instance that announces its leave without having drained stays present, draining, until it is seen to have ended.
	LeaverDrains Guard = 1 << iota
	// Floor: an instance whose log has not reached the position that covers departed instances isn't chosen as leader.
	Floor
	// DrainDeadline: gateways start nothing at a draining instance after the deadline of its drain.
	DrainDeadline
	// FreezeWithoutSuccessor: a service whose leader drains is frozen in time even if no other instance can become leader.
	FreezeWithoutSuccessor
	// EndIsFinal: a drain or a leave is never reverted within the life of an instance.
	EndIsFinal
	// ReadPositionRequired: a read at a replica names the log position that the replica must have reached.
	ReadPositionRequired
	// DeparturesReported: a controller that has just become primary takes departures under earlier primaries into account.
	DeparturesReported
	// KeyPerStatement: a client's key is checked with the first statement of each transaction, not only when its session begins.
	KeyPerStatement
	// KeyInTransaction: a client's key is checked with each statement of a transaction, not only with the first.
	KeyInTransaction
	// KeyTrustExpires: a gateway that has had no contact with the controllers for a while accepts no keys any more.
	KeyTrustExpires
	// AllocatorStartsEmpty: the allocator of a new primary grants nothing that an earlier one may have granted already.
	AllocatorStartsEmpty
	// AllocatorStartsLate: the allocator of a new primary fills only when no earlier one can grant any more.
	AllocatorStartsLate
	// GrantExpires: granted operations can be started for a short time only.
	GrantExpires
	// GrantConfirmed: a primary grants operations only if a majority has confirmed it recently.
	GrantConfirmed
	// RestartProven: a drain or a leave ends only with a restart that no delayed heartbeats can be mistaken for.
	RestartProven
	// LeaderReturns: an instance that comes back under a new id, and leads, is the leader that it was.
	LeaderReturns
)

// Set is a set of guards. Components are given the set of disabled guards; the zero value disables none.
type Set uint16

// With returns the set with one more guard.
func (s Set) With(guard Guard) Set { return s | Set(guard) }

// Has tells whether the set contains a guard.
func (s Set) Has(guard Guard) bool { return s&Set(guard) != 0 }
