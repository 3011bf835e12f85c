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
const maxReplicaTries = 2

// reads is what is known of a service for reads that may be some time old. It belongs to the gateway's lock.
type readState struct {
	positions role.Positions
	picker    *routing.Picker
}

// readsOf is called with the lock held.
func (g *Gateway) readState(service string) *readState {
	state := g.readStates[service]
	if state == nil {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		state = &readState{picker: routing.NewPicker(g.settings.Zone, random)}
		g.readStates[service] = state
	}
	return state
}

// forgetReads forgets services that are gone, and instances that are. It is called with the lock held.
func (g *Gateway) forgetRemovedInstances() {
	for name, state := range g.readStates {
		target := g.directory.services[name]
		if target == nil {
			delete(g.readStates, name)
			continue
		}
		state.picker.Keep(target.Instances)
	}
}

// departRead finds a replica for a read, and registers the flight in the same moment; nil: the leader is to have it.
func (g *Gateway) startAtReplica(database string, key access.Key, lastCommit failover.Position, tried []string) *flight {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.elapsed()
	placement, replicas := g.directory.placeStaleRead(now, database)
	if len(replicas) == 0 || g.directory.rejectsKey(now, database, key) {
		return nil
	}
	placement.key = key
	placement.tenant, _ = g.directory.access.Admit(placement.route, key)
	state := g.readState(placement.route.TargetService)
	minPosition, isKnown := boundOf(placement.route).MustSee(now, &state.positions, lastCommit)
	if !isKnown {
		return nil
	}
	chosen, isFound := state.picker.Choose(now, replicas, tried)
	if !isFound {
		return nil
	}
	state.picker.Began(chosen.ID)
	placement.replica, placement.address, placement.minPosition = chosen, chosen.Address, minPosition
	flight := &flight{placement: placement}
	g.flights[flight] = struct{}{}
	return flight
}

// boundOf is what a read of the route must see.
func boundOf(route configuration.Route) role.Bound {
	return role.Bound{
		Staleness: time.Duration(route.MaxStalenessMs) * time.Millisecond,
		OwnWrites: route.Class == configuration.SelfManaged,
	}
}

// replicaAnswered notes what came of a read at a replica.
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
	g.readState(flight.placement.route.TargetService).picker.Ended(g.elapsed(), flight.placement.replica.ID, result, took)
}

// wasNotAsked tells whether a statement was stopped here, for a reason that has nothing to do with the instance.
func wasStoppedLocally(reason string) bool { return reason == overLimit || reason == string(frozen) }

// resultOf reads what an outcome says of the instance.
func resultOf(outcome session.Outcome) routing.Result {
	switch {
	case outcome.Kind == session.NotRun && (outcome.Intact || wasStoppedLocally(outcome.Reason)):
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
		g.readState(flight.placement.route.TargetService).positions.Saw(askedAt, position)
	}
}
