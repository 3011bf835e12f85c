package failover

import (
	"net/http"
	"slices"
	"time"

	"eiderway/control/feed"
)

var outcomeNames = [...]string{Accepted: "accepted", Declined: "declined", NotSent: "not sent", OutcomeUnknown: "outcome unknown"}

// awaitIntent waits until the intent is committed.
func (s *service) awaitIntent(now time.Duration) { s.probeAll(now, s.target(), s.leader()) }

// makeCall makes the call for the target of the committed intent, within the rate that the platform allows.
func (s *service) makeCall(now time.Duration) {
	s.probeAll(now, s.target(), s.leader())
	s.renewPauses(now)
	if (s.isReasonGone(now) || s.handOverTimedOut(now)) && !s.callMayAct(now) {
		s.abandonFailover(now)
		if s.phase != calling {
			return
		}
	}
	if now < s.call.notBefore || !s.manager.mayCall(now) {
		return
	}
	s.manager.delayNextCall(now)
	s.call.number = s.manager.nextNumber()
	s.call.sent++
	s.call.hasConflict, s.call.isNotLeading, s.call.wasAccepted = false, false, false
	s.phase = awaitingEffect
	s.addEvent("call", "asking the platform to promote %s", s.intent.InstanceID)
	s.manager.effects.Calls = append(s.manager.effects.Calls, PlatformCall{
		Number: s.call.number, Service: s.name, InstanceID: s.intent.InstanceID,
		Holder: s.settings().Holder, Fence: s.settings().Fence,
	})
}

// handleCallEnded records the outcome of a call.
func (s *service) handleCallEnded(now time.Duration, result PlatformResult) {
	s.call.number, s.call.endedAt = 0, now
	s.addEvent("call ended", "%s, status %d", outcomeNames[result.Outcome], result.Code)
	switch result.Outcome {
	case Accepted:
		s.call.wasAccepted, s.call.acceptedUntil = true, now+promoteWait
		s.doubtLead(s.call.acceptedUntil)
		s.call.watchFor, s.call.notBefore = promoteWait, now+declinedRetry
		s.dropFencedCalls()
	case Declined:
		s.call.sent--
		s.call.watchFor, s.call.notBefore = s.remainingWatchTime(now), now+declinedRetry
		s.call.hasConflict = result.Code == http.StatusConflict
	case NotSent:
		s.call.sent--
		s.call.watchFor, s.call.notBefore = s.remainingWatchTime(now), now+notSentRetry
	default:
		s.call.unknownUntil, s.call.hasOwnUnknown = now+s.settings().MaxCallDelay, true
		s.doubtLead(s.call.unknownUntil)
		s.call.watchFor, s.call.notBefore = repeatWait, now+declinedRetry
	}
}

// doubtLead records that a call may depose the recorded leader until the given time. The doubt outlives the call's intent.
func (s *service) doubtLead(until time.Duration) {
	s.leadInDoubt, s.doubtUntil = true, max(s.doubtUntil, until)
	if s.intent != nil && !slices.Contains(s.doubtedTargets, s.intent.InstanceID) {
		s.doubtedTargets = append(s.doubtedTargets, s.intent.InstanceID)
	}
}

// endDoubt records that no call has deposed the recorded leader unseen.
func (s *service) endDoubt() { s.leadInDoubt, s.doubtedTargets = false, nil }

// closeCallIfTargetLeads closes the call once its target leads a later term than the previous leader: a call acts once, so it is over,
// whatever became of its answer. If there are several calls, of this holder or an earlier one, it isn't known which of them acted:
// then each is still waited out.
func (s *service) closeCallIfTargetLeads(leader feed.Leader) {
	if s.intent == nil || s.intentInherited || s.call.sent != 1 {
		return
	}
	if leader.InstanceID != s.intent.InstanceID || leader.Term <= s.intent.Previous.Term {
		return
	}
	s.call.number, s.call.sent = 0, 0
	s.call.unknownUntil, s.call.hasOwnUnknown = 0, false
}

// remainingWatchTime is how long to go on watching for the effect of an earlier call, where the last one had none.
func (s *service) remainingWatchTime(now time.Duration) time.Duration {
	if s.callMayAct(now) {
		return s.call.watchFor
	}
	return 0
}

