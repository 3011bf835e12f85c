package controller

import (
	"fmt"
	"maps"
	"math/rand"
	"time"

	"eiderway/control/failover"
	"eiderway/control/quorum"
	"eiderway/control/quota"
	"eiderway/control/replication"
	"eiderway/testing/virtualtime"
)

const (
	tickInterval = 25 * time.Millisecond
	callTimeout  = 800 * time.Millisecond
	lease        = 3 * time.Second
)

// machine is a computer with a controller: its process, if it runs, and its disk.
type machine struct {
	name         string
	diskCount    int // disks so far; each new one has a new incarnation
	incarnation  quorum.Incarnation
	controller   *Controller
	process      int // number of the process; rises when one starts or ends
	isFrozen     bool
	thawedAt     time.Duration // the last time
	hasStarted   bool
	disk         simulatedDisk
	held         []replication.Envelope // messages that wait for a sync
	queuedInputs []Input                // of a frozen process
	hasExited    bool
	probed       map[uint64]bool // numbers of the probes of this process
}

type simulatedDisk struct {
	durable  replication.DurableState
	unsynced []replication.Write
	delay    time.Duration // of a sync
	synced   uint64        // number of the last write that is synced
}

type link = virtualtime.Link

// deployment is a small simulated deployment: controllers with disks, gateways, instances, a platform and callers. The history depends on
// the seed only. The checks follow from the guarantees of the control plane, and know nothing of how a controller works.
type deployment struct {
	now                 time.Duration
	agenda              virtualtime.EventQueue
	random              *rand.Rand
	tolerance           int
	guards              disabledGuards
	machines            []*machine
	cutLinks            virtualtime.Links
	calls               map[CallID]*testCall
	lastCall            CallID
	acknowledged        acknowledgements
	drainAcknowledgedAt map[string]time.Duration // when an instance's drain or leave was first acknowledged
	leavers             []*leaver
	watches             map[CallID]*watchRecord
	gateways            []*gateway
	instances           []*instance
	probeTime           time.Duration // how long an answer to a probe takes
	pauseCount          int
	platformCalls       int
	events              []string
	violation           string // of the first check that failed; "" for none
	trace               func(string)
}

func newDeployment(seed int64, controllers, tolerance int, guards disabledGuards) *deployment {
	d := &deployment{
		random:              rand.New(rand.NewSource(seed)),
		tolerance:           tolerance,
		guards:              guards,
		cutLinks:            virtualtime.Links{},
		calls:               map[CallID]*testCall{},
		acknowledged:        newAcknowledgements(),
		drainAcknowledgedAt: map[string]time.Duration{},
		probeTime:           2 * time.Millisecond,
	}
	for index := range controllers {
		machine := &machine{name: string(rune('a' + index))}
		machine.disk.delay = 2 * time.Millisecond
		d.replaceDisk(machine)
		d.machines = append(d.machines, machine)
	}
	for _, machine := range d.machines {
		d.start(machine)
	}
	return d
}

func (d *deployment) fail(format string, values ...any) {
	if d.violation == "" {
		d.violation = fmt.Sprintf("at %s: ", d.now) + fmt.Sprintf(format, values...)
	}
}

func (d *deployment) after(delay time.Duration, run func()) { d.agenda.Add(d.now+delay, run) }

// run lets time pass, until a check fails.
func (d *deployment) run(span time.Duration) {
	end := d.now + span
	for d.violation == "" {
		at, action, found := d.agenda.Next(end)
		if !found {
			break
		}
		d.now = at
		action()
	}
	d.now = end
}

// runUntil lets time pass until the condition holds, and tells whether it did within the limit.
func (d *deployment) runUntil(limit time.Duration, holds func() bool) bool {
	end := d.now + limit
	for !holds() {
		if d.now >= end || d.violation != "" {
			return false
		}
		d.run(5 * time.Millisecond)
	}
	return true
}

