package lease

// This file owns what the host may ask for: to want, hand on and leave tasks, and a holder's word. It must never let one speak for
// a task that it does not hold.

// Want says whether this router would hold a task.
func (b *Book) Want(name string, on bool, now float64) {
	k := b.tasks[name]
	if k == nil || k.wanted == on || k.Lent {
		return
	}
	if k.wanted = on; on {
		b.begin(k, now)
		return
	}
	for _, s := range k.seats {
		b.end(s, -1, now)
	}
}

// Give hands a task that this router holds to another: false, it holds none.
func (b *Book) Give(name string, to int, now float64) bool {
	k := b.tasks[name]
	if k == nil || to < 0 || to >= max(b.terms.Routers, b.terms.Former) || to == b.terms.Me {
		return false
	}
	for _, s := range k.seats {
		if !s.claim.holds(now, b.g) {
			continue
		}
		token := s.claim.token
		b.end(s, to, now)
		b.say(to, s, message{Kind: give, Token: token}, now)
		if k.wanted = k.Standing; k.wanted {
			s.asking, s.next = true, now+b.terms.Span
		}
		return true
	}
	return false
}

// Leave gives back all that this router holds or is after, but for one task: it is about to go.
func (b *Book) Leave(but string, now float64) {
	for _, s := range b.seats {
		if s.task.Name != but {
			s.task.wanted = false
			b.end(s, -1, now)
		}
	}
}

// StandBack gives a task up for some leases, without wanting it less: others may do it better now.
func (b *Book) StandBack(name string, now float64) {
	k := b.tasks[name]
	if k == nil || !k.wanted {
		return
	}
	for _, s := range k.seats {
		if s.claim.holds(now, b.g) {
			b.end(s, -1, now)
			s.asking, s.next = true, now+standsBack*b.terms.Span
		}
	}
}

// Tell gives a task's holder its word to all: false, this router does not hold it, or the word is too long.
func (b *Book) Tell(name, text string, now float64) bool {
	k := b.tasks[name]
	if k == nil || len(text) > mostText {
		return false
	}
	for _, s := range k.seats {
		if s.claim.holds(now, b.g) {
			s.text, s.fresh, s.obeyed = text, s.number+1, map[int]bool{}
			b.word(s, now)
			return true
		}
	}
	return false
}

// every is the time between a holder's words; 0: it has none to say.
func (b *Book) every(s *seat) float64 {
	if s.task.Every == 0 && s.text != "" {
		return resaid * b.terms.Span
	}
	return s.task.Every
}

// word says our word to all, and hears it itself.
func (b *Book) word(s *seat, now float64) {
	if !s.claim.holds(now, b.g) {
		b.look(s, now)
		return
	}
	s.speak = now + b.every(s)
	s.number++
	w := word{by: b.me, token: s.claim.token, number: s.number, text: s.text}
	if s.fence.says(w, b.g) {
		b.event(Event{Kind: Obeyed, Token: w.token, Holder: w.by.router, Number: w.number, Text: w.text}, s)
	}
	b.counted.Acts++
	b.say(All, s, message{Kind: act, At: now, Token: w.token, Number: w.number, Yes: s.number < s.fresh+counts, text: s.text}, now)
}
