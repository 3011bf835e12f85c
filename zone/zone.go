package zone

// This file contains the evidence: what this router saw, and what peers have reported. A report that was delayed on its way
// must never count as recent.

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

// Monitor holds one router's view of all zones. Forget removes a node. Zones are never removed, so they grow with the names ever
// listed, and reports grow with zones and peers.
type Monitor struct {
	config         Config
	nodes          []*node
	zones          map[uint32]*zone
	sortedZones    []*zone
	offsets        []offset // by peer
	effects        Effects
	counts         Counts
	isHolder       bool    // this router numbers the steps
	token          uint64  // of this router as the holder
	ordersNumbered uint64  // orders numbered under the token
	holder         int     // router whose word was obeyed last; -1: none
	wordAt         float64 // when that word arrived
	pending        []*pendingOrder
}

type node struct {
	id, group int
	bit       uint16 // stands for the node in datagrams; one of 16 by hash, so that two nodes may share a bit
	zone      *zone
	seen      tally
}

// outcome is the outcome of a submission.
type outcome int

const (
	good outcome = iota
	late
	bad
	outcomes
)

// tally counts the outcomes of the last window, by parts of the window.
type tally struct {
	part int64 // number of the newest part
	n    [outcomes][windowParts]uint16
}

// roll drops the parts that have left the window.
func (t *tally) roll(now float64) {
	part := int64(now / (window / windowParts))
	if part-t.part >= windowParts {
		*t = tally{part: part}
	}
	for ; t.part < part; t.part++ {
		for o := range outcomes {
			t.n[o][(t.part+1)%windowParts] = 0
		}
	}
}

