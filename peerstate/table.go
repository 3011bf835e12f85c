package peerstate

// This file owns what is known of nodes and groups. It must never make a position younger than its node named it, nor take a
// peer's word for a role: that is only passed on as a hint.

import (
	"math"
	"math/rand"

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

func (t *Table) learn(n *node, pos float64, primary bool, now float64) {
	if primary && pos > n.primaryPosition {
		n.primaryPosition = pos
	}
	if pos > n.position {
		n.position, n.positionAt = pos, now
	}
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

func (t *Table) ageUnit() float64 { return t.config.Bound / ageSteps }

func (t *Table) send(to int, k messageKind, g *group, about []*node, now float64) {
	bytes := encode(k, t.config.Self, g.id, about, t.ageUnit(), now)
	t.counts.Bytes += int64(len(bytes))
	t.effects.Sends = append(t.effects.Sends, Send{To: to, Bytes: bytes})
}
