package controller

import (
	"maps"
	"reflect"
	"slices"
	"sort"
	"time"

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

	digest  uint64                 // of the services
	changed map[string]uint64      // the sequence in which each service changed last; one that is gone too
	deltas  map[uint64]*feed.Table // what has changed since a sequence; emptied with each version
	since   time.Duration          // when this version was made

	postponed bool // what has changed since can wait until publishPause is over
}

// publishPause is the least time between two versions of the table where the later one only adds instances: when a fleet starts, hundreds of
// instances come within seconds, and each version goes to each gateway.
const publishPause = 50 * time.Millisecond

func newTable(epoch quorum.Epoch) table {
	return table{version: feed.Version{Epoch: epoch}, dirty: true, changed: map[string]uint64{}}
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
	if term.table.postponed && !frozenChanged && c.now-term.table.since < publishPause {
		return
	}
	if !term.table.dirty && !frozenChanged && reflect.DeepEqual(members, term.table.members) {
		return
	}
	next := c.buildTable(members)
	same := sameTable(next, term.table)
	if !same && !frozenChanged && c.now-term.table.since < publishPause && onlyAdds(term.table, next) {
		term.table.postponed = true
		return
	}
	if !same || c.freezeUnplaced() {
		next.version.Sequence++
		next.since = c.now
		next.follow(term.table)
		c.placeFreezes(next.version)
	}
	term.table = next
}

// onlyAdds tells whether nothing has changed from one table to the next but that instances and services were added: then the older one is no
// less true of what it has.
func onlyAdds(before, next table) bool {
	if before.configurationNumber != next.configurationNumber || !reflect.DeepEqual(before.members, next.members) {
		return false
	}
	after := make(map[string]feed.Service, len(next.services))
	for _, service := range next.services {
		after[service.Name] = service
	}
	for _, old := range before.services {
		present, found := after[old.Name]
		if !found || present.Frozen != old.Frozen || old.Leader.InstanceID != "" && old.Leader != present.Leader {
			return false
		}
		for _, instance := range old.Instances {
			if !slices.Contains(present.Instances, instance) {
				return false
			}
		}
	}
	return true
}

// follow notes which services have changed since the version before.
func (t *table) follow(before table) {
	t.deltas = nil
	t.digest = feed.DigestOf(t.services)
	earlier := make(map[string]feed.Service, len(before.services))
	for _, service := range before.services {
		earlier[service.Name] = service
	}
	for _, service := range t.services {
		if old, found := earlier[service.Name]; !found || !sameService(old, service) {
			t.changed[service.Name] = t.version.Sequence
		}
		delete(earlier, service.Name)
	}
	for name := range earlier {
		t.changed[name] = t.version.Sequence
	}
}

// buildTable reads the committed control state. The configuration may be large, and is read when its number has changed.
func (c *Controller) buildTable(members []quorum.Member) table {
	last := c.term.table
	next := table{
		version:             last.version,
		configurationNumber: last.configurationNumber,
		configuration:       last.configuration,
		members:             members,
		digest:              last.digest,
		changed:             last.changed,
		deltas:              last.deltas,
		since:               last.since,
	}
	if state.ConfigurationNumber(c.node) != last.configurationNumber {
		next.configurationNumber, next.configuration, _ = state.Configuration(c.node)
		c.limitTenants(next.configuration)
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
		slices.EqualFunc(a.services, b.services, sameService) &&
		reflect.DeepEqual(a.members, b.members)
}

func sameService(a, b feed.Service) bool {
	return a.Name == b.Name && a.Leader == b.Leader && a.Frozen == b.Frozen && slices.Equal(a.Instances, b.Instances)
}

// followFreezes takes over from the failover which services are frozen, and tells whether that has changed.
func (c *Controller) followFreezes() bool {
	changes := c.term.failover.FreezeChanges()
	if changes == c.term.freezesSeen && !c.term.table.dirty {
		return false
	}
	c.term.freezesSeen = changes
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

// forGateway is the table as one gateway gets it: what has changed since the one that it works by, and without a configuration that it
// holds already.
func (t *table) forGateway(request feed.WatchRequest) *feed.Table {
	answer := *t.servicesFor(request)
	answer.Version = t.version
	answer.ConfigurationNumber = t.configurationNumber
	answer.Controllers = t.members
	if request.Configuration != t.configurationNumber {
		answer.Configuration = t.configuration
	}
	return &answer
}

func (t *table) servicesFor(request feed.WatchRequest) *feed.Table {
	applied := request.Applied
	switch {
	case applied.Sequence > 0 && applied.Epoch == t.version.Epoch:
		return t.changesSince(applied.Sequence)
	case applied.Sequence > 0 && request.Digest == t.digest:
		return &feed.Table{Base: applied}
	}
	return &feed.Table{Services: t.services}
}

// changesSince is made once for all gateways that work by the same version.
func (t *table) changesSince(sequence uint64) *feed.Table {
	if made, found := t.deltas[sequence]; found {
		return made
	}
	delta := &feed.Table{Base: feed.Version{Epoch: t.version.Epoch, Sequence: sequence}}
	present := make(map[string]bool, len(t.services))
	for _, service := range t.services {
		present[service.Name] = true
		if t.changed[service.Name] > sequence {
			delta.Services = append(delta.Services, service)
		}
	}
	for name, at := range t.changed {
		if at > sequence && !present[name] {
			delta.Gone = append(delta.Gone, name)
		}
	}
	slices.Sort(delta.Gone)
	if t.deltas == nil {
		t.deltas = map[uint64]*feed.Table{}
	}
	t.deltas[sequence] = delta
	return delta
}
