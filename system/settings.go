// Package system reads what a process is told when it starts: the settings file that the platform writes for it.
//
// The file is JSON. Fields that this version does not know are ignored. Fields that are missing and have a default get
// it; the others are required. A file that breaks a rule is refused with one line that names the field, says what it
// holds and what would do.
package system

import (
	"net/netip"
	"time"
)

const (
	// PathVariable is the environment variable that holds the path of the settings file.
	PathVariable = "EIDERWAY_BOOT"
	// DefaultPath is where the settings file lives if PathVariable is not set.
	DefaultPath = "/etc/eiderway/settings.json"
)

// What a process may serve.
const (
	ServesEdge         = "edge"
	ServesControlPlane = "control_plane"
)

// Settings is the contents of the settings file.
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
	InternalRoutes  map[string]string `json:"internalRoutes,omitempty" validate:"dive,keys,address,endkeys,address"` // through relays
	Seeds           []string          `json:"seedPeers" validate:"dive,address"`                                     // control addresses
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
	PlatformAPI     *PlatformAPI      `json:"platformApi"` // nil: the platform takes no calls
}

// ListenAddresses are where the process serves its callers; which are needed follows from Settings.Serves.
type ListenAddresses struct {
	Front     string `json:"front" validate:"omitempty,address"`
	Readiness string `json:"readiness" validate:"omitempty,address"`
	Control   string `json:"control" validate:"omitempty,address"`
}

// Limits of the machine. Zero means that the file does not say.
type Limits struct {
	CPUShare float64 `json:"cpuShare" validate:"gte=0"`
	CPUCores float64 `json:"cpuCores" validate:"gte=0"`
	MemoryMb float64 `json:"memoryMb" validate:"gte=0"`
	MaxFds   int     `json:"maxFds" validate:"gte=0"`
	LinkMbps float64 `json:"linkMbps" validate:"gte=0"`
	DiskMb   float64 `json:"diskMb" validate:"gte=0"`
}

// FaultTolerance is what may be lost at once with all rules kept.
type FaultTolerance struct {
	Machines int `json:"machines" validate:"gte=0"` // of those with LossCounted
	Zones    int `json:"zones" validate:"gte=0"`
	Regions  int `json:"regions" validate:"gte=0"`
}

// PlatformAPI is where the platform takes calls.
type PlatformAPI struct {
	Address  string   `json:"address" validate:"address"`
	RatePerS float64  `json:"ratePerS" validate:"gte=0"`
	Duties   []string `json:"duties"`
	DutyPerS float64  `json:"dutyPerS" validate:"gte=0"`
}

// IsGateway tells whether the process serves clients.
func (s Settings) IsGateway() bool { return s.servesTo(ServesEdge) }

// IsController tells whether the process serves the control plane.
func (s Settings) IsController() bool { return s.servesTo(ServesControlPlane) }

func (s Settings) servesTo(callers string) bool {
	for _, served := range s.Serves {
		if served == callers {
			return true
		}
	}
	return false
}

// HasContract tells whether this part of the rules is in force.
func (s Settings) HasContract(name string) bool {
	for _, contract := range s.ActiveContracts {
		if contract == name {
			return true
		}
	}
	return false
}

// ToleratedMachines is how many machines may be lost at once.
func (s Settings) ToleratedMachines() int { return s.FaultTolerance.Machines }

// BeatInterval is about how often an instance sends a heartbeat.
func (s Settings) BeatInterval() time.Duration { return milliseconds(s.BeatIntervalMs) }

// RPCAddress is where this process would listen for other processes of the system.
func (s Settings) RPCAddress() string {
	ip, err := netip.ParseAddr(s.IPAddress)
	if err != nil {
		return ""
	}
	return s.rpcAddressAt(ip)
}

// SeedRPCAddresses are where the seeds listen for other processes of the system: all machines have the same ports.
func (s Settings) SeedRPCAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		control, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue // Parse has refused it
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
