package lease

import (
	"flag"
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
)

// This file searches small worlds of the three parts that keep holders apart (member, claim, fence), with all that timing
// adds left to chance or to the search: whoever may ask, asks at any time; a datagram is delivered at any time, twice, or
// never; a process is frozen by not being chosen; time goes on by ticks, by each clock at its own rate. What must hold is
// judged by true time alone, which no part knows.

var (
	walks = flag.Int("walks", 0, "random walks of each world; 0: as CI has it")
)

const (
	modelSpan  = 12.0 // of a granter's clock
	modelDrift = 1.0 / 3
	modelHold  = modelSpan * (1 - modelDrift) / (1 + modelDrift)
	slowTick   = 2.0 // what a slow clock counts in a tick, and
	fastTick   = 4.0 // a fast one
)

// world is a small fleet: members, candidates, one router that obeys.
type world struct {
	members    []member
	clocks     []float64 // of members, then candidates, then the router that obeys
	rates      []float64
	claims     []claim
	fence      fence
	net        []flying
	doubled    int
	tick       int
	nonces     uint64
	lives      uint64
	asked      []int // rounds left to each candidate
	acts       []int // words left to each
	crashes    int
	forgets    int
	councils   [][]int
	held       []hold // of each candidate now
	holds      []hold // all, in the order of their true begins
	obeyedHold int    // the hold whose word was obeyed last, by its number
	wrong      string
}

// hold is a time in which a candidate would act.
type hold struct {
	n     int // from 1 on; 0: none
	token uint64
}

// flying is a datagram on its way.
type flying struct {
	kind     kind
	from, to int
	ask      asking
	grant    granting
	word     word
	hold     int // that a word was said in
	nonce    uint64
	token    uint64
	by       who
	yes      bool
	at       float64
	kept     bool // on its way for longer than others
}

type worldTerms struct {
	members, candidates int
	slowMembers         bool // their clocks are slow and the candidates' fast; else the other way round
	rounds, words       int
	crashes, forgets    int // of members; of the whole council
	most                int // datagrams on the way
	councils            [][]int
	own                 [][][]int // councils that each candidate goes by, where they differ
	ticks, doubles      int       // of the exhaustive search
	gives               bool
	prompt              bool // what is not delivered within a tick is lost, answers left out
}

func newWorld(t worldTerms) *world {
	w := &world{councils: t.councils, crashes: t.crashes, forgets: t.forgets}
	if w.councils == nil {
		all := make([]int, t.members)
		for i := range all {
			all[i] = i
		}
		w.councils = [][]int{all}
	}
	for range t.members {
		w.lives++
		w.members = append(w.members, member{serial: w.lives << 32, next: -1})
		w.clocks, w.rates = append(w.clocks, 100), append(w.rates, map[bool]float64{true: slowTick, false: fastTick}[t.slowMembers])
	}
	for i := range t.candidates {
		w.lives++
		w.claims = append(w.claims, claim{me: who{100 + i, w.lives}, votes: make([]vote, t.members), quorum: w.councils})
		if t.own != nil {
			w.claims[i].quorum = t.own[i]
		}
		w.clocks, w.rates = append(w.clocks, 100), append(w.rates, map[bool]float64{true: fastTick, false: slowTick}[t.slowMembers])
		w.asked, w.acts = append(w.asked, t.rounds), append(w.acts, t.words)
	}
	w.held = make([]hold, t.candidates)
	w.clocks, w.rates = append(w.clocks, 100), append(w.rates, 3)
	return w
}

func (w *world) candidate(i int) float64 { return w.clocks[len(w.members)+i] }

func (w *world) obeyer() float64 { return w.clocks[len(w.clocks)-1] }

// step is one thing that may happen.
type step struct{ what, a, b int }

const (
	asks = iota
	speaks
	delivers
	doubles
	drops
	ticks
	crashesMember
	crashesAll
	gives
	steps
)

