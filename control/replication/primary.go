package replication

import (
	"fmt"
	"sort"
	"time"

	"eiderway/control/quorum"
)

const (
	// batchBytes bounds the changes in one message, so that a word doesn't hold up the link for long.
	batchBytes = 64 << 10
	// changesResentAfter: changes that were sent are not sent again before a slowed disk can have answered.
	changesResentAfter = 500 * time.Millisecond
	// bringUpWait: a candidate with enough copies waits this long for those that answer but are not done,
	bringUpWait = 500 * time.Millisecond
	// and this long for those that haven't answered at all.
	bringUpPause = 60 * time.Millisecond
	// raiseEpochAfter limits how often a primary stands again because a newcomer has promised a higher epoch.
	raiseEpochAfter = 3 * time.Second
)

type leadershipPhase int

const (
	bringingUp leadershipPhase = iota // has the promises and a state, and brings the others to it
	installing                        // has proposed the first view of the epoch
	leading                           // the view is committed
)

// leadership is what a node knows as the primary of an epoch.
type leadership struct {
	phase     leadershipPhase
	epoch     quorum.Epoch
	began     time.Duration
	enoughAt  time.Duration // when enough copies had the state; zero: not yet
	base      quorum.View   // of which the voters are taken over
	committed quorum.View
	proposed  *quorum.View // under way; at most one
	followers []*follower  // sorted by incarnation; without this node
	round     uint64       // number of the last word to all
	roundAt   time.Duration
	pending   *pendingChange
	confirms  []pendingConfirm
}

// pendingChange is the change under way.
type pendingChange struct {
	request uint64
	change  Change
	round   uint64 // the first word to all that began after the change came
}

// follower is a member, or one that is to become one, as the primary sees it.
type follower struct {
	member     quorum.Member
	heard      time.Duration // in this epoch; at first the beginning of the epoch
	answered   bool          // in this epoch
	heardRound uint64
	received   quorum.Stamp
	synced     quorum.Stamp
	accepted   quorum.ViewID
	leaving    bool
	learner    bool // neither voter of the committed view nor of the proposed one

	sentStamp   quorum.Stamp // the follower was there when changes were sent
	sentLatest  quorum.Stamp // up to here
	sentAt      time.Duration
	viewSent    quorum.ViewID
	viewSentAt  time.Duration
	behind      bool
	behindSince time.Duration
	penalty     time.Duration // doubles each time its disk was too slow
	heldOff     time.Duration // not let back into the copies before
}

func (l *leadership) follower(incarnation quorum.Incarnation) *follower {
	for _, one := range l.followers {
		if one.member.Incarnation == incarnation {
			return one
		}
	}
	return nil
}

// asked tells whether the message answers a word of this leadership.
func (l *leadership) asked(answer Message) bool {
	if answer.Epoch != l.epoch || answer.Request == 0 || answer.Request > l.round {
		return false
	}
	return l.follower(answer.From.Incarnation) != nil
}

func (l *leadership) addFollower(one *follower) {
	l.followers = append(l.followers, one)
	sort.Slice(l.followers, func(a, b int) bool {
		return l.followers[a].member.Incarnation < l.followers[b].member.Incarnation
	})
}

func (l *leadership) forgetSilence(now time.Duration) {
	for _, one := range l.followers {
		one.heard = now
		one.behind = false
	}
}

// askAgain lets only answers to words from now on count: what waited here while the process stood still proves nothing.
func (l *leadership) askAgain() {
	if l.pending != nil {
		l.pending.round = l.round + 1
	}
	for index := range l.confirms {
		l.confirms[index].round = l.round + 1
	}
}

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

// latest is the stamp of the newest change that was handed out.
func (n *Node) latest() quorum.Stamp { return n.writtenStamp() }

// broadcast is a word to all. Each has a number, so that an answer shows which word it came after.
func (n *Node) broadcast() {
	n.leadership.round++
	n.leadership.roundAt = n.now
	for _, one := range n.leadership.followers {
		n.sendAppend(one)
	}
}

func (n *Node) sendAppend(one *follower) {
	lead := n.leadership
	word := &Append{Committed: lead.committed.ID, Latest: n.latest()}
	word.View = n.viewFor(one)
	word.Changes, word.Snapshot = n.stateFor(one)
	n.sendTo(one.member, 0, Message{Epoch: lead.epoch, Request: lead.round, Append: word})
}

// viewFor is the view that the follower has yet to accept.
func (n *Node) viewFor(one *follower) *quorum.View {
	lead := n.leadership
	view := lead.committed
	if lead.proposed != nil {
		view = *lead.proposed
	}
	if !one.accepted.Less(view.ID) {
		return nil
	}
	if one.viewSent == view.ID && n.now-one.viewSentAt < changesResentAfter {
		return nil
	}
	one.viewSent = view.ID
	one.viewSentAt = n.now
	return &view
}

