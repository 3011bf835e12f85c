package simwire

import (
	"encoding/json"
	"fmt"
	"math"
	"runtime/debug"

	"eiderway/splitter"
	"eiderway/terms"
)

// held is a txn the router has taken, or one whose submissions have not all ended.
type held struct {
	id    string
	txn   int
	tries int
	out   map[int]func(splitter.Result)
	over  bool
}

// host is one router with what its wire names stand for.
type host struct {
	s      *server
	name   string
	router *splitter.Router
	terms  *terms.Terms

	txns   map[string]*held // emptied as a txn is over and its last submission ends
	slots  []*held
	free   []int
	nodes  map[string]int
	names  []string
	unused []int // indices of forgotten nodes
	probes map[int][]func(splitter.Report)
	timers map[int]func()
	mark   int
}

func newHost(s *server, name string) *host {
	return &host{s: s, name: name, txns: map[string]*held{}, nodes: map[string]int{},
		probes: map[int][]func(splitter.Report){},
		timers: map[int]func(){}}
}

// action holds the fields of every action; those that are not set stay off the wire.
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

func (h *host) act(kind string, a action) {
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

func (h *host) node(name string) int {
	n, ok := h.nodes[name]
	if ok {
		return n
	}
	if k := len(h.unused); k > 0 {
		n, h.unused = h.unused[k-1], h.unused[:k-1]
		h.names[n] = name
	} else {
		n = len(h.names)
		h.names = append(h.names, name)
	}
	h.nodes[name] = n
	return n
}

// take hands an event to its handler; a panic in the decisions is reported on the wire.
func (h *host) take(ev *event, handle func(*host, *event)) {
	defer func() {
		if p := recover(); p != nil {
			h.act("fault", action{Reason: fmt.Sprintf("%v: %s", p, debug.Stack())})
		}
	}()
	handle(h, ev)
}

func (h *host) ring(ev *event) {
	if then := h.timers[ev.Mark]; then != nil {
		delete(h.timers, ev.Mark)
		then()
	}
}

func (h *host) checked(ev *event) {
	n, ok := h.nodes[ev.Node]
	if q := h.probes[n]; ok && len(q) > 0 {
		h.probes[n] = q[1:]
		r := h.report(ev.Usage)
		r.OK = ev.Reason == 0
		q[0](r)
	}
}

func (h *host) headers(ev *event) {
	if t := h.txns[ev.Txn]; t != nil && !t.over {
		h.router.AnswerStarted(t.txn)
	}
}

func (h *host) gone(ev *event) {
	if t := h.txns[ev.Txn]; t != nil && !t.over {
		h.router.ClientGone(t.txn)
		h.finish(t)
	}
}

var listKinds = map[string]splitter.ListKind{"changes": splitter.ListChanges, "all": splitter.ListAll,
	"remembered": splitter.ListRemembered}

var states = map[string]splitter.State{"on": splitter.On, "fading": splitter.Draining}

func (h *host) members(ev *event) {
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
		state, there := states[e.Lifecycle]
		if _, known := h.nodes[e.Node]; !known && !there {
			continue
		}
		m := splitter.Member{Node: h.node(e.Node), Name: e.Node, Group: -1, Zone: h.terms.Zone(e.Site),
			State: splitter.Gone, Primary: e.Head == 1, StartedAt: e.Born / 1000}
		if there {
			m.State = state
		}
		if e.Set != nil {
			m.Group = *e.Set
		}
		list = append(list, m)
	}
	h.router.UpdateMembers(kind, list)
}

func (h *host) ingress(ev *event) {
	t := &held{id: ev.Txn, out: map[int]func(splitter.Result){}}
	if k := len(h.free); k > 0 {
		t.txn, h.free = h.free[k-1], h.free[:k-1]
		h.slots[t.txn] = t
	} else {
		t.txn = len(h.slots)
		h.slots = append(h.slots, t)
	}
	h.txns[ev.Txn] = t
	x := splitter.Txn{ID: t.txn, Group: ev.ClusterNo, Deadline: ev.ValidUntil / 1000,
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

func (h *host) ended(ev *event) {
	t := h.txns[ev.Txn]
	if t == nil {
		return
	}
	then := t.out[ev.Try]
	delete(t.out, ev.Try)
	if then == nil {
		return
	}
	res := splitter.Result{Outcome: outcomes[ev.Reason], Latency: ev.Lag / 1000, Ended: ev.Final || t.over,
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

func (h *host) finish(t *held) {
	t.over = true
	h.release(t)
}

func (h *host) release(t *held) {
	if t.over && len(t.out) == 0 && h.slots[t.txn] == t {
		h.slots[t.txn] = nil
		h.free = append(h.free, t.txn)
		delete(h.txns, t.id)
	}
}

// Now, Submit and the rest are the splitter's Host.
func (h *host) Now() float64 { return h.s.now }

func (h *host) Submit(txn, node int, until float64, then func(splitter.Result)) {
	t := h.slots[txn]
	t.out[t.tries] = then
	t.tries++
	h.act("send", action{Txn: t.id, Node: h.names[node], CutAt: until * 1000})
}

func (h *host) Cancel(txn int) {
	if t := h.slots[txn]; t != nil && t.tries > 0 {
		try := t.tries - 1
		h.act("abortAttempt", action{Txn: t.id, Try: &try})
	}
}

func (h *host) Decline(txn int, pause float64) {
	t := h.slots[txn]
	h.act("shed", action{Txn: t.id, Pause: math.Round(pause * 1000)})
	h.finish(t)
}

func (h *host) RollBack(txn int) {
	t := h.slots[txn]
	h.act("abort", action{Txn: t.id})
	h.finish(t)
}

func (h *host) RequestPeerProbes(int) {}

func (h *host) Count(splitter.Counter, splitter.Cause) {}

func (h *host) Probe(node int, _ splitter.Cause, then func(splitter.Report)) {
	h.probes[node] = append(h.probes[node], then)
	h.act("poll", action{Node: h.names[node]})
}

func (h *host) After(at float64, then func()) {
	h.mark++
	h.timers[h.mark] = then
	at *= 1000
	h.act("after", action{At: &at, Mark: h.mark})
}

func (h *host) CloseIdle(node int) { h.act("closeIdle", action{Node: h.names[node]}) }

func (h *host) Forget(node int) {
	delete(h.nodes, h.names[node])
	delete(h.probes, node)
	h.unused = append(h.unused, node)
}

func (h *host) Watch() { h.act("tail", action{On: true}) }

func (h *host) Note(text string) { h.act("noteDown", action{Reason: text}) }
