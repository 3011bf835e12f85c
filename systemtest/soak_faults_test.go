package systemtest

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"eiderway/systemtest/workload"
	"eiderway/testinstance"
)

// Faults that the soak injects.

// startRandomFault starts one random fault.
func (s *soak) startRandomFault() {
	if s.random.IntN(shareOfDepartures) == 0 {
		s.endInstance()
		return
	}
	kinds := []func(){
		s.killController, s.stopController, s.killGateway, s.stopGateway, s.terminateController, s.terminateGateway, s.cutGateway, s.cutController, s.cutReplication,
		s.freezeInstance, s.crashInstance, s.loseAnswers, s.disturbPlatform, s.cutControl,
		s.cutControllers, s.cutControllers, s.isolateController, s.cutGatewayFromCore, s.cutGatewayFromCore,
		s.changeTenants, s.changeTenants,
	}
	kinds[s.random.IntN(len(kinds))]()
}

// startFault starts a fault of random length, unless its target has an active fault.
func (s *soak) startFault(what, how string, begin, end func()) {
	s.startFaultFor(what, how, s.between(minFaultTime, maxFaultTime), begin, end)
}

// startFaultFor starts a fault, unless its target has an active one.
func (s *soak) startFaultFor(what, how string, lasting time.Duration, begin, end func()) {
	if s.busy[what] {
		return
	}
	s.record("%s: %s for %v", what, how, lasting.Round(time.Millisecond))
	s.busy[what] = true
	begin()
	s.active = append(s.active, active{what: what, ends: time.Now().Add(lasting), end: end})
}

func (s *soak) killController() {
	number := s.random.IntN(workload.ControllerCount)
	one := s.controllers[number]
	s.startFault(one.name, "killed", one.kill, func() { s.startController(number, false) })
}

// terminateController asks a controller to shut down, as the platform does: it is killed if it still runs after the grace period.
func (s *soak) terminateController() {
	number := s.random.IntN(workload.ControllerCount)
	one := s.controllers[number]
	s.startFaultFor(one.name, "terminated", workload.GraceTime, func() { one.signal(syscall.SIGTERM) }, func() {
		one.kill()
		s.startController(number, false)
	})
}

// terminateGateway does the same to a gateway.
func (s *soak) terminateGateway() {
	number := s.random.IntN(gatewayCount)
	one := s.gateways[number]
	s.startFaultFor(one.name, "terminated", workload.GraceTime, func() { one.signal(syscall.SIGTERM) }, func() {
		one.kill()
		s.startGateway(number)
	})
}

func (s *soak) stopController() {
	one := s.controllers[s.random.IntN(workload.ControllerCount)]
	s.startFault(one.name, "stopped", func() { one.signal(syscall.SIGSTOP) }, func() { one.signal(syscall.SIGCONT) })
}

func (s *soak) killGateway() {
	number := s.random.IntN(gatewayCount)
	one := s.gateways[number]
	s.startFault(one.name, "killed", one.kill, func() { s.startGateway(number) })
}

func (s *soak) stopGateway() {
	number := s.random.IntN(gatewayCount)
	one, caller := s.gateways[number], gatewayName(number)
	stop := func() {
		s.stopped[caller] = append(s.stopped[caller], span{from: time.Now()})
		one.signal(syscall.SIGSTOP)
	}
	goOn := func() {
		one.signal(syscall.SIGCONT)
		spans := s.stopped[caller]
		spans[len(spans)-1].to = time.Now()
	}
	s.startFault(one.name, "stopped", stop, goOn)
}

// anyDirection returns both ways as often as one way.
func (s *soak) anyDirection() direction {
	return []direction{bothWays, bothWays, onlyForward, onlyBackward}[s.random.IntN(4)]
}

// cutControllers cuts two controllers from each other.
func (s *soak) cutControllers() {
	first := s.random.IntN(workload.ControllerCount)
	second := (first + 1 + s.random.IntN(workload.ControllerCount-1)) % workload.ControllerCount
	s.cutLink(controllerName(min(first, second)), controllerName(max(first, second)))
}

func (s *soak) cutLink(one, other string) {
	how := s.anyDirection()
	cut := func(isCut bool) func() { return func() { s.links.cut(one, other, how, isCut) } }
	s.startFault(one+" "+other, fmt.Sprintf("cut (%d)", how), cut(true), cut(false))
}

// isolateController cuts one controller from all others.
func (s *soak) isolateController() {
	number, how := s.random.IntN(workload.ControllerCount), s.anyDirection()
	cut := func(isCut bool) func() {
		return func() {
			for other := range workload.ControllerCount {
				s.links.cut(controllerName(number), controllerName(other), how, isCut)
			}
		}
	}
	s.startFault(controllerName(number)+" alone", fmt.Sprintf("cut (%d)", how), cut(true), cut(false))
}

