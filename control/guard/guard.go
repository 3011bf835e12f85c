// Package guard names the rules about instances that end, and about keys and limits of tenants, which tests take out one at a time, to see that the days they
// play find what each rule prevents. A running system has all of them in force.
package guard

// Guard is one rule that can be taken out.
type Guard uint16

const (
	// LeaverDrains: an instance that leaves without having drained stays until it is seen to have ended.
	LeaverDrains Guard = 1 << iota
	// Floor: whoever has not reached the position that covers departed instances isn't chosen to lead.
	Floor
	// DrainDeadline: gateways begin nothing at an instance once the time that its drain leaves is over.
	DrainDeadline
	// FreezeWithoutSuccessor: a service whose leader drains is frozen in time also when nobody can follow it.
	FreezeWithoutSuccessor
	// EndIsFinal: a drain and a leave are never taken back within the life of an instance.
	EndIsFinal
	// ReadPositionRequired: a read at a replica names the position that the replica's log must hold.
	ReadPositionRequired
	// DeparturesReported: a primary of the control state that has just taken over hears of departures under earlier ones.
	DeparturesReported
	// KeyPerStatement: a client's key is checked with each first statement, not only when its session begins.
	KeyPerStatement
	// KeyInTransaction: it is checked with each statement of a transaction, not only with the first.
	KeyInTransaction
	// KeyTrustExpires: whoever has heard nothing for a while takes no key for good any more.
	KeyTrustExpires
	// AllocatorStartsEmpty: the bank of a new primary grants nothing of what an earlier one may have granted.
	AllocatorStartsEmpty
	// AllocatorStartsLate: it fills only once no earlier bank grants any more.
	AllocatorStartsLate
	// GrantExpires: operations that were granted can be begun for a short time only.
	GrantExpires
	// GrantConfirmed: a primary grants operations only if a majority has confirmed it a moment ago.
	GrantConfirmed
)

// Set is a set of guards that are taken out; its zero value takes out none.
type Set uint16

// With takes one more out.
func (s Set) With(guard Guard) Set { return s | Set(guard) }

// Has tells whether a guard is taken out.
func (s Set) Has(guard Guard) bool { return s&Set(guard) != 0 }
