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

// desk drives a manager by hand: instances answer as set, and nothing is committed or cleared unless the test says so.
type desk struct {
	manager *Manager
	now     time.Duration
	answers map[string]Status
	calls   []PlatformCall
	changes []Change
	paused  []Probe
}

func newDesk(views ...ServiceView) *desk {
	settings := DefaultSettings()
	settings.Holder, settings.Fence = "c1", 5
	d := &desk{manager: New(0, settings), answers: map[string]Status{}}
	d.step(CommittedState{Services: views})
	return d
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

// step takes an input, and answers every probe at once: instances that aren't set refuse.
func (d *desk) step(input Input) {
	inputs := []Input{input}
	for len(inputs) > 0 {
		effects := d.manager.Step(d.now, inputs[0])
		inputs = inputs[1:]
		d.calls = append(d.calls, effects.Calls...)
		d.changes = append(d.changes, effects.Changes...)
		for _, probe := range effects.Probes {
			status, up := d.answers[probe.InstanceID]
			result := ProbeResult{Number: probe.Number, Answer: Refused, Started: d.now}
			if probe.Kind == AskPause {
				d.paused = append(d.paused, probe)
				status.TermHeld = probe.Term
				if up {
					d.answers[probe.InstanceID] = status
				}
			}
			if up {
				result.Answer, result.Status = Answered, status
			}
			inputs = append(inputs, ProbeEnded{Result: result})
		}
	}
}

func (d *desk) wait(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.now += tickEvery
		d.step(Tick{})
	}
}

func replicaAt(number uint64) Status {
	return Status{Term: 3, TermHeld: 3, Received: Position{Term: 3, Number: number}}
}

// crashed brings the desk to a frozen service whose leader is gone and whose replica a3 is further.
func crashed() *desk {
	d := newDesk(threeInstances("a1"))
	d.answers["a2"], d.answers["a3"] = replicaAt(10), replicaAt(12)
	d.wait(2 * time.Second)
	return d
}

func TestLeaderIsRecordedOnStatusOnly(t *testing.T) {
	is := is.New(t)
	d := newDesk(threeInstances(""))
	d.answers["a1"], d.answers["a2"], d.answers["a3"] = replicaAt(10), replicaAt(10), replicaAt(10)
	d.step(Heartbeat{InstanceID: "a2", Service: "a", Primary: true})
	d.wait(time.Second)
	is.Equal(len(d.changes), 0) // a heartbeat alone is no evidence
	status := replicaAt(10)
	status.Primary = true
	d.answers["a2"] = status
	d.wait(time.Second)
	is.Equal(len(d.changes), 1)
	is.Equal(d.changes[0].Leader.Leader, feed.Leader{InstanceID: "a2", Term: 3})
}

func TestOnlyTheCurrentFreezeIsCleared(t *testing.T) {
	is := is.New(t)
	d := crashed()
	freeze, frozen := d.manager.Frozen("a")
	is.True(frozen)
	d.step(FreezeCleared{Service: "a", Freeze: freeze - 1})
	d.wait(time.Second)
	is.Equal(len(d.paused), 0) // nothing is paused for a freeze that isn't cleared
	d.step(FreezeCleared{Service: "a", Freeze: freeze})
	is.Equal(len(d.paused), 2)
	is.True(d.paused[0].Term > 3)
}

func TestHandOverIsNotGivenUpForSlowGateways(t *testing.T) {
	is := is.New(t)
	view := threeInstances("a1")
	d := newDesk(view)
	leading := replicaAt(12)
	leading.Primary = true
	d.answers["a1"], d.answers["a2"], d.answers["a3"] = leading, replicaAt(12), replicaAt(12)
	d.wait(time.Second)
	view.Instances[0].Draining = true
	d.step(CommittedState{Services: []ServiceView{view}})
	d.wait(handOverLimit + time.Second) // a lease has to run out
	freeze, frozen := d.manager.Frozen("a")
	is.True(frozen)
	d.step(FreezeCleared{Service: "a", Freeze: freeze})
	d.wait(time.Second)
	is.Equal(len(d.changes), 1)
	is.True(d.changes[0].Intent != nil)
}

