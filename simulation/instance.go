package simulation

import (
	"fmt"
	"time"

	"eiderway/control/failover"
)

// Times of instances.
const (
	minStatementTime    = 6 * time.Millisecond // a statement keeps its slot at least so long, and up to twice that
	replicationInterval = 50 * time.Millisecond
	// stepDownDelay is how long an old primary stays one after it can reach the new one.
	stepDownDelay     = time.Second
	minDrainLinger    = 500 * time.Millisecond // served beyond drainMs after the acknowledgement, at least
	maxDrainLinger    = 4 * time.Second        // and at most so much longer
	leaveTimeout      = 4 * time.Second        // after which an instance ends without an acknowledgement
	maxHeartbeatDelay = 6 * time.Second        // a heartbeat may come so late
	addressReuseDelay = 2 * time.Second        // after which a new instance takes a released address
)

// entry is one commit in an instance's log.
type entry struct {
	term   uint64
	number uint64
	commit uint64 // identity of the commit
}

// instance is a database server. When it has ended, another one may take its address.
type instance struct {
	world   *World
	id      string
	service *service
	address string
	zone    string

	running   bool
	frozen    bool
	primary   bool
	term      uint64 // that it leads or follows
	termHeld  uint64 // the highest that it has been told
	paused    bool
	log       []entry
	waiting   []*commitWait // commits that no replica has acknowledged yet
	life      int           // counts its processes
	startedAt time.Duration // of this process

	draining          bool
	drainAckedAt      time.Duration // zero: not yet
	leaving           bool          // it leaves without having drained
	leaveAcknowledged bool          // its leave was acknowledged
	beatsAfterLeave   bool          // it goes on sending heartbeats after that
	left              bool
	replacement       string // id of the instance that takes over the address
	isSteppingDown    bool   // an old primary that has reached the new one

	callSeq    uint64
	beatTarget string // control address that acknowledged the last heartbeat
	beatIsDue  bool   // something has changed since the heartbeat that is under way was sent
	beating    bool   // a heartbeat is under way
}

type commitWait struct {
	entry     entry
	statement *statement
	answer    func(statementOutcome)
}

// service is a primary with its replicas, as the platform sees it.
type service struct {
	name         string
	syncReplicas int
	instances    []*instance
	term         uint64 // of the last promote
	leader       *instance
}

func (s *service) live() []*instance {
	var live []*instance
	for _, one := range s.instances {
		if one.running {
			live = append(live, one)
		}
	}
	return live
}

// addInstance starts an instance with an empty log.
func (w *World) addInstance(service *service, id, address string) *instance {
	added := &instance{
		world: w, id: id, service: service, address: address, zone: w.zoneOf(len(service.instances)), running: true,
	}
	service.instances = append(service.instances, added)
	w.instances = append(w.instances, added)
	added.begin()
	return added
}

func (i *instance) begin() {
	i.life++
	i.startedAt = i.world.now()
	i.heartbeatLoop(i.life)
	i.replicateLoop(i.life)
}

// position is that of the last entry.
func (i *instance) position() failover.Position {
	if len(i.log) == 0 {
		return failover.Position{}
	}
	last := i.log[len(i.log)-1]
	return failover.Position{Term: last.term, Number: last.number}
}

func (i *instance) statusRow() failover.Status {
	return failover.Status{Primary: i.primary, Term: i.term, Received: i.position(), TermHeld: i.termHeld}
}

// replicateLoop keeps replicas up to date and tells an old primary of the new one.
func (i *instance) replicateLoop(life int) {
	if i.life != life || !i.running {
		return
	}
	if i.primary && !i.frozen {
		i.stream()
	}
	i.world.schedule.after(replicationInterval, func() { i.replicateLoop(life) })
}

// stream sends the log to all others of the service. A log is never changed in place, so a slice of it is a message.
func (i *instance) stream() {
	term := i.term
	log := i.log[:len(i.log):len(i.log)]
	for _, other := range i.service.instances {
		if other == i {
			continue
		}
		i.world.network.send(i.id, other.id, func() { other.receive(i, term, log) })
	}
}

// receive takes the log of a primary.
func (i *instance) receive(from *instance, term uint64, log []entry) {
	if !i.running || i.frozen || term < i.term || i == from {
		return
	}
	if i.primary {
		i.onNewPrimary(term)
		return
	}
	if i.paused && term < i.termHeld {
		return
	}
	i.paused = false // the promote that the pause was for ends it
	fresh := term > i.term
	if fresh {
		i.term = term
		i.termHeld = max(i.termHeld, term)
	}
	i.follow(log, fresh)
	position := i.position()
	i.world.network.send(i.id, from.id, func() { from.acknowledged(term, position) })
}

// follow takes over the log of the primary. At the first word of a new primary a log that was ahead is cut back; later,
// a shorter log is one that was overtaken on its way.
func (i *instance) follow(log []entry, fresh bool) {
	if fresh || len(log) > len(i.log) {
		i.log = log
	}
}

