package replication

import (
	"fmt"
	"time"

	"eiderway/control/quorum"
)

const (
	// resendAfter: a question to voters is asked again after this, since messages get lost.
	resendAfter = 200 * time.Millisecond
	// pollLimit ends a poll that found no majority.
	pollLimit = 600 * time.Millisecond
	// prepareLimit ends a candidacy without a majority's promises. A slowed disk takes 0.3 s for the own promise and as
	// long for each other, all at once.
	prepareLimit = 2 * time.Second
	// retryJitter spreads the attempts of candidates that collided.
	retryJitter = 400 * time.Millisecond
)

type candidacyPhase int

const (
	polling   candidacyPhase = iota // asks whether others miss the primary too
	preparing                       // asks for promises
	fetching                        // has them, and fetches the state of a copy
)

// candidacy is an attempt to become primary, up to the point where it has a state to bring to the others.
type candidacy struct {
	phase     candidacyPhase
	request   uint64
	began     time.Duration // of the phase
	asked     time.Duration
	founding  bool
	handover  bool
	missing   []quorum.Member // who misses the primary too
	epoch     quorum.Epoch
	ownWrite  uint64 // of the own promise
	promises  []promiseGiven
	enoughAt  time.Duration // when a founding candidate had a majority
	hasEnough bool
	base      quorum.View // the view whose voters decide, once it is settled
}

type promiseGiven struct {
	member   quorum.Member
	accepted quorum.View
	stamp    quorum.Stamp
}

// tickElection looks whether it is time to stand, and repeats what got no answer.
func (n *Node) tickElection() {
	if n.candidacy != nil {
		n.tickCandidacy()
		return
	}
	if n.disk.bad || n.diskHangs() || n.leaving.asked {
		return
	}
	patience, may := n.patience()
	if may && n.now-n.silentSince >= patience {
		n.poll()
	}
}

// patience is how long this node bears silence before it stands. Copies stand first, one after the other; a voter that
// isn't a copy stands only when no copy does.
func (n *Node) patience() (time.Duration, bool) {
	if n.mayFound() {
		return n.foundingPatience(), true
	}
	if n.record.Accepted.ID == (quorum.ViewID{}) {
		return 0, false
	}
	timing := n.settings.Timing
	place := 0
	for _, member := range n.known.Voters {
		if member.Incarnation == n.self.Incarnation {
			break
		}
		place++
	}
	if place == len(n.known.Voters) {
		return 0, false
	}
	patience := timing.ElectionAfter + time.Duration(place)*timing.ElectionStep
	if !n.known.HasCopy(n.self.Incarnation) {
		patience += timing.ElectionAfter + time.Duration(len(n.known.Voters))*timing.ElectionStep
	}
	return patience, true
}

func (n *Node) tickCandidacy() {
	age := n.now - n.candidacy.began
	switch n.candidacy.phase {
	case polling:
		if age > pollLimit {
			n.abandonCandidacy(n.retrySoon())
			return
		}
	case preparing:
		if age > prepareLimit {
			n.abandonCandidacy(n.retrySoon())
			return
		}
	case fetching:
		if n.fetch == nil {
			n.abandonCandidacy(n.retrySoon())
		}
		return
	}
	if n.now-n.candidacy.asked >= resendAfter {
		n.askVoters()
	}
}

// retrySoon is a beginning of silence that lets this node stand again after a short time of its own.
func (n *Node) retrySoon() time.Duration {
	patience, _ := n.patience()
	return n.now - patience + n.settings.Timing.ElectionStep + n.jitter(retryJitter)
}

func (n *Node) abandonCandidacy(silentSince time.Duration) {
	n.candidacy = nil
	n.fetch = nil
	n.silentSince = silentSince
}

// poll asks, before any epoch is raised, whether others miss the primary as well. So a node that a one-way cut or its own
// freeze keeps from hearing a good primary does not unseat it.
func (n *Node) poll() {
	n.candidacy = &candidacy{
		phase:    polling,
		request:  n.nextRequest(),
		began:    n.now,
		founding: n.mayFound(),
		missing:  []quorum.Member{n.self},
	}
	n.askVoters()
}

