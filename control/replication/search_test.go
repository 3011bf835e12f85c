package replication

import (
	"flag"
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// worlds is how many random worlds of each shape are played. For a longer search: go test -run Random -worlds 5000
var worlds = flag.Int("worlds", 250, "random worlds of each shape")

// tracer, if set, is told what happens in a random world.
var tracer func(string)

// trouble is one thing that goes wrong in a searched world.
type trouble struct {
	name string
	hits func(w *world, one *machine)
	loss bool // a disk is gone for good: no more of these than the tolerance allows
}

// later undoes something after a while.
func later(w *world, pause time.Duration, does func()) { w.schedule(pause, does) }

func shortWhile(w *world) time.Duration {
	return 100*time.Millisecond + time.Duration(w.random.Int63n(int64(2500*time.Millisecond)))
}

// troubles are what the search chooses from.
func troubles() []trouble {
	return []trouble{
		{name: "kill", hits: func(w *world, one *machine) {
			w.kill(one)
			later(w, shortWhile(w), func() { w.start(one) })
		}},
		{name: "power", hits: func(w *world, one *machine) {
			w.powerLoss(one)
			later(w, shortWhile(w), func() { w.start(one) })
		}},
		{name: "wipe", loss: true, hits: func(w *world, one *machine) {
			w.wipe(one)
			later(w, shortWhile(w)/2, func() { w.start(one) })
		}},
		{name: "cut", hits: func(w *world, one *machine) {
			w.isolate(one)
			later(w, shortWhile(w), func() { clear(w.cut) })
		}},
		{name: "deaf", hits: func(w *world, one *machine) {
			w.deafen(one)
			later(w, shortWhile(w), func() { clear(w.cut) })
		}},
		{name: "mute", hits: func(w *world, one *machine) {
			w.silence(one)
			later(w, shortWhile(w), func() { clear(w.cut) })
		}},
		{name: "link", hits: func(w *world, one *machine) {
			other := w.machines[w.random.Intn(len(w.machines))]
			w.cut[link{one.name, other.name}] = true
			later(w, shortWhile(w), func() { clear(w.cut) })
		}},
		{name: "freeze", hits: func(w *world, one *machine) {
			w.freeze(one)
			later(w, shortWhile(w), func() { w.thaw(one) })
		}},
		{name: "slow disk", hits: func(w *world, one *machine) {
			one.disk.delay = 300 * time.Millisecond
			later(w, shortWhile(w), func() { one.disk.delay = time.Millisecond })
		}},
		{name: "stalled disk", hits: func(w *world, one *machine) {
			one.disk.busyUntil = w.now + shortWhile(w)
		}},
		{name: "refusing disk", hits: func(w *world, one *machine) {
			one.disk.refuses = true
			later(w, shortWhile(w), func() { one.disk.refuses = false })
		}},
		{name: "bad network", hits: func(w *world, one *machine) {
			w.loss, w.doubled, w.late = 0.2, 0.2, 0.1
			later(w, shortWhile(w), func() { w.loss, w.doubled, w.late = 0, 0, 0 })
		}},
		{name: "leave", hits: func(w *world, one *machine) {
			w.leave(one, true)
			later(w, 6*time.Second, func() {
				if one.stopping {
					w.kill(one)
					w.start(one)
				}
			})
		}},
		{name: "replace", loss: true, hits: func(w *world, one *machine) {
			w.powerLoss(one)
			one.gone = true
			later(w, shortWhile(w), func() {
				w.start(w.addMachine(fmt.Sprintf("n%d", len(w.machines)), false))
			})
		}},
		{name: "all power", hits: func(w *world, one *machine) {
			for _, each := range w.machines {
				w.powerLoss(each)
				later(w, shortWhile(w)/4, func() { w.start(each) })
			}
		}},
	}
}

// shape of a searched world.
type shape struct{ count, seeds, tolerance int }

func shapes() []shape {
	return []shape{{3, 3, 1}, {5, 3, 1}, {5, 3, 2}, {3, 2, 1}}
}

// randomWorld plays one random history and returns what the judge says.
func randomWorld(seed int64, form shape, guards disabledGuards, choices []trouble) string {
	w := newWorld(seed, form.count, form.seeds, form.tolerance, guards)
	w.sameWord = guards.emptyDiskVotes
	w.trace = tracer
	chooser := rand.New(rand.NewSource(seed * 7919))
	if chooser.Intn(4) == 0 {
		w.orderBytes = 3000 // snapshots of several pieces
	}
	w.run(50 * time.Millisecond) // the disks have the mark of the first start
	if chooser.Intn(2) == 0 {
		w.run(2 * time.Second) // half of the worlds meet trouble while they are founded
	}
	bout(w, chooser, form, choices)
	w.settle(5 * time.Second)
	if chooser.Intn(3) == 0 { // once more, when all is repaired
		w.run(4 * time.Second)
		bout(w, chooser, form, choices)
		w.settle(5 * time.Second)
	}
	return w.judge.broken
}

// bout is a bout of troubles, with as many disks lost as the tolerance allows.
func bout(w *world, chooser *rand.Rand, form shape, choices []trouble) {
	losses := form.tolerance
	if w.primary() == nil {
		losses = 0
	}
	steps, pause := 3+chooser.Intn(6), 900*time.Millisecond
	if chooser.Intn(2) == 0 {
		steps, pause = 3*steps, pause/4
	}
	for ; steps > 0 && w.judge.broken == ""; steps-- {
		what := choices[chooser.Intn(len(choices))]
		running := w.running()
		one := running[chooser.Intn(len(running))]
		if what.loss {
			if losses == 0 {
				continue
			}
			losses--
		}
		if w.trace != nil {
			w.trace(fmt.Sprintf("%8s %s: %s", w.now, what.name, one.name))
		}
		what.hits(w, one)
		w.run(time.Duration(chooser.Int63n(int64(pause))))
	}
}

func TestRandomWorldsKeepTheirWord(t *testing.T) {
	for _, form := range shapes() {
		t.Run(fmt.Sprintf("%d nodes, %d seeds, tolerance %d", form.count, form.seeds, form.tolerance), func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= int64(*worlds); seed++ {
				if broken := randomWorld(seed, form, disabledGuards{}, troubles()); broken != "" {
					t.Errorf("seed %d: %s", seed, broken)
				}
			}
		})
	}
}
