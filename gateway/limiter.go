package gateway

import (
	"context"
	"sync"
	"time"

	"eiderway/control/access"
	"eiderway/control/configuration"
	"eiderway/control/feed"
	"eiderway/control/quota"
)

const (
	// operationsTime bounds a question for operations: the primary answers it at once, or says after 0.7 s that nobody confirms that it leads. A
	// question that is given up closes the connection, and with it the gateway's question for news.
	operationsTimeout = 1100 * time.Millisecond
	// operationsPause is the pause after one that got no answer.
	operationsPause = 50 * time.Millisecond
	// reserveTick is between two looks at whether a reserve is to be renewed.
	reserveCheckInterval = 250 * time.Millisecond
)

// allowance lets operations of tenants begin as long as their limits allow it. Those who find its purse empty wait for what the bank
// grants.
type limiter struct {
	now          func() time.Duration
	refillNeeded chan struct{} // takes a word when the bank should be asked; holds one

	mutex    sync.Mutex
	grants   *quota.Purse
	changed  chan struct{} // closed and replaced when the purse may hold something new
	refusals refusalCounts
}

func newLimiter(now func() time.Duration) *limiter {
	return &limiter{now: now, refillNeeded: make(chan struct{}, 1), grants: quota.NewPurse(), changed: make(chan struct{}), refusals: refusalCounts{}}
}

// limit takes over which tenants have a limit.
func (a *limiter) setTenants(tenants []configuration.Tenant) {
	var limited []string
	for _, tenant := range tenants {
		if tenant.Limited {
			limited = append(limited, tenant.Name)
		}
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.grants.SetLimited(limited)
	a.refusals.foldUnlimited(limited)
}

// take lets an operation of the tenant begin, if its limit allows it; it waits until the time given at the latest.
func (a *limiter) admit(tenant string, until time.Duration) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	verdict := a.grants.Take(a.now(), tenant)
	if verdict == quota.Short {
		a.grants.Wait(tenant)
		defer a.grants.Waited(tenant)
	}
	if a.grants.Hungry(a.now(), tenant) {
		a.requestRefill()
	}
	for verdict == quota.Short && a.now() < until {
		a.await(until)
		verdict = a.grants.TakeAgain(a.now(), tenant)
	}
	if verdict != quota.Taken {
		a.refusals[tenant]++
	}
	return verdict == quota.Taken
}

// refusedByTenant gives how many operations were refused, by tenant.
func (a *limiter) refusedByTenant() map[string]uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.refusals.top(maxTenantsShown)
}

// await waits for a change. It is called with the lock held, and gives it up meanwhile.
func (a *limiter) await(until time.Duration) {
	changed := a.changed
	a.mutex.Unlock()
	defer a.mutex.Lock()
	timer := time.NewTimer(until - a.now())
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

func (a *limiter) requestRefill() {
	select {
	case a.refillNeeded <- struct{}{}:
	default:
	}
}

// next is the request to the bank that is due, if any.
func (a *limiter) nextRequest() (quota.Request, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.grants.Next(a.now())
}

// granted books what the bank granted, and lets those who wait look again.
func (a *limiter) applyGrants(answer quota.Answer) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.grants.Granted(a.now(), answer)
	close(a.changed)
	a.changed = make(chan struct{})
	a.requestRefill() // others may have come to wait meanwhile
}

func (a *limiter) requestFailed() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.grants.Failed()
	a.requestRefill()
}

// borrow asks the primary for operations of tenants, one question at a time, until the context ends.
func (g *Gateway) refillLimits(ctx context.Context) {
	ticker := time.NewTicker(reserveCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.limiter.refillNeeded:
		case <-ticker.C:
		}
		request, due := g.limiter.nextRequest()
		if !due {
			continue
		}
		g.counters.operationRequests.Add(1)
		if !g.requestOperations(ctx, request) {
			g.counters.failedOperationRequests.Add(1)
			pause(ctx, operationsPause)
			g.limiter.requestFailed()
		}
	}
}

// askForOperations tells whether the question was answered.
func (g *Gateway) requestOperations(ctx context.Context, request quota.Request) bool {
	address, relay := g.primaryAddress()
	if address == "" {
		return false
	}
	request.Gateway = g.identity
	timeoutCtx, cancel := context.WithTimeout(ctx, operationsTimeout)
	defer cancel()
	answer, err := g.controllers.Watch(timeoutCtx, address, feed.WatchRequest{
		Gateway: g.identity, Name: g.name, Operations: &request, Relay: relay,
	})
	if err != nil || answer.Operations == nil {
		return false
	}
	g.limiter.applyGrants(*answer.Operations)
	return true
}

func (g *Gateway) primaryAddress() (address string, relay bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.primary, g.primaryRelays
}

// limitOf says for whom an operation of a client is likely to count, and until when it may wait; "": for nobody, or it can't be served now.
func (g *Gateway) limitedTenant(database string, key access.Key, receivedAt time.Duration) (tenant string, until time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	route, known := g.directory.routes[database]
	if !known || !g.directory.hasLease(g.elapsed()) {
		return "", 0
	}
	tenant, _ = g.directory.access.Admit(route, key)
	return tenant, receivedAt + maxPlacementWait(placement{route: route})
}

// count takes the operation out for the tenant, as far as its limit goes. One that was counted for this tenant and hasn't been sent
// isn't counted again; what was counted for another is lost.
func (c *client) charge(tenant string, until time.Duration) bool {
	if tenant == "" || c.chargedTenant == tenant {
		return true
	}
	if !c.gateway.limiter.admit(tenant, until) {
		c.gateway.counters.overLimit.Add(1)
		return false
	}
	c.chargedTenant = tenant
	return true
}
