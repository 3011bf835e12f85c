// Package judge reads the history of a trial and says what was wrong. It shares no code with what it judges, nor with the rig
// that wrote the history: it knows the form of its lines alone.
package judge

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// Event is a line of a history. Times are seconds from its begin.
type Event struct {
	T       float64 `json:"t"`
	Kind    string  `json:"kind"` // terms, start, end, fault, send, answer, extra, ran, lease, told, late, skew
	Router  int     `json:"router"`
	Txn     string  `json:"txn,omitempty"`
	Type    string  `json:"type,omitempty"` // look, pay
	Key     string  `json:"key,omitempty"`
	Body    string  `json:"body,omitempty"`
	Wait    float64 `json:"wait,omitempty"` // s that the client waits
	Bound   float64 `json:"bound,omitempty"`
	Code    string  `json:"code,omitempty"` // of an answer: "" is served, "none" no answer, else its SQLSTATE
	Node    string  `json:"node,omitempty"`
	Primary bool    `json:"primary,omitempty"`
	What    string  `json:"what,omitempty"` // of a fault, or of a lease: took, lost, obeyed, stale
	Task    string  `json:"task,omitempty"`
	Slot    int     `json:"slot,omitempty"`
	Token   uint64  `json:"token,omitempty"`
	Holder  int     `json:"holder,omitempty"`
	Number  uint64  `json:"number,omitempty"`
	Text    string  `json:"text,omitempty"`
	At      float64 `json:"at,omitempty"`    // when a router says that it happened, by its own clock
	Until   float64 `json:"until,omitempty"` // when a holder says that it held, at the latest
	Life    int     `json:"life,omitempty"`  // of a router: its starts so far
	Promote bool    `json:"promote,omitempty"`
}

// Verdict is what a history shows.
type Verdict struct {
	Wrong   []Finding      `json:"wrong"`
	Void    string         `json:"void,omitempty"` // why it proves nothing
	Counts  map[string]int `json:"counts"`
	Changes int            `json:"changes"` // of holders, all tasks together
	Gaps    []float64      `json:"gaps"`    // s between one holder's end and the next one's begin, each task by itself
}

// Finding is something wrong, with the smallest story that shows it.
type Finding struct {
	Rule  string  `json:"rule"`
	Why   string  `json:"why"`
	Story []Event `json:"story"`
}

const (
	answerSlack  = 0.5  // s after a client's time is up by which its answer has come, or the txn is lost
	staleSlack   = 0.03 // s for a commit's time, which a node notes when it begins
	graceTold    = 6.0  // s after which a change of the list counts as told, whatever came of it
	grace        = 1.5  // s that a node may be sent something after that
	mostFindings = 5    // of a rule
	saidLate     = 0.3  // s that a line may be on its way
	checkWithin  = 30 * time.Second
	latest       = 0.05 // s that the rig may have been late
)

// Read reads a history.
func Read(r io.Reader) (out []Event, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		var e Event
		if err := json.Unmarshal(in.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("line %d: %w", len(out)+1, err)
		}
		out = append(out, e)
	}
	slices.SortStableFunc(out, func(a, b Event) int { return cmp.Compare(a.T, b.T) })
	return out, in.Err()
}

// Judge says what is wrong with a history.
func Judge(history []Event) Verdict {
	j := &judge{v: Verdict{Counts: map[string]int{}}, found: map[string]int{}, skewed: map[int]bool{}}
	for _, e := range history {
		j.v.Counts[e.Kind]++
		switch e.Kind {
		case "late":
			if e.Until > latest && j.v.Void == "" {
				j.v.Void = fmt.Sprintf("the rig was late by %.0f ms at %.3f s", e.Until*1000, e.T)
			}
		case "answer":
			switch e.Code {
			case "53300", "57P03":
				j.v.Counts["declined"]++
			case "none":
				j.v.Counts["unanswered"]++
			}
		case "skew":
			j.skewed[e.Router] = true
		case "fault":
			j.promoted = j.promoted || e.Promote
		}
	}
	j.txns(history)
	j.nodes(history)
	j.leases(history)
	j.drains(history)
	return j.v
}