func (i *instance) onNewPrimary(term uint64) {
	if term <= i.term || i.isSteppingDown {
		return
	}
	i.isSteppingDown = true
	life := i.life
	i.world.schedule.after(stepDownDelay, func() {
		if i.life == life && i.primary && i.term < term {
			i.stepDown(term)
		}
	})
}

// stepDown turns a primary into a replica. What it had not acknowledged stays unanswered.
func (i *instance) stepDown(term uint64) {
	i.primary = false
	i.isSteppingDown = false
	i.termHeld = max(i.termHeld, term)
	waiting := i.waiting
	i.waiting = nil
	for _, wait := range waiting {
		wait.answer(statementLost)
	}
	i.beat()
}

// acknowledged takes a replica's word that it has received the log up to a position.
func (i *instance) acknowledged(term uint64, position failover.Position) {
	if !i.running || i.frozen || !i.primary || term != i.term {
		return
	}
	kept := i.waiting[:0]
	for _, wait := range i.waiting {
		own := failover.Position{Term: wait.entry.term, Number: wait.entry.number}
		if position.Less(own) {
			kept = append(kept, wait)
			continue
		}
		i.world.judge.committed(i, wait.entry, wait.statement)
		wait.answer(statementDone)
	}
	i.waiting = kept
}

// promote makes this instance the primary of a new term, with the log that it has.
func (i *instance) promote(term uint64) {
	i.primary = true
	i.paused = false
	i.isSteppingDown = false
	i.term = term
	i.termHeld = max(i.termHeld, term)
	i.stream()
	i.beat()
}

// crash ends the process; the log stays.
func (i *instance) crash() {
	if !i.running {
		return
	}
	i.running = false
	i.life++
	i.waiting = nil
}

// restart brings a crashed instance back: as primary only if nobody was promoted meanwhile. A pause is forgotten.
func (i *instance) restart() {
	if i.running || i.left {
		return
	}
	i.running = true
	i.frozen = false
	i.paused = false
	i.isSteppingDown = false
	if i.primary && i.service.leader != i {
		i.primary = false
	}
	i.beating = false
	if i.world.plan.Renumber {
		i.callSeq = 0
	}
	i.begin()
}

// restartAs brings a crashed instance back at its address with its log, as restart does, and under a new id.
func (i *instance) restartAs(id string) {
	if i.running || i.left {
		return
	}
	i.left = true
	next := &instance{
		world: i.world, id: id, service: i.service, address: i.address, zone: i.zone,
		primary: i.primary, term: i.term, termHeld: i.termHeld, log: i.log[:len(i.log):len(i.log)],
	}
	if i.service.leader == i {
		i.service.leader = next
	}
	i.service.instances = append(i.service.instances, next)
	i.world.instances = append(i.world.instances, next)
	i.world.note(id, "is "+i.id+" under a new id")
	next.restart()
}

// answerProbe carries out a probe that has arrived, and returns the status row of its answer.
func (i *instance) answerProbe(probe failover.Probe) failover.Status {
	switch probe.Kind {
	case failover.AskPause:
		if !i.primary && probe.Term > i.termHeld {
			i.termHeld = probe.Term
			i.paused = true
		}
	case failover.AskContinue:
		i.paused = false
	case failover.AskStepDown:
		if i.primary && i.term < probe.Term {
			i.stepDown(probe.Term)
		}
	}
	return i.statusRow()
}

// probeNames are the statements of probes as they are logged.
var probeNames = map[failover.ProbeKind]string{
	failover.AskPause: "PAUSE", failover.AskContinue: "CONTINUE", failover.AskStepDown: "STEPDOWN",
}

// probeInstance carries a probe to whoever lives at its address.
func (w *World) probeInstance(from string, probe failover.Probe, finish func(failover.ProbeAnswer, failover.Status)) {
	target := w.instanceAt(probe.Address)
	if target == nil {
		return
	}
	if w.network.isRefused(from, target.id) {
		w.schedule.after(linkDelay, func() { finish(failover.Refused, failover.Status{}) })
		return
	}
	w.network.send(from, target.id, func() {
		back := func(answer failover.ProbeAnswer, status failover.Status) {
			w.network.send(target.id, from, func() { finish(answer, status) })
		}
		switch {
		case target.frozen:
			return
		case !target.running:
			back(failover.Refused, failover.Status{})
		case target.id != probe.InstanceID:
			back(failover.Replaced, failover.Status{})
		case w.plan.BusyProbes > 0 && w.random.IntN(w.plan.BusyProbes) == 0:
			back(failover.Busy, failover.Status{})
		default:
			status := target.answerProbe(probe)
			if probe.Kind != failover.AskStatus {
				w.note(target.id, fmt.Sprintf("%s %d by %s: term %d held %d at %d.%d", probeNames[probe.Kind], probe.Term, from,
					status.Term, status.TermHeld, status.Received.Term, status.Received.Number))
			}
			back(failover.Answered, status)
		}
	})
}
