package quota

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// The search explores all histories of a small model: gateways, one tenant and two terms of primaries. Time advances in ticks. Requests and
// answers may be lost, delayed, duplicated or reordered; a paused process is one whose messages are delayed. Whether the rule holds is
// determined only by when operations were taken out of budgets.

const (
	searchTick          = 100 * time.Millisecond
	searchLife          = 2 // ticks, of a grant
	searchWindow        = 2 // ticks, of the rule
	searchDeposedGrants = 2 // ticks for which a deposed primary may still grant
	searchCapacity      = 1
	searchEnd           = 6 // ticks of a history
	searchWanted        = 2 // operations that wait at each gateway
	// searchMost is the most that a window which includes both of its ends may hold: the capacity, and what the bucket receives while
	// operations that begin in the window can be granted. Time is in whole ticks, so the last tick in which a grant is valid is one before
	// its end.
	searchMost = searchCapacity + searchWindow + searchLife - 1
)

// guard names a safety mechanism that a search disables. "" disables none.
type guard string

const (
	guardGrantLife        guard = "the life of a grant"
	guardLifeFromRequest  guard = "counting the life from the request"
	guardEmptyStart       guard = "the empty start of a later allocator"
	guardDelayedOpening   guard = "the opening time of a later allocator"
	guardConfirmedPrimary guard = "the fresh confirmation of a primary"
	guardSingleDelivery   guard = "one delivery of an answer"
	guardLifeInCapacity   guard = "the life in the capacity"
	guardEmptyReadd       guard = "the empty start of a tenant that is added again"
)

var searchGuards = []guard{
	guardGrantLife, guardLifeFromRequest, guardEmptyStart, guardDelayedOpening, guardConfirmedPrimary, guardSingleDelivery,
	guardLifeInCapacity, guardEmptyReadd,
}

// detectedInOneTerm are the guards whose absence shows without a second primary; one term has fewer states.
var detectedInOneTerm = map[guard]bool{
	guardGrantLife: true, guardLifeFromRequest: true, guardLifeInCapacity: true, guardSingleDelivery: true, guardEmptyReadd: true,
}

// sentRequest and sentAnswer are messages in transit. They stay in transit after they have arrived, as they may arrive again.
type sentRequest struct {
	gateway int
	age     int // ticks
	request Request
}

type sentAnswer struct {
	gateway int
	age     int // of the request, ticks
	answer  Answer
}

// searchState is one state of a history.
type searchState struct {
	tick         int
	budgets      []*Budget
	allocators   []*Allocator // by term
	deposedAt    int          // the tick in which the second term began; 0: it hasn't
	mayReadd     bool         // the tenant may be removed from the configuration and added again, once
	requests     []sentRequest
	answers      []sentAnswer
	taken        []int // operations taken out by tick, for as many last ticks as a window has
	inWindow     int   // operations in the window that ended with the last tick
	disabled     guard
	isSingleTerm bool
}

func (s *searchState) now() time.Duration { return time.Duration(s.tick) * searchTick }

func (s *searchState) newAllocator(opensAt time.Duration) *Allocator {
	allocator := NewAllocator(1, opensAt, Rules{})
	added := &bucket{filledAt: max(s.now(), opensAt)}
	added.parameters = parameters{rate: 1 / searchTick.Seconds(), capacity: searchCapacity, grantLife: searchLife * searchTick}
	if s.disabled == guardLifeInCapacity {
		added.capacity += searchLife
	}
	allocator.buckets["t"] = added
	return allocator
}

func newSearchState(gateways int, mayReadd bool, disabled guard) *searchState {
	s := &searchState{mayReadd: mayReadd, disabled: disabled, isSingleTerm: detectedInOneTerm[disabled], taken: make([]int, searchWindow+1)}
	for range gateways {
		s.budgets = append(s.budgets, newSearchBudget())
	}
	first := s.newAllocator(0)
	first.buckets["t"].level = first.buckets["t"].capacity // as after a long idle time
	s.allocators = []*Allocator{first}
	return s
}

