package replication

import (
	"fmt"

	"eiderway/control/quorum"
)

func (n *Node) onPoll(message Message) {
	n.reply(message, 0, Message{PollAnswer: &PollAnswer{
		Missing:  n.missesPrimary(message.From),
		MayFound: n.mayFound(),
		Promised: n.record.Promised,
		View:     n.newerView(message.Poll.View),
	}})
}

// missesPrimary reports whether this node supports a candidacy of the asker: it hears no primary, or the asker is the primary.
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
	return n.now-n.leader.heardAt >= n.settings.Timing.ElectionAfter*3/4
}

// onPrepare promises to accept nothing of a lower epoch from now on, unless this node still hears a primary.
func (n *Node) onPrepare(message Message) {
	prepare := message.Prepare
	epoch := message.Epoch
	n.learnEpoch(epoch)
	repeated := epoch == n.record.Promised && n.leader.known && n.leader.epoch == epoch &&
		n.leader.member.Incarnation == message.From.Incarnation
	if (epoch <= n.record.Promised && !repeated) || !n.mayPromise(message) {
		n.refuse(message)
		return
	}
	if !prepare.Handover && !repeated && !n.missesPrimary(message.From) {
		n.refuse(message)
		return
	}
	if !repeated {
		n.promiseTo(message.From, epoch)
	}
	n.leader.heardAt = n.now
	n.silentSince = n.now
	after := n.lastWrite()
	if n.guards.promiseBeforeSync {
		after = 0
	}
	n.reply(message, after, Message{Promise: &Promise{Accepted: n.record.Accepted, Stamp: n.history.stamp}})
}

// mayPromise reports whether this node may vote for the candidate: as one that may found the core, as one that has accepted
// a view before, or as a voter of the candidate's view.
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

// promiseTo records the promise and ends everything of a lower epoch.
func (n *Node) promiseTo(candidate quorum.Member, epoch quorum.Epoch) {
	n.record.Promised = epoch
	n.learnEpoch(epoch)
	if n.leadership != nil {
		n.stepDown(fmt.Sprintf("%s stands for election with epoch %d", candidate.Name, epoch))
	}
	n.candidacy = nil
	n.fetch = nil
	n.deferred = nil
	n.writeRecord()
	n.leader = followedLeader{member: candidate, epoch: epoch, heardAt: n.now, known: true}
	n.silentSince = n.now
}

// refuse tells the sender that its epoch is over, or that its candidacy is not supported.
func (n *Node) refuse(message Message) {
	view := n.known
	refusal := &Refusal{Promised: n.record.Promised}
	if view.ID != (quorum.ViewID{}) {
		refusal.View = &view
	}
	n.reply(message, 0, Message{Refusal: refusal})
}
