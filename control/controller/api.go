package controller

import (
	"time"

	"eiderway/control/failover"
	"eiderway/control/feed"
	"eiderway/control/guard"
	"eiderway/control/quota"
	"eiderway/control/registry"
	"eiderway/control/replication"
)

// Call numbers a question of a caller, as handed out by the host. Each is answered exactly once.
type Call uint64

// Input is one thing that happens to a controller.
type Input interface{ input() }

type (
	// Tick lets time pass: every 20 to 50 ms.
	Tick struct{}
	// PeerMessage came from another controller.
	PeerMessage struct{ Message replication.Message }
	// Persisted: this write and all before it are safe on disk.
	Persisted struct{ Write uint64 }
	// DiskFailed: the disk refused this write and all after it that were handed out so far.
	DiskFailed struct{ Write uint64 }
	// Order is POST /config/replace.
	Order struct {
		Call Call
		Body []byte
	}
	// Fetch is GET /config/fetch.
	Fetch struct{ Call Call }
	// Heartbeat is POST /instances/ID/heartbeat.
	Heartbeat struct {
		Call      Call
		Heartbeat registry.Heartbeat
	}
	// InstanceLeave is POST /instances/ID/leave.
	InstanceLeave struct {
		Call       Call
		InstanceID string
	}
	// GiveUp is an operator's word that what the lost copies of a service may have held is given up.
	GiveUp struct {
		Call    Call
		Service string
		By      string
		At      time.Time // by this machine's clock, for the record
	}
	// Watch is a gateway's question.
	Watch struct {
		Call    Call
		Request feed.WatchRequest
	}
	// Abandon: the caller has gone; no answer is wanted.
	Abandon struct{ Call Call }
	// Probed ends a probe of an instance.
	Probed struct{ Result failover.ProbeResult }
	// PlatformCalled ends a call to the platform.
	PlatformCalled struct{ Result failover.PlatformResult }
	// Terminate: SIGTERM came.
	Terminate struct{}
	// SeedsChanged: the settings file names other seeds.
	SeedsChanged struct{ Seeds []string }
)

func (Tick) input()           {}
func (PeerMessage) input()    {}
func (Persisted) input()      {}
func (DiskFailed) input()     {}
func (Order) input()          {}
func (Fetch) input()          {}
func (Heartbeat) input()      {}
func (InstanceLeave) input()  {}
func (GiveUp) input()         {}
func (Watch) input()          {}
func (Abandon) input()        {}
func (Probed) input()         {}
func (PlatformCalled) input() {}
func (Terminate) input()      {}
func (SeedsChanged) input()   {}

// Reply ends an HTTP call. With Redirect, Location is the control address of the primary: the host appends the path.
type Reply struct {
	Call     Call
	Status   int
	Redirect string
	Body     []byte // JSON; nil for none
}

// WatchReply ends a gateway's question.
type WatchReply struct {
	Call   Call
	Answer feed.WatchAnswer
}

// Event is a change worth a line in the log.
type Event struct{ What, Text string }

// Effects is what the host must do after a step, in this order.
type Effects struct {
	Writes       []replication.Write
	Send         []replication.Envelope
	Replies      []Reply
	WatchReplies []WatchReply
	Probes       []failover.Probe
	Calls        []failover.PlatformCall
	Events       []Event
	MayEnd       bool // after Terminate: nothing is lost by ending now
}

// Settings of a controller.
type Settings struct {
	Replication  replication.Settings
	Failover     failover.Settings // Fence is filled in by the controller
	Lease        time.Duration     // of a table at a gateway
	LeaseMargin  time.Duration     // waited beyond it: clocks may differ by this much in that time
	WatchWait    time.Duration     // longest wait of a gateway's question
	InstanceLost time.Duration     // silence after which an instance is taken for lost
	CallWait     time.Duration     // after which a call that can't be settled is answered 503
	Quota        quota.Rules
	Lacking      guard.Set // guards that a test takes out
}

// In controller.go:
//
//	func New(now time.Duration, settings Settings, durable replication.DurableState) *Controller
//	func (c *Controller) Step(now time.Duration, input Input) Effects
//	func (c *Controller) Status() Status   for logs and tests
