package gateway

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// mostTenantsShown bounds the names among the figures.
	maxTenantsShown = 10
	// otherTenants stands for all tenants that aren't shown by name.
	otherTenants = "(others)"
)

// refusals counts operations that a tenant's limit didn't allow, by tenant.
type refusalCounts map[string]uint64

// keep forgets the names of tenants that have no limit any more.
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

// busiest gives the tenants with the most refusals, and the sum of all others.
func (r refusalCounts) top(most int) map[string]uint64 {
	named := slices.DeleteFunc(slices.Collect(maps.Keys(r)), func(tenant string) bool { return tenant == otherTenants })
	slices.SortFunc(named, func(a, b string) int { return cmp.Or(cmp.Compare(r[b], r[a]), cmp.Compare(a, b)) })
	shown := map[string]uint64{otherTenants: r[otherTenants]}
	for index, tenant := range named {
		if index < most {
			shown[tenant] = r[tenant]
		} else {
			shown[otherTenants] += r[tenant]
		}
	}
	return shown
}
