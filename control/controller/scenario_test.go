package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"eiderway/control/replication"
	"eiderway/testing/scenario"
)

// scenarioRunner plays a scenario on a deployment. A scenario is a text file with one command a line; # begins a comment. The first command
// is
//
//	controllers COUNT tolerance COUNT
//
// Controllers are called a, b, c and so on. Times are like 300ms or 2s.
//
//	gateway NAME...                      start gateways that request tables from the controllers
//	instance ID primary|replica          start an instance of service s that sends heartbeats to the primary
//	run TIME                             let time pass
//	await primary NODE                   wait up to 10s for this or any other expectation
//	cut A-B | cut A>B | join A-B         cut or restore links, also those of gateways
//	isolate NODE                         cut all links to the other controllers
//	links                                restore all links
//	freeze NAME | thaw NAME              suspend or resume the process of a controller or gateway
//	kill NAME | power NAME | wipe NAME   end the process; cut the power; lose the disk
//	start NAME
//	dump | restore                       dump all states; replace all disks by the dumps and start again
//	stop NODE                            send SIGTERM
//	disk NODE TIME                       set how long a sync takes
//	probes TIME                          set how long answers to probes take
//	slow GATEWAY TIME                    set how long a gateway takes to apply a table
//	down ID | up ID | draining ID        change an instance
//	promote ID                           make an instance leader in a new term
//	order NODE NUMBER CONTENT = ANSWER   replace the configuration and wait for the answer; | separates alternatives
//	invalid NODE = ANSWER                the same with an invalid configuration
//	fetch NODE = ANSWER                  fetch the configuration: 503, 307 a, 200 NUMBER CONTENT
//	leave NODE ID = ANSWER
//	beat NODE ID ready|draining|warming SEQ = ANSWER
//	LABEL: order ...                     the same without waiting
//	answer LABEL = ANSWER                wait for the answer
//	abandon LABEL                        the caller goes away
//	expect unanswered LABEL
//	expect primary NODE | none
//	expect frozen yes|no                 service s at the primary
//	expect pauses yes|no                 whether replicas were paused so far
//	expect calls COUNT                   to the platform so far
//	expect event TEXT COUNT
//	expect lease GATEWAY yes|no
//	expect table GATEWAY NUMBER          number of the configuration that the gateway has
//	expect leader GATEWAY ID             of service s
//	expect instance GATEWAY ID ready|draining|gone
//	expect ends NODE                     the process has exited after SIGTERM
type scenarioRunner struct {
	deployment *deployment
	labels     map[string]*testCall
	dumps      map[*machine]replication.DurableState
	seed       int64
	guards     disabledGuards
	trace      func(string)
}

// maxWait bounds how long tests wait for a condition.
const maxWait = 10 * time.Second

func playScenario(path string, seed int64, guards disabledGuards, trace func(string)) error {
	lines, err := scenario.Read(path)
	if err != nil {
		return err
	}
	s := &scenarioRunner{labels: map[string]*testCall{}, seed: seed, guards: guards, trace: trace}
	for _, line := range lines {
		if trace != nil {
			trace("--- " + line.Text)
		}
		if err := s.runCommand(line.Words); err != nil {
			return fmt.Errorf("%s: %w", line.Location, err)
		}
		if s.deployment.violation != "" {
			return fmt.Errorf("%s: %s", line.Location, s.deployment.violation)
		}
	}
	return nil
}

func (s *scenarioRunner) runCommand(words []string) error {
	if label, found := strings.CutSuffix(words[0], ":"); found {
		s.labels[label] = s.sendCall(words[1:])
		return nil
	}
	if at := slices.Index(words, "="); at > 0 {
		call := s.labels[words[1]]
		if words[0] != "answer" {
			call = s.sendCall(words[:at])
		}
		return s.expectAnswer(call, strings.Join(words[at+1:], " "))
	}
	switch words[0] {
	case "await":
		if !s.deployment.runUntil(maxWait, func() bool { return s.expect(words[1:]) == nil }) {
			return s.expect(words[1:])
		}
		return nil
	case "expect":
		return s.expect(words[1:])
	}
	return s.runAction(words)
}

func (s *scenarioRunner) expectAnswer(call *testCall, wanted string) error {
	s.deployment.runUntil(3*time.Second, func() bool { return call.reply != nil })
	if got := call.outcome(); !slices.Contains(strings.Split(wanted, " | "), got) {
		return fmt.Errorf("got %s", got)
	}
	return nil
}

func (s *scenarioRunner) sendCall(words []string) *testCall {
	d := s.deployment
	to := d.machine(words[1])
	switch words[0] {
	case "order":
		return d.sendConfiguration(to, int64(scenario.ParseInt(words[2])), words[3])
	case "invalid":
		return d.sendInvalidConfiguration(to)
	case "fetch":
		return d.sendFetch(to)
	case "leave":
		return d.sendLeave(to, words[2])
	case "beat":
		instance := instance{id: words[2], isDraining: words[3] == "draining", seq: uint64(scenario.ParseInt(words[4]))}
		heartbeat := instance.heartbeat()
		if words[3] == "warming" {
			heartbeat.WarmupLeftMs = 1000
		}
		return d.sendHeartbeat(to, heartbeat)
	}
	panic("unknown call " + words[0])
}

