package failover

import (
	"fmt"
	"slices"
	"time"

	"eiderway/control/feed"
)

const (
	tickEvery   = 50 * time.Millisecond
	leaseLength = 2 * time.Second
	leaseMargin = 100 * time.Millisecond
	askEvery    = 400 * time.Millisecond
)

// host runs a manager as a controller does: it commits changes, carries out probes and calls, and reports cleared freezes.
type host struct {
	world          *world
	name           string
	manager        *Manager
	active         bool // it is primary of the control state
	stopped        bool
	granted        map[string]time.Duration // until when a gateway may use a table
	applied        map[string]map[string]uint64
	clearedFreezes map[string]uint64
	queues         map[string][]Probe // by address: the probe that is under way, and those that wait for it
}

// takeOver makes a new controller primary of the control state. The old one doesn't learn of it for a while.
func (w *world) takeOver() {
	if old := w.current; old != nil {
		old.active = false
		w.after(w.between(0, 3*time.Second), func() { old.stopped = true })
	}
	w.epoch++
	settings := DefaultSettings()
	settings.Holder, settings.Fence = fmt.Sprintf("c%d", w.epoch), w.epoch
	settings.FenceChecked, settings.CallsPerSecond = w.options.fenceChecked, 10
	h := &host{
		world: w, name: settings.Holder, manager: New(w.now, settings), active: true,
		granted: map[string]time.Duration{}, applied: map[string]map[string]uint64{}, clearedFreezes: map[string]uint64{},
		queues: map[string][]Probe{},
	}
	h.manager.overrides = w.options.overrides
	for _, g := range w.gateways {
		h.granted[g.name] = w.now + leaseLength // an earlier controller may have granted it just now
	}
	w.current = h
	h.tellWorld()
	h.tick()
}

func (h *host) tellWorld() {
	var views []ServiceView
	for _, name := range h.world.services {
		view := *h.world.committed[name]
		view.Instances = slices.Clone(view.Instances)
		if view.Intent != nil {
			intent := *view.Intent
			view.Intent = &intent
		}
		views = append(views, view)
	}
	h.step(CommittedState{Services: views})
}

func (h *host) tick() {
	if h.stopped {
		return
	}
	h.step(Tick{})
	h.tellCleared()
	h.world.after(tickEvery, h.tick)
}

func (h *host) step(input Input) {
	if h.stopped {
		return
	}
	effects := h.manager.Step(h.world.now, input)
	for _, number := range effects.CancelledProbes {
		h.cancelProbe(number)
	}
	for _, probe := range effects.Probes {
		h.enqueue(probe)
	}
	for _, change := range effects.Changes {
		h.commit(change)
	}
	for _, call := range effects.Calls {
		h.world.platform.call(h, call)
	}
	for _, event := range effects.Events {
		h.world.events = append(h.world.events, fmt.Sprintf("%8v %s %s: %s", h.world.now, h.name, event.What, event.Text))
	}
}

func (h *host) commit(change Change) {
	w := h.world
	w.after(w.between(5*time.Millisecond, 30*time.Millisecond), func() {
		if !h.active || h.stopped {
			h.step(ChangeDecided{Request: change.Request})
			return
		}
		switch {
		case change.Leader != nil:
			w.committed[change.Leader.Service].setLeader(change.Leader.Leader)
		case change.Intent != nil:
			w.committed[change.Intent.Service].Intent = change.Intent
		case change.Covered != nil:
			covered := *change.Covered
			view := w.committed[covered.Service]
			view.Departed = slices.DeleteFunc(slices.Clone(view.Departed), func(i feed.Instance) bool { return i.ID == covered.InstanceID })
			if view.Floor.Less(covered.Position) {
				view.Floor = covered.Position
			}
		default:
			w.committed[change.ClearIntent].Intent = nil
		}
		if w.chance(5) { // the process ends between the commit and the notice of it
			h.stopped = true
			w.takeOver()
			return
		}
		h.tellWorld()
		h.step(ChangeDecided{Request: change.Request, Committed: true})
	})
}

// setLeader records the leader. One that leads the recorded term under a new id has all that it held under the earlier one.
func (v *ServiceView) setLeader(leader feed.Leader) {
	if leader.Term == v.Leader.Term {
		earlier := v.Leader.InstanceID
		v.Departed = slices.DeleteFunc(slices.Clone(v.Departed), func(i feed.Instance) bool { return i.ID == earlier && i.ID != leader.InstanceID })
	}
	v.Leader = leader
}

