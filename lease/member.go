package lease

// This file owns a council member's part for one slot of a task. It must never grant to one while what it granted to
// another still runs, nor note a token under any other grant than the one that it was chosen under.

// who is a router's start: after another it is somebody else.
type who struct {
	router int
	life   uint64
}

// guards are what keeps holders apart, each of which a test takes out alone.
type guards struct {
	drift, wait, silent, echo, serial, stored, lapse, hold, fence, check, own, joint, late, anew bool
}

var allGuards = guards{true, true, true, true, true, true, true, true, true, true, true, true, true, true}

// asking is a candidate's question, with the token it has chosen (0: none yet) and the member's grant, as it knows it, under
// which it did.
type asking struct {
	from   who
	at     float64
	token  uint64
	serial uint64
}

// granting is the answer to it.
type granting struct {
	at      float64
	to      who // the question's from
	granted bool
	stored  bool // the question's token is the newest here
	serial  uint64
	token   uint64 // newest known here
	holder  who    // whom it is granted to
	left    float64
}

// member is what one remembers.
type member struct {
	quiet  float64 // it grants nothing before
	to     who
	until  float64 // its grant runs
	asks   float64 // its newest question that was granted
	serial uint64  // of its grants to one after the other; begins with its life, so that no other start has the same
	token  uint64  // newest
	by     who     // whose that is
	left   who     // gave back its grant,
	leftAt float64 // and what it asked up to then counts no more
	next   int     // the task is kept for, -1: nobody
	nextTo float64 // until then
	waits  []int   // refused of late, at most waiters
}

// asked takes a question.
func (m *member) asked(a asking, now, span float64, g guards) granting {
	out := granting{at: a.at, to: a.from, serial: m.serial, token: m.token, holder: m.to, left: max(0, m.until-now)}
	switch {
	case g.silent && now < m.quiet:
		out.left = m.quiet - now
		return out
	case a.from == m.left && a.at <= m.leftAt:
		return out
	case g.wait && m.to != a.from && now < m.until:
		m.refuse(a.from.router)
		return out
	case m.next >= 0 && now < m.nextTo && m.next != a.from.router:
		out.left = m.nextTo - now
		m.refuse(a.from.router)
		return out
	}
	if m.to != a.from {
		m.to, m.serial, m.asks = a.from, m.serial+1, a.at
	}
	m.next, m.until, m.asks = -1, now+span, max(m.asks, a.at)
	if a.token > 0 && (!g.serial || a.serial == m.serial) && a.token >= m.token {
		m.token, m.by, out.stored = a.token, a.from, true
	}
	out.granted, out.serial, out.token, out.holder, out.left = true, m.serial, m.token, m.to, span
	return out
}

func (m *member) refuse(router int) {
	for _, w := range m.waits {
		if w == router {
			return
		}
	}
	if m.waits = append(m.waits, router); len(m.waits) > waiters {
		m.waits = m.waits[1:]
	}
}

// released takes a grant back, keeps the task for who comes next, and tells whether it was free by that. What was asked for
// after the release was sent, and has overtaken it, stays granted.
func (m *member) released(from who, at float64, next int, now, span float64, g guards) bool {
	if m.left != from || at > m.leftAt {
		m.left, m.leftAt = from, at
	}
	if m.to != from || now >= m.until || g.late && at < m.asks {
		return false
	}
	m.until, m.next, m.nextTo = now, next, now+kept*span
	return true
}

// confirms tells whether a token is the newest here, and whose it is.
func (m *member) confirms(token uint64, by who) bool { return m.token == token && m.by == by }
