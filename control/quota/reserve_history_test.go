package quota

import (
	"math"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// historyStep is the time between two looks of a gateway at its reserve.
const historyStep = 100 * time.Millisecond

// history is gateways and the banks that follow each other, with troubles.
type history struct {
	*rapid.T
	now      time.Duration
	limit    Limit
	bank     *Allocator
	banks    uint64
	gateways []*testGateway
	started  int
	taken    begun
	highest  Limit
	reserve  int // the most that any limit has allowed
}

func newHistory(t *rapid.T) *history {
	h := &history{T: t, limit: drawnLimit(t)}
	h.highest, h.reserve = h.limit, termsOf(h.limit, usualRules).reserve
	for range 4 {
		h.gateways = append(h.gateways, h.newGateway())
	}
	h.follow()
	return h
}

func drawnLimit(t *rapid.T) Limit {
	return Limit{
		Tenant:   "bakers",
		RatePerS: float64(rapid.IntRange(1, 60).Draw(t, "rate")),
		Burst:    float64(rapid.IntRange(0, 60).Draw(t, "burst")),
	}
}

func (h *history) newGateway() *testGateway {
	h.started++
	return &testGateway{purse: newLimitedPurse(), name: strconv.Itoa(h.started)}
}

// follow has another bank take over.
func (h *history) follow() {
	h.banks++
	later := time.Duration(rapid.IntRange(0, 500).Draw(h.T, "opens")) * time.Millisecond
	h.bank = NewAllocator(h.banks, h.now+GrantLife+later, usualRules)
	h.bank.SetLimits(h.now, []Limit{h.limit})
}

// change sets another limit.
func (h *history) change() {
	next := drawnLimit(h.T)
	h.highest.RatePerS = max(h.highest.RatePerS, next.RatePerS)
	h.highest.Burst = max(h.highest.Burst, next.Burst)
	h.reserve = max(h.reserve, termsOf(next, usualRules).reserve)
	h.limit = next
	if rapid.Bool().Draw(h.T, "with another bank") {
		h.follow()
	}
	h.bank.SetLimits(h.now, []Limit{next})
}

// trouble has something happen.
func (h *history) trouble() {
	switch rapid.IntRange(0, 5).Draw(h.T, "trouble") {
	case 0:
		h.follow()
	case 1:
		h.gateways[rapid.IntRange(0, len(h.gateways)-1).Draw(h.T, "restarts")] = h.newGateway()
	case 2:
		h.change()
	case 3: // the tenant is taken out and comes back
		h.bank.SetLimits(h.now, nil)
		h.bank.SetLimits(h.now, []Limit{h.limit})
	}
}

// live lets time pass with so many operations a step at each gateway.
func (h *history) live(length time.Duration, most int) {
	for end := h.now + length; h.now < end; h.now += historyStep {
		for _, gateway := range h.gateways {
			for range rapid.IntRange(0, most).Draw(h.T, "operations") {
				h.operate(gateway)
			}
			h.ask(gateway)
			h.checkHeld()
		}
	}
}

// checkHeld looks at what all gateways could begin at this moment of their reserves.
func (h *history) checkHeld() {
	held := 0
	for _, gateway := range h.gateways {
		kept := gateway.purse.accounts["bakers"]
		kept.dropEnded(h.now)
		held += kept.held
	}
	if held > h.reserve {
		h.Fatalf("%v: %d held in reserve, %d at the most", h.now, held, h.reserve)
	}
}

func (h *history) operate(gateway *testGateway) {
	verdict := gateway.purse.Take(h.now, "bakers")
	if verdict == NeedsGrant {
		gateway.purse.AddWaiter("bakers")
		h.ask(gateway)
		verdict = gateway.purse.RetryTake(h.now, "bakers")
		gateway.purse.RemoveWaiter("bakers")
	}
	if verdict == Taken {
		h.taken = append(h.taken, h.now)
	}
}

// ask asks the bank. One answer in ten is lost.
func (h *history) ask(gateway *testGateway) {
	request, due := gateway.purse.NextRequest(h.now)
	if !due {
		return
	}
	request.Gateway = gateway.name
	answer := h.bank.Answer(h.now, request)
	if rapid.IntRange(0, 9).Draw(h.T, "lost") == 0 {
		gateway.purse.RequestFailed()
		return
	}
	gateway.purse.ApplyAnswer(h.now, answer)
}

func (h *history) check(limit Limit, from time.Duration) {
	var judged begun
	for _, at := range h.taken {
		if at >= from {
			judged = append(judged, at)
		}
	}
	most := (limit.RatePerS*usualRules.Window.Seconds()+limit.Burst)*(1+usualRules.Overrun) + usualRules.Slack
	if found := judged.mostInWindow(usualRules.Window); float64(found) > math.Floor(most) {
		h.Fatalf("%d operations in a window from %v on, %v at the most", found, from, most)
	}
}

// QUOTA: gateways with full reserves met a sudden demand while banks, processes and limits changed, and a window held more than the rule.
func TestReservesThatAreFullWhenDemandComesStayWithinTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		for range rapid.IntRange(1, 3).Draw(t, "phases") {
			h.live(time.Duration(rapid.IntRange(1, 6).Draw(t, "rest"))*time.Second, 1)
			h.trouble()
			for range rapid.IntRange(1, 3).Draw(t, "hot phases") {
				h.live(time.Duration(rapid.IntRange(1, 20).Draw(t, "hot"))*historyStep, rapid.IntRange(2, 15).Draw(t, "heat"))
				h.trouble()
			}
		}
		h.check(h.highest, 0)
		changed := h.now
		h.live(reserveLife+2*time.Second, 4)
		h.check(h.limit, changed+reserveLife)
	})
}

// Refused below the limit: a bank that was lost for two seconds left gateways of a steady tenant without operations.
func TestSteadyTenantIsHardlyRefusedWhileABankIsLost(t *testing.T) {
	limit := Limit{Tenant: "bakers", RatePerS: 30, Burst: 30}
	asked, refused := 0, 0
	for seed := range 20 {
		bank := NewAllocator(1, 0, usualRules)
		bank.SetLimits(0, []Limit{limit})
		gateways := make([]*Budget, 5)
		for index := range gateways {
			gateways[index] = newLimitedPurse()
		}
		lostAt := 10*time.Second + time.Duration(seed)*170*time.Millisecond
		opensAt := lostAt + 2*time.Second
		for now := time.Duration(0); now < 20*time.Second; now += historyStep {
			if now >= opensAt && bank.id == 1 {
				bank = NewAllocator(2, opensAt, usualRules)
				bank.SetLimits(opensAt, []Limit{limit})
			}
			isLost := now >= lostAt && now < opensAt
			for index, purse := range gateways {
				ask := func() {
					request, due := purse.NextRequest(now)
					request.Gateway = strconv.Itoa(index)
					switch {
					case due && isLost:
						purse.RequestFailed()
					case due:
						purse.ApplyAnswer(now, bank.Answer(now, request))
					}
				}
				if (int(now/historyStep)+index)%5 == 0 { // two a second at each gateway, a third of the limit
					verdict := purse.Take(now, "bakers")
					if verdict == NeedsGrant {
						purse.AddWaiter("bakers")
						ask()
						verdict = purse.RetryTake(now, "bakers")
						purse.RemoveWaiter("bakers")
					}
					if now > 5*time.Second {
						asked++
						if verdict != Taken {
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
