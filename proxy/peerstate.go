package proxy

// This file owns the core's side of package peerstate. The core's goroutine alone calls the table. It must never judge what a
// peer says.

import (
	"math"
	"sync"

	"eiderway/peerstate"
	"eiderway/splitter"
)

// peerState is this router's side of what the routers of its tier tell each other of nodes.
type peerState struct {
	core  *core
	table *peerstate.Table
	next  nextStep
	mu    sync.Mutex
	shown peerstate.Counts
}

// newPeerState begins the exchange where the deployment has it: peers, and reads with a bound. nil: it has not.
func newPeerState(c *core, cfg *Config) *peerState {
	bound := math.Inf(1)
	for _, t := range cfg.terms.Splitter.Types {
		if t.Need == splitter.NeedBounded && t.Bound > 0 {
			bound = min(bound, t.Bound)
		}
	}
	s := cfg.terms.Splitter
	silent := cfg.Own != nil && cfg.Own.Knowing != nil && !cfg.Own.Knowing.Tell
	if c.tier == nil || !s.ProbeRoles || math.IsInf(bound, 1) || silent {
		return nil
	}
	return &peerState{core: c, next: newNextStep(),
		table: peerstate.New(peerstate.Config{Self: s.Me, Routers: len(c.tier.peers), Seed: int64(cfg.seed), Bound: bound})}
}

// act does what the table asks for, and sets its timer.
func (t *peerState) act() {
	for {
		e := t.table.Effects()
		if len(e.Sends)+len(e.Probes)+len(e.Updates) == 0 {
			break
		}
		for _, s := range e.Sends {
			t.core.tier.send(s.To, s.Bytes)
		}
		for _, update := range e.Updates {
			states := make([]splitter.Word, len(update.Nodes))
			for i, w := range update.Nodes {
				states[i] = splitter.Word(w)
			}
			t.core.router.Told(update.Group, update.Until, update.Heard, states)
		}
		for _, node := range e.Probes {
			t.core.router.Look(node, splitter.ForAll)
		}
	}
	t.next.arm(t.core, t.table.Next(), t)
	t.mu.Lock()
	t.shown = t.table.Counts()
	t.mu.Unlock()
}

// step has the table do what is due.
func (t *peerState) step() {
	t.table.Step(t.core.now)
	t.act()
}

// saw tells the table what a probe has shown of a node.
func (t *peerState) saw(n *node, r splitter.Report) {
	if id, ok := t.core.byUID[n.uid]; ok && r.Pos > 0 {
		t.table.Observe(id, r.Pos, r.Role == splitter.RolePrimary, t.core.now)
		t.act()
	}
}

// landed tells the table that a submission has ended, with what the node named of itself.
func (t *peerState) landed(n *node, r splitter.Report) {
	if id, ok := t.core.byUID[n.uid]; ok {
		t.table.RecordFinish(id, r.Pos, r.Role == splitter.RolePrimary, t.core.now)
		t.act()
	}
}

func (t *peerState) counted() peerstate.Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shown
}
