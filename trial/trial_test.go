package trial

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderway/trial/judge"
)

var (
	long = flag.Bool("long", false, "play the long trials too, for many minutes")
	keep = flag.String("keep", "", "a folder for histories and logs")
)

const tries = 4 // a rig that was late shows nothing and is played again

var programs = map[bool]string{}

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "trial-")
	if err == nil {
		for _, planted := range []bool{false, true} {
			if programs[planted], err = Build(context.Background(), dir, planted); err != nil {
				break
			}
		}
	}
	code := 1
	if err != nil {
		os.Stderr.WriteString(err.Error() + "\n")
	} else {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

func play(t *testing.T, path string) *Result {
	for range tries {
		spec, err := Load(path)
		require.NoError(t, err)
		dir := t.TempDir()
		if *keep != "" {
			dir = filepath.Join(*keep, filepath.Base(path))
		}
		res, err := Run(t.Context(), spec, Options{Dir: dir, Program: programs[spec.Plant != "" || spec.Clock != ""]})
		require.NoError(t, err)
		if res.Verdict.Void != "" {
			t.Log(res.Verdict.Void)
			continue
		}
		t.Logf("%d routers, rig late by %s; txns %d, served %d, changes %d, obeyed %d, gaps %.3f", spec.Fleet.Routers, res.Late.Round(time.Millisecond),
			res.Verdict.Counts["send"], res.Verdict.Counts["served"], res.Verdict.Changes, res.Verdict.Counts["obeyed"], res.Verdict.Gaps)
		if spec.Measure != "" {
			t.Logf("statements to zone %s by half seconds from the first fault on: %d", spec.Measure, res.Asked)
		}
		require.Empty(t, res.Failed, "%+v", res.Verdict.Wrong)
		return res
	}
	t.Fatalf("the rig was late %d times: this machine shows nothing", tries)
	return nil
}

// TestTrials plays what CI has time for: processes of the program under faults, and programs with faults, each of which has
// to be found.
func TestTrials(t *testing.T) {
	for _, dir := range []string{"ci", "planted"} {
		files, err := filepath.Glob(filepath.Join("testdata", dir, "*.yaml"))
		require.NoError(t, err)
		require.NotEmpty(t, files)
		for _, file := range files {
			t.Run(dir+"/"+strings.TrimSuffix(filepath.Base(file), ".yaml"), func(t *testing.T) {
				t.Parallel()
				play(t, file)
			})
		}
	}
}

// TestLong plays the long ones: go test ./trial -run TestLong -long -timeout 60m.
func TestLong(t *testing.T) {
	if !*long {
		t.Skip("-long plays them")
	}
	files, err := filepath.Glob("testdata/long/*.yaml")
	require.NoError(t, err)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".yaml"), func(t *testing.T) { play(t, file) })
	}
}

