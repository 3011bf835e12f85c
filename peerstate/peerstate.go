package peerstate

// This file owns the states of nodes and who coordinates them. It must never make a position younger than its node named it,
// nor take a peer's word for a role: that is only passed on as a hint.

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Table is one router's part. What it holds: nodes until RemoveNode, groups as many as were ever listed, routers as many as
// the configuration names.
type Table struct {
	config           Config
	rng              *rand.Rand
	interval         float64
	nodes            []*node
	groups           map[int]*group
	groupOrder       []*group
	unreachableUntil []float64 // by router: not chosen until then
	replyShare       float64   // share of the coordinators asked of late that have answered
	effects          Effects
	counts           Counts
}

// node is what is known of a member.
type node struct {
	id                int
	key               uint32
	group             *group
	own               float64 // newest position that it has named to this router
	saidPrimary       bool    // it has said to this router that it is primary
	position          float64 // newest that it has named to anybody
	primaryPosition   float64 // newest position at which it was primary
	positionAt        float64 // when position became newer
	publishedPosition float64 // newest position that was published
	reportedAt        float64 // last time that we reported it
	reportPart        float64 // of the observations of it that we report
	probedAt          float64
	started           int                  // submissions of ours that have left for it,
	finished          int                  // and those of them that have ended
	inFlight          map[int]*flightCount // of peers, by router, while this router keeps the group; emptied by load
}

// flightCount is what a peer has reported of its submissions to a node: how many have started and finished so far, each by its
// newest message, modulo 256. So a message that is overtaken, doubled or long on its way changes nothing, and one that is lost
// is made up for by the next.
type flightCount struct {
	started, finished byte
	updatedAt         float64 // of the newest message
}

// group is a primary with its replicas.
type group struct {
	id                 int
	members            []*node
	coordinator        int     // whose update came last; -1: nobody's
	heardAt            float64 // when it came
	asked              int     // whom we asked to coordinate, -1: nobody
	askedAt            float64
	retry              messageKind // what we ask it once more after half of replyTimeout; 0: nothing
	coordinateUntil    float64     // by this router, until then
	updateDue          float64     // this router's next update
	primarySoughtUntil float64     // a txn somewhere waits for a primary until then
	probeBudget        float64     // that requests have paid for
	unprovenShare      float64     // share of our reads of late for which we had no proof of our own
	subscribers        []float64   // by router, while this one coordinates: when its last message on the group came
	successors         []int       // the first ones to coordinate it where this router is not heard: they get all updates
}

// New makes a Table that knows nothing.
func New(t Config) *Table {
	return &Table{config: t, rng: rand.New(rand.NewSource(t.Seed)), groups: map[int]*group{}, replyShare: 1, unreachableUntil: make([]float64, t.Routers),
		interval: min(maxInterval, max(minInterval, intervalShare*t.Bound))}
}

// Effects hands over what is to be done, once.
func (t *Table) Effects() Effects {
	out := t.effects
	t.effects = Effects{}
	return out
}

// Counts tells the counts.
func (t *Table) Counts() Counts { return t.counts }

// AddNode names a member of the list. Its name is the same at every router.
func (t *Table) AddNode(id int, name string, groupID int) {
	for id >= len(t.nodes) {
		t.nodes = append(t.nodes, nil)
	}
	if t.nodes[id] != nil || groupID < 0 || groupID > math.MaxUint16 {
		return
	}
	g := t.group(groupID)
	n := &node{id: id, key: uint32(xxhash.Sum64String(name)) & keyMask, group: g, reportPart: 1}
	t.nodes[id] = n
	g.members = append(g.members, n)
}

// RemoveNode ends a node: its index may stand for another.
func (t *Table) RemoveNode(id int) {
	if id >= len(t.nodes) || t.nodes[id] == nil {
		return
	}
	g := t.nodes[id].group
	for i, n := range g.members {
		if n.id == id {
			g.members = append(g.members[:i:i], g.members[i+1:]...)
			break
		}
	}
	t.nodes[id] = nil
}

