package replication

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"eiderway/testing/scenario"
)

// A scenario is a text file: one command a line, # begins a remark. The first command is
//
//	nodes COUNT seeds COUNT tolerance COUNT
//
// Nodes are called a, b, c and so on; the first ones are the seeds. Times are like 300ms or 2s.
//
//	run TIME                      let time pass
//	await NODE EVENT [TIME]       until the node tells this event (10s at the most)
//	cut A>B | cut A-B             one way, both ways
//	join A>B | join A-B           again
//	isolate NODE...               these from all others
//	heal                          all trouble ends, and what ended starts again
//	links                         all links are whole again
//	freeze NODE, thaw NODE
//	kill NODE                     the process ends
//	power NODE                    and what was not synced is gone
//	wipe NODE                     and the disk
//	start NODE
//	gone NODE                     loses power and never comes back
//	seeds NODE...                 that the settings name from now on
//	add NODE                      a new machine with an empty disk
//	leave NODE                    SIGTERM; it stays away
//	disk NODE TIME                a sync takes this long
//	stall NODE TIME               nothing is synced for this long
//	refuse NODE, accept NODE      the disk refuses writes; takes them again
//	network LOSS DOUBLED LATE     shares of messages that are lost, come twice, come up to three seconds late
//	client on|off
//	value BYTES                   size of an order
//	expect primary NODE | none
//	expect voters NODE... | copies NODE...   of the newest view that the primary has committed
//	expect orders COUNT within TIME
//	expect events NODE EVENT COUNT
//	expect ended NODE
//	check                         all acknowledged orders are at the primary
//	settle                        trouble ends; within five seconds orders are acknowledged and none is lost
type player struct{ world *world }

func playScenario(path string, seed int64, guards disabledGuards, trace func(string)) error {
	lines, err := scenario.Read(path)
	if err != nil {
		return err
	}
	playing := &player{}
	for _, line := range lines {
		if line.Words[0] == "nodes" {
			playing.begin(line.Words, seed, guards, trace)
			continue
		}
		if trace != nil {
			trace(fmt.Sprintf("%8s --- %s", playing.world.now.Round(time.Millisecond), line.Text))
		}
		if err := playing.do(line.Words); err != nil {
			return fmt.Errorf("%s: %w", line.Place, err)
		}
		if playing.world.judge.broken != "" {
			return fmt.Errorf("%s: %s", line.Place, playing.world.judge.broken)
		}
	}
	return nil
}

func (s *player) begin(words []string, seed int64, guards disabledGuards, trace func(string)) {
	s.world = newWorld(seed, scenario.Number(words[1]), scenario.Number(words[3]), scenario.Number(words[5]), guards)
	s.world.sameWord = guards.emptyDiskVotes
	s.world.trace = trace
}

func (s *player) do(words []string) error {
	w := s.world
	switch words[0] {
	case "run":
		w.run(scenario.Span(words[1]))
	case "await":
		return s.await(words[1], strings.Join(words[2:], " "))
	case "cut", "join":
		w.cut.Set(words[1], words[0] == "cut")
	case "isolate":
		w.cut.Isolate(words[1:], w.names())
	case "links":
		clear(w.cut)
	case "heal":
		w.heal()
	case "client":
		w.client = words[1] == "on"
	case "network":
		w.loss, w.doubled, w.late = scenario.Share(words[1]), scenario.Share(words[2]), scenario.Share(words[3])
	case "value":
		w.orderBytes = scenario.Number(words[1])
	case "seeds":
		s.changeSeeds(words[1:])
	case "add":
		w.start(w.addMachine(words[1], false))
	case "everyone":
		return s.everyone(words[1])
	case "expect":
		return s.expect(words[1:])
	case "check":
		w.check()
	case "settle":
		w.settle(5 * time.Second)
	default:
		return s.trouble(words)
	}
	return nil
}

// everyone does the same to all machines that aren't gone.
func (s *player) everyone(word string) error {
	for _, one := range s.world.machines {
		if one.gone {
			continue
		}
		if err := s.trouble([]string{word, one.name}); err != nil {
			return err
		}
	}
	return nil
}

// named is a machine by its name, or the primary.
func (s *player) named(name string) *machine {
	if name == "primary" {
		return s.world.primary()
	}
	return s.world.machine(name)
}

