package quota

import (
	"maps"
	"math"
	"time"
)

const (
	// minRetry and maxRetry bound how long a gateway is told to wait before it asks again.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Second
	// unknownTenantRetry is the wait for a tenant that the allocator doesn't know: its configuration is about to change.
	unknownTenantRetry = 200 * time.Millisecond
)

const (
	// numberRetention is how long the number of a gateway's last request is kept: a request that arrives after a newer one of the same
	// gateway has been delayed for far less.
	numberRetention = 10 * time.Minute
	// pruneInterval is the time between two searches for numbers that are too old.
	pruneInterval = time.Minute
)

// Allocator grants operations of tenants to gateways. There is one at a time; see NewAllocator.
type Allocator struct {
	id      uint64
	rules   Rules
	opensAt time.Duration
	buckets map[string]*bucket // by tenant
	counts  Counts

	lastRequests map[string]lastRequest // by gateway
	pruneAt      time.Duration
}

// lastRequest is the newest request of a gateway.
type lastRequest struct {
	number uint64
	at     time.Duration
}

// Counts are what an allocator has done since it was made.
type Counts struct {
	Requests uint64
	Granted  uint64 // operations
	Denied   uint64 // operations that were wanted and not granted
}

// Plus gives the sum.
func (c Counts) Plus(more Counts) Counts {
	return Counts{Requests: c.Requests + more.Requests, Granted: c.Granted + more.Granted, Denied: c.Denied + more.Denied}
}

// bucket is a token bucket of the operations of one tenant that may be granted.
type bucket struct {
	parameters
	level    float64
	filledAt time.Duration
	reserves *tenantReserves

	hasAmpleReserves bool          // gateways may hold more than modestReserve in reserve
	fullRateFrom     time.Duration // if they don't: from when the bucket is refilled at the full rate
}

// NewAllocator makes an allocator that knows no tenants. No other allocator may have the same id. It is empty until opensAt: by then no
// earlier allocator may have granted anything for GrantLife.
func NewAllocator(id uint64, opensAt time.Duration, rules Rules) *Allocator {
	return &Allocator{id: id, rules: rules, opensAt: opensAt, buckets: map[string]*bucket{}, lastRequests: map[string]lastRequest{}}
}

// SetLimits replaces the limits of all tenants. What is left of a tenant's operations stays, as far as its new limit allows.
func (a *Allocator) SetLimits(now time.Duration, limits []Limit) {
	next := make(map[string]*bucket, len(limits))
	for _, limit := range limits {
		kept := a.buckets[limit.Tenant]
		changed := parametersFor(limit, a.rules)
		if kept == nil {
			from := max(now, a.opensAt)
			kept = &bucket{parameters: changed, filledAt: from, reserves: newTenantReserves(from, changed.maxReserve, now <= a.opensAt)}
			kept.hasAmpleReserves = true
		}
		kept.fill(now)
		if changed != kept.parameters {
			kept.hasAmpleReserves = true // until gateways have reported what they hold
		}
		kept.reserves.raiseUnreported(changed.maxReserve - kept.maxReserve)
		kept.parameters = changed
		kept.level = min(kept.level, kept.capacity)
		next[limit.Tenant] = kept
	}
	a.buckets = next
}

// fill adds what the bucket has received since it was filled last.
func (b *bucket) fill(now time.Duration) {
	if now <= b.filledAt {
		return
	}
	added := b.rate * (now - b.filledAt).Seconds()
	if fullFrom := max(b.filledAt, b.fullRateFrom); !b.hasAmpleReserves && now > fullFrom {
		added += max(0, b.fullRate-b.rate) * (now - fullFrom).Seconds()
	}
	b.level = min(b.capacity, b.level+added)
	b.filledAt = now
}

// noteReserved takes over how much gateways may hold in reserve now. It can only have fallen since the last call.
func (b *bucket) noteReserved(now time.Duration, reserved int) {
	hadAmpleReserves := b.hasAmpleReserves
	b.hasAmpleReserves = reserved > b.modestReserve
	if hadAmpleReserves && !b.hasAmpleReserves {
		b.fullRateFrom = now + b.settleTime
	}
}

// Answer grants as many of the wanted operations as there are.
func (a *Allocator) Answer(now time.Duration, request Request) Answer {
	a.counts.Requests++
	answer := Answer{Number: request.Number}
	if now >= a.opensAt {
		answer.Bank = a.id
	}
	if a.isStale(now, request) {
		return answer // the gateway no longer waits for it
	}
	grants := make([]Grant, 0, len(request.Wants))
	for _, want := range request.Wants {
		grant := a.grant(now, request, want)
		a.counts.Granted += uint64(grant.Operations + grant.Reserved)
		a.counts.Denied += uint64(max(0, want.Operations-grant.Operations))
		grants = append(grants, grant)
	}
	answer.Grants = grants
	return answer
}

// isStale tells whether the same request, or a newer one of the same gateway, came before this one. If not, it notes this one as the
// newest.
func (a *Allocator) isStale(now time.Duration, request Request) bool {
	if request.Gateway == "" {
		return false
	}
	if now >= a.pruneAt {
		a.pruneAt = now + pruneInterval
		maps.DeleteFunc(a.lastRequests, func(_ string, last lastRequest) bool { return now-last.at > numberRetention })
	}
	if request.Number <= a.lastRequests[request.Gateway].number {
		return true
	}
	a.lastRequests[request.Gateway] = lastRequest{number: request.Number, at: now}
	return false
}

func (a *Allocator) grant(now time.Duration, request Request, want Want) Grant {
	bucket := a.buckets[want.Tenant]
	if bucket == nil {
		return Grant{Tenant: want.Tenant, RetryAfter: unknownTenantRetry}
	}
	bucket.fill(now)
	granted := max(0, min(want.Operations, int(math.Floor(bucket.level))))
	bucket.level -= float64(granted)
	grant := Grant{Tenant: want.Tenant, Operations: granted, Life: bucket.grantLife}
	if granted < want.Operations {
		grant.RetryAfter = bucket.retryAfter()
	}
	a.grantReserve(now, request, want, bucket, &grant)
	return grant
}

// retryAfter is how long it takes, within the bounds for retries, until there is an operation to grant.
func (b *bucket) retryAfter() time.Duration {
	if b.rate <= 0 {
		return maxRetry
	}
	seconds := (1 - b.level) / b.rate
	return min(maxRetry, max(minRetry, time.Duration(seconds*float64(time.Second))))
}

// Counts tells what the allocator has done.
func (a *Allocator) Counts() Counts { return a.counts }
