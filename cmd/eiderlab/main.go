// Command eiderlab is the laboratory: it plays trials with several processes of the program and breaks what is between them.
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"eiderway/fleet"
	"eiderway/lab"
	"eiderway/trial"
	"eiderway/trial/judge"
)

// Exit codes beside 0.
const (
	exitWrong = 1 // a trial has shown something wrong, or not what it expects
	exitVoid  = 2 // the rig itself was late: nothing is shown
)

type trialCmd struct {
	Paths     []string      `arg:"" help:"Trials, or folders of them." type:"existingpath"`
	Processes int           `help:"Routers, in place of what the trial says."`
	Seed      int64         `help:"In place of the trial's."`
	For       time.Duration `help:"How long, in place of what the trial says."`
	Keep      string        `help:"A folder for programs, logs and histories; else they are kept only of trials that show something." type:"path"`
	Program   string        `help:"A program that was built before, in place of building it; without plants." type:"existingfile"`
	JSON      bool          `help:"Verdicts as JSON lines." name:"json"`
}

var errWrong, errVoid = errors.New("a trial has shown something wrong"), errors.New("the rig was late: that shows nothing")

func (t *trialCmd) Run() error {
	var files []string
	for _, p := range t.Paths {
		found, err := trial.Files(p)
		if err != nil {
			return err
		}
		files = append(files, found...)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir := t.Keep
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "eiderlab-"); err != nil {
			return err
		}
	}
	programs := map[bool]string{}
	var worst error
	for i, file := range files {
		spec, err := trial.Load(file, func(s *trial.Spec) {
			if t.Processes > 0 {
				s.Fleet.Routers = t.Processes
			}
			if t.Seed != 0 {
				s.Seed = t.Seed
			}
			if t.For > 0 {
				s.For = t.For.String()
			}
		})
		if err != nil {
			return err
		}
		planted := spec.Plant != "" || spec.Clock != ""
		if !planted && t.Program != "" {
			programs[planted] = t.Program
		}
		if programs[planted] == "" {
			if err := os.MkdirAll(dir, 0o700); err != nil {
				return err
			}
			if programs[planted], err = trial.Build(ctx, dir, planted); err != nil {
				return err
			}
		}
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		progress := func(text string) {
			if !t.JSON {
				fmt.Fprintf(os.Stderr, "[%d/%d] %s: %s\n", i+1, len(files), name, text)
			}
		}
		res, err := trial.Run(ctx, spec, trial.Options{Dir: filepath.Join(dir, name), Program: programs[planted], Progress: progress})
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		if t.JSON {
			json.NewEncoder(os.Stdout).Encode(map[string]any{"trial": name, "seed": spec.Seed, "routers": spec.Fleet.Routers, "failed": res.Failed,
				"late_ms": res.Late.Milliseconds(), "started_ms": res.Started.Milliseconds(), "memory": res.Memory, "verdict": res.Verdict})
		} else {
			show(name, spec, res)
		}
		switch {
		case res.Verdict.Void != "" && worst == nil:
			worst = errVoid
		case res.Verdict.Void == "" && len(res.Failed) > 0:
			worst = errWrong
		}
	}
	if t.Keep == "" && worst == nil {
		os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, "histories and logs:", dir)
	}
	return worst
}

