package simulation

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/guard"
)

var (
	dayCount  = flag.Int("days", 100, "generated days to play")
	guardDays = flag.Uint64("guard.days", 0, "look through so many generated days for those that find each guard")
	firstDay  = flag.Uint64("first", 1, "seed of the first generated day")
)

// nearest is how near generated days came to the bounds of tenants.
var nearest nearness

type nearness struct {
	mutex                         sync.Mutex
	quota                         float64
	withdrawn                     time.Duration
	days, quotaSeed, withdrawSeed uint64
}

func (n *nearness) note(seed uint64, plan Plan, result Result) {
	if plan.Tenants.Count == 0 {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.days++
	if result.Quota > n.quota {
		n.quota, n.quotaSeed = result.Quota, seed
	}
	if plan.Bounds.Revoke > 0 && result.Withdrawn > n.withdrawn {
		n.withdrawn, n.withdrawSeed = result.Withdrawn, seed
	}
}

// generatedGroups play side by side.
const generatedGroups = 8

// TestGeneratedDays plays days with random troubles within the tolerance. A day that breaks a rule is found again by its
// seed: -run TestGeneratedDays -first SEED -days 1 -story.
func TestGeneratedDays(t *testing.T) {
	t.Cleanup(func() {
		t.Logf("%d days with tenants: at most %.3f of a limit (seed %d), a key last used %s after it was taken away (seed %d)",
			nearest.days, nearest.quota, nearest.quotaSeed, nearest.withdrawn, nearest.withdrawSeed)
	})
	last := *firstDay + uint64(*dayCount)
	for group := uint64(0); group < generatedGroups; group++ {
		t.Run(fmt.Sprintf("group%d", group+1), func(t *testing.T) {
			t.Parallel()
			for seed := *firstDay + group; seed < last; seed += generatedGroups {
				playGenerated(t, seed)
			}
		})
	}
}

// TestDrawnDaysFindGuards takes out each guard about instances that end; drawn days must find it. Which seed does is looked for with
// -guard.days, and noted: playing it again is enough to see that the days still reach what the guard prevents.
func TestDrawnDaysFindGuards(t *testing.T) {
	for _, one := range []struct {
		name    string
		lacking guard.Set
		seed    uint64
	}{
		{"a leaver dropped at once", guard.Set(guard.LeaverDrains), 63},
		{"no floor", guard.Set(guard.Floor), 4},
		{"ends not final", guard.Set(guard.EndIsFinal), 15},
		{"departures not told", guard.Set(guard.DeparturesReported), 494},
		{"ends taken back by late heartbeats of a start", guard.Set(guard.RestartProven), 526},
		{"reads at replicas without a position", guard.Set(guard.ReadPositionRequired), 1},
		{"keys checked when a session begins only", guard.Set(guard.KeyPerStatement), 1},
		{"keys checked at the first statement of a transaction only", guard.Set(guard.KeyInTransaction), 1},
		{"keys trusted for ever without news", guard.Set(guard.KeyTrustExpires), 2},
		// Each of these two stands in for the other, so only a day without both breaks the rule.
		{"a lone leader not frozen, no deadline at gateways", guard.Set(guard.FreezeWithoutSuccessor | guard.DrainDeadline), 10},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			if seed := findingSeed(t, one.lacking, one.seed); seed == 0 {
				t.Error("no day finds it")
			} else {
				t.Logf("found by seed %d", seed)
			}
		})
	}
}

// TestDrawnDaysFindUnservedService takes out the guard that keeps a service served whose leader comes back under a new id: an expectation of
// a drawn day must then fail that is met with the guard.
func TestDrawnDaysFindUnservedService(t *testing.T) {
	first, last := uint64(5), uint64(5)
	if *guardDays > 0 {
		first, last = 1, *guardDays
	}
	for seed := first; seed <= last; seed++ {
		plan, err := Parse("generated", Generate(seed))
		is.New(t).NoErr(err)
		whole := Play(plan, seed, realCore, false)
		plan.Lacking = guard.Set(guard.LeaderReturns)
		if failed := Play(plan, seed, realCore, false).Failed; len(failed) > 0 && len(whole.Failed) == 0 {
			t.Logf("found by seed %d: %s", seed, failed[0])
			return
		}
	}
	t.Error("no day finds it")
}

// findingSeed gives the seed of a day on which a rule is broken without the guard: the one that is known, or, with -guard.days, the first
// of so many.
func findingSeed(t *testing.T, lacking guard.Set, known uint64) uint64 {
	t.Helper()
	first, last := known, known
	if *guardDays > 0 {
		first, last = 1, *guardDays
	}
	for seed := first; seed <= last; seed++ {
		plan, err := Parse("generated", Generate(seed))
		is.New(t).NoErr(err)
		plan.Lacking = lacking
		for _, broken := range Play(plan, seed, realCore, false).Breaks {
			if broken.Rule != ruleInvariant { // which tells that something is missing, not that it matters
				t.Log(broken)
				return seed
			}
		}
	}
	return 0
}

func playGenerated(t *testing.T, seed uint64) {
	t.Helper()
	text := Generate(seed)
	plan, err := Parse("generated", text)
	is.New(t).NoErr(err)
	result := playSeed(t, plan, seed)
	nearest.note(seed, plan, result)
	if *dayCount == 1 && t.Failed() {
		t.Log("\n" + text)
	}
}
