package relay

// This file owns the talk among the routers of one tier: their socket, and the core's side of package lore. The core's
// goroutine alone calls the book; one goroutine reads the socket and one writes it. It must never judge what a peer says,
// and takes datagrams from the addresses of peers alone.

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"eiderway/lore"
	"eiderway/splitter"
)

const (
	longestWord = 512 // bytes of a datagram that are read: longer ones are none of ours
	mostWords   = 512 // datagrams that wait for the core, or to be sent: beyond it they are dropped, as the network would
)

type talk struct {
	core    *core
	book    *lore.Book
	conn    *net.UDPConn
	peers   []netip.AddrPort
	byAddr  map[netip.AddrPort]int
	all     netip.AddrPort
	sends   chan lore.Send
	pending atomic.Int64 // datagrams in the core's mailbox
	dropped atomic.Int64
	armed   float64 // the time of the timer that is set
	mu      sync.Mutex
	shown   lore.Counts
}

// newTalk begins the talk where the deployment has it: peers in the configuration, settings that allow it, and reads
// with a bound. nil: it has not.
func newTalk(c *core, cfg *Config) (*talk, error) {
	bound := math.Inf(1)
	for _, t := range cfg.terms.Splitter.Types {
		if t.Need == splitter.NeedBounded && t.Bound > 0 {
			bound = min(bound, t.Bound)
		}
	}
	s := cfg.terms.Splitter
	silent := cfg.Own != nil && cfg.Own.Knowing != nil && !cfg.Own.Knowing.Tell
	if cfg.PeerListen == "" || len(cfg.Peers) < 2 || !cfg.terms.Peers || !s.ProbeRoles || math.IsInf(bound, 1) || silent {
		return nil, nil
	}
	t := &talk{core: c, byAddr: map[netip.AddrPort]int{}, sends: make(chan lore.Send, mostWords), armed: math.Inf(1)}
	for i, text := range cfg.Peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		t.peers = append(t.peers, addr)
		t.byAddr[addr] = i
	}
	if s.Me < 0 || s.Me >= len(t.peers) {
		return nil, fmt.Errorf("peers: there is no number %d among %d", s.Me, len(t.peers))
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
	if t.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen)); err != nil {
		return nil, err
	}
	t.book = lore.New(lore.Terms{Me: s.Me, Routers: len(t.peers), Seed: int64(cfg.seed), Bound: bound})
	return t, nil
}

// run reads and writes the socket until life ends.
func (t *talk) run(life context.Context, g *errgroup.Group) {
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
			datagram := append([]byte(nil), buf[:n]...)
			t.pending.Add(1)
			t.core.tell(func() {
				t.pending.Add(-1)
				t.book.Take(peer, datagram, t.core.now)
				t.act()
			})
		}
	})
	g.Go(func() error {
		for {
			select {
			case <-life.Done():
				return nil
			case s := <-t.sends:
				t.write(s)
			}
		}
	})
}

func (t *talk) write(s lore.Send) {
	switch {
	case s.To != lore.All:
		t.conn.WriteToUDPAddrPort(s.Bytes, t.peers[s.To])
	case t.all.IsValid():
		t.conn.WriteToUDPAddrPort(s.Bytes, t.all)
	default:
		for i, peer := range t.peers {
			if i != t.core.terms.Splitter.Me {
				t.conn.WriteToUDPAddrPort(s.Bytes, peer)
			}
		}
	}
}

// act does what the book asks for, and sets its timer.
func (t *talk) act() {
	for {
		e := t.book.Effects()
		if len(e.Sends)+len(e.Looks)+len(e.Told) == 0 {
			break
		}
		for _, s := range e.Sends {
			select {
			case t.sends <- s:
			default:
				t.dropped.Add(1)
			}
		}
		for _, told := range e.Told {
			words := make([]splitter.Word, len(told.Words))
			for i, w := range told.Words {
				words[i] = splitter.Word(w)
			}
			t.core.router.Told(told.Group, told.Until, told.Heard, words)
		}
		for _, node := range e.Looks {
			t.core.router.Look(node, splitter.ForAll)
		}
	}
	if next := t.book.Next(); next < t.armed {
		t.armed = next
		t.core.After(next, func() {
			t.armed = math.Inf(1)
			t.book.Step(t.core.now)
			t.act()
		})
	}
	t.mu.Lock()
	t.shown = t.book.Counted()
	t.mu.Unlock()
}

// saw tells the book what a probe has shown of a node.
func (t *talk) saw(n *node, r splitter.Report) {
	if id, ok := t.core.byUID[n.uid]; ok && r.Pos > 0 {
		t.book.Saw(id, r.Pos, r.Role == splitter.RolePrimary, t.core.now)
		t.act()
	}
}

// landed tells the book that a submission has ended, with what the node told of itself.
func (t *talk) landed(n *node, r splitter.Report) {
	if id, ok := t.core.byUID[n.uid]; ok {
		t.book.Back(id, r.Pos, r.Role == splitter.RolePrimary, t.core.now)
		t.act()
	}
}

func (t *talk) counted() lore.Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shown
}
