// Package splitter decides where each txn of a replicated database cluster goes: all of eiderway's routing.
//
// How to call it: New makes a router; hand it each member list (Members), each txn (Arrive) and each client
// that left (Left). It acts through the Host given to New and learns through the closures it hands to that
// Host. The interface is in api.go; docs/design.md says what comes from the source and what is ours.
package splitter

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
)

const (
	tick         = 0.020 // s between looks at clocks: a few per shortest SLA time
	stall        = 0.2   // s between ticks that only a stall of the router itself explains
	margin       = 0.004 // s, several times what positions are rounded to
	ordinary     = 3.0   // s between probes of a member (design)
	hurried      = 0.1   // s between probes in a failover window (design)
	window       = 30.0  // s that a failover window lasts at most (design)
	settle       = 1.0   // s of window left once an answer, not a probe, has confirmed the primary
	heldPace     = 0.25  // share of the time writes have been held until members are asked again for one of them
	slowest      = 1.0   // s between probes of a member while writes are held at most
	asideProbe   = 0.25  // s between probes of a member set aside: two take less than its rest
	probeShare   = 0.25  // probes that a txn pays for beside those that it waits for
	askWidth     = 2     // replicas asked at a time for a proof of position: the second spares a step
	firstWait    = 0.05  // s that reads wait for a first look at a member: several ways there and back
	scarce       = 5.0   // s for which connections are given back at once after one was refused
	badProbes    = 3     // failed probes in a row until a member leaves the read set (design)
	goodProbes   = 2     // good ones until it rejoins (design)
	frozenRounds = 3     // rounds without any answer, the last one begun, that freeze the role record (design)
	rest         = 0.5   // s a member set aside stays there at least, and a full one is left alone at most
	restMost     = 16.0  // times that, for one that fails each trial: the longest outages are tens of seconds
	failGain     = 0.2   // weight of the newest outcome in a node's share of failures
	failLimit    = 0.5   // share of failures from which a node is set aside: it fails most
	failTrial    = 0.4   // share it comes back with, so that one more failure sets it aside again
	paceGain     = 0.15  // weight of the newest latency in a node's pace: about the last dozen answers
	workGain     = 0.03  // weight of the newest latency in what a txn type usually takes
	slowPace     = 0.25  // share of the SLA time from which a node's limit shrinks
	sessionSpan  = 20.0  // s a session's commit is kept at least: few replicas are so far behind
	lagPace      = 0.8   // pace that a lag as long as the bound amounts to
	limitStart   = 4.0   // submissions out at a node that is not known yet
	limitLeast   = 16.0  // submissions of all routers together at one that is always slow: a few a core
	limitMost    = 64.0  // and at one that is never slow
	cutEvery     = 0.1   // s between cuts of a limit: answers must show the last one first
	limitCut     = 0.85  // factor on the limit of a slow node
	coldCores    = 2.0   // cores a node has at least: few have less, and nobody tells
	chance       = 0.5   // width of the chance in the choice of a replica: routers alike must not choose alike
	golden       = 0.618 // steps of this spread any numbers of routers and txns evenly over the turns
	workShare    = 5.0   // SLA times a txn's work is expected to fit in, until answers tell
	quickShare   = 0.1   // share of answers that come within a txn type's quick time
	quickGain    = 0.2   // how far one answer moves that time: the last few dozen tell
	overdue      = 8.0   // times its usual latency an answer takes at least before it counts as lost
	heldShare    = 0.5   // share of its client's wait by which a write that was never sent is declined
	spare        = 0.2   // share of a bound kept free where a position is a guess
	askAgain     = 1.0   // s, about, until a refused watch is asked for again, growing with each refusal
	askMost      = 4     // refusals until it grows no more: a third of the shortest time routers may go unasked
	forgetAfter  = 60.0  // s a node is off the list until it is forgotten: an old list comes again sooner
	unheard      = 1e12  // s that a member lags as long as nothing was heard of it: longer than any
	leastPace    = 0.02  // pace of the quickest node that still counts
	avoidBias    = 10.0  // how much busier a node counts for a txn that it has just failed
	choices      = 2     // members that are compared where peers tell loads: what all know, all would choose
	spared       = 1.5   // how much busier a primary counts among them: writes have nowhere else to go
	zoneBias     = 1.15  // a replica in another zone counts as this much busier
	againFirst   = 0.03  // s before a write goes again to a primary that failed it, doubled each time
	againMost    = 0.25  // s
	shareSpan    = 2.0   // s over which the share of txns answered in time is taken
	shareLeast   = 1.2   // times what was answered in time that is sent: a crowd works off, and its end shows
	lateLeast    = 0.5   // share of its value that a late answer must keep to be waited for in a crowd
	crowdShare   = 1.4   // share of them, quick ones twice, under which there is a crowd: in calm half are quick
	shareFree    = 1.0   // txns in that time that say nothing: one is lost by chance, or costs much
	reportLate   = 0.1   // s, how old a probe's report is taken to be until a primary's own reports tell
)

