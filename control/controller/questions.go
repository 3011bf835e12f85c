package controller

import (
	"net/http"
	"time"

	"eiderway/control/replication"
	"eiderway/control/state"
)

// confirmationFresh is how long after a confirmation plain heartbeats are acknowledged without another. An instance whose
// beats a deposed primary takes isn't heard by the new one for at most this long, a small part of what makes it lost.
const confirmationFresh = time.Second

// question waits for a confirmation, asked for after it came, that this controller still leads. One field is set.
type question struct {
	fetch   CallID
	command *command // decided, without a change of the state
	watch   *watch
}

// confirmation is a set of questions that were asked together.
type confirmation struct {
	request   uint64
	started   time.Duration
	questions []question
}

// abandon notes that the gateway that asked has gone.
func (c confirmation) abandon(call CallID) {
	for _, question := range c.questions {
		if question.watch != nil && question.watch.call == call {
			question.watch.gone = true
		}
	}
}

func (c *Controller) takeFetch(in FetchConfiguration) {
	c.calls.add(in.Call, c.now+c.settings.CallTimeout)
	if c.term == nil {
		c.redirect(in.Call)
		return
	}
	c.ask(question{fetch: in.Call})
}

// ask makes a question wait for the next confirmation.
func (c *Controller) ask(question question) {
	if c.guards.unconfirmed(question) {
		c.answerQuestion(question)
		return
	}
	c.term.questions = append(c.term.questions, question)
}

// askConfirmation asks once for all questions that came since the last time.
func (c *Controller) askConfirmation() {
	if c.term == nil || len(c.term.questions) == 0 {
		return
	}
	confirmation := confirmation{request: c.nextRequest(), started: c.now, questions: c.term.questions}
	c.term.questions = nil
	c.term.asked = append(c.term.asked, confirmation)
	c.stepNode(replication.Confirm{Request: confirmation.request})
}

func (c *Controller) takeConfirmation(decision replication.Decision) {
	for index, confirmation := range c.term.asked {
		if confirmation.request != decision.Request {
			continue
		}
		c.term.asked = append(c.term.asked[:index:index], c.term.asked[index+1:]...)
		c.endConfirmation(confirmation, decision.Outcome)
		return
	}
}

func (c *Controller) endConfirmation(confirmation confirmation, outcome replication.Outcome) {
	if outcome != replication.Done {
		c.refuseQuestions(confirmation.questions)
		return
	}
	c.term.confirmed = max(c.term.confirmed, confirmation.started)
	c.refreshTable()
	for _, question := range confirmation.questions {
		c.answerQuestion(question)
	}
}

func (c *Controller) answerQuestion(question question) {
	switch {
	case question.watch != nil:
		c.answerWatch(question.watch)
	case question.command != nil:
		c.finish(*question.command)
	default:
		c.answerFetch(question.fetch)
	}
}

func (c *Controller) answerFetch(call CallID) {
	_, body, found := state.Configuration(c.node)
	if !found {
		c.unavailable(call) // not a 4xx, which would end the call: the first order may be on its way
		return
	}
	c.reply(Reply{Call: call, Status: http.StatusOK, Body: body})
}

func (c *Controller) refuseQuestions(questions []question) {
	for _, question := range questions {
		c.refuseQuestion(question)
	}
}

func (c *Controller) refuseQuestion(question question) {
	switch {
	case question.watch != nil:
		c.refuseAskedWatch(question.watch)
	case question.command != nil:
		c.refuse(*question.command)
	default:
		c.unavailable(question.fetch)
	}
}
