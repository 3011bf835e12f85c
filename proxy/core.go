package proxy

// This file owns the module, its timers and all held txns, in one goroutine: the core's. Only that goroutine
// calls the module. It must never wait for a socket or a mailbox, and never decide anything.

import (
	"container/heap"
	"context"
	"hash/fnv"
	"math"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"eiderway/pgwire"
	"eiderway/shape"
	"eiderway/splitter"
	"eiderway/terms"
)

// held is a txn that was taken. It lives until it has its final answer and no submission of it is out.
type held struct {
	id     int
	client *client
	st     pgwire.Statement
	job    *job // the submission that is out
	over   bool
	class  *shape.Class // of a statement that was classed; nil: its comment says all
	typ    int          // the txn type of one that was classed
}

// core is the actor of the module. Its tables: txns, open and free are emptied as txns are over, nodes and byUID
// as the module forgets nodes.
type core struct {
	actor
	clock     clock
	now       float64 // the time of what is being handled
	terms     *terms.Terms
	router    *splitter.Router
	timers    timers
	armed     int // timers ever set
	txns      []*held
	free      []int
	open      map[string]bool // ids of txns that have no final answer yet
	nodes     []*node
	spare     []int                   // indices of forgotten nodes
	everyNode atomic.Pointer[[]*node] // the same, for the counters
	byUID     map[string]int
	groups    map[int]bool
	list      *list
	gossip    *gossip    // nil: peers are not spoken to
	noGossip  error      // why it could not begin
	tier      *tier      // nil: routers of the tier don't speak to each other
	peerState *peerState // nil: they don't tell each other of nodes
	zones     *zones     // nil: zones are not left together
	leases    *leases    // nil: they have no tasks of which one holder is wanted
	noTier    error      // why one of them could not begin
	hub       *clients
	classes   *classes // nil: statements without our comment are not served
	counters  *counters
	sockets   chan struct{} // one for each connection to a node
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	life      context.Context
	tasks     *errgroup.Group
	log       *logrus.Logger
}

func newCore(cfg *Config, log *logrus.Logger, life context.Context, tasks *errgroup.Group, sockets int) *core {
	c := &core{actor: newActor(), clock: newClock(), terms: cfg.terms, byUID: map[string]int{}, open: map[string]bool{},
		groups: map[int]bool{}, counters: &counters{log: log}, sockets: make(chan struct{}, sockets), life: life,
		dial: (&net.Dialer{KeepAlive: -1}).DialContext, tasks: tasks, log: log}
	c.now = c.clock.now()
	c.list = newList(c, cfg.Discovery, cfg.Known.Rev, cfg.Limits.MemoryMB)
	told := c.terms.Splitter
	if cfg.Own != nil && cfg.Own.Classing != nil {
		c.classes = newClasses(c, cfg.Own.Classing, len(told.Types))
		told.Types = slices.Concat(told.Types, c.classes.types)
	}
	c.router = splitter.New(told, c)
	if cfg.Own != nil && cfg.Own.Gossip != nil {
		if g := newGossip(c, cfg); g.err == nil {
			c.gossip = g
		} else {
			c.noGossip = g.err
		}
	}
	if c.tier, c.noTier = newTier(c, cfg); c.noTier == nil {
		c.peerState = newPeerState(c, cfg)
		c.leases, c.noTier = newLeases(c, cfg)
	}
	if c.noTier == nil {
		c.zones, c.noTier = newZones(c, cfg)
	}
	if c.peerState == nil && c.leases == nil && c.zones == nil && c.tier != nil { // nobody speaks
		c.tier.conn.Close()
		c.tier = nil
	}
	c.members(splitter.ListRemembered, cfg.Known.Targets)
	return c
}

func (c *core) run(ctx context.Context) error {
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		case <-alarm.C:
		}
		c.handle(func() { c.now = c.clock.now() })
		c.now = c.clock.now()
		// What these set anew waits for the next turn, however soon it is due: mail and the end come in between.
		for armed := c.armed; len(c.timers) > 0 && c.timers[0].at <= c.now && c.timers[0].set <= armed; {
			heap.Pop(&c.timers).(timer).then()
		}
		next := time.Hour
		if len(c.timers) > 0 {
			next = max(0, time.Until(c.clock.at(c.timers[0].at)))
		}
		alarm.Reset(next)
	}
}

// asks has another goroutine's question run in the core's, and waits for it. ok: the core is still there.
func (c *core) asks(f func()) (ok bool) {
	done := make(chan struct{})
	c.tell(func() {
		f()
		close(done)
	})
	select {
	case <-done:
		return true
	case <-c.life.Done():
		return false
	}
}

