package simulation

import (
	"fmt"
	"time"

	"eiderway/control/access"
	"eiderway/control/configuration"
	"eiderway/control/controller"
	"eiderway/control/feed"
	"eiderway/control/guard"
	"eiderway/control/quota"
)

// Times of a gateway's questions for operations, as the gateway has them.
const (
	operationsTime     = 700 * time.Millisecond // for an answer
	operationsPause    = 50 * time.Millisecond  // after a question that got none
	operationsPatience = 40 * time.Millisecond  // of a statement that waits for operations
)

// tenantry is what a gateway knows of tenants: whose key is whose, and what it may begin for whom.
type tenantry struct {
	access   access.Table
	keys     access.Trust
	admitted map[string]string // tenant by session and key; used only where a guard is taken out
	purse    *quota.Budget
	waiting  []*spender
	asked    uint64 // number of the question for operations
	primary  string // address of the controller that answered last
}

// spender is a statement that waits until its tenant may begin an operation.
type spender struct {
	tenant string
	over   bool
	done   func(may bool)
}

func newTenantry(plan Plan) tenantry {
	return tenantry{
		keys:     access.Trust{Duration: access.TrustDuration(plan.Bounds.Revoke)},
		admitted: map[string]string{},
		purse:    quota.NewBudget(),
	}
}

// readTenants takes over what a newer configuration says of tenants.
func (g *gateway) readTenants(body []byte) {
	if g.world.plan.Tenants.Count == 0 || body == nil {
		return
	}
	order, err := configuration.Parse(body)
	if err != nil {
		g.world.judge.toldBroken(g.name, "a configuration that can't be read: "+err.Error())
		return
	}
	g.access = access.NewTable(&order.Contents)
	var limited []string
	for _, tenant := range order.Contents.Tenants {
		if tenant.Limited {
			limited = append(limited, tenant.Name)
		}
	}
	g.purse.SetLimitedTenants(limited)
}

// trust is for how long the keys of the table held may be taken for good.
func (g *gateway) trust() access.Trust {
	if g.world.plan.Lacking.Has(guard.KeyTrustExpires) {
		return access.Trust{}
	}
	return g.keys
}

// admit finds out for whom a first statement runs. It answers those whose key isn't known.
func (g *gateway) admit(one *statement, answer func(answerKind)) bool {
	if g.world.now() >= g.leaseUntil || g.table == nil || g.table.ConfigurationNumber == 0 {
		answer(answerBusy)
		return false
	}
	tenant, admitted := g.access.Authorize(configuration.Route{}, access.NewKey(one.operation.key))
	if g.world.plan.Lacking.Has(guard.KeyPerStatement) {
		tenant, admitted = g.admitSession(one.operation, tenant, admitted)
	}
	if !admitted {
		g.world.judge.keyRefused(g, one)
		answer(answerUnknownKey)
		return false
	}
	one.tenant = tenant
	return true
}

// admitSession admits a session for good once it was admitted.
func (g *gateway) admitSession(begun *operation, tenant string, admitted bool) (string, bool) {
	session := begun.session + " " + begun.key
	if before, known := g.admitted[session]; known {
		return before, true
	}
	if admitted {
		g.admitted[session] = tenant
	}
	return tenant, admitted
}

// stillAdmits is the last look at a first statement's key before it leaves.
func (g *gateway) stillAdmits(one *statement) bool {
	if g.world.plan.Lacking.Has(guard.KeyPerStatement) {
		return true
	}
	return g.access.IsGrantValid(g.grantOf(one), g.trust(), g.world.now())
}

func (g *gateway) grantOf(one *statement) access.Grant {
	return access.Grant{Key: access.NewKey(one.operation.key), Tenant: one.tenant}
}

// spend lets a statement's operation begin as far as its tenant's limit goes.
func (g *gateway) spend(tenant string, done func(may bool)) {
	w := g.world
	verdict := g.purse.Take(w.now(), tenant)
	if verdict != quota.NeedsGrant {
		if g.purse.ShouldRequest(w.now(), tenant) {
			g.borrow()
		}
		done(verdict == quota.Taken)
		return
	}
	one := &spender{tenant: tenant, done: done}
	g.purse.AddWaiter(tenant)
	g.waiting = append(g.waiting, one)
	life := g.life
	w.schedule.after(operationsPatience, func() { g.whenAwake(life, func() { g.endWait(one, false) }) })
	g.borrow()
}

func (g *gateway) endWait(one *spender, may bool) {
	if one.over {
		return
	}
	one.over = true
	g.purse.RemoveWaiter(one.tenant)
	one.done(may)
}

// borrow asks the primary for operations, if any are wanted and no question is under way.
func (g *gateway) borrow() {
	w := g.world
	target := w.machineByAddress(g.primary)
	request, due := g.purse.NextRequest(w.now())
	if !due {
		return
	}
	g.asked++
	number, life := g.asked, g.life
	w.schedule.after(operationsTime, func() { g.whenAwake(life, func() { g.lent(number, nil) }) })
	if target == nil {
		return
	}
	request.Gateway = fmt.Sprintf("%s/%d", g.name, life)
	question := feed.WatchRequest{Gateway: request.Gateway, Name: g.name, Operations: &request}
	w.network.send(g.name, target.name, func() {
		target.watch(question, func(reply controller.WatchReply) {
			w.network.send(target.name, g.name, func() {
				g.whenAwake(life, func() { g.lent(number, reply.Answer.Operations) })
			})
		})
	})
}

// lent ends a question for operations; nil: it got no answer.
func (g *gateway) lent(number uint64, answer *quota.Answer) {
	w, life := g.world, g.life
	if g.asked != number {
		return
	}
	g.asked++ // the answer may come twice
	if answer == nil {
		w.schedule.after(operationsPause, func() {
			g.whenAwake(life, func() {
				g.purse.RequestFailed()
				g.borrow()
			})
		})
		return
	}
	if w.plan.Lacking.Has(guard.GrantExpires) {
		for index := range answer.Grants {
			answer.Grants[index].Life += w.plan.Length
			answer.Grants[index].ReserveLife += w.plan.Length
		}
	}
	g.purse.ApplyAnswer(w.now(), *answer)
	g.serveWaiting()
	g.borrow()
}

// serveWaiting lets those who wait look again, in turn.
func (g *gateway) serveWaiting() {
	waiting := g.waiting
	g.waiting = nil
	for _, one := range waiting {
		if one.over {
			continue
		}
		if verdict := g.purse.RetryTake(g.world.now(), one.tenant); verdict != quota.NeedsGrant {
			g.endWait(one, verdict == quota.Taken)
			continue
		}
		g.waiting = append(g.waiting, one)
	}
}
