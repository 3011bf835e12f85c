package zone

// This file owns the evidence: what this router saw, and what others have told of theirs. It must never take what was long on
// its way for what is now.

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"math/bits"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Monitor is one router's part. Nodes are emptied by Forget; zones grow with the names ever listed, words with zones and peers.
type Monitor struct {
	terms   Config
	nodes   []*node
	zones   map[uint32]*zone
	order   []*zone
	offsets []offset // by peer
	out     Effects
	counted Counts
	holds   bool   // this router numbers the steps
	token   uint64 // of that
	ordered uint64 // orders numbered under it
	leader  int    // whose word was obeyed last; -1: nobody's
	heard   float64
	wishes  []*wanted
}

type node struct {
	id, group int
	bit       uint16 // that stands for it in what is told: of two nodes in sixteen one is not told from the other
	zone      *zone
	seen      tally
}

// outcome of a submission.
type outcome int

const (
	good outcome = iota
	late
	bad
	outcomes
)

// tally is outcomes of the last window, by parts of it.
type tally struct {
	part int64 // number of the newest
	n    [outcomes][slots]uint16
}

func (t *tally) roll(now float64) {
	part := int64(now / (window / slots))
	if part-t.part >= slots {
		*t = tally{part: part}
	}
	for ; t.part < part; t.part++ {
		for o := range outcomes {
			t.n[o][(t.part+1)%slots] = 0
		}
	}
}

func (t *tally) add(o outcome, now float64) {
	t.roll(now)
	t.n[o][t.part%slots]++
}

func (t *tally) sum(now float64) (out [outcomes]int) {
	t.roll(now)
	for o := range outcomes {
		for _, n := range t.n[o] {
			out[o] += int(n)
		}
	}
	return out
}

// usual is how long an answer of a zone takes, by txn type.
type usual struct {
	n    int
	mean float64
	at   float64 // when the last of the first answers came
}

// learn takes a latency, and tells whether it is late.
func (u *usual) learn(latency, now float64) bool {
	if u.n < learnFirst {
		u.at = now
		u.n++
		u.mean += (latency - u.mean) / float64(u.n)
		return false
	}
	gain, over := slower, latency > lateBy*u.mean+lateLeast
	switch {
	case over:
		gain = muchSlower
	case latency < u.mean:
		gain = quicker
	}
	u.mean += gain * (latency - u.mean)
	return over
}

// borrow has a zone that is out begin with what is usual elsewhere, the longest of it, where this router knows nothing of its
// own: else it would learn from the answers of a zone that is slow, and call them good. It may harm where a zone is far: who
// has never used it then learns that from some hundred late answers.
func (b *Monitor) borrow(z *zone, typ int) {
	u := &z.usual[typ]
	if u.n >= learnFirst {
		return
	}
	longest := 0.0
	for _, o := range b.order {
		if o.region != z.region && typ < len(o.usual) && o.usual[typ].n >= learnFirst {
			longest = max(longest, o.usual[typ].mean)
		}
	}
	if longest > 0 {
		u.n, u.mean = learnFirst, longest
	}
}

// unlearn forgets what was learned as usual from the outcomes for which a zone is left.
func (z *zone) unlearn(now float64) {
	for i := range z.usual {
		if u := &z.usual[i]; u.at > 0 && now-u.at <= window {
			*u = usual{}
		}
	}
}

// offset is between a peer's clock and ours, with the quickest way seen.
type offset struct {
	life uint32
	ms   float64
	has  bool
}

type word struct {
	at   float64
	life uint32
	sent uint32
	sight
}

