package proxy

// This file owns the core's side of package zone: the core's goroutine alone calls the book. It tells how submissions ended,
// and hands the module the doubts that come of it. It must never judge a node or a zone.

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"eiderway/lease"
	"eiderway/splitter"
	"eiderway/zone"
)

type zones struct {
	core  *core
	book  *zone.Monitor
	next  nextStep
	mu    sync.Mutex
	shown zone.Counts
}

// newZones begins where our settings have the section. nil: they have not.
func newZones(c *core, cfg *Config) (*zones, error) {
	if cfg.Own == nil || cfg.Own.Zones == nil {
		return nil, nil
	}
	var life [4]byte
	if _, err := rand.Read(life[:]); err != nil {
		return nil, err
	}
	t := zone.Config{Routers: 1, Zone: cfg.zone(), Life: binary.BigEndian.Uint32(life[:]), Every: cfg.Own.Zones.Every, Regions: cfg.Own.Zones.Regions}
	if c.tier != nil {
		t.Me, t.Routers = c.tier.me, len(c.tier.peers)
	}
	return &zones{core: c, book: zone.New(t), next: newNextStep()}, nil
}

// landed tells what a submission showed of a node's zone. Refusals, misses and what was never sent show nothing.
func (z *zones) landed(n *node, typ int, res splitter.Result) {
	o := res.Outcome
	ok := o == splitter.Committed || o == splitter.Answered
	if id, there := z.core.byUID[n.uid]; there && (ok || slices.Contains([]splitter.Outcome{splitter.Failed, splitter.TimedOut, splitter.Broken,
		splitter.NoConn}, o)) {
		z.book.RecordOutcome(id, typ, ok, res.Latency, z.core.now)
		z.act()
	}
}

// act does what the book asks for, and sets its timer.
func (z *zones) act() {
	e := z.book.Effects()
	for _, s := range e.Sends {
		if z.core.tier != nil {
			z.core.tier.send(s.To, s.Bytes)
		}
	}
	for _, x := range e.Events {
		z.core.log.WithFields(logrus.Fields{"zone": x.Zone, "step": x.Kind.String(), "share": fmt.Sprintf("%.3f", x.Share),
			"told": x.Told, "hand": x.Hand.String(), "bad": x.Bad, "late": x.Late, "good": x.Good, "voices": x.Voices, "bad_elsewhere": fmt.Sprintf("%.2f", x.Else)}).Warn("zone")
	}
	for _, d := range e.Doubts {
		if d.Node < len(z.core.nodes) && z.core.nodes[d.Node] != nil {
			z.core.router.Doubt(d.Node, d.Until)
		}
	}
	for _, n := range e.Looks {
		if n < len(z.core.nodes) && z.core.nodes[n] != nil {
			z.core.router.ProbeMember(n, splitter.ForAll)
		}
	}
	if l := z.core.leases; e.Word != "" && l != nil {
		l.book.Tell(zonesTask, e.Word, l.now())
		z.core.tell(l.act)
	}
	z.next.arm(z.core, z.book.Next(), z)
	z.mu.Lock()
	z.shown = z.book.Counts()
	z.mu.Unlock()
}

// step has the book do what is due.
func (z *zones) step() {
	z.book.Step(z.core.now)
	z.act()
}

func (z *zones) counted() zone.Counts {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.shown
}

// numbered takes what the lease on the steps says: whether this router numbers them, or which are to be obeyed.
func (z *zones) numbered(x lease.Event) {
	switch x.Kind {
	case lease.Took, lease.Lost:
		z.book.SetHolder(x.Kind == lease.Took, x.Token, z.core.now)
	case lease.Obeyed:
		if err := z.book.Obey(x.Holder, x.Text, z.core.now); err != nil {
			z.core.log.WithError(err).WithField("holder", x.Holder).Warn("zone: a word that can't be read")
		}
	}
	z.act()
}

// asks runs in the core's goroutine and waits for it. ok: the core is still there.
func (z *zones) asks(f func()) (ok bool) {
	return z.core.asks(func() {
		f()
		z.act()
	})
}

// states asks for the zones; ok: the core is still there.
func (z *zones) states() (out []zone.State, ok bool) {
	ok = z.asks(func() { out = z.book.States(z.core.now) })
	return out, ok
}