func (t *tally) add(o outcome, now float64) {
	t.roll(now)
	t.n[o][t.part%windowParts]++
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

// usual is the usual latency of a zone for one txn type.
type usual struct {
	n    int // answers so far, up to learnCount
	mean float64
	at   float64 // when the last of the first answers came
}

// learn adds a latency, and tells whether the answer was late.
func (u *usual) learn(latency, now float64) bool {
	if u.n < learnCount {
		u.at = now
		u.n++
		u.mean += (latency - u.mean) / float64(u.n)
		return false
	}
	gain, over := slowerWeight, latency > lateFactor*u.mean+lateMargin
	switch {
	case over:
		gain = lateWeight
	case latency < u.mean:
		gain = quickerWeight
	}
	u.mean += gain * (latency - u.mean)
	return over
}

// borrowUsual has a zone that was left start with the longest usual latency of the other regions if this router hasn't learned
// that of the zone itself: else it would learn from the answers of a slow zone, and call them good. The cost is with a zone
// that is far away: a router that has never used it takes some hundred late answers to learn that.
func (m *Monitor) borrowUsual(z *zone, typ int) {
	u := &z.usual[typ]
	if u.n >= learnCount {
		return
	}
	longest := 0.0
	for _, o := range m.sortedZones {
		if o.region != z.region && typ < len(o.usual) && o.usual[typ].n >= learnCount {
			longest = max(longest, o.usual[typ].mean)
		}
	}
	if longest > 0 {
		u.n, u.mean = learnCount, longest
	}
}

// unlearn forgets usual latencies that were learned from the very outcomes for which the zone was left.
func (z *zone) unlearn(now float64) {
	for i := range z.usual {
		if u := &z.usual[i]; u.at > 0 && now-u.at <= window {
			*u = usual{}
		}
	}
}

// offset is the difference between the clocks of this router and a peer, as the quickest datagram seen so far shows it.
type offset struct {
	life uint32
	ms   float64
	has  bool
}

// report is what a peer sent about a zone.
type report struct {
	at   float64
	life uint32
	sent uint32
	evidence
}

// zone is what this router knows of a zone.
type zone struct {
	name             string
	key              uint32
	region           string
	nodes            []*node
	usual            []usual        // by txn type
	reports          map[int]report // newest counts of each peer
	sums             map[int]report // newest sum of each gatherer
	countsSentAt     float64
	sumSentAt        float64
	lastCountsMatter bool    // the last counts sent had late or bad outcomes, or the zone was left: peers need to hear of good ones, too
	isLeft           bool    // left, or returning
	decidedLocally   bool    // by this router's own evidence, not by the holder's word
	forHolder        bool    // routers of several zones have trouble with it, so that the holder's word includes it
	share            float64 // share of the routers that use the zone while it is left or returning
	fastShare        float64 // share up to which it returns quickly
	returnRank       int     // rank of this router in the order in which routers return
	gatherers        []int   // routers that add up the counts of all
	stepAt           float64 // time of the last step
	flaps            int     // recent failed returns
	leftAt           float64 // when it was last left, or a return failed
	renewAt          float64 // when doubts and probes are due again
	isDoubted        bool    // whether its nodes were doubted at the last update
	lastProbed       int     // index of the node that was probed last
	probeCredit      float64 // probes that may be made now
	override         Override
	orderNumber      uint64  // number of the newest order; 0: there was none
	peakRate         float64 // highest good answers per second at this router, decaying
	peakAt           float64
}

// New makes a Monitor that has seen nothing.
func New(c Config) *Monitor {
	return &Monitor{config: c, zones: map[uint32]*zone{}, offsets: make([]offset, c.Routers), holder: -1, wordAt: math.Inf(-1)}
}

// Effects returns what the host has to do since the last call.
func (m *Monitor) Effects() Effects {
	out := m.effects
	m.effects = Effects{}
	return out
}

// Counts returns the counters.
func (m *Monitor) Counts() Counts { return m.counts }

// zone finds or adds a zone by its key. A word may contain a zone whose nodes are not listed here yet: it has no name so far.
func (m *Monitor) zone(key uint32, name string) *zone {
	z := m.zones[key]
	if z == nil {
		z = &zone{key: key, reports: map[int]report{}, sums: map[int]report{}, share: 1, fastShare: 1, leftAt: math.Inf(-1), stepAt: math.Inf(-1)}
		z.returnRank, z.gatherers = m.rankRouters(key)
		m.zones[key] = z
		m.sortedZones = append(m.sortedZones, z)
	}
	if z.name == "" || name != "" {
		z.name = name
		if name == "" {
			z.name = fmt.Sprintf("?%x", key)
		}
		if z.region = m.config.Regions[z.name]; z.region == "" {
			z.region = z.name
		}
		slices.SortFunc(m.sortedZones, func(x, y *zone) int { return strings.Compare(x.name, y.name) })
	}
	return z
}

// Node adds a listed node with its group and zone, or moves it to another zone. A node without a zone name is ignored.
func (m *Monitor) Node(id int, uid, name string, group int) {
	for id >= len(m.nodes) {
		m.nodes = append(m.nodes, nil)
	}
	if name == "" || m.nodes[id] != nil && m.nodes[id].zone.name == name {
		return
	}
	m.Forget(id)
	z := m.zone(hash(name), name)
	n := &node{id: id, group: group, bit: 1 << (hash(uid) % 16), zone: z}
	m.nodes[id] = n
	z.nodes = append(z.nodes, n)
}

// Forget removes a node, so that its index may stand for another.
func (m *Monitor) Forget(id int) {
	if id >= len(m.nodes) || m.nodes[id] == nil {
		return
	}
	z := m.nodes[id].zone
	z.nodes = slices.DeleteFunc(z.nodes, func(n *node) bool { return n.id == id })
	m.nodes[id] = nil
}

// RecordOutcome records how a submission of a txn type ended, and after how long. The host leaves out submissions that a node
// turned away or missed, as they show nothing of its zone.
func (m *Monitor) RecordOutcome(id, typ int, ok bool, latency, now float64) {
	if id >= len(m.nodes) || m.nodes[id] == nil || typ < 0 {
		return
	}
	n := m.nodes[id]
	z := n.zone
	for typ >= len(z.usual) {
		z.usual = append(z.usual, usual{})
	}
	o := bad
	if ok {
		if z.isLeft {
			m.borrowUsual(z, typ)
		}
		if o = good; z.usual[typ].learn(latency, now) {
			o = late
		}
	}
	n.seen.add(o, now)
	z.updatePeak(now)
	if (o != good || z.lastCountsMatter) && now-z.countsSentAt >= countsInterval {
		m.sendCounts(z, now)
	}
	m.evaluate(z, now)
}

// ownEvidence sums up what this router saw of a zone.
func (m *Monitor) ownEvidence(z *zone, now float64) (s evidence) {
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
		s.voices, s.homes = 1, homes{hash(m.config.Zone)}
	}
	return s
}