// prepare raises the epoch and asks for promises.
func (n *Node) prepare(handover bool) {
	n.learnEpoch(n.record.Promised)
	n.learnEpoch(n.known.ID.Epoch)
	epoch := n.highest + 1
	n.highest = epoch
	n.record.Promised = epoch
	n.fetch = nil
	n.candidacy = &candidacy{
		phase:    preparing,
		request:  n.nextRequest(),
		began:    n.now,
		founding: n.mayFound(),
		handover: handover,
		epoch:    epoch,
		ownWrite: n.writeRecord(),
	}
	n.event("stands for election", fmt.Sprintf("epoch %d", epoch))
	n.askVoters()
}

// askVoters sends the question of the phase to all who may answer it and haven't.
func (n *Node) askVoters() {
	stand := n.candidacy
	stand.asked = n.now
	for _, member := range n.electorate() {
		if stand.answeredBy(member) {
			continue
		}
		message := Message{Epoch: stand.epoch, Request: stand.request}
		var after uint64
		if stand.phase == polling {
			message.Poll = &Poll{View: n.known.ID}
		} else {
			message.Prepare = n.prepareMessage()
			after = stand.ownWrite
		}
		n.sendTo(member, after, message)
	}
}

func (n *Node) prepareMessage() *Prepare {
	if n.candidacy.founding {
		return &Prepare{Seeds: n.sortedSeeds(), Handover: n.candidacy.handover}
	}
	return &Prepare{View: n.known, Handover: n.candidacy.handover}
}

// electorate is who is asked: the voters of every view that has come up, or the seeds.
func (n *Node) electorate() []quorum.Member {
	if n.candidacy.founding {
		return n.otherSeeds()
	}
	electorate := n.otherVoters(n.known)
	for _, promise := range n.candidacy.promises {
		for _, member := range n.otherVoters(promise.accepted) {
			if !containsMember(electorate, member.Incarnation) {
				electorate = append(electorate, member)
			}
		}
	}
	return electorate
}

func (n *Node) otherVoters(view quorum.View) []quorum.Member {
	var others []quorum.Member
	for _, member := range view.Voters {
		if member.Incarnation != n.self.Incarnation {
			others = append(others, member)
		}
	}
	return others
}

func containsMember(members []quorum.Member, incarnation quorum.Incarnation) bool {
	for _, member := range members {
		if member.Incarnation == incarnation {
			return true
		}
	}
	return false
}

func (c *candidacy) answeredBy(member quorum.Member) bool {
	if c.phase == polling {
		for _, other := range c.missing {
			if sameMember(other, member) {
				return true
			}
		}
		return false
	}
	for _, promise := range c.promises {
		if sameMember(promise.member, member) {
			return true
		}
	}
	return false
}

// sameMember compares by incarnation, or by address where that isn't known.
func sameMember(a, b quorum.Member) bool {
	if a.Incarnation == "" || b.Incarnation == "" {
		return a.Address == b.Address
	}
	return a.Incarnation == b.Incarnation
}

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

