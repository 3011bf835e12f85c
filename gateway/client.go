package gateway

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"eiderway/control/access"
	"eiderway/control/failover"
	"eiderway/session"
	"eiderway/wire"
)

const (
	// connectTimeout is how long a new connection may take to send its CONNECT.
	connectTimeout = 10 * time.Second
	// messageTimeout is how long a client may take for one message once its first byte has come. A mebibyte over a slow
	// link takes some seconds.
	messageTimeout = 20 * time.Second
	// writeTimeout is how long a client may leave its answers unread.
	writeTimeout = 10 * time.Second
	// maxKeptBuffer is the largest buffer, in bytes, that is kept between answers.
	maxKeptBuffer = 4096
	// acceptPause is the pause after a connection could not be accepted, usually for lack of descriptors or memory.
	acceptPause = 50 * time.Millisecond
)

// client is the connection of one client.
type client struct {
	gateway       *Gateway
	conn          net.Conn
	reader        *wire.Reader
	buffer        []byte
	database      string
	key           access.Key
	session       *session.Session
	liveness      *liveness         // tells the pools whether the session is still open
	flight        *flight           // the open transaction; nil if there is none
	hasBeenServed bool              // a statement has been answered
	chargedTenant string            // the tenant charged for the current operation while no instance has run it; "": none
	lastCommit    failover.Position // of the leader when it last acknowledged a commit of this session

	mutex     sync.Mutex
	isWaiting bool // for the first byte of a message
}

// accept admits clients until the listener is closed.
func (g *Gateway) accept(front net.Listener) {
	for {
		conn, err := front.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.log.WithError(err).Warn("accepting a client connection failed")
			time.Sleep(acceptPause)
			continue
		}
		g.admit(conn)
	}
}

// admit starts a client's session, or refuses the client if there are too many or the gateway is about to stop.
func (g *Gateway) admit(conn net.Conn) {
	client := &client{gateway: g, conn: conn, session: session.New(), liveness: &liveness{}}
	client.reader = wire.NewReader(conn).WithBudget(g.messageBudget)
	g.mutex.Lock()
	isFull := len(g.clients) >= g.maxClients()
	if !isFull && !g.hasReached(closingAll) {
		g.clients[client] = struct{}{}
		g.mutex.Unlock()
		go client.serve()
		return
	}
	g.mutex.Unlock()
	_ = conn.SetWriteDeadline(time.Now().Add(readinessTimeout))
	_, _ = conn.Write(wire.AppendError(nil, wire.ConnLimit, ""))
	_ = conn.Close()
}

// A gateway needs descriptors besides those of its clients: the ones that the platform keeps for files, and its own for
// instances, controllers and the platform.
const (
	reservedDescriptors = 400
	minClients          = 100
	defaultMaxClients   = 10000
)

// maxClients returns how many clients may be connected.
func (g *Gateway) maxClients() int {
	descriptors := g.settings.Limits.MaxFds
	if descriptors <= 0 {
		return defaultMaxClients
	}
	return max(minClients, descriptors-reservedDescriptors)
}

// serve answers the client's messages until its connection ends.
func (c *client) serve() {
	defer c.close()
	if !c.handshake() {
		return
	}
	for {
		line, err := c.readMessage()
		if err != nil && !errors.Is(err, wire.ErrMalformed) {
			c.reportReadError(err)
			return
		}
		answer, isOpen := c.handle(line, err)
		if !isOpen || !c.write(wire.AppendAnswer(c.buffer[:0], answer)) || endsSession(answer) {
			return
		}
	}
}

// endsSession reports whether the session is over after this answer. A client whose key isn't known would be refused at
// CONNECT, too.
func endsSession(answer wire.Answer) bool { return answer.Code == wire.AuthFail }

// handshake answers the CONNECT and reports whether the session may begin.
func (c *client) handshake() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(connectTimeout))
	line, err := c.reader.ReadLine()
	if err != nil {
		c.reportReadError(err)
		return false
	}
	connect, err := wire.ParseConnect(line)
	if err != nil || connect.InstanceID != "" {
		c.write(wire.AppendError(c.buffer[:0], wire.Malformed, ""))
		return false
	}
	if c.gateway.lacksDatabase(connect.Database) {
		c.gateway.counters.noDatabase.Add(1)
		c.write(wire.AppendError(c.buffer[:0], wire.NoDB, connect.Database))
		return false
	}
	c.database = connect.Database
	c.key = access.NewKey(connect.User)
	if c.gateway.rejectsKey(c.database, c.key) {
		c.gateway.counters.keyRejected.Add(1)
		c.write(wire.AppendError(c.buffer[:0], wire.AuthFail, ""))
		return false
	}
	return c.write(wire.AppendReady(c.buffer[:0], wire.Idle, wire.NoPosition))
}

