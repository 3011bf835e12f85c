package gateway

import (
	"context"
	"errors"
	"maps"
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
	// growEvery is how soon a pool tries one connection more after the instance refused one: often enough to make use
	// of what others give back within a few seconds, rarely enough not to cost the instance's slots.
	growEvery = time.Second
	// dialTime bounds the making of a connection: an instance that is there answers within a few round trips and a
	// wait for a slot.
	dialTime = 1500 * time.Millisecond
	// retryDial is the pause after a connection that could not be made, while there is no other.
	retryDial = 50 * time.Millisecond
	// idleTime is how long a connection that nobody needs is kept, and idleKept how many are kept for ever: a new one
	// costs a slot at the instance.
	idleTime = 20 * time.Second
	idleKept = 2
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
}

// waiter is a statement that waits for a connection.
type waiter struct {
	tenant   string
	priority int
	until    time.Duration
	given    chan *backend // takes one; nil: there won't be one
}

// poolKey names an instance as a leader.
type poolKey struct {
	service    string
	instanceID string
	address    string
}

// pool holds the connections to one instance.
type pool struct {
	key    poolKey
	who    string
	now    func() time.Duration
	failed func(instanceID string) // is told of connections that could not be made, while the instance leads
	leads  atomic.Bool

	mutex    sync.Mutex
	idle     []*backend     // the one used last is the last
	waiting  []*waiter      // by priority, then by time left
	open     int            // idle, lent, and being made
	making   map[string]int // by tenant
	limit    int            // by the configuration
	most     int            // as far as the instance has let us
	growAt   time.Duration
	retryAt  time.Duration
	closed   bool
	made     int // since the start
	refusals int
}

func newPool(key poolKey, who string, now func() time.Duration, failed func(string)) *pool {
	return &pool{key: key, who: who, now: now, failed: failed, limit: poolLeast, most: poolLeast, making: map[string]int{}}
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

// acquire lends a connection of the tenant's for the session, at the latest at until.
func (p *pool) acquire(asking *session.Session, tenant string, priority int, until time.Duration) (*backend, error) {
	for {
		found, wait, err := p.takeOrQueue(asking, tenant, priority, until)
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

func (p *pool) takeOrQueue(asking *session.Session, tenant string, priority int, until time.Duration) (*backend, *waiter, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, nil, errPoolClosed
	}
	if found := p.takeIdle(asking, tenant); found != nil {
		return found, nil, nil
	}
	now := p.now()
	if now >= until || (p.open == 0 && now < p.retryAt) {
		return nil, nil, errNoConnection
	}
	wait := &waiter{tenant: tenant, priority: priority, until: until, given: make(chan *backend, 1)}
	place, _ := slices.BinarySearchFunc(p.waiting, wait, waitsAfter)
	p.waiting = slices.Insert(p.waiting, place, wait)
	p.makeMore(now)
	return nil, wait, nil
}

// waitsAfter orders the queue: by priority, then by time left.
func waitsAfter(a, b *waiter) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	if a.until < b.until {
		return -1
	}
	return 1
}

// takeIdle takes the tenant's idle connection that suits the session best; of several, the one used last.
func (p *pool) takeIdle(asking *session.Session, tenant string) *backend {
	best, bestFit := -1, session.Fit(-1)
	for place := len(p.idle) - 1; place >= 0 && bestFit != session.Fits; place-- {
		if p.idle[place].tenant != tenant {
			continue
		}
		if fit := asking.FitOf(p.idle[place].state); fit > bestFit {
			best, bestFit = place, fit
		}
	}
	if best < 0 {
		return nil
	}
	found := p.idle[best]
	p.idle = slices.Delete(p.idle, best, best+1)
	return found
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
	p.mutex.Lock()
	place := slices.Index(p.waiting, wait)
	if place >= 0 {
		p.waiting = slices.Delete(p.waiting, place, place+1)
	}
	p.mutex.Unlock()
	if place >= 0 {
		return nil, errNoConnection
	}
	return handed(<-wait.given)
}

func handed(found *backend) (*backend, error) {
	if found == nil {
		return nil, errNoConnection
	}
	return found, nil
}

// makeMore makes connections for those who wait, as far as the limits go: one for each that none is being made for. It is called with the
// lock held.
func (p *pool) makeMore(now time.Duration) {
	if p.most < p.limit && now >= p.growAt {
		p.most++
		p.growAt = now + growEvery
	}
	if now < p.retryAt || p.closed {
		return
	}
	expected := maps.Clone(p.making)
	for _, wait := range p.waiting {
		if expected[wait.tenant] > 0 {
			expected[wait.tenant]--
			continue
		}
		if !p.makeRoom() {
			return
		}
		p.making[wait.tenant]++
		p.open++
		go p.make(wait.tenant)
	}
}

// makeRoom tells whether there is room for another connection, for which an idle one gives way if need be: the one that has been unused for
// longest. It is called with the lock held.
func (p *pool) makeRoom() bool {
	if p.open < p.most {
		return true
	}
	if len(p.idle) == 0 {
		return false
	}
	p.closeIdle(0)
	return true
}

// closeIdle closes an idle connection. It is called with the lock held.
func (p *pool) closeIdle(place int) {
	p.idle[place].conn.Close()
	p.idle = slices.Delete(p.idle, place, place+1)
	p.open--
}

// whoOf is the name under which connections for a tenant are made.
func (p *pool) whoOf(tenant string) string {
	if tenant == "" {
		return p.who
	}
	return tenant
}

func (p *pool) make(tenant string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTime)
	defer cancel()
	conn, err := wire.Dial(ctx, p.key.address, p.key.service, p.whoOf(tenant), p.key.instanceID)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.making[tenant]--
	if p.making[tenant] == 0 {
		delete(p.making, tenant)
	}
	if err != nil {
		p.notMade(err)
		return
	}
	p.made++
	p.hand(&backend{home: p, tenant: tenant, conn: conn, state: session.NewBackend()})
}

