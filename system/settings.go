// Package system reads and checks the settings file, which the platform writes for each process.
//
// The file is JSON. Unknown fields are ignored. Missing fields get their default if they have one; the others are required. A file that
// breaks a rule is rejected with a one-line error that names the field, its value and what is wanted.
package system

import (
	"net/netip"
	"time"
)

const (
	// PathVariable is the environment variable that holds the path of the settings file.
	PathVariable = "EIDERWAY_BOOT"
	// DefaultPath is the path of the settings file if PathVariable is not set.
	DefaultPath = "/etc/eiderway/settings.json"
)

// Values of Settings.Serves.
const (
	ServesEdge         = "edge"
	ServesControlPlane = "control_plane"
)

// Settings are the contents of the settings file.
type Settings struct {
	Name            string            `json:"routerName" validate:"required"`
	Role            string            `json:"role"`
	MachineClass    string            `json:"machineClass"`
	Serves          []string          `json:"serves" validate:"dive,required"`
	IPAddress       string            `json:"ipAddress" validate:"ip4_addr"`
	Zone            string            `json:"zone" validate:"required"`
	Region          string            `json:"region"`
	Zones           map[string]string `json:"zones"` // zone to region
	Listen          ListenAddresses   `json:"listenAddrs"`
	InternalPorts   []int             `json:"internalPortRange" validate:"len=2,dive,min=1,max=65535"`               // first and last
	InternalRoutes  map[string]string `json:"internalRoutes,omitempty" validate:"dive,keys,address,endkeys,address"` // address to the address of a relay
	Seeds           []string          `json:"seedPeers" validate:"dive,address"`                                     // control addresses of controllers
	FirstStart      bool              `json:"firstStart"`
	LossCounted     bool              `json:"lossCounted"`
	Limits          Limits            `json:"limits"`
	DataDirectory   string            `json:"dataDir"` // "" on a machine without a disk
	Discovery       string            `json:"discovery"`
	Entry           string            `json:"entry"`
	BeatIntervalMs  float64           `json:"beatIntervalMs" validate:"gt=0,lte=3600000"`
	ActiveContracts []string          `json:"activeContracts"`
	FaultTolerance  FaultTolerance    `json:"faultTolerance"`
	Bounds          Bounds            `json:"bounds"`
	ConfigMode      string            `json:"config_mode"`
	PlatformAPI     *PlatformAPI      `json:"platformApi"` // nil: the platform accepts no calls
}

// ListenAddresses are the addresses on which the process serves its callers. Settings.Serves decides which ones are required.
type ListenAddresses struct {
	Front     string `json:"front" validate:"omitempty,address"`
	Readiness string `json:"readiness" validate:"omitempty,address"`
	Control   string `json:"control" validate:"omitempty,address"`
}

// Limits are the resources of the machine. Zero means that the file gives no limit.
type Limits struct {
	CPUShare float64 `json:"cpuShare" validate:"gte=0"`
	CPUCores float64 `json:"cpuCores" validate:"gte=0"`
	MemoryMb float64 `json:"memoryMb" validate:"gte=0"`
	MaxFds   int     `json:"maxFds" validate:"gte=0"`
	LinkMbps float64 `json:"linkMbps" validate:"gte=0"`
	DiskMb   float64 `json:"diskMb" validate:"gte=0"`
}

// FaultTolerance is how much may be lost at the same time without breaking a rule.
type FaultTolerance struct {
	Machines int `json:"machines" validate:"gte=0"` // of those with LossCounted
	Zones    int `json:"zones" validate:"gte=0"`
	Regions  int `json:"regions" validate:"gte=0"`
}

// PlatformAPI is the address at which the platform accepts calls, with its rate limits.
type PlatformAPI struct {
	Address  string   `json:"address" validate:"address"`
	RatePerS float64  `json:"ratePerS" validate:"gte=0"`
	Duties   []string `json:"duties"`
	DutyPerS float64  `json:"dutyPerS" validate:"gte=0"`
}

// IsGateway reports whether the process serves clients.
func (s Settings) IsGateway() bool { return s.servesTo(ServesEdge) }

// IsController reports whether the process serves the control plane.
func (s Settings) IsController() bool { return s.servesTo(ServesControlPlane) }

func (s Settings) servesTo(callers string) bool {
	for _, served := range s.Serves {
		if served == callers {
			return true
		}
	}
	return false
}

// HasContract reports whether this part of the rules is in force.
func (s Settings) HasContract(name string) bool {
	for _, contract := range s.ActiveContracts {
		if contract == name {
			return true
		}
	}
	return false
}

// ToleratedMachines is how many machines may be lost at the same time.
func (s Settings) ToleratedMachines() int { return s.FaultTolerance.Machines }

// BeatInterval is the approximate time between heartbeats of an instance.
func (s Settings) BeatInterval() time.Duration { return milliseconds(s.BeatIntervalMs) }

// RPCAddress returns the address on which this process listens for other processes of the system, or "" if the settings don't give one.
func (s Settings) RPCAddress() string {
	ip, err := netip.ParseAddr(s.IPAddress)
	if err != nil {
		return ""
	}
	return s.rpcAddressAt(ip)
}

// SeedRPCAddresses returns the addresses on which the seeds listen for other processes of the system. All machines use the same ports.
func (s Settings) SeedRPCAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		control, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue // Parse rejects such settings
		}
		addresses = append(addresses, s.rpcAddressAt(control.Addr()))
	}
	return addresses
}

func (s Settings) rpcAddressAt(ip netip.Addr) string {
	if len(s.InternalPorts) == 0 {
		return ""
	}
	return netip.AddrPortFrom(ip, uint16(s.InternalPorts[0])).String()
}
