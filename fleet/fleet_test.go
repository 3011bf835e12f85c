package fleet

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
)

var sizes = flag.String("routers", "", "all: a table of 3 to 1,000 routers, and each way alone")

// TestPeerReportsSaveProbes: routers that share reports with their peers send under a quarter of the probes of routers alone, at
// the same total load. With -routers all it prints the table of 3 to 1,000 routers, and the effect of each part of the reports.
func TestPeerReportsSaveProbes(t *testing.T) {
	alone, all := Way{Name: "alone"}, Way{Name: "together", Talk: true, Loads: true, Primes: true}
	if *sizes == "all" {
		for _, n := range []int{3, 10, 30, 100, 300, 1000} {
			for d, name := range []string{"lags", "replaced"} {
				for _, w := range []Way{alone, all} {
					t.Logf("%d routers, %s, %s: %s", n, w.Name, name, Play(n, w, ReplicasStall+Day(d), 1).Figures())
				}
			}
			for _, w := range []Way{alone, {Name: "positions", Talk: true}, {Name: "positions and roles", Talk: true, Primes: true},
				{Name: "positions and loads", Talk: true, Loads: true}, all} {
				t.Logf("%d routers, %s: %s", n, w.Name, Play(n, w, ReplicaHangs, 1).Figures())
			}
		}
		return
	}
	const n = 60
	a, b := Play(n, alone, ReplicaHangs, 1), Play(n, all, ReplicaHangs, 1)
	t.Logf("alone: %s", a.Figures())
	t.Logf("together: %s", b.Figures())
	require.Less(t, 4*b.probes*a.txns, a.probes*b.txns, "probes per txn: under a quarter")
	require.Less(t, 4*b.held*a.txns, a.held*b.txns)
	require.Greater(t, float64(b.inTime)/float64(b.txns), float64(a.inTime)/float64(a.txns)-0.02)
	require.Equal(t, b.Figures(), Play(n, all, ReplicaHangs, 1).Figures(), "the same seed gives the same history")
	few := Play(3, all, ReplicaHangs, 1)
	t.Logf("three: %s", few.Figures())
	require.Less(t, few.bytes/256/float64(few.txns), 0.1, "few routers with much traffic of their own send few reports")
}

// TestLeavingAZoneTogether: nodes are half loaded, and a third of them, a zone, fail together. Routers that leave the zone
// together send it fewer statements in vain than routers that only report nodes to each other. No node crashes from overload,
// not even when the zone comes back cold.
func TestLeavingAZoneTogether(t *testing.T) {
	told := Way{Name: "told", Talk: true, Loads: true, Primes: true}
	numbered := told
	numbered.Name, numbered.Zones, numbered.Numbers = "numbered", true, true
	sentInVain := func(s Summary) (n int64) {
		for _, x := range s.ZoneStatements[2:11] {
			n += x
		}
		return n
	}
	for _, d := range []Day{ZoneFails, ZoneCold} {
		a, b := Play(30, told, d, 1).Summarize(), Play(30, numbered, d, 1).Summarize()
		t.Logf("day %d: told %v, numbered %v", d, a.ZoneStatements, b.ZoneStatements)
		require.Zero(t, b.Crashes)
		require.Greater(t, b.InTime, 0.95)
		if d != ZoneCold {
			require.Less(t, 2*sentInVain(b), sentInVain(a))
		}
		require.Greater(t, b.ZoneStatements[len(b.ZoneStatements)-1], b.ZoneStatements[0]/2, "the zone is used again")
	}
}
