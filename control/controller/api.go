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

// CallID numbers a question of a caller, as handed out by the host. Each is answered exactly once.
type CallID uint64

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
	// GiveUp is an operator's word that what the lost copies of a service may have held is given up.
	GiveUp struct {
		Call    CallID
		Service string
		By      string
		At      time.Time // by this machine's clock, for the record
	}
	// Watch is a gateway's question.
	Watch struct {
		Call    CallID
		Request feed.WatchRequest
	}
	// Abandon: the caller has gone; no answer is wanted.
	Abandon struct{ Call CallID }
	// ProbeFinished ends a probe of an instance.
	ProbeFinished struct{ Result failover.ProbeResult }
	// PlatformCallFinished ends a call to the platform.
	PlatformCallFinished struct{ Result failover.PlatformResult }
	// Terminate: SIGTERM came.
	Terminate struct{}
	// SeedsChanged: the settings file names other seeds.
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

// Reply ends an HTTP call. With Redirect, Location is the control address of the primary: the host appends the path.
type Reply struct {
	Call     CallID
	Status   int
	Redirect string
	Body     []byte // JSON; nil for none
}

// WatchReply ends a gateway's question.
type WatchReply struct {
	Call   CallID
	Answer feed.WatchAnswer
}

// Event is a change worth a line in the log.
type Event struct{ What, Text string }

// Effects is what the host must do after a step, in this order.
type Effects struct {
	Writes        []replication.Write
	Send          []replication.Envelope
	Replies       []Reply
	WatchReplies  []WatchReply
	Probes        []failover.Probe
	PlatformCalls []failover.PlatformCall
	Events        []Event
	CanExit       bool // after Terminate: nothing is lost by ending now
}

// Settings of a controller.
type Settings struct {
	Replication     replication.Settings
	Failover        failover.Settings // Fence is filled in by the controller
	Lease           time.Duration     // of a table at a gateway
	LeaseMargin     time.Duration     // waited beyond it: clocks may differ by this much in that time
	MaxWatchWait    time.Duration     // longest wait of a gateway's question
	InstanceTimeout time.Duration     // silence after which an instance is taken for lost
	CallTimeout     time.Duration     // after which a call that can't be settled is answered 503
	Quota           quota.Rules
	DisabledGuards  guard.Set // guards that a test takes out
}

// In controller.go:
//
//	func New(now time.Duration, settings Settings, durable replication.DurableState) *Controller
//	func (c *Controller) Step(now time.Duration, input Input) Effects
//	func (c *Controller) Status() Status   for logs and tests
