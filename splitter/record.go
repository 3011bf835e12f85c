package splitter

// This file owns the role record and the health of members. It must never take a failed probe for a role.

import "cmp"

// learn feeds the role record and the health of a node from a result.
func (r *Router) learn(t *txn, n *node, res Result) {
	now := r.host.Now()
	g, timed := t.group, t.sentAt >= r.stallEnd // timed: its latency is the node's
	if res.is(Committed, Missed, Full, Failed, Answered) {
		n.heard, n.first = now, cmp.Or(n.first, now)
		r.takeReport(n, res.Report, true)
		if n.bad > 0 && t.sentAt >= n.missed {
			r.probesFailUntil = now + window // it serves, and did not answer a probe sent before
		}
		if n.bad = 0; n.aside && now < r.probesFailUntil && res.Outcome != Failed {
			r.rejoin(n)
		}
	}
	t.queued = t.queued || timed && res.is(Full, TimedOut)
	switch res.Outcome {
	case Committed:
		n.fails, n.fullPause = n.fails*(1-failGain), 0
		got := 0.0
		if res.Latency < t.free {
			got = 2 // no queue there
		} else if now <= t.arrived+t.SLA || !timed {
			got = 1
		}
		g.shares[t.Need == NeedPrimary].count(now, 1, got)
		if t.Need == NeedPrimary {
			r.claim(n, now)
			r.rememberCommit(t, res.Pos)
		}
		if n == g.primary && t.Need == NeedPrimary && !g.held {
			g.until = min(g.until, now+settle)
		}
		if timed {
			t.work += workGain * (res.Latency - t.work)
			if t.quick *= 1 + quickGain*quickShare; res.Latency < t.quick {
				t.quick *= 1 - quickGain
			}
			if n.pace < slowPace {
				t.free += workGain * (res.Latency - t.free)
			}
			pace := res.Latency / t.base
			if t.Need == NeedBounded && res.Role == RoleReplica && res.Pos > 0 {
				// A crowded replica applies the log late, and soon is of no use.
				pace = max(pace, lagPace*(now-res.Pos)/t.Bound)
			}
			r.adjustLimit(n, pace)
		}
	case Answered:
		n.fails *= 1 - failGain // no word on its role: an error may come before the node looks at that
	case Failed:
		n.fails += failGain * (1 - n.fails) // told at once: what it does answer is of use
	case Full:
		// What waits there comes first: it is left alone, longer each time in a row.
		n.limit, n.fullPause = max(1, n.limit/2), min(2*n.fullPause+againFirst, rest)
		n.notBefore = max(n.notBefore, now+n.fullPause)
	case TimedOut, Cancelled:
		if timed { // pace and limit follow answers, so that a node that loses some keeps the rest
			t.work += workGain * max(0, res.Latency-t.work)
			r.countLost(n)
		}
	case Missed:
		if t.Need == NeedPrimary {
			n.denied = now
			r.holdWrites(n)
		} else {
			n.lag = max(n.lag, min(now-r.neededPos(t), sessionSpan)) // so far behind at least
		}
	case NoConn, Broken:
		refused := res.Outcome == NoConn && res.Latency < r.terms.ConnectTimeout/2
		if refused && now < n.full {
			r.freeConnections(n)
			break
		}
		// Down, cut off, or lost by chance: a probe tells soon, and until then a primary gets no writes.
		r.countLost(n)
		if res.Outcome == NoConn {
			r.setAside(n)
		}
		n.down = n.down || refused && now < r.probesFailUntil
		if refused && r.terms.CanProbe && !n.probing {
			n.refused = now
			r.probe(n, ConnLost)
		}
		r.holdWrites(n)
	}
}

// freeConnections acts on a node that refuses connections and answers probes: it is neither dead nor changed,
// and idle connections routers keep are what others lack. It covers squeezed limits; it costs handshakes.
func (r *Router) freeConnections(n *node) {
	now := r.host.Now()
	n.refused, n.aside, n.full = 0, false, now+scarce
	if now > r.scarceUntil {
		for _, m := range r.nodes {
			if m != nil && len(m.inFlight) == 0 && m.heard > 0 {
				m.idle = nil
				r.host.CloseIdle(m.Node)
			}
		}
	}
	r.scarceUntil = now + scarce
}

// rememberCommit keeps a session's commit for its reads to come.
func (r *Router) rememberCommit(t *txn, pos float64) {
	now, g := r.host.Now(), t.group
	if !r.terms.TrackSessions {
		return
	}
	if g.wrote == nil || now-g.turned > sessionSpan {
		if g.before != nil {
			g.forgot = g.turned
		}
		g.before, g.wrote, g.turned = g.wrote, map[int64]float64{}, now
	}
	g.wrote[t.Session] = max(g.wrote[t.Session], cmp.Or(pos, now))
}

