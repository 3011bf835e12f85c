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

// Scenarios are text files. A line is a time, a command and, after "->", the expected result:
//
//	beat ID key=value ...  a heartbeat: "fresh" or "old", then "changed" if it must be committed first. Keys: seq, addr, state, warmup, slots
//	leave ID, heard ID     nothing
//	leader ID, intent ID   nothing: the instance is recorded as leader, or as the next leader
//	takeover               nothing: another controller is primary now
//	freeze                 nothing: the controller stalled since the line before
//	show                   each recorded instance: ID=STATE, with @ADDRESS while it is present
//
// "uncommitted" before a command discards what it changed. Between lines the registry checks for lost instances every tick,
// as a controller does.

const (
	scenarioLost = 5 * time.Second
	scenarioTick = time.Second
)

func TestScenarios(t *testing.T) { scenario.Each(t, runScenario) }

func runScenario(t *testing.T, file string) {
	env := &testEnv{memory: statetest.NewMemory(), registry: registry.New(0, scenarioLost)}
	for _, line := range scenario.MustRead(t, file) {
		before, want, _ := strings.Cut(line.Text, "->")
		got, err := env.step(strings.Fields(before))
		if err != nil {
			t.Fatalf("%s: %v", line.Location, err)
		}
		if got != strings.Join(strings.Fields(want), " ") {
			t.Errorf("%s\n got %q", line.Location, got)
		}
	}
}

// testEnv is a registry over a control state, on simulated time.
type testEnv struct {
	now      time.Duration
	memory   *statetest.Memory
	registry *registry.Registry
}

func (e *testEnv) step(words []string) (string, error) {
	at, err := time.ParseDuration(words[0])
	if err != nil {
		return "", err
	}
	words = words[1:]
	if words[0] == "freeze" {
		e.now = at
		return "", nil
	}
	e.tickUntil(at)
	isCommitted := words[0] != "uncommitted"
	if !isCommitted {
		words = words[1:]
	}
	transaction := state.NewTransaction(e.memory)
	result, err := e.command(transaction, words)
	if isCommitted {
		e.memory.Commit(transaction)
	}
	return result, err
}

func (e *testEnv) tickUntil(at time.Duration) {
	for e.now < at {
		e.now = min(e.now+scenarioTick, at)
		transaction := state.NewTransaction(e.memory)
		e.registry.Expire(e.now, transaction)
		e.memory.Commit(transaction)
	}
}

func (e *testEnv) command(transaction *state.Transaction, words []string) (string, error) {
	switch words[0] {
	case "beat":
		return e.heartbeat(transaction, words[1:])
	case "leave":
		e.registry.Leave(e.now, transaction, words[1])
	case "heard":
		e.registry.MarkAlive(e.now, words[1])
	case "leader":
		transaction.SetLeader("s", feed.Leader{InstanceID: words[1], Term: 1})
	case "intent":
		transaction.SetIntent(intentFor(words[1]))
	case "takeover":
		e.registry = registry.New(e.now, scenarioLost)
	case "show":
		return show(transaction), nil
	default:
		return "", fmt.Errorf("unknown command %q", words[0])
	}
	return "", nil
}

func (e *testEnv) heartbeat(transaction *state.Transaction, words []string) (string, error) {
	heartbeat := registry.Heartbeat{InstanceID: words[0], TargetService: "s", Address: words[0] + ":1", OperState: registry.Ready, SlotCount: 7}
	for _, option := range words[1:] {
		if err := setOption(&heartbeat, option); err != nil {
			return "", err
		}
	}
	result := e.registry.Heartbeat(e.now, transaction, heartbeat)
	text := "old"
	if result.Fresh {
		text = "fresh"
	}
	if result.Changed {
		text += " changed"
	}
	return text, nil
}

func setOption(heartbeat *registry.Heartbeat, option string) (err error) {
	key, value, _ := strings.Cut(option, "=")
	switch key {
	case "seq":
		heartbeat.CallSeq, err = strconv.ParseUint(value, 10, 64)
	case "warmup":
		heartbeat.WarmupLeftMs, err = strconv.ParseInt(value, 10, 64)
	case "slots":
		heartbeat.SlotCount, err = strconv.Atoi(value)
	case "addr":
		heartbeat.Address = value
	case "state":
		heartbeat.OperState = value
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
