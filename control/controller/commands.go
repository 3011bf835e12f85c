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
	// expiryInterval is the pause between two checks for silent instances. It is short compared to the silence after which one is lost.
	expiryInterval = time.Second
	// maxBatchCommands bounds a change, so that a burst of configurations doesn't become one write that takes a slow disk seconds.
	maxBatchCommands = 64
	// maxQueuedCommands bounds the queue; callers beyond it are answered 503 at once.
	maxQueuedCommands = 1024
)

// commandKind is the type of a command.
type commandKind int

const (
	replaceConfiguration commandKind = iota
	recordHeartbeat
	markInstanceLeft
	expireInstances        // declares instances lost that have been silent for too long
	changeFailover         // records what the failover manager has decided
	giveUpCopies           // gives up the commits that only the lost copies of a service may hold
	drainRestoredInstances // marks all instances of a state that was restored from a dump as draining
)

// command may change the control state. The primary applies commands in the order of their arrival.
type command struct {
	kind       commandKind
	call       CallID
	order      configuration.Document
	heartbeat  registry.Heartbeat
	instanceID string
	change     failover.Change
	giveUp     state.GiveUp

	orderOutcome state.OrderOutcome // on a configuration, once applied
	refusal      string             // why a give-up is refused; "" if it isn't
}

// batch is a set of commands that were applied together and proposed as one change.
type batch struct {
	request  uint64
	started  time.Duration
	commands []command
}

// handleReplaceConfiguration validates the body before anything else, also at a backup: no controller would ever accept an invalid one.
func (c *Controller) handleReplaceConfiguration(in ReplaceConfiguration) {
	c.calls.add(in.Call, c.now+c.settings.CallTimeout)
	order, err := configuration.Parse(in.Body)
	if err != nil {
		c.reply(Reply{Call: in.Call, Status: invalidContentStatus(err), Body: errorBody(err.Error())})
		return
	}
	c.enqueueForCaller(command{kind: replaceConfiguration, call: in.Call, order: order})
}

