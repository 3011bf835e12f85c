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
	// operationsTimeout bounds a request for operations. The primary answers it at once, or reports after 0.7 s that its
	// lead isn't confirmed. A request that is given up closes the connection, and with it the gateway's pending
	// watch.
	operationsTimeout = 1100 * time.Millisecond
	// operationsPause is the pause after a request that got no answer.
	operationsPause = 50 * time.Millisecond
	// reserveCheckInterval is the time between checks whether a reserve must be renewed.
	reserveCheckInterval = 250 * time.Millisecond
)

// limiter admits operations of tenants within their limits. An operation for which no grant is left waits for the next
// answer of the primary, which keeps the account of all gateways.
type limiter struct {
	now          func() time.Duration
	refillNeeded chan struct{} // signals that the primary should be asked; holds one signal

	mutex    sync.Mutex
	budget   *quota.Budget
	changed  chan struct{} // closed and replaced when grants have arrived
	refusals refusalCounts
}

func newLimiter(now func() time.Duration) *limiter {
	return &limiter{now: now, refillNeeded: make(chan struct{}, 1), budget: quota.NewBudget(), changed: make(chan struct{}), refusals: refusalCounts{}}
}

// setTenants replaces the set of tenants that have a limit.
func (l *limiter) setTenants(tenants []configuration.Tenant) {
	var limited []string
	for _, tenant := range tenants {
		if tenant.Limited {
			limited = append(limited, tenant.Name)
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.budget.SetLimitedTenants(limited)
	l.refusals.foldUnlimited(limited)
}

// admit reports whether an operation of the tenant may begin by its limit. It waits for a grant until the given time at
// the latest.
func (l *limiter) admit(tenant string, until time.Duration) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	result := l.budget.Take(l.now(), tenant)
	if result == quota.NeedsGrant {
		l.budget.AddWaiter(tenant)
		defer l.budget.RemoveWaiter(tenant)
	}
	if l.budget.ShouldRequest(l.now(), tenant) {
		l.requestRefill()
	}
	for result == quota.NeedsGrant && l.now() < until {
		l.await(until)
		result = l.budget.RetryTake(l.now(), tenant)
	}
	if result != quota.Taken {
		l.refusals[tenant]++
	}
	return result == quota.Taken
}

// refusedByTenant returns the number of refused operations by tenant.
func (l *limiter) refusedByTenant() map[string]uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.refusals.top(maxTenantsShown)
}

// await waits for a change. The caller holds the lock, which is released meanwhile.
func (l *limiter) await(until time.Duration) {
	changed := l.changed
	l.mutex.Unlock()
	defer l.mutex.Lock()
	timer := time.NewTimer(until - l.now())
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

func (l *limiter) requestRefill() {
	select {
	case l.refillNeeded <- struct{}{}:
	default:
	}
}

// nextRequest returns the request for operations that is due, if any.
func (l *limiter) nextRequest() (quota.Request, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.budget.NextRequest(l.now())
}

// applyGrants adds what the primary granted and lets the waiting operations try again.
func (l *limiter) applyGrants(answer quota.Answer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.budget.ApplyAnswer(l.now(), answer)
	close(l.changed)
	l.changed = make(chan struct{})
	l.requestRefill() // others may have begun to wait meanwhile
}

func (l *limiter) requestFailed() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.budget.RequestFailed()
	l.requestRefill()
}

// refillLimits requests operations of tenants from the primary, one request at a time, until the context ends.
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
		request, isDue := g.limiter.nextRequest()
		if !isDue {
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

// requestOperations sends the request and reports whether it was answered.
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

// limitedTenant returns the tenant for which an operation of the client is likely to count and until when it may wait.
// The tenant is "" if the operation counts for none or can't be served now.
func (g *Gateway) limitedTenant(database string, key access.Key, receivedAt time.Duration) (tenant string, until time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	route, known := g.directory.routes[database]
	if !known || !g.directory.hasLease(g.elapsed()) {
		return "", 0
	}
	tenant, _ = g.directory.access.Authorize(route, key)
	return tenant, receivedAt + maxPlacementWait(placement{route: route})
}

// charge takes one operation from the tenant's limit and reports whether the limit allows it. An operation that was
// charged to this tenant and hasn't been run isn't charged again; a charge to another tenant is lost.
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
