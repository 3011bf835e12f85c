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

// scene plays a text scenario of one Node. The notation:
//
//	node [zone=N] [servers=N] [believe-all]   a new one, with servers 0 to N-1 in group 0
//	peers A-B [zone=N]                   peers that are heard of from now on, each second
//	wait SECONDS                         time passes, ticks included
//	accuse PEER SERVER [times]           a peer accuses, so often in a tenth of a second
//	retract PEER SERVER                  it takes that back
//	leave PEER, restart PEER, silence PEER   it leaves, starts with a new incarnation, falls silent
//	clock PEER SECONDS                   its clock is off by as much
//	replay PEER                          its last record comes again
//	good SERVER, bad SERVER              own evidence of a submission
//	up SERVER, down SERVER               of a probe
//	fail PEER SERVER                     a peer says that submissions to it fail
//	forget SERVER, server SERVER         it is gone for good; it is there, new
//	suspect SERVER, trust SERVER         it is suspected now; it is not
//	weight PEER LOW HIGH                 what its accusations are worth
//	tells KIND SERVER, silent            what it had told since the last such line
//	answer SERVER SECONDS                a submission was answered after as long
//	out SERVER, back SERVER              one leaves, and comes to an end that shows nothing
//	list N, version PEER N, asks TIMES   our list's version, a peer's; the list was asked for as often so far
//	duplicate PEER yes|no                two processes of its name are told of each other now
//	under-way PEER, late PEER            it makes a heartbeat that comes with the line late
//	alive N                              peers that are
type scene struct {
	t     *testing.T
	where string
	now   float64
	node  *Node
	peers map[int]*speaker
	last  map[int]Record
	until map[int]float64
	told  []Record
	out   map[int]float64
	asked int // for the list
}

type speaker struct {
	epoch, seq int64
	zone       int
	skew       float64
	silenced   bool
	underWay   Record
}

func (s *scene) number(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	require.NoError(s.t, err, s.where)
	return v
}

func (s *scene) take(who int, r Record) {
	p := s.peers[who]
	require.NotNil(s.t, p, s.where)
	p.seq++
	r.Origin, r.Incarnation, r.Seq, r.At, r.Zone, r.Size = who, p.epoch, p.seq, s.now+p.skew, p.zone, recordBytes
	s.last[who] = r
	e := s.node.Receive(r, s.now)
	if e.ListOutdated {
		s.asked++
	}
	s.suspect(e.Suspicions)
}

func (s *scene) suspect(all []Suspicion) {
	for _, d := range all {
		s.until[d.Server] = d.Until
	}
}

func (s *scene) pass(seconds float64) {
	for end := s.now + seconds - 1e-9; s.now < end; {
		s.now += 0.1
		if tenth := int(math.Round(s.now * 10)); tenth%10 == 0 {
			for _, who := range sortedKeys(s.peers) {
				if !s.peers[who].silenced {
					s.take(who, Record{Kind: Alive, Server: -1})
				}
			}
		}
		e := s.node.Tick(s.now)
		s.suspect(e.Suspicions)
		for _, r := range e.Own {
			if r.Kind != Alive {
				s.told = append(s.told, r)
			}
			r.Size = recordBytes
			s.node.Publish(r)
		}
		s.node.Round(s.now)
	}
}

