package controller

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"eiderway/control/configuration"
	"eiderway/control/failover"
	"eiderway/control/invariant"
	"eiderway/control/registry"
	"eiderway/control/replication"
	"eiderway/control/state"
)

const (
	// expireEvery is the pause between looks for silent instances: short against the silence that makes one lost.
	expireEvery = time.Second
	// commandsPerBatch bounds a change, so that a storm of orders doesn't make one that a slow disk takes seconds for.
	commandsPerBatch = 64
	// commandsWaiting bounds the queue; callers beyond it are sent away at once.
	commandsWaiting = 1024
)

// commandKind says what a command asks for.
type commandKind int

const (
	placeOrder commandKind = iota
	takeBeat
	instanceLeaves
	expireInstances
	changeFailover
	giveUpCopies
	doubtInstances
)

// command is something that may change the control state. It is decided at the primary, in turn.
type command struct {
	kind       commandKind
	call       CallID
	order      configuration.Order
	heartbeat  registry.Heartbeat
	instanceID string
	change     failover.Change
	giveUp     state.GiveUp

	verdict state.Verdict // of an order, once decided
	refusal string        // why what was lost isn't given up; "": it is
}

// batch is a set of commands that were decided together and proposed as one change.
type batch struct {
	request  uint64
	started  time.Duration
	commands []command
}

// takeOrder checks the content first: what is wrong with it is wrong everywhere and for ever.
func (c *Controller) takeOrder(in ReplaceConfiguration) {
	c.calls.add(in.Call, c.now+c.settings.CallTimeout)
	order, err := configuration.Parse(in.Body)
	if err != nil {
		c.reply(Reply{Call: in.Call, Status: contentStatus(err), Body: errorBody(err.Error())})
		return
	}
	c.queueCall(command{kind: placeOrder, call: in.Call, order: order})
}