// cutGatewayFromCore cuts a gateway from one controller, or from all.
func (s *soak) cutGatewayFromCore() {
	gateway := gatewayName(s.random.IntN(gatewayCount))
	if s.random.IntN(2) == 0 {
		s.cutLink(gateway, controllerName(s.random.IntN(workload.ControllerCount)))
		return
	}
	how := s.anyDirection()
	cut := func(isCut bool) func() {
		return func() {
			for number := range workload.ControllerCount {
				s.links.cut(gateway, controllerName(number), how, isCut)
			}
		}
	}
	s.startFault(gateway+" core", fmt.Sprintf("cut (%d)", how), cut(true), cut(false))
}

func controllerName(number int) string { return fmt.Sprintf("controller-%d", number) }

// gatewayName returns the name that a gateway gives to instances.
func gatewayName(number int) string { return fmt.Sprintf("gateway-%d", number) }

func (s *soak) cutGateway() {
	s.cutCaller(gatewayName(s.random.IntN(gatewayCount)))
}

func (s *soak) cutController() {
	s.cutCaller(controllerName(s.random.IntN(workload.ControllerCount)))
}

func (s *soak) cutCaller(who string) {
	cut := func(isCut bool) func() { return func() { s.service.CutCaller(who, isCut) } }
	s.startFault("instances from "+who, "cut", cut(true), cut(false))
}

func (s *soak) cutControl() {
	address := s.layout.Control(s.random.IntN(workload.ControllerCount))
	cut := func(isCut bool) func() { return func() { s.service.CutController(address, isCut) } }
	s.startFault("calls of instances to "+address, "cut", cut(true), cut(false))
}

func (s *soak) cutReplication() {
	present := s.presentInstances()
	if len(present) < 2 {
		return
	}
	one, other := present[0], present[1+s.random.IntN(len(present)-1)]
	cut := func(isCut bool) func() { return func() { s.service.Cut(one, other, isCut) } }
	s.startFault("replication "+one.ID()+" "+other.ID(), "cut", cut(true), cut(false))
}

func (s *soak) freezeInstance() {
	one := s.anyInstance()
	s.startFault(one.ID(), "frozen", func() { one.Freeze(true) }, func() { one.Freeze(false) })
}

// crashInstance crashes an instance, which comes back with its log: often at once, and under its ID or a new one.
func (s *soak) crashInstance() {
	one := s.anyInstance()
	if one.HasLeft() {
		return
	}
	lasting := s.between(minFaultTime, maxFaultTime)
	if s.random.IntN(2) == 0 {
		lasting = s.between(minRestartTime, time.Second)
	}
	isRenamed := s.random.IntN(2) == 0
	s.startFaultFor(one.ID(), "crashed", lasting, one.Crash, func() {
		if isRenamed && s.mayRename(one) {
			s.restartAs(one)
			return
		}
		_ = one.Restart() // an instance that has left meanwhile cannot be restarted
	})
}

// mayRename reports whether an instance may come back under a new ID. A replica that does counts as another one: with a departure beside it,
// two copies would be gone, and nobody could be shown to have all that was acknowledged.
func (s *soak) mayRename(one *testinstance.Instance) bool {
	return one == s.service.Leader() || !s.isAnyEnding()
}

func (s *soak) restartAs(one *testinstance.Instance) {
	index := slices.Index(s.instances, one)
	id := fmt.Sprintf("back-%d", s.returned)
	next, err := one.RestartAs(id)
	if err != nil || index < 0 {
		return
	}
	s.returned++
	s.record("%s returns as %s", one.ID(), id)
	s.instances[index] = next
	if next != s.service.Leader() {
		s.renamedAt = time.Now()
	}
}

func (s *soak) isAnyEnding() bool {
	return slices.ContainsFunc(s.instances, (*testinstance.Instance).IsEnding)
}

func (s *soak) loseAnswers() {
	faults := testinstance.Faults{LoseAnswers: 0.1, LoseAcks: 0.3, LateShare: 0.4, MaxLateDelay: maxLateDelay}
	s.startFault("answers", "lost or late", func() { s.service.SetFaults(faults) },
		func() { s.service.SetFaults(testinstance.Faults{}) })
}

func (s *soak) disturbPlatform() {
	slow := s.between(0, time.Second)
	trouble := func(settings *testinstance.PlatformSettings) { settings.Slow, settings.LoseAnswers = slow, 1 }
	calm := func(settings *testinstance.PlatformSettings) { settings.Slow, settings.LoseAnswers = 0, 0 }
	s.startFault("platform", "slow, and loses an answer", func() { s.platform.Set(trouble) }, func() { s.platform.Set(calm) })
}

// endInstance has an instance drain, or leave without draining. The platform replaces the instances of a service one after the other: if
// all left at once, nobody would have their logs. A replica that has come back under a new ID was replaced as well.
func (s *soak) endInstance() {
	one := s.anyInstance()
	if s.busy[one.ID()] || s.isAnyEnding() || time.Since(s.renamedAt) < renamedWait {
		return
	}
	if s.random.IntN(2) == 0 {
		s.record("%s drains", one.ID())
		one.Drain()
		return
	}
	s.record("%s leaves", one.ID())
	one.Leave()
}

func (s *soak) presentInstances() []*testinstance.Instance {
	var present []*testinstance.Instance
	for _, one := range s.instances {
		if !one.HasLeft() {
			present = append(present, one)
		}
	}
	return present
}
