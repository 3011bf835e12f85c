package lease

// This file owns a router's seats, one for each slot of a task: their councils, the order of candidates, where holding begins and
// ends. It must never take a seat for held that its claim does not.

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// task is what the terms name.
type task struct {
	Task
	seats  []*seat
	wanted bool
	trying int // the slot that is asked for
}

// seat is a slot of a task.
type seat struct {
	task     *task
	slot     int
	key      uint32
	members  []int // of all councils in force
	council  [][]int
	mine     *member // nil: we are in no council
	claim    claim
	fence    fence
	asking   bool    // we are after it
	next     float64 // ask then
	misses   int     // rounds of questions since an answer
	retreats int     // times that no quorum answered, since one did
	since    float64 // when this series of questions began; 0: none is under way
	handed   float64 // it was handed to us, until then
	gift     uint64  // under which token, where we were not after it; 0: we were
	heard    float64 // when its holder was last heard of
	speak    float64 // our next word
	number   uint64
	text     string
	fresh    uint64       // the number with which text was new
	obeyed   map[int]bool // routers that obey text
	was      bool         // we held it when last looked at,
	under    uint64       // by that token,
	lasts    float64      // until then
	changes  int64
	backed   float64 // another slot was tried since, until then
}

// rank orders routers for a seat: all come to the same order without a word.
func rank(key uint32, router int) uint64 {
	var b [8]byte
	binary.BigEndian.PutUint32(b[:], key)
	binary.BigEndian.PutUint32(b[4:], uint32(router))
	return xxhash.Sum64(b[:])
}

// council tells who is asked for a seat among so many routers.
func council(key uint32, routers, size int) []int {
	all := make([]int, routers)
	for i := range all {
		all[i] = i
	}
	slices.SortFunc(all, func(a, b int) int {
		if rank(key, a) > rank(key, b) {
			return -1
		}
		return 1
	})
	size = min(size, routers-(routers+1)%2) // odd
	return all[:size]
}

// seat finds the councils of a seat, and begins our part in them anew.
func (b *Book) seat(s *seat, now float64) {
	t := b.terms
	s.council = [][]int{council(s.key, t.Routers, t.Council)}
	if t.Former > 0 && t.Former != t.Routers {
		s.council = append(s.council, council(s.key, t.Former, t.Council))
	}
	s.members = nil
	for _, c := range s.council {
		for _, r := range c {
			if !slices.Contains(s.members, r) {
				s.members = append(s.members, r)
			}
		}
	}
	quorum := make([][]int, len(s.council))
	for k, c := range s.council {
		for _, r := range c {
			quorum[k] = append(quorum[k], slices.Index(s.members, r))
		}
	}
	top := max(s.claim.top, t.First)
	s.claim = claim{me: b.me, began: math.Nextafter(now, math.Inf(1)), top: top, votes: make([]vote, len(s.members)), quorum: quorum}
	if !slices.Contains(s.members, t.Me) {
		s.mine = nil
	} else if s.mine == nil {
		s.mine = &member{serial: t.Life, quiet: now + t.Span*(1+margin), next: -1}
	}
}

// begin goes after one of a task's slots.
func (b *Book) begin(k *task, now float64) {
	s := k.seats[k.trying]
	s.asking, s.misses, s.since = true, 0, 0
	s.next = now
	if k.Standing {
		s.next = now + b.standBack(s, now)
	}
}

// standBack is how long a candidate for a standing task waits: by its place in the order, and where it is none of the first,
// until the holder has been silent for long.
func (b *Book) standBack(s *seat, now float64) float64 {
	place := b.place(s)
	if place < places {
		return float64(place) * stagger * b.terms.Span
	}
	missed := (silence + min(latest, laterBy*float64(place-places)) + b.rng.Float64()) * b.terms.Span
	return max(0, s.heard+missed-now)
}

// place is this router's in the order for a seat.
func (b *Book) place(s *seat) (place int) {
	own := rank(s.key, b.terms.Me)
	for r := range b.terms.Routers {
		if rank(s.key, r) > own {
			place++
		}
	}
	return place
}

// end gives a seat up. Members are told, and who comes next, where somebody was named.
func (b *Book) end(s *seat, next int, now float64) {
	granted := s.claim.release(now)
	s.asking, s.handed, s.gift, s.text = false, 0, 0, ""
	for _, i := range granted {
		m := message{Kind: release, At: now, Who: noOne}
		if next >= 0 {
			m.Who = uint16(next)
		}
		b.say(s.members[i], s, m, now)
	}
	b.look(s, now)
}

// look notes where holding has begun or ended.
func (b *Book) look(s *seat, now float64) {
	held := s.claim.holds(now, b.g)
	if s.was && (!held || s.under != s.claim.token) {
		b.event(Event{Kind: Lost, Token: s.under, Until: min(now, s.lasts)}, s)
		s.was = false
		if s.asking {
			b.retreat(s, now)
		}
	}
	if held && !s.was && s.gift > 0 {
		if s.claim.after != s.gift {
			b.end(s, -1, now) // what was handed over is long another's
			return
		}
		s.task.wanted, s.gift = true, 0
	}
	if held && !s.was {
		b.event(Event{Kind: Took, Token: s.claim.token, Until: s.claim.ends(b.g)}, s)
		s.was, s.under, s.number, s.fresh, s.speak, s.obeyed = true, s.claim.token, 0, 1, now, map[int]bool{}
		s.changes++
		for _, other := range s.task.seats {
			if other != s && other.asking {
				b.end(other, -1, now)
			}
		}
	}
	if s.lasts = s.claim.ends(b.g); held && s.lasts <= now { // only where a test has taken the guard out
		s.lasts = now + b.terms.Span
	}
}
