package workload

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"eiderway/testinstance"
	"eiderway/wire"
)

// TenantRules are the bounds of the rules on keys and limits.
type TenantRules struct {
	Revoke  time.Duration // time after which no gateway accepts a key that was taken away
	Window  time.Duration // in which operations are counted
	Overrun float64       // fraction by which a limit may be exceeded
	Slack   float64       // operations
}

// TenantEvidence is the recorded history that JudgeTenants checks.
type TenantEvidence struct {
	Statements []Statement
	Orders     []Order // all that were sent
	Journal    testinstance.Journal
	Rules      TenantRules
	// LimitBinds returns when a lower limit that was acknowledged at the given time binds all gateways; nil: never.
	LimitBinds func(acknowledged time.Time) time.Time
}

// JudgeTenants returns the violations of the rules on tenants, keys and limits, each with the name of its rule.
func JudgeTenants(evidence TenantEvidence) []string {
	j := &tenantJudge{TenantEvidence: evidence, asked: map[string]Statement{}}
	for _, statement := range evidence.Statements {
		j.asked[statement.ID] = statement
	}
	j.checkInstancesSeeNoKey()
	j.checkStatementsRunAsTheirTenants()
	j.checkLastingKeysAreAccepted()
	j.checkLimits()
	return j.broken
}

type tenantJudge struct {
	TenantEvidence
	broken []string
	asked  map[string]Statement // by id
}

func (j *tenantJudge) report(rule, format string, arguments ...any) {
	j.broken = append(j.broken, rule+": "+fmt.Sprintf(format, arguments...))
}

// acknowledged reports whether the order was acknowledged before a moment.
func (o Order) acknowledged(before time.Time) bool {
	return o.Status == http.StatusOK && o.Answered.Before(before)
}

// wasRefused reports whether the order certainly never was in force.
func (o Order) wasRefused() bool { return isFinal(o.Status) }

// checkInstancesSeeNoKey checks that instances are given names of tenants at CONNECT, never keys.
func (j *tenantJudge) checkInstancesSeeNoKey() {
	keys := map[string]bool{}
	for _, order := range j.Orders {
		for _, tenant := range order.Tenants {
			for _, key := range tenant.Keys {
				keys[key] = true
			}
		}
	}
	for _, statement := range j.Statements {
		keys[statement.Key] = true
	}
	for _, connected := range j.Journal.Connected {
		if keys[connected.User] {
			j.report("UNASKED", "%s was told a key at CONNECT", connected.Instance)
		}
	}
}

// checkStatementsRunAsTheirTenants checks that a statement runs as a tenant that holds its client's key in a configuration
// that may be in force.
func (j *tenantJudge) checkStatementsRunAsTheirTenants() {
	for _, ran := range j.Journal.Executions {
		asked, known := j.asked[ran.ID]
		if !known {
			continue // Judge reports it
		}
		switch ever, now := j.holders(asked, ran); {
		case len(ever) == 0:
			j.report("ROUTE", "%s ran %s with a key that nobody ever held", ran.Instance, ran.ID)
		case !slices.Contains(ever, ran.User):
			j.report("UNASKED", "%s ran %s for %q, its key is that of %q", ran.Instance, ran.ID, ran.User, ever)
		case !slices.Contains(now, ran.User):
			j.report("CONFIG", "%s ran %s, sent at %v, for %q, from whom its key had been taken away", ran.Instance, ran.ID, asked.Sent, ran.User)
		}
	}
}

// holders returns the tenants that held the key of a statement in any configuration sent before it ran (ever), and
// those that held it in one that may still have been in force for the statement (now).
func (j *tenantJudge) holders(asked Statement, ran testinstance.Execution) (ever, now []string) {
	for _, order := range j.Orders {
		holder := holderOf(order.Tenants, asked.Key)
		if holder == "" || order.wasRefused() || order.Sent.After(ran.At) {
			continue
		}
		ever = append(ever, holder)
		if !j.isOutdated(order, asked.Sent) {
			now = append(now, holder)
		}
	}
	return ever, now
}