// enqueue carries out the probes of an address one after the other, as a controller does.
func (h *host) enqueue(probe Probe) {
	if h.world.options.anyOrder {
		h.probe(probe, func() {})
		return
	}
	h.queues[probe.Address] = append(h.queues[probe.Address], probe)
	if len(h.queues[probe.Address]) == 1 {
		h.probeNext(probe.Address)
	}
}

func (h *host) probeNext(address string) {
	h.probe(h.queues[address][0], func() {
		h.queues[address] = h.queues[address][1:]
		if len(h.queues[address]) > 0 {
			h.probeNext(address)
		}
	})
}

// cancelProbe drops a probe that waits for another one.
func (h *host) cancelProbe(number uint64) {
	for address, queue := range h.queues {
		for n := len(queue) - 1; n > 0; n-- {
			if queue[n].Number == number {
				h.queues[address] = slices.Delete(queue, n, n+1)
				return
			}
		}
	}
}

// probe carries out a probe, and calls ended before it reports the result.
func (h *host) probe(probe Probe, ended func()) {
	w := h.world
	started := w.now
	end := func(answer ProbeAnswer, status Status) {
		ended()
		h.step(ProbeEnded{Result: ProbeResult{Number: probe.Number, Answer: answer, Status: status, Started: started}})
	}
	delay := w.between(time.Millisecond, 6*time.Millisecond)
	w.after(delay, func() {
		target := w.instanceAt(probe.Address)
		switch {
		case !w.canReach(h.name, target.id) && w.resets[target.address] && !target.dark:
			end(Refused, Status{})
			return
		case !w.canReach(h.name, target.id):
			w.after(probeTimeout-delay, func() { end(Silent, Status{}) })
			return
		case !target.up:
			end(Refused, Status{})
			return
		case target.id != probe.InstanceID:
			end(Replaced, Status{})
			return
		case w.chance(w.options.lossPer1000):
			end(Busy, Status{})
			return
		}
		if !h.active && probe.Kind == AskContinue {
			ended()
			return // dropped: an old controller's CONTINUE would only undo a pause, where the freeze protects as well
		}
		if probe.Kind == AskPause && h.active {
			w.checker.paused(w, probe.Service)
		}
		ran := target.ask(probe.Kind, probe.Term)
		status := target.status()
		if !ran || w.chance(w.options.lossPer1000) {
			w.after(probeTimeout-delay, func() { end(Silent, Status{}) })
			return
		}
		w.after(delay, func() { end(Answered, status) })
	})
}

// tellCleared tells the manager of each freeze that every gateway has applied or outlived without a lease.
func (h *host) tellCleared() {
	for _, service := range h.world.services {
		freeze, frozen := h.manager.Frozen(service)
		if !frozen || h.clearedFreezes[service] == freeze {
			continue
		}
		all := true
		for _, g := range h.world.gateways {
			keeps := h.applied[g.name][service] == freeze
			all = all && (keeps || h.world.now > h.granted[g.name]+leaseMargin)
		}
		if all {
			h.clearedFreezes[service] = freeze
			h.step(FreezeCleared{Service: service, Freeze: freeze})
		}
	}
}

// gateway sends writes and reads to the leaders while it has a lease.
type gateway struct {
	world        *world
	name         string
	lease        time.Duration
	leaders      map[string]feed.Leader
	frozen       map[string]bool
	changes      map[string]int // counts freezes and expired leases: a success from before one is not passed on
	reports      map[string]*feed.InstanceReport
	lastPollSent time.Duration // when the poll was sent whose answer was applied last
	busy         bool
}

func newGateway(w *world, name string) *gateway {
	return &gateway{
		world: w, name: name, leaders: map[string]feed.Leader{}, frozen: map[string]bool{},
		changes: map[string]int{}, reports: map[string]*feed.InstanceReport{},
	}
}

func (g *gateway) start() {
	g.world.after(g.world.between(0, askEvery), g.ask)
	g.world.after(g.world.between(0, 50*time.Millisecond), g.work)
	g.world.after(tickEvery, g.watch)
}

// watch polls at once after a change: the real controller answers an open watch then.
func (g *gateway) watch() {
	h := g.world.current
	for _, service := range g.world.services {
		_, frozen := h.manager.Frozen(service)
		if frozen != g.frozen[service] || g.world.committed[service].Leader != g.leaders[service] {
			g.poll()
			break
		}
	}
	g.world.after(tickEvery, g.watch)
}

