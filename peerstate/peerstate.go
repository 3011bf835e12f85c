package peerstate

// This file owns the words and who keeps them. It must never make a position younger than its node told it, nor take a
// peer's word for a role: that is only passed on as a hint.

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Book is one router's part. Its tables: nodes are emptied by Forget, groups grow with the groups ever listed, peers are
// as many as the terms name.
type Book struct {
	terms   Terms
	rng     *rand.Rand
	every   float64
	nodes   []*node
	groups  map[int]*group
	order   []*group
	deaf    []float64 // by router: passed over until then
	trust   float64   // share of the keepers asked of late that have spoken
	out     Effects
	counted Counts
}

// node is what is known of a member.
type node struct {
	id      int
	key     uint32
	g       *group
	own     float64 // newest position that it has told to this router
	mine    bool    // it has told this router that it is primary
	pos     float64 // newest that it has told to anybody
	claimed float64 // newest position at which it was primary
	at      float64 // when pos became newer
	told    float64 // newest position that was told to all
	news    float64 // last time that we told it
	part    float64 // of the news of it that we tell
	looked  float64
	left    int            // submissions of ours that have left for it,
	ended   int            // and those of them that have ended
	outs    map[int]*tally // of peers, by router, while this router keeps the group; emptied by load
}

// tally is what a peer has told of its submissions to a node: how many have left and ended so far, each by its newest word,
// modulo 256. So a word that is overtaken, doubled or long on its way changes nothing, and one that is lost is made up for by
// the next.
type tally struct {
	left, ended byte
	at          float64 // of the newest word
}

// group is a primary with its replicas.
type group struct {
	id      int
	members []*node
	keeper  int     // whose word came last; -1: nobody's
	heard   float64 // when
	asked   int     // whom we asked to keep, -1: nobody
	askedAt float64
	again   kind      // what we ask it once more when half of our patience is over; 0: nothing
	kept    float64   // by us, until then
	due     float64   // our next tell
	hurry   float64   // a txn somewhere waits for a primary until then
	looks   float64   // that wants have paid for
	lacks   float64   // share of our reads of late for which we had no proof of our own
	users   []float64 // by router, while we keep it: when its last word on the group came
	next    []int     // who keeps it where we are not heard, the first ones: they hear all that is told
}

// New makes a Book that knows nothing.
func New(t Terms) *Book {
	return &Book{terms: t, rng: rand.New(rand.NewSource(t.Seed)), groups: map[int]*group{}, trust: 1, deaf: make([]float64, t.Routers),
		every: min(mostEvery, max(leastEvery, everyShare*t.Bound))}
}

// Effects hands over what is to be done, once.
func (b *Book) Effects() Effects {
	out := b.out
	b.out = Effects{}
	return out
}

// Counted tells the counts.
func (b *Book) Counted() Counts { return b.counted }

// Node names a member of the list. Its name is the same at every router.
func (b *Book) Node(id int, name string, groupID int) {
	for id >= len(b.nodes) {
		b.nodes = append(b.nodes, nil)
	}
	if b.nodes[id] != nil || groupID < 0 || groupID > math.MaxUint16 {
		return
	}
	g := b.group(groupID)
	n := &node{id: id, key: uint32(xxhash.Sum64String(name)) & keyMask, g: g, part: 1}
	b.nodes[id] = n
	g.members = append(g.members, n)
}

// Forget ends a node: its index may stand for another.
func (b *Book) Forget(id int) {
	if id >= len(b.nodes) || b.nodes[id] == nil {
		return
	}
	g := b.nodes[id].g
	for i, n := range g.members {
		if n.id == id {
			g.members = append(g.members[:i:i], g.members[i+1:]...)
			break
		}
	}
	b.nodes[id] = nil
}

func (b *Book) group(id int) *group {
	g := b.groups[id]
	if g == nil {
		g = &group{id: id, keeper: -1, asked: -1, lacks: 1, heard: math.Inf(-1), askedAt: math.Inf(-1)}
		b.groups[id] = g
		b.order = append(b.order, g)
	}
	return g
}

// shows tells whether the keeper hears of our submissions: while it speaks to us, and for a while after that if we have hardly
// any proof of our own. Who has no use for a group is not told of it, and that is how it is seen to have one again.
func (b *Book) shows(g *group, now float64) bool {
	return b.live(g, now) || g.lacks > lackFrom && g.keeper >= 0 && now-g.heard < keeperFor
}

// live tells whether a keeper speaks, we or another.
func (b *Book) live(g *group, now float64) bool { return now < g.kept || now-g.heard < lives*b.every }

