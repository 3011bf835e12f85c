package gossip

// This file owns what peers accuse servers of, what that weighs, and when it makes a server suspected. It must never let fewer
// than a quorum of peers change anything, nor any number of them outlast own evidence.

import (
	"math"
)

type accusation struct {
	receivedAt float64
	expires    float64
	reason     Reason
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
