package peerstate

// This file owns which router coordinates a group, and for how long. It must never wait for an answer of another router.

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// reportsSubmissions tells whether the coordinator hears of our submissions: while it sends us updates, and for a while after
// that if we have hardly any proof of our own. Who has no use for a group gets no updates, and that is how it is seen to have
// one again.
func (t *Table) reportsSubmissions(g *group, now float64) bool {
	return t.hasCoordinator(g, now) || g.unprovenShare > unprovenThreshold && g.coordinator >= 0 && now-g.heardAt < coordinatorTimeout
}

// hasCoordinator tells whether a coordinator is active, this router or another.
func (t *Table) hasCoordinator(g *group, now float64) bool {
	return now < g.coordinateUntil || now-g.heardAt < missedUpdates*t.interval
}

// RecordArrival says that a read with a bound, or a write, has come for a group. Where this router has no proof of its own, it is
// for such reads that a group is coordinated: a router with enough traffic asks for nothing. A write asks where no member has
// said to this router that it is primary: else each router would probe all of them for its first one.
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
	lacks := 1.0
	for _, n := range g.members {
		if n.own > now-t.config.Bound && n.primaryPosition < n.own {
			lacks = 0
		}
	}
	if g.unprovenShare += unprovenGain * (lacks - g.unprovenShare); lacks > 0 && g.unprovenShare > unprovenThreshold {
		t.request(g, false, now)
	}
}

// AwaitPrimary says that a txn waits for a group's primary to show.
func (t *Table) AwaitPrimary(id int, now float64) {
	if g := t.groups[id]; g != nil {
		t.request(g, true, now)
	}
}

func (t *Table) request(g *group, primary bool, now float64) {
	if t.config.Routers < 2 {
		return
	}
	if now < g.coordinateUntil {
		t.coordinate(g, primary, now)
		return
	}
	to, kind := g.coordinator, kindSubscribe
	if primary {
		kind = kindSeekPrimary
	}
	switch {
	case t.hasCoordinator(g, now):
		every := primarySearchTime / 2
		if !primary {
			every = coordinateFor / 4
			if t.rng.Float64() >= requestsPerGroup/float64(t.config.Routers) {
				return
			}
		}
		if now-g.askedAt < every {
			return
		}
	case g.asked >= 0 && now-g.askedAt < replyTimeout:
		return
	default:
		if g.asked >= 0 && g.heardAt < g.askedAt {
			t.counts.Unanswered++
			t.unreachableUntil[g.asked] = now + unreachableFor
			t.replyShare -= replyGain * t.replyShare
		}
		to = t.chooseCoordinator(g, now)
		if kind == kindSubscribe {
			kind = kindSubscribeNow
		}
		if t.replyShare > replyShareToWait {
			// Its answer is worth waiting for, unless most of late have not come: then peers are cut off, whatever the
			// group, and this router probes for itself while it asks on.
			t.effects.Updates = append(t.effects.Updates, Update{Group: g.id, Until: now + replyTimeout})
		}
	}
	g.asked, g.askedAt, g.retry = to, now, 0
	if !t.hasCoordinator(g, now) {
		g.retry = kind
	}
	if to == t.config.Self {
		g.asked = -1
		t.coordinate(g, primary, now)
		return
	}
	t.counts.Requests++
	t.send(to, kind, g, nil, now)
}

// chooseCoordinator picks the router that should coordinate a group: of those not known to be unreachable, the first by a hash
// of both numbers (rendezvous hashing). All come to the same one without asking anybody, and each has a group or so.
func (t *Table) chooseCoordinator(g *group, now float64) int {
	best, most := t.config.Self, uint64(0)
	for i := range t.config.Routers {
		if i != t.config.Self && now < t.unreachableUntil[i] {
			continue
		}
		if h := rank(g.id, i); h >= most {
			best, most = i, h
		}
	}
	return best
}

func rank(group, router int) uint64 {
	var key [8]byte
	binary.BigEndian.PutUint32(key[:], uint32(group))
	binary.BigEndian.PutUint32(key[4:], uint32(router))
	return xxhash.Sum64(key[:])
}

// coordinate makes this router the coordinator of a group for as long as it is asked for.
func (t *Table) coordinate(g *group, primary bool, now float64) {
	if now >= g.coordinateUntil {
		g.updateDue = now
	}
	if now >= g.coordinateUntil {
		for _, n := range g.members {
			n.inFlight = nil
		}
		g.subscribers = make([]float64, t.config.Routers)
	}
	g.coordinateUntil = now + coordinateFor
	if primary {
		g.primarySoughtUntil = now + primarySearchTime
	}
	g.probeBudget = min(maxProbeBudget, g.probeBudget+probesPerRequest)
}

// successorsOf are the first routers that come to coordinate a group.
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