// drains: a router lets its clients go only while it holds a slot of its zone's.
func (j *judge) drains(history []Event) {
	last := map[int]Event{} // what a router said last of its slot
	for _, e := range history {
		switch {
		case e.Kind == "lease" && strings.HasPrefix(e.Task, "drain/") && (e.What == "took" || e.What == "lost"):
			last[e.Router] = e
		case e.Kind == "said" && e.What == "drain" && (strings.Contains(e.Text, `"draining"`) || strings.Contains(e.Text, `"drained"`)):
			if was := last[e.Router]; was.What != "took" && e.T > was.T+saidLate {
				j.wrong("drains in turn", fmt.Sprintf("router %d drains and holds no slot", e.Router), was, e)
			}
		}
	}
}

type judge struct {
	v        Verdict
	found    map[string]int
	skewed   map[int]bool // routers whose clocks say nothing here
	promoted bool
}

func (j *judge) wrong(rule, why string, story ...Event) {
	if j.found[rule]++; j.found[rule] <= mostFindings {
		j.v.Wrong = append(j.v.Wrong, Finding{rule, why, story})
	}
}

// txns: each has one final answer in time, no effect twice, and nothing that was turned away has run.
func (j *judge) txns(history []Event) {
	type txn struct {
		send    Event
		answers []Event
		ran     []Event
	}
	all := map[string]*txn{}
	var order []string
	down := map[int][]Event{} // what befell a router
	end := 0.0
	for _, e := range history {
		end = max(end, e.T)
		switch e.Kind {
		case "send":
			all[e.Txn] = &txn{send: e}
			order = append(order, e.Txn)
		case "answer", "extra":
			if x := all[e.Txn]; x != nil {
				x.answers = append(x.answers, e)
			}
		case "fault", "end":
			down[e.Router] = append(down[e.Router], e)
		case "start": // it was down until now
			if d := down[e.Router]; len(d) > 0 && d[len(d)-1].Kind == "end" {
				d[len(d)-1].Until = e.T - d[len(d)-1].T
			}
		}
	}
	for _, e := range history {
		if x := all[e.Txn]; x != nil && e.Kind == "ran" {
			x.ran = append(x.ran, e)
		}
	}
	for _, id := range order {
		x := all[id]
		story := append(append([]Event{x.send}, x.ran...), x.answers...)
		answers := 0
		for _, a := range x.answers {
			if a.Code != "none" {
				answers++
			}
		}
		// A router that was killed, frozen or ended in between, or was not there, owes nothing that this history could show.
		excused := slices.ContainsFunc(down[x.send.Router], func(e Event) bool {
			length := 0.0
			if e.What == "freeze" || e.Kind == "end" {
				length = e.Until
			}
			return (e.What == "kill" || e.What == "freeze" || e.What == "restart" || e.Kind == "end") &&
				e.T+length > x.send.T-answerSlack && e.T < x.send.T+x.send.Wait+answerSlack
		})
		switch {
		case answers > 1:
			j.wrong("one answer", fmt.Sprintf("%s has %d answers", id, answers), story...)
		case answers == 0 && !excused && x.send.T+x.send.Wait+answerSlack < end:
			j.wrong("one answer", id+" has none", story...)
		}
		if x.send.Type == "look" {
			continue
		}
		effects := 0
		for _, r := range x.ran {
			if r.Primary {
				effects++
			} else if !j.promoted {
				j.wrong("writes at the primary", fmt.Sprintf("%s was sent to the replica %s", id, r.Node), story...)
			}
		}
		if effects > 1 {
			j.wrong("no effect twice", fmt.Sprintf("%s has run %d times", id, effects), story...)
		}
		for _, a := range x.answers {
			switch {
			case a.Code == "" && effects == 0:
				j.wrong("nothing lost", id+" was answered as served and has not run", story...)
			case (a.Code == "53300" || a.Code == "57P03") && effects > 0:
				j.wrong("declined is harmless", id+" was declined and has run", story...)
			}
		}
	}
	j.stale(history)
}

// stale: a read brings at least the newest row that was committed its bound before it was sent.
func (j *judge) stale(history []Event) {
	commits := map[string][]Event{}
	sends := map[string]Event{}
	for _, e := range history {
		switch {
		case e.Kind == "ran" && e.Type == "pay" && e.Primary:
			commits[e.Key] = append(commits[e.Key], e)
		case e.Kind == "send":
			sends[e.Txn] = e
		}
	}
	for _, a := range history {
		s, ok := sends[a.Txn]
		if a.Kind != "answer" || a.Code != "" || !ok || s.Type != "look" {
			continue
		}
		var must *Event
		seen := math.Inf(-1)
		for i, c := range commits[s.Key] {
			if c.T <= s.T-s.Bound-staleSlack {
				must = &commits[s.Key][i]
			}
			if c.Body == a.Body {
				seen = c.T
			}
		}
		if must != nil && seen < must.T {
			j.wrong("fresh enough", fmt.Sprintf("%s read %q, but %q had been committed %.3f s before it was sent", a.Txn, a.Body, must.Body,
				s.T-must.T), *must, s, a)
		}
	}
}

