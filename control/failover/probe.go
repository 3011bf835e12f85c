package failover

import (
	"time"

	"github.com/samber/lo"
)

// probe asks an instance, unless a question of this kind is out or was sent less than pace ago.
func (s *service) probe(now time.Duration, to *member, kind ProbeKind, term uint64, pace time.Duration) bool {
	if to.outstanding[kind] != 0 || to.asked[kind] && now-to.askedAt[kind] < pace {
		return false
	}
	number := s.manager.number()
	to.outstanding[kind], to.askedAt[kind], to.asked[kind] = number, now, true
	s.manager.probes[number] = &pendingProbe{service: s, member: to, kind: kind, term: term, sent: now}
	s.manager.effects.Probes = append(s.manager.effects.Probes, Probe{
		Number: number, Kind: kind, Term: term,
		Service: s.name, InstanceID: to.instance.ID, Address: to.instance.Address,
	})
	return true
}

// probeNow asks for the status ahead of the usual pace.
func (s *service) probeNow(now time.Duration, to *member) {
	s.probe(now, to, AskStatus, 0, s.settings().FastProbe/2)
}

// probeAll asks everyone for the status: the one that decides at the fast pace, the others slower.
func (s *service) probeAll(now time.Duration, fast ...*member) {
	for _, known := range s.present() {
		pace := replicaProbe
		if lo.Contains(fast, known) || known.leads(0) {
			pace = s.settings().FastProbe
		}
		if known.failures >= manyFailures {
			pace = max(pace, replicaProbe)
		}
		s.probe(now, known, AskStatus, 0, pace)
	}
}

// probed takes the answer to a probe.
func (s *service) probed(now time.Duration, probe *pendingProbe, result ProbeResult) {
	of := probe.member
	result.Started = max(result.Started, probe.sent)
	of.take(now, result)
	if result.Answer != Answered {
		s.unanswered(now, of)
		return
	}
	switch probe.kind {
	case AskPause:
		s.tookPause(now, of, probe, result)
	case AskContinue:
		of.mayBePaused = of.outstanding[AskPause] != 0
		of.continuedHeld, of.continuedFor = result.Status.TermHeld, s.view.Leader.Term
	case AskStatus:
		s.tookStatus(now, of, result)
	}
	if !result.Status.Primary && (probe.kind == AskStepDown || result.Status.TermHeld >= s.view.Leader.Term) {
		of.mustStepDown = false
	}
	s.coverSilent(of, result)
}

func (s *service) unanswered(now time.Duration, of *member) {
	if of.instance.ID == s.view.Leader.InstanceID || of.failures == 1 {
		s.fastUntil = max(s.fastUntil, now+s.settings().FastWindow)
	}
}

// tookPause counts a position only from an instance that holds the round's term and no other.
func (s *service) tookPause(now time.Duration, of *member, probe *pendingProbe, result ProbeResult) {
	if result.Status.TermHeld == probe.term {
		of.pauseLost = false
	}
	if s.round == 0 || probe.term != s.round || result.Status.Primary {
		return
	}
	s.holds(now, of, result)
}

// tookStatus lets a status stand for the lost answer to a pause. A higher term than the round's asks for a new round.
func (s *service) tookStatus(now time.Duration, of *member, result ProbeResult) {
	if s.round != 0 && of.pauseAsked && !of.held && result.Started >= of.pauseAskedAt && !result.Status.Primary {
		s.holds(now, of, result)
	}
	catchingUp := s.why == leaderDrains && !s.caughtUp
	if (!s.frozen || catchingUp) && s.pausedByOther(of) {
		of.mayBePaused = true
	}
}

func (s *service) holds(now time.Duration, of *member, result ProbeResult) {
	if result.Status.TermHeld != s.round {
		return
	}
	of.held, of.heldAt, of.heldPosition = true, now, result.Status.Received
}

// pausedByOther tells whether an instance may have been paused by an earlier holder that never let it go on: it holds a term that
// nobody leads, or does not follow the leader's.
func (s *service) pausedByOther(i *member) bool {
	led := s.view.Leader
	if led.InstanceID == "" || i.instance.ID == led.InstanceID || i.status.Primary {
		return false
	}
	behind := i.status.Term < led.Term && i.status.TermHeld > i.status.Term && i.continuedFor != led.Term
	return behind || i.status.TermHeld > max(led.Term, i.continuedHeld)
}

// coverSilent notes the leader's position for every other instance that fell silent, or left, long enough before it was read:
// such an instance has acknowledged nothing beyond it.
func (s *service) coverSilent(of *member, result ProbeResult) {
	if !s.isLeading(of, result.Started) {
		return
	}
	for _, other := range s.members {
		if other != of {
			other.coverBy(result.Status.Received, result.Started, s.settings().ReplicaLost)
		}
	}
}

// aftercare sets right what a failover left behind: paused replicas go on, and an old primary steps down.
func (s *service) aftercare(now time.Duration) {
	s.releasePaused(now)
	for _, known := range s.present() {
		if known.instance.ID == s.view.Leader.InstanceID {
			continue
		}
		if known.leads(0) && known.status.Term < s.view.Leader.Term {
			known.mustStepDown = true
		}
		if known.mustStepDown {
			s.probe(now, known, AskStepDown, s.view.Leader.Term, s.retryPace(known))
		}
	}
}

// releasePaused sends CONTINUE to each replica that was paused and not let go on.
func (s *service) releasePaused(now time.Duration) {
	for _, known := range s.present() {
		if known.mayBePaused {
			s.probe(now, known, AskContinue, 0, s.retryPace(known))
		}
	}
}

// retryPace spares probes to an instance that doesn't answer: its next heartbeat makes up for it.
func (s *service) retryPace(of *member) time.Duration {
	if of.failures < manyFailures || of.lastLife >= of.failingSince {
		return s.settings().FastProbe
	}
	return s.settings().LeaderProbe
}
