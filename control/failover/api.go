package failover

import (
	"time"

	"eiderway/control/feed"
	"eiderway/control/guard"
)

// ProbeKind is the statement that a probe sends to an instance.
type ProbeKind int

const (
	// AskStatus reads role, term and position (STATUS).
	AskStatus ProbeKind = iota
	// AskPause stops a replica from receiving log entries (PAUSE term).
	AskPause
	// AskContinue ends a pause (CONTINUE).
	AskContinue
	// AskStepDown turns a primary of a lower term into a replica (STEPDOWN term).
	AskStepDown
)

// Position is a position in an instance's log.
type Position struct {
	Term   uint64
	Number uint64
}

// Less reports whether a comes before b.
func (a Position) Less(b Position) bool {
	if a.Term != b.Term {
		return a.Term < b.Term
	}
	return a.Number < b.Number
}

// Status is the row with which an instance answers STATUS, PAUSE, CONTINUE and STEPDOWN.
type Status struct {
	Primary     bool
	Term        uint64
	Received    Position
	TermHeld    uint64 // the highest term that the instance has been told; rises with a pause
	LagMs       int64
	Busy        int
	Connections int
}

// Probe is a question to an instance. The host sends it.
type Probe struct {
	Number     uint64
	Kind       ProbeKind
	Term       uint64
	Service    string
	InstanceID string
	Address    string
}

// ProbeResult is the outcome of a probe.
type ProbeResult struct {
	Number  uint64
	Answer  ProbeAnswer
	Status  Status // with Answered
	Started time.Duration
}

// ProbeAnswer says how a probe ended.
type ProbeAnswer int

const (
	// Answered with a status row.
	Answered ProbeAnswer = iota
	// Busy: the instance is there but has no slot or connection to spare.
	Busy
	// Refused: the connection was refused or reset before the question was sent.
	Refused
	// Silent: no answer in time, or the connection broke after the question was sent, so that it may have been carried out.
	Silent
	// Replaced: another instance answers at the address, so this one has ended. It may not be known yet.
	Replaced
)

// PlatformCall is POST /failover. The host sends it once, on a fresh connection, and never retries it.
type PlatformCall struct {
	Number     uint64
	Service    string
	InstanceID string
	Holder     string
	Fence      uint64
}

// PlatformOutcome says how the call ended.
type PlatformOutcome int

const (
	// Accepted: 2xx.
	Accepted PlatformOutcome = iota
	// Declined: an answer that says that nothing was done (409, 429 or another 4xx).
	Declined
	// NotSent: there was no connection, and no byte of the call was sent.
	NotSent
	// OutcomeUnknown: no answer, a reset or a 5xx after the call was sent.
	OutcomeUnknown
)

// PlatformResult is the outcome of a call.
type PlatformResult struct {
	Number  uint64
	Outcome PlatformOutcome
	Code    int
}

// Intent is the replicated record of a failover that may be in progress at the platform. It is on the disks of all copies before the
// call is made, and is removed only on evidence of how the call ended.
type Intent struct {
	Service    string
	InstanceID string // the instance that is to lead
	Term       uint64 // the term in which the replicas were paused
	Fence      uint64 // of the holder that wrote it
	Previous   feed.Leader
}

// ServiceView is the committed control state of one service, as the manager is told it.
type ServiceView struct {
	Name         string
	SyncReplicas int
	Leader       feed.Leader
	Instances    []feed.Instance // those that have not left and are not lost
	Intent       *Intent
	// Departed are the instances that have left or were lost, and may hold acknowledged commits that no known position covers. Only the
	// first view that a manager is given must contain them: later departures it sees itself.
	Departed []feed.Instance
	// GiveUpCount counts how often an operator has given up what lost copies held. When it rises, all that was known of departed
	// instances is dropped.
	GiveUpCount uint64
	// Floor is the furthest position that covers departed instances: an instance that has not reached it may lack what they held.
	Floor Position
}

// Change is a change of the control state that the manager requests. Exactly one of the fields beside Request is set.
type Change struct {
	Request     uint64
	Leader      *LeaderChange
	Intent      *Intent // to be written
	ClearIntent string  // service
	Covered     *CoveredDeparture
}

// CoveredDeparture records that a departed instance holds no acknowledged commit beyond a position of the leader that was read after
// the instance had ended. From it a later holder knows what an instance that it has never seen may hold.
type CoveredDeparture struct {
	Service    string
	InstanceID string
	Position   Position
}

// LeaderChange records the leader of a service, on evidence from the instance itself.
type LeaderChange struct {
	Service string
	Leader  feed.Leader
}

// Input is an event that the manager is told of.
type Input interface{ input() }

type (
	// Tick lets the manager do what has become due.
	Tick struct{}
	// CommittedState replaces what the manager knows of the committed control state.
	CommittedState struct{ Services []ServiceView }
	// Heartbeat says that an instance is alive and whether it is a primary.
	Heartbeat struct {
		InstanceID string
		Service    string
		Primary    bool
	}
	// GatewayReport counts the answers and failures that a gateway saw at an instance.
	GatewayReport struct {
		Gateway string
		Report  feed.InstanceReport
	}
	// FreezeCleared says that every gateway has applied the freeze with this number, or has let its lease expire since.
	FreezeCleared struct {
		Service string
		Freeze  uint64
	}
	// ProbeEnded delivers the result of a probe.
	ProbeEnded struct{ Result ProbeResult }
	// CallEnded delivers the result of a platform call.
	CallEnded struct{ Result PlatformResult }
	// ChangeDecided says whether a change was committed. If not, the manager requests it again if it still wants it.
	ChangeDecided struct {
		Request   uint64
		Committed bool
	}
)

func (Tick) input()           {}
func (CommittedState) input() {}
func (Heartbeat) input()      {}
func (GatewayReport) input()  {}
func (FreezeCleared) input()  {}
func (ProbeEnded) input()     {}
func (CallEnded) input()      {}
func (ChangeDecided) input()  {}

// Event is an entry for the log.
type Event struct{ What, Text string }

// Effects are the actions that a step requests of the host.
type Effects struct {
	Probes          []Probe
	CancelledProbes []uint64 // numbers of probes that must not be sent any more, if they have not been yet; they have no result
	Calls           []PlatformCall
	Changes         []Change
	Events          []Event
	AliveInstanceID string // the instance that has answered a probe: it is not lost, even if its heartbeats don't arrive; "": none
}

// Settings configure a manager. A new manager is made each time a controller becomes primary.
type Settings struct {
	Holder              string
	Fence               uint64 // the epoch of the view: it rises with each holder and is on disk before it is used
	FenceChecked        bool   // the platform refuses lower fences
	CallsPerSecond      float64
	LeaderProbeInterval time.Duration // between probes of a leader that shows no sign of failure
	FastProbeInterval   time.Duration // between probes in the fast window
	FastWindow          time.Duration // how long the fast window lasts after the last sign of change
	SuspectAfter        time.Duration // silence of the leader, with probes failing, before the service is frozen
	ReplicaLostAfter    time.Duration // silence after which a replica is considered lost, if the leader has outlived it
	DrainLimit          time.Duration // how long statements may reach an instance after its drain was acknowledged
	DrainMargin         time.Duration // part of DrainLimit kept for the way of the last statement to the instance
	DisabledGuards      guard.Set     // safety guards that a test disables
	MaxCallDelay        time.Duration // how long a call of an earlier holder may still be on its way where fences aren't checked
}
