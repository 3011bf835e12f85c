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
	growEvery = time.Second
	// dialTime bounds the making of a connection: an instance that is there answers within a few round trips and a
	// wait for a slot.
	dialTime = 1500 * time.Millisecond
	// retryDial is the pause after a connection that could not be made.
	retryDial = 50 * time.Millisecond
)

// makeMore makes connections for those who wait, as far as the limits go. It is called with the lock held.
func (p *pool) makeMore(now time.Duration) {
	if p.most < p.limit && now >= p.growAt {
		p.most++
		p.growAt = now + growEvery
	}
	if p.closed || p.mustPause(now) {
		return
	}
	for _, wait := range p.unserved() {
		if !p.makeRoom() {
			return
		}
		p.startMaking(wait.tenant)
	}
}

// unserved are those who wait and for whom no connection is being made, in the order of the queue. It is called with the lock held.
func (p *pool) unserved() []*waiter {
	if len(p.waiting) == 0 {
		return nil
	}
	var unserved []*waiter
	ahead := map[string]int{}
	for _, wait := range p.waiting {
		ahead[wait.tenant]++
		if held := p.parts[wait.tenant]; held == nil || ahead[wait.tenant] > held.making {
			unserved = append(unserved, wait)
		}
	}
	return unserved
}

// makeRoom tells whether there is room for another connection, for which an idle one gives way if need be. It is called with the lock held.
func (p *pool) makeRoom() bool {
	if p.open < p.most {
		return true
	}
	if len(p.idle) == 0 {
		return false
	}
	p.closeOne(p.leastWanted())
	return p.open < p.most
}

// startMaking is called with the lock held.
func (p *pool) startMaking(tenant string) {
	held := p.parts[tenant]
	if held == nil {
		held = &part{lost: firstOfTenant}
		p.parts[tenant] = held
	}
	why := held.lost
	if held.open > 0 {
		why = othersLent
	}
	held.open++
	held.making++
	p.open++
	p.launch(func() { p.make(tenant, why) })
}

// make makes a connection for a tenant.
func (p *pool) make(tenant string, why dialReason) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTime)
	defer cancel()
	conn, err := p.dial(ctx, tenant)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.parts[tenant].making--
	if err != nil {
		p.notMade(tenant, err)
		return
	}
	p.counts.made[why].Add(1)
	fresh := &backend{home: p, tenant: tenant, conn: conn, state: session.NewBackend()}
	// Whoever it was made for has it, whoever else waits: it has cost the instance a slot.
	if p.closed || !p.handToWaiter(fresh) {
		p.hand(fresh)
	}
}

func (p *pool) dialInstance(ctx context.Context, tenant string) (*wire.Conn, error) {
	return wire.Dial(ctx, p.key.address, p.key.service, p.whoOf(tenant), p.key.instanceID)
}

// whoOf is the name under which connections for a tenant are made.
func (p *pool) whoOf(tenant string) string {
	if tenant == "" {
		return p.who
	}
	return tenant
}

// notMade deals with a connection that could not be made. It is called with the lock held.
func (p *pool) notMade(tenant string, err error) {
	now := p.now()
	p.gone(tenant, p.parts[tenant].lost)
	p.retryAt = now + retryDial
	var refused *wire.Refused
	switch {
	case !errors.As(err, &refused):
		p.counts.failed.Add(1)
	case refused.Code == wire.ConnLimit:
		p.counts.limited.Add(1)
		p.atLimit(now)
	default:
		p.counts.refused.Add(1)
	}
	if p.leads.Load() && (refused == nil || refused.Code == wire.WrongNode) {
		p.failed(p.key.instanceID)
	}
	if p.open == 0 {
		p.refuseAll()
		return
	}
	p.makeMore(now)
}

// atLimit: the instance takes no more connections, from any gateway. What is idle here gives way: to those who wait here, and to other
// gateways' by being kept for a shorter time. It is called with the lock held.
func (p *pool) atLimit(now time.Duration) {
	p.most = max(1, p.open)
	p.growAt = now + growEvery
	if len(p.idle) > 0 {
		p.retryAt = now
	}
	p.retention.refused(now)
	p.closeExpired(now, afterGaveWay)
}

// mustPause tells whether no connection is to be made for a while, since one could not be made. Those who wait are tried for when the pause is
// over: nothing else need happen by then. It is called with the lock held.
func (p *pool) mustPause(now time.Duration) bool {
	if now >= p.retryAt {
		return false
	}
	if len(p.waiting) > 0 && !p.retrySet {
		p.retrySet = true
		p.after(p.retryAt-now, p.pauseOver)
	}
	return true
}

func (p *pool) pauseOver() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.retrySet = false
	p.makeMore(p.now())
}
