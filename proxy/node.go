package proxy

// This file owns the connections to nodes. Each node has an actor that keeps its connections and gives each
// submission or probe one of them; each connection has a goroutine that alone reads and writes its socket.
// It tells exactly how a submission ended, above all whether it may have run, and must never send one twice.

import (
	"context"
	"errors"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"eiderway/pgwire"
	"eiderway/shape"
	"eiderway/splitter"
)

const (
	idleShare = 0.8                  // share of the time until a node closes an idle connection after which we do
	settled   = 2 * time.Millisecond // what a node says unasked comes by then, nearly always, as long after a reply
)

// job is a submission, or a probe where it has no statement.
type job struct {
	st    *pgwire.Statement
	node  *node
	link  *link // that has it; the node's actor alone reads and sets this
	sent  float64
	until float64
	why   splitter.Cause // of a probe
	moot  atomic.Bool    // not to be written any more
	done  func(splitter.Result, []byte)

	longest int    // bytes of a result of any form; 0: the platform's one row of one column
	pins    bool   // its connection serves nothing after it
	code    string // of the error it was answered with; set before done is called
}

// node is the actor of one node.
type node struct {
	actor
	core *core
	uid  string
	addr string
	idle []*link // the one used last at the end
	over bool    // forgotten
}

func newNode(c *core, uid, addr string) *node {
	return &node{actor: newActor(), core: c, uid: uid, addr: addr}
}

func (n *node) run(ctx context.Context) error {
	for !n.over && n.turn(ctx) {
	}
	return nil
}

// retire ends the actor of a node that has no job any more.
func (n *node) retire() {
	n.closeIdle()
	n.over = true
}

// listed takes what the list says of the node. What still waits for a connection to one that wants nothing
// new never leaves.
func (n *node) listed(addr string, s splitter.State) {
	n.tell(func() {
		if n.addr != addr {
			n.addr = addr
			n.closeIdle()
		}
	})
	if s == splitter.On {
		return
	}
	for _, h := range n.core.txns {
		if h != nil && h.job != nil && h.job.node == n {
			h.job.moot.Store(true)
		}
	}
}

// start gives a job a connection: of those that rest and have settled the one used last, else the one that has
// rested for longest.
func (n *node) start(j *job) {
	if k := len(n.idle) - 1; k >= 0 {
		for k > 0 && time.Since(n.idle[k].rests) < settled {
			k--
		}
		l := n.idle[k]
		n.idle = slices.Delete(n.idle, k, k+1)
		j.link = l
		l.hand(j)
		return
	}
	l := &link{node: n, next: make(chan *job, 1), addr: n.addr}
	l.buf.MaxLength = pgwire.MaxReply
	l.ctx, l.cancel = context.WithCancel(n.core.life)
	j.link = l
	n.core.tasks.Go(func() error {
		l.run(j)
		return nil
	})
}

// cancel calls a job off, by closing its connection.
func (n *node) cancel(j *job) {
	if j.link != nil {
		j.link.cancel()
	}
}

func (n *node) closeIdle() {
	for _, l := range n.idle {
		l.cancel()
	}
	n.idle = nil
}

// rested takes back a connection whose job is done.
func (n *node) rested(l *link, j *job) {
	j.link = nil
	l.rests = time.Now()
	if l.ctx.Err() == nil {
		n.idle = append(n.idle, l)
	}
}

// ended forgets a connection. A job that it was given too late to begin gets another.
func (n *node) ended(l *link) {
	if i := slices.Index(n.idle, l); i >= 0 {
		n.idle = slices.Delete(n.idle, i, i+1)
	}
	select {
	case j := <-l.next:
		n.start(j)
	default:
	}
}

// link is one connection to a node.
type link struct {
	node    *node
	addr    string
	ctx     context.Context
	cancel  context.CancelFunc
	nc      net.Conn
	buf     pgwire.Buffer
	next    chan *job
	handing sync.Mutex // over a job's way into next and the rousing that belongs to it
	rests   time.Time  // since when; the node's actor alone uses this
	greeted bool       // the node has answered the startup message
}

