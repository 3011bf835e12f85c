package gossip

import (
	"math"
	"slices"
)

// This file keeps the peers: which are alive, judged by their own heartbeats, and which records go to which. It never believes a
// peer about another peer, and never sends more than BytesPerSecond.

// peer is another instance. It is forgotten gonePeerRetention after its last heartbeat.
type peer struct {
	incarnation         int64
	firstHeard          float64 // time of the first record of this incarnation, or of the first heartbeat after it was gone
	heard               float64 // time of the newest heartbeat
	zone                int
	listVersion         int64
	clockSkew           float64 // s its clock is ahead of ours; the greatest value seen, since delays only make the clock look behind
	known               bool    // it has sent a heartbeat
	gone                bool    // its heartbeats ceased, or it left
	left                bool    // it announced its end: further records of this incarnation are ignored
	lostWeight          float64 // by refuted accusations, at lostWeightAt
	lostWeightAt        float64
	confirmed           int             // accusations that our own observations confirmed
	accused             map[int]float64 // servers it accuses, with the time at which each accusation expires
	replay              replayWindow
	duplicateQuietUntil float64 // until then, two processes of its name are not told of each other again
}

// replayWindow remembers which of the last 64 numbers were received: it rejects replays and repeats, and accepts late records.
type replayWindow struct {
	newest int64
	seen   uint64
}

// accept reports whether a number is new, and remembers it.
func (w *replayWindow) accept(number int64) bool {
	switch d := number - w.newest; {
	case d > 0:
		if d >= 64 {
			w.seen = 0
		} else {
			w.seen <<= uint(d)
		}
		w.seen |= 1
		w.newest = number
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

// queuedRecord is a record that waits to be sent.
type queuedRecord struct {
	Record
	remaining int // times that it is still to be sent
	priority  int // lower goes first
}

// heartbeatInterval is the time between heartbeats. It grows with the number of peers, so that passing all heartbeats on takes no
// more than heartbeatShare of the bytes.
func (n *Node) heartbeatInterval() float64 {
	return max(heartbeatEvery, float64(n.alivePeers)*heartbeatRetransmits*heartbeatBytes/(n.config.BytesPerSecond*heartbeatShare))
}

// AlivePeers returns the number of peers that are alive.
func (n *Node) AlivePeers() int { return n.alivePeers }

// admit returns the origin of a record, and false if the record is outdated, repeated, of an earlier incarnation, of a clock
// that is too far off, or of an index out of range.
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
		// Otherwise a heartbeat that others still pass on would make a peer that has left look alive.
		n.counts.Old++
		return nil, false
	case r.Incarnation > p.incarnation: // it restarted: only the weight that it lost and its confirmed accusations stay
		n.dropAccusations(p)
		*p = peer{incarnation: r.Incarnation, firstHeard: now, lostWeight: p.lostWeight, lostWeightAt: p.lostWeightAt, confirmed: p.confirmed, accused: map[int]float64{},
			clockSkew: r.At - now}
		p.replay.newest = r.Seq - 1
	}
	// Its clock may be off, but always by about as much: a record that is older than that allows is a replay.
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

// markAlive records a heartbeat.
func (n *Node) markAlive(p *peer, r *Record, now float64) {
	if !p.known || p.gone {
		p.firstHeard = now
		n.alivePeers++
	}
	p.known, p.gone = true, false
	p.heard, p.zone, p.listVersion = now, r.Zone, r.ListVersion
}

// markGone records the end of a peer and drops its accusations.
func (n *Node) markGone(p *peer) {
	if p.known && !p.gone {
		p.gone = true
		n.alivePeers--
		n.dropAccusations(p)
	}
}

// expirePeers marks peers without recent heartbeats as gone, and forgets those that have been gone for long.
func (n *Node) expirePeers(now float64) {
	timeout := heartbeatsMissed * n.heartbeatInterval()
	for i, p := range n.peers {
		if p == nil {
			continue
		}
		if p.known && !p.gone && now-p.heard > timeout {
			n.markGone(p)
		}
		if (p.gone || !p.known) && now-p.heard > gonePeerRetention && now-p.firstHeard > gonePeerRetention {
			n.peers[i] = nil
			n.freedIndices = append(n.freedIndices, i)
		}
	}
}

// FreedIndices returns the indices of the peers forgotten since the last call; the host may give them to other instances.
func (n *Node) FreedIndices() []int {
	freed := n.freedIndices
	n.freedIndices = nil
	return freed
}

// enqueue queues a record for sending.
func (n *Node) enqueue(r Record) {
	remaining := int(math.Ceil(retransmitFactor * math.Log2(float64(n.alivePeers)+2)))
	priority := 1
	switch r.Kind {
	case Alive:
		priority, remaining = 2, heartbeatRetransmits
	case Leave:
		priority = 0 // its origin sends only one more round, however full its queue is
	}
	// A newer heartbeat of the same peer, or a newer record about the same server, replaces the older one.
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

// chooseSends picks random peers and fills a datagram for each: urgent records first, then those that were sent least.
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
	// An instance with fewer peers than fanout contacts the seeds often. Others do it now and then, since the halves of a
	// partitioned network forget each other and only find each other again through the seeds.
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

// EnvelopeBytes is the size of a datagram without its records: sender, incarnation, counter, time, signature, and the headers.
const EnvelopeBytes = 8 + 8 + 8 + 8 + 4 + 64 + 28 // 28: headers of IP and UDP
