package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// demandMemory is the time over which demand is averaged.
	demandMemory = 2 * time.Second
	// reserveTime is how long the reserve of a gateway should last at its demand: through the loss of a primary and an election.
	reserveTime = 2500 * time.Millisecond
	// reserveRest is how long after its last operation a tenant has a reserve at a gateway.
	reserveRest = 20 * time.Second
	// renewBefore is how long before its end a reserve is asked for again, and renewWith how long before it that is done with another
	// request.
	renewBefore = 2 * time.Second
	renewWith   = 2500 * time.Millisecond
	// reservePause is the pause after an answer in which nothing is asked for the sake of a reserve alone.
	reservePause = 250 * time.Millisecond
	// mostWanted bounds what is asked for at once.
	mostWanted = 1000
)

// TakeResult says whether an operation may begin.
type TakeResult int

const (
	// Taken: it may begin now.
	Taken TakeResult = iota
	// NeedsGrant: there is nothing in the purse; the bank may have something.
	NeedsGrant
	// Refused: the tenant has used its limit up, as far as was heard a moment ago.
	Refused
)

// Budget holds the operations that a gateway may begin. It is not safe for use by several goroutines.
type Budget struct {
	accounts map[string]*account // of tenants with a limit
	asking   bool                // a request is under way
	number   uint64              // of the last request
	askedAt  time.Duration       // when it was made
	bank     uint64              // that answered last
}

// account is what the purse holds of one tenant.
type account struct {
	lots      []lot         // by their end
	refusedTo time.Duration // until when nothing is to be had
	waiting   int           // operations that wait for a grant
	demand    float64       // operations a second
	countedAt time.Duration // when an operation came last; negative: none has come

	held      int           // in reserve
	heldUntil time.Duration // the end of the reserve
	reserveAt time.Duration // when it may be asked for again
}

// lot is what is left of a grant.
type lot struct {
	operations int
	until      time.Duration
}

// NewBudget makes a budget that knows no tenants: none has a limit.
func NewBudget() *Budget { return &Budget{accounts: map[string]*account{}} }

// SetLimitedTenants replaces the set of tenants that have a limit.
func (p *Budget) SetLimitedTenants(tenants []string) {
	next := make(map[string]*account, len(tenants))
	for _, tenant := range tenants {
		next[tenant] = p.accounts[tenant]
		if next[tenant] == nil {
			next[tenant] = &account{countedAt: -1}
		}
	}
	p.accounts = next
}

// Take takes one operation out for a new attempt.
func (p *Budget) Take(now time.Duration, tenant string) TakeResult {
	known := p.accounts[tenant]
	if known == nil {
		return Taken
	}
	known.count(now)
	return known.take(now)
}

// RetryTake takes one operation out for an attempt that was told NeedsGrant before.
func (p *Budget) RetryTake(now time.Duration, tenant string) TakeResult {
	known := p.accounts[tenant]
	if known == nil {
		return Taken
	}
	return known.take(now)
}

func (a *account) take(now time.Duration) TakeResult {
	a.dropEnded(now)
	if len(a.lots) > 0 {
		a.lots[0].operations--
		if a.lots[0].operations == 0 {
			a.lots = a.lots[1:]
		}
		return Taken
	}
	if a.held > 0 {
		a.held--
		return Taken
	}
	if now < a.refusedTo {
		return Refused
	}
	return NeedsGrant
}

func (a *account) dropEnded(now time.Duration) {
	for len(a.lots) > 0 && now >= a.lots[0].until {
		a.lots = a.lots[1:]
	}
	if now >= a.heldUntil {
		a.held = 0
	}
}

// count takes an attempt into the average.
func (a *account) count(now time.Duration) {
	a.demand = a.demandAt(now) + 1/demandMemory.Seconds()
	a.countedAt = now
}

func (a *account) demandAt(now time.Duration) float64 {
	if a.countedAt < 0 {
		return 0
	}
	return a.demand * math.Exp(-(now-a.countedAt).Seconds()/demandMemory.Seconds())
}

// AddWaiter notes that an operation waits for a grant, and RemoveWaiter that it no longer does.
func (p *Budget) AddWaiter(tenant string) {
	if known := p.accounts[tenant]; known != nil {
		known.waiting++
	}
}

// RemoveWaiter undoes one AddWaiter.
func (p *Budget) RemoveWaiter(tenant string) {
	if known := p.accounts[tenant]; known != nil {
		known.waiting = max(0, known.waiting-1)
	}
}

