package failover

import (
	"time"

	"github.com/samber/lo"
)

// probe asks an instance, unless a question of this kind is outstanding or was sent less than interval ago.
func (s *service) probe(now time.Duration, to *member, kind ProbeKind, term uint64, interval time.Duration) bool {
	if to.outstanding[kind] != 0 || to.wasAsked[kind] && now-to.askedAt[kind] < interval {
		return false
	}
	if kind == AskContinue {
		to.heldAt = nil
	}
	number := s.manager.nextNumber()
	to.outstanding[kind], to.askedAt[kind], to.wasAsked[kind] = number, now, true
	s.manager.probes[number] = &pendingProbe{service: s, member: to, kind: kind, term: term, sent: now}
	s.manager.effects.Probes = append(s.manager.effects.Probes, Probe{
		Number: number, Kind: kind, Term: term,
		Service: s.name, InstanceID: to.instance.ID, Address: to.instance.Address,
	})
	return true
}

// cancelOrders takes back the pauses and step-downs that were meant for a frozen service and may not have been sent yet.
func (s *service) cancelOrders() {
	for _, m := range s.members {
		for _, kind := range []ProbeKind{AskPause, AskStepDown} {
			if number := m.outstanding[kind]; number != 0 {
				delete(s.manager.probes, number)
				m.outstanding[kind] = 0
				s.manager.effects.CancelledProbes = append(s.manager.effects.CancelledProbes, number)
			}
		}
	}
}

// probeNow asks for the status ahead of the usual interval.
func (s *service) probeNow(now time.Duration, to *member) {
	s.probe(now, to, AskStatus, 0, s.settings().FastProbeInterval/2)
}

// probeAll asks every instance for its status: those named and known primaries at the fast interval, the others more slowly.
func (s *service) probeAll(now time.Duration, fast ...*member) {
	for _, m := range s.presentMembers() {
		interval := replicaProbeInterval
		if lo.Contains(fast, m) || m.leadsSince(0) {
			interval = s.settings().FastProbeInterval
		}
		if m.failures >= manyFailures {
			interval = max(interval, replicaProbeInterval)
		}
		s.probe(now, m, AskStatus, 0, interval)
	}
}

// handleProbeEnded evaluates the result of a probe.
func (s *service) handleProbeEnded(now time.Duration, probe *pendingProbe, result ProbeResult) {
	m := probe.member
	result.Started = max(result.Started, probe.sent)
	m.applyResult(now, result)
	if result.Answer != Answered {
		s.noteUnanswered(now, m)
		return
	}
	switch probe.kind {
	case AskPause:
		s.handlePause(now, m, probe, result)
	case AskContinue:
		m.mayBePaused = m.outstanding[AskPause] != 0
		m.continueTermHeld, m.continueLeaderTerm = result.Status.TermHeld, s.view.Leader.Term
	case AskStatus:
		s.handleStatus(now, m, result)
	}
	if !result.Status.Primary && (probe.kind == AskStepDown || result.Status.TermHeld >= s.view.Leader.Term) {
		m.mustStepDown = false
	}
	s.coverSilentMembers(m, result)
}

func (s *service) noteUnanswered(now time.Duration, m *member) {
	if m.instance.ID == s.view.Leader.InstanceID || m.failures == 1 {
		s.fastProbesUntil = max(s.fastProbesUntil, now+s.settings().FastWindow)
	}
}

// handlePause counts a position only from an instance that holds the round's term and no other.
func (s *service) handlePause(now time.Duration, m *member, probe *pendingProbe, result ProbeResult) {
	if result.Status.TermHeld == probe.term {
		m.pauseLost = false
	}
	if s.roundTerm == 0 || probe.term != s.roundTerm || result.Status.Primary {
		return
	}
	s.confirmPause(now, m, result)
}

// handleStatus accepts a status in place of the lost answer to a pause, and detects pauses of an earlier holder.
func (s *service) handleStatus(now time.Duration, m *member, result ProbeResult) {
	if s.roundTerm != 0 && m.pauseSent && !m.isPaused && result.Started >= m.pauseSentAt && !result.Status.Primary {
		s.confirmPause(now, m, result)
	}
	catchingUp := s.freezeReason == leaderDraining && !s.caughtUp
	if (!s.frozen || catchingUp) && s.mayBePausedByEarlierHolder(m) {
		m.mayBePaused = true
	}
}

func (s *service) confirmPause(now time.Duration, m *member, result ProbeResult) {
	if result.Status.TermHeld != s.roundTerm {
		return
	}
	m.isPaused, m.pauseConfirmedAt, m.pausedPosition = true, now, result.Status.Received
	m.heldAt = &result.Status.Received
}

// mayBePausedByEarlierHolder reports whether an instance may have been paused by an earlier holder that never sent CONTINUE: it holds a
// term that no instance leads, or it doesn't follow the leader's term.
func (s *service) mayBePausedByEarlierHolder(m *member) bool {
	led := s.view.Leader
	if led.InstanceID == "" || m.instance.ID == led.InstanceID || m.status.Primary {
		return false
	}
	behind := m.status.Term < led.Term && m.status.TermHeld > m.status.Term && m.continueLeaderTerm != led.Term
	return behind || m.status.TermHeld > max(led.Term, m.continueTermHeld)
}

// coverSilentMembers records the leader's position for every other instance that fell silent, or left, long enough before it was read:
// such an instance has acknowledged nothing beyond it.
func (s *service) coverSilentMembers(m *member, result ProbeResult) {
	if !s.isLeading(m, result.Started) {
		return
	}
	for _, other := range s.members {
		if other != m {
			other.coverBy(result.Status.Received, result.Started, s.settings().ReplicaLostAfter)
		}
		if s.manager.overrides.trustRefusals && other.cover == nil && other.refusals >= 2 {
			other.cover = &result.Status.Received
		}
	}
}

// cleanUpFailover repairs what a failover left behind: paused replicas receive again, and an old primary steps down.
func (s *service) cleanUpFailover(now time.Duration) {
	s.resumePaused(now)
	for _, m := range s.presentMembers() {
		if m.instance.ID == s.view.Leader.InstanceID {
			continue
		}
		if m.leadsSince(0) && m.status.Term < s.view.Leader.Term {
			m.mustStepDown = true
		}
		if m.mustStepDown {
			s.probe(now, m, AskStepDown, s.view.Leader.Term, s.retryInterval(m))
		}
	}
}

// resumePaused sends CONTINUE to each replica that may still be paused.
func (s *service) resumePaused(now time.Duration) {
	for _, m := range s.presentMembers() {
		if m.mayBePaused {
			s.probe(now, m, AskContinue, 0, s.retryInterval(m))
		}
	}
}

// retryInterval spares probes to an instance that doesn't answer: its next heartbeat shortens the interval again.
func (s *service) retryInterval(m *member) time.Duration {
	if m.failures < manyFailures || m.lastAliveAt >= m.failingSince {
		return s.settings().FastProbeInterval
	}
	return s.settings().LeaderProbeInterval
}
