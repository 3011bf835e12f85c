package replication

import (
	"time"

	"eiderway/control/quorum"
)

const (
	// maxBatchBytes bounds the changes in one message, so that it doesn't occupy the link for long.
	maxBatchBytes = 64 << 10
	// resendChangesAfter is when unanswered changes are sent again: not before a slow disk can have synced them.
	resendChangesAfter = 500 * time.Millisecond
)

// latestStamp returns the stamp of the newest change, a pending one included.
func (n *Node) latestStamp() quorum.Stamp { return n.writtenStamp() }

// broadcast starts a round. An answer repeats the number of the round, which proves that it was sent after it.
func (n *Node) broadcast() {
	n.leadership.round++
	n.leadership.roundAt = n.now
	for _, follower := range n.leadership.followers {
		n.sendAppend(follower)
	}
}

func (n *Node) sendAppend(follower *follower) {
	leadership := n.leadership
	message := &Append{Committed: leadership.committed.ID, Latest: n.latestStamp()}
	message.View = n.viewToSend(follower)
	message.Changes, message.Snapshot = n.stateToSend(follower)
	n.sendTo(follower.member, 0, Message{Epoch: leadership.epoch, Request: leadership.round, Append: message})
}

// viewToSend returns the newest view if the follower has yet to accept it and it was not sent just now.
func (n *Node) viewToSend(follower *follower) *quorum.View {
	leadership := n.leadership
	view := leadership.committed
	if leadership.proposed != nil {
		view = *leadership.proposed
	}
	if !follower.accepted.Less(view.ID) {
		return nil
	}
	if follower.viewSent == view.ID && n.now-follower.viewSentAt < resendChangesAfter {
		return nil
	}
	follower.viewSent = view.ID
	follower.viewSentAt = n.now
	return &view
}

// stateToSend returns what the follower needs to catch up: changes, or the offer of a snapshot.
func (n *Node) stateToSend(follower *follower) ([]Change, *SnapshotOffer) {
	latest := n.latestStamp()
	if follower.received == latest || n.now-follower.heardAt > 3*n.settings.Timing.Heartbeat {
		return nil, nil // a silent follower gets heartbeats only, and reports its stamp when it is back
	}
	if follower.sentStamp == follower.received && follower.sentLatest == latest && n.now-follower.sentAt < resendChangesAfter {
		return nil, nil
	}
	changes, kept := n.history.changesSince(follower.received)
	if !kept || !n.history.prefersChanges(changes) {
		if !follower.answered {
			return nil, nil // its stamp may be unknown; its answer will report it
		}
		served := n.currentSnapshot()
		n.noteSent(follower, latest)
		return nil, &SnapshotOffer{Stamp: served.stamp, Pieces: served.pieces()}
	}
	if n.leadership.pending != nil {
		changes = append(changes[:len(changes):len(changes)], n.leadership.pending.change)
	}
	n.noteSent(follower, latest)
	return firstBatch(changes), nil
}

func (n *Node) noteSent(follower *follower, latest quorum.Stamp) {
	follower.sentStamp = follower.received
	follower.sentLatest = latest
	follower.sentAt = n.now
}

// firstBatch returns as many of the changes as fit into one message, but at least one.
func firstBatch(changes []Change) []Change {
	size := 0
	for index, change := range changes {
		size += changeSize(change)
		if index > 0 && size > maxBatchBytes {
			return changes[:index]
		}
	}
	return changes
}

// sendMissingChanges sends the next changes or an offer at once, if there is something new to send.
func (n *Node) sendMissingChanges(follower *follower) {
	changes, offer := n.stateToSend(follower)
	if changes == nil && offer == nil {
		return
	}
	message := &Append{Committed: n.leadership.committed.ID, Latest: n.latestStamp(), Changes: changes, Snapshot: offer}
	n.sendTo(follower.member, 0, Message{Epoch: n.leadership.epoch, Request: n.leadership.round, Append: message})
}
