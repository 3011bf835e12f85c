package workload

import (
	"encoding/json"
	"slices"
)

// Tenant is a customer as a configuration describes it.
type Tenant struct {
	Name      string   `json:"name"`
	Keys      []string `json:"apiKeys"`
	RatePerS  float64  `json:"ratePerS,omitempty"` // operations a second; 0: no limit
	BurstSize float64  `json:"burstSize,omitempty"`
}

// tenantTable returns the table of tenants as a field of a configuration, or nothing if there is no table.
func tenantTable(tenants []Tenant) string {
	if tenants == nil {
		return ""
	}
	encoded, err := json.Marshal(tenants)
	if err != nil {
		panic(err) // impossible: it holds only texts and numbers
	}
	return `"tenantTable":` + string(encoded) + `,`
}

// holderOf returns the tenant that holds a key, or "" if none does.
func holderOf(tenants []Tenant, key string) string {
	for _, tenant := range tenants {
		if slices.Contains(tenant.Keys, key) {
			return tenant.Name
		}
	}
	return ""
}
