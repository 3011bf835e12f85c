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
	// leastRateShare is the least part of a tenant's rate at which its bucket is refilled while gateways hold much in reserve.
	leastRateShare = 0.88
	// reserveSeconds is how many seconds of a tenant's rate gateways may hold in reserve, where the rule leaves room for it.
	reserveSeconds = 2.0
	// capacityShare is the least part of the room beside the rate that a bucket may hold; the rest is for reserves.
	capacityShare = 0.3
	// reserveOnce is what reserves need whatever the rate: an operation for each of the gateways that a tenant's sessions are at.
	reserveOnce = 20.0
	// leastBeside is the least room beside the full rate, in operations, from which it is used, and besideShare the most of it that a
	// bucket may hold.
	leastBeside = 2.0
	besideShare = 0.7
	// mostOperations bounds rates a second and bursts: no system serves as many, and sums of them are still exact.
	mostOperations = 1e9
)

// terms are how a bank keeps one tenant's limit.
type terms struct {
	rate     float64 // operations a second
	capacity float64 // of the bucket
	reserve  int     // operations that all gateways together may hold in reserve
	life     time.Duration

	// fullRate is the tenant's own rate. The bucket is refilled at it once gateways have held no more than modest in reserve for settle:
	// those of a tenant that uses all of its limit hold little.
	fullRate float64
	modest   int
	settle   time.Duration
}

// termsOf gives the terms under which no window holds more than the rule allows. In a window at whose start gateways hold more than modest,
// nothing comes in at the full rate, so that capacity + reserve + rate x window + fullRate x life bounds it; in others
// capacity + modest + fullRate x (window + life) does.
func termsOf(limit Limit, rules Rules) terms {
	limit.RatePerS, limit.Burst = min(limit.RatePerS, mostOperations), min(limit.Burst, mostOperations)
	window := rules.Window.Seconds()
	most := ((limit.RatePerS*window+limit.Burst)*(1+rules.Overrun) + rules.Slack) * (1 - clockShare)
	granting := window + GrantLife.Seconds()
	rate := max((most-limit.RatePerS*reserveSeconds)/granting, limit.RatePerS*leastRateShare)
	rate = min(rate, limit.RatePerS, most*leastRateShare/granting)
	beside := most - limit.RatePerS*granting // the full rate
	if beside < leastBeside {
		room := most - rate*granting
		capacity := capacityOf(room, limit.RatePerS)
		return terms{rate: rate, capacity: capacity, reserve: int(room - capacity), life: GrantLife, fullRate: rate}
	}
	room := most - rate*window - limit.RatePerS*GrantLife.Seconds()
	capacity := min(capacityOf(room, limit.RatePerS), max(1, beside*besideShare))
	return terms{
		rate: rate, capacity: capacity, reserve: int(room - capacity), life: GrantLife,
		fullRate: limit.RatePerS, modest: int(beside - capacity), settle: rules.Window + GrantLife,
	}
}

// capacityOf is the capacity of a bucket where there is so much room beside its rate: what reserves can't use, so that a large burst is there
// for a tenant that has been at rest.
func capacityOf(room, ratePerS float64) float64 {
	needed := ratePerS*reserveSeconds + reserveOnce
	return max(room*capacityShare, room-needed, min(room, 1))
}
