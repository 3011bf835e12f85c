package fleet

// This file owns what breaks in a play and what is written down of it: what clients sent and were told, what nodes ran. It
// must never ask a router what it thinks; package trial/judge, which shares no code with any of this, says what was wrong.

import (
	"cmp"
	"fmt"
	"slices"
	"sort"

	"eiderway/model"
	"eiderway/splitter"
	"eiderway/trial/judge"
)

// Fault is something that breaks. Node and Router are numbers, Zone a name; which of them counts depends on What.
type Fault struct {
	At     float64 `yaml:"at"`  // s from the begin
	For    float64 `yaml:"for"` // s until it heals; 0: it does not
	What   string  `yaml:"what"`
	Node   int     `yaml:"node,omitempty"`
	Router int     `yaml:"router,omitempty"`
	Zone   string  `yaml:"zone,omitempty"`
	To     string  `yaml:"to,omitempty"`    // the other zone of a cut
	Share  float64 `yaml:"share,omitempty"` // of statements, of answers, of datagrams
}

// FaultKinds lists what may break: a node (hang, fail, lose, slow, stand, crash, drain, replace, promote), all nodes of a zone
// (zone-hang, zone-fail, zone-lose, zone-slow, zone-stand, zone-crash), ways from a zone to the routers or nodes of another (cut-peers,
// cut-nodes), datagrams (loss), a router (freeze, kill, alone), who numbers the steps (holder).
var FaultKinds = []string{"hang", "fail", "lose", "slow", "stand", "crash", "drain", "replace", "promote", "zone-hang", "zone-fail", "zone-lose", "zone-slow",
	"zone-stand", "zone-crash", "cut-peers", "cut-nodes", "loss", "freeze", "kill", "alone", "holder"}

