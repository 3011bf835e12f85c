package gateway

import (
	"time"

	"eiderway/control/access"
	"eiderway/control/configuration"
	"eiderway/control/failover"
	"eiderway/control/feed"
)

// placement is where a statement goes, and the right under which it may go there.
type placement struct {
	route       configuration.Route
	leader      feed.Leader
	address     string
	leaseLapses uint64            // the directory's count at the last check
	replica     feed.Instance     // set if the statement goes to this replica instead of the leader
	minPosition failover.Position // that a replica's log must hold
	key         access.Key        // of the client
	tenant      string            // for which the statement runs; "": none

	maxConnections int
}

// atReplica reports whether the statement goes to a replica, which only reads that tolerate stale data do.
func (p placement) atReplica() bool { return p.replica.ID != "" }

// instanceID returns the ID of the instance where the statement goes.
func (p placement) instanceID() string {
	if p.atReplica() {
		return p.replica.ID
	}
	return p.leader.InstanceID
}

// refusal is the reason why a statement has no placement.
type refusal string

const (
	notRefused      refusal = ""
	noDatabase      refusal = "no such database"
	keyRejected     refusal = "the key is not known"
	noConfiguration refusal = "no configuration yet"
	noLease         refusal = "no lease"
	frozen          refusal = "the service is changing its leader"
	noLeader        refusal = "the service has no known leader"
	shuttingDown    refusal = "the gateway is shutting down"
	leaderDraining  refusal = "the leader goes, and nobody follows it yet"
)

// hasConfiguration reports whether a configuration has been received.
func (d *directory) hasConfiguration() bool { return d.table.ConfigurationNumber > 0 }

// lacksDatabase reports whether it is known that there is no such database.
func (d *directory) lacksDatabase(now time.Duration, database string) bool {
	_, known := d.routes[database]
	return !known && d.hasConfiguration() && d.hasLease(now)
}

// placeForKey places a first statement of a client with this key. An unknown key is refused before anything else is
// waited for.
func (d *directory) placeForKey(now time.Duration, database string, key access.Key) (placement, refusal) {
	placement, reason := d.place(now, database)
	if d.rejectsKey(now, database, key) {
		return placement, keyRejected
	}
	placement.key = key
	placement.tenant, _ = d.access.Authorize(placement.route, key)
	return placement, reason
}

// place returns where a first statement on the database goes.
func (d *directory) place(now time.Duration, database string) (placement, refusal) {
	route, known := d.routes[database]
	switch {
	case !d.hasConfiguration():
		return placement{}, noConfiguration
	case !d.hasLease(now):
		return placement{route: route}, noLease
	case !known:
		return placement{}, noDatabase
	}
	target := d.services[route.TargetService]
	switch {
	case target == nil || target.Leader.InstanceID == "" || target.address == "":
		return placement{route: route}, noLeader
	case target.Frozen:
		return placement{route: route}, frozen
	case !d.drains.MayBegin(now, target.leaderInstance):
		return placement{route: route}, leaderDraining
	}
	return placement{
		route:          route,
		leader:         target.Leader,
		address:        target.address,
		leaseLapses:    d.leaseLapses,
		maxConnections: target.maxConnections,
	}, notRefused
}

// placeStaleRead returns the replicas at which a read that tolerates stale data can run: all in the table that aren't
// draining. It needs the lease, under which a drain isn't missed for long, but no leader, and the service may be
// frozen.
func (d *directory) placeStaleRead(now time.Duration, database string) (placement, []feed.Instance) {
	route, known := d.routes[database]
	if !known || !d.hasConfiguration() || !d.hasLease(now) || !allowsStaleReads(route) {
		return placement{}, nil
	}
	target := d.services[route.TargetService]
	if target == nil {
		return placement{}, nil
	}
	var replicas []feed.Instance
	for _, instance := range target.Instances {
		if instance.ID != target.Leader.InstanceID && !instance.Draining {
			replicas = append(replicas, instance)
		}
	}
	return placement{route: route, leaseLapses: d.leaseLapses, maxConnections: target.maxConnections}, replicas
}

// allowsStaleReads reports whether reads of the route tolerate stale data.
func allowsStaleReads(route configuration.Route) bool {
	toleratesStale := route.Class == configuration.BoundedStale || route.Class == configuration.SelfManaged
	return toleratesStale && route.MaxStalenessMs > 0
}
