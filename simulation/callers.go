package simulation

import (
	"time"

	"eiderway/control/controller"
)

// callOutcome says how an HTTP call to a controller ended for its caller.
type callOutcome int

const (
	// callAnswered: the whole answer came.
	callAnswered callOutcome = iota
	// callRefused: there was no connection; the call was not made.
	callRefused
	// callBroken: the connection broke after the call was sent.
	callBroken
	// callSilent: no answer within the time that the caller waits.
	callSilent
)

// callResult ends an HTTP call.
type callResult struct {
	outcome callOutcome
	reply   controller.Reply
	by      string // machine that answered
}

// Callers follow a redirect twice and wait a second for an answer.
const (
	redirectsFollowed = 2
	callWait          = time.Second
)

// httpCall makes one call. makeInput gives what the called process is told.
type httpCall struct {
	world     *World
	from      string
	makeInput func(controller.CallID) controller.Input
	done      func(callResult)
}

// callControl makes a call to a control address and follows redirects.
func (w *World) callControl(from, control string, makeInput func(controller.CallID) controller.Input, done func(callResult)) {
	call := httpCall{world: w, from: from, makeInput: makeInput, done: done}
	call.try(control, redirectsFollowed)
}

func (c httpCall) try(control string, redirects int) {
	c.once(control, func(result callResult) {
		redirect := result.outcome == callAnswered && result.reply.Status == 307
		if redirect && redirects > 0 && result.reply.Redirect != "" {
			c.try(result.reply.Redirect, redirects-1)
			return
		}
		c.done(result)
	})
}

// exchange is one request on one connection.
type exchange struct {
	call   httpCall
	target *machine
	life   int               // of the process that took it
	number controller.CallID // there; zero: it has not arrived
	ended  bool
	done   func(callResult)
}

// once makes a call to one address without following anything.
func (c httpCall) once(control string, done func(callResult)) {
	w := c.world
	one := &exchange{call: c, target: w.machineByControl(control), done: done}
	w.schedule.after(callWait, one.giveUp)
	if one.target != nil {
		w.network.send(c.from, one.target.name, one.arrive)
	}
}

func (e *exchange) finish(result callResult) {
	if e.ended {
		return
	}
	e.ended = true
	e.done(result)
}

// giveUp ends the waiting. Closing the connection tells the process, if it can be reached.
func (e *exchange) giveUp() {
	if e.ended {
		return
	}
	target := e.target
	if target != nil {
		e.call.world.judge.wentUnanswered(e.call.from, target)
	}
	e.finish(callResult{outcome: callSilent})
	if e.number == 0 {
		return
	}
	e.call.world.network.send(e.call.from, target.name, func() { target.abandon(e.life, e.number) })
}

func (e *exchange) arrive() {
	w := e.call.world
	target := e.target
	if !target.powered || target.gone {
		return
	}
	if !target.running {
		e.back(callResult{outcome: callRefused})
		return
	}
	if e.number != 0 {
		return // a connection gives the same bytes once
	}
	target.nextCall++
	e.number = target.nextCall
	e.life = target.life
	target.calls[e.number] = &arrivedCall{
		answer: e.answer,
		broken: func() { e.back(callResult{outcome: callBroken}) },
	}
	input := e.call.makeInput(e.number)
	if order, isOrder := input.(controller.ReplaceConfiguration); isOrder {
		w.orderArrived(target, order)
	}
	target.feed(input)
}

func (e *exchange) answer(reply controller.Reply) {
	if reply.Status != 307 && e.call.world.answerIsLost() {
		e.back(callResult{outcome: callBroken})
		return
	}
	e.back(callResult{outcome: callAnswered, reply: reply, by: e.target.name})
}

func (e *exchange) back(result callResult) {
	e.call.world.network.send(e.target.name, e.call.from, func() { e.finish(result) })
}

// abandon tells the process that the caller has closed the connection.
func (m *machine) abandon(life int, call controller.CallID) {
	if m.life != life || m.calls[call] == nil {
		return
	}
	delete(m.calls, call)
	m.feed(controller.Abandon{Call: call})
}
