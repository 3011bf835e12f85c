package replication

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"time"

	"eiderway/control/quorum"
	"eiderway/testing/virtualtime"
)

// The world is a small simulated network of nodes with disks, and a checker of their answers. The checker knows only what was
// asked, what was answered, and the content of a primary's state and of the disks, not how a node decides. An order is a
// change that the client of the world proposes.

const (
	tickInterval   = 25 * time.Millisecond
	clientInterval = 60 * time.Millisecond // between two orders of the client
)

// machine is a computer with a disk and a process, which may not be running.
type machine struct {
	name          string
	address       string
	diskCount     int // disks that it has had so far
	incarnation   quorum.Incarnation
	node          *Node
	firstStart    bool
	isFrozen      bool
	isGone        bool // it never comes back
	isLeaving     bool
	comesBack     bool
	generation    int // of the process; actions scheduled for an earlier one are ignored
	disk          simulatedDisk
	heldMessages  []Envelope
	pendingInputs []Input // inputs that arrived while the process was frozen
	events        []Event
}

type simulatedDisk struct {
	durable   DurableState
	unsynced  []Write // not yet on disk
	busyUntil time.Duration
	delay     time.Duration
	refuses   bool
	synced    uint64

	written            uint64 // number of writes by all generations of the process
	powerLossWrite     uint64 // number of the write at which the power is lost; 0: none
	powerLossAfterSync bool   // after that write is on disk rather than before
	onPowerLoss        func()
}

// losesPowerNow counts a finished write and reports whether the power is lost before the process learns of it.
func (d *simulatedDisk) losesPowerNow() bool {
	d.written++
	return d.powerLossWrite != 0 && d.written == d.powerLossWrite
}

type link = virtualtime.Link

type world struct {
	now              time.Duration
	agenda           virtualtime.EventQueue
	random           *rand.Rand
	machines         []*machine
	byAddress        map[string]*machine
	lostDisks        []DurableState // disks lost for good
	cutLinks         virtualtime.Links
	loss             float64
	duplicated       float64
	delayed          float64
	tolerance        int
	seeds            []string
	guards           disabledGuards
	keepsIncarnation bool // a lost disk returns with the same incarnation, to show what that would break
	checker          checker
	clientActive     bool // the client keeps sending orders and confirmations
	orderBytes       int
	requests         uint64
	messages         int
	bytes            func(Message) int
	sentBytes        int
	trace            func(string)
}

func newWorld(seed int64, count, seeds, tolerance int, guards disabledGuards) *world {
	w := &world{
		random:       rand.New(rand.NewSource(seed)),
		byAddress:    map[string]*machine{},
		cutLinks:     virtualtime.Links{},
		tolerance:    tolerance,
		guards:       guards,
		checker:      newChecker(),
		clientActive: true,
	}
	for index := 0; index < count; index++ {
		w.addMachine(string(rune('a'+index)), true)
	}
	for index := 0; index < seeds; index++ {
		w.seeds = append(w.seeds, w.machines[index].address)
	}
	for _, machine := range w.machines {
		w.start(machine)
	}
	w.schedule(clientInterval, w.runClient)
	return w
}

func (w *world) addMachine(name string, firstStart bool) *machine {
	machine := &machine{name: name, address: name + ":1", firstStart: firstStart}
	machine.disk.delay = time.Millisecond
	w.emptyDisk(machine)
	w.machines = append(w.machines, machine)
	w.byAddress[machine.address] = machine
	return machine
}

func (w *world) machine(name string) *machine {
	for _, machine := range w.machines {
		if machine.name == name {
			return machine
		}
	}
	panic("no machine " + name)
}

func (w *world) names() []string {
	var names []string
	for _, machine := range w.machines {
		names = append(names, machine.name)
	}
	return names
}

