package splitter

// This file keeps the role record and the health of members. It must never conclude a role from a failed probe.

import "cmp"

// learnFromResult updates the role record and the health of a node from a result.
func (r *Router) learnFromResult(t *txn, n *node, res Result) {
	now := r.host.Now()
	g, latencyValid := t.group, t.sentAt >= r.stallEnd // latencyValid: it is the node's, no stall of the router is in it
	if res.is(Committed, Missed, Full, Failed, Answered) {
		n.lastAnswer, n.firstAnswer = now, cmp.Or(n.firstAnswer, now)
		r.takeReport(n, res.Report, true)
		if n.probesFailed > 0 && t.sentAt >= n.probeFailedAt {
			r.probesFailUntil = now + failoverWindow // it serves txns, and did not answer a probe sent before
		}
		if n.probesFailed = 0; n.aside && now < r.probesFailUntil && res.Outcome != Failed {
			r.rejoin(n)
		}
	}
	t.hitOverload = t.hitOverload || latencyValid && res.is(Full, TimedOut)
	switch res.Outcome {
	case Committed:
		n.failureRate, n.fullPause = n.failureRate*(1-failureGain), 0
		inTime := 0.0
		if res.Latency < t.free {
			inTime = 2 // no queue there
		} else if now <= t.arrived+t.SLA || !latencyValid {
			inTime = 1
		}
		g.recent[t.Need == NeedPrimary].add(now, 1, inTime)
		if t.Need == NeedPrimary {
			r.acceptClaim(n, now)
			r.rememberCommit(t, res.Pos)
		}
		if n == g.primary && t.Need == NeedPrimary && !g.writesHeld {
			g.windowEnd = min(g.windowEnd, now+settleTime)
		}
		if latencyValid {
			t.work += workGain * (res.Latency - t.work)
			if t.quick *= 1 + quickGain*quickShare; res.Latency < t.quick {
				t.quick *= 1 - quickGain
			}
			if n.pace < slowPace {
				t.free += workGain * (res.Latency - t.free)
			}
			pace := res.Latency / t.base
			if t.Need == NeedBounded && res.Role == RoleReplica && res.Pos > 0 {
				// A crowded replica applies the log late and soon can serve no bounded reads.
				pace = max(pace, lagPace*(now-res.Pos)/t.Bound)
			}
			r.adjustLimit(n, pace)
		}
	case Answered:
		n.failureRate *= 1 - failureGain // proves no role: the error may come before the node checks its role
	case Failed:
		n.failureRate += failureGain * (1 - n.failureRate) // it fails at once, so it is not set aside: what it does answer is of use
	case Full:
		// Txns that wait there come first: it gets no submission for a time, longer each time in a row.
		n.limit, n.fullPause = max(1, n.limit/2), min(2*n.fullPause+retryDelayFirst, restTime)
		n.notBefore = max(n.notBefore, now+n.fullPause)
	case TimedOut, Cancelled:
		if latencyValid { // pace and limit follow only answers, so that a node that loses some keeps the other txns
			t.work += workGain * max(0, res.Latency-t.work)
			r.countUnanswered(n)
		}
	case Missed:
		if t.Need == NeedPrimary {
			n.deniedAt = now
			r.holdWrites(n)
		} else {
			n.lag = max(n.lag, min(now-r.neededPos(t), sessionMemory)) // it is at least this far behind
		}
	case NoConn, Broken:
		refused := res.Outcome == NoConn && res.Latency < r.terms.ConnectTimeout/2
		if refused && now < n.fullUntil {
			r.freeConnections(n)
			break
		}
		// The node is down, cut off, or lost this one by chance: a probe tells soon, and until then a primary gets no writes.
		r.countUnanswered(n)
		if res.Outcome == NoConn {
			r.setAside(n)
		}
		n.down = n.down || refused && now < r.probesFailUntil
		if refused && r.terms.CanProbe && !n.probing {
			n.refusedAt = now
			r.sendProbe(n, ConnLost)
		}
		r.holdWrites(n)
	}
}

// freeConnections handles a node that refuses connections but answers probes: it is neither down nor replaced, and the idle connections
// of routers are what others lack. It covers connection limits that are too small; it costs handshakes.
func (r *Router) freeConnections(n *node) {
	now := r.host.Now()
	n.refusedAt, n.aside, n.fullUntil = 0, false, now+scarceTime
	if now > r.connectionsScarceUntil {
		for _, m := range r.nodes {
			if m != nil && len(m.inFlight) == 0 && m.lastAnswer > 0 {
				m.idleSince = nil
				r.host.CloseIdle(m.Node)
			}
		}
	}
	r.connectionsScarceUntil = now + scarceTime
}

// rememberCommit records a session's commit for its later reads.
func (r *Router) rememberCommit(t *txn, pos float64) {
	now, g := r.host.Now(), t.group
	if !r.terms.TrackSessions {
		return
	}
	if g.recentCommits == nil || now-g.recentSince > sessionMemory {
		if g.olderCommits != nil {
			g.forgottenUntil = g.recentSince
		}
		g.olderCommits, g.recentCommits, g.recentSince = g.recentCommits, map[int64]float64{}, now
	}
	g.recentCommits[t.Session] = max(g.recentCommits[t.Session], cmp.Or(pos, now))
}

