package gateway

import (
	"context"
	"time"
)

// phase says how far the gateway has come on its way to its end.
type phase = int32

const (
	// leaving: it says that it isn't ready, and serves on.
	unready phase = iota + 1
	// closingIdle: sessions that rest outside a transaction are closed.
	closingIdle
	// endingTransactions: open transactions are rolled back.
	endingTransactions
	// ending: sessions are closed as soon as no statement is under way.
	closingAll
)

const (
	// noticeTime is how long the platform may go on handing new connections to a gateway that isn't ready: it asks
	// every second and needs two answers, and asks a little late at times. Until then sessions aren't closed, or they
	// would come back.
	unreadyTime = 2300 * time.Millisecond
	// endingPart is the part of the grace after which sessions are closed as soon as no statement is under way, and
	// lastPart the part after which the process ends whatever is under way.
	closeAllPart = 0.75
	stopPart     = 0.9
	// emptyEvery is how often it is checked whether the last session has ended.
	sessionPollInterval = 50 * time.Millisecond
)

// at tells whether the gateway has come to the phase or beyond.
func (g *Gateway) hasReached(least phase) bool { return g.phase.Load() >= least }

// terminate leads the gateway through its end, and returns when the last session has ended or the grace is almost over.
func (g *Gateway) terminate(ctx context.Context) {
	grace := g.grace()
	begun := g.elapsed()
	g.phase.Store(unready)
	g.log.Info("gateway ends")
	notice := min(unreadyTime, grace/2)
	pause(ctx, notice)
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

// enter moves on to a phase and wakes the sessions that rest, so that they see it.
func (g *Gateway) enterPhase(next phase) {
	g.phase.Store(next)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for resting := range g.clients {
		resting.interruptWait()
	}
}

// longAgo as a deadline ends a read that waits.
var pastDeadline = time.Unix(1, 0)

// untilEmpty waits until there is no client or the time has come.
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

// lastWait bounds the wait for sessions whose connections are closed.
const finalWait = 300 * time.Millisecond

// cutClients closes what is left: the lease is given up, so that nothing more is started and no success is passed on,
// and then the connections of clients and of what is under way at instances are closed.
func (g *Gateway) closeClients() {
	g.phase.Store(closingAll)
	g.mutex.Lock()
	g.directory.leaseUntil = 0
	g.mutex.Unlock()
	g.cutFlights(func(*flight) bool { return true })
	g.mutex.Lock()
	for left := range g.clients {
		_ = left.conn.Close()
	}
	g.mutex.Unlock()
	g.waitForSessions(context.Background(), g.elapsed()+finalWait)
}
