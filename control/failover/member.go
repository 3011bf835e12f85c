package failover

import (
	"time"

	"eiderway/control/feed"
)

const probeKinds = int(AskStepDown) + 1

// member is what the manager knows of one instance of a service.
type member struct {
	instance   feed.Instance
	departed   bool // it has left or was lost; its log may still matter
	departedAt time.Duration
	earlierIDs []string // of the instances that had gone from its address when it appeared there
	copyOfTerm uint64   // it was the leader of this term under an earlier id, or followed it at its address; 0: neither

	drainSince        time.Duration // when it was first known to be draining
	drainStartUnknown bool          // it was draining when first seen: its drain was acknowledged at an unknown time
	lastAliveAt       time.Duration // last heartbeat or answer
	beatSaysPrimary   bool          // its last heartbeat said that it leads
	lastBeatAt        time.Duration // 0: none yet
	beatInterval      time.Duration // the last interval between heartbeats, or its mean with the previous estimate if that is longer

	hasStatus     bool // status is set
	status        Status
	statusAskedAt time.Duration // when the question that the status answers was sent
	failures      int           // consecutive probes without an answer
	failingSince  time.Duration
	refusals      int // consecutive refused connections: the process isn't running, or a cut answers with resets
	refusedSince  time.Duration
	cover         *Position // position of the leader, read after this instance had fallen silent or left
	isReplaced    bool      // another instance was found at its address, which may not be known yet

	outstanding [probeKinds]uint64
	askedAt     [probeKinds]time.Duration
	wasAsked    [probeKinds]bool

	isPaused         bool // confirmed: it receives nothing, in the term of the round
	pauseConfirmedAt time.Duration
	pausedPosition   Position
	heldAt           *Position // its position at its last pause, while the service is frozen and nothing may have ended the pause
	pauseLost        bool      // its process was found not to run since the freeze: a restart ends the pause
	pauseSent        bool      // in this round
	pauseSentAt      time.Duration

	mayBePaused        bool   // a pause was sent, and no CONTINUE has been answered since
	continueTermHeld   uint64 // its TermHeld at the last CONTINUE
	continueLeaderTerm uint64 // the leader's term at that time
	mustStepDown       bool
	callHadNoEffect    bool // a call for it was accepted, and it didn't become primary
}

// leadsSince reports whether the last status shows a primary and was asked for no earlier than the given time.
func (m *member) leadsSince(since time.Duration) bool {
	return m.hasStatus && m.status.Primary && m.statusAskedAt >= since
}

func (m *member) answeredSince(since time.Duration) bool {
	return m.hasStatus && m.statusAskedAt >= since
}

// highestTerm returns the highest term that the instance is known to have seen.
func (m *member) highestTerm() uint64 {
	if !m.hasStatus {
		return 0
	}
	return max(m.status.Term, m.status.TermHeld, m.status.Received.Term)
}

func (m *member) noteBeat(now time.Duration) {
	if m.lastBeatAt != 0 {
		m.beatInterval = max(now-m.lastBeatAt, (m.beatInterval+now-m.lastBeatAt)/2)
	}
	m.lastBeatAt = now
}

// isBeatOverdue reports whether a heartbeat is overdue, but not by so much that probing early would tell nothing new.
func (m *member) isBeatOverdue(now time.Duration) bool {
	silence := now - m.lastBeatAt
	return m.lastBeatAt != 0 && m.beatInterval > 0 && silence > m.beatInterval*3/2 && silence < m.beatInterval*3
}

func (m *member) resetRound() {
	m.isPaused, m.pauseSent, m.pauseLost = false, false, false
}

// applyResult records the result of a probe as evidence of the instance's life and state.
func (m *member) applyResult(now time.Duration, result ProbeResult) {
	switch result.Answer {
	case Answered:
		m.noteAlive(now)
		if !m.hasStatus || result.Started >= m.statusAskedAt {
			m.hasStatus, m.status, m.statusAskedAt = true, result.Status, result.Started
		}
	case Busy:
		m.noteAlive(now)
	default:
		m.noteRefusal(result)
		if m.failures == 0 {
			m.failingSince = result.Started
		}
		m.failures++
	}
}

func (m *member) noteAlive(now time.Duration) {
	m.lastAliveAt, m.failures, m.refusals, m.isReplaced = now, 0, 0, false
	m.cover = nil
}

func (m *member) noteRefusal(result ProbeResult) {
	if result.Answer != Refused && result.Answer != Replaced {
		m.refusals = 0
		return
	}
	m.pauseLost, m.heldAt = true, nil
	if result.Answer == Replaced {
		m.isReplaced, m.cover = true, nil
	}
	if m.refusals == 0 {
		m.refusedSince = result.Started
	}
	m.refusals++
}

// coverBy records the leader's position, read at the given moment, if the instance can be taken to have received nothing from before
// that moment until now. That holds if it has left, or if it has long been silent and was probed meanwhile, since this process may have
// been stopped. A refused connection shows nothing: a cut that answers with resets looks like a process that doesn't run. Nor does silence
// tell what another instance holds that runs at the same address and isn't known yet.
func (m *member) coverBy(position Position, moment, replicaLost time.Duration) {
	if m.cover != nil || m.isReplaced && !m.departed {
		return
	}
	left := m.departed && moment >= m.departedAt+departureMargin
	silent := !m.departed && m.failures >= 3 && moment >= max(m.lastAliveAt+replicaLost, m.failingSince+replicaLost/2)
	if left || silent {
		m.cover = &position
	}
}

// depart records that the instance has left or was lost. One that was paused until then holds no more than when the pause was confirmed.
func (m *member) depart(now time.Duration) {
	m.departed, m.departedAt = true, now
	m.isPaused = false
	if m.heldAt != nil {
		m.cover = m.heldAt
	}
}

// comeBack records that a departed instance is present again.
func (m *member) comeBack(now time.Duration) {
	m.departed, m.cover, m.heldAt, m.lastAliveAt = false, nil, nil, now
}

// isDrainOver reports whether an instance has been draining so long that no statement may be begun there from the given moment on.
func (m *member) isDrainOver(from time.Duration, settings Settings) bool {
	return m.instance.Draining && m.drainLeft(from, settings) == 0
}

// drainLeft returns how long statements may still be begun at a draining instance. If the drain began under an earlier holder, its
// start is unknown and no time is left.
func (m *member) drainLeft(now time.Duration, settings Settings) time.Duration {
	if m.drainStartUnknown {
		return 0
	}
	return max(0, m.drainSince+settings.DrainLimit-settings.DrainMargin-now)
}

func (m *member) update(now time.Duration, instance feed.Instance) {
	if instance.Draining && !m.instance.Draining {
		m.drainSince = now
	}
	m.drainStartUnknown = m.drainStartUnknown && instance.Draining
	m.instance = instance
}
