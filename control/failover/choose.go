package failover

import (
	"strings"
	"time"

	"github.com/samber/lo"

	"eiderway/control/guard"
)

// choose selects the instance that is to lead, once it is proven to hold every commit that may have been acknowledged.
func (s *service) choose(now time.Duration) {
	s.blocking = nil
	chosen, paused := s.selectCandidate(now)
	if chosen == nil {
		return
	}
	if missing := s.blockingInstances(chosen, paused); len(missing) > 0 && !s.manager.overrides.allowUnprovenChoice && !s.asynchronousWaitOver(now) {
		s.blocking = missing
		s.logStall(now, missing)
		return
	}
	if !s.mayCallFor(now, chosen) {
		return
	}
	if !s.manager.overrides.allowCallBeforeIntent && !s.requestChange(now, Change{Intent: s.intentFor(chosen)}) {
		return
	}
	s.addEvent("chosen", "%s at position %d.%d, paused in term %d", chosen.instance.ID,
		chosen.pausedPosition.Term, chosen.pausedPosition.Number, s.roundTerm)
	if s.manager.overrides.allowCallBeforeIntent {
		s.intent = s.intentFor(chosen)
		s.phase = calling
		return
	}
	s.phase = recordingIntent
}

// selectCandidate returns the best instance to lead, and the paused members whose positions the choice rests on. A call for an
// instance that the platform may consider the present primary may do nothing: such an instance is returned only when for a long time
// no other has been proven to hold every commit.
func (s *service) selectCandidate(now time.Duration) (*member, []*member) {
	paused := s.pausedMembers()
	best := s.furthest(paused)
	if best == nil || !s.maySeemPrimary(best) {
		return best, paused
	}
	others := lo.Reject(paused, func(m *member, _ int) bool { return s.maySeemPrimary(m) })
	if other := s.furthest(others); other != nil && len(s.blockingInstances(other, others)) == 0 {
		return other, others
	}
	if now-max(s.clearedAt, s.call.endedAt) < seemsPrimaryWait && s.hasOtherCandidates(best) {
		return nil, nil
	}
	return best, paused
}

// maySeemPrimary reports whether the platform may consider an instance that doesn't lead the present primary: it is the recorded
// leader, or a call for it was accepted and had no effect. Where acknowledged commits need not be in a replica, the recorded leader is
// tried once, since it alone may have them.
func (s *service) maySeemPrimary(m *member) bool {
	return m.callHadNoEffect || m.instance.ID == s.view.Leader.InstanceID && s.view.SyncReplicas > 0
}

// hasOtherCandidates reports whether there are other instances that may yet be paused, or be called with effect.
func (s *service) hasOtherCandidates(best *member) bool {
	return lo.ContainsBy(s.presentMembers(), func(m *member) bool { return m != best })
}

func (s *service) intentFor(chosen *member) *Intent {
	return &Intent{
		Service:    s.name,
		InstanceID: chosen.instance.ID,
		Term:       s.roundTerm,
		Fence:      s.settings().Fence,
		Previous:   s.view.Leader,
	}
}

// furthest returns the member with the highest position. Among equals it prefers one for which no call was without effect, then one
// that isn't draining, then one that isn't the recorded leader, then the one that lags least.
func (s *service) furthest(paused []*member) *member {
	var best *member
	for _, m := range paused {
		if best == nil || s.isBetter(m, best) {
			best = m
		}
	}
	return best
}

func (s *service) isBetter(a, b *member) bool {
	if a.pausedPosition != b.pausedPosition {
		return b.pausedPosition.Less(a.pausedPosition)
	}
	if a.callHadNoEffect != b.callHadNoEffect {
		return !a.callHadNoEffect
	}
	if a.instance.Draining != b.instance.Draining {
		return !a.instance.Draining
	}
	if led := s.view.Leader.InstanceID; a.instance.ID == led || b.instance.ID == led {
		return b.instance.ID == led
	}
	return a.status.LagMs < b.status.LagMs
}

