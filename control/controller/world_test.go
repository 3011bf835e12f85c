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

// The world is a small simulated deployment: controllers with disks, gateways, instances, a platform and callers. One
// seed gives one history. What is judged is written from the rules, without knowledge of how a controller decides.

const (
	tickPause = 25 * time.Millisecond
	callWait  = 800 * time.Millisecond
	lease     = 3 * time.Second
)

// machine is a computer of a controller: its process, if it runs, and its disk.
type machine struct {
	name        string
	lives       int // disks so far
	incarnation quorum.Incarnation
	controller  *Controller
	life        int // of the process
	frozen      bool
	thawed      time.Duration // last time
	started     bool
	disk        simulatedDisk
	held        []replication.Envelope
	waiting     []Input // of a frozen process
	mayEnd      bool
	probed      map[uint64]bool // numbers of the probes of this process
}

type simulatedDisk struct {
	durable replication.DurableState
	handed  []replication.Write // not on disk yet
	delay   time.Duration
	synced  uint64
}

type link = virtualtime.Link

type world struct {
	now       time.Duration
	agenda    virtualtime.Agenda
	random    *rand.Rand
	tolerance int
	guards    disabledGuards
	machines  []*machine
	cut       virtualtime.Links
	calls     map[CallID]*call
	lastCall  CallID
	orders    orderJudge
	drained   map[string]time.Duration // when an instance's drain or leave was acknowledged first
	leavers   []*leaver
	questions map[CallID]*watching
	gateways  []*gateway
	instances []*instance
	probeTime time.Duration // that an answer to a probe takes
	pauses    int
	platform  int // calls to it
	events    []string
	broken    string
	trace     func(string)
}

func newWorld(seed int64, controllers, tolerance int, guards disabledGuards) *world {
	w := &world{
		random:    rand.New(rand.NewSource(seed)),
		tolerance: tolerance,
		guards:    guards,
		cut:       virtualtime.Links{},
		calls:     map[CallID]*call{},
		orders:    newOrderJudge(),
		drained:   map[string]time.Duration{},
		probeTime: 2 * time.Millisecond,
	}
	for index := range controllers {
		one := &machine{name: string(rune('a' + index))}
		one.disk.delay = 2 * time.Millisecond
		w.emptyDisk(one)
		w.machines = append(w.machines, one)
	}
	for _, one := range w.machines {
		w.start(one)
	}
	return w
}

func (w *world) fail(format string, values ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf("at %s: ", w.now) + fmt.Sprintf(format, values...)
	}
}

func (w *world) after(delay time.Duration, run func()) { w.agenda.Add(w.now+delay, run) }

// run lets time pass.
func (w *world) run(span time.Duration) {
	end := w.now + span
	for w.broken == "" {
		at, happens, found := w.agenda.Next(end)
		if !found {
			break
		}
		w.now = at
		happens()
	}
	w.now = end
}

// until lets time pass until the condition holds, and tells whether it did so within the limit.
func (w *world) until(limit time.Duration, holds func() bool) bool {
	end := w.now + limit
	for !holds() {
		if w.now >= end || w.broken != "" {
			return false
		}
		w.run(5 * time.Millisecond)
	}
	return true
}

func (w *world) emptyDisk(one *machine) {
	one.lives++
	one.incarnation = quorum.Incarnation(fmt.Sprintf("%s%d", one.name, one.lives))
	one.disk.durable = replication.DurableState{Incarnation: one.incarnation, Entries: map[string][]byte{}}
	one.disk.handed = nil
}

func (w *world) settings(one *machine) Settings {
	var seeds []string
	for _, other := range w.machines {
		seeds = append(seeds, other.name+":1")
	}
	if len(seeds) == 0 {
		seeds = []string{"a:1", "b:1", "c:1", "d:1", "e:1"}
	}
	chosen := failover.DefaultSettings()
	chosen.Holder, chosen.FenceChecked = one.name, true
	return Settings{
		Replication: replication.Settings{
			Self:       quorum.Member{Name: one.name, Address: one.name + ":1", Control: one.name + ":2"},
			Tolerance:  w.tolerance,
			FirstStart: !one.started,
			Seeds:      seeds[:min(3, len(seeds))],
			Timing:     replication.DefaultTiming(),
			Random:     w.random.Uint64(),
		},
		Failover:        chosen,
		Lease:           lease,
		LeaseMargin:     100 * time.Millisecond,
		MaxWatchWait:    600 * time.Millisecond,
		InstanceTimeout: 10 * time.Second,
		CallTimeout:     callWait,
		Quota:           quota.Rules{Window: 5 * time.Second, Overrun: 0.1, Slack: 20},
	}
}

