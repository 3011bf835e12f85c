// Package registry follows the instances by their heartbeats.
//
// What all gateways must know of an instance is recorded in the control state: that it is there and where, that it is
// draining, that it has left. When it was last heard is known to the primary controller only, in memory; a new primary
// counts each instance as heard when it takes over.
//
// # Order of calls
//
// An instance numbers its calls (callSeq), so that a late one is recognised, whichever way it came. A beat is late if its
// number is lower than the highest seen, or not higher than the one recorded. Late beats change nothing, and their role
// doesn't count. A beat with the highest number seen, sent again, is decided on again: the change that it called for may
// not have been committed.
//
// An instance that was started again under its id may number its calls from a low number again. It is taken for started
// again when
//   - late beats with rising numbers have come for at least restartEvidence, with no beat of the old count in between:
//     beats that were held up come in a burst, or mixed with newer ones; or
//   - it was taken for lost, and a late beat says that the instance is still warming up: an instance is warming up only
//     after its start, and a beat of its earlier start would have been held up for its whole life.
//
// # Coming back
//
// A drain and a leave that were acknowledged are final for the life of an instance: gateways and operators rely on them. Some instances
// leave without having drained, go on beating, and say that they are ready, and a beat may come seconds late; so no beat of the
// same life takes an end back, whatever its number. Another life shows itself by a new count with a beat in it that says that
// the instance is warming up.
//
// An instance that was taken for lost, or whose address another one had, comes back with the next beat that isn't late; if it
// drained, it still does. Nobody comes back to an address at which another instance is present.
//
// Addresses are used again. An instance that appears at the address of another shows that the other has ended, and the
// other is recorded as having left.
package registry

// Heartbeat is the body of POST /instances/ID/heartbeat, with the id of its path.
type Heartbeat struct {
	InstanceID     string `json:"-"`
	TargetService  string `json:"targetService" validate:"required"`
	Address        string `json:"address" validate:"required,hostname_port"`
	Zone           string `json:"zone"`
	ConfigRevision string `json:"configRevision"`
	SlotCount      int    `json:"slotCount" validate:"gte=0"`
	OperState      string `json:"operState" validate:"oneof=ready draining"`
	WarmupLeftMs   int64  `json:"warmupLeftMs"`
	DBRole         string `json:"dbRole" validate:"omitempty,oneof=primary replica"` // "": not said
	CallSeq        uint64 `json:"callSeq"`
}
