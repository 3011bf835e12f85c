package transport

// This file owns the socket, the timers and the names: it is the actor that steps a Mill, and maps the names of
// instances, zones and nodes to small indices. It must never judge a voice, and never sends but to instances that it
// trusts and to seeds.

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gaissmai/bart"
	"golang.org/x/sync/errgroup"

	"eiderway/gossip"
)

// Terms are what a Mesh is told at start. Trust and Networks may be replaced while it runs.
type Terms struct {
	Name     string
	Zone     string
	Listen   netip.AddrPort
	Seeds    []netip.AddrPort
	Key      ed25519.PrivateKey
	Trust    map[string][]ed25519.PublicKey // by name; several while keys are changed
	Networks []netip.Prefix                 // empty: any
	Bytes    float64                        // a second, out, and the same in for each peer that is trusted
	Accuse   bool
	Seed     int64
	Epoch    int64 // 0: by the clock
}

// Node tells what is asked of the host's owner: to doubt a node until a time (Unix, s).
type Owner interface {
	Doubt(node string, until float64, now bool)
	Behind() // a peer has a newer member list
	Log(text string)
}

// Counts of what came and went.
type Counts struct {
	In, Out, BytesIn, BytesOut                                              atomic.Int64
	Malformed, Versions, Untrusted, Forged, Replayed, Network, Flood, Twice atomic.Int64
}

const (
	tickEvery = 100 * time.Millisecond
	mailMost  = 1024 // datagrams and words that wait: beyond it they are dropped, as the network would
	mostZones = 64   // zones that are told apart
)

// Mesh is one instance's side.
type Mesh struct {
	terms   Terms
	owner   Owner
	conn    *net.UDPConn
	mu      sync.Mutex
	mail    []func()
	wake    chan struct{}
	mill    *gossip.Mill
	start   time.Time
	zero    float64
	trust   atomic.Pointer[trust]
	names   map[string]int // instances
	named   []string       // by index; "" is free
	addrs   []netip.AddrPort
	alive   []gossip.Record // the newest sign of life of each
	zones   map[string]int
	nodes   map[string]int
	uids    []string
	spare   []int
	senders map[keyID]*sender // emptied as keys are taken from the trusted
	counter int64
	seed    int
	key     ed25519.PrivateKey
	counts  Counts
	inlet   gossip.Inlet    // the reader's alone
	warned  map[string]bool // what was logged once; bounded by the names trusted
}

// trust is who may speak.
type trust struct {
	names    map[keyID]string
	keys     map[keyID]ed25519.PublicKey
	networks *bart.Lite
}

// sender is what is remembered of datagrams under a key.
type sender struct {
	epoch, counter int64
}

// New binds the socket.
func New(t Terms, owner Owner) (*Mesh, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(t.Listen))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if t.Epoch == 0 {
		t.Epoch = now.UnixMicro()
	}
	m := &Mesh{terms: t, owner: owner, conn: conn, wake: make(chan struct{}, 1), start: now, zero: float64(now.UnixMicro()) / 1e6,
		names: map[string]int{}, zones: map[string]int{}, nodes: map[string]int{}, senders: map[keyID]*sender{}, key: t.Key,
		warned: map[string]bool{}, inlet: gossip.Inlet{Bytes: t.Bytes}}
	m.Trust(t.Trust, t.Networks)
	m.mill = gossip.New(gossip.Terms{Seed: t.Seed, Epoch: t.Epoch, Zone: m.zone(t.Zone), Bytes: t.Bytes,
		Datagram: mostPacket - headBytes - ed25519.SignatureSize, Accuse: t.Accuse})
	return m, nil
}

