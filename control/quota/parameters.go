package quota

import "time"

// Rules are the parameters of the operators' rule: in any window of this length a tenant's operations are at most
// (rate x window + burst) x (1 + Overrun) + Slack.
type Rules struct {
	Window  time.Duration
	Overrun float64
	Slack   float64 // operations
}

// Limit is what a tenant may use, over all gateways.
type Limit struct {
	Tenant   string
	RatePerS float64
	Burst    float64
}

const (
	// GrantLife is how long an operation that waited may take to begin once it was granted, counted from the request: a few round trips
	// between gateway and controller.
	GrantLife = 300 * time.Millisecond
	// clockMargin is the share of the operations in a window that is left unused, since monotonic clocks may run at slightly different
	// rates.
	clockMargin = 0.01
	// minRateShare is the least share of a tenant's rate at which its bucket is refilled while gateways hold much in reserve.
	minRateShare = 0.88
	// reserveSeconds is how many seconds of a tenant's rate gateways may hold in reserve, where the rule leaves room for it.
	reserveSeconds = 2.0
	// minCapacityShare is the least share of the room beside the rate that a bucket may hold; the rest is for reserves.
	minCapacityShare = 0.3
	// baseReserve is what reserves need whatever the rate: an operation for each of the gateways at which a tenant has sessions.
	baseReserve = 20.0
	// minSurplus is the least room beside the full rate, in operations, from which the full rate is used, and maxSurplusShare the largest
	// share of that room that a bucket may hold.
	minSurplus      = 2.0
	maxSurplusShare = 0.7
	// maxOperations bounds rates per second and bursts: no system serves as many, and sums of them are still exact.
	maxOperations = 1e9
)

// parameters are how an allocator keeps one tenant's limit.
type parameters struct {
	rate       float64 // operations per second
	capacity   float64 // of the bucket
	maxReserve int     // operations that all gateways together may hold in reserve
	grantLife  time.Duration

	// fullRate is the tenant's own rate. The bucket is refilled at it once gateways have held no more than modestReserve in reserve for
	// settleTime: gateways hold little in reserve for a tenant that uses all of its limit.
	fullRate      float64
	modestReserve int
	settleTime    time.Duration
}

// parametersFor gives the parameters under which no window holds more than the rule allows. In a window at whose start gateways hold more
// than modestReserve, the bucket receives nothing at the full rate, so that capacity + maxReserve + rate x window + fullRate x grantLife
// bounds it; in others capacity + modestReserve + fullRate x (window + grantLife) does.
func parametersFor(limit Limit, rules Rules) parameters {
	limit.RatePerS, limit.Burst = min(limit.RatePerS, maxOperations), min(limit.Burst, maxOperations)
	window := rules.Window.Seconds()
	allowed := ((limit.RatePerS*window+limit.Burst)*(1+rules.Overrun) + rules.Slack) * (1 - clockMargin)
	granting := window + GrantLife.Seconds()
	rate := max((allowed-limit.RatePerS*reserveSeconds)/granting, limit.RatePerS*minRateShare)
	rate = min(rate, limit.RatePerS, allowed*minRateShare/granting)
	surplus := allowed - limit.RatePerS*granting // the room beside the full rate
	if surplus < minSurplus {
		room := allowed - rate*granting
		capacity := bucketCapacity(room, limit.RatePerS)
		return parameters{rate: rate, capacity: capacity, maxReserve: int(room - capacity), grantLife: GrantLife, fullRate: rate}
	}
	room := allowed - rate*window - limit.RatePerS*GrantLife.Seconds()
	capacity := min(bucketCapacity(room, limit.RatePerS), max(1, surplus*maxSurplusShare))
	return parameters{
		rate: rate, capacity: capacity, maxReserve: int(room - capacity), grantLife: GrantLife,
		fullRate: limit.RatePerS, modestReserve: int(surplus - capacity), settleTime: rules.Window + GrantLife,
	}
}

// bucketCapacity gives the capacity of a bucket that has this much room beside its rate. The bucket gets the room that reserves can't use,
// so that a tenant that has been idle can make a large burst.
func bucketCapacity(room, ratePerS float64) float64 {
	needed := ratePerS*reserveSeconds + baseReserve
	return max(room*minCapacityShare, room-needed, min(room, 1))
}
