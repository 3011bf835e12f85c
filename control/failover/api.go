package failover

import (
	"time"

	"eiderway/control/feed"
	"eiderway/control/guard"
)

// ProbeKind is what is asked of an instance.
type ProbeKind int

const (
	// AskStatus reads role, term and position (STATUS).
	AskStatus ProbeKind = iota
	// AskPause keeps a replica from receiving (PAUSE term).
	AskPause
	// AskContinue ends a pause (CONTINUE).
	AskContinue
	// AskStepDown turns a primary of a lower term into a replica (STEPDOWN term).
	AskStepDown
)

// Position is a place in an instance's log.
type Position struct {
	Term   uint64
	Number uint64
}

// Less tells whether a comes before b.
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

// Probe is a question to an instance that the host carries out.
type Probe struct {
	Number     uint64
	Kind       ProbeKind
	Term       uint64
	Service    string
	InstanceID string
	Address    string
}

// ProbeResult ends a probe.
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
	// Refused: the connection was refused or reset before the question was sent, or another instance is there.
	Refused
	// Silent: no answer in time, or the connection broke after the question was sent; it may have been carried out.
	Silent
)

// PlatformCall is POST /failover. The host sends it once, on a fresh connection, and never again by itself.
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
	// Declined: an answer that says that nothing was done (409, 429, another 4xx).
	Declined
	// NotSent: no connection; not a byte of the call has left.
	NotSent
	// OutcomeUnknown: silence, a reset or a 5xx after the call was sent.
	OutcomeUnknown
)

// PlatformResult ends a call.
type PlatformResult struct {
	Number  uint64
	Outcome PlatformOutcome
	Code    int
}

// Intent is the replicated record of a failover that may be under way at the platform. It is on the disks of all
// copies before the call is made, and is taken back only on evidence of how the call ended.
type Intent struct {
	Service    string
	InstanceID string // the instance that is to lead
	Term       uint64 // the term in which the replicas were paused
	Fence      uint64 // of the holder that wrote it
	Previous   feed.Leader
}

// ServiceView is what the manager is told of a service, from the committed control state.
type ServiceView struct {
	Name         string
	SyncReplicas int
	Leader       feed.Leader
	Instances    []feed.Instance // those that have not left and are not lost
	Intent       *Intent
	// Departed are those that have left or were lost, and may hold acknowledged commits that no position is known to cover. Only the
	// first view that a manager is given needs them: afterwards it sees them go.
	Departed []feed.Instance
	// GiveUpCount counts how often an operator has given up what lost copies held: what was known of departed instances before counts no more.
	GiveUpCount uint64
	// Floor is the furthest position that covers instances that have departed: whoever has not reached it lacks what they may hold.
	Floor Position
}

// Change is what the manager wants in the control state. Exactly one of the fields beside Request is set.
type Change struct {
	Request     uint64
	Leader      *LeaderChange
	Intent      *Intent // to be written
	ClearIntent string  // service
	Covered     *CoveredDeparture
}

// CoveredDeparture records that an instance that has departed holds no acknowledged commit beyond a position of the leader, which was
// read after it had ended. A later holder knows by it what an instance that it has never met may hold.
type CoveredDeparture struct {
	Service    string
	InstanceID string
	Position   Position
}

// LeaderChange records on evidence who leads a service.
type LeaderChange struct {
	Service string
	Leader  feed.Leader
}

// Input is one thing that happens to the manager.
type Input interface{ input() }

type (
	// Tick lets time pass.
	Tick struct{}
	// CommittedState replaces what the manager knows of the committed control state.
	CommittedState struct{ Services []ServiceView }
	// Heartbeat is a heartbeat: the instance is alive and says what it is.
	Heartbeat struct {
		InstanceID string
		Service    string
		Primary    bool
	}
	// GatewayReport is what a gateway met at an instance.
	GatewayReport struct {
		Gateway string
		Report  feed.InstanceReport
	}
	// FreezeCleared: since the freeze with this number, every gateway has applied it or has let its lease run out.
	FreezeCleared struct {
		Service string
		Freeze  uint64
	}
	// ProbeEnded ends a probe.
	ProbeEnded struct{ Result ProbeResult }
	// CallEnded ends a platform call.
	CallEnded struct{ Result PlatformResult }
	// ChangeDecided tells that a change is committed (or not: the manager asks again if it still wants it).
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

// Event is a change worth a line in the log.
type Event struct{ What, Text string }

// Effects is what the host must do.
type Effects struct {
	Probes          []Probe
	Calls           []PlatformCall
	Changes         []Change
	Events          []Event
	AliveInstanceID string // the instance that has answered a probe: it is no lost one, though its heartbeats may not come; "": none
}

// Settings of a manager. A new one is made each time a controller becomes primary.
type Settings struct {
	Holder         string
	Fence          uint64 // the epoch of the view: it rises with each holder and is on disk before it is used
	FenceChecked   bool   // the platform refuses lower fences
	CallsPerSecond float64
	LeaderProbe    time.Duration // between probes of a leader nothing speaks against
	FastProbe      time.Duration // between probes in the fast window
	FastWindow     time.Duration // how long the fast window lasts after the last sign of change
	SuspectAfter   time.Duration // silence of the leader, with probes failing, before the service is frozen
	ReplicaLost    time.Duration // silence after which a replica is taken for gone, if the leader has outlived it
	DrainLimit     time.Duration // how long statements may reach an instance after its drain was acknowledged
	DrainMargin    time.Duration // how long before that none is begun any more: the way there takes time
	DisabledGuards guard.Set     // guards that a test takes out
	MaxCallDelay   time.Duration // how long a call of an earlier holder may still be on its way where fences aren't checked
}

// In manager.go:
//
//	func New(now time.Duration, settings Settings) *Manager
//	func (m *Manager) Step(now time.Duration, input Input) Effects
//	func (m *Manager) Frozen(service string) (freeze uint64, frozen bool)   freeze: number of the freeze, rising
//	func (m *Manager) DrainLimits(now time.Duration) []feed.DrainLimit           of all instances that drain