func (s *player) trouble(words []string) error {
	w := s.world
	one := s.named(words[1])
	switch words[0] {
	case "freeze":
		w.freeze(one)
	case "thaw":
		w.thaw(one)
	case "kill":
		w.kill(one)
	case "power":
		w.powerLoss(one)
	case "wipe":
		w.wipe(one)
	case "start":
		one.gone = false
		w.start(one)
	case "gone":
		w.powerLoss(one)
		one.gone = true
	case "leave":
		w.leave(one, false)
	case "disk":
		one.disk.delay = scenario.Span(words[2])
	case "stall":
		one.disk.busyUntil = w.now + scenario.Span(words[2])
	case "refuse":
		one.disk.refuses = true
	case "accept":
		one.disk.refuses = false
	default:
		return fmt.Errorf("unknown command %q", words[0])
	}
	return nil
}

func (s *player) changeSeeds(names []string) {
	w := s.world
	if names[0] == "standbys" {
		names = s.standbys()
	}
	w.seeds = nil
	for _, name := range names {
		w.seeds = append(w.seeds, name+":1")
	}
	for _, one := range w.machines {
		if one.node != nil {
			w.give(one, SeedsChanged{Seeds: w.seeds})
		}
	}
}

// standbys are three controllers without a vote.
func (s *player) standbys() []string {
	var names []string
	view := s.world.primary().node.leadership.committed
	for _, one := range s.world.machines {
		if _, votes := view.Voter(one.node.self.Incarnation); !votes && len(names) < 3 {
			names = append(names, one.name)
		}
	}
	return names
}

func (s *player) await(name, event string) error {
	one := s.world.machine(name)
	before := len(one.events)
	for end := s.world.now + 10*time.Second; s.world.now < end; {
		s.world.run(time.Millisecond / 2)
		for _, told := range one.events[before:] {
			if strings.HasPrefix(told.What+" "+told.Text, event) {
				return nil
			}
		}
		if s.world.judge.broken != "" {
			return nil
		}
	}
	return fmt.Errorf("%s never told %q: %s", name, event, s.world.describe())
}

func (s *player) expect(words []string) error {
	w := s.world
	switch words[0] {
	case "primary":
		return s.expectPrimary(words[1])
	case "voters", "copies":
		return s.expectView(words[0], words[1:])
	case "voter-count":
		return s.expectVoterCount(scenario.Number(words[1]))
	case "all-know-primary":
		return s.expectAllKnowPrimary()
	case "orders":
		before := w.judge.done
		w.run(scenario.Span(words[3]))
		if got := w.judge.done - before; got < scenario.Number(words[1]) {
			return fmt.Errorf("%d orders acknowledged: %s", got, w.describe())
		}
	case "events":
		count := 0
		for _, told := range w.machine(words[1]).events {
			if told.What == strings.Join(words[2:len(words)-1], " ") {
				count++
			}
		}
		if count != scenario.Number(words[len(words)-1]) {
			return fmt.Errorf("%d events", count)
		}
	case "ended":
		if w.machine(words[1]).node != nil {
			return fmt.Errorf("%s runs: %s", words[1], w.describe())
		}
	default:
		return fmt.Errorf("unknown expectation %q", words[0])
	}
	return nil
}

func (s *player) expectPrimary(name string) error {
	leads := s.world.primary()
	got := "none"
	if leads != nil {
		got = leads.name
	}
	if got != name {
		return fmt.Errorf("primary is %s: %s", got, s.world.describe())
	}
	return nil
}

func (s *player) expectVoterCount(count int) error {
	leads := s.world.primary()
	if leads == nil || len(leads.node.leadership.committed.Voters) != count {
		return fmt.Errorf("not %d voters: %s", count, s.world.describe())
	}
	return nil
}

// expectAllKnowPrimary wants every controller that runs to send callers to the primary.
func (s *player) expectAllKnowPrimary() error {
	leads := s.world.primary()
	for _, one := range s.world.machines {
		if one.node == nil {
			continue
		}
		if told, known := one.node.PrimaryMember(); leads == nil || !known || told.Incarnation != leads.node.self.Incarnation {
			return fmt.Errorf("%s sends callers to %q", one.name, told.Name)
		}
	}
	return nil
}

func (s *player) expectView(what string, names []string) error {
	leads := s.world.primary()
	if leads == nil {
		return fmt.Errorf("no primary: %s", s.world.describe())
	}
	view := leads.node.leadership.committed
	var got []string
	for _, member := range view.Voters {
		if what == "voters" || view.HasCopy(member.Incarnation) {
			got = append(got, string(member.Incarnation))
		}
	}
	if !slices.Equal(got, names) {
		return fmt.Errorf("%s are %v: %s", what, got, s.world.describe())
	}
	return nil
}

func TestScenarios(t *testing.T) {
	scenario.Each(t, func(t *testing.T, path string) {
		t.Parallel()
		for seed := int64(1); seed <= 10; seed++ {
			if err := playScenario(path, seed, disabledGuards{}, nil); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
		}
	})
}
