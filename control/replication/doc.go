// Package replication replicates the control state of the system to several controllers, so that an acknowledged change
// survives the loss of as many controllers as the settings tolerate.
//
// A primary makes every change and acknowledges it once every copy of the primary's view has it on disk. Voters elect the
// primary: a candidate needs the promises of a majority of the voters of the newest view that any of them has accepted,
// and the state of one copy of that view. There is no log that a majority agrees on: a new primary brings a whole state to
// the others, and changes are kept only to catch up members that are a little behind.
//
// Terms:
//
//	core      the voters of the newest committed view
//	voter     a member that counts for majorities
//	copy      a voter that must have a change on disk before it is acknowledged
//	learner   a controller without a vote that the primary keeps up to date
//	standby   a controller that the primary has told that the core is full
//	round     one message of the primary to all of its followers; answers carry its number
//	restamp   the change without mutations with which a new primary moves the state to its own epoch
//	founding  the start of a new system: the first view is agreed by a majority of the seeds
//
// A Node is a pure state machine. The host steps it with what happens and carries out the effects: it writes in order and
// holds back each message until the write that the message depends on is on disk. The files:
//
//	node.go        inputs, dispatch of messages, and queries of the host
//	disk.go        writes, and which of them are known to be synced
//	history.go     the state and the most recent changes that led to it
//	election.go    when to stand for election, and how to win; candidacy.go: state of a candidate; vote.go: the voters' side
//	founding.go    election of the first primary of a new system
//	primary.go     work of a primary; leadership.go and follower.go: its state
//	sending.go     messages of a primary; commit.go: when a change is committed; confirm.go: proof that it is still primary
//	views.go       changes of the view; members.go: who becomes or stays a copy or voter
//	backup.go      following a primary; snapshot.go: transfer of a whole state in pieces
//	joining.go     becoming a member; leaving.go: handing over and leaving before the process ends
//
// Safety rests only on promises and majorities, never on a clock. Timeouts only decide when a node tries something.
package replication
