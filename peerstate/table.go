package peerstate

// This file holds what is known of nodes and groups. It must never make a position newer than its node named it, nor trust a
// role that a peer reports: the role is only passed on as a hint.

import (
	"math"
	"math/rand"

	"github.com/cespare/xxhash/v2"
)

// Table is the state of one router. It keeps nodes until RemoveNode, every group that was ever listed, and as many routers as
// the configuration says.
type Table struct {
	config           Config
	rng              *rand.Rand
	interval         float64 // s between updates of a group
	nodes            []*node
	groups           map[int]*group
	groupOrder       []*group
	unreachableUntil []float64 // by router: not chosen as coordinator until then
	replyShare       float64   // moving average: share of the requests to coordinators that were answered
	effects          Effects
	counts           Counts
}

// node is what is known of a member of a group.
type node struct {
	id                int
	nameHash          uint32
	group             *group
	ownPosition       float64 // newest position that it has named to this router
	saidPrimary       bool    // it has said to this router that it is primary
	position          float64 // newest position that it has named to any router
	primaryPosition   float64 // newest position at which it was primary
	positionAt        float64 // when position became newer
	publishedPosition float64 // newest position that was published
	reportedAt        float64 // when this router last reported it
	reportProbability float64 // probability with which this router reports an observation of it
	probedAt          float64
	started           int                  // submissions of this router that were sent to it,
	finished          int                  // and those of them that have ended
	inFlight          map[int]*flightCount // of peers, by router, while this router coordinates the group; load removes expired ones
}

// group is a primary with its replicas, and the state of its coordination.
type group struct {
	id                 int
	members            []*node
	coordinator        int     // the router whose updates show it as the coordinator; -1: none so far
	updateReceivedAt   float64 // when the last update came
	askedRouter        int     // the router that this one asked last; -1: none, or itself
	requestedAt        float64
	retryKind          messageKind // request that is repeated after half of replyTimeout; 0: none
	coordinateUntil    float64     // this router coordinates the group until then
	updateDueAt        float64     // when this router, as coordinator, publishes its next update
	primarySoughtUntil float64     // a txn somewhere waits for a primary until then
	probeBudget        float64     // probes that requests have paid for
	unprovenShare      float64     // moving average: share of the reads here for which this router had no proof of its own
	subscribers        []float64   // by router, while this one coordinates: when its last message on the group came
	successors         []int       // the routers that take over where this one is not heard; they get all its updates
}

// New makes an empty Table.
func New(config Config) *Table {
	return &Table{config: config, rng: rand.New(rand.NewSource(config.Seed)), groups: map[int]*group{}, replyShare: 1,
		unreachableUntil: make([]float64, config.Routers),
		interval:         min(maxInterval, max(minInterval, intervalShare*config.Bound))}
}

// Effects returns the actions since its last call, and clears them.
func (t *Table) Effects() Effects {
	out := t.effects
	t.effects = Effects{}
	return out
}

// Counts returns the totals since the start.
func (t *Table) Counts() Counts { return t.counts }

// AddNode adds a node to a group. Every router must know it by the same name.
func (t *Table) AddNode(id int, name string, groupID int) {
	for id >= len(t.nodes) {
		t.nodes = append(t.nodes, nil)
	}
	if t.nodes[id] != nil || groupID < 0 || groupID > math.MaxUint16 {
		return
	}
	g := t.group(groupID)
	n := &node{id: id, nameHash: uint32(xxhash.Sum64String(name)) & nameHashMask, group: g, reportProbability: 1}
	t.nodes[id] = n
	g.members = append(g.members, n)
}

// RemoveNode removes a node. Its index may be used for another one.
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
		g = &group{id: id, coordinator: -1, askedRouter: -1, unprovenShare: 1, updateReceivedAt: math.Inf(-1), requestedAt: math.Inf(-1)}
		t.groups[id] = g
		t.groupOrder = append(t.groupOrder, g)
	}
	return g
}

// Observe records the position and role that a node has named to this router in an answer to a statement or a probe.
func (t *Table) Observe(id int, pos float64, primary bool, now float64) {
	n := t.observe(id, pos, primary, now)
	if n == nil || now < n.group.coordinateUntil || !t.hasCoordinator(n.group, now) {
		return
	}
	// Other routers report this node, too. The older its published positions are, the likelier this router reports it.
	if pos-n.publishedPosition < reportShare*t.interval || now-n.reportedAt < reportShare*t.interval ||
		t.rng.Float64() >= n.reportProbability {
		return
	}
	n.reportedAt = now
	t.counts.Reports++
	t.send(n.group.coordinator, kindReport, n.group, []*node{n}, now)
}

// observe stores what a node has named to this router. It returns nil for an unknown node or a position too far in the future.
func (t *Table) observe(id int, pos float64, primary bool, now float64) *node {
	if id >= len(t.nodes) || t.nodes[id] == nil || pos > now+maxClockAhead {
		return nil
	}
	n := t.nodes[id]
	n.ownPosition = max(n.ownPosition, pos)
	n.saidPrimary = n.saidPrimary || primary
	t.learn(n, pos, primary, now)
	return n
}

// learn stores a position and role of a node, whoever it was named to, if they are newer.
func (t *Table) learn(n *node, pos float64, primary bool, now float64) {
	if primary && pos > n.primaryPosition {
		n.primaryPosition = pos
	}
	if pos > n.position {
		n.position, n.positionAt = pos, now
	}
}

// Next returns when Step is due; +Inf: not before another call.
func (t *Table) Next() float64 {
	next := math.Inf(1)
	for _, g := range t.groupOrder {
		if g.updateDueAt < g.coordinateUntil {
			next = min(next, g.updateDueAt)
		}
		if g.retryKind > 0 {
			next = min(next, g.requestedAt+replyTimeout/2)
		}
	}
	return next
}

// Step repeats requests without an answer, publishes the news of the groups that this router coordinates, and probes members of
// which no router has news.
func (t *Table) Step(now float64) {
	for _, g := range t.groupOrder {
		if g.retryKind > 0 && now >= g.requestedAt+replyTimeout/2 {
			if g.askedRouter >= 0 && g.updateReceivedAt < g.requestedAt { // the request or its answer may have been lost
				t.counts.Requests++
				t.send(g.askedRouter, g.retryKind, g, nil, now)
			}
			g.retryKind = 0
		}
		if now >= g.coordinateUntil {
			g.coordinateUntil, g.subscribers = 0, nil
			continue
		}
		if now < g.updateDueAt {
			continue
		}
		t.probeMembers(g, now)
		news := t.publishable(g, now, true)
		states := make([]NodeState, len(news))
		for i, n := range news {
			n.publishedPosition = n.position
			states[i] = NodeState{n.id, n.position, n.primaryPosition >= n.position, n.load(now)}
		}
		t.counts.Updates++
		t.publish(g, news, now)
		g.updateDueAt = now + t.interval
		t.effects.Updates = append(t.effects.Updates, Update{Group: g.id, Until: now + maxMissedUpdates*t.interval, Heard: true, Nodes: states})
	}
}

// ageUnit is the step in which ages are sent, in seconds.
func (t *Table) ageUnit() float64 { return t.config.Bound / ageSteps }

func (t *Table) send(to int, k messageKind, g *group, about []*node, now float64) {
	bytes := encode(k, t.config.Self, g.id, about, t.ageUnit(), now)
	t.counts.Bytes += int64(len(bytes))
	t.effects.Sends = append(t.effects.Sends, Send{To: to, Bytes: bytes})
}