// countLost counts a txn that a node left without an answer, and sets the node aside when most are.
func (r *Router) countLost(n *node) {
	n.fails += failGain * (1 - n.fails)
	if n.fails > failLimit {
		r.setAside(n)
	}
}

// adjustLimit sets a node's pace and how many submissions it bears.
func (r *Router) adjustLimit(n *node, pace float64) {
	now := r.host.Now()
	n.pace += paceGain * (pace - n.pace)
	if n.pace > slowPace {
		if now-n.cut > cutEvery {
			n.cut = now
			n.limit = max(min(1, limitLeast/float64(r.terms.Routers)), n.limit*limitCut)
		}
	} else if n.limit < 1 {
		n.limit /= limitCut
	} else if float64(len(n.inFlight)+1) >= n.limit-1 {
		n.limit = min(limitMost, n.limit+1/n.limit)
	}
}

// takeReport takes what a node says of itself, in an answer or, somewhat late, in a report.
func (r *Router) takeReport(n *node, rep Report, answer bool) {
	now := r.host.Now()
	if rep.Pos > now+tick || rep.Pos < 0 {
		return // it can't be: no evidence
	}
	n.known = true
	at, late := cmp.Or(rep.Pos, now-r.reportAge), r.reportAge
	if answer {
		at, late = now, 0
	}
	if rep.Pos > 0 {
		n.pos = max(n.pos, rep.Pos)
		n.lag = max(0, now-rep.Pos-late)
	} else if n.lag /= 2; n.lag >= unheard/2 {
		n.lag = 0 // no position is told here: only misses say that it is behind
	}
	switch rep.Role {
	case RolePrimary:
		if !answer && rep.Pos > 0 {
			r.reportAge += paceGain * (now - rep.Pos - r.reportAge)
		}
		r.claim(n, cmp.Or(rep.Pos, at)) // a primary stands at the present, so its position dates the claim
	case RoleReplica:
		if answer {
			n.denied = now
		}
		r.demote(n, at, answer)
	}
}

// demote takes it that a member is no primary: as of a time, or for sure.
func (r *Router) demote(n *node, at float64, sure bool) {
	g := n.group
	if g.named == n && (sure || at > g.namedAt) {
		g.named = nil
	}
	if g.primary == n && (sure || at > n.claimed) {
		r.holdWrites(n)
		g.primary = nil
	}
}

// claim takes a member's word that it was primary at a time. Of two, the later claim holds.
func (r *Router) claim(n *node, at float64) {
	g := n.group
	if at <= n.denied || n.closed {
		return
	}
	n.claimed = max(n.claimed, at)
	if old := g.primary; old == nil {
		g.primary = n
	} else if old != n {
		g.until = r.host.Now() + window
		if at > old.claimed {
			g.primary = n
			r.cancelWrites(old)
		}
	}
	if g.primary == n && g.held && at > g.heldAt {
		g.held = false
		r.dispatch(g)
	}
}

// cancelWrites calls off writes that an old primary still has: they can go on to the new one in their window.
func (r *Router) cancelWrites(old *node) {
	for _, t := range old.inFlight {
		if t.Need == NeedPrimary && t.Effect == Referenced && !t.ended && !t.started {
			r.cancel(t)
		}
	}
}

// holdWrites keeps writes, where n is primary, until one, old or new, shows that it is; probes come fast.
func (r *Router) holdWrites(n *node) {
	g, now := n.group, r.host.Now()
	if g.primary != n {
		return
	}
	if !g.held {
		g.since = now
	}
	g.held, g.heldAt, g.until = true, now, now+window
}

// setAside takes a node out of the read set until it has answered probes and rested; then it tries one txn.
func (r *Router) setAside(n *node) {
	now := r.host.Now()
	if !n.aside {
		n.aside, n.good, n.restsUntil, n.rests = true, 0, now, rest
	}
	if n.limit = 1; now >= n.restsUntil { // newly, or a trial has failed
		n.restsUntil, n.rests = now+n.rests, min(2*n.rests, restMost*rest)
	}
}

// rejoin takes a member back into the read set. One that was down is cold, before the list says so.
func (r *Router) rejoin(n *node) {
	if n.down {
		n.down, n.started = false, r.host.Now()
	}
	n.aside, n.limit, n.fails = false, 1, min(n.fails, failTrial)
}
