package simulation

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"eiderway/control/controller"
	"eiderway/control/replication"
)

// World is one day: machines, network, instances, platform, operators, gateways and clients.
type World struct {
	schedule schedule
	random   *rand.Rand
	plan     Plan
	newCore  NewCore
	network  *network
	platform *platform
	judge    *Judge

	controllerSettings controller.Settings
	machines           []*machine
	gateways           []*gateway
	services           []*service
	instances          []*instance
	orders             []*order
	triggers           []*trigger
	desk               *tenantDesk
	presses            int // statements of hot tenants

	copier            *copier
	commits           uint64
	operators         int
	answersLost       float64 // share of answers of controllers that are lost
	giveUps           []bool  // whether each was carried out
	lateBeats         float64 // share of heartbeats that come late
	lastAcknowledging string  // machine that acknowledged an order last
	closing           bool
	listedChanges     []listedChange

	coreEvent    time.Duration // last event that unsettles the core
	coreSlow     int           // slow links between core machines
	weakSince    time.Duration // when a majority of the core was last not running and connected, or it was slow
	weakNow      bool
	story        []string
	storyWanted  bool
	messageCount int
}

// Result of a day.
type Result struct {
	Breaks []Break  // rules that were broken
	Failed []string // expectations that weren't met
	Story  []string // what happened, for people
	Served int      // statements that got a success
	Busy   int
	Doubt  int
	Acked  int           // orders
	Outage time.Duration // longest time without a successful write
	Events uint64
	// Withdrawn is how long after the acknowledgement that took its key away a statement was sent that ran, at the most.
	Withdrawn time.Duration
	Quota     float64 // the most operations of a tenant in a window, as a share of what is allowed
	Bytes     int64   // handed to the disks
}

// Play plays a day.
func Play(plan Plan, seed uint64, newCore NewCore, storyWanted bool) Result {
	world := newWorld(plan, seed, newCore, storyWanted)
	world.begin()
	world.schedule.run(plan.Length)
	return world.result()
}

func newWorld(plan Plan, seed uint64, newCore NewCore, storyWanted bool) *World {
	w := &World{
		plan: plan, newCore: newCore, random: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		copier: newCopier(), coreEvent: -time.Hour, weakSince: -time.Hour, storyWanted: storyWanted,
	}
	w.network = newNetwork(&w.schedule, w.random)
	w.network.conditions = plan.Conditions
	w.platform = newPlatform(w)
	w.judge = newJudge(w)
	w.desk = newTenantDesk(plan.Tenants)
	w.controllerSettings = plan.Settings()
	return w
}

func (w *World) begin() {
	w.makeMachines()
	w.makeServices()
	for index := range w.plan.Gateways {
		w.addGateway(fmt.Sprintf("g%d", index+1)).start()
	}
	for index := range w.plan.Clients {
		service := w.services[index%len(w.services)]
		w.addClient(fmt.Sprintf("client%d", index+1), service.name, w.tenantOf(index), index/len(w.services))
	}
	w.addTenantClients()
	for _, item := range w.plan.Items {
		w.enter(item)
	}
	w.schedule.after(time.Second, func() { w.readLoop("reader1", 0) })
	w.schedule.after(time.Second+readEvery/2, func() { w.readLoop("reader2", 1) })
	w.judge.watch()
}

func (w *World) makeServices() {
	for _, planned := range w.plan.Services {
		made := &service{name: planned.Name, syncReplicas: planned.Sync, term: 1}
		w.services = append(w.services, made)
		for index := range planned.Instances {
			id := fmt.Sprintf("%s%d", planned.Name, index+1)
			one := w.addInstance(made, id, id+":8080")
			one.term, one.termHeld = 1, 1
			if index == 0 {
				one.primary = true
				made.leader = one
			}
		}
	}
}

// makeMachines starts the core: all within 0.3 s of each other, in any order.
func (w *World) makeMachines() {
	seeds := w.plan.Seeds
	for index := range w.plan.Controllers {
		made := w.addMachine(fmt.Sprintf("c%d", index+1), addressesOf(seeds), true)
		w.listMachine(made)
		w.schedule.after(w.jitter(300*time.Millisecond), made.start)
	}
}

func addressesOf(names []string) []string {
	var addresses []string
	for _, name := range names {
		addresses = append(addresses, name+":7440")
	}
	return addresses
}

func (w *World) now() time.Duration { return w.schedule.now }

func (w *World) jitter(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(most)))
}

func (w *World) zoneOf(index int) string { return fmt.Sprintf("zone%d", index%3+1) }

func (w *World) note(who, what string) {
	if w.storyWanted {
		w.story = append(w.story, fmt.Sprintf("%9.3f %-10s %s", w.now().Seconds(), who, what))
	}
}

// settings of a machine's process, as its settings file has them now.
func (w *World) settings(m *machine) controller.Settings {
	settings := w.controllerSettings
	settings.Replication = replication.Settings{
		Self: m.member, Tolerance: w.plan.Tolerance, FirstStart: m.firstStart, Seeds: m.seeds,
		Timing: settings.Replication.Timing, Random: w.random.Uint64(),
	}
	settings.Failover.Holder = m.name
	return settings
}

