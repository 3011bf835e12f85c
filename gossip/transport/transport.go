package transport

// This file holds the event loop that drives a gossip.Node, the socket and the timers, and maps the names of instances, zones and
// servers to small indices. It never weighs an accusation, and sends only to trusted instances and seeds.

import (
	"context"
	"crypto/ed25519"
	"math"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"eiderway/gossip"
)

// Config holds the settings of a Transport. Transport.Trust replaces Trust and Networks while it runs.
type Config struct {
	Name           string
	Zone           string
	Listen         netip.AddrPort
	Seeds          []netip.AddrPort
	Key            ed25519.PrivateKey
	Trust          map[string][]ed25519.PublicKey // by instance name; several keys during a key rotation
	Networks       []netip.Prefix                 // networks that datagrams are accepted from; empty: any
	BytesPerSecond float64                        // limit of outgoing bytes, and of incoming bytes for each trusted peer
	Accuse         bool                           // whether to accuse servers
	Seed           int64
	Incarnation    int64 // 0: the current time in µs
}

// Owner receives the results of the gossip. Suspect asks it to suspect a server until a time (Unix, s), and perhaps to probe it now.
type Owner interface {
	Suspect(server string, until float64, probeNow bool)
	ListOutdated() // a peer has a newer member list
	Log(text string)
}

// Counts counts datagrams and bytes in both directions, and what was rejected and why.
type Counts struct {
	In, Out, BytesIn, BytesOut                                                   atomic.Int64
	Malformed, Versions, Untrusted, Forged, Replayed, Network, Flood, Duplicates atomic.Int64
}

const (
	tickEvery  = 100 * time.Millisecond
	maxPending = 1024 // pending datagrams and calls; further ones are dropped, as a network may drop them
	maxZones   = 64   // zones with an index of their own; all further ones share one
)

// Transport connects the Node of this instance to the network. Run serves it; all its methods may be called from any goroutine.
type Transport struct {
	config        Config
	owner         Owner
	conn          *net.UDPConn
	mu            sync.Mutex
	pending       []func()
	wake          chan struct{}
	node          *gossip.Node
	start         time.Time
	startUnix     float64
	trust         atomic.Pointer[trustSet]
	instanceIDs   map[string]int // by name
	instanceNames []string       // by index
	addrs         []netip.AddrPort
	lastAlive     []gossip.Record // the newest heartbeat of each instance, by index
	zoneIDs       map[string]int
	serverIDs     map[string]int
	serverUIDs    []string
	freeServerIDs []int
	senders       map[keyID]*sender // by key; bounded by the keys that were ever trusted
	counter       int64
	nextSeed      int
	key           ed25519.PrivateKey
	counts        Counts
	inbound       gossip.InboundLimit // used only by the goroutine that reads the socket
	logged        map[string]bool     // messages of logOnce, by key; bounded by the trusted names
}

// New makes a Transport and binds its socket.
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
		DatagramBytes: maxDatagramBytes - headerBytes - ed25519.SignatureSize, Accuse: config.Accuse})
	return t, nil
}

// Addr returns the address that the socket is bound to.
func (t *Transport) Addr() netip.AddrPort { return t.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Counts returns the counters, which go on counting.
func (t *Transport) Counts() *Counts { return &t.counts }

// SetKey replaces the key that this instance signs with.
func (t *Transport) SetKey(key ed25519.PrivateKey) { t.enqueue(func() { t.key = key }) }

func (t *Transport) now() float64 { return t.startUnix + time.Since(t.start).Seconds() }

// enqueue has the event loop call f. It never blocks and never drops f.
func (t *Transport) enqueue(f func()) { t.post(f, math.MaxInt) }

// offer does the same, but drops f when maxPending calls wait: input from outside must not use up the memory.
func (t *Transport) offer(f func()) { t.post(f, maxPending) }

func (t *Transport) post(f func(), limit int) {
	t.mu.Lock()
	if len(t.pending) < limit {
		t.pending = append(t.pending, f)
	}
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// runPending calls all pending functions in order.
func (t *Transport) runPending() {
	t.mu.Lock()
	pending := t.pending
	t.pending = nil
	t.mu.Unlock()
	for _, f := range pending {
		f()
	}
}

// AddServer adds a server of the member list, or moves a known one to another group.
func (t *Transport) AddServer(uid string, group int) {
	t.enqueue(func() {
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

// RemoveServer forgets a server that is gone from the member list for good.
func (t *Transport) RemoveServer(uid string) {
	t.enqueue(func() {
		if id, ok := t.serverIDs[uid]; ok {
			t.node.RemoveServer(id)
			delete(t.serverIDs, uid)
			t.serverUIDs[id] = ""
			t.freeServerIDs = append(t.freeServerIDs, id)
		}
	})
}

// SetListVersion sets the version of our member list.
func (t *Transport) SetListVersion(version int64) {
	t.enqueue(func() { t.node.SetListVersion(version) })
}

// Observe records the result of a submission or probe to a server.
func (t *Transport) Observe(uid string, good, probe bool, sent float64) {
	t.withServer(uid, func(id int) { t.suspect(t.node.Observe(id, good, probe, sent, t.now())) })
}

// Started records that a submission was sent to a server.
func (t *Transport) Started(uid string, sent float64) {
	t.withServer(uid, func(id int) { t.node.Started(id, sent) })
}

// Finished records that a submission ended without showing anything about the server.
func (t *Transport) Finished(uid string, sent float64) {
	t.withServer(uid, func(id int) { t.node.Finished(id, sent) })
}

// withServer has the event loop call f with the index of a server, unless the server is unknown.
func (t *Transport) withServer(uid string, f func(id int)) {
	t.offer(func() {
		if id, ok := t.serverIDs[uid]; ok {
			f(id)
		}
	})
}

// Run serves until ctx ends, then sends the leave record and closes the socket.
func (t *Transport) Run(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.read(groupCtx) })
	group.Go(func() error {
		ticker := time.NewTicker(tickEvery)
		defer ticker.Stop()
		for {
			select {
			case <-t.wake:
				t.runPending()
			case <-ticker.C:
				t.tick()
			case <-groupCtx.Done():
				t.sendLeave()
				return t.conn.Close()
			}
		}
	})
	return group.Wait()
}

// instanceID returns the index of an instance, a new one for a new name.
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

// zoneID returns the index of a zone, a new one for a new name.
func (t *Transport) zoneID(name string) int {
	id, ok := t.zoneIDs[name]
	if !ok && len(t.zoneIDs) >= maxZones {
		return maxZones // shared by all further zones
	}
	if !ok {
		id = len(t.zoneIDs)
		t.zoneIDs[name] = id
	}
	return id
}

// suspect passes suspicions on to the owner.
func (t *Transport) suspect(suspicions []gossip.Suspicion) {
	for _, s := range suspicions {
		t.owner.Suspect(t.serverUIDs[s.Server], s.Until, s.ProbeNow)
	}
}

func (t *Transport) tick() {
	now := t.now()
	effects := t.node.Tick(now)
	for _, r := range effects.Own {
		t.node.Publish(t.sign(r))
	}
	t.suspect(effects.Suspicions)
	for _, s := range t.node.Round(now) {
		t.send(s)
	}
	t.node.FreedIndices() // not used: instances keep their index, and there are no more than the settings name
}
