package replication

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"eiderway/testing/scenario"
)

// A scenario is a text file with one command per line; # begins a comment. The first command is
//
//	nodes COUNT seeds COUNT tolerance COUNT
//
// Nodes are called a, b, c and so on; the first ones are the seeds. Times are written as 300ms or 2s. In place of NODE, most
// commands also take the word primary. An incarnation is the name of a node and the number of its disk, such as a1.
//
//	run TIME                      advance the time
//	await NODE EVENT              run until the node logs an event whose name and text begin with EVENT, for 10s at most
//	cut A>B | cut A-B             cut the link one way, or both ways
//	join A>B | join A-B           restore it
//	isolate NODE...               cut these nodes off from all others
//	heal                          end all faults and start all stopped nodes
//	links                         restore all links
//	freeze NODE, thaw NODE
//	kill NODE                     end the process
//	power NODE                    the same, and lose what was not synced
//	wipe NODE                     the same, and lose the disk
//	start NODE
//	gone NODE                     lose power and never come back
//	seeds NODE... | standbys      replace the seeds by these nodes, or by three nodes without a vote
//	add NODE                      a new machine with an empty disk
//	leave NODE                    leave as on SIGTERM, and stay away
//	disk NODE TIME                make each sync take this long
//	stall NODE TIME               sync nothing for this long
//	refuse NODE, accept NODE      let the disk fail writes, or accept them again
//	network LOSS DOUBLED LATE     shares of messages that are lost, duplicated, or delayed by up to three seconds
//	everyone COMMAND              execute the command on all nodes that are not gone
//	client on|off
//	value BYTES                   size of an order
//	expect primary NODE | none
//	expect voters INCARNATION... | copies INCARNATION...   of the newest view that the primary has committed
//	expect voter-count COUNT
//	expect all-know-primary       all running nodes send callers to the primary
//	expect orders COUNT within TIME
//	expect events NODE EVENT COUNT   the node has logged this event so often
//	expect ended NODE
//	check                         check that the primary has all acknowledged orders
//	settle                        heal; within five seconds orders must be acknowledged, and none may be lost
type scenarioPlayer struct{ world *world }

func playScenario(path string, seed int64, guards disabledGuards, trace func(string)) error {
	lines, err := scenario.Read(path)
	if err != nil {
		return err
	}
	player := &scenarioPlayer{}
	for _, line := range lines {
		if line.Words[0] == "nodes" {
			player.begin(line.Words, seed, guards, trace)
			continue
		}
		if trace != nil {
			trace(fmt.Sprintf("%8s --- %s", player.world.now.Round(time.Millisecond), line.Text))
		}
		if err := player.do(line.Words); err != nil {
			return fmt.Errorf("%s: %w", line.Location, err)
		}
		if player.world.checker.violation != "" {
			return fmt.Errorf("%s: %s", line.Location, player.world.checker.violation)
		}
	}
	return nil
}

func (p *scenarioPlayer) begin(words []string, seed int64, guards disabledGuards, trace func(string)) {
	p.world = newWorld(seed, scenario.ParseInt(words[1]), scenario.ParseInt(words[3]), scenario.ParseInt(words[5]), guards)
	p.world.keepsIncarnation = guards.emptyDiskVotes
	p.world.trace = trace
}

func (p *scenarioPlayer) do(words []string) error {
	w := p.world
	switch words[0] {
	case "run":
		w.run(scenario.ParseDuration(words[1]))
	case "await":
		return p.await(words[1], strings.Join(words[2:], " "))
	case "cut", "join":
		w.cutLinks.Set(words[1], words[0] == "cut")
	case "isolate":
		w.cutLinks.Isolate(words[1:], w.names())
	case "links":
		clear(w.cutLinks)
	case "heal":
		w.heal()
	case "client":
		w.clientActive = words[1] == "on"
	case "network":
		w.loss, w.duplicated, w.delayed = scenario.ParseFloat(words[1]), scenario.ParseFloat(words[2]), scenario.ParseFloat(words[3])
	case "value":
		w.orderBytes = scenario.ParseInt(words[1])
	case "seeds":
		p.changeSeeds(words[1:])
	case "add":
		w.start(w.addMachine(words[1], false))
	case "everyone":
		return p.everyone(words[1])
	case "expect":
		return p.expect(words[1:])
	case "check":
		w.check()
	case "settle":
		w.settle(5 * time.Second)
	default:
		return p.injectFault(words)
	}
	return nil
}

// everyone executes the command on all machines that are not gone.
func (p *scenarioPlayer) everyone(word string) error {
	for _, machine := range p.world.machines {
		if machine.isGone {
			continue
		}
		if err := p.injectFault([]string{word, machine.name}); err != nil {
			return err
		}
	}
	return nil
}

// machineOrPrimary returns a machine by its name, or the primary.
func (p *scenarioPlayer) machineOrPrimary(name string) *machine {
	if name == "primary" {
		return p.world.primary()
	}
	return p.world.machine(name)
}

