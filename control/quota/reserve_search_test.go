package quota

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// The reserve search explores all histories of a small model as search does, but for reserves: two gateways, one tenant whose bucket is
// always full, and two terms of primaries. Gateways may ask for a reserve at any time. All clocks are exact, so the margin for clocks is
// removed.

const (
	reserveTicks = 2 // ticks, of a reserve's life
	reserveUnit  = reserveLife / reserveTicks
	fullBucket   = 100
)

// scenario says what may happen once in a history, besides the transport of messages, and how long the history is.
type scenario struct {
	takeOverAt     int  // the tick in which another primary takes over; 0: none does
	deposedGrants  int  // ticks for which the deposed primary may still grant
	mayRestart     bool // a gateway
	mayReadd       bool // the tenant may be removed and added again
	mayChangeLimit bool // the limit may be lowered and raised again
	mayDuplicate   bool // requests may arrive again
	isPartitioned  bool // the second gateway reaches the first primary only
	lastTick       int
}

const (
	guardUnreportedReserves      guard = "what earlier allocators granted in reserve"
	guardReportOnSecondRequest   guard = "taking over a report only with the second request"
	guardRequestNumbers          guard = "the number of requests"
	guardReserveLifeFromRequest  guard = "counting the end of a reserve from the request"
	guardCountAdded              guard = "the count of what was added"
	guardCountReported           guard = "the count of what was reported as held"
	guardCountOthers             guard = "the room of all others"
	guardNoRenewalOfEnded        guard = "the end of a reserve that is renewed"
	guardKeptWithinLimit         guard = "the room of what is kept"
	guardReserveDelayedOpening   guard = "the opening time of a later allocator"
	guardReserveConfirmedPrimary guard = "the fresh confirmation of a primary"
	guardReaddedUnreported       guard = "what was granted in reserve before a tenant was added again"
	guardReaddedIgnoresReports   guard = "ignoring reports for a tenant that was added again"
	guardRaisedLimit             guard = "what was granted in reserve under a higher limit"
	guardReserveSingleDelivery   guard = "one delivery of an answer"
)

// reserveGuards gives for each guard a scenario in which its absence shows.
var reserveGuards = map[guard]scenario{
	guardUnreportedReserves:      {takeOverAt: 1, deposedGrants: 1, lastTick: 3},
	guardReportOnSecondRequest:   {takeOverAt: 1, deposedGrants: 2, isPartitioned: true, lastTick: 3},
	guardRequestNumbers:          {mayDuplicate: true, lastTick: 4},
	guardReserveLifeFromRequest:  {lastTick: 4},
	guardCountAdded:              {lastTick: 4},
	guardCountReported:           {mayChangeLimit: true, lastTick: 2},
	guardCountOthers:             {lastTick: 4},
	guardNoRenewalOfEnded:        {lastTick: 4},
	guardKeptWithinLimit:         {mayChangeLimit: true, lastTick: 2},
	guardReserveDelayedOpening:   {takeOverAt: 1, deposedGrants: 2, isPartitioned: true, lastTick: 2},
	guardReserveConfirmedPrimary: {takeOverAt: 1, deposedGrants: 0, isPartitioned: true, lastTick: 2},
	guardReaddedUnreported:       {mayReadd: true, lastTick: 2},
	guardReaddedIgnoresReports:   {mayReadd: true, lastTick: 2},
	guardRaisedLimit:             {takeOverAt: 1, deposedGrants: 1, mayChangeLimit: true, isPartitioned: true, lastTick: 2},
	guardReserveSingleDelivery:   {lastTick: 4},
}

// reserveGateway is the process of a gateway, and its messages in transit.
type reserveGateway struct {
	name     string
	budget   Budget
	account  account
	requests []Request // in transit
	answer   *Answer   // to the last request, in transit
}

// reserveState is one state of a history.
type reserveState struct {
	tick           int
	gateways       [2]reserveGateway
	allocators     []*Allocator // by term
	maxReserve     int          // that the limit allows
	deposedAt      int          // the tick in which the second term began; 0: it hasn't
	initialReserve int          // maxReserve before the limit was lowered
	loweredAt      int          // the tick in which the limit was lowered
	// excess is the most, over all windows that end now, by which more operations began in the window than were granted in reserve in it.
	// It is counted only in scenarios without a takeover, a tenant that is added again or a change of the limit.
	excess    int
	remaining scenario // events that may still happen
	disabled  guard
}

