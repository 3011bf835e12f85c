package testinstance

import (
	"slices"
	"time"
)

// Journal is what the instances of a service did, in the order in which they did it.
type Journal struct {
	Promotes []Promote
	Ran      []Ran
}

// Promote is the beginning of a term.
type Promote struct {
	Instance string
	Term     uint64
	At       time.Time
	Log      Log // with which the instance began to lead
}

// Ran is a read, or a commit of a write, that a client's statement had an instance run.
type Ran struct {
	ID       string // of the client's statement
	Text     string
	Instance string
	Term     uint64 // of the instance
	Stamp    string
	Rows     []string
	Log      Log // after it
	Wrote    bool
	At       time.Time
}

// Journal returns what was written down until now.
func (s *Service) Journal() Journal {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Journal{Promotes: slices.Clone(s.journal.Promotes), Ran: slices.Clone(s.journal.Ran)}
}
