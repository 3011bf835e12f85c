// Package fleet plays many routers (the splitter and the book of package lore) before nodes of our own, in virtual time:
// one seed, one history. It decides nothing. It is the first piece of the laboratory.
package fleet

// This file owns virtual time, the nodes (cores, a queue, a position that lags, one that hangs) and the way of datagrams
// between routers. It must never look into a router but through its calls.

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"

	"eiderway/lore"
	"eiderway/splitter"
)

const (
	groups, replicas = 4, 5
	cores            = 3
	work             = 0.06  // s, exponential
	handshake        = 0.004 // s of work at a node
	load             = 600.0 // txns a second, of all routers
	lag              = 0.03
	warm, lasts      = 2.0, 6.0 // s until figures count, and in all
	hangs            = 4.0      // s, when one replica hangs
	replaced         = 3        // of five replicas
)

// Way is what of the peers' words reaches the module.
type Way struct {
	Name                string
	Talk, Loads, Primes bool
}

// Day is what happens in a play.
type Day int

const (
	Hang    Day = iota // one replica hangs
	Lag                // all replicas stand still: only primaries can be read from, and they are too few for all
	Replace            // three of five replicas of each group are replaced by others; figures count from a second after that
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
	name    string
	group   int
	primary bool
	free    [cores]float64
	hung    bool
	gone    bool
	stands  float64 // its position stands still from then on; 0: it does not
	served  int
}

// Fleet is what a play has counted, from the second on that counts.
type Fleet struct {
	now     float64
	set     int
	queue   events
	rng     *rand.Rand
	servers []*server
	routers []*router

	txns, probes, shakes, good, words, held int
	bytes                                   float64 // as they are received
	lastAtHung                              float64
	from                                    float64 // when figures begin to count
}

func (f *Fleet) at(t float64, do func()) {
	f.set++
	heap.Push(&f.queue, event{t, f.set, do})
}

func (f *Fleet) counts() bool { return f.now >= f.from }

// router is a Host.
type router struct {
	f     *Fleet
	me    int
	split *splitter.Router
	book  *lore.Book
	way   Way
	open  map[int]bool
	txns  map[int]*txn
	next  int
	armed float64
}

type txn struct {
	arrived, sla float64
	over         bool
	tries        int
}

func (r *router) Now() float64               { return r.f.now }
func (r *router) After(at float64, f func()) { r.f.at(at, f) }
func (r *router) CloseIdle(int)              {}
func (r *router) Cancel(int)                 {}
func (r *router) Forget(int)                 {}
func (r *router) Watch()                     {}
func (r *router) Note(string)                {}
func (r *router) Want(g int) {
	if r.way.Talk {
		r.book.Want(g, r.f.now)
		r.f.at(r.f.now, r.act)
	}
}
func (r *router) Count(what splitter.What, why splitter.Cause) {
	if what == splitter.Held && r.f.counts() {
		r.f.held++
	}
}
func (r *router) Decline(id int, _ float64) { r.txns[id].over = true }
func (r *router) RollBack(id int)           { r.txns[id].over = true }

func (r *router) connect(node int) float64 {
	if r.open[node] {
		return 0
	}
	r.open[node] = true
	if r.f.counts() {
		r.f.shakes++
	}
	return handshake
}

func (r *router) Submit(id, node int, until float64, then func(splitter.Result)) {
	f, s, t, sent := r.f, r.f.servers[node], r.txns[id], r.f.now
	t.tries++
	if r.way.Talk {
		r.book.Out(node, sent)
		f.at(sent, r.act)
	}
	k := 0
	for i := range s.free {
		if s.free[i] < s.free[k] {
			k = i
		}
	}
	done := max(sent, s.free[k]) + r.connect(node) + work*f.rng.ExpFloat64()
	res := splitter.Result{Outcome: splitter.Committed}
	if s.hung {
		done, f.lastAtHung = math.Inf(1), sent
	}
	if done > until {
		done, res.Outcome = until, splitter.TimedOut
	}
	s.free[k] = max(s.free[k], min(done, until))
	f.at(done+0.001, func() {
		res.Latency, res.Load = f.now-sent, -1
		if res.Outcome == splitter.Committed {
			res.Report = r.told(s)
			if f.counts() {
				s.served++
				if !t.over && t.arrived >= f.from && f.now-t.arrived <= t.sla {
					f.good++
				}
			}
			res.Ended, t.over = true, true
		}
		if r.way.Talk {
			r.book.Back(node, res.Pos, s.primary, f.now)
			r.act()
		}
		then(res)
	})
}

