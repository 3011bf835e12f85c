package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// reserveHarness is an allocator with one tenant, and the budgets of gateways that ask it.
type reserveHarness struct {
	*testing.T
	allocator *Allocator
	now       time.Duration
	budgets   map[string]*Budget // by gateway
}

func newReserveHarness(t *testing.T, limit Limit) *reserveHarness {
	h := &reserveHarness{T: t, budgets: map[string]*Budget{}}
	h.replaceAllocator(1, limit)
	h.now = reserveLife + reserveMargin // reserves of earlier allocators have ended
	return h
}

// replaceAllocator has an allocator take over that opens now.
func (h *reserveHarness) replaceAllocator(id uint64, limit Limit) {
	h.allocator = NewAllocator(id, h.now, usualRules)
	h.allocator.SetLimits(h.now, []Limit{limit})
}

func (h *reserveHarness) budget(name string) *Budget {
	if h.budgets[name] == nil {
		h.budgets[name] = newLimitedBudget()
	}
	return h.budgets[name]
}

// ask sends a gateway's request, if one is due, and applies the answer.
func (h *reserveHarness) ask(name string) {
	request, due := h.budget(name).NextRequest(h.now)
	if !due {
		return
	}
	request.Gateway = name
	h.budget(name).ApplyAnswer(h.now, h.allocator.Answer(h.now, request))
}

// runOperations has operations arrive at a gateway, which asks for grants when it needs them, and counts those that begin.
func (h *reserveHarness) runOperations(name string, count int) int {
	began := 0
	for range count {
		result := h.budget(name).Take(h.now, "bakers")
		if result == NeedsGrant {
			h.budget(name).AddWaiter("bakers")
			h.ask(name)
			result = h.budget(name).RetryTake(h.now, "bakers")
			h.budget(name).RemoveWaiter("bakers")
		}
		if result == Taken {
			began++
		}
	}
	return began
}

// serve lets time pass with the given number of operations per second at each gateway. None may be refused.
func (h *reserveHarness) serve(length time.Duration, perSecond int, names ...string) {
	step := time.Second / time.Duration(perSecond)
	for end := h.now + length; h.now < end; h.now += step {
		for _, name := range names {
			if h.runOperations(name, 1) != 1 {
				h.Fatalf("%v: refused below the limit", h.now)
			}
			h.ask(name)
		}
	}
}

var tenPerSecond = Limit{Tenant: "bakers", RatePerS: 10, Burst: 10}

// Refused below the limit: gateways had no operations to begin while the primary was replaced.
func TestReserveOutlastsTheLossOfTheAllocator(t *testing.T) {
	is := is.New(t)
	h := newReserveHarness(t, tenPerSecond)
	h.serve(10*time.Second, 2, "a", "b")
	lostAt := h.now
	began := 0
	for ; h.now < lostAt+1500*time.Millisecond; h.now += 500 * time.Millisecond {
		for _, name := range []string{"a", "b"} {
			if h.budget(name).Take(h.now, "bakers") == Taken {
				began++
			}
		}
	}
	is.Equal(began, 6)
	h.now = lostAt + reserveLife
	is.Equal(h.budget("a").Take(h.now, "bakers"), NeedsGrant)
}

// QUOTA: what gateways hold in reserve never exceeds the reserve of the limit, also when gateways stop and allocators are replaced.
func TestReservesAreBounded(t *testing.T) {
	is := is.New(t)
	h := newReserveHarness(t, tenPerSecond)
	maxReserve := parametersFor(tenPerSecond, usualRules).maxReserve
	sum := func() int {
		held := 0
		for _, budget := range h.budgets {
			budget.accounts["bakers"].dropExpired(h.now)
			held += budget.accounts["bakers"].held
		}
		return held
	}
	names := []string{"a", "b", "c", "d", "e"}
	for allocator := uint64(2); allocator < 8; allocator++ {
		for range 40 {
			h.now += 100 * time.Millisecond
			for _, name := range names {
				h.budget(name).Take(h.now, "bakers") // demand far above the limit
				h.ask(name)
				is.True(sum() <= maxReserve)
			}
		}
		h.budget(names[0]).RequestFailed()
		names = append(names[1:], names[0]+"'") // a gateway stops; its reserve hasn't ended yet
		h.replaceAllocator(allocator, tenPerSecond)
	}
	is.True(sum() > 0)
}

// QUOTA: a new allocator granted in reserve what gateways still held by grants of an earlier one.
func TestNewAllocatorReservesNothingThatMayStillBeHeld(t *testing.T) {
	is := is.New(t)
	h := newReserveHarness(t, tenPerSecond)
	h.serve(10*time.Second, 3, "a", "b")
	heldByB := h.budget("b").accounts["bakers"].held
	is.True(heldByB > 0)
	h.replaceAllocator(2, tenPerSecond)
	openedAt := h.now
	maxReserve := parametersFor(tenPerSecond, usualRules).maxReserve
	for ; h.now < openedAt+reserveLife-100*time.Millisecond; h.now += 100 * time.Millisecond {
		h.ask("a")
		is.True(h.budget("a").accounts["bakers"].held <= maxReserve-heldByB)
	}
	is.True(h.budget("a").accounts["bakers"].held > 0) // what it held is renewed
}

// QUOTA: a delayed request was taken for the newest report of its gateway.
func TestStaleRequestChangesNothing(t *testing.T) {
	is := is.New(t)
	h := newReserveHarness(t, tenPerSecond)
	h.now += 10 * time.Second
	newer := Request{Gateway: "a", Number: 5, Bank: 1, Wants: []Want{{Tenant: "bakers", Reserve: 4}}}
	is.Equal(h.allocator.Answer(h.now, newer).Grants[0].Reserved, 4)
	older := Request{Gateway: "a", Number: 4, Bank: 1, Wants: []Want{{Tenant: "bakers", Operations: 1, Held: 0}}}
	is.Equal(len(h.allocator.Answer(h.now, older).Grants), 0)
	is.Equal(h.allocator.buckets["bakers"].reserves.byGateway["a"].operations, 4)
}

