package host

import (
	"sync"

	"eiderway/control/controller"
)

// mailboxLimit is how many inputs may wait for the controller before new questions from outside are turned away. At
// some 20 microseconds a step this is about 20 ms of work on a whole core, and 100 ms on a fifth of one.
const mailboxLimit = 1024

// mailbox is the only way to the controller. It never makes a sender wait.
type mailbox struct {
	limit int
	ready chan struct{} // holds one token while inputs wait
	ended chan struct{} // closed when nobody will take inputs any more

	mutex  sync.Mutex
	inputs []controller.Input
	closed bool
}

func newMailbox(limit int) *mailbox {
	return &mailbox{limit: limit, ready: make(chan struct{}, 1), ended: make(chan struct{})}
}

// close turns away all that comes from now on, and tells those who wait for an answer.
func (m *mailbox) close() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.closed = true
	close(m.ended)
}

// offer hands an input in that may be turned away: questions and messages from outside.
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

// post hands an input in that must not be lost. The number of such inputs is bounded by the work that causes them: a
// disk write, a probe, a call to the platform or an accepted question each ends once.
func (m *mailbox) post(input controller.Input) {
	m.mutex.Lock()
	m.inputs = append(m.inputs, input)
	m.mutex.Unlock()
	m.signal()
}

// take returns all that waits, in order of arrival, and keeps the spare slice for what comes next.
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