func (t *Table) group(id int) *group {
	g := t.groups[id]
	if g == nil {
		g = &group{id: id, coordinator: -1, asked: -1, unprovenShare: 1, heardAt: math.Inf(-1), askedAt: math.Inf(-1)}
		t.groups[id] = g
		t.groupOrder = append(t.groupOrder, g)
	}
	return g
}

// reportsSubmissions tells whether the coordinator hears of our submissions: while it sends us updates, and for a while after
// that if we have hardly any proof of our own. Who has no use for a group gets no updates, and that is how it is seen to have
// one again.
func (t *Table) reportsSubmissions(g *group, now float64) bool {
	return t.hasCoordinator(g, now) || g.unprovenShare > unprovenThreshold && g.coordinator >= 0 && now-g.heardAt < coordinatorTimeout
}

// hasCoordinator tells whether a coordinator is active, this router or another.
func (t *Table) hasCoordinator(g *group, now float64) bool {
	return now < g.coordinateUntil || now-g.heardAt < missedUpdates*t.interval
}

// Observe takes what a node has named to this router, in an answer or to a probe.
func (t *Table) Observe(id int, pos float64, primary bool, now float64) {
	n := t.observe(id, pos, primary, now)
	if n == nil || now < n.group.coordinateUntil || !t.hasCoordinator(n.group, now) {
		return
	}
	// The coordinator has positions from others, too. Each router's part in that is as large as published ones are old.
	if pos-n.publishedPosition < reportShare*t.interval || now-n.reportedAt < reportShare*t.interval || t.rng.Float64() >= n.reportPart {
		return
	}
	n.reportedAt = now
	t.counts.Reports++
	t.send(n.group.coordinator, kindReport, n.group, []*node{n}, now)
}

func (t *Table) observe(id int, pos float64, primary bool, now float64) *node {
	if id >= len(t.nodes) || t.nodes[id] == nil || pos > now+maxClockAhead {
		return nil
	}
	n := t.nodes[id]
	n.own = max(n.own, pos)
	n.saidPrimary = n.saidPrimary || primary
	t.learn(n, pos, primary, now)
	return n
}

// Started says that a submission of this router leaves for a node. Only all routers together know how busy a node is where
// each has a txn there now and then; what their answers show of it is older than a queue lasts.
func (t *Table) Started(id int, now float64) {
	if id >= len(t.nodes) || t.nodes[id] == nil {
		return
	}
	n := t.nodes[id]
	if n.started++; now >= n.group.coordinateUntil && t.reportsSubmissions(n.group, now) {
		t.counts.Reports++
		t.send(n.group.coordinator, kindStarted, n.group, []*node{n}, now)
	}
}

// Finished says that a submission has ended, with the position that the node named then (0: none).
func (t *Table) Finished(id int, pos float64, primary bool, now float64) {
	if id >= len(t.nodes) || t.nodes[id] == nil {
		return
	}
	n := t.nodes[id]
	n.finished = min(n.finished+1, n.started) // what left before the node was listed anew is not counted
	t.observe(id, pos, primary, now)
	if now >= n.group.coordinateUntil && t.reportsSubmissions(n.group, now) {
		t.counts.Reports++
		n.reportedAt = now
		t.send(n.group.coordinator, kindFinished, n.group, []*node{n}, now)
	}
}

// receiveCount takes a peer's message on how many of its submissions have started, or finished, so far.
func (n *node) receiveCount(k messageKind, router int, number byte, now float64) {
	t := n.inFlight[router]
	if t != nil && now-t.updatedAt <= inFlightTimeout {
		count := &t.started
		if k == kindFinished {
			count = &t.finished
		}
		if by := int8(number - *count); by > 0 && by <= counterWindow {
			*count, t.updatedAt = number, now
			return
		} else if by <= 0 && by >= -counterWindow {
			return
		}
	}
	// Nothing is known of what it had in flight before. A peer that has restarted is told from a message that was overtaken
	// by how far its numbers are.
	if t = (&flightCount{number, number, now}); k == kindStarted {
		t.finished--
	}
	if n.inFlight == nil {
		n.inFlight = map[int]*flightCount{}
	}
	n.inFlight[router] = t
}

// inFlight is how many are in flight. An end that comes before its start leaves none.
func (t *flightCount) inFlight() int {
	if out := t.started - t.finished; out <= math.MaxUint8-counterWindow {
		return int(out)
	}
	return 0
}

