// Package peerstate decides what the routers of one tier tell each other about the nodes, so that what one of them has seen
// need not be asked by all: which router coordinates a group, what is reported to it, when it publishes an update to the
// others, and which nodes it probes for them.
//
// How to call it: New makes a Table from a Config. The host names the members of the list (AddNode, RemoveNode), says what
// this router observed itself (Observe, RecordStart, RecordFinish), that a read or a write came (RecordArrival) or that a txn waits for a
// primary (AwaitPrimary), hands over each datagram of a peer (Receive), calls Step when it is due (Next), and after each call
// does what Effects asks for. Time (seconds of Unix time) is handed in, ids are small indices that the host gives. One seed
// and one history of calls give one history of effects.
//
// What travels is a fact with its own date: a position that a node has named, which holds from then on, whatever becomes of
// the message. So a message that is late, doubled, reordered or from before a restart can do no harm; it proves less. A role
// that travels is a hint whom to ask. The ways weighed: docs/knowing.md.
package peerstate

// All stands for every other router.
const All = -1

// Config is what a Table is given at start.
type Config struct {
	Self, Routers int
	Seed          int64
	Bound         float64 // s, the shortest bound of a read's age: a published position must be younger when it comes
}

// NodeState is what a node has said of itself to some router.
type NodeState struct {
	Node    int
	Pos     float64 // it has applied all commits up to this time
	Primary bool    // it was primary then
	Load    int     // submissions of all routers in flight there
}

// Update is what peers know of a group, for the module that chooses nodes.
type Update struct {
	Group int
	Until float64 // a coordinator probes the group for all until then
	Heard bool    // a peer has sent it; else it is only expected
	Nodes []NodeState
}

// Send is a datagram for a peer, or for All.
type Send struct {
	To    int
	Bytes []byte
}

// Effects are what the host is asked to do.
type Effects struct {
	Sends   []Send
	Probes  []int // nodes to probe for all
	Updates []Update
}

// Counts tell what a Table has done.
type Counts struct {
	Requests, Reports, Updates, Replies, Probes, Bytes int64 // sent; bytes as they left, whoever receives them
	Received, Malformed, UnknownGroups, Unanswered     int64 // came; Unanswered are requests to coordinators
}

const (
	intervalShare      = 0.4   // of the bound between updates: with two ways at their latest a state is still young when the next comes
	minInterval        = 0.02  // s, and
	maxInterval        = 1.0   // s, whatever the bound
	missedUpdates      = 3.0   // updates that may be missed until a coordinator counts as silent
	replyTimeout       = 0.15  // s until a coordinator that was asked must have answered: there and back, and a probe of a node
	unreachableFor     = 5.0   // s for which one that did not is passed over
	replyGain          = 0.2   // weight of the newest request in the share that is answered: half a dozen groups tell
	replyShareToWait   = 0.5   // share from which reads wait for an answer
	coordinateFor      = 2.0   // s that a group is coordinated after the last request
	requestsPerGroup   = 4.0   // requests that reach a coordinator while each router could send one: more say nothing new
	unprovenGain       = 0.1   // weight of the newest read in the share of reads that come without a proof of our own: the last dozen
	unprovenThreshold  = 0.3   // share from which a group is asked for: below it what others know would spare little
	reportShare        = 0.5   // of the interval that a position must be newer than the published one to be reported
	reportDecrease     = 0.8   // factor on a router's part in the reports of a node whose published positions are young,
	reportIncrease     = 1.5   // and where they are old
	minReportPart      = 0.02  // part that is left: several of 300 routers
	freshShare         = 0.6   // of the interval up to which a published position is young
	coordinatorTimeout = 60.0  // s after its last update for which a coordinator is told of submissions: they show that its updates are of use
	subscriptionTime   = 2.0   // s after its last message on a group for which a router gets its updates
	broadcastShare     = 0.4   // share of the routers from which all get them: who does not asks, waits, and probes for itself where messages are lost
	successorCount     = 3     // routers that get them in any case
	probesPerRequest   = 2.0   // probes that a request pays for: as many as a read of its own would have sent
	maxProbeBudget     = 12.0  // and that may be saved up
	probeAfter         = 0.5   // of the bound without a newer position of a node until it is probed
	probeAgain         = 0.1   // s between probes of a node: its answers are hardly refreshed sooner
	primarySearchTime  = 0.3   // s that a group is probed as a whole after a message that a txn waits for its primary
	maxClockAhead      = 0.02  // s that a position may be ahead of the clock here
	ageSteps           = 100.0 // parts of a bound in which ages travel
	inFlightTimeout    = 3.0   // s after a router's last message on a node for which what it has in flight there counts: its end was lost
	counterWindow      = 64    // submissions by which a message may be overtaken, or so many lost; who is further off has restarted
)
