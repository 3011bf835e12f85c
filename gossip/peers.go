package gossip

import (
	"math"
	"slices"
)

// This file owns the peers: who is there, by their own signs of life, and which records go to whom. It must never take a
// peer's word about another peer, nor send more than its bytes.

// peer is another instance. Its entry goes keepGone after its last sign of life.
type peer struct {
	epoch   int64
	first   float64 // when it was first heard of in this life
	heard   float64 // the newest sign of life
	zone    int
	list    int64
	skew    float64 // s its clock is ahead of ours, the least seen: delays only make it look behind
	known   bool
	gone    bool
	left    bool    // by its own word: nothing more of this epoch comes from it
	wrong   float64 // weight lost by wrong voices
	wrongAt float64
	right   int
	accused map[int]float64 // nodes it accuses, until when; emptied as voices end
	seqs    window
	twins   float64 // until when its twins are not told of each other again
}

// window remembers which of the last numbers came: replays and repeats do not get through, late ones do.
type window struct {
	top  int64
	bits uint64
}

// take tells whether a number is new.
func (w *window) take(n int64) bool {
	switch d := n - w.top; {
	case d > 0:
		if d >= 64 {
			w.bits = 0
		} else {
			w.bits <<= uint(d)
		}
		w.bits |= 1
		w.top = n
		return true
	case d <= -64:
		return false
	default:
		bit := uint64(1) << uint(-d)
		if w.bits&bit != 0 {
			return false
		}
		w.bits |= bit
		return true
	}
}

// item is a record that is being passed on.
type item struct {
	Record
	left int // times it is passed on yet
	rank int // what is urgent first
}

// interval between signs of life: as many peers as there are, their signs fit in a share of the bytes.
func (m *Mill) interval() float64 {
	return max(beat, float64(m.live)*beatTold*beatBytes/(m.terms.Bytes*beatShare))
}

// Live tells how many peers are there.
func (m *Mill) Live() int { return m.live }

// admit takes a record's place in its origin's history. false: old, repeated, or of an earlier life.
func (m *Mill) admit(r *Record, now float64) (*peer, bool) {
	if r.Origin < 0 || r.Origin >= keepPeers || math.IsNaN(r.At) {
		return nil, false
	}
	for r.Origin >= len(m.peers) {
		m.peers = append(m.peers, nil)
	}
	p := m.peers[r.Origin]
	if p == nil {
		p = &peer{accused: map[int]float64{}, skew: math.Inf(-1), epoch: math.MinInt64}
		m.peers[r.Origin] = p
	}
	switch {
	case math.Abs(r.At-now) > skewMost:
		m.counted.Skewed++
		return nil, false
	case r.Epoch < p.epoch, r.Epoch == p.epoch && p.left:
		// A sign of life that others still pass on would make it be there again, after it has left.
		m.counted.Old++
		return nil, false
	case r.Epoch > p.epoch: // it started anew, and has all to prove again but its record
		m.silence(p)
		*p = peer{epoch: r.Epoch, first: now, wrong: p.wrong, wrongAt: p.wrongAt, right: p.right, accused: map[int]float64{},
			skew: r.At - now}
		p.seqs.top = r.Seq - 1
	}
	// Its clock may be off, but by the same all the time: what is older than that allows is a replay.
	if r.At-now < p.skew-stale {
		m.counted.Old++
		return nil, false
	}
	if !p.seqs.take(r.Seq) {
		m.counted.Repeated++
		return nil, false
	}
	p.skew = max(p.skew, r.At-now)
	return p, true
}

// lives takes a sign of life.
func (m *Mill) lives(p *peer, r *Record, now float64) {
	if !p.known || p.gone {
		p.first = now
		m.live++
	}
	p.known, p.gone = true, false
	p.heard, p.zone, p.list = now, r.Zone, r.List
}

func (m *Mill) goes(p *peer) {
	if p.known && !p.gone {
		p.gone = true
		m.live--
		m.silence(p)
	}
}

// sweep ends peers that were not heard of, and forgets those gone for long.
func (m *Mill) sweep(now float64) {
	lost := beatsLost * m.interval()
	for i, p := range m.peers {
		if p == nil {
			continue
		}
		if p.known && !p.gone && now-p.heard > lost {
			m.goes(p)
		}
		if (p.gone || !p.known) && now-p.heard > keepGone && now-p.first > keepGone {
			m.peers[i] = nil
			m.forgotten = append(m.forgotten, i)
		}
	}
}

// Forgotten tells the indices that the host may give to others, once.
func (m *Mill) Forgotten() []int {
	out := m.forgotten
	m.forgotten = nil
	return out
}

// carry has a record passed on.
func (m *Mill) carry(r Record) {
	times := int(math.Ceil(retell * math.Log2(float64(m.live)+2)))
	rank := 1
	switch r.Kind {
	case Alive:
		rank, times = 2, beatTold
	case Leave:
		rank = 0 // its origin has one round left to tell it in, however much else there is to tell
	}
	// A newer sign of life of the same peer, or a newer word on the same node, takes the place of the older.
	if i := slices.IndexFunc(m.items, func(x item) bool {
		return x.Origin == r.Origin && (x.Kind == Alive) == (r.Kind == Alive) && x.Node == r.Node
	}); i >= 0 {
		if m.items[i].Epoch > r.Epoch || m.items[i].Epoch == r.Epoch && m.items[i].Seq > r.Seq {
			return
		}
		m.items[i] = item{r, times, rank}
		return
	}
	if len(m.items) >= 2*keepPeers {
		m.counted.Dropped++
		return
	}
	m.items = append(m.items, item{r, times, rank})
}

// round picks peers by chance and gives them what fits: what is urgent and was told least goes first.
func (m *Mill) round(now float64) (sends []Send) {
	m.credit = min(m.terms.Bytes, m.credit+m.terms.Bytes*max(0, now-m.credited))
	m.credited = now
	var there []int
	for i, p := range m.peers {
		if p != nil && p.known && !p.gone {
			there = append(there, i)
		}
	}
	m.rng.Shuffle(len(there), func(i, j int) { there[i], there[j] = there[j], there[i] })
	if len(there) > fanout {
		there = there[:fanout]
	}
	// Alone, or nearly, it asks the seeds again and again; else now and then, since halves that could not hear each
	// other have forgotten each other.
	if every := seedEvery; m.rng.Float64() < rounds/every || len(there) < fanout && m.rng.Float64() < rounds/beat {
		there = append(there, Seed)
	}
	if len(m.items) == 0 {
		return nil
	}
	slices.SortStableFunc(m.items, func(a, b item) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return b.left - a.left
	})
	for _, to := range there {
		s := Send{To: to}
		size := 0
		for i := range m.items {
			x := &m.items[i]
			if x.left <= 0 || x.Origin == to || size+x.Size > m.terms.Datagram {
				continue
			}
			size += x.Size
			x.left--
			s.Records = append(s.Records, x.Record)
		}
		if len(s.Records) == 0 {
			continue
		}
		if cost := float64(size + Envelope); cost > m.credit {
			m.counted.Held++
			break
		} else {
			m.credit -= cost
			m.counted.Out += int64(cost)
		}
		sends = append(sends, s)
	}
	m.items = slices.DeleteFunc(m.items, func(x item) bool { return x.left <= 0 })
	return sends
}

// Envelope is what a datagram takes beside its records, in bytes: sender, epoch, counter, time and signature.
const Envelope = 8 + 8 + 8 + 8 + 4 + 64 + 28 // and the headers of IP and UDP
