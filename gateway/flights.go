package gateway

import (
	"slices"
	"time"

	"eiderway/control/feed"
	"eiderway/control/invariant"
)

// flight is a statement, or a transaction from its BEGIN to its end, that is under way at a leader. A freeze isn't
// acknowledged while there are flights at the frozen service. Its fields belong to the gateway's lock.
type flight struct {
	placement placement
	backend   *backend // nil until a connection is lent
	isIdle    bool     // a transaction between two statements
	isCut     bool     // the connection was cut under it
}

// land ends the flight.
func (g *Gateway) endFlight(flight *flight) {
	g.mutex.Lock()
	delete(g.flights, flight)
	g.mutex.Unlock()
	select {
	case g.flightEnded <- struct{}{}:
	default:
	}
}

// lend gives the flight its connection, and tells whether the flight may go on.
func (g *Gateway) attachBackend(flight *flight, backend *backend) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	flight.backend = backend
	return !flight.isCut
}

// rest records that the transaction's client has been answered.
func (g *Gateway) markIdle(flight *flight) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	flight.isIdle = true
}

// wake records that a statement of the transaction begins, and tells whether the transaction is still there.
func (g *Gateway) resume(flight *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	flight.isIdle = false
	return !flight.isCut
}

// conflicts counts the flights that the table rules out. One that has no connection yet is none: it is checked again
// before it is sent.
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

// cutConflicts cuts the connections of flights that the table rules out. Transactions that rest end at once; for the
// others their goroutine meets the broken connection.
func (g *Gateway) cutConflicts() {
	g.cutFlights(func(flight *flight) bool { return g.directory.conflicts(flight.placement) })
}

// cutFlights cuts the connections of the flights chosen.
func (g *Gateway) cutFlights(chosen func(*flight) bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for flight := range g.flights {
		if flight.isCut || !chosen(flight) {
			continue
		}
		flight.isCut = true
		if flight.backend != nil {
			flight.backend.conn.Cut()
		}
		if flight.isIdle {
			delete(g.flights, flight)
		}
	}
}

// mayBegin is the last check before a first statement is sent; the right to use the leader counts from here on.
func (g *Gateway) mayBegin(flight *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	flight.placement = g.directory.renewed(flight.placement)
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

// noteBegin looks whether a statement that begins something was sent in time. The check before the sending refuses what comes too
// late, so only a process that stood still in between, for longer than the margin, breaks this.
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

// mayCommit is the last check before a COMMIT is sent; the right to use the leader counts from here on.
func (g *Gateway) mayCommit(flight *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	flight.placement = g.directory.renewed(flight.placement)
	now := g.elapsed()
	return !flight.isCut && g.directory.mayCommit(now, flight.placement) && g.directory.stillAdmits(now, flight.placement)
}

// mayAbort is the check before an ABORT. One that isn't sent closes the connection, which rolls back as well.
func (g *Gateway) mayAbort(flight *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !flight.isCut && g.directory.stillAdmits(g.elapsed(), flight.placement)
}

// mayGoOn is the check before another statement of a transaction.
func (g *Gateway) mayContinue(flight *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !flight.isCut && g.directory.mayContinue(flight.placement) && g.directory.stillAdmits(g.elapsed(), flight.placement)
}

// lasted tells whether the right to use the leader has lasted since the statement was sent.
func (g *Gateway) remainedValid(flight *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.directory.remainedValid(g.elapsed(), flight.placement)
}

// takeUnusedPools takes out the pools of instances that are gone. It is called with the lock held.
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

// poolFor returns the pool of a placement. If the placement isn't valid any more, the pool is of no use to others and
// the check before the sending refuses the statement.
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
