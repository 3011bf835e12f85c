package replication

import (
	"fmt"

	"eiderway/control/quorum"
)

func (n *Node) onPoll(message Message) {
	n.answer(message, 0, Message{PollAnswer: &PollAnswer{
		Missing:  n.missesPrimary(message.From),
		MayFound: n.mayFound(),
		Promised: n.record.Promised,
		View:     n.newerView(message.Poll.View),
	}})
}

// missesPrimary tells whether this node would welcome the asker's candidacy. The primary itself may always ask.
func (n *Node) missesPrimary(asker quorum.Member) bool {
	if n.leadership != nil {
		return false
	}
	if n.candidacy != nil && n.candidacy.phase != polling {
		return false
	}
	if !n.leader.known || n.leader.member.Incarnation == asker.Incarnation {
		return true
	}
	return n.now-n.leader.heard >= n.settings.Timing.ElectionAfter*3/4
}

// onPrepare promises to take nothing of a lower epoch from now on, unless a primary is being heard.
func (n *Node) onPrepare(message Message) {
	prepare := message.Prepare
	epoch := message.Epoch
	n.learnEpoch(epoch)
	again := epoch == n.record.Promised && n.leader.known && n.leader.epoch == epoch &&
		n.leader.member.Incarnation == message.From.Incarnation
	if (epoch <= n.record.Promised && !again) || !n.mayPromise(message) {
		n.refuse(message)
		return
	}
	if !prepare.Handover && !again && !n.missesPrimary(message.From) {
		n.refuse(message)
		return
	}
	if !again {
		n.promiseTo(message.From, epoch)
	}
	n.leader.heard = n.now
	n.silentSince = n.now
	after := n.lastWrite()
	if n.guards.promiseBeforeSync {
		after = 0
	}
	n.answer(message, after, Message{Promise: &Promise{Accepted: n.record.Accepted, Stamp: n.history.stamp}})
}

// mayPromise tells whether this node's vote counts for the candidate at all.
func (n *Node) mayPromise(message Message) bool {
	prepare := message.Prepare
	if prepare.View.ID == (quorum.ViewID{}) {
		return n.mayFoundWith(prepare.Seeds)
	}
	if n.record.Accepted.ID != (quorum.ViewID{}) || n.guards.emptyDiskVotes {
		return true
	}
	_, votes := prepare.View.Voter(n.self.Incarnation)
	return votes
}

// promiseTo ends everything of a lower epoch.
func (n *Node) promiseTo(candidate quorum.Member, epoch quorum.Epoch) {
	n.record.Promised = epoch
	n.learnEpoch(epoch)
	if n.leadership != nil {
		n.stepDown(fmt.Sprintf("%s stands with epoch %d", candidate.Name, epoch))
	}
	n.candidacy = nil
	n.fetch = nil
	n.owed = nil
	n.writeRecord()
	n.leader = leaderSeen{member: candidate, epoch: epoch, heard: n.now, known: true}
	n.silentSince = n.now
}

// refuse tells the sender that its epoch is over or its question unwelcome.
func (n *Node) refuse(message Message) {
	view := n.known
	refusal := &Refusal{Promised: n.record.Promised}
	if view.ID != (quorum.ViewID{}) {
		refusal.View = &view
	}
	n.answer(message, 0, Message{Refusal: refusal})
}
