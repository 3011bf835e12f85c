package replication

import (
	"time"

	"eiderway/control/quorum"
)

// follower is a member, or one that is to become one, as the primary sees it.
type follower struct {
	member     quorum.Member
	heard      time.Duration // in this epoch; at first the beginning of the epoch
	answered   bool          // in this epoch
	heardRound uint64
	received   quorum.Stamp
	synced     quorum.Stamp
	accepted   quorum.ViewID
	leaving    bool
	learner    bool // neither voter of the committed view nor of the proposed one

	sentStamp   quorum.Stamp // the follower was there when changes were sent
	sentLatest  quorum.Stamp // up to here
	sentAt      time.Duration
	viewSent    quorum.ViewID
	viewSentAt  time.Duration
	behind      bool
	behindSince time.Duration
	penalty     time.Duration // doubles each time its disk was too slow
	heldOff     time.Duration // not let back into the copies before
}

func (l *leadership) follower(incarnation quorum.Incarnation) *follower {
	for _, one := range l.followers {
		if one.member.Incarnation == incarnation {
			return one
		}
	}
	return nil
}

// pendingChange is the change under way.
type pendingChange struct {
	request uint64
	change  Change
	round   uint64 // the first word to all that began after the change came
}
