package zone

// This file contains the steps: when a zone is left, what share of the routers uses it again, and whose decision counts. A
// zone must never be left for trouble that is everywhere or for a single node, nor changed while operators hold it.

import "math"

// followsHolder tells whether a holder's word sets the pace of the steps, which needs a recent one.
func (m *Monitor) followsHolder(now float64) bool {
	return !m.isHolder && now-m.wordAt < max(wordTTL, m.config.Every*maxMissedWords)
}

// evaluate takes the next step of a zone if one is due. A router that sees a zone fail leaves it at once. The return is paced
// by the holder if its word had the zone left, and else by this router's own evidence.
func (m *Monitor) evaluate(z *zone, now float64) {
	if z.override != Auto {
		return
	}
	s := m.bestEvidence(z, now)
	if !z.isLeft && s.late+s.bad == 0 {
		return
	}
	other := m.evidenceElsewhere(z, s, now)
	if m.isHolder && z.isLeft && !z.forHolder && s.homes.several() {
		z.forHolder = true
		m.publishWord()
	}
	troubled := func(late bool) bool {
		return other.share(late) <= maxElsewhereShare*s.share(late) && now-z.stepAt > countsInterval
	}
	kind, share := Left, 0.0
	switch {
	case !z.isLeft:
		if !m.isFailing(z, s, other, now) {
			return
		}
		if z.flaps++; now-z.leftAt > flapMemory {
			z.flaps = 0
		}
		z.leftAt, z.fastShare, z.decidedLocally = now, 1, true
		m.counts.Leaves++
	case z.share > 0 && s.bad >= minFailedReturnBad && s.share(false) >= failedReturnShare && troubled(false):
		if z.leftAt = now; z.share >= minFlapShare {
			z.flaps++
		}
		z.decidedLocally = true
		m.counts.Leaves++
	case m.followsHolder(now) && !z.decidedLocally: // the holder decides on everything else
		return
	case z.share > 0 && s.late+s.bad >= minFailedReturnBad && s.share(true) >= lateReturnShare && troubled(true):
		if now-z.stepAt < stepInterval {
			return
		}
		kind, share = Slower, z.share/shareGrowth
		if z.fastShare = share; share < m.firstReturnShare() {
			kind, share, z.leftAt, z.fastShare = Left, 0, now, 1
			m.counts.Leaves++
		}
	case z.share == 0 && now-z.stepAt < min(maxLeftTime, minLeftTime*math.Pow(2, float64(z.flaps))):
		return
	case z.share > 0 && (now-z.stepAt < stepInterval || s.good < minStepGood && now-z.stepAt < maxStepWait):
		return
	case z.share >= 1:
		m.takeStep(z, Back, 1, s, other, now)
		return
	case z.share == 0:
		kind, share = Returning, m.firstReturnShare()
	case z.share >= z.fastShare:
		kind, share = Returning, min(1, z.share*carefulGrowth)
	default:
		kind, share = Returning, min(1, z.share*shareGrowth)
	}
	m.takeStep(z, kind, share, s, other, now)
}

// firstReturnShare is the share of the routers that return first.
func (m *Monitor) firstReturnShare() float64 {
	return min(1, max(minFirstShare, minFirstRouters/float64(m.config.Routers)))
}

// takeStep changes the share of a zone and records why.
func (m *Monitor) takeStep(z *zone, kind Kind, share float64, s, other evidence, now float64) {
	z.isLeft, z.share, z.stepAt = kind != Back, math.Round(share*shareSteps)/shareSteps, now
	if kind == Left {
		z.unlearn(now)
	}
	if kind == Back {
		z.decidedLocally, z.forHolder = false, false
		m.counts.Returns++
	} else {
		z.forHolder = z.forHolder || s.homes.several()
	}
	m.emit(z, Event{Kind: kind, Bad: s.bad, Late: s.late, Good: s.good, Voices: s.voices, Else: other.share(true)})
	m.updateDoubts(z, now)
	if m.isHolder {
		m.publishWord()
	}
}

