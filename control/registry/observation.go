package registry

import "time"

// restartEvidence is how long late heartbeats with rising numbers must keep arriving before they show that the instance numbers its calls
// anew. Senders give up on a heartbeat after a second, so one that was delayed on its way is late by little more than that.
const restartEvidence = 2 * time.Second

// observation is what the primary remembers of an instance beyond what the control state holds.
type observation struct {
	aliveAt     time.Duration // the last evidence that the instance was alive
	deferredAt  time.Duration // when DeferExpiry was last called for it; its silence counts from then at the earliest
	highest     uint64        // the highest callSeq accepted
	hasSequence bool          // a heartbeat was accepted, so highest is valid
	renumbering renumbering
}

// renumbering tracks late heartbeats that may belong to a new numbering of the instance's calls.
type renumbering struct {
	isCandidate bool // a late heartbeat has been seen since the last accepted one
	since       time.Duration
	last        uint64
	sawWarmup   bool // one of these heartbeats said that the instance was warming up
}

// observe takes a late heartbeat and tells whether the instance has begun a new numbering.
func (r *renumbering) observe(now time.Duration, callSeq uint64, isWarmingUp bool) bool {
	if !r.isCandidate || callSeq <= r.last {
		*r = renumbering{isCandidate: true, since: now, last: callSeq, sawWarmup: isWarmingUp}
		return false
	}
	r.last = callSeq
	r.sawWarmup = r.sawWarmup || isWarmingUp
	return now-r.since >= restartEvidence
}

// accept remembers a heartbeat that isn't late.
func (o *observation) accept(now time.Duration, callSeq uint64) {
	o.aliveAt = now
	o.highest = callSeq
	o.hasSequence = true
	o.renumbering = renumbering{}
}
