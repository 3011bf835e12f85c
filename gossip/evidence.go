package gossip

// This file owns what this instance observed itself of servers. It must never take a peer's word for it.

import (
	"math"
	"slices"
)

type submission struct {
	sent    float64
	overdue bool // counted
}

// evidence is what this instance observed of one kind, decayed.
type evidence struct {
	successes, failures float64
	decayedAt           float64
	successAt           float64 // the newest success, by when it was sent
	failureAt           float64
	streak              int // failures since the last success
}

// refutes tells whether it speaks against an accusation that comes now.
func (e *evidence) refutes(now float64) bool {
	return now-e.successAt < refutationWindow && e.failureAt < e.successAt
}

// Started tells that a submission has left for a server. Its end is told by Observe, or by Finished where it shows nothing.
func (n *Node) Started(id int, sent float64) {
	if server := n.servers[id]; server != nil && len(server.inFlight) < maxInFlight {
		server.inFlight = append(server.inFlight, submission{sent: sent})
	}
}

// Finished ends what Started began.
func (n *Node) Finished(id int, sent float64) {
	if server := n.servers[id]; server != nil {
		if i := slices.IndexFunc(server.inFlight, func(o submission) bool { return o.sent == sent }); i >= 0 {
			server.inFlight = slices.Delete(server.inFlight, i, i+1)
		}
	}
}

// countOverdue counts submissions whose answers should be there by far: each is taken as no answer, before it times out. A
// probe that is answered, or any answer, says otherwise. It covers servers that hang, on which else each of many quiet
// routers loses a submission of its own to find out; it harms where a type of txn takes eight usual latencies: the
// accusations of a quorum then cost that server a probe and its turn, no more.
func (n *Node) countOverdue(server *serverState, now float64) {
	if n.usualLatency == 0 || now-n.tickedAt > overdueMin+2*urgentRoundEvery {
		return // or this process has paused
	}
	limit := max(overdueMin, overdueFactor*n.usualLatency)
	evidence := &server.evidence[Unresponsive]
	for i := range server.inFlight {
		if o := &server.inFlight[i]; !o.overdue && now-o.sent > limit {
			o.overdue = true
			if o.sent > evidence.successAt {
				evidence.decay(now)
				evidence.failures += 2 * accuseFromFailures
				evidence.failureAt = now
				evidence.streak += accuseFromStreak
				n.counts.Overdue++
			}
		}
	}
}

// Observe tells what a submission, or a probe, of ours that was sent at a time has shown of a server. A probe says nothing of
// what becomes of submissions; an answered submission says that the server answers, too.
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
	// What was said before we asked, and is not so: they are wrong, or it has passed. Whoever goes on saying so loses
	// weight for it. Who is right gets weight back.
	for _, who := range sortedKeys(server.accusations) {
		a, p := server.accusations[who], n.peerAt(who)
		switch {
		case a.receivedAt > sent || probe && a.reason == Failing || p == nil:
		case good:
			n.penalize(who, now)
			delete(server.accusations, who)
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
	f := math.Exp2(-max(0, now-e.decayedAt) / evidenceHalfLife)
	e.successes, e.failures, e.decayedAt = e.successes*f, e.failures*f, now
}

// failing tells whether what we observed of a server is bad enough to say so, and of what kind it is.
func (s *serverState) failing() (Reason, bool) {
	for reason := range s.evidence {
		if s.evidence[reason].fails() {
			return Reason(reason), true
		}
	}
	return 0, false
}

func (e *evidence) fails() bool {
	return e.failures >= accuseFromFailures && e.failureAt > e.successAt &&
		(e.streak >= accuseFromStreak || e.failures > accuseFromShare*(e.successes+e.failures))
}
