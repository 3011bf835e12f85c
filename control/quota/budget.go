package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// demandMemory is the time constant with which demand is averaged.
	demandMemory = 2 * time.Second
	// reserveTime is how long the reserve of a gateway should last at its demand: through the loss of a primary and an election.
	reserveTime = 2500 * time.Millisecond
	// maxIdle is how long after its last operation a tenant has a reserve at a gateway.
	maxIdle = 20 * time.Second
	// renewBefore is how long before its end a reserve is asked for again, and renewAlongBefore how long before it if another request is
	// sent anyway.
	renewBefore      = 2 * time.Second
	renewAlongBefore = 2500 * time.Millisecond
	// reservePause is the pause after an answer in which no request is sent for a reserve alone.
	reservePause = 250 * time.Millisecond
	// maxWanted bounds what is asked for at once.
	maxWanted = 1000
)

// TakeResult says whether an operation may begin.
type TakeResult int

const (
	// Taken: it may begin now.
	Taken TakeResult = iota
	// NeedsGrant: the budget is empty; the allocator may have something to grant.
	NeedsGrant
	// Refused: the tenant has used its limit up, by the last answer of the allocator.
	Refused
)

// Budget holds the operations that a gateway may begin. It is not safe for use by several goroutines.
type Budget struct {
	accounts  map[string]*account // of tenants with a limit
	isPending bool                // a request has been sent and not answered yet
	number    uint64              // of the last request
	sentAt    time.Duration       // when the last request was made
	allocator uint64              // the allocator that answered last; 0: none, or it wasn't open yet
}

// account is what the budget holds for one tenant.
type account struct {
	grants       []shortGrant  // by their end
	refusedUntil time.Duration // until when the allocator has nothing to grant
	waiting      int           // operations that wait for a grant
	demand       float64       // operations per second
	countedAt    time.Duration // when an operation came last; negative: none has come

	held      int           // operations in reserve
	heldUntil time.Duration // the end of the reserve
	reserveAt time.Duration // when the reserve may be asked for again
}

// shortGrant is what is left of a grant for operations that waited.
type shortGrant struct {
	operations int
	until      time.Duration
}

// NewBudget makes a budget that knows no tenants: none has a limit.
func NewBudget() *Budget { return &Budget{accounts: map[string]*account{}} }

// SetLimitedTenants replaces the set of tenants that have a limit.
func (b *Budget) SetLimitedTenants(tenants []string) {
	next := make(map[string]*account, len(tenants))
	for _, tenant := range tenants {
		next[tenant] = b.accounts[tenant]
		if next[tenant] == nil {
			next[tenant] = &account{countedAt: -1}
		}
	}
	b.accounts = next
}

// Take takes one operation out for a new attempt, which counts as demand.
func (b *Budget) Take(now time.Duration, tenant string) TakeResult {
	account := b.accounts[tenant]
	if account == nil {
		return Taken
	}
	account.countDemand(now)
	return account.take(now)
}

// RetryTake takes one operation out for an attempt that was told NeedsGrant before.
func (b *Budget) RetryTake(now time.Duration, tenant string) TakeResult {
	account := b.accounts[tenant]
	if account == nil {
		return Taken
	}
	return account.take(now)
}

func (a *account) take(now time.Duration) TakeResult {
	a.dropExpired(now)
	if len(a.grants) > 0 {
		a.grants[0].operations--
		if a.grants[0].operations == 0 {
			a.grants = a.grants[1:]
		}
		return Taken
	}
	if a.held > 0 {
		a.held--
		return Taken
	}
	if now < a.refusedUntil {
		return Refused
	}
	return NeedsGrant
}

func (a *account) dropExpired(now time.Duration) {
	for len(a.grants) > 0 && now >= a.grants[0].until {
		a.grants = a.grants[1:]
	}
	if now >= a.heldUntil {
		a.held = 0
	}
}

// countDemand adds an attempt to the average.
func (a *account) countDemand(now time.Duration) {
	a.demand = a.demandAt(now) + 1/demandMemory.Seconds()
	a.countedAt = now
}

func (a *account) demandAt(now time.Duration) float64 {
	if a.countedAt < 0 {
		return 0
	}
	return a.demand * math.Exp(-(now-a.countedAt).Seconds()/demandMemory.Seconds())
}

// AddWaiter notes that an operation waits for a grant. RemoveWaiter must follow when it no longer does.
func (b *Budget) AddWaiter(tenant string) {
	if account := b.accounts[tenant]; account != nil {
		account.waiting++
	}
}

