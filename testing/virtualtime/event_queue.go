// Package virtualtime holds what simulated deployments in tests share: a queue of events in virtual time, and the set of
// links between machines that are cut.
package virtualtime

import (
	"container/heap"
	"time"
)

// EventQueue orders events by their time, and events of the same time by the order in which they were added. So one seed
// always gives the same history. The zero value is an empty queue.
type EventQueue struct {
	events eventHeap
	added  uint64
}

// Add schedules a call of run.
func (q *EventQueue) Add(at time.Duration, run func()) {
	q.added++
	heap.Push(&q.events, event{at: at, order: q.added, run: run})
}

// Next removes and returns the earliest event, if it is due at end or before.
func (q *EventQueue) Next(end time.Duration) (at time.Duration, run func(), found bool) {
	if len(q.events) == 0 || q.events[0].at > end {
		return 0, nil, false
	}
	next := heap.Pop(&q.events).(event)
	return next.at, next.run, true
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
