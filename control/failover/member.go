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

	drainSince  time.Duration // when it was first known to be draining
	drainBefore bool          // it drained when it was first met: its drain was acknowledged at an unknown time
	lastLife    time.Duration // last heartbeat or answer
	beatPrimary bool          // its last heartbeat said that it leads
	lastBeat    time.Duration // 0: none yet
	beatGap     time.Duration // between the last two heartbeats, or the two before, whichever is longer

	known        bool // status is set
	status       Status
	statusAt     time.Duration // when the question that brought the status was sent
	failures     int           // probes in a row without an answer
	failingSince time.Duration
	refusals     int // connections refused in a row, with nothing else between: the process isn't running
	refusedSince time.Duration
	cover        *Position // position of the leader, read after this one had fallen silent or left
	coverDead    bool      // it stands only while connections are refused

	outstanding [probeKinds]uint64
	askedAt     [probeKinds]time.Duration
	asked       [probeKinds]bool

	held         bool // it keeps still in the term of the round
	heldAt       time.Duration
	heldPosition Position
	pauseLost    bool // its process was found not to run since the freeze: it forgets a pause when it restarts
	pauseAsked   bool // in this round
	pauseAskedAt time.Duration

	mayBePaused   bool   // a pause was sent, and no CONTINUE has been answered since
	continuedHeld uint64 // its term held at the last CONTINUE
	continuedFor  uint64 // the leader's term at that time
	mustStepDown  bool
	calledInVain  bool // a call for it was accepted, and it didn't lead
}

// leads tells whether the last status, if it is no older than since, shows a primary.
func (i *member) leads(since time.Duration) bool {
	return i.known && i.status.Primary && i.statusAt >= since
}

func (i *member) answered(since time.Duration) bool { return i.known && i.statusAt >= since }

// newest is the highest term that the instance is known to have met.
func (i *member) newest() uint64 {
	if !i.known {
		return 0
	}
	return max(i.status.Term, i.status.TermHeld, i.status.Received.Term)
}

func (i *member) beat(now time.Duration) {
	if i.lastBeat != 0 {
		i.beatGap = max(now-i.lastBeat, (i.beatGap+now-i.lastBeat)/2)
	}
	i.lastBeat = now
}

// beatMissed tells whether a heartbeat is overdue, for as long as that is news.
func (i *member) beatMissed(now time.Duration) bool {
	silence := now - i.lastBeat
	return i.lastBeat != 0 && i.beatGap > 0 && silence > i.beatGap*3/2 && silence < i.beatGap*3
}

func (i *member) forgetRound() {
	i.held, i.pauseAsked, i.pauseLost = false, false, false
}

// take notes the outcome of a probe as evidence of the instance's life and state.
func (i *member) take(now time.Duration, result ProbeResult) {
	switch result.Answer {
	case Answered:
		i.alive(now)
		if !i.known || result.Started >= i.statusAt {
			i.known, i.status, i.statusAt = true, result.Status, result.Started
		}
	case Busy:
		i.alive(now)
	default:
		i.noteRefusal(result)
		if i.failures == 0 {
			i.failingSince = result.Started
		}
		i.failures++
	}
}

func (i *member) alive(now time.Duration) {
	i.lastLife, i.failures, i.refusals = now, 0, 0
	i.cover, i.coverDead = nil, false
}

func (i *member) noteRefusal(result ProbeResult) {
	if result.Answer != Refused {
		i.refusals = 0
		if i.coverDead {
			i.cover, i.coverDead = nil, false // it may run again, unheard
		}
		return
	}
	i.pauseLost = true
	if i.refusals == 0 {
		i.refusedSince = result.Started
	}
	i.refusals++
}

// coverBy notes the leader's position, read at the moment given, if the instance can be taken to have received nothing from before
// that moment until now: it has left; or it has been silent for long, and was asked meanwhile, since this process may have stood
// still; or its process doesn't run, which holds only as long as the last word is a refusal.
func (i *member) coverBy(position Position, moment, replicaLost time.Duration) {
	if i.cover != nil && !i.coverDead {
		return
	}
	left := i.departed && moment >= i.departedAt+departureMargin
	silent := !i.departed && i.failures >= 3 && moment >= max(i.lastLife+replicaLost, i.failingSince+replicaLost/2)
	dead := !i.departed && i.refusals >= 2 && moment >= i.refusedSince+refusedMargin
	if left || silent || dead && i.cover == nil {
		i.cover, i.coverDead = &position, !left && !silent
	}
}

// drainSpent tells whether an instance has been draining so long that no statement may be begun there from the moment given on.
func (i *member) drainSpent(from time.Duration, settings Settings) bool {
	return i.instance.Draining && i.drainLeft(from, settings) == 0
}

// drainLeft is how long statements may yet be begun at an instance that drains. How long it has drained under an earlier
// holder isn't known: then there is no time left.
func (i *member) drainLeft(now time.Duration, settings Settings) time.Duration {
	if i.drainBefore {
		return 0
	}
	return max(0, i.drainSince+settings.DrainLimit-settings.DrainMargin-now)
}

func (i *member) note(now time.Duration, instance feed.Instance) {
	if instance.Draining && !i.instance.Draining {
		i.drainSince = now
	}
	i.drainBefore = i.drainBefore && instance.Draining
	i.instance = instance
}
