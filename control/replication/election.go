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
	if n.candidacy.founding && refusal.View != nil {
		n.abandonCandidacy(n.now)
		return
	}
	if refusal.Promised >= n.candidacy.epoch {
		n.abandonCandidacy(n.retrySoon())
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
