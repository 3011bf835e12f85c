package systemtest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"eiderway/systemtest/workload"
	"eiderway/testinstance"
)

var (
	soakSeeds = flag.Int("soak.seeds", 2, "how many seeds TestSoak runs, one after the other")
	soakFirst = flag.Uint64("soak.first", 1, "the first seed of TestSoak")
	soakFor   = flag.Duration("soak.for", 15*time.Second, "for how long TestSoak injects faults with each seed")
)

const (
	soakStep          = 20 * time.Millisecond
	maxFaults         = 3                // at a time
	calmAfter         = 20 * time.Second // within which the system must have recovered; a busy machine may need long
	contactTime       = 4 * time.Second  // for which a process must have run to count as in contact
	shareOfDepartures = 4                // one fault in so many is the departure of an instance
	minFaultTime      = 200 * time.Millisecond
	maxFaultTime      = 4 * time.Second
	maxFaultInterval  = time.Second
	successorWait     = 2 * time.Second
	minRestartTime    = 50 * time.Millisecond // for which a crashed instance is away at the least
	renamedWait       = 6 * time.Second       // after a replica has come back under a new ID, before an instance departs
	maxLateDelay      = 6 * time.Second       // of a heartbeat
)

// TestSoak injects random kills, pauses, cuts, lost answers and planned departures of instances into a system of real
// processes, several at a time, with the invariants on. Meanwhile keys are taken away and given back, a tenant exceeds its
// limit, clients use a key of no tenant, and limits change. Runs of one seed differ: the seed only chooses the faults.
//
//	go test ./systemtest -run TestSoak -soak.seeds 50 -soak.for 40s -timeout 2h
func TestSoak(t *testing.T) {
	t.Parallel()
	for seed := *soakFirst; seed < *soakFirst+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{
		world:   startTenants(t, soakInstances(seed), startLinks, nil),
		random:  rand.New(rand.NewPCG(seed, 1)),
		began:   time.Now(),
		busy:    map[string]bool{},
		stopped: map[string][]span{},
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("injected faults:\n%s", strings.Join(s.story, "\n"))
		}
	})
	crowd := s.startCrowd()
	s.injectFaults(*soakFor)
	crowd()
	s.killAtEnd()
	s.endFaults()
	s.awaitWrites("after all faults")
	s.awaitOrders("after all faults")
	s.mayRunLate = s.wasCallerStopped
	s.conclude()
	s.checkOwnMemory()
}

// maxOwnMemory bounds the memory of the test's process, with the stand-ins and all that the judge keeps. Soaks run many seeds in one process.
const maxOwnMemory = 1 << 30

func (s *soak) checkOwnMemory() {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	s.Logf("%d MiB taken from the system so far", memory.Sys>>20)
	if memory.Sys > maxOwnMemory {
		s.Errorf("the test's process has taken %d MiB", memory.Sys>>20)
	}
}

// soakInstances returns what the instances of a seed are like.
func soakInstances(seed uint64) func(*testinstance.Settings) {
	return func(settings *testinstance.Settings) {
		settings.BeatsAfterLeave = seed%2 == 0
		settings.Renumber = seed%3 == 0
		settings.WarmupTime = time.Duration(seed%4) * 5 * time.Second
	}
}

// span is a period; its end is zero while it lasts.
type span struct{ from, to time.Time }

// soak injects faults into a world. All its fields belong to the test's goroutine.
type soak struct {
	*world
	random  *rand.Rand
	began   time.Time
	story   []string
	active  []active
	busy    map[string]bool   // targets of active faults, by name
	stopped map[string][]span // when gateways were stopped, by name
	added   int               // count of instances that were added

	returned  int       // count of instances that came back under a new ID
	renamedAt time.Time // when a replica last did
}

// active is a fault that has not ended.
type active struct {
	what string // the target, a key of busy
	ends time.Time
	end  func()
}

// record adds to the story an event with its time.
func (s *soak) record(format string, values ...any) {
	s.story = append(s.story, fmt.Sprintf("%7.3fs %s", time.Since(s.began).Seconds(), fmt.Sprintf(format, values...)))
}

func (s *soak) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// injectFaults starts and ends faults for the given time.
func (s *soak) injectFaults(lasting time.Duration) {
	next := time.Now()
	for until := time.Now().Add(lasting); time.Now().Before(until); time.Sleep(soakStep) {
		s.endDue(time.Now())
		s.startSuccessors()
		if time.Now().Before(next) || len(s.active) >= maxFaults {
			continue
		}
		next = time.Now().Add(s.between(soakStep, maxFaultInterval))
		s.startRandomFault()
	}
}

func (s *soak) endDue(now time.Time) {
	var lasting []active
	for _, one := range s.active {
		if now.Before(one.ends) {
			lasting = append(lasting, one)
			continue
		}
		one.end()
		delete(s.busy, one.what)
		s.record("%s: over", one.what)
	}
	s.active = lasting
}

const (
	minDownTime = 200 * time.Millisecond // between the kill of all processes and their restart
	maxDownTime = 2 * time.Second
)

// killAtEnd ends the faults in one of three ways: with nothing more; with all processes killed at once; or with all processes,
// gateways included, killed at once and the disk of one controller lost.
func (s *soak) killAtEnd() {
	kind := s.random.IntN(3)
	if kind == 0 {
		return
	}
	s.endDue(time.Now().Add(time.Hour))
	lost := -1
	if kind == 2 {
		lost = s.random.IntN(workload.ControllerCount)
	}
	s.record("all are killed; lost disk: %d", lost)
	s.killProcesses()
	if lost >= 0 {
		if err := os.RemoveAll(s.dataOf(lost)); err != nil {
			s.Fatal(err)
		}
	}
	time.Sleep(s.between(minDownTime, maxDownTime))
	s.startProcesses()
}

// anyInstance returns the primary in half of all calls at least, else any instance.
func (s *soak) anyInstance() *testinstance.Instance {
	if s.random.IntN(2) == 0 {
		return s.service.Leader()
	}
	return s.instances[s.random.IntN(len(s.instances))]
}

// startSuccessors starts a successor, with an empty log, for each instance that has left.
func (s *soak) startSuccessors() {
	for index, gone := range s.instances {
		if !gone.HasLeft() {
			continue
		}
		id := fmt.Sprintf("db-%d", s.added)
		added, err := s.service.StartSuccessor(gone, id)
		if err != nil {
			continue // its address isn't free yet
		}
		s.added++
		s.record("%s replaces %s", id, gone.ID())
		s.instances[index] = added
	}
}

// endFaults ends all faults, and waits long enough for every departing instance to leave and to get a successor.
func (s *soak) endFaults() {
	s.record("all faults end")
	s.endDue(time.Now().Add(time.Hour))
	for until := time.Now().Add(drainTime + successorWait); time.Now().Before(until); time.Sleep(soakStep) {
		s.startSuccessors()
	}
}

// wasCallerStopped reports whether the gateway that sent a statement was stopped shortly before. Such a gateway is not in
// contact, and may send late a statement that it checked in time.
func (s *soak) wasCallerStopped(ran testinstance.Execution) bool {
	for _, one := range s.stopped[ran.Caller] {
		if ran.At.After(one.from) && ran.At.Before(one.to.Add(contactTime)) {
			return true
		}
	}
	return false
}
