// Package model is the servers of a cluster in virtual time, without I/O: what becomes of a statement at a node, by what the
// node has to do already. It is written from public descriptions: a node is some cores behind one queue (M/G/c of queueing
// theory); each client backend beyond the cores costs all of them (PostgreSQL's documentation on max_connections, and its
// authors on snapshots and scalability); a connection forks a process; a replica applies the log in one process that competes
// with reads, so it falls behind when crowded; a node that has just started reads from disk what is not in memory yet. Its
// constants are ours. One seed and one history of calls give one history.
//
// How to call it: New makes a Node; Run gives it a statement and Probe a question; it asks its Clock to call back. Faults are
// set by Set; Crash ends all that is out.
package model

import (
	"math"
	"math/rand"
	"slices"
)

// Clock is the host's virtual time.
type Clock interface {
	Now() float64
	At(at float64, do func()) // do runs then, never inside the call
}

// Terms are a node's. Times are seconds.
type Terms struct {
	Cores     int
	Work      float64 // of a statement, on a core of its own, in the mean
	Handshake float64 // of a new connection
	Crowd     float64 // what each statement out beyond twice the cores adds to the work of all, as a share
	Cold      float64 // share of its speed after a start,
	Warm      float64 // until it has all
	Falls     float64 // work that waits, in s, by which it falls over; 0: it does not
	Down      float64 // for so long
	Lag       float64 // of a replica at rest
	Crowded   float64 // s that a replica's lag grows by in a second with all cores busy
}

// Ill is what is wrong with a node. The zero Ill is nothing.
type Ill struct {
	Hangs   bool    // takes all, says nothing
	Fails   float64 // share of statements that end in an error at once
	Loses   float64 // share of answers that never come
	Slower  float64 // s that each answer takes longer
	Stands  bool    // it applies nothing more, and answers
	Cut     bool    // nothing reaches it, no way back
	Refuses bool    // no new connections
}

// Outcome of a statement.
type Outcome int

const (
	Done    Outcome = iota // it has run
	Error                  // it has not, and the node said so
	Broken                 // the connection is gone; it may have run
	NoConn                 // never reached it
	Refused                // the node turned it away: it has not run
)

// Answer is what comes back.
type Answer struct {
	Outcome Outcome
	Pos     float64 // applied up to this time
	Primary bool
}

// Node is a server. Its table: what is out, emptied by answers and by Crash.
type Node struct {
	Primary bool // to be read; Lead sets it
	terms   Terms
	clock   Clock
	rng     *rand.Rand
	ill     Ill
	busy    int     // cores
	queue   []*job  // waits for one, oldest first
	queued  float64 // s of work that is in it
	out     []*job
	started float64 // -Inf: long ago
	downTo  float64
	lag     float64 // beyond Terms.Lag, as of
	lagAt   float64
	stands  float64 // position that it stands still at; 0: it does not
	led     float64 // until then it was primary
	ran     int
	came    int
	falls   int
}

type job struct {
	then func(Answer)
	do   func() bool
	work float64 // s, at full speed
	lost bool
	runs bool
	over bool
}

// New makes a node that has run for long.
func New(t Terms, c Clock, seed int64) *Node {
	return &Node{terms: t, clock: c, rng: rand.New(rand.NewSource(seed)), started: math.Inf(-1), lagAt: c.Now()}
}

// Set says what is wrong with it from now on.
func (n *Node) Set(x Ill) {
	n.stands = 0
	if x.Stands {
		n.stands = n.pos()
	}
	n.ill = x
}

// Lead has it be primary, or be one no more: then it has all that it committed, and follows from there.
func (n *Node) Lead(on bool) {
	if n.Primary && !on {
		n.led = n.pos()
	}
	n.Primary = on
}

// Start has it begin anew now, cold.
func (n *Node) Start() {
	n.started, n.lag, n.lagAt = n.clock.Now(), 0, n.clock.Now()
}

// Crash ends all that is out, and has it down for a time; then it starts cold.
func (n *Node) Crash(down float64) {
	now := n.clock.Now()
	n.downTo = now + down
	n.queue, n.queued = nil, 0
	for _, j := range slices.Clone(n.out) {
		n.clock.At(now, func() { n.end(j, Answer{Outcome: Broken}) })
	}
	n.clock.At(n.downTo, func() {
		if n.clock.Now() >= n.downTo {
			n.Start()
		}
	})
}

// Down tells whether its process is gone.
func (n *Node) Down() bool { return n.clock.Now() < n.downTo }

// Counts tells statements that came, those that ran, and how often it fell over.
func (n *Node) Counts() (came, ran, falls int) { return n.came, n.ran, n.falls }

