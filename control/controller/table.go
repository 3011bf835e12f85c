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

// table is the state that gateways work by, with its version.
type table struct {
	version             feed.Version
	isDirty             bool // the committed state has changed since the table was built
	configurationNumber int64
	configuration       []byte
	services            []feed.Service
	members             []quorum.Member

	digest    uint64                 // of the services
	changedIn map[string]uint64      // the sequence in which each service changed last, also of services that are gone
	deltas    map[uint64]*feed.Table // the changes since a sequence, by sequence; reset with each version
	createdAt time.Duration          // when this version was made

	isPostponed bool // the changes since this version only add instances, and wait until minPublishInterval is over
}

// minPublishInterval is the least time between two versions of the table if the later one only adds instances. When a fleet starts,
// hundreds of instances join within seconds, and each version goes to each gateway.
const minPublishInterval = 50 * time.Millisecond

func newTable(epoch quorum.Epoch) table {
	return table{version: feed.Version{Epoch: epoch}, isDirty: true, changedIn: map[string]uint64{}}
}

// freeze marks a service whose leader may not be given new work.
type freeze struct {
	number     uint64
	version    feed.Version // of the first table that has the freeze; zero: none has it yet
	isReported bool         // the failover manager knows that the freeze binds all gateways
}

// refreshTable makes a new version of the table if its contents have changed.
func (c *Controller) refreshTable() {
	term := c.term
	if term == nil {
		return
	}
	frozenChanged := c.syncFreezes()
	members := c.node.View().Voters
	if term.table.isPostponed && !frozenChanged && c.now-term.table.createdAt < minPublishInterval {
		return
	}
	if !term.table.isDirty && !frozenChanged && reflect.DeepEqual(members, term.table.members) {
		return
	}
	next := c.buildTable(members)
	same := sameTable(next, term.table)
	if !same && !frozenChanged && c.now-term.table.createdAt < minPublishInterval && onlyAdds(term.table, next) {
		term.table.isPostponed = true
		return
	}
	if !same || c.hasUnpublishedFreeze() {
		next.version.Sequence++
		next.createdAt = c.now
		next.trackChanges(term.table)
		c.assignFreezeVersion(next.version)
	}
	term.table = next
}

// onlyAdds tells whether the next table differs only by added instances and services. Then all that the older table says still holds.
func onlyAdds(before, next table) bool {
	if before.configurationNumber != next.configurationNumber || !reflect.DeepEqual(before.members, next.members) {
		return false
	}
	after := make(map[string]feed.Service, len(next.services))
	for _, service := range next.services {
		after[service.Name] = service
	}
	for _, old := range before.services {
		current, found := after[old.Name]
		if !found || current.Frozen != old.Frozen || old.Leader.InstanceID != "" && old.Leader != current.Leader {
			return false
		}
		for _, instance := range old.Instances {
			if !slices.Contains(current.Instances, instance) {
				return false
			}
		}
	}
	return true
}

// trackChanges records which services have changed since the previous version.
func (t *table) trackChanges(previous table) {
	t.deltas = nil
	t.digest = feed.DigestOf(t.services)
	removed := make(map[string]feed.Service, len(previous.services))
	for _, service := range previous.services {
		removed[service.Name] = service
	}
	for _, service := range t.services {
		if old, found := removed[service.Name]; !found || !sameService(old, service) {
			t.changedIn[service.Name] = t.version.Sequence
		}
		delete(removed, service.Name)
	}
	for name := range removed {
		t.changedIn[name] = t.version.Sequence
	}
}

// buildTable reads the committed control state. The configuration may be large, so it is only read when its number has changed.
func (c *Controller) buildTable(members []quorum.Member) table {
	last := c.term.table
	next := table{
		version:             last.version,
		configurationNumber: last.configurationNumber,
		configuration:       last.configuration,
		members:             members,
		digest:              last.digest,
		changedIn:           last.changedIn,
		deltas:              last.deltas,
		createdAt:           last.createdAt,
	}
	if state.ConfigurationNumber(c.node) != last.configurationNumber {
		next.configurationNumber, next.configuration, _ = state.Configuration(c.node)
		c.setTenantLimits(next.configuration)
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

// syncFreezes updates the frozen services from the failover manager, and tells whether they have changed.
func (c *Controller) syncFreezes() bool {
	changes := c.term.failover.FreezeChanges()
	if changes == c.term.freezeChangesSeen && !c.term.table.isDirty {
		return false
	}
	c.term.freezeChangesSeen = changes
	changed := false
	frozenCount := 0
	for _, view := range c.term.services {
		number, isFrozen := c.term.failover.Frozen(view.Name)
		known, wasFrozen := c.term.freezes[view.Name]
		if isFrozen {
			frozenCount++
		}
		if isFrozen == wasFrozen && (!isFrozen || known.number == number) {
			continue
		}
		changed = true
		delete(c.term.freezes, view.Name)
		if isFrozen {
			c.term.freezes[view.Name] = freeze{number: number}
		}
	}
	if frozenCount != len(c.term.freezes) {
		c.dropFreezesOfRemovedServices()
	}
	return changed
}

func (c *Controller) dropFreezesOfRemovedServices() {
	maps.DeleteFunc(c.term.freezes, func(name string, _ freeze) bool {
		_, frozen := c.term.failover.Frozen(name)
		return !frozen
	})
}

// assignFreezeVersion records which version of the table is the first to have the new freezes.
func (c *Controller) assignFreezeVersion(version feed.Version) {
	for name, frozen := range c.term.freezes {
		if frozen.version == (feed.Version{}) {
			frozen.version = version
			c.term.freezes[name] = frozen
		}
	}
}

// hasUnpublishedFreeze tells whether a freeze is in no version of the table yet. A freeze that ended and began again between two versions
// doesn't change the contents of the table, so comparing these isn't enough.
func (c *Controller) hasUnpublishedFreeze() bool {
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

// forGateway returns the table to send to a gateway: the changes since the version that it works by, without the configuration if it
// already holds that.
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

// changesSince returns the changes since an earlier version. They are computed once for all gateways that work by that version.
func (t *table) changesSince(sequence uint64) *feed.Table {
	if delta, found := t.deltas[sequence]; found {
		return delta
	}
	delta := &feed.Table{Base: feed.Version{Epoch: t.version.Epoch, Sequence: sequence}}
	present := make(map[string]bool, len(t.services))
	for _, service := range t.services {
		present[service.Name] = true
		if t.changedIn[service.Name] > sequence {
			delta.Services = append(delta.Services, service)
		}
	}
	for name, changedIn := range t.changedIn {
		if changedIn > sequence && !present[name] {
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
