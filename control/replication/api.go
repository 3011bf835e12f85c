package replication

import (
	"time"

	"eiderway/control/quorum"
)

// Mutation sets or deletes one entry of the control state.
type Mutation struct {
	Key    string
	Value  []byte
	Delete bool
}

// Change is one step of the control state. Copies apply it without understanding it.
type Change struct {
	Stamp     quorum.Stamp
	Previous  quorum.Stamp // the state that it applies to
	Mutations []Mutation
}

// DurableState is what a controller reads from its disk when it starts. Settings.Self may leave the incarnation out.
type DurableState struct {
	Incarnation quorum.Incarnation
	Voter       quorum.VoterRecord
	Stamp       quorum.Stamp
	Entries     map[string][]byte
}

// Timing holds the intervals of the protocol. Safety rests on none of them.
type Timing struct {
	Heartbeat      time.Duration // between words of the primary
	ElectionAfter  time.Duration // silence of the primary after which a copy stands for election
	ElectionStep   time.Duration // added for each place in the order of the voters
	CopyLostAfter  time.Duration // silence or unsynced change after which the primary takes a copy out of the view
	VoterLostAfter time.Duration // silence after which a voter beyond the least number is voted out
	ReplaceAfter   time.Duration // silence after which a voter gives way to a new member that waits
	OwnDiskAfter   time.Duration // unfinished write after which a primary falls silent so that another takes over
	JoinRetry      time.Duration // between attempts to join
}

// Settings of one node.
type Settings struct {
	Self       quorum.Member
	Tolerance  int      // members that may be lost at once; a change needs one copy more
	FirstStart bool     // the whole system starts for the first time
	Seeds      []string // addresses (as in quorum.Member.Address) of the controllers named in the settings file
	Timing     Timing
	Random     uint64 // seed of what little chance the node uses
}

// Input is one thing that happens to a node.
type Input interface{ input() }

type (
	// Tick lets time pass. The host steps the node with it every few tens of milliseconds.
	Tick struct{}
	// Received is a message of another node.
	Received struct{ Message Message }
	// Persisted tells that the write with this number, and all before it, are safe on disk.
	Persisted struct{ Write uint64 }
	// DiskFailed tells that the disk refused the write. The node steps down, and the write is handed out again later.
	DiskFailed struct{ Write uint64 }
	// Propose asks the primary to make a change. One may be under way at a time; see Node.MayPropose.
	Propose struct {
		Request   uint64
		Mutations []Mutation
	}
	// Confirm asks whether this node is still the primary, by the word of a majority that was heard after the question.
	Confirm struct{ Request uint64 }
	// Leave hands the primacy over and leaves the copies, before the process ends.
	Leave struct{}
	// SeedsChanged replaces the seeds.
	SeedsChanged struct{ Seeds []string }
	// RestoredStateMarked: what must be doubted in a state that was brought back from a dump is marked, and that is agreed.
	RestoredStateMarked struct{}
)

func (Tick) input()                {}
func (Received) input()            {}
func (Persisted) input()           {}
func (DiskFailed) input()          {}
func (Propose) input()             {}
func (Confirm) input()             {}
func (Leave) input()               {}
func (SeedsChanged) input()        {}
func (RestoredStateMarked) input() {}

// Outcome of a request.
type Outcome int

const (
	// Done: the change is committed, or the primacy is confirmed.
	Done Outcome = iota
	// NotPrimary: nothing was done, and nothing will be.
	NotPrimary
	// Unknown: the node lost the primacy, or couldn't reach enough others; the change may or may not last.
	Unknown
)

// Decision ends a Propose or a Confirm.
type Decision struct {
	Request uint64
	Outcome Outcome
}

// Write is one thing to put on disk. Writes are carried out in the order of their numbers; several may share a sync.
type Write struct {
	Number    uint64
	Voter     *quorum.VoterRecord // nil: unchanged
	Replace   bool                // the entries on disk are dropped first (a snapshot is installed)
	Mutations []Mutation
	Stamp     *quorum.Stamp // nil: unchanged
}

// Envelope is a message on its way out. It must not leave before the write After (0: none) is safe on disk.
type Envelope struct {
	To      string // address, as in quorum.Member.Address
	After   uint64
	Message Message
}

// Event is a change worth a line in the log.
type Event struct {
	What string // such as "primary", "view committed", "joined", "stepped down"
	Text string
}

// Effects is what the host must do after a step, in this order: writes, sends, decisions, events.
type Effects struct {
	Writes    []Write
	Send      []Envelope
	Decisions []Decision
	Events    []Event
}

// Role of a node.
type Role int

const (
	// Outsider: not (yet) a member of the core.
	Outsider Role = iota
	// Backup: a member that is not primary.
	Backup
	// Primary: leads a committed view. Only Confirm says whether it still does.
	Primary
)

// The node itself is in node.go:
//
//	func NewNode(now time.Duration, settings Settings, durable DurableState) *Node
//	func (n *Node) Step(now time.Duration, input Input) Effects
//	func (n *Node) Role() Role
//	func (n *Node) View() quorum.View            newest view known here; its primary is where callers are sent
//	func (n *Node) PrimaryMember() (quorum.Member, bool)
//	func (n *Node) Epoch() quorum.Epoch          of the view that this node leads (only meaningful as Primary)
//	func (n *Node) Stamp() quorum.Stamp          of the last change that was committed or, at a backup, synced
//	func (n *Node) MayPropose() bool             Primary, and no change under way
//	func (n *Node) Entry(key string) ([]byte, bool)              of the committed state (Primary)
//	func (n *Node) Entries(prefix string) []Mutation             sorted by key
//	func (n *Node) HasLeft() bool                after Leave: primacy handed over, safe to end
//
// The messages are in message.go: a struct Message with a typed header (From quorum.Member, To incarnation or "",
// Epoch) and one pointer field for each kind, all exported, so that encoding/gob carries it.
