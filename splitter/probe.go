package splitter

// This file owns the probes: which member is asked when, who pays for that, and what an answer changes.

// probes sends the probes that are due in a group while it has txns. A first look and what a held write waits
// for come at once; all else is paid for by txns, so that quiet routers don't spend more than a group earns.
func (r *Router) probes(g *group) {
	now := r.host.Now()
	if !r.terms.CanProbe {
		return
	}
	waiting := r.waitingForRole(g)
	held, told := g.held && waiting > 0 && now >= r.probesFailUntil, now < g.toldUntil
	due := len(g.members)
	if held && told {
		r.host.RequestPeerProbes(g.id)
	}
	first := told || g.primary == nil && g.named != nil && g.named.bad == 0 // who peers say is primary
	for i := range g.members {
		n := g.members[(g.next+i)%len(g.members)]
		asked := held && (!first || n == g.primary || n == g.named) // while peers look, only for what is their hint
		if n.probing || n.closed || !n.aside && !asked && (told || held) {
			continue
		}
		every, owed, why := ordinary, n.probed == 0 && !n.known, Ordinary
		switch {
		case held:
			every, owed, why = min(slowest, max(hurried, heldPace*(now-g.since)/float64(waiting))), true, HeldTxn
		case now < g.until || g.primary == nil:
			every, why = hurried, InWindow
		case n.aside:
			every, why = asideProbe, SetAside
		}
		if n.probed == 0 {
			why = FirstLook
		} else if now-n.probed < every*(0.9+0.2*r.rng.Float64()) {
			continue
		}
		if !owed {
			if g.probeCredit < 1 {
				due = min(due, i)
				continue
			}
			g.probeCredit--
		}
		r.probe(n, why)
	}
	g.next += due // the first one left out
}

// waitingForRole counts txns that wait for role evidence: writes, or all while no member is known as primary.
func (r *Router) waitingForRole(g *group) (count int) {
	for l, q := range g.waiting {
		if g.primary == nil && g.named == nil || r.kinds[l].Need == NeedPrimary {
			count += len(q)
		}
	}
	return count
}

func (r *Router) probe(n *node, why Cause) {
	n.probing, n.probed = true, r.host.Now()
	r.host.Probe(n.Node, why, func(rep Report) {
		before := r.sent
		if r.answered(n, n.probed, rep); r.sent > before {
			r.host.Count(Freed, why)
		}
	})
}

// answered takes what a probe brought. While no member answers any, the record is frozen: it may be us.
func (r *Router) answered(n *node, sent float64, rep Report) {
	g, now := n.group, r.clock()
	n.probing = false
	if !rep.OK && sent < r.stallEnd {
		return
	}
	if !rep.OK {
		n.good, n.missed = 0, sent
		n.bad++
		g.failedProbes++
		if !n.known && r.terms.NodesCheckFreshness {
			n.known, n.lag = true, 0 // it was looked at in vain, and checks reads itself
		}
		if n.bad >= badProbes && now >= r.probesFailUntil && g.failedProbes <= (frozenRounds-1)*len(g.members) {
			n.down = true
			r.setAside(n)
			if !g.held {
				r.holdWrites(n)
			}
		}
		return
	}
	if n.down {
		n.down, n.started = false, now // cold, before the list says so
	}
	n.bad, g.failedProbes = 0, 0
	if n.refused > 0 && sent >= n.refused {
		r.freeConnections(n)
	}
	n.good++
	r.takeReport(n, rep, false)
	if g.held && g.primary == n && rep.Role == RolePrimary && n.claimed > n.denied && sent >= g.heldAt {
		g.held = false // the old primary is there after all
	}
	if n.aside && n.good >= goodProbes && now >= n.restsUntil {
		r.rejoin(n)
	}
	r.dispatch(g)
}
