package transport

// This file owns the socket, the timers and the names: it is the actor that steps a gossip.Node, and maps the names of
// instances, zones and servers to small indices. It must never judge an accusation, and never sends but to instances that
// it trusts and to seeds.

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

// Config is what a Transport is given at start. Trust and Networks may be replaced while it runs.
type Config struct {
	Name           string
	Zone           string
	Listen         netip.AddrPort
	Seeds          []netip.AddrPort
	Key            ed25519.PrivateKey
	Trust          map[string][]ed25519.PublicKey // by name; several while keys are changed
	Networks       []netip.Prefix                 // empty: any
	BytesPerSecond float64                        // out, and the same in for each peer that is trusted
	Accuse         bool
	Seed           int64
	Incarnation    int64 // 0: by the clock
}

// Owner is asked to suspect a server until a time (Unix, s), and to probe it now.
type Owner interface {
	Suspect(server string, until float64, probeNow bool)
	ListOutdated() // a peer has a newer member list
	Log(text string)
}

// Counts of what came and went.
type Counts struct {
	In, Out, BytesIn, BytesOut                                                   atomic.Int64
	Malformed, Versions, Untrusted, Forged, Replayed, Network, Flood, Duplicates atomic.Int64
}

const (
	tickEvery = 100 * time.Millisecond
	maxMail   = 1024 // datagrams and calls that wait: beyond it they are dropped, as the network would
	maxZones  = 64   // zones that are told apart
)

// Transport is one instance's side.
type Transport struct {
	config        Config
	owner         Owner
	conn          *net.UDPConn
	mu            sync.Mutex
	mail          []func()
	wake          chan struct{}
	node          *gossip.Node
	start         time.Time
	startUnix     float64
	trust         atomic.Pointer[trustSet]
	instanceIDs   map[string]int // by name
	instanceNames []string       // by index
	addrs         []netip.AddrPort
	lastAlive     []gossip.Record // the newest sign of life of each
	zoneIDs       map[string]int
	serverIDs     map[string]int
	serverUIDs    []string
	freeServerIDs []int
	senders       map[keyID]*sender // emptied as keys are taken from the trusted
	counter       int64
	nextSeed      int
	key           ed25519.PrivateKey
	counts        Counts
	inbound       gossip.InboundLimit // the reader's alone
	logged        map[string]bool     // what was logged once; bounded by the names trusted
}

// trustSet is who may speak.
type trustSet struct {
	names    map[keyID]string
	keys     map[keyID]ed25519.PublicKey
	networks *bart.Lite
}

// sender is what is remembered of datagrams under a key.
type sender struct {
	incarnation, counter int64
}

// New binds the socket.
func New(config Config, owner Owner) (*Transport, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Listen))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if config.Incarnation == 0 {
		config.Incarnation = now.UnixMicro()
	}
	t := &Transport{config: config, owner: owner, conn: conn, wake: make(chan struct{}, 1), start: now, startUnix: float64(now.UnixMicro()) / 1e6,
		instanceIDs: map[string]int{}, zoneIDs: map[string]int{}, serverIDs: map[string]int{}, senders: map[keyID]*sender{}, key: config.Key,
		logged: map[string]bool{}, inbound: gossip.InboundLimit{BytesPerPeer: config.BytesPerSecond}}
	t.Trust(config.Trust, config.Networks)
	t.node = gossip.New(gossip.Config{Seed: config.Seed, Incarnation: config.Incarnation, Zone: t.zoneID(config.Zone), BytesPerSecond: config.BytesPerSecond,
		DatagramBytes: maxDatagramBytes - headBytes - ed25519.SignatureSize, Accuse: config.Accuse})
	return t, nil
}

