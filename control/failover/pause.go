package failover

import (
	"time"

	"github.com/samber/lo"
)

// pause makes every replica keep still in a new term, and chooses one of them.
func (s *service) pause(now time.Duration) {
	s.probeLeader(now)
	if s.installIfLed(now) || s.newPrimaryDue(now) {
		return
	}
	if s.reasonGone(now) || s.handOverTooLong(now) {
		s.giveUp(now)
		if s.phase != pausing {
			return
		}
	}
	if s.why == leaderDrains && !s.catchUp(now) {
		return
	}
	s.startRound(now)
	for _, known := range s.present() {
		s.hold(now, known)
	}
	s.stepDownDraining(now)
	s.choose(now)
}

// newPrimaryDue tells whether an instance was seen to lead the latest term and has not been silent since for long enough to be
// taken for gone: it is to be recorded once it answers again.
func (s *service) newPrimaryDue(now time.Duration) bool {
	found := s.newPrimary(0)
	if found == nil || found.status.Term < s.latestTerm() {
		return false
	}
	if s.intent != nil && s.intent.InstanceID != found.instance.ID && s.inDoubt(found) {
		return false
	}
	s.probe(now, found, AskStatus, 0, s.settings().FastProbe)
	return found.failures < 2 || now-found.failingSince < s.settings().SuspectAfter
}

func (s *service) probeLeader(now time.Duration) {
	if leader := s.leader(); leader != nil {
		s.probe(now, leader, AskStatus, 0, s.settings().FastProbe)
	}
}

// handOverTooLong ends a planned hand-over that finds no successor. The draining leader goes on for now, if the next attempt comes
// before statements may no longer reach it.
func (s *service) handOverTooLong(now time.Duration) bool {
	hopeless := s.phase == awaiting && s.call.endedAt > s.frozenAt && s.call.watchFor == 0 // the call had no effect
	if s.why != leaderDrains || now-max(s.frozenAt, s.clearedAt) < handOverLimit && !hopeless {
		return false
	}
	leader := s.leader()
	if leader == nil || !s.isLeading(leader, now-statusFresh) {
		s.why = leaderSilent // it ended on the way: from here on this is an ordinary failover
		return false
	}
	if leader.drainSpent(now+handOverRetry, s.settings()) {
		return false
	}
	s.handOver = now + handOverRetry
	return true
}

// catchUp waits, before anything is paused, for a replica that stays to reach the draining leader's position, and after a while
// for one that ends later than the leader. Nothing is written meanwhile: every gateway keeps the freeze.
func (s *service) catchUp(now time.Duration) bool {
	if s.caughtUp {
		return true
	}
	leader := s.leader()
	if leader == nil {
		s.why = leaderSilent
		return true
	}
	s.releasePaused(now)
	for _, known := range s.present() {
		s.probe(now, known, AskStatus, 0, catchUpProbe)
	}
	if !s.isLeading(leader, s.clearedAt) {
		return false
	}
	s.caughtUp = lo.ContainsBy(s.present(), func(i *member) bool {
		stays := !i.instance.Draining || now-s.clearedAt >= catchUpWait && i.drainSince > leader.drainSince
		return i != leader && stays && i.answered(s.clearedAt) && !i.status.Primary &&
			!i.status.Received.Less(leader.status.Received)
	})
	return s.caughtUp
}

// startRound begins a round of pauses in a new term, if there is none or its answers have grown old.
func (s *service) startRound(now time.Duration) {
	outdated := s.round == 0
	for _, known := range s.members {
		tooOld := known.held && now-known.heldAt > heldFresh
		tooHigh := known.pauseAsked && !known.held && known.newest() > s.round && known.statusAt >= known.pauseAskedAt
		outdated = outdated || tooOld || tooHigh
	}
	if !outdated {
		return
	}
	s.endRound()
	s.round = s.highestTerm() + 2 // the term between is for stepping down, so that a pause in the round's term can follow
	s.highest, s.roundAt = s.round, now
}

// stepDownTerm is above every term led and below the round's. One that has stepped down receives like any replica: only the pause that
// follows makes it keep still.
func (s *service) stepDownTerm() uint64 { return s.round - 1 }

// hold asks an instance to keep still. After a lost answer its status tells whether it does.
func (s *service) hold(now time.Duration, i *member) {
	if s.manager.guards.positionsUnpaused {
		s.holdUnpaused(now, i)
		return
	}
	if i.held || i.outstanding[AskContinue] != 0 {
		return // a CONTINUE on its way might arrive after the pause
	}
	if i.leads(0) {
		s.holdPrimary(now, i)
		return
	}
	if i == s.leader() && !i.answered(s.frozenAt) {
		return
	}
	if i.pauseAsked && i.failures > 0 {
		s.probe(now, i, AskStatus, 0, s.settings().FastProbe)
		return
	}
	if s.probe(now, i, AskPause, s.round, s.settings().FastProbe) {
		if !i.pauseAsked {
			i.pauseAsked, i.pauseAskedAt = true, now
		}
		i.mayBePaused = true
	}
}

// pauseAgain pauses those whose pause is missing while a call is due or on its way: they have restarted, or weren't there when the
// others were paused. An old leader that comes back from a cut could have its commits received by them until the promote.
func (s *service) pauseAgain(now time.Duration) {
	if s.intent == nil || !s.cleared || s.manager.guards.positionsUnpaused {
		return
	}
	for _, known := range s.present() {
		follows := !known.status.Primary && known.status.Term <= s.intent.Previous.Term
		missing := known.pauseLost || known.status.TermHeld < s.intent.Term
		if known.instance.ID == s.intent.InstanceID || !known.answered(now-statusFresh) || !follows || !missing {
			continue
		}
		if s.probe(now, known, AskPause, s.highestTerm()+1, replicaProbe) {
			known.mayBePaused = true
		}
	}
}

// holdPrimary makes one that led an earlier term, or may have been followed unseen, step down. The others are asked whether they lead still.
func (s *service) holdPrimary(now time.Duration, i *member) {
	if s.deposed(i) || s.doubt {
		s.probe(now, i, AskStepDown, s.stepDownTerm(), s.settings().FastProbe)
		return
	}
	s.probe(now, i, AskStatus, 0, s.settings().FastProbe)
}

// holdUnpaused is what the guard keeps from happening.
func (s *service) holdUnpaused(now time.Duration, i *member) {
	s.probe(now, i, AskStatus, 0, s.settings().FastProbe)
	if i.answered(s.roundAt) && !i.status.Primary {
		i.held, i.heldAt, i.heldPosition = true, now, i.status.Received
	}
}

// stepDownDraining asks a draining leader that can't go on itself to step down, when a replica is silent and one that is held has all that the
// leader had.
func (s *service) stepDownDraining(now time.Duration) {
	leader := s.leader()
	if leader == nil || s.why != leaderDrains && !leader.drainSpent(now, s.settings()) {
		return
	}
	if now-s.roundAt < stepDownAfter || !s.isLeading(leader, s.clearedAt) {
		return
	}
	held := s.heldMembers()
	ready := lo.ContainsBy(held, func(i *member) bool { return !i.heldPosition.Less(leader.status.Received) })
	if ready && len(s.proof(s.furthest(held), held)) > 0 {
		s.probe(now, leader, AskStepDown, s.stepDownTerm(), s.settings().FastProbe)
	}
}

func (s *service) heldMembers() []*member {
	return lo.Filter(s.present(), func(i *member, _ int) bool { return i.held })
}
