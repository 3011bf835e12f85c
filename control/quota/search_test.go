package quota

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// The search plays all histories of a small world: gateways, one tenant and two terms of primaries. Time goes in ticks. Questions and answers
// may be lost, late, doubled or crossed; a process that stands still is one whose messages are late. Operations are judged from outside, by
// when they were taken out.

const (
	searchTick     = 100 * time.Millisecond
	searchLife     = 2 // ticks, of a grant
	searchWindow   = 2 // ticks, of the rule
	searchFresh    = 2 // ticks for which a deposed primary may grant
	searchCapacity = 1
	searchEnd      = 6 // ticks of a history
	searchWanted   = 2 // operations that wait at each gateway
	// searchMost is the capacity and what comes in while operations are granted that a closed window of ticks may hold: on a grid of ticks, the
	// last tick in which a grant is good comes one before its end.
	searchMost = searchCapacity + searchWindow + searchLife - 1
)

// without names a guard that the search takes out.
type without string

const (
	grantsLast      without = "the life of a grant"
	countedLate     without = "counting the life from the asking"
	laterBankFull   without = "the empty start of a later bank"
	opensAtOnce     without = "the opening time of a later bank"
	grantsDeposed   without = "the fresh confirmation of a primary"
	bookedTwice     without = "one booking of an answer"
	capacityAlone   without = "the life in the capacity"
	forgottenIsFull without = "the empty start of a tenant that comes back"
)

var searchGuards = []without{grantsLast, countedLate, laterBankFull, opensAtOnce, grantsDeposed, bookedTwice, capacityAlone, forgottenIsFull}

// foundInOneTerm are guards that are missed also where no primary follows: without one there is less to search.
var foundInOneTerm = map[without]bool{grantsLast: true, countedLate: true, capacityAlone: true, bookedTwice: true, forgottenIsFull: true}

// sentRequest and sentAnswer are on their way, and stay so after they have come: they may come again.
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

// smallWorld is one moment of a history.
type smallWorld struct {
	tick     int
	purses   []*Budget
	banks    []*Allocator // by term
	deposed  int          // the tick in which the second term began; 0: it hasn't
	forgets  bool         // the tenant may be taken out of the configuration and come back, once
	requests []sentRequest
	answers  []sentAnswer
	taken    []int // operations by tick, of the last ones that a window can hold
	most     int   // operations in the window that ended with the last tick
	lacks    without
	alone    bool // there is only one term
}

func (w *smallWorld) now() time.Duration { return time.Duration(w.tick) * searchTick }

func (w *smallWorld) bank(opensAt time.Duration) *Allocator {
	bank := NewAllocator(1, opensAt, Rules{})
	one := &bucket{filledAt: max(w.now(), opensAt)}
	one.terms = terms{rate: 1 / searchTick.Seconds(), capacity: searchCapacity, life: searchLife * searchTick}
	if w.lacks == capacityAlone {
		one.capacity += searchLife
	}
	bank.buckets["t"] = one
	return bank
}

func newSmallWorld(gateways int, forgets bool, lacks without) *smallWorld {
	w := &smallWorld{forgets: forgets, lacks: lacks, alone: foundInOneTerm[lacks], taken: make([]int, searchWindow+1)}
	for range gateways {
		w.purses = append(w.purses, newSearchPurse())
	}
	first := w.bank(0)
	first.buckets["t"].level = first.buckets["t"].capacity // as after a long rest
	w.banks = []*Allocator{first}
	return w
}

func newSearchPurse() *Budget {
	purse := NewBudget()
	purse.SetLimitedTenants([]string{"t"})
	for range searchWanted {
		purse.AddWaiter("t")
	}
	return purse
}

func (w *smallWorld) copied() *smallWorld {
	next := *w
	next.purses = make([]*Budget, 0, len(w.purses))
	for _, purse := range w.purses {
		own, held := *purse, *purse.accounts["t"]
		held.lots = slices.Clone(held.lots)
		own.accounts = map[string]*account{"t": &held}
		next.purses = append(next.purses, &own)
	}
	next.requests, next.answers, next.taken = slices.Clone(w.requests), slices.Clone(w.answers), slices.Clone(w.taken)
	return &next
}

// own gives a bank that may be changed, which moments share otherwise.
func (w *smallWorld) own(term int) *Allocator {
	own, level := *w.banks[term], *w.banks[term].buckets["t"]
	own.buckets = map[string]*bucket{"t": &level}
	w.banks = slices.Clone(w.banks)
	w.banks[term] = &own
	return &own
}

