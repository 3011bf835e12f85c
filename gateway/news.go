package gateway

import (
	"slices"

	"eiderway/control/configuration"
	"eiderway/control/feed"
)

// news is what a table changed, for what must be ended and for the log.
type news struct {
	table      bool     // there is a newer table
	moved      []string // services whose leader changed, or that are gone
	froze      []string // services that are frozen now and were not
	thawed     []string // services that were frozen
	draining   []string // services whose leader drains and did not
	vacant     []string // services whose leader is gone and wasn't, so that nothing can be sent
	configured bool     // there is a newer configuration
	tenants    []configuration.Tenant
}

func (n *news) compare(before, after map[string]*service) {
	for name, old := range before {
		present := after[name]
		if present == nil || !sameLeader(old.Leader, present.Leader) {
			n.moved = append(n.moved, name)
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
			n.froze = append(n.froze, name)
		}
		if present.leading.Draining && (old == nil || !old.leading.Draining) {
			n.draining = append(n.draining, name)
		}
	}
	for _, names := range [][]string{n.moved, n.froze, n.thawed, n.draining, n.vacant} {
		slices.Sort(names)
	}
}

// ofServices tells whether a service has changed in a way that is worth a line in the log.
func (n *news) ofServices() bool {
	return len(n.moved)+len(n.froze)+len(n.thawed)+len(n.draining)+len(n.vacant) > 0
}

// sameLeader tells whether the leadership is the same. A term that wasn't known before doesn't change it.
func sameLeader(a, b feed.Leader) bool {
	return a.InstanceID == b.InstanceID && (a.Term == b.Term || a.Term == 0)
}