// invalidContentStatus returns the HTTP status for an invalid configuration.
func invalidContentStatus(err error) int {
	var refusal *configuration.Refusal
	if errors.As(err, &refusal) && refusal.Reason == configuration.TooLarge {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

func (c *Controller) handleHeartbeat(in Heartbeat) {
	c.calls.add(in.Call, c.now+c.settings.CallTimeout)
	if c.acceptAsBackup(in.Heartbeat) {
		c.reply(Reply{Call: in.Call, Status: http.StatusOK, Body: heartbeatReplyBody(c.self)})
		return
	}
	c.enqueueForCaller(command{kind: recordHeartbeat, call: in.Call, heartbeat: in.Heartbeat})
}

func (c *Controller) handleInstanceLeave(in InstanceLeave) {
	c.calls.add(in.Call, c.now+c.settings.CallTimeout)
	c.enqueueForCaller(command{kind: markInstanceLeft, call: in.Call, instanceID: in.InstanceID})
}

// enqueueForCaller queues a caller's command, or redirects the caller to the primary.
func (c *Controller) enqueueForCaller(command command) {
	if c.term == nil {
		c.redirect(command.call)
		return
	}
	if len(c.term.commands) >= maxQueuedCommands {
		c.dropClosedCommands()
	}
	if len(c.term.commands) >= maxQueuedCommands {
		c.replyUnavailable(command.call)
		return
	}
	c.enqueue(command)
}

func (c *Controller) enqueue(command command) { c.term.commands = append(c.term.commands, command) }

// dropClosedCommands drops queued commands whose callers have been answered or have gone: nothing is carried out for them.
func (c *Controller) dropClosedCommands() {
	c.term.commands = slices.DeleteFunc(c.term.commands, func(queued command) bool {
		return queued.call != 0 && !c.calls.isOpen(queued.call)
	})
}

// startBatch applies queued commands to the committed state and proposes their changes.
func (c *Controller) startBatch() {
	if c.term.batch != nil || len(c.term.commands) == 0 || !c.node.MayPropose() {
		return
	}
	c.dropClosedCommands()
	if len(c.term.commands) == 0 {
		return
	}
	count := min(len(c.term.commands), maxBatchCommands)
	batch := &batch{request: c.nextRequest(), started: c.now, commands: c.term.commands[:count:count]}
	c.term.commands = c.term.commands[count:]
	transaction := state.NewTransaction(c.node).DisableGuards(c.settings.DisabledGuards)
	for index := range batch.commands {
		c.applyCommand(transaction, &batch.commands[index])
	}
	for _, broken := range transaction.Violations() {
		c.logEvent(invariant.Broken, broken)
	}
	mutations := transaction.Mutations()
	if len(mutations) == 0 {
		c.finishWithoutChange(batch)
		return
	}
	c.term.batch = batch
	if c.guards.changesUncommitted {
		c.finishCommands(batch)
	}
	c.stepNode(replication.Propose{Request: batch.request, Mutations: mutations})
}

// applyCommand applies one command to the transaction.
func (c *Controller) applyCommand(transaction *state.Transaction, command *command) {
	switch command.kind {
	case replaceConfiguration:
		command.orderOutcome = transaction.PlaceOrder(command.order)
	case recordHeartbeat:
		c.applyHeartbeat(transaction, command.heartbeat)
	case markInstanceLeft:
		c.term.registry.Leave(c.now, transaction, command.instanceID)
	case expireInstances:
		c.term.isExpiring = false
		c.keepFrozenInstances()
		for _, id := range c.term.registry.Expire(c.now, transaction) {
			c.logEvent("instance lost", id+" has been silent for too long")
		}
	case changeFailover:
		applyFailoverChange(transaction, command.change)
	case giveUpCopies:
		c.applyGiveUp(transaction, command)
	case drainRestoredInstances:
		transaction.MarkInstancesDraining()
		c.logEvent("restored", "the state is from a dump: all instances count as draining until they restart")
	}
}

// keepFrozenInstances keeps instances of frozen services from being declared lost. A silent one may hold the only copy of a commit, and a
// later primary of the control state would not know that it ever existed.
func (c *Controller) keepFrozenInstances() {
	for _, service := range c.term.table.services {
		if !service.Frozen {
			continue
		}
		for _, instance := range service.Instances {
			c.term.registry.DeferExpiry(c.now, instance.ID)
		}
	}
}

func (c *Controller) applyHeartbeat(transaction *state.Transaction, heartbeat registry.Heartbeat) {
	result := c.term.registry.Heartbeat(c.now, transaction, heartbeat)
	if !result.Fresh {
		return
	}
	c.stepFailover(failover.Heartbeat{
		InstanceID: heartbeat.InstanceID,
		Service:    heartbeat.TargetService,
		Primary:    heartbeat.DBRole == registry.Primary,
	})
}

func applyFailoverChange(transaction *state.Transaction, change failover.Change) {
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

// finishWithoutChange ends a batch that changes nothing. Plain heartbeats are acknowledged at once if the last confirmation is recent. All
// other answers wait for a confirmation, because a deposed primary may have applied the commands to an old state.
func (c *Controller) finishWithoutChange(batch *batch) {
	for _, command := range batch.commands {
		switch {
		case command.kind == expireInstances:
			// No caller waits for it.
		case command.kind == drainRestoredInstances:
			c.finishCommand(command) // there is no instance to mark
		case c.mayAcknowledgeUnconfirmed(command):
			c.finishCommand(command)
		default:
			c.awaitConfirmation(pendingReply{command: &command})
		}
	}
}

// mayAcknowledgeUnconfirmed tells whether a command is a plain heartbeat, whose acknowledgement promises nothing to the instance, and the
// last confirmation is recent.
func (c *Controller) mayAcknowledgeUnconfirmed(command command) bool {
	if command.kind != recordHeartbeat || command.heartbeat.OperState != registry.Ready {
		return false
	}
	return c.now-c.term.confirmedAt <= maxHeartbeatConfirmationAge || c.guards.heartbeatsUnconfirmed
}

// handleDecision finishes the batch or confirmation that was decided.
func (c *Controller) handleDecision(decision replication.Decision) {
	if c.term == nil {
		return
	}
	if batch := c.term.batch; batch != nil && batch.request == decision.Request {
		c.term.batch = nil
		c.finishBatch(batch, decision.Outcome)
		return
	}
	c.handleConfirmation(decision)
}

func (c *Controller) finishBatch(batch *batch, outcome replication.Outcome) {
	if outcome != replication.Done {
		c.failBatch(batch)
		return
	}
	c.term.confirmedAt = max(c.term.confirmedAt, batch.started)
	c.handleStateChange()
	c.finishCommands(batch)
}

func (c *Controller) finishCommands(batch *batch) {
	for _, command := range batch.commands {
		c.finishCommand(command)
	}
}

// failBatch ends a batch whose outcome isn't known to this controller.
func (c *Controller) failBatch(batch *batch) {
	for _, command := range batch.commands {
		c.failCommand(command)
	}
}

func (c *Controller) failCommand(command command) {
	if command.kind == drainRestoredInstances {
		return // this controller isn't primary any more
	}
	if command.kind == changeFailover {
		c.stepFailover(failover.ChangeDecided{Request: command.change.Request})
		return
	}
	c.replyUnavailable(command.call)
}

// finishCommand finishes a command whose change is committed, or that needed none.
func (c *Controller) finishCommand(command command) {
	switch command.kind {
	case replaceConfiguration:
		c.reply(configurationReply(command))
	case recordHeartbeat:
		c.finishHeartbeat(command)
	case markInstanceLeft:
		c.reply(Reply{Call: command.call, Status: http.StatusOK})
	case changeFailover:
		c.stepFailover(failover.ChangeDecided{Request: command.change.Request, Committed: true})
	case giveUpCopies:
		c.reply(giveUpReply(command))
	case drainRestoredInstances:
		c.stepNode(replication.RestoredStateMarked{})
		c.term.restorePending = false
	}
}

// finishHeartbeat acknowledges a heartbeat. A drain is acknowledged only if it is in the committed state: a heartbeat that seems late
// changes nothing there, but it may be the first one of an instance that has restarted and counts its calls from the beginning.
func (c *Controller) finishHeartbeat(command command) {
	heartbeat := command.heartbeat
	if heartbeat.OperState == registry.Draining && !c.isDrainCommitted(heartbeat.InstanceID) {
		c.replyUnavailable(command.call)
		return
	}
	c.reply(Reply{Call: command.call, Status: http.StatusOK, Body: heartbeatReplyBody(c.heartbeatTarget(heartbeat))})
}

// isDrainCommitted tells whether the committed state has an instance as draining or as having left, so that gateways stop using it.
func (c *Controller) isDrainCommitted(id string) bool {
	instance, found := state.InstanceByID(c.node, id)
	return found && (instance.Draining || instance.HasAnnouncedLeave())
}

func configurationReply(command command) Reply {
	if command.orderOutcome == state.Conflict {
		text := "configRevision " + strconv.FormatInt(command.order.Number, 10) + " is taken by another content"
		return Reply{Call: command.call, Status: http.StatusConflict, Body: errorBody(text)}
	}
	return Reply{Call: command.call, Status: http.StatusOK}
}
