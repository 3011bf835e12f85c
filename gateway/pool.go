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
	// poolShare is the part of an instance's connections that one gateway takes at most: the others, whose number it
	// doesn't know, need some too, and so do controllers, replicas and gateways that still close theirs.
	poolShare = 4
	// poolLeast is what a pool may hold in any case, and what is tried where the configuration says nothing.
	minPoolSize = 4
	// rollbackTime bounds the end of a transaction that its session has given up. It needs no slot.
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
	lastUser *liveness // of the session that had it last; nil: nobody's yet
}

// ask is what a statement wants of a pool: a connection of its tenant's, for its session, at the latest at until.
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
	given chan *backend // takes one; nil: there won't be one
}

// poolKey names an instance as a leader.
type poolKey struct {
	service    string
	instanceID string
	address    string
}

// pool holds the connections to one instance. Each is lent to sessions of the tenant only under whose name it was made, and in whose name the
// instance runs what is sent on it.
type pool struct {
	key           poolKey
	defaultUser   string
	now           func() time.Duration
	reportFailure func(instanceID string) // is told of connections that could not be made, while the instance leads
	isLeader      atomic.Bool
	counts        *backendCounts

	// What tests put in other words.
	dial     func(ctx context.Context, tenant string) (*wire.Conn, error)
	launch   func(func())
	schedule func(time.Duration, func())

	mutex            sync.Mutex
	idle             []*backend            // the one used last is the last
	waiting          []*waiter             // by priority, then by time left
	open             int                   // idle, lent, and being made
	tenants          map[string]*tenantUse // by tenant
	limit            int                   // by the configuration
	allowed          int                   // as far as the instance has let us
	growAt           time.Duration
	retryAt          time.Duration
	isRetryScheduled bool // there will be another try at retryAt
	retention        retention
	closed           bool
}

// part is what a pool holds of one tenant.
type tenantUse struct {
	open       int // idle, lent, and being made
	dialing    int
	lastReason dialReason // what became of the last one, without any
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

// allow sets how many connections the instance takes from all its callers.
func (p *pool) setMaxConnections(maxConnections int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	limit := max(minPoolSize, maxConnections/poolShare)
	if limit != p.limit {
		p.limit, p.allowed = limit, limit
	}
}

// acquire lends a connection.
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
		if backend.conn.Usable() {
			return backend, nil
		}
		p.discard(backend)
	}
}

func (p *pool) takeOrQueue(request acquireRequest) (*backend, *waiter, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
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
	place, _ := slices.BinarySearchFunc(p.waiting, waiter, waitsAfter)
	p.waiting = slices.Insert(p.waiting, place, waiter)
	p.dialForWaiters(now)
	return nil, waiter, nil
}

// waitsAfter orders the queue: by priority, then by time left; of equals, who came first.
func waitsAfter(a, b *waiter) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	if a.until <= b.until {
		return -1
	}
	return 1
}

// await waits for a connection to be handed over.
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

// giveUp takes a waiter out of the queue, and tells whether it was still there: otherwise it has been given something.
func (p *pool) cancelWait(waiter *waiter) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	place := slices.Index(p.waiting, waiter)
	if place < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, place, place+1)
	return true
}

func backendOrError(backend *backend) (*backend, error) {
	if backend == nil {
		return nil, errNoConnection
	}
	return backend, nil
}

// refuseAll sends all who wait away. It is called with the lock held.
func (p *pool) refuseWaiters() {
	for _, waiter := range p.waiting {
		waiter.given <- nil
	}
	p.waiting = nil
}

// hand passes a sound connection on: to whoever of its tenant waits, unless somebody of another tenant needs its room first; else it is kept. It
// is called with the lock held.
func (p *pool) handOver(backend *backend) {
	now := p.now()
	switch {
	case p.closed:
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

// mustGiveWay tells whether the pool is full, and the first who waits and could be helped is of another tenant: without this, tenants whose
// connections are never idle would keep all others out for ever. It is called with the lock held.
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

// handToWaiter gives a connection to whoever of its tenant waits first, and tells whether somebody does. It is called with the lock held.
func (p *pool) giveToWaiter(backend *backend) bool {
	place := slices.IndexFunc(p.waiting, func(waiter *waiter) bool { return waiter.tenant == backend.tenant })
	if place < 0 {
		return false
	}
	backend.lastUser = p.waiting[place].liveness
	p.waiting[place].given <- backend
	p.waiting = slices.Delete(p.waiting, place, place+1)
	return true
}

// free takes back a sound connection that is outside a transaction.
func (p *pool) release(backend *backend) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.handOver(backend)
}

// drop takes back a connection that can't be used any more, and closes it.
func (p *pool) discard(backend *backend) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closeBackend(backend, afterBroken)
	p.dialForWaiters(p.now())
}

// rollback ends the transaction on a connection whose session has given it up, and takes the connection back. It
// doesn't wait for it.
func (p *pool) rollback(backend *backend) {
	p.launch(func() {
		answer, err := backend.conn.QueryBy(time.Now().Add(rollbackTimeout), wire.OwnID, string(wire.Abort))
		if err != nil || answer.Code != "" || answer.State != wire.Idle {
			p.discard(backend)
			return
		}
		backend.state.Ended(true)
		p.release(backend)
	})
}

// close ends the use of the instance: idle connections are closed now, lent ones when they are given back.
func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	p.closeIdle(afterBroken, func(*backend) bool { return true })
	p.refuseWaiters()
}

// size is how many connections there are.
func (p *pool) size() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}