func (d *deployment) replaceDisk(machine *machine) {
	machine.diskCount++
	machine.incarnation = quorum.Incarnation(fmt.Sprintf("%s%d", machine.name, machine.diskCount))
	machine.disk.durable = replication.DurableState{Incarnation: machine.incarnation, Entries: map[string][]byte{}}
	machine.disk.unsynced = nil
}

func (d *deployment) settings(machine *machine) Settings {
	var seeds []string
	for _, other := range d.machines {
		seeds = append(seeds, other.name+":1")
	}
	if len(seeds) == 0 {
		seeds = []string{"a:1", "b:1", "c:1", "d:1", "e:1"}
	}
	failoverSettings := failover.DefaultSettings()
	failoverSettings.Holder, failoverSettings.FenceChecked = machine.name, true
	return Settings{
		Replication: replication.Settings{
			Self:       quorum.Member{Name: machine.name, Address: machine.name + ":1", Control: machine.name + ":2"},
			Tolerance:  d.tolerance,
			FirstStart: !machine.hasStarted,
			Seeds:      seeds[:min(3, len(seeds))],
			Timing:     replication.DefaultTiming(),
			Random:     d.random.Uint64(),
		},
		Failover:        failoverSettings,
		Lease:           lease,
		LeaseMargin:     100 * time.Millisecond,
		MaxWatchWait:    600 * time.Millisecond,
		InstanceTimeout: 10 * time.Second,
		CallTimeout:     callTimeout,
		Quota:           quota.Rules{Window: 5 * time.Second, Overrun: 0.1, Slack: 20},
	}
}

func (d *deployment) start(machine *machine) {
	if machine.controller != nil {
		return
	}
	durable := machine.disk.durable
	durable.Entries = maps.Clone(durable.Entries)
	machine.process++
	machine.isFrozen, machine.hasExited = false, false
	machine.disk.synced = 0
	machine.controller = New(d.now, d.settings(machine), durable)
	machine.controller.guards = d.guards
	machine.hasStarted = true
	machine.probed = map[uint64]bool{}
	d.tick(machine, machine.process)
}

func (d *deployment) tick(machine *machine, process int) {
	d.after(tickInterval, func() {
		if machine.process != process {
			return
		}
		if !machine.isFrozen {
			d.step(machine, Tick{})
		}
		d.tick(machine, process)
	})
}

// kill ends the process. A random number of its first unsynced writes survive.
func (d *deployment) kill(machine *machine) {
	survivors := d.random.Intn(len(machine.disk.unsynced) + 1)
	for _, write := range machine.disk.unsynced[:survivors] {
		machine.disk.apply(write)
	}
	d.powerLoss(machine)
}

// powerLoss ends the process and loses all unsynced writes.
func (d *deployment) powerLoss(machine *machine) {
	machine.disk.unsynced = nil
	machine.controller = nil
	machine.process++
	machine.held, machine.queuedInputs = nil, nil
}

func (d *deployment) wipe(machine *machine) {
	d.powerLoss(machine)
	d.replaceDisk(machine)
}

func (d *deployment) thaw(machine *machine) {
	machine.isFrozen, machine.thawedAt = false, d.now
	queued := machine.queuedInputs
	machine.queuedInputs = nil
	for _, input := range queued {
		d.step(machine, input)
	}
}

// deliver passes an input to a process, at once or when it is thawed.
func (d *deployment) deliver(machine *machine, input Input) {
	if machine.isFrozen {
		machine.queuedInputs = append(machine.queuedInputs, input)
		return
	}
	d.step(machine, input)
}

