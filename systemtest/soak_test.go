package systemtest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"eiderway/systemtest/workload"
	"eiderway/testinstance"
)

var (
	soakSeeds = flag.Int("soak.seeds", 2, "how many seeds TestSoak plays, one after the other")
	soakFirst = flag.Uint64("soak.first", 1, "the first seed of TestSoak")
	soakFor   = flag.Duration("soak.for", 15*time.Second, "for how long TestSoak makes trouble with each seed")
)

const (
	soakStep      = 20 * time.Millisecond
	mostTroubles  = 3                // at a time
	calmAfter     = 20 * time.Second // within which all must be well again; a busy machine may need long
	contactTime   = 4 * time.Second  // for which a process must have run to count as in touch
	shareOfEnds   = 4                // one trouble in so many is the end of an instance
	troubleLeast  = 200 * time.Millisecond
	troubleMost   = 4 * time.Second
	betweenMost   = time.Second
	successorWait = 2 * time.Second
)

// TestSoak plays random kills, pauses, cuts, lost answers and planned ends of instances on a system of real processes, several at a
// time, with the invariants on. Meanwhile keys are taken away and come back, a hot tenant and strangers ask, and limits change. What comes of a seed differs from run to run: the seed only chooses the troubles.
//
//	go test ./systemtest -run TestSoak -soak.seeds 50 -soak.for 40s -timeout 2h
func TestSoak(t *testing.T) {
	t.Parallel()
	for seed := *soakFirst; seed < *soakFirst+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { playSoak(t, seed) })
	}
}

func playSoak(t *testing.T, seed uint64) {
	s := &soak{
		world:   startTenants(t, func(settings *testinstance.Settings) { settings.BeatsAfterLeave = seed%2 == 0 }, startLinks, nil),
		random:  rand.New(rand.NewPCG(seed, 1)),
		began:   time.Now(),
		busy:    map[string]bool{},
		stopped: map[string][]span{},
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("what happened:\n%s", strings.Join(s.story, "\n"))
		}
	})
	crowd := s.startCrowd()
	s.trouble(*soakFor)
	crowd()
	s.close()
	s.heal()
	s.awaitWrites("after all troubles")
	s.awaitOrders("after all troubles")
	s.excused = s.stoodStill
	s.conclude()
}

// span is a time; its end is zero while it lasts.
type span struct{ from, to time.Time }

// soak makes trouble in a world. All its fields belong to the test's goroutine.
type soak struct {
	*world
	random  *rand.Rand
	began   time.Time
	story   []string
	active  []active
	busy    map[string]bool   // what is in trouble, by name
	stopped map[string][]span // when a gateway stood still
	named   int               // instances that were added
}

// active is a trouble that lasts.
type active struct {
	what string // that is busy
	ends time.Time
	end  func()
}

// tell notes what is done.
func (s *soak) tell(format string, values ...any) {
	s.story = append(s.story, fmt.Sprintf("%7.3fs %s", time.Since(s.began).Seconds(), fmt.Sprintf(format, values...)))
}

func (s *soak) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// trouble begins troubles and ends them, for so long.
func (s *soak) trouble(lasting time.Duration) {
	next := time.Now()
	for until := time.Now().Add(lasting); time.Now().Before(until); time.Sleep(soakStep) {
		s.endDue(time.Now())
		s.succeed()
		if time.Now().Before(next) || len(s.active) >= mostTroubles {
			continue
		}
		next = time.Now().Add(s.between(soakStep, betweenMost))
		s.begin()
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
		s.tell("%s: over", one.what)
	}
	s.active = lasting
}

// begin begins one trouble, drawn at random.
func (s *soak) begin() {
	if s.random.IntN(shareOfEnds) == 0 {
		s.endInstance()
		return
	}
	kinds := []func(){
		s.killController, s.stopController, s.killGateway, s.stopGateway, s.cutGateway, s.cutController, s.cutReplication,
		s.freezeInstance, s.crashInstance, s.loseOnTheWay, s.platformTrouble, s.cutControl,
		s.cutControllers, s.cutControllers, s.isolateController, s.cutGatewayFromCore, s.cutGatewayFromCore,
		s.changeTenants, s.changeTenants,
	}
	kinds[s.random.IntN(len(kinds))]()
}

// last makes a trouble last, unless what it strikes is in trouble already.
func (s *soak) last(what, how string, begin, end func()) {
	if s.busy[what] {
		return
	}
	lasting := s.between(troubleLeast, troubleMost)
	s.tell("%s: %s for %v", what, how, lasting.Round(time.Millisecond))
	s.busy[what] = true
	begin()
	s.active = append(s.active, active{what: what, ends: time.Now().Add(lasting), end: end})
}

