package quota

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// The reserve search plays all histories of a small world as search does, for reserves: two gateways, one tenant whose bucket is always full
// and two terms of primaries. Gateways ask for a reserve at any moment. Steady clocks are alike: the bank's margin for them is left out.

const (
	reserveTicks = 2 // a reserve's life
	reserveUnit  = reserveLife / reserveTicks
	fullBucket   = 100
)

// happens is what may happen once in a history, beside what messages do, and how long the history is.
type happens struct {
	takeOver               int // the tick in which another primary follows; 0: none does
	fresh                  int // ticks for which the deposed one may grant
	restart, forget, lower bool
	doubled                bool // requests may come again
	split                  bool // the second gateway reaches the first primary only
	end                    int  // ticks
}

const (
	unheardForgotten without = "what earlier banks lent"
	adoptsAtOnce     without = "adoption only with the second request"
	numberless       without = "the number of requests"
	reserveLate      without = "counting the end of a reserve from the asking"
	addedUncounted   without = "the count of what was added"
	saidUncounted    without = "the count of what was said to be held"
	othersUncounted  without = "the room of all others"
	renewsWhatIsOver without = "the end of a reserve that is renewed"
	keepsAll         without = "the room of what is kept"
	reserveOpens     without = "the opening time of a later bank"
	reserveDeposed   without = "the fresh confirmation of a primary"
	comesBackFree    without = "what was lent before a tenant came back"
	comesBackHeard   without = "no adoption for a tenant that came back"
	raisedUncounted  without = "what was lent by a higher limit"
	reserveTwice     without = "one booking of an answer"
)

// reserveGuards tells what has to happen for a guard to be missed.
var reserveGuards = map[without]happens{
	unheardForgotten: {takeOver: 1, fresh: 1, end: 3},
	adoptsAtOnce:     {takeOver: 1, fresh: 2, split: true, end: 3},
	numberless:       {doubled: true, end: 4},
	reserveLate:      {end: 4},
	addedUncounted:   {end: 4},
	saidUncounted:    {lower: true, end: 2},
	othersUncounted:  {end: 4},
	renewsWhatIsOver: {end: 4},
	keepsAll:         {lower: true, end: 2},
	reserveOpens:     {takeOver: 1, fresh: 2, split: true, end: 2},
	reserveDeposed:   {takeOver: 1, fresh: 0, split: true, end: 2},
	comesBackFree:    {forget: true, end: 2},
	comesBackHeard:   {forget: true, end: 2},
	raisedUncounted:  {takeOver: 1, fresh: 1, lower: true, split: true, end: 2},
	reserveTwice:     {end: 4},
}

// reserveGateway is a gateway's process, and its messages.
type reserveGateway struct {
	name     string
	purse    Budget
	account  account
	requests []Request // on their way
	answer   *Answer   // to the last one, on its way
}

// reserveMoment is one moment of a history.
type reserveMoment struct {
	tick     int
	gateways [2]reserveGateway
	banks    []*Allocator // by term
	reserve  int          // that the limit allows
	deposed  int          // the tick in which the second term began; 0: it hasn't
	most     int          // before it was lowered
	lowered  int          // the tick in which it was lowered
	excess   int          // the most, over all windows that end now, by which more was begun than was lent in the window; counted if nothing else happens
	left     happens
	lacks    without
}

func (m *reserveMoment) now() time.Duration { return time.Duration(m.tick) * reserveUnit }

func (m *reserveMoment) terms() terms {
	return terms{capacity: fullBucket, reserve: m.reserve, life: GrantLife}
}

func (m *reserveMoment) newBank(id uint64, opensAt time.Duration) *Allocator {
	bank := NewAllocator(id, opensAt, Rules{})
	bank.pruneAt = time.Hour
	bank.buckets["t"] = &bucket{terms: m.terms(), reserves: newReserves(opensAt, m.reserve, true)}
	bank.buckets["t"].reserves.unheardUntil -= reserveMargin
	return bank
}

func newReserveMoment(most int, left happens, lacks without) *reserveMoment {
	m := &reserveMoment{most: most, reserve: most, left: left, lacks: lacks}
	m.banks = []*Allocator{m.newBank(1, 0)}
	m.banks[0].buckets["t"].reserves.unheard = 0 // as after a long rest
	for index := range m.gateways {
		m.gateways[index] = reserveGateway{name: string(rune('a' + index)), purse: Budget{bank: 1}}
	}
	return m
}

// own gives a bank that may be changed, which moments share otherwise.
func (m *reserveMoment) own(term int) *Allocator {
	m.banks = slices.Clone(m.banks)
	m.banks[term] = copiedBank(m.banks[term])
	return m.banks[term]
}

