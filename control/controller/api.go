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

// CallID identifies a caller's request. The host assigns it; each call is answered exactly once.
type CallID uint64

// Input is an event that the host passes to a controller.
type Input interface{ input() }

type (
	// Tick advances time; the host sends one every 20 to 50 ms.
	Tick struct{}
	// PeerMessage is a message from another controller.
	PeerMessage struct{ Message replication.Message }
	// Persisted reports that this write and all earlier ones are durable.
	Persisted struct{ Write uint64 }
	// DiskFailed reports that this write failed, and with it all later writes that were handed out so far.
	DiskFailed struct{ Write uint64 }
	// ReplaceConfiguration is POST /config/replace.
	ReplaceConfiguration struct {
		Call CallID
		Body []byte
	}
	// FetchConfiguration is GET /config/fetch.
	FetchConfiguration struct{ Call CallID }
	// Heartbeat is POST /instances/ID/heartbeat.
	Heartbeat struct {
		Call      CallID
		Heartbeat registry.Heartbeat
	}
	// InstanceLeave is POST /instances/ID/leave.
	InstanceLeave struct {
		Call       CallID
		InstanceID string
	}
	// GiveUp is an operator's decision to give up the commits that only the lost copies of a service may hold.
	GiveUp struct {
		Call    CallID
		Service string
		By      string
		At      time.Time // wall clock of this machine; kept in the record only
	}
	// Watch is a gateway's request for a newer table, a lease or operations of tenants.
	Watch struct {
		Call    CallID
		Request feed.WatchRequest
	}
	// Abandon reports that a caller has gone and needs no answer.
	Abandon struct{ Call CallID }
	// ProbeFinished is the result of a probe of an instance.
	ProbeFinished struct{ Result failover.ProbeResult }
	// PlatformCallFinished is the result of a call to the platform.
	PlatformCallFinished struct{ Result failover.PlatformResult }
	// Terminate reports SIGTERM.
	Terminate struct{}
	// SeedsChanged reports that the settings file names other seeds.
	SeedsChanged struct{ Seeds []string }
)

func (Tick) input()                 {}
func (PeerMessage) input()          {}
func (Persisted) input()            {}
func (DiskFailed) input()           {}
func (ReplaceConfiguration) input() {}
func (FetchConfiguration) input()   {}
func (Heartbeat) input()            {}
func (InstanceLeave) input()        {}
func (GiveUp) input()               {}
func (Watch) input()                {}
func (Abandon) input()              {}
func (ProbeFinished) input()        {}
func (PlatformCallFinished) input() {}
func (Terminate) input()            {}
func (SeedsChanged) input()         {}

// Reply answers an HTTP call.
type Reply struct {
	Call     CallID
	Status   int
	Redirect string // control address of the primary, "" for none; the host appends the path for the Location header
	Body     []byte // JSON; nil for none
}

// WatchReply answers a gateway's watch request.
type WatchReply struct {
	Call   CallID
	Answer feed.WatchAnswer
}

// Event is a change that the host logs.
type Event struct{ What, Text string }

// Effects is what the host must do after a step, in this order.
type Effects struct {
	Writes          []replication.Write
	Send            []replication.Envelope
	Replies         []Reply
	WatchReplies    []WatchReply
	CancelledProbes []uint64 // numbers of probes that are not to be sent any more, if they have not been yet; they have no result
	Probes          []failover.Probe
	PlatformCalls   []failover.PlatformCall
	Events          []Event
	CanExit         bool // after Terminate: the process can exit without losing anything
}

// Settings of a controller.
type Settings struct {
	Replication     replication.Settings
	Failover        failover.Settings // the controller sets Fence
	Lease           time.Duration     // how long a gateway may work by a table after it asked
	LeaseMargin     time.Duration     // added to Lease when waiting for its end: the most that two clocks drift apart in that time
	MaxWatchWait    time.Duration     // longest time for which a watch request waits for a newer table
	InstanceTimeout time.Duration     // an instance is lost after being silent for this long
	CallTimeout     time.Duration     // a call that can't be decided within this time is answered 503
	Quota           quota.Rules
	DisabledGuards  guard.Set // only set by tests
}

// In controller.go:
//
//	func New(now time.Duration, settings Settings, durable replication.DurableState) *Controller
//	func (c *Controller) Step(now time.Duration, input Input) Effects
//	func (c *Controller) Status() Status   for logs, metrics and tests