// hand gives a connection that rests its next job and rouses it. Both are one step: a deadline that came after the
// connection had begun the job would end the job's own read, as if its time were over.
func (l *link) hand(j *job) {
	l.handing.Lock()
	defer l.handing.Unlock()
	l.next <- j
	l.nc.SetReadDeadline(past)
}

// taken is the job that was handed over, or nil.
func (l *link) taken() *job {
	l.handing.Lock()
	defer l.handing.Unlock()
	select {
	case j := <-l.next:
		return j
	default:
		return nil
	}
}

func (l *link) run(j *job) {
	defer l.end()
	if !l.open(j) {
		return
	}
	for j != nil && l.serve(j) {
		j = l.rest()
	}
}

// open takes a socket from the budget and connects.
func (l *link) open(j *job) bool {
	c := l.node.core
	in := time.Duration(c.terms.Splitter.ConnectTimeout * float64(time.Second))
	ctx, cancel := context.WithTimeout(l.ctx, min(in, time.Until(c.clock.at(j.until))))
	defer cancel()
	select {
	case c.sockets <- struct{}{}:
	default:
		c.tell(c.closeAllIdle)
		select {
		case c.sockets <- struct{}{}:
		case <-ctx.Done():
			c.counters.noSockets.Add(1)
			l.finish(j, splitter.Unsent, nil)
			return false
		}
	}
	nc, err := c.dial(ctx, "tcp", l.addr)
	if err != nil {
		<-c.sockets
		outcome := splitter.NoConn
		if l.ctx.Err() != nil || j.moot.Load() || !time.Now().Before(c.clock.at(j.until)) {
			outcome = splitter.Unsent
		}
		l.finish(j, outcome, nil)
		return false
	}
	c.counters.linksOpened.Add(1)
	if j.st == nil {
		c.counters.probeOpened[j.why].Add(1)
	}
	l.nc = nc
	context.AfterFunc(l.ctx, func() { nc.SetDeadline(past) })
	return true
}

// end is where a connection and its socket are given back.
func (l *link) end() {
	l.cancel()
	if l.nc != nil {
		l.nc.Close()
		<-l.node.core.sockets
		l.node.core.counters.linksClosed.Add(1)
	}
	l.node.tell(func() { l.node.ended(l) })
}

// finish tells how a job ended. The connection of one that was abandoned is closed before.
func (l *link) finish(j *job, o splitter.Outcome, r *reply) {
	res := splitter.Result{Outcome: o, Latency: l.node.core.clock.now() - j.sent}
	res.Load = -1
	var answer []byte
	if r != nil {
		res.Report = r.report
		j.code = r.code
		if o == splitter.Committed || o == splitter.Answered {
			answer = r.row
		}
	}
	j.done(res, answer)
}

// serve writes a job and reads its reply, and tells whether the connection can take another.
func (l *link) serve(j *job) bool {
	c := l.node.core
	until := c.clock.at(j.until)
	l.nc.SetDeadline(until)
	if l.ctx.Err() != nil || j.moot.Load() {
		l.nc.Close()
		l.finish(j, splitter.Unsent, nil)
		return false
	}
	var out []byte
	if l.greeted {
		c.counters.linksReused.Add(1)
	} else {
		out = pgwire.AppendStartup(out, "eiderway", "catalog")
	}
	switch {
	case j.st != nil:
		out = j.st.AppendTo(out, time.Until(until).Seconds())
	case c.terms.Reports:
		out = pgwire.AppendQuery(out, "SHOW stats")
	default:
		out = pgwire.AppendQuery(out, "SELECT 1")
	}
	if n, err := l.nc.Write(out); n < len(out) {
		l.nc.Close()
		outcome := splitter.NoConn
		if errors.Is(err, os.ErrDeadlineExceeded) {
			outcome = splitter.Unsent
		}
		l.finish(j, outcome, nil)
		return false
	}
	out = nil // it may be large
	r := &reply{greeted: l.greeted, longest: j.longest}
	r.report.Load = -1
	l.buf.MaxLength = max(pgwire.MaxReply, j.longest)
	err := l.read(r)
	l.greeted = r.greeted
	if err != nil || r.fatal || l.ctx.Err() != nil {
		l.nc.Close()
		l.finish(j, r.outcome(err, l.ctx.Err() != nil), r)
		return false
	}
	if j.pins || r.inside {
		l.nc.Close()
		l.finish(j, r.outcome(nil, false), r)
		return false
	}
	l.node.tell(func() { l.node.rested(l, j) })
	l.finish(j, r.outcome(nil, false), r)
	return true
}

