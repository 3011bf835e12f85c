package lease

import (
	"fmt"
	"math/bits"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// This file has the proof for councils of any size. All ways through one member show what that member alone keeps, whatever
// the others do; that any two quorums have a member in common gives the rest (docs/leases.md, Proof). So the search needs no
// second member: what the others would do is a step that may happen at any time.

// lone is one member with its candidates. Each candidate's other members are the outside: it may bring any token, at any time.
type lone struct {
	member  member
	claims  []claim
	clocks  [2]float64 // of the member, of the candidates
	rates   [2]float64
	net     []flying
	asked   []int // questions left to each candidate
	outside []int // tokens that the outside may still bring to each
	ticks   int
	crashes int
	doubles int
	gives   int
	lives   uint64
	before  map[uint64]uint64 // by serial: the newest token noted when that grant began
	wrong   string
}

type loneTerms struct {
	candidates, questions, outside, ticks, crashes, doubles, gives int
	slowMember                                                     bool
}

func newLone(t loneTerms) *lone {
	w := &lone{ticks: t.ticks, crashes: t.crashes, doubles: t.doubles, gives: t.gives, lives: 1, before: map[uint64]uint64{}, clocks: [2]float64{100, 100},
		rates: [2]float64{fastTick, slowTick}, member: member{serial: 1 << 32, next: -1}}
	if t.slowMember {
		w.rates = [2]float64{slowTick, fastTick}
	}
	for i := range t.candidates {
		w.lives++
		w.claims = append(w.claims, claim{me: who{100 + i, w.lives}, votes: make([]vote, 1), quorum: [][]int{{0}}})
		w.asked, w.outside = append(w.asked, t.questions), append(w.outside, t.outside)
	}
	return w
}

func (w *lone) copied() *lone {
	c := *w
	c.claims = slices.Clone(w.claims)
	for i := range c.claims {
		c.claims[i].votes = slices.Clone(w.claims[i].votes)
	}
	c.net, c.asked, c.outside = slices.Clone(w.net), slices.Clone(w.asked), slices.Clone(w.outside)
	c.before = make(map[uint64]uint64, len(w.before))
	for k, v := range w.before {
		c.before[k] = v
	}
	return &c
}

const brings = steps // a candidate has a token by grants of other members, or hears of a newer one

// ways lists all that may happen. What is never delivered is lost; who is not chosen is frozen.
func (w *lone) ways() (out []step) {
	for i := range w.claims {
		if w.asked[i] > 0 {
			out = append(out, step{asks, i, 0})
		}
		if w.outside[i] > 0 {
			out = append(out, step{brings, i, 0})
		}
		if w.gives > 0 && w.claims[i].votes[0].until > 0 {
			out = append(out, step{gives, i, 0})
		}
	}
	for k := range w.net {
		out = append(out, step{delivers, k, 0})
		if w.doubles > 0 {
			out = append(out, step{doubles, k, 0})
		}
	}
	if w.ticks > 0 {
		out = append(out, step{ticks, 0, 0})
	}
	if w.crashes > 0 {
		out = append(out, step{crashesMember, 0, 0})
	}
	return out
}

// do lets it happen. A claim's token never lapses here: other members may keep it.
func (w *lone) do(s step, g guards) {
	g.lapse = false
	now := w.clocks[1]
	switch s.what {
	case asks:
		w.asked[s.a]--
		w.net = append(w.net, flying{kind: ask, from: s.a, ask: w.claims[s.a].ask(0, now)})
	case brings:
		w.outside[s.a]--
		c := &w.claims[s.a]
		c.top++
		c.token = c.top
	case gives:
		w.gives--
		if c := &w.claims[s.a]; len(c.release(now)) > 0 {
			w.net = append(w.net, flying{kind: release, from: s.a, by: c.me, at: now})
		}
	case ticks:
		w.ticks--
		w.clocks[0] += w.rates[0]
		w.clocks[1] += w.rates[1]
	case crashesMember:
		w.crashes--
		w.lives++
		w.member = member{serial: w.lives << 32, next: -1, quiet: w.clocks[0] + modelSpan}
	case delivers, doubles:
		f := w.net[s.a]
		if s.what == doubles {
			w.doubles--
		} else {
			w.net = slices.Delete(w.net, s.a, s.a+1)
		}
		switch f.kind {
		case ask:
			was, noted := w.member.serial, w.member.token
			a := w.member.asked(f.ask, w.clocks[0], modelSpan, g)
			if w.member.waits = nil; w.member.serial != was {
				w.before[w.member.serial] = noted
			}
			w.net = append(w.net, flying{kind: answer, to: f.from, grant: a})
		case release:
			w.member.released(f.by, f.at, -1, w.clocks[0], modelSpan, g)
		case answer:
			span := modelHold
			if !g.drift {
				span = modelSpan
			}
			w.claims[f.to].answered(0, f.grant, now, span, g)
		}
	}
	w.judge()
}

// judge holds the member to its two promises.
func (w *lone) judge() {
	running := 0
	for i := range w.claims {
		c := &w.claims[i]
		if now := w.clocks[1]; now >= c.votes[0].until {
			continue
		}
		running++
		if c.top < w.before[c.votes[0].serial] {
			w.wrong = fmt.Sprintf("candidate %d counts a grant and does not know token %d, noted before it", i, w.before[c.votes[0].serial])
		}
	}
	if running > 1 {
		w.wrong = "two count a grant of the same member at one time"
	}
}

func (w *lone) key() [2]uint64 {
	var d digest
	m := &w.member
	d.numbers(uint64(w.ticks), uint64(w.crashes), uint64(w.doubles), uint64(w.gives), m.serial, m.token, uint64(m.to.router), m.to.life,
		uint64(m.by.router), uint64(m.left.router), m.left.life)
	d.times(m.quiet, m.until, m.leftAt, m.asks)
	for i, c := range w.claims {
		v := c.votes[0]
		d.numbers(c.token, c.top, uint64(w.asked[i]), uint64(w.outside[i]), v.serial, w.before[v.serial])
		d.times(c.began, v.at, v.until, v.stored)
	}
	d.unordered(len(w.net), func(i int) {
		f := w.net[i]
		d.numbers(uint64(f.kind), uint64(f.from), uint64(f.to), f.ask.token, f.ask.serial, f.grant.serial, f.grant.token,
			uint64(f.grant.to.router), f.by.life)
		d.times(f.ask.at, f.grant.at, f.at)
		d.flags(f.grant.granted, f.grant.stored)
		d.numbers(w.before[f.grant.serial])
	})
	return d.key()
}

// searchLone goes all ways.
func searchLone(t loneTerms, g guards, most int) (states, depth int, wrong string, story []step) {
	seen := map[[2]uint64]bool{}
	type open struct {
		w    *lone
		ways []step
		last step
	}
	first := newLone(t)
	for stack := []open{{first, first.ways(), step{}}}; len(stack) > 0; {
		top := &stack[len(stack)-1]
		if len(top.ways) == 0 {
			stack = stack[:len(stack)-1]
			continue
		}
		s := top.ways[len(top.ways)-1]
		top.ways = top.ways[:len(top.ways)-1]
		next := top.w.copied()
		if next.do(s, g); next.wrong != "" {
			for _, o := range stack[1:] {
				story = append(story, o.last)
			}
			return len(seen), depth, next.wrong, append(story, s)
		}
		if k := next.key(); !seen[k] && len(seen) < most {
			seen[k] = true
			depth = max(depth, len(stack))
			stack = append(stack, open{next, next.ways(), s})
		}
	}
	return len(seen), depth, "", nil
}

var proven = []struct {
	name  string
	terms loneTerms
	deep  bool
}{
	{"two candidates, a loss of memory", loneTerms{candidates: 2, questions: 1, outside: 1, ticks: 4, crashes: 1, doubles: 1}, false},
	{"two candidates, a release", loneTerms{candidates: 2, questions: 2, ticks: 3, gives: 1}, false},
	{"two candidates, the member's clock slow", loneTerms{candidates: 2, questions: 1, outside: 1, ticks: 7, doubles: 1, slowMember: true}, false},
	{"three candidates", loneTerms{candidates: 3, questions: 1, ticks: 6}, false},
	{"two candidates, two questions each, a loss of memory", loneTerms{candidates: 2, questions: 2, outside: 1, ticks: 4, crashes: 1}, true},
	{"two candidates, two questions each, a double, a release", loneTerms{candidates: 2, questions: 2, ticks: 4, doubles: 1, gives: 1}, true},
	{"two candidates, two questions each, the member's clock slow", loneTerms{candidates: 2, questions: 2, outside: 1, ticks: 7, slowMember: true}, true},
	{"three candidates, tokens from outside", loneTerms{candidates: 3, questions: 1, outside: 1, ticks: 7}, true},
}

const mostLone = 60_000_000

// TestMember: whatever other members, ways and pauses do, a member's grants are counted by one candidate at a time, and who
// counts one knows every token that was noted before it.
func TestMember(t *testing.T) {
	for _, x := range proven {
		if x.deep && !*deep {
			continue
		}
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			states, depth, wrong, story := searchLone(x.terms, allGuards, mostLone)
			require.Empty(t, wrong, "%v", story)
			require.Less(t, states, mostLone, "not all of it")
			t.Logf("%d states, %d steps deep", states, depth)
		})
	}
}

