package zone

// This file contains what one router decides for all: the holder's word with the steps and operators' orders. An older order
// must never replace a newer one, whoever the holder is.

import (
	"errors"
	"fmt"
	"slices"
)

// pendingOrder is an order that this router was asked for and that no word has confirmed yet.
type pendingOrder struct {
	zone  *zone
	what  Override
	base  uint64 // number of the order that it replaces
	next  float64
	until float64
}

// SetHolder says whether this router is the holder, which numbers the steps, from now on. The token rises with every holder.
func (m *Monitor) SetHolder(on bool, token uint64, now float64) {
	m.isHolder, m.token, m.ordersNumbered = on, token, 0
	if on {
		m.holder = m.config.Me
		m.publishWord()
	}
}

// publishWord makes the holder's new word: all zones that routers of several zones have left, and those with orders.
func (m *Monitor) publishWord() {
	var entries []wordEntry
	for _, z := range m.sortedZones {
		if z.orderNumber > 0 || z.isLeft && z.forHolder {
			share := 1.0
			if z.isLeft {
				share = z.share
			}
			entries = append(entries, wordEntry{z.key, share, z.override, z.orderNumber})
		}
	}
	// Orders come first, as they are stored nowhere else. For a zone without room in the word, each router decides for itself.
	slices.SortStableFunc(entries, func(a, b wordEntry) int { return entryRank(a) - entryRank(b) })
	m.effects.Word = formatWord(entries[:min(maxWordEntries, len(entries))])
	m.counts.Words++
}

// entryRank orders the entries of a word: orders that stand, zones that are left, and then orders that are over.
func entryRank(s wordEntry) int {
	switch {
	case s.hand != Auto:
		return 0
	case s.share < 1:
		return 1
	}
	return 2
}

// Obey applies a word of the holder. A malformed word is an error and changes nothing.
func (m *Monitor) Obey(from int, text string, now float64) error {
	entries, err := parseWord(text)
	if err != nil || from == m.config.Me {
		return err
	}
	m.holder, m.wordAt = from, now
	for _, x := range entries {
		m.zone(x.key, "")
	}
	for _, z := range m.sortedZones {
		x := wordEntry{key: z.key, share: 1}
		if i := slices.IndexFunc(entries, func(s wordEntry) bool { return s.key == z.key }); i >= 0 {
			x = entries[i]
		}
		switch {
		case x.number > z.orderNumber:
			m.recordOrder(z, x.hand, x.number)
		case x.number < z.orderNumber: // the holder does not know of this order
			if len(entries) < maxWordEntries || z.override != Auto { // a full word leaves out orders that are over
				w := orderRequest{Number: z.orderNumber, What: uint8(z.override)}
				m.send(from, kindOrder, &w.head, &w, z, now)
			}
			continue
		}
		m.applyEntry(z, x, now)
	}
	return nil
}

// applyEntry sets a zone's share to that of the word. This router's own evidence may be a little ahead of the word. A zone that
// was left only by its own decision, as where the network from its own zone to that one is cut, stays its own matter.
func (m *Monitor) applyEntry(z *zone, x wordEntry, now float64) {
	z.forHolder = z.forHolder || x.share < 1 // if this router is the next holder, it goes on with the steps from here
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

// recordOrder stores an order and its number.
func (m *Monitor) recordOrder(z *zone, what Override, number uint64) {
	z.override, z.orderNumber = what, number
	m.emit(z, Event{Kind: Ordered})
}

// executeOrder carries out an order at the holder.
func (m *Monitor) executeOrder(z *zone, what Override, number uint64, now float64) {
	m.recordOrder(z, what, number)
	switch {
	case what == Leave:
		z.isLeft, z.share, z.stepAt, z.forHolder, z.decidedLocally = true, 0, now, true, true
	case what == Auto && z.isLeft: // the first routers return at the next evaluation
		z.stepAt, z.flaps, z.fastShare = now-minLeftTime, 0, 1
	}
	m.updateDoubts(z, now)
	m.publishWord()
}

// nextOrderNumber returns a number above those of all earlier orders and holders.
func (m *Monitor) nextOrderNumber() uint64 {
	m.ordersNumbered++
	return m.token<<12 + m.ordersNumbered
}

// Order gives an operator's order for all routers. It takes effect once a word of the holder contains it (see States), and is
// given up after some seconds without that, as where no router becomes the holder.
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

// countOverrides counts the zones that operators have ordered to be left or held.
func (m *Monitor) countOverrides() (n int) {
	for _, z := range m.sortedZones {
		if z.override != Auto {
			n++
		}
	}
	return n
}

// sendPendingOrders sends the orders that no word has confirmed yet, and drops those that are confirmed or too old.
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
		} else if m.holder >= 0 { // without a holder, the order waits for the first word
			m.counts.Wishes++
			x := orderRequest{Number: w.base, What: uint8(w.what)}
			m.send(m.holder, kindOrder, &x.head, &x, w.zone, now)
		}
	}
}

// receiveOrder carries out an order from a peer if this router is the holder.
func (m *Monitor) receiveOrder(w *orderRequest, now float64) {
	z := m.zones[w.Zone]
	if !m.isHolder || w.What > uint8(Hold) {
		return
	}
	switch what := Override(w.What); {
	case z == nil:
	case w.Number > z.orderNumber: // an order of an earlier holder, unknown here so far
		m.executeOrder(z, what, w.Number, now)
	case w.Number == z.orderNumber && (what != z.override || what == Auto && z.isLeft):
		m.executeOrder(z, what, m.nextOrderNumber(), now)
	}
}

// States returns the state of every zone.
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

// EstimateLeave compares the load of a zone with what the others were seen to bear, for an operator who is about to order that it
// be left. It returns false if there is no such zone.
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