func (d *deployment) step(machine *machine, input Input) {
	if machine.controller == nil {
		return
	}
	effects := machine.controller.Step(d.now, input)
	d.write(machine, effects.Writes)
	machine.held = append(machine.held, effects.Send...)
	d.releaseHeldMessages(machine)
	for _, event := range effects.Events {
		text := fmt.Sprintf("%8s %s %s: %s", d.now.Round(time.Millisecond), machine.incarnation, event.What, event.Text)
		d.events = append(d.events, event.What)
		if d.trace != nil {
			d.trace(text)
		}
	}
	for _, reply := range effects.Replies {
		d.handleReply(machine, reply)
	}
	for _, reply := range effects.WatchReplies {
		d.handleWatchReply(machine, reply)
	}
	for _, probe := range effects.Probes {
		d.probe(machine, probe)
	}
	for _, call := range effects.PlatformCalls {
		d.callPlatform(machine, call)
	}
	if effects.CanExit {
		machine.hasExited = true
		d.kill(machine)
	}
}

func (d *deployment) write(machine *machine, writes []replication.Write) {
	isIdle := len(machine.disk.unsynced) == 0
	machine.disk.unsynced = append(machine.disk.unsynced, writes...)
	if isIdle && len(writes) > 0 {
		d.syncNext(machine)
	}
}

func (d *deployment) syncNext(machine *machine) {
	process := machine.process
	d.after(machine.disk.delay, func() {
		if machine.process != process || len(machine.disk.unsynced) == 0 {
			return
		}
		write := machine.disk.unsynced[0]
		machine.disk.unsynced = machine.disk.unsynced[1:]
		machine.disk.apply(write)
		machine.disk.synced = write.Number
		if len(machine.disk.unsynced) > 0 {
			d.syncNext(machine)
		}
		d.deliver(machine, Persisted{Write: write.Number})
	})
}

func (d *simulatedDisk) apply(write replication.Write) {
	if write.Voter != nil {
		d.durable.Voter = *write.Voter
	}
	if write.Replace {
		d.durable.Entries = map[string][]byte{}
	}
	for _, mutation := range write.Mutations {
		if mutation.Delete {
			delete(d.durable.Entries, mutation.Key)
			continue
		}
		d.durable.Entries[mutation.Key] = mutation.Value
	}
	if write.Stamp != nil {
		d.durable.Stamp = *write.Stamp
	}
}

// releaseHeldMessages sends the messages that no longer wait for a sync.
func (d *deployment) releaseHeldMessages(machine *machine) {
	stillHeld := machine.held[:0:0]
	for _, envelope := range machine.held {
		if envelope.After > machine.disk.synced {
			stillHeld = append(stillHeld, envelope)
			continue
		}
		d.transmit(machine, envelope)
	}
	machine.held = stillHeld
}

func (d *deployment) transmit(from *machine, envelope replication.Envelope) {
	to := d.machineAt(envelope.To)
	if to == nil || d.cutLinks[link{from.name, to.name}] {
		return
	}
	d.after(d.delay(), func() {
		if to.controller != nil && !d.cutLinks[link{from.name, to.name}] {
			d.deliver(to, PeerMessage{Message: envelope.Message})
		}
	})
}

func (d *deployment) delay() time.Duration {
	return time.Millisecond + time.Duration(d.random.Int63n(int64(2*time.Millisecond)))
}

func (d *deployment) machineAt(address string) *machine {
	for _, machine := range d.machines {
		if machine.name+":1" == address || machine.name+":2" == address {
			return machine
		}
	}
	return nil
}

func (d *deployment) machine(name string) *machine {
	for _, machine := range d.machines {
		if machine.name == name {
			return machine
		}
	}
	return nil
}

// primary returns the machine whose controller is primary by its own state, the one of the highest epoch if there are several.
func (d *deployment) primary() *machine {
	var found *machine
	for _, machine := range d.machines {
		if machine.controller == nil || machine.controller.term == nil {
			continue
		}
		if found == nil || found.controller.term.epoch < machine.controller.term.epoch {
			found = machine
		}
	}
	return found
}

func (d *deployment) isolate(name string) {
	var names []string
	for _, machine := range d.machines {
		names = append(names, machine.name)
	}
	d.cutLinks.Isolate([]string{name}, names)
}
