package pgwire

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func TestBufferReadsMessagesHoweverTheyAreSplit(t *testing.T) {
	var stream []byte
	var want []string
	for _, n := range []int{0, 3, 5000, 1, 130 << 10, 0, 17} {
		want = append(want, strings.Repeat("x", n)+"\x00")
		stream = AppendQuery(stream, strings.Repeat("x", n))
	}
	for name, src := range map[string]io.Reader{"at once": bytes.NewReader(stream),
		"by bytes":  iotest.OneByteReader(bytes.NewReader(stream)),
		"by halves": iotest.HalfReader(bytes.NewReader(stream))} {
		var b Buffer
		var got []string
		for {
			m, ok, err := b.Next()
			require.NoError(t, err)
			if ok {
				require.Equal(t, byte('Q'), m.Type)
				got = append(got, string(m.Body))
				continue
			}
			if b.Fill(src) != nil {
				break
			}
		}
		require.Equal(t, want, got, name)
		require.LessOrEqual(t, cap(b.b), maxKept, "the memory of a large message is released")
	}
}

func TestBufferRefusesMalformedLengths(t *testing.T) {
	for _, bad := range []string{"Q\x00\x00\x00\x03", "Q\xff\xff\xff\xff", "Q\x00\x04\x00\x01"} {
		var b Buffer
		require.NoError(t, b.Fill(strings.NewReader(bad)))
		_, _, err := b.Next()
		require.ErrorIs(t, err, ErrMalformed, "%q", bad)
	}
	reply := Buffer{MaxLength: MaxReply}
	require.NoError(t, reply.Fill(strings.NewReader("D\x00\x01\x20\x01")))
	require.Equal(t, byte('D'), reply.PartialType())
	_, _, err := reply.Next()
	require.ErrorIs(t, err, ErrMalformed, "longer than a reply may be")
	for _, bad := range []string{"\x00\x00\x00\x07\x00\x03\x00\x00", "\x7f\x00\x00\x07\x00\x03\x00\x00"} {
		var b Buffer
		require.NoError(t, b.Fill(strings.NewReader(bad)))
		_, _, err := b.NextStartup()
		require.ErrorIs(t, err, ErrMalformed, "%q", bad)
	}
}

func TestMalformedFieldsAndValuesAreRejected(t *testing.T) {
	e := AppendError(nil, "ERROR", "53300", "no", "250")[5:]
	require.Equal(t, []string{"ERROR", "53300", "250", ""},
		[]string{ErrorField(e, 'S'), ErrorField(e, 'C'), ErrorField(e, 'D'), ErrorField(e, 'X')})
	for _, bad := range []string{"", "D", "D5", "D5\x00", "\x00", "D5\x00\x00\x00", "D5\x00Cx", "D5\x00Cx\x00"} {
		require.Empty(t, ErrorField([]byte(bad), 'D'), "%q", bad)
	}
	name, value, ok := Parameter([]byte("mode\x00read-only\x00"))
	require.Equal(t, []any{"mode", "read-only", true}, []any{name, value, ok})
	for _, bad := range []string{"", "mode", "mode\x00", "mode\x00x", "mode\x00x\x00y"} {
		_, _, ok := Parameter([]byte(bad))
		require.False(t, ok, "%q", bad)
	}
	v, ok := Value([]byte("\x00\x01\x00\x00\x00\x02ab"))
	require.True(t, ok)
	require.Equal(t, "ab", string(v))
	for _, bad := range []string{"", "\x00", "\x00\x02\x00\x00\x00\x02ab", "\x00\x01\xff\xff\xff\xff",
		"\x00\x01\x00\x00\x00\x03ab", "\x00\x01\x00\x00\x00\x01ab"} {
		_, ok := Value([]byte(bad))
		require.False(t, ok, "%q", bad)
	}
}

const tagged = "/* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */ SELECT body FROM objects WHERE oid = '7f3a'"

func TestStatementIsParsedAndOnlyItsWaitChanges(t *testing.T) {
	s, err := ParseStatement(tagged)
	require.NoError(t, err)
	require.Equal(t, []any{"9b1f", "basket", 0.48, 2, 1767225600.123, "7f3a"},
		[]any{s.ID, s.Type, s.Wait, s.Group, s.MinPosition, s.Key})
	require.Equal(t, AppendQuery(nil, strings.Replace(tagged, "d=480", "d=97", 1)), s.AppendTo(nil, 0.0963),
		"only d changes")

	s, err = ParseStatement(`/* id=1,c=order, d=9 ,k=5c,r=1,cluster=0,x=y */ INSERT INTO o VALUES ('a''b', '\x9f; 03') RETURNING b;`)
	require.NoError(t, err)
	require.Equal(t, "a", s.Key)
	require.Contains(t, string(s.AppendTo(nil, 0.2)), ", d=200 ,k=5c,r=1,")
	require.True(t, s.IsRetry, "r=1 marks a retry")

	s, err = ParseStatement(strings.Replace(tagged, "c=basket", "c=basket,r=0", 1))
	require.NoError(t, err)
	require.False(t, s.IsRetry, "any other r does not")

	s, err = ParseStatement("/*id=1,c=x,d=99999999999999999999,cluster=0*/ SELECT 1")
	require.NoError(t, err)
	require.InDelta(t, float64(longestWait)/1000, s.Wait, 1)
}

