package controller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"eiderway/control/quorum"
)

// openCalls holds the HTTP calls that haven't been answered, in the order in which they came.
type openCalls struct {
	queue []openCall // may still hold calls that were answered
	open  map[CallID]bool
}

type openCall struct {
	call     CallID
	deadline time.Duration
}

func newOpenCalls() *openCalls { return &openCalls{open: map[CallID]bool{}} }

func (o *openCalls) add(call CallID, deadline time.Duration) {
	o.open[call] = true
	o.queue = append(o.queue, openCall{call: call, deadline: deadline})
}

// drop removes a call and tells whether it was open.
func (o *openCalls) drop(call CallID) bool {
	wasOpen := o.open[call]
	delete(o.open, call)
	return wasOpen
}

func (o *openCalls) isOpen(call CallID) bool { return o.open[call] }

func (o *openCalls) isEmpty() bool { return len(o.open) == 0 }

// takeOverdue removes calls whose deadline has passed from the queue, and returns those that are still open.
func (o *openCalls) takeOverdue(now time.Duration) []CallID {
	var overdue []CallID
	for len(o.queue) > 0 && (o.queue[0].deadline <= now || !o.open[o.queue[0].call]) {
		if o.open[o.queue[0].call] {
			overdue = append(overdue, o.queue[0].call)
		}
		o.queue = o.queue[1:]
	}
	return overdue
}

// reply answers a call, unless it has been answered or abandoned.
func (c *Controller) reply(reply Reply) {
	if c.calls.drop(reply.Call) {
		c.effects.Replies = append(c.effects.Replies, reply)
	}
}

// redirect sends a caller to the primary, or answers 503 if none is known.
func (c *Controller) redirect(call CallID) {
	primary, known := c.node.PrimaryMember()
	if !known || primary.Incarnation == c.self.Incarnation {
		c.replyUnavailable(call)
		return
	}
	c.reply(Reply{Call: call, Status: http.StatusTemporaryRedirect, Redirect: primary.Control})
}

// replyUnavailable answers 503: this controller can't decide the call now. A change that the call asked for may still take effect.
func (c *Controller) replyUnavailable(call CallID) {
	c.reply(Reply{Call: call, Status: http.StatusServiceUnavailable, Body: errorBody("not settled here; ask again")})
}

// errorText is the JSON body of an error response.
type errorText struct {
	Error string `json:"error"`
}

func errorBody(text string) []byte {
	body, _ := json.Marshal(errorText{Error: text}) // a struct of one string always encodes
	return body
}

func epochText(epoch quorum.Epoch) string { return strconv.FormatUint(uint64(epoch), 10) }