// rest waits for the next job. A connection that rests too long, or on which anything came, is done with: what a
// node says unasked must never be taken for the reply to the next job, which therefore goes to another one.
func (l *link) rest() *job {
	until := time.Now().Add(time.Duration(idleShare * l.node.core.terms.IdleClose * float64(time.Second)))
	for {
		l.nc.SetReadDeadline(until)
		if l.ctx.Err() != nil {
			return nil
		}
		if j := l.taken(); j != nil {
			if l.buf.Unread() > 0 || stirred(l.nc) {
				l.next <- j
				return nil
			}
			return j
		}
		if l.buf.Unread() > 0 {
			return nil
		}
		if err := l.buf.Fill(l.nc); !errors.Is(err, os.ErrDeadlineExceeded) || time.Now().After(until) {
			return nil
		}
	}
}

// reply is what a node has said so far.
type reply struct {
	greeted  bool
	columns  bool
	row      []byte // the row's messages, as they came
	code     string // of an error
	complete bool
	fatal    bool
	report   splitter.Report

	longest int  // bytes of a result of any form; 0: one row of one column
	long    bool // it was longer, and is not kept
	inside  bool // the node is in a transaction
}

var errReply = errors.New("unexpected message")

func (l *link) read(r *reply) error {
	for {
		m, ok, err := l.buf.Next()
		if err != nil {
			return err
		}
		if !ok {
			if t := l.buf.PartialType(); t != 0 && !strings.ContainsRune("RKNSETDCZI", rune(t)) {
				return errReply
			}
			if err := l.buf.Fill(l.nc); err != nil {
				return err
			}
			continue
		}
		if done, err := r.take(m); done || err != nil {
			return err
		}
	}
}

// take reads one message, and tells whether the reply is whole.
func (r *reply) take(m pgwire.Message) (bool, error) {
	if r.longest > 0 && r.greeted {
		return r.takeAny(m)
	}
	switch m.Type {
	case 'R', 'K', 'N':
	case 'S':
		if name, value, ok := pgwire.Parameter(m.Body); ok && r.greeted {
			r.parameter(name, value)
		}
	case 'E':
		if r.complete || r.code != "" || len(pgwire.ErrorField(m.Body, 'C')) != 5 {
			return false, errReply
		}
		r.code = pgwire.ErrorField(m.Body, 'C')
		r.fatal = pgwire.ErrorField(m.Body, 'S') == "FATAL"
		return r.fatal, nil
	case 'T':
		if !r.greeted || r.columns || pgwire.ColumnCount(m.Body) != 1 {
			return false, errReply
		}
		r.columns = true
		r.row = pgwire.AppendRaw(nil, m)
	case 'D':
		value, ok := pgwire.Value(m.Body)
		if !r.columns || r.report.OK || !ok {
			return false, errReply
		}
		r.report.OK = true
		if len(value) < longestReport {
			r.load(string(value))
		}
		r.row = pgwire.AppendRaw(r.row, m)
	case 'C':
		if !r.report.OK || r.complete || r.code != "" {
			return false, errReply
		}
		r.complete = true
		r.row = pgwire.AppendRaw(r.row, m)
	case 'Z':
		if !r.greeted {
			r.greeted = true
			return false, nil
		}
		if !r.complete && r.code == "" {
			return false, errReply
		}
		return true, nil
	default:
		return false, errReply
	}
	return false, nil
}

