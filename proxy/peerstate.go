package proxy

// This file owns the core's side of package peerstate. The core's goroutine alone calls the book. It must never judge what a
// peer says.

import (
	"math"
	"sync"

	"eiderway/peerstate"
	"eiderway/splitter"
)

type talk struct {
	core  *core
	book  *peerstate.Book
	next  nextStep
	mu    sync.Mutex
	shown peerstate.Counts
}

// newTalk begins the talk where the deployment has it: peers, and reads with a bound. nil: it has not.
func newTalk(c *core, cfg *Config) *talk {
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
	return &talk{core: c, next: newNextStep(),
		book: peerstate.New(peerstate.Terms{Me: s.Me, Routers: len(c.tier.peers), Seed: int64(cfg.seed), Bound: bound})}
}

// act does what the book asks for, and sets its timer.
func (t *talk) act() {
	for {
		e := t.book.Effects()
		if len(e.Sends)+len(e.Looks)+len(e.Told) == 0 {
			break
		}
		for _, s := range e.Sends {
			t.core.tier.send(s.To, s.Bytes)
		}
		for _, told := range e.Told {
			words := make([]splitter.Word, len(told.Words))
			for i, w := range told.Words {
				words[i] = splitter.Word(w)
			}
			t.core.router.Told(told.Group, told.Until, told.Heard, words)
		}
		for _, node := range e.Looks {
			t.core.router.Look(node, splitter.ForAll)
		}
	}
	t.next.arm(t.core, t.book.Next(), t)
	t.mu.Lock()
	t.shown = t.book.Counted()
	t.mu.Unlock()
}

// step has the book do what is due.
func (t *talk) step() {
	t.book.Step(t.core.now)
	t.act()
}

// saw tells the book what a probe has shown of a node.
func (t *talk) saw(n *node, r splitter.Report) {
	if id, ok := t.core.byUID[n.uid]; ok && r.Pos > 0 {
		t.book.Saw(id, r.Pos, r.Role == splitter.RolePrimary, t.core.now)
		t.act()
	}
}

// landed tells the book that a submission has ended, with what the node told of itself.
func (t *talk) landed(n *node, r splitter.Report) {
	if id, ok := t.core.byUID[n.uid]; ok {
		t.book.Back(id, r.Pos, r.Role == splitter.RolePrimary, t.core.now)
		t.act()
	}
}

func (t *talk) counted() peerstate.Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shown
}
