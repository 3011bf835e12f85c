package simulation

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/controller"
	"eiderway/control/replication"
)

var (
	storyWanted = flag.Bool("story", false, "print what happened in each day")
	oneSeed     = flag.Uint64("seed", 0, "play days with this seed of chance only")
	outageLimit = flag.Duration("outage", 0, "longest time without a successful write in a day; 0: none")
	moreSeeds   = flag.Uint64("seeds", 0, "play days with so many seeds of chance, instead of those that the file names")
)

func realCore(now time.Duration, settings controller.Settings, durable replication.DurableState) Core {
	return controller.New(now, settings, durable)
}

// TestDays plays every day of testdata with the real control code.
func TestDays(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	is.New(t).NoErr(err)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(file)
			is.New(t).NoErr(err)
			plan, err := Parse(file, string(text))
			is.New(t).NoErr(err)
			t.Parallel()
			for _, seed := range seedsOf(plan) {
				playSeed(t, plan, seed)
			}
		})
	}
}

func seedsOf(plan Plan) []uint64 {
	if *oneSeed != 0 {
		return []uint64{*oneSeed}
	}
	if *moreSeeds == 0 {
		return plan.Runs
	}
	var seeds []uint64
	for seed := uint64(1); seed <= *moreSeeds; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

func playSeed(t *testing.T, plan Plan, seed uint64) Result {
	t.Helper()
	result := Play(plan, seed, realCore, *storyWanted)
	if *storyWanted {
		t.Log("\n" + strings.Join(result.Story, "\n"))
	}
	for _, one := range result.Breaks {
		t.Errorf("seed %d: rule broken: %s", seed, one)
	}
	for _, one := range result.Failed {
		t.Errorf("seed %d: %s", seed, one)
	}
	if *outageLimit > 0 && result.Outage > *outageLimit {
		t.Errorf("seed %d: no write for %s", seed, result.Outage.Round(time.Millisecond))
	}
	if !t.Failed() {
		return result
	}
	t.Logf("seed %d: %d served, %d busy, %d in doubt, %d orders acknowledged, %d events", seed,
		result.Served, result.Busy, result.Doubt, result.Acked, result.Events)
	return result
}
