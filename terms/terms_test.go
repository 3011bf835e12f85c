package terms

import (
	"testing"

	"github.com/stretchr/testify/require"

	"eiderway/splitter"
)

func TestDecode(t *testing.T) {
	d, err := Decode([]byte(`{"balancers": 3, "me": 2, "myZone": "b", "zones": ["a", "b"], "membershipMode": "subscribe",
 "grades": [{"name": "look", "target": 400, "idempotency": "free", "group": "all", "worth": 1, "window": 5000},
  {"name": "claim", "target": 1000, "idempotency": "guarded", "group": "cell", "window": 2000, "worth": 6, "lateWorth": 0.5},
  {"name": "pay", "target": 250, "idempotency": "new one", "group": "zone", "worth": 2}],
 "extra": {"needsByClass": ["lag_bound", "mutate"], "lagAllowed": [200], "whenBehind": "bounce", "zero": 1500, "new": {}},
 "limits": {"connectTimeout": 250, "idleClose": 15000, "probes": true, "retryAfter": false, "maxRetryAfter": 1000},
 "telemetry": {"how": "probe", "names": ["x0", "x1"]}, "invariants": {"warmAfter": 18000, "drainBindsAlone": true}}`), 7)
	require.NoError(t, err)
	s := d.Splitter
	require.Equal(t, []any{int64(7), 2, 3, 1, true, true, true, true, 0.25, 18.0, 0.0},
		[]any{s.Seed, s.Self, s.Routers, s.Zone, s.WatchList, s.NodesCheckFreshness, s.ProbeRoles, s.OnlyDrainExcludes, s.ConnectTimeout,
			s.WarmAfter, s.MaxPause})
	require.Equal(t, []splitter.TxnType{
		{Need: splitter.NeedBounded, Bound: 0.2, Effect: splitter.Repeatable, Scope: splitter.ScopeAll, Window: 5, SLA: 0.4, Value: 1},
		{Need: splitter.NeedPrimary, Effect: splitter.Referenced, Window: 2, SLA: 1, Value: 6, LateValue: 0.5},
		{Need: splitter.NeedCurrent, Effect: splitter.OnceOnly, Scope: splitter.ScopeZone, SLA: 0.25, Value: 2},
		{Need: splitter.NeedPrimary, Effect: splitter.OnceOnly, SLA: 1, Value: 1},
	}, s.Types, "what is not known is taken as the most delicate")
	require.Equal(t, []any{1, 3, 1.5, 15.0, 2}, []any{d.Types["claim"], d.Unnamed, d.Zero, d.IdleClose, d.Zone("c")})
}

func TestDecodeRefuses(t *testing.T) {
	for _, bad := range []string{"", "null", "{", `{"grades": 1}`, `[]`} {
		_, err := Decode([]byte(bad), 0)
		require.Error(t, err, "%q", bad)
	}
}