// restore replaces the disks of all controllers by the dumps, and starts them.
func (s *scenarioRunner) restore() {
	for _, machine := range s.deployment.machines {
		s.deployment.powerLoss(machine)
		machine.disk.durable = s.dumps[machine]
		machine.disk.durable.Voter.Restored = true
	}
	for _, machine := range s.deployment.machines {
		s.deployment.start(machine)
	}
}

func (s *scenarioRunner) runAction(words []string) error {
	d := s.deployment
	switch words[0] {
	case "controllers":
		s.deployment = newDeployment(s.seed, scenario.ParseInt(words[1]), scenario.ParseInt(words[3]), s.guards)
		s.deployment.trace = s.trace
	case "gateway":
		for _, name := range words[1:] {
			d.addGateway(name)
		}
	case "instance":
		d.addInstance(words[1], words[2] == "primary")
	case "run":
		d.run(scenario.ParseDuration(words[1]))
	case "cut", "join":
		d.cutLinks.Set(words[1], words[0] == "cut")
	case "isolate":
		d.isolate(words[1])
	case "links":
		clear(d.cutLinks)
	case "disk":
		d.machine(words[1]).disk.delay = scenario.ParseDuration(words[2])
	case "probes":
		d.probeTime = scenario.ParseDuration(words[1])
	case "slow":
		d.gateway(words[1]).applyDelay = scenario.ParseDuration(words[2])
	case "dump":
		s.dumps = map[*machine]replication.DurableState{}
		for _, machine := range d.machines {
			s.dumps[machine] = machine.disk.durable
			dump := s.dumps[machine]
			dump.Entries = maps.Clone(dump.Entries)
			s.dumps[machine] = dump
		}
	case "restore":
		s.restore()
	case "down", "up":
		d.instance(words[1]).isUp = words[0] == "up"
	case "promote":
		d.promote(words[1])
	case "draining":
		d.instance(words[1]).isDraining = true
	case "abandon":
		s.abandon(s.labels[words[1]])
	case "stop":
		d.deliver(d.machine(words[1]), Terminate{})
	default:
		return s.runProcessCommand(words[0], words[1])
	}
	return nil
}

func (s *scenarioRunner) abandon(abandoned *testCall) {
	for id, call := range s.deployment.calls {
		if call == abandoned {
			s.deployment.deliver(abandoned.to, Abandon{Call: id})
		}
	}
}

func (s *scenarioRunner) runProcessCommand(what, name string) error {
	if gateway := s.deployment.gateway(name); gateway != nil {
		switch what {
		case "freeze", "thaw":
			gateway.isFrozen = what == "freeze"
		case "kill":
			gateway.isUp = false
		case "start":
			s.deployment.startGateway(gateway)
		}
		return nil
	}
	machine := s.deployment.machine(name)
	switch what {
	case "freeze":
		machine.isFrozen = true
	case "thaw":
		s.deployment.thaw(machine)
	case "kill":
		s.deployment.kill(machine)
	case "power":
		s.deployment.powerLoss(machine)
	case "wipe":
		s.deployment.wipe(machine)
	case "start":
		s.deployment.start(machine)
	default:
		return fmt.Errorf("unknown command")
	}
	return nil
}

func (s *scenarioRunner) expect(words []string) error {
	wanted := words[len(words)-1]
	if got := s.observe(words[:len(words)-1], wanted); got != wanted {
		return fmt.Errorf("got %s", got)
	}
	return nil
}

func yesOrNo(holds bool) string {
	if holds {
		return "yes"
	}
	return "no"
}

func (s *scenarioRunner) observe(what []string, last string) string {
	d := s.deployment
	switch what[0] {
	case "unanswered":
		if s.labels[last].reply == nil {
			return last
		}
		return s.labels[last].outcome()
	case "primary":
		if primary := d.primary(); primary != nil {
			return primary.name
		}
		return "none"
	case "frozen":
		primary := d.primary()
		return yesOrNo(primary != nil && slices.Contains(primary.controller.Status().FrozenServices, "s"))
	case "pauses":
		return yesOrNo(d.pauseCount > 0)
	case "calls":
		return fmt.Sprint(d.platformCalls)
	case "event":
		text := strings.Join(what[1:], " ")
		count := 0
		for _, event := range d.events {
			if event == text {
				count++
			}
		}
		return fmt.Sprint(count)
	case "ends":
		if d.machine(last).hasExited {
			return last
		}
		return "not yet"
	}
	return s.observeGateway(what)
}

func (s *scenarioRunner) observeGateway(what []string) string {
	gateway := s.deployment.gateway(what[1])
	switch what[0] {
	case "lease":
		return yesOrNo(s.deployment.now < gateway.leaseUntil)
	case "table":
		return fmt.Sprint(gateway.configurationNumber)
	case "leader":
		return gateway.service("s").Leader.InstanceID
	case "instance":
		for _, known := range gateway.service("s").Instances {
			if known.ID != what[2] {
				continue
			}
			if known.Draining {
				return "draining"
			}
			return "ready"
		}
		return "gone"
	}
	panic("unknown expectation " + what[0])
}

func TestScenarios(t *testing.T) {
	scenario.Each(t, func(t *testing.T, path string) {
		for seed := int64(1); seed <= 5; seed++ {
			var trace func(string)
			if testing.Verbose() && seed == 2 {
				trace = func(line string) { t.Log(line) }
			}
			if err := playScenario(path, seed, disabledGuards{}, trace); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
	})
}
