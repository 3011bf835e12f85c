// Package controller combines the parts of the control plane into one state machine: the replicated state
// (replication), the registry of instances, the failover of services, and the tables and leases of gateways.
//
// It has no I/O, clocks or goroutines: a host passes in events with their times, and carries out the effects. The
// primary alone decides what changes the control state, one batch of commands at a time, and each batch is one
// replicated change. No request is answered from the control state before a majority has confirmed, after the request
// came, that this controller is still primary. The exceptions are plain heartbeats, which a backup may acknowledge too,
// and grants of operations, for which a recent confirmation is enough.
package controller

import (
	"time"

	"eiderway/control/failover"
	"eiderway/control/invariant"
	"eiderway/control/quorum"
	"eiderway/control/quota"
	"eiderway/control/registry"
	"eiderway/control/replication"
	"eiderway/control/state"
)

// Controller is the state machine of one controller. It is not safe for use by several goroutines.
type Controller struct {
	settings Settings
	self     quorum.Member
	now      time.Duration
	node     *replication.Node
	calls    *openCalls
	requests uint64 // number of the last proposal or confirmation handed to the node

	term *term // nil while this controller isn't primary

	heartbeatsToForward []replication.ForwardedHeartbeat // accepted as a backup, for the next message to the primary
	guards              disabledGuards
	isTerminating       bool
	effects             Effects

	brokenInvariants uint64       // since the start
	operations       quota.Counts // of the terms that have ended
}

// term is what a primary keeps in memory. A controller that becomes primary starts with an empty one, and drops it when its epoch ends.
type term struct {
	epoch              quorum.Epoch
	registry           *registry.Registry
	failover           *failover.Manager
	reader             *state.ServiceReader
	services           []failover.ServiceView // as committed; must not be modified
	departuresReported bool                   // the failover manager knows the instances that departed under earlier terms
	leases             *gatewayLeases
	table              table
	allocator          *quota.Allocator
	commands           []command         // wait for the next batch
	batch              *batch            // proposed and not decided yet; nil for none
	unconfirmed        []pendingReply    // wait for a confirmation that hasn't been requested yet
	confirmations      []confirmation    // requested and not decided yet
	watches            []*watch          // gateways' requests that wait for a newer table
	confirmedAt        time.Duration     // when the last successful confirmation or commit was requested
	nextExpiry         time.Duration     // when silent instances are looked for next
	isExpiring         bool              // an expireInstances command waits for a batch
	restorePending     bool              // the state is from a dump and its instances aren't marked as draining yet: gateways get no table
	freezes            map[string]freeze // frozen services, by name
	freezeChangesSeen  uint64            // failover.Manager.FreezeChanges when freezes was last updated
}

// New makes a controller from the state on its disk.
func New(now time.Duration, settings Settings, durable replication.DurableState) *Controller {
	self := settings.Replication.Self
	self.Incarnation = durable.Incarnation
	settings.Replication.Self = self
	return &Controller{
		settings: settings,
		self:     self,
		now:      now,
		node:     replication.NewNode(now, settings.Replication, durable),
		calls:    newOpenCalls(),
	}
}

// Step handles an input and returns what the host must do.
func (c *Controller) Step(now time.Duration, input Input) Effects {
	c.now = now
	c.effects = Effects{}
	c.handle(input)
	c.runPending()
	c.effects.CanExit = c.isTerminating && c.node.HasLeft() && c.calls.isEmpty()
	return c.effects
}

func (c *Controller) handle(input Input) {
	switch in := input.(type) {
	case Tick:
		c.stepNode(replication.Tick{})
		c.forwardHeartbeats()
		c.checkTimers()
	case PeerMessage:
		if len(in.Message.Beats) > 0 {
			c.handleForwardedHeartbeats(in.Message.Beats)
			return
		}
		c.stepNode(replication.Received{Message: in.Message})
	case Persisted:
		c.stepNode(replication.Persisted{Write: in.Write})
	case DiskFailed:
		c.stepNode(replication.DiskFailed{Write: in.Write})
	case SeedsChanged:
		c.stepNode(replication.SeedsChanged{Seeds: in.Seeds})
	case Terminate:
		c.isTerminating = true
		c.stepNode(replication.Leave{})
	case ReplaceConfiguration:
		c.handleReplaceConfiguration(in)
	case FetchConfiguration:
		c.handleFetchConfiguration(in)
	case Heartbeat:
		c.handleHeartbeat(in)
	case InstanceLeave:
		c.handleInstanceLeave(in)
	case GiveUp:
		c.handleGiveUp(in)
	case Watch:
		c.handleWatch(in)
	case Abandon:
		c.abandon(in.Call)
	case ProbeFinished:
		c.handleProbeFinished(in)
	case PlatformCallFinished:
		c.handlePlatformCallFinished(in)
	}
}

// runPending follows the node's role and starts the work that can be started now.
func (c *Controller) runPending() {
	c.syncTerm()
	if c.term == nil {
		return
	}
	c.refreshTable()
	c.reportClearedFreezes()
	c.confirmDueWatches()
	c.startBatch()
	c.requestConfirmation()
}

