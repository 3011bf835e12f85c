package host

import (
	"sync"

	"eiderway/control/controller"
)

// mailboxLimit is how many inputs may wait for the controller before new requests from outside are rejected. At some 20 microseconds a step
// this is about 20 ms of work on a whole core, and 100 ms on a fifth of one.
const mailboxLimit = 1024

// mailbox queues the inputs of the controller, which takes inputs from nowhere else. It never blocks a sender.
type mailbox struct {
	limit int
	ready chan struct{} // holds one token while inputs wait
	ended chan struct{} // closed when no more inputs will be taken

	mutex  sync.Mutex
	inputs []controller.Input
	closed bool
}

func newMailbox(limit int) *mailbox {
	return &mailbox{limit: limit, ready: make(chan struct{}, 1), ended: make(chan struct{})}
}

// close makes offer reject all further inputs, and notifies callers that wait for a reply.
func (m *mailbox) close() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.closed = true
	close(m.ended)
}

// offer adds an input that may be rejected (a request or message from outside), and reports whether it was accepted.
func (m *mailbox) offer(input controller.Input) bool {
	m.mutex.Lock()
	if m.closed || len(m.inputs) >= m.limit {
		m.mutex.Unlock()
		return false
	}
	m.inputs = append(m.inputs, input)
	m.mutex.Unlock()
	m.signal()
	return true
}

// post adds an input that must not be lost, whatever the limit. The number of such inputs is bounded by the work that causes them: a disk
// write, a probe, a call to the platform or an accepted request each ends once.
func (m *mailbox) post(input controller.Input) {
	m.mutex.Lock()
	m.inputs = append(m.inputs, input)
	m.mutex.Unlock()
	m.signal()
}

// take returns all queued inputs in order of arrival, and keeps the spare slice for the next ones.
func (m *mailbox) take(spare []controller.Input) []controller.Input {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	inputs := m.inputs
	m.inputs = spare[:0]
	return inputs
}

func (m *mailbox) signal() {
	select {
	case m.ready <- struct{}{}:
	default:
	}
}
