// Package fleet plays many routers (the splitter, the books of packages peerstate and zone) before nodes of package model, in virtual
// time: one seed, one history. It decides nothing. It is a rig: never part of a router.
package fleet

// This file owns virtual time, the cluster, the load and what happens on a day. It must never look into a router but through
// its calls.

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"

	"eiderway/model"
	"eiderway/splitter"
)

const (
	start            = 1e9 // s
	groups, replicas = 4, 5
	load             = 600.0    // txns a second, of all routers
	writes           = 0.07     // share of them
	warm, lasts      = 2.0, 6.0 // s until figures count, and in all
	hangs            = 4.0      // s, when what happens begins
	replaced         = 3        // of five replicas
	bound            = 0.2      // s, of a read
	lossOf           = 0.02     // share of datagrams
	leastWay         = 0.001    // s of a datagram,
	mostWay          = 0.040
	zoneIll, zoneFor = 5.0, 15.0 // s that a zone is ill, and that such a play lasts
	coldFor          = 3.0       // s that a zone is down before it comes back cold
	half             = 0.5       // s of a count of statements
	stepsEvery       = 0.4       // s between the words of the router that numbers steps
	unanswered       = 0.25      // s until a probe is given up
)

// ordinary is a node: 50 statements a second, half of which it has to do.
var ordinary = model.Config{Cores: 3, MeanWork: 0.06, Handshake: 0.004, Lag: 0.03}

// falling is one that a crowd slows, that starts cold, and falls over when pushed.
var falling = model.Config{Cores: 3, MeanWork: 0.06, Handshake: 0.004, Lag: 0.03, CrowdPenalty: 0.01, ColdSpeed: 0.2, WarmUp: 5, CrashBacklog: 2, Downtime: 1, LagGrowth: 0.02}

// Way is what of the peers' words reaches the module.
type Way struct {
	Name    string `yaml:"name"`
	Talk    bool   `yaml:"talk"`
	Loads   bool   `yaml:"loads"`
	Primes  bool   `yaml:"primes"`
	Zones   bool   `yaml:"zones"`   // zones are left together;
	Numbers bool   `yaml:"numbers"` // one router numbers the steps
}

// Day is what happens in a play.
type Day int

const (
	ReplicaHangs     Day = iota // one replica hangs
	ReplicasStall               // all replicas stand still: only primaries can be read from, and they are too few for all
	ReplicasReplaced            // three of five replicas of each group are replaced by others; figures count from a second after that
	ZoneFails                   // the nodes of zone c, where no primary is, fail all for 5 s; the play goes on for six more
	ZoneLoses                   // they lose every second answer
	ZoneSlow                    // their answers take 300 ms longer
	ZoneHangs                   // they take all and say nothing
	ZoneCold                    // they are down for 3 s and come back cold
)

type event struct {
	at  float64
	set int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].set < e[j].set
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

type server struct {
	*model.Node
	name   string
	group  int
	zone   int
	state  splitter.State
	gone   bool
	served int // while figures count
}

// Fleet is what a play has counted, from the second on that counts.
type Fleet struct {
	now     float64
	set     int
	queue   events
	rng     *rand.Rand
	way     Way
	servers []*server
	routers []*router
	from    float64 // when figures begin to count

	txns, probes, shakes, good, words, held, declined int
	bytes                                             float64 // as they are received
	lastAtHung                                        float64
	asked                                             []int64 // statements to zone c by half seconds, the mean before the fault first
	word                                              string  // of the router that numbers steps
	said                                              int
	world                                             *world // what clients and nodes saw; nil: nobody writes it down
	plant                                             string
	cut                                               map[string]bool
	loss                                              float64 // share of datagrams
}

// Setup is a play.
type Setup struct {
	Routers int     `yaml:"routers"`
	Way     Way     `yaml:"way"`
	Day     Day     `yaml:"-"`
	Seed    int64   `yaml:"seed"`
	For     float64 `yaml:"for"`             // s; only where faults are named
	Faults  []Fault `yaml:"faults"`          // in place of a day's; then a history is written
	Plant   string  `yaml:"plant,omitempty"` // a fault of the routers' own side, to see that it is found: see Plants
}

// Plants are: a txn is answered twice, a once-only one is submitted once more, replicas are said to be fresh, drains are not
// handed on.
var Plants = []string{"answers twice", "resends", "stale", "forgets a drain"}

// Now and At make it the clock of the nodes.
func (f *Fleet) Now() float64 { return f.now }

func (f *Fleet) At(t float64, do func()) {
	f.set++
	heap.Push(&f.queue, event{max(t, f.now), f.set, do})
}

