package simulation

import (
	"time"

	"eiderway/control/controller"
	"eiderway/control/failover"
	"eiderway/control/guard"
	"eiderway/control/quota"
	"eiderway/control/replication"
)

// Bounds of the rules, as the settings file has them.
type Bounds struct {
	SeedLag     time.Duration
	Contact     time.Duration
	Ack         time.Duration
	CatchUp     time.Duration
	Drain       time.Duration
	Grace       time.Duration
	ConfigApply time.Duration
	StretchMax  time.Duration
	ThawSlack   time.Duration
	Revoke      time.Duration // within which a key that was taken away is of no use at any machine; zero: at those in touch
	Quota       quota.Rules
}

// ServicePlan is a database service with its instances, the first of which is primary.
type ServicePlan struct {
	Name      string
	Instances int
	Sync      int
}

// Plan of a day.
type Plan struct {
	Name         string
	Seeds        []string // names of the controllers in the settings file
	Runs         []uint64 // seeds of chance to play the day with
	Controllers  int
	Tolerance    int
	Gateways     int
	Clients      int
	Tenants      TenantsPlan
	Services     []ServicePlan
	Length       time.Duration
	DiskSync     time.Duration
	PromoteTime  time.Duration
	BeatInterval time.Duration
	Warmup       time.Duration // for which an instance is warming up after its start
	BusyProbes   int           // one probe in so many is answered with BUSY; 0: none
	Renumber     bool          // whether an instance numbers its calls anew after a restart
	FenceChecked bool
	Conditions   Conditions
	Bounds       Bounds
	Items        []Item        // what happens
	Expectations []Expectation // what must hold in the end
	Lacking      guard.Set     // guards that are taken out
}

// Item is an action with the moment or the event that starts it.
type Item struct {
	At     time.Duration // of the day; with On: after the event
	On     string        // event; "" for a moment of the day
	Action []string
	Text   string // the line, for reports
}

// Expectation is what must hold at the end.
type Expectation struct {
	Words []string
	Text  string
}

// NewPlan gives a plan with the usual figures and nothing that happens.
func NewPlan() Plan {
	return Plan{
		Runs: []uint64{1}, Controllers: 3, Tolerance: 1, Gateways: 2, Clients: 3,
		Length: 30 * time.Second, DiskSync: 2 * time.Millisecond, PromoteTime: 600 * time.Millisecond,
		BeatInterval: 1200 * time.Millisecond, FenceChecked: true,
		Bounds: Bounds{
			SeedLag: 3 * time.Second, Contact: 4 * time.Second, Ack: 5 * time.Second, CatchUp: 4 * time.Second,
			Drain: 7 * time.Second, Grace: 6 * time.Second, ConfigApply: 3 * time.Second,
			StretchMax: 12 * time.Second, ThawSlack: 300 * time.Millisecond,
			Revoke: 5 * time.Second, Quota: quota.Rules{Window: 5 * time.Second, Overrun: 0.1, Slack: 20},
		},
	}
}

// Figures of the host's settings that no package of decisions chooses; host/settings.go gives the reasons.
const (
	tableLease   = 3 * time.Second
	leaseMargin  = 100 * time.Millisecond
	watchWait    = 600 * time.Millisecond
	instanceLost = 10 * time.Second
	answerWithin = 800 * time.Millisecond
	callsPerS    = 25
)

// Settings of the controllers of this day, as the host derives them.
func (p Plan) Settings() controller.Settings {
	chosen := failover.DefaultSettings()
	chosen.FenceChecked = p.FenceChecked
	chosen.CallsPerSecond = callsPerS
	return controller.Settings{
		Replication:     replication.Settings{Timing: replication.DefaultTiming()},
		Failover:        chosen,
		Lease:           tableLease,
		LeaseMargin:     leaseMargin,
		MaxWatchWait:    watchWait,
		InstanceTimeout: instanceLost,
		CallTimeout:     answerWithin,
		Quota:           p.Bounds.Quota,
		DisabledGuards:  p.Lacking,
	}
}
