package quota

import "time"

// Rules are the figures of the operators' rule: in any window of this length a tenant's operations are at most
// (rate x window + burst) x (1 + Overrun) + Slack.
type Rules struct {
	Window  time.Duration
	Overrun float64
	Slack   float64 // operations
}

// Limit is what a tenant may have, over all gateways.
type Limit struct {
	Tenant   string
	RatePerS float64
	Burst    float64
}

const (
	// GrantLife is how long an operation that waited may take to begin once it was granted, counted from the asking: a few round trips
	// between gateway and controller.
	GrantLife = 300 * time.Millisecond
	// clockShare is the part of the operations in a window that is left unused, since steady clocks may differ a little.
	clockShare = 0.01
	// leastRateShare is the least part of a tenant's rate at which its bucket is refilled, where reserves take the rest: a tenant that
	// stays at its limit gets less by so much, one below it rides out the loss of the primary.
	leastRateShare = 0.85
	// reserveSeconds is how many seconds of a tenant's rate gateways may hold in reserve, where the rule leaves room for it.
	reserveSeconds = 2.2
	// capacityShare is the part of the room beside the rate that a bucket may hold; the rest is for reserves.
	capacityShare = 0.3
	// mostOperations bounds rates a second and bursts: no system serves as many, and sums of them are still exact.
	mostOperations = 1e9
)

// terms are how a bank keeps one tenant's limit.
type terms struct {
	rate     float64 // operations a second
	capacity float64 // of the bucket
	reserve  int     // operations that all gateways together may hold in reserve
	life     time.Duration
}

// termsOf gives the terms under which no window holds more than the rule allows: capacity + reserve + rate x (window + life) is at most
// that.
func termsOf(limit Limit, rules Rules) terms {
	limit.RatePerS, limit.Burst = min(limit.RatePerS, mostOperations), min(limit.Burst, mostOperations)
	window := rules.Window.Seconds()
	most := ((limit.RatePerS*window+limit.Burst)*(1+rules.Overrun) + rules.Slack) * (1 - clockShare)
	granting := window + GrantLife.Seconds()
	rate := max((most-limit.RatePerS*reserveSeconds)/granting, limit.RatePerS*leastRateShare)
	rate = min(rate, limit.RatePerS, most*leastRateShare/granting)
	room := most - rate*granting
	capacity := max(room*capacityShare, min(room, 1))
	return terms{rate: rate, capacity: capacity, reserve: int(room - capacity), life: GrantLife}
}