// send sends a datagram, and fills in its header.
func (m *Monitor) send(to int, kind byte, h *head, x any, z *zone, now float64) {
	*h = head{uint16(m.config.Me), m.config.Life, uint32(int64(now * 1000)), z.key}
	datagram := format(kind, x)
	m.counts.Tells++
	m.counts.Bytes += int64(len(datagram))
	m.effects.Sends = append(m.effects.Sends, Send{to, datagram})
}

// sendCounts sends this router's counts of a zone to all routers, or to the gatherers if there are many routers.
func (m *Monitor) sendCounts(z *zone, now float64) {
	s := m.ownEvidence(z, now)
	z.countsSentAt, z.lastCountsMatter = now, s.late+s.bad > 0 || z.isLeft
	if m.config.Routers < 2 {
		return
	}
	s.addElsewhere(m.ownEvidenceElsewhere(z, now))
	c := counts{Else: uint16(s.elsewhere), ElseBad: uint16(s.elsewhereBad), Home: hash(m.config.Zone), Good: uint16(s.good), Late: uint16(s.late), Bad: uint16(s.bad), Nodes: s.nodes, Used: s.used}
	if m.config.Routers < gatherFromRouters {
		m.send(All, kindCounts, &c.head, &c, z, now)
		return
	}
	for _, r := range z.gatherers {
		if r != m.config.Me {
			m.send(r, kindCounts, &c.head, &c, z, now)
		}
	}
	m.sendSum(z, now)
}

// sendSum sends all routers what this one has heard, if it is a gatherer: seldom while that is too little for a step, and not at
// all if enough gatherers before it have just sent about as much.
func (m *Monitor) sendSum(z *zone, now float64) {
	if now-z.sumSentAt < sumInterval || !slices.Contains(z.gatherers, m.config.Me) {
		return
	}
	s, every := m.heardEvidence(z, now), sumInterval
	if s.late+s.bad == 0 && !z.isLeft {
		return
	}
	if s.share(true) < quietShare && !z.isLeft {
		every = quietSumInterval
	}
	covered := 0 // gatherers before this one whose sums do
	for _, r := range z.gatherers[:slices.Index(z.gatherers, m.config.Me)] {
		if w, ok := z.sums[r]; ok && now-w.at < sumValidFactor*every && float64(w.total()) >= sumCoverShare*float64(s.total()) {
			covered++
		}
	}
	if now-z.sumSentAt < every || covered >= enoughSums {
		return
	}
	z.sumSentAt = now
	s.addElsewhere(m.ownEvidenceElsewhere(z, now))
	x := sum{Else: uint32(s.elsewhere), ElseBad: uint32(s.elsewhereBad), Good: uint32(s.good), Late: uint32(s.late), Bad: uint32(s.bad), Voices: uint16(s.voices), Homes: s.homes, Nodes: s.nodes, Used: s.used}
	m.send(All, kindSum, &x.head, &x, z, now)
}

