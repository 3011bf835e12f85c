// Package virtualtime is what simulated worlds of tests share: an agenda of what happens when, and the links between
// machines that are cut.
package virtualtime

import (
	"container/heap"
	"time"
)

// Agenda holds what is to happen, the earliest first, and of one moment what was added first. So one seed gives one history.
// The zero value is empty.
type Agenda struct {
	events queue
	added  uint64
}

// Add has run called at a moment.
func (a *Agenda) Add(at time.Duration, run func()) {
	a.added++
	heap.Push(&a.events, event{at: at, order: a.added, run: run})
}

// Next takes out what happens next, if there is anything up to the end.
func (a *Agenda) Next(end time.Duration) (at time.Duration, run func(), found bool) {
	if len(a.events) == 0 || a.events[0].at > end {
		return 0, nil, false
	}
	next := heap.Pop(&a.events).(event)
	return next.at, next.run, true
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// queue is a heap of events.
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