// deliverPeer carries a message between controllers. It is copied through gob, as on a real link.
func (w *World) deliverPeer(from *machine, envelope replication.Envelope) {
	target := w.machineByAddress(envelope.To)
	if target == nil || target.gone {
		return
	}
	message := w.copier.copy(envelope.Message)
	w.messageCount++
	w.network.send(from.name, target.name, func() {
		if target.running {
			target.feed(controller.PeerMessage{Message: message})
		}
	})
}

func (w *World) machineByName(name string) *machine {
	for _, one := range w.machines {
		if one.name == name {
			return one
		}
	}
	return nil
}

func (w *World) machineByAddress(address string) *machine {
	name, _, _ := strings.Cut(address, ":")
	return w.machineByName(name)
}

func (w *World) machineByControl(control string) *machine { return w.machineByAddress(control) }

func (w *World) service(name string) *service {
	for _, one := range w.services {
		if one.name == name {
			return one
		}
	}
	return nil
}

func (w *World) instanceByID(id string) *instance {
	for _, one := range w.instances {
		if one.id == id {
			return one
		}
	}
	return nil
}

// instanceAt gives whoever lives at an address now, or lived there last.
func (w *World) instanceAt(address string) *instance {
	for index := len(w.instances) - 1; index >= 0; index-- {
		if w.instances[index].address == address {
			return w.instances[index]
		}
	}
	return nil
}

func (w *World) gatewayByName(name string) *gateway {
	for _, one := range w.gateways {
		if one.name == name {
			return one
		}
	}
	return nil
}

// listedChange is a change of the list of controllers that callers use, which lags.
type listedChange struct {
	at      time.Duration
	machine *machine
	listed  bool
}

func (w *World) listMachine(m *machine) {
	at := w.now() + w.plan.Bounds.SeedLag
	if w.now() == 0 {
		at = 0
	}
	w.listedChanges = append(w.listedChanges, listedChange{at: at, machine: m, listed: true})
}

func (w *World) unlistMachine(m *machine) {
	w.listedChanges = append(w.listedChanges, listedChange{at: w.now() + w.plan.Bounds.SeedLag, machine: m})
}

// listed gives the controllers that callers know of. Dead ones stay on the list, those removed leave it late.
func (w *World) listed() []*machine {
	var listed []*machine
	for _, one := range w.machines {
		on := false
		for _, change := range w.listedChanges {
			if change.machine == one && change.at <= w.now() {
				on = change.listed
			}
		}
		if on {
			listed = append(listed, one)
		}
	}
	return listed
}

func (w *World) listedControls() []string {
	var controls []string
	for _, one := range w.listed() {
		controls = append(controls, one.member.Control)
	}
	return controls
}

func (w *World) listedControl() string {
	controls := w.listedControls()
	return controls[w.random.IntN(len(controls))]
}

// seedNames are what a gateway that starts now is told: three of the list.
func (w *World) seedNames() []string {
	var names []string
	for _, one := range w.listed() {
		names = append(names, one.name)
	}
	w.random.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	return names[:min(3, len(names))]
}

func (w *World) answerIsLost() bool {
	return w.answersLost > 0 && w.random.Float64() < w.answersLost
}

// acting gives the controller that leads as far as is seen from outside: the running one with the newest view that says
// so.
func (w *World) acting() *machine {
	var best *machine
	var bestEpoch uint64
	for _, one := range w.machines {
		if !one.running {
			continue
		}
		leads, epoch := leadership(one.core)
		if leads && (best == nil || epoch > bestEpoch) {
			best, bestEpoch = one, epoch
		}
	}
	return best
}

// statusTeller is a core that tells how things stand.
type statusTeller interface{ Status() controller.Status }

func leadership(core Core) (leads bool, epoch uint64) {
	teller, tells := core.(statusTeller)
	if !tells {
		return false, 0
	}
	status := teller.Status()
	return status.Role == replication.Primary, uint64(status.View.ID.Epoch)
}

// copier copies messages through one gob stream, so that no two processes share memory and nothing unencodable passes.
type copier struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

func newCopier() *copier {
	c := &copier{}
	c.encoder = gob.NewEncoder(&c.buffer)
	c.decoder = gob.NewDecoder(&c.buffer)
	return c
}

func (c *copier) copy(message replication.Message) replication.Message {
	var copied replication.Message
	if err := c.encoder.Encode(message); err != nil {
		panic(fmt.Sprintf("a message between controllers can't be encoded: %v", err))
	}
	if err := c.decoder.Decode(&copied); err != nil {
		panic(fmt.Sprintf("a message between controllers can't be decoded: %v", err))
	}
	return copied
}

func (w *World) result() Result {
	result := Result{
		Breaks: w.judge.finish(), Failed: w.failedExpectations(), Story: w.story,
		Served: w.judge.served, Busy: w.judge.busy, Doubt: w.judge.doubt, Events: w.schedule.sequence,
	}
	result.Withdrawn = w.judge.lastWithdrawn
	result.Quota = w.judge.nearest
	result.Outage = w.judge.longestOutage(w.now())
	for _, one := range w.orders {
		if one.acked >= 0 {
			result.Acked++
		}
	}
	for _, one := range w.machines {
		result.Bytes += one.disk.bytes
	}
	return result
}
