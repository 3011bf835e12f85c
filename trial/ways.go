package trial

// This file owns the ways: between two routers a UDP socket that each knows as the other's address, between a router and
// a node or discovery a TCP listener. It must never touch what a connection carries but by holding it up.

import (
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const keptFor = 3 * time.Second

// gate stands in front of a direction of a way.
type gate struct {
	mu   sync.Mutex
	shut int           // faults that have it shut
	open chan struct{} // closed while it is open
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if shut {
		if g.shut++; g.shut == 1 {
			g.open = make(chan struct{})
		}
	} else if g.shut--; g.shut == 0 {
		close(g.open)
	}
}

func (g *gate) closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut > 0
}

// pass waits until it is open. false: the way has ended.
func (g *gate) pass(ended <-chan struct{}) bool {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
		return true
	case <-ended:
		return false
	}
}

// pair is the way between two routers.
type pair struct {
	conn  *net.UDPConn
	ends  [2]netip.AddrPort
	gates [2]*gate // from the first to the second, and back
	ways  *Ways
	rng   *rand.Rand
	late  sync.WaitGroup
	ended chan struct{}
	flown atomic.Int64
}

func newPair(a, b netip.AddrPort, ways *Ways, seed int64) (*pair, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return nil, err
	}
	p := &pair{conn: conn, ends: [2]netip.AddrPort{a, b}, gates: [2]*gate{newGate(), newGate()}, ways: ways,
		rng: rand.New(rand.NewSource(seed)), ended: make(chan struct{})}
	p.late.Go(p.run)
	return p, nil
}

func (p *pair) addr() string { return p.conn.LocalAddr().String() }

func (p *pair) run() {
	buf := make([]byte, 2048)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			select {
			case <-p.ended:
				return
			default: // the other end is not there: its refusal comes back
				continue
			}
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		side := 0
		switch from {
		case p.ends[0]:
		case p.ends[1]:
			side = 1
		default:
			continue
		}
		w := p.ways
		if p.gates[side].closed() || p.rng.Float64() < w.Loss {
			continue
		}
		b := append([]byte(nil), buf[:n]...)
		if p.rng.Float64() < w.Spoilt {
			b[p.rng.Intn(n)] ^= byte(1 + p.rng.Intn(255))
		}
		after := time.Duration(p.rng.Float64() * float64(w.delay))
		if p.rng.Float64() < w.Kept {
			after = keptFor
		}
		p.send(b, 1-side, after)
		if p.rng.Float64() < w.Double {
			p.send(b, 1-side, after+time.Duration(p.rng.Float64()*float64(50*time.Millisecond)))
		}
	}
}

func (p *pair) send(b []byte, to int, after time.Duration) {
	p.flown.Add(1)
	if after <= 0 {
		p.conn.WriteToUDPAddrPort(b, p.ends[to])
		return
	}
	p.late.Add(1)
	time.AfterFunc(after, func() {
		defer p.late.Done()
		p.conn.WriteToUDPAddrPort(b, p.ends[to])
	})
}

func (p *pair) close() {
	close(p.ended)
	p.conn.Close()
	p.late.Wait()
}

// link is the way from a router to a server.
type link struct {
	ln    net.Listener
	to    string
	gates [2]*gate // there, and back
	ended chan struct{}
	all   sync.WaitGroup
	mu    sync.Mutex
	open  map[net.Conn]bool
}

func newLink(to string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, to: to, gates: [2]*gate{newGate(), newGate()}, ended: make(chan struct{}), open: map[net.Conn]bool{}}
	l.all.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			l.all.Go(func() { l.carry(nc) })
		}
	})
	return l, nil
}

func (l *link) addr() string { return l.ln.Addr().String() }

func (l *link) keep(nc net.Conn, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on {
		l.open[nc] = true
	} else {
		delete(l.open, nc)
		nc.Close()
	}
}

func (l *link) carry(nc net.Conn) {
	l.keep(nc, true)
	defer l.keep(nc, false)
	if !l.gates[0].pass(l.ended) { // a way that is cut says nothing
		return
	}
	out, err := net.Dial("tcp", l.to)
	if err != nil {
		if t, ok := nc.(*net.TCPConn); ok {
			t.SetLinger(0) // as refused as can be
		}
		return
	}
	l.keep(out, true)
	defer l.keep(out, false)
	var both sync.WaitGroup
	both.Go(func() { l.copy(out, nc, l.gates[0]) })
	both.Go(func() { l.copy(nc, out, l.gates[1]) })
	both.Wait()
}

// copy carries one direction, and its end.
func (l *link) copy(to, from net.Conn, g *gate) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if !g.pass(l.ended) {
			break
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	to.Close()
	from.Close()
}

func (l *link) close() {
	l.ln.Close()
	close(l.ended)
	l.mu.Lock()
	for nc := range l.open {
		nc.Close()
	}
	l.mu.Unlock()
	l.all.Wait()
}
