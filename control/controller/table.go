package controller

import (
	"maps"
	"reflect"
	"sort"

	"eiderway/control/feed"
	"eiderway/control/quorum"
	"eiderway/control/state"
)

// table is what gateways are to work by, with its version.
type table struct {
	version             feed.Version
	dirty               bool
	configurationNumber int64
	configuration       []byte
	services            []feed.Service
	members             []quorum.Member
}

func newTable(epoch quorum.Epoch) table {
	return table{version: feed.Version{Epoch: epoch}, dirty: true}
}

// freeze is a service whose leader may not be given new work.
type freeze struct {
	number  uint64
	version feed.Version // of the first table that says so
	told    bool         // the failover knows that every gateway has it
}

// refreshTable makes a new version of the table if what it is made of has changed.
func (c *Controller) refreshTable() {
	term := c.term
	if term == nil {
		return
	}
	frozenChanged := c.followFreezes()
	members := c.node.View().Voters
	if !term.table.dirty && !frozenChanged && reflect.DeepEqual(members, term.table.members) {
		return
	}
	next := c.buildTable(members)
	if !sameTable(next, term.table) || c.freezeUnplaced() {
		next.version.Sequence++
		c.placeFreezes(next.version)
	}
	term.table = next
}

// buildTable reads the committed control state. The configuration may be large, and is read when its number has changed.
func (c *Controller) buildTable(members []quorum.Member) table {
	last := c.term.table
	next := table{
		version:             last.version,
		configurationNumber: last.configurationNumber,
		configuration:       last.configuration,
		members:             members,
	}
	if state.ConfigurationNumber(c.node) != last.configurationNumber {
		next.configurationNumber, next.configuration, _ = state.Configuration(c.node)
	}
	for _, view := range c.term.services {
		_, frozen := c.term.freezes[view.Name]
		next.services = append(next.services, feed.Service{
			Name:      view.Name,
			Leader:    view.Leader,
			Frozen:    frozen,
			Instances: view.Instances,
		})
	}
	return next
}

func sameTable(a, b table) bool {
	return a.version.Sequence > 0 &&
		a.configurationNumber == b.configurationNumber &&
		reflect.DeepEqual(a.services, b.services) &&
		reflect.DeepEqual(a.members, b.members)
}

// followFreezes takes over from the failover which services are frozen, and tells whether that has changed.
func (c *Controller) followFreezes() bool {
	changed := false
	kept := 0
	for _, view := range c.term.services {
		number, frozen := c.term.failover.Frozen(view.Name)
		known, was := c.term.freezes[view.Name]
		if frozen {
			kept++
		}
		if frozen == was && (!frozen || known.number == number) {
			continue
		}
		changed = true
		delete(c.term.freezes, view.Name)
		if frozen {
			c.term.freezes[view.Name] = freeze{number: number}
		}
	}
	if kept != len(c.term.freezes) {
		c.dropFreezesOfGoneServices()
	}
	return changed
}

func (c *Controller) dropFreezesOfGoneServices() {
	maps.DeleteFunc(c.term.freezes, func(name string, _ freeze) bool {
		_, frozen := c.term.failover.Frozen(name)
		return !frozen
	})
}

// placeFreezes notes which version of the table brings the new freezes.
func (c *Controller) placeFreezes(version feed.Version) {
	for name, frozen := range c.term.freezes {
		if frozen.version == (feed.Version{}) {
			frozen.version = version
			c.term.freezes[name] = frozen
		}
	}
}

// freezeUnplaced tells whether a freeze is in no version of the table yet. One that ended and began again between two
// versions changes nothing else.
func (c *Controller) freezeUnplaced() bool {
	for _, frozen := range c.term.freezes {
		if frozen.version == (feed.Version{}) {
			return true
		}
	}
	return false
}

func (t *term) frozenServices() []string {
	names := make([]string, 0, len(t.freezes))
	for name := range t.freezes {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// forGateway is the table as one gateway gets it: without a configuration that it holds already.
func (t *table) forGateway(held int64) *feed.Table {
	answer := &feed.Table{
		Version:             t.version,
		ConfigurationNumber: t.configurationNumber,
		Services:            t.services,
		Controllers:         t.members,
	}
	if held != t.configurationNumber {
		answer.Configuration = t.configuration
	}
	return answer
}
