package transport

// This file signs and sends. It sends only to trusted instances and to seeds.

import (
	"net/netip"
	"time"

	"eiderway/gossip"
)

// sign completes a record of our own with its encoding and signature.
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

// sendLeave announces to some peers at once that this instance leaves.
func (t *Transport) sendLeave() {
	now := t.now()
	t.node.Publish(t.sign(t.node.LeaveRecord(now)))
	for _, s := range t.node.Round(now + 1) {
		t.send(s)
	}
}