// load counts submissions in flight, without those of peers that have said nothing more: their ends must have been lost.
func (n *node) load(now float64) int {
	all := n.started - n.finished
	for router, t := range n.inFlight {
		if now-t.updatedAt > inFlightTimeout {
			delete(n.inFlight, router)
		} else {
			all += t.inFlight()
		}
	}
	return all
}

func (t *Table) learn(n *node, pos float64, primary bool, now float64) {
	if primary && pos > n.primaryPosition {
		n.primaryPosition = pos
	}
	if pos > n.position {
		n.position, n.positionAt = pos, now
	}
}

// Arrived says that a read with a bound, or a write, has come for a group. Where this router has no proof of its own, it is
// for such reads that a group is coordinated: a router with enough traffic asks for nothing. A write asks where no member has
// said to this router that it is primary: else each router would probe all of them for its first one.
func (t *Table) Arrived(id int, write bool, now float64) {
	g := t.groups[id]
	if g == nil {
		return
	}
	if write {
		if !slices.ContainsFunc(g.members, func(n *node) bool { return n.saidPrimary }) && !t.hasCoordinator(g, now) {
			t.request(g, true, now)
		}
		return
	}
	lacks := 1.0
	for _, n := range g.members {
		if n.own > now-t.config.Bound && n.primaryPosition < n.own {
			lacks = 0
		}
	}
	if g.unprovenShare += unprovenGain * (lacks - g.unprovenShare); lacks > 0 && g.unprovenShare > unprovenThreshold {
		t.request(g, false, now)
	}
}

// AwaitPrimary says that a txn waits for a group's primary to show.
func (t *Table) AwaitPrimary(id int, now float64) {
	if g := t.groups[id]; g != nil {
		t.request(g, true, now)
	}
}

func (t *Table) request(g *group, primary bool, now float64) {
	if t.config.Routers < 2 {
		return
	}
	if now < g.coordinateUntil {
		t.coordinate(g, primary, now)
		return
	}
	to, kind := g.coordinator, kindSubscribe
	if primary {
		kind = kindSeekPrimary
	}
	switch {
	case t.hasCoordinator(g, now):
		every := primarySearchTime / 2
		if !primary {
			every = coordinateFor / 4
			if t.rng.Float64() >= requestsPerGroup/float64(t.config.Routers) {
				return
			}
		}
		if now-g.askedAt < every {
			return
		}
	case g.asked >= 0 && now-g.askedAt < replyTimeout:
		return
	default:
		if g.asked >= 0 && g.heardAt < g.askedAt {
			t.counts.Unanswered++
			t.unreachableUntil[g.asked] = now + unreachableFor
			t.replyShare -= replyGain * t.replyShare
		}
		to = t.chooseCoordinator(g, now)
		if kind == kindSubscribe {
			kind = kindSubscribeNow
		}
		if t.replyShare > replyShareToWait {
			// Its answer is worth waiting for, unless most of late have not come: then peers are cut off, whatever the
			// group, and this router probes for itself while it asks on.
			t.effects.Updates = append(t.effects.Updates, Update{Group: g.id, Until: now + replyTimeout})
		}
	}
	g.asked, g.askedAt, g.retry = to, now, 0
	if !t.hasCoordinator(g, now) {
		g.retry = kind
	}
	if to == t.config.Self {
		g.asked = -1
		t.coordinate(g, primary, now)
		return
	}
	t.counts.Requests++
	t.send(to, kind, g, nil, now)
}

