// Package controller joins the decisions of the control plane into one state machine: the replicated state
// (replication), the registry of instances, the failover of services, and the tables and leases of gateways.
//
// It has no I/O, clocks or goroutines: a host hands in what happened and when, and carries out the effects. Everything
// that changes the control state is decided at the primary, one batch of commands at a time, and each batch is one
// change. Nothing is answered from the control state before a majority has confirmed, after the question came, that
// this controller still leads.
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
	requests uint64 // numbers the proposals and confirmations handed to the node

	term *term // what a primary keeps in memory; nil while this controller isn't primary

	beats       []replication.ForwardedHeartbeat // taken for the primary and not told yet
	guards      disabledGuards
	terminating bool
	effects     Effects

	invariantsBroken uint64       // since the start
	operations       quota.Counts // of the terms that have ended
}

// term is the memory of one term of office as primary. It starts empty with each term.
type term struct {
	epoch          quorum.Epoch
	registry       *registry.Registry
	failover       *failover.Manager
	reader         *state.ServiceReader
	services       []failover.ServiceView // as committed; not to be modified
	departuresTold bool                   // the failover has been told who departed under earlier terms
	grants         *grants
	table          table
	bank           *quota.Allocator
	commands       []command         // waiting for the next batch
	batch          *batch            // proposed and not decided yet
	questions      []question        // need a confirmation that hasn't been asked for yet
	asked          []confirmation    // asked for and not decided yet
	watches        []*watch          // gateways' questions that wait for news
	confirmed      time.Duration     // when the last confirmation or commit was asked for that was granted
	expireAt       time.Duration     // when silent instances are looked for again
	expiring       bool              // a look for silent instances waits for a batch
	doubting       bool              // the state is from a dump, and what must be doubted isn't marked yet: nobody may work by it
	freezes        map[string]freeze // services that are frozen, by name
	freezesSeen    uint64            // the failover's count of changes when they were taken over
}

// New makes a controller from what its disk holds.
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

// Step takes in what happened and returns what the host must do.
func (c *Controller) Step(now time.Duration, input Input) Effects {
	c.now = now
	c.effects = Effects{}
	c.take(input)
	c.settle()
	c.effects.CanExit = c.terminating && c.node.HasLeft() && c.calls.empty()
	return c.effects
}

