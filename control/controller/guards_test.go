package controller

import "testing"

// Each guard that is taken out must be found by the scenario that is there for it.
func TestGuards(t *testing.T) {
	for _, one := range []struct {
		guard    string
		guards   disabledGuards
		scenario string
	}{
		{"fetches unconfirmed", disabledGuards{fetchesUnconfirmed: true}, "woken-primary"},
		{"orders unconfirmed", disabledGuards{replacesUnconfirmed: true}, "woken-primary"},
		{"watches unconfirmed", disabledGuards{watchesUnconfirmed: true}, "gateways"},
		{"changes uncommitted", disabledGuards{changesUncommitted: true}, "takeover-lost-order"},
		{"leases uncounted", disabledGuards{leasesIgnored: true}, "freeze-cut-gateway"},
		{"leases uncounted", disabledGuards{leasesIgnored: true}, "freeze-frozen-gateway"},
		{"former leases", disabledGuards{earlierLeasesIgnored: true}, "freeze-takeover"},
		{"any beat unconfirmed", disabledGuards{heartbeatsUnconfirmed: true}, "instances"},
	} {
		t.Run(one.guard+" "+one.scenario, func(t *testing.T) {
			for seed := int64(1); seed <= 5; seed++ {
				if err := play("testdata/"+one.scenario+".txt", seed, one.guards, nil); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
