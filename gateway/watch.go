package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"eiderway/control/feed"
)

const (
	// watchWait is the longest that a controller may hold a question back when there is no news: each question costs
	// both sides some work.
	watchWait = 600 * time.Millisecond
	// watchesInLease is how many questions that are held back fit into a lease. A lease counts from the sending of its
	// question, so when it comes with the answer one such time is gone, and the next answer is another one away: three
	// leave room for a slow one.
	watchesInLease = 3
	// watchLeast is the shortest wait that is asked for, however short the leases are.
	minWatchWait = 50 * time.Millisecond
	// watchSlack is added to it before a question is given up: a slow link and a busy machine.
	watchSlack = time.Second
	// sleptAfter is how much later than asked for a question ends when this process stood still meanwhile: timers on a
	// busy machine are late by less.
	standstillAfter = 500 * time.Millisecond
	// interruptEvery is the least time between two questions that are overtaken for the sake of an urgent report.
	urgentInterval = 2 * time.Second
	// freezeTime is how long open transactions and statements at a frozen leader may take to end by themselves before
	// they are cut. Most statements take tens of milliseconds; every gateway's time counts, since the failover waits.
	freezeGrace = 300 * time.Millisecond
	// goodbyeTime bounds the last word to the controller.
	leavingTimeout = 300 * time.Millisecond
)

// follow asks the controllers for news until the context ends.
func (g *Gateway) watchControllers(ctx context.Context) {
	finder := newFinder(g.seeds())
	for ctx.Err() == nil {
		select {
		case finder.seeds = <-g.seedUpdates:
		default:
		}
		if !g.watchOnce(ctx, finder) {
			pause(ctx, minRetryPause+rand.N(retryPauseSpread))
		}
	}
}

func (g *Gateway) seeds() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.settings.SeedRPCAddresses()
}

// question is one that was sent to a controller.
type watchCall struct {
	request feed.WatchRequest
	sentAt  time.Duration
	answer  feed.WatchAnswer
	err     error
}

// ask asks one controller, and tells whether the next question may follow at once.
func (g *Gateway) watchOnce(ctx context.Context, finder *finder) bool {
	address := finder.next(g.elapsed())
	if address == "" {
		return false
	}
	call := g.watchAt(ctx, address, finder.usesRelay(g.elapsed()))
	request, answer, err := call.request, call.answer, call.err
	switch {
	case err != nil && processStoodStill(g.elapsed()-call.sentAt, request.Wait+watchSlack):
		g.reports.putBack(request.Reports)
		g.logLostLease()
		return true // which says nothing about the controller
	case err != nil:
		g.reports.putBack(request.Reports)
		finder.failed(g.elapsed(), address, isRefused(err))
		g.recordFailedWatch(address, err)
		g.logLostLease()
		return false
	case answer.NotPrimary:
		g.reports.putBack(request.Reports)
		return finder.redirected(g.elapsed(), address, answer.Primary, answer.Members)
	}
	finder.answered(g.elapsed(), address, answer.Members)
	g.setPrimary(address, request.Relay)
	if !g.apply(ctx, call.sentAt, answer) {
		finder.failed(g.elapsed(), address, false)
		return false
	}
	return true
}

// askOne sends a question and waits for its answer. When there is something to report that can't wait, another question with it follows on the same
// connection, and the first one, which the controller holds back, is overtaken by it.
func (g *Gateway) watchAt(ctx context.Context, address string, relay bool) watchCall {
	timeoutCtx, cancel := context.WithTimeout(ctx, watchWaitFor(g.leaseLength())+watchSlack)
	defer cancel()
	first := g.startWatch(timeoutCtx, address, relay, true)
	if g.elapsed() < g.nextUrgentAt {
		return <-first
	}
	select {
	case call := <-first:
		return call
	case <-g.reports.urgent:
	}
	g.nextUrgentAt = g.elapsed() + urgentInterval
	second := <-g.startWatch(timeoutCtx, address, relay, false)
	overtaken := <-first
	if overtaken.err != nil {
		g.reports.putBack(overtaken.request.Reports)
	}
	return second
}

// send sends a question in the background. One that may be held back is answered when there is news.
func (g *Gateway) startWatch(ctx context.Context, address string, relay, mayWait bool) <-chan watchCall {
	done := make(chan watchCall, 1)
	call := watchCall{request: g.watchRequest()}
	call.request.Relay = relay
	if !mayWait {
		call.request.Wait = 0
	}
	call.sentAt = g.elapsed()
	go func() {
		call.answer, call.err = g.controllers.Watch(ctx, address, call.request)
		done <- call
	}()
	return done
}

func (g *Gateway) leaseLength() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.directory.leaseLength
}

