package gateway

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"eiderway/session"
	"eiderway/wire"
)

// poolHarness is a pool whose time, dials and timers are under the test's control. Its connections lead to a fake
// instance.
type poolHarness struct {
	*pool
	instance      *fakeInstance
	time          time.Duration
	jobs          []func()
	timers        []poolTimer
	dialed        []*wire.Conn
	instanceLimit int // that the instance accepts; 0: unlimited
	isUnreachable bool
}

type poolTimer struct {
	at   time.Duration
	work func()
}

var errUnreachable = errors.New("the instance doesn't answer")

// farDeadline is later than any wait of these tests.
const farDeadline = time.Hour

func newPoolHarness(instance *fakeInstance, allowed int) *poolHarness {
	harness := &poolHarness{instance: instance}
	key := poolKey{service: "orders", instanceID: instance.id, address: instance.address()}
	harness.pool = newPool(key, "edge-1", func() time.Duration { return harness.time }, func(string) {}, &backendCounts{})
	harness.pool.limit, harness.pool.allowed = allowed, allowed
	harness.launch = func(work func()) { harness.jobs = append(harness.jobs, work) }
	harness.schedule = func(pause time.Duration, work func()) {
		harness.timers = append(harness.timers, poolTimer{at: harness.time + pause, work: work})
	}
	harness.dial = func(ctx context.Context, tenant string) (*wire.Conn, error) {
		if harness.isUnreachable {
			return nil, errUnreachable
		}
		if harness.instanceLimit > 0 && harness.openAtInstance() >= harness.instanceLimit {
			return nil, &wire.RefusedError{Code: wire.ConnLimit}
		}
		conn, err := harness.dialInstance(ctx, tenant)
		if err == nil {
			harness.dialed = append(harness.dialed, conn)
		}
		return conn, err
	}
	return harness
}

// openAtInstance returns how many connections this pool has open at the instance.
func (h *poolHarness) openAtInstance() int {
	h.dialed = slices.DeleteFunc(h.dialed, func(conn *wire.Conn) bool { return !conn.IsUsable() })
	return len(h.dialed)
}

// closeAll closes the open connections.
func (h *poolHarness) closeAll() {
	for _, conn := range h.dialed {
		conn.Close()
	}
}

// runJobs runs what was launched, and all that follows from it, without advancing the time.
func (h *poolHarness) runJobs() {
	for len(h.jobs) > 0 {
		job := h.jobs[0]
		h.jobs = h.jobs[1:]
		job()
	}
}

// advance advances the time and runs the timers that fall due.
func (h *poolHarness) advance(duration time.Duration) {
	until := h.time + duration
	for {
		due := slices.IndexFunc(h.timers, func(timer poolTimer) bool { return timer.at <= until })
		if due < 0 {
			break
		}
		timer := h.timers[due]
		h.timers = slices.Delete(h.timers, due, due+1)
		h.time = max(h.time, timer.at)
		timer.work()
		h.runJobs()
	}
	h.time = until
}

// caller is one session of a tenant that acquires a connection.
type caller struct {
	tenant   string
	backend  *backend
	waiter   *waiter
	liveness *liveness
}

func (h *poolHarness) acquireAsync(tenant string, priority int) *caller {
	caller := &caller{tenant: tenant, liveness: &liveness{}}
	request := acquireRequest{session: session.New(), liveness: caller.liveness, tenant: tenant, priority: priority, until: farDeadline}
	caller.backend, caller.waiter, _ = h.takeOrQueue(request)
	return caller
}

// hasBackend reports whether the caller has a connection by now.
func (c *caller) hasBackend() bool {
	if c.waiter != nil {
		select {
		case c.backend = <-c.waiter.given:
			c.waiter = nil
		default:
		}
	}
	return c.backend != nil
}

// giveBack releases the caller's connection.
func (h *poolHarness) giveBack(from *caller) {
	backend := from.backend
	from.backend = nil
	h.release(backend)
}

// dialsFor returns how many connections were made for the reason.
func (h *poolHarness) dialsFor(reason dialReason) uint64 {
	return h.counts.made[reason].Load()
}

