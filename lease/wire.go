package lease

// This file owns the form of a datagram: the same 78 bytes for every kind, then a holder's word. What a kind has no use for
// is zero. It must never let pass what was garbled.

import (
	"bytes"
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

type kind uint8

const (
	// First is the least first byte of a datagram of ours; package peerstate has those below.
	First = 0x20

	ask     = kind(First + iota) // a candidate, or a holder, asks a member
	answer                       // its answer
	release                      // what was granted is given back
	give                         // a holder has handed its task to the one that gets this
	free                         // a task that its receiver was refused has become free
	act                          // a holder's word, which is to be obeyed
	done                         // it is, or else the token that came after it
	check                        // a router asks a member whether a token is the newest
	checked                      // its answer
	last
)

const mostBytes = 256 // that a datagram between routers may have on the platform

var errSpoilt = errors.New("no datagram of ours")

// message is a datagram, in the order in which its fields travel.
type message struct {
	Kind    kind
	Sum     uint32
	From    uint16
	Routers uint16 // the sets of routers that the sender goes by
	Former  uint16
	Task    uint32
	Life    uint64  // of the sender
	At      float64 // s, when the question was put, by the clock of who put it
	Token   uint64
	Other   uint64 // the receiver's life as it asked, or the nonce of a check
	Serial  uint64 // of a grant
	Number  uint64 // of an act
	Who     uint16 // a holder, or who comes next
	WhoLife uint64
	Left    float32 // s until a member is free
	Yes     bool    // granted, obeyed, confirmed
	Stored  bool    // the token is
	text    string
}

const (
	noOne     = 0xffff // of Who
	headBytes = 1 + 4 + 3*2 + 4 + 3*8 + 8 + 8 + 8 + 2 + 8 + 4 + 1 + 1
)

// wire is message without what encoding/binary can't write.
type wire struct {
	Kind                  kind
	Sum                   uint32
	From, Routers, Former uint16
	Task                  uint32
	Life                  uint64
	At                    float64
	Token, Other          uint64
	Serial                uint64
	Number                uint64
	Who                   uint16
	WhoLife               uint64
	Left                  float32
	Yes, Stored           bool
}

func (m *message) format() []byte {
	w := wire{m.Kind, 0, m.From, m.Routers, m.Former, m.Task, m.Life, m.At, m.Token, m.Other, m.Serial, m.Number, m.Who, m.WhoLife,
		m.Left, m.Yes, m.Stored}
	b, err := binary.Append(make([]byte, 0, headBytes+len(m.text)), binary.BigEndian, &w)
	if err != nil {
		panic(err) // wire has a fixed size
	}
	b = append(b, m.text...)
	binary.BigEndian.PutUint32(b[1:], sum(b))
	return b
}

// sum covers all but itself.
func sum(b []byte) uint32 {
	h := xxhash.Sum64(b[5:]) ^ uint64(b[0])*0x9e3779b97f4a7c15
	return uint32(h ^ h>>32)
}

func parse(b []byte) (*message, error) {
	if len(b) < headBytes || len(b) > mostBytes || binary.BigEndian.Uint32(b[1:]) != sum(b) {
		return nil, errSpoilt
	}
	var w wire
	if err := binary.Read(bytes.NewReader(b), binary.BigEndian, &w); err != nil || w.Kind < ask || w.Kind >= last {
		return nil, errSpoilt
	}
	return &message{w.Kind, 0, w.From, w.Routers, w.Former, w.Task, w.Life, w.At, w.Token, w.Other, w.Serial, w.Number, w.Who, w.WhoLife,
		w.Left, w.Yes, w.Stored, string(b[headBytes:])}, nil
}
