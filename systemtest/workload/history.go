// Package workload puts a running system under load and judges what came of it: clients that speak the line protocol and
// operators that place configurations write their histories down, and a judge compares these with what the instances did.
// It is for tests and demonstrations.
package workload

import (
	"slices"
	"sync"
	"time"

	"eiderway/testinstance"
	"eiderway/wire"
)

// Outcome is what a client knows of a statement.
type Outcome int

const (
	// Unknown: no answer, or one that promises nothing.
	Unknown Outcome = iota
	// Done: the statement succeeded.
	Done
	// NotKept: an answer that promises that nothing of the try is kept.
	NotKept
)

// Statement is a read, a write or a commit that a client sent.
type Statement struct {
	Client   int
	ID       string
	Text     string
	Began    time.Time // before the first byte of the statement, or of its transaction
	Answered time.Time
	Outcome  Outcome
	Code     wire.Code // of an ERROR
	Stamp    string
	Rows     []string
	Writes   []testinstance.Write // that it commits
}

// History is what all clients saw. Any number of clients may add to it.
type History struct {
	mutex      sync.Mutex
	statements []Statement
	waits      []time.Duration
}

func (h *History) add(statement Statement) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.statements = append(h.statements, statement)
}

// addWait notes how long a client waited for a write from its first try to its acknowledgement.
func (h *History) addWait(wait time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.waits = append(h.waits, wait)
}

// Statements returns what was written down until now.
func (h *History) Statements() []Statement {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Clone(h.statements)
}

// Acknowledged is how many writes were acknowledged until now.
func (h *History) Acknowledged() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.waits)
}

// Waits are the waits for acknowledged writes, in the order of the acknowledgements.
func (h *History) Waits() []time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Clone(h.waits)
}
