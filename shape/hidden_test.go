package shape

import (
	"flag"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"eiderway/testserver"
)

var many = flag.Int("statements", 20_000, "random statements that a write is hidden in")

// TestHiddenWrites hides a write in each of many random reads. None may be classed as a read. Of the reads without
// one, none is sent to the primary either, since they hold nothing that nobody declared.
func TestHiddenWrites(t *testing.T) {
	b, s := newBook(t, plainTerms())
	rng := rand.New(rand.NewSource(7))
	w := &testserver.Writer{Draw: rng.Intn}
	needless := 0
	for i := range *many {
		text := w.Statement(true)
		s.Read([]byte(text))
		if c := b.Class(s, 0); !c.Writes {
			t.Fatalf("%d, taken for a read (%s):\n%s\n%s", i, c.Reason, text, s.Norm)
		}
		if i%10 == 0 {
			text = w.Statement(false)
			s.Read([]byte(text))
			if c := b.Class(s, 0); c.Writes {
				needless++
				t.Logf("needlessly at the primary (%s): %s", c.Reason, text)
			}
		}
	}
	require.Zero(t, needless)
	t.Logf("%d statements with a hidden write, none taken for a read; %d reads", *many, *many/10)
}

// TestHiddenWritesShrink does the same with rapid, which finds the smallest statement that slips through.
func TestHiddenWritesShrink(t *testing.T) {
	b, s := newBook(t, plainTerms())
	rapid.Check(t, func(rt *rapid.T) {
		w := &testserver.Writer{Draw: func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }}
		text := w.Statement(true)
		s.Read([]byte(text))
		if c := b.Class(s, 0); !c.Writes {
			rt.Fatalf("taken for a read (%s): %s", c.Reason, text)
		}
		again := b.Scratch()
		again.Read(s.Norm)
		if !s.Bad && string(again.Norm) != string(s.Norm) {
			rt.Fatalf("another shape when lexed again: %s / %s", s.Norm, again.Norm)
		}
	})
}