// Addr tells where it listens.
func (t *Transport) Addr() netip.AddrPort { return t.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Counts tells what came and went.
func (t *Transport) Counts() *Counts { return &t.counts }

// Trust replaces who may speak, and from where.
func (t *Transport) Trust(names map[string][]ed25519.PublicKey, networks []netip.Prefix) {
	trusted := &trustSet{names: map[keyID]string{}, keys: map[keyID]ed25519.PublicKey{}}
	for name, keys := range names {
		for _, k := range keys {
			id := idOf(k)
			trusted.names[id], trusted.keys[id] = name, k
		}
	}
	if len(networks) > 0 {
		trusted.networks = &bart.Lite{}
		for _, n := range networks {
			trusted.networks.Insert(n)
		}
	}
	t.trust.Store(trusted)
}

// SetKey changes the key that this instance signs with.
func (t *Transport) SetKey(key ed25519.PrivateKey) { t.tell(func() { t.key = key }) }

func (t *Transport) now() float64 { return t.startUnix + time.Since(t.start).Seconds() }

// tell has the actor do something. It never blocks.
func (t *Transport) tell(f func()) { t.post(f, math.MaxInt) }

// offer does the same where there is room: what comes from outside is dropped beyond it, as the network would.
func (t *Transport) offer(f func()) { t.post(f, maxMail) }

func (t *Transport) post(f func(), most int) {
	t.mu.Lock()
	if len(t.mail) < most {
		t.mail = append(t.mail, f)
	}
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Transport) drainMail() {
	t.mu.Lock()
	all := t.mail
	t.mail = nil
	t.mu.Unlock()
	for _, f := range all {
		f()
	}
}

// AddServer tells of a member of the list, new or moved.
func (t *Transport) AddServer(uid string, group int) {
	t.tell(func() {
		id, ok := t.serverIDs[uid]
		if !ok {
			id = len(t.serverUIDs)
			if k := len(t.freeServerIDs); k > 0 {
				id, t.freeServerIDs = t.freeServerIDs[k-1], t.freeServerIDs[:k-1]
				t.serverUIDs[id] = uid
			} else {
				t.serverUIDs = append(t.serverUIDs, uid)
			}
			t.serverIDs[uid] = id
		}
		t.node.AddServer(id, group)
	})
}

// RemoveServer tells that a member of the list is gone for good.
func (t *Transport) RemoveServer(uid string) {
	t.tell(func() {
		if id, ok := t.serverIDs[uid]; ok {
			t.node.RemoveServer(id)
			delete(t.serverIDs, uid)
			t.serverUIDs[id] = ""
			t.freeServerIDs = append(t.freeServerIDs, id)
		}
	})
}

// SetListVersion tells the version of the member list.
func (t *Transport) SetListVersion(rev int64) { t.tell(func() { t.node.SetListVersion(rev) }) }

// Observe tells what a submission or probe showed of a server.
func (t *Transport) Observe(uid string, good, probe bool, sent float64) {
	t.withServer(uid, func(id int) { t.suspect(t.node.Observe(id, good, probe, sent, t.now())) })
}

// Started tells that a submission has left for a server.
func (t *Transport) Started(uid string, sent float64) {
	t.withServer(uid, func(id int) { t.node.Started(id, sent) })
}

// Finished tells that a submission came to an end that shows nothing.
func (t *Transport) Finished(uid string, sent float64) {
	t.withServer(uid, func(id int) { t.node.Finished(id, sent) })
}

func (t *Transport) withServer(uid string, f func(id int)) {
	t.offer(func() {
		if id, ok := t.serverIDs[uid]; ok {
			f(id)
		}
	})
}

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

// Run serves until ctx ends, then says that it leaves.
func (t *Transport) Run(ctx context.Context) error {
	g, life := errgroup.WithContext(ctx)
	g.Go(func() error { return t.read(life) })
	g.Go(func() error {
		tick := time.NewTicker(tickEvery)
		defer tick.Stop()
		for {
			select {
			case <-t.wake:
				t.drainMail()
			case <-tick.C:
				t.tick()
			case <-life.Done():
				t.sendLeave()
				return t.conn.Close()
			}
		}
	})
	return g.Wait()
}

func (t *Transport) read(ctx context.Context) error {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			continue
		}
		t.counts.In.Add(1)
		t.counts.BytesIn.Add(int64(n))
		t.receiveDatagram(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// receiveDatagram checks a datagram before the actor sees it.
func (t *Transport) receiveDatagram(b []byte, from netip.AddrPort) {
	trusted := t.trust.Load()
	if trusted.networks != nil && !trusted.networks.Contains(from.Addr()) {
		t.counts.Network.Add(1)
		return
	}
	if !t.inbound.Allow(len(b), len(trusted.names), t.now()) {
		t.counts.Flood.Add(1)
		return
	}
	e, records, err := decodeDatagram(b, func(id keyID) ed25519.PublicKey { return trusted.keys[id] })
	switch {
	case errors.Is(err, errVersion):
		t.counts.Versions.Add(1)
		t.offer(func() { t.logOnce("version", "a peer of another protocol version is left out: "+from.String()) })
	case errors.Is(err, errUntrusted):
		t.counts.Untrusted.Add(1)
	case errors.Is(err, errSignature):
		t.counts.Forged.Add(1)
	case err != nil:
		t.counts.Malformed.Add(1)
	}
	if err != nil && len(records) == 0 {
		return
	}
	t.offer(func() { t.receive(e, records, from) })
}

// receive hands the records of a datagram to the Node.
func (t *Transport) receive(e envelope, records []wireRecord, from netip.AddrPort) {
	s := t.senders[e.key]
	if s == nil {
		s = &sender{incarnation: math.MinInt64}
		t.senders[e.key] = s
	}
	if e.incarnation < s.incarnation {
		t.reportDuplicate(e, records, from)
	}
	if e.incarnation < s.incarnation || e.incarnation == s.incarnation && e.counter <= s.counter {
		t.counts.Replayed.Add(1)
		return
	}
	s.incarnation, s.counter = e.incarnation, e.counter
	trusted := t.trust.Load()
	now := t.now()
	for _, w := range records {
		name, ok := trusted.names[w.key]
		if !ok {
			continue
		}
		if name == t.config.Name {
			t.checkOwnName(w)
			continue
		}
		r := w.record
		r.Origin, r.Server = t.instanceID(name), -1
		if r.Kind == gossip.Alive {
			if addr, err := netip.ParseAddrPort(w.addr); err == nil {
				t.addrs[r.Origin] = addr
			}
			t.lastAlive[r.Origin] = r
			r.Zone = t.zoneID(w.zone)
		}
		if id, ok := t.serverIDs[w.server]; ok && w.server != "" {
			r.Server = id
		}
		effects := t.node.Receive(r, now)
		t.suspect(effects.Suspicions)
		if effects.ListOutdated {
			t.owner.ListOutdated()
		}
	}
}

// reportDuplicate tells two processes of one name about each other, now and then: the earlier one hears of the later, and the
// later of the earlier.
func (t *Transport) reportDuplicate(e envelope, records []wireRecord, from netip.AddrPort) {
	name := t.trust.Load().names[e.key]
	id, ok := t.instanceIDs[name]
	if !ok || len(t.lastAlive[id].Encoded) == 0 || !t.node.ReportDuplicate(id, t.now()) {
		return
	}
	t.logOnce("twins "+name, "two processes have the name "+name)
	t.sendDatagram(from, []gossip.Record{t.lastAlive[id]})
	for _, w := range records {
		if w.key == e.key && w.record.Kind == gossip.Alive {
			t.sendDatagram(t.addrs[id], []gossip.Record{w.record})
		}
	}
}

// checkOwnName notices another process under our name: the later start wins, both say so.
func (t *Transport) checkOwnName(w wireRecord) {
	if w.record.Incarnation != t.config.Incarnation {
		t.counts.Duplicates.Add(1)
		what := "an earlier process had this instance's name, or still has it"
		if w.record.Incarnation > t.config.Incarnation {
			what = "a later process has this instance's name; peers believe that one"
		}
		t.logOnce("twice", what)
	}
}

func (t *Transport) logOnce(key, text string) {
	if !t.logged[key] {
		t.logged[key] = true
		t.owner.Log(text)
	}
}

func (t *Transport) instanceID(name string) int {
	id, ok := t.instanceIDs[name]
	if !ok {
		id = len(t.instanceNames)
		t.instanceIDs[name] = id
		t.instanceNames = append(t.instanceNames, name)
		t.addrs = append(t.addrs, netip.AddrPort{})
		t.lastAlive = append(t.lastAlive, gossip.Record{})
	}
	return id
}

func (t *Transport) zoneID(name string) int {
	id, ok := t.zoneIDs[name]
	if !ok && len(t.zoneIDs) >= maxZones {
		return maxZones // all further ones are one
	}
	if !ok {
		id = len(t.zoneIDs)
		t.zoneIDs[name] = id
	}
	return id
}

func (t *Transport) suspect(all []gossip.Suspicion) {
	for _, d := range all {
		t.owner.Suspect(t.serverUIDs[d.Server], d.Until, d.ProbeNow)
	}
}

func (t *Transport) tick() {
	now := t.now()
	e := t.node.Tick(now)
	for _, r := range e.Own {
		t.node.Publish(t.sign(r))
	}
	t.suspect(e.Suspicions)
	for _, s := range t.node.Round(now) {
		t.send(s)
	}
	t.node.FreedIndices() // instances keep their index: there are as many as the settings name
}

func (t *Transport) sign(r gossip.Record) gossip.Record {
	w := wireRecord{record: r, zone: t.config.Zone, addr: t.Addr().String()}
	if r.Server >= 0 {
		w.server = t.serverUIDs[r.Server]
	}
	r.Encoded = encodeRecord(t.key, &w)
	r.Size = len(r.Encoded)
	return r
}

func (t *Transport) send(s gossip.Send) {
	var to netip.AddrPort
	if s.To == gossip.SeedPeer {
		if len(t.config.Seeds) == 0 {
			return
		}
		t.nextSeed++
		to = t.config.Seeds[t.nextSeed%len(t.config.Seeds)]
	} else {
		to = t.addrs[s.To]
	}
	t.sendDatagram(to, s.Records)
}

func (t *Transport) sendDatagram(to netip.AddrPort, records []gossip.Record) {
	if !to.IsValid() || to == t.Addr() {
		return
	}
	t.counter++
	b := encodeDatagram(t.key, envelope{incarnation: t.config.Incarnation, counter: t.counter, at: t.now()}, records)
	t.counts.Out.Add(1)
	t.counts.BytesOut.Add(int64(len(b)))
	t.conn.SetWriteDeadline(time.Now().Add(tickEvery))
	t.conn.WriteToUDPAddrPort(b, to)
}

// sendLeave tells some peers at once.
func (t *Transport) sendLeave() {
	now := t.now()
	t.node.Publish(t.sign(t.node.LeaveRecord(now)))
	for _, s := range t.node.Round(now + 1) {
		t.send(s)
	}
}