func TestFreezesRise(t *testing.T) {
	is := is.New(t)
	d := crashed()
	first, _ := d.manager.Frozen("a")
	leading := replicaAt(12)
	leading.Primary = true
	d.answers["a1"] = leading
	d.wait(time.Second)
	_, frozen := d.manager.Frozen("a")
	is.True(!frozen) // the leader answers again and nothing was paused
	delete(d.answers, "a1")
	d.wait(6 * time.Second)
	second, frozen := d.manager.Frozen("a")
	is.True(frozen)
	is.True(second > first)
}

func TestIntentIsCommittedBeforeTheCall(t *testing.T) {
	is := is.New(t)
	d := crashed()
	freeze, _ := d.manager.Frozen("a")
	d.step(FreezeCleared{Service: "a", Freeze: freeze})
	is.Equal(len(d.changes), 1)
	is.Equal(d.changes[0].Intent.InstanceID, "a3") // the further one
	d.wait(time.Second)
	is.Equal(len(d.calls), 0)
	d.step(ChangeDecided{Request: d.changes[0].Request, Committed: true})
	is.Equal(len(d.calls), 1)
	is.Equal(d.calls[0].InstanceID, "a3")
	is.Equal(d.calls[0].Fence, uint64(5))
}

func TestNoCallOnAnOldCommit(t *testing.T) {
	is := is.New(t)
	d := crashed()
	freeze, _ := d.manager.Frozen("a")
	d.step(FreezeCleared{Service: "a", Freeze: freeze})
	d.now += 20 * time.Second // the process stood still
	d.step(ChangeDecided{Request: d.changes[0].Request, Committed: true})
	is.Equal(len(d.calls), 0)
	is.Equal(len(d.changes), 2) // it is asked for again: that shows whether this holder still leads
}

func TestSteppedDownLeaderIsNotChosenBeforeItsEqual(t *testing.T) {
	is := is.New(t)
	d := newDesk(threeInstances("a1"))
	d.answers["a1"] = replicaAt(12)
	d.wait(2 * time.Second)
	freeze, frozen := d.manager.Frozen("a")
	is.True(frozen)
	d.step(FreezeCleared{Service: "a", Freeze: freeze})
	d.wait(time.Second)
	is.Equal(len(d.changes), 0) // it would do as to its log, but the platform may take it for the primary still
	d.answers["a2"] = replicaAt(12)
	d.wait(time.Second)
	is.Equal(len(d.changes), 1)
	is.Equal(d.changes[0].Intent.InstanceID, "a2")
}

func TestAcceptedCallWithoutEffectIsFollowedByAnotherChoice(t *testing.T) {
	is := is.New(t)
	d := crashed()
	d.answers["a2"] = replicaAt(12)
	freeze, _ := d.manager.Frozen("a")
	d.step(FreezeCleared{Service: "a", Freeze: freeze})
	d.step(ChangeDecided{Request: d.changes[0].Request, Committed: true})
	called := d.calls[0].InstanceID
	d.step(CallEnded{Result: PlatformResult{Number: d.calls[0].Number, Outcome: Accepted, Code: 200}})
	d.wait(promoteWait - time.Second)
	is.Equal(len(d.changes), 1)
	d.wait(2 * time.Second)
	is.Equal(len(d.changes), 2)
	is.True(d.changes[1].Intent.InstanceID != called)
}

func TestUnknownOutcomeIsNotRepeated(t *testing.T) {
	is := is.New(t)
	d := crashed()
	freeze, _ := d.manager.Frozen("a")
	d.step(FreezeCleared{Service: "a", Freeze: freeze})
	d.step(ChangeDecided{Request: d.changes[0].Request, Committed: true})
	d.step(CallEnded{Result: PlatformResult{Number: d.calls[0].Number, Outcome: OutcomeUnknown}})
	d.wait(3 * time.Second)
	is.Equal(len(d.changes), 1)
	d.wait(2 * time.Second)
	is.Equal(len(d.changes), 2) // the target has long answered that it doesn't lead
	is.Equal(d.changes[1].Intent.InstanceID, "a3")
	delete(d.answers, "a3")
	d.step(ChangeDecided{Request: d.changes[1].Request, Committed: false})
	d.wait(8 * time.Second)
	is.Equal(len(d.changes), 2) // the target is gone, but its call may be on its way: no other is chosen
}

