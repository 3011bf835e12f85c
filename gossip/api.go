// Package gossip exchanges accusations of servers between routers. It decides which peers are alive, how much their accusations
// weigh, which servers this router should suspect because of them, and which records to send to whom within a limit of bytes per
// second. Its terms are those of SWIM: a Node is a participating instance, accusations lead to suspicion, and an incarnation is
// one run of a process. The accused servers do not participate.
//
// Usage: New makes a Node from a Config. The host passes in what this router observed itself (Observe, Started, Finished), the
// members of the list (AddServer, RemoveServer), and each record that arrived with a valid signature (Receive). It calls Tick
// several times a second and carries out the effects that this returns: suspicions for the module that chooses servers, and
// records to sign and pass to Publish. Then it calls Round for the datagrams to send. The host passes in the time (seconds of
// Unix time) and assigns small indices as ids. The same seed and the same calls give the same effects. The threat model and the
// alternatives considered are in docs/gossip.md.
package gossip

// Kind is the kind of a record.
type Kind uint8

const (
	Alive   Kind = iota // a heartbeat: its origin is alive in this zone, with this version of the list
	Leave               // its origin is shutting down
	Accuse              // its origin observes that a server fails
	Retract             // its origin takes its accusation of a server back
)

// Reason is the kind of failure that an accusation is about.
type Reason uint8

const (
	Unresponsive Reason = iota // the server does not answer; an answered probe refutes this
	Failing                    // submissions to the server fail or are lost; only an answered submission refutes this
)

// Record is a statement that its origin makes and signs. Other peers pass it on unchanged.
type Record struct {
	Kind        Kind
	Origin      int     // the peer
	Incarnation int64   // of the origin's process; a later start has a higher one
	Seq         int64   // number of the record in that incarnation
	At          float64 // s, by the clock of the origin
	Zone        int     // of Alive
	ListVersion int64   // of Alive: version of the origin's member list
	Server      int     // of Accuse and Retract
	Reason      Reason  // of Accuse
	Size        int     // bytes on the wire, with its signature
	Encoded     []byte  // the bytes on the wire, which this package does not read
}

// Suspicion says until when accusations make this router suspect a server. An Until that is not in the future ends it.
type Suspicion struct {
	Server   int
	Until    float64
	ProbeNow bool // the suspicion is new: probe the server at once
}

// SeedPeer as a destination means a seed address of the settings; the host picks which.
const SeedPeer = -2

// Send holds the records of one datagram to a peer or to SeedPeer.
type Send struct {
	To      int
	Records []Record
}

// Effects are what the host must do after a call.
type Effects struct {
	Own          []Record // sign these and return them through Publish before asking Round what to send
	Suspicions   []Suspicion
	Sends        []Send
	ListOutdated bool // a peer has a newer member list: request the list again
	Notes        []string
}

// Config holds the settings of a Node.
type Config struct {
	Seed           int64
	Incarnation    int64
	Zone           int
	BytesPerSecond float64 // outgoing; up to one second's worth may go at once
	DatagramBytes  int     // most bytes of records in one datagram
	Accuse         bool    // whether this router accuses servers by what it observes
	BelieveAll     bool    // for comparison in tests only: believe any accusation, without peer weights and quorum
}

const (
	heartbeatEvery        = 1.0     // s between an instance's heartbeats, while there are few instances
	heartbeatRetransmits  = 3       // times each instance passes a heartbeat on: one instance in twenty misses it and gets the next
	heartbeatBytes        = 150.0   // bytes of a heartbeat with its part of the datagram's envelope
	heartbeatShare        = 0.25    // largest share of the bytes for heartbeats: the end of a peer need not be noticed quickly
	seedEvery             = 10.0    // s between datagrams to a seed
	heartbeatsMissed      = 6       // intervals without a heartbeat until a peer counts as gone: at 30% loss wrong once in a thousand
	roundEvery            = 0.2     // s between rounds of sending: five rounds reach all of a few hundred instances
	urgentRoundEvery      = 0.1     // s between rounds while an accusation waits to be sent: all know it a second earlier
	fanout                = 2       // peers that a round sends to: a record still spreads when one datagram in three is lost
	retransmitFactor      = 3.0     // a record is passed on this factor times log2 of the number of peers
	minPeerAge            = 5.0     // s since a peer was first heard from until its accusations count
	maxRecordAge          = 10.0    // s, greatest age of a record by its origin's clock, corrected by the known skew of that clock
	maxClockSkew          = 300.0   // s, greatest skew of a clock: records beyond it are ignored
	maxPeers              = 4096    // greatest number of peer indices: records of origins beyond it are ignored
	gonePeerRetention     = 120.0   // s for which a peer that is gone is remembered, with the weight it lost
	accusationInterval    = 0.5     // s in which one accusation of a server by a peer counts; further ones say nothing new
	accusationLifetime    = 3.0     // s for which an accusation holds unless repeated
	repeatAccusationEvery = 1.0     // s between repetitions of an accusation that still holds
	evidenceHalfLife      = 5.0     // s, half-life of the observations of this router
	accuseFromFailures    = 1.5     // failures, decayed, from which this router accuses a server
	accuseFromShare       = 0.5     // share of its observations that must have failed,
	accuseFromStreak      = 2       // or failures in a row: earlier successes say nothing about a server that hangs now
	overdueFactor         = 8.0     // usual latencies from which an answer is overdue: with exponential latency one in 3,000 takes as long
	overdueMin            = 0.05    // s before which no answer is overdue: a pause of this process must not look like one of the server
	latencyGain           = 0.02    // weight of the newest latency in the moving average
	maxInFlight           = 256     // submissions tracked for each server; further ones are not tracked
	maxAccusedShare       = 0.5     // a peer that accuses a greater share of the servers has a fault of its own
	minAccused            = 3       // accused servers from which maxAccusedShare applies
	suspectBudget         = 1.0 / 3 // largest share of a group that accusations alone may make suspected
	falseAccusationCost   = 1.0     // penalty of a peer whose accusation our own observations refute
	trueAccusationGain    = 0.5     // penalty taken back when our own observations confirm its accusation
	penaltyHalfLife       = 60.0    // s, half-life of the penalty
	refutationWindow      = 1.0     // s for which our own success refutes accusations that arrive after it
)