// speed is the share of its full one.
func (n *Node) speed() float64 {
	s := 1.0
	if age := n.clock.Now() - n.started; age < n.terms.Warm {
		s = n.terms.Cold + (1-n.terms.Cold)*age/n.terms.Warm
	}
	if over := len(n.out) - 2*n.cores(); over > 0 {
		s /= 1 + n.terms.Crowd*float64(over)
	}
	return s
}

// pos is the time up to which it has applied all.
func (n *Node) pos() float64 {
	now := n.clock.Now()
	if n.Primary { // it has all, and begins from here if it is one no more
		n.lag, n.lagAt = 0, now
		return now
	}
	by, cores := now-n.lagAt, n.cores()
	if n.lagAt = now; n.busy >= cores {
		n.lag += n.terms.Crowded * by
	} else {
		n.lag = max(0, n.lag-by*float64(cores-n.busy)/float64(cores))
	}
	pos := now - n.terms.Lag - n.lag
	if n.stands > 0 {
		pos = min(pos, n.stands)
	}
	return max(pos, n.led)
}

func (n *Node) cores() int { return max(1, n.terms.Cores) }

// waiting is about how long a statement that comes now waits for a core.
func (n *Node) waiting() float64 { return n.queued / n.speed() / float64(n.cores()) }

// Run gives it a statement; connect says that it comes on a new connection. do is called when it runs, whether or not anybody
// hears of it, and tells whether the node takes it; nil: it does. then is called once, or never where the answer is lost:
// whoever asked gives up by a time of its own, and calls stop: what has not begun by then does not run, what has goes on.
func (n *Node) Run(connect bool, do func() bool, then func(Answer)) (stop func()) {
	now := n.clock.Now()
	if n.Down() || n.ill.Cut || connect && n.ill.Refuses {
		if !n.ill.Cut {
			n.clock.At(now, func() { then(Answer{Outcome: NoConn}) })
		}
		return func() {}
	}
	n.came++
	j := &job{then: then, do: do, lost: n.rng.Float64() < n.ill.Loses}
	n.out = append(n.out, j)
	stop = func() {
		if !j.runs {
			n.unqueue(j)
		}
		n.drop(j)
	}
	switch {
	case n.ill.Hangs:
		return stop
	case n.rng.Float64() < n.ill.Fails:
		n.clock.At(now+0.001, func() { n.end(j, Answer{Outcome: Error}) })
		return stop
	}
	if j.work = n.terms.Work * n.rng.ExpFloat64(); connect {
		j.work += n.terms.Handshake
	}
	n.queue, n.queued = append(n.queue, j), n.queued+j.work
	n.begin()
	if n.terms.Falls > 0 && n.waiting() > n.terms.Falls {
		n.falls++
		n.Crash(n.terms.Down)
	}
	return stop
}

func (n *Node) unqueue(j *job) {
	if i := slices.Index(n.queue, j); i >= 0 {
		n.queue, n.queued = slices.Delete(n.queue, i, i+1), n.queued-j.work
	}
}

// begin has cores that are free take what waits.
func (n *Node) begin() {
	for n.busy < n.cores() && len(n.queue) > 0 {
		n.pos() // its lag up to now, before it gets busier
		j := n.queue[0]
		n.unqueue(j)
		n.busy++
		j.runs = true
		began := n.started
		n.clock.At(n.clock.Now()+j.work/n.speed(), func() {
			n.pos()
			n.busy--
			if n.started == began && !n.Down() { // else it went down meanwhile
				n.clock.At(n.clock.Now()+n.ill.Slower, func() { n.done(j) })
			}
			n.begin()
		})
	}
}

// done is the end of a statement that ran; perhaps nobody waits for it any more.
func (n *Node) done(j *job) {
	if n.Down() {
		return
	}
	n.ran++
	a := Answer{Outcome: Done, Pos: n.pos(), Primary: n.Primary}
	if j.do != nil && !j.do() {
		a.Outcome = Refused
	}
	if j.lost || n.ill.Hangs {
		n.drop(j)
		return
	}
	n.end(j, a)
}

// drop has nobody wait for a statement's answer any more.
func (n *Node) drop(j *job) {
	j.over = true
	n.out = slices.DeleteFunc(n.out, func(x *job) bool { return x == j })
}

func (n *Node) end(j *job, a Answer) {
	if !j.over {
		n.drop(j)
		j.then(a)
	}
}

// Probe asks it for its position and role, which takes no work worth counting. false: no answer comes.
func (n *Node) Probe() (a Answer, ok bool) {
	if n.Down() || n.ill.Cut || n.ill.Hangs {
		return Answer{}, false
	}
	return Answer{Outcome: Done, Pos: n.pos(), Primary: n.Primary}, true
}