func (n *Node) onPollAnswer(message Message) {
	stand := n.candidacy
	if stand == nil || stand.phase != polling || message.Request != stand.request {
		n.drop()
		return
	}
	answer := message.PollAnswer
	n.learnEpoch(answer.Promised)
	if answer.View != nil {
		n.learnView(*answer.View)
		if stand.founding {
			n.abandonCandidacy(n.now)
			return
		}
		if _, votes := n.known.Voter(n.self.Incarnation); !votes {
			n.abandonCandidacy(n.now)
			return
		}
	}
	if stand.founding && !answer.MayFound {
		return
	}
	if answer.Missing && !stand.answeredBy(message.From) {
		stand.missing = append(stand.missing, message.From)
	}
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

func (n *Node) onPromise(message Message) {
	stand := n.candidacy
	if stand == nil || stand.phase != preparing || message.Request != stand.request || message.Epoch != stand.epoch {
		n.drop()
		return
	}
	if stand.answeredBy(message.From) {
		return
	}
	stand.promises = append(stand.promises, promiseGiven{
		member:   message.From,
		accepted: message.Promise.Accepted,
		stamp:    message.Promise.Stamp,
	})
	n.learnView(message.Promise.Accepted)
}

// onRefusal ends a candidacy or a primacy whose epoch is over.
func (n *Node) onRefusal(message Message) {
	refusal := message.Refusal
	switch {
	case n.candidacy != nil && message.Request == n.candidacy.request && message.Epoch == n.candidacy.epoch:
		n.candidacyRefused(refusal)
	case n.leadership != nil && n.leadership.asked(message):
		n.primaryRefused(message)
	default:
		n.drop()
	}
}

func (n *Node) candidacyRefused(refusal *Refusal) {
	n.learnEpoch(refusal.Promised)
	if refusal.View != nil {
		n.learnView(*refusal.View)
	}
	if refusal.Promised >= n.candidacy.epoch {
		n.abandonCandidacy(n.retrySoon())
		return
	}
	if n.candidacy.founding && refusal.View != nil {
		n.abandonCandidacy(n.now)
	}
}

// evaluateCandidacy goes on to the next phase where the answers allow it.
func (n *Node) evaluateCandidacy() {
	switch n.candidacy.phase {
	case polling:
		if n.enoughMissing() {
			n.prepare(n.candidacy.handover)
		}
	case preparing:
		n.countOwnPromise()
		n.evaluatePromises()
	}
}

func (n *Node) enoughMissing() bool {
	stand := n.candidacy
	if stand.founding {
		return len(stand.missing) >= majorityOf(len(n.settings.Seeds))
	}
	return n.known.IsMajority(func(incarnation quorum.Incarnation) bool {
		return containsMember(stand.missing, incarnation)
	})
}

func majorityOf(count int) int { return count/2 + 1 }

// countOwnPromise counts this node's own promise once it is on disk.
func (n *Node) countOwnPromise() {
	stand := n.candidacy
	if n.disk.promised < stand.epoch || stand.answeredBy(n.self) {
		return
	}
	stand.promises = append(stand.promises, promiseGiven{
		member:   n.self,
		accepted: n.record.Accepted,
		stamp:    n.history.stamp,
	})
}

func (n *Node) evaluatePromises() {
	stand := n.candidacy
	newest := quorum.View{}
	for _, promise := range stand.promises {
		if newest.ID.Less(promise.accepted.ID) {
			newest = promise.accepted
		}
	}
	if newest.ID == (quorum.ViewID{}) {
		n.evaluateFounding()
		return
	}
	if _, votes := newest.Voter(n.self.Incarnation); !votes {
		return
	}
	if !newest.IsMajority(stand.promisedBy) {
		return
	}
	if newest.HasCopy(n.self.Incarnation) || n.guards.anyVoterLeads {
		n.takeOver(newest)
		return
	}
	source, found := stand.bestCopy(newest)
	if !found {
		return
	}
	stand.phase = fetching
	stand.began = n.now
	stand.base = newest
	n.startFetch(source.member, stand.epoch, source.stamp)
}

func (c *candidacy) promisedBy(incarnation quorum.Incarnation) bool {
	for _, promise := range c.promises {
		if promise.member.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// bestCopy is the copy of the view with the highest stamp among those that have promised.
func (c *candidacy) bestCopy(view quorum.View) (promiseGiven, bool) {
	best := promiseGiven{}
	found := false
	for _, promise := range c.promises {
		if !view.HasCopy(promise.member.Incarnation) {
			continue
		}
		if !found || best.stamp.Less(promise.stamp) {
			best = promise
			found = true
		}
	}
	return best, found
}
