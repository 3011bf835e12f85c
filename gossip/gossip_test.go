package gossip

import (
	"flag"
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

// scene runs a scenario file against one Node. Each line is a step or a check:
//
//	node [zone=N] [servers=N] [believe-all]   make the Node, with servers 0 to N-1 in group 0
//	peers A-B [zone=N]                   these peers send a heartbeat now and every second
//	wait SECONDS                         advance the time, with ticks
//	accuse PEER SERVER [times]           the peer accuses the server, so often within a tenth of a second
//	retract PEER SERVER                  the peer takes its accusation back
//	leave PEER, restart PEER, silence PEER   the peer leaves, starts a new incarnation, stops its heartbeats
//	clock PEER SECONDS                   set the skew of the peer's clock
//	replay PEER                          the peer's last record arrives again
//	good SERVER, bad SERVER              a submission of ours succeeds, fails
//	up SERVER, down SERVER               a probe of ours succeeds, fails
//	fail PEER SERVER                     the peer accuses the server of failing submissions
//	forget SERVER, server SERVER         remove the server, add it
//	suspect SERVER, trust SERVER         check that the server is suspected now, or is not
//	weight PEER LOW HIGH                 check the range of the weight of the peer's accusations
//	tells KIND SERVER, silent            check what the Node has published since the last tells, or that it is nothing
//	answer SERVER SECONDS                a submission of ours is answered after so long
//	out SERVER, back SERVER              a submission of ours starts, and ends without showing anything
//	list N, version PEER N, asks TIMES   set the version of our list, of a peer's; check how often the list was requested
//	duplicate PEER yes|no                check whether two processes of the peer's name are to be told of each other now
//	under-way PEER, late PEER            the peer makes a heartbeat; it arrives at the line late
//	alive N                              check the number of alive peers
type scene struct {
	t              *testing.T
	place          string // file and line of the current step
	now            float64
	node           *Node
	peers          map[int]*testPeer
	lastRecord     map[int]Record  // by peer
	suspectedUntil map[int]float64 // by server
	published      []Record        // by the Node since the last line tells, without heartbeats
	started        map[int]float64 // by server: when its open submission was sent
	listRequests   int
}

// testPeer is a simulated peer of the Node.
type testPeer struct {
	incarnation, seq int64
	zone             int
	skew             float64
	silenced         bool
	delayedHeartbeat Record
}

func (s *scene) number(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	require.NoError(s.t, err, s.place)
	return v
}

// receive passes a record of a peer to the Node.
func (s *scene) receive(origin int, r Record) {
	p := s.peers[origin]
	require.NotNil(s.t, p, s.place)
	p.seq++
	r.Origin, r.Incarnation, r.Seq, r.At, r.Zone, r.Size = origin, p.incarnation, p.seq, s.now+p.skew, p.zone, recordBytes
	s.lastRecord[origin] = r
	e := s.node.Receive(r, s.now)
	if e.ListOutdated {
		s.listRequests++
	}
	s.noteSuspicions(e.Suspicions)
}

// noteSuspicions remembers until when servers are suspected.
func (s *scene) noteSuspicions(all []Suspicion) {
	for _, d := range all {
		s.suspectedUntil[d.Server] = d.Until
	}
}

// advance moves the time on in steps of 0.1 s.
func (s *scene) advance(seconds float64) {
	for end := s.now + seconds - 1e-9; s.now < end; {
		s.now += 0.1
		if tenth := int(math.Round(s.now * 10)); tenth%10 == 0 {
			for _, origin := range sortedKeys(s.peers) {
				if !s.peers[origin].silenced {
					s.receive(origin, Record{Kind: Alive, Server: -1})
				}
			}
		}
		e := s.node.Tick(s.now)
		s.noteSuspicions(e.Suspicions)
		for _, r := range e.Own {
			if r.Kind != Alive {
				s.published = append(s.published, r)
			}
			r.Size = recordBytes
			s.node.Publish(r)
		}
		s.node.Round(s.now)
	}
}

// play runs one line of a scenario.
func (s *scene) play(words []string) {
	arg := func(i int) int { return int(s.number(words[i])) }
	switch words[0] {
	case "node":
		config, servers := Config{Seed: 1, Incarnation: 1, BytesPerSecond: 8192, DatagramBytes: 1100, Accuse: true}, 4
		for _, o := range words[1:] {
			name, n, _ := strings.Cut(o, "=")
			switch name {
			case "zone":
				config.Zone = int(s.number(n))
			case "servers":
				servers = int(s.number(n))
			case "believe-all":
				config.BelieveAll = true
			default:
				require.Fail(s.t, "unknown option", s.place)
			}
		}
		s.node = New(config)
		for i := range servers {
			s.node.AddServer(i, 0)
		}
	case "peers":
		from, to, _ := strings.Cut(words[1], "-")
		zone := 0
		if len(words) > 2 {
			zone = int(s.number(strings.TrimPrefix(words[2], "zone=")))
		}
		for i := int(s.number(from)); i <= int(s.number(to)); i++ {
			s.peers[i] = &testPeer{incarnation: 1, zone: zone}
			s.receive(i, Record{Kind: Alive, Server: -1})
		}
	case "wait":
		s.advance(s.number(words[1]))
	case "accuse":
		times := 1
		if len(words) > 3 {
			times = arg(3)
		}
		for range times {
			s.receive(arg(1), Record{Kind: Accuse, Server: arg(2)})
			s.now += 0.1 / float64(times)
		}
	case "retract":
		s.receive(arg(1), Record{Kind: Retract, Server: arg(2)})
	case "leave":
		s.receive(arg(1), Record{Kind: Leave, Server: -1})
		s.peers[arg(1)].silenced = true
	case "answer":
		sent := s.now - s.number(words[2])
		s.node.Started(arg(1), sent)
		s.noteSuspicions(s.node.Observe(arg(1), true, false, sent, s.now))
	case "out":
		s.started[arg(1)] = s.now
		s.node.Started(arg(1), s.now)
	case "back":
		s.node.Finished(arg(1), s.started[arg(1)])
	case "list":
		s.node.SetListVersion(int64(arg(1)))
	case "version":
		s.receive(arg(1), Record{Kind: Alive, Server: -1, ListVersion: int64(arg(2))})
	case "asks":
		require.Equal(s.t, arg(1), s.listRequests, s.place)
	case "duplicate":
		require.Equal(s.t, words[2] == "yes", s.node.AllowDuplicateReport(arg(1), s.now), s.place)
	case "under-way":
		p := s.peers[arg(1)]
		p.seq++
		p.delayedHeartbeat = Record{Kind: Alive, Server: -1, Origin: arg(1), Incarnation: p.incarnation, Seq: p.seq, At: s.now, Zone: p.zone, Size: recordBytes}
	case "late":
		s.noteSuspicions(s.node.Receive(s.peers[arg(1)].delayedHeartbeat, s.now).Suspicions)
	case "silence":
		s.peers[arg(1)].silenced = true
	case "restart":
		p := s.peers[arg(1)]
		p.incarnation, p.seq, p.silenced = p.incarnation+1, 0, false
		s.receive(arg(1), Record{Kind: Alive, Server: -1})
	case "clock":
		s.peers[arg(1)].skew = s.number(words[2])
	case "replay":
		s.noteSuspicions(s.node.Receive(s.lastRecord[arg(1)], s.now).Suspicions)
	case "fail":
		s.receive(arg(1), Record{Kind: Accuse, Server: arg(2), Reason: Failing})
	case "good", "bad", "up", "down":
		s.noteSuspicions(s.node.Observe(arg(1), words[0] == "good" || words[0] == "up", words[0] == "up" || words[0] == "down", s.now, s.now))
		s.now += 0.001
	case "forget":
		s.node.RemoveServer(arg(1))
		delete(s.suspectedUntil, arg(1))
	case "server":
		s.node.AddServer(arg(1), 0)
	case "suspect":
		require.Greater(s.t, s.suspectedUntil[arg(1)], s.now, s.place)
	case "trust":
		require.LessOrEqual(s.t, s.suspectedUntil[arg(1)], s.now, s.place)
	case "weight":
		w := s.node.weight(s.node.peerAt(arg(1)), s.now)
		require.True(s.t, s.number(words[2]) <= w && w <= s.number(words[3]), "%s: it is %g", s.place, w)
	case "tells":
		i := slices.IndexFunc(s.published, func(r Record) bool {
			return map[string]Kind{"accuse": Accuse, "retract": Retract}[words[1]] == r.Kind && r.Server == arg(2)
		})
		require.GreaterOrEqual(s.t, i, 0, "%s: %v", s.place, s.published)
		s.published = nil
	case "silent":
		require.Empty(s.t, s.published, s.place)
	case "alive":
		require.Equal(s.t, arg(1), s.node.AlivePeers(), s.place)
	default:
		require.Fail(s.t, "unknown line", s.place)
	}
}

func TestScenarios(t *testing.T) {
	scenario.Each(t, func(t *testing.T, path string) {
		s := &scene{t: t, now: 1e6, peers: map[int]*testPeer{}, lastRecord: map[int]Record{}, suspectedUntil: map[int]float64{}, started: map[int]float64{}}
		for _, line := range scenario.MustRead(t, path) {
			s.place = line.Location
			s.play(line.Words)
		}
	})
}

// TestBelowQuorumSuspectsNothing checks that no sequence of records of fewer peers than a quorum makes a server suspected, that
// every suspicion ends, and that the state stays bounded.
func TestBelowQuorumSuspectsNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(rt, "peers")
		s := &scene{t: t, now: 1e6, peers: map[int]*testPeer{}, lastRecord: map[int]Record{}, suspectedUntil: map[int]float64{}, started: map[int]float64{}}
		s.play(strings.Fields("node servers=6"))
		for i := range n {
			s.play([]string{"peers", fmt.Sprintf("%d-%d", i, i), fmt.Sprintf("zone=%d", i%3)})
		}
		s.advance(6)
		accusers := int(s.node.Quorum()) - 1
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			origin, server := rapid.IntRange(0, min(accusers, n)-1).Draw(rt, "who"), rapid.IntRange(0, 5).Draw(rt, "node")
			switch rapid.IntRange(0, 6).Draw(rt, "what") {
			case 0, 1, 2:
				s.receive(origin, Record{Kind: Accuse, Server: server})
			case 3:
				s.receive(origin, Record{Kind: Retract, Server: server})
			case 4:
				s.play([]string{"replay", strconv.Itoa(origin)})
			case 5:
				s.advance(rapid.Float64Range(0, 2).Draw(rt, "wait"))
			case 6:
				s.play([]string{"restart", strconv.Itoa(origin)})
			}
			if s.node.Counts().Suspicions != 0 {
				rt.Fatalf("%d of %d peers made a server suspected; the quorum is %g", accusers, n, s.node.Quorum())
			}
		}
		for i := range n {
			s.receive(i, Record{Kind: Accuse, Server: 2})
		}
		s.advance(accusationLifetime + 0.2)
		for server, until := range s.suspectedUntil {
			if until > s.now {
				rt.Fatalf("server %d is still suspected after all accusations have expired", server)
			}
		}
		for _, server := range s.node.servers {
			if len(server.accusations) > 0 {
				rt.Fatalf("accusations remain after their lifetime")
			}
		}
		if len(s.node.queue) > 7*n+10 {
			rt.Fatalf("the queue has grown to %d records", len(s.node.queue))
		}
	})
}