// ShouldRequest tells whether there is a reason to ask the bank for operations of a tenant, and no request under way.
func (p *Budget) ShouldRequest(now time.Duration, tenant string) bool {
	known := p.accounts[tenant]
	return known != nil && !p.asking && known.isDue(now)
}

// NextRequest gives the request that is due, sorted by tenant; false: none is, or one is under way. It must be followed by ApplyAnswer or
// RequestFailed.
func (p *Budget) NextRequest(now time.Duration) (Request, bool) {
	if p.asking {
		return Request{}, false
	}
	due := false
	request := Request{Bank: p.bank}
	for tenant, known := range p.accounts {
		if !known.isActive(now) {
			continue
		}
		isDue := known.isDue(now)
		due = due || isDue
		if isDue || known.mayRenew(now, renewWith) {
			request.Wants = append(request.Wants, known.want(now, tenant))
		}
	}
	if !due {
		return Request{}, false
	}
	slices.SortFunc(request.Wants, func(a, b Want) int { return cmp.Compare(a.Tenant, b.Tenant) })
	p.asking, p.askedAt = true, now
	p.number++
	request.Number = p.number
	return request, true
}

func (a *account) want(now time.Duration, tenant string) Want {
	a.dropEnded(now)
	return Want{Tenant: tenant, Operations: a.wanted(now), Held: a.held, Reserve: a.reserveWanted(now)}
}

// isDue tells whether there is a reason to ask now: operations wait, or the reserve is low or ends soon.
func (a *account) isDue(now time.Duration) bool {
	if a.wanted(now) > 0 {
		return true
	}
	if now < a.reserveAt {
		return false
	}
	return a.mayRenew(now, renewBefore) || a.mayRenew(now, reserveLife) && a.held <= a.reserveWanted(now)/2
}

// isActive tells whether something may have to be asked for. It is cheap, as most tenants are at rest at most gateways.
func (a *account) isActive(now time.Duration) bool {
	return a.waiting > 0 || a.countedAt >= 0 && now-a.countedAt <= reserveRest
}

// mayRenew tells whether the reserve may be asked for again, if its end is as near as given.
func (a *account) mayRenew(now, before time.Duration) bool {
	return now >= a.reserveAt && a.reserveWanted(now) > 0 && a.heldUntil-now < before
}

// reserveWanted is how many operations the reserve should hold.
func (a *account) reserveWanted(now time.Duration) int {
	if a.countedAt < 0 || now-a.countedAt > reserveRest {
		return 0
	}
	return min(mostWanted, max(1, int(math.Ceil(a.demandAt(now)*reserveTime.Seconds()))))
}

// wanted is how many operations should be asked for, for those that wait.
func (a *account) wanted(now time.Duration) int {
	if now < a.refusedTo {
		return 0
	}
	a.dropEnded(now)
	ready := a.held
	for _, kept := range a.lots {
		ready += kept.operations
	}
	return min(mostWanted, max(0, a.waiting-ready))
}

// ApplyAnswer books the answer to the request that is under way. Any other one, such as one that comes twice or after RequestFailed, changes
// nothing.
func (p *Budget) ApplyAnswer(now time.Duration, answer Answer) {
	if !p.asking || answer.Number != p.number {
		return
	}
	p.asking = false
	p.bank = answer.Bank
	for _, grant := range answer.Grants {
		if known := p.accounts[grant.Tenant]; known != nil {
			known.book(now, p.askedAt, grant)
		}
	}
}

func (a *account) book(now, askedAt time.Duration, grant Grant) {
	a.dropEnded(now)
	a.held = min(a.held, grant.Keep) + grant.Reserved
	if grant.ReserveLife > 0 {
		a.heldUntil = askedAt + grant.ReserveLife
	}
	a.reserveAt = now + reservePause
	if grant.Operations > 0 {
		a.lots = append(a.lots, lot{operations: grant.Operations, until: askedAt + grant.Life})
		slices.SortStableFunc(a.lots, func(x, y lot) int { return cmp.Compare(x.until, y.until) })
	}
	if grant.RetryAfter > 0 {
		a.refusedTo = now + grant.RetryAfter
	}
}

// RequestFailed notes that the request got no answer: what it may have been granted is lost.
func (p *Budget) RequestFailed() { p.asking = false }
