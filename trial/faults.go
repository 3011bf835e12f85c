package trial

// This file owns the faults: what each does, to whom, and how it heals.

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"eiderway/testserver"
	"eiderway/trial/judge"
)

// faults lets them happen at their times, until the run's end.
func (r *rig) faults(ctx context.Context) error {
	begin := time.Now()
	for i := range r.spec.Faults {
		f := &r.spec.Faults[i]
		wait := time.Until(begin.Add(f.at))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
		if late := time.Since(begin.Add(f.at)); late > 0 {
			r.note(judge.Event{Kind: "late", Router: -1, What: f.What, Until: late.Seconds()})
		}
		if err := r.fault(ctx, f); err != nil {
			return fmt.Errorf("fault %d, %s at %s: %w", i, f.What, f.at, err)
		}
	}
	return nil
}

// who finds the routers that a fault names.
func (r *rig) who(names []string) (out []*router, err error) {
	for _, name := range names {
		kind, rest, _ := strings.Cut(name, ":")
		switch {
		case kind == "all":
			out = append(out, r.routers...)
		case kind == "holder":
			if n := r.holder(rest); n >= 0 {
				out = append(out, r.routers[n])
			}
		case kind == "other":
			if n := r.holder(rest); n >= 0 {
				out = append(out, r.routers[(n+1)%len(r.routers)])
			}
		case kind == "others":
			n := r.holder(rest)
			for _, x := range r.routers {
				if x.n != n {
					out = append(out, x)
				}
			}
		case kind == "first", kind == "from": // the first so many, or all from one on
			n, err := strconv.Atoi(rest)
			if err != nil || n < 0 || n > len(r.routers) {
				return nil, fmt.Errorf("%q is no number of routers", name)
			}
			if kind == "first" {
				out = append(out, r.routers[:n]...)
			} else {
				out = append(out, r.routers[n:]...)
			}
		case kind == "zone":
			for _, x := range r.routers {
				if x.zone == rest {
					out = append(out, x)
				}
			}
		default:
			n, err := strconv.Atoi(name)
			if err != nil || n < 0 || n >= len(r.routers) {
				return nil, fmt.Errorf("%q is no router", name)
			}
			out = append(out, r.routers[n])
		}
	}
	return out, nil
}

// nodes finds the nodes that a fault names: by name, or all of a zone's.
func (r *rig) nodes(names []string) (out []*testserver.Node, err error) {
	for _, name := range names {
		found := false
		for _, g := range r.groups {
			for _, n := range g.Nodes() {
				if n.Name == name || "zone:"+n.Zone == name {
					out, found = append(out, n), true
				}
			}
		}
		if !found {
			return nil, fmt.Errorf("%q is no node", name)
		}
	}
	return out, nil
}

// later heals a fault, or leaves it where the run ends first.
func (r *rig) later(ctx context.Context, after time.Duration, heal func()) {
	if after <= 0 {
		return
	}
	r.healing.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(after):
		}
		heal()
	})
}

func (r *rig) fault(ctx context.Context, f *Fault) error {
	switch f.What {
	case "replace":
		return r.replace(ctx, f)
	case "cut-nodes":
		return r.cutNodes(ctx, f)
	case "promote":
		return r.promote(f)
	case "drain-node", "undrain-node", "hang", "fail", "lose", "slow", "stick", "cold", "heal":
		return r.nodeFault(ctx, f)
	}
	routers, err := r.who(f.Who)
	if err != nil {
		return err
	}
	to, err := r.who(f.To)
	if err != nil {
		return err
	}
	if f.What == "half" { // those named can't hear the others, nor be heard
		for _, x := range r.routers {
			if !slices.Contains(routers, x) {
				to = append(to, x)
			}
		}
	}
	for _, x := range routers {
		r.note(judge.Event{Kind: "fault", Router: x.n, What: f.What, Task: f.Task, Until: f.span.Seconds()})
		if err := r.routerFault(ctx, f, x, to); err != nil {
			return err
		}
	}
	return nil
}

// cutNodes cuts the ways of routers to nodes, there and back; Text: "there" or "back" cuts one direction only.
func (r *rig) cutNodes(ctx context.Context, f *Fault) error {
	routers, err := r.who(f.Who)
	if err != nil {
		return err
	}
	nodes, err := r.nodes(f.To)
	if err != nil {
		return err
	}
	var gates []*gate
	for _, x := range routers {
		r.note(judge.Event{Kind: "fault", Router: x.n, What: f.What, Until: f.span.Seconds()})
		for _, n := range nodes {
			r.mu.Lock()
			l := x.links[n.Name]
			r.mu.Unlock()
			if f.Text != "back" {
				gates = append(gates, l.gates[0])
			}
			if f.Text != "there" {
				gates = append(gates, l.gates[1])
			}
		}
	}
	for _, g := range gates {
		g.set(true)
	}
	r.later(ctx, f.span, func() {
		for _, g := range gates {
			g.set(false)
		}
	})
	return nil
}