// do lets it happen.
func (w *world) do(s step, g guards) {
	switch s.what {
	case asks:
		w.asked[s.a]--
		for m := range w.members {
			w.net = append(w.net, flying{kind: ask, from: s.a, to: m, ask: w.claims[s.a].ask(m, w.candidate(s.a))})
		}
	case speaks: // it looked, and may be frozen before its datagram leaves: that waits in the net
		w.acts[s.a]--
		c := &w.claims[s.a]
		if c.holds(w.candidate(s.a), g) {
			w.net = append(w.net, flying{kind: act, from: s.a, hold: w.held[s.a].n, word: word{by: c.me, token: c.token, number: uint64(10 - w.acts[s.a])}})
		}
	case delivers, drops, doubles:
		f := w.net[s.a]
		if s.what != doubles {
			w.net = append(w.net[:s.a:s.a], w.net[s.a+1:]...)
		}
		if s.what != drops {
			w.deliver(f, g)
		}
	case ticks:
		w.tick++
		for i := range w.clocks {
			w.clocks[i] += w.rates[i]
		}
	case crashesMember:
		w.crashes--
		w.crash(s.a)
	case crashesAll:
		w.forgets--
		for i := range w.members {
			w.crash(i)
		}
	case gives:
		now := w.candidate(s.a)
		for _, m := range w.claims[s.a].release(now) {
			w.net = append(w.net, flying{kind: release, from: s.a, to: m, by: w.claims[s.a].me, at: now})
		}
	}
	w.judge(g)
}

func (w *world) crash(i int) {
	w.lives++
	w.members[i] = member{serial: w.lives << 32, next: -1, quiet: w.clocks[i] + modelSpan}
}

func (w *world) deliver(f flying, g guards) {
	switch f.kind {
	case ask:
		a := w.members[f.to].asked(f.ask, w.clocks[f.to], modelSpan, g)
		w.members[f.to].waits = nil // whom to tell is no matter of safety
		w.net = append(w.net, flying{kind: answer, from: f.to, to: f.from, grant: a})
	case answer:
		span := modelHold
		if !g.drift {
			span = modelSpan
		}
		w.claims[f.to].answered(f.from, f.grant, w.candidate(f.to), span, g)
	case release:
		w.members[f.to].released(f.by, f.at, -1, w.clocks[f.to], modelSpan, g)
	case act:
		w.nonces++
		was := w.fence.now
		switch w.fence.takes(f.word, w.obeyer(), w.nonces, g) {
		case obey:
			w.obey(f.word, f.hold, was)
		case stale:
			w.claims[f.from].raise(w.fence.now.token)
		case unknown:
			for m := range w.members {
				w.net = append(w.net, flying{kind: check, from: f.from, to: m, nonce: w.nonces, token: f.word.token, by: f.word.by, hold: f.hold})
			}
		}
	case check:
		w.net = append(w.net, flying{kind: checked, from: f.to, to: f.from, nonce: f.nonce, yes: w.members[f.to].confirms(f.token, f.by), hold: f.hold})
	case checked:
		was := w.fence.now
		if x, ok := w.fence.confirmed(f.from, f.nonce, f.yes, w.councils, g); ok {
			w.obey(x, f.hold, was)
		}
	}
}

// obey judges a word that is obeyed, by the hold in which it was said.
func (w *world) obey(x word, n int, was word) {
	if x.token < was.token {
		w.wrong = fmt.Sprintf("token %d is obeyed after %d", x.token, was.token)
	}
	if n < w.obeyedHold {
		w.wrong = fmt.Sprintf("a word of hold %d (token %d) is obeyed after one of hold %d (token %d)", n, x.token, w.obeyedHold, was.token)
	}
	w.obeyedHold = max(w.obeyedHold, n)
}

