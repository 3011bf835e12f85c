package replication

import "eiderway/control/quorum"

// Message is what controllers say to each other. Exactly one of the pointers is set.
type Message struct {
	From    quorum.Member
	To      quorum.Incarnation // "" when the sender doesn't know it
	Epoch   quorum.Epoch       // in which the sender speaks
	Request uint64             // names a question; an answer repeats it

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

	Beats []ForwardedHeartbeat // plain heartbeats that a backup took; not of the protocol, carried beside it
}

// ForwardedHeartbeat tells the primary of a heartbeat that a backup took, which said nothing that isn't recorded of the instance.
type ForwardedHeartbeat struct {
	InstanceID   string
	CallSeq      uint64
	Role         string // as the instance says it
	WarmupLeftMs int64
}

// Poll asks whether a candidacy would be welcome, before any epoch is raised.
type Poll struct {
	View quorum.ViewID // newest that the sender knows
}

// PollAnswer answers a Poll.
type PollAnswer struct {
	Missing  bool         // the sender misses a primary too
	MayFound bool         // the sender knows no view and may take part in founding a core
	Promised quorum.Epoch // highest that the sender has promised
	View     *quorum.View // newest that the sender knows, where it is newer than the asker's
}

// Prepare asks for the promise of the message's epoch.
type Prepare struct {
	View     quorum.View // newest that the candidate knows; zero: it founds
	Seeds    []string    // sorted; only with founding
	Handover bool        // the primary itself has asked the candidate to stand
}

// Promise answers a Prepare: nothing of a lower epoch is taken from now on.
type Promise struct {
	Accepted quorum.View
	Stamp    quorum.Stamp
}

// Append is the word of a primary, or of a candidate that brings up copies. It is also the heartbeat.
type Append struct {
	View      *quorum.View  // to be accepted, where the receiver isn't known to have done so
	Committed quorum.ViewID // newest view known to be committed; zero while the sender is a candidate
	Latest    quorum.Stamp  // of the newest change that was handed out
	Changes   []Change      // in order
	Snapshot  *SnapshotOffer
}

// SnapshotOffer tells a member that it is too far behind for changes.
type SnapshotOffer struct {
	Stamp  quorum.Stamp
	Pieces int
}

// AppendAnswer answers an Append. Synced and Accepted are safe on the sender's disk.
type AppendAnswer struct {
	Received quorum.Stamp
	Synced   quorum.Stamp
	Accepted quorum.ViewID
	Fetching bool // a snapshot is being fetched
	Leaving  bool // the sender wants to leave
}

// Refusal tells a sender that its epoch is over, and what is newer.
type Refusal struct {
	Promised quorum.Epoch
	View     *quorum.View
}

// Fetch asks for one piece of a snapshot.
type Fetch struct {
	Stamp quorum.Stamp
	Index int
}

// Piece answers a Fetch. Where the snapshot asked for is gone, it is the first piece of a newer one.
type Piece struct {
	Stamp quorum.Stamp
	Index int
	Total int
	Bytes []byte
}

// Join asks to be brought up as a member.
type Join struct{}

// JoinAnswer is what a member that isn't primary answers to Join.
type JoinAnswer struct {
	View    *quorum.View // newest known; nil: none
	Primary *quorum.Member
	Full    bool // the primary says that the core has as many members as it wants: ask again later, another may be lost
}

// Handover asks a copy that is up to date to stand for election at once.
type Handover struct {
	Stamp quorum.Stamp
}
