package gateway

import (
	"slices"
	"time"

	"eiderway/session"
)

const (
	// maxIdleTime is how long an unused connection is kept where there are no tenants, and minIdleKept how many are
	// kept for ever, since a new connection costs a slot at the instance. The retention decides on connections of
	// tenants.
	maxIdleTime = 20 * time.Second
	minIdleKept = 2
	// tenantUseKept is how long the pool remembers why a tenant's last connection closed.
	tenantUseKept = time.Minute
)

// takeIdle takes the idle connection of the tenant that suits the session best; of several, the most recently used. The
// caller holds the lock.
func (p *pool) takeIdle(request acquireRequest) *backend {
	best, bestFit := -1, session.Fit(-1)
	for index := len(p.idle) - 1; index >= 0 && bestFit != session.Fits; index-- {
		if p.idle[index].tenant != request.tenant {
			continue
		}
		if fit := request.session.FitOf(p.idle[index].state); fit > bestFit {
			best, bestFit = index, fit
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

// leastValuable returns the index of the idle connection to be closed first: the one unused for longest among those
// whose last session has ended, else among all. There must be an idle connection. The caller holds the lock.
func (p *pool) leastValuable() int {
	ended := slices.IndexFunc(p.idle, func(unused *backend) bool { return !unused.lastUser.isLive() })
	return max(0, ended)
}

// closeIdleAt closes the idle connection at the index to make room. The caller holds the lock.
func (p *pool) closeIdleAt(index int) {
	unused := p.idle[index]
	p.idle = slices.Delete(p.idle, index, index+1)
	p.closeBackend(unused, afterEviction)
}

// closeIdle closes the chosen idle connections. The caller holds the lock.
func (p *pool) closeIdle(reason dialReason, chosen func(*backend) bool) {
	p.idle = slices.DeleteFunc(p.idle, func(unused *backend) bool {
		if !chosen(unused) {
			return false
		}
		p.closeBackend(unused, reason)
		return true
	})
}

// closeBackend closes a connection that is neither idle nor lent any more. The caller holds the lock.
func (p *pool) closeBackend(backend *backend, reason dialReason) {
	backend.conn.Close()
	p.recordClosed(backend.tenant, reason)
}

// recordClosed counts one connection of the tenant less. The caller holds the lock.
func (p *pool) recordClosed(tenant string, reason dialReason) {
	p.open--
	use := p.tenants[tenant]
	use.open--
	use.lastReason, use.closedAt = reason, p.now()
}

// closeExpired closes idle connections that have been unused for too long, the oldest first. The caller holds the lock.
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

// trim closes connections that have been unused for too long, and dials for those that wait if there is room by now.
func (p *pool) trim() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	p.retention.lengthen(now)
	p.closeExpired(now, afterExpired)
	p.dialForWaiters(now)
}

// forgetTenants forgets tenants that have had no connection for long.
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
