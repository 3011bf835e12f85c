package failover

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/feed"
	"eiderway/control/guard"
	"eiderway/control/invariant"
)

// harness drives a manager step by step: instances answer as the test sets them, and nothing is committed or cleared on its own.
type harness struct {
	manager *Manager
	now     time.Duration
	answers map[string]Status
	calls   []PlatformCall
	changes []Change
	paused  []Probe
}

func newHarness(views ...ServiceView) *harness {
	settings := DefaultSettings()
	settings.Holder, settings.Fence = "c1", 5
	h := &harness{manager: New(0, settings), answers: map[string]Status{}}
	h.step(CommittedState{Services: views})
	return h
}

func threeInstances(leader string) ServiceView {
	view := ServiceView{Name: "a", SyncReplicas: 1, Leader: feed.Leader{InstanceID: leader}}
	if leader != "" {
		view.Leader.Term = 3
	}
	for _, id := range []string{"a1", "a2", "a3"} {
		view.Instances = append(view.Instances, feed.Instance{ID: id, Service: "a", Address: id})
	}
	return view
}

// step passes an input to the manager, and answers every probe at once: instances without a set answer refuse.
func (h *harness) step(input Input) {
	inputs := []Input{input}
	for len(inputs) > 0 {
		effects := h.manager.Step(h.now, inputs[0])
		inputs = inputs[1:]
		h.calls = append(h.calls, effects.Calls...)
		h.changes = append(h.changes, effects.Changes...)
		for _, probe := range effects.Probes {
			status, up := h.answers[probe.InstanceID]
			result := ProbeResult{Number: probe.Number, Answer: Refused, Started: h.now}
			if probe.Kind == AskPause {
				h.paused = append(h.paused, probe)
				status.TermHeld = probe.Term
				if up {
					h.answers[probe.InstanceID] = status
				}
			}
			if up {
				result.Answer, result.Status = Answered, status
			}
			inputs = append(inputs, ProbeEnded{Result: result})
		}
	}
}

func (h *harness) wait(span time.Duration) {
	for end := h.now + span; h.now < end; {
		h.now += tickEvery
		h.step(Tick{})
	}
}

func replicaAt(number uint64) Status {
	return Status{Term: 3, TermHeld: 3, Received: Position{Term: 3, Number: number}}
}

// frozenAfterCrash returns a harness with a frozen service whose leader is gone and whose replica a3 has the furthest position.
func frozenAfterCrash() *harness {
	h := newHarness(threeInstances("a1"))
	h.answers["a2"], h.answers["a3"] = replicaAt(10), replicaAt(12)
	h.wait(2 * time.Second)
	return h
}

func TestLeaderIsRecordedOnStatusOnly(t *testing.T) {
	is := is.New(t)
	h := newHarness(threeInstances(""))
	h.answers["a1"], h.answers["a2"], h.answers["a3"] = replicaAt(10), replicaAt(10), replicaAt(10)
	h.step(Heartbeat{InstanceID: "a2", Service: "a", Primary: true})
	h.wait(time.Second)
	is.Equal(len(h.changes), 0) // a heartbeat alone is no evidence
	status := replicaAt(10)
	status.Primary = true
	h.answers["a2"] = status
	h.wait(time.Second)
	is.Equal(len(h.changes), 1)
	is.Equal(h.changes[0].Leader.Leader, feed.Leader{InstanceID: "a2", Term: 3})
}

func TestOnlyTheCurrentFreezeIsCleared(t *testing.T) {
	is := is.New(t)
	h := frozenAfterCrash()
	freeze, frozen := h.manager.Frozen("a")
	is.True(frozen)
	h.step(FreezeCleared{Service: "a", Freeze: freeze - 1})
	h.wait(time.Second)
	is.Equal(len(h.paused), 0) // nothing is paused for a freeze that isn't cleared
	h.step(FreezeCleared{Service: "a", Freeze: freeze})
	is.Equal(len(h.paused), 2)
	is.True(h.paused[0].Term > 3)
}

func TestHandOverIsNotGivenUpForSlowGateways(t *testing.T) {
	is := is.New(t)
	view := threeInstances("a1")
	h := newHarness(view)
	leading := replicaAt(12)
	leading.Primary = true
	h.answers["a1"], h.answers["a2"], h.answers["a3"] = leading, replicaAt(12), replicaAt(12)
	h.wait(time.Second)
	view.Instances[0].Draining = true
	h.step(CommittedState{Services: []ServiceView{view}})
	h.wait(handOverLimit + time.Second) // a lease has to run out
	freeze, frozen := h.manager.Frozen("a")
	is.True(frozen)
	h.step(FreezeCleared{Service: "a", Freeze: freeze})
	h.wait(time.Second)
	is.Equal(len(h.changes), 1)
	is.True(h.changes[0].Intent != nil)
}

