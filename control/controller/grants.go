package controller

import (
	"time"

	"eiderway/control/feed"
	"eiderway/control/quorum"
)

// grants remembers which gateways may still work by which table.
//
// A gateway counts its lease from the moment it sent its question, so the lease is over, at the latest, a lease's length
// after the answer left here. What an earlier primary has granted is over a lease's length after this term began: its
// answers needed a confirmation that was asked for after the question, and came before a majority promised this epoch.
//
// A gateway is known by its process. The lease of one that has ended without a word runs out: another process of the same
// name is no proof, since words of an earlier process may come late.
type grants struct {
	length   time.Duration // of a lease, with a margin for clocks
	heldOver time.Duration // until when leases of earlier terms may last
	gateways map[string]*grant
	newest   quorum.Epoch // of the tables that gateways say they work by
	guards   disabledGuards
}

// grant is what one gateway process holds.
type grant struct {
	until   time.Duration
	applied feed.Version
}

func newGrants(now, length time.Duration, guards disabledGuards) *grants {
	held := &grants{length: length, heldOver: now + length, gateways: map[string]*grant{}, guards: guards}
	if guards.formerLeases {
		held.heldOver = now
	}
	return held
}

// ask notes what a gateway says it works by.
func (g *grants) ask(request feed.WatchRequest) {
	g.newest = max(g.newest, request.Applied.Epoch)
	if request.Leaving {
		delete(g.gateways, request.Gateway)
		return
	}
	if known := g.gateways[request.Gateway]; known != nil {
		known.apply(request.Applied)
	}
}

// give notes that an answer with a lease leaves now.
func (g *grants) give(now time.Duration, request feed.WatchRequest) {
	known := g.gateways[request.Gateway]
	if known == nil {
		known = &grant{}
		g.gateways[request.Gateway] = known
	}
	known.apply(request.Applied)
	known.until = now + g.length
}

// apply takes the word of a gateway about its table. It never goes back: an older word only came late.
func (g *grant) apply(version feed.Version) {
	if g.applied.Less(version) {
		g.applied = version
	}
}

// cleared tells whether no gateway may work by a table older than this version any more. Once a table of a later epoch is
// about, leases may have been given that aren't known here.
func (g *grants) cleared(now time.Duration, version feed.Version) bool {
	if now < g.heldOver || version.Epoch < g.newest {
		return false
	}
	if g.guards.leasesUncounted {
		return true
	}
	for _, grant := range g.gateways {
		if grant.applied.Less(version) && now < grant.until {
			return false
		}
	}
	return true
}

// expire forgets gateways whose lease is over.
func (g *grants) expire(now time.Duration) {
	for id, grant := range g.gateways {
		if grant.until <= now {
			delete(g.gateways, id)
		}
	}
}
