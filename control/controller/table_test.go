package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/failover"
)

// A service that appears with a failover under way is frozen in the first table that has it.
func TestServiceThatAppearsIsFrozenAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1, 0, disabledGuards{})
	is.True(w.until(patience, func() bool { return w.primary() != nil }))
	c := w.primary().controller
	intent := failover.Intent{Service: "s", InstanceID: "i1", Term: 3}
	c.enqueue(command{kind: changeFailover, change: failover.Change{Request: 1, Intent: &intent}})
	for len(c.term.table.services) == 0 {
		w.run(time.Millisecond)
		is.True(w.now < patience)
	}
	is.Equal(c.term.table.services[0].Name, "s")
	is.True(c.term.table.services[0].Frozen)
}

// Tables are numbered by what they say, and the configuration is read when it has changed.
func TestTableChangesOnlyWithItsContents(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1, 0, disabledGuards{})
	is.True(w.until(patience, func() bool { return w.primary() != nil }))
	a := w.primary()
	w.sendOrder(a, 5, "x")
	w.run(time.Second)
	before := a.controller.term.table
	w.sendOrder(a, 3, "y") // changes the state, and nothing that gateways work by
	w.run(time.Second)
	is.Equal(a.controller.term.table.version, before.version)
	w.sendOrder(a, 6, "z")
	w.run(time.Second)
	is.Equal(a.controller.term.table.version.Sequence, before.version.Sequence+1)
	is.Equal(string(a.controller.term.table.configuration), string(body(6, "z")))
}
