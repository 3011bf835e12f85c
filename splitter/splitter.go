// Package splitter decides where each txn of a replicated database cluster goes: all of eiderway's routing.
//
// How to call it: New makes a router; hand it each member list (UpdateMembers), each txn (Arrive) and each
// client that left (ClientGone). It acts through the Host given to New and learns through the closures it hands to that
// Host. The interface is in api.go; docs/design.md says what comes from the source and what is ours.
package splitter

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
)

// Router is one router. Routers share nothing.
type Router struct {
	host            Host
	terms           Terms
	rng             *rand.Rand
	nodes           []*node        // by index; emptied of nodes long off the list
	groups          map[int]*group // grows with the groups ever listed
	order           []*group       // groups as first met
	kinds           []*kind        // by txn type
	ranked          []int          // txn types, most value for the work first
	txns            map[int]*txn   // held txns; emptied by their final answers
	connectCost     float64        // s that a new connection adds to a txn, of late
	reportAge       float64        // s, how old reports are when they arrive
	refusals        int            // refused watches in a row
	scarceUntil     float64        // until then connections are scarce
	count, sent     int            // txns, submissions so far
	nextTick        float64        // when the next tick is, +Inf: none
	stallEnd        float64        // end of the last stall of this router itself
	probesFailUntil float64        // until then probes are known to fail at members that serve
}

// New starts a router with nothing but its terms.
func New(terms Terms, host Host) *Router {
	r := &Router{host: host, terms: terms, rng: rand.New(rand.NewSource(terms.Seed)),
		groups: map[int]*group{}, txns: map[int]*txn{}, reportAge: reportLate, nextTick: math.Inf(1)}
	for i, t := range terms.Types {
		work := t.SLA / workShare
		r.kinds = append(r.kinds, &kind{t, work, work, quickShare * work, t.SLA})
		r.ranked = append(r.ranked, i)
	}
	value := func(i int) float64 { return r.kinds[i].Value / r.kinds[i].SLA }
	slices.SortStableFunc(r.ranked, func(a, b int) int { return cmp.Compare(value(b), value(a)) })
	if terms.WatchList {
		host.Watch()
	}
	return r
}

// UpdateMembers takes a member list, or news of one.
func (r *Router) UpdateMembers(kind ListKind, list []Member) {
	now := r.host.Now()
	if kind == ListRefused {
		// It does not say whether a watch stands, and the list serves all: asked again, later and later.
		r.refusals = min(r.refusals+1, askMost)
		r.host.After(now+float64(r.refusals)*(0.5+r.rng.Float64())*askAgain, r.host.Watch)
		return
	}
	if kind != ListRemembered {
		r.refusals = 0
	}
	if kind == ListMoved && r.terms.WatchList {
		r.host.Watch()
	}
	listed := map[int]bool{}
	for _, m := range list {
		listed[m.Node] = true
		for m.Node >= len(r.nodes) {
			r.nodes = append(r.nodes, nil)
		}
		n := r.nodes[m.Node]
		if n == nil {
			if m.Group < 0 {
				continue
			}
			n = &node{group: r.group(m.Group), limit: limitStart, lag: unheard, since: math.Inf(1),
				started: math.Inf(-1)}
			r.nodes[m.Node] = n
			n.group.members = append(n.group.members, n)
		}
		n.drained = n.drained && m.StartedAt <= n.StartedAt
		if m.StartedAt > 0 && m.StartedAt > n.started {
			n.started, n.limit = m.StartedAt, min(n.limit, limitStart)
		}
		n.Member = m
		r.setState(n, m.State)
	}
	for _, n := range r.nodes {
		if n != nil && !listed[n.Node] && (kind == ListAll || kind == ListRemembered) {
			r.setState(n, Gone)
		}
		if n != nil && n.goneSince > 0 && now > n.goneSince+forgetAfter && len(n.inFlight) == 0 && !n.probing {
			r.forget(n)
		}
	}
	for _, g := range r.order {
		r.dispatch(g)
	}
}

// forget empties the tables of a node that was replaced, once no list and no answer can bring it up again.
func (r *Router) forget(n *node) {
	if !n.closed && !n.down {
		return // it serves on, as where only drains bind
	}
	n.group.members = slices.DeleteFunc(n.group.members, func(m *node) bool { return m == n })
	r.demote(n, 0, true)
	r.nodes[n.Node] = nil
	r.host.Forget(n.Node)
}

