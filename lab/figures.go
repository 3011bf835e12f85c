package lab

// This file owns the figures of a run: what is worked out from its history, and which way is better. It must never make one up
// for a run that has nothing of the kind: such a figure is absent.

import (
	"math"
	"os"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"eiderway/fleet"
	"eiderway/trial"
	"eiderway/trial/judge"
)

// figure is one that runs may have. better is 1 where more is better, -1 where less is, 0 where neither is.
type figure struct {
	name, unit, what string
	better           int
}

var figures = []figure{
	{"served", "share", "txns that were served", 1},
	{"declined", "txns", "txns that were declined", -1},
	{"unanswered", "txns", "txns without an answer", -1},
	{"p50", "ms", "latency of served reads, in the middle", -1},
	{"p99", "ms", "latency of served reads, the slowest of a hundred", -1},
	{"first", "share", "statements to the measured zone in the first half second of the fault, of the ordinary", 0},
	{"vain", "share", "the same from then until the fault is over", 0},
	{"back", "s", "from the fault's end until four half seconds have 95% of the ordinary together", -1},
	{"most", "share", "the most of the ordinary in a half second after the fault", 0},
	{"end", "share", "of the ordinary in the last two seconds", 0},
	{"falls", "", "nodes that fell over", -1},
	{"gap", "s", "without a holder of a lease, in the middle", -1},
	{"longest_gap", "s", "the same at worst", -1},
	{"changes", "", "changes of holder", 0},
	{"memory", "MB", "resident, of a router", -1},
	{"probes", "a txn", "", -1},
	{"handshakes", "a txn", "", -1},
	{"words", "a txn", "of 256 bytes, as peers receive them", -1},
	{"held", "share", "txns that could not go when they came", -1},
	{"in_time", "share", "txns that were answered in time", 1},
	{"even", "share", "statements to the least loaded replica, of those to the most loaded", 1},
}

func figureNames() (out []string) {
	for _, f := range figures {
		out = append(out, f.name)
	}
	return out
}

// Run is what one run has brought.
type Run struct {
	Seed    int64              `json:"seed"`
	Values  map[string]float64 `json:"values"`
	Asked   []int64            `json:"asked,omitempty"` // statements to the measured zone by half seconds, the first one before the fault
	Wrong   []string           `json:"wrong,omitempty"` // rules that were broken
	Void    int                `json:"void,omitempty"`  // times that it was played in vain since the rig was late
	History string             `json:"history,omitempty"`
}

const (
	half      = 0.5  // s, of a count of statements
	backShare = 0.95 // of the ordinary,
	backOver  = 4    // half seconds together
	endOver   = 4
)

// ofTrial works out the figures of a trial.
func ofTrial(spec *trial.Spec, res *trial.Result) (*Run, error) {
	v := res.Verdict
	sent := float64(max(1, v.Counts["send"]))
	run := &Run{Seed: spec.Seed, Asked: res.Asked, Values: map[string]float64{
		"served": float64(v.Counts["served"]) / sent, "declined": float64(v.Counts["declined"]), "unanswered": float64(v.Counts["unanswered"]),
		"falls": float64(res.Falls), "changes": float64(v.Changes), "memory": float64(res.Memory) / 1e6 / float64(spec.Fleet.Routers)}}
	for _, f := range v.Wrong {
		run.Wrong = append(run.Wrong, f.Rule+": "+f.Why)
	}
	if n := len(v.Gaps); n > 0 {
		run.Values["gap"], run.Values["longest_gap"] = v.Gaps[n/2], v.Gaps[n-1]
	}
	in, err := os.Open(res.History)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	history, err := judge.Read(in)
	if err != nil {
		return nil, err
	}
	if all := latencies(history); len(all) > 0 {
		run.Values["p50"], run.Values["p99"] = stat.Quantile(0.5, stat.Empirical, all, nil), stat.Quantile(0.99, stat.Empirical, all, nil)
	}
	if spec.Measure != "" && len(spec.Faults) > 0 && len(res.Asked) > 1 && res.Asked[0] > 0 {
		run.zone(spec.FaultLasts())
	}
	return run, nil
}

// latencies of served reads, ms, in order.
func latencies(history []judge.Event) (out []float64) {
	sent := map[string]float64{}
	for _, e := range history {
		switch {
		case e.Kind == "send" && e.Type == "look":
			sent[e.Txn] = e.T
		case e.Kind == "answer" && e.Code == "":
			if at, ok := sent[e.Txn]; ok {
				out = append(out, (e.T-at)*1000)
			}
		}
	}
	slices.Sort(out)
	return out
}

// zone works out how a zone was left and returned to. A return that is not over by the run's end counts as if it were just then.
func (r *Run) zone(fault time.Duration) {
	ordinary, after := float64(r.Asked[0]), r.Asked[1:]
	share := func(from, to int) float64 {
		from, to = max(0, min(from, len(after))), max(0, min(to, len(after)))
		if from >= to {
			return math.NaN()
		}
		sum := int64(0)
		for _, n := range after[from:to] {
			sum += n
		}
		return float64(sum) / float64(to-from) / ordinary
	}
	set := func(name string, v float64) {
		if !math.IsNaN(v) {
			r.Values[name] = v
		}
	}
	over := int(fault.Seconds() / half)
	set("first", share(0, 1))
	set("vain", share(1, over))
	set("end", share(len(after)-endOver, len(after)))
	if over >= len(after) {
		return
	}
	most, back := 0.0, float64(len(after)-over)*half
	for k := over; k < len(after); k++ {
		most = max(most, float64(after[k])/ordinary)
		if k+backOver <= len(after) && float64(k-over)*half < back && share(k, k+backOver) >= backShare {
			back = float64(k-over) * half
		}
	}
	set("most", most)
	set("back", back)
}

// ofPlay works out the figures of a play in virtual time.
func ofPlay(seed int64, f *fleet.Fleet, ill float64) *Run {
	s := f.Summarize()
	run := &Run{Seed: seed, Values: map[string]float64{"probes": s.Probes, "handshakes": s.Handshakes, "words": s.Words, "held": s.Held, "in_time": s.InTime}}
	run.Values["declined"], run.Values["falls"], run.Asked = float64(s.Declined), float64(s.Crashes), s.ZoneStatements
	if !math.IsNaN(s.Evenness) {
		run.Values["even"] = s.Evenness
	}
	if len(s.ZoneStatements) > 1 && s.ZoneStatements[0] > 0 {
		run.zone(time.Duration(ill * float64(time.Second)))
	}
	return run
}
