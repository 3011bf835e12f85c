package splitter

import "slices"

// Need says how fresh the data under a txn must be.
type Need int

const (
	NeedAny     Need = iota // any member of the group will do
	NeedBounded             // data no older than TxnType.Bound when submitted
	NeedSession             // all that the session has written
	NeedCurrent             // all that was committed before the txn arrived
	NeedPrimary             // a write: only the primary takes it
)

// Effect says what a second run of a txn would do.
type Effect int

const (
	Repeatable Effect = iota
	Referenced
	OnceOnly
)

// Scope is the set of nodes that drops the repeats of a referenced txn.
type Scope int

const (
	ScopeGroup Scope = iota
	ScopeZone
	ScopeAll
)

// TxnType is what is known at start of one type of txn. Times are seconds.
type TxnType struct {
	Need      Need
	Bound     float64
	Effect    Effect
	Scope     Scope
	Window    float64 // how long a repeat is dropped, from the first submission that may have run
	SLA       float64 // answered within this, a txn has its full value
	Value     float64
	LateValue float64 // the share of Value left after the SLA time
}

// Terms are what a router is told at start.
type Terms struct {
	Seed                int64
	Self, Routers       int
	Zone                int
	Types               []TxnType
	NodesCheckFreshness bool // nodes turn away a read they are too far behind for
	TrackSessions       bool // the router itself remembers what a session wrote
	ProbeRoles          bool // probes are allowed and tell role and position
	CanProbe            bool
	CanCancel           bool
	WatchList           bool    // the member list comes only when watched
	OnlyDrainExcludes   bool    // a node gone without a drain may still be used
	ConnectTimeout      float64 // a connection not there by then is not had
	IdleTimeout         float64 // a connection not in use for this long is closed
	MaxSubmissions      int     // a txn
	MaxPause            float64 // the longest pause a client heeds; 0: none
	ColdFrom            float64 // share of its capacity a node starts with
	WarmAfter           float64
	Overload            float64 // a cold node falls when sent this multiple of what it can do
	OverloadOutage      float64 // for this long
}

// Txn is one txn as it arrives.
type Txn struct {
	ID        int
	Group     int
	Type      int
	Deadline  float64 // expiry: when the client gives up
	Session   int64
	IsRetry   bool    // the client says that it tries it again
	LastWrite float64 // when the session last wrote, where the client brings that; 0: never
	Cost      float64 // s a submission of it usually takes, where that is known better than by its type; 0: it is not
}

// Role is what a node says it is.
type Role int

const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Outcome is how a submission ended.
type Outcome int

const (
	Unknown   Outcome = iota // may have run
	Committed                // answered
	Failed                   // the node replied with an error; may have run
	TimedOut                 // no reply in time; may have run
	Broken                   // connection lost; may have run
	Cancelled                // called off; may have run
	Missed                   // never ran: no primary, or too far behind
	Full                     // never ran: turned away unseen
	NoConn                   // never ran: no connection
	Unsent                   // never ran: not sent at all
	Answered                 // ran, and was answered with an error of its own: nothing of it stays
)

// Result is what became of a submission.
type Result struct {
	Outcome    Outcome
	Latency    float64
	Ended      bool // the txn has its final answer
	ProvedType int  // one more than the txn type that it proved to be; 0: the one it came as
	Report
}

func (r Result) is(set ...Outcome) bool { return slices.Contains(set, r.Outcome) }

// Report is what a node told of itself. Absent values are zero, Load -1.
type Report struct {
	OK   bool // a probe was answered
	Role Role
	Pos  float64 // the node has applied all commits up to this time
	Load float64 // txns it holds
}

// State of a node in the member list.
type State int

const (
	On State = iota
	Draining
	Gone
)

// Member is an entry of the member list.
type Member struct {
	Node      int
	Name      string // the same at every router
	Group     int
	Zone      int
	State     State
	Primary   bool    // the list's idea of its role: late, or never updated
	StartedAt float64 // when it last started; 0: long ago
}

// ListKind says what a member list holds.
type ListKind int

const (
	ListChanges ListKind = iota
	ListAll
	ListRemembered
	ListRefused
	ListMoved // it is to be had elsewhere from now on; a watch that stands goes on there
)

// PeerReport is what a node has told to a peer: its position, and whether it was primary at that time.
type PeerReport struct {
	Node    int
	Pos     float64
	Primary bool
	Load    int // submissions of all routers that are out there
}

// Counter is counted, each with its Cause.
type Counter int

const (
	Freed        Counter = iota // probes whose answer let a txn go that could not have gone before it
	Held                        // txns that could not go when they arrived
	Declined                    // txns that were declined
	CounterCount                // how many there are
)

// Cause says why a node is probed, or why a txn waits or was declined.
type Cause int

const (
	FirstLook  Cause = iota // of a probe: a member that was never looked at
	Ordinary                // the design's ordinary interval
	InWindow                // a failover window, or no primary is known
	HeldTxn                 // a txn waits for role evidence
	ReadAsks                // a read finds no replica proven fresh enough, or the proven ones full
	SetAside                // the member is out of the read set
	ConnLost                // it refused a connection
	PeersDoubt              // peers have trouble with it
	ForAll                  // peers want to know
	Behind                  // of a txn: others of its type wait in front of it
	NoPrimary               // no member is known as primary, or it has to show that it still is
	NoProof                 // no replica is proven fresh enough
	NoRoom                  // members that could take it are full, cold or resting
	Tried                   // it was submitted before, in vain
	CauseCount              // how many there are
)

func (w Counter) String() string { return [CounterCount]string{"freed", "held", "turned"}[w] }

func (c Cause) String() string {
	return [CauseCount]string{"first_look", "ordinary", "window", "held_txn", "read_asks", "set_aside", "conn_lost",
		"peers_doubt", "for_all", "behind", "no_primary", "no_proof", "no_room", "tried"}[c]
}

// Host is what a router acts through. Closures run later, never inside the call.
type Host interface {
	Now() float64
	Submit(txn, node int, until float64, then func(Result))
	Cancel(txn int) // the submission that is out
	Decline(txn int, pause float64)
	RollBack(txn int)
	Probe(node int, why Cause, then func(Report))
	Count(what Counter, why Cause)
	RequestPeerProbes(group int) // a txn waits for its primary to show, and peers are said to look at it
	After(at float64, then func())
	CloseIdle(node int) // connections to it that are not in use
	Forget(node int)    // nothing is asked of it any more, its index may stand for another
	Watch()
	Note(text string)
}