// wasRefused tells whether nobody listens where the question was to go.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// noteFailedQuestion remembers whom the gateway asked in vain, and why, for the line that says that its lease is lost.
func (g *Gateway) recordFailedWatch(address string, err error) {
	const most = 4 // of the last ones
	g.failedWatches = append(g.failedWatches, fmt.Sprintf("%.1fs %s: %v", g.elapsed().Seconds(), address, err))
	if len(g.failedWatches) > most {
		g.failedWatches = g.failedWatches[1:]
	}
}

// stoodStill tells whether this process was stopped for a while during a question, since it took far longer than allowed.
func processStoodStill(took, allowed time.Duration) bool { return took > allowed+standstillAfter }

func (g *Gateway) watchRequest() feed.WatchRequest {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return feed.WatchRequest{
		Gateway:       g.identity,
		Name:          g.name,
		Applied:       g.directory.applied(),
		Digest:        g.directory.servicesDigest,
		Configuration: g.directory.table.ConfigurationNumber,
		Wait:          watchWaitFor(g.directory.leaseLength),
		Reports:       g.reports.take(),
	}
}

// watchFor is how long a controller may hold a question back under leases of this length.
func watchWaitFor(lease time.Duration) time.Duration {
	if lease <= 0 {
		return watchWait
	}
	return min(watchWait, max(minWatchWait, lease/watchesInLease))
}

// apply takes over an answer. When it returns, nothing is under way any more that the table rules out, so the next
// question may acknowledge it.
func (g *Gateway) apply(ctx context.Context, sentAt time.Duration, answer feed.WatchAnswer) bool {
	g.mutex.Lock()
	hadLease := g.directory.hasLease(g.elapsed())
	changes, err := g.directory.apply(g.elapsed(), sentAt, answer)
	if changes.hasNewConfiguration {
		g.limiter.setTenants(changes.tenants) // before any of them is let in
	}
	close(g.directoryChanged)
	g.directoryChanged = make(chan struct{})
	hasLease := g.directory.hasLease(g.elapsed())
	unused := g.removeUnusedPools()
	if changes.hasNewTable {
		g.forgetRemovedInstances()
	}
	g.mutex.Unlock()

	for _, old := range unused {
		old.close()
	}
	g.logChanges(changes, err)
	g.logAcquiredLease(hadLease, hasLease)
	g.clearConflicts(ctx)
	return err == nil
}

func (g *Gateway) logChanges(changes tableChanges, err error) {
	if err != nil {
		g.log.WithError(err).Warn("table refused")
		return
	}
	if changes.hasNewConfiguration {
		g.log.WithField("number", g.configurationNumber()).Info("configuration taken over")
	}
	if changes.affectServices() {
		g.log.WithFields(changes.fields()).Info("table taken over")
	}
}

// fields are those of the log's line: only what has changed.
func (n *tableChanges) fields() logrus.Fields {
	fields := logrus.Fields{}
	for name, services := range map[string][]string{
		"moved": n.leaderChanged, "frozen": n.frozen, "thawed": n.thawed, "draining": n.draining, "vacant": n.vacant,
	} {
		if len(services) > 0 {
			fields[name] = services
		}
	}
	return fields
}

func (g *Gateway) configurationNumber() int64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.directory.table.ConfigurationNumber
}

// clearConflicts ends what is under way at leaders that are frozen or replaced: after a short time in which it may end
// by itself, its connections are cut. It returns when nothing is left.
func (g *Gateway) clearConflicts(ctx context.Context) {
	if g.countConflicts() == 0 {
		return
	}
	patience := time.NewTimer(freezeGrace)
	defer patience.Stop()
	for g.countConflicts() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-patience.C:
			g.cutConflicts()
		case <-g.flightEnded:
		}
	}
}

// noticeLease writes a line when the lease has run out.
func (g *Gateway) logLostLease() {
	g.mutex.Lock()
	lost := g.directory.leaseUntil > 0 && !g.directory.hasLease(g.elapsed()) && !g.counters.isLeaseLossLogged
	if lost {
		g.counters.isLeaseLossLogged = true
	}
	g.mutex.Unlock()
	if lost {
		g.log.WithField("asked", strings.Join(g.failedWatches, "; ")).Warn("lease lost")
	}
}

func (g *Gateway) logAcquiredLease(had, has bool) {
	if has && !had {
		g.mutex.Lock()
		g.counters.isLeaseLossLogged = false
		g.mutex.Unlock()
		g.log.Info("lease held")
	}
}

func (g *Gateway) setPrimary(address string, relay bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.primary, g.primaryRelays = address, relay
}

// sayGoodbye tells the controller that this gateway has stopped, so that no failover waits for it. It is the last thing
// said, and it is tried once.
func (g *Gateway) announceLeaving() {
	g.mutex.Lock()
	address := g.primary
	g.mutex.Unlock()
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leavingTimeout)
	defer cancel()
	request := g.watchRequest()
	request.Leaving = true
	request.Wait = 0
	_, _ = g.controllers.Watch(ctx, address, request)
}

func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
