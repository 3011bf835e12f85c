package gateway

import (
	"errors"
	"time"

	"eiderway/control/access"
	"eiderway/session"
	"eiderway/wire"
)

const (
	// placementWaitShare is the divisor that gives the part of a route's target latency that a statement may wait to be
	// offered to an instance. A refusal after more than a quarter of the target latency is too late; timers fire a
	// little late, so the wait is a fifth.
	placementWaitShare = 5
	// minPlacementWait is the wait where the route isn't known or has no target latency.
	minPlacementWait = 20 * time.Millisecond
	// retryWaitShare is the divisor that gives the part of the placement wait after which an instance that was busy is
	// tried again.
	retryWaitShare = 4
	// defaultStatementTimeout bounds a statement where the route has no timeout; a valid configuration always has one.
	defaultStatementTimeout = 2 * time.Second
)

// runQuery answers one QUERY.
func (c *client) runQuery(id, text string) wire.Answer {
	c.handleCutTransaction()
	decision := c.session.HandleQuery(text)
	switch {
	case decision.Local:
		if decision.Rollback {
			c.rollBackTransaction()
		}
		return decision.Answer
	case decision.NeedsConnection:
		return c.serveFirst(id, decision.Statement)
	}
	return c.serveInTransaction(id, decision.Statement)
}

// serveFirst runs a statement that is outside a transaction or begins one. It goes to a replica if it tolerates stale
// data and a replica can serve it in time, else to the leader.
func (c *client) serveFirst(id string, statement session.Statement) wire.Answer {
	receivedAt := c.gateway.elapsed()
	c.chargedTenant = ""
	if tenant, until := c.gateway.limitedTenant(c.database, c.key, receivedAt); !c.charge(tenant, until) {
		return c.session.HandleOutcome(statement, notRun(overLimit)).Answer
	}
	if statement.ReadOnly {
		if answer, done := c.serveAtReplica(id, statement, receivedAt); done {
			return answer
		}
	}
	return c.serveAtLeader(id, statement, receivedAt)
}

// serveAtReplica offers a read to replicas and reports whether one of them gave the final answer. A read that was not
// run, or that kept nothing, is offered to the next one.
func (c *client) serveAtReplica(id string, statement session.Statement, receivedAt time.Duration) (wire.Answer, bool) {
	var tried []string
	for len(tried) < maxReplicaTries {
		flight := c.gateway.startAtReplica(c.database, c.key, receivedAt, c.lastCommit, tried)
		if flight == nil {
			return wire.Answer{}, false
		}
		tried = append(tried, flight.placement.replica.ID)
		startedAt := c.gateway.elapsed()
		outcome := c.runFirst(id, statement, flight, receivedAt)
		c.gateway.recordReplicaResult(flight, outcome, c.gateway.elapsed()-startedAt)
		resolution := c.session.HandleOutcome(statement, outcome)
		c.settle(flight, resolution)
		if !mayRunElsewhere(outcome) || c.gateway.elapsed() >= receivedAt+maxPlacementWait(flight.placement) {
			return resolution.Answer, true
		}
	}
	return wire.Answer{}, false
}

// overLimit is what a client is told whose tenant has used up its limit.
const overLimit = "the limit of operations is used up: try again in a second"

// mayRunElsewhere reports whether a read that was offered to a replica can be offered to another instance: it was not
// run, or its answer was lost, and it keeps nothing.
func mayRunElsewhere(outcome session.Outcome) bool {
	if outcome.Kind != session.Answered {
		return outcome.Kind != session.TimedOut
	}
	return outcome.Answer.Code.PromisesNoEffect() && outcome.Answer.State == wire.Idle
}

