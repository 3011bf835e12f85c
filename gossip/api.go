// Package gossip decides whom to believe: which peers are there, what their voices about nodes are worth, which nodes
// this router should doubt for them, and what to tell whom within a bound of bytes.
//
// How to call it: New makes a Mill from Terms. The host tells what this router saw itself (Saw), the members of the list
// (Node, Forget), and each record that came with a valid signature (Take); it calls Tick some times a second and does
// what that returns: doubts for the splitter, and datagrams to send. Time (seconds of Unix time) is handed in, ids are
// small indices that the host gives. One seed and one history of calls give one history of effects. The threat model and
// the ways weighed: docs/gossip.md.
package gossip

// Kind says what a record is.
type Kind uint8

const (
	Alive  Kind = iota // its origin lives, and tells of itself
	Leave              // it goes
	Accuse             // a node failed it
	Acquit             // a node it accused answers it again
)

// Why says what kind of trouble an accusation is about.
type Why uint8

const (
	Silent Why = iota // it does not answer: a probe that is answered says otherwise
	Fails             // what is submitted to it fails or is lost: only an answered submission says otherwise
)

// Record is a peer's own word. Only its origin can make it; others pass it on as it is.
type Record struct {
	Kind   Kind
	Origin int     // the peer
	Epoch  int64   // of its process: a later start has a higher one
	Seq    int64   // of its records in that epoch
	At     float64 // s, its clock
	Zone   int     // of Alive
	List   int64   // of Alive: the version of its member list
	Node   int     // of Accuse and Acquit
	Why    Why     // of Accuse
	Size   int     // bytes, signed and all
	Sealed []byte  // as it goes over the wire; this package only carries it
}

// Doubt is a node that voices make this router doubt.
type Doubt struct {
	Node  int
	Until float64
	Now   bool // it began with this, so look at the node at once
}

// Seed stands for an address of the settings, of which the host knows which is next.
const Seed = -2

// Send is a datagram's worth of records for a peer, or for a Seed.
type Send struct {
	To      int
	Records []Record
}

// Effects are what a step asks for.
type Effects struct {
	Own    []Record // to be signed and handed back by Sealed, before Sends are
	Doubts []Doubt
	Sends  []Send
	Behind bool // a peer has a newer member list: ask for ours again
	Note   []string
}

// Terms are what a Mill is told at start.
type Terms struct {
	Seed     int64
	Epoch    int64
	Zone     int
	Bytes    float64 // a second out, of which a second's worth at once
	Datagram int     // bytes of records in one
	Accuse   bool    // this router tells what it sees
	Plain    bool    // for comparisons only: no track record and no quorum, any voice is believed
}

const (
	beat        = 1.0     // s between an instance's signs of life, while there are few
	beatTold    = 3       // times a sign of life is passed on by each: one in twenty misses it, and has the next
	beatBytes   = 150.0   // bytes of one, with its part of a datagram's envelope
	beatShare   = 0.25    // share of the bytes that signs of life may take: a peer that is gone needs no quick word
	seedEvery   = 10.0    // s between looks at a seed
	beatsLost   = 6       // signs of life that may be lost until a peer counts as gone: at 30% loss one in a thousand is
	rounds      = 0.2     // s between rounds of sending: five rounds reach all of a few hundred
	hasty       = 0.1     // s between them while an accusation has not been told yet: a second less until all know
	fanout      = 2       // peers that a round sends to: one loss in three still lets a rumour grow
	retell      = 3.0     // times log2 of the peers that a record is passed on
	seasoned    = 5.0     // s a peer must have been heard of until its voices count
	stale       = 10.0    // s a record may be old by its origin's clock, beyond what that clock is known to be off
	skewMost    = 300.0   // s a clock may be off: beyond it a peer is left out
	keepPeers   = 4096    // peers that are remembered: beyond it, those gone for longest go
	keepGone    = 120.0   // s a peer that is gone is remembered, with its record
	voiceEvery  = 0.5     // s: one voice a peer a node in as long counts, the others say nothing new
	voiceLasts  = 3.0     // s a voice is believed unless said again
	sayEvery    = 1.0     // s until an accusation that holds is said again
	evidence    = 5.0     // s, half-life of what this router saw itself
	evidenceOf  = 1.5     // failures, faded, from which it accuses
	evidenceIn  = 0.5     // share of what it saw that must have failed,
	evidenceRow = 2       // or as many in a row: what was good a while ago says nothing of a node that hangs now
	lateTimes   = 8.0     // usual latencies from which an answer is overdue: of exponential work one in 3,000 takes as long
	lateLeast   = 0.05    // s that an answer may take at least: a pause of this process must not look like a node's
	lateGain    = 0.02    // weight of the newest latency in what is usual
	outMost     = 256     // submissions that are watched at a node: beyond it the newest are not
	crowdShare  = 0.5     // a peer that accuses more than this share of the nodes has a trouble of its own
	crowdLeast  = 3       // nodes accused until that can be told
	budget      = 1.0 / 3 // share of a group that may be doubted by voices alone
	wrongCost   = 1.0     // weight that a voice takes from its peer when own evidence says otherwise
	rightGain   = 0.5     // and that it gets back when own evidence says the same
	wrongFades  = 60.0    // s, half-life of that
	freshness   = 1.0     // s own good evidence speaks against a voice that comes after it
)
