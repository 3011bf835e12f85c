package replication

import "eiderway/control/quorum"

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