func (s *soak) killController() {
	number := s.random.IntN(workload.ControllerCount)
	one := s.controllers[number]
	s.last(one.name, "killed", one.kill, func() { s.startController(number, false) })
}

func (s *soak) stopController() {
	one := s.controllers[s.random.IntN(workload.ControllerCount)]
	s.last(one.name, "stopped", func() { one.signal(syscall.SIGSTOP) }, func() { one.signal(syscall.SIGCONT) })
}

func (s *soak) killGateway() {
	number := s.random.IntN(gatewayCount)
	one := s.gateways[number]
	s.last(one.name, "killed", one.kill, func() { s.startGateway(number) })
}

func (s *soak) stopGateway() {
	number := s.random.IntN(gatewayCount)
	one, caller := s.gateways[number], gatewayName(number)
	stop := func() {
		s.stopped[caller] = append(s.stopped[caller], span{from: time.Now()})
		one.signal(syscall.SIGSTOP)
	}
	goOn := func() {
		one.signal(syscall.SIGCONT)
		spans := s.stopped[caller]
		spans[len(spans)-1].to = time.Now()
	}
	s.last(one.name, "stopped", stop, goOn)
}

// anyDirection is both ways as often as one way.
func (s *soak) anyDirection() direction {
	return []direction{bothWays, bothWays, onlyThere, onlyBack}[s.random.IntN(4)]
}

// cutControllers cuts two controllers from each other.
func (s *soak) cutControllers() {
	first := s.random.IntN(workload.ControllerCount)
	second := (first + 1 + s.random.IntN(workload.ControllerCount-1)) % workload.ControllerCount
	s.cutLink(controllerName(min(first, second)), controllerName(max(first, second)))
}

func (s *soak) cutLink(one, other string) {
	how := s.anyDirection()
	cut := func(isCut bool) func() { return func() { s.links.cut(one, other, how, isCut) } }
	s.last(one+" "+other, fmt.Sprintf("cut (%d)", how), cut(true), cut(false))
}

// isolateController cuts one controller from the other ones.
func (s *soak) isolateController() {
	number, how := s.random.IntN(workload.ControllerCount), s.anyDirection()
	cut := func(isCut bool) func() {
		return func() {
			for other := range workload.ControllerCount {
				s.links.cut(controllerName(number), controllerName(other), how, isCut)
			}
		}
	}
	s.last(controllerName(number)+" alone", fmt.Sprintf("cut (%d)", how), cut(true), cut(false))
}

// cutGatewayFromCore cuts a gateway from one controller, or from all.
func (s *soak) cutGatewayFromCore() {
	gateway := gatewayName(s.random.IntN(gatewayCount))
	if s.random.IntN(2) == 0 {
		s.cutLink(gateway, controllerName(s.random.IntN(workload.ControllerCount)))
		return
	}
	how := s.anyDirection()
	cut := func(isCut bool) func() {
		return func() {
			for number := range workload.ControllerCount {
				s.links.cut(gateway, controllerName(number), how, isCut)
			}
		}
	}
	s.last(gateway+" core", fmt.Sprintf("cut (%d)", how), cut(true), cut(false))
}

const (
	downLeast = 200 * time.Millisecond // of processes that were killed at the end
	downMost  = 2 * time.Second
)

// close ends the troubles as the operators' days may: with nothing more; with all processes killed at once; or with the disk of one controller lost
// and all others killed in the same moment, gateways too.
func (s *soak) close() {
	kind := s.random.IntN(3)
	if kind == 0 {
		return
	}
	s.endDue(time.Now().Add(time.Hour))
	lost := -1
	if kind == 2 {
		lost = s.random.IntN(workload.ControllerCount)
	}
	s.tell("all are killed; lost disk: %d", lost)
	for _, one := range append(slices.Clone(s.controllers), s.gateways...) {
		one.signal(syscall.SIGKILL)
	}
	for _, one := range append(slices.Clone(s.controllers), s.gateways...) {
		<-one.ended
	}
	if lost >= 0 {
		if err := os.RemoveAll(s.dataOf(lost)); err != nil {
			s.Fatal(err)
		}
	}
	time.Sleep(s.between(downLeast, downMost))
	for number := range s.controllers {
		s.startController(number, false)
	}
	for number := range s.gateways {
		s.startGateway(number)
	}
}

func controllerName(number int) string { return fmt.Sprintf("controller-%d", number) }

