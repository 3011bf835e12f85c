// Package model simulates the database servers of a cluster in virtual time, without I/O: what becomes of a statement at a node
// that is under a given load. It follows public descriptions: a node is a number of cores behind one queue (M/G/c of queueing
// theory); each client backend beyond the cores slows all of them (PostgreSQL's documentation on max_connections, and its
// authors on snapshots and scalability); a connection forks a process; a replica applies the log in one process that competes
// with reads, so it falls behind under load; a node that has just started reads from disk what is not in memory yet. The
// constants are this project's own. The same seed and the same calls give the same history.
//
// New makes a Node, Run gives it a statement, and Probe asks for its position and role; the node asks its Clock to call it back.
// SetImpairment injects faults, and Crash ends all statements that are in flight.
package model

import (
	"math"
	"math/rand"
	"slices"
)

// Clock is virtual time, which the caller keeps.
type Clock interface {
	Now() float64
	At(at float64, do func()) // calls do at that time, never within the call itself
}

// Config describes a node. All times are in seconds.
type Config struct {
	Cores        int
	MeanWork     float64 // mean time that a statement takes on a core of its own
	Handshake    float64 // work of a new connection
	CrowdPenalty float64 // share that each statement in flight beyond twice the cores adds to the work of all
	ColdSpeed    float64 // share of its full speed that a node has right after a start
	WarmUp       float64 // time after a start until a node has its full speed
	CrashBacklog float64 // expected wait of a new statement above which the node crashes; 0: it never does
	Downtime     float64 // how long a node that crashed in this way is down
	Lag          float64 // lag of an idle replica
	LagGrowth    float64 // seconds by which a replica's lag grows per second with all cores busy
}

// Impairment is what is wrong with a node. The zero value is a healthy node.
type Impairment struct {
	Hangs              bool    // accepts statements and never answers
	ErrorShare         float64 // share of statements that end in an error at once
	LostAnswerShare    float64 // share of answers that never arrive
	ExtraLatency       float64 // seconds by which each answer is delayed
	ReplicationStalled bool    // applies no more of the log, but answers
	Unreachable        bool    // nothing reaches the node, and nothing comes back
	RefusesConnections bool
}

// Outcome is how a statement ended.
type Outcome int

const (
	Done    Outcome = iota // the statement ran
	Error                  // it did not run, and the node reported an error
	Broken                 // the connection is gone; it may have run
	NoConn                 // no connection: it never reached the node
	Refused                // the node rejected it: it did not run
)

// Answer is what a node returns for a statement or a probe.
type Answer struct {
	Outcome Outcome
	Pos     float64 // time up to which the node has applied the log
	Primary bool
}

// Node is a simulated server. It keeps the statements in flight until they are answered or the node crashes.
type Node struct {
	Primary      bool // read only for callers; SetPrimary sets it
	config       Config
	clock        Clock
	rng          *rand.Rand
	impairment   Impairment
	busyCores    int
	queue        []*statement // waiting for a core, oldest first
	queuedWork   float64      // seconds of work in the queue
	inFlight     []*statement
	startedAt    float64 // -Inf: long ago
	downUntil    float64
	extraLag     float64 // lag beyond Config.Lag, as of lagAt
	lagAt        float64
	stalledAt    float64 // position at which replication is stalled; 0: it is not
	primaryUntil float64 // position at which the node stopped being primary; 0: it never was
	runCount     int
	arrivedCount int
	crashCount   int
}

// statement is a statement in flight at a node.
type statement struct {
	then       func(Answer)
	execute    func() bool
	work       float64 // seconds at full speed
	answerLost bool
	isRunning  bool
	isOver     bool
}

// New returns a node that has been running for a long time.
func New(config Config, clock Clock, seed int64) *Node {
	return &Node{config: config, clock: clock, rng: rand.New(rand.NewSource(seed)), startedAt: math.Inf(-1), lagAt: clock.Now()}
}

// SetImpairment sets what is wrong with the node from now on.
func (n *Node) SetImpairment(impairment Impairment) {
	n.stalledAt = 0
	if impairment.ReplicationStalled {
		n.stalledAt = n.position()
	}
	n.impairment = impairment
}

// SetPrimary makes the node a primary or a replica. A former primary has everything that it committed, and follows from there.
func (n *Node) SetPrimary(isPrimary bool) {
	if n.Primary && !isPrimary {
		n.primaryUntil = n.position()
	}
	n.Primary = isPrimary
}

// Restart starts the node anew now, with cold caches.
func (n *Node) Restart() {
	n.startedAt, n.extraLag, n.lagAt = n.clock.Now(), 0, n.clock.Now()
}

// Crash ends all statements in flight and keeps the node down for a time; then it starts with cold caches.
func (n *Node) Crash(downtime float64) {
	now := n.clock.Now()
	n.downUntil = now + downtime
	n.queue, n.queuedWork = nil, 0
	for _, st := range slices.Clone(n.inFlight) {
		n.clock.At(now, func() { n.answer(st, Answer{Outcome: Broken}) })
	}
	n.clock.At(n.downUntil, func() {
		if n.clock.Now() >= n.downUntil {
			n.Restart()
		}
	})
}

// IsDown reports whether the server process is down.
func (n *Node) IsDown() bool { return n.clock.Now() < n.downUntil }

// Counts returns how many statements arrived, how many ran, and how often overload crashed the node.
func (n *Node) Counts() (arrived, ran, crashes int) { return n.arrivedCount, n.runCount, n.crashCount }

