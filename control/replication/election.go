package replication

import (
	"fmt"
	"time"

	"eiderway/control/quorum"
)

const (
	// resendQuestionAfter is when an unanswered question to voters is sent again, since messages get lost.
	resendQuestionAfter = 200 * time.Millisecond
	// pollTimeout ends a poll that found no majority.
	pollTimeout = 600 * time.Millisecond
	// prepareTimeout ends a candidacy without the promises of a majority. A slow disk takes 0.3 s to sync the candidate's own
	// promise, and then as long for the promises of the others, which sync at the same time.
	prepareTimeout = 2 * time.Second
	// retryJitter spreads the attempts of candidates that collided.
	retryJitter = 400 * time.Millisecond
)

// tickElection starts a candidacy when it is time, and repeats questions that got no answer.
func (n *Node) tickElection() {
	if n.candidacy != nil {
		n.tickCandidacy()
		return
	}
	if n.disk.failed || n.isDiskHanging() || n.leaving.requested {
		return
	}
	timeout, mayStand := n.electionTimeout()
	if mayStand && n.now-n.silentSince >= timeout {
		n.poll()
	}
}

// electionTimeout returns how long this node waits in silence before it stands for election, and whether it may stand.
// Voters stand one after the other, those that are copies first; a voter that isn't a copy stands only when no copy does.
func (n *Node) electionTimeout() (time.Duration, bool) {
	if n.mayFound() {
		return n.foundingTimeout(), true
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
	timeout := timing.ElectionAfter + time.Duration(place)*timing.ElectionStep
	if !n.known.HasCopy(n.self.Incarnation) {
		timeout += timing.ElectionAfter + time.Duration(len(n.known.Voters))*timing.ElectionStep
	}
	return timeout, true
}

func (n *Node) tickCandidacy() {
	age := n.now - n.candidacy.phaseBeganAt
	switch n.candidacy.phase {
	case polling:
		if age > pollTimeout {
			n.abandonCandidacy(n.silenceStartForRetry())
			return
		}
	case preparing:
		if age > prepareTimeout {
			n.abandonCandidacy(n.silenceStartForRetry())
			return
		}
	case fetching:
		if n.fetch == nil {
			n.abandonCandidacy(n.silenceStartForRetry())
		}
		return
	}
	if n.now-n.candidacy.askedAt >= resendQuestionAfter {
		n.askVoters()
	}
}

// silenceStartForRetry returns the value of silentSince with which this node stands again after a short, random time.
func (n *Node) silenceStartForRetry() time.Duration {
	timeout, _ := n.electionTimeout()
	return n.now - timeout + n.settings.Timing.ElectionStep + n.jitter(retryJitter)
}

func (n *Node) abandonCandidacy(silentSince time.Duration) {
	n.candidacy = nil
	n.fetch = nil
	n.silentSince = silentSince
}

// poll asks, before any epoch is raised, whether others miss the primary as well. So a node that doesn't hear a working
// primary because of a one-way cut or its own freeze does not displace it.
func (n *Node) poll() {
	n.candidacy = &candidacy{
		phase:          polling,
		request:        n.nextRequest(),
		phaseBeganAt:   n.now,
		founding:       n.mayFound(),
		missingPrimary: []quorum.Member{n.self},
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
		phase:        preparing,
		request:      n.nextRequest(),
		phaseBeganAt: n.now,
		founding:     n.mayFound(),
		handover:     handover,
		epoch:        epoch,
		ownWrite:     n.writeRecord(),
	}
	n.logEvent("stands for election", fmt.Sprintf("epoch %d", epoch))
	n.askVoters()
}

// askVoters sends the question of the current phase to all members of the electorate that have not answered it.
func (n *Node) askVoters() {
	candidacy := n.candidacy
	candidacy.askedAt = n.now
	for _, member := range n.electorate() {
		if candidacy.answeredBy(member) {
			continue
		}
		message := Message{Epoch: candidacy.epoch, Request: candidacy.request}
		var after uint64
		if candidacy.phase == polling {
			message.Poll = &Poll{View: n.known.ID}
		} else {
			message.Prepare = n.newPrepare()
			after = candidacy.ownWrite
		}
		n.sendTo(member, after, message)
	}
}

func (n *Node) newPrepare() *Prepare {
	if n.candidacy.founding {
		return &Prepare{Seeds: n.sortedSeeds(), Handover: n.candidacy.handover}
	}
	return &Prepare{View: n.known, Handover: n.candidacy.handover}
}

// electorate returns the members that are asked: the other voters of the newest view and of every view in a promise, or the
// other seeds when founding.
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

func (n *Node) onPollAnswer(message Message) {
	candidacy := n.candidacy
	if candidacy == nil || candidacy.phase != polling || message.Request != candidacy.request {
		n.drop()
		return
	}
	answer := message.PollAnswer
	n.learnEpoch(answer.Promised)
	if answer.View != nil {
		n.learnView(*answer.View)
		if candidacy.founding {
			n.abandonCandidacy(n.now)
			return
		}
		if _, votes := n.known.Voter(n.self.Incarnation); !votes {
			n.abandonCandidacy(n.now)
			return
		}
	}
	if candidacy.founding && !answer.MayFound {
		return
	}
	if answer.Missing && !candidacy.answeredBy(message.From) {
		candidacy.missingPrimary = append(candidacy.missingPrimary, message.From)
	}
}

func (n *Node) onPromise(message Message) {
	candidacy := n.candidacy
	if candidacy == nil || candidacy.phase != preparing || message.Request != candidacy.request || message.Epoch != candidacy.epoch {
		n.drop()
		return
	}
	if candidacy.answeredBy(message.From) {
		return
	}
	candidacy.promises = append(candidacy.promises, receivedPromise{
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
		n.onCandidacyRefusal(refusal)
	case n.leadership != nil && n.leadership.hasAsked(message):
		n.onPrimaryRefusal(message)
	default:
		n.drop()
	}
}

func (n *Node) onCandidacyRefusal(refusal *Refusal) {
	n.learnEpoch(refusal.Promised)
	if refusal.View != nil {
		n.learnView(*refusal.View)
	}
	if n.candidacy.founding && refusal.View != nil {
		n.abandonCandidacy(n.now)
		return
	}
	if refusal.Promised >= n.candidacy.epoch {
		n.abandonCandidacy(n.silenceStartForRetry())
	}
}

// evaluateCandidacy enters the next phase when the answers allow it.
func (n *Node) evaluateCandidacy() {
	switch n.candidacy.phase {
	case polling:
		if n.hasPollMajority() {
			n.prepare(n.candidacy.handover)
		}
	case preparing:
		n.countOwnPromise()
		n.evaluatePromises()
	}
}

func (n *Node) hasPollMajority() bool {
	candidacy := n.candidacy
	if candidacy.founding {
		return len(candidacy.missingPrimary) >= majorityOf(len(n.settings.Seeds))
	}
	return n.known.IsMajority(func(incarnation quorum.Incarnation) bool {
		return containsMember(candidacy.missingPrimary, incarnation)
	})
}

func majorityOf(count int) int { return count/2 + 1 }

// countOwnPromise counts this node's own promise once it is on disk.
func (n *Node) countOwnPromise() {
	candidacy := n.candidacy
	if n.disk.promised < candidacy.epoch || candidacy.answeredBy(n.self) {
		return
	}
	candidacy.promises = append(candidacy.promises, receivedPromise{
		member:   n.self,
		accepted: n.record.Accepted,
		stamp:    n.history.stamp,
	})
}

func (n *Node) evaluatePromises() {
	candidacy := n.candidacy
	newest := quorum.View{}
	for _, promise := range candidacy.promises {
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
	if !newest.IsMajority(candidacy.promisedBy) {
		return
	}
	if newest.HasCopy(n.self.Incarnation) || n.guards.anyVoterTakesOver {
		n.takeOver(newest)
		return
	}
	source, found := candidacy.bestCopy(newest)
	if !found {
		return
	}
	candidacy.phase = fetching
	candidacy.phaseBeganAt = n.now
	candidacy.base = newest
	n.startFetch(source.member, candidacy.epoch, source.stamp)
}
