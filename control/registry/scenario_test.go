package registry_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"eiderway/control/feed"
	"eiderway/control/registry"
	"eiderway/control/state"
	"eiderway/control/state/statetest"
	"eiderway/testing/scenario"
)

// Scenarios are text files. A line is a time, a command and, after "->", what must come of it:
//
//	beat ID key=value ...  "fresh" or "old", then "changed" if it must be committed first. Keys: seq, addr, state, warmup, slots
//	leave ID, heard ID     nothing
//	leader ID, intent ID   nothing: the instance is recorded as leader, or as the one that is to lead
//	takeover               nothing: another controller is primary now
//	freeze                 nothing: the controller stood still since the line before
//	show                   each recorded instance: ID=STATE, with @ADDRESS while it is here
//
// "uncommitted" before a command drops what it changed. Between lines the registry looks for lost instances every tick,
// as a controller does.

const (
	scenarioLost = 5 * time.Second
	scenarioTick = time.Second
)

func TestScenarios(t *testing.T) { scenario.Each(t, runScenario) }

func runScenario(t *testing.T, file string) {
	world := &world{memory: statetest.NewMemory(), registry: registry.New(0, scenarioLost)}
	for _, line := range scenario.MustRead(t, file) {
		before, want, _ := strings.Cut(line.Text, "->")
		got, err := world.step(strings.Fields(before))
		if err != nil {
			t.Fatalf("%s: %v", line.Place, err)
		}
		if got != strings.Join(strings.Fields(want), " ") {
			t.Errorf("%s\n got %q", line.Place, got)
		}
	}
}

// world is a registry over a control state, on simulated time.
type world struct {
	now      time.Duration
	memory   *statetest.Memory
	registry *registry.Registry
}

func (w *world) step(words []string) (string, error) {
	at, err := time.ParseDuration(words[0])
	if err != nil {
		return "", err
	}
	words = words[1:]
	if words[0] == "freeze" {
		w.now = at
		return "", nil
	}
	w.tickUntil(at)
	commits := words[0] != "uncommitted"
	if !commits {
		words = words[1:]
	}
	transaction := state.NewTransaction(w.memory)
	said, err := w.command(transaction, words)
	if commits {
		w.memory.Commit(transaction)
	}
	return said, err
}

func (w *world) tickUntil(at time.Duration) {
	for w.now < at {
		w.now = min(w.now+scenarioTick, at)
		transaction := state.NewTransaction(w.memory)
		w.registry.Expire(w.now, transaction)
		w.memory.Commit(transaction)
	}
}

func (w *world) command(transaction *state.Transaction, words []string) (string, error) {
	switch words[0] {
	case "beat":
		return w.beat(transaction, words[1:])
	case "leave":
		w.registry.Leave(w.now, transaction, words[1])
	case "heard":
		w.registry.MarkAlive(w.now, words[1])
	case "leader":
		transaction.SetLeader("s", feed.Leader{InstanceID: words[1], Term: 1})
	case "intent":
		transaction.SetIntent(intentFor(words[1]))
	case "takeover":
		w.registry = registry.New(w.now, scenarioLost)
	case "show":
		return show(transaction), nil
	default:
		return "", fmt.Errorf("unknown command %q", words[0])
	}
	return "", nil
}

func (w *world) beat(transaction *state.Transaction, words []string) (string, error) {
	beat := registry.Heartbeat{InstanceID: words[0], TargetService: "s", Address: words[0] + ":1", OperState: registry.Ready, SlotCount: 7}
	for _, option := range words[1:] {
		if err := setOption(&beat, option); err != nil {
			return "", err
		}
	}
	taken := w.registry.Heartbeat(w.now, transaction, beat)
	said := "old"
	if taken.Fresh {
		said = "fresh"
	}
	if taken.Changed {
		said += " changed"
	}
	return said, nil
}

func setOption(beat *registry.Heartbeat, option string) (err error) {
	key, value, _ := strings.Cut(option, "=")
	switch key {
	case "seq":
		beat.CallSeq, err = strconv.ParseUint(value, 10, 64)
	case "warmup":
		beat.WarmupLeftMs, err = strconv.ParseInt(value, 10, 64)
	case "slots":
		beat.SlotCount, err = strconv.Atoi(value)
	case "addr":
		beat.Address = value
	case "state":
		beat.OperState = value
	default:
		err = fmt.Errorf("unknown option %q", option)
	}
	return err
}

func show(reader state.Reader) string {
	var shown []string
	for _, instance := range state.Instances(reader) {
		shown = append(shown, instance.ID+"="+stateOf(instance))
	}
	return strings.Join(shown, " ")
}

func stateOf(instance state.Instance) string {
	switch {
	case instance.Lost:
		return "lost"
	case instance.Left:
		return "left"
	case instance.Draining:
		return "draining@" + instance.Address
	default:
		return "ready@" + instance.Address
	}
}
