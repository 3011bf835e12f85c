package fleet

// This file owns a router's side: the host of its module and books. It must never decide anything for them.

import (
	"math"

	"eiderway/model"
	"eiderway/peerstate"
	"eiderway/splitter"
	"eiderway/zone"
)

// router is a Host.
type router struct {
	f         *Fleet
	me        int
	split     *splitter.Router
	peerState *peerstate.Table
	zones     *zone.Monitor
	open      map[int]bool
	txns      map[int]*txn
	next      int
	armed     float64
	life      int
	dead      bool
	alone     bool    // no datagram comes or goes
	still     float64 // it does nothing until then
}

type txn struct {
	id           string
	arrived, sla float64
	typ, group   int
	key          int
	over         bool
	out          bool
	cancel       func()
}

// home is its zone.
func (r *router) home() string { return zones[r.me%len(zones)] }

// at has something happen in this router then, or when it goes on after it stood still; never, if it is dead by then.
func (r *router) at(t float64, do func()) { r.f.At(t, func() { r.now(do) }) }

func (r *router) now(do func()) {
	switch {
	case r.dead:
	case r.f.now < r.still:
		r.f.At(r.still, func() { r.now(do) })
	default:
		do()
	}
}

const (
	connectIn = 0.25 // s
	onceOnly  = 2    // a txn type: a second run would be seen
	window    = 2.0  // s for which a group drops repeats of a referenced txn
)

func newRouter(f *Fleet, me, of int, seed int64) *router {
	r := &router{f: f, me: me, open: map[int]bool{}, txns: map[int]*txn{}, armed: math.Inf(1)}
	r.peerState = peerstate.New(peerstate.Config{Self: me, Routers: of, Seed: seed + int64(me), Bound: bound})
	t := zone.Config{Me: me, Routers: of, Zone: zones[me%len(zones)], Life: uint32(f.set)<<12 + uint32(me) + 1}
	if f.way.Numbers {
		t.Every = stepsEvery
	}
	r.zones = zone.New(t)
	r.split = splitter.New(splitter.Terms{Seed: seed + int64(me), Self: me, Routers: of, Zone: me % len(zones), CanProbe: true, ProbeRoles: true, CanCancel: true,
		MaxSubmissions: 8, MaxPause: 1, ConnectTimeout: connectIn, ColdFrom: 0.2, WarmAfter: 16, Overload: 2.5, OverloadOutage: 1.5,
		Types: []splitter.TxnType{{Need: splitter.NeedBounded, Bound: bound, SLA: 0.4, Value: 1},
			{Need: splitter.NeedPrimary, Effect: splitter.Referenced, Window: window, SLA: 1, Value: 6, LateValue: 0.5},
			{Need: splitter.NeedPrimary, Effect: splitter.OnceOnly, SLA: 1, Value: 6, LateValue: 0.5}}}, r)
	r.split.UpdateMembers(splitter.ListAll, f.list())
	for id, s := range f.servers {
		r.names(id, s)
	}
	return r
}

// names tells the books of a node.
func (r *router) names(id int, s *server) {
	r.peerState.AddNode(id, s.name, s.group)
	r.zones.Node(id, s.name, zones[s.zone], s.group)
}

func (r *router) Now() float64               { return r.f.now }
func (r *router) After(at float64, f func()) { r.at(at, f) }
func (r *router) CloseIdle(int)              {}
func (r *router) Cancel(id int) {
	if t := r.txns[id]; t != nil && t.cancel != nil {
		r.at(r.f.now+0.001, t.cancel)
	}
}
func (r *router) Forget(int)  {}
func (r *router) Watch()      {}
func (r *router) Note(string) {}
func (r *router) RequestPeerProbes(g int) {
	if r.f.way.Talk {
		r.peerState.AwaitPrimary(g, r.f.now)
		r.at(r.f.now, r.act)
	}
}
func (r *router) Count(what splitter.Counter, why splitter.Cause) {
	if what == splitter.Held && r.f.counts() {
		r.f.held++
	}
}
func (r *router) Decline(id int, _ float64) {
	r.ends(r.txns[id], "53300", "")
	if r.f.counts() {
		r.f.declined++
	}
}
func (r *router) RollBack(id int) { r.ends(r.txns[id], "08007", "") }

