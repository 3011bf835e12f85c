package gossip

// This file weighs the accusations of peers and decides when they make a server suspected. Fewer peers than a quorum never change
// anything, and no number of them overrides this instance's own observations.

import (
	"math"
)

// accusation is what a peer accuses a server of.
type accusation struct {
	receivedAt float64
	expires    float64
	reason     Reason
}

// peerAt returns the peer with an index, or nil.
func (n *Node) peerAt(index int) *peer {
	if index < 0 || index >= len(n.peers) {
		return nil
	}
	return n.peers[index]
}

// penalize takes weight from a peer whose accusation our own observations refuted.
func (n *Node) penalize(origin int, now float64) {
	p := n.peerAt(origin)
	if p == nil {
		return
	}
	p.lostWeight = p.penalty(now) + falseAccusationCost
	p.lostWeightAt = now
	n.counts.Wrong++
}

// penalty returns the lost weight of a peer, decayed to now.
func (p *peer) penalty(now float64) float64 {
	return p.lostWeight * math.Exp2(-max(0, now-p.lostWeightAt)/penaltyHalfLife)
}

// weight returns the weight of a peer's accusations, from 0 to 1. Refuted accusations lower it. It is 0 for a peer that is new or
// accuses more than half of the servers.
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

// Quorum returns the total weight of accusations that makes a server suspected. It grows with the number of alive peers. No peer
// weighs more than 1, so fewer peers than that can't reach it.
func (n *Node) Quorum() float64 { return max(2, math.Ceil(math.Log2(float64(n.alivePeers)+1))) }

// dropAccusations removes all accusations of a peer.
func (n *Node) dropAccusations(p *peer) {
	for origin, other := range n.peers {
		if other == p {
			for _, id := range n.serverOrder {
				delete(n.servers[id].accusations, origin)
			}
		}
	}
	clear(p.accused)
}

// Receive handles a record whose signature the host has verified. The host sets the indices of its origin and server; a server
// that is not on our list has index -1.
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

// receiveAccusation handles an accusation or its retraction.
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
		n.penalize(r.Origin, now) // the server has just answered us
		return
	}
	server.accusations[r.Origin] = accusation{now, now + accusationLifetime, r.Reason}
}

// assess updates whether accusations make a server suspected. Peers of one zone may share a broken network path to the server, so
// where peers are in several zones, those of one zone alone never reach the quorum.
func (n *Node) assess(server *serverState, now float64) []Suspicion {
	weightByZone := map[int]float64{}
	until, total := math.Inf(1), 0.0
	quorum := n.Quorum()
	if n.config.BelieveAll {
		quorum = 1
	}
	for _, origin := range sortedKeys(server.accusations) {
		accusation, p := server.accusations[origin], n.peerAt(origin)
		if now >= accusation.expires || p == nil {
			delete(server.accusations, origin)
			continue
		}
		w := n.weight(p, now)
		if n.config.BelieveAll {
			w = 1
		}
		if w > 0 {
			weightByZone[p.zone] += w
			until = min(until, accusation.expires)
		}
	}
	severalZones := !n.config.BelieveAll && n.zoneCount() > 1
	for _, z := range sortedKeys(weightByZone) {
		w := weightByZone[z]
		if severalZones {
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
	isNew := !server.suspected
	if isNew {
		n.counts.Suspicions++
	}
	server.suspected, server.suspectedUntil = true, until
	return []Suspicion{{Server: server.id, Until: until, ProbeNow: isNew}}
}

// zoneCount returns the number of zones with alive instances, this one included.
func (n *Node) zoneCount() int {
	seen := map[int]bool{n.config.Zone: true}
	for _, p := range n.peers {
		if p != nil && p.known && !p.gone {
			seen[p.zone] = true
		}
	}
	return len(seen)
}

// budgetSpent reports whether one more suspicion would exceed the share of a server's group that accusations alone may make
// suspected.
func (n *Node) budgetSpent(server *serverState, now float64) bool {
	members, suspected := 0, 0
	for _, id := range n.serverOrder {
		if other := n.servers[id]; other.group == server.group {
			members++
			if other.suspected && now < other.suspectedUntil {
				suspected++
			}
		}
	}
	return float64(suspected+1) > max(1, suspectBudget*float64(members))
}
