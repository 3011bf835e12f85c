package shape

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"eiderway/splitter"
)

// plainTerms class with no rule at all.
func plainTerms() Terms {
	return Terms{Seed: 1, Memory: 4 << 20, ParseRate: 1e12, Kinds: []Kind{
		{Name: "read", Need: splitter.NeedBounded, Bound: 0.2}, {Name: "volatile", Need: splitter.NeedBounded, Bound: 0.2,
			Effect: splitter.OnceOnly}, {Name: "write", Need: splitter.NeedPrimary, Effect: splitter.OnceOnly}},
		Read: 0, Volatile: 1, Write: 2}
}

func newBook(t testing.TB, terms Terms) (*Book, *Scratch) {
	b, err := New(terms)
	require.NoError(t, err)
	return b, b.Scratch()
}

func corpus(t testing.TB) (all []Sample) {
	files, err := filepath.Glob("testdata/corpus/*.sql")
	require.NoError(t, err)
	for _, name := range files {
		f, err := os.Open(name)
		require.NoError(t, err)
		samples, err := ReadCorpus(f)
		f.Close()
		require.NoError(t, err, name)
		all = append(all, samples...)
	}
	return all
}

// TestCorpus classes every statement of the corpus, and counts the reads that needlessly go to the primary.
func TestCorpus(t *testing.T) {
	b, s := newBook(t, plainTerms())
	all := corpus(t)
	require.Greater(t, len(all), 2000)
	reads, needless := 0, 0
	for _, sample := range all {
		told := b.Tell(s, sample, 0)
		if err := sample.Check(told); err != nil {
			t.Errorf("line %d: %v\n\t%s", sample.Line, err, sample.Text)
		}
		if truly := slices.Contains(sample.Expect, "reads"); truly || slices.Contains(sample.Expect, "need=bounded") {
			reads++
			if told.Need == "primary" {
				needless++
			}
		}
	}
	t.Logf("%d statements, %d reads, %d of them needlessly at the primary", len(all), reads, needless)
	require.Less(t, needless*50, reads, "2 %% of the reads")
}

func TestCorpusNotation(t *testing.T) {
	all, err := ReadCorpus(strings.NewReader("-- a comment\nselect 1;\n-- expect: need=any reason=\"only reads\"\n" +
		"select 'a;\n';\nselect 2; select 3;\n;\n-- expect: nothing\nselect 4"))
	require.NoError(t, err)
	require.Len(t, all, 4)
	require.Equal(t, Sample{4, "select 'a;\n'", []string{"need=any", "reason=only reads"}}, all[1])
	require.Equal(t, Sample{6, "select 2; select 3", all[1].Expect}, all[2])
	require.Equal(t, Sample{9, "select 4", []string{"nothing"}}, all[3])
	_, err = ReadCorpus(strings.NewReader("select 1;\n-- expect: ned=any"))
	require.ErrorContains(t, err, "line 2")
	told := Told{Need: "primary", Effect: "once-only", Reason: "insert"}
	for _, wrong := range []string{"need=any", "effect=repeatable", "reason=delete", "pins", "type=x", "group=3"} {
		require.Error(t, Sample{Expect: []string{wrong}}.Check(told), wrong)
	}
}
