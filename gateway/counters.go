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

// counters counts the answers to clients and related events since the start.
type counters struct {
	completed   atomic.Uint64
	busy        atomic.Uint64
	rolledBack  atomic.Uint64
	inDoubt     atomic.Uint64
	timedOut    atomic.Uint64
	malformed   atomic.Uint64
	noDatabase  atomic.Uint64
	keyRejected atomic.Uint64
	overLimit   atomic.Uint64 // operations refused by their tenants' limits

	operationRequests       atomic.Uint64 // requests to the primary for operations of tenants
	failedOperationRequests atomic.Uint64 // those without an answer

	otherError       atomic.Uint64
	idleTransactions atomic.Uint64 // transactions ended because they were idle for too long

	replicaReads atomic.Uint64 // reads that replicas ran
	lagging      atomic.Uint64 // reads for which a replica was too far behind

	brokenInvariants atomic.Uint64

	isLeaseLossLogged bool   // a line has been logged; guarded by the gateway's lock
	lastLogged        totals // used only by the goroutine that logs
}

// totals are the values that are logged.
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

// logCounters logs one line if anything was counted since the last one.
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

// instanceReports collects what the gateway observed at instances, for the controller.
type instanceReports struct {
	urgent chan struct{} // signals that a connection broke or could not be made; holds one signal

	mutex      sync.Mutex
	byInstance map[string]*feed.InstanceReport
}

// entry returns the report on the instance, which it creates if necessary. The caller holds the lock.
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

// failed counts a connection that could not be made or broke. The controller should hear of it at once, since it may be
// the first sign that a leader is gone.
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

// answered counts the outcome of a statement.
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

// take returns the collected reports and starts anew.
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

// putBack adds reports that were taken but didn't reach the controller.
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

// openBackends returns the number of connections to instances, including those that are being made.
func (g *Gateway) openBackends() int {
	open := 0
	for _, pool := range g.allPools() {
		open += pool.size()
	}
	return open
}