func newSearchBudget() *Budget {
	budget := NewBudget()
	budget.SetLimitedTenants([]string{"t"})
	for range searchWanted {
		budget.AddWaiter("t")
	}
	return budget
}

func (s *searchState) clone() *searchState {
	next := *s
	next.budgets = make([]*Budget, 0, len(s.budgets))
	for _, budget := range s.budgets {
		copied, copiedAccount := *budget, *budget.accounts["t"]
		copiedAccount.grants = slices.Clone(copiedAccount.grants)
		copied.accounts = map[string]*account{"t": &copiedAccount}
		next.budgets = append(next.budgets, &copied)
	}
	next.requests, next.answers, next.taken = slices.Clone(s.requests), slices.Clone(s.answers), slices.Clone(s.taken)
	return &next
}

// mutableAllocator gives the state a copy of an allocator, which it may change: states share allocators otherwise.
func (s *searchState) mutableAllocator(term int) *Allocator {
	copied, copiedBucket := *s.allocators[term], *s.allocators[term].buckets["t"]
	copied.buckets = map[string]*bucket{"t": &copiedBucket}
	s.allocators = slices.Clone(s.allocators)
	s.allocators[term] = &copied
	return &copied
}

// key is equal for states that have the same successors. Times are relative to now; the order of the gateways doesn't matter.
func (s *searchState) key() string {
	var gateways []string
	for index, budget := range s.budgets {
		text := []byte{flagByte(budget.isPending), byte((s.now() - budget.sentAt) / searchTick)}
		for _, grant := range budget.accounts["t"].grants {
			text = append(text, byte(grant.operations), byte((grant.until-s.now())/searchTick))
		}
		text = append(text, '/')
		for _, sent := range s.requests {
			if sent.gateway == index {
				text = append(text, byte(sent.age), byte(sent.request.Wants[0].Operations), '?')
			}
		}
		var answers []string
		for _, sent := range s.answers {
			if sent.gateway == index {
				isDue := flagByte(sent.answer.Number == budget.number)
				answers = append(answers, string([]byte{byte(sent.age), byte(sent.answer.Grants[0].Operations), isDue}))
			}
		}
		slices.Sort(answers)
		gateways = append(gateways, string(text)+strings.Join(answers, "!"))
	}
	slices.Sort(gateways)
	text := []byte{byte(s.tick), byte(s.deposedAt), flagByte(s.mayReadd)}
	for _, count := range s.taken {
		text = append(text, byte(count))
	}
	for _, allocator := range s.allocators {
		filled := *allocator.buckets["t"]
		filled.fill(s.now())
		text = append(text, byte(filled.level*10+0.5), byte(max(0, filled.filledAt-s.now())/searchTick))
	}
	return string(text) + strings.Join(gateways, "|")
}

func flagByte(flag bool) byte {
	if flag {
		return 'y'
	}
	return 'n'
}

// successors gives all states that one more event leads to. Operations are taken out at the end of a tick.
func (s *searchState) successors() []*searchState {
	all := s.tickSuccessors()
	try := func(change func(next *searchState) bool) {
		if next := s.clone(); change(next) {
			all = append(all, next)
		}
	}
	for gateway, budget := range s.budgets {
		if len(budget.accounts["t"].grants) > 0 {
			try(func(next *searchState) bool { return next.restart(gateway) })
		}
		if budget.isPending {
			try(func(next *searchState) bool { return next.failRequest(gateway) })
		}
	}
	if s.mayStartSecondTerm() {
		try((*searchState).startSecondTerm)
	}
	if s.mayReadd {
		try((*searchState).readdTenant)
	}
	for gateway, budget := range s.budgets {
		if !budget.isPending {
			try(func(next *searchState) bool { return next.ask(gateway) })
		}
	}
	for index := range s.requests {
		for term := range s.allocators {
			if s.mayAnswer(term) {
				try(func(next *searchState) bool { return next.answerRequest(index, term) })
			}
		}
	}
	for index := range s.answers {
		try(func(next *searchState) bool { return next.deliverAnswer(index) })
	}
	return all
}

