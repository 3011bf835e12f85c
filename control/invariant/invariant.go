// Package invariant names what must hold at every moment, whatever fails. The code looks whether it does where it decides, refuses
// what would break it as far as it can, and tells of it: an event of the kind Broken, a line in the log, a counter. Tests fail on any.
package invariant

// Broken is the kind of the event that tells of an invariant that doesn't hold. Its text begins with one of the names below.
const Broken = "invariant broken"

// Names of invariants.
const (
	// EndIsFinal: an instance whose drain or leave is in the control state isn't used again within its life.
	EndIsFinal = "end is final"
	// DrainedLeaderIsFrozen: a service whose leader has drained for as long as statements may reach it is frozen.
	DrainedLeaderIsFrozen = "drained leader is frozen"
	// NoLateBegin: no statement is begun at an instance once the time that its drain leaves is over.
	NoLateBegin = "no late begin"
)
