package registry

import (
	"time"

	"eiderway/control/state"
)

// restartEvidence is how long late heartbeats with rising numbers must keep arriving before the instance is taken to number its calls
// anew. Heartbeats of one life that arrive late in the order in which they were sent look the same, so no drain or leave is reverted by it.
const restartEvidence = 2 * time.Second

// maxHeartbeatDelay is how long a heartbeat may be on its way. They arrive seconds late at times.
const maxHeartbeatDelay = time.Minute

// observation is what the primary remembers of an instance beyond what the control state holds.
type observation struct {
	aliveAt     time.Duration // the last evidence that the instance was alive
	deferredAt  time.Duration // when DeferExpiry was last called for it; its silence counts from then at the earliest
	highest     uint64        // the highest callSeq accepted
	hasSequence bool          // a heartbeat was accepted, so highest is valid
	renumbering renumbering
	life        life
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

// life is what is known of the present life of an instance, to tell heartbeats of the next one from delayed ones of this one.
type life struct {
	hasHighest     bool
	highest        uint64        // the highest callSeq of this life
	highestAt      time.Duration // when it arrived
	isWarm         bool          // that heartbeat said that the instance was not warming up
	warmingUntil   time.Duration // no heartbeat that says that this life is warming up was sent later
	sawEarlyWarmup bool          // a heartbeat with a lower number said that the instance was warming up
}

// newLife returns the life of an instance of which no heartbeat has arrived since the given time, and whose record has this callSeq.
func newLife(since time.Duration, recorded uint64) life {
	return life{hasHighest: recorded > 0 && recorded != state.UnknownCallSeq, highest: recorded, highestAt: since, warmingUntil: since}
}

// observe takes a heartbeat and reports whether it proves that the instance has been restarted. A heartbeat of this life with a lower
// number than the highest was sent before that one, and can't be on its way for longer than maxHeartbeatDelay. An instance warms up only
// after its start.
func (l *life) observe(now time.Duration, callSeq uint64, isWarmingUp bool) bool {
	if !l.hasHighest || callSeq >= l.highest {
		l.advance(now, callSeq, isWarmingUp)
		return false
	}
	l.sawEarlyWarmup = l.sawEarlyWarmup || isWarmingUp
	isStart := isWarmingUp && now-l.warmingUntil > maxHeartbeatDelay
	return isStart || l.sawEarlyWarmup && now-l.highestAt > maxHeartbeatDelay
}

func (l *life) advance(now time.Duration, callSeq uint64, isWarmingUp bool) {
	if isWarmingUp || !l.isWarm {
		l.warmingUntil = now
	}
	l.hasHighest, l.highest, l.highestAt = true, callSeq, now
	l.isWarm, l.sawEarlyWarmup = !isWarmingUp, false
}

// accept remembers a heartbeat that isn't late.
func (o *observation) accept(now time.Duration, callSeq uint64) {
	o.aliveAt = now
	o.highest = callSeq
	o.hasSequence = true
	o.renumbering = renumbering{}
}
