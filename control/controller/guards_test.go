package controller

import "testing"

// With a guard disabled, the scenario that covers it must fail.
func TestScenariosDetectDisabledGuards(t *testing.T) {
	for _, test := range []struct {
		guard    string
		guards   disabledGuards
		scenario string
	}{
		{"fetches unconfirmed", disabledGuards{fetchesUnconfirmed: true}, "woken-primary"},
		{"replaces unconfirmed", disabledGuards{replacesUnconfirmed: true}, "woken-primary"},
		{"watches unconfirmed", disabledGuards{watchesUnconfirmed: true}, "gateways"},
		{"changes uncommitted", disabledGuards{changesUncommitted: true}, "takeover-lost-order"},
		{"leases ignored", disabledGuards{leasesIgnored: true}, "freeze-cut-gateway"},
		{"leases ignored", disabledGuards{leasesIgnored: true}, "freeze-frozen-gateway"},
		{"earlier leases ignored", disabledGuards{earlierLeasesIgnored: true}, "freeze-takeover"},
		{"heartbeats unconfirmed", disabledGuards{heartbeatsUnconfirmed: true}, "instances"},
	} {
		t.Run(test.guard+" "+test.scenario, func(t *testing.T) {
			for seed := int64(1); seed <= 5; seed++ {
				if err := playScenario("testdata/"+test.scenario+".txt", seed, test.guards, nil); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no seed fails with the guard disabled")
		})
	}
}
