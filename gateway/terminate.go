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
	// closeAllPart is the part of the grace period after which sessions are closed as soon as they have no statement in
	// progress, and stopPart the part after which the process ends whatever is in progress.
	closeAllPart = 0.75
	stopPart     = 0.9
	// sessionPollInterval is how often it is checked whether the last session has ended.
	sessionPollInterval = 50 * time.Millisecond
)

// hasReached reports whether the gateway is in the phase or a later one.
func (g *Gateway) hasReached(phase phase) bool { return g.phase.Load() >= phase }

// terminate shuts the gateway down in phases. It returns when the last session has ended or the grace period is almost
// over.
func (g *Gateway) terminate(ctx context.Context) {
	grace := g.grace()
	begun := g.elapsed()
	g.phase.Store(unready)
	g.log.Info("gateway shutting down")
	unreadyFor := min(unreadyTime, grace/2)
	pause(ctx, unreadyFor)
	g.enterPhase(closingIdle)
	g.waitForSessions(ctx, begun+grace/2)
	g.enterPhase(endingTransactions)
	g.waitForSessions(ctx, begun+time.Duration(float64(grace)*closeAllPart))
	g.enterPhase(closingAll)
	g.waitForSessions(ctx, begun+time.Duration(float64(grace)*stopPart))
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

// finalWait bounds the wait for sessions whose connections are closed.
const finalWait = 300 * time.Millisecond

// closeClients closes the remaining sessions. The lease is given up first, so that nothing more is started and no
// success is passed on; then the connections of in-flight statements and of clients are closed.
func (g *Gateway) closeClients() {
	g.phase.Store(closingAll)
	g.mutex.Lock()
	g.directory.leaseUntil = 0
	g.mutex.Unlock()
	g.cutFlights(func(*flight) bool { return true })
	g.mutex.Lock()
	for client := range g.clients {
		_ = client.conn.Close()
	}
	g.mutex.Unlock()
	g.waitForSessions(context.Background(), g.elapsed()+finalWait)
}
