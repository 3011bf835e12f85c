package testinstance

import (
	"slices"
	"time"
)

// Journal is what the instances of a service did, in the order in which they did it.
type Journal struct {
	Promotions []Promotion
	Executions []Execution
	Departures []Departure
	Connected  []Connected
}

// Connected is a connection that an instance has accepted.
type Connected struct {
	User     string // as the caller named itself: the tenant for whom it runs statements, if there is one
	Instance string
	At       time.Time
}

// Departure is the first acknowledgement of an instance's word that it drains or leaves.
type Departure struct {
	Instance string
	At       time.Time
}

// Promotion is the beginning of a term.
type Promotion struct {
	Instance string
	Term     uint64
	At       time.Time
	Log      Log // with which the instance began to lead
}

// Execution is a read, or a commit of a write, that a client's statement had an instance run.
type Execution struct {
	ID       string // of the client's statement
	Text     string
	Instance string
	Term     uint64 // of the instance
	Stamp    string
	Rows     []string
	Log      Log // after it
	Wrote    bool
	Caller   string // the process, as Settings.CallerOf or else the caller itself names it
	User     string // as the caller named itself when it connected
	First    bool   // a single statement, or the first read or write of a transaction
	At       time.Time
}

// Journal returns what was written down until now.
func (s *Service) Journal() Journal {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Journal{
		Promotions: slices.Clone(s.journal.Promotions),
		Executions: slices.Clone(s.journal.Executions),
		Departures: slices.Clone(s.journal.Departures),
		Connected:  slices.Clone(s.journal.Connected),
	}
}

// departs writes down that a controller has acknowledged that the instance drains or leaves.
func (i *Instance) departs() {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	known := slices.ContainsFunc(i.service.journal.Departures, func(one Departure) bool { return one.Instance == i.id })
	if !known {
		i.service.journal.Departures = append(i.service.journal.Departures, Departure{Instance: i.id, At: time.Now()})
	}
}