func (f *Fleet) counts() bool { return f.now >= f.from }

var zones = []string{"a", "b", "c"}

// list is what discovery has.
func (f *Fleet) list() (out []splitter.Member) {
	for id, s := range f.servers {
		if !s.gone {
			m := splitter.Member{Node: id, Name: s.name, Group: s.group, Zone: s.zone, State: s.state}
			if f.plant == "forgets a drain" {
				m.State = splitter.On
			}
			out = append(out, m)
		}
	}
	return out
}

func (f *Fleet) add(name string, group, zone int, t model.Config) *server {
	s := &server{Node: model.New(t, f, f.rng.Int63()), name: name, group: group, zone: zone}
	f.servers = append(f.servers, s)
	return s
}

// replace puts other servers in the place of most replicas.
func (f *Fleet) replace() {
	for id, s := range f.servers {
		if !s.Primary && id%(replicas+1) <= replaced {
			s.gone = true
			f.add(s.name+"-new", s.group, s.zone, ordinary)
		}
	}
	list := f.list()
	for _, r := range f.routers {
		for id, s := range f.servers {
			if s.gone {
				r.peerState.RemoveNode(id)
				r.zones.Forget(id)
			} else {
				r.names(id, s)
			}
		}
		r.split.UpdateMembers(splitter.ListAll, list)
	}
}

// zoneC does something to the nodes of zone c.
func (f *Fleet) zoneC(do func(s *server)) {
	for _, s := range f.servers {
		if zones[s.zone] == "c" {
			do(s)
		}
	}
}

// begin sets the day's course, and tells how long it lasts.
func (f *Fleet) begin(d Day) float64 {
	ill := map[Day]model.Impairment{ZoneFails: {ErrorShare: 1}, ZoneLoses: {LostAnswerShare: 0.5}, ZoneSlow: {ExtraLatency: 0.3}, ZoneHangs: {Hangs: true}}
	switch d {
	case ReplicaHangs:
		f.At(start+hangs, func() { f.servers[2].SetImpairment(model.Impairment{Hangs: true}) })
	case ReplicasStall:
		f.At(start+warm/2, func() {
			for _, s := range f.servers {
				if !s.Primary {
					s.SetImpairment(model.Impairment{ReplicationStalled: true})
				}
			}
		})
	case ReplicasReplaced:
		f.from = start + hangs
		f.At(f.from-1, f.replace)
	case ZoneCold:
		f.At(start+hangs, func() { f.zoneC(func(s *server) { s.Crash(coldFor) }) })
	default:
		f.At(start+hangs, func() { f.zoneC(func(s *server) { s.SetImpairment(ill[d]) }) })
		f.At(start+hangs+zoneIll, func() { f.zoneC(func(s *server) { s.SetImpairment(model.Impairment{}) }) })
	}
	if d < ZoneFails {
		return start + lasts
	}
	was := 0
	var count func()
	count = func() {
		n := 0
		f.zoneC(func(s *server) { came, _, _ := s.Counts(); n += came })
		if f.asked == nil {
			f.asked = []int64{int64(math.Round(float64(n-was) / (hangs - warm) * half))}
		} else {
			f.asked = append(f.asked, int64(n-was))
		}
		was = n
		f.At(f.now+half, count)
	}
	f.At(start+warm, func() { f.zoneC(func(s *server) { came, _, _ := s.Counts(); was += came }) })
	f.At(start+hangs, count)
	return start + zoneFor
}

// Play runs routers at one whole load. Some carry several times the mean.
func Play(n int, w Way, d Day, seed int64) *Fleet {
	return Setup{Routers: n, Way: w, Day: d, Seed: seed}.Play()
}

