package failover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"eiderway/control/feed"
	"eiderway/testing/virtualtime"
)

// world is a small simulated deployment: instances with logs, a platform, gateways that write and read, and controllers.
// All events are in one queue in simulated time; the same seed gives the same history.
type world struct {
	now     time.Duration
	agenda  virtualtime.EventQueue
	random  *rand.Rand
	options options

	instances    map[string]*database
	names        []string
	cuts         map[[2]string]bool
	resets       map[string]bool // instances whose cuts answer with resets: a probe takes them for a dead port
	platform     *platform
	gateways     []*gateway
	current      *host
	committed    map[string]*ServiceView
	services     []string
	epoch        uint64
	writes       int
	returns      int // of instances under a new id
	checker      *checker
	silentUntil  map[string]time.Duration // by address: until when an instance may be unreachable for the controllers
	lastLeave    map[string]time.Duration // by service: when an instance last left
	leftUnserved map[string]bool          // services of which two instances left with nothing acknowledged in between
	events       []string
}

type options struct {
	services        int
	replicas        int
	sync            int
	fenceChecked    bool
	promoteReleases bool // a promote ends the pauses of all replicas, not only of the promoted one
	termFromHeld    bool // a promote's term is above every term held, not only above every term led
	seemsPrimary    bool // the platform considers the instance that it promoted last the primary, even after a STEPDOWN
	gateways        int
	lossPer1000     int  // probes whose answer is lost
	allAnswers      bool // answers that the gateway no longer waits for also count as acknowledged
	keepIDs         bool // a crashed instance comes back under its own id, and not at once
	anyOrder        bool // probes of an instance may overtake each other, which those of a controller don't
	overrides       safetyOverrides
}

func newWorld(seed uint64, chosen options) *world {
	w := &world{
		random:       rand.New(rand.NewPCG(seed, 1)),
		options:      chosen,
		instances:    map[string]*database{},
		cuts:         map[[2]string]bool{},
		resets:       map[string]bool{},
		committed:    map[string]*ServiceView{},
		checker:      newChecker(),
		silentUntil:  map[string]time.Duration{},
		lastLeave:    map[string]time.Duration{},
		leftUnserved: map[string]bool{},
	}
	w.platform = &platform{world: w, fences: map[string]uint64{}, leading: map[string]string{}, terms: map[string]uint64{}, promoteDelay: 300 * time.Millisecond}
	for s := range chosen.services {
		service := string(rune('a' + s))
		w.services = append(w.services, service)
		view := &ServiceView{Name: service, SyncReplicas: chosen.sync}
		w.committed[service] = view
		for n := range chosen.replicas + 1 {
			id := fmt.Sprintf("%s%d", service, n+1)
			w.addInstance(service, id, "at-"+id, n == 0)
		}
		w.platform.leading[service] = service + "1"
		w.platform.terms[service] = 1
	}
	for n := range chosen.gateways {
		w.gateways = append(w.gateways, newGateway(w, fmt.Sprintf("g%d", n+1)))
	}
	w.takeOver()
	for _, g := range w.gateways {
		g.start()
	}
	w.after(syncEvery, w.syncLogs)
	return w
}

func (w *world) addInstance(service, id, address string, primary bool) {
	w.instances[id] = &database{
		world: w, id: id, service: service, address: address, up: true, primary: primary, term: 1, termHeld: 1, lag: 5 * time.Millisecond,
	}
	w.names = append(w.names, id)
	slices.Sort(w.names)
	view := w.committed[service]
	view.Instances = append(view.Instances, feed.Instance{ID: id, Service: service, Address: address})
	w.after(w.between(0, beatEvery), w.instances[id].beat)
}

func (w *world) after(delay time.Duration, run func()) { w.agenda.Add(w.now+delay, run) }

// runUntil runs the events up to the given time.
func (w *world) runUntil(end time.Duration) {
	for {
		at, happens, found := w.agenda.Next(end)
		if !found {
			break
		}
		w.now = at
		happens()
	}
	w.now = end
}

