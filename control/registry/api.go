// Package registry tracks the instances by their heartbeats.
//
// What all gateways must know of an instance is recorded in the control state: that it exists and at which address, that it is
// draining, that it has left. When it last sent a heartbeat is known to the primary controller only, in memory; a new primary
// counts each instance as alive at its takeover.
//
// # Order of calls
//
// An instance numbers its calls (callSeq), so that a late one is recognised, whichever way it came. A heartbeat is late if its
// number is lower than the highest seen, or not higher than the recorded one. Late heartbeats change nothing, and their role
// doesn't count. When the heartbeat with the highest number arrives again, it is processed again: the change that it called for may
// not have been committed.
//
// An instance that is restarted under the same id may begin again with low numbers. As long as it has announced neither a drain nor a
// leave, nothing rests on it, and it counts as restarted when
//   - late heartbeats with rising numbers have arrived for at least restartEvidence, with no heartbeat of the old numbering in between; or
//   - it was recorded as lost, and a late heartbeat says that the instance is still warming up.
//
// # Return of an instance
//
// An acknowledged drain or leave is final for the life of an instance: gateways and operators rely on it. Some instances
// leave without having drained, go on sending heartbeats and report that they are ready, and a heartbeat may arrive seconds late; so no
// heartbeat of the same life reverts a drain or a leave, whatever its number. Delayed heartbeats have low numbers too, and may
// say that the instance is warming up, since they are from before the end. They prove a new life only where the earlier one can't have
// sent them, because no heartbeat is on its way for longer than maxHeartbeatDelay:
//   - one that says that the instance is warming up, so long after the earlier life was last able to say so; or
//   - one after such a heartbeat, so long after the newest one of the earlier life.
//
// Until then the instance stays draining, or away.
//
// An instance that was recorded as lost, or whose address another instance had, comes back with the next heartbeat that isn't late; if it
// was draining, it still is. No instance comes back to an address at which another one is present.
//
// Addresses are reused. An instance that appears at the address of another shows that the other has ended, and the
// other is recorded as having left.
package registry

// Heartbeat is the body of POST /instances/ID/heartbeat, with the id from the path.
type Heartbeat struct {
	InstanceID     string `json:"-"`
	TargetService  string `json:"targetService" validate:"required"`
	Address        string `json:"address" validate:"required,hostname_port"`
	Zone           string `json:"zone"`
	ConfigRevision string `json:"configRevision"`
	SlotCount      int    `json:"slotCount" validate:"gte=0"`
	OperState      string `json:"operState" validate:"oneof=ready draining"`
	WarmupLeftMs   int64  `json:"warmupLeftMs"`
	DBRole         string `json:"dbRole" validate:"omitempty,oneof=primary replica"` // "": not stated
	CallSeq        uint64 `json:"callSeq"`
}