// A tenant whose connections are never idle kept all other tenants out of a full pool.
func TestTenantWithoutConnectionIsNotStarved(t *testing.T) {
	is := is.New(t)
	harness := newPoolHarness(startFakeInstance(t, "i-1"), 1)
	defer harness.closeAll()
	first := harness.acquireAsync("bakers", 1)
	harness.runJobs()
	is.True(first.hasBackend())
	other := harness.acquireAsync("smiths", 1)
	queue := []*caller{harness.acquireAsync("bakers", 1), harness.acquireAsync("bakers", 1)}
	harness.giveBack(first)
	harness.runJobs()
	is.True(other.hasBackend())
	is.Equal(other.backend.tenant, "smiths")
	harness.giveBack(other)
	harness.runJobs()
	for _, next := range queue {
		is.True(next.hasBackend())
		is.Equal(next.backend.tenant, "bakers")
		harness.giveBack(next)
	}
	is.Equal(harness.dialsFor(firstOfTenant), uint64(2))
	is.Equal(harness.dialsFor(afterEviction), uint64(1))
}

// Waiters of a higher priority took each new connection from the waiter that it was made for, so that it was made again
// and again.
func TestNewConnectionGoesToTheWaiterItWasMadeFor(t *testing.T) {
	is := is.New(t)
	harness := newPoolHarness(startFakeInstance(t, "i-1"), 1)
	defer harness.closeAll()
	low := harness.acquireAsync("bakers", 3)
	high := harness.acquireAsync("smiths", 0)
	harness.runJobs()
	is.True(low.hasBackend())
	harness.giveBack(low)
	harness.runJobs()
	is.True(high.hasBackend())
}

// A waiter whose connection could not be made waited until something else happened in the pool.
func TestFailedDialIsRetriedForWaiter(t *testing.T) {
	is := is.New(t)
	harness := newPoolHarness(startFakeInstance(t, "i-1"), 3)
	defer harness.closeAll()
	first := harness.acquireAsync("bakers", 1)
	harness.runJobs()
	is.True(first.hasBackend())
	harness.isUnreachable = true
	other := harness.acquireAsync("smiths", 1)
	harness.runJobs()
	harness.advance(2 * dialRetryPause)
	is.True(!other.hasBackend())
	harness.isUnreachable = false
	harness.advance(dialRetryPause)
	is.True(other.hasBackend())
}

// A waiter that came during the pause after a failed dial waited until something else happened in the pool.
func TestWaiterThatComesDuringThePauseGetsConnection(t *testing.T) {
	is := is.New(t)
	harness := newPoolHarness(startFakeInstance(t, "i-1"), 3)
	defer harness.closeAll()
	first := harness.acquireAsync("bakers", 1)
	harness.runJobs()
	is.True(first.hasBackend())
	harness.isUnreachable = true
	gone := harness.acquireAsync("smiths", 1)
	is.True(harness.cancelWait(gone.waiter))
	harness.runJobs()
	harness.isUnreachable = false
	other := harness.acquireAsync("smiths", 1)
	harness.advance(dialRetryPause)
	is.True(other.hasBackend())
}

// At an instance's limit a waiter was refused although this pool had idle connections.
func TestIdleConnectionMakesRoomAtTheInstancesLimit(t *testing.T) {
	is := is.New(t)
	harness := newPoolHarness(startFakeInstance(t, "i-1"), 8)
	defer harness.closeAll()
	harness.instanceLimit = 2
	caller, two := harness.acquireAsync("bakers", 1), harness.acquireAsync("smiths", 1)
	harness.runJobs()
	is.True(caller.hasBackend() && two.hasBackend())
	harness.giveBack(caller)
	other := harness.acquireAsync("weavers", 1)
	harness.runJobs()
	is.True(other.hasBackend())
	is.Equal(harness.counts.limited.Load(), uint64(1))
	is.Equal(harness.retention.liveTime, maxLiveTime/2)
}

func TestLeastValuableIdleConnectionIsClosedFirst(t *testing.T) {
	is := is.New(t)
	harness := newPoolHarness(startFakeInstance(t, "i-1"), 3)
	defer harness.closeAll()
	for _, tenant := range []string{"bakers", "smiths", "weavers"} {
		caller := harness.acquireAsync(tenant, 1)
		harness.runJobs()
		is.True(caller.hasBackend())
		harness.giveBack(caller)
		if tenant == "smiths" {
			caller.liveness.end()
		}
		harness.advance(time.Millisecond)
	}
	idleTenants := func() (tenants []string) {
		for _, unused := range harness.idle {
			tenants = append(tenants, unused.tenant)
		}
		return tenants
	}
	harness.acquireAsync("tanners", 1)
	harness.runJobs()
	is.Equal(idleTenants(), []string{"bakers", "weavers"}) // the smiths' session had ended
	harness.acquireAsync("coopers", 1)
	harness.runJobs()
	is.Equal(idleTenants(), []string{"weavers"})
}

