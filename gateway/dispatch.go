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
	patienceShare = 5
	// patienceLeast is the wait where the route isn't known or has no aim.
	patienceLeast = 20 * time.Millisecond
	// anewShare is the part of the patience after which an instance that was busy is tried again.
	anewShare = 4
	// defaultTimeout bounds a statement where the route says nothing; a valid configuration always does.
	defaultTimeout = 2 * time.Second
)

// serve answers one QUERY.
func (c *client) serve(id, text string) wire.Answer {
	c.noticeCut()
	decision := c.session.Take(text)
	switch {
	case decision.Local:
		if decision.Rollback {
			c.dropTransaction()
		}
		return decision.Answer
	case decision.First:
		return c.serveFirst(id, decision.Statement)
	}
	return c.serveInside(id, decision.Statement)
}

// serveFirst runs a statement that stands outside a transaction or begins one: at a replica, if it may be some time old and one has it
// in time, else at the leader.
func (c *client) serveFirst(id string, statement session.Statement) wire.Answer {
	asked := c.gateway.now()
	c.counted = ""
	if tenant, until := c.gateway.limitOf(c.database, c.key, asked); !c.count(tenant, until) {
		return c.session.Ended(statement, notRun(overLimit)).Answer
	}
	if statement.ReadOnly {
		if answer, done := c.serveAtReplica(id, statement, asked); done {
			return answer
		}
	}
	return c.serveAtLeader(id, statement, asked)
}