// takeAny reads one message of a result of any form: rows of any number of columns, none at all, or several results.
func (r *reply) takeAny(m pgwire.Message) (bool, error) {
	switch m.Type {
	case 'K':
		return false, nil
	case 'S':
		if name, value, ok := pgwire.Parameter(m.Body); ok {
			r.parameter(name, value)
		}
		return false, nil
	case 'E':
		if r.code != "" || len(pgwire.ErrorField(m.Body, 'C')) != 5 {
			return false, errReply
		}
		r.code = pgwire.ErrorField(m.Body, 'C')
		r.fatal = pgwire.ErrorField(m.Body, 'S') == "FATAL"
	case 'T':
		if r.columns || r.code != "" || pgwire.ColumnCount(m.Body) < 0 {
			return false, errReply
		}
		r.columns = true
	case 'D':
		if !r.columns || r.code != "" || pgwire.ColumnCount(m.Body) < 0 {
			return false, errReply
		}
	case 'C', 'I':
		if r.code != "" {
			return false, errReply
		}
		r.columns, r.complete = false, true
	case 'N':
	case 'Z':
		if r.columns && r.code == "" || !r.complete && r.code == "" || len(m.Body) != 1 {
			return false, errReply
		}
		r.inside = m.Body[0] != 'I'
		if r.long && r.code == "" {
			r.row = pgwire.AppendError(nil, "ERROR", "54000", "it was done, but its result is longer than is passed on here", "")
		}
		return true, nil
	default:
		return false, errReply
	}
	if len(r.row)+len(m.Body) > r.longest {
		r.row, r.long = nil, true
	}
	if !r.long || m.Type == 'E' {
		r.row = pgwire.AppendRaw(r.row, m)
	}
	return r.fatal, nil
}

func (r *reply) parameter(name, value string) {
	switch name {
	case "mode":
		r.report.Role = map[string]splitter.Role{"read-write": splitter.RolePrimary,
			"read-only": splitter.RoleReplica}[value]
	case "wal_time":
		if ms, ok := finite(value); ok {
			r.report.Pos = ms / 1000
		}
	case "stats":
		r.load(value)
	}
}

const longestReport = 1 << 10 // bytes of a load report, ample

// load reads a load report. One of which any part can't be read is left out.
func (r *reply) load(text string) {
	told := r.report
	for _, field := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(field, "=")
		v, ok := finite(value)
		if !ok {
			return
		}
		switch name {
		case "x0":
			told.Pos = v
		case "x1":
			told.Role = splitter.RoleReplica
			if v == 1 {
				told.Role = splitter.RolePrimary
			}
		case "inflight":
			told.Load = v
		}
	}
	r.report = told
}

func finite(text string) (float64, bool) {
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil && !math.IsNaN(v) && !math.IsInf(v, 0)
}

// outcome names how a job that was written whole ended. Nothing that a spoilt reply says is believed.
func (r *reply) outcome(err error, calledOff bool) splitter.Outcome {
	spoilt := errors.Is(err, errReply) || errors.Is(err, pgwire.ErrMalformed)
	if spoilt {
		r.report = splitter.Report{Load: -1}
	}
	switch {
	case r.longest > 0 && err == nil && !r.fatal && shape.Answer(r.code):
		return splitter.Answered
	case r.longest > 0 && (err != nil || r.code != "") && r.complete && !spoilt:
		r.complete = false // the first of several results, or one without its end
		return r.outcome(err, calledOff)
	case r.longest > 0 && spoilt:
		return splitter.Failed
	case r.complete:
		return splitter.Committed
	case spoilt:
		return splitter.Failed
	case r.code == "53300" && !r.greeted:
		return splitter.NoConn
	case r.code == "53300":
		return splitter.Full
	case r.code == "25006" || r.code == "72000":
		return splitter.Missed
	case r.code != "":
		return splitter.Failed
	case calledOff:
		return splitter.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return splitter.TimedOut
	}
	return splitter.Broken
}