// notMade deals with a connection that could not be made. It is called with the lock held.
func (p *pool) notMade(err error) {
	p.open--
	now := p.now()
	var refused *wire.Refused
	if errors.As(err, &refused) {
		p.refusals++
	}
	if refused != nil && refused.Code == wire.ConnLimit {
		p.most = max(1, p.open)
		p.growAt = now + growEvery
	}
	if p.leads.Load() && (refused == nil || refused.Code == wire.WrongNode) {
		p.failed(p.key.instanceID)
	}
	p.retryAt = now + retryDial
	if p.open == 0 {
		p.refuseAll()
	}
}

// refuseAll sends all who wait away. It is called with the lock held.
func (p *pool) refuseAll() {
	for _, wait := range p.waiting {
		wait.given <- nil
	}
	p.waiting = nil
}

// hand gives a sound connection to whoever waits first, or keeps it. It is called with the lock held.
func (p *pool) hand(free *backend) {
	switch {
	case p.closed:
		p.open--
		free.conn.Close()
	case p.handToWaiter(free):
	default:
		free.lastUsed = p.now()
		p.idle = append(p.idle, free)
		p.makeMore(free.lastUsed) // for another tenant, which it gives way to
	}
}

// handToWaiter gives a connection to whoever of its tenant waits first, and tells whether somebody does. It is called with the lock held.
func (p *pool) handToWaiter(free *backend) bool {
	place := slices.IndexFunc(p.waiting, func(wait *waiter) bool { return wait.tenant == free.tenant })
	if place < 0 {
		return false
	}
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
	lent.conn.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open--
	p.makeMore(p.now())
}

// rollback ends the transaction on a connection whose session has given it up, and takes the connection back. It
// doesn't wait for it.
func (p *pool) rollback(lent *backend) {
	go func() {
		answer, err := lent.conn.QueryBy(time.Now().Add(rollbackTime), wire.OwnID, string(wire.Abort))
		if err != nil || answer.Code != "" || answer.State != wire.Idle {
			p.drop(lent)
			return
		}
		lent.state.Ended(true)
		p.free(lent)
	}()
}

// close ends the use of the instance: idle connections are closed now, lent ones when they are given back.
func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	p.open -= len(p.idle)
	for _, unused := range p.idle {
		unused.conn.Close()
	}
	p.idle = nil
	p.refuseAll()
}

// trim closes connections that haven't been used for long.
func (p *pool) trim() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	old := p.now() - idleTime
	for len(p.idle) > 0 && p.open > idleKept && p.idle[0].lastUsed < old {
		p.closeIdle(0)
	}
}

// load is how many connections there are, and how many were made since the start.
func (p *pool) load() (open, made, refusals int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open, p.made, p.refusals
}
