package zone

// This file owns what one router says for all: the holder's word with the steps and operators' orders. It must never put an
// older order in the place of a newer one, whoever holds.

import (
	"errors"
	"fmt"
	"slices"
)

// wanted is an order that this router was asked for and that no word has shown yet.
type wanted struct {
	zone  *zone
	what  Override
	base  uint64 // the order that it follows
	next  float64
	until float64
}

// SetHolder says whether this router numbers the steps from now on, under a token that rises with every holder.
func (b *Monitor) SetHolder(on bool, token uint64, now float64) {
	b.holds, b.token, b.ordered = on, token, 0
	if on {
		b.leader = b.terms.Me
		b.say()
	}
}

// say has the holder's word told: all zones that are out for several zones' routers, or that orders stand for.
func (b *Monitor) say() {
	var all []said
	for _, z := range b.order {
		if z.number > 0 || z.out && z.wide {
			share := 1.0
			if z.out {
				share = z.share
			}
			all = append(all, said{z.key, share, z.hand, z.number})
		}
	}
	// Orders first: they are nowhere else. A zone that finds no room is left by each for itself.
	slices.SortStableFunc(all, func(a, b said) int { return rankSaid(a) - rankSaid(b) })
	b.out.Word = formatWord(all[:min(mostSaid, len(all))])
	b.counted.Words++
}

func rankSaid(s said) int {
	switch {
	case s.hand != Auto:
		return 0
	case s.share < 1:
		return 1
	}
	return 2
}

// Obey takes a word of a holder that is to be obeyed.
func (b *Monitor) Obey(from int, text string, now float64) error {
	all, err := parseWord(text)
	if err != nil || from == b.terms.Me {
		return err
	}
	b.leader, b.heard = from, now
	for _, x := range all {
		b.zone(x.key, "")
	}
	for _, z := range b.order {
		x := said{key: z.key, share: 1}
		if i := slices.IndexFunc(all, func(s said) bool { return s.key == z.key }); i >= 0 {
			x = all[i]
		}
		switch {
		case x.number > z.number:
			b.takes(z, x.hand, x.number)
		case x.number < z.number: // it does not know of our order
			if len(all) < mostSaid || z.hand != Auto { // a full word leaves out what is over
				w := wish{Number: z.number, What: uint8(z.hand)}
				b.send(from, kindWish, &w.head, &w, z, now)
			}
			continue
		}
		b.follow(z, x, now)
	}
	return nil
}

// follow has a zone's share as the word says. Own evidence may be ahead of it by a little; and what only our own sums say,
// as where the way there from our zone is cut, stays ours.
func (b *Monitor) follow(z *zone, x said, now float64) {
	z.wide = z.wide || x.share < 1 // so the holder saw it: if we number the steps next, they go on from there
	switch {
	case x.share >= 1 && (!z.out || z.alone && z.hand == Auto):
		return
	case x.share < 1 && z.out && z.alone && z.share < x.share && now-z.since < ahead && z.hand == Auto:
		return
	case x.share < 1 && z.out && z.share == x.share:
		z.alone = false
		return
	}
	kind := Returning
	switch {
	case x.share >= 1:
		kind = Back
		b.counted.Returns++
	case x.share < z.share && x.share > 0 && z.out:
		kind = Slower
	case x.share < z.share || !z.out:
		kind = Left
		b.counted.Leaves++
	}
	z.out, z.share, z.since, z.alone = x.share < 1, x.share, now, false
	switch kind {
	case Left:
		z.failed = now
		z.unlearn(now)
	case Back:
		z.wide = false
	}
	b.happened(z, Event{Kind: kind, Told: true})
	b.doubt(z, now)
}

// takes notes an order and its number.
func (b *Monitor) takes(z *zone, what Override, number uint64) {
	z.hand, z.number = what, number
	b.happened(z, Event{Kind: Ordered})
}

// rule carries an order out, at the holder.
func (b *Monitor) rule(z *zone, what Override, number uint64, now float64) {
	b.takes(z, what, number)
	switch {
	case what == Leave:
		z.out, z.share, z.since, z.wide, z.alone = true, 0, now, true, true
	case what == Auto && z.out: // the first ones return with the next look
		z.since, z.flaps, z.most = now-stay, 0, 1
	}
	b.doubt(z, now)
	b.say()
}

