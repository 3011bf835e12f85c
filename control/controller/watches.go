package controller

import (
	"slices"
	"time"

	"eiderway/control/failover"
	"eiderway/control/feed"
)

// watch is a gateway's request that waits for a newer table, at most until its deadline.
type watch struct {
	call        CallID
	request     feed.WatchRequest
	deadline    time.Duration
	isAbandoned bool // the gateway has gone
}

func (c *Controller) handleWatch(in Watch) {
	if c.term == nil {
		c.refuseWatch(in.Call)
		return
	}
	if in.Request.Operations != nil {
		c.handleOperations(in)
		return
	}
	c.term.leases.noteRequest(in.Request)
	for _, report := range in.Request.Reports {
		c.stepFailover(failover.GatewayReport{Gateway: in.Request.Gateway, Report: report})
	}
	if in.Request.Leaving {
		c.effects.WatchReplies = append(c.effects.WatchReplies, WatchReply{Call: in.Call})
		return
	}
	if c.term.epoch < in.Request.Applied.Epoch {
		c.refuseWatch(in.Call) // a primary of a later epoch has answered the gateway, so this term is over
		return
	}
	wait := min(max(in.Request.Wait, 0), c.settings.MaxWatchWait)
	c.supersedeWatch(in.Request.Gateway)
	c.term.watches = append(c.term.watches, &watch{call: in.Call, request: in.Request, deadline: c.now + wait})
}

// supersedeWatch refuses an earlier request of the same gateway: a later one has taken its place.
func (c *Controller) supersedeWatch(gateway string) {
	for index, waiting := range c.term.watches {
		if waiting.request.Gateway == gateway {
			c.term.watches = append(c.term.watches[:index:index], c.term.watches[index+1:]...)
			c.refuseWatch(waiting.call)
			return
		}
	}
}

// abandon drops the call of a caller that has gone.
func (c *Controller) abandon(call CallID) {
	c.calls.drop(call)
	if c.term == nil {
		return
	}
	for index, waiting := range c.term.watches {
		if waiting.call == call {
			c.term.watches = append(c.term.watches[:index:index], c.term.watches[index+1:]...)
			return
		}
	}
	for _, confirmation := range c.term.confirmations {
		confirmation.abandon(call)
	}
}

// confirmDueWatches has the requests that are due wait for the next confirmation.
func (c *Controller) confirmDueWatches() {
	if c.term.restorePending || c.term.table.version.Sequence == 0 || !slices.ContainsFunc(c.term.watches, c.isDue) {
		return
	}
	var waiting []*watch
	for _, watch := range c.term.watches {
		if c.isDue(watch) {
			c.awaitConfirmation(pendingReply{watch: watch})
			continue
		}
		waiting = append(waiting, watch)
	}
	c.term.watches = waiting
}

func (c *Controller) isDue(watch *watch) bool {
	return c.now >= watch.deadline || watch.request.Applied.Less(c.term.table.version)
}

// answerWatch grants a lease and sends the newest table if the gateway has an older one. A majority has confirmed this primary since the
// request came.
func (c *Controller) answerWatch(watch *watch) {
	if watch.isAbandoned {
		return
	}
	if watch.request.Operations != nil {
		c.answerOperations(watch)
		return
	}
	answer := feed.WatchAnswer{
		Primary: c.self,
		Members: c.term.table.members,
		Lease:   c.settings.Lease,
		Drains:  c.term.failover.DrainLimits(c.now),
	}
	if watch.request.Applied.Less(c.term.table.version) {
		answer.Table = c.term.table.forGateway(watch.request)
	}
	c.term.leases.grant(c.now, watch.request)
	c.effects.WatchReplies = append(c.effects.WatchReplies, WatchReply{Call: watch.call, Answer: answer})
}

func (c *Controller) refuseUnlessAbandoned(watch *watch) {
	if !watch.isAbandoned {
		c.refuseWatch(watch.call)
	}
}

// refuseWatch grants no lease and names the primary, as far as this controller knows it.
func (c *Controller) refuseWatch(call CallID) {
	answer := feed.WatchAnswer{NotPrimary: true, Members: c.node.View().Voters}
	if primary, known := c.node.PrimaryMember(); known {
		answer.Primary = primary
	}
	c.effects.WatchReplies = append(c.effects.WatchReplies, WatchReply{Call: call, Answer: answer})
}