// TestCommands: eiderway lease and drain, as operators and their scripts use them.
func TestCommands(t *testing.T) {
	spec, err := Load(filepath.Join("testdata", "ci", "hands.yaml"), func(s *Spec) {
		s.Name, s.For, s.Faults, s.Fleet.Routers, s.Expect, s.Load.Rate = "commands", "6s", nil, 3, Expect{}, 0
	})
	require.NoError(t, err)
	res, err := Run(t.Context(), spec, Options{Dir: t.TempDir(), Program: programs[false], Ready: func(program string, sockets []string) {
		run := runs(t, program)
		hold := exec.Command(program, "lease", "hold", "job", "--socket", sockets[0])
		pipe, err := hold.StdoutPipe()
		assert.NoError(t, err)
		assert.NoError(t, hold.Start())
		line, err := bufio.NewReader(pipe).ReadString('\n')
		assert.NoError(t, err)
		assert.Contains(t, line, "held token=")
		run(0, "job", "lease", "status", "--socket", sockets[0])
		run(0, `"held":true`, "lease", "status", "--json", "--socket", sockets[0])
		run(0, "", "lease", "tell", "job", "hello there", "--socket", sockets[0])
		run(1, "does not hold", "lease", "tell", "job", "hello", "--socket", sockets[1])
		run(1, "is asked for here already", "lease", "hold", "job", "--socket", sockets[0])
		run(4, "not to be had in time", "lease", "hold", "job", "--wait", "300ms", "--socket", sockets[1])
		run(1, "none of the tasks", "lease", "hold", "other", "--socket", sockets[1])
		run(1, "no other router's number", "lease", "give", "job", "9", "--socket", sockets[0])
		run(0, "", "lease", "give", "job", "2", "--socket", sockets[0])
		e := (*exec.ExitError)(nil)
		assert.ErrorAs(t, hold.Wait(), &e)
		assert.Equal(t, 3, e.ExitCode(), "it was given away")
		run(0, "", "lease", "release", "job", "--socket", sockets[2])
		run(0, "serving", "drain", "status", "--socket", sockets[1])
		run(0, "drained", "drain", "--socket", sockets[1])
		run(0, "drained", "drain", "status", "--socket", sockets[1])
		run(0, "serving", "drain", "cancel", "--socket", sockets[1])
		run(1, "a word is in one line", "lease", "tell", "job", "two\nlines", "--socket", sockets[1])
	}})
	require.NoError(t, err)
	require.Empty(t, res.Failed)
}

// runs calls the program, and looks at its exit code and at something that it says.
func runs(t *testing.T, program string) func(code int, says string, args ...string) {
	return func(code int, says string, args ...string) {
		out, err := exec.Command(program, args...).CombinedOutput()
		got := 0
		if e := (*exec.ExitError)(nil); errors.As(err, &e) {
			got = e.ExitCode()
		}
		assert.Equal(t, code, got, "%v: %s", args, out)
		assert.Contains(t, string(out), says, "%v", args)
	}
}

// TestZoneCommands: eiderway zone, as operators use it, asked of any router, from the first moment on: no router numbers the
// steps yet.
func TestZoneCommands(t *testing.T) {
	for _, steps := range []bool{true, false} {
		spec, err := Load(filepath.Join("testdata", "ci", "zone-hand.yaml"), func(s *Spec) {
			s.Name, s.For, s.Faults, s.Fleet.Routers, s.Expect, s.Measure = "commands", "12s", nil, 3, Expect{}, ""
			if !steps {
				s.Settings, s.For = "zones: {}\n", "2s"
			}
		})
		require.NoError(t, err)
		res, err := Run(t.Context(), spec, Options{Dir: t.TempDir(), Program: programs[false], Ready: func(program string, sockets []string) {
			run := runs(t, program)
			if !steps {
				run(1, "no router numbers the steps here", "zone", "leave", "c", "--socket", sockets[0])
				run(0, "own sums", "zone", "status", "--socket", sockets[0])
				return
			}
			shows := func(says string, args ...string) { // in the end
				assert.Eventually(t, func() bool {
					out, err := exec.Command(program, append(args, "--socket", sockets[1])...).CombinedOutput()
					return err == nil && strings.Contains(string(out), says)
				}, 10*time.Second, 10*time.Millisecond, "%v does not say %s", args, says)
			}
			run(1, `"x" is no zone`, "zone", "leave", "x", "--socket", sockets[1])
			run(0, "answers a second in all", "zone", "leave", "c", "--dry", "--socket", sockets[1])
			run(0, "leave c: ordered, used by 0.000", "zone", "leave", "c", "--socket", sockets[0])
			run(0, "leave c: ordered", "zone", "leave", "c", "--socket", sockets[2]) // again, of another: nothing to do
			shows("leave", "zone", "status")                                         // all routers know of it, and whose word it was
			shows("router ", "zone", "status")
			run(0, `"hand":"leave"`, "zone", "status", "--json", "--socket", sockets[2])
			run(0, "hold c: ordered", "zone", "hold", "c", "--socket", sockets[1])
			run(0, "return c: ordered, used by 1.000", "zone", "return", "c", "--socket", sockets[2])
			run(0, "auto c: ordered", "zone", "auto", "c", "--socket", sockets[0])
		}})
		require.NoError(t, err)
		require.Empty(t, res.Failed)
	}
}

