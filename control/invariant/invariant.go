// Package invariant names the invariants that must hold at every moment, whatever fails. The code checks them where it makes the
// decisions that they restrict, refuses what would break them as far as it can, and reports each violation: by an event of the kind
// Broken, a log line and a counter. Tests fail on any violation.
package invariant

// Broken is the kind of the event that reports a violated invariant. Its text begins with one of the names below.
const Broken = "invariant broken"

// Names of invariants.
const (
	// EndIsFinal: an instance whose drain or leave is recorded in the control state isn't used again within its life.
	EndIsFinal = "end is final"
	// DrainedLeaderIsFrozen: a service whose leader has reached the deadline of its drain is frozen.
	DrainedLeaderIsFrozen = "drained leader is frozen"
	// NoLateBegin: no statement is started at a draining instance after the deadline of its drain.
	NoLateBegin = "no late begin"
)