func TestFreezeNumbersRise(t *testing.T) {
	is := is.New(t)
	h := frozenAfterCrash()
	first, _ := h.manager.Frozen("a")
	leading := replicaAt(12)
	leading.Primary = true
	h.answers["a1"] = leading
	h.wait(time.Second)
	_, frozen := h.manager.Frozen("a")
	is.True(!frozen) // the leader answers again and nothing was paused
	delete(h.answers, "a1")
	h.wait(6 * time.Second)
	second, frozen := h.manager.Frozen("a")
	is.True(frozen)
	is.True(second > first)
}

func TestIntentIsCommittedBeforeTheCall(t *testing.T) {
	is := is.New(t)
	h := frozenAfterCrash()
	freeze, _ := h.manager.Frozen("a")
	h.step(FreezeCleared{Service: "a", Freeze: freeze})
	is.Equal(len(h.changes), 1)
	is.Equal(h.changes[0].Intent.InstanceID, "a3") // the further one
	h.wait(time.Second)
	is.Equal(len(h.calls), 0)
	h.step(ChangeDecided{Request: h.changes[0].Request, Committed: true})
	is.Equal(len(h.calls), 1)
	is.Equal(h.calls[0].InstanceID, "a3")
	is.Equal(h.calls[0].Fence, uint64(5))
}

func TestNoCallAfterStaleIntentCommit(t *testing.T) {
	is := is.New(t)
	h := frozenAfterCrash()
	freeze, _ := h.manager.Frozen("a")
	h.step(FreezeCleared{Service: "a", Freeze: freeze})
	h.now += 20 * time.Second // the process was stopped
	h.step(ChangeDecided{Request: h.changes[0].Request, Committed: true})
	is.Equal(len(h.calls), 0)
	is.Equal(len(h.changes), 2) // it is asked for again: that shows whether this holder still leads
}

func TestSteppedDownLeaderIsNotChosenBeforeItsEqual(t *testing.T) {
	is := is.New(t)
	h := newHarness(threeInstances("a1"))
	h.answers["a1"] = replicaAt(12)
	h.wait(2 * time.Second)
	freeze, frozen := h.manager.Frozen("a")
	is.True(frozen)
	h.step(FreezeCleared{Service: "a", Freeze: freeze})
	h.wait(time.Second)
	is.Equal(len(h.changes), 0) // its log would suffice, but the platform may still consider it the primary
	h.answers["a2"] = replicaAt(12)
	h.wait(time.Second)
	is.Equal(len(h.changes), 1)
	is.Equal(h.changes[0].Intent.InstanceID, "a2")
}

func TestAcceptedCallWithoutEffectIsFollowedByAnotherChoice(t *testing.T) {
	is := is.New(t)
	h := frozenAfterCrash()
	h.answers["a2"] = replicaAt(12)
	freeze, _ := h.manager.Frozen("a")
	h.step(FreezeCleared{Service: "a", Freeze: freeze})
	h.step(ChangeDecided{Request: h.changes[0].Request, Committed: true})
	called := h.calls[0].InstanceID
	h.step(CallEnded{Result: PlatformResult{Number: h.calls[0].Number, Outcome: Accepted, Code: 200}})
	h.wait(promoteWait - time.Second)
	is.Equal(len(h.changes), 1)
	h.wait(2 * time.Second)
	is.Equal(len(h.changes), 2)
	is.True(h.changes[1].Intent.InstanceID != called)
}

func TestUnknownOutcomeIsNotRepeated(t *testing.T) {
	is := is.New(t)
	h := frozenAfterCrash()
	freeze, _ := h.manager.Frozen("a")
	h.step(FreezeCleared{Service: "a", Freeze: freeze})
	h.step(ChangeDecided{Request: h.changes[0].Request, Committed: true})
	h.step(CallEnded{Result: PlatformResult{Number: h.calls[0].Number, Outcome: OutcomeUnknown}})
	h.wait(3 * time.Second)
	is.Equal(len(h.changes), 1)
	h.wait(2 * time.Second)
	is.Equal(len(h.changes), 2) // the target has long answered that it doesn't lead
	is.Equal(h.changes[1].Intent.InstanceID, "a3")
	delete(h.answers, "a3")
	h.step(ChangeDecided{Request: h.changes[1].Request, Committed: false})
	h.wait(8 * time.Second)
	is.Equal(len(h.changes), 2) // the target is gone, but its call may be on its way: no other is chosen
}