const (
	keys     = 6   // rows of a group
	listLate = 0.3 // s until a router has a new list, at most
	upAfter  = 0.5 // s until a killed router is back, where the fault does not say
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

type world struct {
	f       *Fleet
	history []judge.Event
	wrong   []string
	rows    map[[2]int][]row // by group and key, in order
	marks   map[string]row   // of referenced txns, while repeats are dropped
	done    map[string]bool  // effects of txns: to see a second one
	token   uint64
	lives   int
}

func newWorld(f *Fleet) *world {
	return &world{f: f, rows: map[[2]int][]row{}, marks: map[string]row{}, done: map[string]bool{}, token: 1}
}

func (w *world) note(e judge.Event) {
	e.T = w.f.now - start
	w.history = append(w.history, e)
}

func (w *world) sent(r *router, t *txn, id int) {
	t.id, t.key = fmt.Sprintf("r%d.%d.%d", r.me, r.life, id), w.f.rng.Intn(keys)
	e := judge.Event{Kind: "send", Router: r.me, Txn: t.id, Type: "look", Key: fmt.Sprintf("%d/%d", t.group, t.key), Wait: 3 * t.sla, Bound: bound}
	if t.typ > 0 {
		e.Type, e.Bound = "pay", 0
	}
	w.note(e)
}

func (w *world) answered(r *router, t *txn, code, body string) {
	if t.over {
		w.wrong = append(w.wrong, t.id+" has a second final answer")
	}
	w.note(judge.Event{Kind: "answer", Router: r.me, Txn: t.id, Code: code, Body: body})
}

func (w *world) submitted(r *router, t *txn) {
	if t.over {
		w.wrong = append(w.wrong, t.id+" is submitted after its final answer")
	}
	if t.out {
		w.wrong = append(w.wrong, t.id+" has two submissions out")
	}
}

// ran is a statement that a node runs: false where it turns it away. A group drops repeats of referenced txns for a window.
func (w *world) ran(s *server, t *txn, body *string) bool {
	at := [2]int{t.group, t.key}
	if t.typ == 0 {
		a, _ := s.Probe()
		all := w.rows[at]
		if i := sort.Search(len(all), func(i int) bool { return all[i].at > a.Pos }); i > 0 {
			*body = fmt.Sprint(all[i-1].body)
		} else {
			*body = "0"
		}
		w.note(judge.Event{Kind: "ran", Router: -1, Txn: t.id, Type: "look", Key: fmt.Sprintf("%d/%d", t.group, t.key), Node: s.name})
		return true
	}
	if !s.Primary {
		return false
	}
	if m, ok := w.marks[t.id]; ok && w.f.now < m.at+window {
		*body = fmt.Sprint(m.body)
		return true
	}
	x := row{w.f.now, 1}
	if all := w.rows[at]; len(all) > 0 {
		x.body = all[len(all)-1].body + 1
	}
	w.rows[at] = append(w.rows[at], x)
	if *body = fmt.Sprint(x.body); t.typ != onceOnly {
		w.marks[t.id] = x
	}
	w.note(judge.Event{Kind: "ran", Router: -1, Txn: t.id, Type: "pay", Key: fmt.Sprintf("%d/%d", t.group, t.key), Node: s.name, Body: *body, Primary: true})
	return true
}

// History is what was written down; Violations lists the rules that it breaks.
func (f *Fleet) History() []judge.Event { return f.world.history }

// Violations returns the broken rules: those that the judge finds in the history and those that the simulated hosts saw themselves.
func (f *Fleet) Violations() (out []judge.Finding) {
	for _, why := range f.world.wrong {
		out = append(out, judge.Finding{Rule: "one submission, one answer", Why: why})
	}
	history := append(slices.Clone(f.world.history), judge.Event{T: f.now - start, Kind: "late"})
	return append(out, judge.Judge(history).Wrong...)
}

// ServedShare is the share of the txns that were served.
func (f *Fleet) ServedShare() float64 {
	sent, served := 0, 0
	for _, e := range f.world.history {
		switch {
		case e.Kind == "send":
			sent++
		case e.Kind == "answer" && e.Code == "":
			served++
		}
	}
	return float64(served) / float64(max(1, sent))
}

// begins has faults happen at their times.
func (f *Fleet) begins(faults []Fault) {
	for _, x := range faults {
		f.At(start+x.At, func() { f.breaks(x) })
	}
}

// listed has all routers learn what discovery has now, each after a while of its own.
func (f *Fleet) listed() {
	list := f.list()
	for me := range f.routers {
		f.At(f.now+listLate*f.rng.Float64(), func() {
			r := f.routers[me]
			r.now(func() {
				for id, s := range f.servers {
					if !s.gone {
						r.names(id, s)
					}
				}
				r.split.UpdateMembers(splitter.ListAll, list)
			})
		})
	}
}

func (f *Fleet) breaks(x Fault) {
	w := f.world
	node := f.servers[x.Node%len(f.servers)]
	ills := map[string]model.Impairment{"hang": {Hangs: true}, "fail": {ErrorShare: cmp.Or(x.Share, 1)}, "lose": {LostAnswerShare: cmp.Or(x.Share, 0.5)}, "slow": {ExtraLatency: 0.3}, "stand": {ReplicationStalled: true}}
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
	w.note(judge.Event{Kind: "fault", Router: -1, What: x.What, Node: node.name, Promote: what == "promote"})
	switch what {
	case "hang", "fail", "lose", "slow", "stand":
		for _, s := range all {
			s.SetImpairment(ills[what])
			heal(func() { s.SetImpairment(model.Impairment{}) })
		}
	case "crash":
		for _, s := range all {
			s.Crash(cmp.Or(x.For, 1))
		}
	case "drain":
		node.state = splitter.Draining
		w.note(judge.Event{Kind: "told", Router: -1, Node: node.name, What: "Terminating"})
		f.listed()
	case "replace":
		if !node.Primary && !node.gone {
			node.gone = true
			w.note(judge.Event{Kind: "told", Router: -1, Node: node.name, What: "Gone"})
			f.add(node.name+"'", node.group, node.zone, falling)
			f.servers[len(f.servers)-1].Restart()
			f.listed()
		}
	case "promote":
		for _, s := range f.servers {
			if s.group == node.group && s != node && !node.gone && node.state == splitter.On {
				s.SetPrimary(false)
			}
		}
		node.SetPrimary(node.Primary || !node.gone && node.state == splitter.On)
	case "cut-peers", "cut-nodes":
		way := x.Zone + ">" + x.To
		if what == "cut-nodes" {
			way += " nodes"
		}
		f.cut[way] = true
		heal(func() { delete(f.cut, way) })
	case "loss":
		f.loss = x.Share
		heal(func() { f.loss = lossOf })
	case "holder":
		w.token++
		if f.way.Numbers {
			f.hold(x.Router%len(f.routers), w.token)
		}
	default:
		f.breaksRouter(x, heal)
	}
}

func (f *Fleet) breaksRouter(x Fault, heal func(func())) {
	w, me := f.world, x.Router%len(f.routers)
	r := f.routers[me]
	switch x.What {
	case "alone":
		r.alone = true
		heal(func() { r.alone = false })
	case "freeze":
		r.still = f.now + cmp.Or(x.For, 1)
		w.note(judge.Event{Kind: "fault", Router: me, What: "freeze", Until: r.still - f.now})
	case "kill":
		r.dead = true
		w.note(judge.Event{Kind: "end", Router: me, Life: r.life + 1, Until: cmp.Or(x.For, upAfter)})
		f.At(f.now+cmp.Or(x.For, upAfter), func() {
			if f.routers[me] != r {
				return
			}
			w.lives++
			f.routers[me] = newRouter(f, me, len(f.routers), f.rng.Int63())
			f.routers[me].life = w.lives
			w.note(judge.Event{Kind: "start", Router: me, Life: w.lives + 1})
		})
	}
}

// SentCount returns how many txns clients sent.
func (f *Fleet) SentCount() (n int) {
	for _, e := range f.world.history {
		if e.Kind == "send" {
			n++
		}
	}
	return n
}
