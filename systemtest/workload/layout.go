package workload

import (
	"fmt"
	"time"

	"eiderway/system"
	"eiderway/testing/loopback"
)

// Ports of all machines of a layout. They lie below the range from which outgoing connections get theirs.
const (
	controlPort   = 8782
	frontPort     = 8784
	readinessPort = 8785
	platformPort  = 8783
	instancePort  = 8080
	internalFirst = 7440
	internalLast  = 7455
)

const (
	beatInterval = 300 // ms
	platformRate = 50  // calls a second
	graceS       = 4   // see GraceTime
	firstHost    = 10  // host number of the first machine of a layout
)

// GraceTime is how long after SIGTERM the platform lets a process run.
const GraceTime = graceS * time.Second

// Layout assigns loopback addresses to the machines of a system: each has an address of its own, and all use the same ports.
type Layout struct{ network loopback.Network }

// NewLayout reserves a part of the loopback network until the process ends.
func NewLayout() (Layout, error) {
	network, err := loopback.ReserveNetwork()
	return Layout{network: network}, err
}

func (l Layout) address(host, port int) string { return l.network.Address(host, port) }

// Machines of each kind are numbered from 0.
func controllerHost(number int) int { return firstHost + number }
func gatewayHost(number int) int    { return 2*firstHost + number }
func instanceHost(number int) int   { return 3*firstHost + number }

// Control returns the address at which operators and instances call a controller.
func (l Layout) Control(number int) string { return l.address(controllerHost(number), controlPort) }

// Controls returns the control addresses of the given count of controllers.
func (l Layout) Controls(count int) []string {
	var controls []string
	for number := range count {
		controls = append(controls, l.Control(number))
	}
	return controls
}

// Front returns the address at which clients call a gateway.
func (l Layout) Front(number int) string { return l.address(gatewayHost(number), frontPort) }

// Readiness returns the address at which a gateway is asked whether it is ready.
func (l Layout) Readiness(number int) string { return l.address(gatewayHost(number), readinessPort) }

// Instance returns the address of an instance.
func (l Layout) Instance(number int) string { return l.address(instanceHost(number), instancePort) }

// Platform returns the address of the platform.
func (l Layout) Platform() string { return l.address(4*firstHost, platformPort) }

// Zone returns the zone of the machine with this number.
func Zone(number int) string { return string(rune('a' + number)) }

// Controller returns the settings of a controller, in a system of three controllers of which one may be lost.
func (l Layout) Controller(number int, firstStart bool, dataDirectory string) system.Settings {
	settings := l.machine(fmt.Sprintf("controller-%d", number), controllerHost(number), Zone(number))
	settings.Serves = []string{system.ServesControlPlane}
	settings.Listen = system.ListenAddresses{Control: l.Control(number)}
	settings.FirstStart = firstStart
	settings.LossCounted = true
	settings.DataDirectory = dataDirectory
	return settings
}

// Gateway returns the settings of a gateway.
func (l Layout) Gateway(number int) system.Settings {
	settings := l.machine(fmt.Sprintf("gateway-%d", number), gatewayHost(number), Zone(number))
	settings.Serves = []string{system.ServesEdge}
	settings.Listen = system.ListenAddresses{Front: l.Front(number), Readiness: l.Readiness(number)}
	return settings
}

// ControllerCount is the number of controllers of a layout.
const ControllerCount = 3

func (l Layout) machine(name string, host int, zone string) system.Settings {
	settings := system.Settings{
		Name:           name,
		IPAddress:      l.network.Host(host),
		Zone:           zone,
		InternalPorts:  []int{internalFirst, internalLast},
		Seeds:          l.Controls(ControllerCount),
		BeatIntervalMs: beatInterval,
		FaultTolerance: system.FaultTolerance{Machines: 1},
		Bounds:         system.DefaultBounds(),
		PlatformAPI:    &system.PlatformAPI{Address: l.Platform(), RatePerS: platformRate, DutyPerS: platformRate},
	}
	settings.Bounds.GraceS = graceS
	settings.Bounds.FenceChecked = true
	return settings
}
