package simulation

import (
	"eiderway/control/failover"
	"eiderway/control/feed"
	"eiderway/control/guard"
	"eiderway/role"
	"eiderway/routing"
)

// serviceReads is what the gateway knows of a service for reads that may be some time old.
type serviceReads struct {
	positions role.Positions
	picker    *routing.Picker
}

func (g *gateway) readsOf(service string) *serviceReads {
	if g.reads[service] == nil {
		g.reads[service] = &serviceReads{picker: routing.NewPicker("zone1", g.world.random)}
	}
	return g.reads[service]
}

// replicaFor finds a replica for a read that may be some time old; nil: the leader is to have it.
func (g *gateway) replicaFor(one *statement, service *feed.Service) *instance {
	now := g.world.now()
	if one.bound == nil || now >= g.leaseUntil || !g.stillAdmits(one) {
		return nil
	}
	known := g.readsOf(service.Name)
	after, covered := one.bound.RequiredPosition(now, &known.positions, one.written)
	if !covered {
		return nil
	}
	var replicas []feed.Instance
	for _, candidate := range service.Instances {
		if candidate.ID != service.Leader.InstanceID && !candidate.Draining {
			replicas = append(replicas, candidate)
		}
	}
	chosen, any := known.picker.Choose(now, replicas, nil)
	if !any {
		return nil
	}
	target := g.world.instanceAt(chosen.Address)
	if target == nil || target.id != chosen.ID {
		return nil
	}
	if !g.world.plan.Lacking.Has(guard.ReadPositionRequired) {
		one.after = after
	}
	return target
}

// readAtReplica passes a read to a replica. If it wasn't run there, the leader gets it.
func (g *gateway) readAtReplica(one *statement, service *feed.Service, target *instance, answer func(answerKind)) {
	w, life := g.world, g.life
	known := g.readsOf(service.Name)
	known.picker.ReadStarted(target.id)
	passed := &flight{statement: one, service: service.Name, answer: answer, replica: true}
	g.flights[passed] = true
	one.gateway, one.passed = g, w.now()
	ended := func(result routing.Result, kind answerKind) {
		if !passed.over {
			known.picker.ReadEnded(w.now(), target.id, result, w.now()-one.passed)
			passed.end(g, kind)
		}
	}
	w.run(g.name, target, one, func(outcome statementOutcome) {
		g.whenAwake(life, func() {
			switch {
			case outcome == statementDone:
				ended(routing.Served, answerDone)
			case passed.over:
			default:
				passed.over = true
				delete(g.flights, passed)
				known.picker.ReadEnded(w.now(), target.id, routing.Lagging, 0)
				again := *one // a copy: the one that was sent may come to the replica twice
				again.after = failover.Position{}
				g.takeAtLeader(&again, answer)
			}
		})
	})
	w.schedule.after(statementTimeout, func() {
		g.whenAwake(life, func() { ended(routing.Failed, answerBusy) })
	})
}
