package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// reserveWorld is a bank with one tenant, and gateways that ask it.
type reserveWorld struct {
	*testing.T
	bank     *Allocator
	now      time.Duration
	gateways map[string]*Budget
}

func newReserveWorld(t *testing.T, limit Limit) *reserveWorld {
	w := &reserveWorld{T: t, gateways: map[string]*Budget{}}
	w.follow(1, limit)
	w.now = reserveLife + reserveMargin // nothing is left of earlier banks
	return w
}

// follow has a bank take over that opens now.
func (w *reserveWorld) follow(id uint64, limit Limit) {
	w.bank = NewAllocator(id, w.now, usualRules)
	w.bank.SetLimits(w.now, []Limit{limit})
}

func (w *reserveWorld) purse(name string) *Budget {
	if w.gateways[name] == nil {
		w.gateways[name] = newLimitedPurse()
	}
	return w.gateways[name]
}

// ask has a gateway ask, if it has a reason to.
func (w *reserveWorld) ask(name string) {
	request, due := w.purse(name).NextRequest(w.now)
	if !due {
		return
	}
	request.Gateway = name
	w.purse(name).ApplyAnswer(w.now, w.bank.Answer(w.now, request))
}

// operate has operations arrive at a gateway, which asks between them, and counts those that begin.
func (w *reserveWorld) operate(name string, count int) int {
	began := 0
	for range count {
		verdict := w.purse(name).Take(w.now, "bakers")
		if verdict == NeedsGrant {
			w.purse(name).AddWaiter("bakers")
			w.ask(name)
			verdict = w.purse(name).RetryTake(w.now, "bakers")
			w.purse(name).RemoveWaiter("bakers")
		}
		if verdict == Taken {
			began++
		}
	}
	return began
}

// live lets time pass, with so many operations a second at each gateway.
func (w *reserveWorld) live(length time.Duration, perSecond int, names ...string) {
	step := time.Second / time.Duration(perSecond)
	for end := w.now + length; w.now < end; w.now += step {
		for _, name := range names {
			if w.operate(name, 1) != 1 {
				w.Fatalf("%v: refused far below the limit", w.now)
			}
			w.ask(name)
		}
	}
}

var tenPerSecond = Limit{Tenant: "bakers", RatePerS: 10, Burst: 10}

// Refused below the limit: gateways had nothing while the primary was replaced.
func TestReserveOutlastsTheLossOfTheBank(t *testing.T) {
	is := is.New(t)
	w := newReserveWorld(t, tenPerSecond)
	w.live(10*time.Second, 2, "a", "b")
	lost := w.now
	began := 0
	for ; w.now < lost+1500*time.Millisecond; w.now += 500 * time.Millisecond {
		for _, name := range []string{"a", "b"} {
			if w.purse(name).Take(w.now, "bakers") == Taken {
				began++
			}
		}
	}
	is.Equal(began, 6)
	w.now = lost + reserveLife
	is.Equal(w.purse("a").Take(w.now, "bakers"), NeedsGrant)
}

// QUOTA: what gateways hold in reserve is never more than the bank may lend, also where one is gone or a bank follows another.
func TestReservesAreBounded(t *testing.T) {
	is := is.New(t)
	w := newReserveWorld(t, tenPerSecond)
	most := termsOf(tenPerSecond, usualRules).reserve
	sum := func() int {
		held := 0
		for _, purse := range w.gateways {
			purse.accounts["bakers"].dropEnded(w.now)
			held += purse.accounts["bakers"].held
		}
		return held
	}
	names := []string{"a", "b", "c", "d", "e"}
	for bank := uint64(2); bank < 8; bank++ {
		for range 40 {
			w.now += 100 * time.Millisecond
			for _, name := range names {
				w.purse(name).Take(w.now, "bakers") // a demand that is far beyond the limit
				w.ask(name)
				is.True(sum() <= most)
			}
		}
		w.purse(names[0]).RequestFailed()
		names = append(names[1:], names[0]+"'") // a gateway is gone, its reserve isn't yet
		w.follow(bank, tenPerSecond)
	}
	is.True(sum() > 0)
}

// QUOTA: a later bank lent what gateways still held by the grants of an earlier one.
func TestLaterBankLendsNothingThatMayStillBeHeld(t *testing.T) {
	is := is.New(t)
	w := newReserveWorld(t, tenPerSecond)
	w.live(10*time.Second, 3, "a", "b")
	heldBySilent := w.purse("b").accounts["bakers"].held
	is.True(heldBySilent > 0)
	w.follow(2, tenPerSecond)
	opened := w.now
	most := termsOf(tenPerSecond, usualRules).reserve
	for ; w.now < opened+reserveLife-100*time.Millisecond; w.now += 100 * time.Millisecond {
		w.ask("a")
		is.True(w.purse("a").accounts["bakers"].held <= most-heldBySilent)
	}
	is.True(w.purse("a").accounts["bakers"].held > 0) // what it had is renewed
}

// QUOTA: a request that came late counted as the newest word of its gateway.
func TestOvertakenRequestChangesNothing(t *testing.T) {
	is := is.New(t)
	w := newReserveWorld(t, tenPerSecond)
	w.now += 10 * time.Second
	newer := Request{Gateway: "a", Number: 5, Bank: 1, Wants: []Want{{Tenant: "bakers", Reserve: 4}}}
	is.Equal(w.bank.Answer(w.now, newer).Grants[0].Reserved, 4)
	older := Request{Gateway: "a", Number: 4, Bank: 1, Wants: []Want{{Tenant: "bakers", Operations: 1, Held: 0}}}
	is.Equal(len(w.bank.Answer(w.now, older).Grants), 0)
	is.Equal(w.bank.buckets["bakers"].reserves.byGateway["a"].operations, 4)
}

