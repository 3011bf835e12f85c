package controller

import (
	"time"

	"github.com/samber/lo"

	"eiderway/control/configuration"
	"eiderway/control/feed"
	"eiderway/control/guard"
	"eiderway/control/quota"
)

// operationsFresh is how long after a confirmation operations are granted without another. A primary that was deposed grants none later than
// this after the promises that deposed it, and the bank of a later term opens no sooner.
const operationsFresh = 300 * time.Millisecond

// takeOperations answers a gateway's question for operations of tenants, at once if this controller was confirmed a moment ago.
func (c *Controller) takeOperations(in Watch) {
	asked := &watch{call: in.Call, request: in.Request}
	if c.mayGrant() {
		c.answerOperations(asked)
		return
	}
	c.ask(question{watch: asked})
}

// mayGrant tells whether no later term can have opened its bank yet.
func (c *Controller) mayGrant() bool {
	lacks := c.guards.operationsStale || c.settings.DisabledGuards.Lacks(guard.GrantConfirmed)
	return c.now-c.term.confirmed < operationsFresh || lacks
}

// bankNumber is a number that no other bank has, at this controller or another one: an epoch has one primary.
func (c *Controller) bankNumber() uint64 {
	const bitsOfRequests = 32
	return uint64(c.node.Epoch())<<bitsOfRequests | c.nextRequest()
}

// newBank makes the bank of a term that begins now. It opens once what earlier terms have granted to operations that waited is over.
func (c *Controller) newBank() *quota.Allocator {
	opensAt := c.now + operationsFresh + quota.GrantLife + c.settings.LeaseMargin
	if c.guards.bankOpensAtOnce || c.settings.DisabledGuards.Lacks(guard.BankOpensLate) {
		opensAt = c.now
	}
	if c.settings.DisabledGuards.Lacks(guard.BankStartsEmpty) {
		opensAt = 0
	}
	return quota.NewAllocator(c.bankNumber(), opensAt, c.settings.Quota)
}

func (c *Controller) answerOperations(asked *watch) {
	if !c.mayGrant() {
		c.refuseWatch(asked.call) // the confirmation took too long to say that nobody else grants
		return
	}
	answer := c.term.bank.Answer(c.now, *asked.request.Operations)
	c.effects.WatchReplies = append(c.effects.WatchReplies, WatchReply{
		Call:   asked.call,
		Answer: feed.WatchAnswer{Primary: c.self, Members: c.term.table.members, Operations: &answer},
	})
}

// limitTenants gives the bank the limits of a configuration that is in force from now on.
func (c *Controller) limitTenants(body []byte) {
	order, err := configuration.Parse(body)
	if err != nil {
		c.event("configuration", "the one in force can't be read: "+err.Error())
		return
	}
	limited := lo.Filter(order.Contents.Tenants, func(tenant configuration.Tenant, _ int) bool { return tenant.Limited })
	since := c.now
	if c.settings.DisabledGuards.Lacks(guard.BankStartsEmpty) {
		since = 0 // as if it had been filling all along
	}
	c.term.bank.SetLimits(since, lo.Map(limited, func(tenant configuration.Tenant, _ int) quota.Limit {
		return quota.Limit{Tenant: tenant.Name, RatePerS: tenant.RatePerS, Burst: tenant.BurstSize}
	}))
}
