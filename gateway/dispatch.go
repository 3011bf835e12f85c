package gateway

import (
	"errors"
	"time"

	"eiderway/control/access"
	"eiderway/session"
	"eiderway/wire"
)

const (
	// patienceShare is the part of a route's aim that a statement may wait to be offered to an instance. A refusal after
	// more than a quarter of the aim comes late by the rules; timers fire a little late, so it is a fifth.
	placementWaitShare = 5
	// patienceLeast is the wait where the route isn't known or has no aim.
	minPlacementWait = 20 * time.Millisecond
	// anewShare is the part of the patience after which an instance that was busy is tried again.
	retryWaitShare = 4
	// defaultTimeout bounds a statement where the route says nothing; a valid configuration always does.
	defaultStatementTimeout = 2 * time.Second
)

// serve answers one QUERY.
func (c *client) runQuery(id, text string) wire.Answer {
	c.handleCutTransaction()
	decision := c.session.Take(text)
	switch {
	case decision.Local:
		if decision.Rollback {
			c.rollBackTransaction()
		}
		return decision.Answer
	case decision.First:
		return c.serveFirst(id, decision.Statement)
	}
	return c.serveInTransaction(id, decision.Statement)
}

// serveFirst runs a statement that stands outside a transaction or begins one: at a replica, if it may be some time old and one has it
// in time, else at the leader.
func (c *client) serveFirst(id string, statement session.Statement) wire.Answer {
	receivedAt := c.gateway.elapsed()
	c.chargedTenant = ""
	if tenant, until := c.gateway.limitedTenant(c.database, c.key, receivedAt); !c.charge(tenant, until) {
		return c.session.Ended(statement, notRun(overLimit)).Answer
	}
	if statement.ReadOnly {
		if answer, done := c.serveAtReplica(id, statement, receivedAt); done {
			return answer
		}
	}
	return c.serveAtLeader(id, statement, receivedAt)
}

// serveAtReplica offers a read to replicas, and tells whether one of them had the last word on it. What was not run, or kept nothing, goes on to the
// next.
func (c *client) serveAtReplica(id string, statement session.Statement, receivedAt time.Duration) (wire.Answer, bool) {
	var tried []string
	for len(tried) < maxReplicaTries {
		flight := c.gateway.startAtReplica(c.database, c.key, c.lastCommit, tried)
		if flight == nil {
			return wire.Answer{}, false
		}
		tried = append(tried, flight.placement.replica.ID)
		startedAt := c.gateway.elapsed()
		outcome := c.runFirst(id, statement, flight, receivedAt)
		c.gateway.recordReplicaResult(flight, outcome, c.gateway.elapsed()-startedAt)
		verdict := c.session.Ended(statement, outcome)
		c.settle(flight, verdict)
		if !mayRunElsewhere(outcome) || c.gateway.elapsed() >= receivedAt+maxPlacementWait(flight.placement) {
			return verdict.Answer, true
		}
	}
	return wire.Answer{}, false
}

// overLimit is what a client is told whose tenant has used its limit up.
const overLimit = "the limit of operations is used up: try again in a second"

// mayRunElsewhere tells whether a read that a replica was offered can be offered to another instance: it was not run, or its answer was lost, and it
// keeps nothing.
func mayRunElsewhere(outcome session.Outcome) bool {
	if outcome.Kind != session.Answered {
		return outcome.Kind != session.TimedOut
	}
	return outcome.Answer.Code.Promise() && outcome.Answer.State == wire.Idle
}

// serveAtLeader runs a statement at the leader. If it was not run, it is tried again on another connection as long as its patience lasts.
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
			return c.session.Ended(statement, notRun(string(reason))).Answer
		}
		outcome := c.runFirst(id, statement, flight, receivedAt)
		verdict := c.session.Ended(statement, outcome)
		c.recordCommit(statement, verdict.Answer)
		c.settle(flight, verdict)
		if !isRetryable(outcome) || attempt >= flight.placement.route.MaxAttempts {
			return verdict.Answer
		}
		maxWait := maxPlacementWait(flight.placement)
		if c.gateway.elapsed()+maxWait/retryWaitShare >= receivedAt+maxWait {
			return verdict.Answer
		}
		time.Sleep(maxWait / retryWaitShare)
	}
}

// worthAnother tells whether a first statement has not been run and may be tried on another connection.
func isRetryable(outcome session.Outcome) bool {
	if outcome.Kind == session.Answered {
		return outcome.Answer.Code == wire.Busy && outcome.Answer.State == wire.Idle
	}
	return outcome.Kind == session.NotRun
}

