package transport

// This file receives datagrams, checks them against the trusted keys and networks, and passes their records to the Node. A record
// without the signature of a trusted instance never reaches it.

import (
	"context"
	"crypto/ed25519"
	"errors"
	"math"
	"net"
	"net/netip"

	"github.com/gaissmai/bart"

	"eiderway/gossip"
)

// trustSet holds the trusted keys, and the networks that datagrams are accepted from.
type trustSet struct {
	names    map[keyID]string
	keys     map[keyID]ed25519.PublicKey
	networks *bart.Lite // nil: any
}

// sender holds the newest incarnation and counter of the datagrams signed with a key.
type sender struct {
	incarnation, counter int64
}

// Trust replaces the trusted keys, by instance name, and the networks that datagrams are accepted from.
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

// read receives datagrams until the socket is closed.
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

// receiveDatagram checks a datagram, then passes it to the event loop.
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
		t.offer(func() {
			t.logOnce("version", "ignoring datagrams of an unsupported protocol version from "+from.String())
		})
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

// receive passes the records of a datagram to the Node, unless the datagram is a replay or of an earlier incarnation.
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

// reportDuplicate tells two processes of one name about each other, at a limited rate: it sends each the newest heartbeat of the
// other.
func (t *Transport) reportDuplicate(e envelope, records []wireRecord, from netip.AddrPort) {
	name := t.trust.Load().names[e.key]
	id, ok := t.instanceIDs[name]
	if !ok || len(t.lastAlive[id].Encoded) == 0 || !t.node.AllowDuplicateReport(id, t.now()) {
		return
	}
	t.logOnce("duplicate "+name, "two processes have the name "+name)
	t.sendDatagram(from, []gossip.Record{t.lastAlive[id]})
	for _, w := range records {
		if w.key == e.key && w.record.Kind == gossip.Alive {
			t.sendDatagram(t.addrs[id], []gossip.Record{w.record})
		}
	}
}

// checkOwnName logs that another process has the name of this instance. Both processes do so; peers believe the one started later.
func (t *Transport) checkOwnName(w wireRecord) {
	if w.record.Incarnation != t.config.Incarnation {
		t.counts.Duplicates.Add(1)
		text := "an earlier process had this instance's name, or still has it"
		if w.record.Incarnation > t.config.Incarnation {
			text = "a later process has this instance's name; peers believe that one"
		}
		t.logOnce("own name", text)
	}
}

// logOnce logs a text, but only once for each key.
func (t *Transport) logOnce(key, text string) {
	if !t.logged[key] {
		t.logged[key] = true
		t.owner.Log(text)
	}
}