// dropFencedCalls forgets calls of earlier holders once the platform has seen this holder's higher fence, and so refuses theirs.
func (s *service) dropFencedCalls() {
	if s.fenceVoidsOpenCalls() {
		s.call.unknownUntil, s.intentInherited = 0, false
	}
}

// awaitEffect learns from the instances what effect the call had, and repeats it for the same target where that is safe.
func (s *service) awaitEffect(now time.Duration) {
	target := s.target()
	s.probeAll(now, target, s.leader())
	if s.intent == nil {
		s.phase = pausing
		return
	}
	if s.recordLeaderIfSeen(now) {
		return
	}
	s.renewPauses(now)
	if s.call.number != 0 {
		return
	}
	if s.isReasonGone(now) || s.isIntentOutdated(now) || s.handOverTimedOut(now) {
		s.abandonFailover(now)
		if s.phase != awaitingEffect {
			return
		}
	}
	s.trackTarget(now, target)
	if s.isTargetDead(now, target) {
		s.chooseAfterTargetDeath(now)
		return
	}
	watched := s.call.isNotLeading && now-s.call.notLeadingSince >= s.call.watchFor
	if !watched || now < s.call.notBefore || !target.answeredSince(now-statusMaxAge) {
		return
	}
	if s.call.wasAccepted {
		s.chooseAfterNoEffect(now, target)
		return
	}
	s.renewIntent(now)
}

// chooseAfterNoEffect returns to choosing after a call that was accepted and changed nothing: the platform may consider the target the
// present primary, and then will never promote it.
func (s *service) chooseAfterNoEffect(now time.Duration, target *member) {
	if s.callMayAct(now) {
		s.renewIntent(now)
		return
	}
	target.callHadNoEffect = true
	s.addEvent("no effect", "the call for %s was accepted, but it does not lead", target.instance.ID)
	s.phase = pausing
	s.endRound()
}

// renewIntent commits the intent again before the call is repeated, which proves that this holder still leads the control state.
func (s *service) renewIntent(now time.Duration) {
	renewed := *s.intent
	renewed.Fence = s.settings().Fence
	if s.requestChange(now, Change{Intent: &renewed}) {
		s.phase = recordingIntent
	}
}

// isIntentOutdated reports whether the old leader still leads though an earlier holder meant to replace it, and no call may act any more.
func (s *service) isIntentOutdated(now time.Duration) bool {
	leader := s.leader()
	if s.freezeReason != openIntent || s.callMayAct(now) || !s.isLeading(leader, max(s.frozenAt, now-statusMaxAge)) {
		return false
	}
	return !leader.isDrainOver(now, s.settings())
}

// trackTarget notes since when the target has answered without being primary.
func (s *service) trackTarget(now time.Duration, target *member) {
	if target == nil || s.call.number != 0 || !target.answeredSince(s.call.endedAt) || target.status.Primary {
		return
	}
	if !s.call.isNotLeading {
		s.call.isNotLeading, s.call.notLeadingSince = true, target.statusAskedAt
	}
	if s.call.hasConflict && target.failures == 0 && target.statusAskedAt > s.call.notLeadingSince {
		s.call.hasConflict = false // the target runs, so the conflict was about the fence: a later holder is at work
		s.call.notBefore = max(s.call.notBefore, now+fencedRetry)
	}
}

// isTargetDead reports whether the target can't take over any more.
func (s *service) isTargetDead(now time.Duration, target *member) bool {
	if target == nil {
		return true
	}
	if target.failures < 2 {
		return false
	}
	return s.call.hasConflict || now-max(target.lastAliveAt, target.failingSince) >= targetDeadAfter
}

// chooseAfterTargetDeath returns to choosing. Another target is called only when the calls for this one can't act any more.
func (s *service) chooseAfterTargetDeath(now time.Duration) {
	if s.callMayAct(now) && !s.fenceVoidsOpenCalls() && !s.manager.overrides.allowImmediateRetarget && !s.manager.overrides.ignoreLateCalls {
		return
	}
	s.addEvent("target gone", "%s has departed or does not answer", s.intent.InstanceID)
	s.phase = pausing
	s.endRound()
}
