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
	route   configuration.Route
	leader  feed.Leader
	address string
	lapses  uint64            // of the lease when it was checked last
	replica feed.Instance     // with an id: the statement goes to this replica instead of the leader
	after   failover.Position // at a replica: what its log must hold
	key     access.Key        // of the client
	tenant  string            // for whom it runs; "": nobody's

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
	placed          refusal = ""
	noDatabase      refusal = "no such database"
	unknownKey      refusal = "the key is not known"
	noConfiguration refusal = "no configuration yet"
	noLease         refusal = "no lease"
	frozen          refusal = "the service is changing its leader"
	noLeader        refusal = "the service has no known leader"
	leaderGoes      refusal = "the leader goes, and nobody follows it yet"
)

// configured tells whether there is a configuration to work by.
func (d *directory) configured() bool { return d.table.ConfigurationNumber > 0 }

// lacks tells whether it is known that there is no such database.
func (d *directory) lacks(now time.Duration, database string) bool {
	_, known := d.routes[database]
	return !known && d.configured() && d.leased(now)
}

// placeFor says where a first statement of a client goes. A key that isn't known is refused before anything else is waited for.
func (d *directory) placeFor(now time.Duration, database string, key access.Key) (placement, refusal) {
	found, why := d.place(now, database)
	if d.rejects(now, database, key) {
		return found, unknownKey
	}
	found.key = key
	found.tenant, _ = d.access.Admit(found.route, key)
	return found, why
}

// place says where a first statement on the database goes.
func (d *directory) place(now time.Duration, database string) (placement, refusal) {
	route, known := d.routes[database]
	switch {
	case !d.configured():
		return placement{}, noConfiguration
	case !d.leased(now):
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
	case !d.drains.MayBegin(now, target.leading):
		return placement{route: route}, leaderGoes
	}
	return placement{
		route:          route,
		leader:         target.Leader,
		address:        target.address,
		lapses:         d.lapses,
		maxConnections: target.maxConnections,
	}, placed
}

// placeRead says at which replicas a read that may be some time old can run: those of the table that don't drain. It needs the lease, under which
// no drain is missed for long; but neither a leader nor one that isn't frozen.
func (d *directory) placeRead(now time.Duration, database string) (placement, []feed.Instance) {
	route, known := d.routes[database]
	if !known || !d.configured() || !d.leased(now) || !mayRunOld(route) {
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
	return placement{route: route, lapses: d.lapses, maxConnections: target.maxConnections}, replicas
}

// mayRunOld tells whether reads of the route may run on data that is some time old.
func mayRunOld(route configuration.Route) bool {
	old := route.Class == configuration.BoundedStale || route.Class == configuration.SelfManaged
	return old && route.MaxStalenessMs > 0
}
