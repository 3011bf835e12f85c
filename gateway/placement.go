package gateway

import (
	"time"

	"eiderway/control/access"
	"eiderway/control/configuration"
	"eiderway/control/failover"
	"eiderway/control/feed"
)

// placement is where a statement goes, and under what right.
type placement struct {
	route       configuration.Route
	leader      feed.Leader
	address     string
	leaseLapses uint64            // of the lease when it was checked last
	replica     feed.Instance     // with an id: the statement goes to this replica instead of the leader
	minPosition failover.Position // at a replica: what its log must hold
	key         access.Key        // of the client
	tenant      string            // for whom it runs; "": nobody's

	maxConnections int
}

// atReplica tells whether the placement is a replica, for a read that may be some time old.
func (p placement) atReplica() bool { return p.replica.ID != "" }

// instanceID is that of the instance where the statement goes.
func (p placement) instanceID() string {
	if p.atReplica() {
		return p.replica.ID
	}
	return p.leader.InstanceID
}

// refusal says why there is no placement.
type refusal string

const (
	notRefused      refusal = ""
	noDatabase      refusal = "no such database"
	keyRejected     refusal = "the key is not known"
	noConfiguration refusal = "no configuration yet"
	noLease         refusal = "no lease"
	frozen          refusal = "the service is changing its leader"
	noLeader        refusal = "the service has no known leader"
	leaderDraining  refusal = "the leader goes, and nobody follows it yet"
)

// configured tells whether there is a configuration to work by.
func (d *directory) hasConfiguration() bool { return d.table.ConfigurationNumber > 0 }

// lacks tells whether it is known that there is no such database.
func (d *directory) lacksDatabase(now time.Duration, database string) bool {
	_, known := d.routes[database]
	return !known && d.hasConfiguration() && d.hasLease(now)
}

// placeFor says where a first statement of a client goes. A key that isn't known is refused before anything else is waited for.
func (d *directory) placeForKey(now time.Duration, database string, key access.Key) (placement, refusal) {
	placement, reason := d.place(now, database)
	if d.rejectsKey(now, database, key) {
		return placement, keyRejected
	}
	placement.key = key
	placement.tenant, _ = d.access.Admit(placement.route, key)
	return placement, reason
}

// place says where a first statement on the database goes.
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

// placeRead says at which replicas a read that may be some time old can run: those of the table that don't drain. It needs the lease, under which
// no drain is missed for long; but neither a leader nor one that isn't frozen.
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

// mayRunOld tells whether reads of the route may run on data that is some time old.
func allowsStaleReads(route configuration.Route) bool {
	old := route.Class == configuration.BoundedStale || route.Class == configuration.SelfManaged
	return old && route.MaxStalenessMs > 0
}
