package replication

import (
	"time"

	"eiderway/control/quorum"
)

type candidacyPhase int

const (
	polling   candidacyPhase = iota // asks whether others miss the primary too
	preparing                       // asks for promises
	fetching                        // has them, and fetches the state of a copy
)

// candidacy is an attempt to become primary, up to the point where it has a state to bring to the others.
type candidacy struct {
	phase     candidacyPhase
	request   uint64
	began     time.Duration // of the phase
	asked     time.Duration
	founding  bool
	handover  bool
	missing   []quorum.Member // who misses the primary too
	epoch     quorum.Epoch
	ownWrite  uint64 // of the own promise
	promises  []promiseGiven
	enoughAt  time.Duration // when a founding candidate had a majority
	hasEnough bool
	base      quorum.View // the view whose voters decide, once it is settled
}

type promiseGiven struct {
	member   quorum.Member
	accepted quorum.View
	stamp    quorum.Stamp
}

func (c *candidacy) answeredBy(member quorum.Member) bool {
	if c.phase == polling {
		for _, other := range c.missing {
			if sameMember(other, member) {
				return true
			}
		}
		return false
	}
	for _, promise := range c.promises {
		if sameMember(promise.member, member) {
			return true
		}
	}
	return false
}

// sameMember compares by incarnation, or by address where that isn't known.
func sameMember(a, b quorum.Member) bool {
	if a.Incarnation == "" || b.Incarnation == "" {
		return a.Address == b.Address
	}
	return a.Incarnation == b.Incarnation
}

func containsMember(members []quorum.Member, incarnation quorum.Incarnation) bool {
	for _, member := range members {
		if member.Incarnation == incarnation {
			return true
		}
	}
	return false
}

func (c *candidacy) promisedBy(incarnation quorum.Incarnation) bool {
	for _, promise := range c.promises {
		if promise.member.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// bestCopy is the copy of the view with the highest stamp among those that have promised.
func (c *candidacy) bestCopy(view quorum.View) (promiseGiven, bool) {
	best := promiseGiven{}
	found := false
	for _, promise := range c.promises {
		if !view.HasCopy(promise.member.Incarnation) {
			continue
		}
		if !found || best.stamp.Less(promise.stamp) {
			best = promise
			found = true
		}
	}
	return best, found
}