var instanceCount = flag.Int("instances", 100, "number of instances that TestHungServerAtScale simulates")

// TestHungServerAtScale simulates many instances under loss while a server hangs and some instances have a faulty network of their
// own. With peer weights and the quorum nearly all instances suspect the hung server and none a healthy one; without them, healthy
// servers are suspected.
func TestHungServerAtScale(t *testing.T) {
	type figures struct {
		suspected, wrong int
		half, all        float64
		bytes            float64
	}
	run := func(believeAll bool, seed int64) (f figures, history []SimSuspicion) {
		n := *instanceCount
		s := NewSim(n, Config{BytesPerSecond: 8192, DatagramBytes: 1100, Accuse: true, BelieveAll: believeAll}, seed, func(i int, c *Config) { c.Zone = i % 2 })
		s.Loss = 0.3
		for _, node := range s.Nodes {
			for server := range 12 {
				node.AddServer(server, server/4)
			}
		}
		// The first few have a faulty network: their submissions to any server fail now and then.
		faulty := max(1, n/50)
		step := func(seconds float64, hung bool) {
			for end := s.Now + seconds; s.Now < end; {
				for i := range n {
					for server := range 12 {
						if (i+server+int(s.Now*5))%10 != 0 {
							continue // an instance submits to each server about once in two seconds
						}
						s.Observe(i, server, !(hung && server == 5) && !(i < faulty && server%3 == int(s.Now)%3))
					}
				}
				s.Run(0.2)
			}
		}
		step(40, false)
		bytes, from := s.Bytes, s.Now
		f.wrong = len(falseSuspicions(s.Suspicions, 1e18))
		step(8, true)
		f.bytes = float64(s.Bytes-bytes) / float64(n) / 8
		first := map[int]float64{}
		for _, d := range s.Suspicions {
			if d.Server == 5 && d.Until > d.At && d.At >= from {
				if _, ok := first[d.Node]; !ok {
					first[d.Node] = d.At - from
				}
			}
		}
		var times []float64
		for _, at := range first {
			times = append(times, at)
		}
		slices.Sort(times)
		f.suspected = len(times)
		if len(times) > 0 {
			f.half, f.all = times[len(times)/2], times[len(times)-1]
		}
		f.wrong = len(falseSuspicions(s.Suspicions, 5))
		return f, s.Suspicions
	}
	guarded, history := run(false, 1)
	unguarded, _ := run(true, 1)
	t.Logf("%d instances, 30%% loss, 2%% with a faulty network. With weights and quorum: %d suspect the hung server, half after %.1f s, the last after %.1f s; "+
		"%d suspicions of healthy servers; %.0f bytes/s per instance", *instanceCount, guarded.suspected, guarded.half, guarded.all, guarded.wrong, guarded.bytes)
	t.Logf("With any accusation believed: %d suspect it, half after %.1f s, the last after %.1f s; %d suspicions of healthy servers; %.0f bytes/s", unguarded.suspected, unguarded.half,
		unguarded.all, unguarded.wrong, unguarded.bytes)
	again, same := run(false, 1)
	require.Equal(t, guarded, again)
	require.Equal(t, history, same, "the same seed gives the same history")
	require.GreaterOrEqual(t, guarded.suspected, *instanceCount*9/10)
	require.Zero(t, guarded.wrong)
	require.Greater(t, unguarded.wrong, 0, "without weights and quorum healthy servers are suspected")
	require.Less(t, guarded.bytes, 8192.0*9/8, "eight seconds at the limit, and one second's worth at once")
}