// isOutdated reports whether a configuration newer than this one binds all statements that are sent at a moment.
func (j *tenantJudge) isOutdated(order Order, at time.Time) bool {
	return slices.ContainsFunc(j.Orders, func(newer Order) bool {
		return newer.Number > order.Number && newer.acknowledged(at.Add(-j.Rules.Revoke))
	})
}

// checkLastingKeysAreAccepted checks that a key that every configuration holds is never refused.
func (j *tenantJudge) checkLastingKeysAreAccepted() {
	for _, statement := range j.Statements {
		if statement.Code != wire.AuthFail {
			continue
		}
		lacks := func(order Order) bool { return !order.wasRefused() && holderOf(order.Tenants, statement.Key) == "" }
		if !slices.ContainsFunc(j.Orders, lacks) {
			j.report("CONFIG", "%s was refused with AUTHFAIL, and its key was there all the time", statement.ID)
		}
	}
}

// operation is a try of a client of which an instance has run at least one statement.
type operation struct {
	sent time.Time // when the client sent its first statement
	ran  time.Time // when an instance first ran a statement of it
}

// operations returns the operations of each tenant, sorted by the time at which they were sent.
func (j *tenantJudge) operations() map[string][]operation {
	type owner struct{ tenant, try string }
	found := map[owner]operation{}
	for _, ran := range j.Journal.Executions {
		asked, known := j.asked[ran.ID]
		if !known {
			continue
		}
		at := owner{ran.User, asked.Try}
		if one, present := found[at]; !present || ran.At.Before(one.ran) {
			found[at] = operation{sent: asked.Began, ran: ran.At}
		}
	}
	byTenant := map[string][]operation{}
	for at, one := range found {
		byTenant[at.tenant] = append(byTenant[at.tenant], one)
	}
	for _, all := range byTenant {
		slices.SortFunc(all, func(one, other operation) int { return one.sent.Compare(other.sent) })
	}
	return byTenant
}

// checkLimits checks that in every window a tenant has no more operations, sent and run in it, than its limit allows.
func (j *tenantJudge) checkLimits() {
	byTenant := j.operations()
	names := slices.Sorted(maps.Keys(byTenant))
	for _, tenant := range names {
		j.checkLimit(tenant, byTenant[tenant])
	}
}

func (j *tenantJudge) checkLimit(tenant string, all []operation) {
	for first, start := range all {
		end := start.sent.Add(j.Rules.Window)
		count := 0
		for _, one := range all[first:] {
			if one.sent.After(end) {
				break
			}
			if !one.ran.After(end) {
				count++
			}
		}
		most, limited := j.allowedIn(tenant, start.sent, end)
		if limited && float64(count) > most {
			j.report("QUOTA", "%s had %d operations in the window from %v, %.1f at the most", tenant, count, start.sent, most)
			return // one report for each tenant is enough
		}
	}
}

// allowedIn returns how many operations of a tenant a window may hold, by the highest limit that may be in force in it.
func (j *tenantJudge) allowedIn(tenant string, from, to time.Time) (most float64, limited bool) {
	for _, order := range j.Orders {
		if order.wasRefused() || order.Sent.After(to) || j.isLimitSuperseded(order, from) {
			continue
		}
		at := slices.IndexFunc(order.Tenants, func(one Tenant) bool { return one.Name == tenant })
		if at < 0 {
			continue
		}
		described := order.Tenants[at]
		if described.RatePerS == 0 {
			return 0, false
		}
		allowed := (described.RatePerS*j.Rules.Window.Seconds()+described.BurstSize)*(1+j.Rules.Overrun) + j.Rules.Slack
		most, limited = max(most, allowed), true
	}
	return most, limited
}

// isLimitSuperseded reports whether the limits of a newer configuration bind all gateways in windows that begin at a moment.
func (j *tenantJudge) isLimitSuperseded(order Order, at time.Time) bool {
	if j.LimitBinds == nil {
		return false
	}
	return slices.ContainsFunc(j.Orders, func(newer Order) bool {
		return newer.Number > order.Number && newer.Status == http.StatusOK && !j.LimitBinds(newer.Answered).After(at)
	})
}