// promote makes replicas the primaries of their groups.
func (r *rig) promote(f *Fault) error {
	for _, g := range r.groups {
		for i, n := range g.Nodes() {
			if slices.Contains(f.Who, n.Name) {
				r.note(judge.Event{Kind: "fault", Router: -1, Node: n.Name, What: f.What, Promote: true})
				g.Promote(i)
			}
		}
	}
	return nil
}

func (r *rig) routerFault(ctx context.Context, f *Fault, x *router, to []*router) error {
	p := x.proc
	switch f.What {
	case "kill", "restart":
		if x.stopped {
			return nil
		}
		x.stopped = true
		p.kill()
		if f.What == "restart" {
			return r.start(x)
		}
		r.later(ctx, f.span, func() { r.start(x) })
	case "term":
		if x.stopped {
			return nil
		}
		x.stopped = true
		r.healing.Go(func() {
			p.stop(endWithin)
			if f.span > 0 && ctx.Err() == nil {
				r.start(x)
			}
		})
	case "start":
		if x.stopped {
			return r.start(x)
		}
	case "freeze":
		r.mu.Lock()
		already := p.frozen
		p.frozen = true
		r.mu.Unlock()
		if already || x.stopped {
			return nil
		}
		p.signal(syscall.SIGSTOP)
		r.later(ctx, max(f.span, time.Millisecond), func() {
			p.signal(syscall.SIGCONT)
			r.mu.Lock()
			p.frozen = false
			r.mu.Unlock()
			r.note(judge.Event{Kind: "fault", Router: x.n, What: "thaw"})
		})
	case "alone", "cut", "half":
		var gates []*gate
		for _, o := range r.routers {
			if o == x || f.What != "alone" && !slices.Contains(to, o) {
				continue
			}
			pair := r.pairs[[2]int{min(o.n, x.n), max(o.n, x.n)}]
			side := 0
			if x.n > o.n {
				side = 1
			}
			gates = append(gates, pair.gates[side]) // from x to the other
			if f.What != "cut" {
				gates = append(gates, pair.gates[1-side])
			}
		}
		if f.What == "alone" {
			for _, l := range x.links {
				gates = append(gates, l.gates[0], l.gates[1])
			}
			gates = append(gates, x.disc.gates[0], x.disc.gates[1])
		}
		for _, g := range gates {
			g.set(true)
		}
		r.later(ctx, f.span, func() {
			for _, g := range gates {
				g.set(false)
			}
		})
	case "strangers": // who is no peer sends what looks like a peer's, and noise
		nc, err := net.Dial("udp", x.udp.String())
		if err != nil {
			return err
		}
		defer nc.Close()
		for k := range 20 {
			b := make([]byte, 78+k)
			b[0] = byte(0x20 + k%9)
			nc.Write(b)
		}
	case "want":
		return r.want(f.Task, x)
	case "drop":
		r.mu.Lock()
		cancel := r.asks[fmt.Sprint(f.Task, x.n)]
		r.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	case "tell", "give", "drain", "undrain", "zone":
		question := map[string]string{"zone": "zone " + f.Text,
			"tell": "lease tell " + f.Task + " " + f.Text, "drain": "drain", "undrain": "drain cancel"}[f.What]
		if f.What == "give" {
			if len(to) == 0 || to[0] == x {
				return nil
			}
			question = fmt.Sprintf("lease give %s %d", f.Task, to[0].n)
		}
		r.asking.Go(func() {
			ask, stop := context.WithTimeout(r.ended, 10*time.Second)
			defer stop()
			x.ask(ask, question, func(line string) {
				r.note(judge.Event{Kind: "said", Router: x.n, What: f.What, Task: f.Task, Text: line})
			})
		})
	case "rename": // Text: OLD=NEW in its settings, as after an upgrade; it is restarted at once
		from, to, ok := strings.Cut(f.Text, "=")
		if !ok || x.stopped {
			return nil
		}
		x.renames = append(x.renames, from, to)
		if err := r.writeOwn(x, ""); err != nil {
			return err
		}
		x.stopped = true
		p.kill()
		return r.start(x)
	case "sets": // Text: routers and former, as settings have them; SIGHUP follows
		if err := r.writeOwn(x, f.Text); err != nil {
			return err
		}
		if !x.stopped {
			p.signal(syscall.SIGHUP)
		}
	}
	return nil
}