// show prints a verdict.
func show(name string, s *trial.Spec, res *trial.Result) {
	v := res.Verdict
	verdict := "holds"
	switch {
	case v.Void != "":
		verdict = "void: " + v.Void
	case len(res.Failed) > 0:
		verdict = "FAILS"
	}
	fmt.Printf("%s: %s; %d routers, seed %d, up after %s, rig late by %s at most, %.1f MB a router\n", name, verdict, s.Fleet.Routers, s.Seed,
		res.Started.Round(time.Millisecond), res.Late.Round(time.Millisecond), float64(res.Memory)/1e6/float64(s.Fleet.Routers))
	fmt.Printf("  txns %d, served %d; holders changed %d times, words obeyed %d", v.Counts["send"], v.Counts["served"], v.Changes, v.Counts["obeyed"])
	if n := len(v.Gaps); n > 0 {
		fmt.Printf(", without a holder %.3f s in the middle, %.3f s at most", v.Gaps[n/2], v.Gaps[n-1])
	}
	fmt.Println()
	if len(res.Asked) > 0 {
		fmt.Printf("  declined %d, unanswered %d, late or failed %d; statements to zone %s a half second before the fault: %d, after it: %d\n", v.Counts["declined"],
			v.Counts["unanswered"], v.Counts["send"]-v.Counts["served"]-v.Counts["declined"]-v.Counts["unanswered"], s.Measure, res.Asked[0], res.Asked[1:])
	}
	if res.Falls > 0 {
		fmt.Printf("  nodes fell over %d times\n", res.Falls)
	}
	if len(res.Spread) > 0 {
		fmt.Printf("  calls for the list %d, %d refused; seconds until all had a new one: %.3f\n", res.Calls, res.Refused, res.Spread)
	}
	for _, f := range res.Failed {
		fmt.Println("  " + f)
	}
	for _, f := range v.Wrong {
		fmt.Printf("  %s: %s\n", f.Rule, f.Why)
		for _, e := range f.Story {
			text, _ := json.Marshal(e)
			fmt.Printf("    %s\n", text)
		}
	}
}

type compareCmd struct {
	Experiment string `arg:"" help:"An experiment: trials or plays, ways and seeds." type:"existingfile"`
	Seeds      int    `help:"In place of what the experiment says."`
	Parallel   int    `help:"Runs at a time, in place of what the experiment says."`
	Report     string `help:"Write a report there, one HTML file." type:"path"`
	Keep       string `help:"A folder for programs, logs and histories; else they are kept only if a rule was broken." type:"path"`
	JSON       bool   `help:"All figures as JSON." name:"json"`
}

func (c *compareCmd) Run() error {
	x, err := lab.Load(c.Experiment, func(x *lab.Experiment) {
		x.Seeds, x.Parallel = cmp.Or(c.Seeds, x.Seeds), cmp.Or(c.Parallel, x.Parallel)
	})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir := c.Keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "eiderlab-"); err != nil {
			return err
		}
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	cases, err := lab.Perform(ctx, x, lab.Options{Dir: dir, Progress: func(text string) { fmt.Fprintln(os.Stderr, text) }})
	if err != nil {
		return err
	}
	broken := 0
	for _, x := range cases {
		broken += len(x.Broken())
	}
	if c.Keep == "" && broken == 0 {
		os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, "histories and logs:", dir)
	}
	if c.Report != "" {
		out, err := os.Create(c.Report)
		if err != nil {
			return err
		}
		if err := errors.Join(x.HTML(out, cases), out.Close()); err != nil {
			return err
		}
	}
	if c.JSON {
		err = json.NewEncoder(os.Stdout).Encode(cases)
	} else {
		err = x.Text(os.Stdout, cases)
	}
	if err == nil && broken > 0 {
		err = errWrong
	}
	return err
}

type huntCmd struct {
	Plays    int      `help:"How many." default:"200"`
	From     int64    `help:"The first one's seed; each play has the next." default:"1"`
	Routers  int      `help:"At most." default:"30"`
	Parallel int      `help:"Plays at a time; 0: one a processor." default:"0"`
	Way      string   `help:"Of all plays; else it is drawn."`
	Than     string   `help:"A second way, for the same plays: where is the first one worse?"`
	Plant    string   `help:"A fault of the rig's own in all of them, to see that it is found."`
	Rule     []string `help:"Look for these rules only."`
	Save     string   `help:"A folder for what is found." default:"found" type:"path"`
}