func (g *Gateway) lacksDatabase(database string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.directory.lacksDatabase(g.elapsed(), database)
}

func (g *Gateway) rejectsKey(database string, key access.Key) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.directory.rejectsKey(g.elapsed(), database, key)
}

// reportReadError tells the client why its connection ends, if the client caused the error.
func (c *client) reportReadError(err error) {
	if errors.Is(err, wire.ErrTooLong) || errors.Is(err, wire.ErrMalformed) {
		c.write(wire.AppendError(c.buffer[:0], wire.Malformed, ""))
	}
}

// errSessionClosed ends a session that the gateway closes.
var errSessionClosed = errors.New("the gateway closed the session")

// readMessage waits for the client's next message.
func (c *client) readMessage() (string, error) {
	for {
		if err := c.waitForMessage(); err == nil {
			break
		} else if !errors.Is(err, os.ErrDeadlineExceeded) {
			return "", err
		}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(messageTimeout))
	return c.reader.ReadLine()
}

// waitForMessage waits for the first byte of a message. It returns os.ErrDeadlineExceeded when the wait was
// interrupted; by then it has rolled back a transaction that was idle for too long or that the shutdown ends.
func (c *client) waitForMessage() error {
	idleUntil := c.idleDeadline()
	// The phase is read after the wait is announced, since a change of the phase interrupts only those that wait.
	c.startWaiting(idleUntil)
	defer c.stopWaiting()
	if c.reader.Buffered() == 0 && c.mustClose() {
		return errSessionClosed
	}
	if c.reader.Buffered() == 0 && c.flight != nil && c.gateway.hasReached(endingTransactions) {
		c.endIdleTransaction()
		return os.ErrDeadlineExceeded
	}
	err := c.reader.WaitByte()
	isIdleTooLong := errors.Is(err, os.ErrDeadlineExceeded) && !idleUntil.IsZero() && !time.Now().Before(idleUntil)
	if c.flight != nil && isIdleTooLong {
		c.endIdleTransaction()
	}
	return err
}

// endIdleTransaction rolls back a transaction that waits for its client.
func (c *client) endIdleTransaction() {
	c.session.HandleRollback()
	c.rollBackTransaction()
	c.gateway.counters.idleTransactions.Add(1)
}

func (c *client) startWaiting(until time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isWaiting = true
	_ = c.conn.SetReadDeadline(until)
}

func (c *client) stopWaiting() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isWaiting = false
}

// interruptWait makes a session that waits for its client check the phase. It leaves a message that is being read
// alone.
func (c *client) interruptWait() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isWaiting {
		_ = c.conn.SetReadDeadline(pastDeadline)
	}
}

// idleDeadline returns until when the session may wait for its client. The zero time means without limit; only sessions
// inside a transaction have one.
func (c *client) idleDeadline() time.Time {
	if c.flight == nil {
		return time.Time{}
	}
	limit := c.gateway.transactionIdleLimit()
	if limit <= 0 {
		return time.Time{}
	}
	return time.Now().Add(limit)
}

func (g *Gateway) transactionIdleLimit() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return time.Duration(g.directory.limits.TxnIdleMs) * time.Millisecond
}

// mustClose reports whether the gateway closes the session now, while it waits for its client. A new session may still
// send one statement, since that may be on its way.
func (c *client) mustClose() bool {
	if c.session.State() == wire.Idle && c.hasBeenServed {
		return c.gateway.hasReached(closingIdle) || c.gateway.isCutOff()
	}
	return c.gateway.hasReached(closingAll)
}

// handle answers one message; isOpen is false after a QUIT.
func (c *client) handle(line string, err error) (answer wire.Answer, isOpen bool) {
	var request wire.Request
	if err == nil {
		request, err = wire.ParseRequest(line)
	}
	switch {
	case err != nil || request.ID == wire.InternalID:
		c.handleCutTransaction()
		answer = c.refuseMalformed()
	case request.Quit:
		return wire.Answer{}, false
	default:
		answer = c.runQuery(request.ID, request.Text)
	}
	c.hasBeenServed = true
	c.gateway.counters.answered(answer)
	return answer, true
}

func (c *client) refuseMalformed() wire.Answer {
	decision := c.session.HandleMalformed()
	if decision.Rollback {
		c.rollBackTransaction()
	}
	return decision.Answer
}

// write sends bytes to the client and reports whether they were sent.
func (c *client) write(bytes []byte) bool {
	if cap(bytes) <= maxKeptBuffer {
		c.buffer = bytes
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(bytes)
	return err == nil
}

// close closes the connection and rolls back a transaction that was left open.
func (c *client) close() {
	c.liveness.end()
	c.rollBackTransaction()
	c.reader.Release()
	c.gateway.mutex.Lock()
	delete(c.gateway.clients, c)
	c.gateway.mutex.Unlock()
	_ = c.conn.Close()
}