// key tells moments apart from which the same may follow. Times are told as of now; the gateways' order doesn't matter.
func (w *smallWorld) key() string {
	var gateways []string
	for index, purse := range w.purses {
		text := []byte{mark(purse.asking), byte((w.now() - purse.askedAt) / searchTick)}
		for _, kept := range purse.accounts["t"].lots {
			text = append(text, byte(kept.operations), byte((kept.until-w.now())/searchTick))
		}
		text = append(text, '/')
		for _, sent := range w.requests {
			if sent.gateway == index {
				text = append(text, byte(sent.age), byte(sent.request.Wants[0].Operations), '?')
			}
		}
		var answers []string
		for _, sent := range w.answers {
			if sent.gateway == index {
				isDue := mark(sent.answer.Number == purse.number)
				answers = append(answers, string([]byte{byte(sent.age), byte(sent.answer.Grants[0].Operations), isDue}))
			}
		}
		slices.Sort(answers)
		gateways = append(gateways, string(text)+strings.Join(answers, "!"))
	}
	slices.Sort(gateways)
	text := []byte{byte(w.tick), byte(w.deposed), mark(w.forgets)}
	for _, count := range w.taken {
		text = append(text, byte(count))
	}
	for _, bank := range w.banks {
		one := *bank.buckets["t"]
		one.fill(w.now())
		text = append(text, byte(one.level*10+0.5), byte(max(0, one.filledAt-w.now())/searchTick))
	}
	return string(text) + strings.Join(gateways, "|")
}

func mark(flag bool) byte {
	if flag {
		return 'y'
	}
	return 'n'
}

// following gives all moments that one thing more leads to. Operations are taken out at the end of a tick.
func (w *smallWorld) following() []*smallWorld {
	all := w.passed()
	try := func(change func(next *smallWorld) bool) {
		if next := w.copied(); change(next) {
			all = append(all, next)
		}
	}
	for gateway, purse := range w.purses {
		if len(purse.accounts["t"].lots) > 0 {
			try(func(next *smallWorld) bool { return next.restart(gateway) })
		}
		if purse.asking {
			try(func(next *smallWorld) bool { return next.giveUp(gateway) })
		}
	}
	if w.mayTakeOver() {
		try((*smallWorld).takeOver)
	}
	if w.forgets {
		try((*smallWorld).forgetLimit)
	}
	for gateway, purse := range w.purses {
		if !purse.asking {
			try(func(next *smallWorld) bool { return next.ask(gateway) })
		}
	}
	for index := range w.requests {
		for term := range w.banks {
			if w.mayDecide(term) {
				try(func(next *smallWorld) bool { return next.decide(index, term) })
			}
		}
	}
	for index := range w.answers {
		try(func(next *smallWorld) bool { return next.book(index) })
	}
	return all
}

// passed gives the moments a tick later, after any number of operations was taken out at each gateway.
func (w *smallWorld) passed() []*smallWorld {
	if w.tick == searchEnd {
		return nil
	}
	ways := []*smallWorld{w.copied()}
	for gateway := range w.purses {
		for _, way := range ways {
			for way = way.copied(); way.take(gateway); way = way.copied() {
				ways = append(ways, way)
			}
		}
	}
	for _, way := range ways {
		way.pass()
	}
	return ways
}

func (w *smallWorld) ask(gateway int) bool {
	request, due := w.purses[gateway].NextRequest(w.now())
	w.requests = append(w.requests, sentRequest{gateway: gateway, request: request})
	return due
}

func (w *smallWorld) giveUp(gateway int) bool {
	was := w.purses[gateway].asking
	w.purses[gateway].RequestFailed()
	w.dropUseless()
	return was
}

func (w *smallWorld) take(gateway int) bool {
	taken := w.purses[gateway].RetryTake(w.now(), "t") == Taken
	if taken {
		w.taken[len(w.taken)-1]++
	}
	return taken
}

// restart loses what a gateway holds, and its connections.
func (w *smallWorld) restart(gateway int) bool {
	was := len(w.purses[gateway].accounts["t"].lots) > 0
	w.purses[gateway] = newSearchPurse()
	w.requests = slices.DeleteFunc(w.requests, func(one sentRequest) bool { return one.gateway == gateway })
	w.answers = slices.DeleteFunc(w.answers, func(one sentAnswer) bool { return one.gateway == gateway })
	return was
}

// mayDecide tells whether the primary of a term may answer. Few answers are on their way at a time, to bound the search.
func (w *smallWorld) mayDecide(term int) bool {
	isDeposed := w.deposed > 0 && term == 0
	isOver := isDeposed && w.tick >= w.deposed+searchFresh && w.lacks != grantsDeposed
	return !isOver && len(w.answers) < len(w.purses)
}

