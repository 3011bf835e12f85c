package transport

// This file owns the socket, the timers and the names: it is the actor that steps a gossip.Node, and maps the names of
// instances, zones and servers to small indices. It must never judge an accusation, and never sends but to instances that
// it trusts and to seeds.

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
