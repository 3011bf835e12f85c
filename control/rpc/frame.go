// Package rpc carries talk between our processes over TCP: one-way messages between controllers (Peers), and gateways'
// questions to a controller (Client). Server takes both.
//
// A connection begins with a greeting that names the protocol, its version and who calls. Then come frames: a length and
// one gob value. The length is bounded, and a value is delivered only if its whole frame was read and nothing is left
// over, so bytes of a broken stream are never handed on. What gob knows of types lives as long as the connection does.
//
// Messages may be lost, and come late or twice after a reconnect: whoever takes them must bear that. As gob sends no
// zero values, an empty slice arrives as nil, and so does a pointer to a zero number.
package rpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// MaxFrame bounds the bytes of one value on the wire. The largest is a table, or a change, with a configuration of
	// the longest body that is taken; this is twice that body.
	MaxFrame = 8 << 20

	lengthBytes   = 4
	maxGreeting   = 64       // bytes: longer than any greeting of this and later versions
	keptBuffer    = 8 << 10  // bytes: a buffer that grew beyond is given back after use; there may be thousands
	readStep      = 64 << 10 // bytes: room made at once for a frame whose bytes haven't arrived yet
	readBuffer    = 2 << 10  // bytes: most frames come with one read
	greetingStart = "eiderway-rpc/1 "
)

// Kinds of callers, as in the greeting.
const (
	kindPeer    = "peer"    // a controller: one-way messages
	kindGateway = "gateway" // questions
)

var (
	errFrameTooLong = eris.New("frame too long")
	errBadGreeting  = eris.New("greeting of another protocol or version")
	errBadFrame     = eris.New("frame does not hold one value")
)

// encoder gathers frames for one connection.
type encoder struct {
	buffer bytes.Buffer
	values *gob.Encoder
}

func newEncoder(kind string) *encoder {
	encoder := &encoder{}
	encoder.values = gob.NewEncoder(&encoder.buffer)
	if kind != "" {
		encoder.greet(kind)
	}
	return encoder
}

func (e *encoder) greet(kind string) {
	greeting := greetingStart + kind
	e.buffer.Write(binary.BigEndian.AppendUint32(nil, uint32(len(greeting))))
	e.buffer.WriteString(greeting)
}

// add appends the value as one frame. After an error the connection must not be used any more, because the other side
// would miss type descriptions that gob takes for sent.
func (e *encoder) add(value any) error {
	start := e.buffer.Len()
	e.buffer.Write(make([]byte, lengthBytes))
	if err := e.values.Encode(value); err != nil {
		e.buffer.Truncate(start)
		return eris.Wrap(err, "encode")
	}
	length := e.buffer.Len() - start - lengthBytes
	if length > MaxFrame {
		e.buffer.Truncate(start)
		return eris.Wrapf(errFrameTooLong, "%d bytes", length)
	}
	binary.BigEndian.PutUint32(e.buffer.Bytes()[start:], uint32(length))
	return nil
}

func (e *encoder) size() int { return e.buffer.Len() }

// flush writes what was gathered. Latest, if given, bounds the time that it takes.
func (e *encoder) flush(connection net.Conn, latest time.Time) error {
	err := write(connection, e.buffer.Bytes(), latest)
	if e.buffer.Cap() > keptBuffer {
		e.buffer = bytes.Buffer{} // the gob encoder holds the address of the buffer, which stays
	} else {
		e.buffer.Reset()
	}
	return err
}

// decoder reads frames of one connection.
type decoder struct {
	source io.Reader
	length [lengthBytes]byte
	frame  []byte
	bytes  bytes.Reader
	values *gob.Decoder
}

func newDecoder(source io.Reader) *decoder {
	decoder := &decoder{source: bufio.NewReaderSize(source, readBuffer)}
	decoder.values = gob.NewDecoder(&decoder.bytes)
	return decoder
}

// greeting reads the first frame and returns the kind of the caller.
func (d *decoder) greeting() (string, error) {
	if err := d.next(maxGreeting); err != nil {
		return "", err
	}
	kind, ours := bytes.CutPrefix(d.frame, []byte(greetingStart))
	if !ours {
		return "", errBadGreeting
	}
	switch string(kind) {
	case kindPeer:
		return kindPeer, nil
	case kindGateway:
		return kindGateway, nil
	}
	return "", errBadGreeting
}

// value reads one frame into the zero value that target points to.
func (d *decoder) value(target any) error {
	if err := d.next(MaxFrame); err != nil {
		return err
	}
	d.bytes.Reset(d.frame)
	if err := d.decode(target); err != nil {
		return err
	}
	if d.bytes.Len() > 0 {
		return errBadFrame
	}
	return nil
}

// decode does not let a hostile stream end the process: gob panics at some that no gob encoder writes.
func (d *decoder) decode(target any) (err error) {
	defer func() {
		if recover() != nil {
			err = errBadFrame
		}
	}()
	if err := d.values.Decode(target); err != nil {
		return eris.Wrap(errBadFrame, err.Error())
	}
	return nil
}

func (d *decoder) next(longest int) error {
	if _, err := io.ReadFull(d.source, d.length[:]); err != nil {
		return err
	}
	length := int(binary.BigEndian.Uint32(d.length[:]))
	if length > longest {
		return eris.Wrapf(errFrameTooLong, "%d bytes", length)
	}
	return d.fill(length)
}

// fill reads the frame. Room is made as bytes arrive, not as the length promises.
func (d *decoder) fill(length int) error {
	if cap(d.frame) > keptBuffer {
		d.frame = nil
	}
	d.frame = d.frame[:0]
	for len(d.frame) < length {
		step := min(length-len(d.frame), readStep)
		filled := len(d.frame)
		d.frame = append(d.frame, make([]byte, step)...)
		if _, err := io.ReadFull(d.source, d.frame[filled:]); err != nil {
			return unexpected(err)
		}
	}
	return nil
}

func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
