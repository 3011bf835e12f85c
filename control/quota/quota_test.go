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

// QUOTA: the parameters must bound the operations of any window by the rule, whatever the limit.
func TestParametersStayWithinTheRule(t *testing.T) {
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
		chosen := parametersFor(limit, rules)
		window := rules.Window.Seconds()
		allowed := (limit.RatePerS*window+limit.Burst)*(1+rules.Overrun) + rules.Slack
		life := chosen.grantLife.Seconds()
		ample := chosen.capacity + float64(chosen.maxReserve) + chosen.rate*window + chosen.fullRate*life
		modest := chosen.capacity + float64(chosen.modestReserve) + chosen.fullRate*(window+life)
		if ample > allowed+1e-6 || modest > allowed+1e-6 || chosen.modestReserve > chosen.maxReserve {
			t.Fatalf("%+v under %+v: %+v", limit, rules, chosen)
		}
		if chosen.settleTime < rules.Window+chosen.grantLife && chosen.fullRate > chosen.rate {
			t.Fatalf("the bucket is refilled at the full rate too early: %+v", chosen)
		}
		if chosen.rate < 0 || chosen.capacity < 0 || chosen.grantLife < 0 || chosen.maxReserve < 0 {
			t.Fatalf("negative: %+v", chosen)
		}
	})
}

// takenTimes are the times at which operations were taken out of budgets, in order.
type takenTimes []time.Duration

// mostInWindow is the largest number of operations in any window. Windows include both of their ends.
func (t takenTimes) mostInWindow(window time.Duration) int {
	most, first := 0, 0
	for last := range t {
		for t[last]-t[first] > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// QUOTA: gateways stay within the rule while one allocator replaces another, answers are late or lost, and gateways restart.
func TestNoWindowHoldsMoreThanTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Tenant:   "bakers",
			RatePerS: float64(rapid.IntRange(1, 60).Draw(t, "rate")),
			Burst:    float64(rapid.IntRange(0, 60).Draw(t, "burst")),
		}
		allocator := NewAllocator(1, 0, usualRules)
		allocator.SetLimits(0, []Limit{limit})
		allocators, processes := uint64(1), 3
		gateways := make([]*testGateway, 3)
		for index := range gateways {
			gateways[index] = &testGateway{budget: newLimitedBudget(), name: strconv.Itoa(index)}
		}
		var now time.Duration
		var taken takenTimes
		steps := rapid.IntRange(50, 600).Draw(t, "steps")
		for range steps {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond
			gateway := gateways[rapid.IntRange(0, 2).Draw(t, "gateway")]
			switch rapid.IntRange(0, 40).Draw(t, "event") {
			case 0: // another allocator takes over
				allocators++
				later := rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond}).Draw(t, "opens")
				allocator = NewAllocator(allocators, now+GrantLife+later, usualRules)
				allocator.SetLimits(now, []Limit{limit})
			case 1:
				processes++
				*gateway = testGateway{budget: newLimitedBudget(), name: strconv.Itoa(processes)}
			default:
				taken = append(taken, runOperations(t, gateway, allocator, now)...)
			}
		}
		allowed := (limit.RatePerS*usualRules.Window.Seconds()+limit.Burst)*(1+usualRules.Overrun) + usualRules.Slack
		if found := taken.mostInWindow(usualRules.Window); float64(found) > math.Floor(allowed) {
			t.Fatalf("%d operations in a window, the rule allows %v", found, allowed)
		}
	})
}

// testGateway is the process of a gateway.
type testGateway struct {
	budget *Budget
	name   string
}

func newLimitedBudget() *Budget {
	budget := NewBudget()
	budget.SetLimitedTenants([]string{"bakers"})
	return budget
}

// runOperations has operations arrive at a gateway, which asks the allocator for what it lacks, and gives the times of those that began.
func runOperations(t *rapid.T, gateway *testGateway, allocator *Allocator, now time.Duration) takenTimes {
	budget := gateway.budget
	var taken takenTimes
	for range rapid.IntRange(1, 30).Draw(t, "operations") {
		result := budget.Take(now, "bakers")
		if result == NeedsGrant {
			budget.AddWaiter("bakers")
			askAllocator(t, gateway, allocator, now)
			result = budget.RetryTake(now, "bakers")
			budget.RemoveWaiter("bakers")
		}
		if result == Taken {
			taken = append(taken, now)
		}
	}
	askAllocator(t, gateway, allocator, now) // for its reserve
	return taken
}

// askAllocator sends the request that is due. It may take a while to arrive, and its answer may be lost.
func askAllocator(t *rapid.T, gateway *testGateway, allocator *Allocator, now time.Duration) {
	budget := gateway.budget
	delay := time.Duration(rapid.IntRange(0, 300).Draw(t, "way")) * time.Millisecond
	request, due := budget.NextRequest(max(0, now-delay))
	if !due {
		return
	}
	request.Gateway = gateway.name
	answer := allocator.Answer(now, request)
	if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
		budget.RequestFailed()
		return
	}
	budget.ApplyAnswer(now, answer)
}

