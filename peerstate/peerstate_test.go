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

// scenarioRunner runs a scenario file against one Table. The words of a file (ROUTER is a number, or first, second or last in
// the order in which routers should coordinate group 0):
//
//	table me=ROUTER of=N                   creates the Table of one of N routers
//	node NAME [GROUP], forget NAME         adds a node, removes it
//	observe NAME AGE [primary]             this router's probe has shown that the node's position is AGE seconds old
//	started NAME, finished NAME AGE        a submission of this router starts, finishes
//	read [TIMES], write, primary           reads arrive; a write arrives; a txn waits for its primary
//	from ROUTER KIND [NAME AGE [primary] [load=N] [number=N]]...   a datagram comes; KIND is subscribe, subscribe-now,
//	                                       seek-primary, report, started, finished or update; started and finished are about
//	                                       the router's next submission there, or the one with that number
//	late ROUTER SECONDS KIND ...           a datagram comes that was sent SECONDS ago
//	garbled ROUTER KIND ...                a datagram comes with one bit flipped, for each of its bits
//	stranger ROUTER                        a datagram comes that names another router as its sender
//	wait SECONDS                           time passes, and Step is called when it is due
//	expect WHAT..., never WHAT...          what has or hasn't happened since the last expect: KIND to ROUTER|NUMBER|all [NAMES],
//	                                       probe NAME, state NAME AGE, due (an answer is expected), heard (a coordinator is active)
//	rests yes|no                           whether no Step is due any more
//	load NAME N                            number of submissions counted in flight at the node
type scenarioRunner struct {
	t           *testing.T
	place       string // file and line of the scenario
	now         float64
	self        int
	routers     int
	table       *Table
	names       map[string]int
	events      []string // effects since the last expect
	until       float64
	submissions map[string]int // started and finished so far, by kind, router and node
}

var kindNames = map[string]messageKind{"subscribe": kindSubscribe, "subscribe-now": kindSubscribeNow, "seek-primary": kindSeekPrimary,
	"report": kindReport, "started": kindStarted, "finished": kindFinished, "update": kindUpdate}

func (s *scenarioRunner) number(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	require.NoError(s.t, err, s.place)
	return v
}

func (s *scenarioRunner) router(text string) int {
	all := make([]int, s.routers)
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
		return all[s.routers-1]
	}
	return int(s.number(text))
}

// datagram returns what a peer would send at a time. The words are a kind and, for each node, its name, its age and attributes.
func (s *scenarioRunner) datagram(from int, words []string, at float64) []byte {
	var about []*node
	for i := 1; i < len(words); {
		n := &node{nameHash: s.table.nodes[s.names[words[i]]].nameHash, position: at - s.number(words[i+1])}
		if words[0] == "started" || words[0] == "finished" {
			submitter := fmt.Sprint(words[0], from, words[i])
			s.submissions[submitter]++
			n.started, n.finished = s.submissions[submitter], s.submissions[submitter]
		}
		for i += 2; i < len(words); i++ {
			if load, ok := strings.CutPrefix(words[i], "load="); ok {
				n.started = int(s.number(load))
			} else if number, ok := strings.CutPrefix(words[i], "number="); ok {
				n.started, n.finished = int(s.number(number)), int(s.number(number))
			} else if words[i] == "primary" {
				n.primaryPosition = n.position
			} else {
				break
			}
		}
		about = append(about, n)
	}
	k, ok := kindNames[words[0]]
	require.True(s.t, ok, s.place)
	return encode(k, from, 0, about, bound/ageSteps, at)
}

