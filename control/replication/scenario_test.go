package replication

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
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
type scenario struct {
	world *world
	line  int
}

func playScenario(path string, seed int64, guards disabledGuards, trace func(string)) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	playing := &scenario{}
	for index, line := range strings.Split(string(text), "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		playing.line = index + 1
		if words[0] == "nodes" {
			playing.begin(words, seed, guards, trace)
			continue
		}
		if trace != nil {
			trace(fmt.Sprintf("%8s --- %s", playing.world.now.Round(time.Millisecond), line))
		}
		if err := playing.do(words); err != nil {
			return fmt.Errorf("%s:%d: %w", filepath.Base(path), index+1, err)
		}
		if playing.world.judge.broken != "" {
			return fmt.Errorf("%s:%d: %s", filepath.Base(path), index+1, playing.world.judge.broken)
		}
	}
	return nil
}

func (s *scenario) begin(words []string, seed int64, guards disabledGuards, trace func(string)) {
	s.world = newWorld(seed, number(words[1]), number(words[3]), number(words[5]), guards)
	s.world.sameWord = guards.emptyDiskVotes
	s.world.trace = trace
}

func number(word string) int {
	value, err := strconv.Atoi(word)
	if err != nil {
		panic(err)
	}
	return value
}

func share(word string) float64 {
	value, err := strconv.ParseFloat(word, 64)
	if err != nil {
		panic(err)
	}
	return value
}

func span(word string) time.Duration {
	value, err := time.ParseDuration(word)
	if err != nil {
		panic(err)
	}
	return value
}

func (s *scenario) do(words []string) error {
	w := s.world
	switch words[0] {
	case "run":
		w.run(span(words[1]))
	case "await":
		return s.await(words[1], strings.Join(words[2:], " "))
	case "cut", "join":
		s.links(words[1], words[0] == "cut")
	case "isolate":
		s.isolate(words[1:])
	case "links":
		clear(w.cut)
	case "heal":
		w.heal()
	case "client":
		w.client = words[1] == "on"
	case "network":
		w.loss, w.doubled, w.late = share(words[1]), share(words[2]), share(words[3])
	case "value":
		w.orderBytes = number(words[1])
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
func (s *scenario) everyone(word string) error {
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
func (s *scenario) named(name string) *machine {
	if name == "primary" {
		return s.world.primary()
	}
	return s.world.machine(name)
}

func (s *scenario) trouble(words []string) error {
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
		one.disk.delay = span(words[2])
	case "stall":
		one.disk.busyUntil = w.now + span(words[2])
	case "refuse":
		one.disk.refuses = true
	case "accept":
		one.disk.refuses = false
	default:
		return fmt.Errorf("unknown command %q", words[0])
	}
	return nil
}

func (s *scenario) changeSeeds(names []string) {
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
func (s *scenario) standbys() []string {
	var names []string
	view := s.world.primary().node.leadership.committed
	for _, one := range s.world.machines {
		if _, votes := view.Voter(one.node.self.Incarnation); !votes && len(names) < 3 {
			names = append(names, one.name)
		}
	}
	return names
}

func (s *scenario) links(word string, cut bool) {
	one, other, oneWay := strings.Cut(word, ">")
	if !oneWay {
		one, other, _ = strings.Cut(word, "-")
		s.world.cut[linkName{other, one}] = cut
	}
	s.world.cut[linkName{one, other}] = cut
}

func (s *scenario) isolate(names []string) {
	for _, one := range s.world.machines {
		for _, other := range s.world.machines {
			if slices.Contains(names, one.name) != slices.Contains(names, other.name) {
				s.world.cut[linkName{one.name, other.name}] = true
			}
		}
	}
}

func (s *scenario) await(name, event string) error {
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

func (s *scenario) expect(words []string) error {
	w := s.world
	switch words[0] {
	case "primary":
		return s.expectPrimary(words[1])
	case "voters", "copies":
		return s.expectView(words[0], words[1:])
	case "voter-count":
		return s.expectVoterCount(number(words[1]))
	case "all-know-primary":
		return s.expectAllKnowPrimary()
	case "orders":
		before := w.judge.done
		w.run(span(words[3]))
		if got := w.judge.done - before; got < number(words[1]) {
			return fmt.Errorf("%d orders acknowledged: %s", got, w.describe())
		}
	case "events":
		count := 0
		for _, told := range w.machine(words[1]).events {
			if told.What == strings.Join(words[2:len(words)-1], " ") {
				count++
			}
		}
		if count != number(words[len(words)-1]) {
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

func (s *scenario) expectPrimary(name string) error {
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

func (s *scenario) expectVoterCount(count int) error {
	leads := s.world.primary()
	if leads == nil || len(leads.node.leadership.committed.Voters) != count {
		return fmt.Errorf("not %d voters: %s", count, s.world.describe())
	}
	return nil
}

// expectAllKnowPrimary wants every controller that runs to send callers to the primary.
func (s *scenario) expectAllKnowPrimary() error {
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

func (s *scenario) expectView(what string, names []string) error {
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
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= 10; seed++ {
				if err := playScenario(file, seed, disabledGuards{}, nil); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
			}
		})
	}
}