// setState acts on a drain at once, for held txns and resubmissions as well. A drain holds until the node has
// started anew, whatever a later list says: it may be an old one, and "gone" takes nothing back.
func (r *Router) setState(n *node, s State) {
	if n.goneSince = cmp.Or(n.goneSince, r.host.Now()); s != Gone {
		n.goneSince = 0
	}
	n.drained = n.drained || s == Draining
	n.closed = n.drained || s == Gone && !r.terms.OnlyDrainExcludes
	if n.closed {
		r.holdWrites(n)
	}
}

func (r *Router) group(id int) *group {
	if r.groups[id] == nil {
		r.groups[id] = &group{id: id, held: true, since: r.host.Now(), waiting: map[int][]*txn{},
			shares: map[bool]*share{true: {}, false: {}}}
		r.order = append(r.order, r.groups[id])
	}
	return r.groups[id]
}

// clock tells the time, and notices a stall of the router itself by a gap in its own ticks: what was out
// looks slow or lost and says nothing of the nodes. It could harm by hiding a trouble that begins meanwhile.
func (r *Router) clock() float64 {
	now := r.host.Now()
	if now > r.nextTick+stall {
		r.stallEnd, r.nextTick = now, now
	}
	return now
}

// startTicks has clocks looked at while anything is held or out. A router at rest costs nothing.
func (r *Router) startTicks() {
	if math.IsInf(r.nextTick, 1) {
		r.nextTick = r.host.Now() + tick
		r.host.After(r.nextTick, r.tick)
	}
}

// Arrive takes a txn, which waits until a member can have it. A group's first txn starts its probes.
func (r *Router) Arrive(x Txn) {
	now := r.clock()
	g := r.group(x.Group)
	_, turn := math.Modf(golden * float64(r.terms.Self+r.count))
	r.count++
	t := &txn{Txn: x, kind: r.kinds[x.Type], group: g, arrived: now, turn: turn, cause: Behind}
	if x.Cost > 0 {
		// Costly and cheap ones of a type must not look lost or slow by each other. It harms where costs are wrong.
		t.kind = &kind{t.TxnType, x.Cost, x.Cost, quickShare * x.Cost, max(t.SLA, workShare*x.Cost)}
	}
	r.txns[x.ID] = t
	g.live++
	g.probeCredit = min(g.probeCredit+probeShare, float64(2*len(g.members)))
	r.startTicks()
	g.waiting[t.Type] = append(g.waiting[t.Type], t)
	r.probes(g)
	r.dispatch(g)
	if t.tries == 0 {
		r.host.Count(Held, t.cause)
	}
}

// Doubt says that peers have trouble with a node, until a time; one that is past ends it. It is looked at and
// comes later among replicas, no more. It covers what one router sees late; it harms when peers are wrong.
func (r *Router) Doubt(node int, until float64) {
	if n, now := r.nodes[node], r.clock(); n != nil {
		if now >= n.doubted && now < until {
			n.since = now
			r.ProbeMember(node, PeersDoubt)
		}
		if n.doubted = until; until <= now { // what failed then says little of now
			for _, m := range n.group.members {
				if m.first >= n.since { // nor do those that took its reads meanwhile come before it
					m.first = 0
				}
			}
			n.fails, n.since = 0, math.Inf(1)
		}
	}
}

// ProbeMember probes a node that peers doubt, or want to know of.
func (r *Router) ProbeMember(node int, why Cause) {
	if n := r.nodes[node]; n != nil && r.terms.CanProbe && !n.probing && !n.closed {
		r.probe(n, why)
	}
}

// ApplyPeerReports takes what peers say of a group that they look at for all until a time; heard: they do speak. A
// position proves from its date on; a role is a hint whom to ask: only a member's own word moves the primary.
// It covers routers too quiet to know, and harms where peers say old things: reads wait one word too long.
func (r *Router) ApplyPeerReports(group int, until float64, heard bool, words []PeerReport) {
	g, now := r.group(group), r.clock()
	if g.toldUntil = max(g.toldUntil, until); heard {
		g.toldAt = now
	}
	for _, w := range words {
		if n := r.nodes[w.Node]; n != nil && w.Pos <= now+tick {
			n.pos, n.load, n.known = max(n.pos, w.Pos), float64(w.Load), n.known || w.Pos > 0
			if w.Primary && w.Pos > g.namedAt {
				g.named, g.namedAt = n, w.Pos
			}
		}
	}
	r.probes(g)
	r.dispatch(g)
}

// ClientGone says that the client of a txn is gone. Nothing is owed or sent for it any more.
func (r *Router) ClientGone(id int) {
	if t := r.txns[id]; t != nil {
		r.end(t)
		r.cancel(t)
	}
}