// Play is played from its begin to its end.
func (x Setup) Play() *Fleet {
	n, w, d, seed := x.Routers, x.Way, x.Day, x.Seed
	f := &Fleet{now: start, from: start + warm, rng: rand.New(rand.NewSource(seed)), way: w, plant: x.Plant, cut: map[string]bool{}, loss: lossOf}
	terms := ordinary
	if d >= ZoneFails || len(x.Faults) > 0 {
		terms = falling
	}
	for g := range groups {
		for i := range replicas + 1 {
			f.add(fmt.Sprintf("s-%d-%d", g, i), g, i%len(zones), terms).SetPrimary(i == 0)
		}
	}
	var end float64
	if len(x.Faults) > 0 {
		f.world = newWorld(f)
		end = start + x.For
		f.begins(x.Faults)
	} else {
		end = f.begin(d)
	}
	var weights []float64
	sum := 0.0
	for i := range n {
		r := newRouter(f, i, n, seed)
		f.routers = append(f.routers, r)
		weights = append(weights, 0.2+f.rng.ExpFloat64())
		sum += weights[i]
	}
	if w.Numbers { // who holds the lease is that package's matter: here it is one router throughout
		f.hold(len(f.routers)/2, 1)
	}
	for i := range f.routers {
		every := 1 / (load * weights[i] / sum)
		var again func()
		again = func() {
			typ := 0
			if f.rng.Float64() < writes {
				typ = 1
			}
			if typ == 1 && f.world != nil && f.rng.Float64() < 0.5 {
				typ = onceOnly
			}
			f.routers[i].arrive(f.rng.Intn(groups), typ)
			f.At(f.now+every*f.rng.ExpFloat64(), again)
		}
		f.At(f.now+every*f.rng.ExpFloat64(), again)
	}
	for len(f.queue) > 0 && f.queue[0].at < end {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	return f
}

// speak has the word of the router that numbers steps go to all, and again until there is another.
func (f *Fleet) speak(from *router) {
	f.said++
	n, text := f.said, f.word
	for _, peer := range f.routers {
		if peer == from || !f.reaches(from, peer) {
			continue
		}
		f.flies(peer, func(peer *router) {
			if f.said == n { // package lease lets no older word come after a newer one
				peer.zones.Obey(from.me, text, f.now)
				peer.act()
			}
		})
	}
	from.at(f.now+stepsEvery, func() {
		if f.said == n {
			f.speak(from)
		}
	})
}

// hold has a router number the steps under a token.
func (f *Fleet) hold(me int, token uint64) {
	f.said++
	for _, r := range f.routers {
		r.now(func() {
			r.zones.SetHolder(r.me == me, token, f.now)
			r.act()
		})
	}
}

// reaches tells whether a datagram comes.
func (f *Fleet) reaches(from, to *router) bool {
	return f.rng.Float64() >= f.loss && !f.cut[from.home()+">"+to.home()] && !from.alone && !to.alone
}

// flies has a datagram come after its way, to whoever has the peer's name then.
func (f *Fleet) flies(peer *router, do func(peer *router)) {
	me := peer.me
	f.At(f.now+leastWay+(mostWay-leastWay)*f.rng.Float64(), func() { f.routers[me].now(func() { do(f.routers[me]) }) })
}

// Summary is the figures of a play; by txn where nothing else is said.
type Summary struct {
	Probes, Handshakes, Words float64 // words of 256 bytes, as they are received
	Held, InTime              float64 // shares
	Declined, Crashes         int
	Evenness                  float64 // statements to the least loaded replica, of those to the most loaded; NaN: none had any
	LastAtHung                float64 // s after a replica hung until nothing more came there
	ZoneStatements            []int64 // statements to zone c by half seconds, the ordinary first; none: nothing was wrong with it
}

// Summarize computes the figures of a play.
func (f *Fleet) Summarize() Summary {
	txns := float64(f.txns)
	least, most, crashes := math.MaxInt, 0, 0
	for _, s := range f.servers {
		_, _, n := s.Counts()
		if crashes += n; !s.Primary && s.group > 0 && !s.gone {
			least, most = min(least, s.served), max(most, s.served)
		}
	}
	out := Summary{Probes: float64(f.probes) / txns, Handshakes: float64(f.shakes) / txns, Words: f.bytes / 256 / txns, Held: float64(f.held) / txns,
		InTime: float64(f.good) / txns, Declined: f.declined, Crashes: crashes, Evenness: float64(least) / float64(most),
		LastAtHung: max(0, f.lastAtHung-1e9-hangs), ZoneStatements: f.asked}
	return out
}

// ZoneFaultDuration is for how long zone c is ill on a day, s; 0: it is not.
func ZoneFaultDuration(d Day) float64 {
	switch {
	case d == ZoneCold:
		return coldFor
	case d >= ZoneFails:
		return zoneIll
	}
	return 0
}

// Figures tells them in a line.
func (f *Fleet) Figures() string {
	s := f.Summarize()
	text := fmt.Sprintf("probes %.3f, handshakes %.3f, words of 256 bytes %.3f a txn; held %.2f, in time %.3f, declined %d; least and most loaded replica %.2f",
		s.Probes, s.Handshakes, s.Words, s.Held, s.InTime, s.Declined, s.Evenness)
	if s.ZoneStatements != nil {
		return text + fmt.Sprintf("; zone c before and after: %d, fell over %d", s.ZoneStatements, s.Crashes)
	}
	return text + fmt.Sprintf("; last at the hung %.1f s", s.LastAtHung)
}
