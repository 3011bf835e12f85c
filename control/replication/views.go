package replication

import (
	"fmt"
	"time"

	"eiderway/control/quorum"
)

const (
	// bringUpWait: a candidate with enough copies waits this long for those that answer but are not done,
	bringUpWait = 500 * time.Millisecond
	// and this long for those that haven't answered at all.
	bringUpPause = 60 * time.Millisecond
)

// proposeFirstView proposes the view (epoch, 0): the voters are unchanged, and the copies are those that have the state.
func (n *Node) proposeFirstView() {
	lead := n.leadership
	copies, more := n.broughtUp()
	if len(copies) < min(n.floor(), len(lead.base.Voters)) && !n.guards.noFloor {
		lead.enoughAt = 0
		return
	}
	if lead.enoughAt == 0 {
		lead.enoughAt = n.now
	}
	waited := n.now - lead.enoughAt
	all := len(copies) == len(lead.base.Voters)
	if (!all && waited < bringUpPause) || (more && waited < bringUpWait) {
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

// broughtUp returns the voters that have the restamped state on disk, and whether others answer and may follow.
func (n *Node) broughtUp() (copies []quorum.Incarnation, more bool) {
	if !n.hasRestamped(n.self.Incarnation) {
		return nil, true
	}
	for _, member := range n.leadership.base.Voters {
		if n.hasRestamped(member.Incarnation) {
			copies = append(copies, member.Incarnation)
			continue
		}
		more = more || n.hasAnswered(member.Incarnation)
	}
	return copies, more
}

func (n *Node) hasRestamped(incarnation quorum.Incarnation) bool {
	if n.guards.viewBeforeRestamp {
		return n.hasAnswered(incarnation)
	}
	return n.hasSynced(incarnation, n.history.stamp)
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
