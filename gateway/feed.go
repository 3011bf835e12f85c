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
	watchLeast = 50 * time.Millisecond
	// watchSlack is added to it before a question is given up: a slow link and a busy machine.
	watchSlack = time.Second
	// sleptAfter is how much later than asked for a question ends when this process stood still meanwhile: timers on a
	// busy machine are late by less.
	sleptAfter = 500 * time.Millisecond
	// interruptEvery is the least time between two questions that are overtaken for the sake of an urgent report.
	interruptEvery = 2 * time.Second
	// freezeTime is how long open transactions and statements at a frozen leader may take to end by themselves before
	// they are cut. Most statements take tens of milliseconds; every gateway's time counts, since the failover waits.
	freezeTime = 300 * time.Millisecond
	// goodbyeTime bounds the last word to the controller.
	goodbyeTime = 300 * time.Millisecond
)

// follow asks the controllers for news until the context ends.
func (g *Gateway) follow(ctx context.Context) {
	search := newFinder(g.seeds())
	for ctx.Err() == nil {
		select {
		case search.seeds = <-g.reseed:
		default:
		}
		if !g.ask(ctx, search) {
			pause(ctx, pauseLeast+rand.N(pauseSpread))
		}
	}
}

func (g *Gateway) seeds() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.settings.SeedRPCAddresses()
}

// question is one that was sent to a controller.
type question struct {
	request feed.WatchRequest
	sentAt  time.Duration
	answer  feed.WatchAnswer
	err     error
}

// ask asks one controller, and tells whether the next question may follow at once.
func (g *Gateway) ask(ctx context.Context, search *finder) bool {
	address := search.next(g.now())
	if address == "" {
		return false
	}
	asked := g.askOne(ctx, address, search.relays(g.now()))
	request, answer, err := asked.request, asked.answer, asked.err
	switch {
	case err != nil && stoodStill(g.now()-asked.sentAt, request.Wait+watchSlack):
		g.reports.putBack(request.Reports)
		g.noticeLease()
		return true // which says nothing about the controller
	case err != nil:
		g.reports.putBack(request.Reports)
		search.failed(g.now(), address, wasRefused(err))
		g.noteFailedQuestion(address, err)
		g.noticeLease()
		return false
	case answer.NotPrimary:
		g.reports.putBack(request.Reports)
		return search.sentOn(g.now(), address, answer.Primary, answer.Members)
	}
	search.answered(g.now(), address, answer.Members)
	g.rememberPrimary(address, request.Relay)
	if !g.apply(ctx, asked.sentAt, answer) {
		search.failed(g.now(), address, false)
		return false
	}
	return true
}

// askOne sends a question and waits for its answer. When there is something to report that can't wait, another question with it follows on the same
// connection, and the first one, which the controller holds back, is overtaken by it.
func (g *Gateway) askOne(ctx context.Context, address string, relay bool) question {
	limited, cancel := context.WithTimeout(ctx, watchFor(g.lease())+watchSlack)
	defer cancel()
	first := g.send(limited, address, relay, true)
	if g.now() < g.calmUntil {
		return <-first
	}
	select {
	case ended := <-first:
		return ended
	case <-g.reports.urgent:
	}
	g.calmUntil = g.now() + interruptEvery
	second := <-g.send(limited, address, relay, false)
	overtaken := <-first
	if overtaken.err != nil {
		g.reports.putBack(overtaken.request.Reports)
	}
	return second
}

// send sends a question in the background. One that may be held back is answered when there is news.
func (g *Gateway) send(ctx context.Context, address string, relay, heldBack bool) <-chan question {
	ended := make(chan question, 1)
	sent := question{request: g.question()}
	sent.request.Relay = relay
	if !heldBack {
		sent.request.Wait = 0
	}
	sent.sentAt = g.now()
	go func() {
		sent.answer, sent.err = g.watcher.Watch(ctx, address, sent.request)
		ended <- sent
	}()
	return ended
}

func (g *Gateway) lease() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.directory.lease
}

