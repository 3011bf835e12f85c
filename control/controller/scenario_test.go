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

// A scenario is a text file: one command a line, # begins a remark. The first command is
//
//	controllers COUNT tolerance COUNT
//
// Controllers are called a, b, c and so on. Times are like 300ms or 2s.
//
//	gateway NAME...                      that ask the controllers for tables
//	instance ID primary|replica          of service s, beating to whoever leads
//	run TIME                             let time pass
//	await primary NODE                   within 10s, and any other expectation likewise
//	cut A-B | cut A>B | join A-B         a gateway's links count too
//	isolate NODE                         from the other controllers
//	links                                all links are whole again
//	freeze NAME | thaw NAME              a controller or a gateway
//	kill NAME | power NAME | wipe NAME   the process ends; it loses power; its disk is lost
//	start NAME
//	dump | restore                       all controllers lose their disks and start again with what was dumped
//	stop NODE                            SIGTERM
//	disk NODE TIME                       a sync takes this long
//	probes TIME                          answers to probes take this long
//	slow GATEWAY TIME                    until a table is applied
//	down ID | up ID | draining ID        an instance
//	promote ID                           an instance leads, in a new term
//	order NODE NUMBER CONTENT = ANSWER   an operator's order, until it is answered; several with | between
//	invalid NODE = ANSWER
//	fetch NODE = ANSWER                  such as 503, 307 a, 200 NUMBER CONTENT
//	leave NODE ID = ANSWER
//	beat NODE ID ready|draining SEQ = ANSWER
//	LABEL: order ...                     the same without waiting
//	answer LABEL = ANSWER                until it is answered
//	abandon LABEL                        the caller goes
//	expect unanswered LABEL
//	expect primary NODE | none
//	expect frozen yes|no                 service s at the primary
//	expect pauses yes|no                 whether replicas were paused so far
//	expect calls COUNT                   to the platform so far
//	expect event TEXT COUNT
//	expect lease GATEWAY yes|no
//	expect table GATEWAY NUMBER          of the configuration it works by
//	expect leader GATEWAY ID             of service s
//	expect instance GATEWAY ID ready|draining|gone
//	expect ends NODE                     after SIGTERM
type player struct {
	world  *world
	labels map[string]*call
	dumps  map[*machine]replication.DurableState
	seed   int64
	guards disabledGuards
	trace  func(string)
}

const patience = 10 * time.Second

func play(path string, seed int64, guards disabledGuards, trace func(string)) error {
	lines, err := scenario.Read(path)
	if err != nil {
		return err
	}
	s := &player{labels: map[string]*call{}, seed: seed, guards: guards, trace: trace}
	for _, line := range lines {
		if trace != nil {
			trace("--- " + line.Text)
		}
		if err := s.do(line.Words); err != nil {
			return fmt.Errorf("%s: %w", line.Place, err)
		}
		if s.world.broken != "" {
			return fmt.Errorf("%s: %s", line.Place, s.world.broken)
		}
	}
	return nil
}

func (s *player) do(words []string) error {
	if label, found := strings.CutSuffix(words[0], ":"); found {
		s.labels[label] = s.ask(words[1:])
		return nil
	}
	if at := slices.Index(words, "="); at > 0 {
		made := s.labels[words[1]]
		if words[0] != "answer" {
			made = s.ask(words[:at])
		}
		return s.answered(made, strings.Join(words[at+1:], " "))
	}
	switch words[0] {
	case "await":
		if !s.world.until(patience, func() bool { return s.expect(words[1:]) == nil }) {
			return s.expect(words[1:])
		}
		return nil
	case "expect":
		return s.expect(words[1:])
	}
	return s.trouble(words)
}

func (s *player) answered(made *call, wanted string) error {
	s.world.until(3*time.Second, func() bool { return made.reply != nil })
	if got := made.outcome(); !slices.Contains(strings.Split(wanted, " | "), got) {
		return fmt.Errorf("got %s", got)
	}
	return nil
}

func (s *player) ask(words []string) *call {
	w := s.world
	to := w.machine(words[1])
	switch words[0] {
	case "order":
		return w.sendOrder(to, int64(scenario.Number(words[2])), words[3])
	case "invalid":
		return w.sendInvalid(to)
	case "fetch":
		return w.sendFetch(to)
	case "leave":
		return w.sendLeave(to, words[2])
	case "beat":
		one := instance{id: words[2], draining: words[3] == "draining", seq: uint64(scenario.Number(words[4]))}
		beat := one.beat()
		if words[3] == "warming" {
			beat.WarmupLeftMs = 1000
		}
		return w.sendBeat(to, beat)
	}
	panic("unknown question " + words[0])
}

