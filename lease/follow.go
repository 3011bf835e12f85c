package lease

// This file decides how a router comes by news of the member list where one router of its zone watches it for the others:
// whether it watches, waits for a word, or fetches, and when. It must never leave a router without a way of its own: a
// word only ever puts a call off, and never for longer than quiet.

import "math/rand"

// FollowTerms are what a Follow is told at start.
type FollowTerms struct {
	Seed    int64
	Quiet   float64 // s without a word after which a router watches for itself
	Pace    float64 // calls a second that discovery bears from all who follow
	Routers int
}

// Follow is one router's part. It keeps a few numbers.
type Follow struct {
	terms   FollowTerms
	rng     *rand.Rand
	holds   bool
	heard   float64 // the last word
	told    int64   // the newest revision it named
	rev     int64   // the newest that this router has
	fetchAt float64 // our turn to fetch what was told
	alone   float64 // we watch for ourselves from then on
}

// Do is what a router does next about its list.
type Do int

const (
	Watch Do = iota // a call that waits for news
	Fetch           // a call that does not
	Wait            // no call until then
)

// NewFollow begins as one that has heard nothing: it watches.
func NewFollow(t FollowTerms) *Follow {
	return &Follow{terms: t, rng: rand.New(rand.NewSource(t.Seed)), heard: -t.Quiet}
}

// turn spreads the calls of all routers over the time that discovery needs for them.
func (f *Follow) turn() float64 { return f.rng.Float64() * float64(f.terms.Routers) / f.terms.Pace }

// Holds says whether this router holds the watch.
func (f *Follow) Holds(on bool) { f.holds = on }

// Heard takes a holder's word: the newest revision it has.
func (f *Follow) Heard(rev int64, now float64) {
	f.heard = now
	if rev > f.told {
		f.told = rev
		if rev > f.rev {
			f.fetchAt = now + f.turn()
		}
	}
	f.alone = now + f.terms.Quiet + f.turn()
}

// Got says which revision a call has brought. A word of a discovery that began anew is forgotten by it.
func (f *Follow) Got(rev int64) {
	if f.rev = rev; f.told > rev {
		f.told = rev
	}
}

// Next tells what to do now, and where that is to wait, until when.
func (f *Follow) Next(now float64) (Do, float64) {
	switch {
	case f.holds || now >= f.alone:
		return Watch, now
	case f.told > f.rev && now >= f.fetchAt:
		return Fetch, now
	case f.told > f.rev:
		return Wait, min(f.fetchAt, f.alone)
	}
	return Wait, f.alone
}
