package controller

import (
	"net/http"
	"time"

	"eiderway/control/replication"
	"eiderway/control/state"
)

// maxHeartbeatConfirmationAge is how long after a confirmation plain heartbeats are acknowledged without another one. The new primary
// misses heartbeats that a deposed primary acknowledges for at most this long, a small part of the silence after which an instance is lost.
const maxHeartbeatConfirmationAge = time.Second

// pendingReply is an answer that waits until a majority confirms, after the request came, that this controller is still primary. Exactly
// one field is set.
type pendingReply struct {
	fetch   CallID
	command *command // applied, without a change to the state
	watch   *watch
}

// confirmation is one request to the majority to confirm this primary, made for a set of pending replies.
type confirmation struct {
	request uint64
	started time.Duration
	pending []pendingReply
}

// abandon marks the watch request of this call as abandoned.
func (c confirmation) abandon(call CallID) {
	for _, pending := range c.pending {
		if pending.watch != nil && pending.watch.call == call {
			pending.watch.isAbandoned = true
		}
	}
}

func (c *Controller) handleFetchConfiguration(in FetchConfiguration) {
	c.calls.add(in.Call, c.now+c.settings.CallTimeout)
	if c.term == nil {
		c.redirect(in.Call)
		return
	}
	c.awaitConfirmation(pendingReply{fetch: in.Call})
}

// awaitConfirmation holds a reply until the next confirmation.
func (c *Controller) awaitConfirmation(pending pendingReply) {
	if c.guards.skipsConfirmation(pending) {
		c.answerPending(pending)
		return
	}
	c.term.unconfirmed = append(c.term.unconfirmed, pending)
}

// requestConfirmation requests one confirmation for all replies that became pending since the last one.
func (c *Controller) requestConfirmation() {
	if c.term == nil || len(c.term.unconfirmed) == 0 {
		return
	}
	confirmation := confirmation{request: c.nextRequest(), started: c.now, pending: c.term.unconfirmed}
	c.term.unconfirmed = nil
	c.term.confirmations = append(c.term.confirmations, confirmation)
	c.stepNode(replication.Confirm{Request: confirmation.request})
}

func (c *Controller) handleConfirmation(decision replication.Decision) {
	for index, confirmation := range c.term.confirmations {
		if confirmation.request != decision.Request {
			continue
		}
		c.term.confirmations = append(c.term.confirmations[:index:index], c.term.confirmations[index+1:]...)
		c.finishConfirmation(confirmation, decision.Outcome)
		return
	}
}

func (c *Controller) finishConfirmation(confirmation confirmation, outcome replication.Outcome) {
	if outcome != replication.Done {
		c.refuseAllPending(confirmation.pending)
		return
	}
	c.term.confirmedAt = max(c.term.confirmedAt, confirmation.started)
	c.refreshTable()
	for _, pending := range confirmation.pending {
		c.answerPending(pending)
	}
}

func (c *Controller) answerPending(pending pendingReply) {
	switch {
	case pending.watch != nil:
		c.answerWatch(pending.watch)
	case pending.command != nil:
		c.finishCommand(*pending.command)
	default:
		c.answerFetch(pending.fetch)
	}
}

func (c *Controller) answerFetch(call CallID) {
	_, body, found := state.Configuration(c.node)
	if !found {
		c.replyUnavailable(call) // not a 4xx, which would keep the caller from retrying: the first configuration may be on its way
		return
	}
	c.reply(Reply{Call: call, Status: http.StatusOK, Body: body})
}

func (c *Controller) refuseAllPending(replies []pendingReply) {
	for _, pending := range replies {
		c.refusePending(pending)
	}
}

func (c *Controller) refusePending(pending pendingReply) {
	switch {
	case pending.watch != nil:
		c.refuseUnlessAbandoned(pending.watch)
	case pending.command != nil:
		c.failCommand(*pending.command)
	default:
		c.replyUnavailable(pending.fetch)
	}
}