func TestCallsKeepToTheAllowedRate(t *testing.T) {
	is := is.New(t)
	h := frozenAfterCrash()
	h.manager.settings.CallsPerSecond = 0.5
	h.manager.delayNextCall(h.now)
	freeze, _ := h.manager.Frozen("a")
	h.step(FreezeCleared{Service: "a", Freeze: freeze})
	h.step(ChangeDecided{Request: h.changes[0].Request, Committed: true})
	h.wait(1900 * time.Millisecond)
	is.Equal(len(h.calls), 0)
	h.wait(200 * time.Millisecond)
	is.Equal(len(h.calls), 1)
}

func TestHealthyServiceIsProbedRarely(t *testing.T) {
	is := is.New(t)
	h := newHarness(threeInstances("a1"))
	leading := replicaAt(12)
	leading.Primary = true
	h.answers["a1"], h.answers["a2"], h.answers["a3"] = leading, replicaAt(12), replicaAt(12)
	beats := func() {
		for _, id := range []string{"a1", "a2", "a3"} {
			h.step(Heartbeat{InstanceID: id, Service: "a", Primary: id == "a1"})
		}
	}
	for range 5 {
		beats()
		h.wait(time.Second)
	}
	before := h.manager.lastNumber
	for range 30 {
		beats()
		h.wait(time.Second)
	}
	is.True(h.manager.lastNumber-before <= 10) // only the leader, every three seconds
}

// TestFirstProbesOfManyServicesAreSpread has a controller take over a hundred services: probing all instances at once would keep it too
// busy to receive the answers in time. The first heartbeat of a leader must not count as a change of role.
func TestFirstProbesOfManyServicesAreSpread(t *testing.T) {
	is := is.New(t)
	leading := replicaAt(12)
	leading.Primary = true
	var views []ServiceView
	for number := range 100 {
		view := threeInstances("a1")
		view.Name = fmt.Sprintf("service-%02d", number)
		view.Leader.InstanceID = view.Name + "-a1"
		for i := range view.Instances {
			view.Instances[i].ID, view.Instances[i].Service = view.Name+"-"+view.Instances[i].ID, view.Name
		}
		views = append(views, view)
	}
	views[90].Instances[0].Draining = true
	views[91].Leader.InstanceID = "gone"
	h := newHarness(views...)
	is.Equal(h.manager.lastNumber, uint64(9)) // the first service, the one that drains and the one whose leader is gone
	for _, view := range views {
		for _, instance := range view.Instances {
			h.answers[instance.ID] = replicaAt(12)
		}
		h.answers[view.Leader.InstanceID] = leading
	}
	for range 4 {
		for _, view := range views {
			for _, instance := range view.Instances {
				h.step(Heartbeat{InstanceID: instance.ID, Service: view.Name, Primary: instance.ID == view.Leader.InstanceID})
			}
		}
		h.wait(time.Second)
	}
	is.True(h.manager.lastNumber < 600) // five for each service; sixteen when first heartbeats counted as changes of role
}

// loneDrainingLeader plays a service whose only instance leads and drains, until statements may no longer reach it.
func loneDrainingLeader(lacking guard.Set) (h *harness, broken []string) {
	view := ServiceView{Name: "a", Leader: feed.Leader{InstanceID: "a1", Term: 3}}
	view.Instances = []feed.Instance{{ID: "a1", Service: "a", Address: "a1"}}
	h = newHarness(view)
	h.manager.settings.DisabledGuards = lacking
	leading := replicaAt(12)
	leading.Primary = true
	h.answers["a1"] = leading
	h.wait(time.Second)
	view.Instances = []feed.Instance{{ID: "a1", Service: "a", Address: "a1", Draining: true}}
	h.step(CommittedState{Services: []ServiceView{view}})
	for end := h.now + DefaultSettings().DrainLimit; h.now < end; h.now += tickEvery {
		for _, event := range h.manager.Step(h.now, Tick{}).Events {
			if event.What == invariant.Broken {
				broken = append(broken, event.Text)
			}
		}
	}
	return h, broken
}

func TestLoneDrainingLeaderIsFrozenInTime(t *testing.T) {
	is := is.New(t)
	h, broken := loneDrainingLeader(0)
	_, frozen := h.manager.Frozen("a")
	is.True(frozen)
	is.Equal(len(broken), 0)

	h, broken = loneDrainingLeader(guard.Set(0).With(guard.FreezeWithoutSuccessor))
	_, frozen = h.manager.Frozen("a")
	is.True(!frozen)
	is.Equal(broken, []string{invariant.DrainedLeaderIsFrozen + ": a: a1"}) // told once
}

