package transport

// This file owns the status that operators ask for.

import (
	"fmt"
	"slices"

	"eiderway/gossip"
)

// Status is what `eiderway peers` shows.
type Status struct {
	Name       string           `json:"name"`
	Quorum     float64          `json:"quorum"`
	Peers      []NamedPeer      `json:"peers"`
	Nodes      []NamedServer    `json:"nodes"`
	Counts     gossip.Counts    `json:"counts"`
	Bytes      [2]int64         `json:"bytes_in_out"`
	TurnedAway map[string]int64 `json:"turned_away"`
}

// NamedPeer is a peer with its name.
type NamedPeer struct {
	Name string   `json:"name"`
	Addr string   `json:"addr"`
	Keys []string `json:"keys"` // fingerprints that are trusted for it
	gossip.PeerStatus
}

// NamedServer is what is believed of a server, with its name.
type NamedServer struct {
	Name     string   `json:"name"`
	Accusers []string `json:"voices"`
	gossip.ServerStatus
}

// AskStatus hands over the status.
func (t *Transport) AskStatus(then func(Status)) {
	t.tell(func() {
		now := t.now()
		s := Status{Name: t.config.Name, Quorum: t.node.Quorum(), Counts: t.node.Counts(), Bytes: [2]int64{t.counts.BytesIn.Load(), t.counts.BytesOut.Load()},
			TurnedAway: map[string]int64{"malformed": t.counts.Malformed.Load(), "version": t.counts.Versions.Load(), "untrusted": t.counts.Untrusted.Load(),
				"forged": t.counts.Forged.Load(), "replayed": t.counts.Replayed.Load(), "network": t.counts.Network.Load(), "flood": t.counts.Flood.Load()}}
		trusted := t.trust.Load()
		for _, p := range t.node.Peers(now) {
			x := NamedPeer{Name: t.instanceNames[p.Index], Addr: t.addrs[p.Index].String(), PeerStatus: p}
			for id, name := range trusted.names {
				if name == x.Name {
					x.Keys = append(x.Keys, fmt.Sprintf("%x", id))
				}
			}
			slices.Sort(x.Keys)
			s.Peers = append(s.Peers, x)
		}
		for _, b := range t.node.Servers(now) {
			x := NamedServer{Name: t.serverUIDs[b.Server], ServerStatus: b}
			for _, who := range b.Accusers {
				x.Accusers = append(x.Accusers, t.instanceNames[who])
			}
			s.Nodes = append(s.Nodes, x)
		}
		then(s)
	})
}