func (r *router) told(s *server) splitter.Report {
	rep := splitter.Report{OK: true, Role: splitter.RoleReplica, Pos: r.f.now - lag, Load: -1}
	if s.stands > 0 {
		rep.Pos = min(rep.Pos, s.stands)
	}
	if s.primary {
		rep.Role, rep.Pos = splitter.RolePrimary, r.f.now
	}
	return rep
}

func (r *router) Probe(node int, _ splitter.Cause, then func(splitter.Report)) {
	f, s := r.f, r.f.servers[node]
	if f.counts() {
		f.probes++
	}
	wait := 0.001 + r.connect(node)
	if s.hung {
		f.at(f.now+0.25, func() { then(splitter.Report{Load: -1}) })
		return
	}
	f.at(f.now+wait, func() {
		rep := r.told(s)
		rep.Pos -= 0.1 * f.rng.Float64() // reports are refreshed now and then
		if r.way.Talk {
			r.book.Saw(node, rep.Pos, s.primary, f.now)
			r.act()
		}
		then(rep)
	})
}

// act does what the book asks for. Datagrams take 1 to 40 ms, and one in fifty is lost.
func (r *router) act() {
	f := r.f
	for {
		e := r.book.Effects()
		if len(e.Sends)+len(e.Looks)+len(e.Told) == 0 {
			break
		}
		for _, s := range e.Sends {
			for to, peer := range f.routers {
				if to == r.me || s.To != lore.All && s.To != to {
					continue
				}
				if f.counts() {
					f.words++
					f.bytes += float64(len(s.Bytes))
				}
				if f.rng.Float64() >= 0.02 {
					f.at(f.now+0.001+0.039*f.rng.Float64(), func() {
						peer.book.Take(r.me, s.Bytes, f.now)
						peer.act()
					})
				}
			}
		}
		for _, told := range e.Told {
			words := make([]splitter.Word, len(told.Words))
			for i, w := range told.Words {
				words[i] = splitter.Word(w)
				words[i].Primary = w.Primary && r.way.Primes
				if !r.way.Loads {
					words[i].Load = 0
				}
			}
			r.split.Told(told.Group, told.Until, told.Heard, words)
		}
		for _, n := range e.Looks {
			r.split.Look(n, splitter.ForAll)
		}
	}
	if next := r.book.Next(); next < r.armed {
		r.armed = next
		f.at(next, func() {
			r.armed = math.Inf(1)
			r.book.Step(f.now)
			r.act()
		})
	}
}

func (r *router) arrive(group, typ int) {
	f := r.f
	if f.counts() {
		f.txns++
	}
	id := r.next
	r.next++
	t := &txn{arrived: f.now, sla: []float64{0.4, 1}[typ]}
	r.txns[id] = t
	if r.way.Talk {
		r.book.Arrived(group, typ == 1, f.now)
		r.act()
	}
	r.split.Arrive(splitter.Txn{ID: id, Group: group, Type: typ, Until: f.now + 3*t.sla})
}

// replace puts other servers in the place of most replicas.
func (f *Fleet) replace() {
	var list []splitter.Member
	for id, s := range f.servers {
		if !s.primary && id%(replicas+1) > replaced {
			continue
		} else if !s.primary {
			s.gone = true
			f.servers = append(f.servers, &server{name: s.name + "-new", group: s.group})
		}
	}
	for id, s := range f.servers {
		if !s.gone {
			list = append(list, splitter.Member{Node: id, Name: s.name, Group: s.group})
		}
	}
	for _, r := range f.routers {
		for id, s := range f.servers {
			if s.gone {
				r.book.Forget(id)
			} else {
				r.book.Node(id, s.name, s.group)
			}
		}
		r.split.Members(splitter.ListAll, list)
	}
}

