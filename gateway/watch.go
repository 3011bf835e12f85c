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
	// watchWait is the longest that a controller may hold a watch when there is no news, since each watch costs both
	// sides some work.
	watchWait = 600 * time.Millisecond
	// watchesInLease is how many held watches fit into a lease. A lease counts from the sending of its watch, so one
	// such time is over when it arrives with the answer, and the next answer comes another one later. The third leaves
	// room for a slow answer.
	watchesInLease = 3
	// minWatchWait is the shortest wait that is requested, however short the leases are.
	minWatchWait = 50 * time.Millisecond
	// watchSlack is added to the wait before a watch is given up, for a slow link and a busy machine.
	watchSlack = time.Second
	// standstillAfter is how much later than its limit a watch must end for this process to conclude that it stood
	// still meanwhile. Timers on a busy machine are late by less.
	standstillAfter = 500 * time.Millisecond
	// urgentInterval is the minimum time between two watches that are overtaken by an urgent report.
	urgentInterval = 2 * time.Second
	// freezeGrace is how long open transactions and statements at a frozen leader may take to end by themselves before
	// they are cut. Most statements take tens of milliseconds, and the failover waits for every gateway.
	freezeGrace = 300 * time.Millisecond
	// leavingTimeout bounds the final request to the controller.
	leavingTimeout = 300 * time.Millisecond
)

// watchControllers watches the controllers for news until the context ends.
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

// watchCall is a watch that was sent to a controller, with its result.
type watchCall struct {
	request feed.WatchRequest
	sentAt  time.Duration
	answer  feed.WatchAnswer
	err     error
}

// watchOnce watches one controller and reports whether the next watch may follow at once.
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
		return true // the failure says nothing about the controller
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

// watchAt sends a watch and waits for its answer. An urgent report is sent with a second watch on the same connection.
// That one overtakes the first, which the controller holds.
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

// startWatch sends a watch in the background. If it may wait, the controller holds it until there is news.
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

// isRefused reports whether nobody listens at the address.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// recordFailedWatch remembers which controller didn't answer and why, for the log line about a lost lease.
func (g *Gateway) recordFailedWatch(address string, err error) {
	const limit = 4 // the most recent ones
	g.failedWatches = append(g.failedWatches, fmt.Sprintf("%.1fs %s: %v", g.elapsed().Seconds(), address, err))
	if len(g.failedWatches) > limit {
		g.failedWatches = g.failedWatches[1:]
	}
}

// processStoodStill reports whether this process was stopped during a call, which is when the call took far longer than
// allowed.
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

// watchWaitFor returns how long a controller may hold a watch under leases of this length.
func watchWaitFor(lease time.Duration) time.Duration {
	if lease <= 0 {
		return watchWait
	}
	return min(watchWait, max(minWatchWait, lease/watchesInLease))
}

// apply takes over an answer. When it returns, nothing that the new table rules out is in flight any more, so the next
// watch may acknowledge the table.
func (g *Gateway) apply(ctx context.Context, sentAt time.Duration, answer feed.WatchAnswer) bool {
	g.mutex.Lock()
	hadLease := g.directory.hasLease(g.elapsed())
	changes, err := g.directory.apply(g.elapsed(), sentAt, answer)
	if changes.hasNewConfiguration {
		g.limiter.setTenants(changes.tenants) // before any of them is admitted
	}
	close(g.directoryChanged)
	g.directoryChanged = make(chan struct{})
	hasLease := g.directory.hasLease(g.elapsed())
	unused := g.removeUnusedPools()
	if changes.hasNewTable {
		g.forgetRemovedInstances()
	}
	g.mutex.Unlock()

	for _, pool := range unused {
		pool.close()
	}
	g.logChanges(changes, err)
	g.logAcquiredLease(hadLease, hasLease)
	g.clearConflicts(ctx)
	return err == nil
}

func (g *Gateway) logChanges(changes tableChanges, err error) {
	if err != nil {
		g.log.WithError(err).Warn("table rejected")
		return
	}
	if changes.hasNewConfiguration {
		g.log.WithField("number", g.configurationNumber()).Info("configuration taken over")
	}
	if changes.affectServices() {
		g.log.WithFields(changes.fields()).Info("table taken over")
	}
}

// fields returns the fields of the log line: only what has changed.
func (c *tableChanges) fields() logrus.Fields {
	fields := logrus.Fields{}
	for name, services := range map[string][]string{
		"moved": c.leaderChanged, "frozen": c.frozen, "thawed": c.thawed, "draining": c.draining, "vacant": c.vacant,
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

// clearConflicts ends what is in flight at leaders that are frozen or replaced. It may end by itself for a short time;
// then its connections are cut. clearConflicts returns when nothing is left.
func (g *Gateway) clearConflicts(ctx context.Context) {
	if g.countConflicts() == 0 {
		return
	}
	timer := time.NewTimer(freezeGrace)
	defer timer.Stop()
	for g.countConflicts() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			g.cutConflicts()
		case <-g.flightEnded:
		}
	}
}

// logLostLease logs that the lease has run out, once until it is acquired again.
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
		g.log.Info("lease acquired")
	}
}

func (g *Gateway) setPrimary(address string, relay bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.primary, g.primaryRelays = address, relay
}

// announceLeaving tells the controller that this gateway has stopped, so that no failover waits for it. It is the
// gateway's last request, and it isn't repeated.
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
