// Package replication keeps the control state of the system on several controllers, so that what was acknowledged
// outlives the loss of as many of them as the settings say.
//
// A primary makes each change; it is acknowledged when every copy of the primary's view has it on disk. Voters decide who
// is primary: a candidate needs the promises of a majority of the voters of the newest view that any of them has
// accepted, and the state of one copy of that view. There is no log that a majority agrees on: what a new primary brings
// to the others is a whole state, and changes are kept only to bring on members that are a little behind.
//
// A Node is a pure state machine. The host steps it with what happens and carries out the effects: it writes in order,
// and lets no message leave before the write that the message speaks of is on disk. By concern:
//
//	node.go        what comes in, and what callers may ask
//	disk.go        which writes are known to be safe
//	history.go     the state, and the changes that led to it
//	election.go    when to stand, and how to win; candidacy.go: what a candidate knows; vote.go: the voters' side
//	founding.go    the first view
//	primary.go     a term of office; leadership.go and follower.go: what is known in it
//	sending.go     what goes to whom; commit.go: when a change is committed; confirm.go: who is still the primary
//	views.go       changing the view; members.go: who is to be copy or voter
//	backup.go      following a primary; snapshot.go: a whole state in pieces
//	joining.go     becoming a member; leaving.go: ending
//
// Safety rests on promises and majorities only, never on a clock. Times decide when a node tries something.
package replication
