package failover

import (
	"time"

	"github.com/samber/lo"

	"eiderway/control/feed"
)

// requestChange requests a change of the control state, and reports whether it did: only one may be in progress. Callers repeat the
// request for as long as they want the change.
func (s *service) requestChange(now time.Duration, change Change) bool {
	if s.request.number != 0 || now < s.nextChangeAt {
		return false
	}
	change.Request = s.manager.nextNumber()
	s.request = request{number: change.Request, at: now, change: change, leaderBefore: s.view.Leader}
	s.manager.effects.Changes = append(s.manager.effects.Changes, change)
	return true
}

func (s *service) requestLeader(now time.Duration, leader *member) {
	s.requestChange(now, Change{Leader: &LeaderChange{
		Service: s.name,
		Leader:  feed.Leader{InstanceID: leader.instance.ID, Term: leader.status.Term},
	}})
}

// handleChangeDecided applies the outcome of the requested change.
func (s *service) handleChangeDecided(now time.Duration, committed bool) {
	done := s.request
	s.request = request{}
	if !committed {
		s.nextChangeAt = now + changeRetry
		s.onIntentNotCommitted()
		return
	}
	switch {
	case done.change.Leader != nil && isSameLeadership(done.leaderBefore, done.change.Leader.Leader):
		s.onReturnedLeaderCommitted(done.leaderBefore, done.change.Leader.Leader)
	case done.change.Leader != nil:
		s.onLeaderCommitted(now, done.leaderBefore, done.change.Leader.Leader)
	case done.change.Intent != nil:
		s.onIntentCommitted(now, done)
	case done.change.Covered != nil:
		s.onCoverCommitted(*done.change.Covered)
	case done.change.ClearIntent != "":
		s.view.Intent, s.intent, s.intentInherited, s.call = nil, nil, false, callState{}
		if s.phase == withdrawingIntent {
			s.unfreeze(now)
		}
	}
}

// onCoverCommitted forgets a departed instance: the floor now stands for what it may hold.
func (s *service) onCoverCommitted(covered CoveredDeparture) {
	if s.view.Floor.Less(covered.Position) {
		s.view.Floor = covered.Position
	}
	s.members = lo.Reject(s.members, func(m *member, _ int) bool {
		return m.departed && m.instance.ID == covered.InstanceID
	})
}

// onIntentNotCommitted returns to the phase in which the intent was requested.
func (s *service) onIntentNotCommitted() {
	if s.phase != recordingIntent {
		return
	}
	s.phase = pausing
	if s.intent != nil && s.isIntentUnsettled() && s.roundTerm == 0 {
		s.phase = awaitingEffect
	}
}

// onLeaderCommitted adopts the committed leader. Every other instance that led must step down in its term.
func (s *service) onLeaderCommitted(now time.Duration, previous, leader feed.Leader) {
	s.view.Leader = leader
	s.hasGatewayAnswer, s.hasFailuresOnly, s.failuresOnlyLogged = false, false, false
	s.addEvent("leader", "%s term %d, previously %s term %d", leader.InstanceID, leader.Term, previous.InstanceID, previous.Term)
	for _, m := range s.presentMembers() {
		led := m.instance.ID == previous.InstanceID || m.leadsSince(0)
		m.mustStepDown = led && m.instance.ID != leader.InstanceID
		m.callHadNoEffect = false
		m.mayBePaused = m.mayBePaused || m.hasStatus && s.mayBePausedByEarlierHolder(m)
		if m.instance.ID == leader.InstanceID {
			m.mayBePaused = false
		}
	}
	s.call.acceptedUntil, s.doubtUntil = 0, 0
	s.endDoubt()
	s.closeCallIfTargetLeads(leader)
	if s.phase == recordingLeader {
		s.unfreeze(now)
		s.cleanUpFailover(now)
	}
}

// onIntentCommitted makes the call due, unless the intent was requested so long ago that this process must have been stopped meanwhile.
func (s *service) onIntentCommitted(now time.Duration, done request) {
	s.intent, s.view.Intent = done.change.Intent, done.change.Intent
	sent := s.call.sent
	if !s.callMayAct(now) {
		sent = 0
	}
	s.call = callState{sent: sent, unknownUntil: s.call.unknownUntil, hasOwnUnknown: s.call.hasOwnUnknown}
	if s.phase != recordingIntent {
		return
	}
	if now-done.at > intentMaxAge {
		s.onIntentNotCommitted()
		return
	}
	s.phase = calling
}
