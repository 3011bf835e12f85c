// Package pgwire reads and writes version 3 of the PostgreSQL protocol and the comment that statements carry.
// It owns no socket and blocks only in the reader passed to Fill. Malformed input is reported as an error and
// never passed on.
package pgwire

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	// MaxMessage bounds the length of a message: a value of 64 KiB doubles in size as text, and its statement needs some more.
	MaxMessage = 256 << 10
	// MaxReply bounds the length of a node's message: a binary value of 64 KiB and its framing.
	MaxReply   = 72 << 10
	maxStartup = 8 << 10  // bounds a startup message; real ones are far shorter
	minBuffer  = 4 << 10  // smallest size of a buffer: most messages are smaller
	maxKept    = 16 << 10 // an empty buffer larger than this is released
)

// Codes that a startup message has at the place of the protocol version.
const (
	Version3      = 3 << 16
	CancelRequest = 80877102
	SSLRequest    = 80877103
	GSSEncRequest = 80877104
)

// ErrMalformed is wrapped by the error for every malformed message.
var ErrMalformed = errors.New("malformed message")

// Message is one protocol message. Its body is valid until the buffer is filled again.
type Message struct {
	Type byte
	Body []byte
}

// Buffer is the read buffer of a connection: it grows to the size of the current message and is compacted in place.
type Buffer struct {
	b         []byte
	r, w      int
	need      int // total length of the message that has been received in part
	MaxLength int // bounds the length of a message; 0 stands for MaxMessage

	startup []byte // the parameters of the startup message, valid until the buffer is filled again
}

// Unread returns the number of bytes that haven't been parsed.
func (b *Buffer) Unread() int { return b.w - b.r }

// IsFull reports whether the unread bytes reach the size that a buffer keeps: a caller that reads ahead stops here.
func (b *Buffer) IsFull() bool { return b.w-b.r >= maxKept }

// PartialType returns the type of the message at the head of the unread bytes, or 0 if there is none.
func (b *Buffer) PartialType() byte {
	if b.Unread() == 0 {
		return 0
	}
	return b.b[b.r]
}

// IsPartialLarge reports whether the message that has been received in part is larger than what a buffer keeps.
func (b *Buffer) IsPartialLarge() bool { return b.need > maxKept }

// Fill reads once from src, after making room for the rest of the current message.
func (b *Buffer) Fill(src io.Reader) error {
	if b.r == b.w {
		b.r, b.w = 0, 0
		if cap(b.b) > maxKept && b.need <= maxKept {
			b.b = nil
		}
	}
	if want := max(b.need, b.w-b.r+minBuffer/4); len(b.b)-b.r < want || b.w == len(b.b) {
		if len(b.b) >= want && b.r > 0 {
			b.w = copy(b.b, b.b[b.r:b.w])
		} else {
			grown := make([]byte, max(want, minBuffer, 2*(b.w-b.r)))
			b.w = copy(grown, b.b[b.r:b.w])
			b.b = grown
		}
		b.r = 0
	}
	n, err := src.Read(b.b[b.w:])
	b.w += n
	if n > 0 {
		return nil // the next read returns the error again
	}
	return err
}

// Next takes the next message; the second result is false until it has been received whole.
func (b *Buffer) Next() (Message, bool, error) {
	if b.Unread() < 5 {
		b.need = 5
		return Message{}, false, nil
	}
	n := int(int32(binary.BigEndian.Uint32(b.b[b.r+1:])))
	if n < 4 || n > cmp.Or(b.MaxLength, MaxMessage) {
		return Message{}, false, fmt.Errorf("%w: length %d", ErrMalformed, n)
	}
	if b.need = n + 1; b.Unread() < b.need {
		return Message{}, false, nil
	}
	m := Message{Type: b.b[b.r], Body: b.b[b.r+5 : b.r+1+n]}
	b.r += n + 1
	b.need = 0
	return m, true, nil
}

// NextStartup takes a startup message, which has no type byte, and returns its code.
func (b *Buffer) NextStartup() (code int, ok bool, err error) {
	if b.Unread() < 8 {
		b.need = 8
		return 0, false, nil
	}
	n := int(int32(binary.BigEndian.Uint32(b.b[b.r:])))
	if n < 8 || n > maxStartup {
		return 0, false, fmt.Errorf("%w: startup of length %d", ErrMalformed, n)
	}
	if b.need = n; b.Unread() < n {
		return 0, false, nil
	}
	code = int(binary.BigEndian.Uint32(b.b[b.r+4:]))
	b.startup = b.b[b.r+8 : b.r+n]
	b.r += n
	b.need = 0
	return code, true, nil
}

