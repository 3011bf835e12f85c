// Package failover decides who leads each database service and when that changes. It is a state machine without I/O,
// clocks or goroutines. The controller that leads the control state makes a manager anew whenever it becomes primary.
//
// What it rests on, beside the rules written at each decision:
//   - With syncReplicas an acknowledged commit is in the logs of two instances at least: of the primary and of one replica.
//   - After FreezeCleared for a freeze no gateway passes on the success of a write that it sent before the freeze was lifted.
//   - An intent is on the disks of all copies before its call is made, so a later holder knows of each call under way.
//   - A call that was sent acts within Settings.MaxCallDelay, or never.
//   - A pause lasts until CONTINUE, a promote or a restart, and a restart takes longer than a commit waits for a replica.
//   - STEPDOWN makes a replica that receives like any other: only the pause after it makes it keep still.
//   - In a planned hand-over the leader is not told to step down first, unless a replica is silent: all replicas are paused, so it
//     can acknowledge nothing, and if the platform can't be reached it goes on.
//   - A replica that answered neither probes nor sent heartbeats for Settings.ReplicaLost, while the leader lived, receives
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
	settings Settings
	guards   guards

	freezeChanges uint64
	services      map[string]*service
	order         []string // names of services, sorted: nothing depends on the order of the map

	freezes  uint64
	numbers  uint64 // of probes, calls and requests
	probes   map[uint64]*pendingProbe
	nextCall time.Duration

	effects Effects
}

// guards switches single rules of safety off. Only tests do.
type guards struct {
	pauseUncleared     bool // replicas are paused before every gateway is known to keep the freeze
	positionsUnpaused  bool // nobody is paused: positions count that were read without a pause
	choiceUnproven     bool // the furthest of those that answered is taken
	callWithoutIntent  bool // the call leaves before its intent is committed
	repeatAtOnce       bool // after an unknown outcome another target may be called at once
	lateCallsForgotten bool // an earlier holder's calls are not waited out
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
		settings: settings,
		services: map[string]*service{},
		probes:   map[uint64]*pendingProbe{},
		nextCall: now,
	}
}

// Step takes one input and returns what the host must do.
func (m *Manager) Step(now time.Duration, input Input) Effects {
	m.effects = Effects{}
	switch in := input.(type) {
	case CommittedState:
		m.world(now, in)
	case Heartbeat:
		m.heard(now, in)
	case GatewayReport:
		m.reported(now, in)
	case FreezeCleared:
		m.cleared(now, in)
	case ProbeEnded:
		m.probed(now, in.Result)
	case CallEnded:
		m.called(now, in.Result)
	case ChangeDecided:
		m.changed(now, in)
	}
	if _, tick := input.(Tick); tick {
		m.expireProbes(now)
		for _, name := range m.order {
			if s := m.services[name]; now >= s.idleUntil {
				s.advance(now)
			}
		}
		m.check(now)
	}
	return m.effects
}

// check tells of services that break an invariant.
func (m *Manager) check(now time.Duration) {
	for _, name := range m.order {
		s := m.services[name]
		leader := s.leader()
		overdue := leader != nil && !s.frozen && leader.drainSpent(now-frozenWithin, m.settings)
		if overdue && !s.overdueSaid {
			m.event(invariant.Broken, fmt.Sprintf("%s: %s: %s", invariant.DrainedLeaderIsFrozen, name, leader.instance.ID))
		}
		s.overdueSaid = overdue
	}
}

// DrainLimits tells of all instances that drain how long statements may yet be begun there.
func (m *Manager) DrainLimits(now time.Duration) []feed.DrainLimit {
	var drains []feed.DrainLimit
	for _, name := range m.order {
		for _, known := range m.services[name].present() {
			if known.instance.Draining {
				drains = append(drains, feed.DrainLimit{InstanceID: known.instance.ID, Left: known.drainLeft(now, m.settings)})
			}
		}
	}
	return drains
}

// BlockingInstances gives the instances whose copies stand against every choice of a new leader of a service that waits for one; none if it
// doesn't wait.
func (m *Manager) BlockingInstances(service string) []string {
	s, found := m.services[service]
	if !found || !s.frozen || s.phase != pausing {
		return nil
	}
	return slices.Clone(s.missing)
}

// FreezeChanges rises whenever a service is frozen, or isn't any more.
func (m *Manager) FreezeChanges() uint64 { return m.freezeChanges }

// Frozen tells whether no statement may be started at the leader of the service, and the number of the freeze.
func (m *Manager) Frozen(service string) (freeze uint64, frozen bool) {
	s, found := m.services[service]
	if !found || !s.frozen {
		return 0, false
	}
	return s.freeze, true
}

func (m *Manager) world(now time.Duration, world CommittedState) {
	m.order = lo.Map(world.Services, func(view ServiceView, _ int) string { return view.Name })
	slices.Sort(m.order)
	for name := range m.services {
		if _, found := slices.BinarySearch(m.order, name); !found {
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
		s.take(now, view)
		s.advance(now)
	}
}

func (m *Manager) heard(now time.Duration, beat Heartbeat) {
	if s, found := m.services[beat.Service]; found {
		s.heard(now, beat)
		s.advance(now)
	}
}

func (m *Manager) reported(now time.Duration, in GatewayReport) {
	for _, name := range m.order {
		s := m.services[name]
		if s.member(in.Report.InstanceID) != nil {
			s.reported(now, in)
			s.advance(now)
			return
		}
	}
}

func (m *Manager) cleared(now time.Duration, in FreezeCleared) {
	s, found := m.services[in.Service]
	if !found || !s.frozen || s.freeze != in.Freeze || s.cleared {
		return
	}
	s.cleared, s.clearedAt = true, now
	s.advance(now)
}

func (m *Manager) probed(now time.Duration, result ProbeResult) {
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
	probe.service.probed(now, probe, result)
	probe.service.advance(now)
}

func (m *Manager) expireProbes(now time.Duration) {
	late := lo.Filter(lo.Keys(m.probes), func(number uint64, _ int) bool { return now-m.probes[number].sent >= probeGivenUp })
	slices.Sort(late)
	for _, number := range late {
		m.probed(now, ProbeResult{Number: number, Answer: Silent, Started: m.probes[number].sent})
	}
}

func (m *Manager) called(now time.Duration, result PlatformResult) {
	for _, name := range m.order {
		if s := m.services[name]; s.call.number != 0 && s.call.number == result.Number {
			s.called(now, result)
			s.advance(now)
			return
		}
	}
}

func (m *Manager) changed(now time.Duration, in ChangeDecided) {
	for _, name := range m.order {
		if s := m.services[name]; s.request.number != 0 && s.request.number == in.Request {
			s.changed(now, in.Committed)
			s.advance(now)
			return
		}
	}
}

func (m *Manager) number() uint64 {
	m.numbers++
	return m.numbers
}

func (m *Manager) event(what string, text string) {
	m.effects.Events = append(m.effects.Events, Event{What: what, Text: text})
}

// mayCall keeps to the pace that the platform bears.
func (m *Manager) mayCall(now time.Duration) bool {
	return now >= m.nextCall && m.settings.CallsPerSecond > 0
}

func (m *Manager) paceCall(now time.Duration) {
	m.nextCall = now + time.Duration(float64(time.Second)/m.settings.CallsPerSecond)
}
