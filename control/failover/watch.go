package failover

import (
	"time"

	"github.com/samber/lo"

	"eiderway/control/guard"
)

// watch looks after a service that isn't frozen.
func (s *service) watch(now time.Duration) {
	if s.intentUnsettled() {
		s.freezeFor(now, openIntent)
		return
	}
	if s.view.Leader.InstanceID == "" {
		s.learn(now)
		return
	}
	s.settleIntent(now)
	s.settleDeparted(now)
	s.aftercare(now)
	s.look(now)
	if why, sign := s.mustFreeze(now); sign {
		s.freezeFor(now, why)
		return
	}
	s.noteHigherTerm(now)
}

// intentUnsettled tells whether there is an intent whose target isn't the recorded leader of a later term.
func (s *service) intentUnsettled() bool {
	if s.intent == nil {
		return false
	}
	leader := s.view.Leader
	return leader.InstanceID != s.intent.InstanceID || leader.Term <= s.intent.Previous.Term
}

// settleIntent takes the intent back once its target leads and no call for it may still act.
func (s *service) settleIntent(now time.Duration) {
	s.doubt = false
	if s.intent != nil && !s.callMayAct(now) {
		s.ask(now, Change{ClearIntent: s.name})
	}
}

// settleDeparted records the position that covers an instance that has departed, one at a time.
func (s *service) settleDeparted(now time.Duration) {
	for _, gone := range s.members {
		if gone.departed && gone.cover != nil && !gone.coverDead {
			s.ask(now, Change{Covered: &CoveredDeparture{Service: s.name, InstanceID: gone.instance.ID, Position: *gone.cover}})
			return
		}
	}
}

// look probes: at calm the leader alone, while there are signs of change everyone, and fast only once the leader fails.
func (s *service) look(now time.Duration) {
	leader := s.leader()
	if now < s.lookFrom && !s.troubled(now) {
		return
	}
	signs := now < s.fastUntil
	if signs && (leader == nil || leader.failures > 0 || leader.instance.Draining || !leader.leads(0)) {
		s.probeAll(now, leader)
		return
	}
	for _, known := range s.present() {
		switch {
		case known == leader && (signs || known.beatMissed(now)):
			s.probe(now, known, AskStatus, 0, replicaProbe)
		case signs && known.failures > 0:
			s.probe(now, known, AskStatus, 0, replicaProbe)
		case signs:
			s.probe(now, known, AskStatus, 0, signProbe)
		case known == leader || now-known.lastLife >= replicaSilent:
			s.probe(now, known, AskStatus, 0, s.settings().LeaderProbe)
		}
	}
	if !signs {
		s.idleUntil = now + idleStep
	}
}

// troubled tells whether the service can't wait for the turn of its first look.
func (s *service) troubled(now time.Duration) bool {
	return s.leader() == nil || lo.ContainsBy(s.present(), func(i *member) bool {
		return i.failures > 0 || i.instance.Draining || i.beatMissed(now)
	})
}

// mustFreeze tells whether the recorded leader can't go on, and why.
func (s *service) mustFreeze(now time.Duration) (reason, bool) {
	if s.ledElsewhere() {
		return newLeader, true
	}
	leader := s.leader()
	others := lo.Filter(s.present(), func(i *member, _ int) bool { return i.instance.ID != s.view.Leader.InstanceID })
	kept := s.settings().DisabledGuards.Has(guard.FreezeWithoutSuccessor) && len(others) == 0
	if leader != nil && leader.drainSpent(now, s.settings()) && !kept {
		return leaderDrains, true // whether anybody can follow or not: its drain was acknowledged
	}
	if len(others) == 0 {
		return 0, false
	}
	switch {
	case leader == nil:
		return leaderSilent, true
	case leader.answered(now-statusFresh) && leader.failures == 0 && !leader.status.Primary:
		return leaderSilent, true
	case s.silent(now, leader):
		return leaderSilent, true
	case leader.instance.Draining && now >= s.handOver && s.mayHandOver(now, leader, others):
		return leaderDrains, true
	}
	return 0, false
}

// ledElsewhere tells whether an instance leads, or follows, a later term than any that the recorded leader is known to lead.
func (s *service) ledElsewhere() bool {
	latest := s.view.Leader.Term
	if leader := s.leader(); leader != nil && leader.leads(0) {
		latest = max(latest, leader.status.Term)
	}
	return s.latestTerm() > latest
}

