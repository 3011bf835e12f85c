package replication

import (
	"time"

	"eiderway/control/quorum"
)

// strandedAfter: a voter that has heard no primary for this long asks the seeds too; all members that it knows may be gone.
const strandedAfter = 3 * time.Second

const (
	// standbyRetry is between questions of a standby, which the core doesn't want as a member now: it is to hear of a new primary
	// before callers have given up, and hundreds of standbys must cost the primary little.
	standbyRetry = 2 * time.Second
	// mostAsked bounds how many are asked at a time: after a loss of power all ask at once.
	mostAsked = 4
)

// joining is the attempt of a node that is not a voter to become one.
type joining struct {
	asked    time.Duration
	request  uint64
	answered bool          // the last question has an answer
	primary  quorum.Member // as last told
	told     bool
	standby  bool // the primary has members enough
}

// tickJoining asks to be brought up as long as no primary does so.
func (n *Node) tickJoining() {
	if n.leaving.asked || n.candidacy != nil {
		return
	}
	if n.joining.request != 0 && n.now-n.joining.asked < n.joinPause() {
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
	targets := n.joinTargets()
	n.joining.asked = n.now
	n.joining.answered = false
	n.joining.request = n.nextRequest()
	for _, member := range targets {
		n.sendTo(member, 0, Message{Epoch: n.record.Promised, Request: n.joining.request, Join: &Join{}})
	}
}

// isStandby tells whether the primary has said, in answer to the last question, that it wants no more members.
func (n *Node) isStandby() bool { return n.joining.standby && n.joining.answered }

func (n *Node) joinPause() time.Duration {
	if n.isStandby() {
		return standbyRetry
	}
	return n.settings.Timing.JoinRetry
}

// joinTargets is the primary for a standby, as long as it answers; else some of those that may know it: the primary that was told last,
// voters known, and seeds.
func (n *Node) joinTargets() []quorum.Member {
	var targets []quorum.Member
	if n.joining.told {
		targets = append(targets, n.joining.primary)
	}
	if n.isStandby() {
		return targets
	}
	others := n.otherVoters(n.known)
	for _, seed := range n.otherSeeds() {
		others = appendByAddress(others, seed)
	}
	for count := len(others); count > 0 && len(targets) < mostAsked; count-- {
		drawn := int(n.chance() % uint64(count))
		targets = appendByAddress(targets, others[drawn])
		others[drawn] = others[count-1]
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
	if !n.wantsLearner(message.From) {
		n.answerFull(message)
		return
	}
	one := &follower{member: message.From, heard: n.now, learner: true}
	lead.addFollower(one)
	n.sendAppend(one)
}

// wantsLearner tells whether a newcomer is brought up: where a vote is free, or as one of few that wait for one.
func (n *Node) wantsLearner(newcomer quorum.Member) bool {
	lead := n.leadership
	view := lead.base
	if lead.phase == leading {
		view = lead.committed
	}
	learners := 0
	for _, one := range lead.followers {
		if one.learner {
			learners++
		}
	}
	if n.hasPlaceFor(view, newcomer) {
		return learners < mostLearners
	}
	return learners < warmStandbys
}

// answerFull sends a newcomer away that isn't wanted now. It hears who leads.
func (n *Node) answerFull(message Message) {
	n.answer(message, 0, Message{JoinAnswer: &JoinAnswer{View: n.newerView(quorum.ViewID{}), Primary: &n.self, Full: true}})
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
	n.joining.answered = true
	n.joining.standby = message.JoinAnswer.Full && message.JoinAnswer.Primary != nil
	if n.joining.standby {
		n.keepHeard()
	}
}

// keepHeard puts the view known on a standby's disk. After a loss of power the seeds may all be standbys too: they find the voters by it.
func (n *Node) keepHeard() {
	if n.record.Heard.ID.Less(n.known.ID) && n.record.Accepted.ID.Less(n.known.ID) {
		n.record.Heard = n.known
		n.writeRecord()
	}
}
