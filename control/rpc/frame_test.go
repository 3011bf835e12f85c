package rpc

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"math"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/configuration"
	"eiderway/control/feed"
	"eiderway/control/quorum"
	"eiderway/control/replication"
)

// encodeFrames returns the bytes that are sent on a connection for these values.
func encodeFrames(t *testing.T, kind string, values ...any) []byte {
	t.Helper()
	encoder := newEncoder(kind)
	for _, value := range values {
		if err := encoder.add(value); err != nil {
			t.Fatal(err)
		}
	}
	return encoder.buffer.Bytes()
}

func TestEveryKindOfMessageIsTransferred(t *testing.T) {
	for _, field := range reflect.VisibleFields(reflect.TypeFor[replication.Message]()) {
		if field.Type.Kind() != reflect.Pointer {
			continue
		}
		t.Run(field.Name, func(t *testing.T) {
			is := is.New(t)
			sent := peerFrame{Message: replication.Message{To: "x", Request: 7}}
			kind := reflect.New(field.Type.Elem())
			reflect.ValueOf(&sent.Message).Elem().FieldByIndex(field.Index).Set(kind)
			source := newDecoder(bytes.NewReader(encodeFrames(t, "", sent, sent)))
			for range 2 { // the first with type descriptions, the second without
				var got peerFrame
				is.NoErr(source.readValue(&got))
				is.Equal(got, sent)
			}
		})
	}
}

func TestTablesAreTransferredCompletely(t *testing.T) {
	is := is.New(t)
	table := &feed.Table{
		Version:             feed.Version{Epoch: 3, Sequence: math.MaxUint64},
		ConfigurationNumber: 9,
		Configuration:       bytes.Repeat([]byte("r"), configuration.MaxBody),
		Services: []feed.Service{{
			Name:      "s",
			Leader:    feed.Leader{InstanceID: "i-1", Term: 4},
			Instances: []feed.Instance{{ID: "i-1", Address: "127.0.0.1:1", Slots: 8}, {ID: "i-2", Draining: true}},
		}},
		Controllers: []quorum.Member{{Incarnation: "a", Address: "127.0.0.1:2"}},
	}
	sent := answerFrame{ID: 1, Answer: feed.WatchAnswer{Table: table, Lease: time.Second}}
	var got answerFrame
	is.NoErr(newDecoder(bytes.NewReader(encodeFrames(t, "", sent))).readValue(&got))
	is.Equal(got, sent)
}

func TestIncompleteFrameIsNotDelivered(t *testing.T) {
	is := is.New(t)
	whole := encodeFrames(t, "", requestFrame{ID: 1, Request: watchRequest("first")}, requestFrame{ID: 2, Request: watchRequest("second")})
	firstLength := lengthBytes + int(binary.BigEndian.Uint32(whole))
	for length := range whole {
		source := newDecoder(bytes.NewReader(whole[:length]))
		var first, second requestFrame
		is.Equal(source.readValue(&first) == nil, length >= firstLength)
		is.True(source.readValue(&second) != nil)
		is.Equal(second, requestFrame{})
	}
}

func TestFrameWithTwoValuesIsBroken(t *testing.T) {
	is := is.New(t)
	var values bytes.Buffer
	together := gob.NewEncoder(&values)
	is.NoErr(together.Encode(requestFrame{ID: 1}))
	is.NoErr(together.Encode(requestFrame{ID: 2}))
	frame := append(binary.BigEndian.AppendUint32(nil, uint32(values.Len())), values.Bytes()...)
	var got requestFrame
	is.True(isBroken(newDecoder(bytes.NewReader(frame)).readValue(&got)))
}

func TestTooLongFrameIsRejectedUnread(t *testing.T) {
	is := is.New(t)
	length := binary.BigEndian.AppendUint32(nil, MaxFrame+1)
	source := newDecoder(io.MultiReader(bytes.NewReader(length), endlessReader{}))
	var got requestFrame
	is.True(isBroken(source.readValue(&got)))
	is.Equal(cap(source.frame), 0)
}

func TestMemoryIsAllocatedAsBytesArrive(t *testing.T) {
	is := is.New(t)
	promise := append(binary.BigEndian.AppendUint32(nil, MaxFrame), "only a little"...)
	source := newDecoder(bytes.NewReader(promise))
	var got requestFrame
	is.Equal(source.readValue(&got), io.ErrUnexpectedEOF)
	is.True(cap(source.frame) <= 2*readChunk)
}

func TestTooLongValueIsNotSent(t *testing.T) {
	is := is.New(t)
	encoder := newEncoder("")
	is.NoErr(encoder.add(requestFrame{ID: 1}))
	before := encoder.size()
	is.True(isBroken(encoder.add(peerFrame{Message: tooLongMessage()})))
	is.Equal(encoder.size(), before) // what was added before can still be written
}

func TestGreetings(t *testing.T) {
	cases := []struct {
		name, greeting, kind string
	}{
		{"controller", greetingPrefix + kindPeer, kindPeer},
		{"gateway", greetingPrefix + kindGateway, kindGateway},
		{"another version", "eiderway-rpc/2 peer", ""},
		{"another kind", greetingPrefix + "operator", ""},
		{"more behind", greetingPrefix + kindPeer + " x", ""},
		{"no protocol", kindPeer, ""},
		{"nothing", "", ""},
	}
	for _, example := range cases {
		t.Run(example.name, func(t *testing.T) {
			is := is.New(t)
			frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(example.greeting))), example.greeting...)
			kind, err := newDecoder(bytes.NewReader(frame)).readGreeting()
			is.Equal(kind, example.kind)
			is.Equal(err == nil, example.kind != "")
		})
	}
}

// FuzzFrames decodes arbitrary bytes: it may return an error, but must not panic or hang.
func FuzzFrames(f *testing.F) {
	encoder := newEncoder("")
	_ = encoder.add(peerFrame{Message: message(1)})
	f.Add(encoder.buffer.Bytes())
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(_ *testing.T, stream []byte) {
		source := newDecoder(bytes.NewReader(stream))
		for {
			var frame peerFrame
			if source.readValue(&frame) != nil {
				return
			}
		}
	})
}

func tooLongMessage() replication.Message {
	return replication.Message{Piece: &replication.Piece{Bytes: make([]byte, MaxFrame)}}
}

type endlessReader struct{}

func (endlessReader) Read(into []byte) (int, error) { return len(into), nil }

var _ net.Conn = (*scriptedConn)(nil)