// Idle connections that each gateway kept for each tenant filled up the instances, so that operations were refused.
func TestIdleConnectionsOfTenantsAreKeptForSeconds(t *testing.T) {
	is := is.New(t)
	harness := newPoolHarness(startFakeInstance(t, "i-1"), 20)
	defer harness.closeAll()
	tenants := []string{"", "", "", "bakers", "smiths", "weavers", "tanners"}
	var callers []*caller
	for _, tenant := range tenants {
		callers = append(callers, harness.acquireAsync(tenant, 1))
	}
	harness.runJobs()
	for _, caller := range callers {
		is.True(caller.hasBackend())
		harness.giveBack(caller)
	}
	callers[len(callers)-1].liveness.end()
	sizeAfter := func(after time.Duration) int {
		harness.advance(after - harness.time)
		harness.trim()
		return harness.size()
	}
	is.Equal(sizeAfter(endedTime-1), 7)
	is.Equal(sizeAfter(endedTime), 6)   // without that of the tanners, whose session has ended
	is.Equal(sizeAfter(surplusTime), 5) // without that of the bakers, since two others were used later
	is.Equal(sizeAfter(maxLiveTime-1), 5)
	is.Equal(sizeAfter(maxLiveTime), 3) // those without a tenant are kept longer
	is.Equal(sizeAfter(maxIdleTime), 3)
	is.Equal(sizeAfter(maxIdleTime+1), 2)
	is.Equal(sizeAfter(24*time.Hour), 2)
	is.Equal(len(harness.tenants), 5)
	harness.forgetTenants()
	is.Equal(len(harness.tenants), 1) // the names of tenants are forgotten
	is.Equal(harness.tenants[""].open, harness.open)
}

func TestRetentionHalvesAtTheLimitAndGrowsSlowly(t *testing.T) {
	is := is.New(t)
	retention := newRetention()
	retention.shorten(0)
	retention.shorten(shortenPause - 1) // counts with the one before
	is.Equal(retention.liveTime, maxLiveTime/2)
	now := time.Duration(0)
	for range 20 {
		now += shortenPause
		retention.shorten(now)
	}
	is.Equal(retention.liveTime, minLiveTime)
	is.Equal(retention.keepTime(false, 0), minLiveTime)
	retention.lengthen(now + lengthenInterval - 1)
	is.Equal(retention.liveTime, minLiveTime)
	retention.lengthen(now + lengthenInterval)
	retention.lengthen(now + lengthenInterval + 1)
	is.Equal(retention.liveTime, minLiveTime+lengthenBy)
	for range 100 {
		now += 2 * lengthenInterval
		retention.lengthen(now)
	}
	is.Equal(retention.liveTime, maxLiveTime)
}

// UNASKED: a connection made for one tenant was lent to a session of another. Also, waiters must not wait for ever.
func TestPoolOfTenantsUnderRandomUse(t *testing.T) {
	instance := startFakeInstance(t, "i-1")
	rapid.Check(t, func(t *rapid.T) {
		use := &randomPoolUse{T: t, poolHarness: newPoolHarness(instance, rapid.IntRange(1, 5).Draw(t, "most"))}
		defer use.closeAll()
		use.instanceLimit = rapid.IntRange(0, 5).Draw(t, "limit")
		t.Repeat(map[string]func(*rapid.T){
			"ask":   use.acquireAny,
			"work":  func(*rapid.T) { use.runJobs() },
			"free":  func(t *rapid.T) { use.returnAny(t, use.giveBack) },
			"drop":  func(t *rapid.T) { use.returnAny(t, use.discardBackend) },
			"leave": use.cancelAnyWait,
			"pass":  func(t *rapid.T) { use.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond) },
			"trim":  func(*rapid.T) { use.trim() },
			"deaf":  func(t *rapid.T) { use.isUnreachable = rapid.Bool().Draw(t, "deaf") },
			"":      use.check,
		})
		use.serveEveryone()
	})
}

// randomPoolUse uses a pool at random.
type randomPoolUse struct {
	*rapid.T
	*poolHarness
	callers []*caller
}