// QUOTA: reserves of a limit that was lowered stayed.
func TestReservesShrinkWithTheLimit(t *testing.T) {
	is := is.New(t)
	w := newReserveWorld(t, Limit{Tenant: "bakers", RatePerS: 100, Burst: 100})
	w.live(10*time.Second, 20, "a", "b")
	before := w.purse("a").accounts["bakers"].held
	w.bank.SetLimits(w.now, []Limit{{Tenant: "bakers", RatePerS: 1, Burst: 1}})
	w.now += time.Second + reservePause
	w.ask("a")
	w.ask("b")
	most := termsOf(Limit{RatePerS: 1, Burst: 1}, usualRules).reserve
	held := w.purse("a").accounts["bakers"].held + w.purse("b").accounts["bakers"].held
	is.True(before > most)
	is.True(held <= most)
}

// heldBy is what a gateway may still begin of its reserve.
func (w *reserveWorld) heldBy(name string) int {
	account := w.purse(name).accounts["bakers"]
	account.dropEnded(w.now)
	return account.held
}

// hoard has a gateway ask on and on, whose operations all fail before they are taken out.
func (w *reserveWorld) hoard(name string, length time.Duration) {
	for end := w.now + length; w.now < end; w.now += 100 * time.Millisecond {
		w.purse(name).accounts["bakers"].count(w.now)
		w.ask(name)
	}
}

// QUOTA: a tenant was taken out and came back, and what a gateway had held long before was taken off what others held.
func TestTenantThatComesBackIsLentNothingThatMayStillBeHeld(t *testing.T) {
	is := is.New(t)
	w := newReserveWorld(t, tenPerSecond)
	most := termsOf(tenPerSecond, usualRules).reserve
	w.now += 10 * time.Second
	w.hoard("a", time.Second)
	delayed := Request{Gateway: "a", Number: 100, Bank: 1, Wants: []Want{{Tenant: "bakers", Held: w.heldBy("a")}}}
	w.hoard("b", reserveLife+4*time.Second)
	is.Equal(w.heldBy("a"), 0)
	is.True(w.heldBy("b") > most/2)
	w.bank.SetLimits(w.now, nil)
	w.bank.SetLimits(w.now, []Limit{tenPerSecond})
	w.bank.Answer(w.now, delayed)
	w.now += 2 * time.Second
	next := Request{Gateway: "a", Number: 101, Bank: 1, Wants: []Want{{Tenant: "bakers", Reserve: most}}}
	lent := w.bank.Answer(w.now, next).Grants[0].Reserved
	is.True(lent+w.heldBy("b") <= most)
}

// QUOTA: a limit was lowered before a later bank took over, and raised after it: what was held by the first limit was lent again.
func TestLaterBankCountsWhatWasLentByAHigherLimit(t *testing.T) {
	is := is.New(t)
	w := newReserveWorld(t, tenPerSecond)
	most := termsOf(tenPerSecond, usualRules).reserve
	w.now += 10 * time.Second
	w.hoard("b", 6*time.Second)
	is.True(w.heldBy("b") > most/2)
	w.follow(2, Limit{Tenant: "bakers"})
	w.bank.SetLimits(w.now, []Limit{tenPerSecond})
	for range 20 {
		w.hoard("a", 100*time.Millisecond)
		is.True(w.heldBy("a")+w.heldBy("b") <= most)
	}
}

// QUOTA: a gateway whose steady clock is a little slow used a reserve that the bank had lent to another one.
func TestReserveIsCountedLongerThanAnyClockMayTakeIt(t *testing.T) {
	is := is.New(t)
	w := newReserveWorld(t, tenPerSecond)
	w.now += 10 * time.Second
	w.hoard("a", 3*time.Second)
	asked := w.purse("a").askedAt
	lent := w.bank.buckets["bakers"].reserves
	w.now = asked + reserveLife + reserveLife/100
	is.True(lent.room(w.now, "b", 0) < 0)
	w.now = asked + reserveLife + reserveLife/20
	is.Equal(lent.room(w.now, "b", 0), 0)
}

// QUOTA: a gateway that was refused a moment before told a bank that it held what had ended, which the bank took off what others may hold.
func TestRefusedGatewayTellsOnlyWhatItHolds(t *testing.T) {
	is := is.New(t)
	purse := newLimitedPurse()
	is.Equal(purse.Take(0, "bakers"), NeedsGrant)
	_, due := purse.NextRequest(0)
	is.True(due)
	purse.ApplyAnswer(0, Answer{Number: 1, Grants: []Grant{{Tenant: "bakers", Reserved: 3, ReserveLife: reserveLife}}})
	for range 5 {
		purse.AddWaiter("bakers")
	}
	refusedAt := reserveLife - reservePause
	_, due = purse.NextRequest(refusedAt)
	is.True(due)
	purse.ApplyAnswer(refusedAt, Answer{Number: 2, Grants: []Grant{{Tenant: "bakers", Keep: 3, RetryAfter: longestRetry}}})
	request, due := purse.NextRequest(reserveLife)
	is.True(due)
	is.Equal(request.Wants[0].Held, 0)
}
