package lease

// This file owns the timing of one that is after a seat: when to ask, how long to stand back. It must never ask on without an end
// where no quorum answers.

import "slices"

// round asks all members, and sets when to do so again.
func (b *Book) round(s *seat, now float64) {
	span := b.terms.Span
	held := s.claim.holds(now, b.g)
	if !held && s.task.Standing && s.handed < now && s.misses == 0 && b.place(s) >= places {
		if back := b.standBack(s, now); back > 0 {
			s.next = now + back
			return
		}
	}
	if s.gift > 0 && now >= s.handed && !held {
		b.end(s, -1, now)
		return
	}
	if s.since == 0 {
		s.since = now
	}
	if !held && now-max(s.since, s.claim.heard()) > span {
		b.retreat(s, now)
		return
	}
	if blocked, until := s.claim.blocked(now); !held && blocked && s.handed < now {
		b.yield(s, until, now)
		return
	}
	if !held && !b.affords(len(s.members)*headBytes, now) {
		b.counted.Delayed++
		s.next = now + span/asksIn
		return
	}
	for i, r := range s.members {
		if r != b.terms.Me {
			a := s.claim.ask(i, now)
			b.counted.Asks++
			b.say(r, s, message{Kind: ask, At: a.at, Token: a.token, Serial: a.serial}, now)
		}
	}
	s.misses++
	switch {
	case s.claim.holds(now, b.g):
		s.next = now + span/renewals
	case now < s.handed:
		s.next = now + hurried
	default:
		s.next = now + span/max(slowest, asksIn/float64(max(1, s.misses-2)))
	}
	if i := slices.Index(s.members, b.terms.Me); i >= 0 { // last, for it may end the round
		b.answered(s, i, s.mine.asked(s.claim.ask(i, now), now, span, b.g), now)
	}
}

// yield stands back from a seat that others have been granted: our own grants only keep it from them. Of several slots
// the next one is tried.
func (b *Book) yield(s *seat, until, now float64) {
	for _, i := range s.claim.release(now) {
		b.say(s.members[i], s, message{Kind: release, At: now, Who: noOne}, now)
	}
	// Each waits by its place, and a little by chance: of two who have met once one comes first the next time.
	span := b.terms.Span
	s.next = until + span*stagger*(0.1+float64(min(b.place(s), 2*places))+b.rng.Float64())
	s.misses, s.since = 0, 0
	if k := s.task; len(k.seats) > 1 {
		s.asking = false
		k.trying = (s.slot + 1) % len(k.seats)
		other := k.seats[k.trying]
		if !other.asking {
			other.asking, other.misses = true, 0
			other.next = now + span*stagger*b.rng.Float64()
			if now < other.backed {
				other.next = s.next // each of them is taken
			}
		}
		s.backed = s.next
	}
}

// retreat stands back, longer each time, from a seat on which no quorum answers: perhaps our questions arrive and only the
// answers don't, and then they keep it from all others.
func (b *Book) retreat(s *seat, now float64) {
	s.claim.release(now)
	for _, r := range s.members {
		b.say(r, s, message{Kind: release, At: now, Who: noOne}, now)
	}
	s.misses, s.since = 0, 0
	s.retreats = min(s.retreats+1, mostRetreat)
	s.next = now + b.terms.Span*float64(s.retreats)*(1+b.rng.Float64())
}

// answered takes a member's answer.
func (b *Book) answered(s *seat, i int, a granting, now float64) {
	if a.to != b.me {
		return
	}
	if s.misses = 0; s.claim.heard() >= s.since {
		s.retreats = 0
	}
	if !a.granted && a.holder.router != b.terms.Me && a.left > 0 && a.holder.life != 0 {
		s.heard = now
	}
	chosen := s.claim.token
	s.claim.answered(i, a, now, b.hold, b.g)
	if s.claim.token != 0 && s.claim.token != chosen {
		s.next = now // have it noted
	}
	if blocked, until := s.claim.blocked(now); blocked && s.asking && !s.claim.holds(now, b.g) {
		if now < s.handed {
			s.next = min(s.next, now+hurried)
		} else {
			b.yield(s, until, now)
		}
	}
	b.look(s, now)
	if s.was && s.next > now+b.terms.Span/renewals {
		s.next = now + b.terms.Span/renewals
	}
}
