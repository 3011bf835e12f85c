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

// randomSeeds is how many random histories are played; the environment variable CONTROLLER_SEEDS sets another number.
const randomSeeds = 40

// recoveryTime is how long machines may take to rejoin after faults (the bound catchUpS), so that the next faults don't take
// down more of them than the deployment tolerates.
const recoveryTime = 4 * time.Second

// TestRandomFaults plays random faults of as many controllers at a time as the deployment tolerates, under random calls. No
// check may fail meanwhile. After the faults a primary must have all that was acknowledged, and all gateways a lease.
func TestRandomFaults(t *testing.T) {
	seeds := randomSeeds
	if count, err := strconv.Atoi(os.Getenv("CONTROLLER_SEEDS")); err == nil {
		seeds = count
	}
	for seed := range int64(seeds) {
		if violation := findViolation(seed, disabledGuards{}); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

// TestRandomFaultsDetectDisabledGuards shows that the random histories break a check when a guard is disabled.
func TestRandomFaultsDetectDisabledGuards(t *testing.T) {
	for name, guards := range map[string]disabledGuards{
		"fetches unconfirmed": {fetchesUnconfirmed: true},
		"changes uncommitted": {changesUncommitted: true},
		"leases ignored":      {leasesIgnored: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(8 * randomSeeds) {
				if violation := findViolation(seed, guards); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatal("no seed fails with the guard disabled")
		})
	}
}

// findViolation plays one history and returns the violation, "" for none.
func findViolation(seed int64, guards disabledGuards) string {
	_, violation := playRandomFaults(seed, guards)
	return violation
}

func playRandomFaults(seed int64, guards disabledGuards) (*deployment, string) {
	random := rand.New(rand.NewSource(seed))
	controllers, tolerance := 3, 1
	if seed%3 == 0 {
		controllers, tolerance = 5, 2
	}
	d := newDeployment(seed, controllers, tolerance, guards)
	for _, name := range []string{"g1", "g2", "g3"} {
		d.addGateway(name)
	}
	for index := range 3 {
		d.addInstance(fmt.Sprintf("i%d", index+1), index == 0)
	}
	d.run(2 * time.Second)
	isSending := true
	send := func() {}
	send = func() {
		if !isSending {
			return
		}
		d.sendRandomCall(random)
		d.after(time.Duration(random.Int63n(int64(80*time.Millisecond))), send)
	}
	d.after(0, send)
	for range 4 {
		d.injectRandomFaults(random, tolerance)
		d.run(time.Second + time.Duration(random.Int63n(int64(5*time.Second))))
		d.repairAll()
		d.run(recoveryTime + time.Duration(random.Int63n(int64(2*time.Second))))
	}
	isSending = false
	d.run(time.Second)
	d.checkRecovery()
	return d, d.violation
}

// sendRandomCall sends a configuration or a fetch to any controller. Few numbers and only two contents make repeats and conflicts likely.
func (d *deployment) sendRandomCall(random *rand.Rand) {
	to := d.machines[random.Intn(len(d.machines))]
	if primary := d.primary(); primary != nil && random.Intn(2) == 0 {
		to = primary
	}
	if random.Intn(6) == 0 {
		d.stepLeavers(to)
	}
	number := 1 + int64(d.now/(300*time.Millisecond)) - random.Int63n(6)
	switch content := string(rune('x' + random.Intn(2))); {
	case number < 1 || random.Intn(3) == 0:
		d.sendFetch(to)
	case random.Intn(20) == 0:
		d.sendInvalidConfiguration(to)
	default:
		d.sendConfiguration(to, number, content)
	}
}

func (d *deployment) injectRandomFaults(random *rand.Rand, tolerance int) {
	for _, index := range random.Perm(len(d.machines))[:1+random.Intn(tolerance)] {
		machine := d.machines[index]
		if primary := d.primary(); primary != nil && random.Intn(2) == 0 {
			machine = primary
		}
		d.injectFault(machine, random)
	}
	if random.Intn(3) == 0 {
		d.leaderInstance().isUp = false
	}
	switch random.Intn(4) {
	case 0:
		d.gateways[random.Intn(len(d.gateways))].isFrozen = true
	case 1:
		d.isolate(d.gateways[random.Intn(len(d.gateways))].name)
	case 2:
		d.startGateway(d.gateways[random.Intn(len(d.gateways))]) // its process ends, and another starts
	}
}

func (d *deployment) injectFault(machine *machine, random *rand.Rand) {
	switch random.Intn(8) {
	case 0:
		d.isolate(machine.name)
	case 1:
		machine.isFrozen = machine.controller != nil
	case 2:
		d.kill(machine)
	case 3:
		d.powerLoss(machine)
	case 4:
		machine.disk.delay = 300 * time.Millisecond
	case 5:
		for _, other := range d.machines { // it sends but receives nothing
			d.cutLinks[link{other.name, machine.name}] = other != machine
		}
	case 6:
		d.wipe(machine)
	case 7:
		d.deliver(machine, Terminate{})
	}
}

// repairAll ends all faults.
func (d *deployment) repairAll() {
	clear(d.cutLinks)
	for _, machine := range d.machines {
		if machine.isFrozen {
			d.thaw(machine)
		}
		machine.disk.delay = 2 * time.Millisecond
		d.start(machine)
	}
	for _, gateway := range d.gateways {
		gateway.isFrozen = false
	}
	for _, instance := range d.instances {
		instance.isUp = true
	}
}

// checkRecovery checks that a primary has all that was acknowledged, that all calls were answered, and that all gateways are up to date.
func (d *deployment) checkRecovery() {
	primary := d.primary()
	if primary == nil {
		d.fail("no primary after the faults")
		return
	}
	fetched := d.sendFetch(primary)
	resent := map[int64]*testCall{}
	for _, number := range slices.Sorted(maps.Keys(d.acknowledged.contents)) {
		resent[number] = d.sendConfiguration(primary, number, d.acknowledged.contents[number])
	}
	d.run(callTimeout)
	if fetched.reply == nil || fetched.reply.Status != 200 {
		d.fail("a fetch after the faults is answered %s", fetched.outcome())
	}
	for _, number := range slices.Sorted(maps.Keys(resent)) {
		if call := resent[number]; call.outcome() != "200" {
			d.fail("number %d sent again is answered %s", number, call.outcome())
		}
	}
	for number := range d.lastCall {
		call := d.calls[number]
		isOverdue := call != nil && call.reply == nil && d.now-call.sentAt > callTimeout+2*tickInterval
		if isOverdue && call.to.process == call.process && call.to.controller != nil {
			d.fail("%s has not answered call %d", call.to.name, number)
		}
	}
	for _, gateway := range d.gateways {
		if d.now >= gateway.leaseUntil || gateway.configurationNumber < d.acknowledged.newest {
			d.fail("%s has a lease until %s and configuration %d of %d", gateway.name, gateway.leaseUntil,
				gateway.configurationNumber, d.acknowledged.newest)
		}
	}
}

// A seed always gives the same history: nothing depends on the iteration order of maps.
func TestSameSeedSameHistory(t *testing.T) {
	is := is.New(t)
	for seed := range int64(5) {
		first, second := summarizeHistory(seed), summarizeHistory(seed)
		is.Equal(first, second)
	}
}

// summarizeHistory plays one history and returns its events, answers and violation.
func summarizeHistory(seed int64) string {
	d, violation := playRandomFaults(seed, disabledGuards{})
	answers := ""
	for number := range d.lastCall {
		if call := d.calls[number+1]; call != nil && call.reply != nil {
			answers += call.outcome() + call.answeredAt.String()
		}
	}
	return strings.Join(d.events, ",") + answers + violation
}
