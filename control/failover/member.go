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

	lastLife    time.Duration // last heartbeat or answer
	beatPrimary bool          // its last heartbeat said that it leads

	known        bool // status is set
	status       Status
	statusAt     time.Duration // when the question that brought the status was sent
	failures     int           // probes in a row without an answer
	failingSince time.Duration
	cover        *Position // position of the leader, read after this one had fallen silent or left

	outstanding [probeKinds]uint64
	askedAt     [probeKinds]time.Duration
	asked       [probeKinds]bool

	held         bool // it keeps still in the term of the round
	heldAt       time.Duration
	heldPosition Position
	pauseAsked   bool // in this round
	pauseAskedAt time.Duration

	mayBePaused   bool   // a pause was sent, and no CONTINUE has been answered since
	continuedHeld uint64 // its term held at the last CONTINUE
	mustStepDown  bool
}

// leadsIn tells whether the last status, if it is no older than since, shows a primary.
func (i *member) leads(since time.Duration) bool { return i.known && i.status.Primary && i.statusAt >= since }

func (i *member) answered(since time.Duration) bool { return i.known && i.statusAt >= since }

// newest is the highest term that the instance is known to have met.
func (i *member) newest() uint64 {
	if !i.known {
		return 0
	}
	return max(i.status.Term, i.status.TermHeld, i.status.Received.Term)
}

func (i *member) forgetRound() {
	i.held, i.pauseAsked = false, false
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
		if i.failures == 0 {
			i.failingSince = result.Started
		}
		i.failures++
	}
}

func (i *member) alive(now time.Duration) {
	i.lastLife, i.failures, i.cover = now, 0, nil
}