// serveAtLeader runs a statement at the leader. If it was not run, it is tried again on another connection while the
// placement wait lasts.
func (c *client) serveAtLeader(id string, statement session.Statement, receivedAt time.Duration) wire.Answer {
	for attempt := 1; ; attempt++ {
		flight, reason := c.gateway.startAtLeader(c.database, c.key, receivedAt)
		if reason == noDatabase {
			return wire.Refusal(wire.NoDB, c.database, wire.Idle)
		}
		if reason == keyRejected {
			return wire.Refusal(wire.AuthFail, "", wire.Idle)
		}
		if reason != notRefused {
			return c.session.HandleOutcome(statement, notRun(string(reason))).Answer
		}
		outcome := c.runFirst(id, statement, flight, receivedAt)
		resolution := c.session.HandleOutcome(statement, outcome)
		c.recordCommit(statement, resolution.Answer)
		c.settle(flight, resolution)
		if !isRetryable(outcome) || attempt >= flight.placement.route.MaxAttempts {
			return resolution.Answer
		}
		maxWait := maxPlacementWait(flight.placement)
		if c.gateway.elapsed()+maxWait/retryWaitShare >= receivedAt+maxWait {
			return resolution.Answer
		}
		time.Sleep(maxWait / retryWaitShare)
	}
}

// isRetryable reports whether a first statement has not been run and may be tried on another connection.
func isRetryable(outcome session.Outcome) bool {
	if outcome.Kind == session.Answered {
		return outcome.Answer.Code == wire.Busy && outcome.Answer.State == wire.Idle
	}
	return outcome.Kind == session.NotRun
}

