package lease

// This file owns datagrams: what comes is checked and handed to the part that it is for, what goes is counted. It must never take
// one of a router that goes by other routers.

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// affords tells whether so many bytes may be sent now. What keeps a lease alive is always sent: it is bounded by itself.
func (b *Book) affords(bytes int, now float64) bool {
	if b.terms.Bytes <= 0 {
		return true
	}
	b.room = min(b.terms.Bytes, b.room+(now-b.filled)*b.terms.Bytes)
	b.filled = now
	return b.room >= float64(bytes)
}

// say sends a datagram; what goes to ourselves is taken at once.
func (b *Book) say(to int, s *seat, m message, now float64) {
	m.From, m.Task, m.Life = uint16(b.terms.Me), s.key, b.terms.Life
	m.Routers, m.Former = uint16(b.terms.Routers), uint16(b.terms.Former)
	if to == b.terms.Me {
		b.take(to, s, &m, now)
		return
	}
	text := m.format()
	b.counted.Bytes += int64(len(text))
	b.room -= float64(len(text))
	b.out.Sends = append(b.out.Sends, Send{to, text})
}

// Take takes a datagram that came from the address of a peer, and tells whether it was one of ours.
func (b *Book) Take(from int, datagram []byte, now float64) bool {
	m, err := parse(datagram)
	if err != nil || int(m.From) != from || from == b.terms.Me || from >= mostRouter || math.IsNaN(m.At) || math.IsInf(m.At, 0) {
		b.counted.Spoilt++
		return false
	}
	b.counted.Taken++
	s := b.byKey[m.Task]
	if s == nil || !b.shares(int(m.Routers), int(m.Former)) {
		b.counted.Strange++
		return true
	}
	b.take(from, s, m, now)
	return true
}

// shares tells whether a sender goes by a set of routers that we go by, too: then a quorum of its councils and one of ours
// have a member in common.
func (b *Book) shares(routers, former int) bool {
	t := b.terms
	return routers == t.Routers || routers == t.Former || former > 0 && (former == t.Routers || former == t.Former)
}

// take hands a datagram to the part that its kind is for.
func (b *Book) take(from int, s *seat, m *message, now float64) {
	by := who{from, m.Life}
	switch m.Kind {
	case ask:
		b.takeAsk(by, s, m, now)
	case answer:
		b.takeAnswer(from, s, m, now)
	case release:
		b.takeRelease(by, s, m, now)
	case give:
		b.takeGift(s, m, now)
	case free:
		b.takeFree(s, now)
	case act:
		b.takeWord(by, s, m, now)
	case done:
		b.takeDone(from, s, m, now)
	case check:
		b.takeCheck(from, s, m, now)
	case checked:
		b.takeChecked(from, s, m, now)
	}
}

// takeAsk answers a candidate as a member.
func (b *Book) takeAsk(by who, s *seat, m *message, now float64) {
	if s.mine == nil {
		return
	}
	a := s.mine.asked(asking{by, m.At, m.Token, m.Serial}, now, b.terms.Span, b.g)
	if a.granted {
		b.counted.Grants++
	} else {
		b.counted.Refusals++
	}
	b.say(by.router, s, message{Kind: answer, At: a.at, Token: a.token, Other: m.Life, Serial: a.serial, Who: uint16(a.holder.router),
		WhoLife: a.holder.life, Left: float32(a.left), Yes: a.granted, Stored: a.stored}, now)
}

// takeAnswer takes a member's answer to our question, if it is one that can be.
func (b *Book) takeAnswer(from int, s *seat, m *message, now float64) {
	i := slices.Index(s.members, from)
	if i < 0 || math.IsNaN(float64(m.Left)) || m.Left < 0 || float64(m.Left) > 2*b.terms.Span {
		return
	}
	b.answered(s, i, granting{m.At, who{b.terms.Me, m.Other}, m.Yes, m.Stored, m.Serial, m.Token, who{int(m.Who), m.WhoLife},
		float64(m.Left)}, now)
}

