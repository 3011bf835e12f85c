package replication

import "testing"

// TestEachGuardIsNeeded takes one guard out at a time. The same worlds that are kept whole with all guards must break.
func TestEachGuardIsNeeded(t *testing.T) {
	cases := []struct {
		name     string
		without  disabledGuards
		scenario string // where the random search is not enough
	}{
		{"a promise is on disk before it is spoken", disabledGuards{promiseBeforeSync: true}, "guard-promise"},
		{"a backup refuses lower epochs", disabledGuards{lowerEpochTaken: true}, "guard-epoch"},
		{"all copies have a change", disabledGuards{oneCopyMayLag: true}, ""},
		{"there are tolerance + 1 copies", disabledGuards{noFloor: true}, ""},
		{"a majority is heard for a confirmation", disabledGuards{confirmAlone: true}, "guard-confirm"},
		{"one view change at a time", disabledGuards{manyViewChanges: true}, "guard-view-changes"},
		{"an empty disk has no vote", disabledGuards{emptyDiskVotes: true}, "guard-empty-disk"},
		{"a takeover needs a copy of the newest view", disabledGuards{anyVoterLeads: true}, "guard-copy"},
		{"a core is founded once", disabledGuards{foundingRepeats: true}, "guard-founding"},
		{"the state is synced before the view", disabledGuards{viewBeforeRestamp: true}, "guard-restamp"},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			found := ""
			if one.scenario != "" {
				found = breakScenario(one.scenario, one.without)
			} else {
				found = breakRandomWorlds(one.without)
			}
			if found == "" {
				t.Fatal("nothing breaks without this guard")
			}
			t.Log(found)
		})
	}
}

func breakScenario(name string, without disabledGuards) string {
	for seed := int64(1); seed <= 40; seed++ {
		if err := playScenario("testdata/"+name+".txt", seed, without, nil); err != nil {
			return err.Error()
		}
	}
	return ""
}

func breakRandomWorlds(without disabledGuards) string {
	for seed := int64(1); seed <= 300; seed++ {
		for _, form := range shapes() {
			if broken := randomWorld(seed, form, without, troubles()); broken != "" {
				return broken
			}
		}
	}
	return ""
}
