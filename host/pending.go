package host

import (
	"sync"
	"sync/atomic"

	"eiderway/control/controller"
)

// callNumbers hands out the numbers of questions, of all kinds in one row.
type callNumbers struct{ last atomic.Uint64 }

func (n *callNumbers) next() controller.CallID { return controller.CallID(n.last.Add(1)) }

// pending holds the questions of one kind that are not answered yet. An answer without an open question is dropped.
type pending[Answer any] struct {
	mutex   sync.Mutex
	waiting map[controller.CallID]chan Answer
}

func newPending[Answer any]() *pending[Answer] {
	return &pending[Answer]{waiting: make(map[controller.CallID]chan Answer)}
}

// open starts a question. Its answer comes through the channel, which never holds the sender up.
func (p *pending[Answer]) open(call controller.CallID) <-chan Answer {
	answers := make(chan Answer, 1)
	p.mutex.Lock()
	p.waiting[call] = answers
	p.mutex.Unlock()
	return answers
}

// finish hands the answer over, and tells whether somebody waited for it.
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

// drop ends a question without an answer, and tells whether it was still open. If not, its answer is in the channel or
// about to be.
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
