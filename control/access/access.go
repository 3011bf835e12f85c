// Package access decides which clients may use which routes: whose key is whose by a configuration, and for how long keys may be
// taken for good by somebody who hears nothing. It does no I/O and knows no clock.
package access

import (
	"crypto/sha256"
	"time"

	"eiderway/control/configuration"
)

// Key is the hash of the key with which a client connected. Keys are compared by it alone, so that the time that a comparison takes
// tells nothing of a key, and no key is kept longer than it takes to read the CONNECT.
type Key [sha256.Size]byte

// NewKey hashes a client's key.
func NewKey(key string) Key { return sha256.Sum256([]byte(key)) }

// Table says whose key is whose, by one configuration. Its zero value requires no key.
type Table struct {
	required bool           // the system has tenants: routes take known keys only, but for those that need none
	tenants  map[Key]string // by key
}

// NewTable reads the tenants of a configuration.
func NewTable(contents *configuration.Contents) Table {
	table := Table{required: contents.HasTenants, tenants: map[Key]string{}}
	for _, tenant := range contents.Tenants {
		for _, key := range tenant.Keys {
			table.tenants[NewKey(key)] = tenant.Name
		}
	}
	return table
}

// RequiresKeys tells whether routes take known keys only, but for those that need none.
func (t Table) RequiresKeys() bool { return t.required }

// Authorize tells as whose tenant a client with this key uses the route; "": as nobody's, where no key is needed.
func (t Table) Authorize(route configuration.Route, key Key) (tenant string, admitted bool) {
	tenant, known := t.tenants[key]
	return tenant, known || !t.required || route.NoAuth
}

// AuthorizesAs tells whether a client with this key still uses the route as the same tenant.
func (t Table) AuthorizesAs(route configuration.Route, key Key, tenant string) bool {
	now, admitted := t.Authorize(route, key)
	return admitted && now == tenant
}

// Grant is the right of a client to a route, as it was found when its first statement was placed.
type Grant struct {
	Route  configuration.Route
	Key    Key
	Tenant string // for whom it runs; "": nobody's
}

// IsGrantValid tells whether a grant still holds, as far as can be known: outside the lease, inside a transaction, a table is trusted for as
// long as keys that were taken away may be of use.
func (t Table) IsGrantValid(grant Grant, trust Trust, now time.Duration) bool {
	needsKey := t.required && !grant.Route.NoAuth
	if needsKey && !trust.IsValid(now) {
		return false
	}
	return t.AuthorizesAs(grant.Route, grant.Key, grant.Tenant)
}

// Trust is for how long the keys of a table may be taken for good without news.
type Trust struct {
	HeardAt  time.Duration // when the question was sent whose answer came last
	Duration time.Duration // how long after it; 0: for as long as nothing else is heard
}

// IsValid tells whether the keys may still be taken for good.
func (t Trust) IsValid(now time.Duration) bool { return t.Duration <= 0 || now < t.HeardAt+t.Duration }

// trustedPercent is the part of the time in which a key that was taken away is to be of no use, after which whoever has heard nothing
// runs no statement with a key any more. The rest is for clocks, and for tables that are made a moment after a commit.
const trustedPercent = 90

// TrustDuration gives the Duration of a Trust where a key is to be of no use so long after it was taken away; 0: no bound.
func TrustDuration(revoke time.Duration) time.Duration { return revoke * trustedPercent / 100 }