// Router is one router. Routers share nothing.
type Router struct {
	host        Host
	terms       Terms
	rng         *rand.Rand
	nodes       []*node        // by index; emptied of nodes long off the list
	groups      map[int]*group // grows with the groups ever listed
	order       []*group       // groups as first met
	kinds       []*kind        // by txn type
	ranked      []int          // txn types, most value for the work first
	txns        map[int]*txn   // held txns; emptied by their final answers
	setup       float64        // s that a new connection adds to a txn, of late
	late        float64        // s, how old reports are when they arrive
	refuse      int            // refused watches in a row
	scarce      float64        // until then connections are scarce
	count, sent int            // txns, submissions so far
	due         float64        // when the next tick is, +Inf: none
	woke        float64        // end of the last stall of this router itself
	blind       float64        // until then probes are known to fail at members that serve
}

// kind is a txn type with what experience says of it.
type kind struct {
	TxnType
	work  float64 // s, usual latency
	free  float64 // s, the same at nodes that are not crowded
	quick float64 // s, latency that one answer in ten stays under
	base  float64 // s, what paces are shares of
}

// node is a member with its entry in the role record.
type node struct {
	Member
	group                 *group  // as it was first listed
	closed, drained       bool    // drains or is gone; was listed as draining, and has not started anew since
	claimed, denied       float64 // latest time it was primary by its own word; latest that denies it
	pos, lag              float64 // it has applied all commits up to this time; s behind when last heard
	heard, first          float64 // last answer to a txn; first one, of those that count
	refused, full         float64 // when it last refused a connection, 0: answered since; full till then
	probed, missed        float64 // when the last probe was sent, the last that failed
	known, probing, aside bool    // it has told of itself; a probe is out; it is out of the read set
	bad, good             int     // probes in a row
	back, rests           float64 // not back before this; s it rests when its next trial fails
	fails                 float64 // share of txns that failed of late
	pace                  float64 // latency as a share of the SLA time, of late
	limit, cut            float64 // submissions of ours it bears at once; when that last shrank
	next, crowded         float64 // no submission before this; s it is left alone when it turns one away as full
	out                   []*txn
	idle                  []float64 // since when each connection that should be open is not in use
	gone, started         float64   // since when it is off the list, 0: it is on; when it last came up cold
	doubted, since        float64   // peers doubt it until then; and have since then
	load                  float64   // submissions of all routers there, by what peers say
	down                  bool      // its process seemed gone
}

// group is a primary with its replicas, and the txns that wait for one of them.
type group struct {
	id            int
	members       []*node
	pri           *node
	held          bool            // writes wait until a member shows that it is primary
	heldAt, since float64         // evidence must be newer than this; since when they wait
	until         float64         // end of the failover window
	live          int             // txns held and submissions out
	credit        float64         // probes that txns have paid for
	next, mute    int             // the member that is due first; probes of any member in a row that failed
	shares        map[bool]*share // of writes, of reads
	told, word    float64         // peers look at the members for all until then; their last word
	hint          *node           // the member that they call primary
	hinted        float64         // as of when
	waiting       map[int][]*txn
	// Commits of sessions kept here: the newest, and those before, dropped in time: every read must see them.
	wrote, before  map[int64]float64
	turned, forgot float64 // when wrote was begun; commits up to this are in neither
}

// share is how many txns of late came, were sent, were answered in time (quick ones twice). It fades.
type share struct{ asked, sent, got, at float64 }

func (s *share) count(now, sent, got float64) {
	f := math.Exp((s.at - now) / shareSpan)
	s.asked, s.sent, s.got, s.at = s.asked*f+1, s.sent*f+sent, s.got*f+got, now
}

// txn is a held txn with the one submission of it that is out.
type txn struct {
	Txn
	*kind
	g              *group
	arrived        float64
	turn           float64 // its place in the turns at fresh nodes, 0 to 1
	tries          int
	ran            float64 // when the first submission that may have run was sent; 0: none
	ranZone        int
	at             *node // where a submission of it is out; nil: nowhere
	sent           float64
	opened, called bool  // it needed a new connection; it was called off
	avoid          *node // the last one to fail it
	why            Cause // what holds it
	queued         bool  // it ended in a queue, or was one too many for them
	started, over  bool  // the answer has begun to flow; it is the client's
}

// New starts a router with nothing but its terms.
func New(terms Terms, host Host) *Router {
	r := &Router{host: host, terms: terms, rng: rand.New(rand.NewSource(terms.Seed)),
		groups: map[int]*group{}, txns: map[int]*txn{}, late: reportLate, due: math.Inf(1)}
	for i, t := range terms.Types {
		work := t.SLA / workShare
		r.kinds = append(r.kinds, &kind{t, work, work, quickShare * work, t.SLA})
		r.ranked = append(r.ranked, i)
	}
	value := func(i int) float64 { return r.kinds[i].Value / r.kinds[i].SLA }
	slices.SortStableFunc(r.ranked, func(a, b int) int { return cmp.Compare(value(b), value(a)) })
	if terms.AskList {
		host.Watch()
	}
	return r
}

