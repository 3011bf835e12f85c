// Package failover decides who leads each database service and when that changes. It is a state machine without I/O,
// clocks or goroutines. A controller that becomes primary of the control state makes a new manager.
//
// It relies on these facts, beside the rules written at each decision:
//   - With syncReplicas an acknowledged commit is in the logs of two instances at least: of the primary and of one replica.
//   - After FreezeCleared for a freeze no gateway passes on the success of a write that it sent before the freeze was lifted.
//   - An intent is on the disks of all copies before its call is made, so a later holder knows of each call under way.
//   - A call that was sent acts within Settings.MaxCallDelay, or never.
//   - A pause lasts until CONTINUE, a promote or a restart. A restart may be too quick to be noticed: what an instance receives after it is
//     acknowledged to nobody, since every gateway keeps the freeze.
//   - STEPDOWN makes a replica that receives like any other: only a pause after it stops it from receiving.
//   - In a planned handover the leader is not told to step down first, unless a replica is silent: all replicas are paused, so it
//     can acknowledge nothing, and if the platform can't be reached it goes on.
//   - A replica that answered no probes and sent no heartbeats for Settings.ReplicaLostAfter, while the leader was alive, receives
//     nothing from the leader either.
package failover

import (
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"eiderway/control/feed"
	"eiderway/control/invariant"
)

// Manager decides on the failover of all services of a control state.
type Manager struct {
	settings  Settings
	overrides safetyOverrides

	freezeChanges uint64
	services      map[string]*service
	serviceNames  []string // sorted: nothing depends on the order of the map

	lastFreeze uint64
	lastNumber uint64 // of probes, calls and requests
	probes     map[uint64]*pendingProbe
	nextCallAt time.Duration

	effects Effects
}

// safetyOverrides disables single safety rules. Only tests do.
type safetyOverrides struct {
	allowPauseBeforeClear  bool // pause replicas before every gateway is known to keep the freeze
	allowUnpausedPositions bool // pause no replica, and count positions that were read without a pause
	allowUnprovenChoice    bool // choose the furthest of those that answered without proof
	allowCallBeforeIntent  bool // send the call before its intent is committed
	allowImmediateRetarget bool // call another target at once after an unknown outcome
	ignoreLateCalls        bool // don't wait out an earlier holder's calls
	trustRefusals          bool // take an instance for dead whose address refuses connections, or answers for another one
}

type pendingProbe struct {
	service *service
	member  *member
	kind    ProbeKind
	term    uint64
	sent    time.Duration
}

// New returns a manager that knows of no service yet.
func New(now time.Duration, settings Settings) *Manager {
	return &Manager{
		settings:   settings,
		services:   map[string]*service{},
		probes:     map[uint64]*pendingProbe{},
		nextCallAt: now,
	}
}

// Step takes one input and returns what the host must do.
func (m *Manager) Step(now time.Duration, input Input) Effects {
	m.effects = Effects{}
	switch in := input.(type) {
	case CommittedState:
		m.applyState(now, in)
	case Heartbeat:
		m.handleHeartbeat(now, in)
	case GatewayReport:
		m.handleGatewayReport(now, in)
	case FreezeCleared:
		m.handleFreezeCleared(now, in)
	case ProbeEnded:
		m.handleProbeEnded(now, in.Result)
	case CallEnded:
		m.handleCallEnded(now, in.Result)
	case ChangeDecided:
		m.handleChangeDecided(now, in)
	}
	if _, tick := input.(Tick); tick {
		m.expireProbes(now)
		for _, name := range m.serviceNames {
			if s := m.services[name]; now >= s.idleUntil {
				s.advance(now)
			}
		}
		m.checkInvariants(now)
	}
	return m.effects
}

// checkInvariants logs an event for each service that begins to break an invariant.
func (m *Manager) checkInvariants(now time.Duration) {
	for _, name := range m.serviceNames {
		s := m.services[name]
		leader := s.leader()
		overdue := leader != nil && !s.frozen && leader.isDrainOver(now-maxFreezeDelay, m.settings)
		if overdue && !s.overdueLogged {
			m.addEvent(invariant.Broken, fmt.Sprintf("%s: %s: %s", invariant.DrainedLeaderIsFrozen, name, leader.instance.ID))
		}
		s.overdueLogged = overdue
	}
}

// DrainLimits returns, for each draining instance, how long statements may still be begun there.
func (m *Manager) DrainLimits(now time.Duration) []feed.DrainLimit {
	var drains []feed.DrainLimit
	for _, name := range m.serviceNames {
		for _, present := range m.services[name].presentMembers() {
			if present.instance.Draining {
				drains = append(drains, feed.DrainLimit{InstanceID: present.instance.ID, Left: present.drainLeft(now, m.settings)})
			}
		}
	}
	return drains
}

