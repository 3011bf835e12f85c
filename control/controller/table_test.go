package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/failover"
)

// A service that appears while its failover is under way must be frozen in the first table that has it.
func TestNewServiceUnderFailoverIsFrozenInItsFirstTable(t *testing.T) {
	is := is.New(t)
	d := newDeployment(1, 1, 0, disabledGuards{})
	is.True(d.runUntil(maxWait, func() bool { return d.primary() != nil }))
	c := d.primary().controller
	intent := failover.Intent{Service: "s", InstanceID: "i1", Term: 3}
	c.enqueue(command{kind: changeFailover, change: failover.Change{Request: 1, Intent: &intent}})
	for len(c.term.table.services) == 0 {
		d.run(time.Millisecond)
		is.True(d.now < maxWait)
	}
	is.Equal(c.term.table.services[0].Name, "s")
	is.True(c.term.table.services[0].Frozen)
}

// The version of the table rises only when its contents change, and the configuration is read again when it has changed.
func TestTableChangesOnlyWithItsContents(t *testing.T) {
	is := is.New(t)
	d := newDeployment(1, 1, 0, disabledGuards{})
	is.True(d.runUntil(maxWait, func() bool { return d.primary() != nil }))
	a := d.primary()
	d.sendConfiguration(a, 5, "x")
	d.run(time.Second)
	before := a.controller.term.table
	d.sendConfiguration(a, 3, "y") // changes the state, but not the table
	d.run(time.Second)
	is.Equal(a.controller.term.table.version, before.version)
	d.sendConfiguration(a, 6, "z")
	d.run(time.Second)
	is.Equal(a.controller.term.table.version.Sequence, before.version.Sequence+1)
	is.Equal(string(a.controller.term.table.configuration), string(configurationBody(6, "z")))
}
