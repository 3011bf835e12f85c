package replication

import (
	"flag"
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// worlds is the number of random worlds of each shape. For a longer search: go test -run Random -worlds 5000
var worlds = flag.Int("worlds", 250, "random worlds of each shape")

// tracer, if set, receives the trace of random worlds.
var tracer func(string)

// fault is a failure that can be injected into a world.
type fault struct {
	name      string
	inject    func(w *world, machine *machine)
	losesDisk bool // a disk is lost for good; the tolerance limits how many of these are injected
}

// after schedules an action, such as the end of a fault.
func after(w *world, pause time.Duration, action func()) { w.schedule(pause, action) }

func randomPause(w *world) time.Duration {
	return 100*time.Millisecond + time.Duration(w.random.Int63n(int64(2500*time.Millisecond)))
}

// faults returns the faults that the search chooses from.
func faults() []fault {
	return []fault{
		{name: "kill", inject: func(w *world, machine *machine) {
			w.kill(machine)
			after(w, randomPause(w), func() { w.start(machine) })
		}},
		{name: "power", inject: func(w *world, machine *machine) {
			w.powerLoss(machine)
			after(w, randomPause(w), func() { w.start(machine) })
		}},
		{name: "wipe", losesDisk: true, inject: func(w *world, machine *machine) {
			w.wipe(machine)
			after(w, randomPause(w)/2, func() { w.start(machine) })
		}},
		{name: "cut", inject: func(w *world, machine *machine) {
			w.isolate(machine)
			after(w, randomPause(w), func() { clear(w.cutLinks) })
		}},
		{name: "deaf", inject: func(w *world, machine *machine) {
			w.cutInbound(machine)
			after(w, randomPause(w), func() { clear(w.cutLinks) })
		}},
		{name: "mute", inject: func(w *world, machine *machine) {
			w.cutOutbound(machine)
			after(w, randomPause(w), func() { clear(w.cutLinks) })
		}},
		{name: "link", inject: func(w *world, machine *machine) {
			other := w.machines[w.random.Intn(len(w.machines))]
			w.cutLinks[link{machine.name, other.name}] = true
			after(w, randomPause(w), func() { clear(w.cutLinks) })
		}},
		{name: "freeze", inject: func(w *world, machine *machine) {
			w.freeze(machine)
			after(w, randomPause(w), func() { w.thaw(machine) })
		}},
		{name: "slow disk", inject: func(w *world, machine *machine) {
			machine.disk.delay = 300 * time.Millisecond
			after(w, randomPause(w), func() { machine.disk.delay = time.Millisecond })
		}},
		{name: "stalled disk", inject: func(w *world, machine *machine) {
			machine.disk.busyUntil = w.now + randomPause(w)
		}},
		{name: "refusing disk", inject: func(w *world, machine *machine) {
			machine.disk.refuses = true
			after(w, randomPause(w), func() { machine.disk.refuses = false })
		}},
		{name: "bad network", inject: func(w *world, machine *machine) {
			w.loss, w.duplicated, w.delayed = 0.2, 0.2, 0.1
			after(w, randomPause(w), func() { w.loss, w.duplicated, w.delayed = 0, 0, 0 })
		}},
		{name: "leave", inject: func(w *world, machine *machine) {
			w.leave(machine, true)
			after(w, 6*time.Second, func() {
				if machine.isLeaving {
					w.kill(machine)
					w.start(machine)
				}
			})
		}},
		{name: "replace", losesDisk: true, inject: func(w *world, machine *machine) {
			w.powerLoss(machine)
			machine.isGone = true
			after(w, randomPause(w), func() {
				w.start(w.addMachine(fmt.Sprintf("n%d", len(w.machines)), false))
			})
		}},
		{name: "all power", inject: func(w *world, machine *machine) {
			for _, machine := range w.machines {
				w.powerLoss(machine)
				after(w, randomPause(w)/4, func() { w.start(machine) })
			}
		}},
	}
}

// shape is the size of a world.
type shape struct{ count, seeds, tolerance int }

func shapes() []shape {
	return []shape{{3, 3, 1}, {5, 3, 1}, {5, 3, 2}, {3, 2, 1}}
}

// randomWorld runs one world with random faults and returns the first violation, or "".
func randomWorld(seed int64, shape shape, guards disabledGuards, choices []fault) string {
	w := newWorld(seed, shape.count, shape.seeds, shape.tolerance, guards)
	w.keepsIncarnation = guards.emptyDiskVotes
	w.trace = tracer
	chooser := rand.New(rand.NewSource(seed * 7919))
	if chooser.Intn(4) == 0 {
		w.orderBytes = 3000 // snapshots of several pieces
	}
	w.run(50 * time.Millisecond) // the disks record that this is a first start
	if chooser.Intn(2) == 0 {
		w.run(2 * time.Second) // in the other half, faults hit the founding
	}
	injectFaults(w, chooser, shape, choices)
	w.settle(5 * time.Second)
	if chooser.Intn(3) == 0 { // again, after everything has been repaired
		w.run(4 * time.Second)
		injectFaults(w, chooser, shape, choices)
		w.settle(5 * time.Second)
	}
	return w.checker.violation
}

// injectFaults injects a series of random faults, with at most as many lost disks as the tolerance allows.
func injectFaults(w *world, chooser *rand.Rand, shape shape, choices []fault) {
	losses := shape.tolerance
	if w.primary() == nil {
		losses = 0
	}
	steps, pause := 3+chooser.Intn(6), 900*time.Millisecond
	if chooser.Intn(2) == 0 {
		steps, pause = 3*steps, pause/4
	}
	for ; steps > 0 && w.checker.violation == ""; steps-- {
		fault := choices[chooser.Intn(len(choices))]
		running := w.running()
		machine := running[chooser.Intn(len(running))]
		if fault.losesDisk {
			if losses == 0 {
				continue
			}
			losses--
		}
		if w.trace != nil {
			w.trace(fmt.Sprintf("%8s %s: %s", w.now, fault.name, machine.name))
		}
		fault.inject(w, machine)
		w.run(time.Duration(chooser.Int63n(int64(pause))))
	}
}

func TestRandomFaultsLoseNoAcknowledgedChange(t *testing.T) {
	for _, shape := range shapes() {
		t.Run(fmt.Sprintf("%d nodes, %d seeds, tolerance %d", shape.count, shape.seeds, shape.tolerance), func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= int64(*worlds); seed++ {
				if violation := randomWorld(seed, shape, disabledGuards{}, faults()); violation != "" {
					t.Errorf("seed %d: %s", seed, violation)
				}
			}
		})
	}
}
