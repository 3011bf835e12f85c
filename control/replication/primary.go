package replication

import (
	"fmt"
	"time"

	"eiderway/control/quorum"
)

// raiseEpochAfter limits how often a primary steps down, to stand again, because a learner has promised a higher epoch.
const raiseEpochAfter = 3 * time.Second

// takeOver begins the epoch: the state is restamped and sent to the voters of the view taken over.
func (n *Node) takeOver(base quorum.View) {
	candidacy := n.candidacy
	n.candidacy = nil
	n.fetch = nil
	n.deferred = nil
	leadership := &leadership{epoch: candidacy.epoch, base: base, beganAt: n.now}
	for _, member := range n.otherVoters(base) {
		follower := &follower{member: member, heardAt: n.now}
		for _, promise := range candidacy.promises {
			if promise.member.Incarnation == member.Incarnation {
				follower.received = promise.stamp
			}
		}
		leadership.addFollower(follower)
	}
	n.leadership = leadership
	n.leader = followedLeader{}
	restamp := Change{
		Stamp:    quorum.Stamp{Epoch: leadership.epoch, Sequence: n.history.stamp.Sequence},
		Previous: n.history.stamp,
	}
	n.history.apply(restamp)
	n.writeState(nil)
	n.broadcast()
}

// stepDown ends the leadership. A pending change becomes part of the local state, since it may be on every disk; whether it
// survives is decided by the next primary.
func (n *Node) stepDown(reason string) {
	leadership := n.leadership
	n.leadership = nil
	n.silentSince = n.now
	if leadership.pending != nil {
		n.history.apply(leadership.pending.change)
		n.decide(leadership.pending.request, Unknown)
	}
	for _, waiting := range leadership.confirms {
		n.decide(waiting.request, NotPrimary)
	}
	n.logEvent("stepped down", fmt.Sprintf("epoch %d: %s", leadership.epoch, reason))
}

func (n *Node) propose(input Propose) {
	if !n.MayPropose() {
		n.decide(input.Request, NotPrimary)
		return
	}
	leadership := n.leadership
	change := Change{
		Stamp:     quorum.Stamp{Epoch: leadership.epoch, Sequence: n.history.stamp.Sequence + 1},
		Previous:  n.history.stamp,
		Mutations: input.Mutations,
	}
	leadership.pending = &pendingChange{request: input.Request, change: change, round: leadership.round + 1}
	n.writeState(change.Mutations)
	n.broadcast()
}

func (n *Node) onAppendAnswer(message Message) {
	leadership := n.leadership
	if leadership == nil || !leadership.hasAsked(message) {
		n.drop()
		return
	}
	follower := leadership.follower(message.From.Incarnation)
	answer := message.AppendAnswer
	follower.heardAt = n.now
	follower.answered = true
	follower.leaving = answer.Leaving
	if message.Request >= follower.heardRound {
		follower.heardRound = message.Request
		follower.received = answer.Received
	}
	if follower.synced.Less(answer.Synced) {
		follower.synced = answer.Synced
	}
	if follower.accepted.Less(answer.Accepted) {
		follower.accepted = answer.Accepted
	}
	if !follower.synced.Less(n.latestStamp()) {
		follower.behind = false
	}
	n.progressLeadership()
	if n.leadership == leadership && follower.received != n.latestStamp() && !answer.Fetching {
		n.sendMissingChanges(follower)
	}
}

// onPrimaryRefusal steps down if a member has promised a higher epoch.
func (n *Node) onPrimaryRefusal(message Message) {
	leadership := n.leadership
	refusal := message.Refusal
	n.learnEpoch(refusal.Promised)
	if refusal.Promised <= leadership.epoch {
		return
	}
	follower := leadership.follower(message.From.Incarnation)
	if follower.learner && n.now-leadership.beganAt < raiseEpochAfter {
		return
	}
	if refusal.View != nil {
		n.learnView(*refusal.View)
	}
	n.stepDown(fmt.Sprintf("%s has promised epoch %d", message.From.Name, refusal.Promised))
	n.silentSince = n.silenceStartForRetry()
}

func (n *Node) tickLeadership() {
	leadership := n.leadership
	if n.isDiskHanging() {
		n.handOverIfLeading()
		n.stepDown("its own disk has not completed a write in time")
		return
	}
	if !n.hearsMajority() {
		n.stepDown("no answers from a majority")
		return
	}
	n.updateBehind()
	n.tickConfirms()
	if leadership.phase == leading {
		n.changeView()
	}
	if n.now-leadership.roundAt >= n.settings.Timing.Heartbeat {
		n.dropSilentLearners()
		n.broadcast()
	}
}

// contactLostAfter is how long a primary may hear no majority before it steps down; the others miss it by then.
func (n *Node) contactLostAfter() time.Duration {
	return n.settings.Timing.ElectionAfter + 2*n.settings.Timing.Heartbeat
}

func (n *Node) hearsMajority() bool {
	limit := n.contactLostAfter()
	return n.hasMajorityOfViews(func(incarnation quorum.Incarnation) bool {
		follower := n.leadership.follower(incarnation)
		return follower != nil && n.now-follower.heardAt <= limit
	})
}

// progressLeadership takes the steps that answers and syncs have made possible.
func (n *Node) progressLeadership() {
	switch n.leadership.phase {
	case catchingUp:
		n.proposeFirstView()
	case installing:
		n.commitView()
	case leading:
		n.commitView()
		n.commitChange()
		n.answerConfirms()
	}
}

// updateBehind records since when members have lacked the newest change.
func (n *Node) updateBehind() {
	latest := n.latestStamp()
	for _, follower := range n.leadership.followers {
		behind := follower.synced.Less(latest)
		if behind && !follower.behind {
			follower.behindSince = n.now
		}
		follower.behind = behind
	}
}
