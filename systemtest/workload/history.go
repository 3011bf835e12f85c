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
	// NoEffect: an answer that promises that nothing of the try is kept.
	NoEffect
)

// Statement is a read, a write or a commit that a client sent.
type Statement struct {
	Client   int
	Key      string // with which the client connected
	Gateway  string // front address
	Try      string // of the operation: names all statements of a transaction, and a single one alike
	ID       string
	Text     string
	Began    time.Time // before the first byte of the statement, or of its transaction
	Sent     time.Time // before the first byte of the statement
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
	through    map[string]string // front addresses, by statement
	refused    map[string]int    // sessions that were refused with AUTHFAIL, by key
	sessions   int               // that tests have driven
}

// nextSession numbers the sessions that tests drive.
func (h *History) nextSession() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.sessions++
	return h.sessions
}

// sends notes which gateway a statement is sent through.
func (h *History) sends(id, gateway string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.through == nil {
		h.through = map[string]string{}
	}
	h.through[id] = gateway
}

// GatewayOf is the front address of the gateway that a statement was sent through.
func (h *History) GatewayOf(id string) (address string, known bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	address, known = h.through[id]
	return address, known
}

func (h *History) addRefused(key string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.refused == nil {
		h.refused = map[string]int{}
	}
	h.refused[key]++
}

// AuthFailures is how many sessions with the key were refused with AUTHFAIL until now.
func (h *History) AuthFailures(key string) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.refused[key]
}

func (h *History) add(statement Statement) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.statements = append(h.statements, statement)
}

// last is the newest statement of a client.
func (h *History) last(client int) Statement {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, statement := range slices.Backward(h.statements) {
		if statement.Client == client {
			return statement
		}
	}
	return Statement{}
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
