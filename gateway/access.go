package gateway

import (
	"time"

	"eiderway/control/access"
)

// rejectsKey reports whether it is known that the database doesn't admit a client with this key.
func (d *directory) rejectsKey(now time.Duration, database string, key access.Key) bool {
	route, known := d.routes[database]
	if !known || !d.hasLease(now) {
		return false
	}
	_, admitted := d.access.Authorize(route, key)
	return !admitted
}

// stillRouted reports whether the database's route still leads where it led when the placement was made, and still
// requires a key or not.
func (d *directory) stillRouted(placement placement) bool {
	route, known := d.routes[placement.route.Host]
	return known && route.TargetService == placement.route.TargetService &&
		route.Class == placement.route.Class && route.NoAuth == placement.route.NoAuth
}

// stillAdmits reports whether the key under which a placement was made is still valid, as far as the gateway can know.
func (d *directory) stillAdmits(now time.Duration, placement placement) bool {
	return d.access.IsGrantValid(access.Grant{Route: placement.route, Key: placement.key, Tenant: placement.tenant}, d.keys, now)
}