// AnswerStarted says that a txn's answer flows to the client, whose matter it is from here on.
func (r *Router) AnswerStarted(id int) {
	if t := r.txns[id]; t != nil {
		t.started = true
	}
}

// choose finds the member for a txn: the design's ordinary path.
func (r *Router) choose(t *txn) *node {
	g := t.group
	if t.Need == NeedPrimary {
		n := g.primary
		if g.held {
			n = r.candidate(g)
		}
		if t.cause = NoPrimary; n == nil || r.hasRoom(n, t) {
			return n
		}
		t.cause = NoRoom
		return nil
	}
	best, least, first := (*node)(nil), 0.0, false // first: a first look at a member is out
	usable := make([]*node, 0, len(g.members))
	told, seen := r.host.Now() < g.toldUntil, 0
	for _, n := range g.members {
		switch {
		case n.closed || n.aside && !r.mayTry(n) || !told && n == g.primary:
		case n.known || !r.terms.ProbeRoles:
			usable = append(usable, n)
		default:
			first = first || n.probing && r.host.Now()-n.probed < firstWait
		}
	}
	asks := t.Need != NeedCurrent && !r.terms.NodesCheckFreshness && r.terms.ProbeRoles
	proven := false
	if r.lastsLong(t) && len(usable) > 0 {
		// Gathered: all routers fill half of the replicas in the same order. A single replica is spared, the
		// primary applies no log.
		slices.SortFunc(usable, func(a, b *node) int { return cmp.Compare(a.Name, b.Name) })
		usable = usable[:len(usable)/2]
		for _, n := range usable {
			if r.hasRoom(n, t) {
				return n
			}
		}
		if t.cause = NoRoom; len(usable) > 0 {
			return nil
		}
	}
	if told { // two by chance, those first that have answered here: others want a connection
		r.rng.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
		slices.SortStableFunc(usable, func(a, b *node) int { return cmp.Compare(min(b.first, 1), min(a.first, 1)) })
	}
	for _, n := range usable {
		fresh := r.freshEnough(n, t)
		proven = proven || fresh
		if !fresh || !r.hasRoom(n, t) || told && seen == choices {
			continue
		}
		if r.host.Now() >= n.doubted { // one that is doubted is compared beside the two
			seen++
		}
		if busy := r.busyness(n, t); best == nil || busy < least {
			best, least = n, busy
		}
	}
	if t.cause = NoRoom; !proven {
		t.cause = NoProof
	}
	due := told && !proven && g.toldAt <= t.arrived // the next word
	rich := !told && g.probeCredit >= float64(len(g.members))
	if best == nil && asks && (!proven || rich) && (due || r.askPositions(usable, t)) {
		if !proven {
			return nil
		}
		g.probeCredit -= askWidth // where others are proven, txns pay for it as for ordinary probes
	}
	n := cmp.Or(g.primary, g.named)
	if best == nil && !first && n != nil && !n.aside && (!g.held || g.primary == nil && n.bad == 0) {
		// Reads fall back to the primary, in the half of its limit that writes leave.
		if r.hasRoom(n, t) && float64(len(n.inFlight)) < max(1, n.limit/2) {
			return n
		}
	}
	return best
}

// askPositions asks replicas not proven fresh enough for a read, the least busy first, each once for a txn.
// It covers quiet routers and replicas that lag or are full; it is wasted where reports are old.
func (r *Router) askPositions(usable []*node, t *txn) bool {
	now := r.host.Now()
	for asked := range askWidth {
		best, least := (*node)(nil), math.Inf(1)
		for _, n := range usable {
			spared := n.probing || n.probed >= t.arrived || now-n.probed <= hurried || r.freshEnough(n, t)
			if busy := r.busyness(n, t); !spared && busy < least {
				best, least = n, busy
			}
		}
		if best == nil {
			return asked > 0
		}
		r.probe(best, ReadAsks)
	}
	return true
}

// candidate finds the member where a held write looks for the primary itself, as probes tell no roles or are
// lost: a miss never ran, so members are asked in turn, the list's primary first, by one write at a time.
func (r *Router) candidate(g *group) *node {
	now := r.host.Now()
	if r.terms.ProbeRoles && now >= r.probesFailUntil {
		return nil
	}
	var best *node
	for _, n := range g.members {
		if n.closed || n.aside && !r.mayTry(n) || now < n.denied+hurried {
			continue
		}
		if slices.ContainsFunc(n.inFlight, func(t *txn) bool { return t.Need == NeedPrimary }) {
			return nil
		}
		if best == nil || n.denied < best.denied || n.denied == best.denied && n.Primary && !best.Primary {
			best = n
		}
	}
	return best
}

