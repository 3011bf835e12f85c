package fleet

// This file injects the faults of a play and records its history: what clients sent and were told, and what nodes ran. It never
// reads the state of a router. Package trial/judge, which shares no code with the routers, finds the violations in the history.

import (
	"cmp"
	"fmt"
	"slices"
	"sort"

	"eiderway/model"
	"eiderway/splitter"
	"eiderway/trial/judge"
)

// Fault is an injected fault. Node and Router are numbers, Zone is a name; which of them applies depends on What.
type Fault struct {
	At     float64 `yaml:"at"`  // s from the start of the play
	For    float64 `yaml:"for"` // s until it ends; 0: it does not end
	What   string  `yaml:"what"`
	Node   int     `yaml:"node,omitempty"`
	Router int     `yaml:"router,omitempty"`
	Zone   string  `yaml:"zone,omitempty"`
	To     string  `yaml:"to,omitempty"`    // the other zone of a cut
	Share  float64 `yaml:"share,omitempty"` // of statements, answers or datagrams
}

// FaultKinds lists the kinds of faults: of a node (hang, fail, lose, slow, stand, crash, drain, replace, promote), of all nodes
// of a zone (zone-hang, zone-fail, zone-lose, zone-slow, zone-stand, zone-crash), of the network from a zone to the routers or
// nodes of another (cut-peers, cut-nodes), of datagrams (loss), of a router (freeze, kill, alone), and a change of the router
// that numbers the steps (holder).
var FaultKinds = []string{"hang", "fail", "lose", "slow", "stand", "crash", "drain", "replace", "promote", "zone-hang", "zone-fail", "zone-lose", "zone-slow",
	"zone-stand", "zone-crash", "cut-peers", "cut-nodes", "loss", "freeze", "kill", "alone", "holder"}

const (
	keys         = 6   // rows of a group
	maxListDelay = 0.3 // s, the longest time until a router has a new list
	restartDelay = 0.5 // s until a killed router is back, unless the fault says otherwise
)

// Zones are the names that faults may use; InitialNodes is how many nodes there are at the start.
var (
	Zones        = zones
	InitialNodes = groups * (replicas + 1)
)

type row struct {
	at   float64
	body int
}

// recorder keeps the rows of all groups and records what clients and nodes saw. It notes a violation when a txn has two
// submissions in flight, or a submission or an answer after its final answer.
type recorder struct {
	f            *Fleet
	history      []judge.Event
	violations   []string
	rows         map[[2]int][]row // by group and key, in order
	recentWrites map[string]row   // of referenced txns, to drop repeats within repeatWindow
	done         map[string]bool  // effects of txns, to detect a second one
	token        uint64
	lives        int
}

func newRecorder(f *Fleet) *recorder {
	return &recorder{f: f, rows: map[[2]int][]row{}, recentWrites: map[string]row{}, done: map[string]bool{}, token: 1}
}

func (rec *recorder) record(e judge.Event) {
	e.T = rec.f.now - startTime
	rec.history = append(rec.history, e)
}

// sent records that a client sends a txn, and draws its key.
func (rec *recorder) sent(r *router, t *txn, id int) {
	t.id, t.key = fmt.Sprintf("r%d.%d.%d", r.me, r.life, id), rec.f.rng.Intn(keys)
	e := judge.Event{Kind: "send", Router: r.me, Txn: t.id, Type: "look", Key: fmt.Sprintf("%d/%d", t.group, t.key), Wait: 3 * t.sla, Bound: stalenessBound}
	if t.typ > 0 {
		e.Type, e.Bound = "pay", 0
	}
	rec.record(e)
}

// answered records an answer to a client.
func (rec *recorder) answered(r *router, t *txn, code, body string) {
	if t.isAnswered {
		rec.violations = append(rec.violations, t.id+" has a second final answer")
	}
	rec.record(judge.Event{Kind: "answer", Router: r.me, Txn: t.id, Code: code, Body: body})
}

// submitted checks that a router may submit a txn to a node now.
func (rec *recorder) submitted(r *router, t *txn) {
	if t.isAnswered {
		rec.violations = append(rec.violations, t.id+" is submitted after its final answer")
	}
	if t.isSubmitted {
		rec.violations = append(rec.violations, t.id+" has two submissions out")
	}
}

// execute runs a statement at a node; it returns false if the node rejects it. A group drops repeats of referenced txns for a
// window.
func (rec *recorder) execute(s *server, t *txn, body *string) bool {
	at := [2]int{t.group, t.key}
	if t.typ == 0 {
		a, _ := s.Probe()
		all := rec.rows[at]
		if i := sort.Search(len(all), func(i int) bool { return all[i].at > a.Pos }); i > 0 {
			*body = fmt.Sprint(all[i-1].body)
		} else {
			*body = "0"
		}
		rec.record(judge.Event{Kind: "ran", Router: -1, Txn: t.id, Type: "look", Key: fmt.Sprintf("%d/%d", t.group, t.key), Node: s.name})
		return true
	}
	if !s.Primary {
		return false
	}
	if m, ok := rec.recentWrites[t.id]; ok && rec.f.now < m.at+repeatWindow {
		*body = fmt.Sprint(m.body)
		return true
	}
	x := row{rec.f.now, 1}
	if all := rec.rows[at]; len(all) > 0 {
		x.body = all[len(all)-1].body + 1
	}
	rec.rows[at] = append(rec.rows[at], x)
	if *body = fmt.Sprint(x.body); t.typ != onceOnly {
		rec.recentWrites[t.id] = x
	}
	rec.record(judge.Event{Kind: "ran", Router: -1, Txn: t.id, Type: "pay", Key: fmt.Sprintf("%d/%d", t.group, t.key), Node: s.name, Body: *body, Primary: true})
	return true
}

