package failover

import (
	"time"

	"github.com/samber/lo"

	"eiderway/control/guard"
)

// watch supervises a service that isn't frozen.
func (s *service) watch(now time.Duration) {
	if s.isIntentUnsettled() {
		s.freezeBecause(now, openIntent)
		return
	}
	if s.view.Leader.InstanceID == "" {
		s.discoverLeader(now)
		return
	}
	s.settleIntent(now)
	s.recordCover(now)
	s.cleanUpFailover(now)
	s.probeWatched(now)
	if why, sign := s.reasonToFreeze(now); sign {
		s.freezeBecause(now, why)
		return
	}
	s.recordHigherTerm(now)
}

// isIntentUnsettled reports whether there is an intent whose target isn't the recorded leader of a later term.
func (s *service) isIntentUnsettled() bool {
	if s.intent == nil {
		return false
	}
	leader := s.view.Leader
	member := s.findMember(leader.InstanceID)
	isTarget := leader.InstanceID == s.intent.InstanceID || member != nil && s.isIntentTarget(member)
	return !isTarget || leader.Term <= s.intent.Previous.Term
}

// settleIntent removes the intent once its target leads and no call for it may still act.
func (s *service) settleIntent(now time.Duration) {
	s.endDoubt()
	if s.intent != nil && !s.callMayAct(now) {
		s.requestChange(now, Change{ClearIntent: s.name})
	}
}

// recordCover records the position that covers a departed instance, for one instance at a time.
func (s *service) recordCover(now time.Duration) {
	for _, gone := range s.members {
		if gone.departed && gone.cover != nil {
			s.requestChange(now, Change{Covered: &CoveredDeparture{Service: s.name, InstanceID: gone.instance.ID, Position: *gone.cover}})
			return
		}
	}
}

// probeWatched probes the leader alone while nothing happens, all members while there are signs of change, and at the fast interval
// only once the leader fails.
func (s *service) probeWatched(now time.Duration) {
	leader := s.leader()
	if now < s.firstProbeAt && !s.hasTrouble(now) {
		return
	}
	signs := now < s.fastProbesUntil
	if signs && (leader == nil || leader.failures > 0 || leader.instance.Draining || !leader.leadsSince(0)) {
		s.probeAll(now, leader)
		return
	}
	for _, m := range s.presentMembers() {
		switch {
		case m == leader && (signs || m.isBeatOverdue(now)):
			s.probe(now, m, AskStatus, 0, replicaProbeInterval)
		case signs && m.failures > 0:
			s.probe(now, m, AskStatus, 0, replicaProbeInterval)
		case signs:
			s.probe(now, m, AskStatus, 0, changeProbeInterval)
		case m == leader || now-m.lastAliveAt >= replicaSilentAfter:
			s.probe(now, m, AskStatus, 0, s.settings().LeaderProbeInterval)
		}
	}
	if !signs {
		s.idleUntil = now + idleInterval
	}
}

// hasTrouble reports whether the service can't wait for its turn to be probed first.
func (s *service) hasTrouble(now time.Duration) bool {
	return s.leader() == nil || lo.ContainsBy(s.presentMembers(), func(m *member) bool {
		return m.failures > 0 || m.instance.Draining || m.isBeatOverdue(now)
	})
}

// reasonToFreeze reports whether the recorded leader can't go on, and why.
func (s *service) reasonToFreeze(now time.Duration) (reason, bool) {
	if s.isLedElsewhere() {
		return newLeader, true
	}
	leader := s.leader()
	others := lo.Filter(s.presentMembers(), func(m *member, _ int) bool { return m.instance.ID != s.view.Leader.InstanceID })
	kept := s.settings().DisabledGuards.Has(guard.FreezeWithoutSuccessor) && len(others) == 0
	if leader != nil && leader.isDrainOver(now, s.settings()) && !kept {
		return leaderDraining, true // even if no instance can take over: the leader's drain was acknowledged
	}
	if len(others) == 0 {
		return 0, false
	}
	switch {
	case leader == nil:
		return leaderSilent, true
	case leader.answeredSince(now-statusMaxAge) && leader.failures == 0 && !leader.status.Primary:
		return leaderSilent, true
	case s.isSilent(now, leader):
		return leaderSilent, true
	case leader.instance.Draining && now >= s.nextHandOverAt && s.mayHandOver(now, leader, others):
		return leaderDraining, true
	}
	return 0, false
}

// isLedElsewhere reports whether an instance leads, or follows, a later term than any that the recorded leader is known to lead.
func (s *service) isLedElsewhere() bool {
	latest := s.view.Leader.Term
	if leader := s.leader(); leader != nil && leader.leadsSince(0) {
		latest = max(latest, leader.status.Term)
	}
	return s.highestLedTerm() > latest
}