func copiedBank(bank *Allocator) *Allocator {
	own, kept, lent := *bank, *bank.buckets["t"], *bank.buckets["t"].reserves
	lent.byGateway = maps.Clone(lent.byGateway)
	kept.reserves = &lent
	own.buckets = map[string]*bucket{"t": &kept}
	own.lastRequests = maps.Clone(own.lastRequests)
	return &own
}

// held is what all gateways may begin now.
func (m *reserveMoment) held() int {
	sum := 0
	for index := range m.gateways {
		gateway := &m.gateways[index]
		if m.now() < gateway.account.heldUntil {
			sum += gateway.account.held
		}
	}
	return sum
}

// isBroken tells whether in a window that ends now more may be begun than may be held at its start and is lent in it.
func (m *reserveMoment) isBroken() bool {
	isLow := m.reserve < m.most && m.tick >= m.lowered+reserveTicks
	if isLow && m.held() > m.reserve {
		return true
	}
	return m.excess+m.held() > m.most
}

func (m *reserveMoment) count(begun, lent int) {
	if m.left.takeOver == 0 && !m.left.forget && !m.left.lower {
		m.excess = max(0, m.excess+begun-lent)
	}
}

// following gives the moments that one thing more leads to.
func (m *reserveMoment) following() []*reserveMoment {
	var all []*reserveMoment
	next := &reserveMoment{}
	try := func(change func(next *reserveMoment) bool) {
		if *next = *m; change(next) {
			all = append(all, next)
			next = &reserveMoment{}
		}
	}
	try((*reserveMoment).pass)
	try((*reserveMoment).takeOver)
	try((*reserveMoment).forgetTenant)
	try((*reserveMoment).changeLimit)
	for gateway := range m.gateways {
		try(func(next *reserveMoment) bool { return next.restart(gateway) })
		try(func(next *reserveMoment) bool { return next.take(gateway) })
		try(func(next *reserveMoment) bool { return next.ask(gateway) })
		try(func(next *reserveMoment) bool { return next.book(gateway) })
		for index := range m.gateways[gateway].requests {
			for term := range m.banks {
				if m.grants(term) && m.reaches(gateway, term) && m.isNew(gateway, index, term) {
					try(func(next *reserveMoment) bool { return next.decide(gateway, index, term) })
				}
			}
		}
	}
	return all
}

func (m *reserveMoment) pass() bool {
	m.tick++
	for index := range m.gateways {
		if m.lacks != renewsWhatIsOver {
			m.gateways[index].account.dropEnded(m.now())
		}
	}
	return m.tick <= m.left.end
}

func (m *reserveMoment) takeOver() bool {
	if m.deposed > 0 || m.tick == 0 || m.tick != m.left.takeOver {
		return false
	}
	m.deposed = m.tick
	if m.left.lower {
		m.reserve, m.lowered = m.most-1, m.tick // a moment before
	}
	opensAt := m.now() + time.Duration(m.left.fresh)*reserveUnit
	if m.lacks == reserveOpens {
		opensAt = m.now()
	}
	second := m.newBank(2, opensAt)
	if m.lacks == unheardForgotten {
		second.buckets["t"].reserves.unheard = 0
	}
	m.banks = append(slices.Clone(m.banks), second)
	return true
}

// forgetTenant takes the tenant out of the configuration and brings it back.
func (m *reserveMoment) forgetTenant() bool {
	if !m.left.forget {
		return false
	}
	m.left.forget = false
	bank := m.own(len(m.banks) - 1)
	bank.SetLimits(m.now(), nil)
	bank.SetLimits(m.now(), []Limit{{Tenant: "t"}})
	back := bank.buckets["t"]
	back.terms = m.terms()
	back.reserves.unheard = m.reserve
	back.reserves.unheardUntil -= reserveMargin
	if m.lacks == comesBackFree {
		back.reserves.unheard = 0
	}
	back.reserves.hears = back.reserves.hears || m.lacks == comesBackHeard
	return true
}

// changeLimit lowers the limit, and raises it again; where another primary follows, it is lowered with the change.
func (m *reserveMoment) changeLimit() bool {
	if !m.left.lower || m.left.takeOver > 0 && m.deposed == 0 {
		return false
	}
	before := m.reserve
	m.reserve, m.lowered = m.most-1, m.tick
	if before < m.most {
		m.reserve, m.lowered, m.left.lower = m.most, 0, false
	}
	bank := m.own(len(m.banks) - 1)
	if m.lacks != raisedUncounted {
		bank.buckets["t"].reserves.raise(m.reserve - before)
	}
	bank.buckets["t"].terms = m.terms()
	return true
}