// nodes: nothing new comes to one past the grace after word that it drains or is gone.
func (j *judge) nodes(history []Event) {
	drains := map[string]Event{}
	for _, e := range history {
		switch {
		case e.Kind == "told" && e.What != "Ready":
			if _, ok := drains[e.Node]; !ok {
				drains[e.Node] = e
			}
		case e.Kind == "told":
			delete(drains, e.Node)
		case e.Kind == "ran":
			if d, ok := drains[e.Node]; ok && e.T > d.T+graceTold+grace {
				j.wrong("nothing to a node that drains", fmt.Sprintf("%s was sent something %.1f s after it was listed as %s", e.Node, e.T-d.T, d.What), d, e)
			}
		}
	}
}

type seat struct {
	task string
	slot int
}

// leases: no two routers hold a seat at once, each token is one holder's, tokens rise, and no router obeys a token that is
// older than one which any router had obeyed before the word was said.
func (j *judge) leases(history []Event) {
	type span struct {
		from, to float64
		e        Event
		open     bool
	}
	holds := map[seat][]*span{}
	open := map[[2]int]map[seat]*span{} // by router and life
	owner := map[seat]map[uint64]Event{}
	newest := map[string]Event{}
	said := map[string]float64{}
	acts := map[seat][]porcupine.Operation{}
	rank := map[string]uint64{} // of the newest hold under a token, by when it began
	begun := map[seat]uint64{}
	frozen := map[int]float64{}   // since when
	spoke := map[[2]int]float64{} // a process's last line
	for _, e := range history {
		s := seat{e.Task, e.Slot}
		who := [2]int{e.Router, e.Life}
		if e.Kind == "lease" {
			spoke[who] = e.T
		}
		switch {
		case e.Kind == "fault" && e.What == "freeze":
			frozen[e.Router] = e.T
		case e.Kind == "fault" && e.What == "thaw":
			delete(frozen, e.Router)
		case e.Kind == "end":
			for _, x := range open[who] {
				if x.open {
					x.to, x.open = e.T, false
				}
				if at, ok := frozen[e.Router]; ok { // it never woke: it has done nothing since
					x.to = min(x.to, at)
				}
				// One that was killed after a silence may have stood still, as on a machine that was paused: it is held to what
				// it said last, and to the hold that it began with.
				x.to = min(x.to, max(x.e.Until, spoke[who]))
			}
			delete(frozen, e.Router)
			delete(open, who)
		case e.Kind == "lease" && e.What == "took":
			if open[who] == nil {
				open[who] = map[seat]*span{}
			}
			begun[s]++
			rank[fmt.Sprint(s, e.Token, e.Router)] = begun[s]
			x := &span{e.At, math.Inf(1), e, true}
			open[who][s] = x
			holds[s] = append(holds[s], x)
		case e.Kind == "lease" && e.What == "lost":
			if x := open[who][s]; x != nil && x.open {
				x.to, x.open = e.Until, false
			}
		case e.Kind == "lease" && e.What == "obeyed":
			j.v.Counts["obeyed"]++
			if owner[s] == nil {
				owner[s] = map[uint64]Event{}
			}
			if first, ok := owner[s][e.Token]; ok && first.Holder != e.Holder {
				j.wrong("one holder a token", fmt.Sprintf("token %d of %s is obeyed as %d's and as %d's", e.Token, e.Task, first.Holder, e.Holder), first, e)
			} else if !ok {
				owner[s][e.Token] = e
			}
			at := fmt.Sprint(s, who)
			if was, ok := newest[at]; ok && (e.Token < was.Token || e.Token == was.Token && e.Number <= was.Number) {
				j.wrong("no older word is obeyed", fmt.Sprintf("router %d obeys token %d, number %d of %s after token %d, number %d", e.Router, e.Token,
					e.Number, e.Task, was.Token, was.Number), was, e)
			}
			newest[at] = e
			word := fmt.Sprint(s, e.Token, e.Number)
			if e.Holder == e.Router { // what it does itself is an act like any other's
				// It may be frozen between that and its line's or its datagram's leaving: what counts is when it acted, as it says.
				at := e.T
				if !j.skewed[e.Router] && e.At > 0 {
					at = min(at, e.At)
				}
				said[word] = at
				acts[s] = append(acts[s], porcupine.Operation{ClientId: e.Router, Input: rank[fmt.Sprint(s, e.Token, e.Holder)], Call: int64(at * 1e6),
					Return: int64(at*1e6) + 1})
			} else if from, ok := said[word]; ok {
				acts[s] = append(acts[s], porcupine.Operation{ClientId: e.Router, Input: rank[fmt.Sprint(s, e.Token, e.Holder)], Call: int64(from * 1e6), Return: int64(e.T*1e6) + 1})
			}
		}
	}
	for s, all := range holds {
		slices.SortFunc(all, func(a, b *span) int { return cmp.Compare(a.from, b.from) })
		for i, x := range all {
			if i == 0 {
				continue
			}
			was := all[i-1]
			if was.e.Router != x.e.Router || was.e.Life != x.e.Life {
				j.v.Changes++
			}
			if j.skewed[was.e.Router] || j.skewed[x.e.Router] {
				continue
			}
			if x.from < was.to {
				j.wrong("one holder", fmt.Sprintf("%s#%d is held by %d (token %d) until %.6f, and by %d (token %d) from %.6f on", s.task, s.slot,
					was.e.Router, was.e.Token, was.to, x.e.Router, x.e.Token, x.from), was.e, x.e)
			} else {
				j.v.Gaps = append(j.v.Gaps, x.from-was.to)
			}
			if x.e.Token <= was.e.Token && !j.forgot(history) {
				j.wrong("tokens rise", fmt.Sprintf("%s#%d: token %d comes after %d", s.task, s.slot, x.e.Token, was.e.Token), was.e, x.e)
			}
		}
	}
	// A register that takes no hold older than the newest it has: what was said after a newer one was obeyed must not be.
	register := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, _ any) (bool, any) {
			return input.(uint64) >= state.(uint64), input
		},
		Equal: func(a, b any) bool { return a == b },
	}
	for s, ops := range acts {
		// Each window of operations is checked by itself, begun with the newest token before it, so that hours can be checked.
		slices.SortFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
		j.v.Counts["acts judged"] += len(ops)
		if !linear(register, ops) {
			j.wrong("no two act at once", fmt.Sprintf("the words on %s#%d that were obeyed fit no order in which one holder follows the other", s.task, s.slot),
				history[:0]...)
		}
	}
	slices.Sort(j.v.Gaps)
}

