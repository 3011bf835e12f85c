package replication

import (
	"time"

	"eiderway/control/quorum"
)

const (
	// initialPenalty is how long a copy whose disk was too slow is not made a copy again. It doubles up to maxPenalty.
	initialPenalty = 2 * time.Second
	maxPenalty     = 16 * time.Second
	// learnerLostAfter is the silence after which a learner is forgotten.
	learnerLostAfter = 3 * time.Second
	// maxLearners bounds the work that learners can cause.
	maxLearners = 16
	// defaultMaxVoters is the maximum number of voters unless the tolerance needs more: each one is another copy to wait for and
	// another candidate in an election. Nine tolerate four losses. All other controllers are standbys that send callers to the
	// primary.
	defaultMaxVoters = 9
	// maxWarmStandbys is how many learners are kept up to date while the core is full, so that a lost voter is replaced at once.
	maxWarmStandbys = 2
)

func (n *Node) maxVoters() int { return max(defaultMaxVoters, n.minVoters()) }

// hasRoomFor reports whether the view may get the newcomer as another voter. Voters that have been silent for long don't
// count, and a newcomer with the address of a voter replaces that one.
func (n *Node) hasRoomFor(view quorum.View, newcomer quorum.Member) bool {
	reachable := 0
	for _, voter := range view.Voters {
		if voter.Address == newcomer.Address && voter.Incarnation != newcomer.Incarnation {
			return true
		}
		if n.silenceOf(voter.Incarnation) <= n.settings.Timing.ReplaceAfter {
			reachable++
		}
	}
	return reachable < n.maxVoters()
}

// nextCopies returns the copies without those that lag or leave and with the voters that have caught up, and whether they
// differ from the view. It removes copies only if the minimum remains or as many are added.
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
		if n.staysCopy(incarnation) {
			wanted = append(wanted, incarnation)
		}
	}
	if len(wanted) >= n.minCopies() || (len(wanted) >= len(view.Copies) && added) {
		return wanted, added || len(wanted) < len(view.Copies)
	}
	return grown, added
}

// staysCopy reports whether the copy neither lags nor leaves.
func (n *Node) staysCopy(incarnation quorum.Incarnation) bool {
	if incarnation == n.self.Incarnation {
		return true
	}
	follower := n.leadership.follower(incarnation)
	if follower == nil || follower.leaving {
		return false
	}
	limit := n.settings.Timing.CopyLostAfter
	silent := n.now-follower.heardAt > limit
	slow := follower.behind && n.now-follower.behindSince > limit
	if slow && n.heardRecently(follower) && n.now >= follower.heldOffUntil { // it answers, so its disk is too slow
		follower.penalty = min(max(2*follower.penalty, initialPenalty), maxPenalty)
		follower.heldOffUntil = n.now + follower.penalty
	}
	return !silent && !slow
}

// heardRecently reports whether the follower was heard within two heartbeats.
func (n *Node) heardRecently(follower *follower) bool {
	return n.now-follower.heardAt <= 2*n.settings.Timing.Heartbeat
}

// mayBecomeCopy reports whether the voter has the newest state on disk. One whose disk was too slow has to wait, unless there
// are too few copies.
func (n *Node) mayBecomeCopy(view quorum.View, incarnation quorum.Incarnation) bool {
	follower := n.leadership.follower(incarnation)
	if follower == nil || follower.leaving || !n.isUpToDate(follower) {
		return false
	}
	return n.now >= follower.heldOffUntil || len(view.Copies) < n.minCopies()
}

func (n *Node) isUpToDate(follower *follower) bool {
	recently := n.now-follower.heardAt <= 3*n.settings.Timing.Heartbeat
	return follower.answered && recently && !follower.synced.Less(n.history.stamp)
}

// readyLearner returns a learner that has caught up and may become a voter, if it and the live voters would be a majority.
func (n *Node) readyLearner(view quorum.View) *follower {
	for _, follower := range n.leadership.followers {
		if !follower.learner || follower.leaving || !n.isUpToDate(follower) {
			continue
		}
		if _, votes := view.Voter(follower.member.Incarnation); votes {
			continue
		}
		if n.hasRoomFor(view, follower.member) && n.countLive(view)+1 >= majorityOf(len(view.Voters)+1) {
			return follower
		}
	}
	return nil
}