func (s *scene) play(f []string) {
	arg := func(i int) int { return int(s.number(f[i])) }
	switch f[0] {
	case "node":
		t, servers := Config{Seed: 1, Incarnation: 1, BytesPerSecond: 8192, DatagramBytes: 1100, Accuse: true}, 4
		for _, o := range f[1:] {
			name, n, _ := strings.Cut(o, "=")
			switch name {
			case "zone":
				t.Zone = int(s.number(n))
			case "servers":
				servers = int(s.number(n))
			case "believe-all":
				t.BelieveAll = true
			default:
				require.Fail(s.t, "unknown option", s.where)
			}
		}
		s.node = New(t)
		for i := range servers {
			s.node.AddServer(i, 0)
		}
	case "peers":
		from, to, _ := strings.Cut(f[1], "-")
		zone := 0
		if len(f) > 2 {
			zone = int(s.number(strings.TrimPrefix(f[2], "zone=")))
		}
		for i := int(s.number(from)); i <= int(s.number(to)); i++ {
			s.peers[i] = &speaker{epoch: 1, zone: zone}
			s.take(i, Record{Kind: Alive, Server: -1})
		}
	case "wait":
		s.pass(s.number(f[1]))
	case "accuse":
		times := 1
		if len(f) > 3 {
			times = arg(3)
		}
		for range times {
			s.take(arg(1), Record{Kind: Accuse, Server: arg(2)})
			s.now += 0.1 / float64(times)
		}
	case "retract":
		s.take(arg(1), Record{Kind: Retract, Server: arg(2)})
	case "leave":
		s.take(arg(1), Record{Kind: Leave, Server: -1})
		s.peers[arg(1)].silenced = true
	case "answer":
		sent := s.now - s.number(f[2])
		s.node.Started(arg(1), sent)
		s.suspect(s.node.Observe(arg(1), true, false, sent, s.now))
	case "out":
		s.out[arg(1)] = s.now
		s.node.Started(arg(1), s.now)
	case "back":
		s.node.Finished(arg(1), s.out[arg(1)])
	case "list":
		s.node.SetListVersion(int64(arg(1)))
	case "version":
		s.take(arg(1), Record{Kind: Alive, Server: -1, ListVersion: int64(arg(2))})
	case "asks":
		require.Equal(s.t, arg(1), s.asked, s.where)
	case "duplicate":
		require.Equal(s.t, f[2] == "yes", s.node.ReportDuplicate(arg(1), s.now), s.where)
	case "under-way": // a heartbeat that comes later, by the line late
		p := s.peers[arg(1)]
		p.seq++
		p.underWay = Record{Kind: Alive, Server: -1, Origin: arg(1), Incarnation: p.epoch, Seq: p.seq, At: s.now, Zone: p.zone, Size: recordBytes}
	case "late":
		s.suspect(s.node.Receive(s.peers[arg(1)].underWay, s.now).Suspicions)
	case "silence":
		s.peers[arg(1)].silenced = true
	case "restart":
		p := s.peers[arg(1)]
		p.epoch, p.seq, p.silenced = p.epoch+1, 0, false
		s.take(arg(1), Record{Kind: Alive, Server: -1})
	case "clock":
		s.peers[arg(1)].skew = s.number(f[2])
	case "replay":
		s.suspect(s.node.Receive(s.last[arg(1)], s.now).Suspicions)
	case "fail":
		s.take(arg(1), Record{Kind: Accuse, Server: arg(2), Reason: Failing})
	case "good", "bad", "up", "down":
		s.suspect(s.node.Observe(arg(1), f[0] == "good" || f[0] == "up", f[0] == "up" || f[0] == "down", s.now, s.now))
		s.now += 0.001
	case "forget":
		s.node.RemoveServer(arg(1))
		delete(s.until, arg(1))
	case "server":
		s.node.AddServer(arg(1), 0)
	case "suspect":
		require.Greater(s.t, s.until[arg(1)], s.now, s.where)
	case "trust":
		require.LessOrEqual(s.t, s.until[arg(1)], s.now, s.where)
	case "weight":
		w := s.node.weight(s.node.peerAt(arg(1)), s.now)
		require.True(s.t, s.number(f[2]) <= w && w <= s.number(f[3]), "%s: it is %g", s.where, w)
	case "tells":
		i := slices.IndexFunc(s.told, func(r Record) bool {
			return map[string]Kind{"accuse": Accuse, "retract": Retract}[f[1]] == r.Kind && r.Server == arg(2)
		})
		require.GreaterOrEqual(s.t, i, 0, "%s: %v", s.where, s.told)
		s.told = nil
	case "silent":
		require.Empty(s.t, s.told, s.where)
	case "alive":
		require.Equal(s.t, arg(1), s.node.AlivePeers(), s.where)
	default:
		require.Fail(s.t, "unknown line", s.where)
	}
}

