package gateway

import (
	"context"
	"time"
)

// phase is the progress of the gateway's shutdown.
type phase = int32

const (
	// unready: the gateway reports that it isn't ready, and continues to serve.
	unready phase = iota + 1
	// closingIdle: sessions that are idle outside a transaction are closed.
	closingIdle
	// endingTransactions: idle transactions are rolled back.
	endingTransactions
	// closingAll: sessions are closed as soon as they have no statement in progress.
	closingAll
)

const (
	// unreadyTime is how long the platform may continue to send new connections to a gateway that isn't ready: it asks
	// every second, needs two answers, and at times asks a little late. Sessions aren't closed before, since their
	// clients would come back.
	unreadyTime = 2300 * time.Millisecond
	// endTransactionsPart is the part of the grace period that open transactions have to end.
	endTransactionsPart = 0.5
	// closeAllPart is the part of the grace period after which sessions are closed as soon as they have no statement in
	// progress, and stopPart the part after which the process ends whatever is in progress.
	closeAllPart = 0.75
	stopPart     = 0.9
	// anyLengthTime is how long after the request to shut down a statement is taken however long it may run. Operators
	// excuse a statement that is cut at the end only if it was sent within 3 s of the request.
	anyLengthTime = 2500 * time.Millisecond
	// answerMargin is kept for the way of an answer that comes just before the timeout of its statement.
	answerMargin = 200 * time.Millisecond
	// sessionPollInterval is how often it is checked whether the last session has ended.
	sessionPollInterval = 50 * time.Millisecond
)

// shutdown holds the times of a shutdown, counted from the start of the process.
type shutdown struct {
	begunAt time.Duration
	grace   time.Duration
}

// after returns when the given part of the grace period is over.
func (s shutdown) after(part float64) time.Duration {
	return s.begunAt + time.Duration(float64(s.grace)*part)
}

// mayTake reports whether a first statement that was received at this time, and that may run until its deadline, can be
// answered before the process ends, or was received so early that it is taken in any case.
func (s shutdown) mayTake(receivedAt, deadline time.Duration) bool {
	return receivedAt <= min(s.begunAt+anyLengthTime, s.after(endTransactionsPart)) || s.canAnswerBy(deadline)
}

// mayTakeNext does the same for a statement of an open transaction, which has until transactions are ended, however long the statement may
// run: one that is still in progress when the process ends is answered with what is known of it.
func (s shutdown) mayTakeNext(receivedAt, deadline time.Duration) bool {
	return receivedAt <= s.after(endTransactionsPart) || s.canAnswerBy(deadline)
}

// canAnswerBy reports whether a statement that may run until its deadline is answered before the process ends.
func (s shutdown) canAnswerBy(deadline time.Duration) bool {
	return deadline+answerMargin <= s.after(stopPart)
}

// mayTake reports whether a first statement may be passed on to an instance as far as a shutdown is concerned.
func (g *Gateway) mayTake(receivedAt, deadline time.Duration) bool {
	shutdown := g.shutdown.Load()
	return shutdown == nil || shutdown.mayTake(receivedAt, deadline)
}

// mayTakeNext reports the same for a statement of an open transaction.
func (g *Gateway) mayTakeNext(receivedAt, deadline time.Duration) bool {
	shutdown := g.shutdown.Load()
	return shutdown == nil || shutdown.mayTakeNext(receivedAt, deadline)
}

// hasReached reports whether the gateway is in the phase or a later one.
func (g *Gateway) hasReached(phase phase) bool { return g.phase.Load() >= phase }

// terminate shuts the gateway down in phases. It returns when the last session has ended or the grace period is almost
// over.
func (g *Gateway) terminate(ctx context.Context) {
	shutdown := shutdown{begunAt: g.elapsed(), grace: g.grace()}
	g.shutdown.Store(&shutdown)
	g.phase.Store(unready)
	g.log.Info("gateway shutting down")
	pause(ctx, min(unreadyTime, shutdown.grace/2))
	g.enterPhase(closingIdle)
	g.waitForSessions(ctx, shutdown.after(endTransactionsPart))
	g.enterPhase(endingTransactions)
	g.waitForSessions(ctx, shutdown.after(closeAllPart))
	g.enterPhase(closingAll)
	g.waitForSessions(ctx, shutdown.after(stopPart))
}

func (g *Gateway) grace() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.settings.Bounds.Grace()
}

// enterPhase enters a phase and wakes the idle sessions, so that they see it.
func (g *Gateway) enterPhase(next phase) {
	g.phase.Store(next)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for client := range g.clients {
		client.interruptWait()
	}
}

// pastDeadline ends a read that waits, if it is set as its deadline.
var pastDeadline = time.Unix(1, 0)

// waitForSessions waits until there is no client or the time has come.
func (g *Gateway) waitForSessions(ctx context.Context, until time.Duration) {
	for g.elapsed() < until && ctx.Err() == nil && g.sessionCount() > 0 {
		pause(ctx, min(sessionPollInterval, until-g.elapsed()))
	}
}

func (g *Gateway) sessionCount() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.clients)
}

const (
	// lastAnswerWait bounds the wait for the answers to statements whose backend connections were cut.
	lastAnswerWait = 200 * time.Millisecond
	// finalWait bounds the wait for sessions whose connections are closed.
	finalWait = 100 * time.Millisecond
)

// closeClients closes the remaining sessions. The lease is given up first, so that nothing more is started and no
// success is passed on; then the connections of in-flight statements are closed. Their clients are told what is known
// of them before their own connections are closed.
func (g *Gateway) closeClients() {
	g.phase.Store(closingAll)
	g.mutex.Lock()
	g.directory.leaseUntil = 0
	g.mutex.Unlock()
	g.cutFlights(func(*flight) bool { return true })
	g.waitForSessions(context.Background(), g.elapsed()+lastAnswerWait)
	g.mutex.Lock()
	for client := range g.clients {
		_ = client.conn.Close()
	}
	g.mutex.Unlock()
	g.waitForSessions(context.Background(), g.elapsed()+finalWait)
}
