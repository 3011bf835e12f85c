package simulation

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"eiderway/control/guard"
)

// TestScenariosFindGuardsOfTenants takes out each guard about keys and limits; the scenario that is there for it must find it, by a rule
// that the guard is there for.
func TestScenariosFindGuardsOfTenants(t *testing.T) {
	for _, one := range []struct {
		name     string
		lacking  guard.Set
		scenario string
		rule     string
	}{
		{"keys checked when a session begins only", guard.Set(guard.KeyPerStatement), "tenants-calm-day", ruleConfig},
		{"keys checked at the first statement of a transaction only", guard.Set(guard.KeyInTransaction), "tenants-withdrawn-in-transactions", ruleConfig},
		{"keys trusted for ever without news", guard.Set(guard.KeyTrustExpires), "tenants-withdrawn-cut-gateway", ruleConfig},
		{"keys trusted for ever by a gateway that wakes", guard.Set(guard.KeyTrustExpires), "tenants-withdrawn-frozen-gateway", ruleConfig},
		{"a bank that opens full", guard.Set(guard.AllocatorStartsEmpty), "tenants-hot-large-burst", ruleQuota},
		{"grants that never end", guard.Set(guard.GrantExpires), "tenants-limit-lowered-while-idle", ruleQuota},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			file := "testdata/" + one.scenario + ".txt"
			text, err := os.ReadFile(file)
			is.NoErr(err)
			plan, err := Parse(file, string(text))
			is.NoErr(err)
			plan.Lacking = one.lacking
			for _, seed := range seedsOf(plan) {
				result := Play(plan, seed, realCore, false)
				for _, broken := range result.Breaks {
					if broken.Rule == one.rule {
						t.Logf("seed %d: %s", seed, broken)
						return
					}
				}
				t.Logf("seed %d: %v, nearest to the limit %.2f", seed, result.Breaks, result.Quota)
			}
			t.Error("no day finds it")
		})
	}
}
