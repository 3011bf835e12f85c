package quota

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var usualRules = Rules{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

// QUOTA: termsOf must leave no window that holds more than the rule, whatever the limit.
func TestTermsStayWithinTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			RatePerS: rapid.Float64Range(0, 5000).Draw(t, "rate"),
			Burst:    rapid.Float64Range(0, 10000).Draw(t, "burst"),
		}
		rules := Rules{
			Window:  time.Duration(rapid.Float64Range(0.5, 60).Draw(t, "window") * float64(time.Second)),
			Overrun: rapid.Float64Range(0, 1).Draw(t, "overrun"),
			Slack:   rapid.Float64Range(0, 100).Draw(t, "slack"),
		}
		chosen := termsOf(limit, rules)
		window := rules.Window.Seconds()
		most := (limit.RatePerS*window+limit.Burst)*(1+rules.Overrun) + rules.Slack
		life := chosen.life.Seconds()
		ample := chosen.capacity + float64(chosen.reserve) + chosen.rate*window + chosen.fullRate*life
		modest := chosen.capacity + float64(chosen.modest) + chosen.fullRate*(window+life)
		if ample > most+1e-6 || modest > most+1e-6 || chosen.modest > chosen.reserve {
			t.Fatalf("%+v under %+v: %+v", limit, rules, chosen)
		}
		if chosen.settle < rules.Window+chosen.life && chosen.fullRate > chosen.rate {
			t.Fatalf("the full rate comes too early: %+v", chosen)
		}
		if chosen.rate < 0 || chosen.capacity < 0 || chosen.life < 0 || chosen.reserve < 0 {
			t.Fatalf("negative: %+v", chosen)
		}
	})
}

// begun is when an operation was taken out of a purse.
type begun []time.Duration

// mostInWindow is the most operations in any window, which is closed at both ends.
func (b begun) mostInWindow(window time.Duration) int {
	most, first := 0, 0
	for last := range b {
		for b[last]-b[first] > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// QUOTA: gateways that ask one bank after another, whose answers are late or lost, and which stop and start again, stay within the rule.
func TestNoWindowHoldsMoreThanTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Tenant:   "bakers",
			RatePerS: float64(rapid.IntRange(1, 60).Draw(t, "rate")),
			Burst:    float64(rapid.IntRange(0, 60).Draw(t, "burst")),
		}
		bank := NewAllocator(1, 0, usualRules)
		bank.SetLimits(0, []Limit{limit})
		banks, processes := uint64(1), 3
		gateways := make([]*testGateway, 3)
		for index := range gateways {
			gateways[index] = &testGateway{purse: newLimitedPurse(), name: strconv.Itoa(index)}
		}
		var now time.Duration
		var taken begun
		steps := rapid.IntRange(50, 600).Draw(t, "steps")
		for range steps {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond
			gateway := gateways[rapid.IntRange(0, 2).Draw(t, "gateway")]
			switch rapid.IntRange(0, 40).Draw(t, "event") {
			case 0: // another bank follows
				banks++
				later := rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond}).Draw(t, "opens")
				bank = NewAllocator(banks, now+GrantLife+later, usualRules)
				bank.SetLimits(now, []Limit{limit})
			case 1:
				processes++
				*gateway = testGateway{purse: newLimitedPurse(), name: strconv.Itoa(processes)}
			default:
				taken = append(taken, takeMany(t, gateway, bank, now)...)
			}
		}
		most := (limit.RatePerS*usualRules.Window.Seconds()+limit.Burst)*(1+usualRules.Overrun) + usualRules.Slack
		if found := taken.mostInWindow(usualRules.Window); float64(found) > math.Floor(most) {
			t.Fatalf("%d operations in a window, %v at the most", found, most)
		}
	})
}

// testGateway is a gateway's process.
type testGateway struct {
	purse *Budget
	name  string
}

func newLimitedPurse() *Budget {
	purse := NewBudget()
	purse.SetLimitedTenants([]string{"bakers"})
	return purse
}

// takeMany lets operations arrive at a gateway, which asks the bank for what it lacks.
func takeMany(t *rapid.T, gateway *testGateway, bank *Allocator, now time.Duration) begun {
	purse := gateway.purse
	var taken begun
	for range rapid.IntRange(1, 30).Draw(t, "operations") {
		verdict := purse.Take(now, "bakers")
		if verdict == NeedsGrant {
			purse.AddWaiter("bakers")
			askBank(t, gateway, bank, now)
			verdict = purse.RetryTake(now, "bakers")
			purse.RemoveWaiter("bakers")
		}
		if verdict == Taken {
			taken = append(taken, now)
		}
	}
	askBank(t, gateway, bank, now) // for its reserve
	return taken
}

// askBank asks. The question may have been sent a while ago, and its answer may be lost.
func askBank(t *rapid.T, gateway *testGateway, bank *Allocator, now time.Duration) {
	purse := gateway.purse
	way := time.Duration(rapid.IntRange(0, 300).Draw(t, "way")) * time.Millisecond
	request, due := purse.NextRequest(max(0, now-way))
	if !due {
		return
	}
	request.Gateway = gateway.name
	answer := bank.Answer(now, request)
	if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
		purse.RequestFailed()
		return
	}
	purse.ApplyAnswer(now, answer)
}