// speed returns the current speed as a share of the full one.
func (n *Node) speed() float64 {
	s := 1.0
	if age := n.clock.Now() - n.startedAt; age < n.config.WarmUp {
		s = n.config.ColdSpeed + (1-n.config.ColdSpeed)*age/n.config.WarmUp
	}
	if excess := len(n.inFlight) - 2*n.cores(); excess > 0 {
		s /= 1 + n.config.CrowdPenalty*float64(excess)
	}
	return s
}

// position returns the time up to which the node has applied the log, and brings the lag up to date.
func (n *Node) position() float64 {
	now := n.clock.Now()
	if n.Primary { // a primary has everything, and starts from here if it becomes a replica
		n.extraLag, n.lagAt = 0, now
		return now
	}
	elapsed, cores := now-n.lagAt, n.cores()
	if n.lagAt = now; n.busyCores >= cores {
		n.extraLag += n.config.LagGrowth * elapsed
	} else {
		n.extraLag = max(0, n.extraLag-elapsed*float64(cores-n.busyCores)/float64(cores))
	}
	pos := now - n.config.Lag - n.extraLag
	if n.stalledAt > 0 {
		pos = min(pos, n.stalledAt)
	}
	return max(pos, n.primaryUntil)
}

func (n *Node) cores() int { return max(1, n.config.Cores) }

// expectedWait estimates how long a statement that arrives now waits for a core.
func (n *Node) expectedWait() float64 { return n.queuedWork / n.speed() / float64(n.cores()) }

// Run gives the node a statement. do is called when the statement runs, whether or not its answer arrives, and returns false if
// the node rejects it; a nil do accepts it. then is called once, or never if the answer is lost: the caller keeps its own timeout
// and calls stop when it gives up. A statement that is still queued then does not run; one that runs already goes on.
func (n *Node) Run(isNewConnection bool, do func() bool, then func(Answer)) (stop func()) {
	now := n.clock.Now()
	if n.IsDown() || n.impairment.Unreachable || isNewConnection && n.impairment.RefusesConnections {
		if !n.impairment.Unreachable {
			n.clock.At(now, func() { then(Answer{Outcome: NoConn}) })
		}
		return func() {}
	}
	n.arrivedCount++
	st := &statement{then: then, execute: do, answerLost: n.rng.Float64() < n.impairment.LostAnswerShare}
	n.inFlight = append(n.inFlight, st)
	stop = func() {
		if !st.isRunning {
			n.dequeue(st)
		}
		n.drop(st)
	}
	switch {
	case n.impairment.Hangs:
		return stop
	case n.rng.Float64() < n.impairment.ErrorShare:
		n.clock.At(now+0.001, func() { n.answer(st, Answer{Outcome: Error}) })
		return stop
	}
	if st.work = n.config.MeanWork * n.rng.ExpFloat64(); isNewConnection {
		st.work += n.config.Handshake
	}
	n.queue, n.queuedWork = append(n.queue, st), n.queuedWork+st.work
	n.startQueued()
	if n.config.CrashBacklog > 0 && n.expectedWait() > n.config.CrashBacklog {
		n.crashCount++
		n.Crash(n.config.Downtime)
	}
	return stop
}

func (n *Node) dequeue(st *statement) {
	if i := slices.Index(n.queue, st); i >= 0 {
		n.queue, n.queuedWork = slices.Delete(n.queue, i, i+1), n.queuedWork-st.work
	}
}

// startQueued lets free cores take statements from the queue.
func (n *Node) startQueued() {
	for n.busyCores < n.cores() && len(n.queue) > 0 {
		n.position() // brings the lag up to date before another core becomes busy
		st := n.queue[0]
		n.dequeue(st)
		n.busyCores++
		st.isRunning = true
		startedAt := n.startedAt
		n.clock.At(n.clock.Now()+st.work/n.speed(), func() {
			n.position()
			n.busyCores--
			if n.startedAt == startedAt && !n.IsDown() { // otherwise the node went down meanwhile
				n.clock.At(n.clock.Now()+n.impairment.ExtraLatency, func() { n.finish(st) })
			}
			n.startQueued()
		})
	}
}

// finish ends a statement that ran, even if nobody waits for its answer any more.
func (n *Node) finish(st *statement) {
	if n.IsDown() {
		return
	}
	n.runCount++
	a := Answer{Outcome: Done, Pos: n.position(), Primary: n.Primary}
	if st.execute != nil && !st.execute() {
		a.Outcome = Refused
	}
	if st.answerLost || n.impairment.Hangs {
		n.drop(st)
		return
	}
	n.answer(st, a)
}

// drop removes a statement from those in flight; its answer is not delivered.
func (n *Node) drop(st *statement) {
	st.isOver = true
	n.inFlight = slices.DeleteFunc(n.inFlight, func(x *statement) bool { return x == st })
}

// answer delivers the answer of a statement unless it is over already.
func (n *Node) answer(st *statement, a Answer) {
	if !st.isOver {
		n.drop(st)
		st.then(a)
	}
}

// Probe returns the node's position and role, at no cost to the node. ok is false if no answer comes.
func (n *Node) Probe() (a Answer, ok bool) {
	if n.IsDown() || n.impairment.Unreachable || n.impairment.Hangs {
		return Answer{}, false
	}
	return Answer{Outcome: Done, Pos: n.position(), Primary: n.Primary}, true
}
