package gossip

import (
	"container/heap"
	"math/rand"
)

// This file owns the play of many Nodes in virtual time: one seed, one history. It must never look into a Node but
// through its calls.

// Sim plays instances that lose datagrams among each other.
type Sim struct {
	Now        float64
	Nodes      []*Node
	Loss       float64
	Delay      float64                   // s, at most
	Cut        func(from, to int) bool   // datagrams that never come
	Forge      func(from int, r *Record) // what a liar makes of its own records
	Suspicions []SimSuspicion            // as they came
	Bytes      int64
	rng        *rand.Rand
	queue      deliveries
	set        int
	seeds      int
}

// SimSuspicion is a suspicion of an instance.
type SimSuspicion struct {
	At   float64
	Node int
	Suspicion
}

type delivery struct {
	at   float64
	set  int
	to   int
	from int
	r    []Record
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].set < d[j].set
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}

// recordBytes is about what a record takes, signed.
const recordBytes = 130

// NewSim makes instances of a given configuration, each of which takes its peers by their number; change may alter some.
func NewSim(n int, terms Config, seed int64, change func(i int, t *Config)) *Sim {
	s := &Sim{Now: 1e6, rng: rand.New(rand.NewSource(seed)), Delay: 0.05, seeds: 3}
	for i := range n {
		t := terms
		t.Seed, t.Incarnation = seed+int64(i), 1
		if change != nil {
			change(i, &t)
		}
		s.Nodes = append(s.Nodes, New(t))
	}
	return s
}

// Run plays for a time. Each instance's ticks are spread over the interval.
func (s *Sim) Run(seconds float64) {
	const every = 0.1
	for end := s.Now + seconds; s.Now < end; s.Now += every {
		for len(s.queue) > 0 && s.queue[0].at <= s.Now {
			d := heap.Pop(&s.queue).(delivery)
			for _, r := range d.r {
				if r.Origin != d.to {
					s.note(d.to, s.Nodes[d.to].Receive(r, s.Now).Suspicions)
				}
			}
		}
		for i, m := range s.Nodes {
			e := m.Tick(s.Now)
			s.note(i, e.Suspicions)
			for _, r := range e.Own {
				r.Size = recordBytes
				if s.Forge != nil {
					s.Forge(i, &r)
				}
				m.Publish(r)
			}
			for _, send := range m.Round(s.Now) {
				s.send(i, send)
			}
		}
	}
}

// Observe tells an instance what it observed of a server.
func (s *Sim) Observe(i, server int, good bool) {
	s.note(i, s.Nodes[i].Observe(server, good, false, s.Now, s.Now))
}

func (s *Sim) note(i int, all []Suspicion) {
	for _, d := range all {
		s.Suspicions = append(s.Suspicions, SimSuspicion{s.Now, i, d})
	}
}

func (s *Sim) send(from int, send Send) {
	to := send.To
	if to == SeedPeer {
		to = s.rng.Intn(min(s.seeds, len(s.Nodes)))
	}
	size := int64(EnvelopeBytes)
	records := make([]Record, len(send.Records))
	for i, r := range send.Records {
		size += int64(r.Size)
		if r.Origin < 0 {
			r.Origin = from
		}
		records[i] = r
	}
	s.Bytes += size
	if to == from || s.rng.Float64() < s.Loss || s.Cut != nil && s.Cut(from, to) {
		return
	}
	s.set++
	heap.Push(&s.queue, delivery{s.Now + s.rng.Float64()*s.Delay, s.set, to, from, records})
}
