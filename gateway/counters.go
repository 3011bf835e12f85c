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
	completed   atomic.Uint64
	busy        atomic.Uint64
	rolledBack  atomic.Uint64
	inDoubt     atomic.Uint64
	timedOut    atomic.Uint64
	malformed   atomic.Uint64
	noDatabase  atomic.Uint64
	keyRejected atomic.Uint64
	overLimit   atomic.Uint64 // operations that their tenants' limits didn't allow

	operationRequests       atomic.Uint64 // for operations of tenants
	failedOperationRequests atomic.Uint64 // of those: not answered

	otherError       atomic.Uint64
	idleTransactions atomic.Uint64 // transactions that rested for too long

	replicaReads atomic.Uint64 // reads that replicas ran
	lagging      atomic.Uint64 // reads that a replica was too far behind for

	brokenInvariants atomic.Uint64 // invariants

	isLeaseLossLogged bool   // belongs to the gateway's lock: a line has been written
	lastLogged        totals // belongs to the loop that prints
}

// totals is what is printed.
type totals struct {
	completed, busy, rolledBack, inDoubt, timedOut, malformed, noDatabase, keyRejected, overLimit, otherError, idleTransactions uint64
	replicaReads, lagging                                                                                                       uint64
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
		c.keyRejected.Add(1)
	default:
		c.otherError.Add(1)
	}
}

func (c *counters) totals() totals {
	return totals{
		completed:        c.completed.Load(),
		busy:             c.busy.Load(),
		rolledBack:       c.rolledBack.Load(),
		inDoubt:          c.inDoubt.Load(),
		timedOut:         c.timedOut.Load(),
		malformed:        c.malformed.Load(),
		noDatabase:       c.noDatabase.Load(),
		keyRejected:      c.keyRejected.Load(),
		overLimit:        c.overLimit.Load(),
		otherError:       c.otherError.Load(),
		idleTransactions: c.idleTransactions.Load(),

		replicaReads: c.replicaReads.Load(),
		lagging:      c.lagging.Load(),
	}
}

// printCounters writes one line if anything was counted since the last.
func (g *Gateway) logCounters() {
	totals := g.counters.totals()
	if totals == g.counters.lastLogged {
		return
	}
	g.counters.lastLogged = totals
	g.log.WithFields(logrus.Fields{
		"completed": totals.completed, "busy": totals.busy, "rolledback": totals.rolledBack, "indoubt": totals.inDoubt,
		"timeout": totals.timedOut, "malformed": totals.malformed, "nodb": totals.noDatabase, "authfail": totals.keyRejected, "over_limit": totals.overLimit, "other": totals.otherError,
		"at_replicas": totals.replicaReads, "lagging": totals.lagging,
		"idle_ended": totals.idleTransactions, "sessions": g.sessionCount(), "backends": g.openBackends(), "dials": g.backendCounts.total(),
		"refused": g.backendCounts.refused.Load() + g.backendCounts.limited.Load(), "connlimit": g.backendCounts.limited.Load(),
	}).Info("counters")
}

// reports gathers for the controller what was met at instances.
type instanceReports struct {
	urgent chan struct{} // takes a word when a connection has broken or could not be made; holds one

	mutex      sync.Mutex
	byInstance map[string]*feed.InstanceReport
}

// entry is called with the lock held.
func (r *instanceReports) entry(instanceID string) *feed.InstanceReport {
	if r.byInstance == nil {
		r.byInstance = map[string]*feed.InstanceReport{}
	}
	report := r.byInstance[instanceID]
	if report == nil {
		report = &feed.InstanceReport{InstanceID: instanceID}
		r.byInstance[instanceID] = report
	}
	return report
}

// failed counts a connection that could not be made or broke. The controller should hear of it at once: it may be the
// first sign that a leader is gone.
func (r *instanceReports) failed(instanceID string) {
	r.mutex.Lock()
	r.entry(instanceID).Failures++
	r.mutex.Unlock()
	r.signalUrgent()
}

func (r *instanceReports) signalUrgent() {
	select {
	case r.urgent <- struct{}{}:
	default:
	}
}

// answered counts what came of a statement.
func (r *instanceReports) answered(instanceID string, outcome session.Outcome) {
	if outcome.Kind == session.Lost {
		r.failed(instanceID)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	report := r.entry(instanceID)
	switch {
	case outcome.Kind != session.Answered:
		report.Failures++
	case outcome.Answer.Code == wire.ReadOnly:
		report.ReadOnly++
	default:
		report.Answers++
	}
}

// take hands out what was gathered, and begins anew.
func (r *instanceReports) take() []feed.InstanceReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	select {
	case <-r.urgent:
	default:
	}
	var taken []feed.InstanceReport
	for _, report := range r.byInstance {
		taken = append(taken, *report)
	}
	r.byInstance = nil
	slices.SortFunc(taken, func(a, b feed.InstanceReport) int { return strings.Compare(a.InstanceID, b.InstanceID) })
	return taken
}

// putBack adds what was handed out and didn't arrive.
func (r *instanceReports) putBack(taken []feed.InstanceReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, report := range taken {
		current := r.entry(report.InstanceID)
		current.Answers += report.Answers
		current.Failures += report.Failures
		current.ReadOnly += report.ReadOnly
	}
}

// backendsOpen is how many connections to instances there are, with those that are being made.
func (g *Gateway) openBackends() int {
	open := 0
	for _, pool := range g.allPools() {
		open += pool.size()
	}
	return open
}