func (w *world) emptyDisk(machine *machine) {
	if !w.keepsIncarnation || machine.diskCount == 0 {
		machine.diskCount++
	}
	machine.incarnation = quorum.Incarnation(fmt.Sprintf("%s%d", machine.name, machine.diskCount))
	machine.disk.durable = DurableState{Incarnation: machine.incarnation, Entries: map[string][]byte{}}
	machine.disk.unsynced = nil
}

func (w *world) start(machine *machine) {
	if machine.node != nil || machine.isGone {
		return
	}
	durable := machine.disk.durable
	durable.Entries = maps.Clone(durable.Entries)
	machine.generation++
	machine.isFrozen = false
	machine.isLeaving = false
	machine.disk.synced = 0
	machine.node = NewNode(w.now, Settings{
		Self: quorum.Member{
			Incarnation: machine.incarnation,
			Name:        machine.name,
			Address:     machine.address,
			Control:     machine.name + ":2",
		},
		Tolerance:  w.tolerance,
		FirstStart: machine.firstStart,
		Seeds:      w.seeds,
		Timing:     DefaultTiming(),
		Random:     w.random.Uint64(),
	}, durable)
	machine.node.guards = w.guards
	machine.firstStart = false
	w.tickLater(machine, time.Duration(w.random.Int63n(int64(tickInterval))))
}

// kill ends the process. A random prefix of the unsynced writes survives.
func (w *world) kill(machine *machine) {
	if machine.node == nil {
		return
	}
	machine.node = nil
	machine.generation++
	machine.heldMessages = nil
	machine.pendingInputs = nil
	survivors := w.random.Intn(len(machine.disk.unsynced) + 1)
	for _, write := range machine.disk.unsynced[:survivors] {
		machine.disk.apply(write)
	}
	machine.disk.unsynced = nil
	machine.disk.busyUntil = w.now
}

// powerLoss ends the process, and no unsynced write survives.
func (w *world) powerLoss(machine *machine) {
	machine.disk.unsynced = nil
	w.kill(machine)
}

func (w *world) wipe(machine *machine) {
	w.powerLoss(machine)
	w.lostDisks = append(w.lostDisks, machine.disk.durable)
	w.emptyDisk(machine)
}

