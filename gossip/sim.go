package gossip

import (
	"container/heap"
	"math/rand"
)

// This file owns the play of many Mills in virtual time: one seed, one history. It must never look into a Mill but
// through its calls.

// Sim plays instances that lose datagrams among each other.
type Sim struct {
	Now    float64
	Mills  []*Mill
	Loss   float64
	Delay  float64                   // s, at most
	Cut    func(from, to int) bool   // datagrams that never come
	Forge  func(from int, r *Record) // what a liar makes of its own records
	Doubts []SimDoubt                // as they came
	Bytes  int64
	rng    *rand.Rand
	queue  deliveries
	set    int
	seeds  int
}

// SimDoubt is a doubt of an instance.
type SimDoubt struct {
	At   float64
	Mill int
	Doubt
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

// NewSim makes instances of given terms, each of which takes its peers by their number; change may alter some.
func NewSim(n int, terms Terms, seed int64, change func(i int, t *Terms)) *Sim {
	s := &Sim{Now: 1e6, rng: rand.New(rand.NewSource(seed)), Delay: 0.05, seeds: 3}
	for i := range n {
		t := terms
		t.Seed, t.Epoch = seed+int64(i), 1
		if change != nil {
			change(i, &t)
		}
		s.Mills = append(s.Mills, New(t))
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
					s.note(d.to, s.Mills[d.to].Take(r, s.Now).Doubts)
				}
			}
		}
		for i, m := range s.Mills {
			e := m.Tick(s.Now)
			s.note(i, e.Doubts)
			for _, r := range e.Own {
				r.Size = recordBytes
				if s.Forge != nil {
					s.Forge(i, &r)
				}
				m.Sealed(r)
			}
			for _, send := range m.Round(s.Now) {
				s.send(i, send)
			}
		}
	}
}

// Saw tells an instance what it saw of a node.
func (s *Sim) Saw(i, node int, good bool) { s.note(i, s.Mills[i].Saw(node, good, false, s.Now, s.Now)) }

func (s *Sim) note(i int, all []Doubt) {
	for _, d := range all {
		s.Doubts = append(s.Doubts, SimDoubt{s.Now, i, d})
	}
}

func (s *Sim) send(from int, send Send) {
	to := send.To
	if to == Seed {
		to = s.rng.Intn(min(s.seeds, len(s.Mills)))
	}
	size := int64(Envelope)
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
