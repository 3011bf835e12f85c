package replication

import (
	"time"

	"eiderway/control/quorum"
)

const (
	// firstPenalty keeps a copy whose disk was too slow out for a while; it doubles up to lastPenalty.
	firstPenalty = 2 * time.Second
	lastPenalty  = 16 * time.Second
	// learnerLostAfter: a newcomer that has been silent for this long is forgotten.
	learnerLostAfter = 3 * time.Second
	// mostLearners bounds what newcomers can cost.
	mostLearners = 16
	// usualVoters is how many voters there are at the most, unless the tolerance asks for more: each one more is another copy to wait for and
	// another candidate in line. Nine bear four losses. Other controllers are standbys: they send callers to the primary.
	usualVoters = 9
	// warmStandbys are standbys that are kept up to date, so that the place of a voter that is lost is taken at once.
	warmStandbys = 2
)

func (n *Node) mostVoters() int { return max(usualVoters, n.leastVoters()) }

// hasPlaceFor tells whether the view takes one voter more: voters that have been silent for long don't count, and one whose address is a
// voter's has taken its place.
func (n *Node) hasPlaceFor(view quorum.View, newcomer quorum.Member) bool {
	lively := 0
	for _, voter := range view.Voters {
		if voter.Address == newcomer.Address && voter.Incarnation != newcomer.Incarnation {
			return true
		}
		if n.silence(voter.Incarnation) <= n.settings.Timing.ReplaceAfter {
			lively++
		}
	}
	return lively < n.mostVoters()
}

// nextCopies leaves out copies that lag or leave and lets in voters that have the state, as far as the floor allows.
func (n *Node) nextCopies(view quorum.View) ([]quorum.Incarnation, bool) {
	var wanted, grown []quorum.Incarnation
	added := false
	for _, member := range view.Voters {
		incarnation := member.Incarnation
		if !view.HasCopy(incarnation) {
			if n.mayBecomeCopy(view, incarnation) {
				added = true
				wanted = append(wanted, incarnation)
				grown = append(grown, incarnation)
			}
			continue
		}
		grown = append(grown, incarnation)
		if n.keepsCopy(incarnation) {
			wanted = append(wanted, incarnation)
		}
	}
	if len(wanted) >= n.floor() || (len(wanted) >= len(view.Copies) && added) {
		return wanted, added || len(wanted) < len(view.Copies)
	}
	return grown, added
}

// keepsCopy tells that the copy neither lags nor leaves.
func (n *Node) keepsCopy(incarnation quorum.Incarnation) bool {
	if incarnation == n.self.Incarnation {
		return true
	}
	one := n.leadership.follower(incarnation)
	if one == nil || one.leaving {
		return false
	}
	limit := n.settings.Timing.CopyLostAfter
	silent := n.now-one.heard > limit
	slow := one.behind && n.now-one.behindSince > limit
	if slow && n.heardLately(one) && n.now >= one.heldOff { // it lives, so its disk is to blame
		one.penalty = min(max(2*one.penalty, firstPenalty), lastPenalty)
		one.heldOff = n.now + one.penalty
	}
	return !silent && !slow
}

// heardLately tells that hardly an answer is missing.
func (n *Node) heardLately(one *follower) bool {
	return n.now-one.heard <= 2*n.settings.Timing.Heartbeat
}

// mayBecomeCopy tells that the voter has the newest state on disk. One whose disk was too slow waits, unless it is needed.
func (n *Node) mayBecomeCopy(view quorum.View, incarnation quorum.Incarnation) bool {
	one := n.leadership.follower(incarnation)
	if one == nil || one.leaving || !n.isUpToDate(one) {
		return false
	}
	return n.now >= one.heldOff || len(view.Copies) < n.floor()
}

func (n *Node) isUpToDate(one *follower) bool {
	recently := n.now-one.heard <= 3*n.settings.Timing.Heartbeat
	return one.answered && recently && !one.synced.Less(n.history.stamp)
}

// readyLearner is a newcomer that has the state, if the voters that live would be a majority with it.
func (n *Node) readyLearner(view quorum.View) *follower {
	for _, one := range n.leadership.followers {
		if !one.learner || one.leaving || !n.isUpToDate(one) {
			continue
		}
		if _, votes := view.Voter(one.member.Incarnation); votes {
			continue
		}
		if n.hasPlaceFor(view, one.member) && n.live(view)+1 >= majorityOf(len(view.Voters)+1) {
			return one
		}
	}
	return nil
}

