// Package feed holds what gateways and controllers say to each other: the table that gateways work by, and the lease
// under which they may use it.
package feed

import (
	"time"

	"eiderway/control/quorum"
	"eiderway/control/quota"
)

// Version orders tables. Tables of a later epoch are newer.
type Version struct {
	Epoch    quorum.Epoch
	Sequence uint64
}

// Less tells whether a comes before b.
func (a Version) Less(b Version) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	return a.Sequence < b.Sequence
}

// Instance is a database server.
type Instance struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
}

// Leader is the primary of a service as the control state has it.
type Leader struct {
	InstanceID string // "": none known
	Term       uint64
}

// Service is what a gateway needs to know of one service.
type Service struct {
	Name      string
	Leader    Leader
	Frozen    bool // no statement may be started at the leader: it is being replaced
	Instances []Instance
}

// InstanceReport tells the controller what a gateway met at an instance since its last question.
type InstanceReport struct {
	InstanceID string
	Answers    int // statements answered
	Failures   int // connections refused, broken or silent, and statements that timed out
	ReadOnly   int // writes refused because the instance does not lead
}

// WatchRequest asks for news. It is answered when there is a newer table or when the wait is over.
type WatchRequest struct {
	Gateway       string // name and a random word of this process
	Name          string
	Applied       Version // the table the gateway works by now; it acknowledges a freeze with it
	Digest        uint64  // of that table's services
	Configuration int64   // the number of the configuration that the gateway holds
	Wait          time.Duration
	Reports       []InstanceReport
	Leaving       bool // the gateway has stopped: no lease is wanted, none is counted
	// Operations asks the primary for operations of tenants. Such a question asks for nothing else, is answered at once, and gets no lease.
	Operations *quota.Request
	Relay      bool // the gateway can't reach the primary: a controller that isn't primary is to ask it, and pass its answer on
}

// WatchAnswer is valid from the moment the request was sent, by the gateway's steady clock.
type WatchAnswer struct {
	NotPrimary bool          // ask Primary instead, if it is there
	Primary    quorum.Member // as far as known
	Members    []quorum.Member
	Table      *Table        // nil: Applied is the newest
	Lease      time.Duration // 0: none. Counted from the sending of the request
	Drains     []DrainLimit  // of all instances that drain by the newest table
	Operations *quota.Answer // to a question for operations
}
