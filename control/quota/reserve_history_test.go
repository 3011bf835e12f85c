package quota

import (
	"math"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// historyStep is how often a gateway checks whether a request is due.
const historyStep = 100 * time.Millisecond

// history runs gateways with allocators that replace each other, and injects faults.
type history struct {
	*rapid.T
	now        time.Duration
	limit      Limit
	allocator  *Allocator
	allocators uint64 // so far
	gateways   []*testGateway
	started    int // gateway processes so far
	taken      takenTimes
	highest    Limit // the highest rate and burst of any limit so far
	maxReserve int   // the most that any limit has allowed
}

func newHistory(t *rapid.T) *history {
	h := &history{T: t, limit: drawLimit(t)}
	h.highest, h.maxReserve = h.limit, parametersFor(h.limit, usualRules).maxReserve
	for range 4 {
		h.gateways = append(h.gateways, h.newGateway())
	}
	h.replaceAllocator()
	return h
}

func drawLimit(t *rapid.T) Limit {
	return Limit{
		Tenant:   "bakers",
		RatePerS: float64(rapid.IntRange(1, 60).Draw(t, "rate")),
		Burst:    float64(rapid.IntRange(0, 60).Draw(t, "burst")),
	}
}

func (h *history) newGateway() *testGateway {
	h.started++
	return &testGateway{budget: newLimitedBudget(), name: strconv.Itoa(h.started)}
}

// replaceAllocator has another allocator take over.
func (h *history) replaceAllocator() {
	h.allocators++
	later := time.Duration(rapid.IntRange(0, 500).Draw(h.T, "opens")) * time.Millisecond
	h.allocator = NewAllocator(h.allocators, h.now+GrantLife+later, usualRules)
	h.allocator.SetLimits(h.now, []Limit{h.limit})
}

// changeLimit sets another limit, sometimes together with another allocator.
func (h *history) changeLimit() {
	next := drawLimit(h.T)
	h.highest.RatePerS = max(h.highest.RatePerS, next.RatePerS)
	h.highest.Burst = max(h.highest.Burst, next.Burst)
	h.maxReserve = max(h.maxReserve, parametersFor(next, usualRules).maxReserve)
	h.limit = next
	if rapid.Bool().Draw(h.T, "with another allocator") {
		h.replaceAllocator()
	}
	h.allocator.SetLimits(h.now, []Limit{next})
}

// injectFault replaces the allocator, restarts a gateway, changes the limit, removes the tenant for a moment, or does nothing.
func (h *history) injectFault() {
	switch rapid.IntRange(0, 5).Draw(h.T, "fault") {
	case 0:
		h.replaceAllocator()
	case 1:
		h.gateways[rapid.IntRange(0, len(h.gateways)-1).Draw(h.T, "restarts")] = h.newGateway()
	case 2:
		h.changeLimit()
	case 3: // the tenant is removed and added again
		h.allocator.SetLimits(h.now, nil)
		h.allocator.SetLimits(h.now, []Limit{h.limit})
	}
}

// serve lets time pass with up to the given number of operations in each step at each gateway.
func (h *history) serve(length time.Duration, perStep int) {
	for end := h.now + length; h.now < end; h.now += historyStep {
		for _, gateway := range h.gateways {
			for range rapid.IntRange(0, perStep).Draw(h.T, "operations") {
				h.runOperation(gateway)
			}
			h.ask(gateway)
			h.checkHeld()
		}
	}
}

// checkHeld checks how many operations all gateways together could begin now from their reserves.
func (h *history) checkHeld() {
	held := 0
	for _, gateway := range h.gateways {
		account := gateway.budget.accounts["bakers"]
		account.dropExpired(h.now)
		held += account.held
	}
	if held > h.maxReserve {
		h.Fatalf("%v: %d held in reserve, the limit allows %d", h.now, held, h.maxReserve)
	}
}

func (h *history) runOperation(gateway *testGateway) {
	result := gateway.budget.Take(h.now, "bakers")
	if result == NeedsGrant {
		gateway.budget.AddWaiter("bakers")
		h.ask(gateway)
		result = gateway.budget.RetryTake(h.now, "bakers")
		gateway.budget.RemoveWaiter("bakers")
	}
	if result == Taken {
		h.taken = append(h.taken, h.now)
	}
}

// ask sends the request that is due. One answer in ten is lost.
func (h *history) ask(gateway *testGateway) {
	request, due := gateway.budget.NextRequest(h.now)
	if !due {
		return
	}
	request.Gateway = gateway.name
	answer := h.allocator.Answer(h.now, request)
	if rapid.IntRange(0, 9).Draw(h.T, "lost") == 0 {
		gateway.budget.RequestFailed()
		return
	}
	gateway.budget.ApplyAnswer(h.now, answer)
}

func (h *history) checkWindows(limit Limit, from time.Duration) {
	var checked takenTimes
	for _, at := range h.taken {
		if at >= from {
			checked = append(checked, at)
		}
	}
	allowed := (limit.RatePerS*usualRules.Window.Seconds()+limit.Burst)*(1+usualRules.Overrun) + usualRules.Slack
	if found := checked.mostInWindow(usualRules.Window); float64(found) > math.Floor(allowed) {
		h.Fatalf("%d operations in a window from %v on, the rule allows %v", found, from, allowed)
	}
}

// QUOTA: gateways with full reserves met a sudden demand while allocators, processes and limits changed, and a window exceeded the rule.
func TestFullReservesStayWithinTheRuleUnderSuddenDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		for range rapid.IntRange(1, 3).Draw(t, "phases") {
			h.serve(time.Duration(rapid.IntRange(1, 6).Draw(t, "rest"))*time.Second, 1)
			h.injectFault()
			for range rapid.IntRange(1, 3).Draw(t, "hot phases") {
				h.serve(time.Duration(rapid.IntRange(1, 20).Draw(t, "hot"))*historyStep, rapid.IntRange(2, 15).Draw(t, "heat"))
				h.injectFault()
			}
		}
		h.checkWindows(h.highest, 0)
		changedAt := h.now
		h.serve(reserveLife+2*time.Second, 4)
		h.checkWindows(h.limit, changedAt+reserveLife)
	})
}

