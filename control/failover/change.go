package failover

import (
	"time"

	"github.com/samber/lo"

	"eiderway/control/feed"
)

// ask wants a change of the control state. One is under way at a time; what is wanted still is asked for again.
func (s *service) ask(now time.Duration, change Change) bool {
	if s.request.number != 0 || now < s.nextAsk {
		return false
	}
	change.Request = s.manager.number()
	s.request = request{number: change.Request, at: now, change: change, before: s.view.Leader}
	s.manager.effects.Changes = append(s.manager.effects.Changes, change)
	return true
}

func (s *service) askLeader(now time.Duration, leader *member) {
	s.ask(now, Change{Leader: &LeaderChange{
		Service: s.name,
		Leader:  feed.Leader{InstanceID: leader.instance.ID, Term: leader.status.Term},
	}})
}

// changed tells how the change that was asked for ended.
func (s *service) changed(now time.Duration, committed bool) {
	done := s.request
	s.request = request{}
	if !committed {
		s.nextAsk = now + changeRetry
		s.notRecorded()
		return
	}
	switch {
	case done.change.Leader != nil:
		s.recordedLeader(now, done.before, done.change.Leader.Leader)
	case done.change.Intent != nil:
		s.recordedIntent(now, done)
	case done.change.Covered != nil:
		s.recordedCover(*done.change.Covered)
	case done.change.ClearIntent != "":
		s.view.Intent, s.intent, s.inherited, s.call = nil, nil, false, calls{}
		if s.phase == withdrawing {
			s.unfreeze(now)
		}
	}
}

// recordedCover forgets an instance that has departed: the floor stands for what it may hold.
func (s *service) recordedCover(covered CoveredDeparture) {
	if s.view.Floor.Less(covered.Position) {
		s.view.Floor = covered.Position
	}
	s.members = lo.Reject(s.members, func(i *member, _ int) bool {
		return i.departed && i.instance.ID == covered.InstanceID
	})
}

// notRecorded goes back to where the intent was wanted.
func (s *service) notRecorded() {
	if s.phase != recording {
		return
	}
	s.phase = pausing
	if s.intent != nil && s.intentUnsettled() && s.round == 0 {
		s.phase = awaiting
	}
}

// recordedLeader goes on with a leader that is committed. Everyone else who led steps down in its term.
func (s *service) recordedLeader(now time.Duration, previous, leader feed.Leader) {
	s.view.Leader = leader
	s.gatewayHeard, s.failuresOnly, s.failuresSaid = false, false, false
	s.event("leader", "%s term %d, before %s term %d", leader.InstanceID, leader.Term, previous.InstanceID, previous.Term)
	for _, known := range s.present() {
		led := known.instance.ID == previous.InstanceID || known.leads(0)
		known.mustStepDown = led && known.instance.ID != leader.InstanceID
		known.calledInVain = false
		known.mayBePaused = known.mayBePaused || known.known && s.pausedByOther(known)
		if known.instance.ID == leader.InstanceID {
			known.mayBePaused = false
		}
	}
	s.call.acceptedUntil, s.doubt = 0, false
	s.effectSeen(leader)
	if s.phase == installing {
		s.unfreeze(now)
		s.aftercare(now)
	}
}

// recordedIntent makes the call, unless the wish for it is so old that this process must have stood still meanwhile.
func (s *service) recordedIntent(now time.Duration, done request) {
	s.intent, s.view.Intent = done.change.Intent, done.change.Intent
	sent := s.call.sent
	if !s.callMayAct(now) {
		sent = 0
	}
	s.call = calls{sent: sent, unknownUntil: s.call.unknownUntil, ownUnknown: s.call.ownUnknown}
	if s.phase != recording {
		return
	}
	if now-done.at > intentFresh {
		s.notRecorded()
		return
	}
	s.phase = calling
}
