package zone

// This file owns what one router says for all: the holder's word with the steps and operators' orders. It must never put an
// older order in the place of a newer one, whoever holds.

import (
	"errors"
	"fmt"
	"slices"
)

// wanted is an order that this router was asked for and that no word has shown yet.
type pendingOrder struct {
	zone  *zone
	what  Override
	base  uint64 // the order that it follows
	next  float64
	until float64
}

// SetHolder says whether this router numbers the steps from now on, under a token that rises with every holder.
func (m *Monitor) SetHolder(on bool, token uint64, now float64) {
	m.isHolder, m.token, m.ordersNumbered = on, token, 0
	if on {
		m.holder = m.config.Me
		m.publishWord()
	}
}

// say has the holder's word told: all zones that are out for several zones' routers, or that orders stand for.
func (m *Monitor) publishWord() {
	var all []wordEntry
	for _, z := range m.sortedZones {
		if z.orderNumber > 0 || z.isLeft && z.forHolder {
			share := 1.0
			if z.isLeft {
				share = z.share
			}
			all = append(all, wordEntry{z.key, share, z.override, z.orderNumber})
		}
	}
	// Orders first: they are nowhere else. A zone that finds no room is left by each for itself.
	slices.SortStableFunc(all, func(a, b wordEntry) int { return entryRank(a) - entryRank(b) })
	m.effects.Word = formatWord(all[:min(maxWordEntries, len(all))])
	m.counts.Words++
}

func entryRank(s wordEntry) int {
	switch {
	case s.hand != Auto:
		return 0
	case s.share < 1:
		return 1
	}
	return 2
}

// Obey takes a word of a holder that is to be obeyed.
func (m *Monitor) Obey(from int, text string, now float64) error {
	all, err := parseWord(text)
	if err != nil || from == m.config.Me {
		return err
	}
	m.holder, m.wordAt = from, now
	for _, x := range all {
		m.zone(x.key, "")
	}
	for _, z := range m.sortedZones {
		x := wordEntry{key: z.key, share: 1}
		if i := slices.IndexFunc(all, func(s wordEntry) bool { return s.key == z.key }); i >= 0 {
			x = all[i]
		}
		switch {
		case x.number > z.orderNumber:
			m.recordOrder(z, x.hand, x.number)
		case x.number < z.orderNumber: // it does not know of our order
			if len(all) < maxWordEntries || z.override != Auto { // a full word leaves out what is over
				w := orderRequest{Number: z.orderNumber, What: uint8(z.override)}
				m.send(from, kindOrder, &w.head, &w, z, now)
			}
			continue
		}
		m.applyEntry(z, x, now)
	}
	return nil
}

// follow has a zone's share as the word says. Own evidence may be ahead of it by a little; and what only our own sums say,
// as where the way there from our zone is cut, stays ours.
func (m *Monitor) applyEntry(z *zone, x wordEntry, now float64) {
	z.forHolder = z.forHolder || x.share < 1 // so the holder saw it: if we number the steps next, they go on from there
	switch {
	case x.share >= 1 && (!z.isLeft || z.decidedLocally && z.override == Auto):
		return
	case x.share < 1 && z.isLeft && z.decidedLocally && z.share < x.share && now-z.stepAt < maxLead && z.override == Auto:
		return
	case x.share < 1 && z.isLeft && z.share == x.share:
		z.decidedLocally = false
		return
	}
	kind := Returning
	switch {
	case x.share >= 1:
		kind = Back
		m.counts.Returns++
	case x.share < z.share && x.share > 0 && z.isLeft:
		kind = Slower
	case x.share < z.share || !z.isLeft:
		kind = Left
		m.counts.Leaves++
	}
	z.isLeft, z.share, z.stepAt, z.decidedLocally = x.share < 1, x.share, now, false
	switch kind {
	case Left:
		z.leftAt = now
		z.unlearn(now)
	case Back:
		z.forHolder = false
	}
	m.emit(z, Event{Kind: kind, Told: true})
	m.updateDoubts(z, now)
}

// takes notes an order and its number.
func (m *Monitor) recordOrder(z *zone, what Override, number uint64) {
	z.override, z.orderNumber = what, number
	m.emit(z, Event{Kind: Ordered})
}

// rule carries an order out, at the holder.
func (m *Monitor) executeOrder(z *zone, what Override, number uint64, now float64) {
	m.recordOrder(z, what, number)
	switch {
	case what == Leave:
		z.isLeft, z.share, z.stepAt, z.forHolder, z.decidedLocally = true, 0, now, true, true
	case what == Auto && z.isLeft: // the first ones return with the next look
		z.stepAt, z.flaps, z.fastShare = now-minLeftTime, 0, 1
	}
	m.updateDoubts(z, now)
	m.publishWord()
}