func TestBankFillsFromWhenItOpens(t *testing.T) {
	is := is.New(t)
	bank := NewAllocator(1, 2*time.Second, usualRules)
	bank.SetLimits(0, []Limit{{Tenant: "bakers", RatePerS: 10, Burst: 10}})
	want := Request{Wants: []Want{{Tenant: "bakers", Operations: 5}, {Tenant: "nobody", Operations: 1}}}
	is.Equal(bank.Answer(time.Second, want).Grants[0].Operations, 0)
	is.Equal(bank.Answer(2*time.Second, want).Grants[0].Operations, 0)
	answer := bank.Answer(2300*time.Millisecond, want)
	is.Equal(answer.Grants[0].Operations, 3)
	is.Equal(answer.Grants[0].RetryAfter, 100*time.Millisecond)
	is.Equal(answer.Grants[1], Grant{Tenant: "nobody", RetryAfter: unknownRetry})
	is.Equal(bank.Counts(), Counts{Requests: 3, Granted: 3, Denied: 15})
}

func TestPurseForgetsWhatWasNotUsedInTime(t *testing.T) {
	is := is.New(t)
	purse := newLimitedPurse()
	is.Equal(purse.Take(0, "others"), Taken) // without a limit
	is.Equal(purse.Take(0, "bakers"), NeedsGrant)
	purse.AddWaiter("bakers")
	request, due := purse.NextRequest(0)
	is.True(due)
	is.Equal(request, Request{Number: 1, Wants: []Want{{Tenant: "bakers", Operations: 1, Reserve: 2}}})
	_, due = purse.NextRequest(0)
	is.True(!due) // one at a time
	answer := Answer{Number: 1, Grants: []Grant{{Tenant: "bakers", Operations: 3, Life: time.Second}}}
	purse.ApplyAnswer(200*time.Millisecond, answer)
	purse.ApplyAnswer(200*time.Millisecond, answer) // comes twice
	is.Equal(purse.RetryTake(200*time.Millisecond, "bakers"), Taken)
	purse.RemoveWaiter("bakers")
	is.Equal(purse.Take(time.Second-1, "bakers"), Taken)
	is.Equal(purse.Take(time.Second, "bakers"), NeedsGrant)
	request, due = purse.NextRequest(time.Second) // nobody waits, but a reserve is wanted
	is.True(due)
	is.Equal(request.Wants[0].Operations, 0)
	purse.RequestFailed()
	purse.AddWaiter("bakers")
	_, due = purse.NextRequest(1100 * time.Millisecond)
	is.True(due)
	purse.ApplyAnswer(1200*time.Millisecond, Answer{Number: 2, Grants: []Grant{{Tenant: "bakers", Operations: 3, Life: time.Second}}}) // too late
	is.Equal(purse.RetryTake(1200*time.Millisecond, "bakers"), NeedsGrant)
	purse.ApplyAnswer(1200*time.Millisecond, Answer{Number: 3, Grants: []Grant{{Tenant: "bakers", RetryAfter: 300 * time.Millisecond}}})
	is.Equal(purse.RetryTake(1200*time.Millisecond, "bakers"), Refused)
	is.Equal(purse.RetryTake(1500*time.Millisecond, "bakers"), NeedsGrant)
}

// QUOTA, refused below the limit: limits as large as numbers go were read as no operations at all.
func TestLimitsAsLargeAsNumbersGo(t *testing.T) {
	is := is.New(t)
	for _, figure := range []float64{1e9, 1e19, 1e300, math.MaxFloat64} {
		bank := NewAllocator(1, 0, usualRules)
		bank.SetLimits(0, []Limit{{Tenant: "bakers", RatePerS: figure, Burst: figure}, {Tenant: "smiths", Burst: figure}})
		answer := bank.Answer(time.Hour, Request{Wants: []Want{{Tenant: "bakers", Operations: 7}, {Tenant: "smiths", Operations: -7}}})
		is.Equal(answer.Grants[0].Operations, 7) // by figure
		is.Equal(answer.Grants[1].Operations, 0)
		is.Equal(bank.Counts(), Counts{Requests: 1, Granted: 7})
	}
}

// QUOTA: a limit that was lowered is kept in each window that begins once the grants before it are over.
func TestLoweredLimitBindsOnceEarlierGrantsAreOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := Limit{Tenant: "bakers", RatePerS: float64(rapid.IntRange(20, 200).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 200).Draw(t, "burst"))}
		after := Limit{Tenant: "bakers", RatePerS: float64(rapid.IntRange(1, 20).Draw(t, "lower rate")), Burst: float64(rapid.IntRange(0, 20).Draw(t, "lower burst"))}
		bank, gateway := NewAllocator(1, 0, usualRules), &testGateway{purse: newLimitedPurse(), name: "a"}
		bank.SetLimits(0, []Limit{before})
		loweredAt := time.Duration(rapid.IntRange(0, 6000).Draw(t, "lowered")) * time.Millisecond
		isLowered := false
		var taken begun
		for now := time.Duration(0); now < 20*time.Second; now += time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond {
			if !isLowered && now >= loweredAt {
				bank.SetLimits(now, []Limit{after})
				isLowered, loweredAt = true, now
			}
			once := takeMany(t, gateway, bank, now)
			if isLowered && now >= loweredAt+reserveLife {
				taken = append(taken, once...)
			}
		}
		most := (after.RatePerS*usualRules.Window.Seconds()+after.Burst)*(1+usualRules.Overrun) + usualRules.Slack
		if found := taken.mostInWindow(usualRules.Window); float64(found) > math.Floor(most) {
			t.Fatalf("%d operations in a window, %v at the most", found, most)
		}
	})
}
