// Package feed defines the messages between gateways and controllers: the table that gateways route by, and the lease
// under which they may use it.
package feed

import (
	"time"

	"eiderway/control/quorum"
	"eiderway/control/quota"
)

// Version orders tables: by epoch first, then by sequence.
type Version struct {
	Epoch    quorum.Epoch
	Sequence uint64
}

// Less tells whether a is older than b.
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

// Leader is the primary of a service as recorded in the control state.
type Leader struct {
	InstanceID string // "": unknown
	Term       uint64
}

// Service is what a gateway needs to know of one service.
type Service struct {
	Name      string
	Leader    Leader
	Frozen    bool // no statement may be started at the leader: it is being replaced
	Instances []Instance
}

// InstanceReport tells the controller what a gateway observed at an instance since its last request.
type InstanceReport struct {
	InstanceID string
	Answers    int // statements answered
	Failures   int // connections refused, broken or silent, and statements that timed out
	ReadOnly   int // writes refused because the instance does not lead
}

// WatchRequest asks for changes. It is answered when there is a newer table, or after Wait.
type WatchRequest struct {
	Gateway       string // name and a random part for this process
	Name          string
	Applied       Version // the table in use at the gateway; by it the gateway acknowledges a freeze
	Digest        uint64  // of that table's services
	Configuration int64   // the number of the gateway's configuration
	Wait          time.Duration
	Reports       []InstanceReport
	Leaving       bool // the gateway has stopped: it wants no lease, and its earlier one no longer counts
	// Operations asks the primary for operations of tenants. Such a request asks for nothing else, is answered at once, and gets no lease.
	Operations *quota.Request
	Relay      bool // the gateway can't reach the primary: a controller that isn't primary forwards the request and returns the answer
}

// WatchAnswer is the answer to a WatchRequest. Its times count from the moment the request was sent, by the gateway's monotonic clock.
type WatchAnswer struct {
	NotPrimary bool          // ask Primary instead, if it is set
	Primary    quorum.Member // as far as known
	Members    []quorum.Member
	Table      *Table        // nil: Applied is the newest
	Lease      time.Duration // 0: none. Counted from the sending of the request
	Drains     []DrainLimit  // of all instances that drain by the newest table
	Operations *quota.Answer // answers Operations of the request
}