// History returns the recorded events.
func (f *Fleet) History() []judge.Event { return f.recorder.history }

// Violations returns the violations that the judge finds in the history, and those that the simulation saw itself.
func (f *Fleet) Violations() (out []judge.Finding) {
	for _, why := range f.recorder.violations {
		out = append(out, judge.Finding{Rule: "one submission, one answer", Why: why})
	}
	history := append(slices.Clone(f.recorder.history), judge.Event{T: f.now - startTime, Kind: "late"})
	return append(out, judge.Judge(history).Wrong...)
}

// ServedShare returns the share of txns that were answered without an error.
func (f *Fleet) ServedShare() float64 {
	sent, served := 0, 0
	for _, e := range f.recorder.history {
		switch {
		case e.Kind == "send":
			sent++
		case e.Kind == "answer" && e.Code == "":
			served++
		}
	}
	return float64(served) / float64(max(1, sent))
}

// scheduleFaults schedules faults at their times.
func (f *Fleet) scheduleFaults(faults []Fault) {
	for _, x := range faults {
		f.At(startTime+x.At, func() { f.injectFault(x) })
	}
}

// announceMembers sends the current list of discovery to all routers, each after a random delay.
func (f *Fleet) announceMembers() {
	list := f.list()
	for me := range f.routers {
		f.At(f.now+maxListDelay*f.rng.Float64(), func() {
			r := f.routers[me]
			r.runWhenActive(func() {
				for id, s := range f.servers {
					if !s.isGone {
						r.addNode(id, s)
					}
				}
				r.split.UpdateMembers(splitter.ListAll, list)
			})
		})
	}
}

// injectFault starts a fault, and schedules its end if it has one.
func (f *Fleet) injectFault(x Fault) {
	rec := f.recorder
	node := f.servers[x.Node%len(f.servers)]
	impairments := map[string]model.Impairment{"hang": {Hangs: true}, "fail": {ErrorShare: cmp.Or(x.Share, 1)}, "lose": {LostAnswerShare: cmp.Or(x.Share, 0.5)},
		"slow": {ExtraLatency: 0.3}, "stand": {ReplicationStalled: true}}
	all := []*server{node}
	what := x.What
	if len(what) > 5 && what[:5] == "zone-" {
		what, all = what[5:], nil
		for _, s := range f.servers {
			if zones[s.zone] == x.Zone {
				all = append(all, s)
			}
		}
	}
	heal := func(do func()) {
		if x.For > 0 {
			f.At(f.now+x.For, do)
		}
	}
	rec.record(judge.Event{Kind: "fault", Router: -1, What: x.What, Node: node.name, Promote: what == "promote"})
	switch what {
	case "hang", "fail", "lose", "slow", "stand":
		for _, s := range all {
			s.SetImpairment(impairments[what])
			heal(func() { s.SetImpairment(model.Impairment{}) })
		}
	case "crash":
		for _, s := range all {
			s.Crash(cmp.Or(x.For, 1))
		}
	case "drain":
		node.state = splitter.Draining
		rec.record(judge.Event{Kind: "told", Router: -1, Node: node.name, What: "Terminating"})
		f.announceMembers()
	case "replace":
		if !node.Primary && !node.isGone {
			node.isGone = true
			rec.record(judge.Event{Kind: "told", Router: -1, Node: node.name, What: "Gone"})
			f.add(node.name+"'", node.group, node.zone, fragileNode)
			f.servers[len(f.servers)-1].Restart()
			f.announceMembers()
		}
	case "promote":
		for _, s := range f.servers {
			if s.group == node.group && s != node && !node.isGone && node.state == splitter.On {
				s.SetPrimary(false)
			}
		}
		node.SetPrimary(node.Primary || !node.isGone && node.state == splitter.On)
	case "cut-peers", "cut-nodes":
		way := x.Zone + ">" + x.To
		if what == "cut-nodes" {
			way += " nodes"
		}
		f.cut[way] = true
		heal(func() { delete(f.cut, way) })
	case "loss":
		f.loss = x.Share
		heal(func() { f.loss = defaultLoss })
	case "holder":
		rec.token++
		if f.way.Numbers {
			f.setHolder(x.Router%len(f.routers), rec.token)
		}
	default:
		f.injectRouterFault(x, heal)
	}
}

// injectRouterFault starts a fault of a router.
func (f *Fleet) injectRouterFault(x Fault, heal func(func())) {
	rec, me := f.recorder, x.Router%len(f.routers)
	r := f.routers[me]
	switch x.What {
	case "alone":
		r.isIsolated = true
		heal(func() { r.isIsolated = false })
	case "freeze":
		r.frozenUntil = f.now + cmp.Or(x.For, 1)
		rec.record(judge.Event{Kind: "fault", Router: me, What: "freeze", Until: r.frozenUntil - f.now})
	case "kill":
		r.isKilled = true
		rec.record(judge.Event{Kind: "end", Router: me, Life: r.life + 1, Until: cmp.Or(x.For, restartDelay)})
		f.At(f.now+cmp.Or(x.For, restartDelay), func() {
			if f.routers[me] != r {
				return
			}
			rec.lives++
			f.routers[me] = newRouter(f, me, len(f.routers), f.rng.Int63())
			f.routers[me].life = rec.lives
			rec.record(judge.Event{Kind: "start", Router: me, Life: rec.lives + 1})
		})
	}
}

// SentCount returns how many txns clients sent.
func (f *Fleet) SentCount() (n int) {
	for _, e := range f.recorder.history {
		if e.Kind == "send" {
			n++
		}
	}
	return n
}