// Members takes a member list, or news of one.
func (r *Router) Members(kind ListKind, list []Member) {
	now := r.host.Now()
	if kind == ListRefused {
		// It does not say whether a watch stands, and the list serves all: asked again, later and later.
		r.refuse = min(r.refuse+1, askMost)
		r.host.After(now+float64(r.refuse)*(0.5+r.rng.Float64())*askAgain, r.host.Watch)
		return
	}
	if kind != ListRemembered {
		r.refuse = 0
	}
	if kind == ListMoved && r.terms.AskList {
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
		n.drained = n.drained && m.Born <= n.Born
		if m.Born > 0 && m.Born > n.started {
			n.started, n.limit = m.Born, min(n.limit, limitStart)
		}
		n.Member = m
		r.close(n, m.State)
	}
	for _, n := range r.nodes {
		if n != nil && !listed[n.Node] && (kind == ListAll || kind == ListRemembered) {
			r.close(n, Gone)
		}
		if n != nil && n.gone > 0 && now > n.gone+forgetAfter && len(n.out) == 0 && !n.probing {
			r.forget(n)
		}
	}
	for _, g := range r.order {
		r.pump(g)
	}
}

// forget empties the tables of a node that was replaced, once no list and no answer can bring it up again.
func (r *Router) forget(n *node) {
	if !n.closed && !n.down {
		return // it serves on, as where only drains bind
	}
	n.group.members = slices.DeleteFunc(n.group.members, func(m *node) bool { return m == n })
	r.unseat(n, 0, true)
	r.nodes[n.Node] = nil
	r.host.Forget(n.Node)
}

