package failover

import (
	"time"

	"github.com/samber/lo"
)

// pauseReplicas stops every replica from receiving, in a new term, and chooses one of them.
func (s *service) pauseReplicas(now time.Duration) {
	s.probeLeader(now)
	if s.recordLeaderIfSeen(now) || s.isNewPrimaryExpected(now) {
		return
	}
	if s.isReasonGone(now) || s.handOverTimedOut(now) {
		s.abandonFailover(now)
		if s.phase != pausing {
			return
		}
	}
	if s.freezeReason == leaderDraining && !s.awaitCatchUp(now) {
		return
	}
	s.ensureRound(now)
	for _, m := range s.presentMembers() {
		s.pauseMember(now, m)
	}
	s.stepDownDrainingLeader(now)
	s.choose(now)
}

// isNewPrimaryExpected reports whether an instance was seen to lead the latest term and has not been silent long enough since to be
// considered gone: it is to be recorded once it answers again.
func (s *service) isNewPrimaryExpected(now time.Duration) bool {
	found := s.findNewPrimary(0)
	if found == nil || found.status.Term < s.highestLedTerm() {
		return false
	}
	if s.intent != nil && !s.isIntentTarget(found) && s.isLeadInDoubt(found) {
		return false
	}
	s.probe(now, found, AskStatus, 0, s.settings().FastProbeInterval)
	return found.failures < 2 || now-found.failingSince < s.settings().SuspectAfter
}

func (s *service) probeLeader(now time.Duration) {
	if leader := s.leader(); leader != nil {
		s.probe(now, leader, AskStatus, 0, s.settings().FastProbeInterval)
	}
}

// handOverTimedOut ends a planned handover that finds no successor, and reports whether it did. The draining leader goes on for now, if
// the next attempt comes before statements may no longer reach it.
func (s *service) handOverTimedOut(now time.Duration) bool {
	hopeless := s.phase == awaitingEffect && s.call.endedAt > s.frozenAt && s.call.watchFor == 0 // the call had no effect
	if s.freezeReason != leaderDraining || now-max(s.frozenAt, s.clearedAt) < handOverLimit && !hopeless {
		return false
	}
	leader := s.leader()
	if leader == nil || !s.isLeading(leader, now-statusMaxAge) {
		s.freezeReason = leaderSilent // the leader ended meanwhile: from here on this is an ordinary failover
		return false
	}
	if leader.isDrainOver(now+handOverRetry, s.settings()) {
		return false
	}
	s.nextHandOverAt = now + handOverRetry
	return true
}

// awaitCatchUp waits, before anything is paused, for a replica that isn't draining to reach the draining leader's position, and after a
// while for one whose drain ends later than the leader's. Nothing is written meanwhile: every gateway keeps the freeze.
func (s *service) awaitCatchUp(now time.Duration) bool {
	if s.caughtUp {
		return true
	}
	leader := s.leader()
	if leader == nil {
		s.freezeReason = leaderSilent
		return true
	}
	s.resumePaused(now)
	for _, m := range s.presentMembers() {
		s.probe(now, m, AskStatus, 0, catchUpProbeInterval)
	}
	if !s.isLeading(leader, s.clearedAt) {
		return false
	}
	s.caughtUp = lo.ContainsBy(s.presentMembers(), func(m *member) bool {
		stays := !m.instance.Draining || now-s.clearedAt >= catchUpWait && m.drainSince > leader.drainSince
		return m != leader && stays && m.answeredSince(s.clearedAt) && !m.status.Primary &&
			!m.status.Received.Less(leader.status.Received)
	})
	return s.caughtUp
}

// ensureRound begins a round of pauses in a new term, if there is none, if its answers are too old or if a
// member has met a higher term.
func (s *service) ensureRound(now time.Duration) {
	outdated := s.roundTerm == 0
	for _, m := range s.members {
		tooOld := m.isPaused && now-m.pauseConfirmedAt > pauseMaxAge
		tooHigh := m.pauseSent && !m.isPaused && m.highestTerm() > s.roundTerm && m.statusAskedAt >= m.pauseSentAt
		outdated = outdated || tooOld || tooHigh
	}
	if !outdated {
		return
	}
	s.endRound()
	s.roundTerm = s.highestKnownTerm() + 2 // the term between is for STEPDOWN, so that a pause in the round's term can follow
	s.highestRoundTerm, s.roundStartedAt = s.roundTerm, now
}