// RemoveWaiter undoes one AddWaiter.
func (b *Budget) RemoveWaiter(tenant string) {
	if account := b.accounts[tenant]; account != nil {
		account.waiting = max(0, account.waiting-1)
	}
}

// ShouldRequest tells whether there is a reason to ask the allocator for operations of a tenant, and no request pending.
func (b *Budget) ShouldRequest(now time.Duration, tenant string) bool {
	account := b.accounts[tenant]
	return account != nil && !b.isPending && account.isDue(now)
}

// NextRequest gives the request that is due, with its wants sorted by tenant; false: none is due, or one is pending. ApplyAnswer or
// RequestFailed must follow.
func (b *Budget) NextRequest(now time.Duration) (Request, bool) {
	if b.isPending {
		return Request{}, false
	}
	due := false
	request := Request{Bank: b.allocator}
	for tenant, account := range b.accounts {
		if !account.isActive(now) {
			continue
		}
		isDue := account.isDue(now)
		due = due || isDue
		if isDue || account.mayRenew(now, renewAlongBefore) {
			request.Wants = append(request.Wants, account.makeWant(now, tenant))
		}
	}
	if !due {
		return Request{}, false
	}
	slices.SortFunc(request.Wants, func(a, b Want) int { return cmp.Compare(a.Tenant, b.Tenant) })
	b.isPending, b.sentAt = true, now
	b.number++
	request.Number = b.number
	return request, true
}

func (a *account) makeWant(now time.Duration, tenant string) Want {
	a.dropExpired(now)
	return Want{Tenant: tenant, Operations: a.wantedOperations(now), Held: a.held, Reserve: a.wantedReserve(now)}
}

// isDue tells whether there is a reason to ask now: operations wait, or the reserve is low or ends soon.
func (a *account) isDue(now time.Duration) bool {
	if a.wantedOperations(now) > 0 {
		return true
	}
	if now < a.reserveAt {
		return false
	}
	return a.mayRenew(now, renewBefore) || a.mayRenew(now, reserveLife) && a.held <= a.wantedReserve(now)/2
}

// isActive tells whether something may have to be asked for. It is cheap, as most tenants are idle at most gateways.
func (a *account) isActive(now time.Duration) bool {
	return a.waiting > 0 || a.countedAt >= 0 && now-a.countedAt <= maxIdle
}

// mayRenew tells whether the reserve may be asked for again, given that it ends within the time before.
func (a *account) mayRenew(now, before time.Duration) bool {
	return now >= a.reserveAt && a.wantedReserve(now) > 0 && a.heldUntil-now < before
}

// wantedReserve is how many operations the reserve should hold.
func (a *account) wantedReserve(now time.Duration) int {
	if a.countedAt < 0 || now-a.countedAt > maxIdle {
		return 0
	}
	return min(maxWanted, max(1, int(math.Ceil(a.demandAt(now)*reserveTime.Seconds()))))
}

// wantedOperations is how many operations should be asked for, for those that wait.
func (a *account) wantedOperations(now time.Duration) int {
	if now < a.refusedUntil {
		return 0
	}
	a.dropExpired(now)
	available := a.held
	for _, grant := range a.grants {
		available += grant.operations
	}
	return min(maxWanted, max(0, a.waiting-available))
}

// ApplyAnswer takes over the answer to the pending request. Any other answer, such as one that comes twice or after RequestFailed, changes
// nothing.
func (b *Budget) ApplyAnswer(now time.Duration, answer Answer) {
	if !b.isPending || answer.Number != b.number {
		return
	}
	b.isPending = false
	b.allocator = answer.Bank
	for _, grant := range answer.Grants {
		if account := b.accounts[grant.Tenant]; account != nil {
			account.applyGrant(now, b.sentAt, grant)
		}
	}
}

func (a *account) applyGrant(now, sentAt time.Duration, grant Grant) {
	a.dropExpired(now)
	a.held = min(a.held, grant.Keep) + grant.Reserved
	if grant.ReserveLife > 0 {
		a.heldUntil = sentAt + grant.ReserveLife
	}
	a.reserveAt = now + reservePause
	if grant.Operations > 0 {
		a.grants = append(a.grants, shortGrant{operations: grant.Operations, until: sentAt + grant.Life})
		slices.SortStableFunc(a.grants, func(x, y shortGrant) int { return cmp.Compare(x.until, y.until) })
	}
	if grant.RetryAfter > 0 {
		a.refusedUntil = now + grant.RetryAfter
	}
}

// RequestFailed notes that the pending request got no answer: what it may have been granted is lost.
func (b *Budget) RequestFailed() { b.isPending = false }