// blockingInstances returns the instances that stand against the choice, or none if the choice is proven. An acknowledged commit is in
// the logs of two instances: of the leader of its term and of a replica. The chosen one is the furthest of the paused members (or of the
// part of them that counts here), so it has the commit if
//   - all instances but one are paused: one of the two that have the commit is among them; or
//   - the recorded leader is paused, or has stepped down with no more than the chosen one has, and no later term is known in which
//     another instance led; or
//   - each instance that isn't paused, but one, had fallen silent or left before the leader's position was read that the chosen
//     one has reached (and no later term is known).
//
// The recorded leader and those that followed it at its address are one copy. Of those that left and were covered long ago only the
// furthest of these positions is kept, as the floor.
func (s *service) blockingInstances(chosen *member, paused []*member) []string {
	led := s.view.Leader.InstanceID
	laterTerm := s.highestLedTerm() > s.view.Leader.Term
	open := lo.Filter(s.members, func(m *member, _ int) bool {
		covered := !laterTerm && m.cover != nil && !chosen.pausedPosition.Less(*m.cover)
		return !lo.Contains(paused, m) && (!covered || m.instance.ID == led)
	})
	leader := s.findMember(led)
	if !laterTerm && (lo.ContainsBy(paused, s.hasLeaderLog) || s.hasAllOfSteppedDown(chosen, leader)) {
		return nil
	}
	spare := 1
	if led == "" || leader == nil {
		spare = 0 // the leader is unknown, or was forgotten: it is the one instance that may be missing
	}
	missing := lo.Map(s.withoutLeaderCopies(open), func(m *member, _ int) string { return m.instance.ID })
	if chosen.pausedPosition.Less(s.view.Floor) && !s.settings().DisabledGuards.Has(guard.Floor) {
		missing = append(missing, DepartedEarlier)
	}
	if len(missing) <= spare {
		return nil
	}
	return missing
}

// hasAllOfSteppedDown reports whether the recorded leader was seen to have stepped down, and the chosen instance has all that it had then.
// It has nothing more since: a replica receives only from a primary, and nobody else leads its term.
func (s *service) hasAllOfSteppedDown(chosen, leader *member) bool {
	steppedDown := leader != nil && leader.hasStatus && !leader.status.Primary && leader.status.Term == s.view.Leader.Term
	return steppedDown && !chosen.pausedPosition.Less(leader.status.Received)
}

// DepartedEarlier stands for the instances that departed, and were covered by a position that the chosen one hasn't reached.
const DepartedEarlier = "(departed)"

// asynchronousWaitOver reports whether the wait for a silent replica ends because no replica needs to hold acknowledged commits anyway.
func (s *service) asynchronousWaitOver(now time.Duration) bool {
	return s.view.SyncReplicas == 0 && s.freezeReason != leaderDraining && now-s.frozenAt >= s.settings().ReplicaLostAfter
}

func (s *service) logStall(now time.Duration, missing []string) {
	if !s.stallLogged && now-s.roundStartedAt >= statusMaxAge {
		s.stallLogged = true
		s.addEvent("waiting", "nobody is shown to hold every acknowledged commit; open: %s", strings.Join(missing, " "))
	}
}

// mayCallFor reports whether a call for this instance may be made: not while an earlier call for another target may still act.
func (s *service) mayCallFor(now time.Duration, chosen *member) bool {
	if s.call.number != 0 {
		return false
	}
	if s.intent == nil || s.intent.InstanceID == chosen.instance.ID || !s.callMayAct(now) {
		return true
	}
	return s.fenceVoidsOpenCalls() ||
		s.manager.overrides.allowImmediateRetarget && s.call.hasOwnUnknown ||
		s.manager.overrides.ignoreLateCalls && !s.call.hasOwnUnknown
}