// Saw takes what a node has told to this router, in an answer or a report.
func (b *Book) Saw(id int, pos float64, primary bool, now float64) {
	n := b.saw(id, pos, primary, now)
	if n == nil || now < n.g.kept || !b.live(n.g, now) {
		return
	}
	// The keeper has positions from others, too. Each router's part in that is as large as told ones are old.
	if pos-n.told < newsShare*b.every || now-n.news < newsShare*b.every || b.rng.Float64() >= n.part {
		return
	}
	n.news = now
	b.counted.News++
	b.send(n.g.keeper, news, n.g, []*node{n}, now)
}

func (b *Book) saw(id int, pos float64, primary bool, now float64) *node {
	if id >= len(b.nodes) || b.nodes[id] == nil || pos > now+future {
		return nil
	}
	n := b.nodes[id]
	n.own = max(n.own, pos)
	n.mine = n.mine || primary
	b.learn(n, pos, primary, now)
	return n
}

// Out says that a submission of this router leaves for a node, Back that it has ended, with what the node told then (0:
// nothing). Only all routers together know how busy a node is where each has a txn there now and then; what their answers
// show of it is older than a queue lasts.
func (b *Book) Out(id int, now float64) {
	if id >= len(b.nodes) || b.nodes[id] == nil {
		return
	}
	n := b.nodes[id]
	if n.left++; now >= n.g.kept && b.shows(n.g, now) {
		b.counted.News++
		b.send(n.g.keeper, leaves, n.g, []*node{n}, now)
	}
}

func (b *Book) Back(id int, pos float64, primary bool, now float64) {
	if id >= len(b.nodes) || b.nodes[id] == nil {
		return
	}
	n := b.nodes[id]
	n.ended = min(n.ended+1, n.left) // what left before the node was listed anew is not counted
	b.saw(id, pos, primary, now)
	if now >= n.g.kept && b.shows(n.g, now) {
		b.counted.News++
		n.news = now
		b.send(n.g.keeper, ends, n.g, []*node{n}, now)
	}
}

// hears takes a peer's word on how many of its submissions have left, or ended, so far.
func (n *node) hears(k kind, router int, number byte, now float64) {
	t := n.outs[router]
	if t != nil && now-t.at <= outLasts {
		count := &t.left
		if k == ends {
			count = &t.ended
		}
		if by := int8(number - *count); by > 0 && by <= nearBy {
			*count, t.at = number, now
			return
		} else if by <= 0 && by >= -nearBy {
			return
		}
	}
	// Nothing is known of what it had out before. One that has started anew is told from one that was overtaken by how far
	// its numbers are.
	if t = (&tally{number, number, now}); k == leaves {
		t.ended--
	}
	if n.outs == nil {
		n.outs = map[int]*tally{}
	}
	n.outs[router] = t
}

// out is how many are out. An end that comes before its begin leaves none.
func (t *tally) out() int {
	if out := t.left - t.ended; out <= math.MaxUint8-nearBy {
		return int(out)
	}
	return 0
}

// load counts submissions that are out, without those of peers that have said nothing more: their ends must have been lost.
func (n *node) load(now float64) int {
	all := n.left - n.ended
	for router, t := range n.outs {
		if now-t.at > outLasts {
			delete(n.outs, router)
		} else {
			all += t.out()
		}
	}
	return all
}

func (b *Book) learn(n *node, pos float64, primary bool, now float64) {
	if primary && pos > n.claimed {
		n.claimed = pos
	}
	if pos > n.pos {
		n.pos, n.at = pos, now
	}
}

// Arrived says that a read with a bound, or a write, has come for a group. Where this router has no proof of its own, it is
// for such reads that a group is kept: a router with enough traffic asks for nothing. A write asks where no member has told
// this router that it is primary: else each router would look at all of them for its first one.
func (b *Book) Arrived(id int, write bool, now float64) {
	g := b.groups[id]
	if g == nil {
		return
	}
	if write {
		if !slices.ContainsFunc(g.members, func(n *node) bool { return n.mine }) && !b.live(g, now) {
			b.want(g, true, now)
		}
		return
	}
	lacks := 1.0
	for _, n := range g.members {
		if n.own > now-b.terms.Bound && n.claimed < n.own {
			lacks = 0
		}
	}
	if g.lacks += lackGain * (lacks - g.lacks); lacks > 0 && g.lacks > lackFrom {
		b.want(g, false, now)
	}
}

// Want says that a txn waits for a group's primary to show.
func (b *Book) Want(id int, now float64) {
	if g := b.groups[id]; g != nil {
		b.want(g, true, now)
	}
}