func TestScenarios(t *testing.T) {
	scenario.Each(t, func(t *testing.T, path string) {
		s := &scene{t: t, now: 1e6, peers: map[int]*speaker{}, last: map[int]Record{}, until: map[int]float64{}, out: map[int]float64{}}
		for _, line := range scenario.MustRead(t, path) {
			s.where = line.Location
			s.play(line.Words)
		}
	})
}

// TestFewChangeNothing: whatever fewer peers than a quorum say, in whatever order, nothing is suspected; every suspicion
// that many bring about ends; the state stays bounded.
func TestFewChangeNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(rt, "peers")
		s := &scene{t: t, now: 1e6, peers: map[int]*speaker{}, last: map[int]Record{}, until: map[int]float64{}, out: map[int]float64{}}
		s.play(strings.Fields("node servers=6"))
		for i := range n {
			s.play([]string{"peers", fmt.Sprintf("%d-%d", i, i), fmt.Sprintf("zone=%d", i%3)})
		}
		s.pass(6)
		liars := int(s.node.Quorum()) - 1
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			who, server := rapid.IntRange(0, min(liars, n)-1).Draw(rt, "who"), rapid.IntRange(0, 5).Draw(rt, "node")
			switch rapid.IntRange(0, 6).Draw(rt, "what") {
			case 0, 1, 2:
				s.take(who, Record{Kind: Accuse, Server: server})
			case 3:
				s.take(who, Record{Kind: Retract, Server: server})
			case 4:
				s.play([]string{"replay", strconv.Itoa(who)})
			case 5:
				s.pass(rapid.Float64Range(0, 2).Draw(rt, "wait"))
			case 6:
				s.play([]string{"restart", strconv.Itoa(who)})
			}
			if s.node.Counts().Suspicions != 0 {
				rt.Fatalf("%d of %d peers made a suspicion, a quorum is %g", liars, n, s.node.Quorum())
			}
		}
		for i := range n {
			s.take(i, Record{Kind: Accuse, Server: 2})
		}
		s.pass(accusationLifetime + 0.2)
		for server, until := range s.until {
			if until > s.now {
				rt.Fatalf("server %d is suspected for ever", server)
			}
		}
		for _, server := range s.node.servers {
			if len(server.accusations) > 0 {
				rt.Fatalf("accusations stay")
			}
		}
		if len(s.node.queue) > 7*n+10 {
			rt.Fatalf("%d records are passed on", len(s.node.queue))
		}
	})
}

var scale = flag.Int("instances", 100, "instances in virtual time")

