package peerstate

// This file defines the format of a datagram: a header of 13 bytes (kind, checksum, sender, group, the newest position in ms)
// and 5 bytes for each node (a hash of its name, how much older its position is, whether it was primary, and a count). The
// count is the number of submissions in flight there in an update, and the sender's number of submissions started or finished
// there so far in a report of a start or a finish. Rounding must never make a position newer.

import (
	"encoding/binary"
	"errors"
	"math"

	"github.com/cespare/xxhash/v2"
)

// messageKind is the first byte of a datagram: the version of the format plus the kind.
type messageKind byte

const (
	version          = 0x10
	kindSubscribe    = messageKind(version + iota) // asks the receiver to go on coordinating the group
	kindSubscribeNow                               // the same, and to answer at once, since the sender knows nothing
	kindSeekPrimary                                // asks for coordination and for the primary, for which a txn waits
	kindReport                                     // what a node has named to the sender
	kindStarted                                    // the sender sends a submission to a node
	kindFinished                                   // a submission has ended, and what the node named then
	kindUpdate                                     // what nodes have named, from the coordinator
)

const (
	headerBytes      = 1 + 4 + 2 + 2 + 4
	nodeBytes        = 5
	maxDatagramBytes = 256 // the platform's limit for a datagram between routers
	nameHashMask     = 1<<24 - 1
	primaryFlag      = 0x80
	oldestAge        = 0x7f // the position is at least this many steps older than the newest one, and proves nothing
)

var errMalformed = errors.New("malformed peer state datagram")

// message is a decoded datagram. The slices hold one element for each node.
type message struct {
	kind       messageKind
	from       int
	group      int
	nameHashes []uint32
	positions  []float64
	primaries  []bool
	counts     []byte
}

// encode makes a datagram about nodes. Nodes that do not fit are left out.
func encode(k messageKind, from, groupID int, about []*node, ageUnit, now float64) []byte {
	newest := 0.0
	for _, n := range about {
		newest = max(newest, n.position)
	}
	base := math.Floor(newest * 1000) // ms
	b := make([]byte, 5, headerBytes+len(about)*nodeBytes)
	b[0] = byte(k)
	b = binary.BigEndian.AppendUint16(b, uint16(from))
	b = binary.BigEndian.AppendUint16(b, uint16(groupID))
	b = binary.BigEndian.AppendUint32(b, uint32(uint64(base)))
	for _, n := range about {
		age := math.Ceil((base/1000 - n.position) / ageUnit)
		if len(b)+nodeBytes > maxDatagramBytes {
			break
		}
		ageAndRole := byte(min(max(age, 0), oldestAge))
		if n.primaryPosition >= n.position {
			ageAndRole |= primaryFlag
		}
		b = append(b, byte(n.nameHash>>16), byte(n.nameHash>>8), byte(n.nameHash), ageAndRole, n.count(k, now))
	}
	binary.BigEndian.PutUint32(b[1:], checksum(b))
	return b
}

// count returns the count of a node in a message of a kind. The numbers of started and finished submissions wrap at 256, which
// the receiver allows for.
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

// checksum covers all bytes but its own: a datagram that was corrupted on its way must not prove anything.
func checksum(b []byte) uint32 {
	h := xxhash.Sum64(b[5:]) ^ uint64(b[0])*0x9e3779b97f4a7c15
	return uint32(h ^ h>>32)
}

// decode reads a datagram. A datagram holds only the lower 32 bits of the newest position in milliseconds, which stands for
// the latest time up to now + maxClockAhead with these bits.
func decode(b []byte, now, ageUnit float64) (*message, error) {
	if len(b) < headerBytes || (len(b)-headerBytes)%nodeBytes != 0 || len(b) > maxDatagramBytes ||
		binary.BigEndian.Uint32(b[1:]) != checksum(b) {
		return nil, errMalformed
	}
	m := &message{kind: messageKind(b[0]), from: int(binary.BigEndian.Uint16(b[5:])), group: int(binary.BigEndian.Uint16(b[7:]))}
	if m.kind < kindSubscribe || m.kind > kindUpdate {
		return nil, errMalformed
	}
	ms := uint64(math.Floor((now + maxClockAhead) * 1000))
	base := ms - uint64(uint32(ms)-binary.BigEndian.Uint32(b[9:]))
	for offset := headerBytes; offset < len(b); offset += nodeBytes {
		m.nameHashes = append(m.nameHashes, uint32(b[offset])<<16|uint32(b[offset+1])<<8|uint32(b[offset+2]))
		pos := float64(base)/1000 - float64(b[offset+3]&^primaryFlag)*ageUnit
		if b[offset+3]&^primaryFlag == oldestAge {
			pos = 0
		}
		m.positions = append(m.positions, pos)
		m.counts = append(m.counts, b[offset+4])
		m.primaries = append(m.primaries, b[offset+3]&primaryFlag != 0)
	}
	return m, nil
}
