package splitter

// This file decides which member is probed when, which txns pay for it, and what an answer changes.

// sendDueProbes sends the probes that are due in a group while it has txns. First probes of members and those that a held write waits for
// are sent at once. Txns pay for all others, so that routers with little traffic send no more probes than their txns earn.
func (r *Router) sendDueProbes(g *group) {
	now := r.host.Now()
	if !r.terms.CanProbe {
		return
	}
	waiting := r.waitingForRole(g)
	heldTxns, peersProbe := g.writesHeld && waiting > 0 && now >= r.probesFailUntil, now < g.peersProbeUntil
	firstSkipped := len(g.members)
	if heldTxns && peersProbe {
		r.host.RequestPeerProbes(g.id)
	}
	onlyCandidates := peersProbe || g.primary == nil && g.peerPrimary != nil && g.peerPrimary.probesFailed == 0 // the reported primary first
	for i := range g.members {
		n := g.members[(g.nextProbe+i)%len(g.members)]
		isCandidate := heldTxns && (!onlyCandidates || n == g.primary || n == g.peerPrimary) // probed without delay
		if n.probing || n.excluded || !n.aside && !isCandidate && (peersProbe || heldTxns) {
			continue
		}
		interval, isFree, cause := ordinaryInterval, n.probedAt == 0 && !n.known, Ordinary
		switch {
		case heldTxns:
			interval, isFree, cause = min(heldProbeMax, max(urgentInterval, heldProbePace*(now-g.heldSince)/float64(waiting))), true, HeldTxn
		case now < g.windowEnd || g.primary == nil:
			interval, cause = urgentInterval, InWindow
		case n.aside:
			interval, cause = asideProbeInterval, SetAside
		}
		if n.probedAt == 0 {
			cause = FirstLook
		} else if now-n.probedAt < interval*(0.9+0.2*r.rng.Float64()) {
			continue
		}
		if !isFree {
			if g.probeCredit < 1 {
				firstSkipped = min(firstSkipped, i)
				continue
			}
			g.probeCredit--
		}
		r.sendProbe(n, cause)
	}
	g.nextProbe += firstSkipped // the first one that was left out
}

// waitingForRole counts txns that wait for a member to prove its role: writes, or all while no member is known as primary.
func (r *Router) waitingForRole(g *group) (count int) {
	for typ, queue := range g.waiting {
		if g.primary == nil && g.peerPrimary == nil || r.types[typ].Need == NeedPrimary {
			count += len(queue)
		}
	}
	return count
}

func (r *Router) sendProbe(n *node, why Cause) {
	n.probing, n.probedAt = true, r.host.Now()
	r.host.Probe(n.Node, why, func(rep Report) {
		before := r.sentCount
		if r.takeProbeResult(n, n.probedAt, rep); r.sentCount > before {
			r.host.Count(Freed, why)
		}
	})
}

// takeProbeResult takes the result of a probe. While no member answers any, the record is frozen: the fault may be on this router's side.
func (r *Router) takeProbeResult(n *node, sent float64, rep Report) {
	g, now := n.group, r.checkClock()
	n.probing = false
	if !rep.OK && sent < r.stallEnd {
		return
	}
	if !rep.OK {
		n.probesAnswered, n.probeFailedAt = 0, sent
		n.probesFailed++
		g.failedProbes++
		if !n.known && r.terms.NodesCheckFreshness {
			n.known, n.lag = true, 0 // its first probe failed, and it checks reads itself
		}
		if n.probesFailed >= failedProbesToLeave && now >= r.probesFailUntil && g.failedProbes <= (frozenRounds-1)*len(g.members) {
			n.down = true
			r.setAside(n)
			if !g.writesHeld {
				r.holdWrites(n)
			}
		}
		return
	}
	if n.down {
		n.down, n.coldSince = false, now // it is cold, before the list says so
	}
	n.probesFailed, g.failedProbes = 0, 0
	if n.refusedAt > 0 && sent >= n.refusedAt {
		r.freeConnections(n)
	}
	n.probesAnswered++
	r.takeReport(n, rep, false)
	if g.writesHeld && g.primary == n && rep.Role == RolePrimary && n.claimedAt > n.deniedAt && sent >= g.evidenceAfter {
		g.writesHeld = false // the old primary still serves
	}
	if n.aside && n.probesAnswered >= goodProbesToRejoin && now >= n.restsUntil {
		r.rejoin(n)
	}
	r.dispatch(g)
}
