package lease

// This file owns a router's seats, one for each slot of a task, and their timing: when to ask, how long to stand back, when
// to speak. Nothing here is needed for safety, which member, claim and fence keep whatever the timing.

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand"
	"slices"
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

// task is what the terms name.
type task struct {
	Task
	seats  []*seat
	wanted bool
	trying int // the slot that is asked for
}

// seat is a slot of a task.
type seat struct {
	task     *task
	slot     int
	key      uint32
	members  []int // of all councils in force
	council  [][]int
	mine     *member // nil: we are in no council
	claim    claim
	fence    fence
	asking   bool    // we are after it
	next     float64 // ask then
	misses   int     // rounds of questions since an answer
	retreats int     // times that no quorum answered, since one did
	since    float64 // when this series of questions began; 0: none is under way
	handed   float64 // it was handed to us, until then
	gift     uint64  // under which token, where we were not after it; 0: we were
	heard    float64 // when its holder was last heard of
	speak    float64 // our next word
	number   uint64
	text     string
	fresh    uint64       // the number with which text was new
	obeyed   map[int]bool // routers that obey text
	was      bool         // we held it when last looked at,
	under    uint64       // by that token,
	lasts    float64      // until then
	changes  int64
	backed   float64 // another slot was tried since, until then
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

// rank orders routers for a seat: all come to the same order without a word.
func rank(key uint32, router int) uint64 {
	var b [8]byte
	binary.BigEndian.PutUint32(b[:], key)
	binary.BigEndian.PutUint32(b[4:], uint32(router))
	return xxhash.Sum64(b[:])
}

// council tells who is asked for a seat among so many routers.
func council(key uint32, routers, size int) []int {
	all := make([]int, routers)
	for i := range all {
		all[i] = i
	}
	slices.SortFunc(all, func(a, b int) int {
		if rank(key, a) > rank(key, b) {
			return -1
		}
		return 1
	})
	size = min(size, routers-(routers+1)%2) // odd
	return all[:size]
}

// seat finds the councils of a seat, and begins our part in them anew.
func (b *Book) seat(s *seat, now float64) {
	t := b.terms
	s.council = [][]int{council(s.key, t.Routers, t.Council)}
	if t.Former > 0 && t.Former != t.Routers {
		s.council = append(s.council, council(s.key, t.Former, t.Council))
	}
	s.members = nil
	for _, c := range s.council {
		for _, r := range c {
			if !slices.Contains(s.members, r) {
				s.members = append(s.members, r)
			}
		}
	}
	quorum := make([][]int, len(s.council))
	for k, c := range s.council {
		for _, r := range c {
			quorum[k] = append(quorum[k], slices.Index(s.members, r))
		}
	}
	top := max(s.claim.top, t.First)
	s.claim = claim{me: b.me, began: math.Nextafter(now, math.Inf(1)), top: top, votes: make([]vote, len(s.members)), quorum: quorum}
	if !slices.Contains(s.members, t.Me) {
		s.mine = nil
	} else if s.mine == nil {
		s.mine = &member{serial: t.Life, quiet: now + t.Span*(1+margin), next: -1}
	}
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

// begin goes after one of a task's slots.
func (b *Book) begin(k *task, now float64) {
	s := k.seats[k.trying]
	s.asking, s.misses, s.since = true, 0, 0
	s.next = now
	if k.Standing {
		s.next = now + b.standBack(s, now)
	}
}

// standBack is how long a candidate for a standing task waits: by its place in the order, and where it is none of the first,
// until the holder has been silent for long.
func (b *Book) standBack(s *seat, now float64) float64 {
	place := b.place(s)
	if place < places {
		return float64(place) * stagger * b.terms.Span
	}
	missed := (silence + min(latest, laterBy*float64(place-places)) + b.rng.Float64()) * b.terms.Span
	return max(0, s.heard+missed-now)
}

// place is this router's in the order for a seat.
func (b *Book) place(s *seat) (place int) {
	own := rank(s.key, b.terms.Me)
	for r := range b.terms.Routers {
		if rank(s.key, r) > own {
			place++
		}
	}
	return place
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

// Stands tells whether all routers would hold a task at all times.
func (b *Book) Stands(name string) bool { return b.tasks[name] != nil && b.tasks[name].Standing }

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

// end gives a seat up. Members are told, and who comes next, where somebody was named.
func (b *Book) end(s *seat, next int, now float64) {
	granted := s.claim.release(now)
	s.asking, s.handed, s.gift, s.text = false, 0, 0, ""
	for _, i := range granted {
		m := message{Kind: release, At: now, Who: noOne}
		if next >= 0 {
			m.Who = uint16(next)
		}
		b.say(s.members[i], s, m, now)
	}
	b.look(s, now)
}

// look notes where holding has begun or ended.
func (b *Book) look(s *seat, now float64) {
	held := s.claim.holds(now, b.g)
	if s.was && (!held || s.under != s.claim.token) {
		b.event(Event{Kind: Lost, Token: s.under, Until: min(now, s.lasts)}, s)
		s.was = false
		if s.asking {
			b.retreat(s, now)
		}
	}
	if held && !s.was && s.gift > 0 {
		if s.claim.after != s.gift {
			b.end(s, -1, now) // what was handed over is long another's
			return
		}
		s.task.wanted, s.gift = true, 0
	}
	if held && !s.was {
		b.event(Event{Kind: Took, Token: s.claim.token, Until: s.claim.ends(b.g)}, s)
		s.was, s.under, s.number, s.fresh, s.speak, s.obeyed = true, s.claim.token, 0, 1, now, map[int]bool{}
		s.changes++
		for _, other := range s.task.seats {
			if other != s && other.asking {
				b.end(other, -1, now)
			}
		}
	}
	if s.lasts = s.claim.ends(b.g); held && s.lasts <= now { // only where a test has taken the guard out
		s.lasts = now + b.terms.Span
	}
}

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

// every is the time between a holder's words; 0: it has none to say.
func (b *Book) every(s *seat) float64 {
	if s.task.Every == 0 && s.text != "" {
		return resaid * b.terms.Span
	}
	return s.task.Every
}

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

func (b *Book) take(from int, s *seat, m *message, now float64) {
	by := who{from, m.Life}
	switch m.Kind {
	case ask:
		if s.mine == nil {
			return
		}
		a := s.mine.asked(asking{by, m.At, m.Token, m.Serial}, now, b.terms.Span, b.g)
		if a.granted {
			b.counted.Grants++
		} else {
			b.counted.Refusals++
		}
		b.say(from, s, message{Kind: answer, At: a.at, Token: a.token, Other: m.Life, Serial: a.serial, Who: uint16(a.holder.router),
			WhoLife: a.holder.life, Left: float32(a.left), Yes: a.granted, Stored: a.stored}, now)
	case answer:
		i := slices.Index(s.members, from)
		if i < 0 || math.IsNaN(float64(m.Left)) || m.Left < 0 || float64(m.Left) > 2*b.terms.Span {
			return
		}
		b.answered(s, i, granting{m.At, who{b.terms.Me, m.Other}, m.Yes, m.Stored, m.Serial, m.Token, who{int(m.Who), m.WhoLife},
			float64(m.Left)}, now)
	case release:
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
	case give:
		if s.task.Lent {
			return
		}
		if s.claim.holds(now, b.g) {
			return
		}
		if !s.task.wanted {
			s.gift = m.Token
		}
		s.asking, s.misses, s.handed, s.next = true, 0, now+kept*b.terms.Span, now
	case free:
		if s.asking && !s.claim.holds(now, b.g) && s.next > now {
			for i := range s.claim.votes {
				s.claim.votes[i].free = 0
			}
			s.next = min(s.next, now+b.terms.Span*stagger*float64(min(b.place(s), places))*b.rng.Float64())
		}
	case act:
		s.heard = now
		if s.task.Lent {
			return
		}
		w := word{by: by, token: m.Token, number: m.Number, text: m.text, asks: m.Yes}
		b.nonces++
		var key [16]byte
		binary.BigEndian.PutUint64(key[:], b.terms.Life)
		binary.BigEndian.PutUint64(key[8:], b.nonces)
		nonce := xxhash.Sum64(key[:])
		switch s.fence.takes(w, now, nonce, b.g) {
		case obey:
			b.obey(s, w, now)
		case again:
			b.say(from, s, message{Kind: done, Token: w.token, Number: w.number, Other: m.Life, Yes: true}, now)
		case stale:
			b.counted.Stales++
			b.event(Event{Kind: Stale, Token: w.token, Holder: from, Number: w.number, Text: w.text}, s)
			b.say(from, s, message{Kind: done, Token: s.fence.now.token, Other: m.Life}, now)
		case unknown:
			for _, r := range s.members {
				b.counted.Checks++
				b.say(r, s, message{Kind: check, Other: nonce, Token: w.token, Who: uint16(from), WhoLife: m.Life}, now)
			}
		case waits:
		}
	case done:
		switch {
		case m.Other != b.terms.Life:
		case !m.Yes:
			s.claim.raise(m.Token)
			s.next = now
			b.look(s, now)
		case m.Token == s.claim.token && m.Number >= s.fresh && s.obeyed != nil && from < max(b.terms.Routers, b.terms.Former):
			s.obeyed[from] = true
		}
	case check:
		if s.mine != nil {
			b.say(from, s, message{Kind: checked, Other: m.Other, Yes: s.mine.confirms(m.Token, who{int(m.Who), m.WhoLife})}, now)
		}
	case checked:
		if w, ok := s.fence.confirmed(from, m.Other, m.Yes, s.council, b.g); ok {
			b.obey(s, w, now)
		}
	}
}

func (b *Book) obey(s *seat, w word, now float64) {
	if w.number == 1 {
		s.changes++
	}
	b.event(Event{Kind: Obeyed, Token: w.token, Holder: w.by.router, Number: w.number, Text: w.text}, s)
	if w.asks {
		b.say(w.by.router, s, message{Kind: done, Token: w.token, Number: w.number, Other: w.by.life, Yes: true}, now)
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
