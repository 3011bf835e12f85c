package lab

import (
	"bytes"
	"math/rand"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eiderway/fleet"
	"eiderway/trial/judge"
)

// TestWords: an experiment in virtual time says the same twice, and what is known of knowing.
func TestWords(t *testing.T) {
	texts := make([]string, 2)
	for i := range texts {
		x, err := Load("testdata/words.yaml", func(x *Experiment) { x.Seeds, x.Plays = 4, x.Plays[:1] })
		require.NoError(t, err)
		cases, err := Perform(t.Context(), x, Options{Dir: t.TempDir(), Progress: func(string) {}})
		require.NoError(t, err)
		var text, html bytes.Buffer
		require.NoError(t, x.Text(&text, cases))
		require.NoError(t, x.HTML(&html, cases))
		texts[i] = text.String()
		require.Contains(t, html.String(), "together")
		all := cases[0].Ways[2]
		require.True(t, all.Than["probes"].Told)
		require.Negative(t, all.Than["probes"].High)
		require.True(t, all.Than["words"].Told)
		require.False(t, cases[0].Ways[1].Than["in_time"].Mean > 0)
	}
	require.Equal(t, texts[0], texts[1])
}

// TestDiffer: what is there is told, what is not is not, and few pairs tell nothing.
func TestDiffer(t *testing.T) {
	rng := rand.New(rand.NewSource(7))
	told := 0
	for range 200 {
		var a, b []float64
		for range 8 {
			x := rng.NormFloat64()
			a, b = append(a, x), append(b, x+0.5*rng.NormFloat64())
		}
		if differ(a, b).Told {
			told++
		}
	}
	require.Less(t, told, 40, "no difference was told as one too often")
	a, b := []float64{1, 5, 3, 8}, []float64{2, 6.2, 3.9, 9.1} // far less than runs differ among themselves
	d := differ(a, b)
	require.True(t, d.Told)
	require.InDelta(t, 1.05, d.Mean, 1e-9)
	require.False(t, differ(a[:3], b[:3]).Told)
	require.Equal(t, Difference{}, differ(nil, nil))
}

// TestZoneFigures: a zone that is left, and returns in steps.
func TestZoneFigures(t *testing.T) {
	r := &Run{Values: map[string]float64{}, Asked: []int64{100, 50, 10, 0, 10, 20, 40, 80, 110, 100, 100, 100, 100}}
	r.zone(2 * time.Second)
	require.Equal(t, map[string]float64{"first": 0.5, "vain": 20.0 / 300, "most": 1.1, "end": 1, "back": 1.0}, r.Values)
	r = &Run{Values: map[string]float64{}, Asked: []int64{100, 0, 0, 60, 60, 60, 60}}
	r.zone(time.Second)
	require.Equal(t, 2.0, r.Values["back"], "never: as if it were when the run ends")
	all := latencies([]judge.Event{{T: 1, Kind: "send", Txn: "a", Type: "look"}, {T: 1, Kind: "send", Txn: "p", Type: "pay"},
		{T: 1, Kind: "send", Txn: "b", Type: "look"}, {T: 1.02, Kind: "answer", Txn: "b"}, {T: 1.01, Kind: "answer", Txn: "a"},
		{T: 1.03, Kind: "answer", Txn: "p"}, {T: 2, Kind: "answer", Txn: "a", Code: "53300"}})
	require.InDeltaSlice(t, []float64{10, 20}, all, 1e-6, "served reads only")
}

