package controller

import (
	"time"

	"eiderway/control/feed"
	"eiderway/control/quorum"
)

// gatewayLeases records which gateways may still work by which table.
//
// A gateway counts its lease from the moment it sent its request. So the lease ends at the latest one lease duration after the answer left
// this controller. Leases from earlier primaries end at the latest one lease duration after this term began: each answer of an earlier
// primary needed a confirmation that was requested after the gateway's request, and that came before a majority promised this epoch.
//
// A gateway is identified by its process. The lease of a process that ended without saying so runs to its end. A request from another
// process of the same name doesn't end it, because requests of an earlier process may arrive late.
type gatewayLeases struct {
	duration         time.Duration // of a lease, with a margin for clocks
	earlierLeasesEnd time.Duration // leases of earlier terms may last until then
	gateways         map[string]*gatewayLease
	newestEpoch      quorum.Epoch // highest epoch of the tables that gateways say they work by
	guards           disabledGuards
}

// gatewayLease is the lease of one gateway process.
type gatewayLease struct {
	expiresAt time.Duration
	applied   feed.Version
}

func newGatewayLeases(now, duration time.Duration, guards disabledGuards) *gatewayLeases {
	leases := &gatewayLeases{duration: duration, earlierLeasesEnd: now + duration, gateways: map[string]*gatewayLease{}, guards: guards}
	if guards.earlierLeasesIgnored {
		leases.earlierLeasesEnd = now
	}
	return leases
}

// noteRequest records which table a gateway says it works by.
func (g *gatewayLeases) noteRequest(request feed.WatchRequest) {
	g.newestEpoch = max(g.newestEpoch, request.Applied.Epoch)
	if request.Leaving {
		delete(g.gateways, request.Gateway)
		return
	}
	if known := g.gateways[request.Gateway]; known != nil {
		known.noteApplied(request.Applied)
	}
}

// grant records that an answer with a lease is sent now.
func (g *gatewayLeases) grant(now time.Duration, request feed.WatchRequest) {
	known := g.gateways[request.Gateway]
	if known == nil {
		known = &gatewayLease{}
		g.gateways[request.Gateway] = known
	}
	known.noteApplied(request.Applied)
	known.expiresAt = now + g.duration
}

// noteApplied records the table version that a gateway has applied. The version never goes back: a request with an older one arrived late.
func (g *gatewayLease) noteApplied(version feed.Version) {
	if g.applied.Less(version) {
		g.applied = version
	}
}

// noneBehind tells whether no gateway may work by a table older than this version any more. It is false once a gateway has applied a table
// of a later epoch, since a later primary may have granted leases that aren't known here.
func (g *gatewayLeases) noneBehind(now time.Duration, version feed.Version) bool {
	if now < g.earlierLeasesEnd || version.Epoch < g.newestEpoch {
		return false
	}
	if g.guards.leasesIgnored {
		return true
	}
	for _, lease := range g.gateways {
		if lease.applied.Less(version) && now < lease.expiresAt {
			return false
		}
	}
	return true
}

// expire removes gateways whose lease has ended.
func (g *gatewayLeases) expire(now time.Duration) {
	for id, lease := range g.gateways {
		if lease.expiresAt <= now {
			delete(g.gateways, id)
		}
	}
}