// recordEffects appends the effects of the table to the events.
func (s *scenarioRunner) recordEffects() {
	e := s.table.Effects()
	for _, update := range e.Updates {
		s.until = update.Until
		if update.Heard {
			s.events = append(s.events, "heard")
		} else {
			s.events = append(s.events, "due")
		}
		for _, state := range update.Nodes {
			s.events = append(s.events, fmt.Sprintf("state %s %g", s.name(state.Node), math.Round((s.now-state.Pos)*1000)/1000))
		}
	}
	for _, id := range e.Probes {
		s.events = append(s.events, "probe "+s.name(id))
	}
	for _, sent := range e.Sends {
		to := map[bool]string{true: "all", false: strconv.Itoa(sent.To)}[sent.To == All]
		for name := range map[string]bool{"first": true, "second": true, "last": true} {
			if sent.To != All && sent.To == s.router(name) {
				to = name
			}
		}
		m, err := decode(sent.Bytes, s.now, bound/ageSteps)
		require.NoError(s.t, err, s.place)
		line := ""
		for name, k := range kindNames {
			if k == m.kind {
				line = name + " to " + to
			}
		}
		for _, nameHash := range m.nameHashes {
			for _, n := range s.table.nodes {
				if n != nil && n.nameHash == nameHash {
					line += " " + s.name(n.id)
				}
			}
		}
		s.events = append(s.events, line)
	}
}

func (s *scenarioRunner) name(id int) string {
	for name, i := range s.names {
		if i == id {
			return name
		}
	}
	return "?"
}

func (s *scenarioRunner) runLine(words []string) {
	wordsFrom := func(i int) []string { return words[min(i, len(words)):] }
	switch words[0] {
	case "table":
		s.routers = int(s.number(strings.TrimPrefix(words[2], "of=")))
		s.self = s.router(strings.TrimPrefix(words[1], "me="))
		s.table = New(Config{Self: s.self, Routers: s.routers, Seed: 1, Bound: bound})
	case "node":
		group := 0
		if len(words) > 2 {
			group = int(s.number(words[2]))
		}
		s.names[words[1]] = len(s.names)
		s.table.AddNode(s.names[words[1]], words[1], group)
	case "forget":
		s.table.RemoveNode(s.names[words[1]])
		s.names["was "+words[1]] = s.names[words[1]]
		delete(s.names, words[1])
	case "observe":
		s.table.Observe(s.names[words[1]], s.now-s.number(words[2]), len(words) > 3, s.now)
	case "started":
		s.table.RecordStart(s.names[words[1]], s.now)
	case "finished":
		s.table.RecordFinish(s.names[words[1]], s.now-s.number(words[2]), false, s.now)
	case "write":
		s.table.RecordArrival(0, true, s.now)
	case "read":
		times := 1
		if len(words) > 1 {
			times = int(s.number(words[1]))
		}
		for range times {
			s.table.RecordArrival(0, false, s.now)
		}
	case "primary":
		s.table.AwaitPrimary(0, s.now)
	case "from":
		require.True(s.t, s.table.Receive(s.router(words[1]), s.datagram(s.router(words[1]), wordsFrom(2), s.now), s.now), s.place)
	case "late":
		require.True(s.t, s.table.Receive(s.router(words[1]), s.datagram(s.router(words[1]), wordsFrom(3), s.now-s.number(words[2])), s.now),
			s.place)
	case "garbled":
		b := s.datagram(s.router(words[1]), wordsFrom(2), s.now)
		for i := range len(b) * 8 {
			b[i/8] ^= 1 << (i % 8)
			require.False(s.t, s.table.Receive(s.router(words[1]), b, s.now), "%s: bit %d", s.place, i)
			b[i/8] ^= 1 << (i % 8)
		}
	case "stranger":
		require.False(s.t, s.table.Receive(s.router(words[1]), s.datagram(s.routers+3, []string{"subscribe"}, s.now), s.now), s.place)
	case "wait":
		for end := s.now + s.number(words[1]); ; {
			next := s.table.Next()
			if next > end {
				s.now = end
				break
			}
			s.now = max(s.now, next)
			s.table.Step(s.now)
			s.recordEffects()
		}
	case "expect", "never":
		i := slices.IndexFunc(s.events, func(event string) bool { return strings.HasPrefix(event+" ", strings.Join(words[1:], " ")+" ") })
		if words[0] == "never" {
			require.Less(s.t, i, 0, "%s: %q", s.place, s.events)
			return
		}
		require.GreaterOrEqual(s.t, i, 0, "%s: events %q", s.place, s.events)
		s.events = s.events[i+1:]
	case "rests":
		require.Equal(s.t, words[1] == "yes", math.IsInf(s.table.Next(), 1), s.place)
	case "load":
		require.Equal(s.t, int(s.number(words[2])), s.table.nodes[s.names[words[1]]].load(s.now), s.place)
	default:
		require.Fail(s.t, "unknown scenario word", s.place)
	}
	s.recordEffects()
}