// stateFor is what brings the follower on: changes, or the offer of a snapshot.
func (n *Node) stateFor(one *follower) ([]Change, *SnapshotOffer) {
	latest := n.latest()
	if one.received == latest || n.now-one.heard > 3*n.settings.Timing.Heartbeat {
		return nil, nil // one that is silent gets heartbeats only, and says where it is when it is back
	}
	if one.sentStamp == one.received && one.sentLatest == latest && n.now-one.sentAt < changesResentAfter {
		return nil, nil
	}
	changes, kept := n.history.since(one.received)
	if !kept || !n.history.worthwhile(changes) {
		if !one.answered {
			return nil, nil // its promise may be missing; it will say where it is
		}
		served := n.offered()
		n.noteSent(one, latest)
		return nil, &SnapshotOffer{Stamp: served.stamp, Pieces: served.pieces()}
	}
	if n.leadership.pending != nil {
		changes = append(changes[:len(changes):len(changes)], n.leadership.pending.change)
	}
	n.noteSent(one, latest)
	return batch(changes), nil
}

func (n *Node) noteSent(one *follower, latest quorum.Stamp) {
	one.sentStamp = one.received
	one.sentLatest = latest
	one.sentAt = n.now
}

// batch is as many of the changes as fit into one message, one at least.
func batch(changes []Change) []Change {
	size := 0
	for index, change := range changes {
		size += changeSize(change)
		if index > 0 && size > batchBytes {
			return changes[:index]
		}
	}
	return changes
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

// bringOn sends the next changes at once, if there is something new to send.
func (n *Node) bringOn(one *follower) {
	changes, offer := n.stateFor(one)
	if changes == nil && offer == nil {
		return
	}
	word := &Append{Committed: n.leadership.committed.ID, Latest: n.latest(), Changes: changes, Snapshot: offer}
	n.sendTo(one.member, 0, Message{Epoch: n.leadership.epoch, Request: n.leadership.round, Append: word})
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

// majorityOfViews asks for a majority of each view in question: the one committed, or taken over, and the one proposed.
// This node's own voice counts where it has a vote.
func (n *Node) majorityOfViews(holds func(quorum.Incarnation) bool) bool {
	lead := n.leadership
	withSelf := func(incarnation quorum.Incarnation) bool {
		return incarnation == n.self.Incarnation || holds(incarnation)
	}
	view := lead.committed
	if lead.phase != leading {
		view = lead.base
	}
	if !view.IsMajority(withSelf) {
		return false
	}
	return lead.proposed == nil || lead.proposed.IsMajority(withSelf)
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

// commitChange commits the change under way when every copy has synced it, there are enough of them, and a majority has
// been heard since it came.
func (n *Node) commitChange() {
	lead := n.leadership
	pending := lead.pending
	if pending == nil || !n.enoughCopies() {
		return
	}
	if !n.syncedByCopies(lead.committed, pending.change.Stamp) {
		return
	}
	if lead.proposed != nil && !n.syncedByCopies(*lead.proposed, pending.change.Stamp) {
		return
	}
	heard := n.majorityOfViews(func(incarnation quorum.Incarnation) bool {
		one := lead.follower(incarnation)
		return one != nil && one.heardRound >= pending.round
	})
	if !heard {
		return
	}
	lead.pending = nil
	n.history.apply(pending.change)
	n.decide(pending.request, Done)
}

func (n *Node) enoughCopies() bool {
	if n.guards.noFloor {
		return true
	}
	lead := n.leadership
	if lead.proposed != nil && len(lead.proposed.Copies) < n.floor() {
		return false
	}
	return len(lead.committed.Copies) >= n.floor()
}

// floor is the least number of copies with which a change may be acknowledged.
func (n *Node) floor() int { return n.settings.Tolerance + 1 }

func (n *Node) syncedByCopies(view quorum.View, stamp quorum.Stamp) bool {
	lagging := 0
	for _, incarnation := range view.Copies {
		if !n.hasSynced(incarnation, stamp) {
			lagging++
		}
	}
	if n.guards.oneCopyMayLag {
		lagging--
	}
	return lagging <= 0
}

func (n *Node) hasSynced(incarnation quorum.Incarnation, stamp quorum.Stamp) bool {
	if incarnation == n.self.Incarnation {
		return !n.disk.stamp.Less(stamp)
	}
	one := n.leadership.follower(incarnation)
	return one != nil && !one.synced.Less(stamp)
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
