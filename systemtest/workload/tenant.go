package workload

import (
	"encoding/json"
	"slices"
)

// Tenant is a customer as an operator describes it.
type Tenant struct {
	Name      string   `json:"name"`
	Keys      []string `json:"apiKeys"`
	RatePerS  float64  `json:"ratePerS,omitempty"` // operations a second; 0: without a limit
	BurstSize float64  `json:"burstSize,omitempty"`
}

// tenantTable is the table of tenants as a field of a configuration; nothing for none.
func tenantTable(tenants []Tenant) string {
	if tenants == nil {
		return ""
	}
	encoded, err := json.Marshal(tenants)
	if err != nil {
		panic(err) // texts and numbers
	}
	return `"tenantTable":` + string(encoded) + `,`
}

// holderOf is the tenant that holds a key; "": none does.
func holderOf(tenants []Tenant, key string) string {
	for _, tenant := range tenants {
		if slices.Contains(tenant.Keys, key) {
			return tenant.Name
		}
	}
	return ""
}
