package zone

// This file contains the format of datagrams and of the holder's word.

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// First is the lowest first byte of this package's datagrams; those of package peerstate are below 0x20, of package lease below 0x30.
const First = 0x30

const (
	kindCounts = First + iota // what one router saw of a zone
	kindSum                   // what a gatherer has heard of a zone
	kindOrder                 // an order for the holder
)

const maxDatagramBytes = 64

var errMalformed = errors.New("malformed zone datagram or holder word")

// head is the header of each datagram.
type head struct {
	From uint16
	Life uint32
	At   uint32 // ms on the sender's clock; wraps around
	Zone uint32 // hash of the name of the zone
}

// counts is what one router saw of a zone in a window.
type counts struct {
	head
	Home            uint32 // hash of the sender's own zone
	Good, Late, Bad uint16
	Nodes           uint16 // set of nodes with late or bad outcomes, one bit each
	Used            uint16 // set of nodes with any outcomes
	Else, ElseBad   uint16 // outcomes in other regions, and how many of them were late or bad
}

// sum is what a gatherer has heard in a window.
type sum struct {
	head
	Good, Late, Bad uint32
	Voices          uint16
	Homes           homes // zones of the routers that reported trouble
	Nodes, Used     uint16
	Else, ElseBad   uint32
}

// orderRequest asks the holder to carry out an order. An order that has its own number is sent to a holder that does not know
// of it. A new one has the number of the order that it replaces, so that it counts once, however often it arrives.
type orderRequest struct {
	head
	Number uint64
	What   uint8
}

// format encodes a datagram: its kind, a checksum and the fields of x.
func format(kind byte, x any) []byte {
	b := make([]byte, 5, maxDatagramBytes)
	b[0] = kind
	b, _ = binary.Append(b, binary.BigEndian, x)
	binary.BigEndian.PutUint32(b[1:], check(b))
	return b
}

// check is the checksum of the kind and the body of a datagram.
func check(b []byte) uint32 {
	h := xxhash.Sum64(b[5:]) ^ uint64(b[0])*0x9e3779b97f4a7c15
	return uint32(h ^ h>>32)
}

// parse decodes a datagram into a *counts, *sum or *orderRequest.
func parse(b []byte) (any, *head, error) {
	if len(b) < 5 || binary.BigEndian.Uint32(b[1:]) != check(b) {
		return nil, nil, errMalformed
	}
	var x any
	var h *head
	switch b[0] {
	case kindCounts:
		c := &counts{}
		x, h = c, &c.head
	case kindSum:
		s := &sum{}
		x, h = s, &s.head
	case kindOrder:
		w := &orderRequest{}
		x, h = w, &w.head
	default:
		return nil, nil, errMalformed
	}
	if n, err := binary.Decode(b[5:], binary.BigEndian, x); err != nil || n != len(b)-5 {
		return nil, nil, errMalformed
	}
	return x, h, nil
}

func hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// wordEntry is an entry of the holder's word: a zone that is left or returning, or that has had an order.
type wordEntry struct {
	key    uint32
	share  float64
	hand   Override
	number uint64
}

// formatWord encodes a word: entries KEY:SHARE:HAND:NUMBER, separated by commas, or "-" if there are none.
func formatWord(entries []wordEntry) string {
	var parts []string
	for _, s := range entries {
		parts = append(parts, fmt.Sprintf("%x:%s:%d:%x", s.key, strconv.FormatFloat(s.share, 'g', 4, 64), s.hand, s.number))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ",")
}

func parseWord(text string) (out []wordEntry, err error) {
	if text == "-" || text == "" {
		return nil, nil
	}
	for _, part := range strings.Split(text, ",") {
		f := strings.Split(part, ":")
		if len(f) != 4 {
			return nil, errMalformed
		}
		key, err1 := strconv.ParseUint(f[0], 16, 32)
		share, err2 := strconv.ParseFloat(f[1], 64)
		hand, err3 := strconv.ParseUint(f[2], 10, 8)
		number, err4 := strconv.ParseUint(f[3], 16, 64)
		if errors.Join(err1, err2, err3, err4) != nil || !(share >= 0 && share <= 1) || hand > uint64(Hold) {
			return nil, errMalformed
		}
		out = append(out, wordEntry{uint32(key), share, Override(hand), number})
	}
	return out, nil
}
