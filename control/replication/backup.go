package replication

import (
	"time"

	"eiderway/control/quorum"
)

// maxAnswerDelay is how long an answer waits for a sync, so that it can report more.
const maxAnswerDelay = 40 * time.Millisecond

// deferredAnswer is the answer to an Append that waits for the write begun for it.
type deferredAnswer struct{ since time.Duration }

// onAppend follows the sender if its epoch is not below the promised one.
func (n *Node) onAppend(message Message) {
	if message.Epoch < n.record.Promised && !n.guards.lowerEpochAccepted {
		n.refuse(message)
		return
	}
	if n.leadership != nil && n.leadership.epoch == message.Epoch {
		n.drop() // an epoch has one primary, and that is this node
		return
	}
	writes := n.disk.issued
	if message.Epoch > n.record.Promised {
		n.promiseTo(message.From, message.Epoch)
	}
	n.candidacy = nil // it is a poll, or its epoch is not higher
	n.hearLeader(message)
	n.acceptView(message.Append.View)
	n.applyChanges(message.Append.Changes)
	n.considerSnapshot(message)
	if n.disk.issued > writes && !n.disk.failed {
		if n.deferred == nil {
			n.deferred = &deferredAnswer{since: n.now}
		}
		return
	}
	n.sendAnswer()
}

func (n *Node) hearLeader(message Message) {
	if !n.leader.known || n.leader.epoch != message.Epoch || n.leader.member.Incarnation != message.From.Incarnation {
		n.leader = followedLeader{member: message.From, epoch: message.Epoch, known: true}
	}
	n.leader.heardAt = n.now
	n.silentSince = n.now
	n.leader.round = max(n.leader.round, message.Request)
	if n.leader.committed.Less(message.Append.Committed) {
		n.leader.committed = message.Append.Committed
	}
}

// acceptView accepts a newer view and writes it to disk.
func (n *Node) acceptView(view *quorum.View) {
	if view == nil || !n.record.Accepted.ID.Less(view.ID) || view.ID.Epoch < n.record.Promised {
		return
	}
	n.record.Accepted = *view
	n.record.MayFound = false
	n.learnView(*view)
	n.writeRecord()
}

// applyChanges applies the changes that continue the state, and writes them to disk in one write.
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
	n.clearRestored()
}

// clearRestored records that the state is no longer just the content of a dump: it is replicated, or its entries are marked.
func (n *Node) clearRestored() {
	if n.record.Restored {
		n.record.Restored = false
		n.writeRecord()
	}
}

// considerSnapshot begins to fetch an offered snapshot, unless the state has already reached it.
func (n *Node) considerSnapshot(message Message) {
	offer := message.Append.Snapshot
	if offer == nil || n.hasReached(message.Epoch, offer.Stamp) {
		return
	}
	n.startFetch(message.From, message.Epoch, offer.Stamp)
}

// hasReached reports whether the local state is of the epoch and at least as new as the stamp. A copy must never replace what
// it has acknowledged in an epoch by an older state of that epoch, however late an offer or a piece arrives.
func (n *Node) hasReached(epoch quorum.Epoch, stamp quorum.Stamp) bool {
	return n.history.stamp.Epoch == epoch && !n.history.stamp.Less(stamp)
}

// sendAnswer tells the primary what this node has received, and how much of it is synced.
func (n *Node) sendAnswer() {
	if !n.leader.known || n.leader.round == 0 {
		return
	}
	if n.leader.epoch != n.record.Promised && !n.guards.lowerEpochAccepted {
		return
	}
	n.deferred = nil
	n.sendTo(n.leader.member, 0, Message{
		Epoch:   n.leader.epoch,
		Request: n.leader.round,
		AppendAnswer: &AppendAnswer{
			Received: n.history.stamp,
			Synced:   n.disk.stamp,
			Accepted: n.disk.accepted,
			Fetching: n.fetch != nil,
			Leaving:  n.leaving.requested,
		},
	})
}

// acknowledgeSync answers the primary when more has been synced to disk.
func (n *Node) acknowledgeSync() {
	if n.leadership == nil && n.candidacy == nil {
		n.sendAnswer()
	}
}

func (n *Node) sendOverdueAnswer() {
	if n.deferred != nil && n.now-n.deferred.since >= maxAnswerDelay {
		n.sendAnswer()
	}
}