// depart finds the leader for a first statement, and registers the flight in the same moment. Where a statement can't
// be placed now but perhaps soon, it waits as long as its patience lasts.
func (g *Gateway) startAtLeader(database string, key access.Key, receivedAt time.Duration) (*flight, refusal) {
	for {
		g.mutex.Lock()
		placement, reason := g.directory.placeForKey(g.elapsed(), database, key)
		directoryChanged := g.directoryChanged
		if reason == notRefused {
			flight := &flight{placement: placement}
			g.flights[flight] = struct{}{}
			g.mutex.Unlock()
			return flight, notRefused
		}
		g.mutex.Unlock()
		remaining := receivedAt + maxPlacementWait(placement) - g.elapsed()
		if reason == noDatabase || reason == keyRejected || remaining <= 0 {
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

// patienceOf is how long a statement may wait to be offered.
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

// runFirst gets a connection and runs the statement on it.
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

// wasNotRun tells whether an attempt certainly wasn't run, so that the next one counts for the same operation. To keep nothing is not enough.
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

// serveInside runs a statement of the open transaction.
func (c *client) serveInTransaction(id string, statement session.Statement) wire.Answer {
	flight := c.flight
	outcome := notRun("the transaction was ended")
	if c.gateway.resume(flight) {
		deadline := time.Now().Add(timeoutOf(flight.placement))
		outcome = c.run(id, statement, flight, deadline)
	}
	verdict := c.session.Ended(statement, outcome)
	c.recordCommit(statement, verdict.Answer)
	c.settle(flight, verdict)
	return verdict.Answer
}

// noteWritten remembers the position that a commit of this session has reached: its reads must see it.
func (c *client) recordCommit(statement session.Statement, answer wire.Answer) {
	commits := statement.Class == session.Write || statement.Class == session.Commit
	if !commits || answer.Code != "" || answer.State != wire.Idle {
		return
	}
	if position, err := wire.ParsePosition(answer.Position); err == nil && c.lastCommit.Less(position) {
		c.lastCommit = position
	}
}

// run puts the connection in order and runs the statement on it.
func (c *client) run(id string, statement session.Statement, flight *flight, deadline time.Time) session.Outcome {
	backend := flight.backend
	inTransaction := c.session.Attached()
	steps := c.session.Steps(backend.state, statement)
	if len(steps) > 0 && !c.maySend(statement, flight) {
		return leaderUnusable()
	}
	for _, step := range steps {
		answer, err := backend.conn.QueryBy(deadline, wire.OwnID, step.Text)
		if err != nil {
			c.gateway.reportLeaderFailure(flight)
			return notRun("the backend connection broke")
		}
		if answer.Code != "" {
			if answer.Code != wire.Busy {
				backend.state.Distrust()
			}
			return stepRefused(answer, inTransaction)
		}
		backend.state.Done(step, inTransaction)
	}
	if statement.Class == session.Commit && !backend.conn.Usable() {
		c.gateway.reportLeaderFailure(flight)
		return notRun("the backend connection broke")
	}
	begins := !inTransaction || c.session.Opens(statement)
	if !c.maySend(statement, flight) {
		return leaderUnusable()
	}
	sentAt := c.gateway.elapsed()
	answer, err := backend.conn.QueryBy(deadline, id, backendText(statement, flight, !inTransaction))
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

// textFor is the text as it is sent: a read or BEGIN at a replica names the position that the replica's log must hold.
func backendText(statement session.Statement, flight *flight, isFirst bool) string {
	text := statement.BackendText()
	if isFirst && flight.placement.atReplica() {
		return wire.AfterText(flight.placement.minPosition, text)
	}
	return text
}

// leaderFailed reports a connection that broke, if it was one to the leader.
func (g *Gateway) reportLeaderFailure(flight *flight) {
	if !flight.placement.atReplica() {
		g.reports.failed(flight.placement.leader.InstanceID)
	}
}

// notSentNow: the right to use the leader is gone; nothing has been sent.
func leaderUnusable() session.Outcome {
	return session.Outcome{Kind: session.NotRun, Reason: "the leader may not be used now", Intact: true}
}

// stepRefused: one of the system's own statements was refused, so the client's was not sent.
func stepRefused(answer wire.Answer, inTransaction bool) session.Outcome {
	expected := wire.Idle
	if inTransaction {
		expected = wire.InTransaction
	}
	return session.Outcome{Kind: session.NotRun, Reason: string(answer.Code), Intact: answer.State == expected}
}

// may is the last check before the statement's bytes leave.
func (c *client) maySend(statement session.Statement, flight *flight) bool {
	switch {
	case statement.Class == session.Abort:
		return c.gateway.mayAbort(flight)
	case statement.Class == session.Commit:
		return c.gateway.mayCommit(flight)
	case c.session.Opens(statement):
		return c.gateway.mayOpen(flight)
	case c.session.Attached():
		return c.gateway.mayContinue(flight)
	}
	return c.gateway.mayBegin(flight)
}

// outcomeOf reads what came of a statement that was sent.
func outcomeOf(answer wire.Answer, err error) session.Outcome {
	if err == nil {
		return session.Outcome{Kind: session.Answered, Answer: answer}
	}
	var failure *wire.ConnError
	switch {
	case errors.As(err, &failure) && failure.Sent == wire.NotSent:
		return notRun("the backend connection broke")
	case errors.As(err, &failure) && failure.Timeout:
		return session.Outcome{Kind: session.TimedOut}
	}
	return session.Outcome{Kind: session.Lost}
}

func notRun(reason string) session.Outcome {
	return session.Outcome{Kind: session.NotRun, Reason: reason}
}

// settle carries out what becomes of the backend connection. It happens before the client is answered: a freeze must
// find no flight whose client has its answer, and the client's next statement finds the connection again.
func (c *client) settle(flight *flight, verdict session.Verdict) {
	backend := flight.backend
	if verdict.Fate == session.Keep {
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
	switch verdict.Fate {
	case session.Free:
		backend.state.Ended(verdict.RolledBack)
		pool.release(backend)
	case session.Rollback:
		pool.rollback(backend)
	default:
		pool.discard(backend)
	}
}

// dropTransaction rolls the open transaction back, because the session has failed, has rested for too long or has ended.
func (c *client) rollBackTransaction() {
	flight := c.flight
	if flight == nil {
		return
	}
	fate := session.Rollback
	if !c.gateway.resume(flight) {
		fate = session.Close
	}
	c.settle(flight, session.Verdict{Fate: fate})
}

// noticeCut makes up for a transaction that was cut while it rested.
func (c *client) handleCutTransaction() {
	flight := c.flight
	if flight == nil {
		return
	}
	c.gateway.mutex.Lock()
	cut := flight.isCut
	c.gateway.mutex.Unlock()
	if cut {
		c.session.RolledBack()
		c.settle(flight, session.Verdict{Fate: session.Close})
	}
}