// restart loses what a gateway holds. The bank goes on counting it.
func (m *reserveMoment) restart(gateway int) bool {
	if !m.left.restart || m.gateways[gateway].account.held == 0 {
		return false
	}
	m.left.restart = false
	m.gateways[gateway] = reserveGateway{name: m.gateways[gateway].name + "'"}
	return true
}

func (m *reserveMoment) take(gateway int) bool {
	if m.gateways[gateway].account.take(m.now()) != Taken {
		return false
	}
	m.count(1, 0)
	return true
}

// ask sends a request, and gives up one that is under way. At most one that was given up is still on its way.
func (m *reserveMoment) ask(gateway int) bool {
	one := &m.gateways[gateway]
	one.purse.asking, one.purse.askedAt = true, m.now()
	one.purse.number++
	one.answer = nil
	one.requests = append(slices.Clone(one.requests), Request{
		Gateway: one.name, Number: one.purse.number, Bank: one.purse.bank, Wants: []Want{{Tenant: "t", Held: one.account.held, Reserve: m.reserve}},
	})
	kept := 2
	if len(m.gateways[1-gateway].requests) == kept {
		kept = 1
	}
	one.requests = one.requests[max(0, len(one.requests)-kept):]
	return true
}

// grants tells whether the primary of a term may still answer.
func (m *reserveMoment) grants(term int) bool {
	isDeposed := m.deposed > 0 && term == 0
	return !isDeposed || m.tick < m.deposed+m.left.fresh || m.lacks == reserveDeposed
}

func (m *reserveMoment) reaches(gateway, term int) bool {
	return !m.left.split || gateway == 0 || term == 0
}

// isNew tells whether a bank answers a request.
func (m *reserveMoment) isNew(gateway, index, term int) bool {
	one := &m.gateways[gateway]
	return one.requests[index].Number > m.banks[term].lastRequests[one.name].number || m.lacks == numberless
}

// decide has a primary answer a request.
func (m *reserveMoment) decide(gateway, index, term int) bool {
	one, bank := &m.gateways[gateway], m.own(term)
	kept := bank.buckets["t"]
	request := one.requests[index]
	if m.lacks == adoptsAtOnce && m.now() >= bank.opensAt {
		request.Bank = bank.id
	}
	if m.lacks == numberless {
		clear(bank.lastRequests)
	}
	if m.lacks == othersUncounted {
		maps.DeleteFunc(kept.reserves.byGateway, func(name string, _ reserve) bool { return name != one.name })
	}
	kept.level = fullBucket
	answer := bank.Answer(m.now(), request)
	if len(answer.Grants) == 0 {
		return false
	}
	kept.level, bank.counts = fullBucket, Counts{}
	grant, held := &answer.Grants[0], request.Wants[0].Held
	m.count(0, grant.Reserved)
	if m.lacks == keepsAll || m.lacks == renewsWhatIsOver {
		grant.Keep = held
	}
	if grant.ReserveLife > 0 {
		m.countReserve(kept.reserves, one.name, held, grant)
	}
	if one.purse.asking && one.purse.number == request.Number {
		one.answer = &answer
	}
	if !m.left.doubled {
		one.requests = slices.Delete(slices.Clone(one.requests), index, index+1)
	}
	return true
}

// countReserve has the bank count without its margin for clocks, and without a guard.
func (m *reserveMoment) countReserve(lent *reserves, name string, held int, grant *Grant) {
	counted := lent.byGateway[name]
	counted.until -= reserveMargin
	switch m.lacks {
	case addedUncounted:
		counted.operations = held
	case saidUncounted:
		counted.operations = grant.Keep + grant.Reserved
	}
	lent.byGateway[name] = counted
}

func (m *reserveMoment) book(gateway int) bool {
	one := &m.gateways[gateway]
	if one.answer == nil {
		return false
	}
	if m.lacks == reserveTwice {
		one.purse.asking = true
	}
	if m.lacks == reserveLate {
		one.purse.askedAt = m.now()
	}
	if m.lacks == renewsWhatIsOver {
		one.account.heldUntil = m.now() + reserveLife
	}
	answer := *one.answer
	held := one.account
	one.purse.accounts = map[string]*account{"t": &held}
	one.purse.ApplyAnswer(m.now(), answer)
	one.purse.accounts = nil
	if m.lacks != reserveTwice {
		one.answer = nil
	}
	one.account = held
	return true
}

