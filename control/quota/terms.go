package quota

import (
	"math"
	"time"
)

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
	// longestLife of a grant: long enough to use a grant for several operations, short enough for what isn't used to cost little.
	longestLife = time.Second
	// shortestLife of a grant: a few round trips between gateway and controller.
	shortestLife = 200 * time.Millisecond
	// lifeShare is the part of the room beyond the rate and the burst that the life of grants may take.
	lifeShare = 0.5
	// clockShare is the part of the operations at the rate that is left unused, since steady clocks may differ a little.
	clockShare = 0.01
	// leastCapacityS is the least capacity of a bucket in seconds of its rate, so that gateways may get several operations at once.
	leastCapacityS = 0.1
	// reserveShare is the part of the capacity beyond the tenant's burst that is left for operations that wait.
	reserveShare = 0.7
	// mostOperations bounds rates a second and bursts: no system serves as many, and sums of them are still exact.
	mostOperations = 1e9
)

// terms are how a bank keeps one tenant's limit.
type terms struct {
	rate     float64 // operations a second
	capacity float64
	life     time.Duration
	reserve  float64 // of the capacity: what isn't granted to be kept in stock
}

// termsOf gives the terms under which no window holds more than the rule allows: capacity + rate x (window + life) is at most that.
func termsOf(limit Limit, rules Rules) terms {
	limit.RatePerS, limit.Burst = min(limit.RatePerS, mostOperations), min(limit.Burst, mostOperations)
	window := rules.Window.Seconds()
	most := (limit.RatePerS*window+limit.Burst)*(1+rules.Overrun) + rules.Slack
	most -= limit.RatePerS * window * clockShare
	life := longestLife.Seconds()
	room := most - limit.RatePerS*window
	if limit.RatePerS > 0 {
		life = min(life, max(shortestLife.Seconds(), (room-limit.Burst)*lifeShare/limit.RatePerS))
	}
	least := min(most, 1+limit.RatePerS*leastCapacityS)
	capacity := max(least, room-limit.RatePerS*life)
	rate := min(limit.RatePerS, max(0, most-capacity)/(window+life))
	burst := min(limit.Burst, capacity)
	return terms{
		rate:     rate,
		capacity: capacity,
		life:     time.Duration(math.Floor(life * float64(time.Second))),
		reserve:  burst + (capacity-burst)*reserveShare,
	}
}
