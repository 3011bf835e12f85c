// Package quorum defines the terms in which controllers agree on the control state: epochs, views, members and majorities.
//
// A primary replicates the control state to the copies of its view. A view names its epoch, its primary, the copies and the
// voters. Voters keep two things on disk: the highest epoch they have promised, and the newest view they have accepted. A
// view is committed when a majority of its own voters has accepted it. Two consecutive views differ by at most one voter, so
// their majorities overlap.
//
// The package has only plain data and pure functions.
package quorum

import "fmt"

// Incarnation is the random identity that a controller writes to its disk at its first start. A controller that lost its disk
// returns as another incarnation.
type Incarnation string

// Epoch numbers the terms of the primaries. Zero is before the first.
type Epoch uint64

// Member describes a controller to the others.
type Member struct {
	Incarnation Incarnation
	Name        string // of the machine, for logs and to identify the holder of the duty
	Address     string // host:port for connections between processes of the system
	Control     string // host:port that callers of the control plane use
	Zone        string
}

// ViewID orders views by epoch, then by revision. The primary of an epoch numbers its views from 0.
type ViewID struct {
	Epoch    Epoch
	Revision uint64
}

// Less reports whether a comes before b.
func (a ViewID) Less(b ViewID) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	return a.Revision < b.Revision
}

func (a ViewID) String() string { return fmt.Sprintf("%d.%d", a.Epoch, a.Revision) }

// View names the members that hold the control state and those that decide about it.
type View struct {
	ID      ViewID
	Primary Incarnation
	Copies  []Incarnation // hold every acknowledged change; a subset of the voters that includes the primary
	Voters  []Member      // sorted by incarnation
}

// Voter returns the voter with this incarnation, if the view has one.
func (v View) Voter(incarnation Incarnation) (Member, bool) {
	for _, member := range v.Voters {
		if member.Incarnation == incarnation {
			return member, true
		}
	}
	return Member{}, false
}

// HasCopy reports whether the incarnation is a copy of the view.
func (v View) HasCopy(incarnation Incarnation) bool {
	for _, other := range v.Copies {
		if other == incarnation {
			return true
		}
	}
	return false
}

// Majority returns the number of voters that form a majority.
func (v View) Majority() int { return len(v.Voters)/2 + 1 }

// IsMajority reports whether the voters for which holds returns true are a majority of the voters of the view.
func (v View) IsMajority(holds func(Incarnation) bool) bool {
	count := 0
	for _, member := range v.Voters {
		if holds(member.Incarnation) {
			count++
		}
	}
	return len(v.Voters) > 0 && count >= v.Majority()
}

// Stamp is a position in the history of the control state. Two copies with the same stamp hold the same state.
type Stamp struct {
	Epoch    Epoch // of the primary that made the change
	Sequence uint64
}

// Less reports whether a comes before b.
func (a Stamp) Less(b Stamp) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	return a.Sequence < b.Sequence
}

func (a Stamp) String() string { return fmt.Sprintf("%d.%d", a.Epoch, a.Sequence) }

// VoterRecord is what a voter must keep on disk: losing it could break an agreement.
type VoterRecord struct {
	Promised Epoch
	Accepted View // ID zero: none yet
	MayFound bool // the process was started with firstStart and an empty disk, so it may take part in founding a core
	Restored bool // the state was restored from a dump, and no later agreed change has been added to it
	Heard    View // newest view that a controller without a vote has heard of; only used to find members after a restart
}