// Receive handles a datagram that came from the address of a peer, and tells whether it was valid. Counts and sums that were
// delayed for long, or overtaken by newer ones, are ignored.
func (m *Monitor) Receive(from int, datagram []byte, now float64) bool {
	x, h, err := parse(datagram)
	if err != nil || int(h.From) != from || from == m.config.Me || from >= len(m.offsets) {
		m.counts.Spoilt++
		return false
	}
	m.counts.Taken++
	if w, ok := x.(*orderRequest); ok { // its number tells whether it is outdated, so the time on its way does not matter
		m.receiveOrder(w, now)
		return true
	}
	o := &m.offsets[from]
	ms := now*1000 - float64(h.At)
	if !o.has || o.life != h.Life {
		*o = offset{life: h.Life, ms: ms, has: true}
	}
	if d := math.Remainder(ms-o.ms, 1<<32); d < 0 {
		o.ms = ms
	} else if d > maxDelay*1000 {
		m.counts.Old++
		return true
	}
	z := m.zones[h.Zone]
	if z == nil || len(z.nodes) == 0 {
		return true
	}
	w, in := report{at: now, life: h.Life, sent: h.At}, z.reports
	switch x := x.(type) {
	case *counts:
		w.evidence = evidence{good: int(x.Good), late: int(x.Late), bad: int(x.Bad), nodes: x.Nodes, used: x.Used, elsewhere: int(x.Else), elsewhereBad: int(x.ElseBad)}
		if x.Late+x.Bad > 0 {
			w.voices, w.homes = 1, homes{x.Home}
		}
	case *sum:
		in = z.sums
		w.evidence = evidence{good: int(x.Good), late: int(x.Late), bad: int(x.Bad), voices: int(x.Voices), homes: x.Homes, nodes: x.Nodes, used: x.Used,
			elsewhere: int(x.Else), elsewhereBad: int(x.ElseBad)}
	}
	if was, ok := in[from]; ok && was.life == h.Life && int32(h.At-was.sent) < 0 {
		m.counts.Old++
		return true
	}
	in[from] = w
	m.sendSum(z, now)
	m.evaluate(z, now)
	return true
}

// homes holds the zones of the routers that have trouble, by hash: only the two lowest, as all that matters is whether there are
// several, and if not, which one it is. 0 is none.
type homes [2]uint32

func (h homes) several() bool { return h[1] != 0 }

// with adds the zones of o, and keeps the two lowest.
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

// evidence is what some routers together saw of a zone within the window.
type evidence struct {
	good, late, bad, voices int
	homes                   homes
	nodes, used             uint16
	elsewhere, elsewhereBad int // outcomes in other regions at the routers that reported on this zone, and how many of them were not good
}

// addElsewhere adds the outcomes of another region.
func (s *evidence) addElsewhere(o evidence) {
	s.elsewhere, s.elsewhereBad = s.elsewhere+o.total(), s.elsewhereBad+o.late+o.bad
}

func (s *evidence) add(o evidence) {
	s.good, s.late, s.bad, s.voices = s.good+o.good, s.late+o.late, s.bad+o.bad, s.voices+o.voices
	s.homes, s.nodes, s.used = s.homes.with(o.homes), s.nodes|o.nodes, s.used|o.used
	s.elsewhere, s.elsewhereBad = s.elsewhere+o.elsewhere, s.elsewhereBad+o.elsewhereBad
}

// differsFrom tells whether its share of bad ones is above that of o by more than chance explains, given the size of both.
func (s *evidence) differsFrom(o evidence, late bool) bool {
	m, n := float64(s.total()), float64(o.total())
	if m == 0 || n == 0 {
		return false
	}
	both := (s.share(late)*m + o.share(late)*n) / (m + n)
	return s.share(late)-o.share(late) >= minDeviations*math.Sqrt(both*(1-both)*(1/m+1/n))
}

func (s *evidence) total() int { return s.good + s.late + s.bad }

// share is the share of bad outcomes or, if late is set, of late and bad ones.
func (s *evidence) share(late bool) float64 {
	if s.total() == 0 {
		return 0
	}
	if late {
		return float64(s.bad+s.late) / float64(s.total())
	}
	return float64(s.bad) / float64(s.total())
}

// heardEvidence adds up what this router saw and the counts that peers have sent it.
func (m *Monitor) heardEvidence(z *zone, now float64) evidence {
	s := m.ownEvidence(z, now)
	for from, w := range z.reports {
		if now-w.at > reportTTL {
			delete(z.reports, from)
			continue
		}
		s.add(w.evidence)
	}
	return s
}

// bestEvidence is the largest evidence available: what this router has heard, or one gatherer's sum. Sums overlap, so they are
// not added up.
func (m *Monitor) bestEvidence(z *zone, now float64) evidence {
	s := m.heardEvidence(z, now)
	for _, from := range m.freshSums(z, now) {
		if w := z.sums[from]; w.total() > s.total() {
			s = w.evidence
		}
	}
	return s
}

