package simulation

import (
	"fmt"
	"slices"
	"time"
)

// ranOperation is an operation of a tenant that an instance has run.
type ranOperation struct {
	sent    time.Duration // first byte, at the client
	arrived time.Duration // at the instance that ran it
}

// countOperation notes an operation with the first statement of it that is run.
func (j *Judge) countOperation(one *statement) {
	if one.operation.counted {
		return
	}
	one.operation.counted = true
	j.operations[one.tenant] = append(j.operations[one.tenant], ranOperation{sent: one.operation.sent, arrived: one.arrived})
}

// arrivals are the moments at which operations of a tenant reached the instances that ran them.
func (j *Judge) arrivals(tenant string) []time.Duration {
	var moments []time.Duration
	for _, one := range j.operations[tenant] {
		moments = append(moments, one.arrived)
	}
	return moments
}

// binding says when a configuration's limits began to bind: one window after that, none older counts.
type binding struct {
	heard map[string]bool // gateways that were in touch late enough
	at    time.Duration   // zero: not yet
}

// followLimits notes gateways that are in touch once an order has been acknowledged for long enough.
func (j *Judge) followLimits() {
	w := j.world
	if w.plan.Tenants.Count == 0 {
		return
	}
	for _, one := range w.orders {
		if one.acked < 0 || w.now()-one.acked < w.plan.Bounds.ConfigApply {
			continue
		}
		bound := j.bindings[one]
		if bound == nil {
			bound = &binding{heard: map[string]bool{}}
			j.bindings[one] = bound
		}
		for _, g := range w.gateways {
			if w.gatewayInTouch(g) {
				bound.heard[g.name] = true
			}
		}
		if bound.at == 0 && len(bound.heard) == len(w.gateways) {
			bound.at = w.now()
		}
	}
}

// limitIn is the most that a tenant may have in a window; false: some configuration that may hold in it gives no limit.
func (j *Judge) limitIn(tenant string, from, to time.Duration) (most float64, limited bool) {
	base := int64(0)
	for one, bound := range j.bindings {
		if bound.at > 0 && bound.at <= from {
			base = max(base, one.number)
		}
	}
	rules := j.world.plan.Bounds.Quota
	for _, one := range j.world.orders {
		if !one.possible() || one.sent > to || one.number < base {
			continue
		}
		for _, row := range one.tenants {
			if row.Name != tenant {
				continue
			}
			if !row.limited() {
				return 0, false
			}
			limited = true
			most = max(most, (row.RatePerS*rules.Window.Seconds()+row.BurstSize)*(1+rules.Overrun)+rules.Slack)
		}
	}
	return most, limited
}

// judgeQuota looks at every window that begins with the sending of an operation. Both of its ends belong to it.
func (j *Judge) judgeQuota() {
	window := j.world.plan.Bounds.Quota.Window
	for index := range j.world.plan.Tenants.Count {
		tenant := tenantName(index)
		ran := slices.Clone(j.operations[tenant])
		slices.SortFunc(ran, func(a, b ranOperation) int { return int(a.sent - b.sent) })
		for first, begins := range ran {
			if !j.keepsLimit(tenant, ran[first:], begins.sent, begins.sent+window) {
				break // one window tells enough
			}
		}
	}
}

// keepsLimit looks at one window; ran are the operations that were sent in it or later.
func (j *Judge) keepsLimit(tenant string, ran []ranOperation, from, to time.Duration) bool {
	count := 0
	for _, one := range ran {
		if one.sent > to {
			break
		}
		if one.arrived <= to {
			count++
		}
	}
	most, limited := j.limitIn(tenant, from, to)
	if !limited {
		return true
	}
	if most > 0 {
		j.nearest = max(j.nearest, float64(count)/most)
	}
	if float64(count) <= most {
		return true
	}
	j.broken(ruleQuota, fmt.Sprintf("%s got %d operations from %.3fs to %.3fs, where %.1f are allowed",
		tenant, count, from.Seconds(), to.Seconds(), most))
	return false
}
