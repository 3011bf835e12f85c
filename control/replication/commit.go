package replication

import "eiderway/control/quorum"

// commitChange commits the pending change when every copy has synced it, there are enough copies, and a majority has answered
// a round that began after the change was proposed.
func (n *Node) commitChange() {
	leadership := n.leadership
	pending := leadership.pending
	if pending == nil || !n.hasEnoughCopies() {
		return
	}
	if !n.isSyncedByCopies(leadership.committed, pending.change.Stamp) {
		return
	}
	if leadership.proposed != nil && !n.isSyncedByCopies(*leadership.proposed, pending.change.Stamp) {
		return
	}
	heard := n.hasMajorityOfViews(func(incarnation quorum.Incarnation) bool {
		follower := leadership.follower(incarnation)
		return follower != nil && follower.heardRound >= pending.round
	})
	if !heard {
		return
	}
	leadership.pending = nil
	n.history.apply(pending.change)
	n.decide(pending.request, Done)
}

func (n *Node) hasEnoughCopies() bool {
	if n.guards.noMinCopies {
		return true
	}
	leadership := n.leadership
	if leadership.proposed != nil && len(leadership.proposed.Copies) < n.minCopies() {
		return false
	}
	return len(leadership.committed.Copies) >= n.minCopies()
}

// minCopies returns the minimum number of copies with which a change may be acknowledged.
func (n *Node) minCopies() int { return n.settings.Tolerance + 1 }

func (n *Node) isSyncedByCopies(view quorum.View, stamp quorum.Stamp) bool {
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
	follower := n.leadership.follower(incarnation)
	return follower != nil && !follower.synced.Less(stamp)
}

// hasMajorityOfViews reports whether holds is true for a majority of the committed view (before the first, of the view taken
// over) and of the proposed view, if there is one. It always counts as true for this node.
func (n *Node) hasMajorityOfViews(holds func(quorum.Incarnation) bool) bool {
	leadership := n.leadership
	withSelf := func(incarnation quorum.Incarnation) bool {
		return incarnation == n.self.Incarnation || holds(incarnation)
	}
	view := leadership.committed
	if leadership.phase != leading {
		view = leadership.base
	}
	if !view.IsMajority(withSelf) {
		return false
	}
	return leadership.proposed == nil || leadership.proposed.IsMajority(withSelf)
}
