// Package guard names the rules about instances that end, and about keys and limits of tenants, which tests take out one at a time, to see that the days they
// play find what each rule prevents. A running system has all of them in force.
package guard

// Guard is one rule that can be taken out.
type Guard uint16

const (
	// LeaverStays: an instance that leaves without having drained stays until it is seen to have ended.
	LeaverStays Guard = 1 << iota
	// Floor: whoever has not reached the position that covers departed instances isn't chosen to lead.
	Floor
	// DrainDeadline: gateways begin nothing at an instance once the time that its drain leaves is over.
	DrainDeadline
	// LoneLeaderFrozen: a service whose leader drains is frozen in time also when nobody can follow it.
	LoneLeaderFrozen
	// EndIsFinal: a drain and a leave are never taken back within the life of an instance.
	EndIsFinal
	// PositionProven: a read at a replica names the position that the replica's log must hold.
	PositionProven
	// DeparturesTold: a primary of the control state that has just taken over hears of departures under earlier ones.
	DeparturesTold
	// KeyPerStatement: a client's key is checked with each first statement, not only when its session begins.
	KeyPerStatement
	// KeyInTransaction: it is checked with each statement of a transaction, not only with the first.
	KeyInTransaction
	// KeyTrustEnds: whoever has heard nothing for a while takes no key for good any more.
	KeyTrustEnds
	// BankStartsEmpty: the bank of a new primary grants nothing of what an earlier one may have granted.
	BankStartsEmpty
	// BankOpensLate: it fills only once no earlier bank grants any more.
	BankOpensLate
	// GrantEnds: operations that were granted can be begun for a short time only.
	GrantEnds
	// GrantConfirmed: a primary grants operations only if a majority has confirmed it a moment ago.
	GrantConfirmed
)

// Set is a set of guards that are taken out; its zero value takes out none.
type Set uint16

// Without takes one more out.
func (s Set) Without(guard Guard) Set { return s | Set(guard) }

// Lacks tells whether a guard is taken out.
func (s Set) Lacks(guard Guard) bool { return s&Set(guard) != 0 }
