package gossip

import (
	"math"
	"slices"
)

// This file owns the peers: who is alive, by their own heartbeats, and which records go to whom. It must never take a
// peer's word about another peer, nor send more than its bytes.

// peer is another instance. Its entry goes gonePeerRetention after its last heartbeat.
type peer struct {
	incarnation         int64
	firstHeard          float64 // when it was first heard of in this incarnation
	heard               float64 // the newest heartbeat
	zone                int
	listVersion         int64
	clockSkew           float64 // s its clock is ahead of ours, the least seen: delays only make it look behind
	known               bool
	gone                bool
	left                bool    // by its own record: nothing more of this incarnation comes from it
	lostWeight          float64 // by wrong accusations
	lostWeightAt        float64
	confirmed           int
	accused             map[int]float64 // servers it accuses, until when; emptied as accusations expire
	replay              replayWindow
	duplicateQuietUntil float64 // until when two processes of its name are not told of each other again
}

// replayWindow remembers which of the last numbers came: replays and repeats do not get through, late ones do.
type replayWindow struct {
	newest int64
	seen   uint64
}

// accept tells whether a number is new.
func (w *replayWindow) accept(n int64) bool {
	switch d := n - w.newest; {
	case d > 0:
		if d >= 64 {
			w.seen = 0
		} else {
			w.seen <<= uint(d)
		}
		w.seen |= 1
		w.newest = n
		return true
	case d <= -64:
		return false
	default:
		bit := uint64(1) << uint(-d)
		if w.seen&bit != 0 {
			return false
		}
		w.seen |= bit
		return true
	}
}

// queuedRecord is a record that is being passed on.
type queuedRecord struct {
	Record
	remaining int // times it is passed on yet
	priority  int // what is urgent first
}

// heartbeatInterval is the time between heartbeats: as many peers as there are, theirs fit in a share of the bytes.
func (n *Node) heartbeatInterval() float64 {
	return max(heartbeatEvery, float64(n.alivePeers)*heartbeatRetransmits*heartbeatBytes/(n.config.BytesPerSecond*heartbeatShare))
}

// AlivePeers tells how many peers are alive.
func (n *Node) AlivePeers() int { return n.alivePeers }

// admit takes a record's place in its origin's history. false: old, repeated, or of an earlier life.
func (n *Node) admit(r *Record, now float64) (*peer, bool) {
	if r.Origin < 0 || r.Origin >= maxPeers || math.IsNaN(r.At) {
		return nil, false
	}
	for r.Origin >= len(n.peers) {
		n.peers = append(n.peers, nil)
	}
	p := n.peers[r.Origin]
	if p == nil {
		p = &peer{accused: map[int]float64{}, clockSkew: math.Inf(-1), incarnation: math.MinInt64}
		n.peers[r.Origin] = p
	}
	switch {
	case math.Abs(r.At-now) > maxClockSkew:
		n.counts.Skewed++
		return nil, false
	case r.Incarnation < p.incarnation, r.Incarnation == p.incarnation && p.left:
		// A heartbeat that others still pass on would make it alive again, after it has left.
		n.counts.Old++
		return nil, false
	case r.Incarnation > p.incarnation: // it started anew, and has all to prove again but its record
		n.dropAccusations(p)
		*p = peer{incarnation: r.Incarnation, firstHeard: now, lostWeight: p.lostWeight, lostWeightAt: p.lostWeightAt, confirmed: p.confirmed, accused: map[int]float64{},
			clockSkew: r.At - now}
		p.replay.newest = r.Seq - 1
	}
	// Its clock may be off, but by the same all the time: what is older than that allows is a replay.
	if r.At-now < p.clockSkew-maxRecordAge {
		n.counts.Old++
		return nil, false
	}
	if !p.replay.accept(r.Seq) {
		n.counts.Repeated++
		return nil, false
	}
	p.clockSkew = max(p.clockSkew, r.At-now)
	return p, true
}

// markAlive takes a heartbeat.
func (n *Node) markAlive(p *peer, r *Record, now float64) {
	if !p.known || p.gone {
		p.firstHeard = now
		n.alivePeers++
	}
	p.known, p.gone = true, false
	p.heard, p.zone, p.listVersion = now, r.Zone, r.ListVersion
}