// gatewayName is how a gateway names itself to instances.
func gatewayName(number int) string { return fmt.Sprintf("gateway-%d", number) }

func (s *soak) cutGateway() {
	s.cutCaller(gatewayName(s.random.IntN(gatewayCount)))
}

func (s *soak) cutController() {
	s.cutCaller(controllerName(s.random.IntN(workload.ControllerCount)))
}

func (s *soak) cutCaller(who string) {
	cut := func(isCut bool) func() { return func() { s.service.CutCaller(who, isCut) } }
	s.last("instances from "+who, "cut", cut(true), cut(false))
}

func (s *soak) cutControl() {
	address := s.layout.Control(s.random.IntN(workload.ControllerCount))
	cut := func(isCut bool) func() { return func() { s.service.CutController(address, isCut) } }
	s.last("calls of instances to "+address, "cut", cut(true), cut(false))
}

func (s *soak) cutReplication() {
	present := s.presentInstances()
	if len(present) < 2 {
		return
	}
	one, other := present[0], present[1+s.random.IntN(len(present)-1)]
	cut := func(isCut bool) func() { return func() { s.service.Cut(one, other, isCut) } }
	s.last("replication "+one.ID()+" "+other.ID(), "cut", cut(true), cut(false))
}

func (s *soak) freezeInstance() {
	one := s.anyInstance()
	s.last(one.ID(), "frozen", func() { one.Freeze(true) }, func() { one.Freeze(false) })
}

func (s *soak) crashInstance() {
	one := s.anyInstance()
	if one.HasLeft() {
		return
	}
	s.last(one.ID(), "crashed", one.Crash, func() { _ = one.Restart() }) // one that has left meanwhile stays away
}

func (s *soak) loseOnTheWay() {
	troubles := testinstance.Faults{LoseAnswers: 0.1, LoseAcks: 0.3, LateShare: 0.4, MaxLateDelay: troubleMost}
	s.last("answers", "lost or late", func() { s.service.SetFaults(troubles) },
		func() { s.service.SetFaults(testinstance.Faults{}) })
}

func (s *soak) platformTrouble() {
	slow := s.between(0, time.Second)
	trouble := func(settings *testinstance.PlatformSettings) { settings.Slow, settings.LoseAnswers = slow, 1 }
	calm := func(settings *testinstance.PlatformSettings) { settings.Slow, settings.LoseAnswers = 0, 0 }
	s.last("platform", "slow, and loses an answer", func() { s.platform.Set(trouble) }, func() { s.platform.Set(calm) })
}

// endInstance has an instance drain, or leave without.
func (s *soak) endInstance() {
	one := s.anyInstance()
	if one.HasLeft() || s.busy[one.ID()] {
		return
	}
	if s.random.IntN(2) == 0 {
		s.tell("%s drains", one.ID())
		one.Drain()
		return
	}
	s.tell("%s leaves", one.ID())
	one.Leave()
}

func (s *soak) presentInstances() []*testinstance.Instance {
	var present []*testinstance.Instance
	for _, one := range s.instances {
		if !one.HasLeft() {
			present = append(present, one)
		}
	}
	return present
}

// anyInstance is the leader as often as any other.
func (s *soak) anyInstance() *testinstance.Instance {
	if s.random.IntN(2) == 0 {
		return s.service.Leader()
	}
	return s.instances[s.random.IntN(len(s.instances))]
}

// succeed starts a replica in the place of each instance that has left, with its log.
func (s *soak) succeed() {
	for index, gone := range s.instances {
		if !gone.HasLeft() {
			continue
		}
		id := fmt.Sprintf("db-%d", s.named)
		added, err := s.service.StartSuccessor(gone, id)
		if err != nil {
			continue // its address isn't free yet
		}
		s.named++
		s.tell("%s takes the place of %s", id, gone.ID())
		s.instances[index] = added
	}
}

// heal ends all troubles, and waits until no instance is on its way out.
func (s *soak) heal() {
	s.tell("the troubles end")
	s.endDue(time.Now().Add(time.Hour))
	for until := time.Now().Add(drainTime + successorWait); time.Now().Before(until); time.Sleep(soakStep) {
		s.succeed()
	}
}

// stoodStill tells whether the gateway that had an instance run something stood still shortly before: it is not in touch then, and
// may send late what it checked in time.
func (s *soak) stoodStill(ran testinstance.Execution) bool {
	for _, one := range s.stopped[ran.Caller] {
		if ran.At.After(one.from) && ran.At.Before(one.to.Add(contactTime)) {
			return true
		}
	}
	return false
}