// mayTry tells whether a member set aside may show by one txn that it serves, where probes are known to fail.
func (r *Router) mayTry(n *node) bool {
	return r.host.Now() < r.probesFailUntil && r.host.Now() >= n.restsUntil && len(n.inFlight) == 0
}

// lastsLong tells whether a txn for any member outlasts the shortest bound where nodes are not crowded.
// It may stop log apply, so such are gathered on few; it harms where they are most of the load.
func (r *Router) lastsLong(t *txn) bool {
	return t.Need == NeedAny &&
		slices.ContainsFunc(r.kinds, func(k *kind) bool { return k.Need == NeedBounded && t.free > k.Bound })
}

// freshEnough tells whether a replica is known to hold what a read needs. Where nodes check, a guess will do:
// a wrong one costs a miss; where they don't, only a position proves it, which holds for ever.
func (r *Router) freshEnough(n *node, t *txn) bool {
	now, need := r.host.Now(), r.neededPos(t)
	guess := r.terms.NodesCheckFreshness && (!t.group.held || n.pos == 0)
	return n.pos >= need || guess && now-n.lag > need+spare*(now-need)
}

// neededPos is the time up to which a member must have applied all commits for a txn.
func (r *Router) neededPos(t *txn) float64 {
	switch t.Need {
	case NeedBounded:
		return r.host.Now() - t.Bound + margin
	case NeedSession:
		return max(t.LastWrite, t.group.forgot, t.group.wrote[t.Session], t.group.before[t.Session])
	case NeedCurrent:
		return t.arrived
	}
	return 0
}

// hasRoom tells whether a node can take one more submission of ours.
func (r *Router) hasRoom(n *node, t *txn) bool {
	now := r.host.Now()
	elsewhere := t.ran > 0 && t.Effect == Referenced && t.Scope == ScopeZone && n.Zone != t.ranZone
	if n.closed || float64(len(n.inFlight)) >= n.limit || now < n.notBefore || elsewhere {
		return false
	}
	age := now - n.started
	if age >= r.terms.WarmAfter {
		return true
	}
	// Cold. A few routers keep what is out there, from all, within what overload allows beyond the work done.
	// For many that is under a txn each: then txns go there in turn, by their router's number and their own, and
	// the node gets the part of its even share that it is surely warm for, a primary less.
	share := r.terms.ColdFrom + (1-r.terms.ColdFrom)*age/r.terms.WarmAfter
	routers := float64(max(2, r.terms.Routers))
	out := t.work
	for _, other := range n.inFlight {
		out += other.work
	}
	if out*routers <= (r.terms.Overload-1)*r.terms.OverloadOutage*coldCores*share {
		return true
	}
	if t.Need == NeedPrimary && !t.group.held {
		return t.turn < share*r.terms.Overload/2
	}
	i, part := math.Modf(t.turn * float64(len(t.group.members)))
	return t.group.members[int(i)] == n && part < share
}

// busyness compares replicas: what is out, at the pace shown. Own submissions differ, so do routers' choices.
func (r *Router) busyness(n *node, t *txn) float64 {
	pace := max(n.pace, leastPace)
	if !n.hasOpenConnection(r) {
		pace += r.connectCost / t.SLA
	}
	b := float64(len(n.inFlight)+1) * pace / (1.01 - n.fails)
	if r.host.Now() < t.group.toldUntil {
		b = (n.load + 1) / (1.01 - n.fails)
	}
	if n == t.group.primary || n == t.group.named {
		b *= spared
	}
	b *= 1 + chance*(r.rng.Float64()-0.5)
	if n.Zone != r.terms.Zone {
		b *= zoneBias
	}
	if n == t.avoid || r.host.Now() < n.doubted {
		b *= avoidBias
	}
	return b
}

// hasOpenConnection tells whether a connection to a node is thought to be open and not in use.
func (n *node) hasOpenConnection(r *Router) bool {
	k := len(n.idle)
	return k > 0 && r.host.Now() < n.idle[k-1]+r.terms.IdleTimeout
}

func (r *Router) tick() {
	r.clock()
	r.nextTick = math.Inf(1)
	for _, g := range r.order {
		if g.live > 0 {
			r.startTicks()
			r.probes(g)
			r.dispatch(g)
		}
	}
}
