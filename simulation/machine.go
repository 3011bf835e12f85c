package simulation

import (
	"fmt"
	"slices"
	"time"

	"eiderway/control/controller"
	"eiderway/control/failover"
	"eiderway/control/feed"
	"eiderway/control/invariant"
	"eiderway/control/quorum"
	"eiderway/control/replication"
)

// Core is the decision code of one controller. *controller.Controller is one; tests put others in its place to show
// that a guard is needed.
type Core interface {
	Step(now time.Duration, input controller.Input) controller.Effects
}

// NewCore starts the decision code from what is on disk.
type NewCore func(now time.Duration, settings controller.Settings, durable replication.DurableState) Core

// Times of the host around a controller.
const (
	tickEvery    = 25 * time.Millisecond
	probeTimeout = 300 * time.Millisecond // of a question to an instance
	// platformTimeout is how long the host waits for the platform's answer before it calls the outcome unknown.
	platformTimeout = 2 * time.Second
	ownRestart      = 500 * time.Millisecond // after which an ended process is started again
)

// machine is a machine of the core with its process, its disk and the host code around the controller.
type machine struct {
	world   *World
	name    string
	member  quorum.Member
	disk    *disk
	seeds   []string // addresses, as in the settings file
	core    Core
	life    int // counts the processes; what belongs to an earlier one is dropped
	running bool
	frozen  bool
	powered bool
	gone    bool // removed for good
	ending  bool // SIGTERM came

	firstStart bool
	backlog    []controller.Input // what came while the process was frozen
	calls      map[controller.CallID]*arrivedCall
	nextCall   controller.CallID
	watches    map[controller.CallID]func(controller.WatchReply)
	persisted  uint64
	held       []replication.Envelope // wait for a write

	lastTrouble time.Duration // of this machine itself
}

// arrivedCall is an HTTP call that the process has not answered.
type arrivedCall struct {
	answer func(controller.Reply)
	broken func()
}

func (w *World) addMachine(name string, seeds []string, firstStart bool) *machine {
	added := &machine{
		world:       w,
		name:        name,
		member:      quorum.Member{Name: name, Address: name + ":7440", Control: name + ":8782", Zone: w.zoneOf(len(w.machines))},
		seeds:       seeds,
		firstStart:  firstStart,
		powered:     true,
		lastTrouble: -time.Hour,
	}
	added.disk = newDisk(&w.schedule, w.random, w.plan.DiskSync)
	added.disk.done = added.written
	added.disk.failed = added.refused
	w.machines = append(w.machines, added)
	return added
}

// start runs a new process from what the disk holds.
func (m *machine) start() {
	if m.running || m.gone || !m.powered {
		return
	}
	if m.disk.incarnation == "" {
		m.disk.incarnation = quorum.Incarnation(fmt.Sprintf("%s-%08x", m.name, m.world.random.Uint32()))
	}
	m.life++
	m.running = true
	m.frozen = false
	m.ending = false
	m.backlog = nil
	m.calls = map[controller.CallID]*arrivedCall{}
	m.watches = map[controller.CallID]func(controller.WatchReply){}
	m.held = nil
	m.persisted = 0
	m.member.Incarnation = m.disk.incarnation
	m.core = m.world.newCore(m.world.now(), m.world.settings(m), m.disk.durable())
	m.firstStart = false
	m.world.troubled(m)
	m.world.assess()
	m.tick(m.life)
}

func (m *machine) tick(life int) {
	if life != m.life || !m.running {
		return
	}
	if !m.frozen {
		m.step(controller.Tick{})
	}
	m.world.schedule.after(tickEvery+m.world.jitter(time.Millisecond), func() { m.tick(life) })
}

// feed hands an input to the process, now or when it wakes.
func (m *machine) feed(input controller.Input) {
	if !m.running {
		return
	}
	if m.frozen {
		m.backlog = append(m.backlog, input)
		return
	}
	m.step(input)
}

func (m *machine) step(input controller.Input) {
	life := m.life
	effects := m.core.Step(m.world.now(), input)
	for _, write := range effects.Writes {
		m.disk.submit(m.life, write)
	}
	m.held = append(m.held, effects.Send...)
	m.sendHeld()
	for _, reply := range effects.Replies {
		m.reply(reply)
	}
	for _, reply := range effects.WatchReplies {
		if answer := m.watches[reply.Call]; answer != nil {
			delete(m.watches, reply.Call)
			reply.Answer = copiedAnswer(reply.Answer)
			answer(reply)
		}
	}
	for _, probe := range effects.Probes {
		m.probe(probe)
	}
	for _, call := range effects.PlatformCalls {
		m.callPlatform(call)
	}
	for _, event := range effects.Events {
		if event.What == invariant.Broken {
			m.world.judge.toldBroken(m.name, event.Text)
		}
		m.world.note(m.name, event.What+": "+event.Text)
	}
	if effects.CanExit && m.ending && life == m.life {
		m.world.note(m.name, "ended in order")
		m.end(LosesSome)
	}
}

// copiedAnswer shares no table with the controller, as over a real link.
func copiedAnswer(answer feed.WatchAnswer) feed.WatchAnswer {
	if answer.Table == nil {
		return answer
	}
	table := *answer.Table
	table.Configuration = slices.Clone(table.Configuration)
	table.Services = slices.Clone(table.Services)
	for index := range table.Services {
		table.Services[index].Instances = slices.Clone(table.Services[index].Instances)
	}
	answer.Table = &table
	return answer
}