func (b *Book) want(g *group, primary bool, now float64) {
	if b.terms.Routers < 2 {
		return
	}
	if now < g.kept {
		b.serve(g, primary, now)
		return
	}
	to, kind := g.keeper, want
	if primary {
		kind = wantPrimary
	}
	switch {
	case b.live(g, now):
		every := hurry / 2
		if !primary {
			every = lingers / 4
			if b.rng.Float64() >= wantsOf/float64(b.terms.Routers) {
				return
			}
		}
		if now-g.askedAt < every {
			return
		}
	case g.asked >= 0 && now-g.askedAt < patience:
		return
	default:
		if g.asked >= 0 && g.heard < g.askedAt {
			b.counted.Silent++
			b.deaf[g.asked] = now + deaf
			b.trust -= trustGain * b.trust
		}
		to = b.candidate(g, now)
		if kind == want {
			kind = wantAnswer
		}
		if b.trust > trustFrom {
			// Its word is worth waiting for, unless most of late have not come: then peers are cut off, whatever the
			// group, and this router looks for itself while it asks on.
			b.out.Told = append(b.out.Told, Told{Group: g.id, Until: now + patience})
		}
	}
	g.asked, g.askedAt, g.again = to, now, 0
	if !b.live(g, now) {
		g.again = kind
	}
	if to == b.terms.Me {
		g.asked = -1
		b.serve(g, primary, now)
		return
	}
	b.counted.Wants++
	b.send(to, kind, g, nil, now)
}

// candidate is the router that should keep a group: of those that are not known to be deaf, the one that comes first by a
// hash of both numbers. All come to the same one without asking anybody, and each has a group or so to keep.
func (b *Book) candidate(g *group, now float64) int {
	best, most := b.terms.Me, uint64(0)
	for i := range b.terms.Routers {
		if i != b.terms.Me && now < b.deaf[i] {
			continue
		}
		if h := rank(g.id, i); h >= most {
			best, most = i, h
		}
	}
	return best
}

func rank(group, router int) uint64 {
	var key [8]byte
	binary.BigEndian.PutUint32(key[:], uint32(group))
	binary.BigEndian.PutUint32(key[4:], uint32(router))
	return xxhash.Sum64(key[:])
}

// serve keeps a group for as long as it is wanted.
func (b *Book) serve(g *group, primary bool, now float64) {
	if now >= g.kept {
		g.due = now
	}
	if now >= g.kept {
		for _, n := range g.members {
			n.outs = nil
		}
		g.users = make([]float64, b.terms.Routers)
	}
	g.kept = now + lingers
	if primary {
		g.hurry = now + hurry
	}
	g.looks = min(looksMost, g.looks+looksFor)
}

// Take takes a datagram that came from the address of a peer, and tells whether it was one of ours.
func (b *Book) Take(from int, datagram []byte, now float64) bool {
	m, err := parse(datagram, now, b.unit())
	if err != nil || m.from != from || from == b.terms.Me || from < 0 || from >= len(b.deaf) {
		b.counted.Spoilt++
		return false
	}
	b.counted.Taken++
	b.deaf[from] = 0
	g := b.groups[m.group]
	if g == nil {
		b.counted.Unknown++
		return true
	}
	words := b.words(g, m, now)
	if m.kind != tell {
		defer g.used(from, now)
	}
	switch m.kind {
	case want, wantAnswer, wantPrimary:
		b.serve(g, m.kind == wantPrimary, now)
		if m.kind == wantAnswer {
			if all := b.useful(g, now, false); len(all) > 0 {
				b.counted.Replies++
				b.send(from, tell, g, all, now)
			}
		}
	case news, leaves, ends:
		if now < g.kept && len(words) > 0 {
			b.out.Told = append(b.out.Told, Told{Group: g.id, Until: now + lives*b.every, Heard: true, Words: words})
		}
	case tell:
		if now < g.kept && rank(g.id, from) > rank(g.id, b.terms.Me) {
			g.kept, g.users = 0, nil // it comes first; whoever can't hear it asks us again
		}
		if !b.live(g, now) || g.keeper < 0 || from == g.keeper || rank(g.id, from) > rank(g.id, g.keeper) {
			g.keeper = from
		}
		if g.asked >= 0 && g.heard < g.askedAt {
			b.trust += trustGain * (1 - b.trust)
		}
		g.heard = now
		for i, w := range words {
			n := b.nodes[w.Node]
			n.told = max(n.told, w.Pos)
			if w.Pos == 0 {
				continue
			}
			if now-m.positions[i] < youngShare*b.every {
				n.part = max(newsLeast, n.part*newsLess)
			} else {
				n.part = min(1, n.part*newsMore)
			}
		}
		b.out.Told = append(b.out.Told, Told{Group: g.id, Until: now + lives*b.every, Heard: true, Words: words})
	}
	return true
}