// ends is a txn's final answer.
func (r *router) ends(t *txn, code, body string) {
	if w := r.f.world; w != nil {
		w.answered(r, t, code, body)
		if t.over = true; r.f.plant == "answers twice" && t.typ == onceOnly {
			w.answered(r, t, code, body)
		}
	}
	t.over = true
}

func (r *router) connect(node int) (anew bool) {
	if r.open[node] {
		return false
	}
	r.open[node] = true
	if r.f.counts() {
		r.f.shakes++
	}
	return true
}

func (r *router) Submit(id, node int, until float64, then func(splitter.Result)) {
	f, s, t, sent := r.f, r.f.servers[node], r.txns[id], r.f.now
	if w := f.world; w != nil {
		w.submitted(r, t)
	}
	t.out = true
	if f.way.Talk {
		r.peerState.RecordStart(node, sent)
		r.at(sent, r.act)
	}
	if node == 2 {
		f.lastAtHung = sent
	}
	settled, body, stop := false, "", func() {}
	land := func(o splitter.Outcome, rep splitter.Report) {
		if settled {
			return
		}
		settled, t.out, t.cancel = true, false, nil
		stop() // the connection is closed, or has its answer
		res := splitter.Result{Outcome: o, Latency: f.now - sent, Report: rep}
		if o == splitter.Broken || o == splitter.NoConn {
			r.open[node] = false
		}
		if o == splitter.Committed {
			if f.counts() {
				s.served++
				if !t.over && t.arrived >= f.from && f.now-t.arrived <= t.sla {
					f.good++
				}
			}
			if res.Ended = true; !t.over {
				r.ends(t, "", body)
			}
		}
		if f.way.Talk {
			r.peerState.RecordFinish(node, rep.Pos, rep.Role == splitter.RolePrimary, f.now)
		}
		if f.way.Zones {
			r.zones.RecordOutcome(node, t.typ, o == splitter.Committed, res.Latency, f.now)
		}
		r.act()
		then(res)
	}
	none := splitter.Report{Load: -1}
	t.cancel = func() { land(splitter.Cancelled, none) }
	r.at(until, func() { land(splitter.TimedOut, none) })
	if f.cut[r.home()+">"+zones[s.zone]+" nodes"] {
		if r.connect(node) {
			r.at(min(until, f.now+connectIn), func() { land(splitter.NoConn, none) })
		}
		return
	}
	do := func() bool { return true }
	if w := f.world; w != nil {
		do = func() bool { return w.ran(s, t, &body) }
	}
	if f.plant == "resends" && t.typ == onceOnly {
		s.Run(false, do, func(model.Answer) {})
	}
	stop = s.Run(r.connect(node), do, func(a model.Answer) {
		r.at(f.now+0.001, func() {
			land([]splitter.Outcome{splitter.Committed, splitter.Failed, splitter.Broken, splitter.NoConn, splitter.Missed}[a.Outcome], r.report(a))
		})
	})
}

// report is what a node told of itself.
func (r *router) report(a model.Answer) splitter.Report {
	if a.Outcome != model.Done {
		return splitter.Report{Load: -1}
	}
	rep := splitter.Report{OK: true, Role: splitter.RoleReplica, Pos: a.Pos, Load: -1}
	if a.Primary {
		rep.Role = splitter.RolePrimary
	}
	if r.f.plant == "stale" {
		rep.Pos = r.f.now
	}
	return rep
}