func (d *simulatedDisk) apply(write Write) {
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

func (w *world) freeze(machine *machine) {
	if machine.node != nil {
		machine.isFrozen = true
	}
}

func (w *world) thaw(machine *machine) {
	if !machine.isFrozen {
		return
	}
	machine.isFrozen = false
	waiting := machine.pendingInputs
	machine.pendingInputs = nil
	for _, input := range waiting {
		w.step(machine, input)
	}
}

func (w *world) schedule(after time.Duration, action func()) { w.agenda.Add(w.now+after, action) }

func (w *world) tickLater(machine *machine, after time.Duration) {
	generation := machine.generation
	w.schedule(after, func() {
		if machine.generation != generation {
			return
		}
		if !machine.isFrozen {
			w.step(machine, Tick{})
		}
		w.tickLater(machine, tickInterval)
	})
}

func (w *world) syncAt(at time.Duration, machine *machine) {
	generation := machine.generation
	w.agenda.Add(at, func() {
		if machine.generation == generation {
			w.writeDone(machine)
		}
	})
}

// run advances the time, up to the first violation.
func (w *world) run(span time.Duration) {
	end := w.now + span
	for w.checker.violation == "" {
		at, action, found := w.agenda.Next(end)
		if !found {
			break
		}
		w.now = at
		action()
	}
	w.now = end
}

func (w *world) deliver(from *machine, envelope Envelope) {
	machine := w.byAddress[envelope.To]
	if machine == nil || machine.node == nil || w.cutLinks[link{from.name, machine.name}] {
		return
	}
	w.deliverInput(machine, Received{Message: envelope.Message})
}

func (w *world) deliverInput(machine *machine, input Input) {
	if machine.isFrozen {
		if len(machine.pendingInputs) < 200 {
			machine.pendingInputs = append(machine.pendingInputs, input)
		}
		return
	}
	w.step(machine, input)
}

// writeDone finishes the oldest unsynced write.
func (w *world) writeDone(machine *machine) {
	if len(machine.disk.unsynced) == 0 {
		return
	}
	if w.now < machine.disk.busyUntil { // the disk has been stalled meanwhile
		w.syncAt(machine.disk.busyUntil, machine)
		return
	}
	write := machine.disk.unsynced[0]
	if machine.disk.refuses {
		reached := w.random.Intn(len(machine.disk.unsynced) + 1)
		for _, unsynced := range machine.disk.unsynced[:reached] {
			machine.disk.apply(unsynced)
		}
		machine.disk.unsynced = nil
		w.deliverDiskInput(machine, DiskFailed{Write: write.Number})
		return
	}
	losesPower := machine.disk.losesPowerNow()
	if losesPower && !machine.disk.powerLossAfterSync {
		machine.disk.onPowerLoss()
		return
	}
	machine.disk.unsynced = machine.disk.unsynced[1:]
	machine.disk.apply(write)
	if losesPower {
		machine.disk.onPowerLoss()
		return
	}
	machine.disk.synced = write.Number
	if len(machine.disk.unsynced) > 0 {
		w.syncAt(w.now+machine.disk.delay, machine)
	}
	w.deliverDiskInput(machine, Persisted{Write: write.Number})
}

// deliverDiskInput reports to the process what its disk has done.
func (w *world) deliverDiskInput(machine *machine, input Input) {
	if machine.isFrozen {
		machine.pendingInputs = append(machine.pendingInputs, input)
		return
	}
	w.step(machine, input)
}

func (w *world) step(machine *machine, input Input) {
	if machine.node == nil {
		return
	}
	generation := machine.generation
	effects := machine.node.Step(w.now, input)
	if generation != machine.generation {
		return
	}
	wasIdle := len(machine.disk.unsynced) == 0
	machine.disk.unsynced = append(machine.disk.unsynced, effects.Writes...)
	if wasIdle && len(effects.Writes) > 0 {
		w.syncAt(max(w.now, machine.disk.busyUntil)+machine.disk.delay, machine)
	}
	machine.heldMessages = append(machine.heldMessages, effects.Send...)
	w.sendReady(machine)
	for _, event := range effects.Events {
		machine.events = append(machine.events, event)
		if w.trace != nil {
			w.trace(fmt.Sprintf("%8s %s %s: %s", w.now.Round(time.Millisecond), machine.incarnation, event.What, event.Text))
		}
	}
	for _, decision := range effects.Decisions {
		w.checker.checkDecision(w, machine, decision)
	}
	if machine.isLeaving && machine.node.HasLeft() {
		w.kill(machine)
		if machine.comesBack {
			w.schedule(time.Second, func() { w.start(machine) })
		} else {
			machine.isGone = true
		}
	}
}

// sendReady sends the messages that no longer wait for the disk.
func (w *world) sendReady(machine *machine) {
	if len(machine.heldMessages) == 0 {
		return
	}
	kept := machine.heldMessages[:0:0]
	for _, envelope := range machine.heldMessages {
		if envelope.After > machine.disk.synced {
			kept = append(kept, envelope)
			continue
		}
		w.transmit(machine, envelope)
	}
	machine.heldMessages = kept
}

func (w *world) transmit(machine *machine, envelope Envelope) {
	w.messages++
	if w.bytes != nil {
		w.sentBytes += w.bytes(envelope.Message)
	}
	to := w.byAddress[envelope.To]
	if to == nil || w.cutLinks[link{machine.name, to.name}] || w.chance(w.loss) {
		return
	}
	copies := 1
	if w.chance(w.duplicated) {
		copies = 2
	}
	for ; copies > 0; copies-- {
		delay := time.Millisecond + time.Duration(w.random.Int63n(int64(2*time.Millisecond)))
		if w.chance(w.delayed) {
			delay += time.Duration(w.random.Int63n(int64(3 * time.Second)))
		}
		w.schedule(delay, func() { w.deliver(machine, envelope) })
	}
}

func (w *world) chance(share float64) bool { return share > 0 && w.random.Float64() < share }

// runClient lets the client send an order and a confirmation to every machine that takes itself for the primary.
func (w *world) runClient() {
	w.schedule(clientInterval, w.runClient)
	if !w.clientActive {
		return
	}
	for _, machine := range w.machines {
		if machine.node == nil || machine.isFrozen || machine.node.Role() != Primary {
			continue
		}
		w.confirm(machine)
		if machine.node != nil && machine.node.MayPropose() {
			w.propose(machine)
		}
	}
}

func (w *world) confirm(machine *machine) {
	w.requests++
	w.checker.recordConfirm(w, w.requests)
	w.step(machine, Confirm{Request: w.requests})
}

func (w *world) propose(machine *machine) {
	w.requests++
	w.checker.recordOrder(w.requests)
	key := w.checker.keys[w.requests]
	w.step(machine, Propose{Request: w.requests, Mutations: []Mutation{
		{Key: key, Value: make([]byte, max(w.orderBytes, 1))},
		{Key: "newest", Value: []byte(key)},
	}})
}

// Faults.

func (w *world) isolate(machine *machine) {
	for _, other := range w.machines {
		if other != machine {
			w.cutLinks[link{machine.name, other.name}] = true
			w.cutLinks[link{other.name, machine.name}] = true
		}
	}
}

func (w *world) cutInbound(machine *machine) {
	for _, other := range w.machines {
		w.cutLinks[link{other.name, machine.name}] = other != machine
	}
}

func (w *world) cutOutbound(machine *machine) {
	for _, other := range w.machines {
		w.cutLinks[link{machine.name, other.name}] = other != machine
	}
}

func (w *world) heal() {
	clear(w.cutLinks)
	w.loss, w.duplicated, w.delayed = 0, 0, 0
	for _, machine := range w.machines {
		w.thaw(machine)
		machine.disk.delay = time.Millisecond
		machine.disk.refuses = false
		machine.disk.busyUntil = min(machine.disk.busyUntil, w.now)
		if !machine.isGone && machine.node == nil {
			w.start(machine)
		}
	}
}

func (w *world) leave(machine *machine, comesBack bool) {
	if machine.node == nil || machine.isLeaving {
		return
	}
	machine.isLeaving = true
	machine.comesBack = comesBack
	w.deliverInput(machine, Leave{})
}

// primary returns the machine that takes itself for the primary with the highest epoch, or nil.
func (w *world) primary() *machine {
	var found *machine
	for _, machine := range w.machines {
		if machine.node == nil || machine.node.Role() != Primary {
			continue
		}
		if found == nil || found.node.Epoch() < machine.node.Epoch() {
			found = machine
		}
	}
	return found
}

// checker records what was acknowledged to the client, and the first violation.
type checker struct {
	acknowledged       []uint64          // orders in the sequence of their acknowledgements
	keys               map[uint64]string // of all orders, by request
	orderAt            map[uint64]uint64 // by sequence of the stamp: the order committed there
	acknowledgedBefore map[uint64]int    // by request: how many orders had been acknowledged before it was made
	isOrder            map[uint64]bool
	violation          string
	ordersDone         int
	confirmsDone       int
}

func newChecker() checker {
	return checker{orderAt: map[uint64]uint64{}, acknowledgedBefore: map[uint64]int{}, isOrder: map[uint64]bool{}, keys: map[uint64]string{}}
}

func (c *checker) recordConfirm(w *world, request uint64) {
	c.acknowledgedBefore[request] = len(c.acknowledged)
}

func (c *checker) recordOrder(request uint64) {
	c.isOrder[request] = true
	c.keys[request] = fmt.Sprintf("order/%06d", request)
	c.acknowledgedBefore[request] = len(c.acknowledged)
}

func (c *checker) fail(w *world, format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf("at %s: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (c *checker) checkDecision(w *world, machine *machine, decision Decision) {
	if decision.Outcome != Done {
		return
	}
	if c.isOrder[decision.Request] {
		c.checkOrder(w, machine, decision.Request)
		return
	}
	c.confirmsDone++
	for _, order := range c.acknowledged[:c.acknowledgedBefore[decision.Request]] {
		if !w.checker.holds(machine.node, order) {
			c.fail(w, "%s confirmed itself without order %d, acknowledged before it was asked", machine.name, order)
			return
		}
	}
}

func (c *checker) checkOrder(w *world, machine *machine, order uint64) {
	c.ordersDone++
	sequence := machine.node.Stamp().Sequence
	if other, taken := c.orderAt[sequence]; taken && other != order {
		c.fail(w, "orders %d and %d are both committed with sequence %d", other, order, sequence)
	}
	c.orderAt[sequence] = order
	for _, earlier := range c.acknowledged[:c.acknowledgedBefore[order]] {
		if !w.checker.holds(machine.node, earlier) {
			c.fail(w, "%s acknowledged order %d on a state without order %d, acknowledged before it came", machine.name, order, earlier)
			return
		}
	}
	for _, other := range w.machines {
		if other == machine || other.node == nil || other.node.Role() != Primary || other.node.Epoch() <= machine.node.Epoch() {
			continue
		}
		if !w.checker.holds(other.node, order) {
			c.fail(w, "%s acknowledged order %d while %s leads a later epoch without it", machine.name, order, other.name)
			return
		}
	}
	copies := 0
	for _, other := range w.machines {
		if _, found := other.disk.durable.Entries[c.keys[order]]; found {
			copies++
		}
	}
	for _, disk := range w.lostDisks { // lost since it synced the order
		if _, found := disk.Entries[c.keys[order]]; found {
			copies++
		}
	}
	if copies < w.tolerance+1 {
		c.fail(w, "order %d was acknowledged with %d copies on disk", order, copies)
	}
	c.acknowledged = append(c.acknowledged, order)
}

func (c *checker) holds(node *Node, order uint64) bool {
	_, found := node.Entry(c.keys[order])
	return found
}

// settle ends all faults and requires that, within the limit, orders are acknowledged by a primary that has all earlier ones.
func (w *world) settle(limit time.Duration) {
	if w.checker.violation != "" {
		return
	}
	w.heal()
	startedAt := w.now
	before := w.checker.ordersDone
	for w.now-startedAt < limit && w.checker.ordersDone < before+2 && w.checker.violation == "" {
		w.run(50 * time.Millisecond)
	}
	if w.checker.violation != "" {
		return
	}
	if w.checker.ordersDone < before+2 {
		w.checker.fail(w, "no two orders were acknowledged within %s after the faults ended: %s", limit, w.describe())
		return
	}
	w.check()
}

// check looks for every acknowledged order in the state of the primary, if there is one.
func (w *world) check() {
	primary := w.primary()
	if primary == nil {
		return
	}
	for _, order := range w.checker.acknowledged {
		if !w.checker.holds(primary.node, order) {
			w.checker.fail(w, "order %d is lost", order)
			return
		}
	}
}

func (w *world) describe() string {
	text := ""
	for _, machine := range w.machines {
		if machine.node == nil {
			text += fmt.Sprintf(" [%s ended]", machine.incarnation)
			continue
		}
		node := machine.node
		text += fmt.Sprintf(" [%s role %d promised %d accepted %s known %s voters %d copies %v stamp %s disk %s]", machine.incarnation,
			node.Role(), node.record.Promised, node.record.Accepted.ID, node.known.ID, len(node.known.Voters),
			node.known.Copies, node.history.stamp, node.disk.stamp)
	}
	return text
}

func (w *world) running() []*machine {
	return slices.DeleteFunc(slices.Clone(w.machines), func(machine *machine) bool { return machine.isGone })
}
