package controller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"eiderway/control/quorum"
)

// openCalls are the HTTP calls that haven't been answered, in the order in which they came.
type openCalls struct {
	order []openCall
	open  map[CallID]bool
}

type openCall struct {
	call     CallID
	deadline time.Duration
}

func newOpenCalls() *openCalls { return &openCalls{open: map[CallID]bool{}} }

func (o *openCalls) add(call CallID, deadline time.Duration) {
	o.open[call] = true
	o.order = append(o.order, openCall{call: call, deadline: deadline})
}

// drop forgets a call and tells whether it was open.
func (o *openCalls) drop(call CallID) bool {
	wasOpen := o.open[call]
	delete(o.open, call)
	return wasOpen
}

func (o *openCalls) isOpen(call CallID) bool { return o.open[call] }

func (o *openCalls) empty() bool { return len(o.open) == 0 }

// overdue removes calls from the queue whose deadline is past, and returns those that are still open.
func (o *openCalls) overdue(now time.Duration) []CallID {
	var late []CallID
	for len(o.order) > 0 && (o.order[0].deadline <= now || !o.open[o.order[0].call]) {
		if o.open[o.order[0].call] {
			late = append(late, o.order[0].call)
		}
		o.order = o.order[1:]
	}
	return late
}

// reply answers a call, unless it has been answered or abandoned.
func (c *Controller) reply(reply Reply) {
	if c.calls.drop(reply.Call) {
		c.effects.Replies = append(c.effects.Replies, reply)
	}
}

// redirect sends a caller to the primary, or away for now if none is known.
func (c *Controller) redirect(call CallID) {
	primary, known := c.node.PrimaryMember()
	if !known || primary.Incarnation == c.self.Incarnation {
		c.unavailable(call)
		return
	}
	c.reply(Reply{Call: call, Status: http.StatusTemporaryRedirect, Redirect: primary.Control})
}

// unavailable answers that this controller can't settle the call now; the outcome of a change is not known.
func (c *Controller) unavailable(call CallID) {
	c.reply(Reply{Call: call, Status: http.StatusServiceUnavailable, Body: errorBody("not settled here; ask again")})
}

// errorText is the JSON body of an answer that isn't a success.
type errorText struct {
	Error string `json:"error"`
}

func errorBody(text string) []byte {
	body, _ := json.Marshal(errorText{Error: text}) // a struct of one string always encodes
	return body
}

func epochText(epoch quorum.Epoch) string { return strconv.FormatUint(uint64(epoch), 10) }
