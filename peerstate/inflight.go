package peerstate

// This file owns the counts of submissions in flight. A message that is lost, late or doubled must never leave a lasting mark
// on them.

import (
	"math"
)

// flightCount is what a peer has reported of its submissions to a node: how many have started and finished so far, each by its
// newest message, modulo 256. So a message that is overtaken, doubled or long on its way changes nothing, and one that is lost
// is made up for by the next.
type flightCount struct {
	started, finished byte
	updatedAt         float64 // of the newest message
}

// RecordStart says that a submission of this router leaves for a node. Only all routers together know how busy a node is where
// each has a txn there now and then; what their answers show of it is older than a queue lasts.
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

// RecordFinish says that a submission has ended, with the position that the node named then (0: none).
func (t *Table) RecordFinish(id int, pos float64, primary bool, now float64) {
	if id >= len(t.nodes) || t.nodes[id] == nil {
		return
	}
	n := t.nodes[id]
	n.finished = min(n.finished+1, n.started) // what left before the node was listed anew is not counted
	t.observe(id, pos, primary, now)
	if now >= n.group.coordinateUntil && t.reportsSubmissions(n.group, now) {
		t.counts.Reports++
		n.reportedAt = now
		t.send(n.group.coordinator, kindFinished, n.group, []*node{n}, now)
	}
}

// receiveCount takes a peer's message on how many of its submissions have started, or finished, so far.
func (n *node) receiveCount(k messageKind, router int, number byte, now float64) {
	t := n.inFlight[router]
	if t != nil && now-t.updatedAt <= inFlightTimeout {
		count := &t.started
		if k == kindFinished {
			count = &t.finished
		}
		if by := int8(number - *count); by > 0 && by <= counterWindow {
			*count, t.updatedAt = number, now
			return
		} else if by <= 0 && by >= -counterWindow {
			return
		}
	}
	// Nothing is known of what it had in flight before. A peer that has restarted is told from a message that was overtaken
	// by how far its numbers are.
	if t = (&flightCount{number, number, now}); k == kindStarted {
		t.finished--
	}
	if n.inFlight == nil {
		n.inFlight = map[int]*flightCount{}
	}
	n.inFlight[router] = t
}

// inFlight is how many are in flight. An end that comes before its start leaves none.
func (t *flightCount) inFlight() int {
	if out := t.started - t.finished; out <= math.MaxUint8-counterWindow {
		return int(out)
	}
	return 0
}

// load counts submissions in flight, without those of peers that have said nothing more: their ends must have been lost.
func (n *node) load(now float64) int {
	all := n.started - n.finished
	for router, t := range n.inFlight {
		if now-t.updatedAt > inFlightTimeout {
			delete(n.inFlight, router)
		} else {
			all += t.inFlight()
		}
	}
	return all
}