func TestScenarios(t *testing.T) {
	scenario.Each(t, func(t *testing.T, path string) {
		s := &scenarioRunner{t: t, now: 1e9, names: map[string]int{}, submissions: map[string]int{}}
		for _, line := range scenario.MustRead(t, path) {
			s.place = line.Location
			s.runLine(line.Words)
		}
	})
}

// TestStatesAreNeverNewerThanNodes checks that no state that a Table returns has a newer position than its node has named to any
// router, even if datagrams are lost, duplicated, late, reordered or corrupted.
func TestStatesAreNeverNewerThanNodes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(rt, "seed")))
		const routers, nodes = 6, 5
		now := 1e9 + rapid.Float64Range(0, 1e7).Draw(rt, "start")
		named := make([]float64, nodes) // the last position that each node has named
		var tables []*Table
		type datagram struct {
			from, to int
			b        []byte
		}
		var inTransit []datagram
		for i := range routers {
			table := New(Config{Self: i, Routers: routers, Seed: int64(i), Bound: bound})
			for n := range nodes {
				table.AddNode(n, fmt.Sprint(n), 0)
			}
			tables = append(tables, table)
		}
		handleEffects := func(i int) {
			e := tables[i].Effects()
			for _, s := range e.Sends {
				for to := range routers {
					if to != i && (s.To == All || s.To == to) {
						inTransit = append(inTransit, datagram{i, to, s.Bytes})
					}
				}
			}
			for _, update := range e.Updates {
				for _, state := range update.Nodes {
					if state.Pos > named[state.Node]+1e-6 {
						rt.Fatalf("node %d has position %.4f, but a state says %.4f", state.Node, named[state.Node], state.Pos)
					}
				}
			}
		}
		for range rapid.IntRange(20, 300).Draw(rt, "steps") {
			now += rng.Float64() * 0.05
			i, n := rng.Intn(routers), rng.Intn(nodes)
			switch rng.Intn(5) {
			case 0:
				tables[i].RecordArrival(0, rng.Intn(4) == 0, now)
			case 1:
				if rng.Intn(3) > 0 {
					named[n] = max(named[n], now-rng.Float64()*0.5) // otherwise its position stays
				}
				if named[n] > 0 {
					tables[i].RecordFinish(n, named[n], n == 0, now)
				}
			case 2, 3:
				if len(inTransit) > 0 {
					k := rng.Intn(len(inTransit))
					f := inTransit[k]
					b := slices.Clone(f.b)
					switch rng.Intn(6) {
					case 0: // lost
						inTransit = slices.Delete(inTransit, k, k+1)
						continue
					case 1: // corrupted
						b[rng.Intn(len(b))] ^= byte(1 + rng.Intn(255))
					case 2: // duplicated: it stays in transit
					default:
						inTransit = slices.Delete(inTransit, k, k+1)
					}
					tables[f.to].Receive(f.from, b, now)
					handleEffects(f.to)
				}
			case 4:
				tables[i].Step(now)
			}
			handleEffects(i)
		}
	})
}

