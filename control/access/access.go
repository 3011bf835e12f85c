// Package access decides which clients may use which routes: which tenant a key belongs to in a configuration, and for how long keys may be
// accepted without contact to the controllers. It does no I/O and has no clock.
package access

import (
	"crypto/sha256"
	"time"

	"eiderway/control/configuration"
)

// Key is the hash of the key with which a client connected. Keys are compared only by their hashes, so that the duration of a comparison
// reveals nothing about a key, and the key itself is kept no longer than it takes to read the CONNECT.
type Key [sha256.Size]byte

// NewKey hashes a client's key.
func NewKey(key string) Key { return sha256.Sum256([]byte(key)) }

// Table maps keys to tenants, as one configuration has them. Its zero value requires no key.
type Table struct {
	requiresKeys bool           // the configuration has a table of tenants
	tenants      map[Key]string // tenant names by key
}

// NewTable makes the table of the tenants in a configuration.
func NewTable(contents *configuration.Contents) Table {
	table := Table{requiresKeys: contents.HasTenants, tenants: map[Key]string{}}
	for _, tenant := range contents.Tenants {
		for _, key := range tenant.Keys {
			table.tenants[NewKey(key)] = tenant.Name
		}
	}
	return table
}

// RequiresKeys tells whether routes accept known keys only, except for routes without authentication.
func (t Table) RequiresKeys() bool { return t.requiresKeys }

// Authorize tells whether a client with this key may use the route, and as which tenant; "" stands for no tenant, where no key is needed.
func (t Table) Authorize(route configuration.Route, key Key) (tenant string, isAuthorized bool) {
	tenant, isKnown := t.tenants[key]
	return tenant, isKnown || !t.requiresKeys || route.NoAuth
}

// AuthorizesAs tells whether a client with this key may use the route as this tenant.
func (t Table) AuthorizesAs(route configuration.Route, key Key, tenant string) bool {
	current, isAuthorized := t.Authorize(route, key)
	return isAuthorized && current == tenant
}

// Grant is the right of a client to use a route, as established when its first statement was placed.
type Grant struct {
	Route  configuration.Route
	Key    Key
	Tenant string // the tenant for which it runs; "": none
}

// IsGrantValid tells whether a grant is still valid, as far as can be known. Inside a transaction the table is used beyond the lease
// too, but only for as long as removed keys may still be accepted.
func (t Table) IsGrantValid(grant Grant, trust Trust, now time.Duration) bool {
	needsKey := t.requiresKeys && !grant.Route.NoAuth
	if needsKey && !trust.IsValid(now) {
		return false
	}
	return t.AuthorizesAs(grant.Route, grant.Key, grant.Tenant)
}

// Trust says for how long the keys of a table may be accepted without contact to the controllers.
type Trust struct {
	HeardAt  time.Duration // when the last request that was answered was sent
	Duration time.Duration // how long after HeardAt; 0: without limit
}

// IsValid tells whether the keys may still be accepted.
func (t Trust) IsValid(now time.Duration) bool { return t.Duration <= 0 || now < t.HeardAt+t.Duration }

// trustedPercent is the part of the revocation time for which keys are accepted without contact to the controllers. The rest allows for
// clock drift, and for the moment between the commit of a configuration and the table made from it.
const trustedPercent = 90

// TrustDuration returns the Duration of a Trust if removed keys must be refused after the time revoke; 0: without limit.
func TrustDuration(revoke time.Duration) time.Duration { return revoke * trustedPercent / 100 }
