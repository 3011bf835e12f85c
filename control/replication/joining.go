package replication

import (
	"time"

	"eiderway/control/quorum"
)

// strandedAfter is how long a voter hears no primary before it sends join requests, also to the seeds: all members that it
// knows may be gone.
const strandedAfter = 3 * time.Second

const (
	// standbyJoinRetry is the interval between the join requests of a standby: short enough that it hears of a new primary before
	// callers give up, and long enough that hundreds of standbys cost the primary little.
	standbyJoinRetry = 2 * time.Second
	// maxJoinTargets bounds how many members are asked at a time: after a power loss all controllers ask at once.
	maxJoinTargets = 4
)

// joining is the state of the attempts of a node to become a voter.
type joining struct {
	askedAt      time.Duration
	request      uint64
	answered     bool          // the last request was answered
	primary      quorum.Member // as in the last answer that named one
	primaryKnown bool
	coreFull     bool // by the last answer, the primary has enough members
}

// tickJoining asks to join as long as no primary is heard.
func (n *Node) tickJoining() {
	if n.leaving.requested || n.candidacy != nil {
		return
	}
	if n.joining.request != 0 && n.now-n.joining.askedAt < n.joinInterval() {
		return
	}
	following := n.leader.known && n.now-n.leader.heardAt < n.settings.Timing.ElectionAfter
	if following {
		return
	}
	_, votes := n.known.Voter(n.self.Incarnation)
	if votes && n.now-n.silentSince < strandedAfter {
		return
	}
	targets := n.joinTargets()
	n.joining.askedAt = n.now
	n.joining.answered = false
	n.joining.request = n.nextRequest()
	for _, member := range targets {
		n.sendTo(member, 0, Message{Epoch: n.record.Promised, Request: n.joining.request, Join: &Join{}})
	}
}

// isStandby reports whether the primary said in answer to the last request that the core is full.
func (n *Node) isStandby() bool { return n.joining.coreFull && n.joining.answered }

func (n *Node) joinInterval() time.Duration {
	if n.isStandby() {
		return standbyJoinRetry
	}
	return n.settings.Timing.JoinRetry
}

// joinTargets returns whom to ask: for a standby only the primary, as long as it answers; else some of those that may know the
// primary, which are the primary named last, the known voters, and the seeds.
func (n *Node) joinTargets() []quorum.Member {
	var targets []quorum.Member
	if n.joining.primaryKnown {
		targets = append(targets, n.joining.primary)
	}
	if n.isStandby() {
		return targets
	}
	others := n.otherVoters(n.known)
	for _, seed := range n.otherSeeds() {
		others = appendByAddress(others, seed)
	}
	for count := len(others); count > 0 && len(targets) < maxJoinTargets; count-- {
		drawn := int(n.nextRandom() % uint64(count))
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

// onJoin makes the sender a learner, or tells it whom to ask.
func (n *Node) onJoin(message Message) {
	if n.leadership == nil {
		n.answerJoin(message)
		return
	}
	leadership := n.leadership
	n.learnEpoch(message.Epoch)
	if follower := leadership.follower(message.From.Incarnation); follower != nil {
		n.sendAppend(follower)
		return
	}
	if !n.wantsLearner(message.From) {
		n.answerCoreFull(message)
		return
	}
	follower := &follower{member: message.From, heardAt: n.now, learner: true}
	leadership.addFollower(follower)
	n.sendAppend(follower)
}

// wantsLearner reports whether a newcomer becomes a learner: if the core has room for it, or as one of a few warm standbys.
func (n *Node) wantsLearner(newcomer quorum.Member) bool {
	leadership := n.leadership
	view := leadership.base
	if leadership.phase == leading {
		view = leadership.committed
	}
	learners := 0
	for _, follower := range leadership.followers {
		if follower.learner {
			learners++
		}
	}
	if n.hasRoomFor(view, newcomer) {
		return learners < maxLearners
	}
	return learners < maxWarmStandbys
}

// answerCoreFull tells a newcomer that the core is full, and who the primary is.
func (n *Node) answerCoreFull(message Message) {
	n.reply(message, 0, Message{JoinAnswer: &JoinAnswer{View: n.newerView(quorum.ViewID{}), Primary: &n.self, Full: true}})
}

func (n *Node) answerJoin(message Message) {
	answer := &JoinAnswer{View: n.newerView(quorum.ViewID{})}
	if primary, known := n.PrimaryMember(); known {
		answer.Primary = &primary
	}
	n.reply(message, 0, Message{JoinAnswer: answer})
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
		n.joining.primaryKnown = true
	}
	n.joining.answered = true
	n.joining.coreFull = message.JoinAnswer.Full && message.JoinAnswer.Primary != nil
	if n.joining.coreFull {
		n.saveHeardView()
	}
}

// saveHeardView writes the newest known view to the disk of a standby. After a power loss it finds the voters by this view, even
// if all seeds are standbys too.
func (n *Node) saveHeardView() {
	if n.record.Heard.ID.Less(n.known.ID) && n.record.Accepted.ID.Less(n.known.ID) {
		n.record.Heard = n.known
		n.writeRecord()
	}
}