// falseSuspicions returns the new suspicions of servers other than the given one.
func falseSuspicions(all []SimSuspicion, server float64) (out []SimSuspicion) {
	for _, d := range all {
		if float64(d.Server) != server && d.ProbeNow {
			out = append(out, d)
		}
	}
	return out
}

// TestPartitionHealsThroughSeeds checks that the halves of a partitioned network forget each other, and find each other again
// through the seeds.
func TestPartitionHealsThroughSeeds(t *testing.T) {
	s := NewSim(16, Config{BytesPerSecond: 8192, DatagramBytes: 1100}, 3, nil)
	s.Run(20)
	alivePeers := func() (least, most int) {
		least = 1 << 30
		for _, node := range s.Nodes {
			least, most = min(least, node.AlivePeers()), max(most, node.AlivePeers())
		}
		return least, most
	}
	least, _ := alivePeers()
	require.Equal(t, 15, least)
	s.Cut = func(from, to int) bool { return from%2 != to%2 }
	s.Run(40)
	_, most := alivePeers()
	require.Equal(t, 7, most)
	s.Cut = nil
	s.Run(60)
	least, _ = alivePeers()
	require.Equal(t, 15, least)
}

// TestSingleAccuserSuspectsNothing checks that an instance that accuses every server all the time makes no other instance suspect
// one.
func TestSingleAccuserSuspectsNothing(t *testing.T) {
	run := func(accuses bool) []SimSuspicion {
		s := NewSim(20, Config{BytesPerSecond: 8192, DatagramBytes: 1100, Accuse: true}, 9, nil)
		for _, node := range s.Nodes {
			for server := range 6 {
				node.AddServer(server, 0)
			}
		}
		for range 60 {
			for i := range 20 {
				s.Observe(i, i%6, true)
			}
			if accuses {
				for server := range 6 {
					for range 3 {
						s.Observe(19, server, false)
					}
				}
			}
			s.Run(0.5)
		}
		return slices.DeleteFunc(s.Suspicions, func(d SimSuspicion) bool { return d.Node == 19 })
	}
	require.Empty(t, run(false))
	require.Empty(t, run(true))
}

