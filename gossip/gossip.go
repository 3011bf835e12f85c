package gossip

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
)

// This file owns the beliefs: what this router saw itself, what voices say, and which nodes are doubted for it. It must
// never let fewer than a quorum of voices change anything, nor any number of them outlast own evidence.

// Mill is one instance's side of the gossip. Its tables: peers are emptied keepGone after they left, nodes by Forget,
// items as they have been passed on.
type Mill struct {
	terms     Terms
	rng       *rand.Rand
	peers     []*peer
	live      int // peers that are there
	nodes     map[int]*node
	order     []int // nodes as first met
	items     []item
	forgotten []int
	seq       int64
	list      int64
	beatAt    float64
	roundAt   float64
	credit    float64
	credited  float64
	leaving   bool
	notes     []string
	askedFor  int64   // the version of the list that was asked for last
	askAt     float64 // not again before
	ticked    float64 // the last Tick
	usual     float64 // s, latency of submissions, all nodes together; 0: none was answered yet
	urgent    bool    // an accusation of ours, or one that came, has not been told yet
	counted   Counts
}

// Counts tell what a Mill has done.
type Counts struct {
	Taken, Old, Repeated, Skewed, Dropped, Held, Voices, Unseasoned, Frequent, Crowds, Wrong, Right, Doubts, Overruled, Overdue int64
	Out                                                                                                                         int64 // bytes
}

// node is a member of the cluster as this instance sees it and hears of it.
type node struct {
	id, group int
	sight     [2]sight // own evidence: of whether it answers, and of what is submitted to it
	accused   bool     // by us
	said      float64
	voices    map[int]voice // by peer; emptied as they end
	doubted   bool
	until     float64
	out       []outing // submissions without an end yet, oldest first; emptied by their ends, outMost at most
}

type outing struct {
	sent    float64
	overdue bool // counted
}

type voice struct {
	at    float64 // when it came
	until float64
	why   Why
}

// sight is own evidence of one kind, faded.
type sight struct {
	good, bad float64
	faded     float64
	goodAt    float64 // the newest good one, by when it was sent
	badAt     float64
	streak    int // failures since the last good one
}

// good tells whether it speaks against a voice that comes now.
func (s *sight) fine(now float64) bool { return now-s.goodAt < freshness && s.badAt < s.goodAt }

// New makes a Mill that knows nobody.
func New(t Terms) *Mill {
	return &Mill{terms: t, rng: rand.New(rand.NewSource(t.Seed)), nodes: map[int]*node{}, credit: t.Bytes,
		beatAt: math.Inf(-1), roundAt: math.Inf(-1), credited: math.Inf(1)}
}

// Counted tells the counts.
func (m *Mill) Counted() Counts { return m.counted }

// Node tells a member of the list, new or moved.
func (m *Mill) Node(id, group int) {
	if n := m.nodes[id]; n != nil {
		n.group = group
		return
	}
	none := sight{goodAt: math.Inf(-1), badAt: math.Inf(-1)}
	m.nodes[id] = &node{id: id, group: group, voices: map[int]voice{}, sight: [2]sight{none, none}}
	m.order = append(m.order, id)
}

// Forget ends a node: its index may stand for another one, of which nothing is suspected.
func (m *Mill) Forget(id int) {
	delete(m.nodes, id)
	m.order = slices.DeleteFunc(m.order, func(n int) bool { return n == id })
	for _, p := range m.peers {
		if p != nil {
			delete(p.accused, id)
		}
	}
}

// List tells the version of our member list.
func (m *Mill) List(rev int64) { m.list = rev }

// Out tells that a submission has left for a node. Its end is told by Saw, or by Back where it shows nothing.
func (m *Mill) Out(id int, sent float64) {
	if n := m.nodes[id]; n != nil && len(n.out) < outMost {
		n.out = append(n.out, outing{sent: sent})
	}
}

// Back ends what Out began.
func (m *Mill) Back(id int, sent float64) {
	if n := m.nodes[id]; n != nil {
		if i := slices.IndexFunc(n.out, func(o outing) bool { return o.sent == sent }); i >= 0 {
			n.out = slices.Delete(n.out, i, i+1)
		}
	}
}

