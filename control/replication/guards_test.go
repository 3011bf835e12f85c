package replication

import "testing"

// TestEachGuardIsNecessary switches off one safety rule at a time. Scenarios and random worlds that hold with all rules must then
// fail; otherwise the tests could not detect that the rule is missing.
func TestEachGuardIsNecessary(t *testing.T) {
	cases := []struct {
		name     string
		disabled disabledGuards
		scenario string // used where the random search doesn't find the violation
	}{
		{"a promise is on disk before it is sent", disabledGuards{promiseBeforeSync: true}, "guard-promise"},
		{"a backup refuses lower epochs", disabledGuards{lowerEpochAccepted: true}, "guard-epoch"},
		{"all copies have a change", disabledGuards{oneCopyMayLag: true}, ""},
		{"there are tolerance + 1 copies", disabledGuards{noMinCopies: true}, ""},
		{"a majority answers for a confirmation", disabledGuards{confirmWithoutMajority: true}, "guard-confirm"},
		{"one view change at a time", disabledGuards{concurrentViewChanges: true}, "guard-view-changes"},
		{"an empty disk has no vote", disabledGuards{emptyDiskVotes: true}, "guard-empty-disk"},
		{"a takeover needs a copy of the newest view", disabledGuards{anyVoterTakesOver: true}, "guard-copy"},
		{"a core is founded once", disabledGuards{foundingRepeatable: true}, "guard-founding"},
		{"the state is synced before the view", disabledGuards{viewBeforeRestamp: true}, "guard-restamp"},
	}
	for _, guard := range cases {
		t.Run(guard.name, func(t *testing.T) {
			t.Parallel()
			violation := ""
			if guard.scenario != "" {
				violation = findScenarioViolation(guard.scenario, guard.disabled)
			} else {
				violation = findRandomViolation(guard.disabled)
			}
			if violation == "" {
				t.Fatal("no violation found with this guard disabled")
			}
			t.Log(violation)
		})
	}
}

func findScenarioViolation(name string, disabled disabledGuards) string {
	for seed := int64(1); seed <= 40; seed++ {
		if err := playScenario("testdata/"+name+".txt", seed, disabled, nil); err != nil {
			return err.Error()
		}
	}
	return ""
}

func findRandomViolation(disabled disabledGuards) string {
	for seed := int64(1); seed <= 300; seed++ {
		for _, shape := range shapes() {
			if violation := randomWorld(seed, shape, disabled, faults()); violation != "" {
				return violation
			}
		}
	}
	return ""
}
