// Package peerstate decides what the routers of one tier tell each other about the nodes, so that not every router has to ask
// a node for what one of them has already seen: which router coordinates a group, what is reported to it, when it publishes an
// update to the others, and which nodes it probes on behalf of all.
//
// Usage: New makes a Table from a Config. The host adds and removes the members of the node list (AddNode, RemoveNode), passes
// in what this router observed itself (Observe, RecordStart, RecordFinish), that a read or a write arrived (RecordArrival) or
// that a txn waits for a primary (AwaitPrimary), passes in each datagram of a peer (Receive), calls Step when it is due (Next),
// and after each call carries out the Effects. Time (seconds of Unix time) is passed in, and ids are small indices that the
// host assigns. The same seed and the same sequence of calls give the same sequence of effects.
//
// Messages carry facts with their own date: a position that a node has named, which holds from then on, whatever happens to
// the message. So a message that is late, duplicated, reordered or from before a restart does no harm; it only proves less. A
// role in a message is a hint which node to ask. The alternatives are compared in docs/knowing.md.
package peerstate

// All addresses every other router.
const All = -1

// Config configures a Table.
type Config struct {
	Self, Routers int
	Seed          int64
	Bound         float64 // s, the smallest staleness bound of any read: a published position must be younger when it arrives
}

// NodeState is what a node has reported about itself to some router.
type NodeState struct {
	Node    int
	Pos     float64 // it has applied all commits up to this time
	Primary bool    // it was primary then
	Load    int     // submissions of all routers in flight there
}

// Update is what peers know of a group, for the module that chooses nodes.
type Update struct {
	Group int
	Until float64 // a coordinator is expected to probe the group on behalf of all until then
	Heard bool    // a coordinator is active: a message on the group came, or this router coordinates it; else only an answer is expected
	Nodes []NodeState
}

// Send is a datagram for a peer, or for All.
type Send struct {
	To    int
	Bytes []byte
}

// Effects are the actions that the host must carry out.
type Effects struct {
	Sends   []Send
	Probes  []int // nodes to probe on behalf of all routers
	Updates []Update
}

// Counts are the totals of a Table since its start.
type Counts struct {
	Requests, Reports, Updates, Replies, Probes, Bytes int64 // sent; a datagram for All counts its bytes once
	Received, Malformed, UnknownGroups, Unanswered     int64 // received; Unanswered are requests to coordinators without an answer
}

// Comments that begin with "s" give the unit: seconds.
const (
	// Share of the bound between two updates. Even if a report and an update each take as long as they may, a published position
	// is still young when the next update arrives.
	intervalShare = 0.4
	minInterval   = 0.02 // s, shortest time between updates, whatever the bound
	maxInterval   = 1.0  // s, longest time between updates, whatever the bound

	maxMissedUpdates = 3.0  // update intervals without an update after which a coordinator counts as silent
	replyTimeout     = 0.15 // s within which a coordinator must answer: a round trip and a probe of a node
	unreachableTime  = 5.0  // s for which a coordinator that did not answer is passed over
	replyGain        = 0.2  // weight of the newest request in replyShare: about the last six groups asked for decide
	replyShareToWait = 0.5  // value of replyShare above which reads wait for an answer
	coordinationTime = 2.0  // s for which a group is coordinated after the last request

	// Number of requests that reach a coordinator in the time in which each router could send one. More say nothing new.
	requestsPerGroup = 4.0

	unprovenGain = 0.1 // weight of the newest read in unprovenShare: about the last dozen reads decide
	// Value of unprovenShare above which this router asks for coordination of a group. Below it, what others know would save
	// little.
	unprovenThreshold = 0.3

	reportShare               = 0.5  // share of the interval by which a position must be newer than the published one to be reported
	reportProbabilityDecrease = 0.8  // factor on a node's reportProbability when an update brings a young position of it,
	reportProbabilityIncrease = 1.5  // and when it brings an old one
	minReportProbability      = 0.02 // lowest reportProbability: of 300 routers, several still report
	freshShare                = 0.6  // share of the interval up to which a published position is young

	// Seconds after its last update for which a coordinator is told of submissions. They show it that its updates are of use.
	submissionReportTime = 60.0

	subscriptionTime = 2.0 // s after its last message on a group for which a router gets its updates
	// Share of the routers from which an update goes to all of them. A router that gets no updates asks, waits, and probes for
	// itself where messages are lost.
	broadcastShare = 0.4
	successorCount = 3 // first routers in the order of succession; they get the updates in any case

	probesPerRequest  = 2.0  // probes that a request pays for: as many as a read of the requesting router would have sent itself
	maxProbeBudget    = 12.0 // most probes that may be saved up
	probeAgeShare     = 0.5  // share of the bound without a newer position of a node after which it is probed
	minProbeInterval  = 0.1  // s between probes of a node: it hardly refreshes its answers sooner
	primarySearchTime = 0.3  // s for which all members are probed after a message that a txn waits for their primary

	maxClockAhead = 0.02  // s by which a position may be ahead of the local clock
	ageSteps      = 100.0 // steps per bound in which ages are sent

	// Seconds after a router's last message on a node for which its submissions in flight there count. After that, the message
	// that they have ended must have been lost.
	inFlightTimeout = 3.0
	// Number of submissions by which a message may be overtaken, and of messages in a row that may be lost. A counter that is
	// further off shows that its router has restarted.
	counterWindow = 64
)
