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
	// stockFrom is the demand, in operations a second, from which a gateway keeps operations in stock: below it, most of a stock would
	// be lost unused at the end of its life.
	stockFrom = 10.0
	// stockLow and stockFull are the stocks, in parts of the life of a grant, at which the gateway asks for more, and for how much.
	stockLow  = 0.3
	stockFull = 0.6
	// spareFrom is the demand, in operations within the life of a grant, from which a question for one that waits also asks for stock: below it
	// most of that would end unused.
	spareFrom = 0.6
	// scarceTime is for how long nothing is kept in stock once the bank had too little: what one gateway lets end unused, another would have used.
	scarceTime = time.Second
	// mostWanted bounds what is asked for at once.
	mostWanted = 1000
)

// Verdict says whether an operation may begin.
type Verdict int

const (
	// Taken: it may begin now.
	Taken Verdict = iota
	// Short: there is nothing in the purse; the bank may have something.
	Short
	// Refused: the tenant has used its limit up, as far as was heard a moment ago.
	Refused
)

// Purse holds the operations that a gateway may begin. It is not safe for use by several goroutines.
type Purse struct {
	accounts map[string]*account // of tenants with a limit
	due      map[string]struct{} // tenants of which something may have to be asked for
	asking   bool                // a request is under way
	number   uint64              // of the last request
	askedAt  time.Duration       // when it was made
}

// account is what the purse holds of one tenant.
type account struct {
	lots      []lot // by their end
	life      time.Duration
	refusedTo time.Duration // until when nothing is to be had
	scarceTo  time.Duration // until when nothing is kept in stock
	waiting   int           // operations that wait for a grant
	demand    float64       // operations a second
	countedAt time.Duration
}

// lot is what is left of a grant.
type lot struct {
	operations int
	until      time.Duration
}

// NewPurse makes a purse that knows no tenants: none has a limit.
func NewPurse() *Purse {
	return &Purse{accounts: map[string]*account{}, due: map[string]struct{}{}}
}

// SetLimited replaces the set of tenants that have a limit.
func (p *Purse) SetLimited(tenants []string) {
	next := make(map[string]*account, len(tenants))
	for _, tenant := range tenants {
		next[tenant] = p.accounts[tenant]
		if next[tenant] == nil {
			next[tenant] = &account{life: longestLife}
		}
	}
	p.accounts = next
}

// Take takes one operation out for a new attempt.
func (p *Purse) Take(now time.Duration, tenant string) Verdict {
	known := p.accounts[tenant]
	if known == nil {
		return Taken
	}
	known.count(now)
	return known.take(now)
}

// TakeAgain takes one operation out for an attempt that was told Short before.
func (p *Purse) TakeAgain(now time.Duration, tenant string) Verdict {
	known := p.accounts[tenant]
	if known == nil {
		return Taken
	}
	return known.take(now)
}

func (a *account) take(now time.Duration) Verdict {
	a.dropEnded(now)
	if len(a.lots) > 0 {
		a.lots[0].operations--
		if a.lots[0].operations == 0 {
			a.lots = a.lots[1:]
		}
		return Taken
	}
	if now < a.refusedTo {
		return Refused
	}
	return Short
}

func (a *account) dropEnded(now time.Duration) {
	for len(a.lots) > 0 && now >= a.lots[0].until {
		a.lots = a.lots[1:]
	}
}

// count takes an attempt into the average.
func (a *account) count(now time.Duration) {
	a.demand = a.demandAt(now) + 1/demandMemory.Seconds()
	a.countedAt = now
}

func (a *account) demandAt(now time.Duration) float64 {
	return a.demand * math.Exp(-(now-a.countedAt).Seconds()/demandMemory.Seconds())
}

// Wait notes that an operation waits for a grant, and Waited that it does no more.
func (p *Purse) Wait(tenant string) {
	if known := p.accounts[tenant]; known != nil {
		known.waiting++
		p.due[tenant] = struct{}{}
	}
}

// Waited ends a Wait.
func (p *Purse) Waited(tenant string) {
	if known := p.accounts[tenant]; known != nil {
		known.waiting = max(0, known.waiting-1)
	}
}

// Hungry tells whether there is a reason to ask the bank for operations of a tenant, and no request under way. Where one is, the next one
// asks for this tenant too.
func (p *Purse) Hungry(now time.Duration, tenant string) bool {
	known := p.accounts[tenant]
	if known == nil || !known.wants(now) {
		return false
	}
	p.due[tenant] = struct{}{}
	return !p.asking
}

// Next gives the request that is due, sorted by tenant; false: none is, or one is under way. It must be followed by Granted or Failed.
func (p *Purse) Next(now time.Duration) (Request, bool) {
	if p.asking {
		return Request{}, false
	}
	var request Request
	for tenant := range p.due {
		known := p.accounts[tenant]
		if known != nil && known.wants(now) {
			request.Wants = append(request.Wants, known.want(now, tenant))
		}
		if known == nil || known.waiting == 0 {
			delete(p.due, tenant)
		}
	}
	if len(request.Wants) == 0 {
		return Request{}, false
	}
	slices.SortFunc(request.Wants, func(a, b Want) int { return cmp.Compare(a.Tenant, b.Tenant) })
	p.asking, p.askedAt = true, now
	p.number++
	request.Number = p.number
	return request, true
}

// wants tells whether something should be asked for.
func (a *account) wants(now time.Duration) bool {
	want := a.want(now, "")
	return want.Operations > 0 || want.Spare > 0
}

// want is what should be asked for.
func (a *account) want(now time.Duration, tenant string) Want {
	want := Want{Tenant: tenant}
	if now < a.refusedTo {
		return want
	}
	a.dropEnded(now)
	stock := 0
	for _, kept := range a.lots {
		stock += kept.operations
	}
	want.Operations = min(mostWanted, max(0, a.waiting-stock))
	demand := a.demandAt(now)
	life := a.life.Seconds()
	asks := want.Operations > 0 && demand*life >= spareFrom || demand >= stockFrom && float64(stock) < demand*life*stockLow
	if asks && now >= a.scarceTo {
		want.Spare = max(0, min(mostWanted, int(math.Ceil(demand*life*stockFull)))-stock)
	}
	return want
}

// Granted books the answer to the request that is under way. Any other one, such as one that comes twice or after Failed, changes nothing.
func (p *Purse) Granted(now time.Duration, answer Answer) {
	if !p.asking || answer.Number != p.number {
		return
	}
	p.asking = false
	for _, grant := range answer.Grants {
		if known := p.accounts[grant.Tenant]; known != nil {
			known.book(now, p.askedAt, grant)
		}
	}
}

func (a *account) book(now, askedAt time.Duration, grant Grant) {
	if grant.Life > 0 {
		a.life = grant.Life
	}
	if grant.Operations > 0 {
		a.lots = append(a.lots, lot{operations: grant.Operations, until: askedAt + grant.Life})
		slices.SortStableFunc(a.lots, func(x, y lot) int { return cmp.Compare(x.until, y.until) })
	}
	if grant.Scarce {
		a.scarceTo = now + scarceTime
	}
	if grant.RetryAfter > 0 {
		a.refusedTo = now + grant.RetryAfter
	}
}

// Failed notes that the request got no answer: what it may have been granted is lost.
func (p *Purse) Failed() { p.asking = false }
