package replication

import (
	"fmt"
	"time"

	"eiderway/control/quorum"
)

// raiseEpochAfter limits how often a primary stands again because a newcomer has promised a higher epoch.
const raiseEpochAfter = 3 * time.Second

// takeOver begins the epoch: the state is restamped and brought to the others.
func (n *Node) takeOver(base quorum.View) {
	stand := n.candidacy
	n.candidacy = nil
	n.fetch = nil
	n.owed = nil
	lead := &leadership{epoch: stand.epoch, base: base, began: n.now}
	for _, member := range n.otherVoters(base) {
		one := &follower{member: member, heard: n.now}
		for _, promise := range stand.promises {
			if promise.member.Incarnation == member.Incarnation {
				one.received = promise.stamp
			}
		}
		lead.addFollower(one)
	}
	n.leadership = lead
	n.leader = leaderSeen{}
	restamp := Change{
		Stamp:    quorum.Stamp{Epoch: lead.epoch, Sequence: n.history.stamp.Sequence},
		Previous: n.history.stamp,
	}
	n.history.apply(restamp)
	n.writeState(nil)
	n.broadcast()
}

// stepDown ends the leadership. A change under way is in the state from now on, as it may be on every disk; whether it
// lasts is for the next primary to find.
func (n *Node) stepDown(reason string) {
	lead := n.leadership
	n.leadership = nil
	n.silentSince = n.now
	if lead.pending != nil {
		n.history.apply(lead.pending.change)
		n.decide(lead.pending.request, Unknown)
	}
	for _, waiting := range lead.confirms {
		n.decide(waiting.request, NotPrimary)
	}
	n.event("stepped down", fmt.Sprintf("epoch %d: %s", lead.epoch, reason))
}

func (n *Node) propose(input Propose) {
	if !n.MayPropose() {
		n.decide(input.Request, NotPrimary)
		return
	}
	lead := n.leadership
	change := Change{
		Stamp:     quorum.Stamp{Epoch: lead.epoch, Sequence: n.history.stamp.Sequence + 1},
		Previous:  n.history.stamp,
		Mutations: input.Mutations,
	}
	lead.pending = &pendingChange{request: input.Request, change: change, round: lead.round + 1}
	n.writeState(change.Mutations)
	n.broadcast()
}

func (n *Node) onAppendAnswer(message Message) {
	lead := n.leadership
	if lead == nil || !lead.asked(message) {
		n.drop()
		return
	}
	one := lead.follower(message.From.Incarnation)
	answer := message.AppendAnswer
	one.heard = n.now
	one.answered = true
	one.leaving = answer.Leaving
	if message.Request >= one.heardRound {
		one.heardRound = message.Request
		one.received = answer.Received
	}
	if one.synced.Less(answer.Synced) {
		one.synced = answer.Synced
	}
	if one.accepted.Less(answer.Accepted) {
		one.accepted = answer.Accepted
	}
	if !one.synced.Less(n.latest()) {
		one.behind = false
	}
	n.progressLeadership()
	if n.leadership == lead && one.received != n.latest() && !answer.Fetching {
		n.bringOn(one)
	}
}

// primaryRefused: a member has promised a higher epoch.
func (n *Node) primaryRefused(message Message) {
	lead := n.leadership
	refusal := message.Refusal
	n.learnEpoch(refusal.Promised)
	if refusal.Promised <= lead.epoch {
		return
	}
	one := lead.follower(message.From.Incarnation)
	if one.learner && n.now-lead.began < raiseEpochAfter {
		return
	}
	if refusal.View != nil {
		n.learnView(*refusal.View)
	}
	n.stepDown(fmt.Sprintf("%s has promised epoch %d", message.From.Name, refusal.Promised))
	n.silentSince = n.retrySoon()
}

func (n *Node) tickLeadership() {
	lead := n.leadership
	if n.diskHangs() {
		n.handOverAtOnce()
		n.stepDown("its own disk doesn't finish a write")
		return
	}
	if !n.hearsMajority() {
		n.stepDown("a majority is silent")
		return
	}
	n.noteBehind()
	n.tickConfirms()
	if lead.phase == leading {
		n.changeView()
	}
	if n.now-lead.roundAt >= n.settings.Timing.Heartbeat {
		n.dropSilentLearners()
		n.broadcast()
	}
}

// contactLostAfter: a primary that hears no majority for this long ends its term; the others miss it by then.
func (n *Node) contactLostAfter() time.Duration {
	return n.settings.Timing.ElectionAfter + 2*n.settings.Timing.Heartbeat
}

func (n *Node) hearsMajority() bool {
	limit := n.contactLostAfter()
	return n.majorityOfViews(func(incarnation quorum.Incarnation) bool {
		one := n.leadership.follower(incarnation)
		return one != nil && n.now-one.heard <= limit
	})
}

// progressLeadership does what answers and syncs have made possible.
func (n *Node) progressLeadership() {
	switch n.leadership.phase {
	case bringingUp:
		n.proposeFirstView()
	case installing:
		n.commitView()
	case leading:
		n.commitView()
		n.commitChange()
		n.settleConfirms()
	}
}

// noteBehind measures since when members lack the newest change.
func (n *Node) noteBehind() {
	latest := n.latest()
	for _, one := range n.leadership.followers {
		behind := one.synced.Less(latest)
		if behind && !one.behind {
			one.behindSince = n.now
		}
		one.behind = behind
	}
}
