package controller

import (
	"slices"

	"eiderway/control/failover"
	"eiderway/control/guard"
	"eiderway/control/state"
)

// stateChanged tells everyone who works by the committed control state that it has changed.
func (c *Controller) stateChanged() {
	c.term.table.dirty, c.term.table.postponed = true, false
	before := c.term.services
	c.term.services = c.term.reader.Services(c.node)
	c.noteInstances(before, c.term.services)
	c.stepFailover(failover.CommittedState{Services: c.withDepartures(c.term.services)})
}

// withDepartures adds what a new term must know of instances that departed under an earlier one.
func (c *Controller) withDepartures(services []failover.ServiceView) []failover.ServiceView {
	if c.term.departuresTold || c.settings.DisabledGuards.Lacks(guard.DeparturesTold) {
		return services
	}
	c.term.departuresTold = true
	departed := state.UncoveredDepartures(c.node)
	told := slices.Clone(services)
	for index := range told {
		told[index].Departed = departed[told[index].Name]
	}
	return told
}

// stepFailover steps the failover and passes its effects on.
func (c *Controller) stepFailover(input failover.Input) {
	if c.term == nil {
		return
	}
	effects := c.term.failover.Step(c.now, input)
	for _, probe := range effects.Probes {
		probe.Number = c.term.number(probe.Number)
		c.effects.Probes = append(c.effects.Probes, probe)
	}
	for _, call := range effects.Calls {
		call.Number = c.term.number(call.Number)
		c.effects.PlatformCalls = append(c.effects.PlatformCalls, call)
	}
	for _, event := range effects.Events {
		c.event(event.What, event.Text)
	}
	if effects.AliveInstanceID != "" {
		c.term.registry.Heard(c.now, effects.AliveInstanceID)
	}
	for _, change := range effects.Changes {
		c.queue(command{kind: changeFailover, change: change})
	}
}

// numberBits is the share of a number outside that the failover counts: it begins anew with each term of office, and an
// answer to a probe of an earlier term must not pass for one of this term. 24 bits are left for the epoch.
const numberBits = 40

// number makes a number of the failover one that no other term uses.
func (t *term) number(inside uint64) uint64 { return uint64(t.epoch)<<numberBits | inside }

// inside gives back the number of the failover, if it is of this term.
func (t *term) inside(number uint64) (uint64, bool) {
	return number & (1<<numberBits - 1), number>>numberBits == uint64(t.epoch)
}

func (c *Controller) takeProbe(in ProbeFinished) {
	if c.term == nil {
		return
	}
	number, mine := c.term.inside(in.Result.Number)
	if !mine {
		return
	}
	in.Result.Number = number
	c.stepFailover(failover.ProbeEnded{Result: in.Result})
}

func (c *Controller) takePlatformCall(in PlatformCallFinished) {
	if c.term == nil {
		return
	}
	number, mine := c.term.inside(in.Result.Number)
	if !mine {
		return // the intent is on the disks: this term finds out what became of it
	}
	in.Result.Number = number
	c.stepFailover(failover.CallEnded{Result: in.Result})
}

// reportCleared tells the failover of each freeze that no gateway works by an older table any more.
func (c *Controller) reportCleared() {
	if len(c.term.freezes) == 0 {
		return
	}
	for _, name := range c.term.frozenServices() {
		frozen := c.term.freezes[name]
		if frozen.told || frozen.version.Sequence == 0 || !c.term.grants.cleared(c.now, frozen.version) {
			continue
		}
		frozen.told = true
		c.term.freezes[name] = frozen
		c.stepFailover(failover.FreezeCleared{Service: name, Freeze: frozen.number})
	}
}