func (u *randomPoolUse) acquireAny(t *rapid.T) {
	tenant := rapid.SampledFrom([]string{"bakers", "smiths", "weavers", ""}).Draw(t, "tenant")
	u.callers = append(u.callers, u.acquireAsync(tenant, rapid.IntRange(0, 2).Draw(t, "priority")))
}

// holders returns the callers that have a connection.
func (u *randomPoolUse) holders() []*caller {
	return slices.DeleteFunc(slices.Clone(u.callers), func(caller *caller) bool { return !caller.hasBackend() })
}

func (u *randomPoolUse) returnAny(t *rapid.T, give func(*caller)) {
	holders := u.holders()
	if len(holders) == 0 {
		return
	}
	chosen := rapid.SampledFrom(holders).Draw(t, "caller")
	if rapid.Bool().Draw(t, "ends") {
		chosen.liveness.end()
	}
	give(chosen)
}

func (u *randomPoolUse) discardBackend(from *caller) {
	backend := from.backend
	from.backend = nil
	u.discard(backend)
}

// cancelAnyWait lets the wait of one waiter time out.
func (u *randomPoolUse) cancelAnyWait(t *rapid.T) {
	waiting := slices.DeleteFunc(slices.Clone(u.callers), func(caller *caller) bool { return caller.hasBackend() || caller.waiter == nil })
	if len(waiting) == 0 {
		return
	}
	chosen := rapid.SampledFrom(waiting).Draw(t, "caller")
	if u.cancelWait(chosen.waiter) {
		chosen.waiter = nil
	}
}

// check checks the invariants.
func (u *randomPoolUse) check(*rapid.T) {
	lent, dialing, openByTenant := 0, 0, 0
	for _, caller := range u.holders() {
		lent++
		if caller.backend.tenant != caller.tenant {
			u.Fatalf("a connection of %q is lent to %q", caller.backend.tenant, caller.tenant)
		}
	}
	for _, use := range u.tenants {
		dialing += use.dialing
		openByTenant += use.open
	}
	if u.open != lent+dialing+len(u.idle) || u.open != openByTenant {
		u.Fatalf("open %d, by tenants %d, but lent %d, being made %d, idle %d", u.open, openByTenant, lent, dialing, len(u.idle))
	}
	if u.open > u.allowed || u.allowed > u.pool.limit {
		u.Fatalf("open %d, allowed %d, limit %d", u.open, u.allowed, u.pool.limit)
	}
	if dialing == 0 && u.time >= u.retryAt && len(u.waiting) > 0 && len(u.idle) > 0 {
		u.Fatalf("%d wait while %d are idle", len(u.waiting), len(u.idle))
	}
}

// repeatPriority is the priority of repeated requests, below that of all others.
const repeatPriority = 9

// serveEveryone requires that, once the instance answers and connections are given back, every waiter gets a connection
// made under its tenant's name, even though other sessions of tenants with connections acquire again and again.
func (u *randomPoolUse) serveEveryone() {
	u.isUnreachable, u.poolHarness.instanceLimit = false, 0
	for range 3 * (len(u.callers) + 1) {
		u.advance(dialRetryPause)
		u.runJobs()
		u.check(u.T)
		for _, caller := range u.holders() {
			u.checkRunsAs(caller)
			again := u.acquireAsync(caller.tenant, repeatPriority)
			u.giveBack(caller)
			u.callers = append(u.callers, again)
		}
	}
	left := slices.IndexFunc(u.waiting, func(waiter *waiter) bool { return waiter.priority < repeatPriority })
	if left >= 0 {
		u.Fatalf("%q waits for ever: %d open of %d", u.waiting[left].tenant, u.open, u.allowed)
	}
}

func (u *randomPoolUse) checkRunsAs(caller *caller) {
	want := caller.tenant
	if want == "" {
		want = u.defaultUser
	}
	if _, err := caller.backend.conn.QueryUntil(time.Now().Add(5*time.Second), "1", "FETCH a"); err != nil {
		u.Fatal(err)
	}
	if got := u.lastUser(); got != want {
		u.Fatalf("a statement of %q ran for %q", want, got)
	}
}

// lastUser returns the name under which the last statement ran. It avoids copying the instance's long list of
// statements.
func (u *randomPoolUse) lastUser() string {
	u.instance.mutex.Lock()
	defer u.instance.mutex.Unlock()
	return u.instance.statements[len(u.instance.statements)-1].user
}
