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
	// tableLease is how long a gateway may use its table after the request that renewed it. Longer leases outlast longer takeovers of the
	// control state; shorter ones let a leader be replaced sooner while a gateway is partitioned. A takeover lasts about a second on a
	// healthy network, and gateways ask again long before a lease expires.
	tableLease = 3 * time.Second
	// leaseMargin covers the drift between two monotonic clocks over one lease: 100 ms in 3 s is three percent, far beyond what such clocks
	// show.
	leaseMargin = 100 * time.Millisecond
	// maxWatchWait is how long a watch request may be held back for changes. Each request renews the lease, so several must fit in one lease.
	maxWatchWait = 600 * time.Millisecond
	// callTimeout is shorter than the second of silence after which callers turn to another controller, with time left for the answer to
	// travel.
	callTimeout = 800 * time.Millisecond
)

// An instance counts as lost after this many missed heartbeats in a row, but not before minInstanceTimeout: failovers and takeovers of the
// control state must not look like losses.
const (
	missedBeatsUntilLost = 8
	minInstanceTimeout   = 10 * time.Second
)

// dutyShare is the part of the platform's rate limit on duty calls that one holder uses: a previous holder may have made calls until just
// now, and the limit counts both.
const dutyShare = 0.5

// ControllerSettings derives the settings of a controller from those of its process.
func ControllerSettings(settings system.Settings) controller.Settings {
	return controller.Settings{
		Replication:     replicationSettings(settings),
		Failover:        failoverSettings(settings),
		Lease:           leaseFor(settings.Bounds),
		LeaseMargin:     leaseMargin,
		MaxWatchWait:    maxWatchWait,
		InstanceTimeout: max(missedBeatsUntilLost*settings.BeatInterval(), minInstanceTimeout),
		CallTimeout:     callTimeout,
		Quota:           settings.Bounds.QuotaRules(),
	}
}

// maxLeaseRevokePercent bounds a lease to this percentage of Bounds.Revoke, the time within which a revoked key must stop working.
const maxLeaseRevokePercent = 75

// leaseFor keeps the lease within half of Bounds.Drain, within Bounds.ConfigApply and within a share of Bounds.Revoke: a gateway that has not
// heard of a drain, a new configuration or a revoked key goes on for one lease at most.
func leaseFor(bounds system.Bounds) time.Duration {
	lease := tableLease
	if drain := bounds.Drain(); drain > 0 {
		lease = min(lease, drain/2)
	}
	if apply := bounds.ConfigApply(); apply > 0 {
		lease = min(lease, apply)
	}
	if revoke := bounds.Revoke(); revoke > 0 {
		lease = min(lease, revoke*maxLeaseRevokePercent/100)
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
	derived := failover.DefaultSettings()
	derived.Holder = settings.Name
	derived.FenceChecked = settings.Bounds.FenceChecked
	if settings.PlatformAPI != nil && settings.PlatformAPI.DutyPerS > 0 {
		derived.CallsPerSecond = settings.PlatformAPI.DutyPerS * dutyShare
	}
	if drain := settings.Bounds.Drain(); drain > 0 {
		derived.DrainLimit = drain
		derived.DrainMargin = settings.Bounds.DrainMargin()
	}
	return derived
}

func randomSeed() uint64 {
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // never fails
	return binary.LittleEndian.Uint64(seed[:])
}
