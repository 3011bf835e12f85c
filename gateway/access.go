package gateway

import (
	"crypto/sha256"
	"time"

	"eiderway/control/configuration"
)

// accessKey is the hash of the key with which a client connected. Keys are compared by it alone, so that the time that a
// comparison takes tells nothing of a key, and no key is kept longer than it takes to read the CONNECT.
type accessKey [sha256.Size]byte

func newAccessKey(key string) accessKey { return sha256.Sum256([]byte(key)) }

// accessTable says whose key is whose, by the configuration held.
type accessTable struct {
	required bool                 // the system has tenants: routes take known keys only, but for those that need none
	tenants  map[accessKey]string // by key
}

func newAccessTable(contents *configuration.Contents) accessTable {
	table := accessTable{required: contents.HasTenants, tenants: map[accessKey]string{}}
	for _, tenant := range contents.Tenants {
		for _, key := range tenant.Keys {
			table.tenants[newAccessKey(key)] = tenant.Name
		}
	}
	return table
}

// admit tells as whose tenant a client with this key uses the route; "": as nobody's, where no key is needed.
func (t accessTable) admit(route configuration.Route, key accessKey) (tenant string, admitted bool) {
	tenant, known := t.tenants[key]
	return tenant, known || !t.required || route.NoAuth
}

// admits tells whether a client with this key still uses the route as the same tenant.
func (t accessTable) admits(route configuration.Route, key accessKey, tenant string) bool {
	now, admitted := t.admit(route, key)
	return admitted && now == tenant
}

// rejects tells whether it is known that the database takes no client with this key.
func (d *directory) rejects(now time.Duration, database string, key accessKey) bool {
	route, known := d.routes[database]
	if !known || !d.leased(now) {
		return false
	}
	_, admitted := d.access.admit(route, key)
	return !admitted
}

// stillRouted tells whether the database's route leads where it led when a placement was made, and asks for a key if it did then.
func (d *directory) stillRouted(placed placement) bool {
	route, known := d.routes[placed.route.Host]
	return known && route.TargetService == placed.route.TargetService &&
		route.Class == placed.route.Class && route.NoAuth == placed.route.NoAuth
}

// stillAdmits tells whether the key under which a placement was made is still good, as far as can be known: beyond the lease, inside a
// transaction, the table is trusted for as long as keys that were taken away may be of use.
func (d *directory) stillAdmits(now time.Duration, placed placement) bool {
	needsKey := d.access.required && !placed.route.NoAuth
	if needsKey && d.keysTrusted > 0 && now >= d.heardAt+d.keysTrusted {
		return false
	}
	return d.access.admits(placed.route, placed.key, placed.tenant)
}