type zone struct {
	name    string
	key     uint32
	region  string
	nodes   []*node
	usual   []usual      // by txn type
	words   map[int]word // of peers, the newest of each
	sums    map[int]word // of gatherers
	told    float64
	summed  float64
	loud    bool    // our last counts had bad ones, or it is returning: a good word is news
	out     bool    // left, or returning
	alone   bool    // by our own sums, not by the holder's word
	wide    bool    // routers of several zones have trouble with it: it is for the holder's word
	share   float64 // of routers that use it while out
	most    float64 // share up to which it returns quickly
	place   int     // ours in the order in which they return
	gather  []int   // who adds up what all say of it
	since   float64 // of the last step
	flaps   int
	failed  float64 // when it was last left
	renew   float64
	doubted bool    // its nodes were, when last looked at
	looked  int     // the node that was looked at last, by its place among them
	looks   float64 // that may be made now
	hand    Override
	number  uint64  // of that order; 0: there was none
	peak    float64 // answers a second that it was seen to bear, here
	peakAt  float64
}

// New makes a Monitor that has seen nothing.
func New(t Config) *Monitor {
	return &Monitor{terms: t, zones: map[uint32]*zone{}, offsets: make([]offset, t.Routers), leader: -1, heard: math.Inf(-1)}
}

// Effects hands over what is to be done, once.
func (b *Monitor) Effects() Effects {
	out := b.out
	b.out = Effects{}
	return out
}

// Counts tells the counts.
func (b *Monitor) Counts() Counts { return b.counted }

// zone finds one by its key; a word may name one whose nodes are not listed here yet.
func (b *Monitor) zone(key uint32, name string) *zone {
	z := b.zones[key]
	if z == nil {
		z = &zone{key: key, words: map[int]word{}, sums: map[int]word{}, share: 1, most: 1, failed: math.Inf(-1), since: math.Inf(-1)}
		z.place, z.gather = b.ranks(key)
		b.zones[key] = z
		b.order = append(b.order, z)
	}
	if z.name == "" || name != "" {
		z.name = name
		if name == "" {
			z.name = fmt.Sprintf("?%x", key)
		}
		if z.region = b.terms.Regions[z.name]; z.region == "" {
			z.region = z.name
		}
		slices.SortFunc(b.order, func(a, b *zone) int { return strings.Compare(a.name, b.name) })
	}
	return z
}

// Node names a member of the list, its group and its zone. One without a zone is in none.
func (b *Monitor) Node(id int, uid, name string, group int) {
	for id >= len(b.nodes) {
		b.nodes = append(b.nodes, nil)
	}
	if name == "" || b.nodes[id] != nil && b.nodes[id].zone.name == name {
		return
	}
	b.Forget(id)
	z := b.zone(hash(name), name)
	n := &node{id: id, group: group, bit: 1 << (hash(uid) % 16), zone: z}
	b.nodes[id] = n
	z.nodes = append(z.nodes, n)
}

// Forget ends a node: its index may stand for another.
func (b *Monitor) Forget(id int) {
	if id >= len(b.nodes) || b.nodes[id] == nil {
		return
	}
	z := b.nodes[id].zone
	z.nodes = slices.DeleteFunc(z.nodes, func(n *node) bool { return n.id == id })
	b.nodes[id] = nil
}

// RecordOutcome tells how a submission of a txn type ended, and after how long. What a node turns away or misses shows nothing of its
// zone, and is not told here.
func (b *Monitor) RecordOutcome(id, typ int, ok bool, latency, now float64) {
	if id >= len(b.nodes) || b.nodes[id] == nil || typ < 0 {
		return
	}
	n := b.nodes[id]
	z := n.zone
	for typ >= len(z.usual) {
		z.usual = append(z.usual, usual{})
	}
	o := bad
	if ok {
		if z.out {
			b.borrow(z, typ)
		}
		if o = good; z.usual[typ].learn(latency, now) {
			o = late
		}
	}
	n.seen.add(o, now)
	z.bears(now)
	if (o != good || z.loud) && now-z.told >= tellEvery {
		b.tell(z, now)
	}
	b.weigh(z, now)
}

