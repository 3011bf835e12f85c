package controller

import (
	"cmp"
	"fmt"
	"time"

	"eiderway/control/failover"
	"eiderway/control/registry"
)

const heartbeatInterval = 500 * time.Millisecond

// instance is a database server that sends heartbeats to the primary controller and answers probes.
type instance struct {
	id         string
	service    string
	isPrimary  bool
	term       uint64
	heldTerm   uint64 // the highest term that it has been told
	isUp       bool
	isDraining bool
	seq        uint64
}

func (d *deployment) addInstance(id string, primary bool) *instance {
	instance := &instance{id: id, isPrimary: primary, term: 1, heldTerm: 1, isUp: true}
	d.instances = append(d.instances, instance)
	d.scheduleHeartbeat(instance)
	return instance
}

func (d *deployment) instance(id string) *instance {
	for _, instance := range d.instances {
		if instance.id == id {
			return instance
		}
	}
	return nil
}

func (d *deployment) scheduleHeartbeat(instance *instance) {
	d.after(heartbeatInterval, func() {
		if primary := d.primary(); primary != nil && instance.isUp {
			instance.seq++
			d.sendHeartbeat(primary, instance.heartbeat())
		}
		d.scheduleHeartbeat(instance)
	})
}

func (i *instance) heartbeat() registry.Heartbeat {
	heartbeat := registry.Heartbeat{
		InstanceID:    i.id,
		TargetService: cmp.Or(i.service, "s"),
		Address:       i.id + ":5",
		SlotCount:     7,
		OperState:     registry.Ready,
		DBRole:        registry.Replica,
		CallSeq:       i.seq,
	}
	if i.isPrimary {
		heartbeat.DBRole = registry.Primary
	}
	if i.isDraining {
		heartbeat.OperState = registry.Draining
	}
	return heartbeat
}

func (i *instance) status() failover.Status {
	return failover.Status{
		Primary:  i.isPrimary,
		Term:     i.term,
		TermHeld: i.heldTerm,
		Received: failover.Position{Term: i.term, Number: 7},
	}
}

// probe carries out a probe. An instance that is down doesn't answer.
func (d *deployment) probe(by *machine, probe failover.Probe) {
	process := by.process
	started := d.now
	if by.probed[probe.Number] {
		d.fail("%s uses the number of a probe twice", by.name)
	}
	by.probed[probe.Number] = true
	if probe.Kind == failover.AskPause {
		d.pauseCount++
		d.checkPause(by, probe)
	}
	instance := d.instance(probe.InstanceID)
	if instance == nil || !instance.isUp {
		d.after(300*time.Millisecond, func() {
			d.probed(by, process, failover.ProbeResult{Number: probe.Number, Answer: failover.Silent, Started: started})
		})
		return
	}
	d.after(d.probeTime, func() {
		d.applyProbe(instance, probe)
		d.probed(by, process, failover.ProbeResult{
			Number: probe.Number, Answer: failover.Answered, Status: instance.status(), Started: started,
		})
	})
}

func (d *deployment) probed(by *machine, process int, result failover.ProbeResult) {
	if by.process == process && by.controller != nil {
		d.deliver(by, ProbeFinished{Result: result})
	}
}

func (d *deployment) applyProbe(instance *instance, probe failover.Probe) {
	switch probe.Kind {
	case failover.AskPause:
		instance.heldTerm = max(instance.heldTerm, probe.Term)
	case failover.AskStepDown:
		instance.isPrimary = instance.isPrimary && instance.term >= probe.Term
	}
}

// callPlatform promotes an instance.
func (d *deployment) callPlatform(by *machine, call failover.PlatformCall) {
	process := by.process
	d.platformCalls++
	d.after(300*time.Millisecond, func() {
		d.promote(call.InstanceID)
		if by.process == process && by.controller != nil {
			d.deliver(by, PlatformCallFinished{Result: failover.PlatformResult{Number: call.Number, Outcome: failover.Accepted, Code: 200}})
		}
	})
}

func (d *deployment) promote(id string) {
	term := uint64(0)
	for _, instance := range d.instances {
		term = max(term, instance.term+1)
		instance.isPrimary = false
	}
	promoted := d.instance(id)
	promoted.isPrimary, promoted.term, promoted.heldTerm = true, term, max(promoted.heldTerm, term)
}

// leaver is an instance that joins, drains and leaves. It reports each step to any controller until that is acknowledged.
type leaver struct {
	instance  instance
	isLeaving bool
	lastCall  *testCall
}

// stepLeavers adds a leaver, up to maxLeavers, and has each one take its next step.
func (d *deployment) stepLeavers(to *machine) {
	if len(d.leavers) < maxLeavers {
		leaver := &leaver{instance: instance{id: fmt.Sprintf("l%d", len(d.leavers)), service: "t"}}
		d.leavers = append(d.leavers, leaver)
	}
	for _, leaver := range d.leavers {
		leaver.step(d, to)
	}
}

const maxLeavers = 12

func (l *leaver) step(d *deployment, to *machine) {
	if l.lastCall != nil && l.lastCall.outcome() == "200" {
		l.isLeaving = l.isLeaving || l.instance.isDraining
		l.instance.isDraining = true
	}
	l.instance.seq++
	if l.isLeaving {
		l.lastCall = d.sendLeave(to, l.instance.id)
		return
	}
	l.lastCall = d.sendHeartbeat(to, l.instance.heartbeat())
}

// leaderInstance returns the first instance that is primary, or the first of all.
func (d *deployment) leaderInstance() *instance {
	for _, instance := range d.instances {
		if instance.isPrimary {
			return instance
		}
	}
	return d.instances[0]
}
