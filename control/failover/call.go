package failover

import (
	"net/http"
	"time"

	"eiderway/control/feed"
)

var outcomeNames = [...]string{Accepted: "accepted", Declined: "declined", NotSent: "not sent", OutcomeUnknown: "outcome unknown"}

// record waits until the intent is committed.
func (s *service) record(now time.Duration) { s.probeAll(now, s.target(), s.leader()) }

// makeCall makes the call for the target of the committed intent, at the pace that the platform bears.
func (s *service) makeCall(now time.Duration) {
	s.probeAll(now, s.target(), s.leader())
	s.pauseAgain(now)
	if (s.reasonGone(now) || s.handOverTooLong(now)) && !s.callMayAct(now) {
		s.giveUp(now)
		return
	}
	if now < s.call.next || !s.manager.mayCall(now) {
		return
	}
	s.manager.paceCall(now)
	s.call.number = s.manager.number()
	s.call.sent++
	s.call.refused, s.call.notLeading, s.call.accepted = false, false, false
	s.phase = awaiting
	s.event("call", "%s is to lead", s.intent.InstanceID)
	s.manager.effects.Calls = append(s.manager.effects.Calls, PlatformCall{
		Number: s.call.number, Service: s.name, InstanceID: s.intent.InstanceID,
		Holder: s.settings().Holder, Fence: s.settings().Fence,
	})
}

// called takes the outcome of a call.
func (s *service) called(now time.Duration, result PlatformResult) {
	s.call.number, s.call.endedAt = 0, now
	s.event("call ended", "%s, status %d", outcomeNames[result.Outcome], result.Code)
	switch result.Outcome {
	case Accepted:
		s.doubt = true
		s.call.accepted, s.call.acceptedUntil = true, now+promoteWait
		s.call.watchFor, s.call.next = promoteWait, now+declinedRetry
		s.earlierCallsVoid()
	case Declined:
		s.call.sent--
		s.call.watchFor, s.call.next = s.watchOfEarlier(now), now+declinedRetry
		s.call.refused = result.Code == http.StatusConflict
	case NotSent:
		s.call.sent--
		s.call.watchFor, s.call.next = s.watchOfEarlier(now), now+notSentRetry
	default:
		s.doubt = true
		s.call.unknownUntil, s.call.ownUnknown = now+s.settings().MaxCallDelay, true
		s.call.watchFor, s.call.next = repeatWait, now+declinedRetry
	}
}

// effectSeen closes the call once its target leads a later term than the leader before: a call acts once, so it is over, whatever
// became of its answer. That doesn't tell which one acted if there are several, this holder's or an earlier one's: then each is
// still waited out.
func (s *service) effectSeen(leader feed.Leader) {
	if s.intent == nil || s.inherited || s.call.sent != 1 {
		return
	}
	if leader.InstanceID != s.intent.InstanceID || leader.Term <= s.intent.Previous.Term {
		return
	}
	s.call.number, s.call.sent = 0, 0
	s.call.unknownUntil, s.call.ownUnknown = 0, false
}

// watchOfEarlier keeps watching for the effect of an earlier call, where this one had none.
func (s *service) watchOfEarlier(now time.Duration) time.Duration {
	if s.callMayAct(now) {
		return s.call.watchFor
	}
	return 0
}

// earlierCallsVoid drops calls of earlier holders, once the platform has seen this holder's higher fence and refuses theirs.
func (s *service) earlierCallsVoid() {
	if s.othersCallsVoid() {
		s.call.unknownUntil, s.inherited = 0, false
	}
}

// await finds out from the instances what became of the call, and makes it again for the same target where that is safe.
func (s *service) await(now time.Duration) {
	target := s.target()
	s.probeAll(now, target, s.leader())
	if s.intent == nil {
		s.phase = pausing
		return
	}
	if s.installIfLed(now) {
		return
	}
	s.pauseAgain(now)
	if s.call.number != 0 {
		return
	}
	if s.reasonGone(now) || s.intentOutdated(now) || s.handOverTooLong(now) {
		s.giveUp(now)
		if s.phase != awaiting {
			return
		}
	}
	s.noteTarget(now, target)
	if s.targetDead(now, target) {
		s.chooseAnother(now)
		return
	}
	watched := s.call.notLeading && now-s.call.notLeadingFrom >= s.call.watchFor
	if !watched || now < s.call.next || !target.answered(now-statusFresh) {
		return
	}
	if s.call.accepted {
		s.chooseAnew(now, target)
		return
	}
	s.renewIntent(now)
}

// chooseAnew goes back to choosing after a call that was accepted and changed nothing: the platform may take the target for the
// present primary, and then it never will.
func (s *service) chooseAnew(now time.Duration, target *member) {
	if s.callMayAct(now) {
		s.renewIntent(now)
		return
	}
	target.calledInVain = true
	s.event("no effect", "%s was called and doesn't lead", target.instance.ID)
	s.phase = pausing
	s.endRound()
}

// renewIntent commits the intent once more before the call is made again: that shows that this holder still leads the control state.
func (s *service) renewIntent(now time.Duration) {
	renewed := *s.intent
	renewed.Fence = s.settings().Fence
	if s.ask(now, Change{Intent: &renewed}) {
		s.phase = recording
	}
}

// intentOutdated tells whether the old leader goes on though an earlier holder meant to replace it, and no call may act any more.
func (s *service) intentOutdated(now time.Duration) bool {
	leader := s.leader()
	if s.why != openIntent || s.callMayAct(now) || !s.isLeading(leader, max(s.frozenAt, now-statusFresh)) {
		return false
	}
	return !leader.drainSpent(now, s.settings())
}

// noteTarget notes since when the target has answered without leading.
func (s *service) noteTarget(now time.Duration, target *member) {
	if target == nil || s.call.number != 0 || !target.answered(s.call.endedAt) || target.status.Primary {
		return
	}
	if !s.call.notLeading {
		s.call.notLeading, s.call.notLeadingFrom = true, target.statusAt
	}
	if s.call.refused && target.failures == 0 && target.statusAt > s.call.notLeadingFrom {
		s.call.refused = false // it runs: so it was the fence, and a later holder is at work
		s.call.next = max(s.call.next, now+fencedRetry)
	}
}

// targetDead tells whether the target can't take over any more.
func (s *service) targetDead(now time.Duration, target *member) bool {
	if target == nil {
		return true
	}
	if target.failures < 2 {
		return false
	}
	return s.call.refused || now-max(target.lastLife, target.failingSince) >= targetDeadAfter
}

// chooseAnother goes back to choosing. Another target gets a call only when the calls for this one can't act any more.
func (s *service) chooseAnother(now time.Duration) {
	if s.callMayAct(now) && !s.othersCallsVoid() && !s.manager.guards.repeatAtOnce && !s.manager.guards.lateCallsForgotten {
		return
	}
	s.event("target gone", "%s", s.intent.InstanceID)
	s.phase = pausing
	s.endRound()
}
