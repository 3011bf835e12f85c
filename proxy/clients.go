package proxy

// This file owns the listener and the clients' connections, one goroutine each. A client's goroutine alone
// reads and writes its socket, parses its statements and hands them to the core, one at a time, so answers
// keep their order. It must never judge a txn; what is no txn it answers by itself.

import (
	"context"
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"eiderway/pgwire"
	"eiderway/shape"
)

const (
	lastArrivals = 500 * time.Millisecond // after a stop was asked for, connections go on arriving as long
	lastRequests = 700 * time.Millisecond // and what comes by then must be answered
	slowestWrite = 10 * time.Second       // a client that takes an answer more slowly has left
	firstWords   = 300 * time.Millisecond // what a client has begun to say may be on its way as long
	wholeWords   = 2 * time.Second        // but a first query, or one begun, that is not whole by then never will be
	turnedAway   = ownDescriptors / 2     // connections over the budget that are told so at a time
	ampleShare   = 4                      // from a quarter of all descriptors on, whoever comes makes a free client go
	largeShare   = 4                      // a quarter of the memory is for statements too large for a plain buffer,
	largeMB      = 1                      // of which each takes at most this, with its copies
)

var past = time.Unix(1, 0) // a deadline that wakes a reader

// clients accepts connections and keeps them within their budget.
type clients struct {
	core     *core
	listener net.Listener
	ample    int // clients from which on free ones go
	most     int // and those that are served at a time
	mu       sync.Mutex
	open     map[*client]bool
	all      sync.WaitGroup
	closing  bool         // new clients are to leave as soon as they have been answered
	draining atomic.Int32 // by hand: drainNot, drainWaits, drainRuns
	stopping atomic.Bool
	large    chan struct{} // one for each client with a large statement
}

// client is one connection. Its mailbox holds one answer, since one txn at most is out.
type client struct {
	hub     *clients
	nc      net.Conn
	buf     pgwire.Buffer
	answers chan []byte
	free    atomic.Int64 // from when it may be closed, in Unix ns; 0: something is out or being read
	leave   atomic.Bool  // close it as soon as it is free
	asked   atomic.Bool  // it has had an answer
	came    float64      // when bytes last came, in the core's time: what waits in buf came by then
	since   time.Time    // when it connected, or began what it is saying; zero: it owes nothing
	large   bool         // it holds one of the places for large statements
	excess  bool         // over the budget: its first query is declined
	scratch *shape.Scratch
	timeout float64 // s, its statement_timeout; 0: none
}

func newClients(c *core, l net.Listener, sockets, most int, memoryMB int64) *clients {
	h := &clients{core: c, listener: l, ample: sockets / ampleShare, most: most, open: map[*client]bool{},
		large: make(chan struct{}, max(1, memoryMB/largeShare/largeMB))}
	c.hub = h
	return h
}

// run accepts until a stop is asked for and the last connections have come, then waits for the last answer.
func (h *clients) run(stop, life context.Context) error {
	go func() {
		select {
		case <-stop.Done():
		case <-life.Done():
			h.listener.Close()
			return
		}
		h.core.log.Info("stopping")
		h.stopping.Store(true)
		if h.core.leases != nil {
			h.core.leases.leave()
		}
		time.Sleep(lastArrivals)
		h.leaveAll()
		time.Sleep(lastRequests - lastArrivals)
		h.listener.Close()
	}()
	for {
		nc, err := h.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			h.core.log.WithError(err).Warn("accepting a client")
			time.Sleep(10 * time.Millisecond) // out of descriptors: let some be given back
			continue
		}
		h.admit(nc)
	}
	h.all.Wait()
	return nil
}

// admit makes room by closing a client that is free: one that never asked goes first, then the one that has been
// free for longest. It begins well under the budget: clients that ask once and keep their connection have none left
// to ask on long before we have none. Over the budget, without a free one, the new one is turned away.
func (h *clients) admit(nc net.Conn) {
	c := &client{hub: h, nc: nc, answers: make(chan []byte, 1), since: time.Now()}
	h.mu.Lock()
	defer h.mu.Unlock()
	over := len(h.open) - h.most
	if over >= turnedAway {
		h.core.counters.turnedAway.Add(1)
		c.fatal("53300", "too many clients")
		nc.Close()
		return
	}
	if len(h.open) >= min(h.ample, h.most) {
		var goes *client
		var since int64
		now := time.Now().UnixNano()
		for o := range h.open {
			free := o.free.Load()
			if free == 0 || free >= now || o.leave.Load() {
				continue
			}
			if !o.asked.Load() {
				free -= now // before all that have asked
			}
			if goes == nil || free < since {
				goes, since = o, free
			}
		}
		if goes != nil {
			goes.goAway()
			h.core.counters.madeRoom.Add(1)
		}
		c.excess = goes == nil && over >= 0
	}
	c.leave.Store(h.closing)
	h.open[c] = true
	h.all.Add(1)
	h.core.counters.clientsOpened.Add(1)
	go c.run()
}

// leaveAll has all clients leave, those to come too.
func (h *clients) leaveAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closing = true
	for c := range h.open {
		c.goAway()
	}
}

// goAway has a client's goroutine close the connection as soon as it is free.
func (c *client) goAway() {
	c.leave.Store(true)
	c.nc.SetReadDeadline(past)
}

// answer takes the answer to the txn that is out. The core calls it; it never blocks.
func (c *client) answer(a []byte) {
	c.answers <- a
	c.nc.SetReadDeadline(past)
}

