package gossip

import (
	"container/heap"
	"math/rand"
)

// This file simulates many Nodes in virtual time. The same seed gives the same history. It uses only the exported methods of
// Node.

// Sim simulates instances that exchange datagrams over a network with delay and loss.
type Sim struct {
	Now        float64
	Nodes      []*Node
	Loss       float64
	Delay      float64                   // s, the longest
	Cut        func(from, to int) bool   // whether datagrams between the two are lost
	Forge      func(from int, r *Record) // changes an instance's own records before they are published
	Suspicions []SimSuspicion            // in order of time
	Bytes      int64
	rng        *rand.Rand
	queue      deliveries
	sequence   int // datagrams sent; breaks ties between deliveries at the same time
	seeds      int // the first so many instances are seeds
}

// SimSuspicion is a suspicion together with the instance that holds it.
type SimSuspicion struct {
	At   float64
	Node int
	Suspicion
}

type delivery struct {
	at       float64
	sequence int
	to       int
	from     int
	records  []Record
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].sequence < d[j].sequence
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}

// recordBytes is the approximate size of a signed record.
const recordBytes = 130

// NewSim makes n instances of the given configuration; customize, if not nil, may alter the one of each.
func NewSim(n int, config Config, seed int64, customize func(i int, c *Config)) *Sim {
	s := &Sim{Now: 1e6, rng: rand.New(rand.NewSource(seed)), Delay: 0.05, seeds: 3}
	for i := range n {
		c := config
		c.Seed, c.Incarnation = seed+int64(i), 1
		if customize != nil {
			customize(i, &c)
		}
		s.Nodes = append(s.Nodes, New(c))
	}
	return s
}

// Run advances virtual time by so many seconds; every instance ticks at each step.
func (s *Sim) Run(seconds float64) {
	const step = 0.1
	for end := s.Now + seconds; s.Now < end; s.Now += step {
		for len(s.queue) > 0 && s.queue[0].at <= s.Now {
			d := heap.Pop(&s.queue).(delivery)
			for _, r := range d.records {
				if r.Origin != d.to {
					s.record(d.to, s.Nodes[d.to].Receive(r, s.Now).Suspicions)
				}
			}
		}
		for i, node := range s.Nodes {
			effects := node.Tick(s.Now)
			s.record(i, effects.Suspicions)
			for _, r := range effects.Own {
				r.Size = recordBytes
				if s.Forge != nil {
					s.Forge(i, &r)
				}
				node.Publish(r)
			}
			for _, send := range node.Round(s.Now) {
				s.send(i, send)
			}
		}
	}
}

// Observe gives an instance the result of a submission to a server.
func (s *Sim) Observe(i, server int, good bool) {
	s.record(i, s.Nodes[i].Observe(server, good, false, s.Now, s.Now))
}

func (s *Sim) record(i int, suspicions []Suspicion) {
	for _, d := range suspicions {
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
	s.sequence++
	heap.Push(&s.queue, delivery{s.Now + s.rng.Float64()*s.Delay, s.sequence, to, from, records})
}
