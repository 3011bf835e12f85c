package host

import (
	"sync"
	"sync/atomic"

	"eiderway/control/controller"
)

// callIDs issues call IDs, in one sequence for calls of all kinds.
type callIDs struct{ last atomic.Uint64 }

func (c *callIDs) next() controller.CallID { return controller.CallID(c.last.Add(1)) }

// pending holds the unanswered calls of one kind. An answer without an open call is dropped.
type pending[Answer any] struct {
	mutex   sync.Mutex
	waiting map[controller.CallID]chan Answer
}

func newPending[Answer any]() *pending[Answer] {
	return &pending[Answer]{waiting: make(map[controller.CallID]chan Answer)}
}

// open registers a call. Its answer comes through the channel, which is buffered so that finish never blocks.
func (p *pending[Answer]) open(call controller.CallID) <-chan Answer {
	answers := make(chan Answer, 1)
	p.mutex.Lock()
	p.waiting[call] = answers
	p.mutex.Unlock()
	return answers
}

// finish delivers the answer, and reports whether the call was still open.
func (p *pending[Answer]) finish(call controller.CallID, answer Answer) bool {
	p.mutex.Lock()
	answers, found := p.waiting[call]
	delete(p.waiting, call)
	p.mutex.Unlock()
	if found {
		answers <- answer
	}
	return found
}

// drop ends a call without an answer, and reports whether it was still open. If not, its answer is in the channel or about to be.
func (p *pending[Answer]) drop(call controller.CallID) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, found := p.waiting[call]
	delete(p.waiting, call)
	return found
}

func (p *pending[Answer]) empty() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.waiting) == 0
}