func (c *client) run() {
	defer c.end()
	if !c.startup() {
		return
	}
	for {
		m, ok, err := c.buf.Next()
		switch {
		case err != nil:
			c.fatal("08P01", err.Error())
			return
		case !ok:
			if c.rest() != nil {
				return
			}
		case m.Type == 'Q':
			if !c.query(m.Body) {
				return
			}
			c.asked.Store(true)
			c.since = time.Time{}
		case m.Type == 'X':
			return
		default:
			c.fatal("0A000", "only simple queries are served")
			return
		}
	}
}

// end is where a client's connection is given back.
func (c *client) end() {
	c.nc.Close()
	if c.large {
		c.small()
	}
	c.hub.mu.Lock()
	delete(c.hub.open, c)
	c.hub.mu.Unlock()
	c.hub.core.counters.clientsClosed.Add(1)
	c.hub.all.Done()
}

// rest reads while nothing is out, until something came. A client that is to leave is closed, but never while
// it may be saying something: a first query or the rest of one must not cross the close. One that has said
// nothing whole for too long is closed in any case.
func (c *client) rest() error {
	from := time.Now()
	var until time.Time
	if !c.asked.Load() || c.buf.Unread() > 0 {
		if c.since.IsZero() {
			c.since = from
		}
		from, until = from.Add(firstWords), c.since.Add(wholeWords)
	}
	c.free.Store(from.UnixNano())
	defer c.free.Store(0)
	if c.large && c.buf.Unread() == 0 {
		c.small()
	}
	for {
		c.nc.SetReadDeadline(until)
		overdue := !until.IsZero() && !time.Now().Before(until)
		switch leave := c.leave.Load(); {
		case !overdue && !leave:
		case stirred(c.nc):
			c.nc.SetReadDeadline(time.Time{}) // what is there is read first
		case overdue:
			c.hub.core.counters.silent.Add(1)
			if c.buf.Unread() > 0 {
				c.fatal("08P01", "half a message, and then nothing")
			}
			return net.ErrClosed
		case !time.Now().Before(from):
			return net.ErrClosed
		default:
			c.nc.SetReadDeadline(from)
		}
		if !c.large && c.buf.IsPartialLarge() {
			select {
			case c.hub.large <- struct{}{}:
				c.large = true
			default:
				c.hub.core.counters.turnedAway.Add(1)
				c.fatal("53300", "too many large statements")
				return net.ErrClosed
			}
		}
		if err := c.fill(); !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
}

// fill reads once.
func (c *client) fill() error {
	err := c.buf.Fill(c.nc)
	if err == nil {
		c.came = c.hub.core.clock.now()
	}
	return err
}

// small gives back a place for large statements.
func (c *client) small() {
	c.large = false
	<-c.hub.large
}

func (c *client) startup() bool {
	for {
		code, ok, err := c.buf.NextStartup()
		switch {
		case err != nil:
			return false
		case !ok:
			if c.rest() != nil {
				return false
			}
		case code == pgwire.SSLRequest || code == pgwire.GSSEncRequest:
			if !c.write([]byte("N")) {
				return false
			}
		case code == pgwire.CancelRequest:
			return false
		case code>>16 != pgwire.Version3>>16:
			c.fatal("0A000", "only version 3 of the protocol is served")
			return false
		default:
			c.timeout = statementTimeout(c.buf.StartupParameter)
			return c.write(pgwire.AppendGreeting(nil))
		}
	}
}

func (c *client) query(body []byte) bool {
	text, ended := strings.CutSuffix(string(body), "\x00")
	if !ended {
		c.fatal("08P01", "a query without an end")
		return false
	}
	if strings.TrimSpace(text) == "" {
		return c.write(pgwire.AppendReady(pgwire.Append(nil, 'I')))
	}
	if c.hub.core.classes != nil {
		return c.classed(text)
	}
	st, err := pgwire.ParseStatement(text)
	if _, ok := c.hub.core.terms.Types[st.Type]; err == nil && !ok {
		err = errors.New("a txn type that is not served")
	}
	if err != nil {
		c.hub.core.counters.malformed.Add(1)
		return c.write(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "08P01", err.Error(), "")))
	}
	if c.excess {
		return c.tooMany()
	}
	core, h, at := c.hub.core, &held{client: c, st: st}, c.came
	core.tell(func() { core.arrive(h, at) })
	return c.txn(h)
}

func (c *client) tooMany() bool {
	c.hub.core.counters.turnedAway.Add(1)
	c.fatal("53300", "too many clients")
	return false
}

// txn reads on while a txn is out until its answer is there, to notice a client that leaves.
func (c *client) txn(h *held) bool {
	core := c.hub.core
	for {
		c.nc.SetReadDeadline(time.Time{})
		if c.buf.IsFull() {
			return c.write(<-c.answers)
		}
		select {
		case a := <-c.answers:
			if plant == "answers twice" {
				a = append(a[:len(a):len(a)], a...)
			}
			return c.write(a)
		default:
		}
		if err := c.fill(); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			if k := core.classes; k != nil { // behind the statement, which went this way
				k.tell(func() { core.tell(func() { core.left(h) }) })
			} else {
				core.tell(func() { core.left(h) })
			}
			return false
		}
	}
}

func (c *client) write(b []byte) bool {
	c.nc.SetWriteDeadline(time.Now().Add(slowestWrite))
	_, err := c.nc.Write(b)
	return err == nil
}

func (c *client) fatal(code, text string) {
	c.write(pgwire.AppendError(nil, "FATAL", code, text, ""))
}