// close acts on a drain at once, for held txns and resubmissions as well. A drain holds until the node has
// started anew, whatever a later list says: it may be an old one, and "gone" takes nothing back.
func (r *Router) close(n *node, s State) {
	if n.gone = cmp.Or(n.gone, r.host.Now()); s != Gone {
		n.gone = 0
	}
	n.drained = n.drained || s == Draining
	n.closed = n.drained || s == Gone && !r.terms.OnlyDrainBinds
	if n.closed {
		r.hold(n)
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
	if now > r.due+stall {
		r.woke, r.due = now, now
	}
	return now
}

// arm sees to it that clocks are looked at while anything is held or out. A router at rest costs nothing.
func (r *Router) arm() {
	if math.IsInf(r.due, 1) {
		r.due = r.host.Now() + tick
		r.host.After(r.due, r.tick)
	}
}

// Arrive takes a txn, which waits until a member can have it. A group's first txn starts its probes.
func (r *Router) Arrive(x Txn) {
	now := r.clock()
	g := r.group(x.Group)
	_, turn := math.Modf(golden * float64(r.terms.Me+r.count))
	r.count++
	t := &txn{Txn: x, kind: r.kinds[x.Type], g: g, arrived: now, turn: turn, why: Behind}
	if x.Cost > 0 {
		// Costly and cheap ones of a type must not look lost or slow by each other. It harms where costs are wrong.
		t.kind = &kind{t.TxnType, x.Cost, x.Cost, quickShare * x.Cost, max(t.SLA, workShare*x.Cost)}
	}
	r.txns[x.ID] = t
	g.live++
	g.credit = min(g.credit+probeShare, float64(2*len(g.members)))
	r.arm()
	g.waiting[t.Type] = append(g.waiting[t.Type], t)
	r.probes(g)
	r.pump(g)
	if t.tries == 0 {
		r.host.Count(Held, t.why)
	}
}

// Doubt says that peers have trouble with a node, until a time; one that is past ends it. It is looked at and
// comes later among replicas, no more. It covers what one router sees late; it harms when peers are wrong.
func (r *Router) Doubt(node int, until float64) {
	if n, now := r.nodes[node], r.clock(); n != nil {
		if now >= n.doubted && now < until {
			n.since = now
			r.Look(node, PeersDoubt)
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

// Look probes a node that peers doubt, or want to know of.
func (r *Router) Look(node int, why Cause) {
	if n := r.nodes[node]; n != nil && r.terms.Probes && !n.probing && !n.closed {
		r.probe(n, why)
	}
}

// Told takes what peers say of a group that they look at for all until a time; heard: they do speak. A
// position proves from its date on; a role is a hint whom to ask: only a member's own word moves the primary.
// It covers routers too quiet to know, and harms where peers say old things: reads wait one word too long.
func (r *Router) Told(group int, until float64, heard bool, words []Word) {
	g, now := r.group(group), r.clock()
	if g.told = max(g.told, until); heard {
		g.word = now
	}
	for _, w := range words {
		if n := r.nodes[w.Node]; n != nil && w.Pos <= now+tick {
			n.pos, n.load, n.known = max(n.pos, w.Pos), float64(w.Load), n.known || w.Pos > 0
			if w.Primary && w.Pos > g.hinted {
				g.hint, g.hinted = n, w.Pos
			}
		}
	}
	r.probes(g)
	r.pump(g)
}

// Left says that the client of a txn is gone. Nothing is owed or sent for it any more.
func (r *Router) Left(id int) {
	if t := r.txns[id]; t != nil {
		r.end(t)
		r.callOff(t)
	}
}

// Started says that a txn's answer flows to the client, whose matter it is from here on.
func (r *Router) Started(id int) {
	if t := r.txns[id]; t != nil {
		t.started = true
	}
}

func (r *Router) end(t *txn) {
	if !t.over {
		t.over = true
		t.g.live--
		delete(r.txns, t.ID)
	}
}

// pump gives up what is too late and submits what can be, most value for the work first.
func (r *Router) pump(g *group) {
	for _, l := range r.ranked {
		q := slices.DeleteFunc(g.waiting[l], func(t *txn) bool {
			if !t.over && r.tooLate(t) {
				r.giveUp(t)
			}
			return t.over
		})
		for len(q) > 0 {
			// Reads leave newest first: when there are too many, the ones served are then served in time.
			i := 0
			if r.kinds[l].Need != NeedPrimary {
				i = len(q) - 1
			}
			n := r.place(q[i])
			if n == nil {
				break
			}
			if t := q[i]; r.surplus(t) {
				r.giveUp(t)
			} else {
				r.submit(t, n)
			}
			q = slices.Delete(q, i, i+1)
		}
		g.waiting[l] = q
	}
}

// surplus tells whether a txn is one too many: so few were answered in time of late that sending all keeps
// queues full. It covers overload and shared slowness; it harms where failures have another cause.
func (r *Router) surplus(t *txn) bool {
	s := t.g.shares[t.Need == NeedPrimary]
	f := math.Exp((s.at - r.host.Now()) / shareSpan)
	if t.Again && s.asked*f > shareFree && t.LateValue < lateLeast && s.got < crowdShare*s.sent {
		return true // its first try has most likely used up its time
	}
	over := r.rng.Float64()*(s.asked*f+1) < (s.asked-shareLeast*s.got)*f-shareFree
	t.queued = t.queued || over
	return over
}

// place finds the member for a txn: the design's ordinary path.
func (r *Router) place(t *txn) *node {
	g := t.g
	if t.Need == NeedPrimary {
		n := g.pri
		if g.held {
			n = r.candidate(g)
		}
		if t.why = NoPrimary; n == nil || r.room(n, t) {
			return n
		}
		t.why = NoRoom
		return nil
	}
	best, least, first := (*node)(nil), 0.0, false // first: a first look at a member is out
	usable := make([]*node, 0, len(g.members))
	told, seen := r.host.Now() < g.told, 0
	for _, n := range g.members {
		switch {
		case n.closed || n.aside && !r.trial(n) || !told && n == g.pri:
		case n.known || !r.terms.ProbeRoles:
			usable = append(usable, n)
		default:
			first = first || n.probing && r.host.Now()-n.probed < firstWait
		}
	}
	asks := t.Need != NeedCurrent && !r.terms.NodesCheck && r.terms.ProbeRoles
	proven := false
	if r.long(t) && len(usable) > 0 {
		// Gathered: all routers fill half of the replicas in the same order. A single replica is spared, the
		// primary applies no log.
		slices.SortFunc(usable, func(a, b *node) int { return cmp.Compare(a.Name, b.Name) })
		usable = usable[:len(usable)/2]
		for _, n := range usable {
			if r.room(n, t) {
				return n
			}
		}
		if t.why = NoRoom; len(usable) > 0 {
			return nil
		}
	}
	if told { // two by chance, those first that have answered here: others want a connection
		r.rng.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
		slices.SortStableFunc(usable, func(a, b *node) int { return cmp.Compare(min(b.first, 1), min(a.first, 1)) })
	}
	for _, n := range usable {
		fresh := r.fresh(n, t)
		proven = proven || fresh
		if !fresh || !r.room(n, t) || told && seen == choices {
			continue
		}
		if r.host.Now() >= n.doubted { // one that is doubted is compared beside the two
			seen++
		}
		if busy := r.busy(n, t); best == nil || busy < least {
			best, least = n, busy
		}
	}
	if t.why = NoRoom; !proven {
		t.why = NoProof
	}
	due := told && !proven && g.word <= t.arrived // the next word
	rich := !told && g.credit >= float64(len(g.members))
	if best == nil && asks && (!proven || rich) && (due || r.ask(usable, t)) {
		if !proven {
			return nil
		}
		g.credit -= askWidth // where others are proven, txns pay for it as for ordinary probes
	}
	n := cmp.Or(g.pri, g.hint)
	if best == nil && !first && n != nil && !n.aside && (!g.held || g.pri == nil && n.bad == 0) {
		// Reads fall back to the primary, in the half of its limit that writes leave.
		if r.room(n, t) && float64(len(n.out)) < max(1, n.limit/2) {
			return n
		}
	}
	return best
}

// ask asks replicas not proven fresh enough for a read for their positions, the least busy first, each once
// for a txn. It covers quiet routers and replicas that lag or are full; it is wasted where reports are old.
func (r *Router) ask(usable []*node, t *txn) bool {
	now := r.host.Now()
	for asked := range askWidth {
		best, least := (*node)(nil), math.Inf(1)
		for _, n := range usable {
			spared := n.probing || n.probed >= t.arrived || now-n.probed <= hurried || r.fresh(n, t)
			if busy := r.busy(n, t); !spared && busy < least {
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
	if r.terms.ProbeRoles && now >= r.blind {
		return nil
	}
	var best *node
	for _, n := range g.members {
		if n.closed || n.aside && !r.trial(n) || now < n.denied+hurried {
			continue
		}
		if slices.ContainsFunc(n.out, func(t *txn) bool { return t.Need == NeedPrimary }) {
			return nil
		}
		if best == nil || n.denied < best.denied || n.denied == best.denied && n.Primary && !best.Primary {
			best = n
		}
	}
	return best
}

// trial tells whether a member set aside may show by one txn that it serves, where probes are known to fail.
func (r *Router) trial(n *node) bool {
	return r.host.Now() < r.blind && r.host.Now() >= n.back && len(n.out) == 0
}

// long tells whether a txn for any member lasts longer than the shortest bound where nodes are not crowded.
// It may stop log apply, so such are gathered on few; it harms where they are most of the load.
func (r *Router) long(t *txn) bool {
	return t.Need == NeedAny &&
		slices.ContainsFunc(r.kinds, func(k *kind) bool { return k.Need == NeedBounded && t.free > k.Bound })
}

// fresh tells whether a replica is known to hold what a read needs. Where nodes check, a guess will do: a
// wrong one costs a miss; where they don't, only a position proves it, which holds for ever.
func (r *Router) fresh(n *node, t *txn) bool {
	now, need := r.host.Now(), r.need(t)
	guess := r.terms.NodesCheck && (!t.g.held || n.pos == 0)
	return n.pos >= need || guess && now-n.lag > need+spare*(now-need)
}

// need is the time up to which a member must have applied all commits for a txn.
func (r *Router) need(t *txn) float64 {
	switch t.Need {
	case NeedBounded:
		return r.host.Now() - t.Bound + margin
	case NeedSession:
		return max(t.Wrote, t.g.forgot, t.g.wrote[t.Session], t.g.before[t.Session])
	case NeedCurrent:
		return t.arrived
	}
	return 0
}

// room tells whether a node can take one more submission of ours.
func (r *Router) room(n *node, t *txn) bool {
	now := r.host.Now()
	elsewhere := t.ran > 0 && t.Effect == Referenced && t.Scope == ScopeZone && n.Zone != t.ranZone
	if n.closed || float64(len(n.out)) >= n.limit || now < n.next || elsewhere {
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
	for _, other := range n.out {
		out += other.work
	}
	if out*routers <= (r.terms.Overload-1)*r.terms.Fall*coldCores*share {
		return true
	}
	if t.Need == NeedPrimary && !t.g.held {
		return t.turn < share*r.terms.Overload/2
	}
	i, part := math.Modf(t.turn * float64(len(t.g.members)))
	return t.g.members[int(i)] == n && part < share
}

// busy compares replicas: what is out, at the pace shown. Own submissions differ, and so do routers' choices.
func (r *Router) busy(n *node, t *txn) float64 {
	pace := max(n.pace, leastPace)
	if !n.open(r) {
		pace += r.setup / t.SLA
	}
	b := float64(len(n.out)+1) * pace / (1.01 - n.fails)
	if r.host.Now() < t.g.told {
		b = (n.load + 1) / (1.01 - n.fails)
	}
	if n == t.g.pri || n == t.g.hint {
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

// open tells whether a connection to a node is thought to be open and not in use.
func (n *node) open(r *Router) bool {
	k := len(n.idle)
	return k > 0 && r.host.Now() < n.idle[k-1]+r.terms.IdleClose
}

// last is when a txn is given up if it still waits: when its answer could not earn anything any more.
func (r *Router) last(t *txn) float64 {
	end := t.Until - 2*tick
	if r.prompt(t) {
		end = min(end, t.arrived+t.SLA)
	}
	if t.ran > 0 && t.Effect == Referenced {
		end = min(end, t.ran+t.Window-2*tick)
	}
	return end
}

// prompt tells whether a txn is wanted in time or not at all: a late answer earns nothing, or less than half
// while many come too late, when the room it takes makes others late. It covers queues that only grow.
func (r *Router) prompt(t *txn) bool {
	s := t.g.shares[t.Need == NeedPrimary]
	return t.LateValue == 0 || t.LateValue < lateLeast && s.sent > shareFree && s.got < crowdShare*s.sent
}

// tooLate tells whether not even a quick answer would come in time. A write never sent by half of its wait is
// declined while its client can turn elsewhere; it harms where a primary comes in the second half.
func (r *Router) tooLate(t *txn) bool {
	now := r.host.Now()
	return now >= r.last(t)-t.quick || t.tries == 0 && t.Need == NeedPrimary &&
		now >= t.arrived+heldShare*(t.Until-t.arrived)-2*tick
}

func (r *Router) submit(t *txn, n *node) {
	now := r.host.Now()
	until := t.Until
	if r.prompt(t) {
		until = min(until, t.arrived+t.SLA)
	}
	// An answer overdue by far was lost, not late: in a third of its time the txn goes on, where a repeat does
	// no harm. It covers nodes and ways that lose answers; it repeats work at a node eight times as slow.
	third, usual := (until-now)/3, overdue*t.free
	harmless := t.Effect == Repeatable || t.Effect == Referenced && now+third+usual < cmp.Or(t.ran, now)+t.Window
	if harmless && third > usual {
		until = now + third
	}
	t.at, t.sent, t.opened, t.called = n, now, !n.open(r), false
	n.idle = n.idle[:max(0, len(n.idle)-1)]
	t.tries++
	r.sent++
	t.g.live++
	n.out = append(n.out, t)
	r.host.Submit(t.ID, n.Node, until, func(res Result) { r.landed(t, n, res) })
}

// landed takes the result of a submission, and the txn its next step.
func (r *Router) landed(t *txn, n *node, res Result) {
	now := r.clock()
	n.out = slices.DeleteFunc(n.out, func(x *txn) bool { return x == t })
	t.at = nil
	t.g.live--
	if n.limit < 1 {
		n.next = now + (1/n.limit-1)*res.Latency // a limit under one is a share of the time
	}
	if res.As > 0 {
		// A read that a replica turned away as a write is one. Against statements that hide their writes.
		t.Type, t.kind = res.As-1, r.kinds[res.As-1]
	}
	if !res.is(TimedOut, Broken, NoConn, Cancelled) { // these end a connection
		n.idle = append(n.idle, now)
	}
	if t.opened && t.sent >= r.woke && res.is(Committed, TimedOut) {
		r.setup += paceGain * (max(0, res.Latency-t.work) - r.setup)
	}
	r.learn(t, n, res)
	if now < r.scarce && len(n.out) == 0 && res.Outcome != NoConn {
		n.idle = nil
		r.host.CloseIdle(n.Node)
	}
	defer r.pump(t.g)
	if res.Ended || t.over {
		r.end(t)
		return
	}
	if t.ran == 0 && !res.is(Missed, Full, NoConn, Unsent) {
		t.ran, t.ranZone = t.sent, n.Zone
	}
	t.avoid = n
	if t.started || t.tries >= r.terms.MaxSubmissions || now >= r.last(t) || t.ran > 0 && t.Effect == OnceOnly {
		r.giveUp(t)
		return
	}
	wait := min(againMost, againFirst*math.Pow(2, float64(t.tries-1)))
	if n != t.g.pri || !res.is(Failed, NoConn) || now+wait > r.last(t) {
		r.requeue(t)
		return
	}
	r.host.After(now+wait, func() {
		if !t.over {
			r.requeue(t)
			r.pump(t.g)
		}
	})
}

func (r *Router) requeue(t *txn) {
	q, i := t.g.waiting[t.Type], 0
	if t.Need != NeedPrimary {
		i = len(q)
	}
	t.g.waiting[t.Type] = slices.Insert(q, i, t)
}

// giveUp gives a txn its final answer at once. A decline says that trying again is harmless.
func (r *Router) giveUp(t *txn) {
	r.end(t)
	if t.queued {
		t.g.shares[t.Need == NeedPrimary].count(r.host.Now(), min(1, float64(t.tries)), 0)
	}
	if t.ran > 0 && t.Effect != Repeatable && !(t.Effect == Referenced && t.Scope == ScopeAll) {
		r.host.RollBack(t.ID)
		return
	}
	pause := 0.0
	if r.prompt(t) && r.host.Now() > t.arrived+t.SLA/2 {
		pause = r.terms.MaxPause // no answer will be in time any more
	}
	if t.tries > 0 {
		t.why = Tried
	}
	r.host.Count(Turned, t.why)
	r.host.Decline(t.ID, pause)
}

// learn feeds the role record and the health of a node from a result.
func (r *Router) learn(t *txn, n *node, res Result) {
	now := r.host.Now()
	g, timed := t.g, t.sent >= r.woke // timed: its latency is the node's
	if res.is(Committed, Missed, Full, Failed, Answered) {
		n.heard, n.first = now, cmp.Or(n.first, now)
		r.hear(n, res.Report, true)
		if n.bad > 0 && t.sent >= n.missed {
			r.blind = now + window // it serves, and did not answer a probe sent before
		}
		if n.bad = 0; n.aside && now < r.blind && res.Outcome != Failed {
			r.rejoin(n)
		}
	}
	t.queued = t.queued || timed && res.is(Full, TimedOut)
	switch res.Outcome {
	case Committed:
		n.fails, n.crowded = n.fails*(1-failGain), 0
		got := 0.0
		if res.Latency < t.free {
			got = 2 // no queue there
		} else if now <= t.arrived+t.SLA || !timed {
			got = 1
		}
		g.shares[t.Need == NeedPrimary].count(now, 1, got)
		if t.Need == NeedPrimary {
			r.claim(n, now)
			r.remember(t, res.Pos)
		}
		if n == g.pri && t.Need == NeedPrimary && !g.held {
			g.until = min(g.until, now+settle)
		}
		if timed {
			t.work += workGain * (res.Latency - t.work)
			if t.quick *= 1 + quickGain*quickShare; res.Latency < t.quick {
				t.quick *= 1 - quickGain
			}
			if n.pace < slowPace {
				t.free += workGain * (res.Latency - t.free)
			}
			pace := res.Latency / t.base
			if t.Need == NeedBounded && res.Role == RoleReplica && res.Pos > 0 {
				// A crowded replica applies the log late, and soon is of no use.
				pace = max(pace, lagPace*(now-res.Pos)/t.Bound)
			}
			r.tune(n, pace)
		}
	case Answered:
		n.fails *= 1 - failGain // no word on its role: an error may come before the node looks at that
	case Failed:
		n.fails += failGain * (1 - n.fails) // told at once: what it does answer is of use
	case Full:
		// What waits there comes first: it is left alone, longer each time in a row.
		n.limit, n.crowded = max(1, n.limit/2), min(2*n.crowded+againFirst, rest)
		n.next = max(n.next, now+n.crowded)
	case TimedOut, Cancelled:
		if timed { // pace and limit follow answers, so that a node that loses some keeps the rest
			t.work += workGain * max(0, res.Latency-t.work)
			r.lost(n)
		}
	case Missed:
		if t.Need == NeedPrimary {
			n.denied = now
			r.hold(n)
		} else {
			n.lag = max(n.lag, min(now-r.need(t), sessionSpan)) // so far behind at least
		}
	case NoConn, Broken:
		refused := res.Outcome == NoConn && res.Latency < r.terms.ConnectIn/2
		if refused && now < n.full {
			r.short(n)
			break
		}
		// Down, cut off, or lost by chance: a probe tells soon, and until then a primary gets no writes.
		r.lost(n)
		if res.Outcome == NoConn {
			r.setAside(n)
		}
		n.down = n.down || refused && now < r.blind
		if refused && r.terms.Probes && !n.probing {
			n.refused = now
			r.probe(n, ConnLost)
		}
		r.hold(n)
	}
}

// short acts on a node that refuses connections and answers probes: it is neither dead nor changed, and idle
// connections that routers keep are what others lack. It covers squeezed limits; it costs handshakes.
func (r *Router) short(n *node) {
	now := r.host.Now()
	n.refused, n.aside, n.full = 0, false, now+scarce
	if now > r.scarce {
		for _, m := range r.nodes {
			if m != nil && len(m.out) == 0 && m.heard > 0 {
				m.idle = nil
				r.host.CloseIdle(m.Node)
			}
		}
	}
	r.scarce = now + scarce
}

// remember keeps a session's commit for its reads to come.
func (r *Router) remember(t *txn, pos float64) {
	now, g := r.host.Now(), t.g
	if !r.terms.SessionsKept {
		return
	}
	if g.wrote == nil || now-g.turned > sessionSpan {
		if g.before != nil {
			g.forgot = g.turned
		}
		g.before, g.wrote, g.turned = g.wrote, map[int64]float64{}, now
	}
	g.wrote[t.Session] = max(g.wrote[t.Session], cmp.Or(pos, now))
}

// lost counts a txn that a node left without an answer, and sets the node aside when most are.
func (r *Router) lost(n *node) {
	n.fails += failGain * (1 - n.fails)
	if n.fails > failLimit {
		r.setAside(n)
	}
}

// tune sets a node's pace and how many submissions it bears.
func (r *Router) tune(n *node, pace float64) {
	now := r.host.Now()
	n.pace += paceGain * (pace - n.pace)
	if n.pace > slowPace {
		if now-n.cut > cutEvery {
			n.cut = now
			n.limit = max(min(1, limitLeast/float64(r.terms.Routers)), n.limit*limitCut)
		}
	} else if n.limit < 1 {
		n.limit /= limitCut
	} else if float64(len(n.out)+1) >= n.limit-1 {
		n.limit = min(limitMost, n.limit+1/n.limit)
	}
}

// hear takes what a node says of itself, in an answer or, somewhat late, in a report.
func (r *Router) hear(n *node, rep Report, answer bool) {
	now := r.host.Now()
	if rep.Pos > now+tick || rep.Pos < 0 {
		return // it can't be: no evidence
	}
	n.known = true
	at, late := cmp.Or(rep.Pos, now-r.late), r.late
	if answer {
		at, late = now, 0
	}
	if rep.Pos > 0 {
		n.pos = max(n.pos, rep.Pos)
		n.lag = max(0, now-rep.Pos-late)
	} else if n.lag /= 2; n.lag >= unheard/2 {
		n.lag = 0 // no position is told here: only misses say that it is behind
	}
	switch rep.Role {
	case RolePrimary:
		if !answer && rep.Pos > 0 {
			r.late += paceGain * (now - rep.Pos - r.late)
		}
		r.claim(n, cmp.Or(rep.Pos, at)) // a primary stands at the present, so its position dates the claim
	case RoleReplica:
		if answer {
			n.denied = now
		}
		r.unseat(n, at, answer)
	}
}

// unseat takes it that a member is no primary: as of a time, or for sure.
func (r *Router) unseat(n *node, at float64, sure bool) {
	g := n.group
	if g.hint == n && (sure || at > g.hinted) {
		g.hint = nil
	}
	if g.pri == n && (sure || at > n.claimed) {
		r.hold(n)
		g.pri = nil
	}
}

// claim takes a member's word that it was primary at a time. Of two, the later claim holds.
func (r *Router) claim(n *node, at float64) {
	g := n.group
	if at <= n.denied || n.closed {
		return
	}
	n.claimed = max(n.claimed, at)
	if old := g.pri; old == nil {
		g.pri = n
	} else if old != n {
		g.until = r.host.Now() + window
		if at > old.claimed {
			g.pri = n
			r.recall(old)
		}
	}
	if g.pri == n && g.held && at > g.heldAt {
		g.held = false
		r.pump(g)
	}
}

// recall calls off writes that an old primary still has: they can go on to the new one in their window.
func (r *Router) recall(old *node) {
	for _, t := range old.out {
		if t.Need == NeedPrimary && t.Effect == Referenced && !t.over && !t.started {
			r.callOff(t)
		}
	}
}

func (r *Router) callOff(t *txn) {
	if r.terms.Cancels && t.at != nil && !t.called {
		t.called = true
		r.host.Cancel(t.ID)
	}
}

// hold keeps writes, where n is primary, until a member shows that it is, old or new, and probes fast then.
func (r *Router) hold(n *node) {
	g, now := n.group, r.host.Now()
	if g.pri != n {
		return
	}
	if !g.held {
		g.since = now
	}
	g.held, g.heldAt, g.until = true, now, now+window
}

// setAside takes a node out of the read set until it has answered probes and rested; then it tries one txn.
func (r *Router) setAside(n *node) {
	now := r.host.Now()
	if !n.aside {
		n.aside, n.good, n.back, n.rests = true, 0, now, rest
	}
	if n.limit = 1; now >= n.back { // newly, or a trial has failed
		n.back, n.rests = now+n.rests, min(2*n.rests, restMost*rest)
	}
}

// rejoin takes a member back into the read set. One that was down is cold, before the list says so.
func (r *Router) rejoin(n *node) {
	if n.down {
		n.down, n.started = false, r.host.Now()
	}
	n.aside, n.limit, n.fails = false, 1, min(n.fails, failTrial)
}

func (r *Router) tick() {
	r.clock()
	r.due = math.Inf(1)
	for _, g := range r.order {
		if g.live > 0 {
			r.arm()
			r.probes(g)
			r.pump(g)
		}
	}
}

// probes sends the probes that are due in a group while it has txns. A first look and what a held write waits
// for come at once; all else is paid for by txns, so that quiet routers don't spend more than a group earns.
func (r *Router) probes(g *group) {
	now := r.host.Now()
	if !r.terms.Probes {
		return
	}
	waiting := r.waits(g)
	held, told := g.held && waiting > 0 && now >= r.blind, now < g.told
	due := len(g.members)
	if held && told {
		r.host.Want(g.id)
	}
	first := told || g.pri == nil && g.hint != nil && g.hint.bad == 0 // who peers say is primary
	for i := range g.members {
		n := g.members[(g.next+i)%len(g.members)]
		asked := held && (!first || n == g.pri || n == g.hint) // while peers look, only for what is their hint
		if n.probing || n.closed || !n.aside && !asked && (told || held) {
			continue
		}
		every, owed, why := ordinary, n.probed == 0 && !n.known, Ordinary
		switch {
		case held:
			every, owed, why = min(slowest, max(hurried, heldPace*(now-g.since)/float64(waiting))), true, HeldTxn
		case now < g.until || g.pri == nil:
			every, why = hurried, InWindow
		case n.aside:
			every, why = asideProbe, SetAside
		}
		if n.probed == 0 {
			why = FirstLook
		} else if now-n.probed < every*(0.9+0.2*r.rng.Float64()) {
			continue
		}
		if !owed {
			if g.credit < 1 {
				due = min(due, i)
				continue
			}
			g.credit--
		}
		r.probe(n, why)
	}
	g.next += due // the first one left out
}

// waits tells how many txns wait for role evidence: writes, or all while no member is known as primary.
func (r *Router) waits(g *group) (count int) {
	for l, q := range g.waiting {
		if g.pri == nil && g.hint == nil || r.kinds[l].Need == NeedPrimary {
			count += len(q)
		}
	}
	return count
}

func (r *Router) probe(n *node, why Cause) {
	n.probing, n.probed = true, r.host.Now()
	r.host.Probe(n.Node, why, func(rep Report) {
		before := r.sent
		if r.answered(n, n.probed, rep); r.sent > before {
			r.host.Count(Freed, why)
		}
	})
}

// answered takes what a probe brought. While no member answers any, the record is frozen: it may be us.
func (r *Router) answered(n *node, sent float64, rep Report) {
	g, now := n.group, r.clock()
	n.probing = false
	if !rep.OK && sent < r.woke {
		return
	}
	if !rep.OK {
		n.good, n.missed = 0, sent
		n.bad++
		g.mute++
		if !n.known && r.terms.NodesCheck {
			n.known, n.lag = true, 0 // it was looked at in vain, and checks reads itself
		}
		if n.bad >= badProbes && now >= r.blind && g.mute <= (frozenRounds-1)*len(g.members) {
			n.down = true
			r.setAside(n)
			if !g.held {
				r.hold(n)
			}
		}
		return
	}
	if n.down {
		n.down, n.started = false, now // cold, before the list says so
	}
	n.bad, g.mute = 0, 0
	if n.refused > 0 && sent >= n.refused {
		r.short(n)
	}
	n.good++
	r.hear(n, rep, false)
	if g.held && g.pri == n && rep.Role == RolePrimary && n.claimed > n.denied && sent >= g.heldAt {
		g.held = false // the old primary is there after all
	}
	if n.aside && n.good >= goodProbes && now >= n.back {
		r.rejoin(n)
	}
	r.pump(g)
}
