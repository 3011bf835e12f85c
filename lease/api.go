// Package lease decides who among the routers of one tier does what must be done by one of them at a time: who asks whom
// for a task, who grants it, for how long a holder may act, and whose acts a router still obeys.
//
// How to call it: New makes a Book from Terms. The host says which tasks this router would hold (Want), hands over each
// datagram of a peer (Take), calls Step when it is due (Next), and after each call does what Effects asks for. Time
// (seconds of a clock that no step moves) is handed in, routers are small indices that all agree on. One seed and one
// history of calls give one history of effects.
//
// What is assumed, and nothing else: the rates of any two routers' clocks differ by at most the drift of the terms; a
// router that has lost its memory comes back with another life (a random number); two sets of routers that are in force at
// once are joined (Former). Nothing is assumed of how long a datagram or a pause takes, nor that datagrams come once or
// in order. The ways weighed, the proof and what is not promised: docs/leases.md.
package lease

// All stands for every other router.
const All = -1

// Terms are what a Book is told at start.
type Terms struct {
	Me      int
	Routers int    // those whose numbers are below it make up the councils
	Former  int    // the same before a change that is under way; 0: none
	Life    uint64 // differs from that of any earlier start
	Seed    int64
	First   uint64  // tokens are above it: a wall clock's has them rise though all routers forget at once
	Span    float64 // s, how long a grant lasts by the clock of who gave it
	Drift   float64 // share by which a clock may go too fast or too slowly
	Council int     // routers that are asked for a task, odd
	Bytes   float64 // a second out at most, and a second's worth at once
	Tasks   []Task
}

// Task is what at most so many routers do at a time.
type Task struct {
	Name     string
	Slots    int     // holders at a time; 0 is 1
	Every    float64 // s between the holder's words to all; 0: none
	Standing bool    // all routers would hold it, at all times
	Lent     bool    // this router is in its councils only: it never holds it, and obeys no word on it
}

// Kind tells what has happened.
type Kind int

const (
	Took   Kind = iota // this router holds the task from now on, under Token
	Lost               // it does no more; Until is when that began by its own clock
	Obeyed             // a holder's word has come here and is to be obeyed
	Stale              // one has come under a token that another has followed, and is not
)

// Event is what a host may want to know.
type Event struct {
	Kind   Kind
	Task   string
	Slot   int
	Token  uint64
	Holder int
	Number uint64 // of the holder's words under this token
	Text   string // of the word
	Until  float64
}

// Send is a datagram for a peer, or for All.
type Send struct {
	To    int
	Bytes []byte
}

// Effects are what the host is asked to do.
type Effects struct {
	Sends  []Send
	Events []Event
}

// Seat is the state of a task's slot as one router knows it.
type Seat struct {
	Task    string  `json:"task"`
	Slot    int     `json:"slot"`
	Council []int   `json:"council"`
	Wanted  bool    `json:"wanted"`
	Held    bool    `json:"held"`
	Token   uint64  `json:"token"`  // ours while we hold it, else the newest that is known
	Holder  int     `json:"holder"` // whom we take for it; -1: nobody known
	Left    float64 `json:"left"`   // s until it is over if it is not renewed
	Text    string  `json:"text,omitempty"`
	Heard   int     `json:"heard"`   // routers that obey our newest word
	Changes int64   `json:"changes"` // of holders that were seen here
}

// Counts tell what a Book has done.
type Counts struct {
	Asks, Grants, Refusals, Acts, Checks, Bytes int64 // sent
	Taken, Spoilt, Strange, Stales, Delayed     int64 // Strange: of a task or a set of routers that is not ours
}

const (
	renewals    = 4.0  // a holder asks anew as often in a span: two rounds may be lost
	asksIn      = 12.0 // a candidate that has no answers asks as often in a span
	slowest     = 2.0  // asks in a span of one that has had none for long
	mostRetreat = 4    // spans, and as much again, that a candidate stands back at most when no quorum answers
	stagger     = 0.05 // of a span that a candidate waits longer than the one before it in the order
	places      = 3    // candidates for a standing task that ask without having missed the holder
	silence     = 2.0  // spans without a word after which the others do
	laterBy     = 0.25 // of a span, each later than the one before it in the order,
	latest      = 5.0  // but not by more spans than this
	standsBack  = 3.0  // spans for which a router that was better gone is not after the task
	kept        = 0.25 // of a span that a council keeps a task for the router it was handed to
	hurried     = 0.01 // s between asks of that one
	patience    = 0.3  // s until a check that has found no answer gives way to another
	resaid      = 0.5  // of a span between the same word told again, where the task has no pace of its own
	counts      = 5    // times that routers are asked to say that they obey a new word
	margin      = 0.1  // of a span that a member is silent for beyond it, for what reading the clock leaves out
	waiters     = 3    // turned away of late, who are told when a task is free
	mostText    = 170  // bytes of a holder's word: what a datagram has left
	mostSeats   = 64   // slots of all tasks
	mostRouter  = 4096 // routers of a tier
)
