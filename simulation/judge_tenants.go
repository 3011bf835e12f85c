package simulation

import (
	"fmt"
	"slices"
	"time"
)

// possible tells whether an order may be in force anywhere.
func (o *order) possible() bool { return o.sent >= 0 && o.valid() && o.refused == 0 }

// holder is the tenant that has a key by the order; "": nobody.
func (o *order) holder(key string) string {
	for _, tenant := range o.tenants {
		if slices.Contains(tenant.Keys, key) {
			return tenant.Name
		}
	}
	return ""
}

// allowed gives the configurations by which something that was sent then may lawfully be handled, if each binds so long after its
// acknowledgement: the newest that binds, and all that are newer. False: none binds yet.
func (j *Judge) allowed(sent time.Duration, bound func(*order) time.Duration) ([]*order, bool) {
	var newest *order
	for _, one := range j.world.orders {
		binds := one.possible() && one.acked >= 0 && sent-one.acked > bound(one)
		if binds && (newest == nil || one.number > newest.number) {
			newest = one
		}
	}
	if newest == nil {
		return nil, false
	}
	set := []*order{newest}
	for _, one := range j.world.orders {
		if one.possible() && one.number > newest.number {
			set = append(set, one)
		}
	}
	return set, true
}

// ran looks at a statement that an instance runs: for a tenant that its client's key stands for.
func (j *Judge) ran(i *instance, one *statement) {
	if j.world.plan.Tenants.Count == 0 {
		return
	}
	j.countOperation(one)
	key := one.operation.key
	held, asTenant := false, false
	for _, placed := range j.world.orders {
		if holder := placed.holder(key); placed.possible() && holder != "" {
			held = true
			asTenant = asTenant || holder == one.tenant
		}
	}
	switch {
	case !held:
		j.broken(ruleRoute, fmt.Sprintf("%s ran a statement with %s, which no configuration held", i.id, key))
	case !asTenant:
		j.broken(ruleUnasked, fmt.Sprintf("%s was told %q for a statement with %s", i.id, one.tenant, key))
	default:
		j.noteWithdrawn(one)
		j.judgeWithdrawn(i, one)
		j.judgeDropped(i, one)
	}
}

// noteWithdrawn notes how long after the acknowledgement that took its key away a statement that ran was sent.
func (j *Judge) noteWithdrawn(one *statement) {
	allowed, any := j.allowed(one.sent, func(*order) time.Duration { return 0 })
	if !any || slices.ContainsFunc(allowed, func(placed *order) bool { return placed.holder(one.operation.key) != "" }) {
		return
	}
	since := allowed[0].acked
	for _, placed := range j.world.orders { // later orders lack it too: the first of them took it away
		if placed.possible() && placed.acked >= 0 && placed.acked < since && !j.heldSince(one.operation.key, placed) {
			since = placed.acked
		}
	}
	j.lastWithdrawn = max(j.lastWithdrawn, one.sent-since)
}

// heldSince tells whether any configuration that may be in force once an order is has a key.
func (j *Judge) heldSince(key string, from *order) bool {
	return slices.ContainsFunc(j.world.orders, func(placed *order) bool {
		return placed.possible() && placed.number >= from.number && placed.holder(key) != ""
	})
}

// judgeWithdrawn: a key that was taken away binds all machines, in touch or not.
func (j *Judge) judgeWithdrawn(i *instance, one *statement) {
	revoke := j.world.plan.Bounds.Revoke
	if revoke <= 0 {
		return
	}
	allowed, any := j.allowed(one.sent, func(*order) time.Duration { return revoke })
	if !any || slices.ContainsFunc(allowed, func(placed *order) bool { return placed.holder(one.operation.key) != "" }) {
		return
	}
	j.broken(ruleConfig, fmt.Sprintf("%s ran a statement of %s, by way of %s, long after its key was taken away", i.id, one.operation.key, one.gateway.name))
}

// judgeDropped: machines in touch work by no older configuration, inside transactions too.
func (j *Judge) judgeDropped(i *instance, one *statement) {
	if !j.world.gatewayCalm(one.gateway) {
		return
	}
	allowed, any := j.allowed(one.sent, j.applyBoundOf)
	if !any || slices.ContainsFunc(allowed, func(placed *order) bool { return placed.holder(one.operation.key) == one.tenant }) {
		return
	}
	j.broken(ruleConfig, fmt.Sprintf("%s in touch had %s run a statement of %s as %s's, which only an older configuration allows",
		one.gateway.name, i.id, one.operation.key, one.tenant))
}

// keyRefused looks at a statement that was refused for its key: machines in touch know the keys that were added.
func (j *Judge) keyRefused(g *gateway, one *statement) {
	if !j.world.gatewayCalm(g) {
		return
	}
	allowed, any := j.allowed(one.sent, j.applyBoundOf)
	if !any || slices.ContainsFunc(allowed, func(placed *order) bool { return placed.holder(one.operation.key) == "" }) {
		return
	}
	j.broken(ruleConfig, fmt.Sprintf("%s in touch refused %s though the key is there", g.name, one.operation.key))
}

func (j *Judge) applyBoundOf(one *order) time.Duration { return j.applyBound(one.acked) }
