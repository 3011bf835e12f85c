package peerstate

// This file owns the form of a datagram: a head of 13 bytes (kind, checksum, sender, group, the newest position in ms) and
// five for each node (a hash of its name, how much older its position is, whether it was primary, and a count: in an
// update the submissions in flight there, in reports of a start or an end those of the sender that have so far). It must never
// round a position up.

import (
	"encoding/binary"
	"errors"
	"math"

	"github.com/cespare/xxhash/v2"
)

type messageKind byte

const (
	version          = 0x10
	kindSubscribe    = messageKind(version + iota) // go on coordinating this group
	kindSubscribeNow                               // and answer at once, since we know nothing
	kindSeekPrimary                                // a txn waits for its primary
	kindReport                                     // what a node has named to us
	kindStarted                                    // a submission of ours leaves for it
	kindFinished                                   // one has ended, and what it told then
	kindUpdate                                     // what nodes have named, by the coordinator
)

const (
	headBytes   = 1 + 4 + 2 + 2 + 4
	nodeBytes   = 5
	maxDatagram = 256 // that a datagram between routers may have on the platform
	keyMask     = 1<<24 - 1
	primaryFlag = 0x80
	oldestAge   = 0x7f // of an age: it is as old or older, and proves nothing
)

var errMalformed = errors.New("no datagram of ours")

type message struct {
	kind      messageKind
	from      int
	group     int
	keys      []uint32
	positions []float64
	primaries []bool
	counts    []byte
}

// encode makes a datagram about nodes; those that do not fit are left out.
func encode(k messageKind, from, groupID int, about []*node, unit, now float64) []byte {
	newest := 0.0
	for _, n := range about {
		newest = max(newest, n.position)
	}
	base := math.Floor(newest * 1000) // ms
	b := make([]byte, 5, headBytes+len(about)*nodeBytes)
	b[0] = byte(k)
	b = binary.BigEndian.AppendUint16(b, uint16(from))
	b = binary.BigEndian.AppendUint16(b, uint16(groupID))
	b = binary.BigEndian.AppendUint32(b, uint32(uint64(base)))
	for _, n := range about {
		age := math.Ceil((base/1000 - n.position) / unit)
		if len(b)+nodeBytes > maxDatagram {
			break
		}
		last := byte(min(max(age, 0), oldestAge))
		if n.primaryPosition >= n.position {
			last |= primaryFlag
		}
		b = append(b, byte(n.key>>16), byte(n.key>>8), byte(n.key), last, n.count(k, now))
	}
	binary.BigEndian.PutUint32(b[1:], checksum(b))
	return b
}

// count is what a message of a kind has of a node beside its position. Whoever reads it knows that it wraps.
func (n *node) count(k messageKind, now float64) byte {
	switch k {
	case kindUpdate:
		return byte(min(n.load(now), math.MaxUint8))
	case kindStarted:
		return byte(n.started)
	case kindFinished:
		return byte(n.finished)
	}
	return 0
}

// checksum covers all but itself: a datagram that was garbled on its way must not prove anything.
func checksum(b []byte) uint32 {
	h := xxhash.Sum64(b[5:]) ^ uint64(b[0])*0x9e3779b97f4a7c15
	return uint32(h ^ h>>32)
}

// decode reads a datagram. Its positions are taken as the last time before now, or a little after, that has their lower 32
// bits of milliseconds.
func decode(b []byte, now, unit float64) (*message, error) {
	if len(b) < headBytes || (len(b)-headBytes)%nodeBytes != 0 || len(b) > maxDatagram || binary.BigEndian.Uint32(b[1:]) != checksum(b) {
		return nil, errMalformed
	}
	m := &message{kind: messageKind(b[0]), from: int(binary.BigEndian.Uint16(b[5:])), group: int(binary.BigEndian.Uint16(b[7:]))}
	if m.kind < kindSubscribe || m.kind > kindUpdate {
		return nil, errMalformed
	}
	ms := uint64(math.Floor((now + maxClockAhead) * 1000))
	base := ms - uint64(uint32(ms)-binary.BigEndian.Uint32(b[9:]))
	for at := headBytes; at < len(b); at += nodeBytes {
		m.keys = append(m.keys, uint32(b[at])<<16|uint32(b[at+1])<<8|uint32(b[at+2]))
		pos := float64(base)/1000 - float64(b[at+3]&^primaryFlag)*unit
		if b[at+3]&^primaryFlag == oldestAge {
			pos = 0
		}
		m.positions = append(m.positions, pos)
		m.counts = append(m.counts, b[at+4])
		m.primaries = append(m.primaries, b[at+3]&primaryFlag != 0)
	}
	return m, nil
}
