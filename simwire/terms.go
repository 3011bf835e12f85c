package simwire

import (
	"encoding/json"
	"fmt"
	"slices"

	"eiderway/splitter"
)

// facts are the start values the splitter has a use for; times in milliseconds.
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
		SendCap       int
		MayCancel     bool
		Probes        bool
		RetryAfter    bool
		MaxRetryAfter float64

		ConnectTimeout float64
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

func (h *host) start(ev *event) error {
	f := &h.facts
	if len(ev.Facts) == 0 {
		return fmt.Errorf("no settings")
	}
	if err := json.Unmarshal(ev.Facts, f); err != nil {
		return err
	}
	h.zero = f.Extra.Zero / 1000
	for _, z := range f.Zones {
		h.zone(z)
	}
	t := splitter.Terms{Seed: ev.RandomSeed, Me: f.Me, Routers: f.Balancers, Zone: h.zone(f.MyZone),
		NodesCheck:   f.Extra.WhenBehind == "bounce" || f.Extra.WhenBehind == "await",
		SessionsKept: f.Extra.SessionMarks == "kept", Probes: f.Limits.Probes, Cancels: f.Limits.MayCancel,
		ConnectIn: f.Limits.ConnectTimeout / 1000,
		AskList:   f.MembershipMode == "subscribe", OnlyDrainBinds: f.Invariants.DrainBindsAlone,
		MaxSubmissions: f.Limits.SendCap, ColdFrom: f.Invariants.ColdFrom, WarmAfter: f.Invariants.WarmAfter / 1000,
		Overload: f.Invariants.OverloadFactor, Fall: f.Invariants.Fall / 1000}
	t.ProbeRoles = t.Probes && f.Telemetry.How != "none" && slices.Contains(f.Telemetry.Names, "x1")
	if f.Limits.RetryAfter {
		t.MaxPause = f.Limits.MaxRetryAfter / 1000
	}
	needs := map[string]splitter.Need{"mutate": splitter.NeedPrimary, "strong": splitter.NeedCurrent,
		"causal": splitter.NeedSession, "lag_bound": splitter.NeedBounded, "eventual": splitter.NeedAny}
	effects := map[string]splitter.Effect{"free": splitter.Repeatable, "guarded": splitter.Referenced}
	scopes := map[string]splitter.Scope{"all": splitter.ScopeAll, "zone": splitter.ScopeZone}
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
		h.types[g.Name] = i
		t.Types = append(t.Types, k)
	}
	// A type the settings do not name is handled as the most delicate one.
	t.Types = append(t.Types, splitter.TxnType{Need: splitter.NeedPrimary, Effect: splitter.OnceOnly,
		SLA: 1, Value: 1})
	h.router = splitter.New(t, h)
	return nil
}