// TestScale plays many instances under loss: a server hangs, everyone who asks it sees that now and then. With the record
// of accusers and the quorum no healthy server is suspected though some peers accuse at random; without, many are.
func TestScale(t *testing.T) {
	type figures struct {
		suspected, wrong int
		half, all        float64
		bytes            float64
	}
	run := func(plain bool, seed int64) (f figures, history []SimSuspicion) {
		n := *scale
		s := NewSim(n, Config{BytesPerSecond: 8192, DatagramBytes: 1100, Accuse: true, BelieveAll: plain}, seed, func(i int, t *Config) { t.Zone = i % 2 })
		s.Loss = 0.3
		for _, m := range s.Nodes {
			for server := range 12 {
				m.AddServer(server, server/4)
			}
		}
		// A few are ill: their own network fails them now and then, whatever server they ask.
		ill := max(1, n/50)
		step := func(seconds float64, hung bool) {
			for end := s.Now + seconds; s.Now < end; {
				for i := range n {
					for server := range 12 {
						if (i+server+int(s.Now*5))%10 != 0 {
							continue // each is asked twice in about a second
						}
						s.Observe(i, server, !(hung && server == 5) && !(i < ill && server%3 == int(s.Now)%3))
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
	ours, history := run(false, 1)
	plain, _ := run(true, 1)
	t.Logf("%d instances, 30%% loss, 2%% of them ill. With record and quorum: the hung server is suspected by %d, half after %.1f s, the last after %.1f s; "+
		"%d suspicions of healthy servers; %.0f bytes a second an instance", *scale, ours.suspected, ours.half, ours.all, ours.wrong, ours.bytes)
	t.Logf("Any accusation believed: by %d, half after %.1f s, the last after %.1f s; %d suspicions of healthy servers; %.0f bytes a second", plain.suspected, plain.half,
		plain.all, plain.wrong, plain.bytes)
	again, same := run(false, 1)
	require.Equal(t, ours, again)
	require.Equal(t, history, same, "one seed, one history")
	require.GreaterOrEqual(t, ours.suspected, *scale*9/10)
	require.Zero(t, ours.wrong)
	require.Greater(t, plain.wrong, 0, "the defence is needed")
	require.Less(t, ours.bytes, 8192.0*9/8, "of eight seconds, and a second's worth at once")
}

// falseSuspicions are those of other servers than one.
func falseSuspicions(all []SimSuspicion, server float64) (out []SimSuspicion) {
	for _, d := range all {
		if float64(d.Server) != server && d.ProbeNow {
			out = append(out, d)
		}
	}
	return out
}

// TestPartition: halves that can't hear each other forget each other, and find each other again through the seeds.
func TestPartition(t *testing.T) {
	s := NewSim(16, Config{BytesPerSecond: 8192, DatagramBytes: 1100}, 3, nil)
	s.Run(20)
	live := func() (least, most int) {
		least = 1 << 30
		for _, m := range s.Nodes {
			least, most = min(least, m.AlivePeers()), max(most, m.AlivePeers())
		}
		return least, most
	}
	least, _ := live()
	require.Equal(t, 15, least)
	s.Cut = func(from, to int) bool { return from%2 != to%2 }
	s.Run(40)
	_, most := live()
	require.Equal(t, 7, most)
	s.Cut = nil
	s.Run(60)
	least, _ = live()
	require.Equal(t, 15, least)
}

// TestLiar: two runs of one seed, with and without a member that accuses everything all the time, give the same suspicions.
func TestLiar(t *testing.T) {
	run := func(lies bool) []SimSuspicion {
		s := NewSim(20, Config{BytesPerSecond: 8192, DatagramBytes: 1100, Accuse: true}, 9, nil)
		for _, m := range s.Nodes {
			for server := range 6 {
				m.AddServer(server, 0)
			}
		}
		for range 60 {
			for i := range 20 {
				s.Observe(i, i%6, true)
			}
			if lies {
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

// TestLeaveGoesFirst: in the one round that an instance that goes has left, every datagram says so, whatever else there is
// to tell.
func TestLeaveGoesFirst(t *testing.T) {
	m := New(Config{Seed: 1, Incarnation: 1, BytesPerSecond: 8192, DatagramBytes: 1100, Accuse: true})
	for who := range 19 {
		m.Receive(Record{Kind: Alive, Origin: who, Incarnation: 1, Seq: 1, At: 1e6, Server: -1, Size: recordBytes}, 1e6)
	}
	for server := range 40 {
		m.Publish(Record{Kind: Accuse, Origin: -1, Incarnation: 1, Seq: int64(server + 1), At: 1e6, Server: server, Size: recordBytes})
	}
	r := m.LeaveRecord(1e6)
	r.Size = recordBytes
	m.Publish(r)
	sends := m.Round(1e6)
	require.NotEmpty(t, sends)
	for _, s := range sends {
		require.Equal(t, Leave, s.Records[0].Kind)
		require.Greater(t, len(s.Records), 5)
	}
}

var hour = flag.Float64("hour", 120, "s of random faults in virtual time")

// TestHour plays random faults: servers hang or fail, instances have a bad network of their own, some lie, a zone is cut. No
// healthy server is ever suspected by an instance that reaches it, servers that are ill for long are, and no suspicion begins
// or goes on longer after its fault than accusations last and are on their way.
func TestHour(t *testing.T) {
	const n, servers, step = 20, 12, 0.2
	const onWay = 2.0 // s until an accusation has come to all, passed on by those who lose one in ten
	s := NewSim(n, Config{BytesPerSecond: 8192, DatagramBytes: 1100, Accuse: true}, 5, func(i int, t *Config) { t.Zone = i % 2 })
	s.Loss = 0.1
	for _, m := range s.Nodes {
		for server := range servers {
			m.AddServer(server, server/4)
		}
	}
	rng := rand.New(rand.NewSource(7))
	type fault struct{ from, until, share float64 }
	sick := make([]fault, servers) // a share of what is submitted to it fails
	ill := make([]fault, n)        // a share of what it submits anywhere fails
	liar := make([]fault, n)
	cut := fault{}
	on := func(f fault) bool { return s.Now >= f.from && s.Now < f.until }
	begin := func(f *fault, most, share float64) bool {
		free := s.Now > f.until+8
		if free {
			*f = fault{s.Now, s.Now + 2 + most*rng.Float64(), share}
		}
		return free
	}
	s.Cut = func(from, to int) bool { return on(cut) && from%2 != to%2 }
	long, seen := 0, map[[2]float64]bool{}
	s.Run(8)
	for end := s.Now + *hour; s.Now < end; {
		switch {
		case rng.Float64() < 0.02:
			f := &sick[rng.Intn(servers)]
			if begin(f, 10, min(1, 0.5+rng.Float64())) && f.share == 1 && f.until-f.from > 5 {
				long++ // and fails all that is submitted to it
			}
		case rng.Float64() < 0.02:
			begin(&ill[rng.Intn(n)], 20, 0.9*rng.Float64())
		case rng.Float64() < 0.02:
			begin(&liar[rng.Intn(3)], 20, 1) // three of 20 are below the quorum
		case rng.Float64() < 0.005:
			begin(&cut, 10, 1)
		}
		before := len(s.Suspicions)
		for i := range n {
			for server := range servers {
				if rng.Float64() < 0.25 {
					bad := on(sick[server]) && rng.Float64() < sick[server].share || on(ill[i]) && rng.Float64() < ill[i].share ||
						on(cut) && i%2 != server%2
					s.Observe(i, server, !bad && !(on(liar[i]) && server%3 == int(s.Now)%3))
				}
			}
		}
		s.Run(step)
		for _, d := range s.Suspicions[before:] {
			if f := sick[d.Server]; d.Until > d.At {
				if f.share == 1 && f.until-f.from > 5 && d.At < f.until {
					seen[[2]float64{float64(d.Server), f.from}] = true
				}
				if d.Node%2 != d.Server%2 && d.At < cut.until+accusationLifetime+onWay && d.At >= cut.from {
					continue // this one can't reach it
				}
				if own := ill[d.Node]; own.share > 0.5 && d.At < own.until+accusationLifetime+onWay && d.At >= own.from {
					continue // nor this one, mostly
				}
				require.Less(t, d.At, f.until+accusationLifetime+onWay, "instance %d suspects server %d, healthy since %.1f s", d.Node, d.Server, d.At-f.until)
				require.GreaterOrEqual(t, d.At, f.from)
			}
		}
	}
	t.Logf("%.0f s, %d instances: %d servers failed all for over 5 s, %d of them were suspected by somebody; %d suspicions, none of a healthy server",
		*hour, n, long, len(seen), len(s.Suspicions))
	require.Greater(t, 3*len(seen), long, "it is no silence")
}