// viewWith adds a voter that is a copy too.
func (n *Node) viewWith(view quorum.View, one *follower) quorum.View {
	voters := append([]quorum.Member{}, view.Voters...)
	view.Voters = append(voters, one.member)
	sortMembers(view.Voters)
	copies := append([]quorum.Incarnation{}, view.Copies...)
	view.Copies = append(copies, one.member.Incarnation)
	n.event("joined", one.member.Name)
	return view
}

func without(view quorum.View, incarnation quorum.Incarnation) quorum.View {
	voters := []quorum.Member{}
	for _, member := range view.Voters {
		if member.Incarnation != incarnation {
			voters = append(voters, member)
		}
	}
	view.Voters = voters
	return view
}

// givesWay tells that a voter that is no copy any more is to be voted out.
func (n *Node) givesWay(view quorum.View, member quorum.Member) bool {
	if member.Incarnation == n.self.Incarnation || view.HasCopy(member.Incarnation) {
		return false
	}
	if !n.mayVoteOut(view, member.Incarnation) {
		return false
	}
	timing := n.settings.Timing
	silence := n.silence(member.Incarnation)
	if n.hasSuccessorAtAddress(view, member) && silence > 2*timing.Heartbeat {
		return true
	}
	if len(view.Voters) <= n.leastVoters() {
		return false
	}
	if silence > timing.ReplaceAfter && n.bearsMoreWithout(view) {
		return true
	}
	one := n.leadership.follower(member.Incarnation)
	return silence > timing.VoterLostAfter || (one != nil && one.leaving)
}

// bearsMoreWithout tells that without its silent voters the view bears more losses than with them. So it is as soon as
// successors are in. One fewer of an odd number changes nothing.
func (n *Node) bearsMoreWithout(view quorum.View) bool {
	silent := 0
	for _, member := range view.Voters {
		if n.silence(member.Incarnation) > n.settings.Timing.ReplaceAfter {
			silent++
		}
	}
	spare := len(view.Voters) - n.leastVoters()
	if len(view.Voters)%2 == 0 {
		return silent >= 1 && spare >= 1
	}
	return silent >= 2 && spare >= 2
}

func (n *Node) leastVoters() int { return 2*n.settings.Tolerance + 1 }

// mayVoteOut tells that the voters that live are a majority of what remains.
func (n *Node) mayVoteOut(view quorum.View, incarnation quorum.Incarnation) bool {
	remaining := without(view, incarnation)
	return len(remaining.Voters) > 0 && n.live(remaining) >= remaining.Majority()
}

// live counts the voters that have been heard lately, this node included.
func (n *Node) live(view quorum.View) int {
	count := 0
	for _, member := range view.Voters {
		if n.silence(member.Incarnation) <= n.settings.Timing.CopyLostAfter {
			count++
		}
	}
	return count
}

func (n *Node) silence(incarnation quorum.Incarnation) time.Duration {
	if incarnation == n.self.Incarnation {
		return 0
	}
	one := n.leadership.follower(incarnation)
	if one == nil {
		return n.now - n.leadership.began
	}
	return n.now - one.heard
}

// hasSuccessorAtAddress tells that another voter, lately heard, has the same address: the old disk is gone.
func (n *Node) hasSuccessorAtAddress(view quorum.View, member quorum.Member) bool {
	for _, other := range view.Voters {
		if other.Address != member.Address || other.Incarnation == member.Incarnation {
			continue
		}
		if n.silence(other.Incarnation) <= n.settings.Timing.CopyLostAfter {
			return true
		}
	}
	return false
}

func (n *Node) dropSilentLearners() {
	lead := n.leadership
	kept := lead.followers[:0:0]
	for _, one := range lead.followers {
		if one.learner && n.now-one.heard > learnerLostAfter && !n.isProposed(one) {
			continue
		}
		kept = append(kept, one)
	}
	lead.followers = kept
}

func (n *Node) isProposed(one *follower) bool {
	if n.leadership.proposed == nil {
		return false
	}
	_, votes := n.leadership.proposed.Voter(one.member.Incarnation)
	return votes
}
