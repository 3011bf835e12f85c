package lab

// This file owns the search: plays in virtual time with faults drawn from a seed, judged by package trial/judge, and made as
// small as they can be while they still show the same. It must never call a play wrong that the judge does not.

import (
	"cmp"
	"context"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/goccy/go-yaml"
	"golang.org/x/sync/errgroup"

	"eiderway/fleet"
)

// Hunt says where to search.
type Hunt struct {
	Seeds    int   // so many plays,
	From     int64 // the first one's seed
	Routers  int   // at most
	Parallel int
	Way      string   // of all plays: alone, together, zones, numbered; "": drawn
	Than     string   // a second way, for the same plays: where is Way worse?
	Plant    string   // in all of them: see fleet.Plants
	Rules    []string // to be looked for; none: all
	Progress func(string)
}

// Found is a play that broke a rule, as small as it could be made.
type Found struct {
	Setup  fleet.Setup
	Rule   string
	Why    string
	Faults int // it had at first
}

// Hunted is what a search has brought.
type Hunted struct {
	Plays  int
	Txns   int
	Found  []*Found   // by seed
	Lowest []Low      // shares served, the lowest first; or the differences
	Mean   Difference // of what is served, from the second way
}

// Low is a play in which little was served, or less than in the second way.
type Low struct {
	Setup        fleet.Setup
	Served, Than float64
}

const (
	huntFor    = 12.0 // s of a play,
	huntFrom   = 3.0  // of which faults begin from here
	huntUntil  = 9.0
	mostFaults = 6
	longest    = 4.0 // s of a fault
	leastLow   = 5
	fewRouters = 3
)

var huntWays = []fleet.Way{{Name: "alone"}, {Name: "together", Talk: true, Loads: true, Primes: true},
	{Name: "zones", Talk: true, Loads: true, Primes: true, Zones: true}, {Name: "numbered", Talk: true, Loads: true, Primes: true, Zones: true, Numbers: true}}

// HuntWays are the names of the ways.
func HuntWays() (out []string) {
	for _, w := range huntWays {
		out = append(out, w.Name)
	}
	return out
}

// in gives a play in another way; "": as it is.
func in(s fleet.Setup, way string) fleet.Setup {
	if i := slices.IndexFunc(huntWays, func(w fleet.Way) bool { return w.Name == way }); i >= 0 {
		s.Way = huntWays[i]
	}
	return s
}

// Draw gives the play of a seed: the same one each time.
func Draw(seed int64, most int) fleet.Setup {
	rng := rand.New(rand.NewSource(seed))
	s := fleet.Setup{Seed: seed, Routers: fewRouters + rng.Intn(max(1, most-fewRouters+1)), Way: huntWays[rng.Intn(len(huntWays))], For: huntFor}
	for range 1 + rng.Intn(mostFaults) {
		x := fleet.Fault{At: huntFrom + (huntUntil-huntFrom)*rng.Float64(), For: 0.2 + (longest-0.2)*rng.Float64(), What: fleet.FaultKinds[rng.Intn(len(fleet.FaultKinds))],
			Node: rng.Intn(fleet.InitialNodes), Router: rng.Intn(s.Routers), Zone: fleet.Zones[rng.Intn(len(fleet.Zones))], To: fleet.Zones[rng.Intn(len(fleet.Zones))]}
		x.Share = 0.1 + 0.9*rng.Float64()
		s.Faults = append(s.Faults, x)
	}
	slices.SortStableFunc(s.Faults, func(a, b fleet.Fault) int { return cmp.Compare(a.At, b.At) })
	return s
}

// shows tells why a play broke a rule; "": it did not, or none where rule is "".
func shows(s fleet.Setup, rule string, only []string) (which, why string) {
	for _, w := range s.Play().Violations() {
		if (rule == "" || w.Rule == rule) && (len(only) == 0 || slices.Contains(only, w.Rule)) {
			return w.Rule, w.Why
		}
	}
	return "", ""
}