func TestCallsKeepToThePace(t *testing.T) {
	is := is.New(t)
	d := crashed()
	d.manager.settings.CallsPerSecond = 0.5
	d.manager.paceCall(d.now)
	freeze, _ := d.manager.Frozen("a")
	d.step(FreezeCleared{Service: "a", Freeze: freeze})
	d.step(ChangeDecided{Request: d.changes[0].Request, Committed: true})
	d.wait(1900 * time.Millisecond)
	is.Equal(len(d.calls), 0)
	d.wait(200 * time.Millisecond)
	is.Equal(len(d.calls), 1)
}

func TestCalmCostsFewProbes(t *testing.T) {
	is := is.New(t)
	d := newDesk(threeInstances("a1"))
	leading := replicaAt(12)
	leading.Primary = true
	d.answers["a1"], d.answers["a2"], d.answers["a3"] = leading, replicaAt(12), replicaAt(12)
	beats := func() {
		for _, id := range []string{"a1", "a2", "a3"} {
			d.step(Heartbeat{InstanceID: id, Service: "a", Primary: id == "a1"})
		}
	}
	for range 5 {
		beats()
		d.wait(time.Second)
	}
	before := d.manager.numbers
	for range 30 {
		beats()
		d.wait(time.Second)
	}
	is.True(d.manager.numbers-before <= 10) // the leader each three seconds, and nobody else
}

// TestManyServicesAreLookedAtInTurn has a controller take a hundred services over: asking all instances at once would keep it too busy
// to hear the answers in time, and the first heartbeat of a leader is no change of role.
func TestManyServicesAreLookedAtInTurn(t *testing.T) {
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
	d := newDesk(views...)
	is.Equal(d.manager.numbers, uint64(9)) // the first service, the one that drains and the one whose leader is gone
	for _, view := range views {
		for _, instance := range view.Instances {
			d.answers[instance.ID] = replicaAt(12)
		}
		d.answers[view.Leader.InstanceID] = leading
	}
	for range 4 {
		for _, view := range views {
			for _, instance := range view.Instances {
				d.step(Heartbeat{InstanceID: instance.ID, Service: view.Name, Primary: instance.ID == view.Leader.InstanceID})
			}
		}
		d.wait(time.Second)
	}
	is.True(d.manager.numbers < 600) // five for each service; sixteen when first heartbeats counted as changes of role
}

// lonelyDrain is a service whose leader is alone and drains, after the time in which statements may reach it.
func lonelyDrain(lacking guard.Set) (d *desk, broken []string) {
	view := ServiceView{Name: "a", Leader: feed.Leader{InstanceID: "a1", Term: 3}}
	view.Instances = []feed.Instance{{ID: "a1", Service: "a", Address: "a1"}}
	d = newDesk(view)
	d.manager.settings.DisabledGuards = lacking
	leading := replicaAt(12)
	leading.Primary = true
	d.answers["a1"] = leading
	d.wait(time.Second)
	view.Instances = []feed.Instance{{ID: "a1", Service: "a", Address: "a1", Draining: true}}
	d.step(CommittedState{Services: []ServiceView{view}})
	for end := d.now + DefaultSettings().DrainLimit; d.now < end; d.now += tickEvery {
		for _, event := range d.manager.Step(d.now, Tick{}).Events {
			if event.What == invariant.Broken {
				broken = append(broken, event.Text)
			}
		}
	}
	return d, broken
}

