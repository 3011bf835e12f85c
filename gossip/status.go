package gossip

// This file owns what operators are shown of peers and servers.

import (
	"cmp"
	"slices"
)

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