// Refused below the limit: while there was no allocator for two seconds, gateways of a steady tenant had no operations to begin.
func TestSteadyTenantIsHardlyRefusedWhileTheAllocatorIsLost(t *testing.T) {
	limit := Limit{Tenant: "bakers", RatePerS: 30, Burst: 30}
	asked, refused := 0, 0
	for seed := range 20 {
		allocator := NewAllocator(1, 0, usualRules)
		allocator.SetLimits(0, []Limit{limit})
		gateways := make([]*Budget, 5)
		for index := range gateways {
			gateways[index] = newLimitedBudget()
		}
		lostAt := 10*time.Second + time.Duration(seed)*170*time.Millisecond
		opensAt := lostAt + 2*time.Second
		for now := time.Duration(0); now < 20*time.Second; now += historyStep {
			if now >= opensAt && allocator.id == 1 {
				allocator = NewAllocator(2, opensAt, usualRules)
				allocator.SetLimits(opensAt, []Limit{limit})
			}
			isLost := now >= lostAt && now < opensAt
			for index, budget := range gateways {
				ask := func() {
					request, due := budget.NextRequest(now)
					request.Gateway = strconv.Itoa(index)
					switch {
					case due && isLost:
						budget.RequestFailed()
					case due:
						budget.ApplyAnswer(now, allocator.Answer(now, request))
					}
				}
				if (int(now/historyStep)+index)%5 == 0 { // two per second at each gateway, a third of the limit
					result := budget.Take(now, "bakers")
					if result == NeedsGrant {
						budget.AddWaiter("bakers")
						ask()
						result = budget.RetryTake(now, "bakers")
						budget.RemoveWaiter("bakers")
					}
					if now > 5*time.Second {
						asked++
						if result != Taken {
							refused++
						}
					}
				}
				ask()
			}
		}
	}
	t.Logf("%d of %d refused", refused, asked)
	if refused*200 > asked {
		t.Fatalf("%d of %d refused", refused, asked)
	}
}