func (r *router) Probe(node int, _ splitter.Cause, then func(splitter.Report)) {
	f, s := r.f, r.f.servers[node]
	if f.counts() {
		f.probes++
	}
	wait := 0.001
	if r.connect(node) {
		wait += ordinary.Handshake
	}
	r.at(f.now+wait, func() {
		a, ok := s.Probe()
		if !ok || f.cut[r.home()+">"+zones[s.zone]+" nodes"] {
			r.open[node] = false
			r.at(f.now+unanswered, func() { then(splitter.Report{Load: -1}) })
			return
		}
		rep := r.report(a)
		rep.Pos -= 0.1 * f.rng.Float64() // reports are refreshed now and then
		if f.way.Talk {
			r.peerState.Observe(node, rep.Pos, a.Primary, f.now)
			r.act()
		}
		then(rep)
	})
}

// send has a datagram go its way: 1 to 40 ms, and one in fifty is lost.
func (r *router) send(to int, b []byte, take func(peer *router)) {
	f := r.f
	for _, peer := range f.routers {
		if peer == r || to != peerstate.All && to != peer.me {
			continue
		}
		if f.counts() {
			f.words++
			f.bytes += float64(len(b))
		}
		if f.reaches(r, peer) {
			f.flies(peer, func(peer *router) {
				take(peer)
				peer.act()
			})
		}
	}
}

// act does what the books ask for.
func (r *router) act() {
	f := r.f
	for {
		e, z := r.peerState.Effects(), r.zones.Effects()
		if len(e.Sends)+len(e.Probes)+len(e.Updates)+len(z.Sends)+len(z.Looks)+len(z.Doubts) == 0 && z.Word == "" {
			break
		}
		for _, s := range e.Sends {
			r.send(s.To, s.Bytes, func(peer *router) { peer.peerState.Receive(r.me, s.Bytes, f.now) })
		}
		for _, s := range z.Sends {
			r.send(s.To, s.Bytes, func(peer *router) { peer.zones.Receive(r.me, s.Bytes, f.now) })
		}
		for _, update := range e.Updates {
			words := make([]splitter.PeerReport, len(update.Nodes))
			for i, w := range update.Nodes {
				words[i] = splitter.PeerReport(w)
				words[i].Primary = w.Primary && f.way.Primes
				if !f.way.Loads {
					words[i].Load = 0
				}
			}
			r.split.ApplyPeerReports(update.Group, update.Until, update.Heard, words)
		}
		for _, d := range z.Doubts {
			r.split.Doubt(d.Node, d.Until)
		}
		for _, n := range append(e.Probes, z.Looks...) {
			r.split.ProbeMember(n, splitter.ForAll)
		}
		if z.Word != "" {
			f.word = z.Word
			f.speak(r)
		}
	}
	if next := min(r.peerState.Next(), r.zones.Next()); next < r.armed {
		r.armed = next
		r.at(next, func() {
			r.armed = math.Inf(1)
			if r.peerState.Next() <= f.now {
				r.peerState.Step(f.now)
			}
			if r.zones.Next() <= f.now {
				r.zones.Step(f.now)
			}
			r.act()
		})
	}
}

func (r *router) arrive(group, typ int) {
	f := r.f
	if f.counts() {
		f.txns++
	}
	id := r.next
	r.next++
	t := &txn{arrived: f.now, typ: typ, group: group, sla: []float64{0.4, 1, 1}[typ]}
	if w := f.world; w != nil {
		w.sent(r, t, id)
	}
	r.now(func() { r.takes(id, t) })
}

// takes a txn in; its client has waited for as long as the router stood still.
func (r *router) takes(id int, t *txn) {
	f, group, typ := r.f, t.group, t.typ
	r.txns[id] = t
	if f.way.Talk {
		r.peerState.RecordArrival(group, typ > 0, f.now)
		r.act()
	}
	r.split.Arrive(splitter.Txn{ID: id, Group: group, Type: typ, Deadline: f.now + 3*t.sla})
}
