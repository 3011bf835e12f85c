package gateway

import (
	"math/rand/v2"
	"time"

	"eiderway/control/access"
	"eiderway/control/configuration"
	"eiderway/control/failover"
	"eiderway/role"
	"eiderway/routing"
	"eiderway/session"
	"eiderway/wire"
)

// replicaTries is how many replicas a read is offered to, before the leader gets it.
const replicaTries = 2

// reads is what is known of a service for reads that may be some time old. It belongs to the gateway's lock.
type reads struct {
	positions role.Positions
	picker    *routing.Picker
}

// readsOf is called with the lock held.
func (g *Gateway) readsOf(service string) *reads {
	known := g.reads[service]
	if known == nil {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		known = &reads{picker: routing.NewPicker(g.settings.Zone, random)}
		g.reads[service] = known
	}
	return known
}

// forgetReads forgets services that are gone, and instances that are. It is called with the lock held.
func (g *Gateway) forgetReads() {
	for name, known := range g.reads {
		target := g.directory.services[name]
		if target == nil {
			delete(g.reads, name)
			continue
		}
		known.picker.Keep(target.Instances)
	}
}

// departRead finds a replica for a read, and registers the flight in the same moment; nil: the leader is to have it.
func (g *Gateway) departRead(database string, key access.Key, written failover.Position, tried []string) *flight {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.now()
	found, replicas := g.directory.placeRead(now, database)
	if len(replicas) == 0 || g.directory.rejects(now, database, key) {
		return nil
	}
	found.key = key
	found.tenant, _ = g.directory.access.Admit(found.route, key)
	known := g.readsOf(found.route.TargetService)
	after, covered := boundOf(found.route).MustSee(now, &known.positions, written)
	if !covered {
		return nil
	}
	chosen, any := known.picker.Choose(now, replicas, tried)
	if !any {
		return nil
	}
	known.picker.Began(chosen.ID)
	found.replica, found.address, found.after = chosen, chosen.Address, after
	under := &flight{placed: found}
	g.flights[under] = struct{}{}
	return under
}

// boundOf is what a read of the route must see.
func boundOf(route configuration.Route) role.Bound {
	return role.Bound{
		Staleness: time.Duration(route.MaxStalenessMs) * time.Millisecond,
		OwnWrites: route.Class == configuration.SelfManaged,
	}
}

// replicaAnswered notes what came of a read at a replica.
func (g *Gateway) replicaAnswered(under *flight, outcome session.Outcome, took time.Duration) {
	result := resultOf(outcome)
	if result == routing.Served {
		g.counters.replicaReads.Add(1)
	}
	if result == routing.Lagging {
		g.counters.lagging.Add(1)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.readsOf(under.placed.route.TargetService).picker.Ended(g.now(), under.placed.replica.ID, result, took)
}

// wasNotAsked tells whether a statement was stopped here, for a reason that has nothing to do with the instance.
func wasNotAsked(reason string) bool { return reason == overLimit || reason == string(frozen) }

// resultOf reads what an outcome says of the instance.
func resultOf(outcome session.Outcome) routing.Result {
	switch {
	case outcome.Kind == session.NotRun && (outcome.Intact || wasNotAsked(outcome.Reason)):
		return routing.Unsaid
	case outcome.Kind == session.NotRun && outcome.Reason == errNoConnection.Error():
		return routing.Busy
	case outcome.Kind != session.Answered:
		return routing.Failed
	}
	switch outcome.Answer.Code {
	case "":
		return routing.Served
	case wire.Lagging:
		return routing.Lagging
	case wire.Busy:
		return routing.Busy
	case wire.ReadOnly, wire.WrongNode, wire.ConnLimit:
		return routing.Failed
	}
	return routing.Unsaid
}

// leaderNamed notes the position that the leader named in an answer to what was sent no earlier than asked, if it was the lawful leader all the
// while.
func (g *Gateway) leaderNamed(under *flight, asked time.Duration, answer wire.Answer) {
	if under.placed.atReplica() || answer.State != wire.Idle {
		return // inside a transaction the position may be that of its beginning
	}
	position, err := wire.ParsePosition(answer.Position)
	if err != nil {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.directory.lasted(g.now(), under.placed) {
		g.readsOf(under.placed.route.TargetService).positions.Saw(asked, position)
	}
}
