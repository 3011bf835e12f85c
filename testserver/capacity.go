package testserver

// This file simulates the limited capacity of a node: statements queue and are served at a fixed rate, more slowly while
// the node is cold, and a node whose backlog grows too long crashes. Its counters show how the callers treated the node.

import (
	"sync"
	"time"
)

// Capacity is the load that a node can serve. The zero value sets no limit.
type Capacity struct {
	Rate       float64       // statements a second once the node is warm
	ColdShare  float64       // share of Rate right after a start
	WarmUp     time.Duration // time from a start until the full Rate is reached
	MaxBacklog time.Duration // a node with more queued work than this crashes; 0: it never does
	Downtime   time.Duration // time that a crashed node stays down before it starts cold
}

// load is the queue of a node, with its counters.
type load struct {
	mu        sync.Mutex
	capacity  Capacity
	startedAt time.Time
	downUntil time.Time
	idleAt    time.Time // when the backlog will have been served
	crashes   int
	executed  int64
}

// LimitCapacity limits what a node can serve from now on. The node counts as warm.
func (n *Node) LimitCapacity(c Capacity) {
	n.load.mu.Lock()
	defer n.load.mu.Unlock()
	n.load.capacity, n.load.startedAt = c, time.Now().Add(-c.WarmUp)
}

// Crashes returns how often the node has crashed because of its backlog.
func (n *Node) Crashes() int {
	n.load.mu.Lock()
	defer n.load.mu.Unlock()
	return n.load.crashes
}

// Restart takes the node down for a time, after which it starts cold.
func (n *Node) Restart(down time.Duration) {
	n.load.mu.Lock()
	n.load.goDown(time.Now(), down)
	n.load.mu.Unlock()
	n.closeConnections()
}

// goDown takes the node down for a time. The caller holds l.mu.
func (l *load) goDown(now time.Time, down time.Duration) {
	l.downUntil = now.Add(down)
	l.startedAt, l.idleAt = l.downUntil, l.downUntil
}

// isDown reports whether the node is down.
func (l *load) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.downUntil)
}

// waitForTurn queues a statement and waits until the node has served it. It returns false if the node is down, or crashes
// because the backlog is too long.
func (n *Node) waitForTurn() bool {
	l := &n.load
	l.mu.Lock()
	c, now := l.capacity, time.Now()
	if now.Before(l.downUntil) {
		l.mu.Unlock()
		return false
	}
	if c.Rate <= 0 {
		l.mu.Unlock()
		return true
	}
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	if c.MaxBacklog > 0 && l.idleAt.Sub(now) > c.MaxBacklog {
		l.crashes++
		l.goDown(now, c.Downtime)
		l.mu.Unlock()
		n.closeConnections()
		return false
	}
	share := 1.0
	if age := now.Sub(l.startedAt); age < c.WarmUp {
		share = c.ColdShare + (1-c.ColdShare)*age.Seconds()/c.WarmUp.Seconds()
	}
	l.idleAt = l.idleAt.Add(time.Duration(float64(time.Second) / (c.Rate * share)))
	l.executed++
	wait := l.idleAt.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
	return true
}

// closeConnections closes all client connections of the node.
func (n *Node) closeConnections() {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	for nc := range n.open {
		nc.Close()
	}
}
