package peerstate

// This file decides which router coordinates a group, and for how long. It must never block on the answer of another router.

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// reportsSubmissions tells whether this router reports its submissions to the coordinator: while the coordinator sends it
// updates, and for submissionReportTime after that if few of its reads have a proof of its own. A router without use for a group
// gets no updates; its reports show the coordinator that it has a use for them again.
func (t *Table) reportsSubmissions(g *group, now float64) bool {
	return t.hasCoordinator(g, now) ||
		g.unprovenShare > unprovenThreshold && g.coordinator >= 0 && now-g.updateReceivedAt < submissionReportTime
}

// hasCoordinator tells whether this router or another one is coordinating the group.
func (t *Table) hasCoordinator(g *group, now float64) bool {
	return now < g.coordinateUntil || now-g.updateReceivedAt < maxMissedUpdates*t.interval
}

// RecordArrival records that a read with a staleness bound, or a write, has arrived for a group. A read asks for coordination
// if this router often has no proof of its own; a router with enough traffic asks for nothing. A write asks if no member has
// said to this router that it is primary; otherwise each router would probe all members for its first write.
func (t *Table) RecordArrival(id int, write bool, now float64) {
	g := t.groups[id]
	if g == nil {
		return
	}
	if write {
		if !slices.ContainsFunc(g.members, func(n *node) bool { return n.saidPrimary }) && !t.hasCoordinator(g, now) {
			t.request(g, true, now)
		}
		return
	}
	unproven := 1.0
	for _, n := range g.members {
		if n.ownPosition > now-t.config.Bound && n.primaryPosition < n.ownPosition {
			unproven = 0
		}
	}
	if g.unprovenShare += unprovenGain * (unproven - g.unprovenShare); unproven > 0 && g.unprovenShare > unprovenThreshold {
		t.request(g, false, now)
	}
}

// AwaitPrimary records that a txn waits until the primary of a group is known.
func (t *Table) AwaitPrimary(id int, now float64) {
	if g := t.groups[id]; g != nil {
		t.request(g, true, now)
	}
}

// request asks for the coordination of a group, unless this router did so a short while ago. With seekPrimary, the coordinator
// is to look for the primary.
func (t *Table) request(g *group, seekPrimary bool, now float64) {
	if t.config.Routers < 2 {
		return
	}
	if now < g.coordinateUntil {
		t.coordinate(g, seekPrimary, now)
		return
	}
	to, kind := g.coordinator, kindSubscribe
	if seekPrimary {
		kind = kindSeekPrimary
	}
	switch {
	case t.hasCoordinator(g, now):
		minWait := primarySearchTime / 2
		if !seekPrimary {
			minWait = coordinationTime / 4
			if t.rng.Float64() >= requestsPerGroup/float64(t.config.Routers) {
				return
			}
		}
		if now-g.requestedAt < minWait {
			return
		}
	case g.askedRouter >= 0 && now-g.requestedAt < replyTimeout:
		return
	default:
		if g.askedRouter >= 0 && g.updateReceivedAt < g.requestedAt {
			t.counts.Unanswered++
			t.unreachableUntil[g.askedRouter] = now + unreachableTime
			t.replyShare -= replyGain * t.replyShare
		}
		to = t.chooseCoordinator(g, now)
		if kind == kindSubscribe {
			kind = kindSubscribeNow
		}
		if t.replyShare > replyShareToWait {
			// Reads wait for the answer unless most recent requests went unanswered. In that case peers are cut off for
			// every group, and this router probes for itself while it goes on asking.
			t.effects.Updates = append(t.effects.Updates, Update{Group: g.id, Until: now + replyTimeout})
		}
	}
	g.askedRouter, g.requestedAt, g.retryKind = to, now, 0
	if !t.hasCoordinator(g, now) {
		g.retryKind = kind
	}
	if to == t.config.Self {
		g.askedRouter = -1
		t.coordinate(g, seekPrimary, now)
		return
	}
	t.counts.Requests++
	t.send(to, kind, g, nil, now)
}

// chooseCoordinator returns the router that should coordinate a group: of those not known to be unreachable, the one with the
// highest hash of both numbers (rendezvous hashing). All routers choose the same one without communication, and the groups are
// spread evenly over the routers.
func (t *Table) chooseCoordinator(g *group, now float64) int {
	best, highest := t.config.Self, uint64(0)
	for i := range t.config.Routers {
		if i != t.config.Self && now < t.unreachableUntil[i] {
			continue
		}
		if h := rank(g.id, i); h >= highest {
			best, highest = i, h
		}
	}
	return best
}

// rank orders the routers for a group: the one with the highest rank coordinates it.
func rank(group, router int) uint64 {
	var key [8]byte
	binary.BigEndian.PutUint32(key[:], uint32(group))
	binary.BigEndian.PutUint32(key[4:], uint32(router))
	return xxhash.Sum64(key[:])
}

// coordinate makes this router the coordinator of a group for another coordinationTime, and adds to the probe budget.
func (t *Table) coordinate(g *group, seekPrimary bool, now float64) {
	if now >= g.coordinateUntil {
		g.updateDueAt = now
	}
	if now >= g.coordinateUntil {
		for _, n := range g.members {
			n.inFlight = nil
		}
		g.subscribers = make([]float64, t.config.Routers)
	}
	g.coordinateUntil = now + coordinationTime
	if seekPrimary {
		g.primarySoughtUntil = now + primarySearchTime
	}
	g.probeBudget = min(maxProbeBudget, g.probeBudget+probesPerRequest)
}

// successorsOf returns the routers that coordinate a group first, in the order of succession.
func (t *Table) successorsOf(g *group) []int {
	if g.successors == nil {
		all := make([]int, t.config.Routers)
		for i := range all {
			all[i] = i
		}
		slices.SortFunc(all, func(x, y int) int { return cmp.Compare(rank(g.id, y), rank(g.id, x)) })
		g.successors = slices.Clone(all[:min(successorCount, len(all))])
	}
	return g.successors
}
