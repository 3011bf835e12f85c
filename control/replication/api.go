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

// Change is one step of the control state. Copies apply it without interpreting its entries.
type Change struct {
	Stamp     quorum.Stamp
	Previous  quorum.Stamp // stamp of the state that it applies to
	Mutations []Mutation
}

// DurableState is what a controller reads from its disk when it starts. Its incarnation is used where Settings.Self has none.
type DurableState struct {
	Incarnation quorum.Incarnation
	Voter       quorum.VoterRecord
	Stamp       quorum.Stamp
	Entries     map[string][]byte
}

// Timing holds the intervals and timeouts of the protocol. Safety depends on none of them.
type Timing struct {
	Heartbeat      time.Duration // between two rounds of the primary
	ElectionAfter  time.Duration // silence of the primary after which a copy stands for election
	ElectionStep   time.Duration // added for each voter that stands earlier in the order of the voters
	CopyLostAfter  time.Duration // silence, or time with an unsynced change, after which the primary takes a copy out of the view
	VoterLostAfter time.Duration // silence after which a voter beyond the minimum is voted out
	ReplaceAfter   time.Duration // silence after which a voter is replaced by a new member that waits
	OwnDiskAfter   time.Duration // duration of a write after which a primary steps down so that another takes over
	JoinRetry      time.Duration // between two attempts to join
}

// Settings configures one node.
type Settings struct {
	Self       quorum.Member
	Tolerance  int      // members that may be lost at once; a change needs one more copy than that
	FirstStart bool     // the whole system starts for the first time
	Seeds      []string // addresses (as in quorum.Member.Address) of the controllers named in the settings file
	Timing     Timing
	Random     uint64 // seed of the random choices of the node
}

// Input is one event that a node is stepped with.
type Input interface{ input() }

type (
	// Tick lets time pass. The host steps the node with it every few tens of milliseconds.
	Tick struct{}
	// Received delivers a message of another node.
	Received struct{ Message Message }
	// Persisted reports that the write with this number and all earlier ones are synced to disk.
	Persisted struct{ Write uint64 }
	// DiskFailed reports that the write failed. A primary steps down, and the node later writes its whole state again.
	DiskFailed struct{ Write uint64 }
	// Propose asks the primary to make a change. Only one change may be in progress at a time; see Node.MayPropose.
	Propose struct {
		Request   uint64
		Mutations []Mutation
	}
	// Confirm asks whether this node is still the primary, proved by answers of a majority to a message sent after the request.
	Confirm struct{ Request uint64 }
	// Leave hands over the primacy and takes the node out of the copies before the process ends.
	Leave struct{}
	// SeedsChanged replaces the addresses of the seeds.
	SeedsChanged struct{ Seeds []string }
	// RestoredStateMarked reports that everything in a state restored from a dump that may be out of date has been marked so,
	// and that this change is committed.
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

// Outcome is the result of a request.
type Outcome int

const (
	// Done means that the change is committed, or the primacy is confirmed.
	Done Outcome = iota
	// NotPrimary means that the request has no effect, now or later.
	NotPrimary
	// Unknown means that the node lost the primacy or could not reach enough others. The change may or may not survive.
	Unknown
)

// Decision is the answer to a Propose or a Confirm.
type Decision struct {
	Request uint64
	Outcome Outcome
}

// Write is one write to the disk. Writes are carried out in the order of their numbers; several may share one sync.
type Write struct {
	Number    uint64
	Voter     *quorum.VoterRecord // nil: unchanged
	Replace   bool                // the entries on disk are deleted first, as when a snapshot is installed
	Mutations []Mutation
	Stamp     *quorum.Stamp // nil: unchanged
}

// Envelope is an outgoing message. It must not be sent before the write After (0: none) is synced to disk.
type Envelope struct {
	To      string // address, as in quorum.Member.Address
	After   uint64
	Message Message
}

// Event is a line for the log.
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

// Role is the role of a node in the core.
type Role int

const (
	// NonMember is not a voter, or not yet.
	NonMember Role = iota
	// Backup is a voter that is not the primary.
	Backup
	// Primary leads a committed view. Only Confirm proves that no other node has taken over since.
	Primary
)
