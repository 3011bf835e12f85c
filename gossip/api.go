// Package gossip decides whom to believe: which peers are alive, what their accusations of servers are worth, which servers
// this router should suspect because of them, and which records to send to whom within a bound of bytes. Its words are
// those of SWIM: a Node is an instance that takes part, suspicion is what accusations bring about, an incarnation is one
// life of a process. The servers that are accused take no part.
//
// How to call it: New makes a Node from a Config. The host tells what this router observed itself (Observe, Started,
// Finished), the members of the list (AddServer, RemoveServer), and each record that came with a valid signature (Receive);
// it calls Tick some times a second and does what that returns: suspicions for the module that chooses servers, and records
// to sign and hand to Publish; then it calls Round for the datagrams to send. Time (seconds of Unix time) is handed in, ids
// are small indices that the host gives. One seed and one history of calls give one history of effects. The threat model and
// the ways weighed: docs/gossip.md.
package gossip

// Kind says what a record is.
type Kind uint8

const (
	Alive   Kind = iota // its origin is alive, and tells of itself
	Leave               // its origin leaves
	Accuse              // a server failed it
	Retract             // a server that it accused answers it again
)

// Reason says what kind of trouble an accusation is about.
type Reason uint8

const (
	Unresponsive Reason = iota // it does not answer: a probe that is answered says otherwise
	Failing                    // what is submitted to it fails or is lost: only an answered submission says otherwise
)

// Record is a peer's own statement. Only its origin can make it; others pass it on as it is.
type Record struct {
	Kind        Kind
	Origin      int     // the peer
	Incarnation int64   // of its process: a later start has a higher one
	Seq         int64   // of its records in that incarnation
	At          float64 // s, its clock
	Zone        int     // of Alive
	ListVersion int64   // of Alive: the version of its member list
	Server      int     // of Accuse and Retract
	Reason      Reason  // of Accuse
	Size        int     // bytes, signed and all
	Encoded     []byte  // as it goes over the wire; this package only carries it
}

// Suspicion is a server that accusations make this router suspect.
type Suspicion struct {
	Server   int
	Until    float64
	ProbeNow bool // it begins with this, so probe the server at once
}

// SeedPeer stands for an address of the settings, of which the host knows which is next.
const SeedPeer = -2

// Send is a datagram's worth of records for a peer, or for a SeedPeer.
type Send struct {
	To      int
	Records []Record
}

// Effects are what a step asks for.
type Effects struct {
	Own          []Record // to be signed and handed back by Publish, before Sends are
	Suspicions   []Suspicion
	Sends        []Send
	ListOutdated bool // a peer has a newer member list: ask for ours again
	Notes        []string
}

// Config is what a Node is given at start.
type Config struct {
	Seed           int64
	Incarnation    int64
	Zone           int
	BytesPerSecond float64 // out, of which a second's worth at once
	DatagramBytes  int     // bytes of records in one
	Accuse         bool    // this router tells what it observes
	BelieveAll     bool    // for comparisons only: no track record and no quorum, any accusation is believed
}

const (
	heartbeatEvery        = 1.0     // s between an instance's heartbeats, while there are few
	heartbeatRetransmits  = 3       // times a heartbeat is passed on by each: one in twenty misses it, and has the next
	heartbeatBytes        = 150.0   // bytes of one, with its part of a datagram's envelope
	heartbeatShare        = 0.25    // share of the bytes that heartbeats may take: a peer that is gone needs no quick notice
	seedEvery             = 10.0    // s between datagrams to a seed
	heartbeatsMissed      = 6       // heartbeats that may be lost until a peer counts as gone: at 30% loss one in a thousand is
	roundEvery            = 0.2     // s between rounds of sending: five rounds reach all of a few hundred
	urgentRoundEvery      = 0.1     // s between them while an accusation has not been told yet: a second less until all know
	fanout                = 2       // peers that a round sends to: one loss in three still lets a record spread
	retransmitFactor      = 3.0     // times log2 of the peers that a record is passed on
	minPeerAge            = 5.0     // s a peer must have been heard of until its accusations count
	maxRecordAge          = 10.0    // s a record may be old by its origin's clock, beyond what that clock is known to be off
	maxClockSkew          = 300.0   // s a clock may be off: beyond it a peer is left out
	maxPeers              = 4096    // peers that are remembered: beyond it, those gone for longest go
	gonePeerRetention     = 120.0   // s a peer that is gone is remembered, with its record
	accusationInterval    = 0.5     // s: one accusation a peer a server in as long counts, the others say nothing new
	accusationLifetime    = 3.0     // s an accusation is believed unless repeated
	repeatAccusationEvery = 1.0     // s until an accusation that holds is repeated
	evidenceHalfLife      = 5.0     // s, half-life of what this router observed itself
	accuseFromFailures    = 1.5     // failures, decayed, from which it accuses
	accuseFromShare       = 0.5     // share of what it observed that must have failed,
	accuseFromStreak      = 2       // or as many in a row: what was good a while ago says nothing of a server that hangs now
	overdueFactor         = 8.0     // usual latencies from which an answer is overdue: of exponential work one in 3,000 takes as long
	overdueMin            = 0.05    // s that an answer may take at least: a pause of this process must not look like a server's
	latencyGain           = 0.02    // weight of the newest latency in what is usual
	maxInFlight           = 256     // submissions that are watched at a server: beyond it the newest are not
	maxAccusedShare       = 0.5     // a peer that accuses more than this share of the servers has a trouble of its own
	minAccused            = 3       // servers accused until that can be told
	suspectBudget         = 1.0 / 3 // share of a group that may be suspected by accusations alone
	falseAccusationCost   = 1.0     // weight that an accusation takes from its peer when own evidence says otherwise
	trueAccusationGain    = 0.5     // and that it gets back when own evidence says the same
	penaltyHalfLife       = 60.0    // s, half-life of that
	refutationWindow      = 1.0     // s own good evidence speaks against an accusation that comes after it
)