func (c *Controller) take(input Input) {
	switch in := input.(type) {
	case Tick:
		c.stepNode(replication.Tick{})
		c.sendBeatNotes()
		c.passTime()
	case PeerMessage:
		if len(in.Message.Beats) > 0 {
			c.takeBeatNotes(in.Message.Beats)
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
		c.terminating = true
		c.stepNode(replication.Leave{})
	case ReplaceConfiguration:
		c.takeOrder(in)
	case FetchConfiguration:
		c.takeFetch(in)
	case Heartbeat:
		c.takeHeartbeat(in)
	case InstanceLeave:
		c.takeInstanceLeave(in)
	case GiveUp:
		c.takeGiveUp(in)
	case Watch:
		c.takeWatch(in)
	case Abandon:
		c.abandon(in.Call)
	case ProbeFinished:
		c.takeProbe(in)
	case PlatformCallFinished:
		c.takePlatformCall(in)
	}
}

// settle follows the node's role and starts what can be started now.
func (c *Controller) settle() {
	c.followRole()
	if c.term == nil {
		return
	}
	c.refreshTable()
	c.reportCleared()
	c.answerWatches()
	c.startBatch()
	c.askConfirmation()
}

// stepNode steps the node and passes its effects on.
func (c *Controller) stepNode(input replication.Input) {
	effects := c.node.Step(c.now, input)
	c.effects.Writes = append(c.effects.Writes, effects.Writes...)
	c.effects.Send = append(c.effects.Send, effects.Send...)
	for _, event := range effects.Events {
		c.event(event.What, event.Text)
	}
	c.followRole()
	for _, decision := range effects.Decisions {
		c.takeDecision(decision)
	}
}

// followRole starts or ends a term of office.
func (c *Controller) followRole() {
	leads := c.node.Role() == replication.Primary
	if c.term != nil && (!leads || c.node.Epoch() != c.term.epoch) {
		c.endTerm()
	}
	if c.term == nil && leads {
		c.startTerm()
	}
}

func (c *Controller) startTerm() {
	epoch := c.node.Epoch()
	failoverSettings := c.settings.Failover
	failoverSettings.Fence = uint64(epoch)
	failoverSettings.DisabledGuards = c.settings.DisabledGuards
	c.term = &term{
		epoch:     epoch,
		reader:    state.NewServiceReader(),
		registry:  registry.New(c.now, c.settings.InstanceTimeout).Lacking(c.settings.DisabledGuards),
		failover:  failover.New(c.now, failoverSettings),
		grants:    newGrants(c.now, c.settings.Lease+c.settings.LeaseMargin, c.guards),
		table:     newTable(epoch),
		bank:      c.newBank(),
		confirmed: c.now,
		freezes:   map[string]freeze{},
	}
	if c.node.LeadsRestoredState() {
		c.term.doubting = true
		c.queue(command{kind: doubtInstances})
	}
	c.stateChanged()
}

// endTerm forgets what only a primary knows, and answers everybody who waits.
func (c *Controller) endTerm() {
	ended := c.term
	c.term = nil
	c.operations = c.operations.Plus(ended.bank.Counts())
	for _, waiting := range ended.watches {
		c.refuseWatch(waiting.call)
	}
	for _, question := range ended.questions {
		c.refuseQuestion(question)
	}
	for _, confirmation := range ended.asked {
		c.refuseQuestions(confirmation.questions)
	}
	for _, command := range ended.commands {
		c.redirect(command.call)
	}
	if ended.batch != nil {
		c.refuseBatch(ended.batch)
	}
	c.event("deposed", "epoch "+epochText(ended.epoch)+" is over here")
}

// passTime answers calls that have waited too long and looks for silent instances.
func (c *Controller) passTime() {
	late := c.calls.overdue(c.now)
	for _, call := range late {
		c.unavailable(call)
	}
	if c.term == nil {
		return
	}
	if len(late) > 0 {
		c.dropUnwanted()
	}
	c.stepFailover(failover.Tick{})
	if c.now >= c.term.expireAt && !c.term.expiring {
		c.term.expireAt, c.term.expiring = c.now+expireEvery, true
		c.queue(command{kind: expireInstances})
		c.term.grants.expire(c.now)
	}
}

func (c *Controller) event(what, text string) {
	if what == invariant.Broken {
		c.invariantsBroken++
	}
	c.effects.Events = append(c.effects.Events, Event{What: what, Text: text})
}

func (c *Controller) nextRequest() uint64 {
	c.requests++
	return c.requests
}

// Status tells how things stand, for logs and tests.
type Status struct {
	Role                replication.Role
	View                quorum.View
	Stamp               quorum.Stamp
	ConfigurationNumber int64
	FrozenServices      []string
	BrokenInvariants    uint64          // invariants, since the start
	Operations          quota.Counts    // of tenants, since the start
	Services            []ServiceStatus // at the primary
}

// ServiceStatus tells how a service stands.
type ServiceStatus struct {
	Name      string
	Instances int // that are present
	Draining  int // of those
	Frozen    bool
}

// Status tells how things stand.
func (c *Controller) Status() Status {
	status := Status{Role: c.node.Role(), View: c.node.View(), Stamp: c.node.Stamp(), BrokenInvariants: c.invariantsBroken, Operations: c.operations}
	if c.term != nil {
		status.Operations = c.operations.Plus(c.term.bank.Counts())
		status.ConfigurationNumber = c.term.table.configurationNumber
		status.FrozenServices = c.term.frozenServices()
		status.Services = c.term.serviceStatus()
	}
	return status
}

func (t *term) serviceStatus() []ServiceStatus {
	services := make([]ServiceStatus, 0, len(t.services))
	for _, view := range t.services {
		one := ServiceStatus{Name: view.Name, Instances: len(view.Instances)}
		for _, instance := range view.Instances {
			if instance.Draining {
				one.Draining++
			}
		}
		_, one.Frozen = t.freezes[view.Name]
		services = append(services, one)
	}
	return services
}
