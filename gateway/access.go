package gateway

import (
	"time"

	"eiderway/control/access"
)

// rejects tells whether it is known that the database takes no client with this key.
func (d *directory) rejects(now time.Duration, database string, key access.Key) bool {
	route, known := d.routes[database]
	if !known || !d.leased(now) {
		return false
	}
	_, admitted := d.access.Admit(route, key)
	return !admitted
}

// stillRouted tells whether the database's route leads where it led when a placement was made, and asks for a key if it did then.
func (d *directory) stillRouted(placed placement) bool {
	route, known := d.routes[placed.route.Host]
	return known && route.TargetService == placed.route.TargetService &&
		route.Class == placed.route.Class && route.NoAuth == placed.route.NoAuth
}

// stillAdmits tells whether the key under which a placement was made is still good, as far as can be known.
func (d *directory) stillAdmits(now time.Duration, placed placement) bool {
	return d.access.StillAdmits(access.Grant{Route: placed.route, Key: placed.key, Tenant: placed.tenant}, d.keys, now)
}
