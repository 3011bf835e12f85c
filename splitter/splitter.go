// Package splitter decides which node of a replicated database cluster each txn is sent to: all routing of eiderway.
//
// New returns a router, which takes each member list (UpdateMembers), each txn (Arrive) and the end of each client (ClientGone).
// It acts through the Host given to New and learns the results through the closures that it passes to that Host.
// The interface is in api.go, the design in docs/design.md.
package splitter

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
)

// Router decides for one router process. Routers share no state.
type Router struct {
	host                   Host
	terms                  Terms
	rng                    *rand.Rand
	nodes                  []*node        // by index; nil for nodes that are long off the list
	groups                 map[int]*group // all groups ever listed
	groupOrder             []*group       // groups in the order in which they were first seen
	types                  []*typeStats   // by txn type
	typesByValue           []int          // txn types, most value per SLA time first
	txns                   map[int]*txn   // txns without a final answer
	connectCost            float64        // s that a new connection has recently added to a txn
	reportAge              float64        // s, age of a report when it arrives
	watchRefusals          int            // refused watches in a row
	connectionsScarceUntil float64        // connections are scarce until then
	txnCount, sentCount    int            // txns and submissions so far
	nextTick               float64        // time of the next tick, +Inf: none
	stallEnd               float64        // end of the last stall of this router
	probesFailUntil        float64        // until then probes are known to fail at members that serve txns
}

// New returns a router that knows only its terms.
func New(terms Terms, host Host) *Router {
	r := &Router{host: host, terms: terms, rng: rand.New(rand.NewSource(terms.Seed)),
		groups: map[int]*group{}, txns: map[int]*txn{}, reportAge: reportAgeStart, nextTick: math.Inf(1)}
	for i, t := range terms.Types {
		work := t.SLA / workShare
		r.types = append(r.types, &typeStats{t, work, work, quickShare * work, t.SLA})
		r.typesByValue = append(r.typesByValue, i)
	}
	value := func(i int) float64 { return r.types[i].Value / r.types[i].SLA }
	slices.SortStableFunc(r.typesByValue, func(a, b int) int { return cmp.Compare(value(b), value(a)) })
	if terms.WatchList {
		host.Watch()
	}
	return r
}

