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
	poolLeast = 4
	// rollbackTime bounds the end of a transaction that its session has given up. It needs no slot.
	rollbackTime = time.Second
)

var (
	errNoConnection = eris.New("no connection to spare")
	errPoolClosed   = eris.New("the instance isn't used any more")
)

// backend is a connection to an instance.
type backend struct {
	home     *pool
	tenant   string // under whose name it was made
	conn     *wire.Conn
	state    *session.Backend
	lastUsed time.Duration
	wantedBy *interest // of the session that had it last; nil: nobody's yet
}

// ask is what a statement wants of a pool: a connection of its tenant's, for its session, at the latest at until.
type ask struct {
	session  *session.Session
	interest *interest
	tenant   string
	priority int
	until    time.Duration
}

// waiter is a statement that waits for a connection.
type waiter struct {
	ask
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
	key    poolKey
	who    string
	now    func() time.Duration
	failed func(instanceID string) // is told of connections that could not be made, while the instance leads
	leads  atomic.Bool
	counts *backendCounts

	// What tests put in other words.
	dial   func(ctx context.Context, tenant string) (*wire.Conn, error)
	launch func(func())
	after  func(time.Duration, func())

	mutex     sync.Mutex
	idle      []*backend       // the one used last is the last
	waiting   []*waiter        // by priority, then by time left
	open      int              // idle, lent, and being made
	parts     map[string]*part // by tenant
	limit     int              // by the configuration
	most      int              // as far as the instance has let us
	growAt    time.Duration
	retryAt   time.Duration
	retrySet  bool // there will be another try at retryAt
	retention retention
	closed    bool
}

// part is what a pool holds of one tenant.
type part struct {
	open   int // idle, lent, and being made
	making int
	lost   dialReason // what became of the last one, without any
	lostAt time.Duration
}

func newPool(key poolKey, who string, now func() time.Duration, failed func(string), counts *backendCounts) *pool {
	made := &pool{
		key: key, who: who, now: now, failed: failed, counts: counts,
		limit: poolLeast, most: poolLeast, parts: map[string]*part{}, retention: newRetention(),
	}
	made.dial = made.dialInstance
	made.launch = func(work func()) { go work() }
	made.after = func(pause time.Duration, work func()) { time.AfterFunc(pause, work) }
	return made
}

// allow sets how many connections the instance takes from all its callers.
func (p *pool) allow(maxConnections int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	limit := max(poolLeast, maxConnections/poolShare)
	if limit != p.limit {
		p.limit, p.most = limit, limit
	}
}

// acquire lends a connection.
func (p *pool) acquire(asked ask) (*backend, error) {
	for {
		found, wait, err := p.takeOrQueue(asked)
		if err != nil {
			return nil, err
		}
		if wait != nil {
			found, err = p.await(wait)
			if err != nil {
				return nil, err
			}
		}
		if found.conn.Usable() {
			return found, nil
		}
		p.drop(found)
	}
}

func (p *pool) takeOrQueue(asked ask) (*backend, *waiter, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, nil, errPoolClosed
	}
	if found := p.takeIdle(asked); found != nil {
		return found, nil, nil
	}
	now := p.now()
	if now >= asked.until || (p.open == 0 && now < p.retryAt) {
		return nil, nil, errNoConnection
	}
	wait := &waiter{ask: asked, given: make(chan *backend, 1)}
	place, _ := slices.BinarySearchFunc(p.waiting, wait, waitsAfter)
	p.waiting = slices.Insert(p.waiting, place, wait)
	p.makeMore(now)
	return nil, wait, nil
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
func (p *pool) await(wait *waiter) (*backend, error) {
	timer := time.NewTimer(wait.until - p.now())
	defer timer.Stop()
	select {
	case found := <-wait.given:
		return handed(found)
	case <-timer.C:
	}
	if p.giveUp(wait) {
		return nil, errNoConnection
	}
	return handed(<-wait.given)
}

// giveUp takes a waiter out of the queue, and tells whether it was still there: otherwise it has been given something.
func (p *pool) giveUp(wait *waiter) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	place := slices.Index(p.waiting, wait)
	if place < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, place, place+1)
	return true
}

func handed(found *backend) (*backend, error) {
	if found == nil {
		return nil, errNoConnection
	}
	return found, nil
}

// refuseAll sends all who wait away. It is called with the lock held.
func (p *pool) refuseAll() {
	for _, wait := range p.waiting {
		wait.given <- nil
	}
	p.waiting = nil
}

// hand passes a sound connection on: to whoever of its tenant waits, unless somebody of another tenant needs its room first; else it is kept. It
// is called with the lock held.
func (p *pool) hand(free *backend) {
	now := p.now()
	switch {
	case p.closed:
		p.shut(free, afterBroken)
	case p.mustGiveWay(now, free.tenant):
		p.shut(free, afterGaveWay)
		p.makeMore(now)
	case p.handToWaiter(free):
	default:
		free.lastUsed = now
		p.idle = append(p.idle, free)
		p.makeMore(now)
	}
}

// mustGiveWay tells whether the pool is full, and the first who waits and could be helped is of another tenant: without this, tenants whose
// connections are never idle would keep all others out for ever. It is called with the lock held.
func (p *pool) mustGiveWay(now time.Duration, tenant string) bool {
	if p.open < p.most || now < p.retryAt {
		return false
	}
	unserved := p.unserved()
	for _, wait := range p.waiting {
		if wait.tenant == tenant {
			return false
		}
		if len(unserved) > 0 && unserved[0] == wait {
			return true
		}
	}
	return false
}

// handToWaiter gives a connection to whoever of its tenant waits first, and tells whether somebody does. It is called with the lock held.
func (p *pool) handToWaiter(free *backend) bool {
	place := slices.IndexFunc(p.waiting, func(wait *waiter) bool { return wait.tenant == free.tenant })
	if place < 0 {
		return false
	}
	free.wantedBy = p.waiting[place].interest
	p.waiting[place].given <- free
	p.waiting = slices.Delete(p.waiting, place, place+1)
	return true
}

// free takes back a sound connection that is outside a transaction.
func (p *pool) free(lent *backend) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.hand(lent)
}

// drop takes back a connection that can't be used any more, and closes it.
func (p *pool) drop(lent *backend) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.shut(lent, afterBroken)
	p.makeMore(p.now())
}

// rollback ends the transaction on a connection whose session has given it up, and takes the connection back. It
// doesn't wait for it.
func (p *pool) rollback(lent *backend) {
	p.launch(func() {
		answer, err := lent.conn.QueryBy(time.Now().Add(rollbackTime), wire.OwnID, string(wire.Abort))
		if err != nil || answer.Code != "" || answer.State != wire.Idle {
			p.drop(lent)
			return
		}
		lent.state.Ended(true)
		p.free(lent)
	})
}

// close ends the use of the instance: idle connections are closed now, lent ones when they are given back.
func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	p.closeIdle(afterBroken, func(*backend) bool { return true })
	p.refuseAll()
}

// size is how many connections there are.
func (p *pool) size() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}
