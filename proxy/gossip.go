package proxy

// This file owns the talk between the core and the gossip (packages gossip and gossip/transport): it tells the one what
// submissions and probes showed, and the module what peers suspect. It must never judge a node or a peer.

import (
	"slices"
	"time"

	"eiderway/gossip/transport"
	"eiderway/splitter"
	"eiderway/terms"
)

type gossip struct {
	core      *core
	transport *transport.Transport
	err       error // why it could not begin
}

func newGossip(c *core, cfg *Config) *gossip {
	own := cfg.Own.Gossip
	g := &gossip{core: c}
	key, err := transport.ReadKey(own.Key)
	if err != nil {
		g.err = err
		return g
	}
	g.transport, g.err = transport.New(transport.Config{Name: own.Name, Zone: cfg.zone(), Listen: own.Listen, Seeds: own.Seeds, Key: key,
		Trust: own.Members, Networks: own.Networks, BytesPerSecond: float64(own.Bytes), Accuse: own.Tell, Seed: int64(cfg.seed)}, g)
	if g.err == nil {
		g.transport.SetListVersion(cfg.Known.Rev)
	}
	return g
}

// landed tells what a submission showed of a node. Refusals, misses and what was never sent show nothing.
func (g *gossip) landed(n *node, sent float64, o splitter.Outcome) {
	switch {
	case o == splitter.Committed || o == splitter.Answered:
		g.transport.Observe(n.uid, true, false, sent)
	case slices.Contains([]splitter.Outcome{splitter.Failed, splitter.TimedOut, splitter.Broken}, o):
		g.transport.Observe(n.uid, false, false, sent)
	case o == splitter.NoConn: // as a probe that is not answered: it is not there
		g.transport.Observe(n.uid, false, true, sent)
		g.transport.Finished(n.uid, sent)
	default:
		g.transport.Finished(n.uid, sent)
	}
}

// Suspect, ListOutdated and Log are what the gossip asks for.
func (g *gossip) Suspect(uid string, until float64, _ bool) {
	g.core.tell(func() {
		if id, ok := g.core.byUID[uid]; ok {
			g.core.counters.doubts.Add(1)
			g.core.router.Doubt(id, until)
		}
	})
}

// ListOutdated has the list looked at, for a peer has a newer version of it. Nodes are taken from discovery alone.
func (g *gossip) ListOutdated() {
	g.core.counters.behind.Add(1)
	g.core.list.look()
}

func (g *gossip) Log(text string) { g.core.log.Warn("gossip: " + text) }

// reread takes over who may speak, from where, and the key to sign with.
func (g *gossip) reread(path string, seed uint64) {
	own, err := terms.ReadOwn(path, seed)
	if err != nil || own.Gossip == nil {
		return // told by the section classing, or with the next start
	}
	key, err := transport.ReadKey(own.Gossip.Key)
	if err != nil {
		g.core.log.WithError(err).Warn("the new key is left aside")
		return
	}
	g.transport.Trust(own.Gossip.Members, own.Gossip.Networks)
	g.transport.SetKey(key)
	g.core.log.Info("members of the gossip read again")
}

const statusIn = time.Second // the gossip tells its state by then

// status asks the gossip for its state.
func (g *gossip) status() (transport.Status, bool) {
	got := make(chan transport.Status, 1)
	g.transport.AskStatus(func(s transport.Status) { got <- s })
	select {
	case s := <-got:
		return s, true
	case <-time.After(statusIn):
		return transport.Status{}, false
	}
}