// note adds an event of the world to the story.
func (w *world) note(format string, values ...any) {
	w.events = append(w.events, fmt.Sprintf("%14v world: ", w.now)+fmt.Sprintf(format, values...))
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

func (w *world) chance(per1000 int) bool { return w.random.IntN(1000) < per1000 }

func (w *world) cut(a, b string, isCut bool) {
	w.cuts[[2]string{a, b}], w.cuts[[2]string{b, a}] = isCut, isCut
}

// canReach reports whether two ends reach each other now.
func (w *world) canReach(a, b string) bool {
	for _, end := range []string{a, b} {
		if i, found := w.instances[end]; found && i.dark {
			return false
		}
	}
	return !w.cuts[[2]string{a, b}]
}

// instanceAt returns the instance that runs at an address, or did last.
func (w *world) instanceAt(address string) *database {
	for _, name := range w.names {
		if w.instances[name].address == address {
			return w.instances[name]
		}
	}
	return nil
}

func (w *world) instancesOf(service string) []*database {
	var found []*database
	for _, name := range w.names {
		if w.instances[name].service == service {
			found = append(found, w.instances[name])
		}
	}
	return found
}

const (
	beatEvery    = 1200 * time.Millisecond
	syncEvery    = 100 * time.Millisecond
	writeTimeout = time.Second
	probeTimeout = 400 * time.Millisecond
)

// entry is one commit in a log.
type entry struct {
	term  uint64
	write int
}

type waiter struct {
	number int
	since  time.Duration
	done   func(answered bool)
}

// database is a simulated database instance.
type database struct {
	world    *world
	id       string
	service  string
	address  string
	replaces string // the id under which it ran before, until a controller has heard of the new one

	heardFrom time.Duration // its heartbeats before are lost
	up        bool
	dark      bool
	primary   bool
	term      uint64
	termHeld  uint64
	log       []entry
	paused    bool
	draining  bool
	lag       time.Duration
	waiting   []waiter
	deposed   time.Duration // since when it has been connected to a later primary; 0: not connected
	life      int
}

func (d *database) position() Position {
	if len(d.log) == 0 {
		return Position{}
	}
	return Position{Term: d.log[len(d.log)-1].term, Number: uint64(len(d.log))}
}

func (d *database) status() Status {
	return Status{Primary: d.primary, Term: d.term, Received: d.position(), TermHeld: d.termHeld, LagMs: d.lag.Milliseconds()}
}

// ask carries out a probe, and reports whether it was accepted.
func (d *database) ask(kind ProbeKind, term uint64) bool {
	switch kind {
	case AskPause:
		if term <= d.termHeld {
			return false
		}
		d.termHeld = term
		d.paused = !d.primary
	case AskContinue:
		d.paused = false
	case AskStepDown:
		if term > d.term {
			d.termHeld = max(d.termHeld, term)
			d.stepDown()
		}
	}
	return true
}

func (d *database) stepDown() {
	wasPrimary := d.primary
	d.primary, d.deposed = false, 0
	d.dropWaiting()
	if wasPrimary {
		d.sendHeartbeat()
	}
}

func (d *database) dropWaiting() {
	waiting := d.waiting
	d.waiting = nil
	for _, w := range waiting {
		w.done(false)
	}
}

// write commits a write, which is answered once a replica has received it.
func (d *database) write(number int, done func(answered bool, position Position)) {
	d.log = append(d.log, entry{term: d.term, write: number})
	position := d.position()
	d.waiting = append(d.waiting, waiter{number: len(d.log), since: d.world.now, done: func(answered bool) { done(answered, position) }})
	if d.world.options.sync == 0 {
		d.received(len(d.log))
	}
	for _, other := range d.world.instancesOf(d.service) {
		if other != d {
			d.send(other)
		}
	}
}

func (d *database) send(to *database) {
	log, term, life := d.log, d.term, d.life
	d.world.after(to.lag, func() {
		if d.life == life && d.up && d.primary && d.term == term && to.receive(d, log) {
			d.received(len(log))
		}
	})
}

// receive adopts the log of the primary, truncating its own.
func (d *database) receive(from *database, log []entry) bool {
	if !d.up || d.paused || !d.world.canReach(d.id, from.id) || from.term < d.term || d.primary {
		return false
	}
	if from.term == d.term && len(log) < len(d.log) {
		return true
	}
	d.term, d.termHeld = from.term, max(d.termHeld, from.term)
	d.log = log[:len(log):len(log)]
	return true
}

func (d *database) received(length int) {
	var left []waiter
	waiting := d.waiting
	d.waiting = nil
	for _, w := range waiting {
		switch {
		case d.world.now-w.since > writeTimeout:
			w.done(false)
		case w.number <= length:
			w.done(true)
		default:
			left = append(left, w)
		}
	}
	d.waiting = append(left, d.waiting...)
}

// syncLogs lets replicas catch up, and old primaries detect the new ones.
func (w *world) syncLogs() {
	for _, name := range w.names {
		d := w.instances[name]
		d.received(0)
		if !d.up || !d.primary {
			continue
		}
		for _, other := range w.instancesOf(d.service) {
			if other != d {
				d.syncWith(other)
			}
		}
	}
	w.after(syncEvery, w.syncLogs)
}

func (d *database) syncWith(other *database) {
	if !other.up || !d.world.canReach(d.id, other.id) || d.term < other.term {
		return
	}
	if !other.primary {
		d.send(other)
		return
	}
	if other.deposed == 0 {
		other.deposed = d.world.now
	}
	if d.world.now-other.deposed >= time.Second {
		other.stepDown()
	}
}

func (d *database) crash() {
	d.world.note("%s stops", d.id)
	d.up = false
	d.life++
	d.dropWaiting()
}

// returnAs starts a crashed instance again with its log and under a new id, as primary if no other was promoted meanwhile. The controllers
// learn of it from its first heartbeat that reaches them.
func (d *database) returnAs(id string) {
	w := d.world
	w.note("%s returns as %s at %v", d.id, id, d.position())
	earlier := d.id
	d.id, d.replaces, d.draining = id, earlier, false
	delete(w.instances, earlier)
	w.instances[id] = d
	w.names = slices.DeleteFunc(w.names, func(name string) bool { return name == earlier })
	w.names = append(w.names, id)
	slices.Sort(w.names)
	if w.platform.leading[d.service] == earlier {
		w.platform.leading[d.service] = id
		w.checker.renamed(d.service, earlier, id)
	}
	d.start()
}

func (d *database) start() {
	d.world.note("%s starts at %v", d.id, d.position())
	d.up, d.paused = true, false
	d.life++
	if d.world.platform.leading[d.service] != d.id {
		d.primary = false
	}
	d.sendHeartbeat()
}

// beat sends heartbeats to the controller periodically.
func (d *database) beat() {
	if d.world.instances[d.id] != d {
		return
	}
	d.sendHeartbeat()
	d.world.after(beatEvery, d.beat)
}

func (d *database) sendHeartbeat() {
	host := d.world.current
	if !d.up || host == nil || !d.world.canReach(d.id, host.name) || d.world.now < d.heardFrom {
		return
	}
	d.register()
	host.step(Heartbeat{InstanceID: d.id, Service: d.service, Primary: d.primary})
}

// register records an instance that has come back under a new id, in place of the one that was at its address.
func (d *database) register() {
	if d.replaces == "" {
		return
	}
	view := d.world.committed[d.service]
	for _, gone := range view.Instances {
		if gone.Address == d.address {
			view.Departed = append(slices.Clone(view.Departed), gone)
		}
	}
	view.Instances = slices.DeleteFunc(slices.Clone(view.Instances), func(i feed.Instance) bool { return i.Address == d.address })
	view.Instances = append(view.Instances, feed.Instance{ID: d.id, Service: d.service, Address: d.address})
	d.replaces = ""
	if d.world.platform.leading[d.service] != d.id {
		d.world.noteLeave(d.service) // nothing says that a replica comes back with its log
	}
	d.world.current.tellWorld()
}

// platform carries out POST /failover.
type platform struct {
	world        *world
	fences       map[string]uint64
	leading      map[string]string
	terms        map[string]uint64 // of the last promote, by service: the instance that led in it may be gone
	promoteDelay time.Duration
	faultMode    string // "", lost, late, down, refuse
	lateBy       time.Duration
}

func (p *platform) call(from *host, call PlatformCall) {
	w := p.world
	sent := w.checker.called(w, call)
	end := func(delay time.Duration, outcome PlatformOutcome, code int) {
		w.after(delay, func() {
			from.step(CallEnded{Result: PlatformResult{Number: call.Number, Outcome: outcome, Code: code}})
		})
	}
	switch p.faultMode {
	case "down":
		sent.acted = true
		end(10*time.Millisecond, NotSent, 0)
	case "refuse":
		sent.acted = true
		end(10*time.Millisecond, Declined, 429)
	case "late":
		end(time.Second, OutcomeUnknown, 0)
		w.after(p.lateBy, func() { p.act(call, sent) })
	case "lost":
		end(time.Second, OutcomeUnknown, 0)
		w.after(10*time.Millisecond, func() { p.act(call, sent) })
	default:
		w.after(10*time.Millisecond, func() {
			outcome, code := p.act(call, sent)
			end(10*time.Millisecond, outcome, code)
		})
	}
}

func (p *platform) act(call PlatformCall, sent *sentCall) (PlatformOutcome, int) {
	sent.acted = true
	w := p.world
	target := w.instances[call.InstanceID]
	if p.world.options.fenceChecked && call.Fence < p.fences[call.Service] {
		return Declined, 409
	}
	p.fences[call.Service] = max(p.fences[call.Service], call.Fence)
	if target == nil || !target.up {
		return Declined, 409
	}
	if p.leading[call.Service] == call.InstanceID && (target.primary || w.options.seemsPrimary) {
		return Accepted, 200
	}
	w.after(p.promoteDelay, func() {
		if target.id == call.InstanceID {
			p.promote(target)
		}
	})
	return Accepted, 200
}

func (p *platform) promote(target *database) {
	w := p.world
	if !target.up || w.instances[target.id] != target {
		return
	}
	term := max(target.term, p.terms[target.service])
	for _, other := range w.instancesOf(target.service) {
		term = max(term, other.term)
		if w.options.termFromHeld {
			term = max(term, other.termHeld)
		}
		if w.options.promoteReleases {
			other.paused = false
		}
	}
	p.leading[target.service] = target.id
	target.primary, target.paused, target.deposed = true, false, 0
	target.term = term + 1
	p.terms[target.service] = target.term
	target.termHeld = max(target.termHeld, target.term)
	w.checker.promoted(w, target)
	target.sendHeartbeat()
}
