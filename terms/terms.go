// Package terms decodes the settings that a router is given at start, for every host of the splitter. It
// decides nothing and changes no value; it only names things and turns milliseconds into seconds.
package terms

import (
	"encoding/json"
	"fmt"
	"slices"

	"eiderway/splitter"
)

// Terms are the settings in the splitter's form, with what a host needs to speak their names.
type Terms struct {
	Splitter  splitter.Terms
	Types     map[string]int // txn types by name
	Unnamed   int            // the type of a txn whose type the settings do not name
	Zones     map[string]int
	Zero      float64 // s, the host's time from which the simulator counts positions
	IdleClose float64 // s after which a node closes an idle connection at the latest
	Reports   bool    // probes bring load reports
	Peers     bool    // routers of the tier may speak to each other
}

// Bounded tells whether a txn type is a read whose data may be so old and no older.
func (t *Terms) Bounded(typ int) bool {
	return typ < len(t.Splitter.Types) && t.Splitter.Types[typ].Need == splitter.NeedBounded
}

// Writes tells whether a txn type needs the primary.
func (t *Terms) Writes(typ int) bool {
	return typ < len(t.Splitter.Types) && t.Splitter.Types[typ].Need == splitter.NeedPrimary
}

// Zone gives a zone its index, also one the settings do not name.
func (t *Terms) Zone(name string) int {
	z, ok := t.Zones[name]
	if !ok {
		z = len(t.Zones)
		t.Zones[name] = z
	}
	return z
}

// facts are the start values that anything here has a use for; times in milliseconds.
type facts struct {
	Balancers int
	Me        int
	MyZone    string
	Zones     []string
	Grades    []struct {
		Name        string
		Target      float64
		Idempotency string
		Group       string
		Window      float64
		Worth       float64
		LateWorth   float64
	}
	Extra struct {
		WhenBehind   string
		LagAllowed   []float64
		NeedsByClass []string
		SessionMarks string
		Zero         float64
	}
	Limits struct {
		SendCap        int
		MayCancel      bool
		Probes         bool
		RetryAfter     bool
		Peers          bool
		MaxRetryAfter  float64
		ConnectTimeout float64
		IdleClose      float64
	}
	Telemetry struct {
		How   string
		Names []string
	}
	Invariants struct {
		ColdFrom, WarmAfter, OverloadFactor, Fall float64
		DrainBindsAlone                           bool
	}
	MembershipMode string
}

var (
	needs = map[string]splitter.Need{"mutate": splitter.NeedPrimary, "strong": splitter.NeedCurrent,
		"causal": splitter.NeedSession, "lag_bound": splitter.NeedBounded, "eventual": splitter.NeedAny}
	effects = map[string]splitter.Effect{"free": splitter.Repeatable, "guarded": splitter.Referenced}
	scopes  = map[string]splitter.Scope{"all": splitter.ScopeAll, "zone": splitter.ScopeZone}
)

// Decode reads the settings' JSON. The seed comes beside it.
func Decode(settings []byte, seed int64) (*Terms, error) {
	var f facts
	if len(settings) == 0 || string(settings) == "null" {
		return nil, fmt.Errorf("no settings")
	}
	if err := json.Unmarshal(settings, &f); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	d := &Terms{Types: map[string]int{}, Zones: map[string]int{}, Zero: f.Extra.Zero / 1000,
		IdleClose: f.Limits.IdleClose / 1000, Reports: f.Telemetry.How != "none", Peers: f.Limits.Peers}
	for _, z := range f.Zones {
		d.Zone(z)
	}
	t := splitter.Terms{Seed: seed, Self: f.Me, Routers: f.Balancers, Zone: d.Zone(f.MyZone),
		NodesCheckFreshness: f.Extra.WhenBehind == "bounce" || f.Extra.WhenBehind == "await",
		TrackSessions:       f.Extra.SessionMarks == "kept", CanProbe: f.Limits.Probes, CanCancel: f.Limits.MayCancel,
		ConnectTimeout: f.Limits.ConnectTimeout / 1000, IdleTimeout: f.Limits.IdleClose / 1000,
		WatchList: f.MembershipMode == "subscribe", OnlyDrainExcludes: f.Invariants.DrainBindsAlone,
		MaxSubmissions: f.Limits.SendCap, ColdFrom: f.Invariants.ColdFrom, WarmAfter: f.Invariants.WarmAfter / 1000,
		Overload: f.Invariants.OverloadFactor, OverloadOutage: f.Invariants.Fall / 1000}
	t.ProbeRoles = t.CanProbe && d.Reports && slices.Contains(f.Telemetry.Names, "x1")
	if f.Limits.RetryAfter {
		t.MaxPause = f.Limits.MaxRetryAfter / 1000
	}
	for i, g := range f.Grades {
		k := splitter.TxnType{Need: splitter.NeedCurrent, Effect: splitter.OnceOnly, Scope: scopes[g.Group],
			Window: g.Window / 1000, SLA: g.Target / 1000, Value: g.Worth, LateValue: g.LateWorth}
		if e, ok := effects[g.Idempotency]; ok {
			k.Effect = e
		}
		if i < len(f.Extra.NeedsByClass) {
			if n, ok := needs[f.Extra.NeedsByClass[i]]; ok {
				k.Need = n
			}
		}
		if i < len(f.Extra.LagAllowed) {
			k.Bound = f.Extra.LagAllowed[i] / 1000
		}
		d.Types[g.Name] = i
		t.Types = append(t.Types, k)
	}
	// A type the settings do not name is handled as the most delicate one.
	d.Unnamed = len(t.Types)
	t.Types = append(t.Types, splitter.TxnType{Need: splitter.NeedPrimary, Effect: splitter.OnceOnly,
		SLA: 1, Value: 1})
	d.Splitter = t
	return d, nil
}
