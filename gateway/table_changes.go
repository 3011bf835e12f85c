package gateway

import (
	"slices"

	"eiderway/control/configuration"
	"eiderway/control/feed"
)

// news is what a table changed, for what must be ended and for the log.
type tableChanges struct {
	hasNewTable         bool     // there is a newer table
	leaderChanged       []string // services whose leader changed, or that are gone
	frozen              []string // services that are frozen now and were not
	thawed              []string // services that were frozen
	draining            []string // services whose leader drains and did not
	vacant              []string // services whose leader is gone and wasn't, so that nothing can be sent
	hasNewConfiguration bool     // there is a newer configuration
	tenants             []configuration.Tenant
}

func (n *tableChanges) compare(before, after map[string]*service) {
	for name, old := range before {
		present := after[name]
		if present == nil || !sameLeader(old.Leader, present.Leader) {
			n.leaderChanged = append(n.leaderChanged, name)
		}
		if present != nil && old.Frozen && !present.Frozen {
			n.thawed = append(n.thawed, name)
		}
		if present != nil && old.address != "" && present.address == "" {
			n.vacant = append(n.vacant, name)
		}
	}
	for name, present := range after {
		old := before[name]
		if present.Frozen && (old == nil || !old.Frozen) {
			n.frozen = append(n.frozen, name)
		}
		if present.leaderInstance.Draining && (old == nil || !old.leaderInstance.Draining) {
			n.draining = append(n.draining, name)
		}
	}
	for _, names := range [][]string{n.leaderChanged, n.frozen, n.thawed, n.draining, n.vacant} {
		slices.Sort(names)
	}
}

// ofServices tells whether a service has changed in a way that is worth a line in the log.
func (n *tableChanges) affectServices() bool {
	return len(n.leaderChanged)+len(n.frozen)+len(n.thawed)+len(n.draining)+len(n.vacant) > 0
}

// sameLeader tells whether the leadership is the same. A term that wasn't known before doesn't change it.
func sameLeader(a, b feed.Leader) bool {
	return a.InstanceID == b.InstanceID && (a.Term == b.Term || a.Term == 0)
}