func TestLoneDrainingLeaderIsFrozenInTime(t *testing.T) {
	is := is.New(t)
	d, broken := lonelyDrain(0)
	_, frozen := d.manager.Frozen("a")
	is.True(frozen)
	is.Equal(len(broken), 0)

	d, broken = lonelyDrain(guard.Set(0).With(guard.FreezeWithoutSuccessor))
	_, frozen = d.manager.Frozen("a")
	is.True(!frozen)
	is.Equal(broken, []string{invariant.DrainedLeaderIsFrozen + ": a: a1"}) // told once
}

func TestTimeThatADrainLeaves(t *testing.T) {
	is := is.New(t)
	view := threeInstances("a1")
	d := newDesk(view)
	is.Equal(len(d.manager.DrainLimits(d.now)), 0)
	d.now = time.Second
	view.Instances = append([]feed.Instance(nil), view.Instances...)
	view.Instances[1].Draining = true
	d.step(CommittedState{Services: []ServiceView{view}})
	is.Equal(d.manager.DrainLimits(3*time.Second), []feed.DrainLimit{{InstanceID: "a2", Left: 4 * time.Second}}) // of 7 s, 1 s of them kept back
	is.Equal(d.manager.DrainLimits(time.Minute), []feed.DrainLimit{{InstanceID: "a2"}})

	late := feed.Instance{ID: "a4", Service: "a", Address: "a4", Draining: true} // it drains when it is met first
	view.Instances = append(view.Instances, late)
	d.step(CommittedState{Services: []ServiceView{view}})
	is.Equal(d.manager.DrainLimits(3 * time.Second)[1], feed.DrainLimit{InstanceID: "a4"})
	view.Instances = view.Instances[:3]

	next := New(0, DefaultSettings()) // another holder doesn't know since when
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

// orphaned is a service whose leader, which was alone, is gone, and to which a new instance with an empty log has come, at a manager that
// has met nobody else.
func orphaned(change func(*ServiceView)) *desk {
	view := ServiceView{Name: "a", SyncReplicas: 1, Leader: feed.Leader{InstanceID: "a1", Term: 3}}
	view.Instances = []feed.Instance{{ID: "a1", Service: "a", Address: "a1"}, {ID: "a4", Service: "a", Address: "a4"}}
	change(&view)
	d := newDesk(view)
	d.answers["a4"] = Status{}
	d.wait(2 * time.Second)
	freeze, _ := d.manager.Frozen("a")
	d.step(FreezeCleared{Service: "a", Freeze: freeze})
	d.wait(2 * time.Second)
	return d
}

func TestWhatTheDepartedMayHoldIsKnownAfterATakeover(t *testing.T) {
	is := is.New(t)
	unknown := orphaned(func(*ServiceView) {})
	is.Equal(len(unknown.changes), 1) // nothing speaks against the new one: it is chosen
	is.Equal(unknown.changes[0].Intent.InstanceID, "a4")

	covered := orphaned(func(view *ServiceView) { view.Floor = Position{Term: 3, Number: 7} })
	is.Equal(len(covered.changes), 0)
	uncovered := orphaned(func(view *ServiceView) {
		view.Departed = []feed.Instance{{ID: "a2", Service: "a", Address: "a2"}}
	})
	is.Equal(len(uncovered.changes), 0)
}

// Once the leader's position was read after a departure, it is recorded for later holders.
func TestDepartureIsCoveredByTheLeadersPosition(t *testing.T) {
	is := is.New(t)
	view := threeInstances("a1")
	d := newDesk(view)
	leading := replicaAt(12)
	leading.Primary = true
	d.answers["a1"], d.answers["a2"], d.answers["a3"] = leading, replicaAt(12), replicaAt(11)
	d.wait(time.Second)
	view.Instances = view.Instances[:2]
	d.step(CommittedState{Services: []ServiceView{view}})
	d.wait(departureMargin)
	is.Equal(len(d.changes), 0)
	d.wait(time.Second)
	is.Equal(len(d.changes), 1)
	is.Equal(*d.changes[0].Covered, CoveredDeparture{Service: "a", InstanceID: "a3", Position: Position{Term: 3, Number: 12}})
	d.step(ChangeDecided{Request: d.changes[0].Request, Committed: true})
	d.wait(time.Second)
	is.Equal(len(d.changes), 1)
}
