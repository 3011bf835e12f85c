package gateway

import (
	"time"

	"eiderway/control/access"
)

// rejects tells whether it is known that the database takes no client with this key.
func (d *directory) rejectsKey(now time.Duration, database string, key access.Key) bool {
	route, known := d.routes[database]
	if !known || !d.hasLease(now) {
		return false
	}
	_, admitted := d.access.Admit(route, key)
	return !admitted
}

// stillRouted tells whether the database's route leads where it led when a placement was made, and asks for a key if it did then.
func (d *directory) stillRouted(placement placement) bool {
	route, known := d.routes[placement.route.Host]
	return known && route.TargetService == placement.route.TargetService &&
		route.Class == placement.route.Class && route.NoAuth == placement.route.NoAuth
}

// stillAdmits tells whether the key under which a placement was made is still good, as far as can be known.
func (d *directory) stillAdmits(now time.Duration, placement placement) bool {
	return d.access.StillAdmits(access.Grant{Route: placement.route, Key: placement.key, Tenant: placement.tenant}, d.keys, now)
}