func TestAllocatorFillsFromWhenItOpens(t *testing.T) {
	is := is.New(t)
	allocator := NewAllocator(1, 2*time.Second, usualRules)
	allocator.SetLimits(0, []Limit{{Tenant: "bakers", RatePerS: 10, Burst: 10}})
	want := Request{Wants: []Want{{Tenant: "bakers", Operations: 5}, {Tenant: "nobody", Operations: 1}}}
	is.Equal(allocator.Answer(time.Second, want).Grants[0].Operations, 0)
	is.Equal(allocator.Answer(2*time.Second, want).Grants[0].Operations, 0)
	answer := allocator.Answer(2300*time.Millisecond, want)
	is.Equal(answer.Grants[0].Operations, 3)
	is.Equal(answer.Grants[0].RetryAfter, 100*time.Millisecond)
	is.Equal(answer.Grants[1], Grant{Tenant: "nobody", RetryAfter: unknownTenantRetry})
	is.Equal(allocator.Counts(), Counts{Requests: 3, Granted: 3, Denied: 15})
}

func TestBudgetDropsGrantsThatAreNotUsedInTime(t *testing.T) {
	is := is.New(t)
	budget := newLimitedBudget()
	is.Equal(budget.Take(0, "others"), Taken) // without a limit
	is.Equal(budget.Take(0, "bakers"), NeedsGrant)
	budget.AddWaiter("bakers")
	request, due := budget.NextRequest(0)
	is.True(due)
	is.Equal(request, Request{Number: 1, Wants: []Want{{Tenant: "bakers", Operations: 1, Reserve: 2}}})
	_, due = budget.NextRequest(0)
	is.True(!due) // one at a time
	answer := Answer{Number: 1, Grants: []Grant{{Tenant: "bakers", Operations: 3, Life: time.Second}}}
	budget.ApplyAnswer(200*time.Millisecond, answer)
	budget.ApplyAnswer(200*time.Millisecond, answer) // comes twice
	is.Equal(budget.RetryTake(200*time.Millisecond, "bakers"), Taken)
	budget.RemoveWaiter("bakers")
	is.Equal(budget.Take(time.Second-1, "bakers"), Taken)
	is.Equal(budget.Take(time.Second, "bakers"), NeedsGrant)
	request, due = budget.NextRequest(time.Second) // nobody waits, but a reserve is wanted
	is.True(due)
	is.Equal(request.Wants[0].Operations, 0)
	budget.RequestFailed()
	budget.AddWaiter("bakers")
	_, due = budget.NextRequest(1100 * time.Millisecond)
	is.True(due)
	budget.ApplyAnswer(1200*time.Millisecond, Answer{Number: 2, Grants: []Grant{{Tenant: "bakers", Operations: 3, Life: time.Second}}}) // too late
	is.Equal(budget.RetryTake(1200*time.Millisecond, "bakers"), NeedsGrant)
	budget.ApplyAnswer(1200*time.Millisecond, Answer{Number: 3, Grants: []Grant{{Tenant: "bakers", RetryAfter: 300 * time.Millisecond}}})
	is.Equal(budget.RetryTake(1200*time.Millisecond, "bakers"), Refused)
	is.Equal(budget.RetryTake(1500*time.Millisecond, "bakers"), NeedsGrant)
}

// QUOTA, refused below the limit: very large limits overflowed, and no operations were granted.
func TestHugeLimitsAreGranted(t *testing.T) {
	is := is.New(t)
	for _, size := range []float64{1e9, 1e19, 1e300, math.MaxFloat64} {
		allocator := NewAllocator(1, 0, usualRules)
		allocator.SetLimits(0, []Limit{{Tenant: "bakers", RatePerS: size, Burst: size}, {Tenant: "smiths", Burst: size}})
		answer := allocator.Answer(time.Hour, Request{Wants: []Want{{Tenant: "bakers", Operations: 7}, {Tenant: "smiths", Operations: -7}}})
		is.Equal(answer.Grants[0].Operations, 7) // for each size
		is.Equal(answer.Grants[1].Operations, 0)
		is.Equal(allocator.Counts(), Counts{Requests: 1, Granted: 7})
	}
}

// QUOTA: a lowered limit is kept in each window that begins once the grants made before have expired.
func TestLoweredLimitBindsOnceEarlierGrantsAreOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := Limit{
			Tenant: "bakers", RatePerS: float64(rapid.IntRange(20, 200).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 200).Draw(t, "burst")),
		}
		after := Limit{
			Tenant: "bakers", RatePerS: float64(rapid.IntRange(1, 20).Draw(t, "lower rate")), Burst: float64(rapid.IntRange(0, 20).Draw(t, "lower burst")),
		}
		allocator, gateway := NewAllocator(1, 0, usualRules), &testGateway{budget: newLimitedBudget(), name: "a"}
		allocator.SetLimits(0, []Limit{before})
		loweredAt := time.Duration(rapid.IntRange(0, 6000).Draw(t, "lowered")) * time.Millisecond
		isLowered := false
		var taken takenTimes
		for now := time.Duration(0); now < 20*time.Second; now += time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond {
			if !isLowered && now >= loweredAt {
				allocator.SetLimits(now, []Limit{after})
				isLowered, loweredAt = true, now
			}
			times := runOperations(t, gateway, allocator, now)
			if isLowered && now >= loweredAt+reserveLife {
				taken = append(taken, times...)
			}
		}
		allowed := (after.RatePerS*usualRules.Window.Seconds()+after.Burst)*(1+usualRules.Overrun) + usualRules.Slack
		if found := taken.mostInWindow(usualRules.Window); float64(found) > math.Floor(allowed) {
			t.Fatalf("%d operations in a window, the rule allows %v", found, allowed)
		}
	})
}
