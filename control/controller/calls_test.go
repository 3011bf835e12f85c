package controller

import (
	"fmt"
	"net/http"
	"time"

	"eiderway/control/configuration"
	"eiderway/control/registry"
)

// testCall is a call of an operator or an instance to a controller.
type testCall struct {
	to         *machine
	process    int
	sentAt     time.Duration
	number     int64  // of a configuration to replace the one in force; 0 for other calls
	content    string // of that configuration
	isInvalid  bool
	drainingID string // the instance that reports that it drains or leaves
	isFetch    bool
	newest     int64 // newest number acknowledged when the call was sent
	reply      *Reply
	answeredAt time.Duration
}

// acknowledgements records which configurations were acknowledged or seen in force. Neither may be acknowledged back.
type acknowledgements struct {
	newest   int64            // the number in force, or a lower one
	contents map[int64]string // by number
}

func newAcknowledgements() acknowledgements { return acknowledgements{contents: map[int64]string{}} }

// configurationBody returns a configuration; its content is the name of a database.
func configurationBody(number int64, content string) []byte {
	return []byte(fmt.Sprintf(`{"configRevision":%d,"routeTable":[{"name":"r","host":%q,"pathPrefix":"/",`+
		`"routeClass":"primary","timeoutMs":1000,"priority":1,"targetService":"s","maxAttempts":2}],`+
		`"serviceTable":[{"name":"s","maxConnections":84,"protocol":"h1","syncReplicas":1}],"limits":{}}`, number, content))
}

func (d *deployment) sendCall(call *testCall, input func(CallID) Input) *testCall {
	d.lastCall++
	id := d.lastCall
	call.sentAt, call.process, call.newest = d.now, call.to.process, d.acknowledged.newest
	d.calls[id] = call
	if call.to.controller != nil {
		d.deliver(call.to, input(id))
	}
	return call
}

func (d *deployment) sendConfiguration(to *machine, number int64, content string) *testCall {
	call := &testCall{to: to, number: number, content: content}
	return d.sendCall(call, func(c CallID) Input { return ReplaceConfiguration{Call: c, Body: configurationBody(number, content)} })
}

func (d *deployment) sendInvalidConfiguration(to *machine) *testCall {
	call := &testCall{to: to, isInvalid: true}
	return d.sendCall(call, func(c CallID) Input { return ReplaceConfiguration{Call: c, Body: []byte(`{"configRevision":1`)} })
}

func (d *deployment) sendFetch(to *machine) *testCall {
	return d.sendCall(&testCall{to: to, isFetch: true}, func(c CallID) Input { return FetchConfiguration{Call: c} })
}

func (d *deployment) sendLeave(to *machine, id string) *testCall {
	return d.sendCall(&testCall{to: to, drainingID: id}, func(c CallID) Input { return InstanceLeave{Call: c, InstanceID: id} })
}

func (d *deployment) sendHeartbeat(to *machine, heartbeat registry.Heartbeat) *testCall {
	call := &testCall{to: to}
	if heartbeat.OperState == registry.Draining {
		call.drainingID = heartbeat.InstanceID
	}
	return d.sendCall(call, func(c CallID) Input { return Heartbeat{Call: c, Heartbeat: heartbeat} })
}

func (d *deployment) handleReply(by *machine, reply Reply) {
	call := d.calls[reply.Call]
	if call == nil {
		d.fail("%s answers call %d, which was never sent", by.name, reply.Call)
		return
	}
	if call.reply != nil {
		d.fail("%s answers call %d twice", by.name, reply.Call)
	}
	if late := d.now - max(call.sentAt, by.thawedAt); late > callTimeout+2*tickInterval {
		d.fail("%s answers after %s", by.name, late)
	}
	call.reply, call.answeredAt = &reply, d.now
	d.checkReplace(call)
	d.checkFetch(call)
	if _, known := d.drainAcknowledgedAt[call.drainingID]; !known && call.drainingID != "" && reply.Status == http.StatusOK {
		d.drainAcknowledgedAt[call.drainingID] = d.now
	}
}

// checkReplace checks that no number has two contents, and that an acknowledged configuration is never refused.
func (d *deployment) checkReplace(call *testCall) {
	status := call.reply.Status
	if call.isInvalid && status != http.StatusBadRequest {
		d.fail("an invalid configuration is answered %d", status)
	}
	if call.number == 0 {
		return
	}
	acknowledged, found := d.acknowledged.contents[call.number]
	switch status {
	case http.StatusOK:
		if found && acknowledged != call.content {
			d.fail("number %d is acknowledged with %s and with %s", call.number, acknowledged, call.content)
		}
		d.acknowledged.contents[call.number] = call.content
		d.acknowledged.newest = max(d.acknowledged.newest, call.number)
	case http.StatusConflict:
		if found && acknowledged == call.content {
			d.fail("number %d with %s was acknowledged and is refused", call.number, acknowledged)
		}
	case http.StatusTemporaryRedirect, http.StatusServiceUnavailable:
	default:
		d.fail("a valid configuration is answered %d", status)
	}
}

// checkFetch checks that a fetch returns no older number than was acknowledged before it was sent, and the content that was acknowledged
// under that number.
func (d *deployment) checkFetch(call *testCall) {
	if !call.isFetch || call.reply.Status != http.StatusOK {
		return
	}
	order, err := configuration.Parse(call.reply.Body)
	if err != nil {
		d.fail("the fetched configuration can't be parsed: %v", err)
		return
	}
	if order.Number < call.newest {
		d.fail("number %d is fetched after %d was acknowledged", order.Number, call.newest)
	}
	d.noteInForce(order)
}

// noteInForce records a configuration that was fetched or reached a gateway: it counts as acknowledged.
func (d *deployment) noteInForce(order configuration.Document) {
	content := order.Contents.Routes[0].Host
	if acknowledged, found := d.acknowledged.contents[order.Number]; found && acknowledged != content {
		d.fail("number %d is in force with %s and was acknowledged with %s", order.Number, content, acknowledged)
	}
	d.acknowledged.contents[order.Number] = content
	d.acknowledged.newest = max(d.acknowledged.newest, order.Number)
}

// outcome returns the answer as scenarios write it, or "none" until it comes.
func (c *testCall) outcome() string {
	if c.reply == nil {
		return "none"
	}
	text := fmt.Sprint(c.reply.Status)
	if c.reply.Redirect != "" {
		text += " " + c.reply.Redirect[:1]
	}
	if c.isFetch && c.reply.Status == http.StatusOK {
		if order, err := configuration.Parse(c.reply.Body); err == nil {
			text += fmt.Sprintf(" %d %s", order.Number, order.Contents.Routes[0].Host)
		}
	}
	return text
}