// arrive takes a txn from a client, which came at a time and is owed one answer from here on.
func (c *core) arrive(h *held, at float64) {
	if c.open[h.st.ID] {
		c.counters.malformed.Add(1)
		h.client.answer(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "08P01", "the id of an open txn", "")))
		return
	}
	c.open[h.st.ID] = true
	c.counters.taken.Add(1)
	if k := len(c.free); k > 0 {
		h.id, c.free = c.free[k-1], c.free[:k-1]
		c.txns[h.id] = h
	} else {
		h.id = len(c.txns)
		c.txns = append(c.txns, h)
	}
	if !c.groups[h.st.Group] { // nothing can be had for a group without members, known to none
		c.Decline(h.id, 0)
		return
	}
	x := c.txn(h, at)
	if write := c.terms.Writes(x.Type); c.peerState != nil && (write || c.terms.Bounded(x.Type)) {
		c.peerState.table.RecordArrival(x.Group, write, c.now)
		c.peerState.act()
	}
	c.router.Arrive(x)
}

// txn is what the module is told of a held txn that came at this time.
func (c *core) txn(h *held, at float64) splitter.Txn {
	x := splitter.Txn{
		ID:        h.id,
		Group:     h.st.Group,
		Type:      c.typeOf(h),
		Deadline:  at + h.st.Wait,
		Session:   session(h.st.Key),
		LastWrite: h.st.MinPosition,
		IsRetry:   h.st.IsRetry,
	}
	if h.class != nil {
		x.Cost = h.class.Cost
	}
	return x
}

// typeOf is the txn type that a txn came as.
func (c *core) typeOf(h *held) int {
	if h.class != nil {
		return h.typ
	}
	return c.terms.Types[h.st.Type]
}

// session gives the key of a session as a number.
func session(key string) int64 {
	if n, err := strconv.ParseUint(key, 16, 64); err == nil {
		return int64(n)
	}
	f := fnv.New64a()
	f.Write([]byte(key))
	return int64(f.Sum64())
}

// left says that a txn's client is gone.
func (c *core) left(h *held) {
	if h.over || c.txns[h.id] != h {
		return
	}
	c.counters.left.Add(1)
	c.close(h)
	if h.job != nil {
		h.job.moot.Store(true)
	}
	c.router.ClientGone(h.id)
	c.release(h)
}

// landed takes the end of a submission.
func (c *core) landed(h *held, res splitter.Result, answer []byte, then func(splitter.Result)) {
	code, n, sent := h.job.code, h.job.node, h.job.sent
	h.job = nil
	c.counters.outcomes[res.Outcome].Add(1)
	if c.gossip != nil {
		c.gossip.landed(n, sent, res.Outcome)
	}
	if c.peerState != nil {
		c.peerState.landed(n, res.Report)
	}
	if c.zones != nil {
		c.zones.landed(n, c.typeOf(h), res)
	}
	if h.class != nil {
		res.ProvedType = c.classes.landed(h.class, res, code)
	}
	if (res.Outcome == splitter.Committed || res.Outcome == splitter.Answered) && !h.over {
		c.counters.committed.Add(1)
		c.finish(h, answer)
	}
	res.Ended = h.over
	then(res)
	c.release(h)
}

// close ends what is owed for a txn.
func (c *core) close(h *held) {
	h.over = true
	delete(c.open, h.st.ID)
}

// finish gives a txn its final answer.
func (c *core) finish(h *held, answer []byte) {
	c.close(h)
	h.client.answer(pgwire.AppendReady(answer))
	c.release(h)
}

func (c *core) release(h *held) {
	if h.over && h.job == nil && c.txns[h.id] == h {
		c.txns[h.id] = nil
		c.free = append(c.free, h.id)
	}
}

// members takes entries of the member list, or news that it can't be had.
func (c *core) members(kind splitter.ListKind, entries []entry) {
	list := make([]splitter.Member, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		if err := e.check(); err != nil {
			c.log.WithError(err).Warn("entry of the list passed over")
			continue
		}
		id, ok := c.byUID[e.UID]
		if !ok {
			if e.state() == splitter.Gone {
				continue
			}
			n := newNode(c, e.UID, e.Endpoint)
			if k := len(c.spare); k > 0 {
				id, c.spare = c.spare[k-1], c.spare[:k-1]
				c.nodes[id] = n
			} else {
				id = len(c.nodes)
				c.nodes = append(c.nodes, n)
			}
			c.byUID[e.UID] = id
			c.tasks.Go(func() error { return n.run(c.life) })
		}
		if plant == "forgets a drain" && e.State == "Terminating" {
			e.State = "Ready"
		}
		m := splitter.Member{Node: id, Name: e.UID, Group: -1, Zone: c.terms.Zone(e.Zone), State: e.state(),
			StartedAt: e.Boot / 1000}
		if e.Group != nil {
			m.Group = *e.Group
			c.groups[m.Group] = true
		}
		c.nodes[id].listed(e.Endpoint, m.State)
		if c.gossip != nil && m.State == splitter.On && m.Group >= 0 {
			c.gossip.transport.AddServer(e.UID, m.Group)
		}
		if c.peerState != nil && m.State == splitter.On {
			c.peerState.table.AddNode(id, e.UID, m.Group)
		}
		if c.zones != nil && m.State == splitter.On {
			c.zones.book.Node(id, e.UID, e.Zone, m.Group)
		}
		list = append(list, m)
	}
	c.router.UpdateMembers(kind, list)
	all := slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return n == nil })
	c.everyNode.Store(&all)
}

