package proxy

// This file owns the socket on which the routers of one tier exchange datagrams, whoever uses them: package peerstate, package
// lease. One goroutine reads it, one writes it; all else is done in the core's. It takes datagrams from the addresses of
// peers alone, and must never judge what they say.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"eiderway/lease"
	"eiderway/zone"
)

const (
	longestWord = 512 // bytes of a datagram that are read: longer ones are none of ours
	mostWords   = 512 // datagrams that wait for the core, or to be sent: beyond it they are dropped, as the network would
)

type tier struct {
	core    *core
	conn    *net.UDPConn
	me      int
	peers   []netip.AddrPort
	byAddr  map[netip.AddrPort]int
	all     netip.AddrPort
	sends   chan datagram
	pending atomic.Int64 // datagrams in the core's mailbox
	dropped atomic.Int64
}

// datagram goes to a peer, or to all of them (toAll).
type datagram struct {
	to    int
	bytes []byte
}

const toAll = -1

// newTier begins where the configuration names peers and its settings allow them; nil: it does not.
func newTier(c *core, cfg *Config) (*tier, error) {
	s := cfg.terms.Splitter
	if cfg.PeerListen == "" || len(cfg.Peers) < 2 || !cfg.terms.Peers {
		return nil, nil
	}
	t := &tier{core: c, me: s.Self, byAddr: map[netip.AddrPort]int{}, sends: make(chan datagram, mostWords)}
	for i, text := range cfg.Peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		t.peers = append(t.peers, addr)
		t.byAddr[addr] = i
	}
	if s.Self < 0 || s.Self >= len(t.peers) {
		return nil, fmt.Errorf("peers: there is no number %d among %d", s.Self, len(t.peers))
	}
	if cfg.PeersAll != "" {
		all, err := netip.ParseAddrPort(cfg.PeersAll)
		if err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
		t.all = all
	}
	listen, err := netip.ParseAddrPort(cfg.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	t.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	return t, err
}

// run reads and writes the socket until life ends.
func (t *tier) run(life context.Context, g *errgroup.Group) {
	context.AfterFunc(life, func() { t.conn.Close() })
	g.Go(func() error {
		buf := make([]byte, longestWord)
		for {
			n, from, err := t.conn.ReadFromUDPAddrPort(buf)
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			peer, ok := t.byAddr[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
			if err != nil || !ok || t.pending.Load() >= mostWords {
				t.dropped.Add(1)
				continue
			}
			b := append([]byte(nil), buf[:n]...)
			t.pending.Add(1)
			t.core.tell(func() {
				t.pending.Add(-1)
				t.took(peer, b)
			})
		}
	})
	g.Go(func() error {
		for {
			select {
			case <-life.Done():
				return nil
			case d := <-t.sends:
				t.write(d)
			}
		}
	})
}

// took hands a datagram to whom its first byte names.
func (t *tier) took(peer int, b []byte) {
	switch c := t.core; {
	case len(b) > 0 && b[0] >= zone.First && c.zones != nil:
		c.zones.book.Receive(peer, b, c.now)
		c.zones.act()
	case len(b) > 0 && b[0] >= lease.First && c.leases != nil:
		c.leases.book.Take(peer, b, c.leases.now())
		c.leases.act()
	case c.peerState != nil:
		c.peerState.table.Receive(peer, b, c.now)
		c.peerState.act()
	}
}

// send never blocks.
func (t *tier) send(to int, b []byte) {
	select {
	case t.sends <- datagram{to, b}:
	default:
		t.dropped.Add(1)
	}
}

func (t *tier) write(d datagram) {
	switch {
	case d.to != toAll:
		t.conn.WriteToUDPAddrPort(d.bytes, t.peers[d.to])
	case t.all.IsValid():
		t.conn.WriteToUDPAddrPort(d.bytes, t.all)
	default:
		for i, peer := range t.peers {
			if i != t.me {
				t.conn.WriteToUDPAddrPort(d.bytes, peer)
			}
		}
	}
}
