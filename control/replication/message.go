package replication

import "eiderway/control/quorum"

// Message is sent from one controller to another. Exactly one of the pointers is set.
//
// Messages travel as gob, which matches exported fields by name: a renamed field is lost without an error.
type Message struct {
	From    quorum.Member
	To      quorum.Incarnation // "" if the sender doesn't know it
	Epoch   quorum.Epoch       // epoch that the message belongs to
	Request uint64             // identifies a question; an answer repeats it

	Poll         *Poll
	PollAnswer   *PollAnswer
	Prepare      *Prepare
	Promise      *Promise
	Append       *Append
	AppendAnswer *AppendAnswer
	Refusal      *Refusal
	Fetch        *Fetch
	Piece        *Piece
	Join         *Join
	JoinAnswer   *JoinAnswer
	Handover     *Handover

	Beats []ForwardedHeartbeat // heartbeats of instances that a backup received; not part of the protocol, only carried with it
}

// ForwardedHeartbeat tells the primary of an instance's heartbeat that a backup received and that changes nothing recorded.
type ForwardedHeartbeat struct {
	InstanceID   string
	CallSeq      uint64
	Role         string // as reported by the instance
	WarmupLeftMs int64
}

// Poll asks, before any epoch is raised, whether the receiver would vote for the sender (a pre-vote).
type Poll struct {
	View quorum.ViewID // newest view that the sender knows
}

// PollAnswer answers a Poll.
type PollAnswer struct {
	Missing  bool         // the sender hears no primary either
	MayFound bool         // the sender knows no view and may take part in founding a core
	Promised quorum.Epoch // highest epoch that the sender has promised
	View     *quorum.View // newest view that the sender knows, if it is newer than the asker's
}

// Prepare asks for a promise for the epoch of the message.
type Prepare struct {
	View     quorum.View // newest view that the candidate knows; zero when founding
	Seeds    []string    // sorted; only when founding
	Handover bool        // the primary itself has asked the candidate to stand for election
}

// Promise answers a Prepare. Its sender accepts nothing of a lower epoch from now on.
type Promise struct {
	Accepted quorum.View
	Stamp    quorum.Stamp
}

// Append brings views and changes from the primary, or from a new primary that catches up its copies. It is also the heartbeat.
type Append struct {
	View      *quorum.View  // to be accepted, if the receiver isn't known to have accepted it
	Committed quorum.ViewID // newest committed view of the epoch; zero until there is one
	Latest    quorum.Stamp  // stamp of the newest change, committed or not
	Changes   []Change      // in order
	Snapshot  *SnapshotOffer
}

// SnapshotOffer tells a member that it is too far behind for changes and must fetch a snapshot.
type SnapshotOffer struct {
	Stamp  quorum.Stamp
	Pieces int
}

// AppendAnswer answers an Append. Synced and Accepted are on the sender's disk; Received may not be yet.
type AppendAnswer struct {
	Received quorum.Stamp
	Synced   quorum.Stamp
	Accepted quorum.ViewID
	Fetching bool // the sender is fetching a snapshot
	Leaving  bool // the sender wants to leave
}

// Refusal tells a sender that its epoch is over, or that its candidacy is not supported, and what is newer.
type Refusal struct {
	Promised quorum.Epoch
	View     *quorum.View
}

// Fetch asks for one piece of a snapshot.
type Fetch struct {
	Stamp quorum.Stamp
	Index int
}

// Piece answers a Fetch. If the requested snapshot is gone, it is the first piece of a newer one.
type Piece struct {
	Stamp quorum.Stamp
	Index int
	Total int
	Bytes []byte
}

// Join asks the primary to catch the sender up and make it a member.
type Join struct{}

// JoinAnswer answers a Join of a controller that the sender doesn't catch up: it isn't the primary, or the core is full.
type JoinAnswer struct {
	View    *quorum.View // newest view known; nil: none
	Primary *quorum.Member
	Full    bool // the primary has enough members; ask again later, since one may be lost
}

// Handover asks a copy that is up to date to stand for election at once.
type Handover struct {
	Stamp quorum.Stamp
}
