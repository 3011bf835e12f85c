// Package rpc connects the processes of the system over TCP: Peers sends one-way messages between controllers, Client sends
// the requests of a gateway to a controller, and Server receives both.
//
// A connection begins with a greeting that names the protocol, its version and the kind of caller. Then come frames: a length
// and one gob value. The length is bounded, and a value is delivered only if its whole frame was read and nothing is left
// over, so no part of a broken stream is ever delivered. Type descriptions of gob are sent once per connection.
//
// Messages may be lost, and may arrive late or twice after a reconnect; receivers must tolerate that. As gob omits zero
// values, an empty slice arrives as nil, and so does a pointer to a zero number.
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
	// MaxFrame is the largest size of one value on the wire, in bytes. The largest values are tables and changes that hold a
	// configuration; this is twice the largest configuration body that is accepted.
	MaxFrame = 8 << 20

	lengthBytes    = 4
	maxGreeting    = 64       // bytes: longer than any greeting of this or a later version
	maxKeptBuffer  = 8 << 10  // bytes: a larger buffer is released after use, because there may be thousands of connections
	readChunk      = 64 << 10 // bytes: memory allocated at a time for a frame that has not arrived yet
	readBufferSize = 2 << 10  // bytes: enough to receive most frames with one read
	greetingPrefix = "eiderway-rpc/1 "
)

// Kinds of callers in the greeting.
const (
	kindPeer    = "peer"    // a controller, which sends one-way messages
	kindGateway = "gateway" // a gateway, which sends requests
)

var (
	errFrameTooLong = eris.New("frame too long")
	errBadGreeting  = eris.New("greeting of another protocol or version")
	errBadFrame     = eris.New("frame does not hold one value")
)

// encoder buffers frames for one connection.
type encoder struct {
	buffer bytes.Buffer
	values *gob.Encoder
}

func newEncoder(kind string) *encoder {
	encoder := &encoder{}
	encoder.values = gob.NewEncoder(&encoder.buffer)
	if kind != "" {
		encoder.addGreeting(kind)
	}
	return encoder
}

func (e *encoder) addGreeting(kind string) {
	greeting := greetingPrefix + kind
	e.buffer.Write(binary.BigEndian.AppendUint32(nil, uint32(len(greeting))))
	e.buffer.WriteString(greeting)
}

// add appends the value as one frame. After an error the encoder must not be used any more, because gob would not send again
// the type descriptions that were dropped with the frame.
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

// flush writes the buffered frames. The deadline latest, unless zero, bounds the whole write.
func (e *encoder) flush(connection net.Conn, latest time.Time) error {
	err := writeAll(connection, e.buffer.Bytes(), latest)
	if e.buffer.Cap() > maxKeptBuffer {
		e.buffer = bytes.Buffer{} // keeps its address, which the gob encoder refers to
	} else {
		e.buffer.Reset()
	}
	return err
}

// decoder reads frames from one connection.
type decoder struct {
	source io.Reader
	length [lengthBytes]byte
	frame  []byte
	bytes  bytes.Reader
	values *gob.Decoder
}

func newDecoder(source io.Reader) *decoder {
	decoder := &decoder{source: bufio.NewReaderSize(source, readBufferSize)}
	decoder.values = gob.NewDecoder(&decoder.bytes)
	return decoder
}

// readGreeting reads the first frame and returns the kind of the caller.
func (d *decoder) readGreeting() (string, error) {
	if err := d.readFrame(maxGreeting); err != nil {
		return "", err
	}
	kind, isOurs := bytes.CutPrefix(d.frame, []byte(greetingPrefix))
	if !isOurs {
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

// readValue reads one frame into target, which must point to a zero value.
func (d *decoder) readValue(target any) error {
	if err := d.readFrame(MaxFrame); err != nil {
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

// decode turns panics into errors: gob panics on some streams that no gob encoder writes, and a hostile stream must not end the
// process.
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

func (d *decoder) readFrame(maxLength int) error {
	if _, err := io.ReadFull(d.source, d.length[:]); err != nil {
		return err
	}
	length := int(binary.BigEndian.Uint32(d.length[:]))
	if length > maxLength {
		return eris.Wrapf(errFrameTooLong, "%d bytes", length)
	}
	return d.readBody(length)
}

// readBody reads a frame of this length. Memory is allocated as the bytes arrive, not for the announced length at once.
func (d *decoder) readBody(length int) error {
	if cap(d.frame) > maxKeptBuffer {
		d.frame = nil
	}
	d.frame = d.frame[:0]
	for len(d.frame) < length {
		chunk := min(length-len(d.frame), readChunk)
		filled := len(d.frame)
		d.frame = append(d.frame, make([]byte, chunk)...)
		if _, err := io.ReadFull(d.source, d.frame[filled:]); err != nil {
			return unexpectedEOF(err)
		}
	}
	return nil
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
