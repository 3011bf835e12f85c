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

// The world is a small simulated network of nodes with disks, and a judge of what they say. The judge knows only what
// was asked, what was answered, and what a primary's state holds: nothing of how a node decides.

const (
	tickPause = 25 * time.Millisecond
	askPause  = 60 * time.Millisecond // between two orders of the world's client
)

// machine is one computer: its process, if it runs, and its disk.
type machine struct {
	name        string
	address     string
	lives       int // disks so far
	incarnation quorum.Incarnation
	node        *Node
	firstStart  bool
	frozen      bool
	gone        bool // for good
	stopping    bool
	comesBack   bool
	life        int // of the process
	disk        simulatedDisk
	held        []Envelope
	waiting     []Input // of a frozen process
	events      []Event
}

type simulatedDisk struct {
	durable   DurableState
	handed    []Write // not yet on disk
	busyUntil time.Duration
	delay     time.Duration
	refuses   bool
	synced    uint64

	written    uint64 // by all lives of the process
	failPoint  uint64 // at this write the power goes, once
	failSynced bool   // right after it is on disk
	failed     func()
}

// failsNow tells, at the end of each write, whether the power goes before the process learns of it.
func (d *simulatedDisk) failsNow() bool {
	d.written++
	return d.failPoint != 0 && d.written == d.failPoint
}

type link = virtualtime.Link

type world struct {
	now        time.Duration
	agenda     virtualtime.Agenda
	random     *rand.Rand
	machines   []*machine
	byAddress  map[string]*machine
	lost       []DurableState // disks that are gone
	cut        virtualtime.Links
	loss       float64
	doubled    float64
	late       float64
	tolerance  int
	seeds      []string
	guards     disabledGuards
	sameWord   bool // a lost disk comes back with the same incarnation: only to show what that would do
	judge      judge
	client     bool // orders and questions keep coming
	orderBytes int
	requests   uint64
	messages   int
	bytes      func(Message) int
	sentBytes  int
	trace      func(string)
}

func newWorld(seed int64, count, seeds, tolerance int, guards disabledGuards) *world {
	w := &world{
		random:    rand.New(rand.NewSource(seed)),
		byAddress: map[string]*machine{},
		cut:       virtualtime.Links{},
		tolerance: tolerance,
		guards:    guards,
		judge:     newJudge(),
		client:    true,
	}
	for index := 0; index < count; index++ {
		w.addMachine(string(rune('a'+index)), true)
	}
	for index := 0; index < seeds; index++ {
		w.seeds = append(w.seeds, w.machines[index].address)
	}
	for _, one := range w.machines {
		w.start(one)
	}
	w.schedule(askPause, w.ask)
	return w
}

func (w *world) addMachine(name string, first bool) *machine {
	one := &machine{name: name, address: name + ":1", firstStart: first}
	one.disk.delay = time.Millisecond
	w.emptyDisk(one)
	w.machines = append(w.machines, one)
	w.byAddress[one.address] = one
	return one
}

func (w *world) machine(name string) *machine {
	for _, one := range w.machines {
		if one.name == name {
			return one
		}
	}
	panic("no machine " + name)
}

func (w *world) names() []string {
	var names []string
	for _, one := range w.machines {
		names = append(names, one.name)
	}
	return names
}

func (w *world) emptyDisk(one *machine) {
	if !w.sameWord || one.lives == 0 {
		one.lives++
	}
	one.incarnation = quorum.Incarnation(fmt.Sprintf("%s%d", one.name, one.lives))
	one.disk.durable = DurableState{Incarnation: one.incarnation, Entries: map[string][]byte{}}
	one.disk.handed = nil
}

func (w *world) start(one *machine) {
	if one.node != nil || one.gone {
		return
	}
	durable := one.disk.durable
	durable.Entries = maps.Clone(durable.Entries)
	one.life++
	one.frozen = false
	one.stopping = false
	one.disk.synced = 0
	one.node = NewNode(w.now, Settings{
		Self: quorum.Member{
			Incarnation: one.incarnation,
			Name:        one.name,
			Address:     one.address,
			Control:     one.name + ":2",
		},
		Tolerance:  w.tolerance,
		FirstStart: one.firstStart,
		Seeds:      w.seeds,
		Timing:     DefaultTiming(),
		Random:     w.random.Uint64(),
	}, durable)
	one.node.guards = w.guards
	one.firstStart = false
	w.tickLater(one, time.Duration(w.random.Int63n(int64(tickPause))))
}

