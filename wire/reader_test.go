package wire

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

func TestReadLineOfAllLengths(t *testing.T) {
	for _, length := range []int{0, 1, bufferSize - 3, bufferSize - 2, bufferSize - 1, bufferSize, bufferSize + 1, 3 * bufferSize, MaxMessage - 2} {
		line := strings.Repeat("x", length)
		source := strings.NewReader(line + "\r\nnext\r\n")
		reader := NewReader(source)
		first, err := reader.ReadLine()
		if err != nil || first != line {
			t.Errorf("%d bytes: read %d, %v", length, len(first), err)
		}
		if second, err := reader.ReadLine(); err != nil || second != "next" {
			t.Errorf("after %d bytes: %q, %v", length, second, err)
		}
	}
}

func TestReadLineFromSingleBytes(t *testing.T) {
	is := is.New(t)
	reader := NewReader(iotest.OneByteReader(strings.NewReader("QUERY 1 FETCH a\r\n")))
	line, err := reader.ReadLine()
	is.NoErr(err)
	is.Equal(line, "QUERY 1 FETCH a")
	_, err = reader.ReadLine()
	is.Equal(err, io.EOF)
}

func TestTooLongMessageIsRejectedWithoutReadingOn(t *testing.T) {
	is := is.New(t)
	source := &countingReader{source: strings.NewReader(strings.Repeat("x", 4*MaxMessage))}
	_, err := NewReader(source).ReadLine()
	is.True(errors.Is(err, ErrTooLong))
	is.True(source.read <= MaxMessage+2*bufferSize)
}

type countingReader struct {
	source io.Reader
	read   int
}

func (c *countingReader) Read(into []byte) (int, error) {
	count, err := c.source.Read(into)
	c.read += count
	return count, err
}

// A lone line break, which another reader might take for the end of a message, is rejected, and the stream can be read on
// after the message's own end.
func TestLoneLineBreaksAreRejected(t *testing.T) {
	for _, broken := range []string{"a\nb", "a\rb", "\n", "\r", "a\n", "a\r", strings.Repeat("x", bufferSize) + "\nQUERY 1 PUT a b"} {
		reader := NewReader(strings.NewReader(broken + "\r\nnext\r\n"))
		if line, err := reader.ReadLine(); !errors.Is(err, ErrMalformed) {
			t.Errorf("%.20q: %q, %v", broken, line, err)
		}
		if line, err := reader.ReadLine(); err != nil || line != "next" {
			t.Errorf("after %.20q: %q, %v", broken, line, err)
		}
	}
}

func TestStreamEndWithinAMessage(t *testing.T) {
	is := is.New(t)
	_, err := NewReader(strings.NewReader("QUERY 1 FET")).ReadLine()
	is.Equal(err, io.ErrUnexpectedEOF)
	_, err = NewReader(strings.NewReader("QUERY 1 FETCH a\n")).ReadLine()
	is.Equal(err, io.ErrUnexpectedEOF)
}

func TestBudgetIsSharedAndReleased(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("x", 3*bufferSize) + "\r\n"
	budget := NewBudget(reservationStep)
	first := NewReader(strings.NewReader(long + "short\r\n")).WithBudget(budget)
	second := NewReader(strings.NewReader(long)).WithBudget(budget)
	_, err := first.ReadLine()
	is.NoErr(err)
	_, err = second.ReadLine()
	is.True(errors.Is(err, ErrTooLong)) // the first reader still holds its message
	_, err = first.ReadLine()
	is.NoErr(err)
	_, err = NewReader(strings.NewReader(long)).WithBudget(budget).ReadLine()
	is.NoErr(err)
}

func TestAppendAndReadAnswer(t *testing.T) {
	is := is.New(t)
	for _, want := range []Answer{
		{Rows: []string{"qhzk wmt", "second"}, Stamp: "7.1f3.c", State: Idle, Position: "3.1209"},
		{Stamp: NoStamp, State: InTransaction, Position: NoPosition},
		{Code: ReadOnly, Text: "i-7f3a91c2", State: Failed, Position: "3.1209"},
		{Code: Busy, State: Idle, Position: NoPosition},
	} {
		got, err := NewReader(strings.NewReader(string(AppendAnswer(nil, want)))).ReadAnswer()
		is.NoErr(err)
		is.Equal(got, want)
	}
}

func TestMalformedAnswersAreRejected(t *testing.T) {
	for _, text := range []string{
		"READY I -\r\n", "ROW a\r\nREADY I -\r\n", "COMPLETE\r\n", "COMPLETE x\r\nROW a\r\n", "COMPLETE x\r\nCOMPLETE x\r\n",
		"ERROR\r\n", "COMPLETE x\r\nREADY X -\r\n", "COMPLETE x\r\nREADY I\r\n", "HELLO\r\n", "COMPLETE x\r\n", "ROW a",
	} {
		if answer, err := NewReader(strings.NewReader(text)).ReadAnswer(); err == nil {
			t.Errorf("%q read as %+v", text, answer)
		}
	}
}

func FuzzReadLine(f *testing.F) {
	f.Add([]byte("QUERY 1 FETCH a\r\nQUIT\r\n"))
	f.Add([]byte("a\nb\r\r\n\r\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := NewReader(iotest.HalfReader(strings.NewReader(string(stream))))
		rest := string(stream)
		for {
			line, err := reader.ReadLine()
			if err != nil && !errors.Is(err, ErrMalformed) {
				return
			}
			want, after, found := strings.Cut(rest, "\r\n")
			if !found {
				t.Fatalf("ReadLine returned a line, but %q has none", rest)
			}
			if err == nil && line != want {
				t.Fatalf("read %q from %q", line, rest)
			}
			if err != nil && !strings.ContainsAny(want, "\r\n") {
				t.Fatalf("%q was rejected", want)
			}
			rest = after
		}
	})
}