// words takes in what a message says of members, and keeps of the message what they are. A key that two members share says
// nothing of either.
func (b *Book) words(g *group, m *message, now float64) (out []Word) {
	kept := m.positions[:0]
	for i, key := range m.keys {
		var n *node
		for _, x := range g.members {
			if x.key == key && n != nil {
				n = nil
				break
			} else if x.key == key {
				n = x
			}
		}
		if n == nil || m.positions[i] > now+future {
			continue
		}
		w := Word{Node: n.id, Pos: m.positions[i], Primary: m.primaries[i]}
		switch {
		case m.kind == tell:
			w.Load = int(m.counts[i])
		case now < g.kept:
			if m.kind == leaves || m.kind == ends {
				n.hears(m.kind, m.from, m.counts[i], now)
			}
			w.Load = n.load(now)
		}
		b.learn(n, w.Pos, w.Primary, now)
		out = append(out, w)
		kept = append(kept, m.positions[i])
	}
	m.positions = kept
	return out
}

// useful are the members of which there is something to tell: a position young enough to prove something, a primary.
func (b *Book) useful(g *group, now float64, fresh bool) (all []*node) {
	for _, n := range g.members {
		if now-n.pos < b.terms.Bound && (!fresh || n.pos > n.told) {
			all = append(all, n)
		}
	}
	return all
}

// Next tells when Step is due; +Inf: not until something comes.
func (b *Book) Next() float64 {
	next := math.Inf(1)
	for _, g := range b.order {
		if g.due < g.kept {
			next = min(next, g.due)
		}
		if g.again > 0 {
			next = min(next, g.askedAt+patience/2)
		}
	}
	return next
}

// Step tells all what is new of the groups that this router keeps, and looks at members of which nobody has news.
func (b *Book) Step(now float64) {
	for _, g := range b.order {
		if g.again > 0 && now >= g.askedAt+patience/2 {
			if g.asked >= 0 && g.heard < g.askedAt { // our question or its answer may have been lost
				b.counted.Wants++
				b.send(g.asked, g.again, g, nil, now)
			}
			g.again = 0
		}
		if now >= g.kept {
			g.kept, g.users = 0, nil
			continue
		}
		if now < g.due {
			continue
		}
		b.look(g, now)
		all := b.useful(g, now, true)
		own := make([]Word, len(all))
		for i, n := range all {
			n.told = n.pos
			own[i] = Word{n.id, n.pos, n.claimed >= n.pos, n.load(now)}
		}
		b.counted.Tells++
		b.tell(g, all, now)
		g.due = now + b.every
		b.out.Told = append(b.out.Told, Told{Group: g.id, Until: now + lives*b.every, Heard: true, Words: own})
	}
}

// used notes that a router has a use for what we tell of a group.
func (g *group) used(router int, now float64) {
	if g.users != nil {
		g.users[router] = now
	}
}

// tell tells the routers that have had a use for the group of late, or all where most have. Those who keep it next hear of
// it, too: two that keep one group must come to know of each other.
func (b *Book) tell(g *group, all []*node, now float64) {
	var to []int
	for r, at := range g.users {
		if r != b.terms.Me && (now-at < usesFor || slices.Contains(b.nextOf(g), r)) {
			to = append(to, r)
		}
	}
	if float64(len(to)) >= mostUse*float64(b.terms.Routers-1) {
		to = []int{All}
	}
	for _, r := range to {
		b.send(r, tell, g, all, now)
	}
}

// nextOf are the first routers that come to keep a group.
func (b *Book) nextOf(g *group) []int {
	if g.next == nil {
		all := make([]int, b.terms.Routers)
		for i := range all {
			all[i] = i
		}
		slices.SortFunc(all, func(x, y int) int { return cmp.Compare(rank(g.id, y), rank(g.id, x)) })
		g.next = slices.Clone(all[:min(nextKeepers, len(all))])
	}
	return g.next
}

// look probes for all: while a txn waits for a primary, or none is known, every member; else, as far as wants have paid for
// it, those of which nobody has told anything for a while, the longest first.
func (b *Book) look(g *group, now float64) {
	known := false
	for _, n := range g.members {
		known = known || n.claimed > 0
	}
	whole := now < g.hurry || !known
	for whole || g.looks >= 1 {
		var oldest *node
		for _, n := range g.members {
			due := now-n.looked >= lookAgain && (whole || now-n.at > lookAfter*b.terms.Bound)
			if due && (oldest == nil || n.at < oldest.at) {
				oldest = n
			}
		}
		if oldest == nil {
			return
		}
		if !whole {
			g.looks--
		}
		oldest.looked = now
		b.counted.Looks++
		b.out.Looks = append(b.out.Looks, oldest.id)
	}
}

func (b *Book) unit() float64 { return b.terms.Bound / steps }

func (b *Book) send(to int, k kind, g *group, about []*node, now float64) {
	bytes := format(k, b.terms.Me, g.id, about, b.unit(), now)
	b.counted.Bytes += int64(len(bytes))
	b.out.Sends = append(b.out.Sends, Send{To: to, Bytes: bytes})
}
