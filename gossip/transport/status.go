package transport

// This file reports the state of the gossip to operators.

import (
	"fmt"
	"slices"

	"eiderway/gossip"
)

// Status is the output of `eiderway peers`.
type Status struct {
	Name       string           `json:"name"`
	Quorum     float64          `json:"quorum"`
	Peers      []NamedPeer      `json:"peers"`
	Nodes      []NamedServer    `json:"nodes"`
	Counts     gossip.Counts    `json:"counts"`
	Bytes      [2]int64         `json:"bytes_in_out"`
	TurnedAway map[string]int64 `json:"turned_away"`
}

// NamedPeer is the status of a peer with its name and address.
type NamedPeer struct {
	Name string   `json:"name"`
	Addr string   `json:"addr"`
	Keys []string `json:"keys"` // fingerprints of the keys trusted for it
	gossip.PeerStatus
}

// NamedServer is the status of a server with its name and those of its accusers.
type NamedServer struct {
	Name     string   `json:"name"`
	Accusers []string `json:"voices"`
	gossip.ServerStatus
}

// AskStatus passes the status to the callback, which runs on the goroutine of Run and must not block.
func (t *Transport) AskStatus(callback func(Status)) {
	t.enqueue(func() {
		now := t.now()
		s := Status{Name: t.config.Name, Quorum: t.node.Quorum(), Counts: t.node.Counts(), Bytes: [2]int64{t.counts.BytesIn.Load(), t.counts.BytesOut.Load()},
			TurnedAway: map[string]int64{"malformed": t.counts.Malformed.Load(), "version": t.counts.Versions.Load(), "untrusted": t.counts.Untrusted.Load(),
				"forged": t.counts.Forged.Load(), "replayed": t.counts.Replayed.Load(), "network": t.counts.Network.Load(), "flood": t.counts.Flood.Load()}}
		trusted := t.trust.Load()
		for _, p := range t.node.Peers(now) {
			peer := NamedPeer{Name: t.instanceNames[p.Index], Addr: t.addrs[p.Index].String(), PeerStatus: p}
			for id, name := range trusted.names {
				if name == peer.Name {
					peer.Keys = append(peer.Keys, fmt.Sprintf("%x", id))
				}
			}
			slices.Sort(peer.Keys)
			s.Peers = append(s.Peers, peer)
		}
		for _, server := range t.node.Servers(now) {
			named := NamedServer{Name: t.serverUIDs[server.Server], ServerStatus: server}
			for _, accuser := range server.Accusers {
				named.Accusers = append(named.Accusers, t.instanceNames[accuser])
			}
			s.Nodes = append(s.Nodes, named)
		}
		callback(s)
	})
}