// own sums what this router saw of a zone.
func (b *Monitor) own(z *zone, now float64) (s sight) {
	for _, n := range z.nodes {
		x := n.seen.sum(now)
		s.good, s.late, s.bad = s.good+x[good], s.late+x[late], s.bad+x[bad]
		if x[good]+x[late]+x[bad] > 0 {
			s.used |= n.bit
		}
		if x[late]+x[bad] > 0 {
			s.nodes |= n.bit
		}
	}
	if s.late+s.bad > 0 {
		s.voices, s.homes = 1, homes{hash(b.terms.Zone)}
	}
	return s
}

// send writes a datagram, with our head.
func (b *Monitor) send(to int, kind byte, h *head, x any, z *zone, now float64) {
	*h = head{uint16(b.terms.Me), b.terms.Life, uint32(int64(now * 1000)), z.key}
	text := format(kind, x)
	b.counted.Tells++
	b.counted.Bytes += int64(len(text))
	b.out.Sends = append(b.out.Sends, Send{to, text})
}

// tell says our counts of a zone, to all or to those who gather.
func (b *Monitor) tell(z *zone, now float64) {
	s := b.own(z, now)
	z.told, z.loud = now, s.late+s.bad > 0 || z.out
	if b.terms.Routers < 2 {
		return
	}
	s.others(b.ownElsewhere(z, now))
	c := counts{Else: uint16(s.elses), ElseBad: uint16(s.elseBad), Home: hash(b.terms.Zone), Good: uint16(s.good), Late: uint16(s.late), Bad: uint16(s.bad), Nodes: s.nodes, Used: s.used}
	if b.terms.Routers < gatherFrom {
		b.send(All, kindCounts, &c.head, &c, z, now)
		return
	}
	for _, r := range z.gather {
		if r != b.terms.Me {
			b.send(r, kindCounts, &c.head, &c, z, now)
		}
	}
	b.addUp(z, now)
}

// addUp tells all what we have heard, where we gather: seldom while nothing could come of it, and not where two that come
// before us have just said as much.
func (b *Monitor) addUp(z *zone, now float64) {
	if now-z.summed < sumEvery || !slices.Contains(z.gather, b.terms.Me) {
		return
	}
	s, every := b.hears(z, now), sumEvery
	if s.late+s.bad == 0 && !z.out {
		return
	}
	if s.share(true) < quietShare && !z.out {
		every = quietEvery
	}
	said := 0
	for _, r := range z.gather[:slices.Index(z.gather, b.terms.Me)] {
		if w, ok := z.sums[r]; ok && now-w.at < saidFor*every && float64(w.all()) >= saidShare*float64(s.all()) {
			said++
		}
	}
	if now-z.summed < every || said >= speakers {
		return
	}
	z.summed = now
	s.others(b.ownElsewhere(z, now))
	x := sum{Else: uint32(s.elses), ElseBad: uint32(s.elseBad), Good: uint32(s.good), Late: uint32(s.late), Bad: uint32(s.bad), Voices: uint16(s.voices), Homes: s.homes, Nodes: s.nodes, Used: s.used}
	b.send(All, kindSum, &x.head, &x, z, now)
}

