package splitter

import "slices"

// Need says how fresh the data under a txn must be.
type Need int

const (
	NeedAny     Need = iota // any member of the group serves it
	NeedBounded             // data no older than TxnType.Bound when submitted
	NeedSession             // must see all that the session has written
	NeedCurrent             // must see all that was committed before the txn arrived
	NeedPrimary             // a write: only the primary accepts it
)

// Effect says what a second run of a txn would do.
type Effect int

const (
	Repeatable Effect = iota // nothing: it may run any number of times
	Referenced               // nothing within TxnType.Window: nodes in its Scope drop a repeat
	OnceOnly                 // it would take effect twice
)

// Scope is the set of nodes that drops the repeats of a referenced txn.
type Scope int

const (
	ScopeGroup Scope = iota
	ScopeZone
	ScopeAll
)

// TxnType describes one type of txn, as known at start. Times are in seconds.
type TxnType struct {
	Need      Need
	Bound     float64
	Effect    Effect
	Scope     Scope
	Window    float64 // repeats are dropped for this long after the first submission that may have run
	SLA       float64 // an answer within this time has its full value
	Value     float64
	LateValue float64 // share of Value left after the SLA time
}

// Terms configure a router. Times are in seconds.
type Terms struct {
	Seed                int64
	Self, Routers       int
	Zone                int
	Types               []TxnType
	NodesCheckFreshness bool // nodes reject a read that they are too far behind for
	TrackSessions       bool // the router remembers the commits of sessions
	ProbeRoles          bool // probes are allowed and report role and position
	CanProbe            bool
	CanCancel           bool
	WatchList           bool    // the member list comes only after Host.Watch
	OnlyDrainExcludes   bool    // a node that left the list without a drain may still be used
	ConnectTimeout      float64 // an attempt to connect fails after this
	IdleTimeout         float64 // a connection unused for this long is closed
	MaxSubmissions      int     // maximum per txn
	MaxPause            float64 // maximum pause that clients respect after a decline; 0: none
	ColdFrom            float64 // share of its capacity that a node starts with
	WarmAfter           float64
	Overload            float64 // a cold node fails when sent this multiple of its capacity
	OverloadOutage      float64 // for this long
}

// Txn is a txn as it arrives.
type Txn struct {
	ID        int
	Group     int
	Type      int
	Deadline  float64 // when the client gives up
	Session   int64
	IsRetry   bool    // the client marks it as a retry
	LastWrite float64 // when the session last wrote, if the client sends that; 0: never
	Cost      float64 // s that a submission usually takes, if known better than by its type; 0: unknown
}

// Role is the role that a node reports.
type Role int

const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Outcome is how a submission ended.
type Outcome int

const (
	Unknown   Outcome = iota // no information; may have run
	Committed                // answered with success
	Failed                   // the node replied with an error; may have run
	TimedOut                 // no reply in time; may have run
	Broken                   // connection lost; may have run
	Cancelled                // cancelled by the router; may have run
	Missed                   // never ran: the node is not primary, or too far behind
	Full                     // never ran: the node rejected it for lack of room
	NoConn                   // never ran: no connection
	Unsent                   // never ran: not sent at all
	Answered                 // ran and ended in an error of the txn itself; it has no effect
)

// Result tells how a submission ended.
type Result struct {
	Outcome    Outcome
	Latency    float64
	Ended      bool // the txn has its final answer
	ProvedType int  // 1 + the txn type that it proved to be; 0: the type it arrived with
	Report
}

func (r Result) is(set ...Outcome) bool { return slices.Contains(set, r.Outcome) }

// Report is what a node reports of itself. Missing values are zero, a missing Load is -1.
type Report struct {
	OK   bool // the probe was answered
	Role Role
	Pos  float64 // the node has applied all commits up to this time
	Load float64 // number of txns it holds
}

// State is the state of a node in the member list.
type State int

const (
	On State = iota
	Draining
	Gone
)

// Member is an entry in the member list.
type Member struct {
	Node      int
	Name      string // the same at every router
	Group     int
	Zone      int
	State     State
	Primary   bool    // whether the list calls it primary: late, or never updated
	StartedAt float64 // when it last started; 0: long ago
}

// ListKind says what a member list contains.
type ListKind int

const (
	ListChanges    ListKind = iota // only the members that changed
	ListAll                        // all members
	ListRemembered                 // all members, from an earlier time
	ListRefused                    // nothing: the watch was refused
	ListMoved                      // nothing: the list is served elsewhere from now on, and a watch continues there
)

// PeerReport is what a node has told a peer: its position, and whether it was primary at that time.
type PeerReport struct {
	Node    int
	Pos     float64
	Primary bool
	Load    int // submissions of all routers in flight there
}

// Counter names something that is counted by Cause.
type Counter int

const (
	Freed        Counter = iota // probes whose answer let at least one txn be submitted
	Held                        // txns that could not be submitted when they arrived
	Declined                    // txns that were declined
	CounterCount                // how many there are
)

// Cause says why a node is probed, or why a txn waits or was declined.
type Cause int

const (
	FirstLook  Cause = iota // of a probe: the member was never probed
	Ordinary                // the ordinary interval has passed
	InWindow                // a failover window, or no primary is known
	HeldTxn                 // a txn waits for a member to prove its role
	ReadAsks                // a read finds no replica that is proven fresh enough and has room
	SetAside                // the member is out of the read set
	ConnLost                // it refused a connection
	PeersDoubt              // peers report trouble with it
	ForAll                  // peers want to know its state
	Behind                  // of a txn: others of its type wait ahead of it
	NoPrimary               // no primary is known, or it must prove that it still is primary
	NoProof                 // no replica is proven fresh enough
	NoRoom                  // members that could take it are full, cold or resting
	Tried                   // it was submitted before, without success
	CauseCount              // how many there are
)

func (w Counter) String() string { return [CounterCount]string{"freed", "held", "turned"}[w] }

func (c Cause) String() string {
	return [CauseCount]string{"first_look", "ordinary", "window", "held_txn", "read_asks", "set_aside", "conn_lost",
		"peers_doubt", "for_all", "behind", "no_primary", "no_proof", "no_room", "tried"}[c]
}

// Host carries out what a router decides. It calls the closures later, never inside the call.
type Host interface {
	Now() float64
	Submit(txn, node int, until float64, then func(Result))
	Cancel(txn int) // its submission in flight
	Decline(txn int, pause float64)
	RollBack(txn int)
	Probe(node int, why Cause, then func(Report))
	Count(what Counter, why Cause)
	RequestPeerProbes(group int) // a txn waits for its primary, and peers are expected to probe the group
	After(at float64, then func())
	CloseIdle(node int) // unused connections to it
	Forget(node int)    // the router no longer uses it; its index may be reused
	Watch()             // asks for the member list and its changes
	Note(text string)
}
