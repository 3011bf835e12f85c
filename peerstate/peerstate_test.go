package peerstate

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"eiderway/testing/scenario"
)

const bound = 0.2

// scene plays a Table of a text. The notation (ROUTER is a number, or first, second, last: by who should coordinate group 0):
//
//	table me=ROUTER of=N                   a new one
//	node NAME [GROUP], forget NAME         of the list
//	observe NAME AGE [primary]             a probe of ours has shown that it stands as long ago
//	started NAME, finished NAME AGE        a submission of ours
//	read [TIMES], write, primary           reads come; a write; a txn waits for its primary
//	from ROUTER KIND [NAME AGE [primary] [load=N] [number=N]]...   a datagram; KIND is subscribe, subscribe-now, seek-primary,
//	                                       report, started, finished, update; what started or finished is the router's
//	                                       next there, or the one with that number
//	late ROUTER SECONDS KIND ...           one that was as long on its way
//	garbled ROUTER, stranger ROUTER        one with a bit turned; one that says it is another's
//	wait SECONDS
//	expect WHAT..., never WHAT...          since the last expect: KIND to ROUTER|NUMBER|all [NAMES], probe NAME, state NAME AGE, due,
//	                                       heard
//	rests yes|no                           nothing is due
//	load NAME N                            submissions that are counted there
type scene struct {
	t      *testing.T
	where  string
	now    float64
	me     int
	of     int
	table  *Table
	names  map[string]int
	did    []string
	until  float64
	counts map[string]int // what has started and finished so far, by kind, router and node
}

var kindNames = map[string]messageKind{"subscribe": kindSubscribe, "subscribe-now": kindSubscribeNow, "seek-primary": kindSeekPrimary,
	"report": kindReport, "started": kindStarted, "finished": kindFinished, "update": kindUpdate}

func (s *scene) number(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	require.NoError(s.t, err, s.where)
	return v
}

func (s *scene) router(text string) int {
	all := make([]int, s.of)
	for i := range all {
		all[i] = i
	}
	slices.SortFunc(all, func(a, b int) int { return cmp.Compare(rank(0, b), rank(0, a)) })
	switch text {
	case "first":
		return all[0]
	case "second":
		return all[1]
	case "last":
		return all[s.of-1]
	}
	return int(s.number(text))
}

// datagram is what a peer would send. Words follow as name, age, and what else is said of it.
func (s *scene) datagram(from int, f []string, at float64) []byte {
	var about []*node
	for i := 1; i < len(f); {
		n := &node{key: s.table.nodes[s.names[f[i]]].key, position: at - s.number(f[i+1])}
		if f[0] == "started" || f[0] == "finished" {
			who := fmt.Sprint(f[0], from, f[i])
			s.counts[who]++
			n.started, n.finished = s.counts[who], s.counts[who]
		}
		for i += 2; i < len(f); i++ {
			if load, ok := strings.CutPrefix(f[i], "load="); ok {
				n.started = int(s.number(load))
			} else if number, ok := strings.CutPrefix(f[i], "number="); ok {
				n.started, n.finished = int(s.number(number)), int(s.number(number))
			} else if f[i] == "primary" {
				n.primaryPosition = n.position
			} else {
				break
			}
		}
		about = append(about, n)
	}
	k, ok := kindNames[f[0]]
	require.True(s.t, ok, s.where)
	return encode(k, from, 0, about, bound/ageSteps, at)
}