// contentStatus is the answer to content that is wrong.
func contentStatus(err error) int {
	var refusal *configuration.Refusal
	if errors.As(err, &refusal) && refusal.Reason == configuration.TooLarge {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

func (c *Controller) takeHeartbeat(in Heartbeat) {
	c.calls.add(in.Call, c.now+c.settings.CallTimeout)
	if c.takesForPrimary(in.Heartbeat) {
		c.reply(Reply{Call: in.Call, Status: http.StatusOK, Body: beatBody(c.self)})
		return
	}
	c.queueCall(command{kind: takeBeat, call: in.Call, heartbeat: in.Heartbeat})
}

func (c *Controller) takeInstanceLeave(in InstanceLeave) {
	c.calls.add(in.Call, c.now+c.settings.CallTimeout)
	c.queueCall(command{kind: instanceLeaves, call: in.Call, instanceID: in.InstanceID})
}

// queueCall queues a caller's command, or sends the caller to the primary.
func (c *Controller) queueCall(command command) {
	if c.term == nil {
		c.redirect(command.call)
		return
	}
	if len(c.term.commands) >= commandsWaiting {
		c.dropUnwanted()
	}
	if len(c.term.commands) >= commandsWaiting {
		c.unavailable(command.call)
		return
	}
	c.queue(command)
}

func (c *Controller) queue(command command) { c.term.commands = append(c.term.commands, command) }

// dropUnwanted forgets waiting commands whose callers have been answered or have gone: nothing is carried out for them.
func (c *Controller) dropUnwanted() {
	c.term.commands = slices.DeleteFunc(c.term.commands, func(waiting command) bool {
		return waiting.call != 0 && !c.calls.isOpen(waiting.call)
	})
}

// startBatch decides the waiting commands on the committed state and proposes what they change.
func (c *Controller) startBatch() {
	if c.term.batch != nil || len(c.term.commands) == 0 || !c.node.MayPropose() {
		return
	}
	c.dropUnwanted()
	if len(c.term.commands) == 0 {
		return
	}
	count := min(len(c.term.commands), commandsPerBatch)
	batch := &batch{request: c.nextRequest(), started: c.now, commands: c.term.commands[:count:count]}
	c.term.commands = c.term.commands[count:]
	transaction := state.NewTransaction(c.node).Lacking(c.settings.DisabledGuards)
	for index := range batch.commands {
		c.decide(transaction, &batch.commands[index])
	}
	for _, broken := range transaction.Broken() {
		c.event(invariant.Broken, broken)
	}
	mutations := transaction.Mutations()
	if len(mutations) == 0 {
		c.finishWithoutChange(batch)
		return
	}
	c.term.batch = batch
	if c.guards.changesUncommitted {
		c.answerBatch(batch)
	}
	c.stepNode(replication.Propose{Request: batch.request, Mutations: mutations})
}

// decide runs one command on the transaction.
func (c *Controller) decide(transaction *state.Transaction, command *command) {
	switch command.kind {
	case placeOrder:
		command.verdict = transaction.PlaceOrder(command.order)
	case takeBeat:
		c.decideBeat(transaction, command.heartbeat)
	case instanceLeaves:
		c.term.registry.Leave(c.now, transaction, command.instanceID)
	case expireInstances:
		c.term.expiring = false
		c.keepFrozen()
		for _, id := range c.term.registry.Expire(c.now, transaction) {
			c.event("instance lost", id+" has been silent for too long")
		}
	case changeFailover:
		decideFailover(transaction, command.change)
	case giveUpCopies:
		c.decideGiveUp(transaction, command)
	case doubtInstances:
		transaction.DoubtInstances()
		c.event("restored", "the state is from a dump: all instances count as draining until they start anew")
	}
}

// keepFrozen has no instance of a frozen service taken for lost. One that is silent may hold the only copy of a commit, and
// a later primary of the control state would not know that it was ever there.
func (c *Controller) keepFrozen() {
	for _, service := range c.term.table.services {
		if !service.Frozen {
			continue
		}
		for _, instance := range service.Instances {
			c.term.registry.Keep(c.now, instance.ID)
		}
	}
}

func (c *Controller) decideBeat(transaction *state.Transaction, beat registry.Heartbeat) {
	taken := c.term.registry.Heartbeat(c.now, transaction, beat)
	if !taken.Fresh {
		return
	}
	c.stepFailover(failover.Heartbeat{
		InstanceID: beat.InstanceID,
		Service:    beat.TargetService,
		Primary:    beat.DBRole == registry.Primary,
	})
}

func decideFailover(transaction *state.Transaction, change failover.Change) {
	switch {
	case change.Leader != nil:
		transaction.SetLeader(change.Leader.Service, change.Leader.Leader)
	case change.Intent != nil:
		transaction.SetIntent(*change.Intent)
	case change.Covered != nil:
		transaction.CoverDeparture(*change.Covered)
	case change.ClearIntent != "":
		transaction.ClearIntent(change.ClearIntent)
	}
}

// finishWithoutChange answers plain beats at once while this controller was confirmed a moment ago; all else waits for a
// confirmation, since a deposed primary may decide on old state.
func (c *Controller) finishWithoutChange(batch *batch) {
	for _, command := range batch.commands {
		switch {
		case command.kind == expireInstances:
			// Nobody waits for it.
		case command.kind == doubtInstances:
			c.finish(command) // there is no instance to doubt
		case c.isPlainBeat(command):
			c.finish(command)
		default:
			c.ask(question{command: &command})
		}
	}
}

// isPlainBeat tells whether a beat asks for nothing that others must know of, and this controller was confirmed lately.
func (c *Controller) isPlainBeat(command command) bool {
	if command.kind != takeBeat || command.heartbeat.OperState != registry.Ready {
		return false
	}
	return c.now-c.term.confirmed <= confirmationFresh || c.guards.anyBeatUnconfirmed
}

// takeDecision ends a batch or a confirmation.
func (c *Controller) takeDecision(decision replication.Decision) {
	if c.term == nil {
		return
	}
	if batch := c.term.batch; batch != nil && batch.request == decision.Request {
		c.term.batch = nil
		c.finishBatch(batch, decision.Outcome)
		return
	}
	c.takeConfirmation(decision)
}

func (c *Controller) finishBatch(batch *batch, outcome replication.Outcome) {
	if outcome != replication.Done {
		c.refuseBatch(batch)
		return
	}
	c.term.confirmed = max(c.term.confirmed, batch.started)
	c.stateChanged()
	c.answerBatch(batch)
}

func (c *Controller) answerBatch(batch *batch) {
	for _, command := range batch.commands {
		c.finish(command)
	}
}

// refuseBatch ends a batch whose outcome isn't known here.
func (c *Controller) refuseBatch(batch *batch) {
	for _, command := range batch.commands {
		c.refuse(command)
	}
}

func (c *Controller) refuse(command command) {
	if command.kind == doubtInstances {
		return // this controller leads no more
	}
	if command.kind == changeFailover {
		c.stepFailover(failover.ChangeDecided{Request: command.change.Request})
		return
	}
	c.unavailable(command.call)
}

// finish answers a command whose change is committed, or that needed none.
func (c *Controller) finish(command command) {
	switch command.kind {
	case placeOrder:
		c.reply(orderReply(command))
	case takeBeat:
		c.finishBeat(command)
	case instanceLeaves:
		c.reply(Reply{Call: command.call, Status: http.StatusOK})
	case changeFailover:
		c.stepFailover(failover.ChangeDecided{Request: command.change.Request, Committed: true})
	case giveUpCopies:
		c.reply(giveUpReply(command))
	case doubtInstances:
		c.stepNode(replication.RestoredStateMarked{})
		c.term.doubting = false
	}
}

// finishBeat acknowledges a beat. That of an instance that is draining rests on the committed state saying so: a beat that
// seems late changes nothing, but may be the first one of an instance that counts its calls anew.
func (c *Controller) finishBeat(command command) {
	beat := command.heartbeat
	if beat.OperState == registry.Draining && !c.knowsDrain(beat.InstanceID) {
		c.unavailable(command.call)
		return
	}
	c.reply(Reply{Call: command.call, Status: http.StatusOK, Body: beatBody(c.beatTarget(beat))})
}

// knowsDrain tells whether all who work by the control state keep away from an instance, or will soon.
func (c *Controller) knowsDrain(id string) bool {
	instance, found := state.InstanceByID(c.node, id)
	return found && (instance.Draining || instance.SaidFarewell())
}

func orderReply(command command) Reply {
	if command.verdict == state.Conflict {
		text := "configRevision " + strconv.FormatInt(command.order.Number, 10) + " is taken by another content"
		return Reply{Call: command.call, Status: http.StatusConflict, Body: errorBody(text)}
	}
	return Reply{Call: command.call, Status: http.StatusOK}
}
