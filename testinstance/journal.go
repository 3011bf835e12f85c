package testinstance

import (
	"slices"
	"time"
)

// Journal records what the instances of a service did. Each list is in the order of the events.
type Journal struct {
	Promotions []Promotion
	Executions []Execution
	Departures []Departure
	Connected  []Connected
}

// Connected is a connection that an instance has accepted.
type Connected struct {
	User     string // from CONNECT: the tenant for whom the caller runs statements, if there is one
	Instance string
	At       time.Time
}

// Departure is the first time that a controller acknowledged that an instance drains or leaves.
type Departure struct {
	Instance string
	At       time.Time
}

// Promotion is the beginning of a term under a new primary.
type Promotion struct {
	Instance string
	Term     uint64
	At       time.Time
	Log      Log // the instance's log when it became the primary
}

// Execution is a statement of a client that an instance ran: a read, a write or a commit.
type Execution struct {
	ID       string // of the client's statement
	Text     string
	Instance string
	Term     uint64 // of the instance
	Stamp    string
	Rows     []string
	Log      Log // after the execution
	Wrote    bool
	Caller   string // the calling process, from Settings.CallerOf or else from CONNECT
	User     string // from CONNECT
	First    bool   // whether it is a single statement, or the first read or write of a transaction
	At       time.Time
}

// Journal returns a copy of what was recorded so far.
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

// recordDeparture records that a controller has acknowledged that the instance drains or leaves.
func (i *Instance) recordDeparture() {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	known := slices.ContainsFunc(i.service.journal.Departures, func(one Departure) bool { return one.Instance == i.id })
	if !known {
		i.service.journal.Departures = append(i.service.journal.Departures, Departure{Instance: i.id, At: time.Now()})
	}
}