// TestSpec: the same seed draws the same faults, and what is wrong in a trial is told.
func TestSpec(t *testing.T) {
	path := filepath.Join("testdata", "ci", "drawn.yaml")
	one, err := Load(path)
	require.NoError(t, err)
	two, err := Load(path)
	require.NoError(t, err)
	require.Equal(t, one.Faults, two.Faults)
	other, err := Load(path, func(s *Spec) { s.Seed++ })
	require.NoError(t, err)
	require.NotEqual(t, one.Faults, other.Faults)
	for text, why := range map[string]string{
		"fleet: {routers: 0}\n":                                         "fleet.routers",
		"fleet: {routers: 3}\nfaults: [{what: burn}]\n":                 `faults[0].what: "burn"`,
		"fleet: {routers: 3}\nfaults: [{what: kill, at: soon}]\n":       "faults[0].at",
		"fleet: {routers: 3}\nfault: []\n":                              "unknown field",
		"fleet: {routers: 3}\ndrawn: {every: 1s, whats: [burn]}\n":      `drawn: "burn"`,
		"fleet: {routers: 3}\nfor: long\n":                              "for:",
		"fleet: {routers: 3}\ndrawn: {longest: 1ms, whats: [freeze]}\n": "longest at least",
	} {
		path := filepath.Join(t.TempDir(), "x.yaml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := Load(path)
		require.ErrorContains(t, err, why)
	}
}

// TestJudge: each rule is broken by a history that breaks it and nothing else.
func TestJudge(t *testing.T) {
	send := func(at float64, txn, typ string) judge.Event {
		return judge.Event{T: at, Kind: "send", Txn: txn, Type: typ, Key: "0/k1", Wait: 1, Bound: 0.2}
	}
	took := func(at float64, router int, token uint64) judge.Event {
		return judge.Event{T: at, At: at, Kind: "lease", What: "took", Task: "x", Router: router, Holder: router, Token: token, Life: 1}
	}
	tookUntil := func(at, until float64, router int, token uint64) judge.Event {
		e := took(at, router, token)
		e.Until = until
		return e
	}
	lost := func(at float64, router int, token uint64) judge.Event {
		return judge.Event{T: at, Until: at, Kind: "lease", What: "lost", Task: "x", Router: router, Token: token, Life: 1}
	}
	obeyed := func(at float64, router, holder int, token, number uint64) judge.Event {
		return judge.Event{T: at, Kind: "lease", What: "obeyed", Task: "x", Router: router, Holder: holder, Token: token, Number: number, Life: 1}
	}
	ran := func(at float64, txn, typ, body string, primary bool) judge.Event {
		return judge.Event{T: at, Kind: "ran", Txn: txn, Type: typ, Key: "0/k1", Body: body, Node: "n", Primary: primary}
	}
	answer := func(at float64, txn, code, body string) judge.Event {
		return judge.Event{T: at, Kind: "answer", Txn: txn, Code: code, Body: body}
	}
	end := judge.Event{T: 100, Kind: "late"}
	for name, x := range map[string]struct {
		rule    string
		history []judge.Event
	}{
		"fine": {"", []judge.Event{send(1, "a", "pay"), ran(1.1, "a", "pay", "5", true), answer(1.2, "a", "", "5"), send(2, "b", "look"), answer(2.1, "b", "", "5"),
			took(3, 0, 1), obeyed(3.1, 0, 0, 1, 1), obeyed(3.2, 1, 0, 1, 1), lost(4, 0, 1), took(4, 1, 2), obeyed(4.1, 1, 1, 2, 1), obeyed(4.2, 0, 1, 2, 1)}},
		"no answer":        {"one answer", []judge.Event{send(1, "a", "look")}},
		"router not there": {"", []judge.Event{{T: 1, Kind: "end", Life: 1}, send(2, "a", "look"), answer(2, "a", "none", ""), {T: 3, Kind: "start", Life: 2}}},
		"router was back":  {"one answer", []judge.Event{{T: 1, Kind: "end", Life: 1}, {T: 1.2, Kind: "start", Life: 2}, send(2, "a", "look"), answer(2, "a", "none", "")}},
		"two answers":      {"one answer", []judge.Event{send(1, "a", "look"), answer(1.1, "a", "", "0"), answer(1.2, "a", "53300", "")}},
		"twice":            {"no effect twice", []judge.Event{send(1, "a", "pay"), ran(1.1, "a", "pay", "5", true), ran(1.2, "a", "pay", "5", true), answer(1.3, "a", "", "5")}},
		"lost":             {"nothing lost", []judge.Event{send(1, "a", "pay"), answer(1.3, "a", "", "5")}},
		"declined and ran": {"declined is harmless", []judge.Event{send(1, "a", "pay"), ran(1.1, "a", "pay", "5", true), answer(1.3, "a", "53300", "")}},
		"at a replica":     {"writes at the primary", []judge.Event{send(1, "a", "pay"), ran(1.1, "a", "pay", "5", false), answer(1.3, "a", "08007", "")}},
		"stale": {"fresh enough", []judge.Event{send(1, "a", "pay"), ran(1.1, "a", "pay", "5", true), answer(1.2, "a", "", "5"), send(2, "b", "look"),
			answer(2.1, "b", "", "0")}},
		"drained":             {"nothing to a node that drains", []judge.Event{{T: 1, Kind: "told", Node: "n", What: "Terminating"}, ran(9, "a", "look", "", false)}},
		"two holders":         {"one holder", []judge.Event{took(3, 0, 1), took(4, 1, 2), lost(4.001, 0, 1), lost(5, 1, 2)}},
		"killed holder":       {"", []judge.Event{took(3, 0, 1), {T: 3.5, Kind: "end", Life: 1}, took(4, 1, 2), lost(5, 1, 2)}},
		"killed while frozen": {"", []judge.Event{took(3, 0, 1), {T: 3.2, Kind: "fault", What: "freeze"}, took(4, 1, 2), {T: 4.4, Kind: "fault", What: "kill"}, {T: 4.5, Kind: "end", Life: 1}, lost(5, 1, 2)}},
		"killed, was silent":  {"", []judge.Event{tookUntil(3, 3.2, 0, 1), took(4, 1, 2), {T: 4.4, Kind: "end", Life: 1}, lost(5, 1, 2)}},
		"killed, spoke late": {"one holder", []judge.Event{tookUntil(3, 3.2, 0, 1), took(4, 1, 2), obeyed(4.1, 0, 0, 1, 1), {T: 4.4, Kind: "end", Life: 1},
			lost(5, 1, 2)}},
		"tokens":     {"tokens rise", []judge.Event{took(3, 0, 2), lost(4, 0, 2), took(4, 1, 2), lost(5, 1, 2)}},
		"one token":  {"one holder a token", []judge.Event{obeyed(3, 2, 0, 1, 1), obeyed(3.1, 3, 1, 1, 1)}},
		"older word": {"no older word is obeyed", []judge.Event{obeyed(3, 2, 0, 2, 1), obeyed(3.1, 2, 1, 1, 1)}},
		"an older holder acts where the newer was not heard": {"no two act at once", []judge.Event{took(1, 0, 1), lost(2, 0, 1), took(2, 1, 2), obeyed(2.1, 1, 1, 2, 1),
			obeyed(2.2, 2, 1, 2, 1), obeyed(2.3, 0, 0, 1, 7), obeyed(2.4, 3, 0, 1, 7)}},
	} {
		v := judge.Judge(append(x.history, end))
		rules := []string{}
		for _, f := range v.Wrong {
			rules = append(rules, f.Rule)
		}
		if x.rule == "" {
			require.Empty(t, rules, name)
		} else {
			require.Equal(t, []string{x.rule}, rules, name)
		}
	}
	require.NotEmpty(t, judge.Judge([]judge.Event{{Kind: "late", Until: 0.06}}).Void, "a rig that was late shows nothing")
}