// tickSuccessors gives the states a tick later, after any number of operations was taken out at each gateway.
func (s *searchState) tickSuccessors() []*searchState {
	if s.tick == searchEnd {
		return nil
	}
	all := []*searchState{s.clone()}
	for gateway := range s.budgets {
		for _, next := range all {
			for next = next.clone(); next.take(gateway); next = next.clone() {
				all = append(all, next)
			}
		}
	}
	for _, next := range all {
		next.advanceTick()
	}
	return all
}

func (s *searchState) ask(gateway int) bool {
	request, due := s.budgets[gateway].NextRequest(s.now())
	s.requests = append(s.requests, sentRequest{gateway: gateway, request: request})
	return due
}

func (s *searchState) failRequest(gateway int) bool {
	wasPending := s.budgets[gateway].isPending
	s.budgets[gateway].RequestFailed()
	s.dropObsoleteMessages()
	return wasPending
}

func (s *searchState) take(gateway int) bool {
	taken := s.budgets[gateway].RetryTake(s.now(), "t") == Taken
	if taken {
		s.taken[len(s.taken)-1]++
	}
	return taken
}

// restart drops what a gateway holds, and its messages in transit.
func (s *searchState) restart(gateway int) bool {
	hadGrants := len(s.budgets[gateway].accounts["t"].grants) > 0
	s.budgets[gateway] = newSearchBudget()
	s.requests = slices.DeleteFunc(s.requests, func(one sentRequest) bool { return one.gateway == gateway })
	s.answers = slices.DeleteFunc(s.answers, func(one sentAnswer) bool { return one.gateway == gateway })
	return hadGrants
}

// mayAnswer tells whether the primary of a term may answer. Few answers are in transit at a time, to bound the search.
func (s *searchState) mayAnswer(term int) bool {
	isDeposed := s.deposedAt > 0 && term == 0
	isSilenced := isDeposed && s.tick >= s.deposedAt+searchDeposedGrants && s.disabled != guardConfirmedPrimary
	return !isSilenced && len(s.answers) < len(s.budgets)
}

// answerRequest has the primary of a term answer a request.
func (s *searchState) answerRequest(index, term int) bool {
	sent, allocator := s.requests[index], s.mutableAllocator(term)
	answer := allocator.Answer(s.now(), sent.request)
	grant := &answer.Grants[0]
	grant.RetryAfter = 0 // gateways may ask again at once
	if grant.Operations == 0 {
		return false
	}
	if s.disabled == guardGrantLife {
		grant.Life *= 2
	}
	allocator.counts = Counts{}
	s.answers = append(s.answers, sentAnswer{gateway: sent.gateway, age: sent.age, answer: answer})
	return true
}

// deliverAnswer delivers an answer to its gateway. It stays in transit, and so do the answers to other requests.
func (s *searchState) deliverAnswer(index int) bool {
	sent := s.answers[index]
	budget := s.budgets[sent.gateway]
	if s.disabled == guardSingleDelivery {
		budget.isPending, budget.number = true, sent.answer.Number
	}
	if s.disabled == guardLifeFromRequest {
		budget.sentAt = s.now()
	}
	before := len(budget.accounts["t"].grants)
	budget.ApplyAnswer(s.now(), sent.answer)
	s.dropObsoleteMessages()
	return before != len(budget.accounts["t"].grants)
}

func (s *searchState) mayStartSecondTerm() bool {
	return s.deposedAt == 0 && s.tick > 0 && !s.isSingleTerm
}

