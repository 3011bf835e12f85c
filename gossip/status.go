package gossip

// This file reports the state of peers and servers to operators.

import (
	"cmp"
	"slices"
)

// ServerStatus says whether a server is suspected, and on what evidence.
type ServerStatus struct {
	Server    int     `json:"-"`
	Suspected bool    `json:"doubted"`
	Good, Bad float64 // observations of this instance, decayed
	Accusers  []int   `json:"-"`
}

// PeerStatus describes a peer as this instance knows it.
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

// Peers returns the status of every peer that has sent a heartbeat.
func (n *Node) Peers(now float64) (out []PeerStatus) {
	for i, p := range n.peers {
		if p != nil && p.known {
			out = append(out, PeerStatus{i, p.gone, p.zone, p.incarnation, p.heard, n.weight(p, now), p.confirmed, p.penalty(now), p.clockSkew, len(p.accused)})
		}
	}
	return out
}

// Servers returns the status of every server that is suspected, is accused or has failed this instance, sorted by index.
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
