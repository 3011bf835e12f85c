// Package lab plays experiments: the same trial with processes of the program, or the same play in virtual time, in several
// ways and with several seeds, paired by seed. What it tells is a difference with an interval, or that none can be told. It is
// never part of a router.
package lab

// This file owns the form of an experiment. It must never guess what is not said.

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"

	"eiderway/fleet"
	"eiderway/trial"
)

// Experiment is a YAML file. It names trials or plays, not both.
type Experiment struct {
	Name     string   `yaml:"name"`
	Trials   []string `yaml:"trials"`   // files or folders, from the experiment's own folder
	Plays    []Play   `yaml:"plays"`    // in virtual time
	Seeds    int      `yaml:"seeds"`    // 1 to so many; each way is played with each
	Parallel int      `yaml:"parallel"` // runs at a time; 1 where it is not said
	Ways     []Way    `yaml:"ways"`     // the first is what the others are compared with
	Figures  []string `yaml:"figures"`  // to be shown; all where none is named
	dir      string
}

// Way is one of those that are compared: what it changes, of a trial or of a play.
type Way struct {
	Name      string  `yaml:"name"`
	Program   string  `yaml:"program"`   // of a trial: one that was built before, from the experiment's folder
	Settings  *string `yaml:"settings"`  // of a trial: our own settings, in place of the trial's
	Processes int     `yaml:"processes"` // of a trial
	Edit      *Edit   `yaml:"edit"`      // of a trial: the program is built with a part taken out, or done in another way
	Words     string  `yaml:"words"`     // of a play: what peers' words bring: none, positions, roles, loads, all; all and zones, numbered
}

// Edit is a change of the program's text, made for a way alone: nothing of it stays. The text must be there once.
type Edit struct {
	File string `yaml:"file"` // from the module's root
	From string `yaml:"from"`
	To   string `yaml:"to"`
}

// Play is one in virtual time.
type Play struct {
	Routers int    `yaml:"routers"`
	Day     string `yaml:"day"` // hang, lag, replace, zone-fails, zone-loses, zone-slow, zone-hangs, zone-cold
}

const (
	mostSeeds    = 1000
	mostParallel = 64
	mostRouters  = 2000
)

var (
	days = map[string]fleet.Day{"hang": fleet.ReplicaHangs, "lag": fleet.ReplicasStall, "replace": fleet.ReplicasReplaced, "zone-fails": fleet.ZoneFails, "zone-loses": fleet.ZoneLoses,
		"zone-slow": fleet.ZoneSlow, "zone-hangs": fleet.ZoneHangs, "zone-cold": fleet.ZoneCold}
	words = map[string]fleet.Way{"none": {}, "positions": {Talk: true}, "roles": {Talk: true, Primes: true}, "loads": {Talk: true, Loads: true},
		"all":   {Talk: true, Loads: true, Primes: true},
		"zones": {Talk: true, Loads: true, Primes: true, Zones: true}, "numbered": {Talk: true, Loads: true, Primes: true, Zones: true, Numbers: true}}
)

// Load reads an experiment. changes are made before it is checked.
func Load(path string, changes ...func(*Experiment)) (*Experiment, error) {
	x := &Experiment{dir: filepath.Dir(path), Parallel: 1}
	if err := strict(path, x); err != nil {
		return nil, err
	}
	for _, change := range changes {
		change(x)
	}
	if err := x.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return x, nil
}

// strict reads a YAML file into something; what it does not know is an error with its place.
func strict(path string, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(into); err != nil {
		return fmt.Errorf("%s: %s", path, strings.ReplaceAll(yaml.FormatError(err, false, false), "\n", " "))
	}
	return nil
}

func (x *Experiment) check() error {
	if (len(x.Trials) > 0) == (len(x.Plays) > 0) {
		return fmt.Errorf("name trials or plays, and not both")
	}
	if x.Seeds < 1 || x.Seeds > mostSeeds {
		return fmt.Errorf("seeds: %d is no number from 1 to %d", x.Seeds, mostSeeds)
	}
	if x.Parallel < 1 || x.Parallel > mostParallel {
		return fmt.Errorf("parallel: %d is no number from 1 to %d", x.Parallel, mostParallel)
	}
	if len(x.Ways) == 0 {
		return fmt.Errorf("ways: at least one is needed")
	}
	seen := map[string]bool{}
	for i, w := range x.Ways {
		ofTrial := w.Program != "" || w.Settings != nil || w.Processes != 0 || w.Edit != nil
		switch {
		case w.Name == "" || seen[w.Name]:
			return fmt.Errorf("ways[%d].name: %q is empty or was named before", i, w.Name)
		case w.Words != "" && len(x.Trials) > 0:
			return fmt.Errorf("ways[%d].words is for plays", i)
		case ofTrial && len(x.Plays) > 0:
			return fmt.Errorf("ways[%d]: program, settings, edit and processes are for trials", i)
		case w.Program != "" && w.Edit != nil:
			return fmt.Errorf("ways[%d]: a program that was built before can't be edited", i)
		case w.Processes < 0:
			return fmt.Errorf("ways[%d].processes: %d", i, w.Processes)
		}
		if _, ok := words[w.Words]; !ok && len(x.Plays) > 0 {
			return fmt.Errorf("ways[%d].words: %q is none of %s", i, w.Words, strings.Join(names(words), ", "))
		}
		seen[w.Name] = true
		if w.Program != "" {
			x.Ways[i].Program = x.path(w.Program)
			if _, err := os.Stat(x.Ways[i].Program); err != nil {
				return fmt.Errorf("ways[%d].program: %w", i, err)
			}
		}
	}
	for i, p := range x.Plays {
		if _, ok := days[p.Day]; !ok || p.Routers < 1 || p.Routers > mostRouters {
			return fmt.Errorf("plays[%d]: %d routers (1 to %d), day %q (%s)", i, p.Routers, mostRouters, p.Day, strings.Join(names(days), ", "))
		}
	}
	for i, f := range x.Figures {
		if !slices.ContainsFunc(figures, func(x figure) bool { return x.name == f }) {
			return fmt.Errorf("figures[%d]: %q is none of %s", i, f, strings.Join(figureNames(), ", "))
		}
	}
	return nil
}

func names[T any](m map[string]T) (out []string) {
	for name := range m {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func (x *Experiment) path(p string) string {
	if filepath.IsAbs(p) {
		return p
	}
	return filepath.Join(x.dir, p)
}

// cases lists what is played in each way: files of trials, or plays, each with its name.
func (x *Experiment) cases() (out []*Case, err error) {
	for _, p := range x.Plays {
		out = append(out, &Case{Name: fmt.Sprintf("%s, %d routers", p.Day, p.Routers), Fault: fleet.ZoneFaultDuration(days[p.Day]), play: p})
	}
	for _, p := range x.Trials {
		files, err := trial.Files(x.path(p))
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			spec, err := trial.Load(file)
			if err != nil {
				return nil, err
			}
			out = append(out, &Case{Name: strings.TrimSuffix(filepath.Base(file), ".yaml"), Fault: spec.FaultLasts().Seconds(), file: file})
		}
	}
	return out, nil
}