// judge looks who would act now.
func (w *world) judge(g guards) {
	acting := 0
	for i := range w.claims {
		c := &w.claims[i]
		holds := c.holds(w.candidate(i), g)
		if h := &w.held[i]; !holds {
			*h = hold{}
		} else if h.n == 0 || h.token != c.token {
			*h = hold{len(w.holds) + 1, c.token}
			w.holds = append(w.holds, *h)
		}
		if holds {
			acting++
		}
	}
	if acting > 1 {
		w.wrong = fmt.Sprintf("%d hold at once, at tick %d", acting, w.tick)
	}
	for k := 1; k < len(w.holds) && w.wrong == "" && w.lives == uint64(len(w.members)+len(w.claims)); k++ {
		if w.holds[k].token <= w.holds[k-1].token { // while no member has forgotten
			w.wrong = fmt.Sprintf("token %d is followed by %d", w.holds[k-1].token, w.holds[k].token)
		}
	}
}

// copied is a world that can go another way.
func (w *world) copied() *world {
	c := *w
	c.members = append([]member(nil), w.members...)
	c.clocks = append([]float64(nil), w.clocks...)
	c.claims = append([]claim(nil), w.claims...)
	for i := range c.claims {
		c.claims[i].votes = append([]vote(nil), w.claims[i].votes...)
	}
	c.net = append([]flying(nil), w.net...)
	c.asked, c.acts = append([]int(nil), w.asked...), append([]int(nil), w.acts...)
	c.held, c.holds = append([]hold(nil), w.held...), append([]hold(nil), w.holds...)
	if w.fence.yes != nil {
		c.fence.yes = map[int]bool{}
		for k, v := range w.fence.yes {
			c.fence.yes[k] = v
		}
	}
	return &c
}

// chance draws what happens next. Each walk has likelihoods of its own, so that some are mostly losses, some mostly pauses.
type chance struct {
	rng     *rand.Rand
	weights [steps]int
	keeps   float64 // share of datagrams that are kept for long
}

func newChance(seed int64) *chance {
	c := &chance{rng: rand.New(rand.NewSource(seed))}
	for what, of := range [steps][]int{asks: {2, 4, 8}, speaks: {2, 8}, delivers: {20, 60, 100}, doubles: {0, 0, 1, 3}, drops: {0, 0, 1, 4},
		ticks: {1, 3, 8}, crashesMember: {0, 1}, crashesAll: {0, 1}, gives: {0, 0, 1, 3}} {
		c.weights[what] = of[c.rng.Intn(len(of))]
	}
	c.keeps = []float64{0, 0.05, 0.2}[c.rng.Intn(3)]
	return c
}

func (c *chance) next(w *world, most int) (step, bool) {
	rng := c.rng
	sum := 0
	for _, n := range c.weights {
		sum += n
	}
	n, what := rng.Intn(sum), 0
	for n >= c.weights[what] {
		n -= c.weights[what]
		what++
	}
	i := rng.Intn(len(w.claims))
	if len(w.net) > most && what == asks {
		what = drops
	}
	switch what {
	case asks:
		return step{asks, i, 0}, w.asked[i] > 0
	case speaks, gives:
		return step{what, i, 0}, w.held[i].n > 0 && (what == gives || w.acts[i] > 0)
	case delivers, doubles, drops:
		if len(w.net) == 0 {
			return step{}, false
		}
		k := min(rng.Intn(len(w.net)), rng.Intn(len(w.net))) // the older ones first, mostly
		return step{what, k, 0}, !w.net[k].kept || rng.Intn(40) == 0
	case crashesMember:
		return step{what, rng.Intn(len(w.members)), 0}, w.crashes > 0 && rng.Intn(10) == 0
	case crashesAll:
		return step{what, 0, 0}, w.forgets > 0 && rng.Intn(10) == 0
	}
	return step{ticks, 0, 0}, true
}