// takeRelease takes back what was granted, and tells those who wait that they may ask.
func (b *Book) takeRelease(by who, s *seat, m *message, now float64) {
	if s.mine == nil {
		return
	}
	next := -1
	if m.Who != noOne {
		next = int(m.Who)
	}
	if s.mine.released(by, m.At, next, now, b.terms.Span, b.g) {
		for _, r := range s.mine.waits {
			if next < 0 || r == next {
				b.say(r, s, message{Kind: free}, now)
			}
		}
		s.mine.waits = nil
	}
}

// takeGift takes a task that its holder hands to us: we ask for it in a hurry for a while.
func (b *Book) takeGift(s *seat, m *message, now float64) {
	if s.task.Lent || s.claim.holds(now, b.g) {
		return
	}
	if !s.task.wanted {
		s.gift = m.Token
	}
	s.asking, s.misses, s.handed, s.next = true, 0, now+kept*b.terms.Span, now
}

// takeFree takes it that a seat we were refused is free: we ask again soon, by our place.
func (b *Book) takeFree(s *seat, now float64) {
	if s.asking && !s.claim.holds(now, b.g) && s.next > now {
		for i := range s.claim.votes {
			s.claim.votes[i].free = 0
		}
		s.next = min(s.next, now+b.terms.Span*stagger*float64(min(b.place(s), places))*b.rng.Float64())
	}
}

// takeWord takes a holder's word, and has it checked where it is not known to be the latest.
func (b *Book) takeWord(by who, s *seat, m *message, now float64) {
	s.heard = now
	if s.task.Lent {
		return
	}
	w := word{by: by, token: m.Token, number: m.Number, text: m.text, asks: m.Yes}
	nonce := b.nonce()
	switch s.fence.takes(w, now, nonce, b.g) {
	case obey:
		b.obey(s, w, now)
	case again:
		b.say(by.router, s, message{Kind: done, Token: w.token, Number: w.number, Other: m.Life, Yes: true}, now)
	case stale:
		b.counted.Stales++
		b.event(Event{Kind: Stale, Token: w.token, Holder: by.router, Number: w.number, Text: w.text}, s)
		b.say(by.router, s, message{Kind: done, Token: s.fence.now.token, Other: m.Life}, now)
	case unknown:
		for _, r := range s.members {
			b.counted.Checks++
			b.say(r, s, message{Kind: check, Other: nonce, Token: w.token, Who: uint16(by.router), WhoLife: m.Life}, now)
		}
	case waits:
	}
}

// nonce is a number that answers to a check must bring back: another for each check, and in each life.
func (b *Book) nonce() uint64 {
	b.nonces++
	var key [16]byte
	binary.BigEndian.PutUint64(key[:], b.terms.Life)
	binary.BigEndian.PutUint64(key[8:], b.nonces)
	return xxhash.Sum64(key[:])
}

// takeDone takes an answer to our word: it was obeyed, or a later token is known.
func (b *Book) takeDone(from int, s *seat, m *message, now float64) {
	switch {
	case m.Other != b.terms.Life:
	case !m.Yes:
		s.claim.raise(m.Token)
		s.next = now
		b.look(s, now)
	case m.Token == s.claim.token && m.Number >= s.fresh && s.obeyed != nil && from < max(b.terms.Routers, b.terms.Former):
		s.obeyed[from] = true
	}
}

// takeCheck tells as a member whether a token was noted.
func (b *Book) takeCheck(from int, s *seat, m *message, now float64) {
	if s.mine != nil {
		b.say(from, s, message{Kind: checked, Other: m.Other, Yes: s.mine.confirms(m.Token, who{int(m.Who), m.WhoLife})}, now)
	}
}

// takeChecked takes a member's answer on a word that we had checked, and obeys the word once enough agree.
func (b *Book) takeChecked(from int, s *seat, m *message, now float64) {
	if w, ok := s.fence.confirmed(from, m.Other, m.Yes, s.council, b.g); ok {
		b.obey(s, w, now)
	}
}

// obey hands a word to the host, and tells its holder where that asks to know.
func (b *Book) obey(s *seat, w word, now float64) {
	if w.number == 1 {
		s.changes++
	}
	b.event(Event{Kind: Obeyed, Token: w.token, Holder: w.by.router, Number: w.number, Text: w.text}, s)
	if w.asks {
		b.say(w.by.router, s, message{Kind: done, Token: w.token, Number: w.number, Other: w.by.life, Yes: true}, now)
	}
}