func TestMalformedStatementsAreRejected(t *testing.T) {
	for _, bad := range []string{"", "SELECT 1", "/* id=1", "/*/ SELECT 1", "/* */ SELECT 1",
		"/* id=1,c=x,cluster=0 */ SELECT 1", "/* id=1,c=x,d=,cluster=0 */ SELECT 1",
		"/* id=1,c=x,d=-1,cluster=0 */ SELECT 1",
		"/* id=1,c=x,d=0,cluster=0 */ SELECT 1", "/* id=1,c=x,d=Inf,cluster=0 */ SELECT 1", "/* id=1,c=x,d=NaN,cluster=0 */ SELECT 1",
		"/* id=1,c=x,d=5 */ SELECT 1", "/* id=1,c=x,d=5,cluster=-1 */ SELECT 1", "/* id=1,c=x,d=5,cluster=a */ SELECT 1",
		"/* id=1,c=x,d=5,d=6,cluster=0 */ SELECT 1", "/* id=1,c=x,d=5,cluster=0,after=Inf */ SELECT 1",
		"/* id=1,,c=x,d=5,cluster=0 */ SELECT 1", "/* id=1,c=x,d=5,cluster=0 */", "/* id=1,c=x,d=5,cluster=0 */ ;",
		"/* id=1,c=x,d=5,cluster=0 */ SELECT 1; SELECT 2", "/* id=1,c=x,d=5,cluster=0 */ SELECT 'a",
		"/* id=1,c=x,d=5,cluster=0 */ SELECT 1;'a'", "/* id=1,c=x,d=5,cluster=0 */ SELECT \x00"} {
		_, err := ParseStatement(bad)
		require.Error(t, err, "%q", bad)
	}
}

func FuzzStatement(f *testing.F) {
	f.Add(tagged)
	f.Add("/* id=1,c=order,d=9,k=5c,r=1,cluster=0 */ INSERT INTO o VALUES ('a''b', '\\x9f') RETURNING b;")
	f.Add("/*d=1 ,id= d,c=d=0,cluster=1*/x")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := ParseStatement(text)
		if err != nil {
			return
		}
		var b Buffer
		if len(text) > MaxMessage-16 || b.Fill(bytes.NewReader(s.AppendTo(nil, 0.123))) != nil {
			return
		}
		m, ok, err := b.Next()
		require.NoError(t, err)
		require.True(t, ok || len(text) > minBuffer-16)
		if !ok {
			return
		}
		parsed, err := ParseStatement(strings.TrimSuffix(string(m.Body), "\x00"))
		require.NoError(t, err)
		require.Equal(t, 0.123, parsed.Wait)
		parsed.Wait, parsed.Text, parsed.waitStart, parsed.waitEnd = s.Wait, s.Text, s.waitStart, s.waitEnd
		require.Equal(t, s, parsed, "nothing but d changes")
	})
}

func FuzzBuffer(f *testing.F) {
	f.Add(AppendStartup(nil, "worker", "catalog"), 7)
	f.Add(AppendGreeting(nil), 1)
	f.Add(AppendQuery(AppendQuery(nil, "a"), "b"), 3)
	f.Add([]byte("Q\x00\x00\x00\x03"), 2)
	f.Fuzz(func(t *testing.T, stream []byte, step int) {
		var whole, parts Buffer
		readAll := func(b *Buffer, src io.Reader) (out []byte, failed bool) {
			for {
				m, ok, err := b.Next()
				if err != nil {
					return out, true
				}
				if ok {
					out = AppendRaw(out, m)
				} else if b.Fill(src) != nil {
					return out, false
				}
			}
		}
		a, failedA := readAll(&whole, bytes.NewReader(stream))
		b, failedB := readAll(&parts, iotest.OneByteReader(bytes.NewReader(stream)))
		require.Equal(t, a, b, "the size of the reads makes no difference")
		require.Equal(t, failedA, failedB)
		require.True(t, bytes.HasPrefix(stream, a))
		var s Buffer
		if s.Fill(bytes.NewReader(stream)) == nil {
			s.NextStartup()
		}
	})
}
