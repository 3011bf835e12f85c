package replication

import (
	"time"

	"eiderway/control/quorum"
)

const (
	// confirmInterval is the minimum time between two rounds for confirmations, so that many share one round.
	confirmInterval = 20 * time.Millisecond
	// confirmTimeout is shorter than the second that callers wait at most, so that they can still be sent elsewhere.
	confirmTimeout = 700 * time.Millisecond
)

// pendingConfirm is a request to confirm that this node is still the primary.
type pendingConfirm struct {
	request uint64
	round   uint64 // answers to this or a later round count
	askedAt time.Duration
}

// confirm queues a request. Answers of a majority to a round that starts after the request confirm it.
func (n *Node) confirm(request uint64) {
	if !n.leads() {
		n.decide(request, NotPrimary)
		return
	}
	leadership := n.leadership
	leadership.confirms = append(leadership.confirms, pendingConfirm{request: request, round: leadership.round + 1, askedAt: n.now})
	if n.now-leadership.roundAt >= confirmInterval {
		n.broadcast()
	}
}

func (n *Node) tickConfirms() {
	leadership := n.leadership
	waiting := leadership.confirms[:0:0]
	due := false
	for _, confirm := range leadership.confirms {
		if n.now-confirm.askedAt > confirmTimeout {
			n.decide(confirm.request, Unknown)
			continue
		}
		due = due || confirm.round > leadership.round
		waiting = append(waiting, confirm)
	}
	leadership.confirms = waiting
	if due && n.now-leadership.roundAt >= confirmInterval {
		n.broadcast()
	}
}

// answerConfirms answers the requests that the answers of a majority have confirmed.
func (n *Node) answerConfirms() {
	leadership := n.leadership
	for len(leadership.confirms) > 0 && n.isConfirmed(leadership.confirms[0].round) {
		outcome := Done
		if n.now-leadership.confirms[0].askedAt > confirmTimeout {
			outcome = Unknown // this process may have been frozen since the answers came
		}
		n.decide(leadership.confirms[0].request, outcome)
		leadership.confirms = leadership.confirms[1:]
	}
}

func (n *Node) isConfirmed(round uint64) bool {
	if round > n.leadership.round {
		return false
	}
	if n.guards.confirmWithoutMajority {
		return true
	}
	return n.hasMajorityOfViews(func(incarnation quorum.Incarnation) bool {
		follower := n.leadership.follower(incarnation)
		return follower != nil && follower.heardRound >= round
	})
}
