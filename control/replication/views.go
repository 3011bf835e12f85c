package replication

import (
	"fmt"
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
)

// proposeFirstView proposes the view (epoch, 0): the voters are unchanged, and the copies are those that have the state.
func (n *Node) proposeFirstView() {
	lead := n.leadership
	latest := n.history.stamp
	if n.disk.stamp != latest && !n.guards.viewBeforeRestamp {
		return
	}
	copies := []quorum.Incarnation{}
	heardMore := false
	for _, member := range lead.base.Voters {
		if n.hasSynced(member.Incarnation, latest) || (n.guards.viewBeforeRestamp && n.hasAnswered(member.Incarnation)) {
			copies = append(copies, member.Incarnation)
			continue
		}
		heardMore = heardMore || n.hasAnswered(member.Incarnation)
	}
	if len(copies) < min(n.floor(), len(lead.base.Voters)) && !n.guards.noFloor {
		lead.enoughAt = 0
		return
	}
	if lead.enoughAt == 0 {
		lead.enoughAt = n.now
	}
	waited := n.now - lead.enoughAt
	all := len(copies) == len(lead.base.Voters)
	if !all && waited < bringUpPause {
		return
	}
	if heardMore && waited < bringUpWait {
		return
	}
	n.proposeView(quorum.View{
		ID:      quorum.ViewID{Epoch: lead.epoch},
		Primary: n.self.Incarnation,
		Copies:  copies,
		Voters:  lead.base.Voters,
	})
	lead.phase = installing
}

func (n *Node) hasAnswered(incarnation quorum.Incarnation) bool {
	one := n.leadership.follower(incarnation)
	return incarnation == n.self.Incarnation || (one != nil && one.answered)
}

// proposeView accepts the view here and sends it to all.
func (n *Node) proposeView(view quorum.View) {
	lead := n.leadership
	lead.proposed = &view
	n.record.Accepted = view
	n.record.MayFound = false
	n.learnView(view)
	n.writeRecord()
	n.broadcast()
}

// commitView commits the proposed view when a majority of its own voters has it on disk.
func (n *Node) commitView() {
	lead := n.leadership
	if lead.proposed == nil {
		return
	}
	view := *lead.proposed
	committed := view.IsMajority(func(incarnation quorum.Incarnation) bool {
		if incarnation == n.self.Incarnation {
			return !n.disk.accepted.Less(view.ID)
		}
		one := lead.follower(incarnation)
		return one != nil && !one.accepted.Less(view.ID)
	})
	if !committed {
		return
	}
	lead.committed = view
	lead.proposed = nil
	n.event("view committed", describe(view))
	if lead.phase != leading {
		lead.phase = leading
		n.event("primary", fmt.Sprintf("epoch %d", lead.epoch))
	}
	n.releaseVotedOut()
	n.broadcast()
	n.changeView()
}

func describe(view quorum.View) string {
	return fmt.Sprintf("%s: %d voters, %d copies", view.ID, len(view.Voters), len(view.Copies))
}

// releaseVotedOut tells those that are out a last time, and forgets them.
func (n *Node) releaseVotedOut() {
	lead := n.leadership
	kept := lead.followers[:0:0]
	for _, one := range lead.followers {
		_, votes := lead.committed.Voter(one.member.Incarnation)
		if !votes && !one.learner {
			n.sendAppend(one)
			continue
		}
		one.learner = !votes
		kept = append(kept, one)
	}
	lead.followers = kept
}

// changeView begins the next view change, if one is due and none is under way.
func (n *Node) changeView() {
	lead := n.leadership
	if lead.proposed != nil && !n.guards.manyViewChanges {
		return
	}
	if n.disk.bad {
		return
	}
	next, due := n.nextView()
	if !due {
		return
	}
	next.ID = quorum.ViewID{Epoch: lead.epoch, Revision: n.record.Accepted.ID.Revision + 1}
	next.Primary = n.self.Incarnation
	n.proposeView(next)
}

func (n *Node) nextView() (quorum.View, bool) {
	view := n.leadership.committed
	if n.leadership.proposed != nil {
		view = *n.leadership.proposed
	}
	if copies, due := n.nextCopies(view); due {
		view.Copies = copies
		return view, true
	}
	if learner := n.readyLearner(view); learner != nil {
		return n.viewWith(view, learner), true
	}
	for _, member := range view.Voters {
		if n.givesWay(view, member) {
			return without(view, member.Incarnation), true
		}
	}
	return view, false
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
		if n.live(view)+1 >= majorityOf(len(view.Voters)+1) {
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
