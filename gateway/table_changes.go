package gateway

import (
	"slices"

	"eiderway/control/configuration"
	"eiderway/control/feed"
)

// tableChanges describes what a new table changed, for the log and for what must be ended or replaced.
type tableChanges struct {
	hasNewTable         bool     // the table is newer
	leaderChanged       []string // services whose leader changed, or that are gone
	frozen              []string // services that are newly frozen
	thawed              []string // services that aren't frozen any more
	draining            []string // services whose leader has begun to drain
	vacant              []string // services whose leader has gone, so that nothing can be sent to it
	hasNewConfiguration bool     // the table has a newer configuration
	tenants             []configuration.Tenant
}

func (c *tableChanges) compare(before, after map[string]*service) {
	for name, old := range before {
		current := after[name]
		if current == nil || !sameLeader(old.Leader, current.Leader) {
			c.leaderChanged = append(c.leaderChanged, name)
		}
		if current != nil && old.Frozen && !current.Frozen {
			c.thawed = append(c.thawed, name)
		}
		if current != nil && old.address != "" && current.address == "" {
			c.vacant = append(c.vacant, name)
		}
	}
	for name, current := range after {
		old := before[name]
		if current.Frozen && (old == nil || !old.Frozen) {
			c.frozen = append(c.frozen, name)
		}
		if current.leaderInstance.Draining && (old == nil || !old.leaderInstance.Draining) {
			c.draining = append(c.draining, name)
		}
	}
	for _, names := range [][]string{c.leaderChanged, c.frozen, c.thawed, c.draining, c.vacant} {
		slices.Sort(names)
	}
}

// affectServices reports whether a service has changed in a way that is logged.
func (c *tableChanges) affectServices() bool {
	return len(c.leaderChanged)+len(c.frozen)+len(c.thawed)+len(c.draining)+len(c.vacant) > 0
}

// sameLeader reports whether the leadership is the same. A term that becomes known doesn't change it.
func sameLeader(a, b feed.Leader) bool {
	return a.InstanceID == b.InstanceID && (a.Term == b.Term || a.Term == 0)
}
