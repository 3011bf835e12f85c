package simwire

import (
	"encoding/json"
	"fmt"
	"math"
	"runtime/debug"

	"eiderway/splitter"
	"eiderway/terms"
)

// transaction is a transaction that the router is handling, or one with submissions that have not ended.
type transaction struct {
	id         string
	slot       int
	tries      int
	pending    map[int]func(splitter.Result)
	isFinished bool
}

// host runs one router and maps the names on the wire to the router's numbers.
type host struct {
	s      *server
	name   string
	router *splitter.Router
	terms  *terms.Terms

	byName       map[string]*transaction // by name on the wire; an entry goes once it is finished and its last submission has ended
	transactions []*transaction
	freeSlots    []int
	nodeIndices  map[string]int
	nodeNames    []string
	freeIndices  []int // indices of forgotten nodes, for reuse
	probes       map[int][]func(splitter.Report)
	timers       map[int]func()
	lastMark     int
}

func newHost(s *server, name string) *host {
	return &host{s: s, name: name, byName: map[string]*transaction{}, nodeIndices: map[string]int{},
		probes: map[int][]func(splitter.Report){},
		timers: map[int]func(){}}
}

// action holds the fields of all kinds of actions; fields that are not set are left out on the wire.
type action struct {
	Router string   `json:"router"`
	Txn    string   `json:"txn,omitempty"`
	Node   string   `json:"node,omitempty"`
	CutAt  float64  `json:"cutAt,omitempty"`
	Try    *int     `json:"try,omitempty"`
	Pause  float64  `json:"pause,omitempty"`
	At     *float64 `json:"at,omitempty"`
	Mark   int      `json:"mark,omitempty"`
	On     bool     `json:"on,omitempty"`
	Reason string   `json:"reasonText,omitempty"`
}

func (h *host) writeAction(kind string, a action) {
	a.Router = h.name
	b, err := json.Marshal(&a)
	if err != nil {
		panic(err)
	}
	h.s.out.WriteString(`{"` + kind + `":`)
	h.s.out.Write(b)
	h.s.out.WriteString("},")
}

func (h *host) start(ev *event) (err error) {
	if h.terms, err = terms.Decode(ev.Facts, ev.RandomSeed); err != nil {
		return err
	}
	h.router = splitter.New(h.terms.Splitter, h)
	return nil
}

func (h *host) nodeIndex(name string) int {
	n, ok := h.nodeIndices[name]
	if ok {
		return n
	}
	if k := len(h.freeIndices); k > 0 {
		n, h.freeIndices = h.freeIndices[k-1], h.freeIndices[:k-1]
		h.nodeNames[n] = name
	} else {
		n = len(h.nodeNames)
		h.nodeNames = append(h.nodeNames, name)
	}
	h.nodeIndices[name] = n
	return n
}

// dispatch passes an event to its handler and reports a panic in the router's logic on the wire.
func (h *host) dispatch(ev *event, handle func(*host, *event)) {
	defer func() {
		if p := recover(); p != nil {
			h.writeAction("fault", action{Reason: fmt.Sprintf("%v: %s", p, debug.Stack())})
		}
	}()
	handle(h, ev)
}

func (h *host) fireTimer(ev *event) {
	if then := h.timers[ev.Mark]; then != nil {
		delete(h.timers, ev.Mark)
		then()
	}
}

func (h *host) handleProbeResult(ev *event) {
	n, ok := h.nodeIndices[ev.Node]
	if q := h.probes[n]; ok && len(q) > 0 {
		h.probes[n] = q[1:]
		r := h.report(ev.Usage)
		r.OK = ev.Reason == 0
		q[0](r)
	}
}

func (h *host) handleAnswerStart(ev *event) {
	if t := h.byName[ev.Txn]; t != nil && !t.isFinished {
		h.router.AnswerStarted(t.slot)
	}
}

func (h *host) handleClientGone(ev *event) {
	if t := h.byName[ev.Txn]; t != nil && !t.isFinished {
		h.router.ClientGone(t.slot)
		h.finish(t)
	}
}

var listKinds = map[string]splitter.ListKind{"changes": splitter.ListChanges, "all": splitter.ListAll,
	"remembered": splitter.ListRemembered}

var states = map[string]splitter.State{"on": splitter.On, "fading": splitter.Draining}

func (h *host) handleMembers(ev *event) {
	kind, ok := listKinds[ev.Kind]
	if !ok {
		h.router.UpdateMembers(splitter.ListRefused, nil)
		return
	}
	lines := h.s.lists[ev.List]
	list := make([]splitter.Member, 0, len(lines))
	for _, e := range lines {
		if e.Node == "" {
			continue
		}
		state, isListed := states[e.Lifecycle]
		if _, isKnown := h.nodeIndices[e.Node]; !isKnown && !isListed {
			continue
		}
		m := splitter.Member{Node: h.nodeIndex(e.Node), Name: e.Node, Group: -1, Zone: h.terms.Zone(e.Site),
			State: splitter.Gone, Primary: e.Head == 1, StartedAt: e.Born / 1000}
		if isListed {
			m.State = state
		}
		if e.Set != nil {
			m.Group = *e.Set
		}
		list = append(list, m)
	}
	h.router.UpdateMembers(kind, list)
}

