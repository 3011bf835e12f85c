package gateway

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// maxTenantsShown bounds the number of tenant names among the metrics.
	maxTenantsShown = 10
	// otherTenants stands for all tenants that aren't shown by name.
	otherTenants = "(others)"
)

// refusalCounts counts the operations that tenants' limits didn't allow, by tenant.
type refusalCounts map[string]uint64

// foldUnlimited moves the counts of tenants that have no limit any more to otherTenants.
func (r refusalCounts) foldUnlimited(limited []string) {
	known := make(map[string]bool, len(limited))
	for _, tenant := range limited {
		known[tenant] = true
	}
	for tenant, count := range r {
		if !known[tenant] && tenant != otherTenants {
			delete(r, tenant)
			r[otherTenants] += count
		}
	}
}

// top returns the tenants with the most refusals, and the sum of all others.
func (r refusalCounts) top(limit int) map[string]uint64 {
	named := slices.DeleteFunc(slices.Collect(maps.Keys(r)), func(tenant string) bool { return tenant == otherTenants })
	slices.SortFunc(named, func(a, b string) int { return cmp.Or(cmp.Compare(r[b], r[a]), cmp.Compare(a, b)) })
	shown := map[string]uint64{otherTenants: r[otherTenants]}
	for position, tenant := range named {
		if position < limit {
			shown[tenant] = r[tenant]
		} else {
			shown[otherTenants] += r[tenant]
		}
	}
	return shown
}
