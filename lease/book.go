package lease

// This file owns a router's book: its making, what is due when, and what is told of it. Nothing in the book's files is needed for
// safety, which member, claim and fence keep whatever the timing.

import (
	"fmt"
	"math"
	"math/rand"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Book is one router's part. Its tables grow with the slots that the terms name and the councils' sizes, nothing else.
type Book struct {
	terms   Terms
	g       guards
	rng     *rand.Rand
	me      who
	born    float64
	nonces  uint64
	hold    float64 // s that a holder counts from its question on
	tasks   map[string]*task
	seats   []*seat
	byKey   map[uint32]*seat
	room    float64 // bytes that may be sent now,
	filled  float64 // as of then
	out     Effects
	counted Counts
}

// New makes a Book. It is silent as a member for a whole lease: what it granted before it forgot may still run.
func New(t Terms, now float64) (*Book, error) {
	if t.Council < 1 || t.Council%2 == 0 || t.Routers < 1 || t.Routers > mostRouter || t.Former < 0 || t.Former > mostRouter ||
		t.Me < 0 || t.Span <= 0 || t.Drift < 0 || t.Drift >= 1 {
		return nil, fmt.Errorf("terms that can't be: council %d, routers %d, formerly %d, me %d, span %g, drift %g", t.Council, t.Routers,
			t.Former, t.Me, t.Span, t.Drift)
	}
	b := &Book{terms: t, g: allGuards, rng: rand.New(rand.NewSource(t.Seed)), me: who{t.Me, t.Life}, born: now, tasks: map[string]*task{},
		byKey: map[uint32]*seat{}, room: t.Bytes, filled: now}
	b.hold = t.Span * (1 - t.Drift) / (1 + t.Drift)
	for _, named := range t.Tasks {
		if b.tasks[named.Name] != nil || named.Name == "" {
			return nil, fmt.Errorf("task %q needs a name of its own", named.Name)
		}
		k := &task{Task: named, wanted: named.Standing && !named.Lent}
		b.tasks[named.Name] = k
		for slot := range max(1, named.Slots) {
			s := &seat{task: k, slot: slot, key: uint32(xxhash.Sum64String(named.Name + "#" + strconv.Itoa(slot)))}
			if twin := b.byKey[s.key]; twin != nil {
				return nil, fmt.Errorf("tasks %q and %q can't be told apart on the way; give one another name", named.Name, twin.task.Name)
			}
			s.heard, s.next = now, now
			b.byKey[s.key] = s
			b.seats = append(b.seats, s)
			k.seats = append(k.seats, s)
			b.seat(s, now)
		}
		k.trying = int(rank(k.seats[0].key, t.Me) % uint64(len(k.seats)))
	}
	if len(b.seats) > mostSeats {
		return nil, fmt.Errorf("%d slots in all, %d at most", len(b.seats), mostSeats)
	}
	for _, k := range b.tasks {
		if k.wanted {
			b.begin(k, now)
		}
	}
	return b, nil
}

// Routers takes over another set of routers. Both are in force until it is called once more without the former.
func (b *Book) Routers(routers, former int, now float64) {
	if routers < 1 || former < 0 || max(routers, former) > mostRouter || routers == b.terms.Routers && former == b.terms.Former {
		return
	}
	for _, s := range b.seats {
		b.end(s, -1, now)
	}
	b.terms.Routers, b.terms.Former = routers, former
	for _, s := range b.seats {
		b.seat(s, now)
	}
	for _, s := range b.seats {
		if k := s.task; k.wanted && s.slot == k.trying {
			b.begin(k, now)
		}
	}
}

// Effects hands over what is to be done, once.
func (b *Book) Effects() Effects {
	out := b.out
	b.out = Effects{}
	return out
}

// Counted tells the counts.
func (b *Book) Counted() Counts { return b.counted }

// Has tells whether the terms name a task.
func (b *Book) Has(name string) bool { return b.tasks[name] != nil }

// Stands tells whether all routers would hold a task at all times.
func (b *Book) Stands(name string) bool { return b.tasks[name] != nil && b.tasks[name].Standing }

func (b *Book) event(e Event, s *seat) {
	e.Task, e.Slot = s.task.Name, s.slot
	if e.Kind == Took || e.Kind == Lost {
		e.Holder = b.terms.Me
	}
	b.out.Events = append(b.out.Events, e)
}

// Next is when Step is due.
func (b *Book) Next() float64 {
	next := math.Inf(1)
	for _, s := range b.seats {
		if s.asking {
			next = min(next, s.next)
		}
		if s.was {
			next = min(next, s.lasts)
			if b.every(s) > 0 {
				next = min(next, s.speak)
			}
		}
	}
	return next
}

// Step does what is due.
func (b *Book) Step(now float64) {
	for _, s := range b.seats {
		b.look(s, now)
		if s.asking && now >= s.next {
			b.round(s, now)
		}
		if s.was && b.every(s) > 0 && now >= s.speak {
			b.word(s, now)
		}
	}
}

// Seats tells the state of all slots.
func (b *Book) Seats(now float64) []Seat {
	out := make([]Seat, 0, len(b.seats))
	for _, s := range b.seats {
		x := Seat{Task: s.task.Name, Slot: s.slot, Council: s.council[0], Wanted: s.task.wanted, Held: s.claim.holds(now, b.g), Holder: -1,
			Token: s.fence.now.token, Changes: s.changes, Text: s.fence.now.text}
		switch {
		case x.Held:
			x.Token, x.Holder, x.Left, x.Heard = s.claim.token, b.terms.Me, s.claim.ends(b.g)-now, len(s.obeyed)
			x.Text = s.text
		case s.mine != nil && now < s.mine.until:
			x.Holder, x.Left = s.mine.to.router, s.mine.until-now
			x.Token = max(x.Token, s.mine.token)
		case s.fence.now.token > 0 && now-s.heard < b.terms.Span:
			x.Holder = s.fence.now.by.router
		}
		out = append(out, x)
	}
	return out
}