// UpdateMembers takes a member list, or changes of it.
func (r *Router) UpdateMembers(kind ListKind, list []Member) {
	now := r.host.Now()
	if kind == ListRefused {
		// A refusal does not say whether a watch exists, and the list serves all routers: retried with growing delays.
		r.watchRefusals = min(r.watchRefusals+1, watchRetryGrowth)
		r.host.After(now+float64(r.watchRefusals)*(0.5+r.rng.Float64())*watchRetryDelay, r.host.Watch)
		return
	}
	if kind != ListRemembered {
		r.watchRefusals = 0
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
			n = &node{group: r.group(m.Group), limit: limitStart, lag: lagUnknown, doubtedSince: math.Inf(1),
				coldSince: math.Inf(-1)}
			r.nodes[m.Node] = n
			n.group.members = append(n.group.members, n)
		}
		n.drained = n.drained && m.StartedAt <= n.StartedAt
		if m.StartedAt > 0 && m.StartedAt > n.coldSince {
			n.coldSince, n.limit = m.StartedAt, min(n.limit, limitStart)
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
	for _, g := range r.groupOrder {
		r.dispatch(g)
	}
}

// forget removes a node that was replaced, once no list and no answer can bring it back.
func (r *Router) forget(n *node) {
	if !n.excluded && !n.down {
		return // it still serves txns, as where only drains exclude
	}
	n.group.members = slices.DeleteFunc(n.group.members, func(m *node) bool { return m == n })
	r.demote(n, 0, true)
	r.nodes[n.Node] = nil
	r.host.Forget(n.Node)
}

// setState applies a drain at once, also to held txns and resubmissions. A drain holds until the node has restarted, whatever a
// later list says: that list may be outdated, and "gone" cancels no drain.
func (r *Router) setState(n *node, s State) {
	if n.goneSince = cmp.Or(n.goneSince, r.host.Now()); s != Gone {
		n.goneSince = 0
	}
	n.drained = n.drained || s == Draining
	n.excluded = n.drained || s == Gone && !r.terms.OnlyDrainExcludes
	if n.excluded {
		r.holdWrites(n)
	}
}

func (r *Router) group(id int) *group {
	if r.groups[id] == nil {
		r.groups[id] = &group{id: id, writesHeld: true, heldSince: r.host.Now(), waiting: map[int][]*txn{},
			recent: map[bool]*recentCounts{true: {}, false: {}}}
		r.groupOrder = append(r.groupOrder, r.groups[id])
	}
	return r.groups[id]
}

// checkClock returns the time. A gap between ticks shows that the router itself was stalled: submissions that were in flight look
// slow or lost then, and say nothing about the nodes. It may hide a failure that begins during the stall.
func (r *Router) checkClock() float64 {
	now := r.host.Now()
	if now > r.nextTick+stallGap {
		r.stallEnd, r.nextTick = now, now
	}
	return now
}

// scheduleTick has time limits checked while txns wait or submissions are in flight. An idle router costs nothing.
func (r *Router) scheduleTick() {
	if math.IsInf(r.nextTick, 1) {
		r.nextTick = r.host.Now() + tickInterval
		r.host.After(r.nextTick, r.tick)
	}
}

// Arrive takes a txn, which waits until a member can serve it. A group's first txn starts its probes.
func (r *Router) Arrive(x Txn) {
	now := r.checkClock()
	g := r.group(x.Group)
	_, turn := math.Modf(goldenRatio * float64(r.terms.Self+r.txnCount))
	r.txnCount++
	t := &txn{Txn: x, typeStats: r.types[x.Type], group: g, arrived: now, turn: turn, cause: Behind}
	if x.Cost > 0 {
		// Beside cheap txns of its type, an expensive one must not look lost or slow. It does harm where costs are wrong.
		t.typeStats = &typeStats{t.TxnType, x.Cost, x.Cost, quickShare * x.Cost, max(t.SLA, workShare*x.Cost)}
	}
	r.txns[x.ID] = t
	g.active++
	g.probeCredit = min(g.probeCredit+probeCreditPerTxn, float64(2*len(g.members)))
	r.scheduleTick()
	g.waiting[t.Type] = append(g.waiting[t.Type], t)
	r.sendDueProbes(g)
	r.dispatch(g)
	if t.tries == 0 {
		r.host.Count(Held, t.cause)
	}
}

// Doubt says that peers have trouble with a node until a time; a time that is past ends it. The node is probed and ranks lower among
// replicas, nothing more. It covers failures that this router would notice late; it does harm when peers are wrong.
func (r *Router) Doubt(node int, until float64) {
	if n, now := r.nodes[node], r.checkClock(); n != nil {
		if now >= n.doubtedUntil && now < until {
			n.doubtedSince = now
			r.ProbeMember(node, PeersDoubt)
		}
		if n.doubtedUntil = until; until <= now { // what failed then says little about now
			for _, m := range n.group.members {
				if m.firstAnswer >= n.doubtedSince { // nor are those preferred that took its reads meanwhile
					m.firstAnswer = 0
				}
			}
			n.failureRate, n.doubtedSince = 0, math.Inf(1)
		}
	}
}

// ProbeMember probes a node that peers doubt, or whose state they want to know.
func (r *Router) ProbeMember(node int, why Cause) {
	if n := r.nodes[node]; n != nil && r.terms.CanProbe && !n.probing && !n.excluded {
		r.sendProbe(n, why)
	}
}

// ApplyPeerReports takes what peers report of a group that they probe for all routers until a time; heard: they do send reports. A
// position is proof from its date on. A role is only a hint whom to probe: the primary changes only by a member's own report.
// It covers routers with too little traffic to know; where reports are old, reads wait for one report too long.
func (r *Router) ApplyPeerReports(group int, until float64, heard bool, words []PeerReport) {
	g, now := r.group(group), r.checkClock()
	if g.peersProbeUntil = max(g.peersProbeUntil, until); heard {
		g.peersReportedAt = now
	}
	for _, w := range words {
		if n := r.nodes[w.Node]; n != nil && w.Pos <= now+tickInterval {
			n.pos, n.peerLoad, n.known = max(n.pos, w.Pos), float64(w.Load), n.known || w.Pos > 0
			if w.Primary && w.Pos > g.peerPrimaryAt {
				g.peerPrimary, g.peerPrimaryAt = n, w.Pos
			}
		}
	}
	r.sendDueProbes(g)
	r.dispatch(g)
}

// ClientGone says that the client of a txn is gone. Nothing is sent for the txn any more, and it gets no answer.
func (r *Router) ClientGone(id int) {
	if t := r.txns[id]; t != nil {
		r.finish(t)
		r.cancel(t)
	}
}

// AnswerStarted says that a txn's answer has begun to flow to the client. The txn is not submitted again.
func (r *Router) AnswerStarted(id int) {
	if t := r.txns[id]; t != nil {
		t.answerStarted = true
	}
}

// choose returns the member for a txn, or nil if it must wait.
func (r *Router) choose(t *txn) *node {
	g := t.group
	if t.Need == NeedPrimary {
		n := g.primary
		if g.writesHeld {
			n = r.primaryCandidate(g)
		}
		if t.cause = NoPrimary; n == nil || r.hasRoom(n, t) {
			return n
		}
		t.cause = NoRoom
		return nil
	}
	best, least, firstProbeOut := (*node)(nil), 0.0, false // firstProbeOut: of a member of the group
	usable := make([]*node, 0, len(g.members))
	peersProbe, compared := r.host.Now() < g.peersProbeUntil, 0
	for _, n := range g.members {
		switch {
		case n.excluded || n.aside && !r.mayTry(n) || !peersProbe && n == g.primary:
		case n.known || !r.terms.ProbeRoles:
			usable = append(usable, n)
		default:
			firstProbeOut = firstProbeOut || n.probing && r.host.Now()-n.probedAt < firstProbeWait
		}
	}
	mayProbe := t.Need != NeedCurrent && !r.terms.NodesCheckFreshness && r.terms.ProbeRoles
	proven := false
	if r.outlastsBounds(t) && len(usable) > 0 {
		// All routers fill the same half of the replicas, in the same order. A single replica gets none: the primary applies no log.
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
	if peersProbe { // two at random, first those that have answered this router: others need a new connection
		r.rng.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
		slices.SortStableFunc(usable, func(a, b *node) int { return cmp.Compare(min(b.firstAnswer, 1), min(a.firstAnswer, 1)) })
	}
	for _, n := range usable {
		fresh := r.freshEnough(n, t)
		proven = proven || fresh
		if !fresh || !r.hasRoom(n, t) || peersProbe && compared == comparedReplicas {
			continue
		}
		if r.host.Now() >= n.doubtedUntil { // one that is doubted does not count as one of the two
			compared++
		}
		if busy := r.busyness(n, t); best == nil || busy < least {
			best, least = n, busy
		}
	}
	if t.cause = NoRoom; !proven {
		t.cause = NoProof
	}
	reportDue := peersProbe && !proven && g.peersReportedAt <= t.arrived // the next report of peers will tell
	hasCredit := !peersProbe && g.probeCredit >= float64(len(g.members))
	if best == nil && mayProbe && (!proven || hasCredit) && (reportDue || r.probePositions(usable, t)) {
		if !proven {
			return nil
		}
		g.probeCredit -= positionProbes // where others are proven, txns pay for these probes as for ordinary ones
	}
	n := cmp.Or(g.primary, g.peerPrimary)
	if best == nil && !firstProbeOut && n != nil && !n.aside && (!g.writesHeld || g.primary == nil && n.probesFailed == 0) {
		// Reads fall back to the primary, within half of its limit: the other half is for writes.
		if r.hasRoom(n, t) && float64(len(n.inFlight)) < max(1, n.limit/2) {
			return n
		}
	}
	return best
}

// probePositions probes replicas that are not proven fresh enough for a read, the least busy first, each once per txn.
// It covers routers with little traffic and replicas that lag or are full; it is wasted where reports are old.
func (r *Router) probePositions(usable []*node, t *txn) bool {
	now := r.host.Now()
	for probed := range positionProbes {
		best, least := (*node)(nil), math.Inf(1)
		for _, n := range usable {
			skip := n.probing || n.probedAt >= t.arrived || now-n.probedAt <= urgentInterval || r.freshEnough(n, t)
			if busy := r.busyness(n, t); !skip && busy < least {
				best, least = n, busy
			}
		}
		if best == nil {
			return probed > 0
		}
		r.sendProbe(best, ReadAsks)
	}
	return true
}

// primaryCandidate returns the member that is tried by a held write, where probes tell no roles or are lost. A miss never ran, so
// members are tried in turn, the primary of the list first, by one write at a time.
func (r *Router) primaryCandidate(g *group) *node {
	now := r.host.Now()
	if r.terms.ProbeRoles && now >= r.probesFailUntil {
		return nil
	}
	var best *node
	for _, n := range g.members {
		if n.excluded || n.aside && !r.mayTry(n) || now < n.deniedAt+urgentInterval {
			continue
		}
		if slices.ContainsFunc(n.inFlight, func(t *txn) bool { return t.Need == NeedPrimary }) {
			return nil
		}
		if best == nil || n.deniedAt < best.deniedAt || n.deniedAt == best.deniedAt && n.Primary && !best.Primary {
			best = n
		}
	}
	return best
}

// mayTry tells whether a member set aside may prove by one txn that it serves, where probes are known to fail.
func (r *Router) mayTry(n *node) bool {
	return r.host.Now() < r.probesFailUntil && r.host.Now() >= n.restsUntil && len(n.inFlight) == 0
}

// outlastsBounds tells whether a txn that any member can serve takes longer, at nodes that are not crowded, than the shortest bound.
// It may stop log apply, so such txns are gathered on few replicas; that does harm where they are most of the load.
func (r *Router) outlastsBounds(t *txn) bool {
	return t.Need == NeedAny &&
		slices.ContainsFunc(r.types, func(k *typeStats) bool { return k.Need == NeedBounded && t.free > k.Bound })
}

// freshEnough tells whether a replica is known to hold what a read needs. Where nodes check freshness, an estimate is enough, as a
// wrong one costs a miss; where they don't, only a position is proof, which never expires.
func (r *Router) freshEnough(n *node, t *txn) bool {
	now, need := r.host.Now(), r.neededPos(t)
	guess := r.terms.NodesCheckFreshness && (!t.group.writesHeld || n.pos == 0)
	return n.pos >= need || guess && now-n.lag > need+boundReserve*(now-need)
}

// neededPos returns the time up to which a member must have applied all commits for a txn.
func (r *Router) neededPos(t *txn) float64 {
	switch t.Need {
	case NeedBounded:
		return r.host.Now() - t.Bound + positionMargin
	case NeedSession:
		return max(t.LastWrite, t.group.forgottenUntil, t.group.recentCommits[t.Session], t.group.olderCommits[t.Session])
	case NeedCurrent:
		return t.arrived
	}
	return 0
}

// hasRoom tells whether a node can take one more submission of this router.
func (r *Router) hasRoom(n *node, t *txn) bool {
	now := r.host.Now()
	otherZone := t.firstRunAt > 0 && t.Effect == Referenced && t.Scope == ScopeZone && n.Zone != t.firstRunZone
	if n.excluded || float64(len(n.inFlight)) >= n.limit || now < n.notBefore || otherZone {
		return false
	}
	age := now - n.coldSince
	if age >= r.terms.WarmAfter {
		return true
	}
	// The node is cold. A few routers can keep the work of all routers in flight there within what the overload factor allows beyond
	// the work done. For many routers that is less than one txn each: then txns go there in turn, by the numbers of router and txn,
	// and the node gets the part of its equal share that it is warm enough for; a primary gets half of what would overload it.
	share := r.terms.ColdFrom + (1-r.terms.ColdFrom)*age/r.terms.WarmAfter
	routers := float64(max(2, r.terms.Routers))
	inFlight := t.work
	for _, other := range n.inFlight {
		inFlight += other.work
	}
	if inFlight*routers <= (r.terms.Overload-1)*r.terms.OverloadOutage*coldCores*share {
		return true
	}
	if t.Need == NeedPrimary && !t.group.writesHeld {
		return t.turn < share*r.terms.Overload/2
	}
	i, part := math.Modf(t.turn * float64(len(t.group.members)))
	return t.group.members[int(i)] == n && part < share
}

// busyness ranks replicas by their submissions in flight and their pace. It is based on the own submissions of this router, so that
// routers choose differently, except while peers report loads.
func (r *Router) busyness(n *node, t *txn) float64 {
	pace := max(n.pace, paceMin)
	if !n.hasOpenConnection(r) {
		pace += r.connectCost / t.SLA
	}
	score := float64(len(n.inFlight)+1) * pace / (1.01 - n.failureRate)
	if r.host.Now() < t.group.peersProbeUntil {
		score = (n.peerLoad + 1) / (1.01 - n.failureRate)
	}
	if n == t.group.primary || n == t.group.peerPrimary {
		score *= primaryBias
	}
	score *= 1 + choiceJitter*(r.rng.Float64()-0.5)
	if n.Zone != r.terms.Zone {
		score *= zoneBias
	}
	if n == t.avoid || r.host.Now() < n.doubtedUntil {
		score *= avoidBias
	}
	return score
}

// hasOpenConnection tells whether a connection to a node is assumed to be open and unused.
func (n *node) hasOpenConnection(r *Router) bool {
	k := len(n.idleSince)
	return k > 0 && r.host.Now() < n.idleSince[k-1]+r.terms.IdleTimeout
}

func (r *Router) tick() {
	r.checkClock()
	r.nextTick = math.Inf(1)
	for _, g := range r.groupOrder {
		if g.active > 0 {
			r.scheduleTick()
			r.sendDueProbes(g)
			r.dispatch(g)
		}
	}
}