func (h *huntCmd) Run() error {
	if h.Plant != "" && !slices.Contains(fleet.Plants, h.Plant) {
		return fmt.Errorf("--plant: %q is none of %s", h.Plant, strings.Join(fleet.Plants, ", "))
	}
	for flag, way := range map[string]string{"--way": h.Way, "--than": h.Than} {
		if ways := lab.HuntWays(); way != "" && !slices.Contains(ways, way) {
			return fmt.Errorf("%s: %q is none of %s", flag, way, strings.Join(ways, ", "))
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	out, err := lab.Hunt{Seeds: h.Plays, From: h.From, Routers: h.Routers, Parallel: cmp.Or(h.Parallel, runtime.NumCPU()), Way: h.Way, Than: h.Than, Plant: h.Plant, Rules: h.Rule,
		Progress: func(text string) { fmt.Fprintln(os.Stderr, text) }}.Run(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("%d plays, %d txns, %d plays broke a rule\n", out.Plays, out.Txns, len(out.Found))
	for _, x := range out.Found {
		path, err := lab.Save(h.Save, fmt.Sprintf("seed-%d", x.Setup.Seed), x.Setup)
		if err != nil {
			return err
		}
		fmt.Printf("  %s: %s\n    %d of %d faults are left: %s\n", x.Rule, x.Why, len(x.Setup.Faults), x.Faults, path)
	}
	if h.Than != "" {
		fmt.Printf("served, on the average of the plays: %+.4f from %s, %+.4f to %+.4f in 95 of 100 draws\n", out.Mean.Mean, h.Than, out.Mean.Low, out.Mean.High)
	}
	fmt.Println("the least served:")
	for _, l := range out.Lowest {
		if h.Than != "" {
			fmt.Printf("  %+.3f,", l.Served-l.Than)
		}
		fmt.Printf("  %.3f: seed %d, %d routers, %s:", l.Served, l.Setup.Seed, l.Setup.Routers, l.Setup.Way.Name)
		for _, x := range l.Setup.Faults {
			fmt.Printf(" %s", x.What)
		}
		fmt.Println()
	}
	if len(out.Found) > 0 {
		return errWrong
	}
	return nil
}

type replayCmd struct {
	Plays []string `arg:"" help:"Plays that were saved." type:"existingfile"`
}

func (r *replayCmd) Run() error {
	var worst error
	for _, path := range r.Plays {
		s, err := lab.Read(path)
		if err != nil {
			return err
		}
		f := s.Play()
		wrong := f.Violations()
		fmt.Printf("%s: %d txns, %.3f served, %d wrong\n", path, f.SentCount(), f.ServedShare(), len(wrong))
		for _, w := range wrong {
			worst = errWrong
			fmt.Printf("  %s: %s\n", w.Rule, w.Why)
			for _, e := range w.Story {
				text, _ := json.Marshal(e)
				fmt.Printf("    %s\n", text)
			}
		}
	}
	return worst
}

type judgeCmd struct {
	History string `arg:"" help:"A history that was kept." type:"existingfile"`
}

func (j *judgeCmd) Run() error {
	in, err := os.Open(j.History)
	if err != nil {
		return err
	}
	defer in.Close()
	events, err := judge.Read(in)
	if err != nil {
		return err
	}
	v := judge.Judge(events)
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", " ")
	out.Encode(v)
	if len(v.Wrong) > 0 {
		return errWrong
	}
	return nil
}

func main() {
	var cli struct {
		Trial   trialCmd   `cmd:"" help:"Play trials. Exit code 0: all hold, 1: one does not, 2: the rig was late and nothing is shown."`
		Compare compareCmd `cmd:"" help:"Play an experiment: the same trials or plays in several ways, paired by seed. Exit code 1: a rule was broken."`
		Hunt    huntCmd    `cmd:"" help:"Search in virtual time: faults drawn from seeds, judged, and made small. Exit code 1: a rule was broken."`
		Replay  replayCmd  `cmd:"" help:"Play again what a hunt saved."`
		Judge   judgeCmd   `cmd:"" help:"Judge a history again."`
	}
	k := kong.Parse(&cli, kong.Name("eiderlab"), kong.Description("Experiments with processes of eiderway."))
	switch err := k.Run(); {
	case errors.Is(err, errVoid):
		fmt.Fprintln(os.Stderr, "eiderlab:", err)
		os.Exit(exitVoid)
	case err != nil:
		fmt.Fprintln(os.Stderr, "eiderlab:", err)
		os.Exit(exitWrong)
	}
}
