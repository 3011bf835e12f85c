package replication

import (
	"time"

	"eiderway/control/quorum"
)

// answerSoon: an answer that waits for a sync, to say more, does not wait longer than this.
const answerSoon = 40 * time.Millisecond

// owedAnswer is a word of the primary that has not been answered because a write was begun for it.
type owedAnswer struct{ since time.Duration }

// onAppend follows the primary of an epoch that is not below the promised one.
func (n *Node) onAppend(message Message) {
	if message.Epoch < n.record.Promised && !n.guards.lowerEpochTaken {
		n.refuse(message)
		return
	}
	if n.leadership != nil && n.leadership.epoch == message.Epoch {
		n.drop() // there is one primary in an epoch, and that is this node
		return
	}
	writes := n.disk.issued
	if message.Epoch > n.record.Promised {
		n.promiseTo(message.From, message.Epoch)
	}
	n.candidacy = nil // of an epoch that is not above, or a poll
	n.hearLeader(message)
	n.acceptView(message.Append.View)
	n.applyChanges(message.Append.Changes)
	n.considerSnapshot(message)
	if n.disk.issued > writes && !n.disk.bad {
		if n.owed == nil {
			n.owed = &owedAnswer{since: n.now}
		}
		return
	}
	n.sendAnswer()
}

func (n *Node) hearLeader(message Message) {
	if !n.leader.known || n.leader.epoch != message.Epoch || n.leader.member.Incarnation != message.From.Incarnation {
		n.leader = leaderSeen{member: message.From, epoch: message.Epoch, known: true}
	}
	n.leader.heard = n.now
	n.silentSince = n.now
	n.leader.round = max(n.leader.round, message.Request)
	if n.leader.committed.Less(message.Append.Committed) {
		n.leader.committed = message.Append.Committed
	}
}

// acceptView puts a newer view on disk.
func (n *Node) acceptView(view *quorum.View) {
	if view == nil || !n.record.Accepted.ID.Less(view.ID) || view.ID.Epoch < n.record.Promised {
		return
	}
	n.record.Accepted = *view
	n.record.MayFound = false
	n.learnView(*view)
	n.writeRecord()
}

// applyChanges takes the changes that follow on the state, and puts them on disk in one write.
func (n *Node) applyChanges(changes []Change) {
	var mutations []Mutation
	before := n.history.stamp
	for _, change := range changes {
		if change.Previous != n.history.stamp {
			continue
		}
		n.history.apply(change)
		mutations = append(mutations, change.Mutations...)
	}
	if n.history.stamp == before {
		return
	}
	n.fetch = nil
	n.writeState(mutations)
	n.noteAgreed()
}

// noteAgreed records that the state here is what a primary has agreed on with others, not what a dump held.
func (n *Node) noteAgreed() {
	if n.record.Restored {
		n.record.Restored = false
		n.writeRecord()
	}
}

// considerSnapshot begins to fetch the state where changes don't lead to it any more.
func (n *Node) considerSnapshot(message Message) {
	offer := message.Append.Snapshot
	if offer == nil || n.hasReached(message.Epoch, offer.Stamp) {
		return
	}
	n.startFetch(message.From, message.Epoch, offer.Stamp)
}

// hasReached tells that a state of the epoch is no news here. What a copy has acknowledged in an epoch it must never
// give up for an older state of that epoch, however late an offer or a piece comes.
func (n *Node) hasReached(epoch quorum.Epoch, stamp quorum.Stamp) bool {
	return n.history.stamp.Epoch == epoch && !n.history.stamp.Less(stamp)
}

// sendAnswer tells the primary what this node has, and how much of it is safe.
func (n *Node) sendAnswer() {
	if !n.leader.known || n.leader.round == 0 {
		return
	}
	if n.leader.epoch != n.record.Promised && !n.guards.lowerEpochTaken {
		return
	}
	n.owed = nil
	n.sendTo(n.leader.member, 0, Message{
		Epoch:   n.leader.epoch,
		Request: n.leader.round,
		AppendAnswer: &AppendAnswer{
			Received: n.history.stamp,
			Synced:   n.disk.stamp,
			Accepted: n.disk.accepted,
			Fetching: n.fetch != nil,
			Leaving:  n.leaving.asked,
		},
	})
}

// acknowledgeSync is called when more has become safe on disk.
func (n *Node) acknowledgeSync() {
	if n.leadership == nil && n.candidacy == nil {
		n.sendAnswer()
	}
}

func (n *Node) payOwedAnswer() {
	if n.owed != nil && n.now-n.owed.since >= answerSoon {
		n.sendAnswer()
	}
}