// key tells moments apart from which the same may follow. Times are told as of now; the gateways' order doesn't matter.
func (m *reserveMoment) key() string {
	text := []byte{byte(m.tick), byte(m.deposed), byte(m.reserve), byte(m.lowered), byte(m.excess),
		mark(m.left.restart), mark(m.left.forget), mark(m.left.lower)}
	for term, bank := range m.banks {
		if lent := bank.buckets["t"].reserves; m.grants(term) {
			text = append(text, '#', mark(lent.hears), m.untilNow(lent.unheardUntil))
			if m.now() < lent.unheardUntil {
				text = append(text, byte(lent.unheard))
			}
			text = append(text, m.ghosts(lent)...)
		}
	}
	first, second := m.gatewayKey(0), m.gatewayKey(1)
	if m.left.split {
		return string(text) + "|" + first + "|" + second
	}
	return string(text) + "|" + min(first, second) + "|" + max(first, second)
}

func (m *reserveMoment) untilNow(end time.Duration) byte {
	return byte(max(0, end-m.now()) / reserveUnit)
}

// ghosts is what is counted for processes that have ended: at most one has.
func (m *reserveMoment) ghosts(lent *reserves) []byte {
	for name, counted := range lent.byGateway {
		if name != m.gateways[0].name && name != m.gateways[1].name && counted.until > m.now() {
			return []byte{'g', byte(counted.operations), m.untilNow(counted.until)}
		}
	}
	return nil
}

func (m *reserveMoment) gatewayKey(index int) string {
	one := &m.gateways[index]
	text := []byte{byte(one.purse.bank), byte(one.account.held)}
	if one.account.held > 0 {
		text = append(text, m.untilNow(one.account.heldUntil))
	}
	isAwaited := one.answer != nil
	for request, sent := range one.requests {
		state := []byte{'?', byte(sent.Bank), byte(sent.Wants[0].Held), byte(sent.Wants[0].Reserve), mark(sent.Number == one.purse.number)}
		isUseful := m.left.takeOver > 0 && m.deposed == 0 && m.reaches(index, 1)
		for term := range m.banks {
			isNew := m.grants(term) && m.reaches(index, term) && m.isNew(index, request, term)
			state = append(state, mark(isNew))
			isUseful = isUseful || isNew
		}
		if isUseful {
			text = append(text, state...)
			isAwaited = isAwaited || sent.Number == one.purse.number
		}
	}
	if isAwaited {
		text = append(text, byte((m.now()-one.purse.askedAt)/reserveUnit))
	}
	if one.answer != nil {
		grant := one.answer.Grants[0]
		text = append(text, '!', byte(one.answer.Bank), byte(grant.Keep), byte(grant.Reserved), mark(grant.ReserveLife > 0))
	}
	for term, bank := range m.banks {
		counted := bank.buckets["t"].reserves.byGateway[one.name]
		if m.grants(term) && counted.until > m.now() {
			text = append(text, byte('0'+term), byte(counted.operations), m.untilNow(counted.until))
		}
	}
	return string(text)
}

// searchReserves plays all histories. It stops at the first that breaks the bound.
func searchReserves(most int, left happens, lacks without) (broken bool, mostHeld, moments int) {
	waiting := []*reserveMoment{newReserveMoment(most, left, lacks)}
	seen := map[string]struct{}{waiting[0].key(): {}}
	for len(waiting) > 0 {
		last := waiting[len(waiting)-1]
		waiting = waiting[:len(waiting)-1]
		for _, next := range last.following() {
			if next.isBroken() {
				return true, mostHeld, len(seen)
			}
			key := next.key()
			if _, known := seen[key]; known {
				continue
			}
			seen[key] = struct{}{}
			mostHeld = max(mostHeld, next.held())
			waiting = append(waiting, next)
		}
	}
	return false, mostHeld, len(seen)
}

// QUOTA: in no history of a small world is more begun in a window than may be held in reserve at its start and is lent in it.
func TestReserveSearchOfSmallWorlds(t *testing.T) {
	for _, left := range []happens{
		{restart: true, doubled: true, end: 3},
		{takeOver: 1, fresh: 1, doubled: true, split: true, end: 2},
		{takeOver: 1, fresh: 1, end: 3},
		{takeOver: 1, fresh: 2, split: true, end: 3},
		{takeOver: 1, fresh: 1, lower: true, split: true, end: 2},
		{forget: true, end: 3},
		{lower: true, end: 2},
	} {
		broken, mostHeld, moments := searchReserves(1, left, "")
		if broken || mostHeld != 1 {
			t.Errorf("%+v: broken %v, %d held", left, broken, mostHeld)
		}
		t.Logf("%+v: %d moments", left, moments)
	}
}

// Each guard of reserves that is taken out is found.
func TestReserveSearchFindsEachGuard(t *testing.T) {
	for guard, left := range reserveGuards {
		t.Run(string(guard), func(t *testing.T) {
			t.Parallel()
			broken, _, moments := searchReserves(1, left, guard)
			if !broken {
				t.Errorf("not found in %d moments", moments)
			}
			t.Logf("%d moments", moments)
		})
	}
}
