package zone

// This file owns the steps: when a zone is left, what share of the routers uses it again, and whose word on that counts. It
// must never leave a zone for what happens everywhere, nor for one node, nor move one that operators hold.

import "math"

// follows tells whether a holder's word paces the steps: one that was heard of late.
func (b *Monitor) follows(now float64) bool {
	return !b.holds && now-b.heard < max(wordFresh, b.terms.Every*wordsLost)
}

// weigh looks whether a zone's step is due. Whoever sees that a zone fails leaves it at once. How it returns is the holder's
// to say where its word had it left, or else by our own sums.
func (b *Monitor) weigh(z *zone, now float64) {
	if z.hand != Auto {
		return
	}
	s := b.sees(z, now)
	if !z.out && s.late+s.bad == 0 {
		return
	}
	other := b.elsewhere(z, s, now)
	if b.holds && z.out && !z.wide && s.homes.several() {
		z.wide = true
		b.say()
	}
	troubled := func(late bool) bool { return other.share(late) <= elseShare*s.share(late) && now-z.since > tellEvery }
	kind, share := Left, 0.0
	switch {
	case !z.out:
		if !b.ill(z, s, other, now) {
			return
		}
		if z.flaps++; now-z.failed > calm {
			z.flaps = 0
		}
		z.failed, z.most, z.alone = now, 1, true
		b.counted.Leaves++
	case z.share > 0 && s.bad >= failedBad && s.share(false) >= failedBack && troubled(false):
		if z.failed = now; z.share >= flapShare {
			z.flaps++
		}
		z.alone = true
		b.counted.Leaves++
	case b.follows(now) && !z.alone: // the rest is the holder's to say
		return
	case z.share > 0 && s.late+s.bad >= failedBad && s.share(true) >= lateBack && troubled(true):
		if now-z.since < stepEvery {
			return
		}
		kind, share = Slower, z.share/growth
		if z.most = share; share < b.first() {
			kind, share, z.failed, z.most = Left, 0, now, 1
			b.counted.Leaves++
		}
	case z.share == 0 && now-z.since < min(stayMost, stay*math.Pow(2, float64(z.flaps))):
		return
	case z.share > 0 && (now-z.since < stepEvery || s.good < stepGood && now-z.since < stepWait):
		return
	case z.share >= 1:
		b.step(z, Back, 1, s, other, now)
		return
	case z.share == 0:
		kind, share = Returning, b.first()
	case z.share >= z.most:
		kind, share = Returning, min(1, z.share*careful)
	default:
		kind, share = Returning, min(1, z.share*growth)
	}
	b.step(z, kind, share, s, other, now)
}

// first is the share that returns first.
func (b *Monitor) first() float64 {
	return min(1, max(firstShare, firstLooks/float64(b.terms.Routers)))
}

// step takes one.
func (b *Monitor) step(z *zone, kind Kind, share float64, s, other sight, now float64) {
	z.out, z.share, z.since = kind != Back, math.Round(share*shareParts)/shareParts, now
	if kind == Left {
		z.unlearn(now)
	}
	if kind == Back {
		z.alone, z.wide = false, false
		b.counted.Returns++
	} else {
		z.wide = z.wide || s.homes.several()
	}
	b.happened(z, Event{Kind: kind, Bad: s.bad, Late: s.late, Good: s.good, Voices: s.voices, Else: other.share(true)})
	b.doubt(z, now)
	if b.holds {
		b.say()
	}
}

func (b *Monitor) happened(z *zone, e Event) {
	e.Zone, e.Share, e.Hand = z.name, z.share, z.hand
	b.out.Events = append(b.out.Events, e)
}

// uses tells whether this router is among those that use a zone: the order is the same at all, and another for each zone.
func (b *Monitor) uses(z *zone) bool {
	return !z.out || float64(z.place) < z.share*float64(b.terms.Routers)
}

// doubt has the splitter prefer other zones, or ends that.
func (b *Monitor) doubt(z *zone, now float64) {
	z.renew = now + renewEach
	until, was := now, z.doubted
	if z.doubted = !b.uses(z); z.doubted {
		until = now + doubtFor
	} else if !was { // it has ended already
		return
	}
	for _, n := range z.nodes {
		b.out.Doubts = append(b.out.Doubts, Doubt{n.id, until})
	}
}

// looksOn tells whether a zone is looked at: it is out, or was returned to just now.
func (z *zone) looksOn() bool { return z.out || z.renew < z.since+settling }

// Next is when Step is due.
func (b *Monitor) Next() float64 {
	next := math.Inf(1)
	for _, z := range b.order {
		if z.looksOn() {
			next = min(next, z.renew)
		}
	}
	for _, w := range b.wishes {
		next = min(next, w.next)
	}
	return next
}

// Step does what is due.
func (b *Monitor) Step(now float64) {
	b.urge(now)
	for _, z := range b.order {
		if now < z.renew || !z.looksOn() {
			continue
		}
		z.renew = now + renewEach
		if b.uses(z) {
			b.look(z, now)
		}
		b.weigh(z, now)
		if z.out {
			b.doubt(z, now)
			if z.loud || z.share > 0 {
				b.tell(z, now)
			}
		}
	}
}

// look has routers that return probe nodes that they have not used of late, each its even part of what nodes bear. Whether a
// replica may be read from is known from its answers, and one that nobody uses gives none: it would hardly be used again,
// whatever its zone's share. One that has its even part of this router's submissions needs no looks: they would draw more.
func (b *Monitor) look(z *zone, now float64) {
	mine, all, nodes := b.own(z, now), sight{}, 0
	for _, o := range b.order {
		all.add(b.own(o, now))
		nodes += len(o.nodes)
	}
	if all.all() > 0 && mine.all()*nodes >= all.all()*len(z.nodes) {
		return
	}
	users := max(1, z.share*float64(b.terms.Routers))
	z.looks = min(z.looks+renewEach*lookRate*float64(len(z.nodes))/users, float64(len(z.nodes)))
	for range z.nodes {
		if z.looks < 1 {
			return
		}
		z.looked = (z.looked + 1) % len(z.nodes)
		if n := z.nodes[z.looked]; n.seen.sum(now) == ([outcomes]int{}) {
			z.looks--
			b.counted.Looks++
			b.out.Looks = append(b.out.Looks, n.id)
		}
	}
}

// bears notes how much a zone was seen to give here while all was well with it.
func (z *zone) bears(now float64) {
	if now-z.peakAt < window/slots {
		return
	}
	var s sight
	for _, n := range z.nodes {
		x := n.seen.sum(now)
		s.good, s.late, s.bad = s.good+x[good], s.late+x[late], s.bad+x[bad]
	}
	z.peak *= math.Pow(0.5, (now-z.peakAt)/peakFor)
	z.peakAt = now
	if s.share(true) < 0.1 {
		z.peak = max(z.peak, float64(s.good)/window)
	}
}