// TestMemberMutants: without any of the guards that are a member's or a vote's, the search finds what breaks.
func TestMemberMutants(t *testing.T) {
	for name, out := range map[string]func(*guards){
		"the allowance for clocks":           func(g *guards) { g.drift = false },
		"waiting for a grant to run out":     func(g *guards) { g.wait = false },
		"the silence after a loss of memory": func(g *guards) { g.silent = false },
		"counting from the question":         func(g *guards) { g.echo = false },
		"what is asked after a release":      func(g *guards) { g.late = false },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := allGuards
			out(&g)
			found := ""
			for _, x := range proven {
				if x.deep {
					continue
				}
				if _, _, wrong, _ := searchLone(x.terms, g, mostLone); wrong != "" {
					found = x.name + ": " + wrong
					break
				}
			}
			require.NotEmpty(t, found)
			t.Log(found)
		})
	}
}

// TestQuorums: any two quorums of a council have a member in common, for councils of every size that settings allow; and so
// have any two routers' during a change of the set, as long as one goes by a set that the other goes by, too.
func TestQuorums(t *testing.T) {
	quorums := func(size int) (out []uint) {
		for q := uint(0); q < 1<<size; q++ {
			if bits.OnesCount(q) > size/2 {
				out = append(out, q)
			}
		}
		return out
	}
	for size := 1; size <= 9; size += 2 {
		pairs := 0
		for _, a := range quorums(size) {
			for _, b := range quorums(size) {
				require.NotZero(t, a&b)
				pairs++
			}
		}
		t.Logf("council of %d: %d pairs of quorums", size, pairs)
	}
	// claim.until is what the code calls a quorum: it must be a majority of each council and nothing less.
	for size := 1; size <= 9; size += 2 {
		all := make([]int, size)
		for i := range all {
			all[i] = i
		}
		for q := uint(0); q < 1<<size; q++ {
			c := claim{votes: make([]vote, size), quorum: [][]int{all}}
			for i := range size {
				if q&(1<<i) != 0 {
					c.votes[i].until = 10
				}
			}
			ends := c.until(func(v vote) float64 { return v.until }, allGuards)
			require.Equal(t, bits.OnesCount(q) > size/2, ends == 10, "%b of %d", q, size)
		}
	}
	// Two sets: a claim by both needs a majority of both, so it meets claims by either.
	first, second := []int{0, 1, 2}, []int{2, 3, 4}
	for q := uint(0); q < 1<<5; q++ {
		c := claim{votes: make([]vote, 5), quorum: [][]int{first, second}}
		in := func(council []int) (n int) {
			for _, i := range council {
				if q&(1<<i) != 0 {
					n++
				}
			}
			return n
		}
		for i := range 5 {
			if q&(1<<i) != 0 {
				c.votes[i].until = 10
			}
		}
		ends := c.until(func(v vote) float64 { return v.until }, allGuards)
		require.Equal(t, in(first) >= 2 && in(second) >= 2, ends == 10, "%b", q)
	}
}