// walk goes one way by chance and tells what was wrong.
func walk(t worldTerms, seed int64, g guards, length int) (*world, []step) {
	c := newChance(seed)
	w := newWorld(t)
	var story []step
	for len(story) < length && w.wrong == "" {
		s, can := c.next(w, t.most)
		if !can {
			s = step{ticks, 0, 0}
			if c.rng.Intn(20) > 0 {
				continue
			}
		}
		before := len(w.net)
		w.do(s, g)
		for k := before; k < len(w.net); k++ {
			w.net[k].kept = c.rng.Float64() < c.keeps
		}
		story = append(story, s)
	}
	return w, story
}

var walked = map[string]worldTerms{
	"three members, two candidates":  {members: 3, candidates: 2, rounds: 12, words: 6, crashes: 3, most: 16},
	"slow members":                   {members: 3, candidates: 2, slowMembers: true, rounds: 12, words: 6, crashes: 3, most: 16},
	"five members, three candidates": {members: 5, candidates: 3, rounds: 10, words: 4, crashes: 5, forgets: 1, most: 24},
	"the council forgets":            {members: 3, candidates: 2, rounds: 16, words: 8, crashes: 2, forgets: 2, most: 16},
	"two sets of routers": {members: 5, candidates: 2, rounds: 12, words: 4, crashes: 2, most: 20,
		councils: [][]int{{2, 3, 4}, {0, 1, 2}}, own: [][][]int{{{0, 1, 2}}, {{2, 3, 4}, {0, 1, 2}}}},
}

const (
	walksInCI  = 3_000
	walkLength = 300
)

// TestWalks takes random ways through larger worlds: in none is anything wrong, and in many holders follow each other.
func TestWalks(t *testing.T) {
	many := walksInCI
	if *walks > 0 {
		many = *walks
	}
	for name, terms := range walked {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			holds, obeyed := 0, 0
			for seed := range int64(many) {
				w, story := walk(terms, seed, allGuards, walkLength)
				require.Empty(t, w.wrong, "seed %d: %v", seed, story)
				if len(w.holds) > 1 {
					holds++
				}
				if w.obeyedHold > 1 {
					obeyed++
				}
			}
			t.Logf("%d walks; holders followed each other in %d, and were obeyed in %d", many, holds, obeyed)
			require.Greater(t, holds, many/100)
		})
	}
}

// mutants are the guards, each taken out alone, and the world in which that is found.
var mutants = []struct {
	name  string
	world string
	out   func(*guards)
}{
	{"a holder counts as long as a granter, whatever the clocks", "three members, two candidates", func(g *guards) { g.drift = false }},
	{"a member grants to a second while its grant to the first runs", "three members, two candidates", func(g *guards) { g.wait = false }},
	{"a member that has forgotten speaks at once", "three members, two candidates", func(g *guards) { g.silent = false }},
	{"a holder counts from the answer, not from its question", "three members, two candidates", func(g *guards) { g.echo = false }},
	{"a holder acts before a quorum has noted its token", "three members, two candidates", func(g *guards) { g.stored = false }},
	{"a token outlives its grants", "three members, two candidates", func(g *guards) { g.lapse = false }},
	{"a holder acts on when its lease is over", "three members, two candidates", func(g *guards) { g.hold, g.lapse = false, false }},
	{"a router obeys whoever speaks last", "three members, two candidates", func(g *guards) { g.fence, g.check = false, false }},
	{"the former set of routers is not asked", "two sets of routers", func(g *guards) { g.joint = false }},
}

// Three more are found by TestStories.
const mutantWalks = 100_000

// TestMutants takes each guard out alone: some walk must then find what is wrong.
func TestMutants(t *testing.T) {
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			g := allGuards
			m.out(&g)
			for seed := range int64(mutantWalks) {
				if w, story := walk(walked[m.world], seed, g, walkLength); w.wrong != "" {
					t.Logf("walk %d, %d steps: %s", seed, len(story), w.wrong)
					return
				}
			}
			t.Fatalf("not found in %d walks", mutantWalks)
		})
	}
}
