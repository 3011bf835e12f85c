package gateway

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"eiderway/control/feed"
	"eiderway/session"
	"eiderway/wire"
)

// counters count what clients were told since the start.
type counters struct {
	completed  atomic.Uint64
	busy       atomic.Uint64
	rolledBack atomic.Uint64
	inDoubt    atomic.Uint64
	timedOut   atomic.Uint64
	malformed  atomic.Uint64
	noDatabase atomic.Uint64
	unknownKey atomic.Uint64
	overLimit  atomic.Uint64 // operations that their tenants' limits didn't allow

	operationQuestions atomic.Uint64 // for operations of tenants
	operationFailures  atomic.Uint64 // of those: not answered

	otherError atomic.Uint64
	ended      atomic.Uint64 // transactions that rested for too long

	replicaReads atomic.Uint64 // reads that replicas ran
	lagging      atomic.Uint64 // reads that a replica was too far behind for

	broken atomic.Uint64 // invariants

	leaseLost bool   // belongs to the gateway's lock: a line has been written
	printed   totals // belongs to the loop that prints
}

// totals is what is printed.
type totals struct {
	completed, busy, rolledBack, inDoubt, timedOut, malformed, noDatabase, unknownKey, overLimit, otherError, ended uint64
	replicaReads, lagging                                                                                           uint64
}

// answered counts an answer to a client.
func (c *counters) answered(answer wire.Answer) {
	switch answer.Code {
	case "":
		c.completed.Add(1)
	case wire.Busy:
		c.busy.Add(1)
	case wire.RolledBack:
		c.rolledBack.Add(1)
	case wire.InDoubt:
		c.inDoubt.Add(1)
	case wire.Timeout:
		c.timedOut.Add(1)
	case wire.Malformed:
		c.malformed.Add(1)
	case wire.NoDB:
		c.noDatabase.Add(1)
	case wire.AuthFail:
		c.unknownKey.Add(1)
	default:
		c.otherError.Add(1)
	}
}

func (c *counters) totals() totals {
	return totals{
		completed:  c.completed.Load(),
		busy:       c.busy.Load(),
		rolledBack: c.rolledBack.Load(),
		inDoubt:    c.inDoubt.Load(),
		timedOut:   c.timedOut.Load(),
		malformed:  c.malformed.Load(),
		noDatabase: c.noDatabase.Load(),
		unknownKey: c.unknownKey.Load(),
		overLimit:  c.overLimit.Load(),
		otherError: c.otherError.Load(),
		ended:      c.ended.Load(),

		replicaReads: c.replicaReads.Load(),
		lagging:      c.lagging.Load(),
	}
}

// printCounters writes one line if anything was counted since the last.
func (g *Gateway) printCounters() {
	now := g.counters.totals()
	if now == g.counters.printed {
		return
	}
	g.counters.printed = now
	g.log.WithFields(logrus.Fields{
		"completed": now.completed, "busy": now.busy, "rolledback": now.rolledBack, "indoubt": now.inDoubt,
		"timeout": now.timedOut, "malformed": now.malformed, "nodb": now.noDatabase, "authfail": now.unknownKey, "over_limit": now.overLimit, "other": now.otherError,
		"at_replicas": now.replicaReads, "lagging": now.lagging,
		"idle_ended": now.ended, "sessions": g.sessions(), "backends": g.backendsOpen(), "dials": g.backends.total(),
		"refused": g.backends.refused.Load() + g.backends.limited.Load(), "connlimit": g.backends.limited.Load(),
	}).Info("counters")
}

// reports gathers for the controller what was met at instances.
type reports struct {
	urgent chan struct{} // takes a word when a connection has broken or could not be made; holds one

	mutex      sync.Mutex
	byInstance map[string]*feed.InstanceReport
}

// entry is called with the lock held.
func (r *reports) entry(instanceID string) *feed.InstanceReport {
	if r.byInstance == nil {
		r.byInstance = map[string]*feed.InstanceReport{}
	}
	present := r.byInstance[instanceID]
	if present == nil {
		present = &feed.InstanceReport{InstanceID: instanceID}
		r.byInstance[instanceID] = present
	}
	return present
}

// failed counts a connection that could not be made or broke. The controller should hear of it at once: it may be the
// first sign that a leader is gone.
func (r *reports) failed(instanceID string) {
	r.mutex.Lock()
	r.entry(instanceID).Failures++
	r.mutex.Unlock()
	r.hurry()
}

func (r *reports) hurry() {
	select {
	case r.urgent <- struct{}{}:
	default:
	}
}

// answered counts what came of a statement.
func (r *reports) answered(instanceID string, outcome session.Outcome) {
	if outcome.Kind == session.Lost {
		r.failed(instanceID)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	met := r.entry(instanceID)
	switch {
	case outcome.Kind != session.Answered:
		met.Failures++
	case outcome.Answer.Code == wire.ReadOnly:
		met.ReadOnly++
	default:
		met.Answers++
	}
}

// take hands out what was gathered, and begins anew.
func (r *reports) take() []feed.InstanceReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	select {
	case <-r.urgent:
	default:
	}
	var taken []feed.InstanceReport
	for _, met := range r.byInstance {
		taken = append(taken, *met)
	}
	r.byInstance = nil
	slices.SortFunc(taken, func(a, b feed.InstanceReport) int { return strings.Compare(a.InstanceID, b.InstanceID) })
	return taken
}

// putBack adds what was handed out and didn't arrive.
func (r *reports) putBack(taken []feed.InstanceReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, met := range taken {
		present := r.entry(met.InstanceID)
		present.Answers += met.Answers
		present.Failures += met.Failures
		present.ReadOnly += met.ReadOnly
	}
}

// backendsOpen is how many connections to instances there are, with those that are being made.
func (g *Gateway) backendsOpen() int {
	open := 0
	for _, kept := range g.allPools() {
		open += kept.size()
	}
	return open
}
