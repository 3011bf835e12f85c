package controller

import (
	"fmt"
	"net/http"
	"time"

	"eiderway/control/configuration"
	"eiderway/control/registry"
)

// call is what an operator or an instance has asked of a controller.
type call struct {
	to       *machine
	life     int
	sent     time.Duration
	number   int64  // of an order
	content  string // of an order
	invalid  bool
	drains   string // the instance that says that it drains or leaves
	fetch    bool
	newest   int64 // that had been acknowledged when it was sent
	reply    *Reply
	answered time.Duration
}

// orderJudge keeps what operators were told, and what anybody has seen in force: neither may be taken back.
type orderJudge struct {
	newest int64            // in force at least
	taken  map[int64]string // content under a number
}

func newOrderJudge() orderJudge { return orderJudge{taken: map[int64]string{}} }

// body is a configuration; the content is the name of its database.
func body(number int64, content string) []byte {
	return []byte(fmt.Sprintf(`{"configRevision":%d,"routeTable":[{"name":"r","host":%q,"pathPrefix":"/",`+
		`"routeClass":"primary","timeoutMs":1000,"priority":1,"targetService":"s","maxAttempts":2}],`+
		`"serviceTable":[{"name":"s","maxConnections":84,"protocol":"h1","syncReplicas":1}],"limits":{}}`, number, content))
}

func (w *world) send(made *call, input func(CallID) Input) *call {
	w.lastCall++
	number := w.lastCall
	made.sent, made.life, made.newest = w.now, made.to.life, w.orders.newest
	w.calls[number] = made
	if made.to.controller != nil {
		w.give(made.to, input(number))
	}
	return made
}

func (w *world) sendOrder(to *machine, number int64, content string) *call {
	made := &call{to: to, number: number, content: content}
	return w.send(made, func(c CallID) Input { return ReplaceConfiguration{Call: c, Body: body(number, content)} })
}

func (w *world) sendInvalid(to *machine) *call {
	made := &call{to: to, invalid: true}
	return w.send(made, func(c CallID) Input { return ReplaceConfiguration{Call: c, Body: []byte(`{"configRevision":1`)} })
}

func (w *world) sendFetch(to *machine) *call {
	return w.send(&call{to: to, fetch: true}, func(c CallID) Input { return FetchConfiguration{Call: c} })
}

func (w *world) sendLeave(to *machine, id string) *call {
	return w.send(&call{to: to, drains: id}, func(c CallID) Input { return InstanceLeave{Call: c, InstanceID: id} })
}

func (w *world) sendBeat(to *machine, beat registry.Heartbeat) *call {
	made := &call{to: to}
	if beat.OperState == registry.Draining {
		made.drains = beat.InstanceID
	}
	return w.send(made, func(c CallID) Input { return Heartbeat{Call: c, Heartbeat: beat} })
}

func (w *world) replied(by *machine, reply Reply) {
	made := w.calls[reply.Call]
	if made == nil {
		w.fail("%s answers call %d, which was never made", by.name, reply.Call)
		return
	}
	if made.reply != nil {
		w.fail("%s answers call %d twice", by.name, reply.Call)
	}
	if late := w.now - max(made.sent, by.thawed); late > callWait+2*tickPause {
		w.fail("%s answers after %s", by.name, late)
	}
	made.reply, made.answered = &reply, w.now
	w.judgeOrder(made)
	w.judgeFetch(made)
	if _, known := w.drained[made.drains]; !known && made.drains != "" && reply.Status == http.StatusOK {
		w.drained[made.drains] = w.now
	}
}

// judgeOrder: no number has two contents, and what was acknowledged is never refused.
func (w *world) judgeOrder(made *call) {
	status := made.reply.Status
	if made.invalid && status != http.StatusBadRequest {
		w.fail("an invalid order is answered %d", status)
	}
	if made.number == 0 {
		return
	}
	taken, found := w.orders.taken[made.number]
	switch status {
	case http.StatusOK:
		if found && taken != made.content {
			w.fail("number %d is acknowledged with %s and with %s", made.number, taken, made.content)
		}
		w.orders.taken[made.number] = made.content
		w.orders.newest = max(w.orders.newest, made.number)
	case http.StatusConflict:
		if found && taken == made.content {
			w.fail("number %d with %s was acknowledged and is refused", made.number, taken)
		}
	case http.StatusTemporaryRedirect, http.StatusServiceUnavailable:
	default:
		w.fail("a valid order is answered %d", status)
	}
}

// judgeFetch: nothing older than what was acknowledged before the question, and nothing else than was acknowledged.
func (w *world) judgeFetch(made *call) {
	if !made.fetch || made.reply.Status != http.StatusOK {
		return
	}
	order, err := configuration.Parse(made.reply.Body)
	if err != nil {
		w.fail("what was fetched can't be read: %v", err)
		return
	}
	if order.Number < made.newest {
		w.fail("number %d is fetched after %d was acknowledged", order.Number, made.newest)
	}
	w.seenInForce(order)
}

// seenInForce: what an operator has read or a gateway has got counts as acknowledged.
func (w *world) seenInForce(order configuration.Document) {
	content := order.Contents.Routes[0].Host
	if taken, found := w.orders.taken[order.Number]; found && taken != content {
		w.fail("number %d is in force with %s and was taken by %s", order.Number, content, taken)
	}
	w.orders.taken[order.Number] = content
	w.orders.newest = max(w.orders.newest, order.Number)
}

// outcome is the answer as scenarios write it; "none" until it comes.
func (c *call) outcome() string {
	if c.reply == nil {
		return "none"
	}
	text := fmt.Sprint(c.reply.Status)
	if c.reply.Redirect != "" {
		text += " " + c.reply.Redirect[:1]
	}
	if c.fetch && c.reply.Status == http.StatusOK {
		if order, err := configuration.Parse(c.reply.Body); err == nil {
			text += fmt.Sprintf(" %d %s", order.Number, order.Contents.Routes[0].Host)
		}
	}
	return text
}