// isSilent reports whether the leader has failed to answer for so long that it is considered gone, while no gateway gets answers from
// it either.
func (s *service) isSilent(now time.Duration, leader *member) bool {
	if s.isNotRunning(now, leader) {
		return true
	}
	if leader.failures == 0 || now-leader.failingSince < s.settings().SuspectAfter {
		return false
	}
	if s.hasGatewayAnswer && now-s.gatewayAnswerAt < gatewayAnswerMaxAge {
		return false
	}
	askedAgain := leader.outstanding[AskStatus] != 0 && now-leader.askedAt[AskStatus] >= secondProbeWait
	return leader.failures >= 2 || askedAgain
}

// isNotRunning reports whether the leader's process has ended: its machine refuses connections, twice in a row and for a while, and no
// gateway has just reported answers alone. Refusals prove it sooner than silence can, since a machine that is slow, cut off or without
// power refuses nothing.
func (s *service) isNotRunning(now time.Duration, leader *member) bool {
	if leader.refusals < 2 || now-leader.refusedSince < leaderRefusedAfter {
		return false
	}
	return !s.hasGatewayAnswer || now-s.gatewayAnswerAt >= refusedAnswerMaxAge
}

// mayHandOver reports whether a draining leader answers and an instance that isn't draining can follow it.
func (s *service) mayHandOver(now time.Duration, leader *member, others []*member) bool {
	stays := lo.Filter(others, func(m *member, _ int) bool { return !m.instance.Draining && m.failures == 0 })
	if len(stays) == 0 {
		return false
	}
	s.fastProbesUntil = max(s.fastProbesUntil, now+s.settings().FastProbeInterval)
	patient := now-leader.drainSince < handOverPatience
	follows := lo.ContainsBy(stays, func(m *member) bool {
		near := time.Duration(m.status.LagMs)*time.Millisecond <= handOverMaxLag
		return m.answeredSince(now-statusMaxAge) && !m.status.Primary && (near || !patient)
	})
	return follows && s.isLeading(leader, now-statusMaxAge)
}

// recordHigherTerm records the term of the recorded leader if it leads a later one now.
func (s *service) recordHigherTerm(now time.Duration) {
	if leader := s.leader(); leader != nil && leader.leadsSince(now-statusMaxAge) && leader.status.Term > s.view.Leader.Term {
		s.requestLeader(now, leader)
	}
}

// handleGatewayReport evaluates what a gateway saw at an instance.
func (s *service) handleGatewayReport(now time.Duration, in GatewayReport) {
	if in.Report.InstanceID != s.view.Leader.InstanceID {
		return
	}
	if in.Report.Answers > 0 && in.Report.Failures == 0 {
		s.hasGatewayAnswer, s.gatewayAnswerAt = true, now
	}
	if in.Report.Answers > 0 {
		s.hasFailuresOnly, s.failuresOnlyLogged = false, false
	}
	if in.Report.Failures == 0 && in.Report.ReadOnly == 0 {
		return
	}
	s.fastProbesUntil = max(s.fastProbesUntil, now+s.settings().FastWindow)
	if leader := s.leader(); leader != nil {
		s.probeNow(now, leader)
	}
	if in.Report.Answers == 0 && !s.hasFailuresOnly {
		s.hasFailuresOnly, s.failuresOnlySince = true, now
	}
	s.logFailuresOnly(now)
}

// logFailuresOnly logs once that gateways fail at a leader that answers here. That alone doesn't move the lead.
func (s *service) logFailuresOnly(now time.Duration) {
	if s.hasFailuresOnly && !s.failuresOnlyLogged && now-s.failuresOnlySince >= failuresOnlyAfter && s.isLeading(s.leader(), now-statusMaxAge) {
		s.failuresOnlyLogged = true
		s.addEvent("unreachable leader", "gateways report only failures at %s, which answers here", s.view.Leader.InstanceID)
	}
}

// discoverLeader finds the primary of a service without a recorded leader. Gateways send no statements there meanwhile.
func (s *service) discoverLeader(now time.Duration) {
	s.probeAll(now, s.presentMembers()...)
	found := s.findNewPrimary(now - discoveryWait - statusMaxAge)
	if found == nil {
		s.hasSeenPrimary = false
		s.failOverIfNeverLed(now)
		return
	}
	if !s.hasSeenPrimary {
		s.hasSeenPrimary, s.primarySeenAt = true, now
	}
	allAnswered := lo.EveryBy(s.presentMembers(), func(m *member) bool { return m.hasStatus })
	if allAnswered || now-s.primarySeenAt >= discoveryWait {
		s.requestLeader(now, found)
	}
}

// failOverIfNeverLed starts a failover of a service in which no instance leads though all its instances answer.
func (s *service) failOverIfNeverLed(now time.Duration) {
	allAnswer := lo.EveryBy(s.members, func(m *member) bool { return !m.departed && m.failures == 0 && m.answeredSince(now-2*statusMaxAge) })
	if now-s.noLeaderSince >= neverLedLimit && len(s.members) > 1 && allAnswer {
		s.freezeBecause(now, neverLed)
	}
}