func (h *host) handleArrival(ev *event) {
	t := &transaction{id: ev.Txn, pending: map[int]func(splitter.Result){}}
	if k := len(h.freeSlots); k > 0 {
		t.slot, h.freeSlots = h.freeSlots[k-1], h.freeSlots[:k-1]
		h.transactions[t.slot] = t
	} else {
		t.slot = len(h.transactions)
		h.transactions = append(h.transactions, t)
	}
	h.byName[ev.Txn] = t
	x := splitter.Txn{ID: t.slot, Group: ev.ClusterNo, Deadline: ev.ValidUntil / 1000,
		Session: ev.Sess, IsRetry: ev.Resent}
	x.Type = h.terms.Unnamed
	if k, ok := h.terms.Types[ev.Class]; ok {
		x.Type = k
	}
	if ev.TokenMs != nil && *ev.TokenMs > 0 {
		x.LastWrite = h.s.now - *ev.TokenMs/1000
	}
	h.router.Arrive(x)
}

var outcomes = map[int]splitter.Outcome{0: splitter.Committed, 255: splitter.Failed, 254: splitter.Full,
	253: splitter.TimedOut, 252: splitter.NoConn, 251: splitter.Broken, 250: splitter.Cancelled,
	249: splitter.Unsent, 1: splitter.Missed}

func (h *host) handleAttemptEnd(ev *event) {
	t := h.byName[ev.Txn]
	if t == nil {
		return
	}
	then := t.pending[ev.Try]
	delete(t.pending, ev.Try)
	if then == nil {
		return
	}
	res := splitter.Result{Outcome: outcomes[ev.Reason], Latency: ev.Lag / 1000, Ended: ev.Final || t.isFinished,
		Report: h.report(ev.Usage)}
	switch ev.Reason {
	case 0, 1, 254, 255:
		res.Role = splitter.RoleUnknown
		if role := ev.Stamp % 4; role == 1 || role == 2 {
			res.Role = splitter.Role(role)
		}
		res.Pos = 0
		if ev.Stamp >= 4 {
			res.Pos = h.terms.Zero + float64(ev.Stamp/4)/1000
		}
	}
	if ev.Final {
		h.finish(t)
	}
	then(res)
	h.release(t)
}

func (h *host) report(usage map[string]*float64) splitter.Report {
	r := splitter.Report{Load: -1}
	for name, v := range usage {
		if v == nil || math.IsNaN(*v) {
			continue
		}
		switch name {
		case "x0":
			r.Pos = h.terms.Zero + *v
		case "x1":
			r.Role = splitter.RoleReplica
			if *v == 1 {
				r.Role = splitter.RolePrimary
			}
		case "active":
			r.Load = *v
		}
	}
	return r
}

func (h *host) finish(t *transaction) {
	t.isFinished = true
	h.release(t)
}

func (h *host) release(t *transaction) {
	if t.isFinished && len(t.pending) == 0 && h.transactions[t.slot] == t {
		h.transactions[t.slot] = nil
		h.freeSlots = append(h.freeSlots, t.slot)
		delete(h.byName, t.id)
	}
}

// Now and the methods below implement splitter.Host.
func (h *host) Now() float64 { return h.s.now }

func (h *host) Submit(txn, node int, until float64, then func(splitter.Result)) {
	t := h.transactions[txn]
	t.pending[t.tries] = then
	t.tries++
	h.writeAction("send", action{Txn: t.id, Node: h.nodeNames[node], CutAt: until * 1000})
}

func (h *host) Cancel(txn int) {
	if t := h.transactions[txn]; t != nil && t.tries > 0 {
		try := t.tries - 1
		h.writeAction("abortAttempt", action{Txn: t.id, Try: &try})
	}
}

func (h *host) Decline(txn int, pause float64) {
	t := h.transactions[txn]
	h.writeAction("shed", action{Txn: t.id, Pause: math.Round(pause * 1000)})
	h.finish(t)
}

func (h *host) RollBack(txn int) {
	t := h.transactions[txn]
	h.writeAction("abort", action{Txn: t.id})
	h.finish(t)
}

func (h *host) RequestPeerProbes(int) {}

func (h *host) Count(splitter.Counter, splitter.Cause) {}

func (h *host) Probe(node int, _ splitter.Cause, then func(splitter.Report)) {
	h.probes[node] = append(h.probes[node], then)
	h.writeAction("poll", action{Node: h.nodeNames[node]})
}

func (h *host) After(at float64, then func()) {
	h.lastMark++
	h.timers[h.lastMark] = then
	at *= 1000
	h.writeAction("after", action{At: &at, Mark: h.lastMark})
}

func (h *host) CloseIdle(node int) { h.writeAction("closeIdle", action{Node: h.nodeNames[node]}) }

func (h *host) Forget(node int) {
	delete(h.nodeIndices, h.nodeNames[node])
	delete(h.probes, node)
	h.freeIndices = append(h.freeIndices, node)
}

func (h *host) Watch() { h.writeAction("tail", action{On: true}) }

func (h *host) Note(text string) { h.writeAction("noteDown", action{Reason: text}) }