// Now, Submit and the rest are the splitter's Host.
func (c *core) Now() float64 { return c.now }

func (c *core) Submit(txn, node int, until float64, then func(splitter.Result)) {
	h := c.txns[txn]
	c.counters.submitted.Add(1)
	j := &job{st: &h.st, sent: c.now, until: until}
	if h.class != nil {
		j.longest, j.pins = int(c.classes.longest.Load()), h.class.Pins
	}
	j.done = func(res splitter.Result, answer []byte) {
		c.tell(func() { c.landed(h, res, answer, then) })
	}
	h.job = j
	n := c.nodes[node]
	j.node = n
	if c.gossip != nil {
		c.gossip.transport.Started(n.uid, j.sent)
	}
	if c.peerState != nil {
		c.peerState.table.RecordStart(node, c.now)
		c.tell(c.peerState.act)
	}
	n.tell(func() { n.start(j) })
	if plant == "resends" {
		twin := &job{st: j.st, sent: j.sent, until: j.until, longest: j.longest, pins: j.pins, node: n}
		twin.done = func(splitter.Result, []byte) {}
		n.tell(func() { n.start(twin) })
	}
}

func (c *core) Cancel(txn int) {
	if h := c.txns[txn]; h != nil && h.job != nil {
		j := h.job
		j.moot.Store(true)
		j.node.tell(func() { j.node.cancel(j) })
	}
}

func (c *core) Decline(txn int, pause float64) {
	c.counters.declined.Add(1)
	ms := ""
	if pause > 0 {
		ms = strconv.Itoa(int(math.Round(pause * 1000)))
	}
	c.finish(c.txns[txn], pgwire.AppendError(nil, "ERROR", "53300", "declined, trying again is harmless", ms))
}

func (c *core) RollBack(txn int) {
	c.counters.rolledBack.Add(1)
	c.finish(c.txns[txn], pgwire.AppendError(nil, "ERROR", "08007", "rolled back, its effect is not known", ""))
}

func (c *core) RequestPeerProbes(group int) {
	if c.peerState != nil {
		c.peerState.table.AwaitPrimary(group, c.now)
		c.tell(c.peerState.act)
	}
}

func (c *core) Count(what splitter.Counter, why splitter.Cause) { c.counters.causes[what][why].Add(1) }

func (c *core) Probe(node int, why splitter.Cause, then func(splitter.Report)) {
	c.counters.probed[why].Add(1)
	j := &job{sent: c.now, until: c.now + c.terms.Splitter.ConnectTimeout, why: why}
	n := c.nodes[node]
	j.done = func(res splitter.Result, _ []byte) {
		c.tell(func() {
			if c.gossip != nil {
				c.gossip.transport.Observe(n.uid, res.OK, true, j.sent)
			}
			if c.peerState != nil {
				c.peerState.saw(n, res.Report)
			}
			then(res.Report)
		})
	}
	j.node = n
	n.tell(func() { n.start(j) })
}

func (c *core) After(at float64, then func()) {
	c.armed++
	heap.Push(&c.timers, timer{at, c.armed, then})
}

func (c *core) CloseIdle(node int) {
	n := c.nodes[node]
	n.tell(n.closeIdle)
}

func (c *core) Forget(node int) {
	n := c.nodes[node]
	c.nodes[node] = nil
	c.spare = append(c.spare, node)
	delete(c.byUID, n.uid)
	if c.gossip != nil {
		c.gossip.transport.RemoveServer(n.uid)
	}
	if c.peerState != nil {
		c.peerState.table.RemoveNode(node)
	}
	if c.zones != nil {
		c.zones.book.Forget(node)
	}
	n.tell(n.retire)
}

// closeAllIdle frees sockets for a connection that finds none left.
func (c *core) closeAllIdle() {
	for _, n := range *c.everyNode.Load() {
		n.tell(n.closeIdle)
	}
}

func (c *core) Watch() { c.list.ask() }

func (c *core) Note(text string) { c.log.Info(text) }

// timer is a closure due at a time; of two due at once the one set first runs first.
type timer struct {
	at   float64
	set  int
	then func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].set < t[j].set
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}