// overdue counts submissions whose answers should be there by far: each is taken as silence, before it times out. A
// probe that is answered, or any answer, says otherwise. It covers nodes that hang, on which else each of many quiet
// routers loses a submission of its own to find out; it harms where a type of txn takes eight usual latencies: voices
// of a quorum then cost that node a probe and its turn, no more.
func (m *Mill) overdue(n *node, now float64) {
	if m.usual == 0 || now-m.ticked > lateLeast+2*hasty {
		return // or this process has paused
	}
	limit := max(lateLeast, lateTimes*m.usual)
	s := &n.sight[Silent]
	for i := range n.out {
		if o := &n.out[i]; !o.overdue && now-o.sent > limit {
			o.overdue = true
			if o.sent > s.goodAt {
				s.fade(now)
				s.bad, s.badAt, s.streak = s.bad+2*evidenceOf, now, s.streak+evidenceRow
				m.counted.Overdue++
			}
		}
	}
}

// Saw tells what a submission, or a probe, of ours that was sent at a time has shown of a node. A probe says nothing of
// what becomes of submissions; an answered submission says that the node answers, too.
func (m *Mill) Saw(id int, good, probe bool, sent, now float64) []Doubt {
	n := m.nodes[id]
	if n == nil {
		return nil
	}
	if !probe {
		m.Back(id, sent)
		if good {
			if m.usual == 0 {
				m.usual = max(now-sent, 1e-6)
			}
			m.usual += lateGain * (now - sent - m.usual)
		}
	}
	for why := range n.sight {
		s := &n.sight[why]
		s.fade(now)
		switch {
		case probe && Why(why) == Fails, !probe && !good && Why(why) == Silent:
		case good:
			s.good++
			s.streak = 0
			s.goodAt = max(s.goodAt, sent)
		default:
			s.bad++
			s.streak++
			s.badAt = now
		}
	}
	// What was said before we asked, and is not so: they are wrong, or it has passed. Whoever goes on saying so loses
	// weight for it. Who is right gets weight back.
	for _, who := range sorted(n.voices) {
		v, p := n.voices[who], m.at(who)
		switch {
		case v.at > sent || probe && v.why == Fails || p == nil:
		case good:
			m.wrong(who, now)
			delete(n.voices, who)
		default:
			p.wrong, p.wrongAt = max(0, p.lost(now)-rightGain), now
			p.right++
			m.counted.Right++
		}
	}
	if n.doubted && len(n.voices) == 0 {
		n.doubted = false
		m.counted.Overruled++
		return []Doubt{{Node: id, Until: now}}
	}
	return nil
}

func sorted[V any](m map[int]V) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (s *sight) fade(now float64) {
	f := math.Exp2(-max(0, now-s.faded) / evidence)
	s.good, s.bad, s.faded = s.good*f, s.bad*f, now
}

func (m *Mill) at(who int) *peer {
	if who < 0 || who >= len(m.peers) {
		return nil
	}
	return m.peers[who]
}

func (m *Mill) wrong(who int, now float64) {
	p := m.at(who)
	if p == nil {
		return
	}
	p.wrong = p.lost(now) + wrongCost
	p.wrongAt = now
	m.counted.Wrong++
}

func (p *peer) lost(now float64) float64 {
	return p.wrong * math.Exp2(-max(0, now-p.wrongAt)/wrongFades)
}

// weight of a peer's voice, 0 to 1: by its record, and nothing while it is new or accuses half of the world.
func (m *Mill) weight(p *peer, now float64) float64 {
	switch {
	case p == nil || !p.known || p.gone || now-p.first < seasoned:
		return 0
	case len(p.accused) >= crowdLeast && float64(len(p.accused)) > crowdShare*float64(len(m.nodes)):
		m.counted.Crowds++
		return 0
	}
	return 1 / (1 + p.lost(now))
}

// Quorum is the weight of voices that makes a doubt: it grows with the peers that are there. Fewer than that many
// peers can't bring it up, whatever they say.
func (m *Mill) Quorum() float64 { return max(2, math.Ceil(math.Log2(float64(m.live)+1))) }

// silence drops all that a peer said.
func (m *Mill) silence(p *peer) {
	for who, q := range m.peers {
		if q == p {
			for _, id := range m.order {
				delete(m.nodes[id].voices, who)
			}
		}
	}
	clear(p.accused)
}

