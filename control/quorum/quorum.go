// Package quorum holds the vocabulary of the control plane's agreement: epochs, views, members and majorities.
//
// The control state is replicated by a primary to the copies of its view. A view names its epoch, its primary, the
// copies and the voters. Voters keep two things on disk: the highest epoch they have promised, and the newest view
// they have accepted. A view is committed when a majority of its own voters has accepted it. Two views that follow one
// another differ by one voter at most, so their majorities meet.
//
// Everything here is plain data and pure functions.
package quorum

import "fmt"

// Incarnation is the random identity that a controller writes to its disk at its first start. A controller that lost
// its disk comes back as another incarnation.
type Incarnation string

// Epoch numbers the terms of office of primaries of the control state. Zero is before the first.
type Epoch uint64

// Member is a controller as others know it.
type Member struct {
	Incarnation Incarnation
	Name        string // of the machine, for logs and the duty's holder
	Address     string // host:port for talk between processes of the system
	Control     string // host:port that callers of the control plane use
	Zone        string
}

// ViewID orders views: by epoch, then by revision. The primary of an epoch numbers its views from 0 on.
type ViewID struct {
	Epoch    Epoch
	Revision uint64
}

// Less tells whether a comes before b.
func (a ViewID) Less(b ViewID) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	return a.Revision < b.Revision
}

func (a ViewID) String() string { return fmt.Sprintf("%d.%d", a.Epoch, a.Revision) }

// View says who holds and who decides about the control state.
type View struct {
	ID      ViewID
	Primary Incarnation
	Copies  []Incarnation // hold every acknowledged change; a subset of the voters; the primary is one of them
	Voters  []Member      // sorted by incarnation
}

// Voter returns the member with this incarnation, if it votes in the view.
func (v View) Voter(incarnation Incarnation) (Member, bool) {
	for _, member := range v.Voters {
		if member.Incarnation == incarnation {
			return member, true
		}
	}
	return Member{}, false
}

// HasCopy tells whether the incarnation is a copy of the view.
func (v View) HasCopy(incarnation Incarnation) bool {
	for _, copyOf := range v.Copies {
		if copyOf == incarnation {
			return true
		}
	}
	return false
}

// Majority is the number of voters that decide.
func (v View) Majority() int { return len(v.Voters)/2 + 1 }

// IsMajority tells whether the voters for which holds returns true are a majority of the view's voters.
func (v View) IsMajority(holds func(Incarnation) bool) bool {
	count := 0
	for _, member := range v.Voters {
		if holds(member.Incarnation) {
			count++
		}
	}
	return len(v.Voters) > 0 && count >= v.Majority()
}

// Stamp is a place in the history of the control state. Two copies with the same stamp hold the same state.
type Stamp struct {
	Epoch    Epoch // of the primary that made the change
	Sequence uint64
}

// Less tells whether a comes before b.
func (a Stamp) Less(b Stamp) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	return a.Sequence < b.Sequence
}

func (a Stamp) String() string { return fmt.Sprintf("%d.%d", a.Epoch, a.Sequence) }

// VoterRecord is what a voter must never forget.
type VoterRecord struct {
	Promised Epoch
	Accepted View // ID zero: none yet
	MayFound bool // the process was started with firstStart and an empty disk, so it may take part in founding a core
	Restored bool // the state was brought back from a dump, and nothing that was agreed since has been added to it
	Heard    View // newest view that a controller without a vote was told of: whom to ask after a start, no more than that
}
