package gossip

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
)

// This file owns what is believed: what this router observed itself, what peers accuse, and which servers are suspected for
// it. It must never let fewer than a quorum of peers change anything, nor any number of them outlast own evidence.

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

type submission struct {
	sent    float64
	overdue bool // counted
}

type accusation struct {
	receivedAt float64
	expires    float64
	reason     Reason
}

// evidence is what this instance observed of one kind, decayed.
type evidence struct {
	successes, failures float64
	decayedAt           float64
	successAt           float64 // the newest success, by when it was sent
	failureAt           float64
	streak              int // failures since the last success
}

// refutes tells whether it speaks against an accusation that comes now.
func (e *evidence) refutes(now float64) bool {
	return now-e.successAt < refutationWindow && e.failureAt < e.successAt
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

// Started tells that a submission has left for a server. Its end is told by Observe, or by Finished where it shows nothing.
func (n *Node) Started(id int, sent float64) {
	if server := n.servers[id]; server != nil && len(server.inFlight) < maxInFlight {
		server.inFlight = append(server.inFlight, submission{sent: sent})
	}
}

// Finished ends what Started began.
func (n *Node) Finished(id int, sent float64) {
	if server := n.servers[id]; server != nil {
		if i := slices.IndexFunc(server.inFlight, func(o submission) bool { return o.sent == sent }); i >= 0 {
			server.inFlight = slices.Delete(server.inFlight, i, i+1)
		}
	}
}

// countOverdue counts submissions whose answers should be there by far: each is taken as no answer, before it times out. A
// probe that is answered, or any answer, says otherwise. It covers servers that hang, on which else each of many quiet
// routers loses a submission of its own to find out; it harms where a type of txn takes eight usual latencies: the
// accusations of a quorum then cost that server a probe and its turn, no more.
func (n *Node) countOverdue(server *serverState, now float64) {
	if n.usualLatency == 0 || now-n.tickedAt > overdueMin+2*urgentRoundEvery {
		return // or this process has paused
	}
	limit := max(overdueMin, overdueFactor*n.usualLatency)
	evidence := &server.evidence[Unresponsive]
	for i := range server.inFlight {
		if o := &server.inFlight[i]; !o.overdue && now-o.sent > limit {
			o.overdue = true
			if o.sent > evidence.successAt {
				evidence.decay(now)
				evidence.failures += 2 * accuseFromFailures
				evidence.failureAt = now
				evidence.streak += accuseFromStreak
				n.counts.Overdue++
			}
		}
	}
}

// Observe tells what a submission, or a probe, of ours that was sent at a time has shown of a server. A probe says nothing of
// what becomes of submissions; an answered submission says that the server answers, too.
func (n *Node) Observe(id int, good, probe bool, sent, now float64) []Suspicion {
	server := n.servers[id]
	if server == nil {
		return nil
	}
	if !probe {
		n.Finished(id, sent)
		if good {
			if n.usualLatency == 0 {
				n.usualLatency = max(now-sent, 1e-6)
			}
			n.usualLatency += latencyGain * (now - sent - n.usualLatency)
		}
	}
	for reason := range server.evidence {
		evidence := &server.evidence[reason]
		evidence.decay(now)
		switch {
		case probe && Reason(reason) == Failing, !probe && !good && Reason(reason) == Unresponsive:
		case good:
			evidence.successes++
			evidence.streak = 0
			evidence.successAt = max(evidence.successAt, sent)
		default:
			evidence.failures++
			evidence.streak++
			evidence.failureAt = now
		}
	}
	// What was said before we asked, and is not so: they are wrong, or it has passed. Whoever goes on saying so loses
	// weight for it. Who is right gets weight back.
	for _, who := range sortedKeys(server.accusations) {
		a, p := server.accusations[who], n.peerAt(who)
		switch {
		case a.receivedAt > sent || probe && a.reason == Failing || p == nil:
		case good:
			n.penalize(who, now)
			delete(server.accusations, who)
		default:
			p.lostWeight, p.lostWeightAt = max(0, p.penalty(now)-trueAccusationGain), now
			p.confirmed++
			n.counts.Right++
		}
	}
	if server.suspected && len(server.accusations) == 0 {
		server.suspected = false
		n.counts.Overruled++
		return []Suspicion{{Server: id, Until: now}}
	}
	return nil
}

func sortedKeys[V any](m map[int]V) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (e *evidence) decay(now float64) {
	f := math.Exp2(-max(0, now-e.decayedAt) / evidenceHalfLife)
	e.successes, e.failures, e.decayedAt = e.successes*f, e.failures*f, now
}

func (n *Node) peerAt(who int) *peer {
	if who < 0 || who >= len(n.peers) {
		return nil
	}
	return n.peers[who]
}

func (n *Node) penalize(who int, now float64) {
	p := n.peerAt(who)
	if p == nil {
		return
	}
	p.lostWeight = p.penalty(now) + falseAccusationCost
	p.lostWeightAt = now
	n.counts.Wrong++
}

func (p *peer) penalty(now float64) float64 {
	return p.lostWeight * math.Exp2(-max(0, now-p.lostWeightAt)/penaltyHalfLife)
}

// weight of a peer's accusations, 0 to 1: by its record, and nothing while it is new or accuses half of the servers.
func (n *Node) weight(p *peer, now float64) float64 {
	switch {
	case p == nil || !p.known || p.gone || now-p.firstHeard < minPeerAge:
		return 0
	case len(p.accused) >= minAccused && float64(len(p.accused)) > maxAccusedShare*float64(len(n.servers)):
		n.counts.Crowds++
		return 0
	}
	return 1 / (1 + p.penalty(now))
}

// Quorum is the weight of accusations that makes a suspicion: it grows with the peers that are alive. Fewer than that many
// peers can't bring it up, whatever they say.
func (n *Node) Quorum() float64 { return max(2, math.Ceil(math.Log2(float64(n.alivePeers)+1))) }

// dropAccusations drops all that a peer accuses.
func (n *Node) dropAccusations(p *peer) {
	for who, q := range n.peers {
		if q == p {
			for _, id := range n.serverOrder {
				delete(n.servers[id].accusations, who)
			}
		}
	}
	clear(p.accused)
}

// Receive takes a record whose signature is its origin's. The host names its origin and server by index; a server that our
// own list does not name has index -1.
func (n *Node) Receive(r Record, now float64) Effects {
	p, ok := n.admit(&r, now)
	if !ok {
		return Effects{}
	}
	n.counts.Received++
	var e Effects
	switch r.Kind {
	case Alive:
		n.markAlive(p, &r, now)
		e.ListOutdated = n.needsList(r.ListVersion, now)
	case Leave:
		n.markGone(p)
		p.left = true
	case Accuse, Retract:
		if server := n.servers[r.Server]; server != nil {
			n.receiveAccusation(server, p, r, now)
			e.Suspicions = n.assess(server, now)
		}
	default:
		return Effects{}
	}
	n.urgent = n.urgent || r.Kind == Accuse
	n.enqueue(r)
	return e
}

// receiveAccusation takes an accusation, or its retraction.
func (n *Node) receiveAccusation(server *serverState, p *peer, r Record, now float64) {
	n.counts.Accusations++
	if r.Kind == Retract {
		delete(server.accusations, r.Origin)
		delete(p.accused, server.id)
		return
	}
	if previous, ok := server.accusations[r.Origin]; ok && now-previous.receivedAt < accusationInterval {
		n.counts.Frequent++
		return
	}
	p.accused[server.id] = now + accusationLifetime
	if r.Reason > Failing {
		return
	}
	if server.evidence[r.Reason].refutes(now) {
		n.penalize(r.Origin, now) // we have just had an answer
		return
	}
	server.accusations[r.Origin] = accusation{now, now + accusationLifetime, r.Reason}
}

// assess tells whether accusations make a server suspected. Those of one zone alone have one way to the server, which may be
// cut: where peers are in several zones they fall short of the quorum together.
func (n *Node) assess(server *serverState, now float64) []Suspicion {
	zones := map[int]float64{}
	until, total := math.Inf(1), 0.0
	quorum := n.Quorum()
	if n.config.BelieveAll {
		quorum = 1
	}
	for _, who := range sortedKeys(server.accusations) {
		a, p := server.accusations[who], n.peerAt(who)
		if now >= a.expires || p == nil {
			delete(server.accusations, who)
			continue
		}
		w := n.weight(p, now)
		if n.config.BelieveAll {
			w = 1
		}
		if w > 0 {
			zones[p.zone] += w
			until = min(until, a.expires)
		}
	}
	several := !n.config.BelieveAll && n.zoneCount() > 1
	for _, z := range sortedKeys(zones) {
		w := zones[z]
		if several {
			w = min(w, quorum-1)
		}
		total += w
	}
	if total < quorum || !n.config.BelieveAll && !server.suspected && n.budgetSpent(server, now) {
		if server.suspected {
			server.suspected = false
			return []Suspicion{{Server: server.id, Until: now}}
		}
		return nil
	}
	began := !server.suspected
	if began {
		n.counts.Suspicions++
	}
	server.suspected, server.suspectedUntil = true, until
	return []Suspicion{{Server: server.id, Until: until, ProbeNow: began}}
}

// zoneCount counts the zones in which peers are.
func (n *Node) zoneCount() int {
	seen := map[int]bool{n.config.Zone: true}
	for _, p := range n.peers {
		if p != nil && p.known && !p.gone {
			seen[p.zone] = true
		}
	}
	return len(seen)
}

// budgetSpent tells whether as much of a server's group is suspected already as accusations alone may bring about.
func (n *Node) budgetSpent(server *serverState, now float64) bool {
	all, suspected := 0, 0
	for _, id := range n.serverOrder {
		if other := n.servers[id]; other.group == server.group {
			all++
			if other.suspected && now < other.suspectedUntil {
				suspected++
			}
		}
	}
	return float64(suspected+1) > max(1, suspectBudget*float64(all))
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

// failing tells whether what we observed of a server is bad enough to say so, and of what kind it is.
func (s *serverState) failing() (Reason, bool) {
	for reason := range s.evidence {
		if s.evidence[reason].fails() {
			return Reason(reason), true
		}
	}
	return 0, false
}

func (e *evidence) fails() bool {
	return e.failures >= accuseFromFailures && e.failureAt > e.successAt &&
		(e.streak >= accuseFromStreak || e.failures > accuseFromShare*(e.successes+e.failures))
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

// ServerStatus is what is believed of a server, and why.
type ServerStatus struct {
	Server    int     `json:"-"`
	Suspected bool    `json:"doubted"`
	Good, Bad float64 // own evidence, decayed
	Accusers  []int   `json:"-"`
}

// PeerStatus is what is known of a peer.
type PeerStatus struct {
	Index       int     `json:"-"`
	Gone        bool    `json:"gone"`
	Zone        int     `json:"zone"`
	Incarnation int64   `json:"epoch"`
	Heard       float64 `json:"heard"`
	Weight      float64 `json:"weight"`
	Right       int     `json:"right"`
	Wrong       float64 `json:"wrong"`
	Skew        float64 `json:"skew"`
	Accuses     int     `json:"accuses"`
}

// Peers tells of all peers that are known.
func (n *Node) Peers(now float64) (out []PeerStatus) {
	for i, p := range n.peers {
		if p != nil && p.known {
			out = append(out, PeerStatus{i, p.gone, p.zone, p.incarnation, p.heard, n.weight(p, now), p.confirmed, p.penalty(now), p.clockSkew, len(p.accused)})
		}
	}
	return out
}

// Servers tells of all servers of which there is something to tell.
func (n *Node) Servers(now float64) (out []ServerStatus) {
	for _, id := range n.serverOrder {
		server := n.servers[id]
		failures := server.evidence[Unresponsive].failures + server.evidence[Failing].failures
		if server.suspected || len(server.accusations) > 0 || failures > accuseFromShare {
			out = append(out, ServerStatus{id, server.suspected, server.evidence[Failing].successes, failures, sortedKeys(server.accusations)})
		}
	}
	slices.SortStableFunc(out, func(a, b ServerStatus) int { return cmp.Compare(a.Server, b.Server) })
	return out
}