// Take takes a record whose signature is its origin's. The host names its origin and node by index; a node that our own
// list does not name has index -1.
func (m *Mill) Take(r Record, now float64) Effects {
	p, ok := m.admit(&r, now)
	if !ok {
		return Effects{}
	}
	m.counted.Taken++
	var e Effects
	switch r.Kind {
	case Alive:
		m.lives(p, &r, now)
		e.Behind = m.behind(r.List, now)
	case Leave:
		m.goes(p)
		p.left = true
	case Accuse, Acquit:
		if n := m.nodes[r.Node]; n != nil {
			m.hear(n, p, r, now)
			e.Doubts = m.weigh(n, now)
		}
	default:
		return Effects{}
	}
	m.urgent = m.urgent || r.Kind == Accuse
	m.carry(r)
	return e
}

// hear takes a voice.
func (m *Mill) hear(n *node, p *peer, r Record, now float64) {
	m.counted.Voices++
	if r.Kind == Acquit {
		delete(n.voices, r.Origin)
		delete(p.accused, n.id)
		return
	}
	if v, ok := n.voices[r.Origin]; ok && now-v.at < voiceEvery {
		m.counted.Frequent++
		return
	}
	p.accused[n.id] = now + voiceLasts
	if r.Why > Fails {
		return
	}
	if n.sight[r.Why].fine(now) {
		m.wrong(r.Origin, now) // we have just had an answer
		return
	}
	n.voices[r.Origin] = voice{now, now + voiceLasts, r.Why}
}

// weigh tells whether voices make a node doubted. Voices of one zone alone are one way to the node, which may be cut:
// where peers are in several zones they fall short of the quorum together.
func (m *Mill) weigh(n *node, now float64) []Doubt {
	zones := map[int]float64{}
	until, total := math.Inf(1), 0.0
	quorum := m.Quorum()
	if m.terms.Plain {
		quorum = 1
	}
	for _, who := range sorted(n.voices) {
		v, p := n.voices[who], m.at(who)
		if now >= v.until || p == nil {
			delete(n.voices, who)
			continue
		}
		w := m.weight(p, now)
		if m.terms.Plain {
			w = 1
		}
		if w > 0 {
			zones[p.zone] += w
			until = min(until, v.until)
		}
	}
	several := !m.terms.Plain && m.zones() > 1
	for _, z := range sorted(zones) {
		w := zones[z]
		if several {
			w = min(w, quorum-1)
		}
		total += w
	}
	if total < quorum || !m.terms.Plain && !n.doubted && m.spent(n, now) {
		if n.doubted {
			n.doubted = false
			return []Doubt{{Node: n.id, Until: now}}
		}
		return nil
	}
	began := !n.doubted
	if began {
		m.counted.Doubts++
	}
	n.doubted, n.until = true, until
	return []Doubt{{Node: n.id, Until: until, Now: began}}
}

// zones counts those in which peers are.
func (m *Mill) zones() int {
	seen := map[int]bool{m.terms.Zone: true}
	for _, p := range m.peers {
		if p != nil && p.known && !p.gone {
			seen[p.zone] = true
		}
	}
	return len(seen)
}

// spent tells whether as much of a node's group is doubted already as voices alone may bring about.
func (m *Mill) spent(n *node, now float64) bool {
	all, doubted := 0, 0
	for _, id := range m.order {
		if o := m.nodes[id]; o.group == n.group {
			all++
			if o.doubted && now < o.until {
				doubted++
			}
		}
	}
	return float64(doubted+1) > max(1, budget*float64(all))
}