// wasRefused tells whether nobody listens where the question was to go.
func wasRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// noteFailedQuestion remembers whom the gateway asked in vain, and why, for the line that says that its lease is lost.
func (g *Gateway) noteFailedQuestion(address string, err error) {
	const most = 4 // of the last ones
	g.failedQuestions = append(g.failedQuestions, fmt.Sprintf("%.1fs %s: %v", g.now().Seconds(), address, err))
	if len(g.failedQuestions) > most {
		g.failedQuestions = g.failedQuestions[1:]
	}
}

// stoodStill tells whether this process was stopped for a while during a question, since it took far longer than allowed.
func stoodStill(took, allowed time.Duration) bool { return took > allowed+sleptAfter }

func (g *Gateway) question() feed.WatchRequest {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return feed.WatchRequest{
		Gateway:       g.identity,
		Name:          g.name,
		Applied:       g.directory.applied(),
		Digest:        g.directory.digest,
		Configuration: g.directory.table.ConfigurationNumber,
		Wait:          watchFor(g.directory.lease),
		Reports:       g.reports.take(),
	}
}

// watchFor is how long a controller may hold a question back under leases of this length.
func watchFor(lease time.Duration) time.Duration {
	if lease <= 0 {
		return watchWait
	}
	return min(watchWait, max(watchLeast, lease/watchesInLease))
}

// apply takes over an answer. When it returns, nothing is under way any more that the table rules out, so the next
// question may acknowledge it.
func (g *Gateway) apply(ctx context.Context, sentAt time.Duration, answer feed.WatchAnswer) bool {
	g.mutex.Lock()
	hadLease := g.directory.leased(g.now())
	changes, err := g.directory.take(g.now(), sentAt, answer)
	if changes.configured {
		g.allowance.limit(changes.tenants) // before any of them is let in
	}
	close(g.news)
	g.news = make(chan struct{})
	hasLease := g.directory.leased(g.now())
	unused := g.takeUnusedPools()
	if changes.table {
		g.forgetReads()
	}
	g.mutex.Unlock()

	for _, old := range unused {
		old.close()
	}
	g.logChanges(changes, err)
	g.logLease(hadLease, hasLease)
	g.clearConflicts(ctx)
	return err == nil
}

func (g *Gateway) logChanges(changes news, err error) {
	if err != nil {
		g.log.WithError(err).Warn("table refused")
		return
	}
	if changes.configured {
		g.log.WithField("number", g.configurationNumber()).Info("configuration taken over")
	}
	if changes.ofServices() {
		g.log.WithFields(changes.fields()).Info("table taken over")
	}
}

// fields are those of the log's line: only what has changed.
func (n *news) fields() logrus.Fields {
	fields := logrus.Fields{}
	for name, services := range map[string][]string{
		"moved": n.moved, "frozen": n.froze, "thawed": n.thawed, "draining": n.draining, "vacant": n.vacant,
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
	if g.conflicts() == 0 {
		return
	}
	patience := time.NewTimer(freezeTime)
	defer patience.Stop()
	for g.conflicts() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-patience.C:
			g.cutConflicts()
		case <-g.landed:
		}
	}
}

// noticeLease writes a line when the lease has run out.
func (g *Gateway) noticeLease() {
	g.mutex.Lock()
	lost := g.directory.leaseUntil > 0 && !g.directory.leased(g.now()) && !g.counters.leaseLost
	if lost {
		g.counters.leaseLost = true
	}
	g.mutex.Unlock()
	if lost {
		g.log.WithField("asked", strings.Join(g.failedQuestions, "; ")).Warn("lease lost")
	}
}

func (g *Gateway) logLease(had, has bool) {
	if has && !had {
		g.mutex.Lock()
		g.counters.leaseLost = false
		g.mutex.Unlock()
		g.log.Info("lease held")
	}
}

func (g *Gateway) rememberPrimary(address string, relay bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.primary, g.primaryRelays = address, relay
}

// sayGoodbye tells the controller that this gateway has stopped, so that no failover waits for it. It is the last thing
// said, and it is tried once.
func (g *Gateway) sayGoodbye() {
	g.mutex.Lock()
	address := g.primary
	g.mutex.Unlock()
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), goodbyeTime)
	defer cancel()
	request := g.question()
	request.Leaving = true
	request.Wait = 0
	_, _ = g.watcher.Watch(ctx, address, request)
}

func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