func (w *world) start(one *machine) {
	if one.controller != nil {
		return
	}
	durable := one.disk.durable
	durable.Entries = maps.Clone(durable.Entries)
	one.life++
	one.frozen, one.mayEnd = false, false
	one.disk.synced = 0
	one.controller = New(w.now, w.settings(one), durable)
	one.controller.guards = w.guards
	one.started = true
	one.probed = map[uint64]bool{}
	w.tick(one, one.life)
}

func (w *world) tick(one *machine, life int) {
	w.after(tickPause, func() {
		if one.life != life {
			return
		}
		if !one.frozen {
			w.step(one, Tick{})
		}
		w.tick(one, life)
	})
}

// kill ends the process; what was handed to the disk and not synced is there up to some place.
func (w *world) kill(one *machine) {
	survive := w.random.Intn(len(one.disk.handed) + 1)
	for _, write := range one.disk.handed[:survive] {
		one.disk.carryOut(write)
	}
	w.powerLoss(one)
}

// powerLoss ends the process, and nothing lasts that was not synced.
func (w *world) powerLoss(one *machine) {
	one.disk.handed = nil
	one.controller = nil
	one.life++
	one.held, one.waiting = nil, nil
}

func (w *world) wipe(one *machine) {
	w.powerLoss(one)
	w.emptyDisk(one)
}

func (w *world) thaw(one *machine) {
	one.frozen, one.thawed = false, w.now
	waiting := one.waiting
	one.waiting = nil
	for _, input := range waiting {
		w.step(one, input)
	}
}

// give hands an input to a process, now or once it runs on.
func (w *world) give(one *machine, input Input) {
	if one.frozen {
		one.waiting = append(one.waiting, input)
		return
	}
	w.step(one, input)
}

func (w *world) step(one *machine, input Input) {
	if one.controller == nil {
		return
	}
	effects := one.controller.Step(w.now, input)
	w.write(one, effects.Writes)
	one.held = append(one.held, effects.Send...)
	w.letGo(one)
	for _, happened := range effects.Events {
		text := fmt.Sprintf("%8s %s %s: %s", w.now.Round(time.Millisecond), one.incarnation, happened.What, happened.Text)
		w.events = append(w.events, happened.What)
		if w.trace != nil {
			w.trace(text)
		}
	}
	for _, reply := range effects.Replies {
		w.replied(one, reply)
	}
	for _, reply := range effects.WatchReplies {
		w.watchReplied(one, reply)
	}
	for _, probe := range effects.Probes {
		w.probe(one, probe)
	}
	for _, made := range effects.PlatformCalls {
		w.callPlatform(one, made)
	}
	if effects.CanExit {
		one.mayEnd = true
		w.kill(one)
	}
}

func (w *world) write(one *machine, writes []replication.Write) {
	idle := len(one.disk.handed) == 0
	one.disk.handed = append(one.disk.handed, writes...)
	if idle && len(writes) > 0 {
		w.syncNext(one)
	}
}

func (w *world) syncNext(one *machine) {
	life := one.life
	w.after(one.disk.delay, func() {
		if one.life != life || len(one.disk.handed) == 0 {
			return
		}
		write := one.disk.handed[0]
		one.disk.handed = one.disk.handed[1:]
		one.disk.carryOut(write)
		one.disk.synced = write.Number
		if len(one.disk.handed) > 0 {
			w.syncNext(one)
		}
		w.give(one, Persisted{Write: write.Number})
	})
}

func (d *simulatedDisk) carryOut(write replication.Write) {
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

// letGo sends what need not wait for the disk any more.
func (w *world) letGo(one *machine) {
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

func (w *world) transmit(from *machine, envelope replication.Envelope) {
	to := w.machineAt(envelope.To)
	if to == nil || w.cut[link{from.name, to.name}] {
		return
	}
	w.after(w.delay(), func() {
		if to.controller != nil && !w.cut[link{from.name, to.name}] {
			w.give(to, PeerMessage{Message: envelope.Message})
		}
	})
}

func (w *world) delay() time.Duration {
	return time.Millisecond + time.Duration(w.random.Int63n(int64(2*time.Millisecond)))
}

func (w *world) machineAt(address string) *machine {
	for _, one := range w.machines {
		if one.name+":1" == address || one.name+":2" == address {
			return one
		}
	}
	return nil
}

func (w *world) machine(name string) *machine {
	for _, one := range w.machines {
		if one.name == name {
			return one
		}
	}
	return nil
}

// primary is the one that takes itself for primary in the highest epoch.
func (w *world) primary() *machine {
	var found *machine
	for _, one := range w.machines {
		if one.controller == nil || one.controller.term == nil {
			continue
		}
		if found == nil || found.controller.term.epoch < one.controller.term.epoch {
			found = one
		}
	}
	return found
}

func (w *world) isolate(name string) {
	var names []string
	for _, one := range w.machines {
		names = append(names, one.name)
	}
	w.cut.Isolate([]string{name}, names)
}