// TestLeaveGoesFirst checks that every datagram of the last round of an instance starts with its leave record, however many other
// records are queued.
func TestLeaveGoesFirst(t *testing.T) {
	node := New(Config{Seed: 1, Incarnation: 1, BytesPerSecond: 8192, DatagramBytes: 1100, Accuse: true})
	for origin := range 19 {
		node.Receive(Record{Kind: Alive, Origin: origin, Incarnation: 1, Seq: 1, At: 1e6, Server: -1, Size: recordBytes}, 1e6)
	}
	for server := range 40 {
		node.Publish(Record{Kind: Accuse, Origin: -1, Incarnation: 1, Seq: int64(server + 1), At: 1e6, Server: server, Size: recordBytes})
	}
	r := node.LeaveRecord(1e6)
	r.Size = recordBytes
	node.Publish(r)
	sends := node.Round(1e6)
	require.NotEmpty(t, sends)
	for _, s := range sends {
		require.Equal(t, Leave, s.Records[0].Kind)
		require.Greater(t, len(s.Records), 5)
	}
}

var faultSeconds = flag.Float64("hour", 120, "seconds of random faults in virtual time that TestRandomFaults runs")

// TestRandomFaults simulates servers that hang or fail, instances with a faulty network, instances that accuse falsely, and zones
// cut off from each other. It checks that no instance suspects a healthy server that it reaches, that servers with long faults are
// suspected, and that no suspicion begins or is renewed later after a fault than accusations last and take to spread.
func TestRandomFaults(t *testing.T) {
	const n, servers, step = 20, 12, 0.2
	const spread = 2.0 // s until an accusation has reached all instances at a loss of one datagram in ten
	s := NewSim(n, Config{BytesPerSecond: 8192, DatagramBytes: 1100, Accuse: true}, 5, func(i int, c *Config) { c.Zone = i % 2 })
	s.Loss = 0.1
	for _, node := range s.Nodes {
		for server := range servers {
			node.AddServer(server, server/4)
		}
	}
	rng := rand.New(rand.NewSource(7))
	type fault struct{ from, until, share float64 }
	serverFaults := make([]fault, servers) // this share of the submissions to the server fails
	instanceFaults := make([]fault, n)     // this share of the submissions of the instance fails
	falseAccusers := make([]fault, n)
	cut := fault{}
	isActive := func(f fault) bool { return s.Now >= f.from && s.Now < f.until }
	begin := func(f *fault, most, share float64) bool {
		free := s.Now > f.until+8
		if free {
			*f = fault{s.Now, s.Now + 2 + most*rng.Float64(), share}
		}
		return free
	}
	s.Cut = func(from, to int) bool { return isActive(cut) && from%2 != to%2 }
	longFaults, suspected := 0, map[[2]float64]bool{}
	s.Run(8)
	for end := s.Now + *faultSeconds; s.Now < end; {
		switch {
		case rng.Float64() < 0.02:
			f := &serverFaults[rng.Intn(servers)]
			if begin(f, 10, min(1, 0.5+rng.Float64())) && f.share == 1 && f.until-f.from > 5 {
				longFaults++ // a long fault in which every submission to the server fails
			}
		case rng.Float64() < 0.02:
			begin(&instanceFaults[rng.Intn(n)], 20, 0.9*rng.Float64())
		case rng.Float64() < 0.02:
			begin(&falseAccusers[rng.Intn(3)], 20, 1) // three of 20 instances are below the quorum
		case rng.Float64() < 0.005:
			begin(&cut, 10, 1)
		}
		before := len(s.Suspicions)
		for i := range n {
			for server := range servers {
				if rng.Float64() < 0.25 {
					bad := isActive(serverFaults[server]) && rng.Float64() < serverFaults[server].share || isActive(instanceFaults[i]) && rng.Float64() < instanceFaults[i].share ||
						isActive(cut) && i%2 != server%2
					s.Observe(i, server, !bad && !(isActive(falseAccusers[i]) && server%3 == int(s.Now)%3))
				}
			}
		}
		s.Run(step)
		for _, d := range s.Suspicions[before:] {
			if f := serverFaults[d.Server]; d.Until > d.At {
				if f.share == 1 && f.until-f.from > 5 && d.At < f.until {
					suspected[[2]float64{float64(d.Server), f.from}] = true
				}
				if d.Node%2 != d.Server%2 && d.At < cut.until+accusationLifetime+spread && d.At >= cut.from {
					continue // this instance can't reach the server
				}
				if own := instanceFaults[d.Node]; own.share > 0.5 && d.At < own.until+accusationLifetime+spread && d.At >= own.from {
					continue // most submissions of this instance fail
				}
				require.Less(t, d.At, f.until+accusationLifetime+spread, "instance %d suspects server %d, which has been healthy for %.1f s", d.Node, d.Server, d.At-f.until)
				require.GreaterOrEqual(t, d.At, f.from)
			}
		}
	}
	t.Logf("%.0f s, %d instances: %d servers failed every submission for over 5 s, %d of them were suspected; %d suspicions, none of a healthy server",
		*faultSeconds, n, longFaults, len(suspected), len(s.Suspicions))
	require.Greater(t, 3*len(suspected), longFaults, "servers with long faults are suspected")
}
