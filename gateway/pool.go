package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"eiderway/session"
	"eiderway/wire"
)

const (
	// poolShare is the divisor that gives the part of an instance's connections that one gateway takes at most. The
	// other gateways, whose number it doesn't know, need some too, and so do controllers, replicas and gateways that
	// are still closing theirs.
	poolShare = 4
	// minPoolSize is what a pool may hold in any case, and its limit where the configuration has none.
	minPoolSize = 4
	// rollbackTimeout bounds the rollback of a transaction that its session has abandoned. A rollback needs no slot at
	// the instance.
	rollbackTimeout = time.Second
)

var (
	errNoConnection = eris.New("no connection to spare")
	errPoolClosed   = eris.New("the instance isn't used any more")
)

// backend is a connection to an instance.
type backend struct {
	pool     *pool
	tenant   string // under whose name it was made
	conn     *wire.Conn
	state    *session.Backend
	lastUsed time.Duration
	lastUser *liveness // the session that used it last; nil: none has yet
}

// acquireRequest is a statement's request for a connection of its tenant, suited to its session, no later than until.
type acquireRequest struct {
	session  *session.Session
	liveness *liveness
	tenant   string
	priority int
	until    time.Duration
}

// waiter is a statement that waits for a connection.
type waiter struct {
	acquireRequest
	given chan *backend // receives one connection; nil if there won't be one
}

// poolKey identifies an instance of a service at one address.
type poolKey struct {
	service    string
	instanceID string
	address    string
}

// pool holds the connections to one instance. A connection is made under the name of a tenant, and the instance runs
// whatever is sent on it in that name, so it is lent only to sessions of that tenant.
type pool struct {
	key           poolKey
	defaultUser   string
	now           func() time.Duration
	reportFailure func(instanceID string) // called when a connection to the leader could not be made
	isLeader      atomic.Bool
	counts        *backendCounts

	// Tests replace these.
	dial     func(ctx context.Context, tenant string) (*wire.Conn, error)
	launch   func(func())
	schedule func(time.Duration, func())

	mutex            sync.Mutex
	idle             []*backend            // the most recently used one is last
	waiting          []*waiter             // by priority, then by time left
	open             int                   // idle, lent and being made
	tenants          map[string]*tenantUse // by tenant
	limit            int                   // by the configuration
	allowed          int                   // what the instance has accepted; at most the limit
	growAt           time.Duration
	retryAt          time.Duration
	isRetryScheduled bool // a timer for retryAt is running
	retention        retention
	isClosed         bool
}

// tenantUse is what a pool holds for one tenant.
type tenantUse struct {
	open       int // idle, lent and being made
	dialing    int
	lastReason dialReason // why the last connection closed; counted for the next one if none is open
	closedAt   time.Duration
}

func newPool(key poolKey, defaultUser string, now func() time.Duration, reportFailure func(string), counts *backendCounts) *pool {
	pool := &pool{
		key: key, defaultUser: defaultUser, now: now, reportFailure: reportFailure, counts: counts,
		limit: minPoolSize, allowed: minPoolSize, tenants: map[string]*tenantUse{}, retention: newRetention(),
	}
	pool.dial = pool.dialInstance
	pool.launch = func(work func()) { go work() }
	pool.schedule = func(pause time.Duration, work func()) { time.AfterFunc(pause, work) }
	return pool
}

// setMaxConnections sets how many connections the instance accepts from all its callers.
func (p *pool) setMaxConnections(maxConnections int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	limit := max(minPoolSize, maxConnections/poolShare)
	if limit != p.limit {
		p.limit, p.allowed = limit, limit
	}
}

// acquire lends a connection, which the caller gives back with release, discard or rollback.
func (p *pool) acquire(request acquireRequest) (*backend, error) {
	for {
		backend, waiter, err := p.takeOrQueue(request)
		if err != nil {
			return nil, err
		}
		if waiter != nil {
			backend, err = p.await(waiter)
			if err != nil {
				return nil, err
			}
		}
		if backend.conn.IsUsable() {
			return backend, nil
		}
		p.discard(backend)
	}
}