// serveAtReplica offers a read to replicas, and tells whether one of them had the last word on it. What was not run, or kept nothing, goes on to the
// next.
func (c *client) serveAtReplica(id string, statement session.Statement, asked time.Duration) (wire.Answer, bool) {
	var tried []string
	for len(tried) < replicaTries {
		under := c.gateway.departRead(c.database, c.key, c.written, tried)
		if under == nil {
			return wire.Answer{}, false
		}
		tried = append(tried, under.placed.replica.ID)
		began := c.gateway.now()
		outcome := c.runFirst(id, statement, under, asked)
		c.gateway.replicaAnswered(under, outcome, c.gateway.now()-began)
		verdict := c.session.Ended(statement, outcome)
		c.settle(under, verdict)
		if !mayRunElsewhere(outcome) || c.gateway.now() >= asked+patienceOf(under.placed) {
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
func (c *client) serveAtLeader(id string, statement session.Statement, asked time.Duration) wire.Answer {
	for attempt := 1; ; attempt++ {
		under, why := c.gateway.depart(c.database, c.key, asked)
		if why == noDatabase {
			return wire.Refusal(wire.NoDB, c.database, wire.Idle)
		}
		if why == unknownKey {
			return wire.Refusal(wire.AuthFail, "", wire.Idle)
		}
		if why != placed {
			return c.session.Ended(statement, notRun(string(why))).Answer
		}
		outcome := c.runFirst(id, statement, under, asked)
		verdict := c.session.Ended(statement, outcome)
		c.noteWritten(statement, verdict.Answer)
		c.settle(under, verdict)
		if !worthAnother(outcome) || attempt >= under.placed.route.MaxAttempts {
			return verdict.Answer
		}
		patience := patienceOf(under.placed)
		if c.gateway.now()+patience/anewShare >= asked+patience {
			return verdict.Answer
		}
		time.Sleep(patience / anewShare)
	}
}

// worthAnother tells whether a first statement has not been run and may be tried on another connection.
func worthAnother(outcome session.Outcome) bool {
	if outcome.Kind == session.Answered {
		return outcome.Answer.Code == wire.Busy && outcome.Answer.State == wire.Idle
	}
	return outcome.Kind == session.NotRun
}

// depart finds the leader for a first statement, and registers the flight in the same moment. Where a statement can't
// be placed now but perhaps soon, it waits as long as its patience lasts.
func (g *Gateway) depart(database string, key access.Key, asked time.Duration) (*flight, refusal) {
	for {
		g.mutex.Lock()
		found, why := g.directory.placeFor(g.now(), database, key)
		changed := g.news
		if why == placed {
			under := &flight{placed: found}
			g.flights[under] = struct{}{}
			g.mutex.Unlock()
			return under, placed
		}
		g.mutex.Unlock()
		left := asked + patienceOf(found) - g.now()
		if why == noDatabase || why == unknownKey || left <= 0 {
			return nil, why
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// patienceOf is how long a statement may wait to be offered.
func patienceOf(found placement) time.Duration {
	aim := time.Duration(found.route.TargetLatencyMs) * time.Millisecond
	return max(patienceLeast, aim/patienceShare)
}

func timeoutOf(found placement) time.Duration {
	if found.route.TimeoutMs <= 0 {
		return defaultTimeout
	}
	return time.Duration(found.route.TimeoutMs) * time.Millisecond
}

// runFirst gets a connection and runs the statement on it.
func (c *client) runFirst(id string, statement session.Statement, under *flight, asked time.Duration) session.Outcome {
	until := asked + patienceOf(under.placed)
	if !c.count(under.placed.tenant, until) {
		return notRun(overLimit)
	}
	deadline := c.gateway.started.Add(asked + timeoutOf(under.placed))
	lent, err := c.gateway.poolFor(under.placed).acquire(ask{
		session: c.session, interest: c.interest, tenant: under.placed.tenant, priority: under.placed.route.Priority, until: until,
	})
	if err != nil {
		return notRun(err.Error())
	}
	if !c.gateway.lend(under, lent) {
		return notRun(string(frozen))
	}
	outcome := c.run(id, statement, under, deadline)
	if !wasNotRun(outcome) {
		c.counted = ""
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
func (c *client) serveInside(id string, statement session.Statement) wire.Answer {
	under := c.flight
	outcome := notRun("the transaction was ended")
	if c.gateway.wake(under) {
		deadline := time.Now().Add(timeoutOf(under.placed))
		outcome = c.run(id, statement, under, deadline)
	}
	verdict := c.session.Ended(statement, outcome)
	c.noteWritten(statement, verdict.Answer)
	c.settle(under, verdict)
	return verdict.Answer
}

// noteWritten remembers the position that a commit of this session has reached: its reads must see it.
func (c *client) noteWritten(statement session.Statement, answer wire.Answer) {
	commits := statement.Class == session.Write || statement.Class == session.Commit
	if !commits || answer.Code != "" || answer.State != wire.Idle {
		return
	}
	if position, err := wire.ParsePosition(answer.Position); err == nil && c.written.Less(position) {
		c.written = position
	}
}

// run puts the connection in order and runs the statement on it.
func (c *client) run(id string, statement session.Statement, under *flight, deadline time.Time) session.Outcome {
	lent := under.lent
	inTransaction := c.session.Attached()
	steps := c.session.Steps(lent.state, statement)
	if len(steps) > 0 && !c.may(statement, under) {
		return notSentNow()
	}
	for _, step := range steps {
		answer, err := lent.conn.QueryBy(deadline, wire.OwnID, step.Text)
		if err != nil {
			c.gateway.leaderFailed(under)
			return notRun("the backend connection broke")
		}
		if answer.Code != "" {
			if answer.Code != wire.Busy {
				lent.state.Distrust()
			}
			return stepRefused(answer, inTransaction)
		}
		lent.state.Done(step, inTransaction)
	}
	if statement.Class == session.Commit && !lent.conn.Usable() {
		c.gateway.leaderFailed(under)
		return notRun("the backend connection broke")
	}
	begins := !inTransaction || c.session.Opens(statement)
	if !c.may(statement, under) {
		return notSentNow()
	}
	asked := c.gateway.now()
	answer, err := lent.conn.QueryBy(deadline, id, textFor(statement, under, !inTransaction))
	if begins {
		c.gateway.noteBegin(under, lent.conn.SentAt())
	}
	outcome := outcomeOf(answer, err)
	if under.placed.atReplica() {
		return outcome
	}
	c.gateway.reports.answered(under.placed.leader.InstanceID, outcome)
	c.gateway.leaderNamed(under, asked, answer)
	outcome.Stale = !c.gateway.lasted(under)
	return outcome
}

// textFor is the text as it is sent: a read or BEGIN at a replica names the position that the replica's log must hold.
func textFor(statement session.Statement, under *flight, first bool) string {
	text := statement.BackendText()
	if first && under.placed.atReplica() {
		return wire.AfterText(under.placed.after, text)
	}
	return text
}

// leaderFailed reports a connection that broke, if it was one to the leader.
func (g *Gateway) leaderFailed(under *flight) {
	if !under.placed.atReplica() {
		g.reports.failed(under.placed.leader.InstanceID)
	}
}

// notSentNow: the right to use the leader is gone; nothing has been sent.
func notSentNow() session.Outcome {
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
func (c *client) may(statement session.Statement, under *flight) bool {
	switch {
	case statement.Class == session.Abort:
		return c.gateway.mayAbort(under)
	case statement.Class == session.Commit:
		return c.gateway.mayCommit(under)
	case c.session.Opens(statement):
		return c.gateway.mayOpen(under)
	case c.session.Attached():
		return c.gateway.mayGoOn(under)
	}
	return c.gateway.mayBegin(under)
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
func (c *client) settle(under *flight, verdict session.Verdict) {
	lent := under.lent
	if verdict.Fate == session.Keep {
		c.flight = under
		c.gateway.rest(under)
		return
	}
	c.flight = nil
	c.gateway.land(under)
	if lent == nil {
		return
	}
	from := lent.home
	switch verdict.Fate {
	case session.Free:
		lent.state.Ended(verdict.RolledBack)
		from.free(lent)
	case session.Rollback:
		from.rollback(lent)
	default:
		from.drop(lent)
	}
}

// dropTransaction rolls the open transaction back, because the session has failed, has rested for too long or has ended.
func (c *client) dropTransaction() {
	under := c.flight
	if under == nil {
		return
	}
	fate := session.Rollback
	if !c.gateway.wake(under) {
		fate = session.Close
	}
	c.settle(under, session.Verdict{Fate: fate})
}

// noticeCut makes up for a transaction that was cut while it rested.
func (c *client) noticeCut() {
	under := c.flight
	if under == nil {
		return
	}
	c.gateway.mutex.Lock()
	cut := under.cut
	c.gateway.mutex.Unlock()
	if cut {
		c.session.RolledBack()
		c.settle(under, session.Verdict{Fate: session.Close})
	}
}
