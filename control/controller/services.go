package controller

import (
	"eiderway/control/failover"
	"eiderway/control/state"
)

// stateChanged tells everyone who works by the committed control state that it has changed.
func (c *Controller) stateChanged() {
	c.term.table.dirty = true
	c.stepFailover(failover.World{Services: state.Services(c.node)})
}

// stepFailover steps the failover and passes its effects on.
func (c *Controller) stepFailover(input failover.Input) {
	if c.term == nil {
		return
	}
	effects := c.term.failover.Step(c.now, input)
	c.effects.Probes = append(c.effects.Probes, effects.Probes...)
	c.effects.Calls = append(c.effects.Calls, effects.Calls...)
	for _, event := range effects.Events {
		c.event(event.What, event.Text)
	}
	for _, change := range effects.Changes {
		c.queue(command{kind: changeFailover, change: change})
	}
}

func (c *Controller) takeProbe(in Probed) {
	if c.term == nil {
		return
	}
	c.stepFailover(failover.Probed{Result: in.Result})
}

// reportCleared tells the failover of each freeze that no gateway works by an older table any more.
func (c *Controller) reportCleared() {
	for _, name := range c.term.frozenServices() {
		frozen := c.term.freezes[name]
		if frozen.told || frozen.version.Sequence == 0 || !c.term.grants.cleared(c.now, frozen.version) {
			continue
		}
		frozen.told = true
		c.term.freezes[name] = frozen
		c.stepFailover(failover.Cleared{Service: name, Freeze: frozen.number})
	}
	c.term.grants.expire(c.now)
}
