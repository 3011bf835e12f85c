package controller

import (
	"slices"
	"time"

	"eiderway/control/failover"
	"eiderway/control/feed"
)

// watch is a gateway's question that waits for news or for its end.
type watch struct {
	call    CallID
	request feed.WatchRequest
	until   time.Duration
	gone    bool // the gateway waits no more
}

func (c *Controller) takeWatch(in Watch) {
	if c.term == nil {
		c.refuseWatch(in.Call)
		return
	}
	if in.Request.Operations != nil {
		c.takeOperations(in)
		return
	}
	c.term.grants.ask(in.Request)
	for _, report := range in.Request.Reports {
		c.stepFailover(failover.GatewayReport{Gateway: in.Request.Gateway, Report: report})
	}
	if in.Request.Leaving {
		c.effects.WatchReplies = append(c.effects.WatchReplies, WatchReply{Call: in.Call})
		return
	}
	if c.term.epoch < in.Request.Applied.Epoch {
		c.refuseWatch(in.Call) // it has been served in a later epoch, so this one is over
		return
	}
	wait := min(max(in.Request.Wait, 0), c.settings.MaxWatchWait)
	c.dropOlderWatch(in.Request.Gateway)
	c.term.watches = append(c.term.watches, &watch{call: in.Call, request: in.Request, until: c.now + wait})
}

// dropOlderWatch answers an earlier question of the same gateway, which has been overtaken.
func (c *Controller) dropOlderWatch(gateway string) {
	for index, waiting := range c.term.watches {
		if waiting.request.Gateway == gateway {
			c.term.watches = append(c.term.watches[:index:index], c.term.watches[index+1:]...)
			c.refuseWatch(waiting.call)
			return
		}
	}
}

// abandon forgets a caller who has gone.
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
	for _, confirmation := range c.term.asked {
		confirmation.abandon(call)
	}
}

// answerWatches moves the questions that are due to the next confirmation.
func (c *Controller) answerWatches() {
	if c.term.doubting || c.term.table.version.Sequence == 0 || !slices.ContainsFunc(c.term.watches, c.due) {
		return
	}
	var waiting []*watch
	for _, watch := range c.term.watches {
		if c.due(watch) {
			c.ask(question{watch: watch})
			continue
		}
		waiting = append(waiting, watch)
	}
	c.term.watches = waiting
}

func (c *Controller) due(watch *watch) bool {
	return c.now >= watch.until || watch.request.Applied.Less(c.term.table.version)
}

// answerWatch gives the newest table and a lease. A majority has confirmed this controller since the question came.
func (c *Controller) answerWatch(watch *watch) {
	if watch.gone {
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
	c.term.grants.give(c.now, watch.request)
	c.effects.WatchReplies = append(c.effects.WatchReplies, WatchReply{Call: watch.call, Answer: answer})
}

func (c *Controller) refuseAskedWatch(watch *watch) {
	if !watch.gone {
		c.refuseWatch(watch.call)
	}
}

// refuseWatch says who leads, as far as this controller knows. It gives no lease.
func (c *Controller) refuseWatch(call CallID) {
	answer := feed.WatchAnswer{NotPrimary: true, Members: c.node.View().Voters}
	if primary, known := c.node.PrimaryMember(); known {
		answer.Primary = primary
	}
	c.effects.WatchReplies = append(c.effects.WatchReplies, WatchReply{Call: call, Answer: answer})
}
