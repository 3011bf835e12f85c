package quota

import (
	"maps"
	"math"
	"time"
)

const (
	// leastRetry and longestRetry bound how long a gateway is told to wait before it asks again.
	leastRetry   = 100 * time.Millisecond
	longestRetry = time.Second
	// unknownRetry is the wait for a tenant that the bank doesn't know: its configuration is about to change.
	unknownRetry = 200 * time.Millisecond
)

const (
	// numbersKept is how long the number of a gateway's last request is kept: a request that comes later than another one of the same
	// gateway is on its way for far less.
	numbersKept = 10 * time.Minute
	// numbersPruned is between two looks at which numbers are too old.
	numbersPruned = time.Minute
)

// Allocator grants operations of tenants to gateways. There is one at a time; see NewAllocator.
type Allocator struct {
	id      uint64
	rules   Rules
	opensAt time.Duration
	buckets map[string]*bucket
	counts  Counts

	lastRequests map[string]lastRequest // by gateway
	pruneAt      time.Duration
}

// lastRequest is the newest request of a gateway.
type lastRequest struct {
	number uint64
	at     time.Duration
}

// Counts are what a bank has done since it was made.
type Counts struct {
	Requests uint64
	Granted  uint64 // operations
	Denied   uint64 // operations that were wanted and not granted
}

// Plus gives the sum.
func (c Counts) Plus(more Counts) Counts {
	return Counts{Requests: c.Requests + more.Requests, Granted: c.Granted + more.Granted, Denied: c.Denied + more.Denied}
}

// bucket holds what may be granted of a tenant's operations.
type bucket struct {
	terms
	level    float64
	filledAt time.Duration
	reserves *reserves

	isAmple  bool          // gateways may hold more than modest in reserve
	fullFrom time.Duration // if not: from when the bucket is refilled at the full rate
}

// NewAllocator makes an allocator that knows no tenants, with a number that no other has. It is empty until opensAt: by then no earlier one
// has granted anything for GrantLife.
func NewAllocator(id uint64, opensAt time.Duration, rules Rules) *Allocator {
	return &Allocator{id: id, rules: rules, opensAt: opensAt, buckets: map[string]*bucket{}, lastRequests: map[string]lastRequest{}}
}

// SetLimits replaces the limits of all tenants. What is left of a tenant's operations stays, as far as its new limit allows.
func (b *Allocator) SetLimits(now time.Duration, limits []Limit) {
	next := make(map[string]*bucket, len(limits))
	for _, limit := range limits {
		kept := b.buckets[limit.Tenant]
		chosen := termsOf(limit, b.rules)
		if kept == nil {
			from := max(now, b.opensAt)
			kept = &bucket{terms: chosen, filledAt: from, reserves: newReserves(from, chosen.reserve, now <= b.opensAt)}
			kept.isAmple = true
		}
		kept.fill(now)
		if chosen != kept.terms {
			kept.isAmple = true // until gateways have told
		}
		kept.reserves.raise(chosen.reserve - kept.terms.reserve)
		kept.terms = chosen
		kept.level = min(kept.level, kept.capacity)
		next[limit.Tenant] = kept
	}
	b.buckets = next
}

// fill adds what has come in since the last time.
func (b *bucket) fill(now time.Duration) {
	if now <= b.filledAt {
		return
	}
	added := b.rate * (now - b.filledAt).Seconds()
	if full := max(b.filledAt, b.fullFrom); !b.isAmple && now > full {
		added += max(0, b.fullRate-b.rate) * (now - full).Seconds()
	}
	b.level = min(b.capacity, b.level+added)
	b.filledAt = now
}

// noteLent notes how much gateways may hold in reserve. It can only have fallen since the last time.
func (b *bucket) noteLent(now time.Duration, lent int) {
	wasAmple := b.isAmple
	b.isAmple = lent > b.modest
	if wasAmple && !b.isAmple {
		b.fullFrom = now + b.settle
	}
}

// Answer grants as many of the wanted operations as there are.
func (b *Allocator) Answer(now time.Duration, request Request) Answer {
	b.counts.Requests++
	answer := Answer{Number: request.Number}
	if now >= b.opensAt {
		answer.Bank = b.id
	}
	if b.isOvertaken(now, request) {
		return answer // nobody waits for it
	}
	grants := make([]Grant, 0, len(request.Wants))
	for _, want := range request.Wants {
		grant := b.grant(now, request, want)
		b.counts.Granted += uint64(grant.Operations + grant.Reserved)
		b.counts.Denied += uint64(max(0, want.Operations-grant.Operations))
		grants = append(grants, grant)
	}
	answer.Grants = grants
	return answer
}

// isOvertaken tells whether a newer request of the same gateway came before this one, or the same.
func (b *Allocator) isOvertaken(now time.Duration, request Request) bool {
	if request.Gateway == "" {
		return false
	}
	if now >= b.pruneAt {
		b.pruneAt = now + numbersPruned
		maps.DeleteFunc(b.lastRequests, func(_ string, last lastRequest) bool { return now-last.at > numbersKept })
	}
	if request.Number <= b.lastRequests[request.Gateway].number {
		return true
	}
	b.lastRequests[request.Gateway] = lastRequest{number: request.Number, at: now}
	return false
}

func (b *Allocator) grant(now time.Duration, request Request, want Want) Grant {
	known := b.buckets[want.Tenant]
	if known == nil {
		return Grant{Tenant: want.Tenant, RetryAfter: unknownRetry}
	}
	known.fill(now)
	granted := max(0, min(want.Operations, int(math.Floor(known.level))))
	known.level -= float64(granted)
	grant := Grant{Tenant: want.Tenant, Operations: granted, Life: known.life}
	if granted < want.Operations {
		grant.RetryAfter = known.retryAfter()
	}
	b.reserve(now, request, want, known, &grant)
	return grant
}

// retryAfter is when there will be an operation to grant.
func (b *bucket) retryAfter() time.Duration {
	if b.rate <= 0 {
		return longestRetry
	}
	seconds := (1 - b.level) / b.rate
	return min(longestRetry, max(leastRetry, time.Duration(seconds*float64(time.Second))))
}

// Counts tells what the bank has done.
func (b *Allocator) Counts() Counts { return b.counts }