// sendHeld sends what no longer waits for a write.
func (m *machine) sendHeld() {
	kept := m.held[:0]
	for _, envelope := range m.held {
		if envelope.After > m.persisted {
			kept = append(kept, envelope)
			continue
		}
		m.world.deliverPeer(m, envelope)
	}
	m.held = kept
}

func (m *machine) written(life int, write uint64) {
	if life != m.life {
		return
	}
	m.feedDisk(controller.Persisted{Write: write})
}

func (m *machine) refused(life int, write uint64) {
	if life != m.life {
		return
	}
	m.feedDisk(controller.DiskFailed{Write: write})
}

// feedDisk hands a result of the disk in; what waited for it leaves when the process takes the result.
func (m *machine) feedDisk(input controller.Input) {
	if !m.running {
		return
	}
	if m.frozen {
		m.backlog = append(m.backlog, input)
		return
	}
	m.takeDisk(input)
}

func (m *machine) takeDisk(input controller.Input) {
	switch result := input.(type) {
	case controller.Persisted:
		m.persisted = max(m.persisted, result.Write)
		m.sendHeld()
	case controller.DiskFailed:
		m.dropHeld(result.Write)
	}
	m.step(input)
}

// dropHeld forgets messages that speak of writes that were refused.
func (m *machine) dropHeld(from uint64) {
	kept := m.held[:0]
	for _, envelope := range m.held {
		if envelope.After < from {
			kept = append(kept, envelope)
		}
	}
	m.held = kept
}

func (m *machine) reply(reply controller.Reply) {
	arrived := m.calls[reply.Call]
	if arrived == nil {
		return
	}
	delete(m.calls, reply.Call)
	arrived.answer(reply)
}

// end stops the process: its files stay, its connections are reset by the kernel.
func (m *machine) end(how PowerLoss) {
	if !m.running {
		return
	}
	m.running = false
	m.life++
	m.disk.drop(how)
	m.breakCalls()
	m.core = nil
	m.world.assess()
}

func (m *machine) breakCalls() {
	for call := controller.CallID(1); call <= m.nextCall; call++ {
		if arrived := m.calls[call]; arrived != nil && m.powered {
			arrived.broken()
		}
	}
	m.calls = map[controller.CallID]*arrivedCall{}
	m.watches = map[controller.CallID]func(controller.WatchReply){}
}

// powerOff stops the process without a word to anybody.
func (m *machine) powerOff(how PowerLoss) {
	m.powered = false
	m.end(how)
}

// terminate sends SIGTERM; SIGKILL follows when the time of grace is over.
func (m *machine) terminate(grace time.Duration) {
	if !m.running {
		return
	}
	m.ending = true
	life := m.life
	m.feed(controller.Terminate{})
	m.world.schedule.after(grace, func() {
		if m.running && m.life == life {
			m.world.note(m.name, "killed after its time of grace")
			m.end(LosesSome)
		}
	})
}

func (m *machine) freeze() {
	m.frozen = true
}

// thaw lets the process go on: with what has arrived, or with its timers first.
func (m *machine) thaw() {
	if !m.frozen {
		return
	}
	m.frozen = false
	backlog := m.backlog
	m.backlog = nil
	life := m.life
	timersFirst := m.world.random.IntN(2) == 0
	if timersFirst {
		m.step(controller.Tick{})
	}
	for _, input := range backlog {
		if m.life != life || !m.running {
			return
		}
		m.takeWoken(input)
	}
}

func (m *machine) takeWoken(input controller.Input) {
	switch input.(type) {
	case controller.Persisted, controller.DiskFailed:
		m.takeDisk(input)
	default:
		m.step(input)
	}
}

// probe carries out a question to an instance.
func (m *machine) probe(probe failover.Probe) {
	started := m.world.now()
	life := m.life
	ended := false
	finish := func(answer failover.ProbeAnswer, status failover.Status) {
		if ended || m.life != life {
			return
		}
		ended = true
		m.feed(controller.ProbeFinished{Result: failover.ProbeResult{Number: probe.Number, Answer: answer, Status: status, Started: started}})
	}
	m.world.probeInstance(m.name, probe, finish)
	m.world.schedule.after(probeTimeout, func() { finish(failover.Silent, failover.Status{}) })
}

// callPlatform sends POST /failover once.
func (m *machine) callPlatform(call failover.PlatformCall) {
	life := m.life
	ended := false
	finish := func(outcome failover.PlatformOutcome, code int) {
		if ended || m.life != life {
			return
		}
		ended = true
		m.feed(controller.PlatformCallFinished{Result: failover.PlatformResult{Number: call.Number, Outcome: outcome, Code: code}})
	}
	m.world.platform.call(m, call, finish)
	m.world.schedule.after(platformTimeout, func() { finish(failover.OutcomeUnknown, 0) })
}

// watch takes a gateway's question.
func (m *machine) watch(request feed.WatchRequest, answer func(controller.WatchReply)) {
	if !m.running {
		return
	}
	m.nextCall++
	call := m.nextCall
	m.watches[call] = answer
	m.feed(controller.Watch{Call: call, Request: request})
}