// silent tells whether the leader has failed to answer for so long that it is taken for gone, while no gateway gets answers
// from it either.
func (s *service) silent(now time.Duration, leader *member) bool {
	if s.notRunning(now, leader) {
		return true
	}
	if leader.failures == 0 || now-leader.failingSince < s.settings().SuspectAfter {
		return false
	}
	if s.gatewayHeard && now-s.gatewayAnswer < gatewayAnswerFresh {
		return false
	}
	askedAgain := leader.outstanding[AskStatus] != 0 && now-leader.askedAt[AskStatus] >= secondProbeWait
	return leader.failures >= 2 || askedAgain
}

// notRunning tells whether the leader's process has ended: its machine refuses connections, twice in a row and for a while, and no gateway has just
// told of answers alone. Refusals say it sooner than silence can, since a machine that is slow, cut off or without power refuses nothing.
func (s *service) notRunning(now time.Duration, leader *member) bool {
	if leader.refusals < 2 || now-leader.refusedSince < refusedLeader {
		return false
	}
	return !s.gatewayHeard || now-s.gatewayAnswer >= refusedAnswers
}

// mayHandOver tells whether a draining leader answers and somebody who stays can follow it.
func (s *service) mayHandOver(now time.Duration, leader *member, others []*member) bool {
	stays := lo.Filter(others, func(i *member, _ int) bool { return !i.instance.Draining && i.failures == 0 })
	if len(stays) == 0 {
		return false
	}
	s.fastUntil = max(s.fastUntil, now+s.settings().FastProbe)
	patient := now-leader.drainSince < handOverPatience
	follows := lo.ContainsBy(stays, func(i *member) bool {
		near := time.Duration(i.status.LagMs)*time.Millisecond <= handOverLag
		return i.answered(now-statusFresh) && !i.status.Primary && (near || !patient)
	})
	return follows && s.isLeading(leader, now-statusFresh)
}

// noteHigherTerm records that the leader itself leads a later term now.
func (s *service) noteHigherTerm(now time.Duration) {
	if leader := s.leader(); leader != nil && leader.leads(now-statusFresh) && leader.status.Term > s.view.Leader.Term {
		s.askLeader(now, leader)
	}
}

// reported takes what a gateway met at an instance.
func (s *service) reported(now time.Duration, in GatewayReport) {
	if in.Report.InstanceID != s.view.Leader.InstanceID {
		return
	}
	if in.Report.Answers > 0 && in.Report.Failures == 0 {
		s.gatewayHeard, s.gatewayAnswer = true, now
	}
	if in.Report.Answers > 0 {
		s.failuresOnly, s.failuresSaid = false, false
	}
	if in.Report.Failures == 0 && in.Report.ReadOnly == 0 {
		return
	}
	s.fastUntil = max(s.fastUntil, now+s.settings().FastWindow)
	if leader := s.leader(); leader != nil {
		s.probeNow(now, leader)
	}
	if in.Report.Answers == 0 && !s.failuresOnly {
		s.failuresOnly, s.failuresFrom = true, now
	}
	s.noteFailuresOnly(now)
}

// noteFailuresOnly says once that gateways fail at a leader that answers here. That alone moves no lead.
func (s *service) noteFailuresOnly(now time.Duration) {
	if s.failuresOnly && !s.failuresSaid && now-s.failuresFrom >= failuresOnlyAfter && s.isLeading(s.leader(), now-statusFresh) {
		s.failuresSaid = true
		s.event("unreachable leader", "gateways report only failures at %s, which answers here", s.view.Leader.InstanceID)
	}
}

// learn finds out who leads a service of which no leader is recorded. Gateways send nothing there meanwhile.
func (s *service) learn(now time.Duration) {
	s.probeAll(now, s.present()...)
	found := s.newPrimary(now - learnSettle - statusFresh)
	if found == nil {
		s.sawPrimary = false
		s.giveLeader(now)
		return
	}
	if !s.sawPrimary {
		s.sawPrimary, s.firstPrimary = true, now
	}
	allAnswered := lo.EveryBy(s.present(), func(i *member) bool { return i.known })
	if allAnswered || now-s.firstPrimary >= learnSettle {
		s.askLeader(now, found)
	}
}

// giveLeader starts a failover of a service in which nobody leads, though all its instances answer.
func (s *service) giveLeader(now time.Duration) {
	allAnswer := lo.EveryBy(s.members, func(i *member) bool { return !i.departed && i.failures == 0 && i.answered(now-2*statusFresh) })
	if now-s.unledFrom >= learnLimit && len(s.members) > 1 && allAnswer {
		s.freezeFor(now, neverLed)
	}
}
