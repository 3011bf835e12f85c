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
	operationsTime = 1100 * time.Millisecond
	// operationsPause is the pause after one that got no answer.
	operationsPause = 50 * time.Millisecond
	// reserveTick is between two looks at whether a reserve is to be renewed.
	reserveTick = 250 * time.Millisecond
)

// allowance lets operations of tenants begin as long as their limits allow it. Those who find its purse empty wait for what the bank
// grants.
type allowance struct {
	now    func() time.Duration
	hungry chan struct{} // takes a word when the bank should be asked; holds one

	mutex   sync.Mutex
	purse   *quota.Budget
	changed chan struct{} // closed and replaced when the purse may hold something new
	refused refusals
}

func newAllowance(now func() time.Duration) *allowance {
	return &allowance{now: now, hungry: make(chan struct{}, 1), purse: quota.NewBudget(), changed: make(chan struct{}), refused: refusals{}}
}

// limit takes over which tenants have a limit.
func (a *allowance) limit(tenants []configuration.Tenant) {
	var limited []string
	for _, tenant := range tenants {
		if tenant.Limited {
			limited = append(limited, tenant.Name)
		}
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.purse.SetLimitedTenants(limited)
	a.refused.keep(limited)
}

// take lets an operation of the tenant begin, if its limit allows it; it waits until the time given at the latest.
func (a *allowance) take(tenant string, until time.Duration) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	verdict := a.purse.Take(a.now(), tenant)
	if verdict == quota.NeedsGrant {
		a.purse.AddWaiter(tenant)
		defer a.purse.RemoveWaiter(tenant)
	}
	if a.purse.ShouldRequest(a.now(), tenant) {
		a.wakeBorrower()
	}
	for verdict == quota.NeedsGrant && a.now() < until {
		a.await(until)
		verdict = a.purse.RetryTake(a.now(), tenant)
	}
	if verdict != quota.Taken {
		a.refused[tenant]++
	}
	return verdict == quota.Taken
}

// refusedByTenant gives how many operations were refused, by tenant.
func (a *allowance) refusedByTenant() map[string]uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.refused.busiest(mostTenantsShown)
}

// await waits for a change. It is called with the lock held, and gives it up meanwhile.
func (a *allowance) await(until time.Duration) {
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

func (a *allowance) wakeBorrower() {
	select {
	case a.hungry <- struct{}{}:
	default:
	}
}

// next is the request to the bank that is due, if any.
func (a *allowance) next() (quota.Request, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.purse.NextRequest(a.now())
}

// granted books what the bank granted, and lets those who wait look again.
func (a *allowance) granted(answer quota.Answer) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.purse.ApplyAnswer(a.now(), answer)
	close(a.changed)
	a.changed = make(chan struct{})
	a.wakeBorrower() // others may have come to wait meanwhile
}

func (a *allowance) failed() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.purse.RequestFailed()
	a.wakeBorrower()
}

// borrow asks the primary for operations of tenants, one question at a time, until the context ends.
func (g *Gateway) borrow(ctx context.Context) {
	ticker := time.NewTicker(reserveTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.allowance.hungry:
		case <-ticker.C:
		}
		request, due := g.allowance.next()
		if !due {
			continue
		}
		g.counters.operationQuestions.Add(1)
		if !g.askForOperations(ctx, request) {
			g.counters.operationFailures.Add(1)
			pause(ctx, operationsPause)
			g.allowance.failed()
		}
	}
}

// askForOperations tells whether the question was answered.
func (g *Gateway) askForOperations(ctx context.Context, request quota.Request) bool {
	address, relay := g.primaryAddress()
	if address == "" {
		return false
	}
	request.Gateway = g.identity
	limited, cancel := context.WithTimeout(ctx, operationsTime)
	defer cancel()
	answer, err := g.watcher.Watch(limited, address, feed.WatchRequest{
		Gateway: g.identity, Name: g.name, Operations: &request, Relay: relay,
	})
	if err != nil || answer.Operations == nil {
		return false
	}
	g.allowance.granted(*answer.Operations)
	return true
}

func (g *Gateway) primaryAddress() (address string, relay bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.primary, g.primaryRelays
}

// limitOf says for whom an operation of a client is likely to count, and until when it may wait; "": for nobody, or it can't be served now.
func (g *Gateway) limitOf(database string, key access.Key, asked time.Duration) (tenant string, until time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	route, known := g.directory.routes[database]
	if !known || !g.directory.leased(g.now()) {
		return "", 0
	}
	tenant, _ = g.directory.access.Admit(route, key)
	return tenant, asked + patienceOf(placement{route: route})
}

// count takes the operation out for the tenant, as far as its limit goes. One that was counted for this tenant and hasn't been sent
// isn't counted again; what was counted for another is lost.
func (c *client) count(tenant string, until time.Duration) bool {
	if tenant == "" || c.counted == tenant {
		return true
	}
	if !c.gateway.allowance.take(tenant, until) {
		c.gateway.counters.overLimit.Add(1)
		return false
	}
	c.counted = tenant
	return true
}
