package replication

import (
	"time"

	"eiderway/control/quorum"
)

// follower is what the primary knows about a voter or learner.
type follower struct {
	member     quorum.Member
	heardAt    time.Duration // in this epoch; initially the beginning of the epoch, or when it joined
	answered   bool          // at least once in this epoch
	heardRound uint64        // newest round that it answered
	received   quorum.Stamp
	synced     quorum.Stamp
	accepted   quorum.ViewID
	leaving    bool
	learner    bool // not a voter of the committed view

	sentStamp    quorum.Stamp // stamp the follower had when changes were last sent
	sentLatest   quorum.Stamp // newest stamp at that time
	sentAt       time.Duration
	viewSent     quorum.ViewID
	viewSentAt   time.Duration
	behind       bool
	behindSince  time.Duration
	penalty      time.Duration // doubles each time its disk is too slow
	heldOffUntil time.Duration // not made a copy again before this
}

func (l *leadership) follower(incarnation quorum.Incarnation) *follower {
	for _, follower := range l.followers {
		if follower.member.Incarnation == incarnation {
			return follower
		}
	}
	return nil
}

// pendingChange is a proposed change that is not committed yet.
type pendingChange struct {
	request uint64
	change  Change
	round   uint64 // first round after the change was proposed
}
