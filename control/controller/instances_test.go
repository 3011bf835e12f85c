package controller

import (
	"cmp"
	"fmt"
	"time"

	"eiderway/control/failover"
	"eiderway/control/registry"
)

const beatPause = 500 * time.Millisecond

// instance is a database server that beats to whoever leads the controllers, and answers probes.
type instance struct {
	id       string
	service  string
	primary  bool
	term     uint64
	held     uint64
	up       bool
	draining bool
	seq      uint64
}

func (w *world) addInstance(id string, primary bool) *instance {
	one := &instance{id: id, primary: primary, term: 1, held: 1, up: true}
	w.instances = append(w.instances, one)
	w.beats(one)
	return one
}

func (w *world) instance(id string) *instance {
	for _, one := range w.instances {
		if one.id == id {
			return one
		}
	}
	return nil
}

func (w *world) beats(one *instance) {
	w.after(beatPause, func() {
		if leads := w.primary(); leads != nil && one.up {
			one.seq++
			w.sendBeat(leads, one.beat())
		}
		w.beats(one)
	})
}

func (i *instance) beat() registry.Heartbeat {
	beat := registry.Heartbeat{
		InstanceID:    i.id,
		TargetService: cmp.Or(i.service, "s"),
		Address:       i.id + ":5",
		SlotCount:     7,
		OperState:     registry.Ready,
		DBRole:        registry.Replica,
		CallSeq:       i.seq,
	}
	if i.primary {
		beat.DBRole = registry.Primary
	}
	if i.draining {
		beat.OperState = registry.Draining
	}
	return beat
}

func (i *instance) status() failover.Status {
	return failover.Status{
		Primary:  i.primary,
		Term:     i.term,
		TermHeld: i.held,
		Received: failover.Position{Term: i.term, Number: 7},
	}
}

// probe carries a probe out; a dead instance stays silent.
func (w *world) probe(by *machine, probe failover.Probe) {
	life := by.life
	started := w.now
	if by.probed[probe.Number] {
		w.fail("%s uses the number of a probe twice", by.name)
	}
	by.probed[probe.Number] = true
	if probe.Kind == failover.AskPause {
		w.pauses++
		w.judgePause(by, probe)
	}
	one := w.instance(probe.InstanceID)
	if one == nil || !one.up {
		w.after(300*time.Millisecond, func() {
			w.probed(by, life, failover.ProbeResult{Number: probe.Number, Answer: failover.Silent, Started: started})
		})
		return
	}
	w.after(w.probeTime, func() {
		w.carryOut(one, probe)
		w.probed(by, life, failover.ProbeResult{
			Number: probe.Number, Answer: failover.Answered, Status: one.status(), Started: started,
		})
	})
}

func (w *world) probed(by *machine, life int, result failover.ProbeResult) {
	if by.life == life && by.controller != nil {
		w.give(by, ProbeFinished{Result: result})
	}
}

func (w *world) carryOut(one *instance, probe failover.Probe) {
	switch probe.Kind {
	case failover.AskPause:
		one.held = max(one.held, probe.Term)
	case failover.AskStepDown:
		one.primary = one.primary && one.term >= probe.Term
	}
}

// callPlatform promotes an instance.
func (w *world) callPlatform(by *machine, made failover.PlatformCall) {
	life := by.life
	w.platform++
	w.after(300*time.Millisecond, func() {
		w.promote(made.InstanceID)
		if by.life == life && by.controller != nil {
			w.give(by, PlatformCallFinished{Result: failover.PlatformResult{Number: made.Number, Outcome: failover.Accepted, Code: 200}})
		}
	})
}

func (w *world) promote(id string) {
	term := uint64(0)
	for _, one := range w.instances {
		term = max(term, one.term+1)
		one.primary = false
	}
	chosen := w.instance(id)
	chosen.primary, chosen.term, chosen.held = true, term, max(chosen.held, term)
}

// leaver is an instance that comes, drains and leaves, saying so to any controller until it is acknowledged.
type leaver struct {
	instance instance
	leaves   bool
	told     *call
}

// leaversCome lets one more come, and each take its next step.
func (w *world) leaversCome(to *machine) {
	if len(w.leavers) < mostLeavers {
		one := &leaver{instance: instance{id: fmt.Sprintf("l%d", len(w.leavers)), service: "t"}}
		w.leavers = append(w.leavers, one)
	}
	for _, one := range w.leavers {
		one.step(w, to)
	}
}

const mostLeavers = 12

func (l *leaver) step(w *world, to *machine) {
	if l.told != nil && l.told.outcome() == "200" {
		l.leaves = l.leaves || l.instance.draining
		l.instance.draining = true
	}
	l.instance.seq++
	if l.leaves {
		l.told = w.sendLeave(to, l.instance.id)
		return
	}
	l.told = w.sendBeat(to, l.instance.beat())
}

// leadingInstance is the one that leads the service, or the first.
func (w *world) leadingInstance() *instance {
	for _, one := range w.instances {
		if one.primary {
			return one
		}
	}
	return w.instances[0]
}