func (s *reserveState) now() time.Duration { return time.Duration(s.tick) * reserveUnit }

func (s *reserveState) parameters() parameters {
	return parameters{capacity: fullBucket, maxReserve: s.maxReserve, grantLife: GrantLife}
}

func (s *reserveState) newAllocator(id uint64, opensAt time.Duration) *Allocator {
	allocator := NewAllocator(id, opensAt, Rules{})
	allocator.pruneAt = time.Hour
	allocator.buckets["t"] = &bucket{parameters: s.parameters(), reserves: newTenantReserves(opensAt, s.maxReserve, true)}
	allocator.buckets["t"].reserves.unreportedUntil -= reserveMargin
	return allocator
}

func newReserveState(maxReserve int, remaining scenario, disabled guard) *reserveState {
	s := &reserveState{initialReserve: maxReserve, maxReserve: maxReserve, remaining: remaining, disabled: disabled}
	s.allocators = []*Allocator{s.newAllocator(1, 0)}
	s.allocators[0].buckets["t"].reserves.unreported = 0 // as after a long idle time
	for index := range s.gateways {
		s.gateways[index] = reserveGateway{name: string(rune('a' + index)), budget: Budget{allocator: 1}}
	}
	return s
}

// mutableAllocator gives the state a copy of an allocator, which it may change: states share allocators otherwise.
func (s *reserveState) mutableAllocator(term int) *Allocator {
	s.allocators = slices.Clone(s.allocators)
	s.allocators[term] = copyAllocator(s.allocators[term])
	return s.allocators[term]
}

func copyAllocator(allocator *Allocator) *Allocator {
	copied, copiedBucket, reserves := *allocator, *allocator.buckets["t"], *allocator.buckets["t"].reserves
	reserves.byGateway = maps.Clone(reserves.byGateway)
	copiedBucket.reserves = &reserves
	copied.buckets = map[string]*bucket{"t": &copiedBucket}
	copied.lastRequests = maps.Clone(copied.lastRequests)
	return &copied
}

// held is how many operations all gateways together may begin from their reserves now.
func (s *reserveState) held() int {
	sum := 0
	for index := range s.gateways {
		gateway := &s.gateways[index]
		if s.now() < gateway.account.heldUntil {
			sum += gateway.account.held
		}
	}
	return sum
}

// isBroken tells whether in a window that ends now more operations may begin than may be held at its start and are granted in reserve in
// it.
func (s *reserveState) isBroken() bool {
	isLow := s.maxReserve < s.initialReserve && s.tick >= s.loweredAt+reserveTicks
	if isLow && s.held() > s.maxReserve {
		return true
	}
	return s.excess+s.held() > s.initialReserve
}

func (s *reserveState) count(begun, reserved int) {
	if s.remaining.takeOverAt == 0 && !s.remaining.mayReadd && !s.remaining.mayChangeLimit {
		s.excess = max(0, s.excess+begun-reserved)
	}
}

// successors gives the states that one more event leads to.
func (s *reserveState) successors() []*reserveState {
	var all []*reserveState
	next := &reserveState{}
	try := func(change func(next *reserveState) bool) {
		if *next = *s; change(next) {
			all = append(all, next)
			next = &reserveState{}
		}
	}
	try((*reserveState).advanceTick)
	try((*reserveState).startSecondTerm)
	try((*reserveState).readdTenant)
	try((*reserveState).changeLimit)
	for gateway := range s.gateways {
		try(func(next *reserveState) bool { return next.restart(gateway) })
		try(func(next *reserveState) bool { return next.take(gateway) })
		try(func(next *reserveState) bool { return next.ask(gateway) })
		try(func(next *reserveState) bool { return next.deliverAnswer(gateway) })
		for index := range s.gateways[gateway].requests {
			for term := range s.allocators {
				if s.mayGrant(term) && s.reaches(gateway, term) && s.isNew(gateway, index, term) {
					try(func(next *reserveState) bool { return next.answerRequest(gateway, index, term) })
				}
			}
		}
	}
	return all
}

