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

// heartbeatLoop sends a heartbeat about every beat interval.
func (i *instance) heartbeatLoop(life int) {
	if i.life != life || !i.running {
		return
	}
	if !i.frozen {
		i.beat()
	}
	interval := i.world.plan.BeatInterval
	i.world.schedule.after(interval*9/10+i.world.jitter(interval/5), func() { i.heartbeatLoop(life) })
}

// beat sends a heartbeat, or another one right after the one that is under way.
func (i *instance) beat() {
	if !i.running || i.left || i.leaveAcknowledged && !i.beatsAfterLeave {
		return
	}
	if i.beating {
		i.beatIsDue = true
		return
	}
	i.beating = true
	i.beatIsDue = false
	i.sendHeartbeat(i.life, i.beatTargetOrAny(), heartbeatAttempts)
}

// heartbeatAttempts is how many controllers a heartbeat is offered to.
const heartbeatAttempts = 4

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
	return max(0, i.startedAt+i.world.plan.Warmup-i.world.now())
}

func (i *instance) sendHeartbeat(life int, control string, tries int) {
	beat := i.heartbeat()
	makeInput := func(call controller.CallID) controller.Input {
		return controller.Heartbeat{Call: call, Heartbeat: beat}
	}
	answered := func(result callResult) {
		if i.life != life {
			return
		}
		if result.outcome == callAnswered && result.reply.Status/100 == 2 {
			i.onHeartbeatAcknowledged(beat, result, control)
			return
		}
		i.beatTarget = ""
		if tries > 1 {
			i.sendHeartbeat(life, i.world.listedControl(), tries-1)
			return
		}
		i.onHeartbeatEnded()
	}
	if i.delayHeartbeat(control, makeInput) {
		i.world.schedule.after(callWait, func() { answered(callResult{outcome: callSilent}) })
		return
	}
	i.world.callControl(i.id, control, makeInput, answered)
}

// delayHeartbeat has some beats come seconds late, as long as the day says so, and reports whether this one comes late only: in half of the
// cases it comes in time as well. Nobody waits for the late answer.
func (i *instance) delayHeartbeat(control string, makeInput func(controller.CallID) controller.Input) (lateOnly bool) {
	if i.world.lateBeats <= 0 || i.world.random.Float64() >= i.world.lateBeats {
		return false
	}
	i.world.schedule.after(i.world.jitter(maxHeartbeatDelay), func() {
		i.world.callControl(i.id, control, makeInput, func(callResult) {})
	})
	return i.world.random.IntN(2) == 0
}

func (i *instance) onHeartbeatAcknowledged(beat registry.Heartbeat, result callResult, control string) {
	i.beatTarget = control
	var answer beatAnswer
	if json.Unmarshal(result.reply.Body, &answer) == nil && answer.BeatTarget != "" {
		i.beatTarget = answer.BeatTarget
	}
	if beat.OperState == "draining" && i.drainAckedAt == 0 {
		i.drainAckedAt = i.world.now()
		i.world.judge.drainAcknowledged(i)
		i.world.fire(fmt.Sprintf("drained %s", i.id))
		linger := minDrainLinger + i.world.jitter(maxDrainLinger)
		i.world.schedule.after(i.world.plan.Bounds.Drain+linger, func() { i.leave() })
	}
	i.onHeartbeatEnded()
}

func (i *instance) onHeartbeatEnded() {
	i.beating = false
	if i.beatIsDue {
		i.beat()
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
	i.beat()
	life := i.life
	i.world.schedule.after(i.world.plan.Bounds.Drain+2*leaveTimeout, func() {
		if i.life == life && i.running && i.drainAckedAt == 0 {
			i.leave()
		}
	})
}

// leave says that the instance goes, and ends it with or without an acknowledgement.
func (i *instance) leave() {
	if !i.running || i.left {
		return
	}
	until := i.world.now() + leaveTimeout
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
			i.onLeaveAcknowledged()
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

// leaveWithoutDrain begins a planned end without a drain: the instance says that it leaves, serves on, and ends.
func (i *instance) leaveWithoutDrain(beatsAfterLeave bool) {
	if !i.running || i.draining || i.leaving {
		return
	}
	i.leaving = true
	i.beatsAfterLeave = beatsAfterLeave
	i.leave()
}

// onLeaveAcknowledged goes on after the acknowledgement of a leave: one that has drained ends, another one serves on for as long first.
func (i *instance) onLeaveAcknowledged() {
	if i.draining || !i.leaving {
		i.depart()
		return
	}
	i.leaveAcknowledged = true
	i.world.fire(fmt.Sprintf("left %s", i.id))
	life := i.life
	linger := minDrainLinger + i.world.jitter(maxDrainLinger)
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
	i.world.schedule.after(addressReuseDelay, func() {
		i.world.addInstance(i.service, i.replacement, i.address)
	})
}
