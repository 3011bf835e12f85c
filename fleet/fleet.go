// Package fleet simulates many routers (package splitter with the tables of packages peerstate and zone) in front of nodes of
// package model, in virtual time: the same seed gives the same history. It makes no routing decisions. It is a test rig and
// never part of a router.
package fleet

// This file holds virtual time, the cluster, the load and the course of a play. It uses routers only through their methods.

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"

	"eiderway/model"
	"eiderway/splitter"
)

const (
	startTime                           = 1e9 // s
	groups, replicas                    = 4, 5
	totalLoad                           = 600.0     // txns per second, over all routers
	writeShare                          = 0.07      // share of txns that write
	measureAfter, playDuration          = 2.0, 6.0  // s until figures count, and s that a play lasts
	faultAt                             = 4.0       // s until the fault of a day begins
	replacedPerGroup                    = 3         // of five replicas
	stalenessBound                      = 0.2       // s, of a read
	defaultLoss                         = 0.02      // share of datagrams
	minDelay                            = 0.001     // s, of a datagram
	maxDelay                            = 0.040     // s, of a datagram
	zoneFaultDuration, zonePlayDuration = 5.0, 15.0 // s that a zone fault lasts, and that a play with one lasts
	zoneDowntime                        = 3.0       // s that a zone is down before it comes back cold
	countInterval                       = 0.5       // s over which statements to a zone are counted
	stepInterval                        = 0.4       // s between the messages of the router that numbers the steps
	probeTimeout                        = 0.25      // s until a probe is given up
)

// ordinaryNode can run 50 statements a second and is about half loaded.
var ordinaryNode = model.Config{Cores: 3, MeanWork: 0.06, Handshake: 0.004, Lag: 0.03}

// fragileNode slows down under concurrent statements, starts cold and crashes under overload.
var fragileNode = model.Config{Cores: 3, MeanWork: 0.06, Handshake: 0.004, Lag: 0.03, CrowdPenalty: 0.01,
	ColdSpeed: 0.2, WarmUp: 5, CrashBacklog: 2, Downtime: 1, LagGrowth: 0.02}

// Way selects what a router's splitter learns from its peers.
type Way struct {
	Name    string `yaml:"name"`
	Talk    bool   `yaml:"talk"`    // routers exchange positions
	Loads   bool   `yaml:"loads"`   // peers' reports include loads
	Primes  bool   `yaml:"primes"`  // peers' reports name primaries
	Zones   bool   `yaml:"zones"`   // routers leave a zone together
	Numbers bool   `yaml:"numbers"` // one router numbers the steps of leaving a zone
}

// Day is the fault that occurs in a play.
type Day int

const (
	ReplicaHangs     Day = iota // one replica hangs
	ReplicasStall               // replication to all replicas stalls: only primaries can serve reads, and they are too few for all reads
	ReplicasReplaced            // three of five replicas of each group are replaced; figures count from one second later
	ZoneFails                   // the nodes of zone c, which has no primary, fail all statements for 5 s; the play goes on for six more
	ZoneLoses                   // they lose every second answer
	ZoneSlow                    // their answers take 300 ms longer
	ZoneHangs                   // they accept statements and never answer
	ZoneCold                    // they are down for 3 s and come back cold
)

type event struct {
	at       float64
	sequence int
	do       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
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
	isGone bool
	served int // statements while figures count
}

// Fleet is a play: its routers and nodes, and the figures counted from measureFrom on.
type Fleet struct {
	now         float64
	sequence    int
	queue       events
	rng         *rand.Rand
	way         Way
	servers     []*server
	routers     []*router
	measureFrom float64 // when figures begin to count

	txns, probes, handshakes, inTime, messages, held, declined int
	bytes                                                      float64 // of datagrams sent to each receiver
	lastAtHung                                                 float64
	zoneStatements                                             []int64 // to zone c per half second; the first is the mean before the fault
	steps                                                      string  // latest steps of the router that numbers them
	broadcasts                                                 int
	recorder                                                   *recorder // what clients and nodes saw; nil: not recorded
	plant                                                      string
	cut                                                        map[string]bool
	loss                                                       float64 // share of datagrams
}

// Setup describes a play.
type Setup struct {
	Routers int     `yaml:"routers"`
	Way     Way     `yaml:"way"`
	Day     Day     `yaml:"-"`
	Seed    int64   `yaml:"seed"`
	For     float64 `yaml:"for"`             // s; only with Faults
	Faults  []Fault `yaml:"faults"`          // replace the fault of the day; a history is recorded
	Plant   string  `yaml:"plant,omitempty"` // a planted fault in the routers' hosts, which the checks must find; see Plants
}

// Plants lists the faults that can be planted: a txn is answered twice, a once-only txn is submitted again, replicas are
// reported as fresh, drains are not passed on.
var Plants = []string{"answers twice", "resends", "stale", "forgets a drain"}

// Now returns virtual time. With At it makes a Fleet the clock of the nodes.
func (f *Fleet) Now() float64 { return f.now }