// chooseCoordinator picks the router that should coordinate a group: of those not known to be unreachable, the first by a hash
// of both numbers (rendezvous hashing). All come to the same one without asking anybody, and each has a group or so.
func (t *Table) chooseCoordinator(g *group, now float64) int {
	best, most := t.config.Self, uint64(0)
	for i := range t.config.Routers {
		if i != t.config.Self && now < t.unreachableUntil[i] {
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

// coordinate makes this router the coordinator of a group for as long as it is asked for.
func (t *Table) coordinate(g *group, primary bool, now float64) {
	if now >= g.coordinateUntil {
		g.updateDue = now
	}
	if now >= g.coordinateUntil {
		for _, n := range g.members {
			n.inFlight = nil
		}
		g.subscribers = make([]float64, t.config.Routers)
	}
	g.coordinateUntil = now + coordinateFor
	if primary {
		g.primarySoughtUntil = now + primarySearchTime
	}
	g.probeBudget = min(maxProbeBudget, g.probeBudget+probesPerRequest)
}

// Receive takes a datagram that came from the address of a peer, and tells whether it was one of ours.
func (t *Table) Receive(from int, datagram []byte, now float64) bool {
	m, err := decode(datagram, now, t.ageUnit())
	if err != nil || m.from != from || from == t.config.Self || from < 0 || from >= len(t.unreachableUntil) {
		t.counts.Malformed++
		return false
	}
	t.counts.Received++
	t.unreachableUntil[from] = 0
	g := t.groups[m.group]
	if g == nil {
		t.counts.UnknownGroups++
		return true
	}
	states := t.nodeStates(g, m, now)
	if m.kind != kindUpdate {
		defer g.subscribe(from, now)
	}
	switch m.kind {
	case kindSubscribe, kindSubscribeNow, kindSeekPrimary:
		t.coordinate(g, m.kind == kindSeekPrimary, now)
		if m.kind == kindSubscribeNow {
			if all := t.provable(g, now, false); len(all) > 0 {
				t.counts.Replies++
				t.send(from, kindUpdate, g, all, now)
			}
		}
	case kindReport, kindStarted, kindFinished:
		if now < g.coordinateUntil && len(states) > 0 {
			t.effects.Updates = append(t.effects.Updates, Update{Group: g.id, Until: now + missedUpdates*t.interval, Heard: true, Nodes: states})
		}
	case kindUpdate:
		if now < g.coordinateUntil && rank(g.id, from) > rank(g.id, t.config.Self) {
			g.coordinateUntil, g.subscribers = 0, nil // it comes first; whoever can't hear it asks us again
		}
		if !t.hasCoordinator(g, now) || g.coordinator < 0 || from == g.coordinator || rank(g.id, from) > rank(g.id, g.coordinator) {
			g.coordinator = from
		}
		if g.asked >= 0 && g.heardAt < g.askedAt {
			t.replyShare += replyGain * (1 - t.replyShare)
		}
		g.heardAt = now
		for i, s := range states {
			n := t.nodes[s.Node]
			n.publishedPosition = max(n.publishedPosition, s.Pos)
			if s.Pos == 0 {
				continue
			}
			if now-m.positions[i] < freshShare*t.interval {
				n.reportPart = max(minReportPart, n.reportPart*reportDecrease)
			} else {
				n.reportPart = min(1, n.reportPart*reportIncrease)
			}
		}
		t.effects.Updates = append(t.effects.Updates, Update{Group: g.id, Until: now + missedUpdates*t.interval, Heard: true, Nodes: states})
	}
	return true
}

// nodeStates takes in what a message says of members, and keeps of the message what they are. A key that two members share says
// nothing of either.
func (t *Table) nodeStates(g *group, m *message, now float64) (out []NodeState) {
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
		if n == nil || m.positions[i] > now+maxClockAhead {
			continue
		}
		s := NodeState{Node: n.id, Pos: m.positions[i], Primary: m.primaries[i]}
		switch {
		case m.kind == kindUpdate:
			s.Load = int(m.counts[i])
		case now < g.coordinateUntil:
			if m.kind == kindStarted || m.kind == kindFinished {
				n.receiveCount(m.kind, m.from, m.counts[i], now)
			}
			s.Load = n.load(now)
		}
		t.learn(n, s.Pos, s.Primary, now)
		out = append(out, s)
		kept = append(kept, m.positions[i])
	}
	m.positions = kept
	return out
}

// provable are the members of which there is something to publish: a position young enough to prove something, a primary.
func (t *Table) provable(g *group, now float64, fresh bool) (all []*node) {
	for _, n := range g.members {
		if now-n.position < t.config.Bound && (!fresh || n.position > n.publishedPosition) {
			all = append(all, n)
		}
	}
	return all
}

// Next tells when Step is due; +Inf: not until something comes.
func (t *Table) Next() float64 {
	next := math.Inf(1)
	for _, g := range t.groupOrder {
		if g.updateDue < g.coordinateUntil {
			next = min(next, g.updateDue)
		}
		if g.retry > 0 {
			next = min(next, g.askedAt+replyTimeout/2)
		}
	}
	return next
}

// Step publishes what is new of the groups that this router coordinates, and probes members of which nobody has news.
func (t *Table) Step(now float64) {
	for _, g := range t.groupOrder {
		if g.retry > 0 && now >= g.askedAt+replyTimeout/2 {
			if g.asked >= 0 && g.heardAt < g.askedAt { // our question or its answer may have been lost
				t.counts.Requests++
				t.send(g.asked, g.retry, g, nil, now)
			}
			g.retry = 0
		}
		if now >= g.coordinateUntil {
			g.coordinateUntil, g.subscribers = 0, nil
			continue
		}
		if now < g.updateDue {
			continue
		}
		t.probe(g, now)
		all := t.provable(g, now, true)
		own := make([]NodeState, len(all))
		for i, n := range all {
			n.publishedPosition = n.position
			own[i] = NodeState{n.id, n.position, n.primaryPosition >= n.position, n.load(now)}
		}
		t.counts.Updates++
		t.publish(g, all, now)
		g.updateDue = now + t.interval
		t.effects.Updates = append(t.effects.Updates, Update{Group: g.id, Until: now + missedUpdates*t.interval, Heard: true, Nodes: own})
	}
}

// subscribe notes that a router has a use for updates of a group.
func (g *group) subscribe(router int, now float64) {
	if g.subscribers != nil {
		g.subscribers[router] = now
	}
}

// publish sends an update to the routers that have had a use for the group of late, or to all where most have. Its successors
// get it, too: two that coordinate one group must come to know of each other.
func (t *Table) publish(g *group, all []*node, now float64) {
	var to []int
	for r, at := range g.subscribers {
		if r != t.config.Self && (now-at < subscriptionTime || slices.Contains(t.successorsOf(g), r)) {
			to = append(to, r)
		}
	}
	if float64(len(to)) >= broadcastShare*float64(t.config.Routers-1) {
		to = []int{All}
	}
	for _, r := range to {
		t.send(r, kindUpdate, g, all, now)
	}
}

// successorsOf are the first routers that come to coordinate a group.
func (t *Table) successorsOf(g *group) []int {
	if g.successors == nil {
		all := make([]int, t.config.Routers)
		for i := range all {
			all[i] = i
		}
		slices.SortFunc(all, func(x, y int) int { return cmp.Compare(rank(g.id, y), rank(g.id, x)) })
		g.successors = slices.Clone(all[:min(successorCount, len(all))])
	}
	return g.successors
}

// probe probes for all: while a txn waits for a primary, or none is known, every member; else, as far as requests have paid
// for it, those of which nobody has reported anything for a while, the longest first.
func (t *Table) probe(g *group, now float64) {
	known := false
	for _, n := range g.members {
		known = known || n.primaryPosition > 0
	}
	whole := now < g.primarySoughtUntil || !known
	for whole || g.probeBudget >= 1 {
		var oldest *node
		for _, n := range g.members {
			due := now-n.probedAt >= probeAgain && (whole || now-n.positionAt > probeAfter*t.config.Bound)
			if due && (oldest == nil || n.positionAt < oldest.positionAt) {
				oldest = n
			}
		}
		if oldest == nil {
			return
		}
		if !whole {
			g.probeBudget--
		}
		oldest.probedAt = now
		t.counts.Probes++
		t.effects.Probes = append(t.effects.Probes, oldest.id)
	}
}

func (t *Table) ageUnit() float64 { return t.config.Bound / ageSteps }

func (t *Table) send(to int, k messageKind, g *group, about []*node, now float64) {
	bytes := encode(k, t.config.Self, g.id, about, t.ageUnit(), now)
	t.counts.Bytes += int64(len(bytes))
	t.effects.Sends = append(t.effects.Sends, Send{To: to, Bytes: bytes})
}