// settle writes down the effects.
func (s *scene) settle() {
	e := s.table.Effects()
	for _, update := range e.Updates {
		s.until = update.Until
		if update.Heard {
			s.did = append(s.did, "heard")
		} else {
			s.did = append(s.did, "due")
		}
		for _, w := range update.Nodes {
			s.did = append(s.did, fmt.Sprintf("state %s %g", s.name(w.Node), math.Round((s.now-w.Pos)*1000)/1000))
		}
	}
	for _, id := range e.Probes {
		s.did = append(s.did, "probe "+s.name(id))
	}
	for _, x := range e.Sends {
		to := map[bool]string{true: "all", false: strconv.Itoa(x.To)}[x.To == All]
		for name := range map[string]bool{"first": true, "second": true, "last": true} {
			if x.To != All && x.To == s.router(name) {
				to = name
			}
		}
		m, err := decode(x.Bytes, s.now, bound/ageSteps)
		require.NoError(s.t, err, s.where)
		line := ""
		for name, k := range kindNames {
			if k == m.kind {
				line = name + " to " + to
			}
		}
		for _, key := range m.keys {
			for _, n := range s.table.nodes {
				if n != nil && n.key == key {
					line += " " + s.name(n.id)
				}
			}
		}
		s.did = append(s.did, line)
	}
}

func (s *scene) name(id int) string {
	for name, i := range s.names {
		if i == id {
			return name
		}
	}
	return "?"
}

func (s *scene) play(f []string) {
	rest := func(i int) []string { return f[min(i, len(f)):] }
	switch f[0] {
	case "table":
		s.of = int(s.number(strings.TrimPrefix(f[2], "of=")))
		s.me = s.router(strings.TrimPrefix(f[1], "me="))
		s.table = New(Config{Self: s.me, Routers: s.of, Seed: 1, Bound: bound})
	case "node":
		group := 0
		if len(f) > 2 {
			group = int(s.number(f[2]))
		}
		s.names[f[1]] = len(s.names)
		s.table.AddNode(s.names[f[1]], f[1], group)
	case "forget":
		s.table.RemoveNode(s.names[f[1]])
		s.names["was "+f[1]] = s.names[f[1]]
		delete(s.names, f[1])
	case "observe":
		s.table.Observe(s.names[f[1]], s.now-s.number(f[2]), len(f) > 3, s.now)
	case "started":
		s.table.Started(s.names[f[1]], s.now)
	case "finished":
		s.table.Finished(s.names[f[1]], s.now-s.number(f[2]), false, s.now)
	case "write":
		s.table.Arrived(0, true, s.now)
	case "read":
		times := 1
		if len(f) > 1 {
			times = int(s.number(f[1]))
		}
		for range times {
			s.table.Arrived(0, false, s.now)
		}
	case "primary":
		s.table.AwaitPrimary(0, s.now)
	case "from":
		require.True(s.t, s.table.Receive(s.router(f[1]), s.datagram(s.router(f[1]), rest(2), s.now), s.now), s.where)
	case "late":
		require.True(s.t, s.table.Receive(s.router(f[1]), s.datagram(s.router(f[1]), rest(3), s.now-s.number(f[2])), s.now), s.where)
	case "garbled":
		b := s.datagram(s.router(f[1]), rest(2), s.now)
		for i := range len(b) * 8 {
			b[i/8] ^= 1 << (i % 8)
			require.False(s.t, s.table.Receive(s.router(f[1]), b, s.now), "%s: bit %d", s.where, i)
			b[i/8] ^= 1 << (i % 8)
		}
	case "stranger":
		require.False(s.t, s.table.Receive(s.router(f[1]), s.datagram(s.of+3, []string{"subscribe"}, s.now), s.now), s.where)
	case "wait":
		for end := s.now + s.number(f[1]); ; {
			next := s.table.Next()
			if next > end {
				s.now = end
				break
			}
			s.now = max(s.now, next)
			s.table.Step(s.now)
			s.settle()
		}
	case "expect", "never":
		i := slices.IndexFunc(s.did, func(did string) bool { return strings.HasPrefix(did+" ", strings.Join(f[1:], " ")+" ") })
		if f[0] == "never" {
			require.Less(s.t, i, 0, "%s: %q", s.where, s.did)
			return
		}
		require.GreaterOrEqual(s.t, i, 0, "%s: did %q", s.where, s.did)
		s.did = s.did[i+1:]
	case "rests":
		require.Equal(s.t, f[1] == "yes", math.IsInf(s.table.Next(), 1), s.where)
	case "load":
		require.Equal(s.t, int(s.number(f[2])), s.table.nodes[s.names[f[1]]].load(s.now), s.where)
	default:
		require.Fail(s.t, "unknown line", s.where)
	}
	s.settle()
}

