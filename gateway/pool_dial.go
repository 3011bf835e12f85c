package gateway

import (
	"context"
	"errors"
	"time"

	"eiderway/session"
	"eiderway/wire"
)

const (
	// growInterval is how soon a pool tries one more connection after the instance refused one: often enough to use
	// what other gateways give back within a few seconds, rarely enough not to burden the instance's slots.
	growInterval = time.Second
	// dialTimeout bounds the making of a connection. An instance that is up answers within a few round trips and a wait
	// for a slot.
	dialTimeout = 1500 * time.Millisecond
	// dialRetryPause is the pause after a connection could not be made.
	dialRetryPause = 50 * time.Millisecond
)

// dialForWaiters starts connections for those that wait, within the limits. The caller holds the lock.
func (p *pool) dialForWaiters(now time.Duration) {
	if p.allowed < p.limit && now >= p.growAt {
		p.allowed++
		p.growAt = now + growInterval
	}
	if p.isClosed || p.mustPause(now) {
		return
	}
	for _, waiter := range p.waitersWithoutDial() {
		if !p.makeRoom() {
			return
		}
		p.startDial(waiter.tenant)
	}
}

// waitersWithoutDial returns the waiters for which no connection is being made, in the order of the queue. The caller
// holds the lock.
func (p *pool) waitersWithoutDial() []*waiter {
	if len(p.waiting) == 0 {
		return nil
	}
	var unserved []*waiter
	ahead := map[string]int{}
	for _, waiter := range p.waiting {
		ahead[waiter.tenant]++
		if use := p.tenants[waiter.tenant]; use == nil || ahead[waiter.tenant] > use.dialing {
			unserved = append(unserved, waiter)
		}
	}
	return unserved
}

// makeRoom reports whether there is room for another connection, and closes an idle one for it if necessary. The caller
// holds the lock.
func (p *pool) makeRoom() bool {
	if p.open < p.allowed {
		return true
	}
	if len(p.idle) == 0 {
		return false
	}
	p.closeIdleAt(p.leastValuable())
	return p.open < p.allowed
}

// startDial starts to make a connection for the tenant. The caller holds the lock.
func (p *pool) startDial(tenant string) {
	use := p.tenants[tenant]
	if use == nil {
		use = &tenantUse{lastReason: firstOfTenant}
		p.tenants[tenant] = use
	}
	reason := use.lastReason
	if use.open > 0 {
		reason = allInUse
	}
	use.open++
	use.dialing++
	p.open++
	p.launch(func() { p.dialFor(tenant, reason) })
}

// dialFor makes a connection for the tenant.
func (p *pool) dialFor(tenant string, reason dialReason) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, tenant)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.tenants[tenant].dialing--
	if err != nil {
		p.handleDialFailure(tenant, err)
		return
	}
	p.counts.made[reason].Add(1)
	backend := &backend{pool: p, tenant: tenant, conn: conn, state: session.NewBackend()}
	// The waiter that it was made for gets the connection, even if others wait with a higher priority: making it has
	// cost the instance a slot.
	if p.isClosed || !p.giveToWaiter(backend) {
		p.handOver(backend)
	}
}

func (p *pool) dialInstance(ctx context.Context, tenant string) (*wire.Conn, error) {
	return wire.Dial(ctx, p.key.address, p.key.service, p.userOf(tenant), p.key.instanceID)
}

// userOf returns the name under which connections for a tenant are made.
func (p *pool) userOf(tenant string) string {
	if tenant == "" {
		return p.defaultUser
	}
	return tenant
}

// handleDialFailure handles a connection that could not be made. The caller holds the lock.
func (p *pool) handleDialFailure(tenant string, err error) {
	now := p.now()
	p.recordClosed(tenant, p.tenants[tenant].lastReason)
	p.retryAt = now + dialRetryPause
	var refused *wire.RefusedError
	switch {
	case !errors.As(err, &refused):
		p.counts.failed.Add(1)
	case refused.Code == wire.ConnLimit:
		p.counts.limited.Add(1)
		p.handleConnLimit(now)
	default:
		p.counts.refused.Add(1)
	}
	if p.isLeader.Load() && (refused == nil || refused.Code == wire.WrongNode) {
		p.reportFailure(p.key.instanceID)
	}
	if p.open == 0 {
		p.refuseWaiters()
		return
	}
	p.dialForWaiters(now)
}

// handleConnLimit handles a refusal because the instance accepts no more connections from any gateway. Idle connections
// make room for those that wait here, and for other gateways by being kept for a shorter time. The caller holds the
// lock.
func (p *pool) handleConnLimit(now time.Duration) {
	p.allowed = max(1, p.open)
	p.growAt = now + growInterval
	if len(p.idle) > 0 {
		p.retryAt = now
	}
	p.retention.shorten(now)
	p.closeExpired(now, afterEviction)
}

// mustPause reports whether dialing pauses because a connection could not be made. It also schedules the next try for
// those that wait, since nothing else need happen by the end of the pause. The caller holds the lock.
func (p *pool) mustPause(now time.Duration) bool {
	if now >= p.retryAt {
		return false
	}
	if len(p.waiting) > 0 && !p.isRetryScheduled {
		p.isRetryScheduled = true
		p.schedule(p.retryAt-now, p.endPause)
	}
	return true
}

func (p *pool) endPause() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isRetryScheduled = false
	p.dialForWaiters(p.now())
}