// TestLapse: a token is chosen only while a quorum's grants run, and is gone once they don't: all ways of three votes that
// come and run out in any order.
func TestLapse(t *testing.T) {
	type state struct {
		c   claim
		now float64
	}
	ways := 0
	var go_ func(s state, left int)
	go_ = func(s state, left int) {
		running := 0
		for _, v := range s.c.votes {
			if s.now < v.until {
				running++
			}
		}
		s.c.lapse(s.now, allGuards)
		require.False(t, s.c.token > 0 && running < 2, "a token without a quorum")
		require.False(t, s.c.holds(s.now, allGuards) && running < 2)
		if ways++; left == 0 {
			return
		}
		for m := range 3 {
			for _, stored := range []bool{false, true} {
				n := state{s.c, s.now}
				n.c.votes = slices.Clone(s.c.votes)
				token := n.c.token
				n.c.answered(m, granting{at: s.now, to: n.c.me, granted: true, stored: stored, token: token, serial: 1}, s.now, 3, allGuards)
				go_(n, left-1)
			}
		}
		n := state{s.c, s.now + 1}
		n.c.votes = slices.Clone(s.c.votes)
		go_(n, left-1)
	}
	go_(state{claim{me: who{1, 1}, votes: make([]vote, 3), quorum: [][]int{{0, 1, 2}}}, 10}, 7)
	t.Logf("%d ways", ways)
}
