package shape

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzLexer: tokens lie in order, none overlaps another, and between them there is only white space and comments.
func FuzzLexer(f *testing.F) {
	for _, seed := range []string{"select 'a' 'b'\n'c', E'\\'', $x$ $y$ $x$", "a--b\n/*c/*d*/e*/f", "1.5e-3 .5 1..2 0xF 1_0 $1 a.b::c[1:2]",
		"U&\"a\" u&'b' N'c' \"\"\"\" @-@ <-> *-", "\xc3\xa9 \x00"} {
		f.Add(seed, false)
		f.Add(seed, true)
	}
	f.Fuzz(func(t *testing.T, text string, old bool) {
		l := lexer{text: []byte(text), oldRule: old}
		at := 0
		for {
			k := l.next()
			require.True(t, at <= k.at && k.at <= k.end && k.end <= len(text))
			if k.kind == kBad {
				return
			}
			gap := lexer{text: []byte(text[at:k.at])}
			require.Equal(t, kEnd, gap.next().kind, "%q", text[at:k.at])
			if k.kind == kEnd {
				require.Equal(t, len(text), k.end)
				return
			}
			require.Less(t, k.at, k.end)
			at = k.end
		}
	})
}

// FuzzCorpus: a file of statements is read or refused; what is read is classed.
func FuzzCorpus(f *testing.F) {
	f.Add("-- expect: need=any\nselect 1;\nselect 'a;\n';\n")
	f.Add("-- expect: x\n")
	b, s := newBook(f, plainTerms())
	f.Fuzz(func(t *testing.T, text string) {
		all, err := ReadCorpus(strings.NewReader(text))
		if err != nil {
			return
		}
		for _, x := range all {
			require.NotEmpty(t, b.Tell(s, x, 0).Reason)
		}
	})
}