// TestLoadIsExactAfterDelaysAndLosses checks that a coordinator counts the submissions in flight exactly, although messages are
// duplicated, overtaken or up to a second late, once they have arrived; and although some are lost, once the next ones of each router
// have arrived.
func TestLoadIsExactAfterDelaysAndLosses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(rt, "seed")))
		lossRate := rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(rt, "loses")
		const routers = 6
		now := 1e9
		coordinator := -1
		var tables []*Table
		for i := range routers {
			table := New(Config{Self: i, Routers: routers, Seed: int64(i), Bound: bound})
			table.AddNode(0, "a", 0)
			tables = append(tables, table)
			if coordinator < 0 || rank(0, i) > rank(0, coordinator) {
				coordinator = i
			}
		}
		type datagram struct {
			at   float64
			from int
			b    []byte
		}
		var inTransit []datagram
		send := func(i int, lossless bool) {
			for _, s := range tables[i].Effects().Sends {
				for to := range routers {
					switch {
					case to == i || s.To != All && s.To != to:
					case i == coordinator:
						tables[to].Receive(i, s.Bytes, now)
					case to == coordinator && (lossless || rng.Float64() >= lossRate):
						for range 1 + rng.Intn(20)/19 {
							late := map[bool]float64{true: 1, false: 0.005}[rng.Intn(50) == 0]
							inTransit = append(inTransit, datagram{now + rng.Float64()*late, i, s.Bytes})
						}
					}
				}
			}
		}
		arriveUntil := func(until float64) {
			for {
				next := -1
				for k, f := range inTransit {
					if f.at <= until && (next < 0 || f.at < inTransit[next].at) {
						next = k
					}
				}
				if next < 0 {
					break
				}
				f := inTransit[next]
				inTransit = slices.Delete(inTransit, next, next+1)
				now = max(now, f.at)
				tables[coordinator].Receive(f.from, f.b, now)
				send(coordinator, false)
			}
			now = max(now, until)
			tables[coordinator].Step(now)
			send(coordinator, false)
		}
		inFlight := make([]int, routers)
		submit := func(i int, lossless bool) {
			tables[i].RecordStart(0, now)
			inFlight[i]++
			send(i, lossless)
		}
		finish := func(i int, lossless bool) {
			tables[i].RecordFinish(0, now, false, now)
			inFlight[i]--
			send(i, lossless)
		}
		requestCoordination := func() {
			tables[coordinator].AwaitPrimary(0, now)
			arriveUntil(now + 0.01)
		}
		tables[coordinator].Observe(0, now, false, now)
		requestCoordination()
		// The coordinator does not know what a router had in flight before its first message.
		for _, act := range []func(int, bool){submit, finish} {
			for i := range routers {
				act(i, true)
			}
			arriveUntil(now + 1)
			requestCoordination()
		}
		for range rapid.IntRange(10, 150).Draw(rt, "steps") {
			if i := rng.Intn(routers); inFlight[i] > 0 && rng.Intn(2) == 0 {
				finish(i, false)
			} else {
				submit(i, false)
			}
			arriveUntil(now + rng.Float64()*0.004)
			tables[coordinator].Observe(0, now, false, now)
			requestCoordination()
		}
		for i := range routers {
			submit(i, true)
			submit(i, true)
			finish(i, true)
		}
		arriveUntil(now + 1)
		want := 0
		for _, n := range inFlight {
			want += n
		}
		if got := tables[coordinator].nodes[0].load(now); got != want {
			rt.Fatalf("%d submissions are in flight (by router: %d), the coordinator counts %d", want, inFlight, got)
		}
	})
}

// TestGroupsAreSpreadOverCoordinators checks that each router coordinates about the same number of groups, and that only the groups
// of an unreachable router move.
func TestGroupsAreSpreadOverCoordinators(t *testing.T) {
	const routers, groups = 30, 3000
	table := New(Config{Self: 0, Routers: routers, Bound: bound})
	groupCounts := make([]int, routers)
	before := make([]int, groups)
	for g := range groups {
		before[g] = table.chooseCoordinator(table.group(g), 0)
		groupCounts[before[g]]++
	}
	require.Less(t, slices.Max(groupCounts), 2*groups/routers)
	require.Greater(t, slices.Min(groupCounts), groups/routers/2)
	table.unreachableUntil[7] = math.Inf(1)
	for g := range groups {
		if now := table.chooseCoordinator(table.group(g), 0); before[g] != 7 {
			require.Equal(t, before[g], now)
		} else {
			require.NotEqual(t, 7, now)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encode(kindUpdate, 3, 1, []*node{{nameHash: 7, position: 1e9}, {nameHash: 9, position: 1e9 - 0.1, primaryPosition: 1e9}},
		bound/ageSteps, 1e9))
	f.Add([]byte{byte(kindSubscribe)})
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := decode(b, 1e9, bound/ageSteps); err == nil {
			require.Len(t, m.positions, len(m.nameHashes))
			for _, pos := range m.positions {
				require.LessOrEqual(t, pos, 1e9+maxClockAhead)
			}
		}
	})
}