func (g *gateway) ask() {
	g.poll()
	g.world.after(askEvery, g.ask)
}

type freezeView struct {
	number uint64
	frozen bool
	leader feed.Leader
}

// poll fetches the table and a lease, which counts from when the poll was sent.
func (g *gateway) poll() {
	w, h, sent := g.world, g.world.current, g.world.now
	if !w.canReach(g.name, h.name) || g.busy {
		return
	}
	g.busy = true
	w.after(w.between(time.Millisecond, 5*time.Millisecond), func() {
		g.busy = false
		if h.stopped || !h.active || !w.canReach(g.name, h.name) {
			return
		}
		for _, id := range w.names {
			if report := g.reports[id]; report != nil && *report != (feed.InstanceReport{InstanceID: id}) {
				h.step(GatewayReport{Gateway: g.name, Report: *report})
				delete(g.reports, id)
			}
		}
		views := map[string]freezeView{}
		for _, service := range w.services {
			number, frozen := h.manager.Frozen(service)
			views[service] = freezeView{number: number, frozen: frozen, leader: w.committed[service].Leader}
		}
		h.granted[g.name] = max(h.granted[g.name], sent+leaseLength)
		w.after(w.between(time.Millisecond, 5*time.Millisecond), func() { g.apply(h, sent, views) })
	})
}

func (g *gateway) apply(h *host, sent time.Duration, views map[string]freezeView) {
	w := g.world
	if !w.canReach(g.name, h.name) || h != w.current || sent < g.lastPollSent {
		return
	}
	g.lastPollSent = sent
	if w.now > g.lease {
		g.countLapse()
	}
	g.lease = max(g.lease, sent+leaseLength)
	keeps := map[string]uint64{}
	for service, view := range views {
		if view.frozen && !g.frozen[service] || view.leader != g.leaders[service] {
			g.changes[service]++
		}
		g.frozen[service], g.leaders[service] = view.frozen, view.leader
		if view.frozen {
			keeps[service] = view.number
		}
	}
	w.after(w.between(time.Millisecond, 5*time.Millisecond), func() {
		if w.canReach(g.name, h.name) && h == w.current {
			h.applied[g.name] = keeps
			h.tellCleared()
		}
	})
}

func (g *gateway) countLapse() {
	for _, service := range g.world.services {
		g.changes[service]++
	}
}

// serves reports whether statements may go to the leader of a service.
func (g *gateway) serves(service string) bool {
	return g.world.now <= g.lease && !g.frozen[service] && g.leaders[service].InstanceID != ""
}

func (g *gateway) work() {
	for _, service := range g.world.services {
		if g.serves(service) {
			g.statement(service, g.world.instances[g.leaders[service].InstanceID])
		}
	}
	g.world.after(g.world.between(40*time.Millisecond, 120*time.Millisecond), g.work)
}

func (g *gateway) report(id string) *feed.InstanceReport {
	if g.reports[id] == nil {
		g.reports[id] = &feed.InstanceReport{InstanceID: id}
	}
	return g.reports[id]
}

func (g *gateway) statement(service string, at *database) {
	w := g.world
	if at == nil {
		return
	}
	w.after(w.between(time.Millisecond, 4*time.Millisecond), func() {
		switch {
		case !w.canReach(g.name, at.id):
			w.after(writeTimeout, func() { g.report(at.id).Failures++ })
		case !at.up:
			g.report(at.id).Failures++
		case w.chance(300):
			w.checker.read(w, g, at)
			g.report(at.id).Answers++
		case !at.primary:
			g.report(at.id).ReadOnly++
		default:
			g.write(service, at)
		}
	})
}

func (g *gateway) write(service string, at *database) {
	w := g.world
	w.writes++
	number, changes, committed := w.writes, g.changes[service], w.now
	at.write(number, func(answered bool, position Position) {
		if !answered {
			g.report(at.id).Failures++
			return
		}
		open := g.serves(service) && changes == g.changes[service] // otherwise the gateway has closed the connection
		if open || w.options.allAnswers {
			w.checker.answered(at, position, number)
		}
		if !w.canReach(g.name, at.id) {
			return
		}
		g.report(at.id).Answers++
		if open {
			w.checker.acknowledged(w, at, committed, position, number)
		}
	})
}