// Receive takes a datagram that came from the address of a peer, and tells whether it was one of ours. One that was long on its
// way, or overtaken, says nothing.
func (b *Monitor) Receive(from int, datagram []byte, now float64) bool {
	x, h, err := parse(datagram)
	if err != nil || int(h.From) != from || from == b.terms.Me || from >= len(b.offsets) {
		b.counted.Spoilt++
		return false
	}
	b.counted.Taken++
	if w, ok := x.(*wish); ok { // its number says whether it is old
		b.asked(w, now)
		return true
	}
	o := &b.offsets[from]
	ms := now*1000 - float64(h.At)
	if !o.has || o.life != h.Life {
		*o = offset{life: h.Life, ms: ms, has: true}
	}
	if d := math.Remainder(ms-o.ms, 1<<32); d < 0 {
		o.ms = ms
	} else if d > oldWord*1000 {
		b.counted.Old++
		return true
	}
	z := b.zones[h.Zone]
	if z == nil || len(z.nodes) == 0 {
		return true
	}
	w, in := word{at: now, life: h.Life, sent: h.At}, z.words
	switch x := x.(type) {
	case *counts:
		w.sight = sight{good: int(x.Good), late: int(x.Late), bad: int(x.Bad), nodes: x.Nodes, used: x.Used, elses: int(x.Else), elseBad: int(x.ElseBad)}
		if x.Late+x.Bad > 0 {
			w.voices, w.homes = 1, homes{x.Home}
		}
	case *sum:
		in = z.sums
		w.sight = sight{good: int(x.Good), late: int(x.Late), bad: int(x.Bad), voices: int(x.Voices), homes: x.Homes, nodes: x.Nodes, used: x.Used,
			elses: int(x.Else), elseBad: int(x.ElseBad)}
	}
	if was, ok := in[from]; ok && was.life == h.Life && int32(h.At-was.sent) < 0 {
		b.counted.Old++
		return true
	}
	in[from] = w
	b.addUp(z, now)
	b.weigh(z, now)
	return true
}

// homes are the zones of the routers that have trouble, the first two in order: whether there are two, and if not which one
// it is, is all that matters. 0 is none.
type homes [2]uint32

func (h homes) several() bool { return h[1] != 0 }

func (h homes) with(o homes) homes {
	if o == (homes{}) || o == h {
		return h
	}
	all := []uint32{h[0], h[1], o[0], o[1]}
	slices.Sort(all)
	all = slices.Compact(slices.DeleteFunc(all, func(x uint32) bool { return x == 0 }))
	var out homes
	copy(out[:], all)
	return out
}

// sight is what some routers together saw of a zone of late.
type sight struct {
	good, late, bad, voices int
	homes                   homes
	nodes, used             uint16
	elses, elseBad          int // outcomes in other regions of those who spoke of this zone, and those that were not good
}

func (s *sight) others(o sight) { s.elses, s.elseBad = s.elses+o.all(), s.elseBad+o.late+o.bad }

func (s *sight) add(o sight) {
	s.good, s.late, s.bad, s.voices = s.good+o.good, s.late+o.late, s.bad+o.bad, s.voices+o.voices
	s.homes, s.nodes, s.used = s.homes.with(o.homes), s.nodes|o.nodes, s.used|o.used
	s.elses, s.elseBad = s.elses+o.elses, s.elseBad+o.elseBad
}

// beyond tells whether a share differs from another by more than chance would have it, as far as both are known.
func (s *sight) beyond(o sight, late bool) bool {
	m, n := float64(s.all()), float64(o.all())
	if m == 0 || n == 0 {
		return false
	}
	both := (s.share(late)*m + o.share(late)*n) / (m + n)
	return s.share(late)-o.share(late) >= deviations*math.Sqrt(both*(1-both)*(1/m+1/n))
}

func (s *sight) all() int { return s.good + s.late + s.bad }

// share is that of bad ones; of those that were late, too.
func (s *sight) share(late bool) float64 {
	if s.all() == 0 {
		return 0
	}
	if late {
		return float64(s.bad+s.late) / float64(s.all())
	}
	return float64(s.bad) / float64(s.all())
}

// hears adds up what this router saw and what others have told it of theirs.
func (b *Monitor) hears(z *zone, now float64) sight {
	s := b.own(z, now)
	for from, w := range z.words {
		if now-w.at > fresh {
			delete(z.words, from)
			continue
		}
		s.add(w.sight)
	}
	return s
}

// sees is the fullest sight that there is: gatherers' overlap, so they are not added up.
func (b *Monitor) sees(z *zone, now float64) sight {
	s := b.hears(z, now)
	for _, from := range b.sumsOf(z, now) {
		if w := z.sums[from]; w.all() > s.all() {
			s = w.sight
		}
	}
	return s
}