// BlockingInstances returns the instances whose copies stand against every choice of a new leader of a service that waits for one, and
// nil if the service doesn't wait.
func (m *Manager) BlockingInstances(service string) []string {
	s, found := m.services[service]
	if !found || !s.frozen || s.phase != pausing {
		return nil
	}
	return slices.Clone(s.blocking)
}

// FreezeChanges returns a counter that rises whenever a service is frozen or unfrozen.
func (m *Manager) FreezeChanges() uint64 { return m.freezeChanges }

// Frozen reports whether no statement may be started at the leader of the service, and returns the number of the freeze. Numbers rise.
func (m *Manager) Frozen(service string) (freeze uint64, frozen bool) {
	s, found := m.services[service]
	if !found || !s.frozen {
		return 0, false
	}
	return s.freezeNumber, true
}

func (m *Manager) applyState(now time.Duration, world CommittedState) {
	m.serviceNames = lo.Map(world.Services, func(view ServiceView, _ int) string { return view.Name })
	slices.Sort(m.serviceNames)
	for name := range m.services {
		if _, found := slices.BinarySearch(m.serviceNames, name); !found {
			m.freezeChanges++
			delete(m.services, name)
		}
	}
	added := 0
	for _, view := range world.Services {
		s, found := m.services[view.Name]
		if !found {
			s = newService(m, now, view, added)
			added++
			m.services[view.Name] = s
		}
		s.updateView(now, view)
		s.advance(now)
	}
}

func (m *Manager) handleHeartbeat(now time.Duration, beat Heartbeat) {
	if s, found := m.services[beat.Service]; found {
		s.handleHeartbeat(now, beat)
		s.advance(now)
	}
}

func (m *Manager) handleGatewayReport(now time.Duration, in GatewayReport) {
	for _, name := range m.serviceNames {
		s := m.services[name]
		if s.findMember(in.Report.InstanceID) != nil {
			s.handleGatewayReport(now, in)
			s.advance(now)
			return
		}
	}
}

func (m *Manager) handleFreezeCleared(now time.Duration, in FreezeCleared) {
	s, found := m.services[in.Service]
	if !found || !s.frozen || s.freezeNumber != in.Freeze || s.cleared {
		return
	}
	s.cleared, s.clearedAt = true, now
	s.advance(now)
}

func (m *Manager) handleProbeEnded(now time.Duration, result ProbeResult) {
	probe, found := m.probes[result.Number]
	if !found {
		return
	}
	delete(m.probes, result.Number)
	probe.member.outstanding[probe.kind] = 0
	if m.services[probe.service.name] != probe.service {
		return
	}
	if result.Answer == Answered || result.Answer == Busy {
		m.effects.AliveInstanceID = probe.member.instance.ID
	}
	probe.service.handleProbeEnded(now, probe, result)
	probe.service.advance(now)
}

func (m *Manager) expireProbes(now time.Duration) {
	late := lo.Filter(lo.Keys(m.probes), func(number uint64, _ int) bool { return now-m.probes[number].sent >= probeExpiry })
	slices.Sort(late)
	for _, number := range late {
		m.handleProbeEnded(now, ProbeResult{Number: number, Answer: Silent, Started: m.probes[number].sent})
	}
}

func (m *Manager) handleCallEnded(now time.Duration, result PlatformResult) {
	for _, name := range m.serviceNames {
		if s := m.services[name]; s.call.number != 0 && s.call.number == result.Number {
			s.handleCallEnded(now, result)
			s.advance(now)
			return
		}
	}
}

func (m *Manager) handleChangeDecided(now time.Duration, in ChangeDecided) {
	for _, name := range m.serviceNames {
		if s := m.services[name]; s.request.number != 0 && s.request.number == in.Request {
			s.handleChangeDecided(now, in.Committed)
			s.advance(now)
			return
		}
	}
}

func (m *Manager) nextNumber() uint64 {
	m.lastNumber++
	return m.lastNumber
}

func (m *Manager) addEvent(what string, text string) {
	m.effects.Events = append(m.effects.Events, Event{What: what, Text: text})
}

// mayCall reports whether the rate that the platform allows permits a call now.
func (m *Manager) mayCall(now time.Duration) bool {
	return now >= m.nextCallAt && m.settings.CallsPerSecond > 0
}

func (m *Manager) delayNextCall(now time.Duration) {
	m.nextCallAt = now + time.Duration(float64(time.Second)/m.settings.CallsPerSecond)
}