func (s *reserveState) advanceTick() bool {
	s.tick++
	for index := range s.gateways {
		if s.disabled != guardNoRenewalOfEnded {
			s.gateways[index].account.dropExpired(s.now())
		}
	}
	return s.tick <= s.remaining.lastTick
}

func (s *reserveState) startSecondTerm() bool {
	if s.deposedAt > 0 || s.tick == 0 || s.tick != s.remaining.takeOverAt {
		return false
	}
	s.deposedAt = s.tick
	if s.remaining.mayChangeLimit {
		s.maxReserve, s.loweredAt = s.initialReserve-1, s.tick // just before the takeover
	}
	opensAt := s.now() + time.Duration(s.remaining.deposedGrants)*reserveUnit
	if s.disabled == guardReserveDelayedOpening {
		opensAt = s.now()
	}
	second := s.newAllocator(2, opensAt)
	if s.disabled == guardUnreportedReserves {
		second.buckets["t"].reserves.unreported = 0
	}
	s.allocators = append(slices.Clone(s.allocators), second)
	return true
}

// readdTenant removes the tenant from the configuration and adds it again.
func (s *reserveState) readdTenant() bool {
	if !s.remaining.mayReadd {
		return false
	}
	s.remaining.mayReadd = false
	allocator := s.mutableAllocator(len(s.allocators) - 1)
	allocator.SetLimits(s.now(), nil)
	allocator.SetLimits(s.now(), []Limit{{Tenant: "t"}})
	added := allocator.buckets["t"]
	added.parameters = s.parameters()
	added.reserves.unreported = s.maxReserve
	added.reserves.unreportedUntil -= reserveMargin
	if s.disabled == guardReaddedUnreported {
		added.reserves.unreported = 0
	}
	added.reserves.acceptsReports = added.reserves.acceptsReports || s.disabled == guardReaddedIgnoresReports
	return true
}

// changeLimit lowers the limit, and raises it again when it is called next. Where another primary takes over, startSecondTerm lowers it.
func (s *reserveState) changeLimit() bool {
	if !s.remaining.mayChangeLimit || s.remaining.takeOverAt > 0 && s.deposedAt == 0 {
		return false
	}
	before := s.maxReserve
	s.maxReserve, s.loweredAt = s.initialReserve-1, s.tick
	if before < s.initialReserve {
		s.maxReserve, s.loweredAt, s.remaining.mayChangeLimit = s.initialReserve, 0, false
	}
	allocator := s.mutableAllocator(len(s.allocators) - 1)
	if s.disabled != guardRaisedLimit {
		allocator.buckets["t"].reserves.raiseUnreported(s.maxReserve - before)
	}
	allocator.buckets["t"].parameters = s.parameters()
	return true
}

// restart drops what a gateway holds. The allocator goes on counting it.
func (s *reserveState) restart(gateway int) bool {
	if !s.remaining.mayRestart || s.gateways[gateway].account.held == 0 {
		return false
	}
	s.remaining.mayRestart = false
	s.gateways[gateway] = reserveGateway{name: s.gateways[gateway].name + "'"}
	return true
}

func (s *reserveState) take(gateway int) bool {
	if s.gateways[gateway].account.take(s.now()) != Taken {
		return false
	}
	s.count(1, 0)
	return true
}

// ask sends a request, and abandons one that is pending. At most one abandoned request stays in transit.
func (s *reserveState) ask(gateway int) bool {
	process := &s.gateways[gateway]
	process.budget.isPending, process.budget.sentAt = true, s.now()
	process.budget.number++
	process.answer = nil
	process.requests = append(slices.Clone(process.requests), Request{
		Gateway: process.name, Number: process.budget.number, Bank: process.budget.allocator,
		Wants: []Want{{Tenant: "t", Held: process.account.held, Reserve: s.maxReserve}},
	})
	kept := 2
	if len(s.gateways[1-gateway].requests) == kept {
		kept = 1
	}
	process.requests = process.requests[max(0, len(process.requests)-kept):]
	return true
}

// mayGrant tells whether the primary of a term may still answer.
func (s *reserveState) mayGrant(term int) bool {
	isDeposed := s.deposedAt > 0 && term == 0
	return !isDeposed || s.tick < s.deposedAt+s.remaining.deposedGrants || s.disabled == guardReserveConfirmedPrimary
}