// At schedules do at a time, or now if that has passed.
func (f *Fleet) At(t float64, do func()) {
	f.sequence++
	heap.Push(&f.queue, event{max(t, f.now), f.sequence, do})
}

func (f *Fleet) isMeasuring() bool { return f.now >= f.measureFrom }

var zones = []string{"a", "b", "c"}

// list returns the members that discovery lists.
func (f *Fleet) list() (out []splitter.Member) {
	for id, s := range f.servers {
		if !s.isGone {
			m := splitter.Member{Node: id, Name: s.name, Group: s.group, Zone: s.zone, State: s.state}
			if f.plant == "forgets a drain" {
				m.State = splitter.On
			}
			out = append(out, m)
		}
	}
	return out
}

func (f *Fleet) add(name string, group, zone int, config model.Config) *server {
	s := &server{Node: model.New(config, f, f.rng.Int63()), name: name, group: group, zone: zone}
	f.servers = append(f.servers, s)
	return s
}

// replace replaces most replicas of each group by new servers.
func (f *Fleet) replace() {
	for id, s := range f.servers {
		if !s.Primary && id%(replicas+1) <= replacedPerGroup {
			s.isGone = true
			f.add(s.name+"-new", s.group, s.zone, ordinaryNode)
		}
	}
	list := f.list()
	for _, r := range f.routers {
		for id, s := range f.servers {
			if s.isGone {
				r.peerState.RemoveNode(id)
				r.zones.Forget(id)
			} else {
				r.addNode(id, s)
			}
		}
		r.split.UpdateMembers(splitter.ListAll, list)
	}
}

// eachNodeInZoneC calls do for each node of zone c.
func (f *Fleet) eachNodeInZoneC(do func(s *server)) {
	for _, s := range f.servers {
		if zones[s.zone] == "c" {
			do(s)
		}
	}
}

// scheduleDay schedules the fault of a day and returns the time at which the play ends.
func (f *Fleet) scheduleDay(d Day) float64 {
	impairments := map[Day]model.Impairment{ZoneFails: {ErrorShare: 1}, ZoneLoses: {LostAnswerShare: 0.5}, ZoneSlow: {ExtraLatency: 0.3},
		ZoneHangs: {Hangs: true}}
	switch d {
	case ReplicaHangs:
		f.At(startTime+faultAt, func() { f.servers[2].SetImpairment(model.Impairment{Hangs: true}) })
	case ReplicasStall:
		f.At(startTime+measureAfter/2, func() {
			for _, s := range f.servers {
				if !s.Primary {
					s.SetImpairment(model.Impairment{ReplicationStalled: true})
				}
			}
		})
	case ReplicasReplaced:
		f.measureFrom = startTime + faultAt
		f.At(f.measureFrom-1, f.replace)
	case ZoneCold:
		f.At(startTime+faultAt, func() { f.eachNodeInZoneC(func(s *server) { s.Crash(zoneDowntime) }) })
	default:
		f.At(startTime+faultAt, func() { f.eachNodeInZoneC(func(s *server) { s.SetImpairment(impairments[d]) }) })
		f.At(startTime+faultAt+zoneFaultDuration, func() { f.eachNodeInZoneC(func(s *server) { s.SetImpairment(model.Impairment{}) }) })
	}
	if d < ZoneFails {
		return startTime + playDuration
	}
	was := 0
	var count func()
	count = func() {
		n := 0
		f.eachNodeInZoneC(func(s *server) { arrived, _, _ := s.Counts(); n += arrived })
		if f.zoneStatements == nil {
			f.zoneStatements = []int64{int64(math.Round(float64(n-was) / (faultAt - measureAfter) * countInterval))}
		} else {
			f.zoneStatements = append(f.zoneStatements, int64(n-was))
		}
		was = n
		f.At(f.now+countInterval, count)
	}
	f.At(startTime+measureAfter, func() { f.eachNodeInZoneC(func(s *server) { arrived, _, _ := s.Counts(); was += arrived }) })
	f.At(startTime+faultAt, count)
	return startTime + zonePlayDuration
}

// Play runs n routers that share the total load unevenly: some carry several times the mean.
func Play(n int, w Way, d Day, seed int64) *Fleet {
	return Setup{Routers: n, Way: w, Day: d, Seed: seed}.Play()
}