func (p *pool) takeOrQueue(request acquireRequest) (*backend, *waiter, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isClosed {
		return nil, nil, errPoolClosed
	}
	if backend := p.takeIdle(request); backend != nil {
		return backend, nil, nil
	}
	now := p.now()
	if now >= request.until || (p.open == 0 && now < p.retryAt) {
		return nil, nil, errNoConnection
	}
	waiter := &waiter{acquireRequest: request, given: make(chan *backend, 1)}
	index, _ := slices.BinarySearchFunc(p.waiting, waiter, waitsAfter)
	p.waiting = slices.Insert(p.waiting, index, waiter)
	p.dialForWaiters(now)
	return nil, waiter, nil
}

// waitsAfter orders the queue by priority, then by time left, then by arrival.
func waitsAfter(a, b *waiter) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	if a.until <= b.until {
		return -1
	}
	return 1
}

// await waits for a connection to be given to the waiter.
func (p *pool) await(waiter *waiter) (*backend, error) {
	timer := time.NewTimer(waiter.until - p.now())
	defer timer.Stop()
	select {
	case backend := <-waiter.given:
		return backendOrError(backend)
	case <-timer.C:
	}
	if p.cancelWait(waiter) {
		return nil, errNoConnection
	}
	return backendOrError(<-waiter.given)
}

// cancelWait takes a waiter out of the queue and reports whether it was still there. If it wasn't, something has been
// given to it.
func (p *pool) cancelWait(waiter *waiter) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	index := slices.Index(p.waiting, waiter)
	if index < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, index, index+1)
	return true
}

func backendOrError(backend *backend) (*backend, error) {
	if backend == nil {
		return nil, errNoConnection
	}
	return backend, nil
}

// refuseWaiters tells all waiters that there won't be a connection. The caller holds the lock.
func (p *pool) refuseWaiters() {
	for _, waiter := range p.waiting {
		waiter.given <- nil
	}
	p.waiting = nil
}

// handOver passes a usable connection to the first waiter of its tenant, unless a waiter of another tenant needs its
// room first. Without a waiter the connection stays idle. The caller holds the lock.
func (p *pool) handOver(backend *backend) {
	now := p.now()
	switch {
	case p.isClosed:
		p.closeBackend(backend, afterBroken)
	case p.mustGiveWay(now, backend.tenant):
		p.closeBackend(backend, afterEviction)
		p.dialForWaiters(now)
	case p.giveToWaiter(backend):
	default:
		backend.lastUsed = now
		p.idle = append(p.idle, backend)
	}
}

// mustGiveWay reports whether the pool is full and the first waiter that could be served is of another tenant. Without
// this, tenants whose connections are never idle would keep all others out for ever. The caller holds the lock.
func (p *pool) mustGiveWay(now time.Duration, tenant string) bool {
	if p.open < p.allowed || now < p.retryAt {
		return false
	}
	unserved := p.waitersWithoutDial()
	for _, waiter := range p.waiting {
		if waiter.tenant == tenant {
			return false
		}
		if len(unserved) > 0 && unserved[0] == waiter {
			return true
		}
	}
	return false
}

// giveToWaiter gives a connection to the first waiter of its tenant and reports whether there is one. The caller holds
// the lock.
func (p *pool) giveToWaiter(backend *backend) bool {
	index := slices.IndexFunc(p.waiting, func(waiter *waiter) bool { return waiter.tenant == backend.tenant })
	if index < 0 {
		return false
	}
	backend.lastUser = p.waiting[index].liveness
	p.waiting[index].given <- backend
	p.waiting = slices.Delete(p.waiting, index, index+1)
	return true
}

// release takes back a usable connection that is outside a transaction.
func (p *pool) release(backend *backend) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.handOver(backend)
}

// discard takes back a connection that can't be used any more, and closes it.
func (p *pool) discard(backend *backend) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closeBackend(backend, afterBroken)
	p.dialForWaiters(p.now())
}

// rollback ends the transaction on a connection that its session has abandoned, and takes the connection back. It
// returns before that is done.
func (p *pool) rollback(backend *backend) {
	p.launch(func() {
		answer, err := backend.conn.QueryUntil(time.Now().Add(rollbackTimeout), wire.InternalID, string(wire.Abort))
		if err != nil || answer.Code != "" || answer.State != wire.Idle {
			p.discard(backend)
			return
		}
		backend.state.EndTransaction(true)
		p.release(backend)
	})
}

// close ends the use of the instance. Idle connections are closed now, lent ones when they are given back.
func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isClosed = true
	p.closeIdle(afterBroken, func(*backend) bool { return true })
	p.refuseWaiters()
}

// size returns the number of connections, including those that are being made.
func (p *pool) size() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}