// Play runs routers at one whole load. Some carry several times the mean.
func Play(n int, w Way, d Day, seed int64) *Fleet {
	f := &Fleet{now: 1e9, from: 1e9 + warm, rng: rand.New(rand.NewSource(seed))}
	var list []splitter.Member
	for g := range groups {
		for i := range replicas + 1 {
			s := &server{name: fmt.Sprintf("s-%d-%d", g, i), group: g, primary: i == 0}
			list = append(list, splitter.Member{Node: len(f.servers), Name: s.name, Group: g})
			f.servers = append(f.servers, s)
		}
	}
	var weights []float64
	sum := 0.0
	for i := range n {
		r := &router{f: f, me: i, way: w, open: map[int]bool{}, txns: map[int]*txn{}, armed: math.Inf(1)}
		f.routers = append(f.routers, r)
		r.book = lore.New(lore.Terms{Me: i, Routers: n, Seed: seed + int64(i), Bound: 0.2})
		r.split = splitter.New(splitter.Terms{Seed: seed + int64(i), Me: i, Routers: n, Probes: true, ProbeRoles: true, Cancels: true,
			MaxSubmissions: 8, MaxPause: 1, ConnectIn: 0.25, ColdFrom: 0.2, WarmAfter: 16, Overload: 2.5, Fall: 1.5,
			Types: []splitter.TxnType{{Need: splitter.NeedBounded, Bound: 0.2, SLA: 0.4, Value: 1},
				{Need: splitter.NeedPrimary, Effect: splitter.Referenced, Window: 2, SLA: 1, Value: 6, LateValue: 0.5}}}, r)
		r.split.Members(splitter.ListAll, list)
		for id, s := range f.servers {
			r.book.Node(id, s.name, s.group)
		}
		weights = append(weights, 0.2+f.rng.ExpFloat64())
		sum += weights[i]
	}
	for i, r := range f.routers {
		every := 1 / (load * weights[i] / sum)
		var again func()
		again = func() {
			typ := 0
			if f.rng.Float64() < 0.07 {
				typ = 1
			}
			r.arrive(f.rng.Intn(groups), typ)
			f.at(f.now+every*f.rng.ExpFloat64(), again)
		}
		f.at(f.now+every*f.rng.ExpFloat64(), again)
	}
	switch d {
	case Hang:
		f.at(1e9+hangs, func() { f.servers[2].hung = true })
	case Lag:
		f.at(1e9+warm/2, func() {
			for _, s := range f.servers {
				if !s.primary {
					s.stands = f.now
				}
			}
		})
	case Replace:
		f.from = 1e9 + hangs
		f.at(f.from-1, f.replace)
	}
	for len(f.queue) > 0 && f.queue[0].at < 1e9+lasts {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	return f
}

// Sum is the figures of a play; by txn where nothing else is said.
type Sum struct {
	Probes, Handshakes, Words float64 // words of 256 bytes, as they are received
	Held, InTime              float64 // shares
	Even                      float64 // statements to the least loaded replica, of those to the most loaded; NaN: none had any
	LastAtHung                float64 // s after a replica hung until nothing more came there
}

// Sum adds up.
func (f *Fleet) Sum() Sum {
	txns := float64(f.txns)
	least, most := math.MaxInt, 0
	for _, s := range f.servers {
		if !s.primary && s.group > 0 && !s.gone {
			least, most = min(least, s.served), max(most, s.served)
		}
	}
	return Sum{Probes: float64(f.probes) / txns, Handshakes: float64(f.shakes) / txns, Words: f.bytes / 256 / txns, Held: float64(f.held) / txns,
		InTime: float64(f.good) / txns, Even: float64(least) / float64(most), LastAtHung: max(0, f.lastAtHung-1e9-hangs)}
}

// Figures tells them in a line.
func (f *Fleet) Figures() string {
	s := f.Sum()
	return fmt.Sprintf("probes %.3f, handshakes %.3f, words of 256 bytes %.3f a txn; held %.2f, in time %.3f; least and most loaded replica %.2f; last at the hung %.1f s",
		s.Probes, s.Handshakes, s.Words, s.Held, s.InTime, s.Even, s.LastAtHung)
}
