package peerstate

// This file handles what routers exchange on a group: incoming messages, outgoing updates, and probes on behalf of all routers.
// It must never publish a position too old to prove anything.

import (
	"slices"
)

// Receive processes a datagram from the address of a peer, and tells whether it was well-formed and named that peer as its sender.
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
			if known := t.publishable(g, now, false); len(known) > 0 {
				t.counts.Replies++
				t.send(from, kindUpdate, g, known, now)
			}
		}
	case kindReport, kindStarted, kindFinished:
		if now < g.coordinateUntil && len(states) > 0 {
			t.effects.Updates = append(t.effects.Updates, Update{Group: g.id, Until: now + maxMissedUpdates*t.interval, Heard: true, Nodes: states})
		}
	case kindUpdate:
		if now < g.coordinateUntil && rank(g.id, from) > rank(g.id, t.config.Self) {
			g.coordinateUntil, g.subscribers = 0, nil // the sender ranks higher; a router that can't hear it will ask this one again
		}
		if !t.hasCoordinator(g, now) || g.coordinator < 0 || from == g.coordinator || rank(g.id, from) > rank(g.id, g.coordinator) {
			g.coordinator = from
		}
		if g.askedRouter >= 0 && g.updateReceivedAt < g.requestedAt {
			t.replyShare += replyGain * (1 - t.replyShare)
		}
		g.updateReceivedAt = now
		for i, s := range states {
			n := t.nodes[s.Node]
			n.publishedPosition = max(n.publishedPosition, s.Pos)
			if s.Pos == 0 {
				continue
			}
			if now-m.positions[i] < freshShare*t.interval {
				n.reportProbability = max(minReportProbability, n.reportProbability*reportProbabilityDecrease)
			} else {
				n.reportProbability = min(1, n.reportProbability*reportProbabilityIncrease)
			}
		}
		t.effects.Updates = append(t.effects.Updates, Update{Group: g.id, Until: now + maxMissedUpdates*t.interval, Heard: true, Nodes: states})
	}
	return true
}

// nodeStates records and returns what a message says of members, and removes the other entries from the positions of the
// message. A key that two members share is ignored.
func (t *Table) nodeStates(g *group, m *message, now float64) (states []NodeState) {
	keptPositions := m.positions[:0]
	for i, nameHash := range m.nameHashes {
		var n *node
		for _, member := range g.members {
			if member.nameHash == nameHash && n != nil {
				n = nil
				break
			} else if member.nameHash == nameHash {
				n = member
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
		states = append(states, s)
		keptPositions = append(keptPositions, m.positions[i])
	}
	m.positions = keptPositions
	return states
}

// publishable returns the members with a position young enough to prove something; with onlyNew, those with an unpublished one.
func (t *Table) publishable(g *group, now float64, onlyNew bool) (found []*node) {
	for _, n := range g.members {
		if now-n.position < t.config.Bound && (!onlyNew || n.position > n.publishedPosition) {
			found = append(found, n)
		}
	}
	return found
}

// subscribe records that a router has a use for updates of a group.
func (g *group) subscribe(router int, now float64) {
	if g.subscribers != nil {
		g.subscribers[router] = now
	}
}

// publish sends an update to the routers that recently had a use for the group, or to all if many had (broadcastShare). The
// successors get it, too, so that two routers that coordinate the same group learn of each other.
func (t *Table) publish(g *group, news []*node, now float64) {
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
		t.send(r, kindUpdate, g, news, now)
	}
}

// probeMembers probes on behalf of all routers. While a txn waits for a primary, or none is known, it probes every member;
// otherwise, within the probe budget, those without a newer position for a while, the longest without one first.
func (t *Table) probeMembers(g *group, now float64) {
	hasKnownPrimary := false
	for _, n := range g.members {
		hasKnownPrimary = hasKnownPrimary || n.primaryPosition > 0
	}
	probeAll := now < g.primarySoughtUntil || !hasKnownPrimary
	for probeAll || g.probeBudget >= 1 {
		var oldest *node
		for _, n := range g.members {
			due := now-n.probedAt >= minProbeInterval && (probeAll || now-n.positionAt > probeAgeShare*t.config.Bound)
			if due && (oldest == nil || n.positionAt < oldest.positionAt) {
				oldest = n
			}
		}
		if oldest == nil {
			return
		}
		if !probeAll {
			g.probeBudget--
		}
		oldest.probedAt = now
		t.counts.Probes++
		t.effects.Probes = append(t.effects.Probes, oldest.id)
	}
}