func (s *reserveState) reaches(gateway, term int) bool {
	return !s.remaining.isPartitioned || gateway == 0 || term == 0
}

// isNew tells whether the allocator of a term has seen no newer request of the gateway, nor this one, and so may grant something.
func (s *reserveState) isNew(gateway, index, term int) bool {
	process := &s.gateways[gateway]
	return process.requests[index].Number > s.allocators[term].lastRequests[process.name].number || s.disabled == guardRequestNumbers
}

// answerRequest has the primary of a term answer a request.
func (s *reserveState) answerRequest(gateway, index, term int) bool {
	process, allocator := &s.gateways[gateway], s.mutableAllocator(term)
	bucket := allocator.buckets["t"]
	request := process.requests[index]
	if s.disabled == guardReportOnSecondRequest && s.now() >= allocator.opensAt {
		request.Bank = allocator.id
	}
	if s.disabled == guardRequestNumbers {
		clear(allocator.lastRequests)
	}
	if s.disabled == guardCountOthers {
		maps.DeleteFunc(bucket.reserves.byGateway, func(name string, _ gatewayReserve) bool { return name != process.name })
	}
	bucket.level = fullBucket
	answer := allocator.Answer(s.now(), request)
	if len(answer.Grants) == 0 {
		return false
	}
	bucket.level, allocator.counts = fullBucket, Counts{}
	grant, held := &answer.Grants[0], request.Wants[0].Held
	s.count(0, grant.Reserved)
	if s.disabled == guardKeptWithinLimit || s.disabled == guardNoRenewalOfEnded {
		grant.Keep = held
	}
	if grant.ReserveLife > 0 {
		s.countReserve(bucket.reserves, process.name, held, grant)
	}
	if process.budget.isPending && process.budget.number == request.Number {
		process.answer = &answer
	}
	if !s.remaining.mayDuplicate {
		process.requests = slices.Delete(slices.Clone(process.requests), index, index+1)
	}
	return true
}

// countReserve corrects what the allocator counts: it removes the margin for clocks, and the effect of the guard that is disabled.
func (s *reserveState) countReserve(reserves *tenantReserves, name string, held int, grant *Grant) {
	counted := reserves.byGateway[name]
	counted.until -= reserveMargin
	switch s.disabled {
	case guardCountAdded:
		counted.operations = held
	case guardCountReported:
		counted.operations = grant.Keep + grant.Reserved
	}
	reserves.byGateway[name] = counted
}

func (s *reserveState) deliverAnswer(gateway int) bool {
	process := &s.gateways[gateway]
	if process.answer == nil {
		return false
	}
	if s.disabled == guardReserveSingleDelivery {
		process.budget.isPending = true
	}
	if s.disabled == guardReserveLifeFromRequest {
		process.budget.sentAt = s.now()
	}
	if s.disabled == guardNoRenewalOfEnded {
		process.account.heldUntil = s.now() + reserveLife
	}
	answer := *process.answer
	held := process.account
	process.budget.accounts = map[string]*account{"t": &held}
	process.budget.ApplyAnswer(s.now(), answer)
	process.budget.accounts = nil
	if s.disabled != guardReserveSingleDelivery {
		process.answer = nil
	}
	process.account = held
	return true
}

// key is equal for states that have the same successors. Times are relative to now; the order of the gateways doesn't matter.
func (s *reserveState) key() string {
	text := []byte{byte(s.tick), byte(s.deposedAt), byte(s.maxReserve), byte(s.loweredAt), byte(s.excess),
		flagByte(s.remaining.mayRestart), flagByte(s.remaining.mayReadd), flagByte(s.remaining.mayChangeLimit)}
	for term, allocator := range s.allocators {
		if reserves := allocator.buckets["t"].reserves; s.mayGrant(term) {
			text = append(text, '#', flagByte(reserves.acceptsReports), s.ticksUntil(reserves.unreportedUntil))
			if s.now() < reserves.unreportedUntil {
				text = append(text, byte(reserves.unreported))
			}
			text = append(text, s.stoppedProcesses(reserves)...)
		}
	}
	first, second := s.gatewayKey(0), s.gatewayKey(1)
	if s.remaining.isPartitioned {
		return string(text) + "|" + first + "|" + second
	}
	return string(text) + "|" + min(first, second) + "|" + max(first, second)
}

