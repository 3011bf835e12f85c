// Package trial starts several processes of the program and breaks them, and the ways between them, while clients ask: a
// discovery, nodes, clients and all ways are the rig's own, on loopback. It writes down what clients saw, what nodes ran and
// what each process said, and judges nothing: package trial/judge does, afterwards. It is never part of a router.
package trial

// This file owns the form of a trial: a YAML file, or the same as a Go value.

import (
	"bytes"
	"cmp"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// Spec is a trial.
type Spec struct {
	Name  string `yaml:"name"`
	Seed  int64  `yaml:"seed"`
	For   string `yaml:"for"` // how long it goes on once all routers serve
	Fleet struct {
		Routers  int      `yaml:"routers"`
		Zones    []string `yaml:"zones"`    // routers and nodes are spread over them in turns
		Groups   int      `yaml:"groups"`   // each a primary and
		Replicas int      `yaml:"replicas"` // as many replicas
		Lag      string   `yaml:"lag"`      // they apply a commit this late
		Still    bool     `yaml:"still"`    // all primaries in the first zone; else spread, too
		Gossip   bool     `yaml:"gossip"`   // the section gossip for each router, with keys and ports of its own
		Bears    float64  `yaml:"bears"`    // statements a second that a node can do; 0: any number. Then also:
		Cold     float64  `yaml:"cold"`     // share of that right after a start,
		Warm     string   `yaml:"warm"`     // until it can do all; with a second's work waiting it falls over for a second
	} `yaml:"fleet"`
	Load struct {
		Clients int     `yaml:"clients"`
		Rate    float64 `yaml:"rate"`   // txns a second of all of them
		Writes  float64 `yaml:"writes"` // share
		Hot     float64 `yaml:"hot"`    // share of the clients that router 0 has; the others are spread evenly
	} `yaml:"load"`
	Discovery struct {
		Bears   float64 `yaml:"bears"`   // answers a second; 0: any number
		Waiting int     `yaml:"waiting"` // calls that may wait for one: more are refused
	} `yaml:"discovery"`
	Settings string  `yaml:"settings"` // our own settings of every router; %admin% is its admin socket
	Plant    string  `yaml:"plant"`    // a fault in the program itself: a variant of it is built
	Clock    string  `yaml:"clock"`    // of odd routers, in a variant: "rate=1.05", "offset=3600"; the even ones' is right
	Ways     Ways    `yaml:"ways"`     // between routers, at all times
	Faults   []Fault `yaml:"faults"`
	Drawn    *Drawn  `yaml:"drawn"`
	Measure  string  `yaml:"measure"` // a zone whose nodes' statements are counted by half seconds, from the first fault on
	Expect   Expect  `yaml:"expect"`
}

// Ways is what befalls datagrams between routers: shares of them, and times.
type Ways struct {
	Delay  string  `yaml:"delay"` // at most
	Loss   float64 `yaml:"loss"`
	Double float64 `yaml:"double"`
	Kept   float64 `yaml:"kept"` // come 3 s late
	Spoilt float64 `yaml:"spoilt"`
	delay  time.Duration
}

// Fault is something that breaks. What: kill, term, start, restart, freeze, alone, cut, half, drain-node, undrain-node, hang,
// fail, lose, slow, stick, cold, heal, want, drop, tell, give, drain, undrain, zone, strangers, sets, replace,
// cut-nodes, promote, rename.
type Fault struct {
	At   string   `yaml:"at"`
	What string   `yaml:"what"`
	Who  []string `yaml:"who"` // routers by number, holder:TASK, other:TASK (one that does not hold it), others:TASK (all
	// but the holder), first:N, from:N, zone:Z, all; or nodes by name or zone:Z
	To       []string `yaml:"to"`  // of a cut, its other end, of cut-nodes nodes; of a give
	For      string   `yaml:"for"` // then it heals; "": it does not
	Task     string   `yaml:"task"`
	Text     string   `yaml:"text"`
	at, span time.Duration
}

// Drawn are faults that the seed draws, one every so often, each for a time up to Longest.
type Drawn struct {
	Every   string   `yaml:"every"`
	Longest string   `yaml:"longest"`
	From    string   `yaml:"from"`
	Whats   []string `yaml:"whats"`
	Task    string   `yaml:"task"`  // whose holder is hit by
	Share   float64  `yaml:"share"` // of the faults, half where it is 0
}

// Expect is what must hold beside the rules.
type Expect struct {
	Changes int      `yaml:"changes"` // of holders, at least
	Served  float64  `yaml:"served"`  // share of txns, at least
	Obeyed  int      `yaml:"obeyed"`  // words, at least
	Falls   *int     `yaml:"falls"`   // of nodes that were pushed over, at most
	Left    *Used    `yaml:"left"`    // how little the measured zone is used,
	Back    *Used    `yaml:"back"`    // and how much again
	Rules   []string `yaml:"broken"`  // these rules must be broken: the trial shows what happens beyond what is assumed
}

// Used says which share of its ordinary statements comes to the measured zone between two times after the first fault.
type Used struct {
	From  string  `yaml:"from"`
	Until string  `yaml:"until"`
	Most  float64 `yaml:"most"`
	Least float64 `yaml:"least"`
}

var whats = []string{"kill", "term", "start", "restart", "freeze", "alone", "cut", "half", "drain-node", "undrain-node", "hang", "fail", "lose", "slow",
	"stick", "heal", "want", "drop", "tell", "give", "drain", "undrain", "strangers", "sets", "replace", "cold", "zone",
	"cut-nodes", "promote", "rename"}

const (
	mostRouters  = 200
	defaultFor   = 10 * time.Second
	defaultLag   = 10 * time.Millisecond
	leastLongest = 200 * time.Millisecond
)

// Load reads a trial. changes are made before what the seed draws is drawn.
func Load(path string, changes ...func(*Spec)) (*Spec, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Spec{}
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(s); err != nil {
		return nil, fmt.Errorf("%s: %s", path, strings.ReplaceAll(yaml.FormatError(err, false, false), "\n", " "))
	}
	for _, change := range changes {
		change(s)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// FaultLasts tells how long the first fault lasts; 0: there is none, or it does not heal.
func (s *Spec) FaultLasts() time.Duration {
	if len(s.Faults) == 0 {
		return 0
	}
	return s.Faults[0].span
}

// Files are the trials of a folder, in order, or the one file that is named.
func Files(path string) ([]string, error) {
	if info, err := os.Stat(path); err != nil || !info.IsDir() {
		return []string{path}, err
	}
	found, err := filepath.Glob(filepath.Join(path, "*.yaml"))
	slices.Sort(found)
	if err == nil && len(found) == 0 {
		err = fmt.Errorf("%s: no trial there: trials are files that end in .yaml", path)
	}
	return found, err
}

func span(text string, or time.Duration) (time.Duration, error) {
	if text == "" {
		return or, nil
	}
	return time.ParseDuration(text)
}

func (s *Spec) check() error {
	f := &s.Fleet
	if f.Routers < 1 || f.Routers > mostRouters {
		return fmt.Errorf("fleet.routers: %d is no number from 1 to %d", f.Routers, mostRouters)
	}
	if len(f.Zones) == 0 {
		f.Zones = []string{"a"}
	}
	if f.Groups < 1 {
		f.Groups = 1
	}
	for _, d := range []struct{ name, text string }{{"for", s.For}, {"fleet.lag", f.Lag}, {"fleet.warm", f.Warm}, {"ways.delay", s.Ways.Delay}} {
		if _, err := span(d.text, 0); err != nil {
			return fmt.Errorf("%s: %w", d.name, err)
		}
	}
	if d := s.Discovery; d.Bears < 0 || d.Waiting < 0 {
		return fmt.Errorf("discovery: %g answers a second, %d that wait; neither can be less than 0", d.Bears, d.Waiting)
	}
	for _, u := range []*Used{s.Expect.Left, s.Expect.Back} {
		if u == nil {
			continue
		}
		from, err1 := span(u.From, 0)
		until, err2 := span(u.Until, 0)
		if err1 != nil || err2 != nil || from >= until || s.Measure == "" {
			return fmt.Errorf("expect.left, expect.back: from %q until %q is no time, or no zone is measured", u.From, u.Until)
		}
	}
	if f.Bears < 0 || f.Cold < 0 || f.Cold > 1 {
		return fmt.Errorf("fleet.bears, fleet.cold: %g statements a second, a share of %g when cold", f.Bears, f.Cold)
	}
	s.Ways.delay, _ = span(s.Ways.Delay, 0)
	for i := range s.Faults {
		x := &s.Faults[i]
		if !slices.Contains(whats, x.What) {
			return fmt.Errorf("faults[%d].what: %q is none of %s", i, x.What, strings.Join(whats, ", "))
		}
		var err error
		if x.at, err = span(x.At, 0); err != nil {
			return fmt.Errorf("faults[%d].at: %w", i, err)
		}
		if x.span, err = span(x.For, 0); err != nil {
			return fmt.Errorf("faults[%d].for: %w", i, err)
		}
	}
	if d := s.Drawn; d != nil {
		if err := s.draw(d); err != nil {
			return fmt.Errorf("drawn: %w", err)
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.at - b.at) })
	return nil
}

// draw adds faults by the seed: the same ones for the same seed.
func (s *Spec) draw(d *Drawn) error {
	every, err := span(d.Every, time.Second)
	if err != nil {
		return err
	}
	longest, err := span(d.Longest, 3*time.Second)
	if err != nil {
		return err
	}
	from, err := span(d.From, time.Second)
	if err != nil {
		return err
	}
	length, _ := span(s.For, defaultFor)
	if every <= 0 || longest < leastLongest || len(d.Whats) == 0 {
		return fmt.Errorf("every must be over 0, longest at least %s, whats some of %s", leastLongest, strings.Join(whats, ", "))
	}
	rng := rand.New(rand.NewSource(s.Seed))
	for at := from; at < length-longest; at += every {
		x := Fault{What: d.Whats[rng.Intn(len(d.Whats))], at: at + time.Duration(rng.Float64()*float64(every)), Task: d.Task}
		x.span = leastLongest + time.Duration(rng.Float64()*float64(longest-leastLongest))
		if x.Who = []string{fmt.Sprint(rng.Intn(s.Fleet.Routers))}; d.Task != "" && rng.Float64() < cmp.Or(d.Share, 0.5) {
			x.Who = []string{"holder:" + d.Task}
		}
		x.To = []string{fmt.Sprint(rng.Intn(s.Fleet.Routers))}
		if !slices.Contains(whats, x.What) {
			return fmt.Errorf("%q is none of %s", x.What, strings.Join(whats, ", "))
		}
		s.Faults = append(s.Faults, x)
	}
	return nil
}