// Tick does what is due: ends voices and peers, tells what we saw, and sends. Records of our own come back signed
// through Sealed before Sends are asked for by the next call of Round.
func (m *Mill) Tick(now float64) (e Effects) {
	m.sweep(now)
	if m.ticked == 0 {
		m.ticked = now
	}
	for _, p := range m.peers {
		if p == nil {
			continue
		}
		for _, id := range sorted(p.accused) {
			if now >= p.accused[id] {
				delete(p.accused, id)
			}
		}
	}
	accusing := 0
	for _, id := range m.order {
		n := m.nodes[id]
		m.overdue(n, now)
		for why := range n.sight {
			n.sight[why].fade(now)
		}
		if n.doubted || len(n.voices) > 0 {
			e.Doubts = append(e.Doubts, m.weigh(n, now)...)
		}
		if _, failing := n.failing(); failing {
			accusing++
		}
	}
	m.ticked = now
	// When half of the world fails us, the trouble is ours.
	ill := accusing >= crowdLeast && float64(accusing) > crowdShare*float64(len(m.nodes))
	for _, id := range m.order {
		n := m.nodes[id]
		why, failing := n.failing()
		failing = failing && !ill && m.terms.Accuse
		switch {
		case failing && (!n.accused || now-n.said >= sayEvery):
			m.urgent = m.urgent || !n.accused
			n.accused, n.said = true, now
			e.Own = append(e.Own, m.own(Record{Kind: Accuse, Node: id, Why: why}, now))
		case !failing && n.accused:
			n.accused = false
			e.Own = append(e.Own, m.own(Record{Kind: Acquit, Node: id}, now))
		}
	}
	if now-m.beatAt >= m.interval() && !m.leaving {
		m.beatAt = now
		e.Own = append(e.Own, m.own(Record{Kind: Alive, Zone: m.terms.Zone, List: m.list, Node: -1}, now))
	}
	e.Note, m.notes = m.notes, nil
	return e
}

// failing tells whether what we saw of a node is bad enough to say so, and of what kind it is.
func (n *node) failing() (Why, bool) {
	for why := range n.sight {
		s := &n.sight[why]
		if s.bad >= evidenceOf && s.badAt > s.goodAt && (s.streak >= evidenceRow || s.bad > evidenceIn*(s.good+s.bad)) {
			return Why(why), true
		}
	}
	return 0, false
}

func (m *Mill) own(r Record, now float64) Record {
	m.seq++
	r.Origin, r.Epoch, r.Seq, r.At = -1, m.terms.Epoch, m.seq, now
	return r
}

// Sealed takes back a record of our own, signed.
func (m *Mill) Sealed(r Record) { m.carry(r) }

// Round tells what to send now, if a round is due.
func (m *Mill) Round(now float64) []Send {
	every := rounds
	if m.urgent {
		every = hasty
	}
	if now-m.roundAt < every*0.99 {
		return nil
	}
	m.urgent = false
	if math.IsInf(m.credited, 1) {
		m.credited = now
	}
	m.roundAt = now
	return m.round(now)
}

// Going makes the record by which this instance leaves.
func (m *Mill) Going(now float64) Record {
	m.leaving = true
	return m.own(Record{Kind: Leave, Node: -1}, now)
}

// Believed is what is believed of a node, and why.
type Believed struct {
	Node      int     `json:"-"`
	Doubted   bool    `json:"doubted"`
	Good, Bad float64 // own evidence, faded
	Voices    []int   `json:"-"`
}

// Peer is what is known of a peer.
type Peer struct {
	Index   int     `json:"-"`
	Gone    bool    `json:"gone"`
	Zone    int     `json:"zone"`
	Epoch   int64   `json:"epoch"`
	Heard   float64 `json:"heard"`
	Weight  float64 `json:"weight"`
	Right   int     `json:"right"`
	Wrong   float64 `json:"wrong"`
	Skew    float64 `json:"skew"`
	Accuses int     `json:"accuses"`
}

// Peers tells of all peers that are known.
func (m *Mill) Peers(now float64) (out []Peer) {
	for i, p := range m.peers {
		if p != nil && p.known {
			out = append(out, Peer{i, p.gone, p.zone, p.epoch, p.heard, m.weight(p, now), p.right, p.lost(now), p.skew, len(p.accused)})
		}
	}
	return out
}

// Beliefs tells of all nodes of which there is something to tell.
func (m *Mill) Beliefs(now float64) (out []Believed) {
	for _, id := range m.order {
		if n := m.nodes[id]; n.doubted || len(n.voices) > 0 || n.sight[Silent].bad+n.sight[Fails].bad > evidenceIn {
			out = append(out, Believed{id, n.doubted, n.sight[Fails].good, n.sight[Silent].bad + n.sight[Fails].bad, sorted(n.voices)})
		}
	}
	slices.SortStableFunc(out, func(a, b Believed) int { return cmp.Compare(a.Node, b.Node) })
	return out
}
