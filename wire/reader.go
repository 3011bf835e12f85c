package wire

import (
	"bufio"
	"errors"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrTooLong says that a message or an answer is too long, or that the budget has no memory left for it. The rest of the
// stream can't be used.
var ErrTooLong = eris.New("message too long")

// bufferSize is the size of a reader's buffer in bytes: most messages are far shorter, and there are thousands of readers
// that are mostly idle.
const bufferSize = 1024

// Reader reads messages of at most MaxMessage bytes. Its memory grows with the bytes that have arrived, not with what a
// sender announces.
type Reader struct {
	buffered *bufio.Reader
	budget   *Budget // nil if there is none
	reserved int     // bytes reserved from the budget
}

// NewReader returns a reader of messages from source.
func NewReader(source io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(source, bufferSize)}
}

// Buffered returns the number of bytes that have been received but not yet returned.
func (r *Reader) Buffered() int { return r.buffered.Buffered() }

// WaitByte blocks until at least one byte can be read.
func (r *Reader) WaitByte() error {
	_, err := r.buffered.Peek(1)
	return err
}

// ReadLine returns the next message without its CR LF. A message that holds a lone CR or LF gives ErrMalformed, and the
// next call reads the message after it; any other error ends the stream. io.EOF means that the stream ended between
// messages, io.ErrUnexpectedEOF that it ended within one.
func (r *Reader) ReadLine() (string, error) {
	r.Release()
	chunk, err := r.buffered.ReadSlice('\n')
	if err == nil && endsWithCRLF(chunk) {
		return checkLine(string(chunk[:len(chunk)-2]))
	}
	return r.readLongLine(chunk, err)
}

// readLongLine reads the rest of a line that doesn't fit the buffer, or that has a lone LF.
func (r *Reader) readLongLine(first []byte, err error) (string, error) {
	line := append([]byte(nil), first...)
	for {
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return "", endOfStream(err, len(line))
		}
		if err == nil && endsWithCRLF(line) {
			return checkLine(string(line[:len(line)-2]))
		}
		var chunk []byte
		chunk, err = r.buffered.ReadSlice('\n')
		if len(line)+len(chunk) > MaxMessage || !r.reserve(len(line)+len(chunk)) {
			return "", ErrTooLong
		}
		line = append(line, chunk...)
	}
}

func endOfStream(err error, read int) error {
	if errors.Is(err, io.EOF) && read > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

func endsWithCRLF(line []byte) bool {
	return len(line) >= 2 && line[len(line)-2] == '\r' && line[len(line)-1] == '\n'
}

// checkLine rejects lines that another reader might split differently.
func checkLine(line string) (string, error) {
	if strings.ContainsAny(line, "\r\n") {
		return "", eris.Wrap(ErrMalformed, "line break within a message")
	}
	return line, nil
}

// maxAnswerBytes bounds the rows of one answer: a gateway holds a whole answer in memory until its end has arrived.
const maxAnswerBytes = 4 * MaxMessage

// ReadAnswer reads the answer to one QUERY, up to its READY.
func (r *Reader) ReadAnswer() (Answer, error) {
	var answer Answer
	ended := false
	bytes := 0
	for {
		line, err := r.ReadLine()
		if err != nil {
			return Answer{}, err
		}
		word, fields, _ := strings.Cut(line, " ")
		switch {
		case word == "ROW" && !ended:
			bytes += len(fields)
			if bytes > maxAnswerBytes {
				return Answer{}, ErrTooLong
			}
			answer.Rows = append(answer.Rows, fields)
		case word == "COMPLETE" && !ended && fields != "":
			answer.Stamp = fields
			ended = true
		case word == "ERROR" && !ended && fields != "":
			code, text, _ := strings.Cut(fields, " ")
			answer.Code, answer.Text = Code(code), text
			answer.Rows = nil
			ended = true
		case word == "READY" && ended:
			answer.State, answer.Position, err = ParseReady(fields)
			return answer, err
		default:
			return Answer{}, eris.Wrapf(ErrMalformed, "%q in an answer", word)
		}
	}
}
