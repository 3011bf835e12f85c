package replication

import (
	"time"

	"eiderway/control/quorum"
)

const (
	// batchBytes bounds the changes in one message, so that a word doesn't hold up the link for long.
	batchBytes = 64 << 10
	// changesResentAfter: changes that were sent are not sent again before a slowed disk can have answered.
	changesResentAfter = 500 * time.Millisecond
)

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

// bringOn sends the next changes at once, if there is something new to send.
func (n *Node) bringOn(one *follower) {
	changes, offer := n.stateFor(one)
	if changes == nil && offer == nil {
		return
	}
	word := &Append{Committed: n.leadership.committed.ID, Latest: n.latest(), Changes: changes, Snapshot: offer}
	n.sendTo(one.member, 0, Message{Epoch: n.leadership.epoch, Request: n.leadership.round, Append: word})
}