// Addr tells where it listens.
func (m *Mesh) Addr() netip.AddrPort { return m.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Counts tells what came and went.
func (m *Mesh) Counts() *Counts { return &m.counts }

// Trust replaces who may speak, and from where.
func (m *Mesh) Trust(names map[string][]ed25519.PublicKey, networks []netip.Prefix) {
	t := &trust{names: map[keyID]string{}, keys: map[keyID]ed25519.PublicKey{}}
	for name, keys := range names {
		for _, k := range keys {
			id := idOf(k)
			t.names[id], t.keys[id] = name, k
		}
	}
	if len(networks) > 0 {
		t.networks = &bart.Lite{}
		for _, n := range networks {
			t.networks.Insert(n)
		}
	}
	m.trust.Store(t)
}

// SetKey changes the key that this instance signs with.
func (m *Mesh) SetKey(key ed25519.PrivateKey) { m.tell(func() { m.key = key }) }

func (m *Mesh) now() float64 { return m.zero + time.Since(m.start).Seconds() }

// tell has the actor do something. It never blocks.
func (m *Mesh) tell(f func()) { m.post(f, math.MaxInt) }

// offer does the same where there is room: what comes from outside is dropped beyond it, as the network would.
func (m *Mesh) offer(f func()) { m.post(f, mailMost) }

func (m *Mesh) post(f func(), most int) {
	m.mu.Lock()
	if len(m.mail) < most {
		m.mail = append(m.mail, f)
	}
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Mesh) work() {
	m.mu.Lock()
	all := m.mail
	m.mail = nil
	m.mu.Unlock()
	for _, f := range all {
		f()
	}
}

// Node tells of a member of the list; Forget that it is gone for good; List of the list's version.
func (m *Mesh) Node(uid string, group int) {
	m.tell(func() {
		id, ok := m.nodes[uid]
		if !ok {
			id = len(m.uids)
			if k := len(m.spare); k > 0 {
				id, m.spare = m.spare[k-1], m.spare[:k-1]
				m.uids[id] = uid
			} else {
				m.uids = append(m.uids, uid)
			}
			m.nodes[uid] = id
		}
		m.mill.Node(id, group)
	})
}

func (m *Mesh) Forget(uid string) {
	m.tell(func() {
		if id, ok := m.nodes[uid]; ok {
			m.mill.Forget(id)
			delete(m.nodes, uid)
			m.uids[id] = ""
			m.spare = append(m.spare, id)
		}
	})
}

func (m *Mesh) List(rev int64) { m.tell(func() { m.mill.List(rev) }) }

// Saw tells what a submission or probe showed of a node.
func (m *Mesh) Saw(uid string, good, probe bool, sent float64) {
	m.of(uid, func(id int) { m.doubts(m.mill.Saw(id, good, probe, sent, m.now())) })
}

// Out tells that a submission has left for a node; Back that it came to an end that shows nothing.
func (m *Mesh) Out(uid string, sent float64) { m.of(uid, func(id int) { m.mill.Out(id, sent) }) }

func (m *Mesh) Back(uid string, sent float64) { m.of(uid, func(id int) { m.mill.Back(id, sent) }) }

func (m *Mesh) of(uid string, f func(id int)) {
	m.offer(func() {
		if id, ok := m.nodes[uid]; ok {
			f(id)
		}
	})
}

// Status is what `eiderway peers` shows.
type Status struct {
	Name   string           `json:"name"`
	Quorum float64          `json:"quorum"`
	Peers  []PeerStatus     `json:"peers"`
	Nodes  []NodeStatus     `json:"nodes"`
	Mill   gossip.Counts    `json:"counts"`
	Bytes  [2]int64         `json:"bytes_in_out"`
	Turned map[string]int64 `json:"turned_away"`
}

// PeerStatus is a peer with its name.
type PeerStatus struct {
	Name string   `json:"name"`
	Addr string   `json:"addr"`
	Keys []string `json:"keys"` // fingerprints that are trusted for it
	gossip.Peer
}

// NodeStatus is what is believed of a node.
type NodeStatus struct {
	Name   string   `json:"name"`
	Voices []string `json:"voices"`
	gossip.Believed
}

// Ask hands over the status.
func (m *Mesh) Ask(then func(Status)) {
	m.tell(func() {
		now := m.now()
		s := Status{Name: m.terms.Name, Quorum: m.mill.Quorum(), Mill: m.mill.Counted(), Bytes: [2]int64{m.counts.BytesIn.Load(), m.counts.BytesOut.Load()},
			Turned: map[string]int64{"malformed": m.counts.Malformed.Load(), "version": m.counts.Versions.Load(), "untrusted": m.counts.Untrusted.Load(),
				"forged": m.counts.Forged.Load(), "replayed": m.counts.Replayed.Load(), "network": m.counts.Network.Load(), "flood": m.counts.Flood.Load()}}
		t := m.trust.Load()
		for _, p := range m.mill.Peers(now) {
			x := PeerStatus{Name: m.named[p.Index], Addr: m.addrs[p.Index].String(), Peer: p}
			for id, name := range t.names {
				if name == x.Name {
					x.Keys = append(x.Keys, fmt.Sprintf("%x", id))
				}
			}
			slices.Sort(x.Keys)
			s.Peers = append(s.Peers, x)
		}
		for _, b := range m.mill.Beliefs(now) {
			x := NodeStatus{Name: m.uids[b.Node], Believed: b}
			for _, who := range b.Voices {
				x.Voices = append(x.Voices, m.named[who])
			}
			s.Nodes = append(s.Nodes, x)
		}
		then(s)
	})
}

// Run serves until ctx ends, then says that it leaves.
func (m *Mesh) Run(ctx context.Context) error {
	g, life := errgroup.WithContext(ctx)
	g.Go(func() error { return m.read(life) })
	g.Go(func() error {
		tick := time.NewTicker(tickEvery)
		defer tick.Stop()
		for {
			select {
			case <-m.wake:
				m.work()
			case <-tick.C:
				m.tick()
			case <-life.Done():
				m.leave()
				return m.conn.Close()
			}
		}
	})
	return g.Wait()
}

func (m *Mesh) read(ctx context.Context) error {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := m.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			continue
		}
		m.counts.In.Add(1)
		m.counts.BytesIn.Add(int64(n))
		m.arrived(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// arrived checks a datagram before the actor sees it.
func (m *Mesh) arrived(b []byte, from netip.AddrPort) {
	t := m.trust.Load()
	if t.networks != nil && !t.networks.Contains(from.Addr()) {
		m.counts.Network.Add(1)
		return
	}
	if !m.inlet.Allows(len(b), len(t.names), m.now()) {
		m.counts.Flood.Add(1)
		return
	}
	e, words, err := unpack(b, func(id keyID) ed25519.PublicKey { return t.keys[id] })
	switch {
	case errors.Is(err, errVersion):
		m.counts.Versions.Add(1)
		m.offer(func() { m.once("version", "a peer of another protocol version is left out: "+from.String()) })
	case errors.Is(err, errKey):
		m.counts.Untrusted.Add(1)
	case errors.Is(err, errSigned):
		m.counts.Forged.Add(1)
	case err != nil:
		m.counts.Malformed.Add(1)
	}
	if err != nil && len(words) == 0 {
		return
	}
	m.offer(func() { m.take(e, words, from) })
}

// take hands the records of a datagram to the Mill.
func (m *Mesh) take(e envelope, words []word, from netip.AddrPort) {
	s := m.senders[e.key]
	if s == nil {
		s = &sender{epoch: math.MinInt64}
		m.senders[e.key] = s
	}
	if e.epoch < s.epoch {
		m.twins(e, words, from)
	}
	if e.epoch < s.epoch || e.epoch == s.epoch && e.counter <= s.counter {
		m.counts.Replayed.Add(1)
		return
	}
	s.epoch, s.counter = e.epoch, e.counter
	t := m.trust.Load()
	now := m.now()
	for _, w := range words {
		name, ok := t.names[w.key]
		if !ok {
			continue
		}
		if name == m.terms.Name {
			m.echo(w)
			continue
		}
		r := w.record
		r.Origin, r.Node = m.instance(name), -1
		if r.Kind == gossip.Alive {
			if addr, err := netip.ParseAddrPort(w.addr); err == nil {
				m.addrs[r.Origin] = addr
			}
			m.alive[r.Origin] = r
			r.Zone = m.zone(w.zone)
		}
		if id, ok := m.nodes[w.node]; ok && w.node != "" {
			r.Node = id
		}
		effects := m.mill.Take(r, now)
		m.doubts(effects.Doubts)
		if effects.Behind {
			m.owner.Behind()
		}
	}
}

// twins tells two processes of one name about each other, now and then: the earlier one hears of the later, and the
// later of the earlier.
func (m *Mesh) twins(e envelope, words []word, from netip.AddrPort) {
	name := m.trust.Load().names[e.key]
	id, ok := m.names[name]
	if !ok || len(m.alive[id].Sealed) == 0 || !m.mill.Twins(id, m.now()) {
		return
	}
	m.once("twins "+name, "two processes have the name "+name)
	m.datagram(from, []gossip.Record{m.alive[id]})
	for _, w := range words {
		if w.key == e.key && w.record.Kind == gossip.Alive {
			m.datagram(m.addrs[id], []gossip.Record{w.record})
		}
	}
}

// echo notices another process under our name: the later start wins, both say so.
func (m *Mesh) echo(w word) {
	if w.record.Epoch != m.terms.Epoch {
		m.counts.Twice.Add(1)
		what := "an earlier process had this instance's name, or still has it"
		if w.record.Epoch > m.terms.Epoch {
			what = "a later process has this instance's name; peers believe that one"
		}
		m.once("twice", what)
	}
}

func (m *Mesh) once(key, text string) {
	if !m.warned[key] {
		m.warned[key] = true
		m.owner.Log(text)
	}
}

func (m *Mesh) instance(name string) int {
	id, ok := m.names[name]
	if !ok {
		id = len(m.named)
		m.names[name] = id
		m.named = append(m.named, name)
		m.addrs = append(m.addrs, netip.AddrPort{})
		m.alive = append(m.alive, gossip.Record{})
	}
	return id
}

func (m *Mesh) zone(name string) int {
	id, ok := m.zones[name]
	if !ok && len(m.zones) >= mostZones {
		return mostZones // all further ones are one
	}
	if !ok {
		id = len(m.zones)
		m.zones[name] = id
	}
	return id
}

func (m *Mesh) doubts(all []gossip.Doubt) {
	for _, d := range all {
		m.owner.Doubt(m.uids[d.Node], d.Until, d.Now)
	}
}

func (m *Mesh) tick() {
	now := m.now()
	e := m.mill.Tick(now)
	for _, r := range e.Own {
		m.mill.Sealed(m.signed(r))
	}
	m.doubts(e.Doubts)
	for _, s := range m.mill.Round(now) {
		m.send(s)
	}
	m.mill.Forgotten() // instances keep their index: there are as many as the settings name
}

func (m *Mesh) signed(r gossip.Record) gossip.Record {
	w := word{record: r, zone: m.terms.Zone, addr: m.Addr().String()}
	if r.Node >= 0 {
		w.node = m.uids[r.Node]
	}
	r.Sealed = seal(m.key, &w)
	r.Size = len(r.Sealed)
	return r
}

func (m *Mesh) send(s gossip.Send) {
	var to netip.AddrPort
	if s.To == gossip.Seed {
		if len(m.terms.Seeds) == 0 {
			return
		}
		m.seed++
		to = m.terms.Seeds[m.seed%len(m.terms.Seeds)]
	} else {
		to = m.addrs[s.To]
	}
	m.datagram(to, s.Records)
}

func (m *Mesh) datagram(to netip.AddrPort, records []gossip.Record) {
	if !to.IsValid() || to == m.Addr() {
		return
	}
	m.counter++
	b := pack(m.key, envelope{epoch: m.terms.Epoch, counter: m.counter, at: m.now()}, records)
	m.counts.Out.Add(1)
	m.counts.BytesOut.Add(int64(len(b)))
	m.conn.SetWriteDeadline(time.Now().Add(tickEvery))
	m.conn.WriteToUDPAddrPort(b, to)
}

// leave tells some peers at once.
func (m *Mesh) leave() {
	now := m.now()
	m.mill.Sealed(m.signed(m.mill.Going(now)))
	for _, s := range m.mill.Round(now + 1) {
		m.send(s)
	}
}
