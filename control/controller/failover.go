package controller

import (
	"slices"

	"eiderway/control/failover"
	"eiderway/control/guard"
	"eiderway/control/state"
)

// handleStateChange passes a change of the committed control state on to the table, the log and the failover.
func (c *Controller) handleStateChange() {
	c.term.table.isDirty, c.term.table.isPostponed = true, false
	before := c.term.services
	c.term.services = c.term.reader.Services(c.node)
	c.logInstanceChanges(before, c.term.services)
	c.stepFailover(failover.CommittedState{Services: c.withDepartures(c.term.services)})
}

// withDepartures adds the instances that departed under earlier terms, once in each term.
func (c *Controller) withDepartures(services []failover.ServiceView) []failover.ServiceView {
	if c.term.departuresReported || c.settings.DisabledGuards.Has(guard.DeparturesReported) {
		return services
	}
	c.term.departuresReported = true
	departed := state.UncoveredDepartures(c.node)
	extended := slices.Clone(services)
	for index := range extended {
		extended[index].Departed = departed[extended[index].Name]
	}
	return extended
}

// stepFailover steps the failover manager and carries out its effects.
func (c *Controller) stepFailover(input failover.Input) {
	if c.term == nil {
		return
	}
	effects := c.term.failover.Step(c.now, input)
	for _, number := range effects.CancelledProbes {
		c.effects.CancelledProbes = append(c.effects.CancelledProbes, c.term.globalNumber(number))
	}
	for _, probe := range effects.Probes {
		probe.Number = c.term.globalNumber(probe.Number)
		c.effects.Probes = append(c.effects.Probes, probe)
	}
	for _, call := range effects.Calls {
		call.Number = c.term.globalNumber(call.Number)
		c.effects.PlatformCalls = append(c.effects.PlatformCalls, call)
	}
	for _, event := range effects.Events {
		c.logEvent(event.What, event.Text)
	}
	if effects.AliveInstanceID != "" {
		c.term.registry.MarkAlive(c.now, effects.AliveInstanceID)
	}
	for _, change := range effects.Changes {
		c.enqueue(command{kind: changeFailover, change: change})
	}
}

// localNumberBits is how many bits of the number of a probe or platform call hold the failover manager's own number. The other 24 hold the
// epoch: the manager starts its numbers again in each term, and an answer from an earlier term must not be taken for one from this term.
const localNumberBits = 40

// globalNumber turns a number of the failover manager into one that no other term uses.
func (t *term) globalNumber(local uint64) uint64 { return uint64(t.epoch)<<localNumberBits | local }

// localNumber returns the failover manager's own number, and whether it is from this term.
func (t *term) localNumber(global uint64) (uint64, bool) {
	return global & (1<<localNumberBits - 1), global>>localNumberBits == uint64(t.epoch)
}

func (c *Controller) handleProbeFinished(in ProbeFinished) {
	if c.term == nil {
		return
	}
	number, isCurrent := c.term.localNumber(in.Result.Number)
	if !isCurrent {
		return
	}
	in.Result.Number = number
	c.stepFailover(failover.ProbeEnded{Result: in.Result})
}

func (c *Controller) handlePlatformCallFinished(in PlatformCallFinished) {
	if c.term == nil {
		return
	}
	number, isCurrent := c.term.localNumber(in.Result.Number)
	if !isCurrent {
		return // the intent is committed, so this term finds out by itself how the call ended
	}
	in.Result.Number = number
	c.stepFailover(failover.CallEnded{Result: in.Result})
}

// reportClearedFreezes tells the failover manager of each freeze that now binds all gateways: none may work by an older table any more.
func (c *Controller) reportClearedFreezes() {
	if len(c.term.freezes) == 0 {
		return
	}
	for _, name := range c.term.frozenServices() {
		frozen := c.term.freezes[name]
		if frozen.isReported || frozen.version.Sequence == 0 || !c.term.leases.noneBehind(c.now, frozen.version) {
			continue
		}
		frozen.isReported = true
		c.term.freezes[name] = frozen
		c.stepFailover(failover.FreezeCleared{Service: name, Freeze: frozen.number})
	}
}
