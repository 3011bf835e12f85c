package replication

import (
	"time"

	"eiderway/control/quorum"
)

const (
	// confirmPause is the least time between two rounds for questions: many share one.
	confirmPause = 20 * time.Millisecond
	// confirmLimit: callers wait a second at most, and want to be sent elsewhere before that.
	confirmLimit = 700 * time.Millisecond
)

// pendingConfirm is a question whether this node is still the primary.
type pendingConfirm struct {
	request uint64
	round   uint64 // answers to this or a later word count
	came    time.Duration
}

// confirm is settled by a majority's answers to a word that goes out after the question came.
func (n *Node) confirm(request uint64) {
	if !n.leads() {
		n.decide(request, NotPrimary)
		return
	}
	lead := n.leadership
	lead.confirms = append(lead.confirms, pendingConfirm{request: request, round: lead.round + 1, came: n.now})
	if n.now-lead.roundAt >= confirmPause {
		n.broadcast()
	}
}

func (n *Node) tickConfirms() {
	lead := n.leadership
	waiting := lead.confirms[:0:0]
	due := false
	for _, one := range lead.confirms {
		if n.now-one.came > confirmLimit {
			n.decide(one.request, Unknown)
			continue
		}
		due = due || one.round > lead.round
		waiting = append(waiting, one)
	}
	lead.confirms = waiting
	if due && n.now-lead.roundAt >= confirmPause {
		n.broadcast()
	}
}

// settleConfirms answers the questions that a majority's words have settled.
func (n *Node) settleConfirms() {
	lead := n.leadership
	for len(lead.confirms) > 0 && n.isConfirmed(lead.confirms[0].round) {
		outcome := Done
		if n.now-lead.confirms[0].came > confirmLimit {
			outcome = Unknown // this process may have stood still since the answers
		}
		n.decide(lead.confirms[0].request, outcome)
		lead.confirms = lead.confirms[1:]
	}
}

func (n *Node) isConfirmed(round uint64) bool {
	if round > n.leadership.round {
		return false
	}
	if n.guards.confirmAlone {
		return true
	}
	return n.majorityOfViews(func(incarnation quorum.Incarnation) bool {
		one := n.leadership.follower(incarnation)
		return one != nil && one.heardRound >= round
	})
}