func (n *Node) markGone(p *peer) {
	if p.known && !p.gone {
		p.gone = true
		n.alivePeers--
		n.dropAccusations(p)
	}
}

// expirePeers ends peers that were not heard of, and forgets those gone for long.
func (n *Node) expirePeers(now float64) {
	lost := heartbeatsMissed * n.heartbeatInterval()
	for i, p := range n.peers {
		if p == nil {
			continue
		}
		if p.known && !p.gone && now-p.heard > lost {
			n.markGone(p)
		}
		if (p.gone || !p.known) && now-p.heard > gonePeerRetention && now-p.firstHeard > gonePeerRetention {
			n.peers[i] = nil
			n.freedIndices = append(n.freedIndices, i)
		}
	}
}

// FreedIndices tells the indices that the host may give to others, once.
func (n *Node) FreedIndices() []int {
	out := n.freedIndices
	n.freedIndices = nil
	return out
}

// enqueue has a record passed on.
func (n *Node) enqueue(r Record) {
	remaining := int(math.Ceil(retransmitFactor * math.Log2(float64(n.alivePeers)+2)))
	priority := 1
	switch r.Kind {
	case Alive:
		priority, remaining = 2, heartbeatRetransmits
	case Leave:
		priority = 0 // its origin has one round left to tell it in, however much else there is to tell
	}
	// A newer heartbeat of the same peer, or a newer record on the same server, takes the place of the older.
	if i := slices.IndexFunc(n.queue, func(x queuedRecord) bool {
		return x.Origin == r.Origin && (x.Kind == Alive) == (r.Kind == Alive) && x.Server == r.Server
	}); i >= 0 {
		if n.queue[i].Incarnation > r.Incarnation || n.queue[i].Incarnation == r.Incarnation && n.queue[i].Seq > r.Seq {
			return
		}
		n.queue[i] = queuedRecord{r, remaining, priority}
		return
	}
	if len(n.queue) >= 2*maxPeers {
		n.counts.Dropped++
		return
	}
	n.queue = append(n.queue, queuedRecord{r, remaining, priority})
}

// chooseSends picks peers by chance and gives them what fits: what is urgent and was sent least goes first.
func (n *Node) chooseSends(now float64) (sends []Send) {
	n.byteCredit = min(n.config.BytesPerSecond, n.byteCredit+n.config.BytesPerSecond*max(0, now-n.creditAt))
	n.creditAt = now
	var targets []int
	for i, p := range n.peers {
		if p != nil && p.known && !p.gone {
			targets = append(targets, i)
		}
	}
	n.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	if len(targets) > fanout {
		targets = targets[:fanout]
	}
	// Alone, or nearly, it asks the seeds again and again; else now and then, since halves that could not hear each
	// other have forgotten each other.
	if every := seedEvery; n.rng.Float64() < roundEvery/every || len(targets) < fanout && n.rng.Float64() < roundEvery/heartbeatEvery {
		targets = append(targets, SeedPeer)
	}
	if len(n.queue) == 0 {
		return nil
	}
	slices.SortStableFunc(n.queue, func(a, b queuedRecord) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return b.remaining - a.remaining
	})
	for _, to := range targets {
		s := Send{To: to}
		size := 0
		for i := range n.queue {
			x := &n.queue[i]
			if x.remaining <= 0 || x.Origin == to || size+x.Size > n.config.DatagramBytes {
				continue
			}
			size += x.Size
			x.remaining--
			s.Records = append(s.Records, x.Record)
		}
		if len(s.Records) == 0 {
			continue
		}
		if cost := float64(size + EnvelopeBytes); cost > n.byteCredit {
			n.counts.Held++
			break
		} else {
			n.byteCredit -= cost
			n.counts.Out += int64(cost)
		}
		sends = append(sends, s)
	}
	n.queue = slices.DeleteFunc(n.queue, func(x queuedRecord) bool { return x.remaining <= 0 })
	return sends
}

// EnvelopeBytes is what a datagram takes beside its records, in bytes: sender, incarnation, counter, time and signature.
const EnvelopeBytes = 8 + 8 + 8 + 8 + 4 + 64 + 28 // and the headers of IP and UDP