// countUnanswered counts a txn that a node left without an answer, and sets the node aside when most are.
func (r *Router) countUnanswered(n *node) {
	n.failureRate += failureGain * (1 - n.failureRate)
	if n.failureRate > failureLimit {
		r.setAside(n)
	}
}

// adjustLimit updates the pace of a node and its limit of submissions.
func (r *Router) adjustLimit(n *node, pace float64) {
	now := r.host.Now()
	n.pace += paceGain * (pace - n.pace)
	if n.pace > slowPace {
		if now-n.limitCutAt > limitCutInterval {
			n.limitCutAt = now
			n.limit = max(min(1, limitMin/float64(r.terms.Routers)), n.limit*limitCut)
		}
	} else if n.limit < 1 {
		n.limit /= limitCut
	} else if float64(len(n.inFlight)+1) >= n.limit-1 {
		n.limit = min(limitMax, n.limit+1/n.limit)
	}
}

// takeReport takes what a node says of itself in an answer to a txn or, somewhat late, in the answer to a probe.
func (r *Router) takeReport(n *node, rep Report, answer bool) {
	now := r.host.Now()
	if rep.Pos > now+tickInterval || rep.Pos < 0 {
		return // an impossible position proves nothing
	}
	n.known = true
	at, late := cmp.Or(rep.Pos, now-r.reportAge), r.reportAge
	if answer {
		at, late = now, 0
	}
	if rep.Pos > 0 {
		n.pos = max(n.pos, rep.Pos)
		n.lag = max(0, now-rep.Pos-late)
	} else if n.lag /= 2; n.lag >= lagUnknown/2 {
		n.lag = 0 // nodes report no position here: only misses say that it is behind
	}
	switch rep.Role {
	case RolePrimary:
		if !answer && rep.Pos > 0 {
			r.reportAge += paceGain * (now - rep.Pos - r.reportAge)
		}
		r.acceptClaim(n, cmp.Or(rep.Pos, at)) // a primary has applied everything, so its position is the time of the claim
	case RoleReplica:
		if answer {
			n.deniedAt = now
		}
		r.demote(n, at, answer)
	}
}

// demote records that a member is not primary: as of a time, or for certain.
func (r *Router) demote(n *node, at float64, sure bool) {
	g := n.group
	if g.peerPrimary == n && (sure || at > g.peerPrimaryAt) {
		g.peerPrimary = nil
	}
	if g.primary == n && (sure || at > n.claimedAt) {
		r.holdWrites(n)
		g.primary = nil
	}
}

// acceptClaim takes a member's own report that it was primary at a time. Of two claims, the later one holds.
func (r *Router) acceptClaim(n *node, at float64) {
	g := n.group
	if at <= n.deniedAt || n.excluded {
		return
	}
	n.claimedAt = max(n.claimedAt, at)
	if old := g.primary; old == nil {
		g.primary = n
	} else if old != n {
		g.windowEnd = r.host.Now() + failoverWindow
		if at > old.claimedAt {
			g.primary = n
			r.cancelWrites(old)
		}
	}
	if g.primary == n && g.writesHeld && at > g.evidenceAfter {
		g.writesHeld = false
		r.dispatch(g)
	}
}

// cancelWrites cancels writes in flight at an old primary that can still go to the new one within their window.
func (r *Router) cancelWrites(old *node) {
	for _, t := range old.inFlight {
		if t.Need == NeedPrimary && t.Effect == Referenced && !t.ended && !t.answerStarted {
			r.cancel(t)
		}
	}
}

// holdWrites holds writes, if n is primary, until a member, n or another, proves that it is; probes become frequent.
func (r *Router) holdWrites(n *node) {
	g, now := n.group, r.host.Now()
	if g.primary != n {
		return
	}
	if !g.writesHeld {
		g.heldSince = now
	}
	g.writesHeld, g.evidenceAfter, g.windowEnd = true, now, now+failoverWindow
}

// setAside takes a node out of the read set until it has answered probes and rested; then one txn is sent as a trial.
func (r *Router) setAside(n *node) {
	now := r.host.Now()
	if !n.aside {
		n.aside, n.probesAnswered, n.restsUntil, n.nextRest = true, 0, now, restTime
	}
	if n.limit = 1; now >= n.restsUntil { // newly set aside, or a trial has failed
		n.restsUntil, n.nextRest = now+n.nextRest, min(2*n.nextRest, restGrowthMax*restTime)
	}
}

// rejoin takes a member back into the read set. One that was down counts as cold before the list says so.
func (r *Router) rejoin(n *node) {
	if n.down {
		n.down, n.coldSince = false, r.host.Now()
	}
	n.aside, n.limit, n.failureRate = false, 1, min(n.failureRate, failureRateAtTrial)
}