// kill ends the process. What was handed to the disk and not synced is there up to some place.
func (w *world) kill(one *machine) {
	if one.node == nil {
		return
	}
	one.node = nil
	one.life++
	one.held = nil
	one.waiting = nil
	survive := w.random.Intn(len(one.disk.handed) + 1)
	for _, write := range one.disk.handed[:survive] {
		one.disk.carryOut(write)
	}
	one.disk.handed = nil
	one.disk.busyUntil = w.now
}

// powerLoss ends the process, and nothing survives that was not synced.
func (w *world) powerLoss(one *machine) {
	one.disk.handed = nil
	w.kill(one)
}

func (w *world) wipe(one *machine) {
	w.powerLoss(one)
	w.lost = append(w.lost, one.disk.durable)
	w.emptyDisk(one)
}

func (d *simulatedDisk) carryOut(write Write) {
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

func (w *world) freeze(one *machine) {
	if one.node != nil {
		one.frozen = true
	}
}

func (w *world) thaw(one *machine) {
	if !one.frozen {
		return
	}
	one.frozen = false
	waiting := one.waiting
	one.waiting = nil
	for _, input := range waiting {
		w.step(one, input)
	}
}

func (w *world) schedule(after time.Duration, does func()) { w.agenda.Add(w.now+after, does) }

func (w *world) tickLater(one *machine, after time.Duration) {
	life := one.life
	w.schedule(after, func() {
		if one.life != life {
			return
		}
		if !one.frozen {
			w.step(one, Tick{})
		}
		w.tickLater(one, tickPause)
	})
}

func (w *world) syncAt(at time.Duration, one *machine) {
	life := one.life
	w.agenda.Add(at, func() {
		if one.life == life {
			w.writeDone(one)
		}
	})
}

// run lets time pass.
func (w *world) run(span time.Duration) {
	end := w.now + span
	for w.judge.broken == "" {
		at, happens, found := w.agenda.Next(end)
		if !found {
			break
		}
		w.now = at
		happens()
	}
	w.now = end
}

func (w *world) deliver(from *machine, envelope Envelope) {
	one := w.byAddress[envelope.To]
	if one == nil || one.node == nil || w.cut[link{from.name, one.name}] {
		return
	}
	w.give(one, Received{Message: envelope.Message})
}

func (w *world) give(one *machine, input Input) {
	if one.frozen {
		if len(one.waiting) < 200 {
			one.waiting = append(one.waiting, input)
		}
		return
	}
	w.step(one, input)
}

// writeDone finishes the oldest write that was handed out.
func (w *world) writeDone(one *machine) {
	if len(one.disk.handed) == 0 {
		return
	}
	if w.now < one.disk.busyUntil { // it has been stalled meanwhile
		w.syncAt(one.disk.busyUntil, one)
		return
	}
	write := one.disk.handed[0]
	if one.disk.refuses {
		reached := w.random.Intn(len(one.disk.handed) + 1)
		for _, unsure := range one.disk.handed[:reached] {
			one.disk.carryOut(unsure)
		}
		one.disk.handed = nil
		w.giveDisk(one, DiskFailed{Write: write.Number})
		return
	}
	fails := one.disk.failsNow()
	if fails && !one.disk.failSynced {
		one.disk.failed()
		return
	}
	one.disk.handed = one.disk.handed[1:]
	one.disk.carryOut(write)
	if fails {
		one.disk.failed()
		return
	}
	one.disk.synced = write.Number
	if len(one.disk.handed) > 0 {
		w.syncAt(w.now+one.disk.delay, one)
	}
	w.giveDisk(one, Persisted{Write: write.Number})
}

// giveDisk tells the process what its disk has done, and lets go what waited for it.
func (w *world) giveDisk(one *machine, input Input) {
	if one.frozen {
		one.waiting = append(one.waiting, input)
		return
	}
	w.step(one, input)
}

func (w *world) step(one *machine, input Input) {
	if one.node == nil {
		return
	}
	life := one.life
	effects := one.node.Step(w.now, input)
	if life != one.life {
		return
	}
	begin := len(one.disk.handed) == 0
	one.disk.handed = append(one.disk.handed, effects.Writes...)
	if begin && len(effects.Writes) > 0 {
		w.syncAt(max(w.now, one.disk.busyUntil)+one.disk.delay, one)
	}
	one.held = append(one.held, effects.Send...)
	w.letGo(one)
	for _, event := range effects.Events {
		one.events = append(one.events, event)
		if w.trace != nil {
			w.trace(fmt.Sprintf("%8s %s %s: %s", w.now.Round(time.Millisecond), one.incarnation, event.What, event.Text))
		}
	}
	for _, decision := range effects.Decisions {
		w.judge.decided(w, one, decision)
	}
	if one.stopping && one.node.HasLeft() {
		w.kill(one)
		if one.comesBack {
			w.schedule(time.Second, func() { w.start(one) })
		} else {
			one.gone = true
		}
	}
}

// letGo sends what need not wait for the disk any more. A frozen process sends nothing.
func (w *world) letGo(one *machine) {
	if len(one.held) == 0 {
		return
	}
	kept := one.held[:0:0]
	for _, envelope := range one.held {
		if envelope.After > one.disk.synced {
			kept = append(kept, envelope)
			continue
		}
		w.transmit(one, envelope)
	}
	one.held = kept
}

func (w *world) transmit(one *machine, envelope Envelope) {
	w.messages++
	if w.bytes != nil {
		w.sentBytes += w.bytes(envelope.Message)
	}
	to := w.byAddress[envelope.To]
	if to == nil || w.cut[link{one.name, to.name}] || w.chance(w.loss) {
		return
	}
	copies := 1
	if w.chance(w.doubled) {
		copies = 2
	}
	for ; copies > 0; copies-- {
		delay := time.Millisecond + time.Duration(w.random.Int63n(int64(2*time.Millisecond)))
		if w.chance(w.late) {
			delay += time.Duration(w.random.Int63n(int64(3 * time.Second)))
		}
		w.schedule(delay, func() { w.deliver(one, envelope) })
	}
}

func (w *world) chance(share float64) bool { return share > 0 && w.random.Float64() < share }

// ask lets the client order and question whoever takes itself for primary, also from a frozen one's point of view.
func (w *world) ask() {
	w.schedule(askPause, w.ask)
	if !w.client {
		return
	}
	for _, one := range w.machines {
		if one.node == nil || one.frozen || one.node.Role() != Primary {
			continue
		}
		w.question(one)
		if one.node != nil && one.node.MayPropose() {
			w.place(one)
		}
	}
}

func (w *world) question(one *machine) {
	w.requests++
	w.judge.asked(w, w.requests)
	w.step(one, Confirm{Request: w.requests})
}

func (w *world) place(one *machine) {
	w.requests++
	w.judge.ordered(w.requests)
	key := w.judge.keys[w.requests]
	w.step(one, Propose{Request: w.requests, Mutations: []Mutation{
		{Key: key, Value: make([]byte, max(w.orderBytes, 1))},
		{Key: "newest", Value: []byte(key)},
	}})
}

// Trouble.

func (w *world) isolate(one *machine) {
	for _, other := range w.machines {
		if other != one {
			w.cut[link{one.name, other.name}] = true
			w.cut[link{other.name, one.name}] = true
		}
	}
}

func (w *world) deafen(one *machine) {
	for _, other := range w.machines {
		w.cut[link{other.name, one.name}] = other != one
	}
}

func (w *world) silence(one *machine) {
	for _, other := range w.machines {
		w.cut[link{one.name, other.name}] = other != one
	}
}

func (w *world) heal() {
	clear(w.cut)
	w.loss, w.doubled, w.late = 0, 0, 0
	for _, one := range w.machines {
		w.thaw(one)
		one.disk.delay = time.Millisecond
		one.disk.refuses = false
		one.disk.busyUntil = min(one.disk.busyUntil, w.now)
		if !one.gone && one.node == nil {
			w.start(one)
		}
	}
}

func (w *world) leave(one *machine, comesBack bool) {
	if one.node == nil || one.stopping {
		return
	}
	one.stopping = true
	one.comesBack = comesBack
	w.give(one, Leave{})
}

// primary is the machine that takes itself for primary with the highest epoch.
func (w *world) primary() *machine {
	var found *machine
	for _, one := range w.machines {
		if one.node == nil || one.node.Role() != Primary {
			continue
		}
		if found == nil || found.node.Epoch() < one.node.Epoch() {
			found = one
		}
	}
	return found
}

// judge keeps what was promised to callers.
type judge struct {
	kept      []uint64          // orders that were acknowledged
	keys      map[uint64]string // of all orders
	places    map[uint64]uint64 // sequence to the order committed there
	questions map[uint64]int    // question or order to how many orders had been acknowledged before it came
	isOrder   map[uint64]bool
	broken    string
	done      int
	confirmed int
}

func newJudge() judge {
	return judge{places: map[uint64]uint64{}, questions: map[uint64]int{}, isOrder: map[uint64]bool{}, keys: map[uint64]string{}}
}

func (j *judge) asked(w *world, request uint64) { j.questions[request] = len(j.kept) }

func (j *judge) ordered(request uint64) {
	j.isOrder[request] = true
	j.keys[request] = fmt.Sprintf("order/%06d", request)
	j.questions[request] = len(j.kept)
}

func (j *judge) fail(w *world, format string, arguments ...any) {
	if j.broken == "" {
		j.broken = fmt.Sprintf("at %s: ", w.now) + fmt.Sprintf(format, arguments...)
	}
}

func (j *judge) decided(w *world, one *machine, decision Decision) {
	if decision.Outcome != Done {
		return
	}
	if j.isOrder[decision.Request] {
		j.orderDone(w, one, decision.Request)
		return
	}
	j.confirmed++
	for _, order := range j.kept[:j.questions[decision.Request]] {
		if !w.judge.holds(one.node, order) {
			j.fail(w, "%s confirmed itself without order %d, acknowledged before it was asked", one.name, order)
			return
		}
	}
}

func (j *judge) orderDone(w *world, one *machine, order uint64) {
	j.done++
	place := one.node.Stamp().Sequence
	if other, taken := j.places[place]; taken && other != order {
		j.fail(w, "orders %d and %d are both committed at place %d", other, order, place)
	}
	j.places[place] = order
	for _, earlier := range j.kept[:j.questions[order]] {
		if !w.judge.holds(one.node, earlier) {
			j.fail(w, "%s acknowledged order %d on a state without order %d, acknowledged before it came", one.name, order, earlier)
			return
		}
	}
	for _, other := range w.machines {
		if other == one || other.node == nil || other.node.Role() != Primary || other.node.Epoch() <= one.node.Epoch() {
			continue
		}
		if !w.judge.holds(other.node, order) {
			j.fail(w, "%s acknowledged order %d while %s leads a later epoch without it", one.name, order, other.name)
			return
		}
	}
	copies := 0
	for _, other := range w.machines {
		if _, found := other.disk.durable.Entries[j.keys[order]]; found {
			copies++
		}
	}
	for _, disk := range w.lost { // since it synced the order
		if _, found := disk.Entries[j.keys[order]]; found {
			copies++
		}
	}
	if copies < w.tolerance+1 {
		j.fail(w, "order %d was acknowledged with %d copies on disk", order, copies)
	}
	j.kept = append(j.kept, order)
}

func (j *judge) holds(node *Node, order uint64) bool {
	_, found := node.Entry(j.keys[order])
	return found
}

// settle ends all trouble and demands a primary that takes orders and has everything within the limit.
func (w *world) settle(limit time.Duration) {
	if w.judge.broken != "" {
		return
	}
	w.heal()
	begin := w.now
	before := w.judge.done
	for w.now-begin < limit && w.judge.done < before+2 && w.judge.broken == "" {
		w.run(50 * time.Millisecond)
	}
	if w.judge.broken != "" {
		return
	}
	if w.judge.done < before+2 {
		w.judge.fail(w, "no order was acknowledged within %s after the trouble: %s", limit, w.describe())
		return
	}
	w.check()
}

// check looks for every acknowledged order at the primary, if there is one.
func (w *world) check() {
	leads := w.primary()
	if leads == nil {
		return
	}
	for _, order := range w.judge.kept {
		if !w.judge.holds(leads.node, order) {
			w.judge.fail(w, "order %d is lost", order)
			return
		}
	}
}

func (w *world) describe() string {
	text := ""
	for _, one := range w.machines {
		if one.node == nil {
			text += fmt.Sprintf(" [%s ended]", one.incarnation)
			continue
		}
		node := one.node
		text += fmt.Sprintf(" [%s role %d promised %d accepted %s known %s voters %d copies %v stamp %s disk %s]", one.incarnation,
			node.Role(), node.record.Promised, node.record.Accepted.ID, node.known.ID, len(node.known.Voters),
			node.known.Copies, node.history.stamp, node.disk.stamp)
	}
	return text
}

func (w *world) running() []*machine {
	return slices.DeleteFunc(slices.Clone(w.machines), func(one *machine) bool { return one.gone })
}