func TestScenarios(t *testing.T) {
	scenario.Each(t, func(t *testing.T, path string) {
		s := &scene{t: t, now: 1e9, names: map[string]int{}, counts: map[string]int{}}
		for _, line := range scenario.MustRead(t, path) {
			s.where = line.Location
			s.play(line.Words)
		}
	})
}

// TestNeverYounger: whatever becomes of datagrams (lost, doubled, late, reordered, garbled), no state that comes out of a
// Table is younger than what its node has named to somebody.
func TestNeverYounger(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(rt, "seed")))
		const routers, nodes = 6, 5
		now := 1e9 + rapid.Float64Range(0, 1e7).Draw(rt, "start")
		stands := make([]float64, nodes) // the position that a node has named last
		var tables []*Table
		type flying struct {
			from, to int
			b        []byte
		}
		var air []flying
		for i := range routers {
			b := New(Config{Self: i, Routers: routers, Seed: int64(i), Bound: bound})
			for n := range nodes {
				b.AddNode(n, fmt.Sprint(n), 0)
			}
			tables = append(tables, b)
		}
		settle := func(i int) {
			e := tables[i].Effects()
			for _, s := range e.Sends {
				for to := range routers {
					if to != i && (s.To == All || s.To == to) {
						air = append(air, flying{i, to, s.Bytes})
					}
				}
			}
			for _, update := range e.Updates {
				for _, w := range update.Nodes {
					if w.Pos > stands[w.Node]+1e-6 {
						rt.Fatalf("node %d stands at %.4f, a state says %.4f", w.Node, stands[w.Node], w.Pos)
					}
				}
			}
		}
		for range rapid.IntRange(20, 300).Draw(rt, "steps") {
			now += rng.Float64() * 0.05
			i, n := rng.Intn(routers), rng.Intn(nodes)
			switch rng.Intn(5) {
			case 0:
				tables[i].Arrived(0, rng.Intn(4) == 0, now)
			case 1:
				if rng.Intn(3) > 0 {
					stands[n] = max(stands[n], now-rng.Float64()*0.5) // else it stands still
				}
				if stands[n] > 0 {
					tables[i].Finished(n, stands[n], n == 0, now)
				}
			case 2, 3:
				if len(air) > 0 {
					k := rng.Intn(len(air))
					f := air[k]
					b := slices.Clone(f.b)
					switch rng.Intn(6) {
					case 0: // lost
						air = slices.Delete(air, k, k+1)
						continue
					case 1: // garbled
						b[rng.Intn(len(b))] ^= byte(1 + rng.Intn(255))
					case 2: // doubled: it stays in the air
					default:
						air = slices.Delete(air, k, k+1)
					}
					tables[f.to].Receive(f.from, b, now)
					settle(f.to)
				}
			case 4:
				tables[i].Step(now)
			}
			settle(i)
		}
	})
}

