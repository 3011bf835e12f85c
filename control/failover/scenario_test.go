package failover

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"eiderway/control/feed"
	"eiderway/testing/scenario"
)

// TestScenarios plays the files of testdata. A line "world KEY VALUE..." configures the world, "at TIME VERB ..." performs an action
// and "check TIME ..." checks the state. The checker's rules hold in every scenario.
func TestScenarios(t *testing.T) { scenario.Each(t, playScenario) }

func playScenario(t *testing.T, file string) {
	chosen := options{services: 1, replicas: 2, sync: 1, gateways: 2, termFromHeld: true}
	var w *world
	for _, line := range scenario.MustRead(t, file) {
		fields := line.Words
		if fields[0] == "world" {
			chosen.set(t, fields[1:])
			continue
		}
		if w == nil {
			w = newWorld(7, chosen)
		}
		when, err := time.ParseDuration(fields[1])
		if err != nil {
			t.Fatalf("%s: %v", line.Location, err)
		}
		w.runUntil(when)
		if fields[0] == "check" {
			if violation := w.check(fields[2:]); violation != "" {
				t.Errorf("%s: at %v %s", line.Location, when, violation)
			}
			continue
		}
		if !w.do(fields[2:]) {
			t.Fatalf("%s: unknown", line.Location)
		}
	}
	for _, violation := range w.checker.violations {
		t.Error(violation)
	}
	if t.Failed() || os.Getenv("FAILOVER_LOG") != "" {
		t.Log("\n" + strings.Join(w.events, "\n"))
	}
}

func (o *options) set(t *testing.T, fields []string) {
	value, err := strconv.Atoi(fields[1])
	if err != nil {
		t.Fatal(err)
	}
	switch fields[0] {
	case "services":
		o.services = value
	case "replicas":
		o.replicas = value
	case "sync":
		o.sync = value
	case "fenced":
		o.fenceChecked = value == 1
	case "seems-primary":
		o.seemsPrimary = value == 1
	default:
		t.Fatal("unknown", fields[0])
	}
}

// do carries out a verb of a scenario, or a step of the search.
func (w *world) do(fields []string) bool {
	target := w.instances[fields[min(1, len(fields)-1)]]
	switch fields[0] {
	case "crash":
		target.crash()
	case "start":
		target.start()
	case "return": // under a new id, with its log; its heartbeats may be lost for some time
		if len(fields) > 3 {
			lost, _ := time.ParseDuration(fields[3])
			target.heardFrom = w.now + lost
		}
		target.returnAs(fields[2])
	case "dark", "lit":
		target.dark = fields[0] == "dark"
	case "resets": // cuts of the instance answer with resets from now on
		w.resets[target.address] = true
	case "cut", "join":
		w.cutOff(fields[1], fields[2], fields[0] == "cut")
	case "lag":
		target.lag, _ = time.ParseDuration(fields[2])
	case "pause":
		target.termHeld, target.paused = target.termHeld+1, true
	case "drain":
		w.drain(target)
	case "leave":
		w.leave(target)
	case "takeover":
		w.takeOver()
	case "platform":
		w.platform.faultMode = strings.TrimSuffix(fields[1], "ok")
		if len(fields) > 2 {
			w.platform.lateBy, _ = time.ParseDuration(fields[2])
		}
	case "promote":
		w.platform.promote(target)
	default:
		return false
	}
	return true
}

// cutOff cuts an instance or gateway off from another end, or ends the cut. The other end is an instance, a gateway, "core" (all
// controllers) or "gateways".
func (w *world) cutOff(id, from string, isCut bool) {
	switch from {
	case "core":
		for epoch := range 20 {
			w.cut(id, fmt.Sprintf("c%d", epoch+1), isCut)
		}
	case "gateways":
		for _, g := range w.gateways {
			w.cut(id, g.name, isCut)
		}
	default:
		w.cut(id, from, isCut)
	}
}

func (w *world) drain(d *database) {
	d.draining = true
	w.note("%s drains at %v", d.id, d.position())
	view := w.committed[d.service]
	for n := range view.Instances {
		if view.Instances[n].ID == d.id {
			view.Instances[n].Draining = true
		}
	}
	w.current.tellWorld()
}

// restartTakes is longer than a commit waits for a replica: once a restart ends a pause, no commit from before the pause is waiting.
const restartTakes = writeTimeout + 200*time.Millisecond

// leave ends an instance, which takes its log along, and starts a new one with its address and an empty log.
func (w *world) leave(d *database) {
	d.register()
	view := w.committed[d.service]
	for _, gone := range view.Instances {
		if gone.ID == d.id {
			view.Departed = append(view.Departed, gone)
		}
	}
	view.Instances = slices.DeleteFunc(slices.Clone(view.Instances), func(i feed.Instance) bool { return i.ID == d.id })
	w.note("%s leaves at %v", d.id, d.position())
	d.crash()
	delete(w.instances, d.id)
	w.names = slices.DeleteFunc(w.names, func(id string) bool { return id == d.id })
	w.addInstance(d.service, d.id+"+", d.address, false)
	next := w.instances[d.id+"+"]
	next.term, next.termHeld, next.up = 0, 0, false
	w.after(restartTakes, next.start)
	w.current.tellWorld()
}

func (w *world) check(fields []string) string {
	service := w.services[0]
	if w.committed[fields[0]] != nil {
		service, fields = fields[0], fields[1:]
	}
	_, frozen := w.current.manager.Frozen(service)
	view := w.committed[service]
	got := ""
	switch fields[0] {
	case "leader":
		got = view.Leader.InstanceID
	case "frozen":
		got = strconv.FormatBool(frozen)
	case "intent":
		got = "none"
		if view.Intent != nil {
			got = view.Intent.InstanceID
		}
	case "calls":
		got = strconv.Itoa(len(w.checker.calls[service]))
	case "paused":
		var paused []string
		for _, d := range w.instancesOf(service) {
			if d.paused {
				paused = append(paused, d.id)
			}
		}
		got = cmp.Or(strings.Join(paused, ","), "none")
	case "primaries":
		var found []string
		for _, d := range w.instancesOf(service) {
			if d.up && d.primary {
				found = append(found, d.id)
			}
		}
		got = strings.Join(found, ",")
	case "acks": // whether one was made in the last half second
		got = strconv.FormatBool(w.now-w.checker.ackedAt[service] < 500*time.Millisecond)
	case "gap": // the longest time without an acknowledgement is at most the given one
		limit, _ := time.ParseDuration(fields[1])
		if gap := w.checker.gap[service]; gap > limit {
			return fmt.Sprintf("gap is %v", gap)
		}
		return ""
	case "said":
		for _, line := range w.events {
			if strings.Contains(line, strings.Join(fields[1:], " ")) {
				return ""
			}
		}
	}
	if got != fields[1] {
		return fmt.Sprintf("%s is %s, want %s", fields[0], got, fields[1])
	}
	return ""
}