// decide has a primary answer a request.
func (w *smallWorld) decide(index, term int) bool {
	sent, bank := w.requests[index], w.own(term)
	answer := bank.Answer(w.now(), sent.request)
	grant := &answer.Grants[0]
	grant.RetryAfter = 0 // gateways may ask on
	if grant.Operations == 0 {
		return false
	}
	if w.lacks == grantsLast {
		grant.Life *= 2
	}
	bank.counts = Counts{}
	w.answers = append(w.answers, sentAnswer{gateway: sent.gateway, age: sent.age, answer: answer})
	return true
}

// book hands an answer over. It stays on its way, and so do those that other questions have brought.
func (w *smallWorld) book(index int) bool {
	sent := w.answers[index]
	purse := w.purses[sent.gateway]
	if w.lacks == bookedTwice {
		purse.asking, purse.number = true, sent.answer.Number
	}
	if w.lacks == countedLate {
		purse.askedAt = w.now()
	}
	before := len(purse.accounts["t"].lots)
	purse.ApplyAnswer(w.now(), sent.answer)
	w.dropUseless()
	return before != len(purse.accounts["t"].lots)
}

func (w *smallWorld) mayTakeOver() bool { return w.deposed == 0 && w.tick > 0 && !w.alone }

func (w *smallWorld) takeOver() bool {
	w.deposed = w.tick
	opensAt := w.now() + searchFresh*searchTick
	if w.lacks == opensAtOnce {
		opensAt = w.now()
	}
	second := w.bank(opensAt)
	if w.lacks == laterBankFull {
		second.buckets["t"].level = second.buckets["t"].capacity
	}
	w.banks = append(slices.Clone(w.banks), second)
	return true
}

// forgetLimit takes the tenant out of the configuration of the present primary, and brings it back.
func (w *smallWorld) forgetLimit() bool {
	w.forgets = false
	bank := w.own(len(w.banks) - 1)
	kept := bank.buckets["t"].terms
	bank.SetLimits(w.now(), nil)
	bank.SetLimits(w.now(), []Limit{{Tenant: "t"}})
	bank.buckets["t"].terms = kept
	if w.lacks == forgottenIsFull {
		bank.buckets["t"].level = kept.capacity
	}
	return true
}

// pass lets a tick pass.
func (w *smallWorld) pass() {
	w.tick++
	w.most = w.inWindow()
	w.taken = append(w.taken[1:], 0)
	for index := range w.requests {
		w.requests[index].age++
	}
	for index := range w.answers {
		w.answers[index].age++
	}
	for _, purse := range w.purses {
		purse.accounts["t"].dropEnded(w.now())
	}
	w.dropUseless()
}

// dropUseless leaves out, to bound the search, what can't be booked any more: it only takes from the bank.
func (w *smallWorld) dropUseless() {
	isUseless := func(gateway, age int, number uint64) bool {
		purse := w.purses[gateway]
		isOver := age >= searchLife && w.lacks != grantsLast && w.lacks != countedLate
		isOther := !(purse.asking && purse.number == number) && w.lacks != bookedTwice
		return isOver || isOther
	}
	w.requests = slices.DeleteFunc(w.requests, func(one sentRequest) bool { return isUseless(one.gateway, one.age, one.request.Number) })
	w.answers = slices.DeleteFunc(w.answers, func(one sentAnswer) bool { return isUseless(one.gateway, one.age, one.answer.Number) })
}

func (w *smallWorld) inWindow() int {
	sum := 0
	for _, count := range w.taken {
		sum += count
	}
	return sum
}

// search plays all histories, and gives the most operations in any window and how many moments there are. It stops at the first window above the rule.
func search(gateways int, forgets bool, lacks without) (most, moments int) {
	waiting := []*smallWorld{newSmallWorld(gateways, forgets, lacks)}
	seen := map[string]struct{}{waiting[0].key(): {}}
	for len(waiting) > 0 {
		last := waiting[len(waiting)-1]
		waiting = waiting[:len(waiting)-1]
		for _, next := range last.following() {
			if most = max(most, next.most); most > searchMost {
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

// QUOTA: in no history of a small world does a window hold more than the rule, and one reaches it.
func TestSearchOfSmallWorlds(t *testing.T) {
	for _, forgets := range []bool{false, true} {
		most, moments := search(2, forgets, "")
		if most != searchMost {
			t.Fatalf("%d operations in a window, %d are allowed and can be reached", most, searchMost)
		}
		t.Logf("%d moments", moments)
	}
}

// Each guard that is taken out is found.
func TestSearchFindsEachGuard(t *testing.T) {
	for _, guard := range searchGuards {
		t.Run(string(guard), func(t *testing.T) {
			t.Parallel()
			most, moments := search(2, guard == forgottenIsFull, guard)
			if most <= searchMost {
				t.Fatalf("not found in %d moments", moments)
			}
			t.Logf("%d moments", moments)
		})
	}
}