func (s *reserveState) ticksUntil(end time.Duration) byte {
	return byte(max(0, end-s.now()) / reserveUnit)
}

// stoppedProcesses is what is counted for processes that have stopped: at most one has.
func (s *reserveState) stoppedProcesses(reserves *tenantReserves) []byte {
	for name, counted := range reserves.byGateway {
		if name != s.gateways[0].name && name != s.gateways[1].name && counted.until > s.now() {
			return []byte{'g', byte(counted.operations), s.ticksUntil(counted.until)}
		}
	}
	return nil
}

func (s *reserveState) gatewayKey(index int) string {
	process := &s.gateways[index]
	text := []byte{byte(process.budget.allocator), byte(process.account.held)}
	if process.account.held > 0 {
		text = append(text, s.ticksUntil(process.account.heldUntil))
	}
	isAwaited := process.answer != nil
	for request, sent := range process.requests {
		state := []byte{'?', byte(sent.Bank), byte(sent.Wants[0].Held), byte(sent.Wants[0].Reserve), flagByte(sent.Number == process.budget.number)}
		isUseful := s.remaining.takeOverAt > 0 && s.deposedAt == 0 && s.reaches(index, 1)
		for term := range s.allocators {
			isNew := s.mayGrant(term) && s.reaches(index, term) && s.isNew(index, request, term)
			state = append(state, flagByte(isNew))
			isUseful = isUseful || isNew
		}
		if isUseful {
			text = append(text, state...)
			isAwaited = isAwaited || sent.Number == process.budget.number
		}
	}
	if isAwaited {
		text = append(text, byte((s.now()-process.budget.sentAt)/reserveUnit))
	}
	if process.answer != nil {
		grant := process.answer.Grants[0]
		text = append(text, '!', byte(process.answer.Bank), byte(grant.Keep), byte(grant.Reserved), flagByte(grant.ReserveLife > 0))
	}
	for term, allocator := range s.allocators {
		counted := allocator.buckets["t"].reserves.byGateway[process.name]
		if s.mayGrant(term) && counted.until > s.now() {
			text = append(text, byte('0'+term), byte(counted.operations), s.ticksUntil(counted.until))
		}
	}
	return string(text)
}

// searchReserves explores all histories. It stops at the first that exceeds the bound.
func searchReserves(maxReserve int, remaining scenario, disabled guard) (broken bool, mostHeld, states int) {
	waiting := []*reserveState{newReserveState(maxReserve, remaining, disabled)}
	seen := map[string]struct{}{waiting[0].key(): {}}
	for len(waiting) > 0 {
		last := waiting[len(waiting)-1]
		waiting = waiting[:len(waiting)-1]
		for _, next := range last.successors() {
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

// QUOTA: in no history of the small model do more operations begin in a window than may be held in reserve at its start and are granted in
// reserve in it.
func TestNoReserveHistoryOfASmallModelExceedsTheBound(t *testing.T) {
	for _, remaining := range []scenario{
		{mayRestart: true, mayDuplicate: true, lastTick: 3},
		{takeOverAt: 1, deposedGrants: 1, mayDuplicate: true, isPartitioned: true, lastTick: 2},
		{takeOverAt: 1, deposedGrants: 1, lastTick: 3},
		{takeOverAt: 1, deposedGrants: 2, isPartitioned: true, lastTick: 3},
		{takeOverAt: 1, deposedGrants: 1, mayChangeLimit: true, isPartitioned: true, lastTick: 2},
		{mayReadd: true, lastTick: 3},
		{mayChangeLimit: true, lastTick: 2},
	} {
		broken, mostHeld, states := searchReserves(1, remaining, "")
		if broken || mostHeld != 1 {
			t.Errorf("%+v: broken %v, %d held", remaining, broken, mostHeld)
		}
		t.Logf("%+v: %d states", remaining, states)
	}
}

// The search must find a violation for each guard of reserves that is disabled.
func TestReserveSearchDetectsEachDisabledGuard(t *testing.T) {
	for disabled, remaining := range reserveGuards {
		t.Run(string(disabled), func(t *testing.T) {
			t.Parallel()
			broken, _, states := searchReserves(1, remaining, disabled)
			if !broken {
				t.Errorf("the bound holds in all %d states", states)
			}
			t.Logf("%d states", states)
		})
	}
}
