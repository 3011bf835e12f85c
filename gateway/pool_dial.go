package gateway

import (
	"context"
	"errors"
	"time"

	"eiderway/session"
	"eiderway/wire"
)

const (
	// growEvery is how soon a pool tries one connection more after the instance refused one: often enough to make use
	// of what others give back within a few seconds, rarely enough not to cost the instance's slots.
	growInterval = time.Second
	// dialTime bounds the making of a connection: an instance that is there answers within a few round trips and a
	// wait for a slot.
	dialTimeout = 1500 * time.Millisecond
	// retryDial is the pause after a connection that could not be made.
	dialRetryPause = 50 * time.Millisecond
)

// makeMore makes connections for those who wait, as far as the limits go. It is called with the lock held.
func (p *pool) dialForWaiters(now time.Duration) {
	if p.allowed < p.limit && now >= p.growAt {
		p.allowed++
		p.growAt = now + growInterval
	}
	if p.closed || p.isPaused(now) {
		return
	}
	for _, waiter := range p.waitersWithoutDial() {
		if !p.makeRoom() {
			return
		}
		p.startDial(waiter.tenant)
	}
}

// unserved are those who wait and for whom no connection is being made, in the order of the queue. It is called with the lock held.
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

// makeRoom tells whether there is room for another connection, for which an idle one gives way if need be. It is called with the lock held.
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

// startMaking is called with the lock held.
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

// make makes a connection for a tenant.
func (p *pool) dialFor(tenant string, reason dialReason) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, tenant)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.tenants[tenant].dialing--
	if err != nil {
		p.dialFailed(tenant, err)
		return
	}
	p.counts.made[reason].Add(1)
	backend := &backend{pool: p, tenant: tenant, conn: conn, state: session.NewBackend()}
	// Whoever it was made for has it, whoever else waits: it has cost the instance a slot.
	if p.closed || !p.giveToWaiter(backend) {
		p.handOver(backend)
	}
}

func (p *pool) dialInstance(ctx context.Context, tenant string) (*wire.Conn, error) {
	return wire.Dial(ctx, p.key.address, p.key.service, p.userOf(tenant), p.key.instanceID)
}

// whoOf is the name under which connections for a tenant are made.
func (p *pool) userOf(tenant string) string {
	if tenant == "" {
		return p.defaultUser
	}
	return tenant
}

// notMade deals with a connection that could not be made. It is called with the lock held.
func (p *pool) dialFailed(tenant string, err error) {
	now := p.now()
	p.recordClosed(tenant, p.tenants[tenant].lastReason)
	p.retryAt = now + dialRetryPause
	var refused *wire.Refused
	switch {
	case !errors.As(err, &refused):
		p.counts.failed.Add(1)
	case refused.Code == wire.ConnLimit:
		p.counts.limited.Add(1)
		p.instanceFull(now)
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

// atLimit: the instance takes no more connections, from any gateway. What is idle here gives way: to those who wait here, and to other
// gateways' by being kept for a shorter time. It is called with the lock held.
func (p *pool) instanceFull(now time.Duration) {
	p.allowed = max(1, p.open)
	p.growAt = now + growInterval
	if len(p.idle) > 0 {
		p.retryAt = now
	}
	p.retention.shorten(now)
	p.closeExpired(now, afterEviction)
}

// mustPause tells whether no connection is to be made for a while, since one could not be made. Those who wait are tried for when the pause is
// over: nothing else need happen by then. It is called with the lock held.
func (p *pool) isPaused(now time.Duration) bool {
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
