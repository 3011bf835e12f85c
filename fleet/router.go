package fleet

// This file holds the host of a router: it connects the splitter and its tables to the simulation and decides nothing for them.

import (
	"math"

	"eiderway/model"
	"eiderway/peerstate"
	"eiderway/splitter"
	"eiderway/zone"
)

// router is a simulated router. It implements splitter.Host.
type router struct {
	f           *Fleet
	me          int
	split       *splitter.Router
	peerState   *peerstate.Table
	zones       *zone.Monitor
	isConnected map[int]bool
	txns        map[int]*txn
	next        int
	armed       float64 // time of the scheduled step; +Inf: none
	life        int     // number of restarts over all routers, as of its own start
	isKilled    bool
	isIsolated  bool    // no datagram reaches or leaves it
	frozenUntil float64 // does nothing until then
}

type txn struct {
	id           string
	arrived, sla float64
	typ, group   int
	key          int
	isAnswered   bool
	isSubmitted  bool
	cancel       func()
}

// home returns the zone of the router.
func (r *router) home() string { return zones[r.me%len(zones)] }

// at schedules do in this router: at time t, or when the router is no longer frozen; never if it has been killed by then.
func (r *router) at(t float64, do func()) { r.f.At(t, func() { r.runWhenActive(do) }) }

// runWhenActive calls do now, or at the end of a freeze; it drops do if the router was killed.
func (r *router) runWhenActive(do func()) {
	switch {
	case r.isKilled:
	case r.f.now < r.frozenUntil:
		r.f.At(r.frozenUntil, func() { r.runWhenActive(do) })
	default:
		do()
	}
}

const (
	connectTimeout = 0.25 // s
	onceOnly       = 2    // a txn type whose second run would have an effect
	repeatWindow   = 2.0  // s during which a group drops repeats of a referenced txn
)

func newRouter(f *Fleet, me, of int, seed int64) *router {
	r := &router{f: f, me: me, isConnected: map[int]bool{}, txns: map[int]*txn{}, armed: math.Inf(1)}
	r.peerState = peerstate.New(peerstate.Config{Self: me, Routers: of, Seed: seed + int64(me), Bound: stalenessBound})
	t := zone.Config{Me: me, Routers: of, Zone: zones[me%len(zones)], Life: uint32(f.sequence)<<12 + uint32(me) + 1}
	if f.way.Numbers {
		t.Every = stepInterval
	}
	r.zones = zone.New(t)
	r.split = splitter.New(splitter.Terms{Seed: seed + int64(me), Self: me, Routers: of, Zone: me % len(zones), CanProbe: true, ProbeRoles: true, CanCancel: true,
		MaxSubmissions: 8, MaxPause: 1, ConnectTimeout: connectTimeout, ColdFrom: 0.2, WarmAfter: 16, Overload: 2.5, OverloadOutage: 1.5,
		Types: []splitter.TxnType{{Need: splitter.NeedBounded, Bound: stalenessBound, SLA: 0.4, Value: 1},
			{Need: splitter.NeedPrimary, Effect: splitter.Referenced, Window: repeatWindow, SLA: 1, Value: 6, LateValue: 0.5},
			{Need: splitter.NeedPrimary, Effect: splitter.OnceOnly, SLA: 1, Value: 6, LateValue: 0.5}}}, r)
	r.split.UpdateMembers(splitter.ListAll, f.list())
	for id, s := range f.servers {
		r.addNode(id, s)
	}
	return r
}

// addNode adds a node to the tables.
func (r *router) addNode(id int, s *server) {
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
		r.at(r.f.now, r.applyEffects)
	}
}
func (r *router) Count(what splitter.Counter, why splitter.Cause) {
	if what == splitter.Held && r.f.isMeasuring() {
		r.f.held++
	}
}
func (r *router) Decline(id int, _ float64) {
	r.finalAnswer(r.txns[id], "53300", "")
	if r.f.isMeasuring() {
		r.f.declined++
	}
}
func (r *router) RollBack(id int) { r.finalAnswer(r.txns[id], "08007", "") }

// finalAnswer records the final answer of a txn.
func (r *router) finalAnswer(t *txn, code, body string) {
	if rec := r.f.recorder; rec != nil {
		rec.answered(r, t, code, body)
		if t.isAnswered = true; r.f.plant == "answers twice" && t.typ == onceOnly {
			rec.answered(r, t, code, body)
		}
	}
	t.isAnswered = true
}

// connect opens a connection to a node unless there is one, and reports whether it is new.
func (r *router) connect(node int) (isNew bool) {
	if r.isConnected[node] {
		return false
	}
	r.isConnected[node] = true
	if r.f.isMeasuring() {
		r.f.handshakes++
	}
	return true
}