// Shrink takes out what a play does not need to break its rule: faults, then routers, then how long faults last.
func Shrink(s fleet.Setup, rule string) fleet.Setup {
	still := func(t fleet.Setup) bool {
		got, _ := shows(t, rule, nil)
		return got != ""
	}
	for again := true; again; {
		again = false
		for i := range s.Faults {
			t := s
			if t.Faults = slices.Delete(slices.Clone(s.Faults), i, i+1); len(t.Faults) > 0 && still(t) {
				s, again = t, true
				break
			}
		}
		t := s
		if t.Routers = max(fewRouters, s.Routers/2); !again && t.Routers < s.Routers && still(t) {
			s, again = t, true
		}
	}
	for i := range s.Faults {
		t := s
		t.Faults = slices.Clone(s.Faults)
		for t.Faults[i].For /= 2; t.Faults[i].For > 0.1 && still(t); t.Faults[i].For /= 2 {
			s.Faults = slices.Clone(t.Faults)
		}
	}
	return s
}

// Run searches. Plays of one seed are alike, whatever runs beside.
func (h Hunt) Run(ctx context.Context) (*Hunted, error) {
	out := &Hunted{Plays: h.Seeds}
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, h.Parallel))
	done := 0
	for k := range h.Seeds {
		g.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			s := in(Draw(h.From+int64(k), max(h.Routers, fewRouters)), h.Way)
			s.Plant = h.Plant
			f := s.Play()
			var found *Found
			for _, w := range f.Violations() {
				if len(h.Rules) == 0 || slices.Contains(h.Rules, w.Rule) {
					found = &Found{Rule: w.Rule, Faults: len(s.Faults)}
					found.Setup = Shrink(s, w.Rule)
					_, found.Why = shows(found.Setup, w.Rule, nil)
					break
				}
			}
			than := 0.0
			if h.Than != "" {
				than = in(s, h.Than).Play().ServedShare()
			}
			mu.Lock()
			defer mu.Unlock()
			done++
			out.Txns += f.SentCount()
			out.Lowest = append(out.Lowest, Low{s, f.ServedShare(), than})
			if found != nil {
				out.Found = append(out.Found, found)
				h.Progress(fmt.Sprintf("[%d/%d] seed %d: %s: %s", done, h.Seeds, s.Seed, found.Rule, found.Why))
			} else if done%20 == 0 {
				h.Progress(fmt.Sprintf("[%d/%d] %d found", done, h.Seeds, len(out.Found)))
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	slices.SortFunc(out.Found, func(a, b *Found) int { return cmp.Compare(a.Setup.Seed, b.Setup.Seed) })
	slices.SortFunc(out.Lowest, func(a, b Low) int {
		return cmp.Or(cmp.Compare(a.Served-a.Than, b.Served-b.Than), cmp.Compare(a.Setup.Seed, b.Setup.Seed))
	})
	if h.Than != "" {
		var base, other []float64
		for _, l := range out.Lowest {
			base, other = append(base, l.Than), append(other, l.Served)
		}
		out.Mean = differ(base, other)
	}
	out.Lowest = out.Lowest[:min(leastLow, len(out.Lowest))]
	return out, nil
}

// Save writes a play as a file that Replay reads.
func Save(dir, name string, s fleet.Setup) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	text, err := yaml.Marshal(s)
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, name+".yaml")
	return path, os.WriteFile(path, text, 0o644)
}

// Read reads a play.
func Read(path string) (s fleet.Setup, err error) {
	if err := strict(path, &s); err != nil {
		return s, err
	}
	switch {
	case s.Routers < 1 || s.Routers > mostRouters:
		return s, fmt.Errorf("%s: routers: %d is no number from 1 to %d", path, s.Routers, mostRouters)
	case s.For <= 0 || len(s.Faults) == 0:
		return s, fmt.Errorf("%s: a play lasts some seconds and has faults", path)
	case s.Plant != "" && !slices.Contains(fleet.Plants, s.Plant):
		return s, fmt.Errorf("%s: plant: %q is none of %s", path, s.Plant, strings.Join(fleet.Plants, ", "))
	}
	for i, x := range s.Faults {
		if !slices.Contains(fleet.FaultKinds, x.What) || x.At < 0 || x.At >= s.For || x.Router < 0 || x.Node < 0 {
			return s, fmt.Errorf("%s: faults[%d]: %q at %g s, node %d, router %d; what may be %s", path, i, x.What, x.At, x.Node, x.Router, strings.Join(fleet.FaultKinds, ", "))
		}
	}
	return s, nil
}
