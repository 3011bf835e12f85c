package host

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"eiderway/control/controller"
	"eiderway/control/failover"
	"eiderway/control/quorum"
	"eiderway/control/replication"
	"eiderway/system"
)

const (
	// tableLease is how long a gateway may work by its table after it asked. Longer leases ride out longer takeovers of
	// the control state; shorter ones let a service be replaced sooner while a gateway is cut off. A takeover lasts about
	// a second on a calm network, and gateways ask again long before a lease is over.
	tableLease = 3 * time.Second
	// leaseMargin covers the difference of two steady clocks over one lease: 100 ms in 3 s is a drift of three percent,
	// far beyond what steady clocks show.
	leaseMargin = 100 * time.Millisecond
	// watchWait is the longest that a gateway's question waits for news. It renews the lease, so several must fit in one.
	watchWait = 600 * time.Millisecond
	// callWait is within the second of silence after which callers turn to another controller, with time left for the
	// answer to travel.
	callWait = 800 * time.Millisecond
)

// An instance that misses this many beats in a row, and for at least this long, is taken for lost: failovers and
// takeovers of the control state must not look like losses.
const (
	beatsMissedWhenLost = 8
	leastInstanceLost   = 10 * time.Second
)

// dutyShare is the part of the platform's rate of duty calls that one holder uses: another may have been holding the
// duty until just now, and both count.
const dutyShare = 0.5

// ControllerSettings derives the settings of a controller from those of its process.
func ControllerSettings(settings system.Settings) controller.Settings {
	return controller.Settings{
		Replication:     replicationSettings(settings),
		Failover:        failoverSettings(settings),
		Lease:           leaseOf(settings.Bounds),
		LeaseMargin:     leaseMargin,
		MaxWatchWait:    watchWait,
		InstanceTimeout: max(beatsMissedWhenLost*settings.BeatInterval(), leastInstanceLost),
		CallTimeout:     callWait,
		Quota:           settings.Bounds.QuotaRules(),
	}
}

// leaseShareOfRevoke is the most that a lease may take of the time in which a key that was taken away is to be of no use, in percent.
const leaseShareOfRevoke = 75

// leaseOf keeps a lease within half of the time that a drain leaves, within the time in which a configuration is to be in force,
// and within that in which a key that was taken away is to be of no use: a gateway that has not heard of it works on for a lease at most.
func leaseOf(bounds system.Bounds) time.Duration {
	lease := tableLease
	if drain := bounds.Drain(); drain > 0 {
		lease = min(lease, drain/2)
	}
	if apply := bounds.ConfigApply(); apply > 0 {
		lease = min(lease, apply)
	}
	if revoke := bounds.Revoke(); revoke > 0 {
		lease = min(lease, revoke*leaseShareOfRevoke/100)
	}
	return lease
}

func replicationSettings(settings system.Settings) replication.Settings {
	return replication.Settings{
		Self: quorum.Member{
			Name:    settings.Name,
			Address: settings.RPCAddress(),
			Control: settings.Listen.Control,
			Zone:    settings.Zone,
		},
		Tolerance:  settings.ToleratedMachines(),
		FirstStart: settings.FirstStart,
		Seeds:      settings.SeedRPCAddresses(),
		Timing:     replication.DefaultTiming(),
		Random:     randomSeed(),
	}
}

func failoverSettings(settings system.Settings) failover.Settings {
	chosen := failover.DefaultSettings()
	chosen.Holder = settings.Name
	chosen.FenceChecked = settings.Bounds.FenceChecked
	if settings.PlatformAPI != nil && settings.PlatformAPI.DutyPerS > 0 {
		chosen.CallsPerSecond = settings.PlatformAPI.DutyPerS * dutyShare
	}
	if drain := settings.Bounds.Drain(); drain > 0 {
		chosen.DrainLimit = drain
		chosen.DrainMargin = settings.Bounds.DrainMargin()
	}
	return chosen
}

func randomSeed() uint64 {
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // never fails
	return binary.LittleEndian.Uint64(seed[:])
}
