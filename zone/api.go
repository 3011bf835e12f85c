// Package zone decides when the routers of one tier leave a zone whose nodes fail together, and how they return. It hands
// facts to the splitter, which stays the only one to choose: members of a zone that is left are doubted, so that they come
// after all others, and are used still where the others have no room.
//
// How to call it: New makes a Book from Terms. The host names the nodes (Node, Forget), tells how each submission of this
// router ended (Saw), hands over each datagram of a peer (Take), calls Step when it is due (Next), and after each call does
// what Effects asks for. Time (seconds of a clock that no step moves) is handed in, ids are small indices that the host
// gives. There is no chance in it: one history of calls gives one history of effects.
//
// What travels are counts: how many submissions to a zone ended well and badly of late, at one router. No verdict does:
// each router sums what it has heard and judges for itself. The ways weighed: docs/zones.md.
package zone

// All stands for every other router.
const All = -1

// Terms are what a Book is told at start.
type Terms struct {
	Me, Routers int
	Zone        string // this router's
	Life        uint32 // differs from that of an earlier start
}

// Send is a datagram for a peer, or for All.
type Send struct {
	To    int
	Bytes []byte
}

// Doubt says that a node is to come after others until a time; one that is past ends it.
type Doubt struct {
	Node  int
	Until float64
}

// Kind of a step.
type Kind int

const (
	Left      Kind = iota // the zone is left
	Returning             // a share of the routers uses it again
	Back                  // all do
)

// Event is a step, with the figures it was taken on.
type Event struct {
	Kind      Kind
	Zone      string
	Share     float64 // of routers that use it
	Bad, Good int     // of all routers, of late
	Voices    int     // routers that had bad ones
	Else      float64 // share of bad ones in other zones
}

// Effects are what the host is asked to do.
type Effects struct {
	Sends  []Send
	Doubts []Doubt
	Events []Event
}

// Counts tell what a Book has done.
type Counts struct {
	Tells, Bytes, Taken, Spoilt, Old int64
	Leaves, Returns                  int64
}

// State is a zone as this router sees it.
type State struct {
	Zone      string  `json:"zone"`
	Nodes     int     `json:"nodes"`
	Share     float64 `json:"share"`
	Uses      bool    `json:"uses"` // this router does
	Bad, Good int
	Voices    int     `json:"voices"`
	Until     float64 `json:"until"` // s until the next step is weighed
	Flaps     int     `json:"flaps"`
}

const (
	window     = 0.5    // s over which outcomes count: some dozen of a zone's at each of a few routers
	slots      = 5      // parts in which they age
	tellEvery  = 0.05   // s between a router's counts of a zone
	fresh      = 0.6    // s that a peer's counts are gone by: a window and its way
	oldWord    = 0.25   // s that a datagram may have been longer on its way than the quickest of that peer's
	leastBad   = 8      // bad ones, of all routers, that make a zone's trouble worth a look
	badShare   = 0.35   // of its outcomes from which it is left: half of the answers lost, less those still awaited
	elseShare  = 0.5    // of a zone's share that other zones may have: with more the trouble is everywhere
	voices     = 3      // routers that must have bad ones,
	ownBad     = 4      // or so many of this router's own,
	ownShare   = 0.8    // of its own, and
	manyNodes  = 2      // nodes that must have failed: one bad node is the splitter's matter
	nodeShare  = 0.5    // of the zone's nodes that were used
	stay       = 1.0    // s that a zone is left for before anybody returns,
	stayMost   = 16.0   // doubled with each return that failed of late, up to this
	flapShare  = 0.25   // a return that failed before it came so far was a look, and counts for nothing
	calm       = 60.0   // s after which failed returns are forgotten
	firstShare = 0.0625 // of the routers return first,
	firstLooks = 2.0    // but so many at least,
	growth     = 2.0    // then twice as many
	stepEvery  = 0.4    // s after each step, at least,
	stepGood   = 4      // and with so many good ones since
	stepWait   = 3.0    // s after which a step without traffic is taken all the same
	failedBack = 0.25   // share of bad ones with which a return has failed, of at least
	failedBad  = 3      // so many
	doubtFor   = 0.6    // s that a doubt is given for, and renewed in
	renewEach  = 0.2    // s
)