// startAtLeader finds the leader for a first statement and registers the flight under the same lock. If the statement
// can't be placed now but perhaps soon, it waits for a change of the directory within the placement wait.
func (g *Gateway) startAtLeader(database string, key access.Key, receivedAt time.Duration) (*flight, refusal) {
	for {
		g.mutex.Lock()
		placement, reason := g.directory.placeForKey(g.elapsed(), database, key)
		if reason != noDatabase && reason != keyRejected && !g.mayTake(receivedAt, receivedAt+timeoutOf(placement)) {
			reason = shuttingDown
		}
		directoryChanged := g.directoryChanged
		if reason == notRefused {
			flight := &flight{placement: placement}
			g.flights[flight] = struct{}{}
			g.mutex.Unlock()
			return flight, notRefused
		}
		g.mutex.Unlock()
		remaining := receivedAt + maxPlacementWait(placement) - g.elapsed()
		if isFinal(reason) || remaining <= 0 {
			return nil, reason
		}
		timer := time.NewTimer(remaining)
		select {
		case <-directoryChanged:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// isFinal reports whether waiting can't change the refusal of a statement.
func isFinal(reason refusal) bool {
	return reason == noDatabase || reason == keyRejected || reason == shuttingDown
}

// maxPlacementWait returns how long a statement may wait to be offered to an instance.
func maxPlacementWait(placement placement) time.Duration {
	targetLatency := time.Duration(placement.route.TargetLatencyMs) * time.Millisecond
	return max(minPlacementWait, targetLatency/placementWaitShare)
}

func timeoutOf(placement placement) time.Duration {
	if placement.route.TimeoutMs <= 0 {
		return defaultStatementTimeout
	}
	return time.Duration(placement.route.TimeoutMs) * time.Millisecond
}

// runFirst acquires a connection and runs the statement on it.
func (c *client) runFirst(id string, statement session.Statement, flight *flight, receivedAt time.Duration) session.Outcome {
	until := receivedAt + maxPlacementWait(flight.placement)
	if !c.charge(flight.placement.tenant, until) {
		return notRun(overLimit)
	}
	deadline := c.gateway.startedAt.Add(receivedAt + timeoutOf(flight.placement))
	backend, err := c.gateway.poolFor(flight.placement).acquire(acquireRequest{
		session: c.session, liveness: c.liveness, tenant: flight.placement.tenant, priority: flight.placement.route.Priority, until: until,
	})
	if err != nil {
		return notRun(err.Error())
	}
	if !c.gateway.attachBackend(flight, backend) {
		return notRun(string(frozen))
	}
	outcome := c.run(id, statement, flight, deadline)
	if !wasNotRun(outcome) {
		c.chargedTenant = ""
	}
	return outcome
}

// wasNotRun reports whether an attempt was certainly not run, so that the next one counts as the same operation. It is
// not enough that the attempt kept nothing.
func wasNotRun(outcome session.Outcome) bool {
	if outcome.Kind != session.Answered {
		return outcome.Kind == session.NotRun
	}
	switch outcome.Answer.Code {
	case wire.Busy, wire.Lagging, wire.ReadOnly, wire.WrongNode, wire.ConnLimit, wire.NoStmt:
		return true
	}
	return false
}

// serveInTransaction runs a statement of the open transaction.
func (c *client) serveInTransaction(id string, statement session.Statement) wire.Answer {
	flight := c.flight
	outcome := notRun("the transaction was ended")
	receivedAt := c.gateway.elapsed()
	deadline := receivedAt + timeoutOf(flight.placement)
	switch {
	case !c.gateway.resume(flight):
	case !c.gateway.mayTakeNext(receivedAt, deadline):
		outcome = notRun(string(shuttingDown))
	default:
		outcome = c.run(id, statement, flight, c.gateway.startedAt.Add(deadline))
	}
	resolution := c.session.HandleOutcome(statement, outcome)
	c.recordCommit(statement, resolution.Answer)
	c.settle(flight, resolution)
	return resolution.Answer
}

// recordCommit remembers the position that a commit of this session has reached, which later reads of the session must
// see.
func (c *client) recordCommit(statement session.Statement, answer wire.Answer) {
	commits := statement.Class == session.Write || statement.Class == session.Commit
	if !commits || answer.Code != "" || answer.State != wire.Idle {
		return
	}
	if position, err := wire.ParsePosition(answer.Position); err == nil && c.lastCommit.Less(position) {
		c.lastCommit = position
	}
}

// run brings the connection into the state that the session needs and runs the statement on it.
func (c *client) run(id string, statement session.Statement, flight *flight, deadline time.Time) session.Outcome {
	backend := flight.backend
	inTransaction := c.session.HasOpenTransaction()
	steps := c.session.SetupSteps(backend.state, statement)
	if len(steps) > 0 && !c.maySend(statement, flight) {
		return leaderUnusable()
	}
	for _, step := range steps {
		answer, err := backend.conn.QueryUntil(deadline, wire.InternalID, step.Text)
		if err != nil {
			c.gateway.reportLeaderFailure(flight)
			return notRun("the backend connection broke")
		}
		if answer.Code != "" {
			if answer.Code != wire.Busy {
				backend.state.MarkUnknown()
			}
			return stepRefused(answer, inTransaction)
		}
		backend.state.RecordStep(step, inTransaction)
	}
	if statement.Class == session.Commit && !backend.conn.IsUsable() {
		c.gateway.reportLeaderFailure(flight)
		return notRun("the backend connection broke")
	}
	begins := !inTransaction || c.session.IsFirstOperation(statement)
	if !c.maySend(statement, flight) {
		return leaderUnusable()
	}
	sentAt := c.gateway.elapsed()
	answer, err := backend.conn.QueryUntil(deadline, id, backendText(statement, flight, !inTransaction))
	if begins {
		c.gateway.checkBeginTime(flight, backend.conn.SentAt())
	}
	outcome := outcomeOf(answer, err)
	if flight.placement.atReplica() {
		return outcome
	}
	c.gateway.reports.answered(flight.placement.leader.InstanceID, outcome)
	c.gateway.recordLeaderPosition(flight, sentAt, answer)
	outcome.Stale = !c.gateway.remainedValid(flight)
	return outcome
}

// backendText returns the text that is sent to the instance. A read or BEGIN at a replica names the position that the
// replica's log must hold.
func backendText(statement session.Statement, flight *flight, isFirst bool) string {
	text := statement.BackendText()
	if isFirst && flight.placement.atReplica() {
		return wire.AfterPositionText(flight.placement.minPosition, text)
	}
	return text
}

// reportLeaderFailure reports to the controller that a connection broke, if it was one to the leader.
func (g *Gateway) reportLeaderFailure(flight *flight) {
	if !flight.placement.atReplica() {
		g.reports.failed(flight.placement.leader.InstanceID)
	}
}

// leaderUnusable is the outcome of a statement that was not sent because the right to use the leader is gone.
func leaderUnusable() session.Outcome {
	return session.Outcome{Kind: session.NotRun, Reason: "the leader may not be used now", Intact: true}
}

// stepRefused is the outcome of a statement that was not sent because the instance refused a statement that prepares
// the connection.
func stepRefused(answer wire.Answer, inTransaction bool) session.Outcome {
	expected := wire.Idle
	if inTransaction {
		expected = wire.InTransaction
	}
	return session.Outcome{Kind: session.NotRun, Reason: string(answer.Code), Intact: answer.State == expected}
}

// maySend is the last check before the bytes of the statement are sent.
func (c *client) maySend(statement session.Statement, flight *flight) bool {
	switch {
	case statement.Class == session.Abort:
		return c.gateway.mayAbort(flight)
	case statement.Class == session.Commit:
		return c.gateway.mayCommit(flight)
	case c.session.IsFirstOperation(statement):
		return c.gateway.mayOpen(flight)
	case c.session.HasOpenTransaction():
		return c.gateway.mayContinue(flight)
	}
	return c.gateway.mayBegin(flight)
}

// outcomeOf translates the result of a statement that was sent.
func outcomeOf(answer wire.Answer, err error) session.Outcome {
	if err == nil {
		return session.Outcome{Kind: session.Answered, Answer: answer}
	}
	var failure *wire.ConnError
	switch {
	case errors.As(err, &failure) && failure.Delivery == wire.NotSent:
		return notRun("the backend connection broke")
	case errors.As(err, &failure) && failure.Timeout:
		return session.Outcome{Kind: session.TimedOut}
	}
	return session.Outcome{Kind: session.Lost}
}

func notRun(reason string) session.Outcome {
	return session.Outcome{Kind: session.NotRun, Reason: reason}
}

// settle does with the backend connection what the resolution says. It runs before the client is answered: a freeze must
// not find a flight whose client has its answer, and the client's next statement must find the connection again.
func (c *client) settle(flight *flight, resolution session.Resolution) {
	backend := flight.backend
	if resolution.Action == session.KeepBackend {
		c.flight = flight
		c.gateway.markIdle(flight)
		return
	}
	c.flight = nil
	c.gateway.endFlight(flight)
	if backend == nil {
		return
	}
	pool := backend.pool
	switch resolution.Action {
	case session.FreeBackend:
		backend.state.EndTransaction(resolution.RolledBack)
		pool.release(backend)
	case session.RollbackBackend:
		pool.rollback(backend)
	default:
		pool.discard(backend)
	}
}

// rollBackTransaction rolls back the open transaction because the session has failed, was idle for too long or has
// ended.
func (c *client) rollBackTransaction() {
	flight := c.flight
	if flight == nil {
		return
	}
	action := session.RollbackBackend
	if !c.gateway.resume(flight) {
		action = session.CloseBackend
	}
	c.settle(flight, session.Resolution{Action: action})
}

// handleCutTransaction ends the session's transaction if its connection was cut while it was idle.
func (c *client) handleCutTransaction() {
	flight := c.flight
	if flight == nil {
		return
	}
	c.gateway.mutex.Lock()
	isCut := flight.isCut
	c.gateway.mutex.Unlock()
	if isCut {
		c.session.HandleRollback()
		c.settle(flight, session.Resolution{Action: session.CloseBackend})
	}
}
