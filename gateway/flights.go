package gateway

import (
	"slices"
	"time"

	"eiderway/control/feed"
	"eiderway/control/invariant"
)

// flight is a statement, or a transaction from its BEGIN to its end, that is in progress at an instance. A freeze isn't
// acknowledged while there are flights at the leader of the frozen service. The gateway's lock guards its fields.
type flight struct {
	placement placement
	backend   *backend // nil until a connection is acquired
	isIdle    bool     // a transaction between two statements
	isCut     bool     // its connection was cut
}

// endFlight removes the flight and signals its end.
func (g *Gateway) endFlight(flight *flight) {
	g.mutex.Lock()
	delete(g.flights, flight)
	g.mutex.Unlock()
	select {
	case g.flightEnded <- struct{}{}:
	default:
	}
}

// attachBackend gives the flight its connection and reports whether the flight may continue.
func (g *Gateway) attachBackend(flight *flight, backend *backend) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	flight.backend = backend
	return !flight.isCut
}

// markIdle records that the transaction waits for its client's next statement.
func (g *Gateway) markIdle(flight *flight) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	flight.isIdle = true
}

// resume records that a statement of the transaction begins and reports whether the transaction still exists.
func (g *Gateway) resume(flight *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	flight.isIdle = false
	return !flight.isCut
}

// countConflicts counts the flights that the table no longer permits. A flight without a connection is none of them,
// since it is checked again before anything is sent.
func (g *Gateway) countConflicts() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	count := 0
	for flight := range g.flights {
		if flight.backend != nil && g.directory.conflicts(flight.placement) {
			count++
		}
	}
	return count
}

// cutConflicts cuts the connections of flights that the table no longer permits. Idle transactions end at once; the
// goroutines of the others find their connection broken.
func (g *Gateway) cutConflicts() {
	g.cutFlights(func(flight *flight) bool { return g.directory.conflicts(flight.placement) })
}

// cutFlights cuts the connections of the chosen flights.
func (g *Gateway) cutFlights(chosen func(*flight) bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for flight := range g.flights {
		if flight.isCut || !chosen(flight) {
			continue
		}
		flight.isCut = true
		if flight.backend != nil {
			flight.backend.conn.Interrupt()
		}
		if flight.isIdle {
			delete(g.flights, flight)
		}
	}
}

// mayBegin is the last check before a first statement is sent. The right to use the leader is renewed here.
func (g *Gateway) mayBegin(flight *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	flight.placement = g.directory.withCurrentLease(flight.placement)
	now := g.elapsed()
	return !flight.isCut && g.directory.mayBegin(now, flight.placement) && g.directory.stillAdmits(now, flight.placement)
}

// mayOpen is the last check before the first read or write of a transaction is sent.
func (g *Gateway) mayOpen(flight *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.elapsed()
	return !flight.isCut && g.directory.mayOpen(now, flight.placement) && g.directory.stillAdmits(now, flight.placement)
}

// checkBeginTime checks that a statement that begins something at a draining instance was sent in time, and reports a
// broken invariant if it wasn't. mayBegin and mayOpen refuse what comes too late, so this happens only if the process
// stood still between check and sending for longer than the margin.
func (g *Gateway) checkBeginTime(flight *flight, sentAt time.Time) {
	if sentAt.IsZero() {
		return
	}
	g.mutex.Lock()
	late := g.directory.lateness(sentAt.Sub(g.startedAt), flight.placement)
	margin := g.settings.Bounds.DrainMargin()
	g.mutex.Unlock()
	if late <= margin {
		return
	}
	g.counters.brokenInvariants.Add(1)
	g.log.Errorf("%s: %s: at %s, by %v", invariant.Broken, invariant.NoLateBegin, flight.placement.instanceID(), late-margin)
}

// mayCommit is the last check before a COMMIT is sent. The right to use the leader is renewed here.
func (g *Gateway) mayCommit(flight *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	flight.placement = g.directory.withCurrentLease(flight.placement)
	now := g.elapsed()
	return !flight.isCut && g.directory.mayCommit(now, flight.placement) && g.directory.stillAdmits(now, flight.placement)
}

// mayAbort is the check before an ABORT. If it isn't sent, its connection is closed, which rolls back as well.
func (g *Gateway) mayAbort(flight *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !flight.isCut && g.directory.stillAdmits(g.elapsed(), flight.placement)
}

// mayContinue is the check before a further statement of a transaction.
func (g *Gateway) mayContinue(flight *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !flight.isCut && g.directory.mayContinue(flight.placement) && g.directory.stillAdmits(g.elapsed(), flight.placement)
}

// remainedValid reports whether the right to use the leader has lasted since the statement was sent.
func (g *Gateway) remainedValid(flight *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.directory.remainedValid(g.elapsed(), flight.placement)
}

// removeUnusedPools removes and returns the pools of instances that are gone. The caller holds the lock.
func (g *Gateway) removeUnusedPools() []*pool {
	var unused []*pool
	for key, pool := range g.pools {
		target := g.directory.services[key.service]
		isListed := target != nil && slices.ContainsFunc(target.Instances, func(instance feed.Instance) bool {
			return instance.ID == key.instanceID && instance.Address == key.address
		})
		if !isListed {
			unused = append(unused, pool)
			delete(g.pools, key)
		}
	}
	return unused
}

// poolFor returns the pool of a placement. If the placement isn't valid any more, nobody else uses the pool, and the
// check before sending refuses the statement.
func (g *Gateway) poolFor(placement placement) *pool {
	key := poolKey{service: placement.route.TargetService, instanceID: placement.instanceID(), address: placement.address}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	pool := g.pools[key]
	if pool == nil {
		pool = newPool(key, g.name, g.elapsed, g.reports.failed, &g.backendCounts)
		g.pools[key] = pool
	}
	pool.setMaxConnections(placement.maxConnections)
	pool.isLeader.Store(!placement.atReplica())
	return pool
}

func (g *Gateway) allPools() []*pool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	all := make([]*pool, 0, len(g.pools))
	for _, pool := range g.pools {
		all = append(all, pool)
	}
	return all
}

func (g *Gateway) closePools() {
	for _, pool := range g.allPools() {
		pool.close()
	}
}