// withVoter returns the view with the follower as another voter and copy.
func (n *Node) withVoter(view quorum.View, follower *follower) quorum.View {
	voters := append([]quorum.Member{}, view.Voters...)
	view.Voters = append(voters, follower.member)
	sortMembers(view.Voters)
	copies := append([]quorum.Incarnation{}, view.Copies...)
	view.Copies = append(copies, follower.member.Incarnation)
	n.logEvent("joined", follower.member.Name)
	return view
}

func withoutVoter(view quorum.View, incarnation quorum.Incarnation) quorum.View {
	voters := []quorum.Member{}
	for _, member := range view.Voters {
		if member.Incarnation != incarnation {
			voters = append(voters, member)
		}
	}
	view.Voters = voters
	return view
}

// shouldVoteOut reports whether a voter that is no longer a copy is to be voted out.
func (n *Node) shouldVoteOut(view quorum.View, member quorum.Member) bool {
	if member.Incarnation == n.self.Incarnation || view.HasCopy(member.Incarnation) {
		return false
	}
	if !n.canVoteOut(view, member.Incarnation) {
		return false
	}
	timing := n.settings.Timing
	silence := n.silenceOf(member.Incarnation)
	if n.hasSuccessorAtAddress(view, member) && silence > 2*timing.Heartbeat {
		return true
	}
	if len(view.Voters) <= n.minVoters() {
		return false
	}
	if silence > timing.ReplaceAfter && n.toleratesMoreWithoutSilent(view) {
		return true
	}
	follower := n.leadership.follower(member.Incarnation)
	return silence > timing.VoterLostAfter || (follower != nil && follower.leaving)
}

// toleratesMoreWithoutSilent reports whether the view tolerates more losses without its silent voters than with them, which is
// so once their replacements are voters. Removing one of an odd number of voters gains nothing.
func (n *Node) toleratesMoreWithoutSilent(view quorum.View) bool {
	silent := 0
	for _, member := range view.Voters {
		if n.silenceOf(member.Incarnation) > n.settings.Timing.ReplaceAfter {
			silent++
		}
	}
	spare := len(view.Voters) - n.minVoters()
	if len(view.Voters)%2 == 0 {
		return silent >= 1 && spare >= 1
	}
	return silent >= 2 && spare >= 2
}

func (n *Node) minVoters() int { return 2*n.settings.Tolerance + 1 }

// canVoteOut reports whether the live voters are a majority of the remaining view.
func (n *Node) canVoteOut(view quorum.View, incarnation quorum.Incarnation) bool {
	remaining := withoutVoter(view, incarnation)
	return len(remaining.Voters) > 0 && n.countLive(remaining) >= remaining.Majority()
}

// countLive counts the voters that were heard recently, this node included.
func (n *Node) countLive(view quorum.View) int {
	count := 0
	for _, member := range view.Voters {
		if n.silenceOf(member.Incarnation) <= n.settings.Timing.CopyLostAfter {
			count++
		}
	}
	return count
}

func (n *Node) silenceOf(incarnation quorum.Incarnation) time.Duration {
	if incarnation == n.self.Incarnation {
		return 0
	}
	follower := n.leadership.follower(incarnation)
	if follower == nil {
		return n.now - n.leadership.beganAt
	}
	return n.now - follower.heardAt
}

// hasSuccessorAtAddress reports whether another voter with the same address was heard recently: the old disk is lost.
func (n *Node) hasSuccessorAtAddress(view quorum.View, member quorum.Member) bool {
	for _, other := range view.Voters {
		if other.Address != member.Address || other.Incarnation == member.Incarnation {
			continue
		}
		if n.silenceOf(other.Incarnation) <= n.settings.Timing.CopyLostAfter {
			return true
		}
	}
	return false
}

func (n *Node) dropSilentLearners() {
	leadership := n.leadership
	kept := leadership.followers[:0:0]
	for _, follower := range leadership.followers {
		if follower.learner && n.now-follower.heardAt > learnerLostAfter && !n.isProposed(follower) {
			continue
		}
		kept = append(kept, follower)
	}
	leadership.followers = kept
}

func (n *Node) isProposed(follower *follower) bool {
	if n.leadership.proposed == nil {
		return false
	}
	_, votes := n.leadership.proposed.Voter(follower.member.Incarnation)
	return votes
}