// QUOTA: gateways kept their reserves after the limit was lowered.
func TestReservesShrinkWithTheLimit(t *testing.T) {
	is := is.New(t)
	h := newReserveHarness(t, Limit{Tenant: "bakers", RatePerS: 100, Burst: 100})
	h.serve(10*time.Second, 20, "a", "b")
	before := h.budget("a").accounts["bakers"].held
	h.allocator.SetLimits(h.now, []Limit{{Tenant: "bakers", RatePerS: 1, Burst: 1}})
	h.now += time.Second + reservePause
	h.ask("a")
	h.ask("b")
	maxReserve := parametersFor(Limit{RatePerS: 1, Burst: 1}, usualRules).maxReserve
	held := h.budget("a").accounts["bakers"].held + h.budget("b").accounts["bakers"].held
	is.True(before > maxReserve)
	is.True(held <= maxReserve)
}

// heldBy is how many operations a gateway may still begin from its reserve.
func (h *reserveHarness) heldBy(name string) int {
	account := h.budget(name).accounts["bakers"]
	account.dropExpired(h.now)
	return account.held
}

// fillReserve has a gateway count demand and ask for a reserve, as if all its operations failed before they are taken out.
func (h *reserveHarness) fillReserve(name string, length time.Duration) {
	for end := h.now + length; h.now < end; h.now += 100 * time.Millisecond {
		h.budget(name).accounts["bakers"].countDemand(h.now)
		h.ask(name)
	}
}

// QUOTA: a tenant was removed and added again, and an outdated report of one gateway was taken off what other gateways held.
func TestReaddedTenantGetsNoReserveThatMayStillBeHeld(t *testing.T) {
	is := is.New(t)
	h := newReserveHarness(t, tenPerSecond)
	maxReserve := parametersFor(tenPerSecond, usualRules).maxReserve
	h.now += 10 * time.Second
	h.fillReserve("a", time.Second)
	delayed := Request{Gateway: "a", Number: 100, Bank: 1, Wants: []Want{{Tenant: "bakers", Held: h.heldBy("a")}}}
	h.fillReserve("b", reserveLife+4*time.Second)
	is.Equal(h.heldBy("a"), 0)
	is.True(h.heldBy("b") > maxReserve/2)
	h.allocator.SetLimits(h.now, nil)
	h.allocator.SetLimits(h.now, []Limit{tenPerSecond})
	h.allocator.Answer(h.now, delayed)
	h.now += 2 * time.Second
	next := Request{Gateway: "a", Number: 101, Bank: 1, Wants: []Want{{Tenant: "bakers", Reserve: maxReserve}}}
	reserved := h.allocator.Answer(h.now, next).Grants[0].Reserved
	is.True(reserved+h.heldBy("b") <= maxReserve)
}

// QUOTA: a limit was lowered before another allocator took over, and raised afterwards: what was still held under the first limit was
// granted again.
func TestNewAllocatorCountsReservesOfAHigherLimit(t *testing.T) {
	is := is.New(t)
	h := newReserveHarness(t, tenPerSecond)
	maxReserve := parametersFor(tenPerSecond, usualRules).maxReserve
	h.now += 10 * time.Second
	h.fillReserve("b", 6*time.Second)
	is.True(h.heldBy("b") > maxReserve/2)
	h.replaceAllocator(2, Limit{Tenant: "bakers"})
	h.allocator.SetLimits(h.now, []Limit{tenPerSecond})
	for range 20 {
		h.fillReserve("a", 100*time.Millisecond)
		is.True(h.heldBy("a")+h.heldBy("b") <= maxReserve)
	}
}

// QUOTA: a gateway whose monotonic clock is a little slow used a reserve that the allocator had granted to another one.
func TestReserveIsCountedForLongerThanASlowClockUsesIt(t *testing.T) {
	is := is.New(t)
	h := newReserveHarness(t, tenPerSecond)
	h.now += 10 * time.Second
	h.fillReserve("a", 3*time.Second)
	sentAt := h.budget("a").sentAt
	reserves := h.allocator.buckets["bakers"].reserves
	h.now = sentAt + reserveLife + reserveLife/100
	is.True(reserves.room(h.now, "b", 0) < 0)
	h.now = sentAt + reserveLife + reserveLife/20
	is.Equal(reserves.room(h.now, "b", 0), 0)
}

// QUOTA: a gateway that had just been refused reported a reserve that had ended, and the allocator took it off what others may hold.
func TestRefusedGatewayReportsOnlyWhatItHolds(t *testing.T) {
	is := is.New(t)
	budget := newLimitedBudget()
	is.Equal(budget.Take(0, "bakers"), NeedsGrant)
	_, due := budget.NextRequest(0)
	is.True(due)
	budget.ApplyAnswer(0, Answer{Number: 1, Grants: []Grant{{Tenant: "bakers", Reserved: 3, ReserveLife: reserveLife}}})
	for range 5 {
		budget.AddWaiter("bakers")
	}
	refusedAt := reserveLife - reservePause
	_, due = budget.NextRequest(refusedAt)
	is.True(due)
	budget.ApplyAnswer(refusedAt, Answer{Number: 2, Grants: []Grant{{Tenant: "bakers", Keep: 3, RetryAfter: maxRetry}}})
	request, due := budget.NextRequest(reserveLife)
	is.True(due)
	is.Equal(request.Wants[0].Held, 0)
}
