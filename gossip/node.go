package gossip

// This file holds the steps of a Node and makes its own records. It never accuses servers when the fault is probably that of
// this instance.

import (
	"math"
	"math/rand"
	"slices"
)

// Node is one instance that takes part in the gossip. It keeps peers until gonePeerRetention after their end, servers until
// RemoveServer, and queued records until they have been passed on often enough.
type Node struct {
	config           Config
	rng              *rand.Rand
	peers            []*peer
	alivePeers       int
	servers          map[int]*serverState
	serverOrder      []int // in order of AddServer
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
	requestedVersion int64   // newest version of the list that was requested
	nextListRequest  float64 // earliest time of the next list request
	tickedAt         float64 // time of the last Tick
	usualLatency     float64 // s, moving average over the submissions to all servers; 0 until one was answered
	urgent           bool    // an accusation, our own or a received one, waits to be sent
	counts           Counts
}

// Counts counts what a Node has done. The JSON keys are those that operators know.
type Counts struct {
	Received    int64 `json:"Taken"`
	Accusations int64 `json:"Voices"`
	Suspicions  int64 `json:"Doubts"`

	Old, Repeated, Skewed, Dropped, Held, Unseasoned, Frequent, Crowds, Wrong, Right, Overruled, Overdue int64

	Out int64 // bytes
}

// serverState holds what this instance has observed of a server and what peers accuse it of.
type serverState struct {
	id, group      int
	evidence       [2]evidence // own observations, by Reason
	accusedByUs    bool
	accusedAt      float64
	accusations    map[int]accusation // by peer; entries go when they expire
	suspected      bool
	suspectedUntil float64
	inFlight       []submission // submissions that have not ended, oldest first; at most maxInFlight
}

// New makes a Node without peers and servers.
func New(config Config) *Node {
	return &Node{config: config, rng: rand.New(rand.NewSource(config.Seed)), servers: map[int]*serverState{}, byteCredit: config.BytesPerSecond,
		heartbeatAt: math.Inf(-1), roundAt: math.Inf(-1), creditAt: math.Inf(1)}
}

// Counts returns the counts so far.
func (n *Node) Counts() Counts { return n.counts }

// AddServer adds a server of the member list, or moves a known one to another group.
func (n *Node) AddServer(id, group int) {
	if server := n.servers[id]; server != nil {
		server.group = group
		return
	}
	empty := evidence{successAt: math.Inf(-1), failureAt: math.Inf(-1)}
	n.servers[id] = &serverState{id: id, group: group, accusations: map[int]accusation{}, evidence: [2]evidence{empty, empty}}
	n.serverOrder = append(n.serverOrder, id)
}

// RemoveServer forgets a server. The host may then give its index to another server, which starts without suspicion.
func (n *Node) RemoveServer(id int) {
	delete(n.servers, id)
	n.serverOrder = slices.DeleteFunc(n.serverOrder, func(other int) bool { return other == id })
	for _, p := range n.peers {
		if p != nil {
			delete(p.accused, id)
		}
	}
}

// SetListVersion sets the version of our member list.
func (n *Node) SetListVersion(version int64) { n.listVersion = version }

func sortedKeys[V any](m map[int]V) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Tick expires accusations and peers, and makes the records about what this instance observed. The host must return those signed
// through Publish before it calls Round.
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
	// When more than half of the servers fail us, the fault is probably our own.
	faultIsOurs := accusing >= minAccused && float64(accusing) > maxAccusedShare*float64(len(n.servers))
	for _, id := range n.serverOrder {
		server := n.servers[id]
		reason, failing := server.failing()
		failing = failing && !faultIsOurs && n.config.Accuse
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

// Publish queues a signed record of our own for sending.
func (n *Node) Publish(r Record) { n.enqueue(r) }

// Round returns the datagrams to send now, or none if no round is due.
func (n *Node) Round(now float64) []Send {
	interval := roundEvery
	if n.urgent {
		interval = urgentRoundEvery
	}
	if now-n.roundAt < interval*0.99 {
		return nil
	}
	n.urgent = false
	if math.IsInf(n.creditAt, 1) {
		n.creditAt = now
	}
	n.roundAt = now
	return n.chooseSends(now)
}

// LeaveRecord makes the record that announces the end of this instance, and stops its heartbeats.
func (n *Node) LeaveRecord(now float64) Record {
	n.leaving = true
	return n.newRecord(Record{Kind: Leave, Server: -1}, now)
}