func TestDrainLimitsCountDown(t *testing.T) {
	is := is.New(t)
	view := threeInstances("a1")
	h := newHarness(view)
	is.Equal(len(h.manager.DrainLimits(h.now)), 0)
	h.now = time.Second
	view.Instances = append([]feed.Instance(nil), view.Instances...)
	view.Instances[1].Draining = true
	h.step(CommittedState{Services: []ServiceView{view}})
	// Of the 7 s of DrainLimit, DrainMargin takes 1 s, and 2 s have passed.
	is.Equal(h.manager.DrainLimits(3*time.Second), []feed.DrainLimit{{InstanceID: "a2", Left: 4 * time.Second}})
	is.Equal(h.manager.DrainLimits(time.Minute), []feed.DrainLimit{{InstanceID: "a2"}})

	late := feed.Instance{ID: "a4", Service: "a", Address: "a4", Draining: true} // it is draining when first seen
	view.Instances = append(view.Instances, late)
	h.step(CommittedState{Services: []ServiceView{view}})
	is.Equal(h.manager.DrainLimits(3 * time.Second)[1], feed.DrainLimit{InstanceID: "a4"})
	view.Instances = view.Instances[:3]

	next := New(0, DefaultSettings()) // another holder doesn't know when the drain began
	next.Step(0, CommittedState{Services: []ServiceView{view}})
	is.Equal(next.DrainLimits(0), []feed.DrainLimit{{InstanceID: "a2"}})
}

func TestAnsweredProbeIsASignOfLife(t *testing.T) {
	is := is.New(t)
	manager := New(0, DefaultSettings())
	effects := manager.Step(0, CommittedState{Services: []ServiceView{threeInstances("a1")}})
	for index, answer := range []ProbeAnswer{Answered, Busy, Refused} {
		probe := effects.Probes[index]
		said := manager.Step(time.Millisecond, ProbeEnded{Result: ProbeResult{Number: probe.Number, Answer: answer}}).AliveInstanceID
		is.Equal(said == probe.InstanceID, answer != Refused)
	}
}

// orphaned plays a service whose only instance, the leader, is gone and to which a new instance with an empty log was added. The manager
// has seen no other instance.
func orphaned(change func(*ServiceView)) *harness {
	view := ServiceView{Name: "a", SyncReplicas: 1, Leader: feed.Leader{InstanceID: "a1", Term: 3}}
	view.Instances = []feed.Instance{{ID: "a1", Service: "a", Address: "a1"}, {ID: "a4", Service: "a", Address: "a4"}}
	change(&view)
	h := newHarness(view)
	h.answers["a4"] = Status{}
	h.wait(2 * time.Second)
	freeze, _ := h.manager.Frozen("a")
	h.step(FreezeCleared{Service: "a", Freeze: freeze})
	h.wait(2 * time.Second)
	return h
}

func TestDepartedCopiesBlockTheChoiceAfterATakeover(t *testing.T) {
	is := is.New(t)
	unknown := orphaned(func(*ServiceView) {})
	is.Equal(len(unknown.changes), 1) // no earlier copy is known, so the new instance is chosen
	is.Equal(unknown.changes[0].Intent.InstanceID, "a4")

	covered := orphaned(func(view *ServiceView) { view.Floor = Position{Term: 3, Number: 7} })
	is.Equal(len(covered.changes), 0)
	uncovered := orphaned(func(view *ServiceView) {
		view.Departed = []feed.Instance{{ID: "a2", Service: "a", Address: "a2"}}
	})
	is.Equal(len(uncovered.changes), 0)
}

// TestDepartureIsCoveredByTheLeadersPosition checks that the leader's position, read after a departure, is recorded for later holders.
func TestDepartureIsCoveredByTheLeadersPosition(t *testing.T) {
	is := is.New(t)
	view := threeInstances("a1")
	h := newHarness(view)
	leading := replicaAt(12)
	leading.Primary = true
	h.answers["a1"], h.answers["a2"], h.answers["a3"] = leading, replicaAt(12), replicaAt(11)
	h.wait(time.Second)
	view.Instances = view.Instances[:2]
	h.step(CommittedState{Services: []ServiceView{view}})
	h.wait(departureMargin)
	is.Equal(len(h.changes), 0)
	h.wait(time.Second)
	is.Equal(len(h.changes), 1)
	is.Equal(*h.changes[0].Covered, CoveredDeparture{Service: "a", InstanceID: "a3", Position: Position{Term: 3, Number: 12}})
	h.step(ChangeDecided{Request: h.changes[0].Request, Committed: true})
	h.wait(time.Second)
	is.Equal(len(h.changes), 1)
}
