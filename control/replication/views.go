package replication

import (
	"fmt"
	"time"

	"eiderway/control/quorum"
)

const (
	// maxCatchUpWait is how long a new primary with enough copies waits for voters that answer but have not caught up yet.
	maxCatchUpWait = 500 * time.Millisecond
	// minCatchUpWait is how long it waits for voters that have not answered at all.
	minCatchUpWait = 60 * time.Millisecond
)

// proposeFirstView proposes revision 0 of the epoch: its voters are unchanged, and its copies are the voters that have caught
// up.
func (n *Node) proposeFirstView() {
	leadership := n.leadership
	copies, mayGrow := n.caughtUpVoters()
	if len(copies) < min(n.minCopies(), len(leadership.base.Voters)) && !n.guards.noMinCopies {
		leadership.enoughCopiesAt = 0
		return
	}
	if leadership.enoughCopiesAt == 0 {
		leadership.enoughCopiesAt = n.now
	}
	waited := n.now - leadership.enoughCopiesAt
	all := len(copies) == len(leadership.base.Voters)
	if (!all && waited < minCatchUpWait) || (mayGrow && waited < maxCatchUpWait) {
		return
	}
	n.proposeView(quorum.View{
		ID:      quorum.ViewID{Epoch: leadership.epoch},
		Primary: n.self.Incarnation,
		Copies:  copies,
		Voters:  leadership.base.Voters,
	})
	leadership.phase = installing
}

// caughtUpVoters returns the voters that have the restamped state on disk, and whether others answer and may catch up soon.
func (n *Node) caughtUpVoters() (copies []quorum.Incarnation, mayGrow bool) {
	if !n.hasRestamped(n.self.Incarnation) {
		return nil, true
	}
	for _, member := range n.leadership.base.Voters {
		if n.hasRestamped(member.Incarnation) {
			copies = append(copies, member.Incarnation)
			continue
		}
		mayGrow = mayGrow || n.hasAnswered(member.Incarnation)
	}
	return copies, mayGrow
}

func (n *Node) hasRestamped(incarnation quorum.Incarnation) bool {
	if n.guards.viewBeforeRestamp {
		return n.hasAnswered(incarnation)
	}
	return n.hasSynced(incarnation, n.history.stamp)
}

func (n *Node) hasAnswered(incarnation quorum.Incarnation) bool {
	follower := n.leadership.follower(incarnation)
	return incarnation == n.self.Incarnation || (follower != nil && follower.answered)
}

// proposeView accepts the view locally and sends it to all followers.
func (n *Node) proposeView(view quorum.View) {
	leadership := n.leadership
	leadership.proposed = &view
	n.record.Accepted = view
	n.record.MayFound = false
	n.learnView(view)
	n.writeRecord()
	n.broadcast()
}

// commitView commits the proposed view when a majority of its own voters has it on disk.
func (n *Node) commitView() {
	leadership := n.leadership
	if leadership.proposed == nil {
		return
	}
	view := *leadership.proposed
	committed := view.IsMajority(func(incarnation quorum.Incarnation) bool {
		if incarnation == n.self.Incarnation {
			return !n.disk.accepted.Less(view.ID)
		}
		follower := leadership.follower(incarnation)
		return follower != nil && !follower.accepted.Less(view.ID)
	})
	if !committed {
		return
	}
	leadership.committed = view
	leadership.proposed = nil
	n.logEvent("view committed", describeView(view))
	if leadership.phase != leading {
		leadership.phase = leading
		n.logEvent("primary", fmt.Sprintf("epoch %d", leadership.epoch))
	}
	n.removeVotedOut()
	n.broadcast()
	n.changeView()
}

func describeView(view quorum.View) string {
	return fmt.Sprintf("%s: %d voters, %d copies", view.ID, len(view.Voters), len(view.Copies))
}

// removeVotedOut sends a last message to followers that are no longer voters, and forgets them.
func (n *Node) removeVotedOut() {
	leadership := n.leadership
	kept := leadership.followers[:0:0]
	for _, follower := range leadership.followers {
		_, votes := leadership.committed.Voter(follower.member.Incarnation)
		if !votes && !follower.learner {
			n.sendAppend(follower)
			continue
		}
		follower.learner = !votes
		kept = append(kept, follower)
	}
	leadership.followers = kept
}

// changeView begins the next view change, if one is due and none is in progress.
func (n *Node) changeView() {
	leadership := n.leadership
	if leadership.proposed != nil && !n.guards.concurrentViewChanges {
		return
	}
	if n.disk.failed {
		return
	}
	next, due := n.nextView()
	if !due {
		return
	}
	next.ID = quorum.ViewID{Epoch: leadership.epoch, Revision: n.record.Accepted.ID.Revision + 1}
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
		return n.withVoter(view, learner), true
	}
	for _, member := range view.Voters {
		if n.shouldVoteOut(view, member) {
			return withoutVoter(view, member.Incarnation), true
		}
	}
	return view, false
}
