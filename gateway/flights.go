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
	placed  placement
	lent    *backend // nil until a connection is lent
	resting bool     // a transaction between two statements
	cut     bool     // the connection was cut under it
}

// land ends the flight.
func (g *Gateway) land(ended *flight) {
	g.mutex.Lock()
	delete(g.flights, ended)
	g.mutex.Unlock()
	select {
	case g.landed <- struct{}{}:
	default:
	}
}

// lend gives the flight its connection, and tells whether the flight may go on.
func (g *Gateway) lend(taking *flight, lent *backend) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	taking.lent = lent
	return !taking.cut
}

// rest records that the transaction's client has been answered.
func (g *Gateway) rest(resting *flight) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	resting.resting = true
}

// wake records that a statement of the transaction begins, and tells whether the transaction is still there.
func (g *Gateway) wake(resting *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	resting.resting = false
	return !resting.cut
}

// conflicts counts the flights that the table rules out. One that has no connection yet is none: it is checked again
// before it is sent.
func (g *Gateway) conflicts() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	count := 0
	for under := range g.flights {
		if under.lent != nil && g.directory.conflicts(under.placed) {
			count++
		}
	}
	return count
}

// cutConflicts cuts the connections of flights that the table rules out. Transactions that rest end at once; for the
// others their goroutine meets the broken connection.
func (g *Gateway) cutConflicts() {
	g.cutFlights(func(under *flight) bool { return g.directory.conflicts(under.placed) })
}

// cutFlights cuts the connections of the flights chosen.
func (g *Gateway) cutFlights(chosen func(*flight) bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for under := range g.flights {
		if under.cut || !chosen(under) {
			continue
		}
		under.cut = true
		if under.lent != nil {
			under.lent.conn.Cut()
		}
		if under.resting {
			delete(g.flights, under)
		}
	}
}

// mayBegin is the last check before a first statement is sent; the right to use the leader counts from here on.
func (g *Gateway) mayBegin(under *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	under.placed = g.directory.checked(under.placed)
	now := g.now()
	return !under.cut && g.directory.mayBegin(now, under.placed) && g.directory.stillAdmits(now, under.placed)
}

// mayOpen is the last check before the first read or write of a transaction is sent.
func (g *Gateway) mayOpen(under *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.now()
	return !under.cut && g.directory.mayOpen(now, under.placed) && g.directory.stillAdmits(now, under.placed)
}

// noteBegin looks whether a statement that begins something was sent in time. The check before the sending refuses what comes too
// late, so only a process that stood still in between, for longer than the margin, breaks this.
func (g *Gateway) noteBegin(under *flight, sentAt time.Time) {
	if sentAt.IsZero() {
		return
	}
	g.mutex.Lock()
	late := g.directory.begunLate(sentAt.Sub(g.started), under.placed)
	margin := g.settings.Bounds.DrainMargin()
	g.mutex.Unlock()
	if late <= margin {
		return
	}
	g.counters.broken.Add(1)
	g.log.Errorf("%s: %s: at %s, by %v", invariant.Broken, invariant.NoLateBegin, under.placed.instanceID(), late-margin)
}

// mayCommit is the last check before a COMMIT is sent; the right to use the leader counts from here on.
func (g *Gateway) mayCommit(under *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	under.placed = g.directory.checked(under.placed)
	now := g.now()
	return !under.cut && g.directory.mayCommit(now, under.placed) && g.directory.stillAdmits(now, under.placed)
}

// mayAbort is the check before an ABORT. One that isn't sent closes the connection, which rolls back as well.
func (g *Gateway) mayAbort(under *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !under.cut && g.directory.stillAdmits(g.now(), under.placed)
}

// mayGoOn is the check before another statement of a transaction.
func (g *Gateway) mayGoOn(under *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !under.cut && g.directory.goesOn(under.placed) && g.directory.stillAdmits(g.now(), under.placed)
}

// lasted tells whether the right to use the leader has lasted since the statement was sent.
func (g *Gateway) lasted(under *flight) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.directory.lasted(g.now(), under.placed)
}

// takeUnusedPools takes out the pools of instances that are gone. It is called with the lock held.
func (g *Gateway) takeUnusedPools() []*pool {
	var unused []*pool
	for key, kept := range g.pools {
		target := g.directory.services[key.service]
		isThere := target != nil && slices.ContainsFunc(target.Instances, func(instance feed.Instance) bool {
			return instance.ID == key.instanceID && instance.Address == key.address
		})
		if !isThere {
			unused = append(unused, kept)
			delete(g.pools, key)
		}
	}
	return unused
}

// poolFor returns the pool of a placement. If the placement isn't valid any more, the pool is of no use to others and
// the check before the sending refuses the statement.
func (g *Gateway) poolFor(placed placement) *pool {
	key := poolKey{service: placed.route.TargetService, instanceID: placed.instanceID(), address: placed.address}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	kept := g.pools[key]
	if kept == nil {
		kept = newPool(key, g.name, g.now, g.reports.failed, &g.backends)
		g.pools[key] = kept
	}
	kept.allow(placed.maxConnections)
	kept.leads.Store(!placed.atReplica())
	return kept
}

func (g *Gateway) allPools() []*pool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	all := make([]*pool, 0, len(g.pools))
	for _, kept := range g.pools {
		all = append(all, kept)
	}
	return all
}

func (g *Gateway) closePools() {
	for _, kept := range g.allPools() {
		kept.close()
	}
}
