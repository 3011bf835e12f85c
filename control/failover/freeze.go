package failover

import (
	"time"

	"github.com/samber/lo"
)

// clear waits until every gateway keeps the freeze, and watches meanwhile whether the reason for it goes away.
func (s *service) clear(now time.Duration) {
	s.probeAll(now, s.leader(), s.target())
	s.noteTarget(now, s.target())
	if s.reasonGone(now) {
		s.giveUp(now)
		return
	}
	if !s.cleared && !s.manager.guards.pauseUncleared {
		return
	}
	s.phase = pausing
	if s.intent != nil && s.intentUnsettled() {
		s.phase = awaiting
	}
	s.advance(now)
}

// reasonGone tells whether the recorded leader can go on: it answers as leader to a question asked since the freeze.
func (s *service) reasonGone(now time.Duration) bool {
	leader := s.leader()
	if !s.isLeading(leader, s.frozenAt) || leader.failures > 0 {
		return false
	}
	if s.latestTerm() > s.view.Leader.Term || leader.drainSpent(now, s.settings()) {
		return false
	}
	switch s.why {
	case leaderSilent, neverLed, newLeader:
		return true
	case leaderDrains:
		return !leader.instance.Draining
	}
	return false
}

// giveUp lets the recorded leader go on, if no call may still move the lead. An intent is taken back first.
func (s *service) giveUp(now time.Duration) {
	if s.intent == nil || !s.intentUnsettled() {
		s.unfreeze(now)
		return
	}
	if s.callMayAct(now) || s.inDoubt(s.leader()) {
		return
	}
	s.phase = withdrawing
	s.withdraw(now)
}

// inDoubt tells whether a call for the intent, or for one before it, may have taken effect at an instance that hasn't answered since.
// The doubt ends when all others than the one that goes on have answered as no primaries, after the last call that could act.
func (s *service) inDoubt(goesOn *member) bool {
	end := max(s.call.acceptedUntil, s.call.unknownUntil, s.call.endedAt)
	shown := lo.EveryBy(s.present(), func(i *member) bool {
		return i == goesOn || i.answered(end) && !i.status.Primary
	})
	s.doubt = s.doubt && !shown
	return s.doubt
}

// withdraw waits until the intent is taken back. The service stays frozen until then.
func (s *service) withdraw(now time.Duration) {
	if s.intent == nil {
		s.unfreeze(now)
		return
	}
	s.ask(now, Change{ClearIntent: s.name})
}

// installIfLed starts to record a new leader, if there is evidence of one and no call may still make another one lead.
func (s *service) installIfLed(now time.Duration) bool {
	found := s.newPrimary(max(s.frozenAt, now-statusFresh))
	if found == nil || !s.cleared {
		return false
	}
	forTarget := s.intent != nil && s.intent.InstanceID == found.instance.ID
	if s.intent != nil && !forTarget && (s.callMayAct(now) || s.inDoubt(found)) {
		return false
	}
	s.phase = installing
	s.install(now)
	return true
}

// install waits until the new leader is recorded.
func (s *service) install(now time.Duration) {
	s.probeAll(now, s.target())
	s.releasePaused(now)
	found := s.newPrimary(max(s.frozenAt, now-statusFresh))
	if found == nil {
		if s.request.number == 0 && now-s.frozenAt > statusFresh {
			s.phase = clearing // it was lost again before it was recorded
		}
		return
	}
	s.askLeader(now, found)
}

// target gives the instance that is to lead by the intent.
func (s *service) target() *member {
	if s.intent == nil {
		return nil
	}
	known := s.member(s.intent.InstanceID)
	if known == nil || known.departed {
		return nil
	}
	return known
}
