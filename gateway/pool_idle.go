package gateway

import (
	"slices"
	"time"

	"eiderway/session"
)

const (
	// idleTime is how long a connection that nobody needs is kept where there are no tenants, and idleKept how many are kept for ever: a new one
	// costs a slot at the instance. Those of tenants are kept as their retention says.
	idleTime = 20 * time.Second
	idleKept = 2
	// partKept is how long it is remembered what became of a tenant's last connection.
	partKept = time.Minute
)

// takeIdle takes the tenant's idle connection that suits the session best; of several, the one used last. It is called with the lock held.
func (p *pool) takeIdle(asked ask) *backend {
	best, bestFit := -1, session.Fit(-1)
	for place := len(p.idle) - 1; place >= 0 && bestFit != session.Fits; place-- {
		if p.idle[place].tenant != asked.tenant {
			continue
		}
		if fit := asked.session.FitOf(p.idle[place].state); fit > bestFit {
			best, bestFit = place, fit
		}
	}
	if best < 0 {
		return nil
	}
	found := p.idle[best]
	found.wantedBy = asked.interest
	p.idle = slices.Delete(p.idle, best, best+1)
	return found
}

// leastWanted is the idle connection that gives way first: the one that has been unused for longest among those whose last session has ended,
// else among all. It is called with the lock held, and with one that is idle.
func (p *pool) leastWanted() int {
	unwanted := slices.IndexFunc(p.idle, func(unused *backend) bool { return !unused.wantedBy.lasts() })
	return max(0, unwanted)
}

// closeOne closes the idle connection at the place, to make room. It is called with the lock held.
func (p *pool) closeOne(place int) {
	unused := p.idle[place]
	p.idle = slices.Delete(p.idle, place, place+1)
	p.shut(unused, afterGaveWay)
}

// closeIdle closes the idle connections that are chosen. It is called with the lock held.
func (p *pool) closeIdle(why dialReason, chosen func(*backend) bool) {
	p.idle = slices.DeleteFunc(p.idle, func(unused *backend) bool {
		if !chosen(unused) {
			return false
		}
		p.shut(unused, why)
		return true
	})
}

// shut closes a connection that is neither idle nor lent any more. It is called with the lock held.
func (p *pool) shut(ended *backend, why dialReason) {
	ended.conn.Close()
	p.gone(ended.tenant, why)
}

// gone counts a connection of the tenant's less. It is called with the lock held.
func (p *pool) gone(tenant string, why dialReason) {
	p.open--
	held := p.parts[tenant]
	held.open--
	held.lost, held.lostAt = why, p.now()
}

// closeExpired closes idle connections that have been unused for too long, the oldest first. It is called with the lock held.
func (p *pool) closeExpired(now time.Duration, why dialReason) {
	newer := 0
	for _, unused := range p.idle {
		if unused.wantedBy.lasts() {
			newer++
		}
	}
	p.closeIdle(why, func(unused *backend) bool {
		isWanted := unused.wantedBy.lasts()
		if isWanted && newer > 0 {
			newer--
		}
		rested := now - unused.lastUsed
		if unused.tenant == "" {
			return p.open > idleKept && rested > idleTime
		}
		return rested >= p.retention.keep(isWanted, newer)
	})
}

// trim closes connections that haven't been used for long, and helps those who wait if there is room by now.
func (p *pool) trim() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	p.retention.lengthen(now)
	p.closeExpired(now, afterExpired)
	p.makeMore(now)
}

// forgetParts forgets tenants that have had no connection for long.
func (p *pool) forgetParts() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	old := p.now() - partKept
	for tenant, held := range p.parts {
		if held.open == 0 && held.lostAt < old {
			delete(p.parts, tenant)
		}
	}
}