// stepNode steps the replication node and carries out its effects.
func (c *Controller) stepNode(input replication.Input) {
	effects := c.node.Step(c.now, input)
	c.effects.Writes = append(c.effects.Writes, effects.Writes...)
	c.effects.Send = append(c.effects.Send, effects.Send...)
	for _, event := range effects.Events {
		c.logEvent(event.What, event.Text)
	}
	c.syncTerm()
	for _, decision := range effects.Decisions {
		c.handleDecision(decision)
	}
}

// syncTerm starts or ends a term when the node's role or epoch has changed.
func (c *Controller) syncTerm() {
	isPrimary := c.node.Role() == replication.Primary
	if c.term != nil && (!isPrimary || c.node.Epoch() != c.term.epoch) {
		c.endTerm()
	}
	if c.term == nil && isPrimary {
		c.startTerm()
	}
}

func (c *Controller) startTerm() {
	epoch := c.node.Epoch()
	failoverSettings := c.settings.Failover
	failoverSettings.Fence = uint64(epoch)
	failoverSettings.DisabledGuards = c.settings.DisabledGuards
	c.term = &term{
		epoch:       epoch,
		reader:      state.NewServiceReader(),
		registry:    registry.New(c.now, c.settings.InstanceTimeout).DisableGuards(c.settings.DisabledGuards),
		failover:    failover.New(c.now, failoverSettings),
		leases:      newGatewayLeases(c.now, c.settings.Lease+c.settings.LeaseMargin, c.guards),
		table:       newTable(epoch),
		allocator:   c.newAllocator(),
		confirmedAt: c.now,
		freezes:     map[string]freeze{},
	}
	if c.node.LeadsRestoredState() {
		c.term.restorePending = true
		c.enqueue(command{kind: drainRestoredInstances})
	}
	c.handleStateChange()
}

// endTerm drops the primary's state in memory and answers all callers that wait.
func (c *Controller) endTerm() {
	ended := c.term
	c.term = nil
	c.operations = c.operations.Plus(ended.allocator.Counts())
	for _, watch := range ended.watches {
		c.refuseWatch(watch.call)
	}
	for _, pending := range ended.unconfirmed {
		c.refusePending(pending)
	}
	for _, confirmation := range ended.confirmations {
		c.refuseAllPending(confirmation.pending)
	}
	for _, command := range ended.commands {
		c.redirect(command.call)
	}
	if ended.batch != nil {
		c.failBatch(ended.batch)
	}
	c.logEvent("deposed", "no longer primary in epoch "+epochText(ended.epoch))
}

// checkTimers answers calls that have waited too long and looks for silent instances.
func (c *Controller) checkTimers() {
	overdue := c.calls.takeOverdue(c.now)
	for _, call := range overdue {
		c.replyUnavailable(call)
	}
	if c.term == nil {
		return
	}
	if len(overdue) > 0 {
		c.dropClosedCommands()
	}
	c.stepFailover(failover.Tick{})
	if c.now >= c.term.nextExpiry && !c.term.isExpiring {
		c.term.nextExpiry, c.term.isExpiring = c.now+expiryInterval, true
		c.enqueue(command{kind: expireInstances})
		c.term.leases.expire(c.now)
	}
}

func (c *Controller) logEvent(what, text string) {
	if what == invariant.Broken {
		c.brokenInvariants++
	}
	c.effects.Events = append(c.effects.Events, Event{What: what, Text: text})
}

func (c *Controller) nextRequest() uint64 {
	c.requests++
	return c.requests
}

// Status describes a controller, for logs, metrics and tests.
type Status struct {
	Role                replication.Role
	View                quorum.View
	Stamp               quorum.Stamp
	ConfigurationNumber int64
	FrozenServices      []string
	BrokenInvariants    uint64          // since the start
	Operations          quota.Counts    // of tenants, since the start
	Services            []ServiceStatus // only at the primary
}

// ServiceStatus describes a service.
type ServiceStatus struct {
	Name      string
	Instances int // how many are present
	Draining  int // how many of those drain
	Frozen    bool
}

// Status returns the current status.
func (c *Controller) Status() Status {
	status := Status{
		Role:             c.node.Role(),
		View:             c.node.View(),
		Stamp:            c.node.Stamp(),
		BrokenInvariants: c.brokenInvariants,
		Operations:       c.operations,
	}
	if c.term != nil {
		status.Operations = c.operations.Plus(c.term.allocator.Counts())
		status.ConfigurationNumber = c.term.table.configurationNumber
		status.FrozenServices = c.term.frozenServices()
		status.Services = c.term.serviceStatus()
	}
	return status
}

func (t *term) serviceStatus() []ServiceStatus {
	services := make([]ServiceStatus, 0, len(t.services))
	for _, view := range t.services {
		service := ServiceStatus{Name: view.Name, Instances: len(view.Instances)}
		for _, instance := range view.Instances {
			if instance.Draining {
				service.Draining++
			}
		}
		_, service.Frozen = t.freezes[view.Name]
		services = append(services, service)
	}
	return services
}