// replace has other nodes, under other names, take the place of replicas: the old ones drain, and are gone after a time.
// Text, a duration, is how much slower the new ones are while they are cold, which is as long again.
func (r *rig) replace(ctx context.Context, f *Fault) error {
	nodes, err := r.nodes(f.Who)
	if err != nil {
		return err
	}
	cold, err := span(f.Text, 0)
	if err != nil {
		return err
	}
	for _, old := range nodes {
		n, err := old.AddReplica()
		if err != nil {
			return err
		}
		for _, x := range r.routers {
			l, err := newLink(n.Addr())
			if err != nil {
				return err
			}
			r.mu.Lock()
			x.links[n.Name] = l
			r.mu.Unlock()
		}
		n.SetExtraLatency(cold)
		r.note(judge.Event{Kind: "fault", Router: -1, Node: old.Name, What: f.What, Text: n.Name})
		r.list.Add(n)
		r.list.SetState(old.Name, "Terminating")
		r.note(judge.Event{Kind: "told", Router: -1, Node: old.Name, What: "Terminating"})
		r.later(ctx, max(f.span, time.Millisecond), func() {
			r.list.SetState(old.Name, "Gone")
			old.Stop()
			n.SetExtraLatency(0)
		})
	}
	return nil
}

// want asks for a task on a router's admin socket, and asks again when it is lost or the router is back, until dropped.
func (r *rig) want(task string, x *router) error {
	key := fmt.Sprint(task, x.n)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.asks[key] != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(r.ended)
	r.asks[key] = cancel
	r.asking.Go(func() {
		for ctx.Err() == nil {
			x.ask(ctx, "lease hold "+task, func(line string) {
				var s struct {
					State string
					Token uint64
					Error string
				}
				if json.Unmarshal([]byte(line), &s) == nil && s.Error != "" {
					r.note(judge.Event{Kind: "said", Router: x.n, What: "want", Task: task, Text: s.Error})
				}
			})
			select {
			case <-ctx.Done():
			case <-time.After(50 * time.Millisecond):
			}
		}
		r.mu.Lock()
		delete(r.asks, key)
		r.mu.Unlock()
	})
	return nil
}

// spreads measures how long it takes until all routers that run have what the list says now.
func (r *rig) spreads(ctx context.Context, node string) {
	rev, from := r.list.Rev(), time.Now()
	r.healing.Go(func() {
		for ctx.Err() == nil {
			missing := 0
			for _, x := range r.routers {
				r.mu.Lock()
				out := x.stopped || x.proc.frozen
				r.mu.Unlock()
				if told := x.face.SentRev(); told < rev && !out {
					missing++
				}
			}
			if missing == 0 {
				r.note(judge.Event{Kind: "known", Router: -1, Node: node, Until: time.Since(from).Seconds()})
				return
			}
			time.Sleep(lookEach / 2)
		}
	})
}

func (r *rig) nodeFault(ctx context.Context, f *Fault) error {
	nodes, err := r.nodes(f.Who)
	if err != nil {
		return err
	}
	for _, n := range nodes {
		r.note(judge.Event{Kind: "fault", Router: -1, Node: n.Name, What: f.What, Until: f.span.Seconds()})
		heal := func() {
			n.SetFault(testserver.Healthy)
			n.SetExtraLatency(0)
			n.FreezePosition(false)
		}
		switch f.What {
		case "heal":
			heal()
			continue
		case "hang":
			n.SetFault(testserver.Hangs)
		case "fail":
			n.SetFault(testserver.Fails)
		case "lose":
			n.SetFault(testserver.Loses)
		case "stick":
			n.FreezePosition(true)
		case "cold": // its process is down for a time, and comes back cold
			n.Restart(f.span)
			continue
		case "slow":
			by, err := time.ParseDuration(f.Text)
			if err != nil {
				return err
			}
			n.SetExtraLatency(by)
		case "drain-node", "undrain-node":
			state := map[string]string{"drain-node": "Terminating", "undrain-node": "Ready"}[f.What]
			r.list.SetState(n.Name, state)
			r.spreads(ctx, n.Name)
			r.note(judge.Event{Kind: "told", Router: -1, Node: n.Name, What: state})
			heal = func() {
				r.list.SetState(n.Name, "Ready")
				r.note(judge.Event{Kind: "told", Router: -1, Node: n.Name, What: "Ready"})
			}
		}
		r.later(ctx, f.span, heal)
	}
	return nil
}
