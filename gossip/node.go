package gossip

// This file owns the steps of a Node and the records of its own. It must never take the servers it accuses for ill when the
// trouble is its own.

import (
	"math"
	"math/rand"
	"slices"
)

// Node is one instance's side of the gossip. What it holds: peers until gonePeerRetention after they left, servers until
// RemoveServer, queued records until they have been passed on.
type Node struct {
	config           Config
	rng              *rand.Rand
	peers            []*peer
	alivePeers       int
	servers          map[int]*serverState
	serverOrder      []int // as first met
	queue            []queuedRecord
	freedIndices     []int
	seq              int64
	listVersion      int64
	heartbeatAt      float64
	roundAt          float64
	byteCredit       float64
	creditAt         float64
	leaving          bool
	notes            []string
	requestedVersion int64   // the version of the list that was asked for last
	nextListRequest  float64 // not again before
	tickedAt         float64 // the last Tick
	usualLatency     float64 // s, latency of submissions, all servers together; 0: none was answered yet
	urgent           bool    // an accusation of ours, or one that came, has not been sent yet
	counts           Counts
}

// Counts tell what a Node has done. Operators see them under their first names.
type Counts struct {
	Received    int64 `json:"Taken"`
	Accusations int64 `json:"Voices"`
	Suspicions  int64 `json:"Doubts"`

	Old, Repeated, Skewed, Dropped, Held, Unseasoned, Frequent, Crowds, Wrong, Right, Overruled, Overdue int64

	Out int64 // bytes
}

// serverState is a member of the cluster as this instance observes it and hears of it.
type serverState struct {
	id, group      int
	evidence       [2]evidence // own evidence: of whether it answers, and of what is submitted to it
	accusedByUs    bool
	accusedAt      float64
	accusations    map[int]accusation // by peer; emptied as they end
	suspected      bool
	suspectedUntil float64
	inFlight       []submission // submissions without an end yet, oldest first; emptied by their ends, maxInFlight at most
}

// New makes a Node that knows nobody.
func New(t Config) *Node {
	return &Node{config: t, rng: rand.New(rand.NewSource(t.Seed)), servers: map[int]*serverState{}, byteCredit: t.BytesPerSecond,
		heartbeatAt: math.Inf(-1), roundAt: math.Inf(-1), creditAt: math.Inf(1)}
}

// Counts tells the counts.
func (n *Node) Counts() Counts { return n.counts }

// AddServer tells a member of the list, new or moved.
func (n *Node) AddServer(id, group int) {
	if server := n.servers[id]; server != nil {
		server.group = group
		return
	}
	none := evidence{successAt: math.Inf(-1), failureAt: math.Inf(-1)}
	n.servers[id] = &serverState{id: id, group: group, accusations: map[int]accusation{}, evidence: [2]evidence{none, none}}
	n.serverOrder = append(n.serverOrder, id)
}

// RemoveServer ends a server: its index may stand for another one, of which nothing is suspected.
func (n *Node) RemoveServer(id int) {
	delete(n.servers, id)
	n.serverOrder = slices.DeleteFunc(n.serverOrder, func(n int) bool { return n == id })
	for _, p := range n.peers {
		if p != nil {
			delete(p.accused, id)
		}
	}
}

// SetListVersion tells the version of our member list.
func (n *Node) SetListVersion(rev int64) { n.listVersion = rev }

func sortedKeys[V any](m map[int]V) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Tick does what is due: it ends accusations and peers, and tells what we observed. Records of our own come back signed
// through Publish before Round is asked for what to send.
func (n *Node) Tick(now float64) (e Effects) {
	n.expirePeers(now)
	if n.tickedAt == 0 {
		n.tickedAt = now
	}
	for _, p := range n.peers {
		if p == nil {
			continue
		}
		for _, id := range sortedKeys(p.accused) {
			if now >= p.accused[id] {
				delete(p.accused, id)
			}
		}
	}
	accusing := 0
	for _, id := range n.serverOrder {
		server := n.servers[id]
		n.countOverdue(server, now)
		for i := range server.evidence {
			server.evidence[i].decay(now)
		}
		if server.suspected || len(server.accusations) > 0 {
			e.Suspicions = append(e.Suspicions, n.assess(server, now)...)
		}
		if _, failing := server.failing(); failing {
			accusing++
		}
	}
	n.tickedAt = now
	// When half of the servers fail us, the trouble is ours.
	ownTrouble := accusing >= minAccused && float64(accusing) > maxAccusedShare*float64(len(n.servers))
	for _, id := range n.serverOrder {
		server := n.servers[id]
		reason, failing := server.failing()
		failing = failing && !ownTrouble && n.config.Accuse
		switch {
		case failing && (!server.accusedByUs || now-server.accusedAt >= repeatAccusationEvery):
			n.urgent = n.urgent || !server.accusedByUs
			server.accusedByUs, server.accusedAt = true, now
			e.Own = append(e.Own, n.newRecord(Record{Kind: Accuse, Server: id, Reason: reason}, now))
		case !failing && server.accusedByUs:
			server.accusedByUs = false
			e.Own = append(e.Own, n.newRecord(Record{Kind: Retract, Server: id}, now))
		}
	}
	if now-n.heartbeatAt >= n.heartbeatInterval() && !n.leaving {
		n.heartbeatAt = now
		e.Own = append(e.Own, n.newRecord(Record{Kind: Alive, Zone: n.config.Zone, ListVersion: n.listVersion, Server: -1}, now))
	}
	e.Notes, n.notes = n.notes, nil
	return e
}

func (n *Node) newRecord(r Record, now float64) Record {
	n.seq++
	r.Origin, r.Incarnation, r.Seq, r.At = -1, n.config.Incarnation, n.seq, now
	return r
}

// Publish takes back a record of our own, signed.
func (n *Node) Publish(r Record) { n.enqueue(r) }

// Round tells what to send now, if a round is due.
func (n *Node) Round(now float64) []Send {
	every := roundEvery
	if n.urgent {
		every = urgentRoundEvery
	}
	if now-n.roundAt < every*0.99 {
		return nil
	}
	n.urgent = false
	if math.IsInf(n.creditAt, 1) {
		n.creditAt = now
	}
	n.roundAt = now
	return n.chooseSends(now)
}

// LeaveRecord makes the record by which this instance leaves.
func (n *Node) LeaveRecord(now float64) Record {
	n.leaving = true
	return n.newRecord(Record{Kind: Leave, Server: -1}, now)
}
