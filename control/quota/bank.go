package quota

import (
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

// Bank grants operations of tenants to gateways. There is one at a time; see NewBank.
type Bank struct {
	rules   Rules
	opensAt time.Duration
	buckets map[string]*bucket
	counts  Counts
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
}

// NewBank makes a bank that knows no tenants. It is empty until opensAt, the time from which no earlier bank grants anything.
func NewBank(opensAt time.Duration, rules Rules) *Bank {
	return &Bank{rules: rules, opensAt: opensAt, buckets: map[string]*bucket{}}
}

// SetLimits replaces the limits of all tenants. What is left of a tenant's operations stays, as far as its new limit allows.
func (b *Bank) SetLimits(now time.Duration, limits []Limit) {
	next := make(map[string]*bucket, len(limits))
	for _, limit := range limits {
		kept := b.buckets[limit.Tenant]
		if kept == nil {
			kept = &bucket{filledAt: max(now, b.opensAt)}
		}
		kept.fill(now)
		kept.terms = termsOf(limit, b.rules)
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
	b.level = min(b.capacity, b.level+b.rate*(now-b.filledAt).Seconds())
	b.filledAt = now
}

// Answer grants as many of the wanted operations as there are.
func (b *Bank) Answer(now time.Duration, request Request) Answer {
	b.counts.Requests++
	grants := make([]Grant, 0, len(request.Wants))
	for _, want := range request.Wants {
		grant := b.grant(now, want)
		b.counts.Granted += uint64(grant.Operations)
		b.counts.Denied += uint64(max(0, want.Operations-grant.Operations))
		grants = append(grants, grant)
	}
	return Answer{Number: request.Number, Grants: grants}
}

func (b *Bank) grant(now time.Duration, want Want) Grant {
	known := b.buckets[want.Tenant]
	if known == nil {
		return Grant{Tenant: want.Tenant, RetryAfter: unknownRetry}
	}
	known.fill(now)
	granted := known.take(want.Operations, 0)
	spare := known.take(want.Spare, known.reserve)
	grant := Grant{Tenant: want.Tenant, Operations: granted + spare, Life: known.life, Scarce: spare < want.Spare}
	if granted < want.Operations {
		grant.RetryAfter, grant.Scarce = known.retryAfter(), true
	}
	return grant
}

// take takes out as many of the wanted operations as leave the rest given.
func (b *bucket) take(wanted int, rest float64) int {
	taken := max(0, min(wanted, int(math.Floor(b.level-rest))))
	b.level -= float64(taken)
	return taken
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
func (b *Bank) Counts() Counts { return b.counts }