// sumsOf lists whose sums count, in order.
func (b *Monitor) sumsOf(z *zone, now float64) (out []int) {
	for from, w := range z.sums {
		if now-w.at > fresh {
			delete(z.sums, from)
		} else {
			out = append(out, from)
		}
	}
	slices.Sort(out)
	return out
}

// elsewhere is what other regions show, by what this router knows; a quiet one knows it of those who spoke of the zone.
func (b *Monitor) elsewhere(z *zone, s sight, now float64) (all sight) {
	for _, o := range b.order {
		if o.region != z.region {
			all.add(b.sees(o, now))
		}
	}
	// Those who spoke of other zones had trouble there, so what they say of them is on the dark side, as it is for this zone;
	// what the others saw is not. The darker one counts: a zone is not left for what happens everywhere.
	told := sight{good: s.elses - s.elseBad, bad: s.elseBad}
	if all.all() == 0 || told.share(true) > all.share(true) || told.share(true) == all.share(true) && told.all() > all.all() {
		return told
	}
	return all
}

// rest is the part of the other regions' nodes that is in use. They bear what a zone that is left had: the fewer there are
// beside those that are out already, the less trouble they may have themselves.
func (b *Monitor) rest(z *zone) float64 {
	used, all := 0.0, 0.0
	for _, o := range b.order {
		if o.region == z.region {
			continue
		}
		n := float64(len(o.nodes))
		if all += n; o.out {
			n *= o.share
		}
		used += n
	}
	if all == 0 {
		return 0
	}
	return used / all
}

// ownElsewhere is what this router itself saw of other regions.
func (b *Monitor) ownElsewhere(z *zone, now float64) (all sight) {
	for _, o := range b.order {
		if o.region != z.region {
			all.add(b.own(o, now))
		}
	}
	return all
}

// ill tells whether a zone fails as such, or is late as such.
func (b *Monitor) ill(z *zone, s, other sight, now float64) bool {
	switch {
	case other.all() == 0: // no other to compare with
		return false
	case !s.homes.several() && s.homes[0] != hash(b.terms.Zone): // it is the way there from another zone
		return false
	case bits.OnesCount16(s.nodes) < min(manyNodes, len(z.nodes)) || float64(bits.OnesCount16(s.nodes)) < nodeShare*float64(bits.OnesCount16(s.used)):
		return false
	}
	own, rest := b.own(z, now), b.rest(z)
	for _, late := range []bool{false, true} {
		n, mine, least := s.bad, own.bad, badShare
		if late {
			n, mine, least = n+s.late, mine+own.late, lateShare
		}
		// Late ones elsewhere are half a trouble to a zone that fails.
		there, here := other.share(late)+other.share(true), s.share(late)+s.share(true)
		if there > elseShare*rest*here || !s.beyond(other, late) { // the trouble is there too, or it may be chance
			continue
		}
		if !late && mine >= ownBad && float64(mine) >= ownShare*float64(own.all()) || n >= leastBad && s.share(late) >= least && s.voices >= min(voices, b.terms.Routers) {
			return true
		}
	}
	return false
}

// ranks gives our place in the order for a zone, in which routers return; and where there are many, its last ones: they add
// up what all say of it.
func (b *Monitor) ranks(key uint32) (place int, gather []int) {
	rank := func(router int) uint64 {
		var b [8]byte
		binary.BigEndian.PutUint32(b[:], key)
		binary.BigEndian.PutUint32(b[4:], uint32(router))
		return xxhash.Sum64(b[:])
	}
	all := make([]int, b.terms.Routers)
	for r := range all {
		all[r] = r
	}
	slices.SortFunc(all, func(a, b int) int { return cmp.Compare(rank(a), rank(b)) })
	if b.terms.Routers >= gatherFrom {
		gather = all[len(all)-gatherers:]
	}
	return slices.Index(all, b.terms.Me), gather
}
