package gossip

// This file keeps what this instance itself observed of servers. Statements of peers never count here.

import (
	"math"
	"slices"
)

// submission is a submission to a server that has not ended.
type submission struct {
	sent    float64
	overdue bool // already counted as a failure
}

// evidence holds what this instance observed of one server for one Reason, with exponential decay.
type evidence struct {
	successes, failures float64
	decayedAt           float64
	successAt           float64 // when the newest success was sent
	failureAt           float64 // when the newest failure was seen
	streak              int     // failures since the last success
}

// refutes reports whether a recent success refutes an accusation that arrives now.
func (e *evidence) refutes(now float64) bool {
	return now-e.successAt < refutationWindow && e.failureAt < e.successAt
}

// Started records that a submission was sent to a server. Observe ends it, or Finished if its end shows nothing about the server.
func (n *Node) Started(id int, sent float64) {
	if server := n.servers[id]; server != nil && len(server.inFlight) < maxInFlight {
		server.inFlight = append(server.inFlight, submission{sent: sent})
	}
}

// Finished ends a submission that Started recorded.
func (n *Node) Finished(id int, sent float64) {
	if server := n.servers[id]; server != nil {
		if i := slices.IndexFunc(server.inFlight, func(s submission) bool { return s.sent == sent }); i >= 0 {
			server.inFlight = slices.Delete(server.inFlight, i, i+1)
		}
	}
}

// countOverdue counts each submission whose answer is long overdue as a failure, before it times out. An answered probe or
// submission refutes that. Without it, each of many routers with little load would lose a submission of its own to a server that
// hangs before it found out. The cost: where one type of transaction takes eight usual latencies, the accusations of a quorum
// make routers probe that server and prefer others meanwhile, no more.
func (n *Node) countOverdue(server *serverState, now float64) {
	if n.usualLatency == 0 || now-n.tickedAt > overdueMin+2*urgentRoundEvery {
		return // no latency is known yet, or this process has paused
	}
	limit := max(overdueMin, overdueFactor*n.usualLatency)
	evidence := &server.evidence[Unresponsive]
	for i := range server.inFlight {
		if s := &server.inFlight[i]; !s.overdue && now-s.sent > limit {
			s.overdue = true
			if s.sent > evidence.successAt {
				evidence.decay(now)
				evidence.failures += 2 * accuseFromFailures
				evidence.failureAt = now
				evidence.streak += accuseFromStreak
				n.counts.Overdue++
			}
		}
	}
}

// Observe records the result of a submission or probe of ours, sent at the given time. A probe is no evidence of whether
// submissions succeed; an answered submission is evidence that the server answers, too.
func (n *Node) Observe(id int, good, probe bool, sent, now float64) []Suspicion {
	server := n.servers[id]
	if server == nil {
		return nil
	}
	if !probe {
		n.Finished(id, sent)
		if good {
			if n.usualLatency == 0 {
				n.usualLatency = max(now-sent, 1e-6)
			}
			n.usualLatency += latencyGain * (now - sent - n.usualLatency)
		}
	}
	for reason := range server.evidence {
		evidence := &server.evidence[reason]
		evidence.decay(now)
		switch {
		case probe && Reason(reason) == Failing, !probe && !good && Reason(reason) == Unresponsive:
		case good:
			evidence.successes++
			evidence.streak = 0
			evidence.successAt = max(evidence.successAt, sent)
		default:
			evidence.failures++
			evidence.streak++
			evidence.failureAt = now
		}
	}
	// A success refutes accusations that arrived before we sent: they are wrong or outdated, and each costs its peer weight.
	// A failure confirms them and gives their peers weight back.
	for _, origin := range sortedKeys(server.accusations) {
		accusation, p := server.accusations[origin], n.peerAt(origin)
		switch {
		case accusation.receivedAt > sent || probe && accusation.reason == Failing || p == nil:
		case good:
			n.penalize(origin, now)
			delete(server.accusations, origin)
		default:
			p.lostWeight, p.lostWeightAt = max(0, p.penalty(now)-trueAccusationGain), now
			p.confirmed++
			n.counts.Right++
		}
	}
	if server.suspected && len(server.accusations) == 0 {
		server.suspected = false
		n.counts.Overruled++
		return []Suspicion{{Server: id, Until: now}}
	}
	return nil
}

func (e *evidence) decay(now float64) {
	factor := math.Exp2(-max(0, now-e.decayedAt) / evidenceHalfLife)
	e.successes, e.failures, e.decayedAt = e.successes*factor, e.failures*factor, now
}

// failing reports whether our observations of a server justify an accusation, and for which reason.
func (s *serverState) failing() (Reason, bool) {
	for reason := range s.evidence {
		if s.evidence[reason].fails() {
			return Reason(reason), true
		}
	}
	return 0, false
}

// fails reports whether the evidence justifies an accusation.
func (e *evidence) fails() bool {
	return e.failures >= accuseFromFailures && e.failureAt > e.successAt &&
		(e.streak >= accuseFromStreak || e.failures > accuseFromShare*(e.successes+e.failures))
}