// restore has all controllers lose their disks, and start again with what was dumped.
func (s *player) restore() {
	for _, one := range s.world.machines {
		s.world.powerLoss(one)
		one.disk.durable = s.dumps[one]
		one.disk.durable.Voter.Restored = true
	}
	for _, one := range s.world.machines {
		s.world.start(one)
	}
}

func (s *player) trouble(words []string) error {
	w := s.world
	switch words[0] {
	case "controllers":
		s.world = newWorld(s.seed, scenario.Number(words[1]), scenario.Number(words[3]), s.guards)
		s.world.trace = s.trace
	case "gateway":
		for _, name := range words[1:] {
			w.addGateway(name)
		}
	case "instance":
		w.addInstance(words[1], words[2] == "primary")
	case "run":
		w.run(scenario.Span(words[1]))
	case "cut", "join":
		w.cut.Set(words[1], words[0] == "cut")
	case "isolate":
		w.isolate(words[1])
	case "links":
		clear(w.cut)
	case "disk":
		w.machine(words[1]).disk.delay = scenario.Span(words[2])
	case "probes":
		w.probeTime = scenario.Span(words[1])
	case "slow":
		w.gateway(words[1]).slow = scenario.Span(words[2])
	case "dump":
		s.dumps = map[*machine]replication.DurableState{}
		for _, one := range w.machines {
			s.dumps[one] = one.disk.durable
			kept := s.dumps[one]
			kept.Entries = maps.Clone(kept.Entries)
			s.dumps[one] = kept
		}
	case "restore":
		s.restore()
	case "down", "up":
		w.instance(words[1]).up = words[0] == "up"
	case "promote":
		w.promote(words[1])
	case "draining":
		w.instance(words[1]).draining = true
	case "abandon":
		s.abandon(s.labels[words[1]])
	case "stop":
		w.give(w.machine(words[1]), Terminate{})
	default:
		return s.processes(words[0], words[1])
	}
	return nil
}

func (s *player) abandon(made *call) {
	for number, one := range s.world.calls {
		if one == made {
			s.world.give(made.to, Abandon{Call: number})
		}
	}
}

func (s *player) processes(what, name string) error {
	if one := s.world.gateway(name); one != nil {
		switch what {
		case "freeze", "thaw":
			one.frozen = what == "freeze"
		case "kill":
			one.up = false
		case "start":
			s.world.startGateway(one)
		}
		return nil
	}
	one := s.world.machine(name)
	switch what {
	case "freeze":
		one.frozen = true
	case "thaw":
		s.world.thaw(one)
	case "kill":
		s.world.kill(one)
	case "power":
		s.world.powerLoss(one)
	case "wipe":
		s.world.wipe(one)
	case "start":
		s.world.start(one)
	default:
		return fmt.Errorf("unknown command")
	}
	return nil
}

func (s *player) expect(words []string) error {
	wanted := words[len(words)-1]
	if got := s.observe(words[:len(words)-1], wanted); got != wanted {
		return fmt.Errorf("got %s", got)
	}
	return nil
}

func yes(holds bool) string {
	if holds {
		return "yes"
	}
	return "no"
}

func (s *player) observe(what []string, last string) string {
	w := s.world
	switch what[0] {
	case "unanswered":
		if s.labels[last].reply == nil {
			return last
		}
		return s.labels[last].outcome()
	case "primary":
		if leads := w.primary(); leads != nil {
			return leads.name
		}
		return "none"
	case "frozen":
		leads := w.primary()
		return yes(leads != nil && slices.Contains(leads.controller.Status().FrozenServices, "s"))
	case "pauses":
		return yes(w.pauses > 0)
	case "calls":
		return fmt.Sprint(w.platform)
	case "event":
		text := strings.Join(what[1:], " ")
		count := 0
		for _, one := range w.events {
			if one == text {
				count++
			}
		}
		return fmt.Sprint(count)
	case "ends":
		if w.machine(last).mayEnd {
			return last
		}
		return "not yet"
	}
	return s.observeGateway(what)
}

func (s *player) observeGateway(what []string) string {
	one := s.world.gateway(what[1])
	switch what[0] {
	case "lease":
		return yes(s.world.now < one.until)
	case "table":
		return fmt.Sprint(one.number)
	case "leader":
		return one.service("s").Leader.InstanceID
	case "instance":
		for _, known := range one.service("s").Instances {
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
			if err := play(path, seed, disabledGuards{}, trace); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
	})
}