// stepDownTerm is above every term led and below the round's. An instance that has stepped down receives like any replica: only the
// pause that follows stops it from receiving.
func (s *service) stepDownTerm() uint64 { return s.roundTerm - 1 }

// pauseMember asks an instance to receive nothing more. If the answer is lost, its status tells whether it is paused.
func (s *service) pauseMember(now time.Duration, m *member) {
	if s.manager.overrides.allowUnpausedPositions {
		s.acceptUnpaused(now, m)
		return
	}
	if m.isPaused || m.outstanding[AskContinue] != 0 {
		return // a CONTINUE in flight might arrive after the pause
	}
	if m.leadsSince(0) {
		s.pausePrimary(now, m)
		return
	}
	if m == s.leader() && !m.answeredSince(s.frozenAt) {
		return
	}
	if m.pauseSent && m.failures > 0 {
		s.probe(now, m, AskStatus, 0, s.settings().FastProbeInterval)
		return
	}
	if s.probe(now, m, AskPause, s.roundTerm, s.settings().FastProbeInterval) {
		if !m.pauseSent {
			m.pauseSent, m.pauseSentAt = true, now
		}
		m.mayBePaused = true
	}
}

// renewPauses pauses the instances that lack a pause while a call is due or in progress: they have restarted, or were absent when the
// others were paused. Without it they could receive commits of an old leader that returns from a partition, until the promote.
func (s *service) renewPauses(now time.Duration) {
	if s.intent == nil || !s.cleared || s.manager.overrides.allowUnpausedPositions {
		return
	}
	for _, m := range s.presentMembers() {
		follows := !m.status.Primary && m.status.Term <= s.intent.Previous.Term
		missing := m.pauseLost || m.status.TermHeld < s.intent.Term
		if m.instance.ID == s.intent.InstanceID || !m.answeredSince(now-statusMaxAge) || !follows || !missing {
			continue
		}
		if s.probe(now, m, AskPause, s.highestKnownTerm()+1, replicaProbeInterval) {
			m.mayBePaused = true
		}
	}
}

// pausePrimary makes an instance step down that led an earlier term, or that may have been succeeded unseen. Any other primary is
// asked whether it still leads.
func (s *service) pausePrimary(now time.Duration, m *member) {
	if s.isReturnedLeader(m) {
		return // its new id is being recorded: only a primary shows whose log it has
	}
	if s.isDeposed(m) || s.leadInDoubt {
		s.probe(now, m, AskStepDown, s.stepDownTerm(), s.settings().FastProbeInterval)
		return
	}
	s.probe(now, m, AskStatus, 0, s.settings().FastProbeInterval)
}

// acceptUnpaused takes positions without a pause. Only tests that disable the pause use it.
func (s *service) acceptUnpaused(now time.Duration, m *member) {
	s.probe(now, m, AskStatus, 0, s.settings().FastProbeInterval)
	if m.answeredSince(s.roundStartedAt) && !m.status.Primary {
		m.isPaused, m.pauseConfirmedAt, m.pausedPosition = true, now, m.status.Received
	}
}

// stepDownDrainingLeader asks a draining leader that must end to step down, when a replica is silent and a paused one has all that the
// leader had.
func (s *service) stepDownDrainingLeader(now time.Duration) {
	leader := s.leader()
	if leader == nil || s.freezeReason != leaderDraining && !leader.isDrainOver(now, s.settings()) {
		return
	}
	if now-s.roundStartedAt < stepDownAfter || !s.isLeading(leader, s.clearedAt) {
		return
	}
	paused := s.pausedMembers()
	ready := lo.ContainsBy(paused, func(m *member) bool { return !m.pausedPosition.Less(leader.status.Received) })
	if ready && len(s.blockingInstances(s.furthest(paused), paused)) > 0 {
		s.probe(now, leader, AskStepDown, s.stepDownTerm(), s.settings().FastProbeInterval)
	}
}

func (s *service) pausedMembers() []*member {
	return lo.Filter(s.presentMembers(), func(m *member, _ int) bool { return m.isPaused })
}
