package simulation

import (
	"time"

	"eiderway/control/failover"
)

// platform carries out POST /failover.
type platform struct {
	world        *World
	fenceChecked bool
	promoteTime  time.Duration
	slow         time.Duration // added before a call is looked at
	loseCalls    int           // the next calls that vanish on their way
	loseAnswers  int           // the next answers that vanish on their way back
	late         time.Duration // the next call arrives so much later
	highest      map[string]uint64
}

const platformName = "platform"

func newPlatform(world *World) *platform {
	return &platform{
		world: world, fenceChecked: world.plan.FenceChecked, promoteTime: world.plan.PromoteTime,
		highest: map[string]uint64{},
	}
}

// call carries a call from a controller to the platform and its answer back.
func (p *platform) call(from *machine, call failover.PlatformCall, finish func(failover.PlatformOutcome, int)) {
	w := p.world
	sent := w.judge.callSent(from, call)
	w.fire("call " + call.Service)
	if p.loseCalls > 0 {
		p.loseCalls--
		return
	}
	delay := p.slow + p.late
	p.late = 0
	w.network.send(from.name, platformName, func() {
		w.schedule.after(delay, func() {
			code := p.take(call, sent)
			if p.loseAnswers > 0 {
				p.loseAnswers--
				return
			}
			w.network.send(platformName, from.name, func() { finish(outcomeOf(code), code) })
		})
	})
}

func outcomeOf(code int) failover.PlatformOutcome {
	switch {
	case code/100 == 2:
		return failover.Accepted
	case code/100 == 4:
		return failover.Declined
	}
	return failover.OutcomeUnknown
}

// take looks at a call that has arrived and gives the code of the answer.
func (p *platform) take(call failover.PlatformCall, sent *sentCall) int {
	w := p.world
	w.judge.callArrived(sent)
	service := w.service(call.Service)
	target := w.instanceByID(call.InstanceID)
	if service == nil {
		return 404
	}
	if p.fenceChecked && call.Fence < p.highest[call.Service] {
		return 409
	}
	p.highest[call.Service] = max(p.highest[call.Service], call.Fence)
	if target == nil || !target.running {
		return 409
	}
	if service.leader == target {
		return 200
	}
	w.judge.callAccepted(sent)
	w.schedule.after(p.promoteTime, func() { p.promote(service, target, sent) })
	return 200
}

// promote takes effect: the target leads the next term with what it has received.
func (p *platform) promote(service *service, target *instance, sent *sentCall) {
	w := p.world
	if !target.running || service.leader == target {
		return
	}
	old := service.leader
	service.term = max(service.term+1, target.termHeld)
	service.leader = target
	w.judge.promoted(service, old, target, sent)
	target.promote(service.term)
	w.note(target.id, "leads "+service.name)
	w.fire("promote " + service.name)
}
