// Package workload puts a running system under load and checks the results: clients that speak the line protocol and
// operators that send configurations record their histories, which are compared with what the instances did.
// It is for tests and demonstrations.
package workload

import (
	"slices"
	"sync"
	"time"

	"eiderway/testinstance"
	"eiderway/wire"
)

// Outcome is what a client knows of the effect of a statement.
type Outcome int

const (
	// Unknown: no answer, or one that promises nothing.
	Unknown Outcome = iota
	// Done: the statement succeeded.
	Done
	// NoEffect: the try certainly has no effect, as the answer promises or because the statement was not sent.
	NoEffect
)

// Statement is a read, a write or a commit that a client sent.
type Statement struct {
	Client   int
	Key      string // with which the client connected
	Gateway  string // front address
	Try      string // identifies one try of an operation; all statements of a transaction share it
	ID       string
	Text     string
	Began    time.Time // before the first byte of the statement, or of its transaction
	Sent     time.Time // before the first byte of the statement
	Answered time.Time
	Outcome  Outcome
	Code     wire.Code // of an ERROR; empty: none
	Stamp    string
	Rows     []string
	Writes   []testinstance.Write // that the statement commits
}

// History records what all clients sent and saw. It is safe for concurrent use.
type History struct {
	mutex      sync.Mutex
	statements []Statement
	waits      []time.Duration
	gateways   map[string]string // front addresses, by statement
	refused    map[string]int    // sessions that were refused with AUTHFAIL, by key
	sessions   int               // opened by tests so far
}

// nextSession returns the number of a new session that a test drives.
func (h *History) nextSession() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.sessions++
	return h.sessions
}

// recordGateway records which gateway a statement is sent through.
func (h *History) recordGateway(id, gateway string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.gateways == nil {
		h.gateways = map[string]string{}
	}
	h.gateways[id] = gateway
}

// GatewayOf returns the front address of the gateway that a statement was sent through.
func (h *History) GatewayOf(id string) (address string, known bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	address, known = h.gateways[id]
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

// AuthFailures returns how many sessions with the key have been refused with AUTHFAIL so far.
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

// lastOf returns the newest statement of a client.
func (h *History) lastOf(client int) Statement {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, statement := range slices.Backward(h.statements) {
		if statement.Client == client {
			return statement
		}
	}
	return Statement{}
}

// addWait records how long a client waited for a write from its first try to its acknowledgement.
func (h *History) addWait(wait time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.waits = append(h.waits, wait)
}

// Statements returns the statements recorded so far.
func (h *History) Statements() []Statement {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Clone(h.statements)
}

// Acknowledged returns how many operations with writes have been acknowledged so far.
func (h *History) Acknowledged() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.waits)
}

// Waits returns the waits for acknowledged writes, in the order of the acknowledgements.
func (h *History) Waits() []time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Clone(h.waits)
}
