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

// maxReplicaTries is how many replicas are offered a read before the leader gets it.
const maxReplicaTries = 2

// readState is what is known of a service for reads that tolerate stale data. The gateway's lock guards it.
type readState struct {
	positions role.Positions
	picker    *routing.Picker
}

// readState returns the state of the service, which it creates if necessary. The caller holds the lock.
func (g *Gateway) readState(service string) *readState {
	state := g.readStates[service]
	if state == nil {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		state = &readState{picker: routing.NewPicker(g.settings.Zone, random)}
		g.readStates[service] = state
	}
	return state
}

// forgetRemovedInstances forgets services and instances that are gone. The caller holds the lock.
func (g *Gateway) forgetRemovedInstances() {
	for name, state := range g.readStates {
		target := g.directory.services[name]
		if target == nil {
			delete(g.readStates, name)
			continue
		}
		state.picker.Retain(target.Instances)
	}
}

// startAtReplica finds a replica for a read and registers the flight under the same lock. It returns nil if the leader
// must run the read.
func (g *Gateway) startAtReplica(database string, key access.Key, receivedAt time.Duration, lastCommit failover.Position, tried []string) *flight {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.elapsed()
	placement, replicas := g.directory.placeStaleRead(now, database)
	if len(replicas) == 0 || g.directory.rejectsKey(now, database, key) || !g.mayTake(receivedAt, receivedAt+timeoutOf(placement)) {
		return nil
	}
	placement.key = key
	placement.tenant, _ = g.directory.access.Authorize(placement.route, key)
	state := g.readState(placement.route.TargetService)
	minPosition, isKnown := boundOf(placement.route).RequiredPosition(now, &state.positions, lastCommit)
	if !isKnown {
		return nil
	}
	chosen, isFound := state.picker.Choose(now, replicas, tried)
	if !isFound {
		return nil
	}
	state.picker.ReadStarted(chosen.ID)
	placement.replica, placement.address, placement.minPosition = chosen, chosen.Address, minPosition
	flight := &flight{placement: placement}
	g.flights[flight] = struct{}{}
	return flight
}

// boundOf returns what a read of the route must see.
func boundOf(route configuration.Route) role.Bound {
	return role.Bound{
		Staleness: time.Duration(route.MaxStalenessMs) * time.Millisecond,
		OwnWrites: route.Class == configuration.SelfManaged,
	}
}

// recordReplicaResult records the outcome of a read at a replica.
func (g *Gateway) recordReplicaResult(flight *flight, outcome session.Outcome, took time.Duration) {
	result := resultOf(outcome)
	if result == routing.Served {
		g.counters.replicaReads.Add(1)
	}
	if result == routing.Lagging {
		g.counters.lagging.Add(1)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.readState(flight.placement.route.TargetService).picker.ReadEnded(g.elapsed(), flight.placement.replica.ID, result, took)
}

// wasStoppedLocally reports whether the gateway stopped a statement for a reason that has nothing to do with the
// instance.
func wasStoppedLocally(reason string) bool { return reason == overLimit || reason == string(frozen) }

// resultOf returns what an outcome says about the instance.
func resultOf(outcome session.Outcome) routing.Result {
	switch {
	case outcome.Kind == session.NotRun && (outcome.Intact || wasStoppedLocally(outcome.Reason)):
		return routing.Inconclusive
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
	return routing.Inconclusive
}

// recordLeaderPosition records the position that the leader named in an answer to a statement sent no earlier than
// askedAt, if it was the lawful leader all the time.
func (g *Gateway) recordLeaderPosition(flight *flight, askedAt time.Duration, answer wire.Answer) {
	if flight.placement.atReplica() || answer.State != wire.Idle {
		return // inside a transaction the position may be that of its beginning
	}
	position, err := wire.ParsePosition(answer.Position)
	if err != nil {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.directory.remainedValid(g.elapsed(), flight.placement) {
		g.readState(flight.placement.route.TargetService).positions.Record(askedAt, position)
	}
}