// freshSums lists the gatherers whose sums are recent, in order.
func (m *Monitor) freshSums(z *zone, now float64) (out []int) {
	for from, w := range z.sums {
		if now-w.at > reportTTL {
			delete(z.sums, from)
		} else {
			out = append(out, from)
		}
	}
	slices.Sort(out)
	return out
}

// evidenceElsewhere is the evidence from other regions. A router without traffic knows it only from the routers that reported on
// the zone.
func (m *Monitor) evidenceElsewhere(z *zone, s evidence, now float64) (all evidence) {
	for _, o := range m.sortedZones {
		if o.region != z.region {
			all.add(m.bestEvidence(o, now))
		}
	}
	// Routers report on a zone when they have trouble with it, so that reports on other zones are too pessimistic, as those on
	// this zone are; the elsewhere counts in reports on this zone are not. The worse of both counts, so that a zone is not left
	// for trouble that is everywhere.
	told := evidence{good: s.elsewhere - s.elsewhereBad, bad: s.elsewhereBad}
	if all.total() == 0 || told.share(true) > all.share(true) || told.share(true) == all.share(true) && told.total() > all.total() {
		return told
	}
	return all
}

// otherNodesInUse is the share of the other regions' nodes that is in use. These nodes take over the load of a zone that is left:
// the fewer of them are in use, the less trouble they may have themselves for the zone to be left.
func (m *Monitor) otherNodesInUse(z *zone) float64 {
	used, all := 0.0, 0.0
	for _, o := range m.sortedZones {
		if o.region == z.region {
			continue
		}
		n := float64(len(o.nodes))
		if all += n; o.isLeft {
			n *= o.share
		}
		used += n
	}
	if all == 0 {
		return 0
	}
	return used / all
}

// ownEvidenceElsewhere is what this router itself saw of other regions.
func (m *Monitor) ownEvidenceElsewhere(z *zone, now float64) (all evidence) {
	for _, o := range m.sortedZones {
		if o.region != z.region {
			all.add(m.ownEvidence(o, now))
		}
	}
	return all
}

// isFailing tells whether the zone as a whole fails or is late, rather than single nodes, the network to it, or all zones.
func (m *Monitor) isFailing(z *zone, s, other evidence, now float64) bool {
	switch {
	case other.total() == 0: // there is no other region to compare with
		return false
	case !s.homes.several() && s.homes[0] != hash(m.config.Zone): // only one other zone has trouble: the network between is at fault
		return false
	case bits.OnesCount16(s.nodes) < min(minBadNodes, len(z.nodes)) || float64(bits.OnesCount16(s.nodes)) < minBadNodeShare*float64(bits.OnesCount16(s.used)):
		return false
	}
	own, rest := m.ownEvidence(z, now), m.otherNodesInUse(z)
	for _, late := range []bool{false, true} {
		n, mine, least := s.bad, own.bad, minBadShare
		if late {
			n, mine, least = n+s.late, mine+own.late, minLateShare
		}
		// Where a zone is to be left for bad outcomes, late ones count half.
		there, here := other.share(late)+other.share(true), s.share(late)+s.share(true)
		if there > maxElsewhereShare*rest*here || !s.differsFrom(other, late) { // the other regions have the trouble, too, or it may be chance
			continue
		}
		if !late && mine >= minOwnBad && float64(mine) >= minOwnBadShare*float64(own.total()) || n >= minBad && s.share(late) >= least && s.voices >= min(minVoices, m.config.Routers) {
			return true
		}
	}
	return false
}

// rankRouters returns this router's rank in the order in which routers return to a zone. If there are many routers, the last ones
// in that order are the zone's gatherers.
func (m *Monitor) rankRouters(key uint32) (place int, gather []int) {
	rank := func(router int) uint64 {
		var b [8]byte
		binary.BigEndian.PutUint32(b[:], key)
		binary.BigEndian.PutUint32(b[4:], uint32(router))
		return xxhash.Sum64(b[:])
	}
	all := make([]int, m.config.Routers)
	for r := range all {
		all[r] = r
	}
	slices.SortFunc(all, func(a, b int) int { return cmp.Compare(rank(a), rank(b)) })
	if m.config.Routers >= gatherFromRouters {
		gather = all[len(all)-gathererCount:]
	}
	return slices.Index(all, m.config.Me), gather
}
