package controller

import (
	"fmt"
	"maps"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// searchSeeds is how many random histories are played; CONTROLLER_SEEDS asks for more.
const searchSeeds = 40

// calm is how long machines take to count again after trouble (the bound is called catchUpS), so that the next trouble
// doesn't take more of them than may be lost at once.
const calm = 4 * time.Second

// TestSearch plays random trouble, as many controllers at a time as may be lost, under random questions. The judges look
// on; after it everything must come back, with all that was acknowledged.
func TestSearch(t *testing.T) {
	seeds := searchSeeds
	if more, err := strconv.Atoi(os.Getenv("CONTROLLER_SEEDS")); err == nil {
		seeds = more
	}
	for seed := range int64(seeds) {
		if broken := search(seed, disabledGuards{}); broken != "" {
			t.Fatalf("seed %d: %s", seed, broken)
		}
	}
}

// TestSearchFindsGuards takes guards out, and the search must find each.
func TestSearchFindsGuards(t *testing.T) {
	for name, guards := range map[string]disabledGuards{
		"fetches unconfirmed": {fetchesUnconfirmed: true},
		"changes uncommitted": {changesUncommitted: true},
		"leases uncounted":    {leasesIgnored: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(8 * searchSeeds) {
				if broken := search(seed, guards); broken != "" {
					t.Logf("seed %d: %s", seed, broken)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}

// search plays one history and returns what was broken.
func search(seed int64, guards disabledGuards) string {
	_, broken := playSearch(seed, guards)
	return broken
}

func playSearch(seed int64, guards disabledGuards) (*world, string) {
	random := rand.New(rand.NewSource(seed))
	controllers, tolerance := 3, 1
	if seed%3 == 0 {
		controllers, tolerance = 5, 2
	}
	w := newWorld(seed, controllers, tolerance, guards)
	for _, name := range []string{"g1", "g2", "g3"} {
		w.addGateway(name)
	}
	for index := range 3 {
		w.addInstance(fmt.Sprintf("i%d", index+1), index == 0)
	}
	w.run(2 * time.Second)
	asking := true
	ask := func() {}
	ask = func() {
		if !asking {
			return
		}
		w.askAnything(random)
		w.after(time.Duration(random.Int63n(int64(80*time.Millisecond))), ask)
	}
	w.after(0, ask)
	for range 4 {
		w.anyTrouble(random, tolerance)
		w.run(time.Second + time.Duration(random.Int63n(int64(5*time.Second))))
		w.heal()
		w.run(calm + time.Duration(random.Int63n(int64(2*time.Second))))
	}
	asking = false
	w.run(time.Second)
	w.readBack()
	return w, w.broken
}

// askAnything sends one of a few numbers with one of two contents, new or again, or a fetch, to any controller.
func (w *world) askAnything(random *rand.Rand) {
	to := w.machines[random.Intn(len(w.machines))]
	if leads := w.primary(); leads != nil && random.Intn(2) == 0 {
		to = leads
	}
	if random.Intn(6) == 0 {
		w.leaversCome(to)
	}
	number := 1 + int64(w.now/(300*time.Millisecond)) - random.Int63n(6)
	switch content := string(rune('x' + random.Intn(2))); {
	case number < 1 || random.Intn(3) == 0:
		w.sendFetch(to)
	case random.Intn(20) == 0:
		w.sendInvalid(to)
	default:
		w.sendOrder(to, number, content)
	}
}

func (w *world) anyTrouble(random *rand.Rand, tolerance int) {
	for _, index := range random.Perm(len(w.machines))[:1+random.Intn(tolerance)] {
		one := w.machines[index]
		if leads := w.primary(); leads != nil && random.Intn(2) == 0 {
			one = leads
		}
		w.troubleAt(one, random)
	}
	if random.Intn(3) == 0 {
		w.leadingInstance().up = false
	}
	switch random.Intn(4) {
	case 0:
		w.gateways[random.Intn(len(w.gateways))].frozen = true
	case 1:
		w.isolate(w.gateways[random.Intn(len(w.gateways))].name)
	case 2:
		w.startGateway(w.gateways[random.Intn(len(w.gateways))]) // its process ends, and another starts
	}
}

func (w *world) troubleAt(one *machine, random *rand.Rand) {
	switch random.Intn(8) {
	case 0:
		w.isolate(one.name)
	case 1:
		one.frozen = one.controller != nil
	case 2:
		w.kill(one)
	case 3:
		w.powerLoss(one)
	case 4:
		one.disk.delay = 300 * time.Millisecond
	case 5:
		for _, other := range w.machines { // it is heard and hears nothing
			w.cut[link{other.name, one.name}] = other != one
		}
	case 6:
		w.wipe(one)
	case 7:
		w.give(one, Terminate{})
	}
}

// heal ends all trouble.
func (w *world) heal() {
	clear(w.cut)
	for _, one := range w.machines {
		if one.frozen {
			w.thaw(one)
		}
		one.disk.delay = 2 * time.Millisecond
		w.start(one)
	}
	for _, one := range w.gateways {
		one.frozen = false
	}
	for _, one := range w.instances {
		one.up = true
	}
}

// readBack demands a primary that knows all that was acknowledged.
func (w *world) readBack() {
	leads := w.primary()
	if leads == nil {
		w.fail("nobody leads after the trouble")
		return
	}
	fetched := w.sendFetch(leads)
	again := map[int64]*call{}
	for _, number := range slices.Sorted(maps.Keys(w.orders.taken)) {
		again[number] = w.sendOrder(leads, number, w.orders.taken[number])
	}
	w.run(callWait)
	if fetched.reply == nil || fetched.reply.Status != 200 {
		w.fail("no fetch after the trouble: %s", fetched.outcome())
	}
	for _, number := range slices.Sorted(maps.Keys(again)) {
		if made := again[number]; made.outcome() != "200" {
			w.fail("number %d sent again is answered %s", number, made.outcome())
		}
	}
	for number := range w.lastCall {
		made := w.calls[number]
		late := made != nil && made.reply == nil && w.now-made.sent > callWait+2*tickPause
		if late && made.to.life == made.life && made.to.controller != nil {
			w.fail("%s has not answered call %d", made.to.name, number)
		}
	}
	for _, one := range w.gateways {
		if w.now >= one.until || one.number < w.orders.newest {
			w.fail("%s has a lease until %s and configuration %d of %d", one.name, one.until, one.number, w.orders.newest)
		}
	}
}

// One seed gives one history: nothing depends on the order of maps.
func TestSameSeedSameHistory(t *testing.T) {
	is := is.New(t)
	for seed := range int64(5) {
		first, second := newHistory(seed), newHistory(seed)
		is.Equal(first, second)
	}
}

// newHistory is all that a search does, in short.
func newHistory(seed int64) string {
	w, broken := playSearch(seed, disabledGuards{})
	answers := ""
	for number := range w.lastCall {
		if made := w.calls[number+1]; made != nil && made.reply != nil {
			answers += made.outcome() + made.answered.String()
		}
	}
	return strings.Join(w.events, ",") + answers + broken
}