// number is one that is above that of any earlier holder.
func (m *Monitor) nextOrderNumber() uint64 {
	m.ordersNumbered++
	return m.token<<12 + m.ordersNumbered
}

// Order asks for something by hand, for all. It takes effect once a holder's word has shown it (States); after some seconds
// without that, as where nobody comes to number the steps, it is given up.
func (m *Monitor) Order(name string, what Override, now float64) error {
	z := m.zones[hash(name)]
	switch {
	case z == nil || z.name != name:
		return fmt.Errorf("%q is no zone of the list", name)
	case z.override == what && (what != Auto || !z.isLeft):
		return nil
	case what != Auto && z.override == Auto && m.countOverrides() >= maxWordEntries:
		return fmt.Errorf("orders stand for %d zones already: a word has room for no more", maxWordEntries)
	case m.isHolder:
		m.executeOrder(z, what, m.nextOrderNumber(), now)
		return nil
	case m.config.Every == 0:
		return errors.New("no router numbers the steps here (zones.steps is off): orders for all need one")
	}
	m.pending = slices.DeleteFunc(m.pending, func(w *pendingOrder) bool { return w.zone == z })
	m.pending = append(m.pending, &pendingOrder{z, what, z.orderNumber, now, now + orderTimeout})
	m.sendPendingOrders(now)
	return nil
}

// ordersStand counts the zones that are left or held by hand.
func (m *Monitor) countOverrides() (n int) {
	for _, z := range m.sortedZones {
		if z.override != Auto {
			n++
		}
	}
	return n
}

// urge sends the orders that no word has shown yet.
func (m *Monitor) sendPendingOrders(now float64) {
	m.pending = slices.DeleteFunc(m.pending, func(w *pendingOrder) bool {
		return now >= w.until || w.zone.orderNumber > w.base && w.zone.override == w.what
	})
	for _, w := range m.pending {
		if now < w.next {
			continue
		}
		w.next, w.base = now+orderRetryInterval, w.zone.orderNumber
		if m.isHolder {
			m.executeOrder(w.zone, w.what, m.nextOrderNumber(), now)
		} else if m.holder >= 0 { // else it waits for the first to be heard
			m.counts.Wishes++
			x := orderRequest{Number: w.base, What: uint8(w.what)}
			m.send(m.holder, kindOrder, &x.head, &x, w.zone, now)
		}
	}
}

// asked takes an order from a peer, where we hold.
func (m *Monitor) receiveOrder(w *orderRequest, now float64) {
	z := m.zones[w.Zone]
	if !m.isHolder || w.What > uint8(Hold) {
		return
	}
	switch what := Override(w.What); {
	case z == nil:
	case w.Number > z.orderNumber: // an earlier holder's order that we had not heard of
		m.executeOrder(z, what, w.Number, now)
	case w.Number == z.orderNumber && (what != z.override || what == Auto && z.isLeft):
		m.executeOrder(z, what, m.nextOrderNumber(), now)
	}
}

// States tells the zones.
func (m *Monitor) States(now float64) (out []State) {
	holder := -1
	if m.isHolder || m.followsHolder(now) {
		holder = m.holder
	}
	for _, z := range m.sortedZones {
		s := m.bestEvidence(z, now)
		out = append(out, State{Zone: z.name, Nodes: len(z.nodes), Share: z.share, Uses: m.usesZone(z), Bad: s.bad, Late: s.late, Good: s.good, Voices: s.voices,
			Flaps: z.flaps, Hand: z.override.String(), Number: z.orderNumber, Told: z.isLeft && !z.decidedLocally, Holder: holder})
	}
	return out
}

// EstimateLeave tells what is known of the others before a zone is left by hand; false: there is no such zone.
func (m *Monitor) EstimateLeave(name string, now float64) (out LeaveEstimate, ok bool) {
	left := m.zones[hash(name)]
	if left == nil || left.name != name {
		return out, false
	}
	out.Zone, out.Stays = name, []int{}
	elsewhere := map[int]bool{}
	for _, z := range m.sortedZones {
		own := m.ownEvidence(z, now)
		rate := float64(own.total()) / window
		out.Now += rate
		if z == left {
			out.Moves = rate
			continue
		}
		z.updatePeak(now)
		out.Seen += z.peakRate
		for _, n := range z.nodes {
			elsewhere[n.group] = true
		}
	}
	for _, n := range left.nodes {
		if !elsewhere[n.group] && !slices.Contains(out.Stays, n.group) {
			out.Stays = append(out.Stays, n.group)
		}
	}
	slices.Sort(out.Stays)
	return out, true
}
