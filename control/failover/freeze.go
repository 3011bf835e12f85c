package failover

import (
	"time"

	"github.com/samber/lo"
)

// awaitClearance waits until every gateway keeps the freeze, and checks meanwhile whether the reason for the freeze goes away.
func (s *service) awaitClearance(now time.Duration) {
	s.probeAll(now, s.leader(), s.target())
	s.trackTarget(now, s.target())
	if s.isReasonGone(now) {
		s.abandonFailover(now)
		if s.phase != awaitingClearance {
			return
		}
	}
	if !s.cleared && !s.manager.overrides.allowPauseBeforeClear {
		return
	}
	s.phase = pausing
	if s.intent != nil && s.isIntentUnsettled() {
		s.phase = awaitingEffect
	}
	s.advance(now)
}

// isReasonGone reports whether the recorded leader can go on: it has answered as leader to a question asked since the freeze.
func (s *service) isReasonGone(now time.Duration) bool {
	leader := s.leader()
	if !s.isLeading(leader, s.frozenAt) || leader.failures > 0 {
		return false
	}
	if s.highestLedTerm() > s.view.Leader.Term || leader.isDrainOver(now, s.settings()) {
		return false
	}
	switch s.freezeReason {
	case leaderSilent, neverLed, newLeader:
		return true
	case leaderDraining:
		return !leader.instance.Draining
	}
	return false
}

// abandonFailover lets the recorded leader go on, if no call may still move the lead. An open intent is withdrawn first.
func (s *service) abandonFailover(now time.Duration) {
	if s.intent == nil || !s.isIntentUnsettled() {
		s.unfreeze(now)
		return
	}
	if s.callMayAct(now) || s.isLeadInDoubt(s.leader()) {
		return
	}
	s.phase = withdrawingIntent
	s.withdrawIntent(now)
}

// isLeadInDoubt reports whether a call for the intent, or for an earlier one, may have promoted an instance that hasn't answered since.
// The doubt ends when every instance but the expected one has answered as replica, after the last call that could act. It never ends if an
// instance that was called has gone without such an answer: it may have led, and what it led is over only for a leader of a later term.
func (s *service) isLeadInDoubt(goesOn *member) bool {
	if !s.leadInDoubt {
		return false
	}
	end := max(s.doubtUntil, s.call.endedAt)
	shown := lo.EveryBy(s.presentMembers(), func(m *member) bool {
		return m == goesOn || m.answeredSince(end) && !m.status.Primary
	})
	if shown && !s.hasTargetGoneUnseen(end) {
		s.endDoubt()
	}
	return s.leadInDoubt
}

// hasTargetGoneUnseen reports whether an instance that was called has gone and didn't answer as replica after the last call that could act.
func (s *service) hasTargetGoneUnseen(end time.Duration) bool {
	return lo.ContainsBy(s.doubtedTargets, func(id string) bool {
		target := s.findMember(id)
		return target == nil || target.departed && (!target.answeredSince(end) || target.status.Primary)
	})
}

// withdrawIntent waits until the intent is removed. The service stays frozen until then.
func (s *service) withdrawIntent(now time.Duration) {
	if s.intent == nil {
		s.unfreeze(now)
		return
	}
	s.requestChange(now, Change{ClearIntent: s.name})
}

// recordLeaderIfSeen starts to record a new leader, if there is evidence of one and no call may still promote another instance.
func (s *service) recordLeaderIfSeen(now time.Duration) bool {
	found := s.findNewPrimary(max(s.frozenAt, now-statusMaxAge))
	if found == nil || !s.cleared {
		return false
	}
	if s.intent != nil && !s.isIntentTarget(found) && (s.callMayAct(now) || s.isLeadInDoubt(found)) {
		return false
	}
	s.phase = recordingLeader
	s.recordLeader(now)
	return true
}

// recordLeader waits until the new leader is recorded.
func (s *service) recordLeader(now time.Duration) {
	s.probeAll(now, s.target())
	s.resumePaused(now)
	found := s.findNewPrimary(max(s.frozenAt, now-statusMaxAge))
	if found == nil {
		if s.request.number == 0 && now-s.frozenAt > statusMaxAge {
			s.phase = awaitingClearance // it was lost again before it was recorded
		}
		return
	}
	s.requestLeader(now, found)
}

// target returns the instance that the intent names as the next leader, if it is present.
func (s *service) target() *member {
	if s.intent == nil {
		return nil
	}
	m := s.findMember(s.intent.InstanceID)
	if m == nil || m.departed {
		return nil
	}
	return m
}
