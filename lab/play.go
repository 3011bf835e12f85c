package lab

// This file owns the runs: each way with each seed, some at a time. It must never let a way have a seed that another has not.

import (
	"cmp"
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"eiderway/fleet"
	"eiderway/trial"
)

// Case is a trial or a play with what came of it.
type Case struct {
	Name  string    `json:"name"`
	Ways  []*Result `json:"ways"`
	Fault float64   `json:"fault"` // s that the first fault lasts
	file  string
	play  Play
}

// Result is what a way has brought, by seed.
type Result struct {
	Way  string                `json:"way"`
	Runs []*Run                `json:"runs"`
	Than map[string]Difference `json:"than,omitempty"` // from the first way, by figure
}

// Options are of a run of an experiment.
type Options struct {
	Dir      string // for programs, logs and histories
	Progress func(string)
}

const voidTries = 4 // a run whose rig was late shows nothing and is played again

// Perform plays an experiment.
func Perform(ctx context.Context, x *Experiment, opt Options) ([]*Case, error) {
	cases, err := x.cases()
	if err != nil {
		return nil, err
	}
	build := sync.OnceValues(func() (string, error) { return trial.Build(ctx, opt.Dir, false) })
	planted := sync.OnceValues(func() (string, error) { return trial.Build(ctx, opt.Dir, true) })
	var mu sync.Mutex
	done, all := 0, len(cases)*len(x.Ways)*x.Seeds
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(x.Parallel)
	for _, c := range cases {
		for i, w := range x.Ways {
			r := &Result{Way: w.Name, Runs: make([]*Run, x.Seeds)}
			c.Ways = append(c.Ways, r)
			for k := range x.Seeds {
				g.Go(func() error {
					if ctx.Err() != nil {
						return ctx.Err()
					}
					run, err := x.one(ctx, c, w, int64(k+1), filepath.Join(opt.Dir, c.Name, fmt.Sprintf("%d-%d", i, k+1)), build, planted)
					if err != nil {
						return fmt.Errorf("%s, %s, seed %d: %w", c.Name, w.Name, k+1, err)
					}
					r.Runs[k] = run
					mu.Lock()
					defer mu.Unlock()
					done++
					opt.Progress(fmt.Sprintf("[%d/%d] %s, %s, seed %d", done, all, c.Name, w.Name, k+1))
					return nil
				})
			}
		}
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	for _, c := range cases {
		c.compare()
	}
	return cases, nil
}

// one plays a case in a way, once.
func (x *Experiment) one(ctx context.Context, c *Case, w Way, seed int64, dir string, build, planted func() (string, error)) (*Run, error) {
	if c.file == "" {
		return ofPlay(seed, fleet.Play(c.play.Routers, words[w.Words], days[c.play.Day], seed)), nil
	}
	void := 0
	for {
		spec, err := trial.Load(c.file, func(s *trial.Spec) {
			s.Seed = seed
			if w.Settings != nil {
				s.Settings = *w.Settings
			}
			s.Fleet.Routers = cmp.Or(w.Processes, s.Fleet.Routers)
		})
		if err != nil {
			return nil, err
		}
		program := w.Program
		if spec.Plant != "" || spec.Clock != "" {
			program, err = planted()
		} else if program == "" {
			program, err = build()
		}
		if err != nil {
			return nil, err
		}
		res, err := trial.Run(ctx, spec, trial.Options{Dir: dir, Program: program})
		if err != nil {
			return nil, err
		}
		if res.Verdict.Void != "" && void < voidTries-1 {
			void++
			continue
		}
		if res.Verdict.Void != "" {
			return nil, fmt.Errorf("%s, %d times: fewer at a time may do", res.Verdict.Void, voidTries)
		}
		run, err := ofTrial(spec, res)
		if err == nil {
			run.Void, run.History = void, res.History
		}
		return run, err
	}
}

// compare works out how each way differs from the first.
func (c *Case) compare() {
	base := c.Ways[0]
	for _, r := range c.Ways[1:] {
		r.Than = map[string]Difference{}
		for _, f := range figures {
			var a, b []float64
			for k := range r.Runs {
				x, ok1 := base.Runs[k].Values[f.name]
				y, ok2 := r.Runs[k].Values[f.name]
				if ok1 && ok2 {
					a, b = append(a, x), append(b, y)
				}
			}
			if len(a) > 0 {
				r.Than[f.name] = differ(a, b)
			}
		}
	}
}

// Median of a figure over the runs that have it; ok: some have.
func (r *Result) Median(name string) (v float64, ok bool) {
	var all []float64
	for _, run := range r.Runs {
		if v, has := run.Values[name]; has {
			all = append(all, v)
		}
	}
	return median(all), len(all) > 0
}

// Broken lists the rules that runs of a case broke, each once.
func (c *Case) Broken() (out []string) {
	for _, r := range c.Ways {
		for _, run := range r.Runs {
			for _, w := range run.Wrong {
				out = append(out, fmt.Sprintf("%s, seed %d: %s (%s)", r.Way, run.Seed, w, run.History))
			}
		}
	}
	return slices.Compact(out)
}