func (p *scenarioPlayer) injectFault(words []string) error {
	w := p.world
	machine := p.machineOrPrimary(words[1])
	switch words[0] {
	case "freeze":
		w.freeze(machine)
	case "thaw":
		w.thaw(machine)
	case "kill":
		w.kill(machine)
	case "power":
		w.powerLoss(machine)
	case "wipe":
		w.wipe(machine)
	case "start":
		machine.isGone = false
		w.start(machine)
	case "gone":
		w.powerLoss(machine)
		machine.isGone = true
	case "leave":
		w.leave(machine, false)
	case "disk":
		machine.disk.delay = scenario.ParseDuration(words[2])
	case "stall":
		machine.disk.busyUntil = w.now + scenario.ParseDuration(words[2])
	case "refuse":
		machine.disk.refuses = true
	case "accept":
		machine.disk.refuses = false
	default:
		return fmt.Errorf("unknown command %q", words[0])
	}
	return nil
}

func (p *scenarioPlayer) changeSeeds(names []string) {
	w := p.world
	if names[0] == "standbys" {
		names = p.standbys()
	}
	w.seeds = nil
	for _, name := range names {
		w.seeds = append(w.seeds, name+":1")
	}
	for _, machine := range w.machines {
		if machine.node != nil {
			w.deliverInput(machine, SeedsChanged{Seeds: w.seeds})
		}
	}
}

// standbys returns the names of three controllers without a vote.
func (p *scenarioPlayer) standbys() []string {
	var names []string
	view := p.world.primary().node.leadership.committed
	for _, machine := range p.world.machines {
		if _, votes := view.Voter(machine.node.self.Incarnation); !votes && len(names) < 3 {
			names = append(names, machine.name)
		}
	}
	return names
}

func (p *scenarioPlayer) await(name, event string) error {
	machine := p.world.machine(name)
	before := len(machine.events)
	for end := p.world.now + 10*time.Second; p.world.now < end; {
		p.world.run(time.Millisecond / 2)
		for _, logged := range machine.events[before:] {
			if strings.HasPrefix(logged.What+" "+logged.Text, event) {
				return nil
			}
		}
		if p.world.checker.violation != "" {
			return nil
		}
	}
	return fmt.Errorf("%s never logged %q: %s", name, event, p.world.describe())
}

func (p *scenarioPlayer) expect(words []string) error {
	w := p.world
	switch words[0] {
	case "primary":
		return p.expectPrimary(words[1])
	case "voters", "copies":
		return p.expectView(words[0], words[1:])
	case "voter-count":
		return p.expectVoterCount(scenario.ParseInt(words[1]))
	case "all-know-primary":
		return p.expectAllKnowPrimary()
	case "orders":
		before := w.checker.ordersDone
		w.run(scenario.ParseDuration(words[3]))
		if got := w.checker.ordersDone - before; got < scenario.ParseInt(words[1]) {
			return fmt.Errorf("%d orders acknowledged: %s", got, w.describe())
		}
	case "events":
		count := 0
		for _, event := range w.machine(words[1]).events {
			if event.What == strings.Join(words[2:len(words)-1], " ") {
				count++
			}
		}
		if count != scenario.ParseInt(words[len(words)-1]) {
			return fmt.Errorf("%d such events", count)
		}
	case "ended":
		if w.machine(words[1]).node != nil {
			return fmt.Errorf("%s is still running: %s", words[1], w.describe())
		}
	default:
		return fmt.Errorf("unknown expectation %q", words[0])
	}
	return nil
}

func (p *scenarioPlayer) expectPrimary(name string) error {
	primary := p.world.primary()
	got := "none"
	if primary != nil {
		got = primary.name
	}
	if got != name {
		return fmt.Errorf("primary is %s: %s", got, p.world.describe())
	}
	return nil
}

func (p *scenarioPlayer) expectVoterCount(count int) error {
	primary := p.world.primary()
	if primary == nil || len(primary.node.leadership.committed.Voters) != count {
		return fmt.Errorf("not %d voters: %s", count, p.world.describe())
	}
	return nil
}

// expectAllKnowPrimary requires every running controller to send callers to the primary.
func (p *scenarioPlayer) expectAllKnowPrimary() error {
	primary := p.world.primary()
	for _, machine := range p.world.machines {
		if machine.node == nil {
			continue
		}
		if member, known := machine.node.PrimaryMember(); primary == nil || !known || member.Incarnation != primary.node.self.Incarnation {
			return fmt.Errorf("%s sends callers to %q", machine.name, member.Name)
		}
	}
	return nil
}

func (p *scenarioPlayer) expectView(what string, names []string) error {
	primary := p.world.primary()
	if primary == nil {
		return fmt.Errorf("no primary: %s", p.world.describe())
	}
	view := primary.node.leadership.committed
	var got []string
	for _, member := range view.Voters {
		if what == "voters" || view.HasCopy(member.Incarnation) {
			got = append(got, string(member.Incarnation))
		}
	}
	if !slices.Equal(got, names) {
		return fmt.Errorf("%s are %v: %s", what, got, p.world.describe())
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
