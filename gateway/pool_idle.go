package gateway

import (
	"slices"
	"time"

	"eiderway/session"
)

const (
	// idleTime is how long a connection that nobody needs is kept where there are no tenants, and idleKept how many are kept for ever: a new one
	// costs a slot at the instance. Those of tenants are kept as their retention says.
	maxIdleTime = 20 * time.Second
	minIdleKept = 2
	// partKept is how long it is remembered what became of a tenant's last connection.
	tenantUseKept = time.Minute
)

// takeIdle takes the tenant's idle connection that suits the session best; of several, the one used last. It is called with the lock held.
func (p *pool) takeIdle(request acquireRequest) *backend {
	best, bestFit := -1, session.Fit(-1)
	for place := len(p.idle) - 1; place >= 0 && bestFit != session.Fits; place-- {
		if p.idle[place].tenant != request.tenant {
			continue
		}
		if fit := request.session.FitOf(p.idle[place].state); fit > bestFit {
			best, bestFit = place, fit
		}
	}
	if best < 0 {
		return nil
	}
	backend := p.idle[best]
	backend.lastUser = request.liveness
	p.idle = slices.Delete(p.idle, best, best+1)
	return backend
}

// leastWanted is the idle connection that gives way first: the one that has been unused for longest among those whose last session has ended,
// else among all. It is called with the lock held, and with one that is idle.
func (p *pool) leastValuable() int {
	ended := slices.IndexFunc(p.idle, func(unused *backend) bool { return !unused.lastUser.isLive() })
	return max(0, ended)
}

// closeOne closes the idle connection at the place, to make room. It is called with the lock held.
func (p *pool) closeIdleAt(place int) {
	unused := p.idle[place]
	p.idle = slices.Delete(p.idle, place, place+1)
	p.closeBackend(unused, afterEviction)
}

// closeIdle closes the idle connections that are chosen. It is called with the lock held.
func (p *pool) closeIdle(reason dialReason, chosen func(*backend) bool) {
	p.idle = slices.DeleteFunc(p.idle, func(unused *backend) bool {
		if !chosen(unused) {
			return false
		}
		p.closeBackend(unused, reason)
		return true
	})
}

// shut closes a connection that is neither idle nor lent any more. It is called with the lock held.
func (p *pool) closeBackend(backend *backend, reason dialReason) {
	backend.conn.Close()
	p.recordClosed(backend.tenant, reason)
}

// gone counts a connection of the tenant's less. It is called with the lock held.
func (p *pool) recordClosed(tenant string, reason dialReason) {
	p.open--
	use := p.tenants[tenant]
	use.open--
	use.lastReason, use.closedAt = reason, p.now()
}

// closeExpired closes idle connections that have been unused for too long, the oldest first. It is called with the lock held.
func (p *pool) closeExpired(now time.Duration, reason dialReason) {
	newer := 0
	for _, unused := range p.idle {
		if unused.lastUser.isLive() {
			newer++
		}
	}
	p.closeIdle(reason, func(unused *backend) bool {
		isLive := unused.lastUser.isLive()
		if isLive && newer > 0 {
			newer--
		}
		idleFor := now - unused.lastUsed
		if unused.tenant == "" {
			return p.open > minIdleKept && idleFor > maxIdleTime
		}
		return idleFor >= p.retention.keepTime(isLive, newer)
	})
}

// trim closes connections that haven't been used for long, and helps those who wait if there is room by now.
func (p *pool) trim() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	p.retention.lengthen(now)
	p.closeExpired(now, afterExpired)
	p.dialForWaiters(now)
}

// forgetParts forgets tenants that have had no connection for long.
func (p *pool) forgetTenants() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	old := p.now() - tenantUseKept
	for tenant, use := range p.tenants {
		if use.open == 0 && use.closedAt < old {
			delete(p.tenants, tenant)
		}
	}
}