// Play runs the play from start to end.
func (x Setup) Play() *Fleet {
	n, w, d, seed := x.Routers, x.Way, x.Day, x.Seed
	f := &Fleet{now: startTime, measureFrom: startTime + measureAfter, rng: rand.New(rand.NewSource(seed)), way: w, plant: x.Plant,
		cut: map[string]bool{}, loss: defaultLoss}
	config := ordinaryNode
	if d >= ZoneFails || len(x.Faults) > 0 {
		config = fragileNode
	}
	for g := range groups {
		for i := range replicas + 1 {
			f.add(fmt.Sprintf("s-%d-%d", g, i), g, i%len(zones), config).SetPrimary(i == 0)
		}
	}
	var end float64
	if len(x.Faults) > 0 {
		f.recorder = newRecorder(f)
		end = startTime + x.For
		f.scheduleFaults(x.Faults)
	} else {
		end = f.scheduleDay(d)
	}
	var weights []float64
	sum := 0.0
	for i := range n {
		r := newRouter(f, i, n, seed)
		f.routers = append(f.routers, r)
		weights = append(weights, 0.2+f.rng.ExpFloat64())
		sum += weights[i]
	}
	if w.Numbers { // leases are not simulated: one router is the holder throughout
		f.setHolder(len(f.routers)/2, 1)
	}
	for i := range f.routers {
		every := 1 / (totalLoad * weights[i] / sum)
		var again func()
		again = func() {
			typ := 0
			if f.rng.Float64() < writeShare {
				typ = 1
			}
			if typ == 1 && f.recorder != nil && f.rng.Float64() < 0.5 {
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

// broadcastSteps sends the steps of the numbering router to all others, and repeats that until there are newer ones.
func (f *Fleet) broadcastSteps(from *router) {
	f.broadcasts++
	n, text := f.broadcasts, f.steps
	for _, peer := range f.routers {
		if peer == from || !f.reaches(from, peer) {
			continue
		}
		f.deliver(peer, func(peer *router) {
			if f.broadcasts == n { // package lease delivers no older message after a newer one
				peer.zones.Obey(from.me, text, f.now)
				peer.applyEffects()
			}
		})
	}
	from.at(f.now+stepInterval, func() {
		if f.broadcasts == n {
			f.broadcastSteps(from)
		}
	})
}

// setHolder makes a router the one that numbers the steps, under a token.
func (f *Fleet) setHolder(me int, token uint64) {
	f.broadcasts++
	for _, r := range f.routers {
		r.runWhenActive(func() {
			r.zones.SetHolder(r.me == me, token, f.now)
			r.applyEffects()
		})
	}
}

// reaches reports whether a datagram arrives.
func (f *Fleet) reaches(from, to *router) bool {
	return f.rng.Float64() >= f.loss && !f.cut[from.home()+">"+to.home()] && !from.isIsolated && !to.isIsolated
}

// deliver hands over a datagram after its delay, to whichever router has the peer's number by then.
func (f *Fleet) deliver(peer *router, do func(peer *router)) {
	me := peer.me
	f.At(f.now+minDelay+(maxDelay-minDelay)*f.rng.Float64(), func() { f.routers[me].runWhenActive(func() { do(f.routers[me]) }) })
}

// Summary holds the figures of a play, per txn unless a field says otherwise.
type Summary struct {
	Probes, Handshakes, Words float64 // Words: units of 256 bytes sent between routers
	Held, InTime              float64 // shares of all txns
	Declined, Crashes         int
	Evenness                  float64 // statements to the least loaded replica divided by those to the most loaded; NaN: no statements
	LastAtHung                float64 // s from the hang of a replica until its last statement was sent
	ZoneStatements            []int64 // statements to zone c per half second, the mean before the fault first; nil: no zone fault
}

// Summarize computes the figures of a play.
func (f *Fleet) Summarize() Summary {
	txns := float64(f.txns)
	least, most, crashes := math.MaxInt, 0, 0
	for _, s := range f.servers {
		_, _, n := s.Counts()
		if crashes += n; !s.Primary && s.group > 0 && !s.isGone {
			least, most = min(least, s.served), max(most, s.served)
		}
	}
	out := Summary{Probes: float64(f.probes) / txns, Handshakes: float64(f.handshakes) / txns, Words: f.bytes / 256 / txns,
		Held:   float64(f.held) / txns,
		InTime: float64(f.inTime) / txns, Declined: f.declined, Crashes: crashes, Evenness: float64(least) / float64(most),
		LastAtHung: max(0, f.lastAtHung-1e9-faultAt), ZoneStatements: f.zoneStatements}
	return out
}

// ZoneFaultDuration returns how many seconds the fault of zone c lasts on a day; 0: the day has none.
func ZoneFaultDuration(d Day) float64 {
	switch {
	case d == ZoneCold:
		return zoneDowntime
	case d >= ZoneFails:
		return zoneFaultDuration
	}
	return 0
}

// Figures returns the figures in one line.
func (f *Fleet) Figures() string {
	s := f.Summarize()
	text := fmt.Sprintf("probes %.3f, handshakes %.3f, words of 256 bytes %.3f a txn; held %.2f, in time %.3f, declined %d; least and most loaded replica %.2f",
		s.Probes, s.Handshakes, s.Words, s.Held, s.InTime, s.Declined, s.Evenness)
	if s.ZoneStatements != nil {
		return text + fmt.Sprintf("; zone c before and after: %d, fell over %d", s.ZoneStatements, s.Crashes)
	}
	return text + fmt.Sprintf("; last at the hung %.1f s", s.LastAtHung)
}