// TestExperiments: what is wrong in one is told.
func TestExperiments(t *testing.T) {
	for text, why := range map[string]string{
		"seeds: 2\nways: [{name: a}]\n":                                                            "trials or plays",
		"plays: [{routers: 3, day: hang}]\nways: [{name: a, words: all}]\n":                        "seeds: 0",
		"plays: [{routers: 3, day: rain}]\nseeds: 1\nways: [{name: a, words: all}]\n":              `day "rain"`,
		"plays: [{routers: 3, day: hang}]\nseeds: 1\nways: [{name: a, words: some}]\n":             `"some" is none of`,
		"plays: [{routers: 3, day: hang}]\nseeds: 1\nways: [{name: a, words: all, settings: x}]\n": "are for trials",
		"trials: [x.yaml]\nseeds: 1\nways: [{name: a, words: all}]\n":                              "is for plays",
		"trials: [x.yaml]\nseeds: 1\nways: [{name: a}, {name: a}]\n":                               "named before",
		"trials: [x.yaml]\nseeds: 1\nways: [{name: a, program: nowhere}]\n":                        "ways[0].program",
		"trials: [x.yaml]\nseeds: 1\nways: [{name: a, program: x.yaml, edit: {file: x}}]\n":        "can't be edited",
		"trials: [x.yaml]\nseeds: 1\nfigures: [luck]\nways: [{name: a}]\n":                         `"luck" is none of`,
		"trials: [x.yaml]\nseeds: 1\nluck: 1\n":                                                    "unknown field",
	} {
		path := filepath.Join(t.TempDir(), "x.yaml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := Load(path)
		require.ErrorContains(t, err, why)
	}
	x, err := Load("testdata/words.yaml", func(x *Experiment) { x.Plays, x.Trials, x.Ways = nil, []string{"nowhere"}, []Way{{Name: "a"}} })
	require.NoError(t, err)
	_, err = Perform(t.Context(), x, Options{Dir: t.TempDir(), Progress: func(string) {}})
	require.Error(t, err, "no such trial")
}

// TestExperimentFiles: those that are kept can be read, and the texts that they take out are there.
func TestExperimentFiles(t *testing.T) {
	files, err := filepath.Glob("experiments/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		x, err := Load(file)
		require.NoError(t, err)
		cases, err := x.cases()
		require.NoError(t, err)
		require.NotEmpty(t, cases)
		for _, w := range x.Ways {
			if w.Edit != nil {
				_, _, err := w.overlay(t.Context(), t.TempDir())
				require.NoError(t, err)
			}
		}
	}
	_, _, err = (&Way{Name: "a", Edit: &Edit{File: "zone/steps.go", From: "no such text"}}).overlay(t.Context(), t.TempDir())
	require.ErrorContains(t, err, "0 times")
}

// TestHunt: nothing is found in the routers as they are; each planted fault is, and what is left of its play shows it again.
func TestHunt(t *testing.T) {
	h := Hunt{Seeds: 12, From: 1, Routers: 12, Parallel: 4, Progress: func(string) {}}
	got, err := h.Run(t.Context())
	require.NoError(t, err)
	require.Empty(t, got.Found)
	require.Greater(t, got.Txns, 25_000)
	for _, plant := range fleet.Plants {
		h.Plant, h.Seeds = plant, 3
		if plant == "forgets a drain" { // few plays have one early enough
			h.Seeds, h.From = 1, drainsEarly(t)
		}
		got, err := h.Run(t.Context())
		require.NoError(t, err)
		require.NotEmpty(t, got.Found, plant)
		x := got.Found[0]
		require.LessOrEqual(t, len(x.Setup.Faults), x.Faults, plant)
		path, err := Save(t.TempDir(), "found", x.Setup)
		require.NoError(t, err)
		again, err := Read(path)
		require.NoError(t, err)
		require.Equal(t, x.Setup, again)
		rule, why := shows(again, "", nil)
		require.Equal(t, x.Rule, rule, plant)
		require.Equal(t, x.Why, why, plant)
	}
}

// drainsEarly is the first seed that drains a replica so early that three seconds are left when nothing may come there.
func drainsEarly(t *testing.T) int64 {
	for seed := int64(1); seed < 10_000; seed++ {
		s := Draw(seed, 12)
		if len(s.Faults) > 0 && s.Faults[0].What == "drain" && s.Faults[0].At < 3.5 && s.Faults[0].Node%6 != 0 && s.Routers > 6 {
			return seed
		}
	}
	require.Fail(t, "no seed")
	return 0
}

// TestPlays: what is wrong in a play is told.
func TestPlays(t *testing.T) {
	for text, why := range map[string]string{
		"routers: 0\n":          "routers: 0",
		"routers: 3\n":          "lasts some seconds",
		"routers: 3\nluck: 1\n": "unknown field",
		"routers: 3\nfor: 9\nfaults: [{at: 1, what: rain}]\n":                      `"rain" at 1 s`,
		"routers: 3\nfor: 9\nfaults: [{at: 10, what: hang}]\n":                     `"hang" at 10 s`,
		"routers: 3\nfor: 9\nplant: luck\nfaults: [{at: 1, what: hang, for: 1}]\n": `"luck" is none of`,
	} {
		path := filepath.Join(t.TempDir(), "x.yaml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := Read(path)
		require.ErrorContains(t, err, why)
	}
}
