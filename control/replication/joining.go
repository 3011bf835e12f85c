package replication

import (
	"time"

	"eiderway/control/quorum"
)

// strandedAfter: a voter that has heard no primary for this long asks the seeds too; all members that it knows may be gone.
const strandedAfter = 3 * time.Second

// joining is the attempt of a node that is not a voter to become one.
type joining struct {
	asked   time.Duration
	request uint64
	primary quorum.Member // as last told
	told    bool
}

// tickJoining asks to be brought up as long as no primary does so.
func (n *Node) tickJoining() {
	if n.leaving.asked || n.candidacy != nil {
		return
	}
	if n.joining.request != 0 && n.now-n.joining.asked < n.settings.Timing.JoinRetry {
		return
	}
	following := n.leader.known && n.now-n.leader.heard < n.settings.Timing.ElectionAfter
	if following {
		return
	}
	_, votes := n.known.Voter(n.self.Incarnation)
	if votes && n.now-n.silentSince < strandedAfter {
		return
	}
	n.joining.asked = n.now
	n.joining.request = n.nextRequest()
	for _, member := range n.joinTargets() {
		n.sendTo(member, 0, Message{Epoch: n.record.Promised, Request: n.joining.request, Join: &Join{}})
	}
}

// joinTargets are the seeds, all voters known, and the primary that was last told.
func (n *Node) joinTargets() []quorum.Member {
	targets := n.otherVoters(n.known)
	if n.joining.told {
		targets = appendByAddress(targets, n.joining.primary)
	}
	for _, seed := range n.otherSeeds() {
		targets = appendByAddress(targets, seed)
	}
	return targets
}

func appendByAddress(members []quorum.Member, member quorum.Member) []quorum.Member {
	for _, other := range members {
		if other.Address == member.Address {
			return members
		}
	}
	return append(members, member)
}

// onJoin brings a newcomer up, or tells it who does.
func (n *Node) onJoin(message Message) {
	if n.leadership == nil {
		n.answerJoin(message)
		return
	}
	lead := n.leadership
	n.learnEpoch(message.Epoch)
	if one := lead.follower(message.From.Incarnation); one != nil {
		n.sendAppend(one)
		return
	}
	learners := 0
	for _, one := range lead.followers {
		if one.learner {
			learners++
		}
	}
	if learners >= mostLearners {
		n.drop()
		return
	}
	one := &follower{member: message.From, heard: n.now, learner: true}
	lead.addFollower(one)
	n.sendAppend(one)
}

func (n *Node) answerJoin(message Message) {
	answer := &JoinAnswer{View: n.newerView(quorum.ViewID{})}
	if primary, known := n.PrimaryMember(); known {
		answer.Primary = &primary
	}
	n.answer(message, 0, Message{JoinAnswer: answer})
}

func (n *Node) onJoinAnswer(message Message) {
	if message.Request != n.joining.request || n.joining.request == 0 {
		n.drop()
		return
	}
	if view := message.JoinAnswer.View; view != nil {
		n.learnView(*view)
	}
	if primary := message.JoinAnswer.Primary; primary != nil {
		n.joining.primary = *primary
		n.joining.told = true
	}
}