// StartupParameter returns a parameter of the startup message taken last, or "" if it has none of that name.
func (b *Buffer) StartupParameter(name string) string {
	for rest := b.startup; len(rest) > 1; {
		key, after, ok := cutZero(rest)
		if !ok {
			return ""
		}
		value, next, ok := cutZero(after)
		if !ok {
			return ""
		}
		if key == name {
			return value
		}
		rest = next
	}
	return ""
}

// Append adds a message to dst whose body is the concatenation of parts.
func Append(dst []byte, kind byte, parts ...string) []byte {
	n := 4
	for _, p := range parts {
		n += len(p)
	}
	dst = append(dst, kind)
	dst = binary.BigEndian.AppendUint32(dst, uint32(n))
	for _, p := range parts {
		dst = append(dst, p...)
	}
	return dst
}

// AppendRaw adds a received message unchanged.
func AppendRaw(dst []byte, m Message) []byte {
	dst = append(dst, m.Type)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(m.Body)+4))
	return append(dst, m.Body...)
}

// AppendStartup adds the startup message of a client.
func AppendStartup(dst []byte, user, database string) []byte {
	body := "user\x00" + user + "\x00database\x00" + database + "\x00\x00"
	dst = binary.BigEndian.AppendUint32(dst, uint32(8+len(body)))
	dst = binary.BigEndian.AppendUint32(dst, Version3)
	return append(dst, body...)
}

// AppendGreeting adds a server's answer to a startup message that it accepts: AuthenticationOk, the parameters and ReadyForQuery.
func AppendGreeting(dst []byte) []byte {
	dst = Append(dst, 'R', "\x00\x00\x00\x00")
	dst = Append(dst, 'S', "server_version\x0015.0\x00")
	dst = Append(dst, 'S', "client_encoding\x00UTF8\x00")
	dst = Append(dst, 'S', "standard_conforming_strings\x00on\x00")
	return AppendReady(dst)
}

// AppendReady adds ReadyForQuery with the status idle.
func AppendReady(dst []byte) []byte { return Append(dst, 'Z', "I") }

// AppendQuery adds a simple query.
func AppendQuery(dst []byte, text string) []byte { return Append(dst, 'Q', text, "\x00") }

// AppendError adds an ErrorResponse; an empty detail is left out.
func AppendError(dst []byte, severity, code, text, detail string) []byte {
	parts := []string{"S", severity, "\x00V", severity, "\x00C", code, "\x00M", text, "\x00"}
	if detail != "" {
		parts = append(parts, "D", detail, "\x00")
	}
	return Append(dst, 'E', append(parts, "\x00")...)
}

// ErrorField returns the field of an ErrorResponse with the given letter, or "" if it has none or is malformed.
func ErrorField(body []byte, letter byte) (value string) {
	for len(body) > 0 && body[0] != 0 {
		v, rest, ok := cutZero(body[1:])
		if !ok {
			return ""
		}
		if body[0] == letter {
			value = v
		}
		body = rest
	}
	if len(body) != 1 {
		return "" // the list of fields must end with one zero byte and nothing after it
	}
	return value
}

// Parameter returns the name and the value in the body of a ParameterStatus.
func Parameter(body []byte) (name, value string, ok bool) {
	name, rest, ok := cutZero(body)
	if !ok {
		return "", "", false
	}
	value, rest, ok = cutZero(rest)
	return name, value, ok && len(rest) == 0
}

// ColumnCount returns the number of columns of a RowDescription or DataRow, or -1 if its body is too short.
func ColumnCount(body []byte) int {
	if len(body) < 2 {
		return -1
	}
	return int(int16(binary.BigEndian.Uint16(body)))
}

// Value returns the value of a DataRow of one column; ok is false for null and for a malformed row.
func Value(body []byte) (value []byte, ok bool) {
	if ColumnCount(body) != 1 || len(body) < 6 {
		return nil, false
	}
	n := int(int32(binary.BigEndian.Uint32(body[2:])))
	if n < 0 || n != len(body)-6 {
		return nil, false
	}
	return body[6:], true
}

// cutZero splits b at its first zero byte; the last result is false if there is none.
func cutZero(b []byte) (string, []byte, bool) {
	for i, c := range b {
		if c == 0 {
			return string(b[:i]), b[i+1:], true
		}
	}
	return string(b), nil, false
}
