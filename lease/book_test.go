package lease

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"eiderway/testing/scenario"
)

// fleet is many Books in virtual time, with the ways between them.
type fleet struct {
	rng     *rand.Rand
	now     float64
	books   []*Book // nil: dead
	clocks  []float64
	rates   []float64
	frozen  []float64 // until then
	cut     map[[2]int]bool
	loss    float64
	delay   [2]float64
	queue   arrivals
	events  []happened
	count   int64
	bytes   int64
	bySides [][2]int64 // datagrams out and in, by router
	terms   func(i int) Terms
	lives   uint64
}

type happened struct {
	Event
	router int
	at     float64
}

type arrival struct {
	at       float64
	n        int
	from, to int
	bytes    []byte
}

type arrivals []arrival

func (a arrivals) Len() int { return len(a) }
func (a arrivals) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].n < a[j].n
}
func (a arrivals) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)   { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

func newFleet(n int, seed int64, terms func(i int) Terms) *fleet {
	f := &fleet{rng: rand.New(rand.NewSource(seed)), now: 1000, cut: map[[2]int]bool{}, delay: [2]float64{0.0002, 0.002}, terms: terms,
		books: make([]*Book, n), clocks: make([]float64, n), rates: make([]float64, n), frozen: make([]float64, n), bySides: make([][2]int64, n)}
	for i := range n {
		f.rates[i] = 1
		f.start(i)
	}
	return f
}

func (f *fleet) start(i int) {
	t := f.terms(i)
	f.lives++
	t.Me, t.Life, t.Seed = i, f.lives<<20+uint64(i), int64(f.lives)
	f.clocks[i] = f.rng.Float64() * 1e6
	b, err := New(t, f.clock(i))
	if err != nil {
		panic(err)
	}
	f.books[i] = b
	f.act(i)
}

// clock is a router's own time: its zero is its own, its rate perhaps wrong.
func (f *fleet) clock(i int) float64 { return f.clocks[i] + (f.now-1000)*f.rates[i] }

func (f *fleet) act(i int) {
	e := f.books[i].Effects()
	for _, x := range e.Events {
		f.events = append(f.events, happened{x, i, f.now})
	}
	for _, s := range e.Sends {
		to := []int{s.To}
		if s.To == All {
			to = to[:0]
			for k := range f.books {
				if k != i {
					to = append(to, k)
				}
			}
		}
		for _, k := range to {
			f.count++
			f.bytes += int64(len(s.Bytes))
			f.bySides[i][0]++
			f.bySides[k][1]++
			if k >= len(f.books) || f.cut[[2]int{i, k}] || f.rng.Float64() < f.loss {
				continue
			}
			heap.Push(&f.queue, arrival{f.now + f.delay[0] + f.rng.Float64()*(f.delay[1]-f.delay[0]), int(f.count), i, k, s.Bytes})
		}
	}
}

// run plays until a time.
func (f *fleet) run(until float64) {
	for {
		next, who := until, -1
		for i, b := range f.books {
			if b == nil {
				continue
			}
			at := max(f.frozen[i], f.now, 1000+(b.Next()-f.clocks[i])/f.rates[i])
			if at < next {
				next, who = at, i
			}
		}
		if len(f.queue) > 0 && f.queue[0].at <= next {
			x := heap.Pop(&f.queue).(arrival)
			if f.books[x.to] == nil {
				continue
			}
			if f.frozen[x.to] > x.at {
				x.at = f.frozen[x.to]
				heap.Push(&f.queue, x)
				continue
			}
			f.now = max(f.now, x.at)
			f.books[x.to].Take(x.from, x.bytes, f.clock(x.to))
			f.act(x.to)
			continue
		}
		if who < 0 {
			f.now = until
			return
		}
		f.now = next
		f.books[who].Step(f.clock(who) + 1e-9)
		f.act(who)
	}
}

// holders tells who holds a task now.
func (f *fleet) holders(task string) (out []int) {
	for i, b := range f.books {
		if b == nil || f.frozen[i] > f.now {
			continue
		}
		for _, s := range b.Seats(f.clock(i)) {
			if s.Task == task && s.Held {
				out = append(out, i)
			}
		}
	}
	return out
}

func one(n int, tasks ...Task) func(int) Terms {
	return func(int) Terms { return Terms{Routers: n, Span: 1, Drift: 0.01, Council: 5, Tasks: tasks} }
}

// TestGap measures how long a standing task is without a holder, by what ended it: `go test ./lease -run TestGap -v -gaps 40`.
var gaps = flag.Int("gaps", 3, "holders that are ended, each way, for TestGap")

func TestGap(t *testing.T) {
	for _, n := range []int{3, 10, 30, 100} {
		for _, how := range []string{"killed", "frozen", "cut off", "handed over"} {
			var took []float64
			for seed := range int64(*gaps) {
				f := newFleet(n, seed, one(n, Task{Name: "watch", Every: 0.2, Standing: true}))
				f.run(f.now + 4 + f.rng.Float64())
				held := f.holders("watch")
				require.Len(t, held, 1, "%d routers, seed %d", n, seed)
				from, h := f.now, held[0]
				switch how {
				case "killed":
					f.books[h] = nil
				case "frozen":
					f.frozen[h] = f.now + 100
				case "cut off":
					for k := range n {
						f.cut[[2]int{h, k}], f.cut[[2]int{k, h}] = true, true
					}
				case "handed over":
					require.True(t, f.books[h].Give("watch", (h+1)%n, f.clock(h)))
					f.act(h)
				}
				for {
					f.run(f.now + 0.005)
					if now := f.holders("watch"); len(now) == 1 && now[0] != h {
						break
					}
					require.Less(t, f.now-from, 10.0, "%d routers, holder %s, seed %d: nobody after it", n, how, seed)
				}
				took = append(took, f.now-from)
			}
			slices.Sort(took)
			t.Logf("| %d | %s | %.3f | %.3f |", n, how, took[len(took)/2], took[len(took)-1])
			if how == "handed over" {
				require.Less(t, took[len(took)-1], 0.1)
			} else {
				require.Less(t, took[len(took)-1], 2.0)
			}
		}
	}
}

// TestRest measures what a task costs at rest: who is in no council, and not first in the order, sends nothing but what the
// holder's words ask for.
func TestRest(t *testing.T) {
	for _, n := range []int{3, 10, 30, 100, 300, 1000} {
		f := newFleet(n, 1, one(n, Task{Name: "by hand"}, Task{Name: "watch", Every: 1, Standing: true}))
		f.run(f.now + 10)
		require.Len(t, f.holders("watch"), 1)
		f.count, f.bytes, f.bySides = 0, 0, make([][2]int64, n)
		const span = 20.0
		f.run(f.now + span)
		var outside int64
		seats := f.books[0].Seats(f.clock(0))
		for i := range n {
			if !slices.Contains(seats[1].Council, i) && f.books[i].place(f.books[i].seats[1]) >= places {
				outside = max(outside, f.bySides[i][0])
			}
		}
		t.Logf("| %d | %.1f | %.0f | %d |", n, float64(f.count)/span, float64(f.bytes)/span/float64(n), outside)
		require.Zero(t, outside, "a router that has no part in it sends")
	}
}

// TestScenarios plays testdata/*.txt: a line is a thing that happens, or what must be so then.
func TestScenarios(t *testing.T) {
	scenario.Each(t, func(t *testing.T, path string) {
		var f *fleet
		tasks := []Task{}
		last := -1
		drift := 0.01
		for _, line := range scenario.MustRead(t, path) {
			w, where := line.Words, line.Location
			num := func(i int) float64 {
				x, err := strconv.ParseFloat(w[i], 64)
				require.NoError(t, err, where)
				return x
			}
			router := func(i int) int { // a number, the holder, or members of its council
				switch {
				case w[i] == "holder":
					held := f.holders(tasks[0].Name)
					require.Len(t, held, 1, where)
					last = held[0]
					return last
				case w[i] == "last":
					return last
				case strings.HasPrefix(w[i], "member"):
					k, err := strconv.Atoi(w[i][6:])
					require.NoError(t, err, where)
					for _, m := range f.books[max(0, slices.IndexFunc(f.books, func(b *Book) bool { return b != nil }))].seats[0].members {
						if m == last {
							continue
						}
						if k--; k == 0 {
							return m
						}
					}
					require.Fail(t, where)
				}
				return int(num(i))
			}
			switch w[0] {
			case "task":
				k := Task{Name: w[1]}
				for _, x := range w[2:] {
					name, value, _ := strings.Cut(x, "=")
					v, _ := strconv.ParseFloat(value, 64)
					switch name {
					case "slots":
						k.Slots = int(v)
					case "every":
						k.Every = v
					case "standing":
						k.Standing = true
					}
				}
				tasks = append(tasks, k)
			case "drift":
				drift = num(1)
			case "fleet":
				n := int(num(1))
				f = newFleet(n, 1, func(int) Terms { return Terms{Routers: n, Span: 1, Drift: drift, Council: 5, Tasks: tasks} })
			case "wait":
				f.run(f.now + num(1))
			case "loss":
				f.loss = num(1)
			case "delay":
				f.delay = [2]float64{num(1), num(2)}
			case "rate":
				i := router(1)
				f.clocks[i] += (f.now - 1000) * (f.rates[i] - num(2))
				f.rates[i] = num(2)
			case "kill":
				f.books[router(1)] = nil
			case "start":
				f.start(router(1))
			case "freeze":
				f.frozen[router(1)] = f.now + num(2)
			case "cut", "mend": // from, to
				a, b := router(1), router(2)
				f.cut[[2]int{a, b}] = w[0] == "cut"
			case "alone", "back": // cut off from all
				a := router(1)
				for k := range f.books {
					f.cut[[2]int{a, k}], f.cut[[2]int{k, a}] = w[0] == "alone", w[0] == "alone"
				}
			case "half": // those below a number can't hear the others, nor be heard
				for a := range f.books {
					for b := range f.books {
						f.cut[[2]int{a, b}] = (float64(a) < num(1)) != (float64(b) < num(1))
					}
				}
			case "whole":
				clear(f.cut)
			case "want", "drop":
				i := router(1)
				f.books[i].Want(w[2], w[0] == "want", f.clock(i))
				f.act(i)
			case "leave":
				i := router(1)
				f.books[i].Leave("", f.clock(i))
				f.act(i)
			case "give":
				i := router(1)
				require.True(t, f.books[i].Give(tasks[0].Name, router(2), f.clock(i)), where)
				f.act(i)
			case "tell":
				i := router(1)
				require.True(t, f.books[i].Tell(tasks[0].Name, w[2], f.clock(i)), where)
				f.act(i)
			case "routers": // all go by another set
				for i, b := range f.books {
					if b != nil && (len(w) < 4 || i < int(num(3))) {
						b.Routers(int(num(1)), int(num(2)), f.clock(i))
						f.act(i)
					}
				}
			case "expect":
				switch w[1] {
				case "holders":
					require.Len(t, f.holders(tasks[0].Name), int(num(2)), where)
				case "holder":
					held := f.holders(tasks[0].Name)
					require.Len(t, held, 1, where)
					if w[2] == "other" {
						require.NotEqual(t, last, held[0], where)
					} else {
						require.Equal(t, router(2), held[0], where)
					}
				case "obeyed":
					n := 0
					for _, b := range f.books {
						if b != nil && b.seats[0].fence.now.text == w[2] {
							n++
						}
					}
					require.Equal(t, int(num(3)), n, where)
				case "stale":
					n := int64(0)
					for _, b := range f.books {
						if b != nil {
							n += b.Counted().Stales
						}
					}
					require.Positive(t, n, where)
				default:
					require.Fail(t, where)
				}
			default:
				require.Fail(t, where)
			}
		}
		if f != nil {
			judge(t, f)
		}
	})
}

// judge checks a history: words are obeyed under tokens that never fall, of one holder each, and holders come one after
// the other. Where a router claimed to hold, and until when, is told by its own clock; here all are in one.
func judge(t *testing.T, f *fleet) {
	type seat struct {
		task string
		slot int
	}
	type by struct {
		seat
		token uint64
	}
	owner := map[by]int{}
	newest := map[string]uint64{}
	held := map[seat]happened{}
	for _, e := range f.events {
		s := seat{e.Task, e.Slot}
		switch e.Kind {
		case Took:
			if was, ok := held[s]; ok && was.Token >= e.Token {
				require.Fail(t, "tokens fall", "%v after %v", e, was)
			}
			held[s] = e
		case Obeyed:
			k := by{s, e.Token}
			if h, ok := owner[k]; ok {
				require.Equal(t, h, e.Holder, "two holders of token %d", e.Token)
			}
			owner[k] = e.Holder
			at := fmt.Sprint(s, e.router)
			require.GreaterOrEqual(t, e.Token, newest[at], "%v", e)
			newest[at] = e.Token
		}
	}
}

func TestNextIsFinite(t *testing.T) {
	b, err := New(Terms{Routers: 3, Span: 1, Council: 5, Tasks: []Task{{Name: "x"}}}, 0)
	require.NoError(t, err)
	require.True(t, math.IsInf(b.Next(), 1), "nothing is wanted, nothing is due")
	require.Len(t, b.seats[0].council[0], 3)
	for _, bad := range []Terms{{Routers: 3, Span: 1, Council: 4}, {Routers: 0, Span: 1, Council: 3}, {Routers: 3, Span: 1, Council: 3, Drift: 1},
		{Routers: 3, Span: 1, Council: 3, Tasks: []Task{{Name: "x"}, {Name: "x"}}}} {
		_, err := New(bad, 0)
		require.Error(t, err)
	}
	require.False(t, b.Take(1, []byte("not ours"), 1))
	good := (&message{Kind: ask, From: 1, Routers: 3, Task: b.seats[0].key}).format()
	require.LessOrEqual(t, headBytes+mostText, mostBytes)
	require.Len(t, good, headBytes)
	for i := range good {
		spoilt := slices.Clone(good)
		spoilt[i] ^= 0x10
		require.False(t, b.Take(1, spoilt, 1), "byte %d", i)
	}
	require.False(t, b.Take(2, good, 1), "from the address of another")
	require.True(t, b.Take(1, good, 1))
}

// TestZones: a standing task that only some routers know of, as the list's watch of a zone, has its holder soon, and another
// soon after that is gone.
func TestZones(t *testing.T) {
	for seed := range int64(20) {
		f := newFleet(8, seed, func(i int) Terms {
			return Terms{Routers: 8, Span: 0.5, Drift: 0.01, Council: 5, Tasks: []Task{{Name: "list/a", Every: 0.2, Standing: i%2 == 0, Lent: i%2 == 1},
				{Name: "list/b", Every: 0.2, Standing: i%2 == 1, Lent: i%2 == 0}}}
		})
		for _, task := range []string{"list/a", "list/b"} {
			f.run(f.now + 3)
			held := f.holders(task)
			require.Len(t, held, 1, "%s, seed %d", task, seed)
			f.books[held[0]] = nil
			f.run(f.now + 2.5)
			require.Len(t, f.holders(task), 1, "%s, seed %d, after %d", task, seed, held[0])
		}
	}
}
