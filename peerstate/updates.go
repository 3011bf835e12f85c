package peerstate

// This file owns what routers exchange on a group: messages that come, updates that go, and probes for all. It must never
// publish a position that proves nothing.

import (
	"slices"
)

// Receive takes a datagram that came from the address of a peer, and tells whether it was one of ours.
func (t *Table) Receive(from int, datagram []byte, now float64) bool {
	m, err := decode(datagram, now, t.ageUnit())
	if err != nil || m.from != from || from == t.config.Self || from < 0 || from >= len(t.unreachableUntil) {
		t.counts.Malformed++
		return false
	}
	t.counts.Received++
	t.unreachableUntil[from] = 0
	g := t.groups[m.group]
	if g == nil {
		t.counts.UnknownGroups++
		return true
	}
	states := t.nodeStates(g, m, now)
	if m.kind != kindUpdate {
		defer g.subscribe(from, now)
	}
	switch m.kind {
	case kindSubscribe, kindSubscribeNow, kindSeekPrimary:
		t.coordinate(g, m.kind == kindSeekPrimary, now)
		if m.kind == kindSubscribeNow {
			if all := t.provable(g, now, false); len(all) > 0 {
				t.counts.Replies++
				t.send(from, kindUpdate, g, all, now)
			}
		}
	case kindReport, kindStarted, kindFinished:
		if now < g.coordinateUntil && len(states) > 0 {
			t.effects.Updates = append(t.effects.Updates, Update{Group: g.id, Until: now + missedUpdates*t.interval, Heard: true, Nodes: states})
		}
	case kindUpdate:
		if now < g.coordinateUntil && rank(g.id, from) > rank(g.id, t.config.Self) {
			g.coordinateUntil, g.subscribers = 0, nil // it comes first; whoever can't hear it asks us again
		}
		if !t.hasCoordinator(g, now) || g.coordinator < 0 || from == g.coordinator || rank(g.id, from) > rank(g.id, g.coordinator) {
			g.coordinator = from
		}
		if g.asked >= 0 && g.heardAt < g.askedAt {
			t.replyShare += replyGain * (1 - t.replyShare)
		}
		g.heardAt = now
		for i, s := range states {
			n := t.nodes[s.Node]
			n.publishedPosition = max(n.publishedPosition, s.Pos)
			if s.Pos == 0 {
				continue
			}
			if now-m.positions[i] < freshShare*t.interval {
				n.reportPart = max(minReportPart, n.reportPart*reportDecrease)
			} else {
				n.reportPart = min(1, n.reportPart*reportIncrease)
			}
		}
		t.effects.Updates = append(t.effects.Updates, Update{Group: g.id, Until: now + missedUpdates*t.interval, Heard: true, Nodes: states})
	}
	return true
}

// nodeStates takes in what a message says of members, and keeps of the message what they are. A key that two members share says
// nothing of either.
func (t *Table) nodeStates(g *group, m *message, now float64) (out []NodeState) {
	kept := m.positions[:0]
	for i, key := range m.keys {
		var n *node
		for _, x := range g.members {
			if x.key == key && n != nil {
				n = nil
				break
			} else if x.key == key {
				n = x
			}
		}
		if n == nil || m.positions[i] > now+maxClockAhead {
			continue
		}
		s := NodeState{Node: n.id, Pos: m.positions[i], Primary: m.primaries[i]}
		switch {
		case m.kind == kindUpdate:
			s.Load = int(m.counts[i])
		case now < g.coordinateUntil:
			if m.kind == kindStarted || m.kind == kindFinished {
				n.receiveCount(m.kind, m.from, m.counts[i], now)
			}
			s.Load = n.load(now)
		}
		t.learn(n, s.Pos, s.Primary, now)
		out = append(out, s)
		kept = append(kept, m.positions[i])
	}
	m.positions = kept
	return out
}

// provable are the members of which there is something to publish: a position young enough to prove something, a primary.
func (t *Table) provable(g *group, now float64, fresh bool) (all []*node) {
	for _, n := range g.members {
		if now-n.position < t.config.Bound && (!fresh || n.position > n.publishedPosition) {
			all = append(all, n)
		}
	}
	return all
}

// subscribe notes that a router has a use for updates of a group.
func (g *group) subscribe(router int, now float64) {
	if g.subscribers != nil {
		g.subscribers[router] = now
	}
}

// publish sends an update to the routers that have had a use for the group of late, or to all where most have. Its successors
// get it, too: two that coordinate one group must come to know of each other.
func (t *Table) publish(g *group, all []*node, now float64) {
	var to []int
	for r, at := range g.subscribers {
		if r != t.config.Self && (now-at < subscriptionTime || slices.Contains(t.successorsOf(g), r)) {
			to = append(to, r)
		}
	}
	if float64(len(to)) >= broadcastShare*float64(t.config.Routers-1) {
		to = []int{All}
	}
	for _, r := range to {
		t.send(r, kindUpdate, g, all, now)
	}
}

// probe probes for all: while a txn waits for a primary, or none is known, every member; else, as far as requests have paid
// for it, those of which nobody has reported anything for a while, the longest first.
func (t *Table) probe(g *group, now float64) {
	known := false
	for _, n := range g.members {
		known = known || n.primaryPosition > 0
	}
	whole := now < g.primarySoughtUntil || !known
	for whole || g.probeBudget >= 1 {
		var oldest *node
		for _, n := range g.members {
			due := now-n.probedAt >= probeAgain && (whole || now-n.positionAt > probeAfter*t.config.Bound)
			if due && (oldest == nil || n.positionAt < oldest.positionAt) {
				oldest = n
			}
		}
		if oldest == nil {
			return
		}
		if !whole {
			g.probeBudget--
		}
		oldest.probedAt = now
		t.counts.Probes++
		t.effects.Probes = append(t.effects.Probes, oldest.id)
	}
}