func (r *router) Submit(id, node int, until float64, then func(splitter.Result)) {
	f, s, t, sent := r.f, r.f.servers[node], r.txns[id], r.f.now
	if rec := f.recorder; rec != nil {
		rec.submitted(r, t)
	}
	t.isSubmitted = true
	if f.way.Talk {
		r.peerState.RecordStart(node, sent)
		r.at(sent, r.applyEffects)
	}
	if node == 2 {
		f.lastAtHung = sent
	}
	isSettled, body, stop := false, "", func() {}
	settle := func(o splitter.Outcome, rep splitter.Report) {
		if isSettled {
			return
		}
		isSettled, t.isSubmitted, t.cancel = true, false, nil
		stop() // the connection is closed or has returned its answer
		res := splitter.Result{Outcome: o, Latency: f.now - sent, Report: rep}
		if o == splitter.Broken || o == splitter.NoConn {
			r.isConnected[node] = false
		}
		if o == splitter.Committed {
			if f.isMeasuring() {
				s.served++
				if !t.isAnswered && t.arrived >= f.measureFrom && f.now-t.arrived <= t.sla {
					f.inTime++
				}
			}
			if res.Ended = true; !t.isAnswered {
				r.finalAnswer(t, "", body)
			}
		}
		if f.way.Talk {
			r.peerState.RecordFinish(node, rep.Pos, rep.Role == splitter.RolePrimary, f.now)
		}
		if f.way.Zones {
			r.zones.RecordOutcome(node, t.typ, o == splitter.Committed, res.Latency, f.now)
		}
		r.applyEffects()
		then(res)
	}
	none := splitter.Report{Load: -1}
	t.cancel = func() { settle(splitter.Cancelled, none) }
	r.at(until, func() { settle(splitter.TimedOut, none) })
	if f.cut[r.home()+">"+zones[s.zone]+" nodes"] {
		if r.connect(node) {
			r.at(min(until, f.now+connectTimeout), func() { settle(splitter.NoConn, none) })
		}
		return
	}
	do := func() bool { return true }
	if rec := f.recorder; rec != nil {
		do = func() bool { return rec.execute(s, t, &body) }
	}
	if f.plant == "resends" && t.typ == onceOnly {
		s.Run(false, do, func(model.Answer) {})
	}
	stop = s.Run(r.connect(node), do, func(a model.Answer) {
		r.at(f.now+0.001, func() {
			settle([]splitter.Outcome{splitter.Committed, splitter.Failed, splitter.Broken, splitter.NoConn, splitter.Missed}[a.Outcome], r.report(a))
		})
	})
}

// report converts the answer of a node to a splitter report.
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
	if f.isMeasuring() {
		f.probes++
	}
	wait := 0.001
	if r.connect(node) {
		wait += ordinaryNode.Handshake
	}
	r.at(f.now+wait, func() {
		a, ok := s.Probe()
		if !ok || f.cut[r.home()+">"+zones[s.zone]+" nodes"] {
			r.isConnected[node] = false
			r.at(f.now+probeTimeout, func() { then(splitter.Report{Load: -1}) })
			return
		}
		rep := r.report(a)
		rep.Pos -= 0.1 * f.rng.Float64() // nodes refresh their reports only now and then
		if f.way.Talk {
			r.peerState.Observe(node, rep.Pos, a.Primary, f.now)
			r.applyEffects()
		}
		then(rep)
	})
}

// send sends a datagram to one peer or all. By default it takes 1 to 40 ms, and one in fifty is lost.
func (r *router) send(to int, b []byte, take func(peer *router)) {
	f := r.f
	for _, peer := range f.routers {
		if peer == r || to != peerstate.All && to != peer.me {
			continue
		}
		if f.isMeasuring() {
			f.messages++
			f.bytes += float64(len(b))
		}
		if f.reaches(r, peer) {
			f.deliver(peer, func(peer *router) {
				take(peer)
				peer.applyEffects()
			})
		}
	}
}

// applyEffects carries out what the tables ask for, and schedules their next step.
func (r *router) applyEffects() {
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
			f.steps = z.Word
			f.broadcastSteps(r)
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
			r.applyEffects()
		})
	}
}

// arrive creates a txn that a client sends now.
func (r *router) arrive(group, typ int) {
	f := r.f
	if f.isMeasuring() {
		f.txns++
	}
	id := r.next
	r.next++
	t := &txn{arrived: f.now, typ: typ, group: group, sla: []float64{0.4, 1, 1}[typ]}
	if rec := f.recorder; rec != nil {
		rec.sent(r, t, id)
	}
	r.runWhenActive(func() { r.accept(id, t) })
}

// accept passes a txn to the splitter; its client has waited for as long as the router was frozen.
func (r *router) accept(id int, t *txn) {
	f, group, typ := r.f, t.group, t.typ
	r.txns[id] = t
	if f.way.Talk {
		r.peerState.RecordArrival(group, typ > 0, f.now)
		r.applyEffects()
	}
	r.split.Arrive(splitter.Txn{ID: id, Group: group, Type: typ, Deadline: f.now + 3*t.sla})
}