// TestLoads: whatever way messages take (doubled, overtaken, seconds late), a coordinator counts what is in flight, once they have come; of
// those that are lost, once each router's next have.
func TestLoads(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(rt, "seed")))
		loses := rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(rt, "loses")
		const routers = 6
		now := 1e9
		coordinator := -1
		var tables []*Table
		for i := range routers {
			b := New(Config{Self: i, Routers: routers, Seed: int64(i), Bound: bound})
			b.AddNode(0, "a", 0)
			tables = append(tables, b)
			if coordinator < 0 || rank(0, i) > rank(0, coordinator) {
				coordinator = i
			}
		}
		type flying struct {
			at   float64
			from int
			b    []byte
		}
		var air []flying
		settle := func(i int, lossless bool) {
			for _, s := range tables[i].Effects().Sends {
				for to := range routers {
					switch {
					case to == i || s.To != All && s.To != to:
					case i == coordinator:
						tables[to].Receive(i, s.Bytes, now)
					case to == coordinator && (lossless || rng.Float64() >= loses):
						for range 1 + rng.Intn(20)/19 {
							late := map[bool]float64{true: 1, false: 0.005}[rng.Intn(50) == 0]
							air = append(air, flying{now + rng.Float64()*late, i, s.Bytes})
						}
					}
				}
			}
		}
		lands := func(until float64) {
			for {
				next := -1
				for k, f := range air {
					if f.at <= until && (next < 0 || f.at < air[next].at) {
						next = k
					}
				}
				if next < 0 {
					break
				}
				f := air[next]
				air = slices.Delete(air, next, next+1)
				now = max(now, f.at)
				tables[coordinator].Receive(f.from, f.b, now)
				settle(coordinator, false)
			}
			now = max(now, until)
			tables[coordinator].Step(now)
			settle(coordinator, false)
		}
		outs := make([]int, routers)
		submits := func(i int, lossless bool) {
			tables[i].Started(0, now)
			outs[i]++
			settle(i, lossless)
		}
		ends := func(i int, lossless bool) {
			tables[i].Finished(0, now, false, now)
			outs[i]--
			settle(i, lossless)
		}
		wanted := func() {
			tables[coordinator].AwaitPrimary(0, now)
			lands(now + 0.01)
		}
		tables[coordinator].Observe(0, now, false, now)
		wanted()
		for _, does := range []func(int, bool){submits, ends} { // what a router had out before it is heard is not known
			for i := range routers {
				does(i, true)
			}
			lands(now + 1)
			wanted()
		}
		for range rapid.IntRange(10, 150).Draw(rt, "steps") {
			if i := rng.Intn(routers); outs[i] > 0 && rng.Intn(2) == 0 {
				ends(i, false)
			} else {
				submits(i, false)
			}
			lands(now + rng.Float64()*0.004)
			tables[coordinator].Observe(0, now, false, now)
			wanted()
		}
		for i := range routers {
			submits(i, true)
			submits(i, true)
			ends(i, true)
		}
		lands(now + 1)
		want := 0
		for _, n := range outs {
			want += n
		}
		if got := tables[coordinator].nodes[0].load(now); got != want {
			rt.Fatalf("%d are in flight (%d), the coordinator counts %d", want, outs, got)
		}
	})
}

// TestCoordinators: each router coordinates about its even part of the groups, and one that is unreachable hands on only its own.
func TestCoordinators(t *testing.T) {
	const routers, groups = 30, 3000
	b := New(Config{Self: 0, Routers: routers, Bound: bound})
	kept := make([]int, routers)
	was := make([]int, groups)
	for g := range groups {
		was[g] = b.chooseCoordinator(b.group(g), 0)
		kept[was[g]]++
	}
	require.Less(t, slices.Max(kept), 2*groups/routers)
	require.Greater(t, slices.Min(kept), groups/routers/2)
	b.unreachableUntil[7] = math.Inf(1)
	for g := range groups {
		if now := b.chooseCoordinator(b.group(g), 0); was[g] != 7 {
			require.Equal(t, was[g], now)
		} else {
			require.NotEqual(t, 7, now)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(encode(kindUpdate, 3, 1, []*node{{key: 7, position: 1e9}, {key: 9, position: 1e9 - 0.1, primaryPosition: 1e9}}, bound/ageSteps, 1e9))
	f.Add([]byte{byte(kindSubscribe)})
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := decode(b, 1e9, bound/ageSteps); err == nil {
			require.Len(t, m.positions, len(m.keys))
			for _, pos := range m.positions {
				require.LessOrEqual(t, pos, 1e9+maxClockAhead)
			}
		}
	})
}