// number is one that is above that of any earlier holder.
func (b *Monitor) number() uint64 {
	b.ordered++
	return b.token<<12 + b.ordered
}

// Order asks for something by hand, for all. It takes effect once a holder's word has shown it (States); after some seconds
// without that, as where nobody comes to number the steps, it is given up.
func (b *Monitor) Order(name string, what Override, now float64) error {
	z := b.zones[hash(name)]
	switch {
	case z == nil || z.name != name:
		return fmt.Errorf("%q is no zone of the list", name)
	case z.hand == what && (what != Auto || !z.out):
		return nil
	case what != Auto && z.hand == Auto && b.ordersStand() >= mostSaid:
		return fmt.Errorf("orders stand for %d zones already: a word has room for no more", mostSaid)
	case b.holds:
		b.rule(z, what, b.number(), now)
		return nil
	case b.terms.Every == 0:
		return errors.New("no router numbers the steps here (zones.steps is off): orders for all need one")
	}
	b.wishes = slices.DeleteFunc(b.wishes, func(w *wanted) bool { return w.zone == z })
	b.wishes = append(b.wishes, &wanted{z, what, z.number, now, now + wishFor})
	b.urge(now)
	return nil
}

// ordersStand counts the zones that are left or held by hand.
func (b *Monitor) ordersStand() (n int) {
	for _, z := range b.order {
		if z.hand != Auto {
			n++
		}
	}
	return n
}

// urge sends the orders that no word has shown yet.
func (b *Monitor) urge(now float64) {
	b.wishes = slices.DeleteFunc(b.wishes, func(w *wanted) bool { return now >= w.until || w.zone.number > w.base && w.zone.hand == w.what })
	for _, w := range b.wishes {
		if now < w.next {
			continue
		}
		w.next, w.base = now+wishEach, w.zone.number
		if b.holds {
			b.rule(w.zone, w.what, b.number(), now)
		} else if b.leader >= 0 { // else it waits for the first to be heard
			b.counted.Wishes++
			x := wish{Number: w.base, What: uint8(w.what)}
			b.send(b.leader, kindWish, &x.head, &x, w.zone, now)
		}
	}
}

// asked takes an order from a peer, where we hold.
func (b *Monitor) asked(w *wish, now float64) {
	z := b.zones[w.Zone]
	if !b.holds || w.What > uint8(Hold) {
		return
	}
	switch what := Override(w.What); {
	case z == nil:
	case w.Number > z.number: // an earlier holder's order that we had not heard of
		b.rule(z, what, w.Number, now)
	case w.Number == z.number && (what != z.hand || what == Auto && z.out):
		b.rule(z, what, b.number(), now)
	}
}

// States tells the zones.
func (b *Monitor) States(now float64) (out []State) {
	holder := -1
	if b.holds || b.follows(now) {
		holder = b.leader
	}
	for _, z := range b.order {
		s := b.sees(z, now)
		out = append(out, State{Zone: z.name, Nodes: len(z.nodes), Share: z.share, Uses: b.uses(z), Bad: s.bad, Late: s.late, Good: s.good, Voices: s.voices,
			Flaps: z.flaps, Hand: z.hand.String(), Number: z.number, Told: z.out && !z.alone, Holder: holder})
	}
	return out
}

// EstimateLeave tells what is known of the others before a zone is left by hand; false: there is no such zone.
func (b *Monitor) EstimateLeave(name string, now float64) (out LeaveEstimate, ok bool) {
	left := b.zones[hash(name)]
	if left == nil || left.name != name {
		return out, false
	}
	out.Zone, out.Stays = name, []int{}
	elsewhere := map[int]bool{}
	for _, z := range b.order {
		own := b.own(z, now)
		rate := float64(own.all()) / window
		out.Now += rate
		if z == left {
			out.Moves = rate
			continue
		}
		z.bears(now)
		out.Seen += z.peak
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