// emit adds an event with the present share and order of the zone.
func (m *Monitor) emit(z *zone, e Event) {
	e.Zone, e.Share, e.Hand = z.name, z.share, z.override
	m.effects.Events = append(m.effects.Events, e)
}

// usesZone tells whether this router is among those that use a zone. The order in which routers return is the same at all
// routers, and differs from zone to zone.
func (m *Monitor) usesZone(z *zone) bool {
	return !z.isLeft || float64(z.returnRank) < z.share*float64(m.config.Routers)
}

// updateDoubts has the splitter prefer other zones while this router does not use this one, and ends that once it does.
func (m *Monitor) updateDoubts(z *zone, now float64) {
	z.renewAt = now + renewInterval
	until, was := now, z.isDoubted
	if z.isDoubted = !m.usesZone(z); z.isDoubted {
		until = now + doubtTime
	} else if !was { // the doubts have ended already
		return
	}
	for _, n := range z.nodes {
		m.effects.Doubts = append(m.effects.Doubts, Doubt{n.id, until})
	}
}

// isWatched tells whether Step has to handle a zone: it is left or returning, or all routers returned to it just now.
func (z *zone) isWatched() bool { return z.isLeft || z.renewAt < z.stepAt+probeAfterReturn }

// Next returns the time at which Step is due.
func (m *Monitor) Next() float64 {
	next := math.Inf(1)
	for _, z := range m.sortedZones {
		if z.isWatched() {
			next = min(next, z.renewAt)
		}
	}
	for _, w := range m.pending {
		next = min(next, w.next)
	}
	return next
}

// Step does all that is due: it sends pending orders, and renews doubts, probes and counts of zones that are left.
func (m *Monitor) Step(now float64) {
	m.sendPendingOrders(now)
	for _, z := range m.sortedZones {
		if now < z.renewAt || !z.isWatched() {
			continue
		}
		z.renewAt = now + renewInterval
		if m.usesZone(z) {
			m.requestProbes(z, now)
		}
		m.evaluate(z, now)
		if z.isLeft {
			m.updateDoubts(z, now)
			if z.lastCountsMatter || z.share > 0 {
				m.sendCounts(z, now)
			}
		}
	}
}

// requestProbes has routers that return probe the nodes that they haven't used of late, each router with its even part of the
// probes that a node bears. Whether a replica is fresh enough to be read from is known only from its answers, so one that
// nobody uses would hardly be used again, whatever its zone's share. A zone that gets its even part of this router's
// submissions needs no probes: they would attract more than that.
func (m *Monitor) requestProbes(z *zone, now float64) {
	mine, all, nodes := m.ownEvidence(z, now), evidence{}, 0
	for _, o := range m.sortedZones {
		all.add(m.ownEvidence(o, now))
		nodes += len(o.nodes)
	}
	if all.total() > 0 && mine.total()*nodes >= all.total()*len(z.nodes) {
		return
	}
	users := max(1, z.share*float64(m.config.Routers))
	z.probeCredit = min(z.probeCredit+renewInterval*nodeProbeRate*float64(len(z.nodes))/users, float64(len(z.nodes)))
	for range z.nodes {
		if z.probeCredit < 1 {
			return
		}
		z.lastProbed = (z.lastProbed + 1) % len(z.nodes)
		if n := z.nodes[z.lastProbed]; n.seen.sum(now) == ([outcomes]int{}) {
			z.probeCredit--
			m.counts.Looks++
			m.effects.Looks = append(m.effects.Looks, n.id)
		}
	}
}

// updatePeak updates the highest rate of good answers of a zone at this router while under a tenth were late or bad.
func (z *zone) updatePeak(now float64) {
	if now-z.peakAt < window/windowParts {
		return
	}
	var s evidence
	for _, n := range z.nodes {
		x := n.seen.sum(now)
		s.good, s.late, s.bad = s.good+x[good], s.late+x[late], s.bad+x[bad]
	}
	z.peakRate *= math.Pow(0.5, (now-z.peakAt)/peakHalfLife)
	z.peakAt = now
	if s.share(true) < 0.1 {
		z.peakRate = max(z.peakRate, float64(s.good)/window)
	}
}
