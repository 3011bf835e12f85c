package zone

// This file owns the evidence and the steps. It must never leave a zone for what happens everywhere, nor for one node.

import (
	"encoding/binary"
	"math"
	"math/bits"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Book is one router's part. Nodes are emptied by Forget; zones grow with the names ever listed, words with zones and peers.
type Book struct {
	terms   Terms
	nodes   []*node
	zones   map[uint32]*zone
	order   []*zone
	offsets []offset // by peer
	out     Effects
	counted Counts
}

type node struct {
	id   int
	bit  uint16 // that stands for it in what is told: of two nodes in sixteen one is not told from the other
	zone *zone
	seen tally
}

// tally is good and bad outcomes of the last window, by parts of it.
type tally struct {
	part      int64 // number of the newest
	good, bad [slots]uint16
}

func (t *tally) roll(now float64) {
	part := int64(now / (window / slots))
	if part-t.part >= slots {
		*t = tally{part: part}
	}
	for ; t.part < part; t.part++ {
		t.good[(t.part+1)%slots], t.bad[(t.part+1)%slots] = 0, 0
	}
}

func (t *tally) add(ok bool, now float64) {
	t.roll(now)
	if ok {
		t.good[t.part%slots]++
	} else {
		t.bad[t.part%slots]++
	}
}

func (t *tally) sum(now float64) (good, bad int) {
	t.roll(now)
	for i := range slots {
		good, bad = good+int(t.good[i]), bad+int(t.bad[i])
	}
	return good, bad
}

// offset is between a peer's clock and ours, with the quickest way seen.
type offset struct {
	life uint32
	ms   float64
	at   uint32 // of its newest word
	has  bool
}

type word struct {
	at float64
	counts
}

type zone struct {
	name   string
	key    uint32
	nodes  []*node
	words  map[int]word // of peers, the newest of each
	told   float64
	loud   bool    // our last counts had bad ones, or it is returning: a good word is news
	out    bool    // left, or returning
	share  float64 // of routers that use it while out
	place  int     // ours in the order in which they return
	since  float64 // of the last step
	flaps  int
	failed float64 // when it was last left
	renew  float64
}

// New makes a Book that has seen nothing.
func New(t Terms) *Book {
	return &Book{terms: t, zones: map[uint32]*zone{}, offsets: make([]offset, t.Routers)}
}

// Effects hands over what is to be done, once.
func (b *Book) Effects() Effects {
	out := b.out
	b.out = Effects{}
	return out
}

// Counted tells the counts.
func (b *Book) Counted() Counts { return b.counted }

// Node names a member of the list and its zone. One without a zone is in none.
func (b *Book) Node(id int, uid, name string) {
	for id >= len(b.nodes) {
		b.nodes = append(b.nodes, nil)
	}
	if name == "" || b.nodes[id] != nil && b.nodes[id].zone.name == name {
		return
	}
	b.Forget(id)
	z := b.zones[hash(name)]
	if z == nil {
		z = &zone{name: name, key: hash(name), words: map[int]word{}, place: b.place(hash(name)), share: 1, failed: math.Inf(-1)}
		b.zones[z.key] = z
		b.order = append(b.order, z)
		slices.SortFunc(b.order, func(a, b *zone) int { return strings.Compare(a.name, b.name) })
	}
	n := &node{id: id, bit: 1 << (hash(uid) % 16), zone: z}
	b.nodes[id] = n
	z.nodes = append(z.nodes, n)
}

// Forget ends a node: its index may stand for another.
func (b *Book) Forget(id int) {
	if id >= len(b.nodes) || b.nodes[id] == nil {
		return
	}
	z := b.nodes[id].zone
	z.nodes = slices.DeleteFunc(z.nodes, func(n *node) bool { return n.id == id })
	b.nodes[id] = nil
}

// Saw tells how a submission ended. What a node turns away or misses shows nothing of its zone, and is not told here.
func (b *Book) Saw(id int, ok bool, now float64) {
	if id >= len(b.nodes) || b.nodes[id] == nil {
		return
	}
	n := b.nodes[id]
	n.seen.add(ok, now)
	z := n.zone
	if (!ok || z.loud) && now-z.told >= tellEvery {
		b.tell(z, now)
	}
	b.weigh(z, now)
}

// own sums what this router saw of a zone.
func (z *zone) own(now float64) (c counts) {
	for _, n := range z.nodes {
		good, bad := n.seen.sum(now)
		c.Good, c.Bad = c.Good+uint16(good), c.Bad+uint16(bad)
		if good+bad > 0 {
			c.Used |= n.bit
		}
		if bad > 0 {
			c.Nodes |= n.bit
		}
	}
	return c
}

// tell says our counts of a zone to all.
func (b *Book) tell(z *zone, now float64) {
	c := z.own(now)
	z.told, z.loud = now, c.Bad > 0 || z.out
	if b.terms.Routers < 2 {
		return
	}
	c.From, c.Life, c.At = uint16(b.terms.Me), b.terms.Life, uint32(int64(now*1000))
	c.Zone, c.Home = z.key, hash(b.terms.Zone)
	text := c.format()
	b.counted.Tells++
	b.counted.Bytes += int64(len(text))
	b.out.Sends = append(b.out.Sends, Send{All, text})
}

// Take takes a datagram that came from the address of a peer, and tells whether it was one of ours. One that was long on its
// way, or overtaken, says nothing.
func (b *Book) Take(from int, datagram []byte, now float64) bool {
	c, err := parse(datagram)
	if err != nil || int(c.From) != from || from == b.terms.Me || from >= len(b.offsets) {
		b.counted.Spoilt++
		return false
	}
	b.counted.Taken++
	o := &b.offsets[from]
	ms := now*1000 - float64(c.At)
	if !o.has || o.life != c.Life {
		*o = offset{life: c.Life, ms: ms, has: true}
	}
	if d := math.Remainder(ms-o.ms, 1<<32); d < 0 {
		o.ms = ms
	} else if d > oldWord*1000 {
		b.counted.Old++
		return true
	}
	z := b.zones[c.Zone]
	if z == nil || len(z.nodes) == 0 {
		return true
	}
	if was, ok := z.words[from]; ok && was.Life == c.Life && int32(c.At-was.At) < 0 {
		b.counted.Old++
		return true
	}
	z.words[from] = word{now, c}
	b.weigh(z, now)
	return true
}

// sight is what all routers together saw of a zone of late.
type sight struct {
	good, bad, voices, homes int
	mine                     bool // some of them in this router's own zone
	nodes, used              uint16
}

func (s sight) share() float64 {
	if s.good+s.bad == 0 {
		return 0
	}
	return float64(s.bad) / float64(s.good+s.bad)
}

func (b *Book) sees(z *zone, now float64) (s sight) {
	own := z.own(now)
	own.Home = hash(b.terms.Zone)
	homes := map[uint32]bool{}
	hear := func(c counts) {
		s.good, s.bad = s.good+int(c.Good), s.bad+int(c.Bad)
		s.nodes, s.used = s.nodes|c.Nodes, s.used|c.Used
		if c.Bad > 0 {
			s.voices++
			homes[c.Home] = true
			s.mine = s.mine || c.Home == own.Home
		}
	}
	hear(own)
	for from, w := range z.words {
		if now-w.at > fresh {
			delete(z.words, from)
			continue
		}
		hear(w.counts)
	}
	s.homes = len(homes)
	return s
}

// elsewhere is the share of bad outcomes in other zones, by what this router knows.
func (b *Book) elsewhere(z *zone, now float64) (share float64, used bool) {
	var all sight
	for _, o := range b.order {
		if o != z {
			s := b.sees(o, now)
			all.good, all.bad = all.good+s.good, all.bad+s.bad
		}
	}
	return all.share(), all.good+all.bad > 0
}

// ill tells whether a zone fails as such.
func (b *Book) ill(z *zone, s sight, other float64, used bool, now float64) bool {
	switch {
	case !used || other > elseShare*s.share(): // no other zone to compare with, or the trouble is there too
		return false
	case s.homes < 2 && !s.mine: // it is the way there from another zone
		return false
	case bits.OnesCount16(s.nodes) < min(manyNodes, len(z.nodes)) || float64(bits.OnesCount16(s.nodes)) < nodeShare*float64(bits.OnesCount16(s.used)):
		return false
	}
	own := z.own(now)
	if int(own.Bad) >= ownBad && float64(own.Bad) >= ownShare*float64(own.Bad+own.Good) {
		return true
	}
	return s.bad >= leastBad && s.share() >= badShare && s.voices >= min(voices, b.terms.Routers)
}

// weigh looks whether a zone's step is due.
func (b *Book) weigh(z *zone, now float64) {
	s := b.sees(z, now)
	other, used := b.elsewhere(z, now)
	event := Event{Zone: z.name, Bad: s.bad, Good: s.good, Voices: s.voices, Else: other}
	switch {
	case !z.out:
		if !b.ill(z, s, other, used, now) {
			return
		}
		if z.flaps++; now-z.failed > calm {
			z.flaps = 0
		}
		z.failed = now
		z.out, z.share, z.since = true, 0, now
		b.counted.Leaves++
		event.Kind = Left
	case z.share > 0 && s.bad >= failedBad && s.share() >= failedBack && other <= elseShare*s.share() && now-z.since > tellEvery:
		if z.failed = now; z.share >= flapShare {
			z.flaps++
		}
		z.share, z.since = 0, now
		b.counted.Leaves++
		event.Kind = Left
	case z.share == 0 && now-z.since < min(stayMost, stay*math.Pow(2, float64(z.flaps))):
		return
	case z.share > 0 && (now-z.since < stepEvery || s.good < stepGood && now-z.since < stepWait):
		return
	case z.share >= 1:
		z.out, z.renew = false, 0
		b.counted.Returns++
		event.Kind = Back
	default:
		z.share, z.since = min(1, max(firstShare, firstLooks/float64(b.terms.Routers), z.share*growth)), now
		event.Kind = Returning
	}
	event.Share = z.share
	b.out.Events = append(b.out.Events, event)
	b.doubt(z, now)
}

// uses tells whether this router is among those that use a zone: the order is the same at all, and another for each zone.
func (b *Book) uses(z *zone) bool {
	return !z.out || float64(z.place) < z.share*float64(b.terms.Routers)
}

// place is this router's in the order for a zone.
func (b *Book) place(key uint32) (place int) {
	rank := func(router int) uint64 {
		var b [8]byte
		binary.BigEndian.PutUint32(b[:], key)
		binary.BigEndian.PutUint32(b[4:], uint32(router))
		return xxhash.Sum64(b[:])
	}
	own := rank(b.terms.Me)
	for r := range b.terms.Routers {
		if rank(r) < own {
			place++
		}
	}
	return place
}

// doubt has the splitter prefer other zones, or ends that.
func (b *Book) doubt(z *zone, now float64) {
	until := now
	if !b.uses(z) {
		until = now + doubtFor
	}
	for _, n := range z.nodes {
		b.out.Doubts = append(b.out.Doubts, Doubt{n.id, until})
	}
	z.renew = now + renewEach
}

// Next is when Step is due.
func (b *Book) Next() float64 {
	next := math.Inf(1)
	for _, z := range b.order {
		if z.out {
			next = min(next, z.renew)
		}
	}
	return next
}

// Step does what is due.
func (b *Book) Step(now float64) {
	for _, z := range b.order {
		if !z.out || now < z.renew {
			continue
		}
		b.weigh(z, now)
		if z.out {
			b.doubt(z, now)
			if z.loud || z.share > 0 {
				b.tell(z, now)
			}
		}
	}
}

// States tells the zones.
func (b *Book) States(now float64) (out []State) {
	for _, z := range b.order {
		s := b.sees(z, now)
		out = append(out, State{Zone: z.name, Nodes: len(z.nodes), Share: z.share, Uses: b.uses(z), Bad: s.bad, Good: s.good, Voices: s.voices, Flaps: z.flaps})
	}
	return out
}
