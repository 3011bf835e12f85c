package controller

import (
	"time"

	"github.com/samber/lo"

	"eiderway/control/configuration"
	"eiderway/control/feed"
	"eiderway/control/guard"
	"eiderway/control/quota"
)

// maxGrantConfirmationAge is how long after a confirmation operations are granted without another one. So a deposed primary stops granting
// at most this long after the promises that deposed it, and the allocator of a later term doesn't open before that.
const maxGrantConfirmationAge = 300 * time.Millisecond

// handleOperations answers a gateway's request for operations of tenants: at once if the last confirmation is recent, or else after the
// next one.
func (c *Controller) handleOperations(in Watch) {
	watch := &watch{call: in.Call, request: in.Request}
	if c.mayGrantOperations() {
		c.answerOperations(watch)
		return
	}
	c.awaitConfirmation(pendingReply{watch: watch})
}

// mayGrantOperations tells whether the last confirmation is so recent that the allocator of a later term can't be open yet.
func (c *Controller) mayGrantOperations() bool {
	isDisabled := c.guards.operationsUnconfirmed || c.settings.DisabledGuards.Has(guard.GrantConfirmed)
	return c.now-c.term.confirmedAt < maxGrantConfirmationAge || isDisabled
}

// newAllocatorID returns a number that no other allocator has, at any controller: an epoch has only one primary.
func (c *Controller) newAllocatorID() uint64 {
	const requestBits = 32
	return uint64(c.node.Epoch())<<requestBits | c.nextRequest()
}

// newAllocator makes the allocator of a term that begins now. It opens when all short-lived grants of earlier terms have expired.
func (c *Controller) newAllocator() *quota.Allocator {
	opensAt := c.now + maxGrantConfirmationAge + quota.GrantLife + c.settings.LeaseMargin
	if c.guards.allocatorOpensAtOnce || c.settings.DisabledGuards.Has(guard.AllocatorStartsLate) {
		opensAt = c.now
	}
	if c.settings.DisabledGuards.Has(guard.AllocatorStartsEmpty) {
		opensAt = 0
	}
	return quota.NewAllocator(c.newAllocatorID(), opensAt, c.settings.Quota)
}

func (c *Controller) answerOperations(watch *watch) {
	if !c.mayGrantOperations() {
		c.refuseWatch(watch.call) // the confirmation took so long that a later primary may be granting
		return
	}
	answer := c.term.allocator.Answer(c.now, *watch.request.Operations)
	c.effects.WatchReplies = append(c.effects.WatchReplies, WatchReply{
		Call:   watch.call,
		Answer: feed.WatchAnswer{Primary: c.self, Members: c.term.table.members, Operations: &answer},
	})
}

// setTenantLimits gives the allocator the limits of a configuration that comes into force now.
func (c *Controller) setTenantLimits(body []byte) {
	order, err := configuration.Parse(body)
	if err != nil {
		c.logEvent("configuration", "the configuration in force can't be parsed: "+err.Error())
		return
	}
	limited := lo.Filter(order.Contents.Tenants, func(tenant configuration.Tenant, _ int) bool { return tenant.Limited })
	since := c.now
	if c.settings.DisabledGuards.Has(guard.AllocatorStartsEmpty) {
		since = 0 // as if the buckets had been filling all along
	}
	c.term.allocator.SetLimits(since, lo.Map(limited, func(tenant configuration.Tenant, _ int) quota.Limit {
		return quota.Limit{Tenant: tenant.Name, RatePerS: tenant.RatePerS, Burst: tenant.BurstSize}
	}))
}