// linear checks the operations in parts: wherever all that was said before is obeyed before the next is said, the state is
// the newest token, and a part of its own begins.
func linear(m porcupine.Model, ops []porcupine.Operation) bool {
	newest := uint64(0)
	for from := 0; from < len(ops); {
		to, ends := from, int64(math.MinInt64)
		for to < len(ops) && (to == from || ops[to].Call <= ends) {
			ends = max(ends, ops[to].Return)
			to++
		}
		start := newest
		m.Init = func() any { return start }
		part := distinct(ops[from:to])
		if porcupine.CheckOperationsTimeout(m, part, checkWithin) == porcupine.Illegal {
			return false
		}
		for _, o := range part {
			newest = max(newest, o.Input.(uint64))
		}
		from = to
	}
	return true
}

// distinct leaves of operations under one token the one that ends first and the one that begins last: the others fit
// wherever these two do.
func distinct(ops []porcupine.Operation) (out []porcupine.Operation) {
	first, last := map[uint64]porcupine.Operation{}, map[uint64]porcupine.Operation{}
	for _, o := range ops {
		t := o.Input.(uint64)
		if f, ok := first[t]; !ok || o.Return < f.Return {
			first[t] = o
		}
		if l, ok := last[t]; !ok || o.Call > l.Call {
			last[t] = o
		}
	}
	for t, f := range first {
		out = append(out, f)
		if l := last[t]; l.Call != f.Call || l.Return != f.Return || l.ClientId != f.ClientId {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	for i := range out {
		out[i].ClientId = i
	}
	return out
}

// forgot tells whether so many routers were ended that a council may have lost its memory.
func (j *judge) forgot(history []Event) bool {
	n := 0
	for _, e := range history {
		if e.Kind == "end" && !strings.HasPrefix(e.What, "last") {
			n++
		}
	}
	return n > 2
}
