package simulation

import (
	"encoding/json"
	"fmt"
	"time"

	"eiderway/control/controller"
	"eiderway/control/registry"
)

// beatAnswer is what an instance reads of the answer to a heartbeat.
type beatAnswer struct {
	BeatTarget string `json:"beatTarget"`
}

// beatLoop sends a heartbeat about every beat interval.
func (i *instance) beatLoop(life int) {
	if i.life != life || !i.running {
		return
	}
	if !i.frozen {
		i.beatNow()
	}
	interval := i.world.plan.BeatInterval
	i.world.schedule.after(interval*9/10+i.world.jitter(interval/5), func() { i.beatLoop(life) })
}

// beatNow sends a heartbeat, or another one right after the one that is under way.
func (i *instance) beatNow() {
	if !i.running || i.left || i.farewell && !i.beatsOn {
		return
	}
	if i.beating {
		i.beatAgain = true
		return
	}
	i.beating = true
	i.beatAgain = false
	i.tryBeat(i.life, i.beatTargetOrAny(), beatTries)
}

// beatTries is how many controllers a heartbeat is offered to.
const beatTries = 4

func (i *instance) beatTargetOrAny() string {
	if i.beatTarget != "" {
		return i.beatTarget
	}
	return i.world.listedControl()
}

func (i *instance) heartbeat() registry.Heartbeat {
	i.callSeq++
	beat := registry.Heartbeat{
		InstanceID: i.id, TargetService: i.service.name, Address: i.address, Zone: i.zone, ConfigRevision: "v1",
		SlotCount: 8, OperState: "ready", DBRole: "replica", CallSeq: i.callSeq, WarmupLeftMs: i.warmupLeft().Milliseconds(),
	}
	if i.draining {
		beat.OperState = "draining"
	}
	if i.primary {
		beat.DBRole = "primary"
	}
	return beat
}

func (i *instance) warmupLeft() time.Duration {
	return max(0, i.begunAt+i.world.plan.Warmup-i.world.now())
}

func (i *instance) tryBeat(life int, control string, tries int) {
	beat := i.heartbeat()
	makeInput := func(call controller.CallID) controller.Input {
		return controller.Heartbeat{Call: call, Heartbeat: beat}
	}
	answered := func(result callResult) {
		if i.life != life {
			return
		}
		if result.outcome == callAnswered && result.reply.Status/100 == 2 {
			i.beatTaken(beat, result, control)
			return
		}
		i.beatTarget = ""
		if tries > 1 {
			i.tryBeat(life, i.world.listedControl(), tries-1)
			return
		}
		i.beatEnded()
	}
	if i.holdUp(control, makeInput) {
		i.world.schedule.after(callWait, func() { answered(callResult{outcome: callSilent}) })
		return
	}
	i.world.callControl(i.id, control, makeInput, answered)
}

// holdUp has some beats come seconds late, as long as the day says so, and reports whether this one comes late only: in half of the
// cases it comes in time as well. Nobody waits for the late answer.
func (i *instance) holdUp(control string, makeInput func(controller.CallID) controller.Input) (lateOnly bool) {
	if i.world.lateBeats <= 0 || i.world.random.Float64() >= i.world.lateBeats {
		return false
	}
	i.world.schedule.after(i.world.jitter(lateBeatMost), func() {
		i.world.callControl(i.id, control, makeInput, func(callResult) {})
	})
	return i.world.random.IntN(2) == 0
}

func (i *instance) beatTaken(beat registry.Heartbeat, result callResult, control string) {
	i.beatTarget = control
	var answer beatAnswer
	if json.Unmarshal(result.reply.Body, &answer) == nil && answer.BeatTarget != "" {
		i.beatTarget = answer.BeatTarget
	}
	if beat.OperState == "draining" && i.drainAcked == 0 {
		i.drainAcked = i.world.now()
		i.world.judge.drainAcknowledged(i)
		i.world.fire(fmt.Sprintf("drained %s", i.id))
		linger := drainLinger + i.world.jitter(drainLingerMost)
		i.world.schedule.after(i.world.plan.Bounds.Drain+linger, func() { i.leave() })
	}
	i.beatEnded()
}

func (i *instance) beatEnded() {
	i.beating = false
	if i.beatAgain {
		i.beatNow()
	}
}

// drain begins a planned end, unless one has begun.
func (i *instance) drain(replacement string) {
	if !i.running || i.draining || i.leaving {
		return
	}
	i.draining = true
	i.replacement = replacement
	i.world.judge.drainBegun(i)
	i.beatNow()
	life := i.life
	i.world.schedule.after(i.world.plan.Bounds.Drain+2*leaveTries, func() {
		if i.life == life && i.running && i.drainAcked == 0 {
			i.leave()
		}
	})
}

// leave says that the instance goes, and ends it with or without an acknowledgement.
func (i *instance) leave() {
	if !i.running || i.left {
		return
	}
	until := i.world.now() + leaveTries
	i.tryLeave(i.life, until)
}

func (i *instance) tryLeave(life int, until time.Duration) {
	makeInput := func(call controller.CallID) controller.Input {
		return controller.InstanceLeave{Call: call, InstanceID: i.id}
	}
	i.world.callControl(i.id, i.beatTargetOrAny(), makeInput, func(result callResult) {
		if i.life != life {
			return
		}
		if result.outcome == callAnswered && result.reply.Status/100 == 2 {
			i.world.judge.leaveAcknowledged(i)
			i.leftSay()
			return
		}
		i.beatTarget = ""
		if i.world.now() >= until {
			i.depart()
			return
		}
		i.world.schedule.after(retryPause, func() {
			if i.life == life {
				i.tryLeave(life, until)
			}
		})
	})
}

// leaveFirst begins a planned end without a drain: the instance says that it leaves, serves on, and ends.
func (i *instance) leaveFirst(goesOnBeating bool) {
	if !i.running || i.draining || i.leaving {
		return
	}
	i.leaving = true
	i.beatsOn = goesOnBeating
	i.leave()
}

// leftSay goes on after the acknowledgement of a leave: one that has drained ends, another one serves on for as long first.
func (i *instance) leftSay() {
	if i.draining || !i.leaving {
		i.depart()
		return
	}
	i.farewell = true
	i.world.fire(fmt.Sprintf("left %s", i.id))
	life := i.life
	linger := drainLinger + i.world.jitter(drainLingerMost)
	i.world.schedule.after(i.world.plan.Bounds.Drain+linger, func() {
		if i.life == life {
			i.depart()
		}
	})
}

// retryPause is the first pause of a caller after a failure.
const retryPause = 100 * time.Millisecond

// depart ends the instance, which takes its log along. Its successor at the same address begins with an empty one.
func (i *instance) depart() {
	i.left = true
	i.crash()
	i.world.note(i.id, "has ended")
	i.world.fire(fmt.Sprintf("ended %s", i.id))
	if i.replacement == "" {
		return
	}
	i.world.schedule.after(reuseAfter, func() {
		i.world.addInstance(i.service, i.replacement, i.address)
	})
}
