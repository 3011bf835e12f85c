package peerstate

// This file owns the form of a datagram: a head of 13 bytes (kind, checksum, sender, group, the newest position in ms) and
// five for each node (a hash of its name, how much older its position is, whether it was primary, and a count: in what is
// told the submissions that are out there, in leaves and ends those of the sender that have so far). It must never round a
// position up.

import (
	"encoding/binary"
	"errors"
	"math"

	"github.com/cespare/xxhash/v2"
)

type kind byte

const (
	version     = 0x10
	want        = kind(version + iota) // keep this group on
	wantAnswer                         // and answer at once, since we know nothing
	wantPrimary                        // a txn waits for its primary
	news                               // what a node has told us
	leaves                             // a submission of ours leaves for it
	ends                               // one has ended, and what it told then
	tell                               // what nodes have told, by the keeper
)

const (
	headBytes = 1 + 4 + 2 + 2 + 4
	wordBytes = 5
	mostBytes = 256 // that a datagram between routers may have on the platform
	keyMask   = 1<<24 - 1
	primaryIs = 0x80
	oldest    = 0x7f // of an age: it is as old or older, and proves nothing
)

var errSpoilt = errors.New("no datagram of ours")

type message struct {
	kind      kind
	from      int
	group     int
	keys      []uint32
	positions []float64
	primaries []bool
	counts    []byte
}

// format makes a datagram about nodes; those that do not fit are left out.
func format(k kind, from, groupID int, about []*node, unit, now float64) []byte {
	newest := 0.0
	for _, n := range about {
		newest = max(newest, n.pos)
	}
	base := math.Floor(newest * 1000) // ms
	b := make([]byte, 5, headBytes+len(about)*wordBytes)
	b[0] = byte(k)
	b = binary.BigEndian.AppendUint16(b, uint16(from))
	b = binary.BigEndian.AppendUint16(b, uint16(groupID))
	b = binary.BigEndian.AppendUint32(b, uint32(uint64(base)))
	for _, n := range about {
		age := math.Ceil((base/1000 - n.pos) / unit)
		if len(b)+wordBytes > mostBytes {
			break
		}
		last := byte(min(max(age, 0), oldest))
		if n.claimed >= n.pos {
			last |= primaryIs
		}
		b = append(b, byte(n.key>>16), byte(n.key>>8), byte(n.key), last, n.count(k, now))
	}
	binary.BigEndian.PutUint32(b[1:], sum(b))
	return b
}

// count is what a word of a kind has of a node beside its position. Whoever reads it knows that it wraps.
func (n *node) count(k kind, now float64) byte {
	switch k {
	case tell:
		return byte(min(n.load(now), math.MaxUint8))
	case leaves:
		return byte(n.left)
	case ends:
		return byte(n.ended)
	}
	return 0
}

// sum covers all but itself: a datagram that was garbled on its way must not prove anything.
func sum(b []byte) uint32 {
	h := xxhash.Sum64(b[5:]) ^ uint64(b[0])*0x9e3779b97f4a7c15
	return uint32(h ^ h>>32)
}

// parse reads a datagram. Its positions are taken as the last time before now, or a little after, that has their lower 32
// bits of milliseconds.
func parse(b []byte, now, unit float64) (*message, error) {
	if len(b) < headBytes || (len(b)-headBytes)%wordBytes != 0 || len(b) > mostBytes || binary.BigEndian.Uint32(b[1:]) != sum(b) {
		return nil, errSpoilt
	}
	m := &message{kind: kind(b[0]), from: int(binary.BigEndian.Uint16(b[5:])), group: int(binary.BigEndian.Uint16(b[7:]))}
	if m.kind < want || m.kind > tell {
		return nil, errSpoilt
	}
	ms := uint64(math.Floor((now + future) * 1000))
	base := ms - uint64(uint32(ms)-binary.BigEndian.Uint32(b[9:]))
	for at := headBytes; at < len(b); at += wordBytes {
		m.keys = append(m.keys, uint32(b[at])<<16|uint32(b[at+1])<<8|uint32(b[at+2]))
		pos := float64(base)/1000 - float64(b[at+3]&^primaryIs)*unit
		if b[at+3]&^primaryIs == oldest {
			pos = 0
		}
		m.positions = append(m.positions, pos)
		m.counts = append(m.counts, b[at+4])
		m.primaries = append(m.primaries, b[at+3]&primaryIs != 0)
	}
	return m, nil
}
