package testserver

// This file owns what a node bears: a queue that is worked off at a rate, slower while the node is cold, and a fall when it is
// pushed too far. It is what a node's own books say of how it was treated.

import (
	"sync"
	"time"
)

// Capacity is what a node bears. The zero value bears all.
type Capacity struct {
	Rate       float64       // statements a second, warm
	ColdShare  float64       // share of it right after a start
	WarmUp     time.Duration // after which it is whole
	MaxBacklog time.Duration // work that waits, by which it falls over
	Downtime   time.Duration // for so long, then it starts cold
}

// bears is a node's queue and books.
type bears struct {
	mu    sync.Mutex
	work  Capacity
	born  time.Time
	up    time.Time // it is down before
	free  time.Time // it has worked off what waits
	falls int
	ran   int64
}

// LimitCapacity has a node bear so much from now on. It is warm.
func (n *Node) LimitCapacity(w Capacity) {
	n.bears.mu.Lock()
	defer n.bears.mu.Unlock()
	n.bears.work, n.bears.born = w, time.Now().Add(-w.WarmUp)
}

// Crashes tells how often a node has fallen over since it bears only so much.
func (n *Node) Crashes() int {
	n.bears.mu.Lock()
	defer n.bears.mu.Unlock()
	return n.bears.falls
}

// Restart has a node be down for a time and start cold.
func (n *Node) Restart(down time.Duration) {
	n.bears.mu.Lock()
	n.bears.fall(time.Now(), down)
	n.bears.mu.Unlock()
	n.hangUp()
}

// fall has it be down. Its lock is held.
func (b *bears) fall(now time.Time, down time.Duration) {
	b.up = now.Add(down)
	b.born, b.free = b.up, b.up
}

// down tells whether the node is.
func (b *bears) down() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.up)
}

// turn waits for a statement's turn; false: the node is down, or falls by it.
func (n *Node) turn() bool {
	b := &n.bears
	b.mu.Lock()
	w, now := b.work, time.Now()
	if now.Before(b.up) {
		b.mu.Unlock()
		return false
	}
	if w.Rate <= 0 {
		b.mu.Unlock()
		return true
	}
	if b.free.Before(now) {
		b.free = now
	}
	if w.MaxBacklog > 0 && b.free.Sub(now) > w.MaxBacklog {
		b.falls++
		b.fall(now, w.Downtime)
		b.mu.Unlock()
		n.hangUp()
		return false
	}
	share := 1.0
	if age := now.Sub(b.born); age < w.WarmUp {
		share = w.ColdShare + (1-w.ColdShare)*age.Seconds()/w.WarmUp.Seconds()
	}
	b.free = b.free.Add(time.Duration(float64(time.Second) / (w.Rate * share)))
	b.ran++
	wait := b.free.Sub(now)
	b.mu.Unlock()
	time.Sleep(wait)
	return true
}

// hangUp closes all connections.
func (n *Node) hangUp() {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	for nc := range n.open {
		nc.Close()
	}
}
