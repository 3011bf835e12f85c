package peerstate

// This file counts the submissions in flight. A message that is lost, late or duplicated must never falsify the counts for long.

import (
	"math"
)

// flightCount is what a peer has reported about its submissions to a node: how many have started and finished so far, each
// according to its newest message, modulo 256. So a message that is overtaken, duplicated or delayed changes nothing, and the
// next message makes up for a lost one.
type flightCount struct {
	started, finished byte
	updatedAt         float64 // when the newest message came
}

// RecordStart records that this router sends a submission to a node. If each router only has a txn there now and then, only all
// of them together know how busy the node is; what its answers show of that is older than a queue lasts.
func (t *Table) RecordStart(id int, now float64) {
	if id >= len(t.nodes) || t.nodes[id] == nil {
		return
	}
	n := t.nodes[id]
	if n.started++; now >= n.group.coordinateUntil && t.reportsSubmissions(n.group, now) {
		t.counts.Reports++
		t.send(n.group.coordinator, kindStarted, n.group, []*node{n}, now)
	}
}

// RecordFinish records that a submission has ended, with the position that the node named then (0: none).
func (t *Table) RecordFinish(id int, pos float64, primary bool, now float64) {
	if id >= len(t.nodes) || t.nodes[id] == nil {
		return
	}
	n := t.nodes[id]
	n.finished = min(n.finished+1, n.started) // a submission from before the node was added again is not counted
	t.observe(id, pos, primary, now)
	if now >= n.group.coordinateUntil && t.reportsSubmissions(n.group, now) {
		t.counts.Reports++
		n.reportedAt = now
		t.send(n.group.coordinator, kindFinished, n.group, []*node{n}, now)
	}
}

// receiveCount processes a peer's message about how many of its submissions have started, or finished, so far.
func (n *node) receiveCount(k messageKind, router int, number byte, now float64) {
	c := n.inFlight[router]
	if c != nil && now-c.updatedAt <= inFlightTimeout {
		count := &c.started
		if k == kindFinished {
			count = &c.finished
		}
		if ahead := int8(number - *count); ahead > 0 && ahead <= counterWindow {
			*count, c.updatedAt = number, now
			return
		} else if ahead <= 0 && ahead >= -counterWindow {
			return
		}
	}
	// Nothing is known of what the peer had in flight before: this is its first message for a while, or it has restarted. A
	// restart differs from an overtaken message in how far off the number is.
	if c = (&flightCount{number, number, now}); k == kindStarted {
		c.finished--
	}
	if n.inFlight == nil {
		n.inFlight = map[int]*flightCount{}
	}
	n.inFlight[router] = c
}

// inFlight returns the number of submissions in flight. A finish that is reported before its start counts as none in flight.
func (c *flightCount) inFlight() int {
	if count := c.started - c.finished; count <= math.MaxUint8-counterWindow {
		return int(count)
	}
	return 0
}

// load returns the number of submissions of all routers in flight. It drops those of peers that have sent nothing for
// inFlightTimeout: the messages about their ends must have been lost.
func (n *node) load(now float64) int {
	total := n.started - n.finished
	for router, c := range n.inFlight {
		if now-c.updatedAt > inFlightTimeout {
			delete(n.inFlight, router)
		} else {
			total += c.inFlight()
		}
	}
	return total
}