func (s *searchState) startSecondTerm() bool {
	s.deposedAt = s.tick
	opensAt := s.now() + searchDeposedGrants*searchTick
	if s.disabled == guardDelayedOpening {
		opensAt = s.now()
	}
	second := s.newAllocator(opensAt)
	if s.disabled == guardEmptyStart {
		second.buckets["t"].level = second.buckets["t"].capacity
	}
	s.allocators = append(slices.Clone(s.allocators), second)
	return true
}

// readdTenant removes the tenant from the configuration of the current primary, and adds it again.
func (s *searchState) readdTenant() bool {
	s.mayReadd = false
	allocator := s.mutableAllocator(len(s.allocators) - 1)
	kept := allocator.buckets["t"].parameters
	allocator.SetLimits(s.now(), nil)
	allocator.SetLimits(s.now(), []Limit{{Tenant: "t"}})
	allocator.buckets["t"].parameters = kept
	if s.disabled == guardEmptyReadd {
		allocator.buckets["t"].level = kept.capacity
	}
	return true
}

// advanceTick ends the current tick.
func (s *searchState) advanceTick() {
	s.tick++
	s.inWindow = s.countWindow()
	s.taken = append(s.taken[1:], 0)
	for index := range s.requests {
		s.requests[index].age++
	}
	for index := range s.answers {
		s.answers[index].age++
	}
	for _, budget := range s.budgets {
		budget.accounts["t"].dropExpired(s.now())
	}
	s.dropObsoleteMessages()
}

// dropObsoleteMessages drops messages that can't be applied any more, to bound the search: they could only take operations from the
// allocator.
func (s *searchState) dropObsoleteMessages() {
	isObsolete := func(gateway, age int, number uint64) bool {
		budget := s.budgets[gateway]
		isExpired := age >= searchLife && s.disabled != guardGrantLife && s.disabled != guardLifeFromRequest
		isUnexpected := !(budget.isPending && budget.number == number) && s.disabled != guardSingleDelivery
		return isExpired || isUnexpected
	}
	s.requests = slices.DeleteFunc(s.requests, func(one sentRequest) bool { return isObsolete(one.gateway, one.age, one.request.Number) })
	s.answers = slices.DeleteFunc(s.answers, func(one sentAnswer) bool { return isObsolete(one.gateway, one.age, one.answer.Number) })
}

func (s *searchState) countWindow() int {
	sum := 0
	for _, count := range s.taken {
		sum += count
	}
	return sum
}

// search explores all histories, and gives the most operations in any window and the number of states. It stops at the first window that
// exceeds the rule.
func search(gateways int, mayReadd bool, disabled guard) (most, states int) {
	waiting := []*searchState{newSearchState(gateways, mayReadd, disabled)}
	seen := map[string]struct{}{waiting[0].key(): {}}
	for len(waiting) > 0 {
		last := waiting[len(waiting)-1]
		waiting = waiting[:len(waiting)-1]
		for _, next := range last.successors() {
			if most = max(most, next.inWindow); most > searchMost {
				return most, len(seen)
			}
			key := next.key()
			if _, known := seen[key]; known {
				continue
			}
			seen[key] = struct{}{}
			waiting = append(waiting, next)
		}
	}
	return most, len(seen)
}

// QUOTA: in no history of the small model does a window hold more than the rule allows, and in some history a window reaches it.
func TestNoHistoryOfASmallModelExceedsTheRule(t *testing.T) {
	for _, mayReadd := range []bool{false, true} {
		most, states := search(2, mayReadd, "")
		if most != searchMost {
			t.Fatalf("%d operations in a window, the rule allows %d, which a history can reach", most, searchMost)
		}
		t.Logf("%d states", states)
	}
}

// The search must find a violation for each guard that is disabled.
func TestSearchDetectsEachDisabledGuard(t *testing.T) {
	for _, disabled := range searchGuards {
		t.Run(string(disabled), func(t *testing.T) {
			t.Parallel()
			most, states := search(2, disabled == guardEmptyReadd, disabled)
			if most <= searchMost {
				t.Fatalf("no window above the rule in %d states", states)
			}
			t.Logf("%d states", states)
		})
	}
}
