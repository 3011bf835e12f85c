package replication

import (
	"time"

	"eiderway/control/quorum"
)

type candidacyPhase int

const (
	polling   candidacyPhase = iota // asks whether others miss the primary too
	preparing                       // asks for promises
	fetching                        // has the promises, and fetches the state of a copy
)

// candidacy is an attempt to become primary. It ends when the node has a majority and a state, and takes over.
type candidacy struct {
	phase          candidacyPhase
	request        uint64
	phaseBeganAt   time.Duration // beginning of the phase
	askedAt        time.Duration
	founding       bool
	handover       bool
	missingPrimary []quorum.Member // members, this node included, that miss the primary
	epoch          quorum.Epoch
	ownWrite       uint64 // write with this node's own promise
	promises       []receivedPromise
	majorityAt     time.Duration // when a founding candidate got a majority
	hasMajority    bool
	base           quorum.View // newest accepted view among the promises; known from fetching on
}

// receivedPromise is the answer of one voter, this node included, to a candidate.
type receivedPromise struct {
	member   quorum.Member
	accepted quorum.View
	stamp    quorum.Stamp
}

func (c *candidacy) answeredBy(member quorum.Member) bool {
	if c.phase == polling {
		for _, other := range c.missingPrimary {
			if isSameMember(other, member) {
				return true
			}
		}
		return false
	}
	for _, promise := range c.promises {
		if isSameMember(promise.member, member) {
			return true
		}
	}
	return false
}

// isSameMember compares by incarnation, or by address if an incarnation is unknown.
func isSameMember(a, b quorum.Member) bool {
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

// bestCopy returns the copy of the view with the highest stamp among those that have promised.
func (c *candidacy) bestCopy(view quorum.View) (receivedPromise, bool) {
	best := receivedPromise{}
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
