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
	// greetTime is how long a new connection may take to send its CONNECT.
	connectTimeout = 10 * time.Second
	// messageTime is how long a client may take for one message once its first byte has come: a mebibyte over a slow
	// link takes some seconds.
	messageTimeout = 20 * time.Second
	// writeTime is how long a client may leave its answers unread.
	writeTimeout = 10 * time.Second
	// keptAnswer is the largest buffer in bytes that is kept between answers.
	maxKeptBuffer = 4096
	// acceptPause is the pause after a connection could not be accepted, which is for want of descriptors or memory.
	acceptPause = 50 * time.Millisecond
)

// client is one client's connection.
type client struct {
	gateway       *Gateway
	conn          net.Conn
	reader        *wire.Reader
	buffer        []byte
	database      string
	key           access.Key
	session       *session.Session
	liveness      *liveness         // in connections that the session has used
	flight        *flight           // of the open transaction
	hasBeenServed bool              // a statement has been answered
	chargedTenant string            // the tenant for whom the operation was counted, and which hasn't been sent to an instance; "": none
	lastCommit    failover.Position // of the leader when it last acknowledged a commit of this session

	mutex     sync.Mutex
	isWaiting bool // for the first byte of a message
}

// accept takes clients until the listener is closed.
func (g *Gateway) accept(front net.Listener) {
	for {
		conn, err := front.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.log.WithError(err).Warn("accept")
			time.Sleep(acceptPause)
			continue
		}
		g.admit(conn)
	}
}

// welcome starts a client's session, if there is room for it.
func (g *Gateway) admit(conn net.Conn) {
	client := &client{gateway: g, conn: conn, session: session.New(), liveness: &liveness{}}
	client.reader = wire.NewReader(conn).WithBudget(g.messageBudget)
	g.mutex.Lock()
	full := len(g.clients) >= g.maxClients()
	if !full && !g.hasReached(closingAll) {
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

// Descriptors of which a gateway needs some beside its clients': those that the platform keeps for files, and its own
// for instances, controllers and the platform.
const (
	reservedDescriptors = 400
	minClients          = 100
	defaultMaxClients   = 10000
)

// mostClients is how many clients there may be.
func (g *Gateway) maxClients() int {
	descriptors := g.settings.Limits.MaxFds
	if descriptors <= 0 {
		return defaultMaxClients
	}
	return max(minClients, descriptors-reservedDescriptors)
}

// attend serves the client until its connection ends.
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

// endsSession tells whether the session is over with this answer: a client whose key isn't known would be refused at CONNECT, too.
func endsSession(answer wire.Answer) bool { return answer.Code == wire.AuthFail }

// greet takes the CONNECT.
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
	c.key = access.NewKey(connect.Who)
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

// explain tells the client why its connection ends, where that is its own doing.
func (c *client) reportReadError(err error) {
	if errors.Is(err, wire.ErrTooLong) || errors.Is(err, wire.ErrMalformed) {
		c.write(wire.AppendError(c.buffer[:0], wire.Malformed, ""))
	}
}

// errLeave ends a session that is closed by the gateway.
var errSessionClosed = errors.New("the gateway ends the session")

// next waits for the client's next message.
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

// waitForMessage waits for the first byte of a message. It returns os.ErrDeadlineExceeded after it has done what a rest
// that lasted too long, or the end of the gateway, asks for.
func (c *client) waitForMessage() error {
	idleUntil := c.idleDeadline()
	// The phase is looked at after the wait is announced: whoever changes it rouses those who wait.
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

// endRest rolls back the transaction that rests.
func (c *client) endIdleTransaction() {
	c.session.RolledBack()
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

// rouse makes a session that waits for its client look at the phase. A message that is being read is left alone.
func (c *client) interruptWait() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isWaiting {
		_ = c.conn.SetReadDeadline(pastDeadline)
	}
}

// restTime is until when the session may rest: for ever, or as long as transactions may.
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

// mustLeave tells whether the gateway closes the session now, while nothing is asked. A new one may ask once: its
// first statement may be on its way.
func (c *client) mustClose() bool {
	if c.session.State() == wire.Idle && c.hasBeenServed {
		return c.gateway.hasReached(closingIdle) || c.gateway.isCutOff()
	}
	return c.gateway.hasReached(closingAll)
}

// take answers one message; goOn is false after a QUIT.
func (c *client) handle(line string, err error) (answer wire.Answer, isOpen bool) {
	var request wire.Request
	if err == nil {
		request, err = wire.ParseRequest(line)
	}
	switch {
	case err != nil || request.ID == wire.OwnID:
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
	decision := c.session.Malformed()
	if decision.Rollback {
		c.rollBackTransaction()
	}
	return decision.Answer
}

// write sends bytes to the client, and tells whether they have left.
func (c *client) write(bytes []byte) bool {
	if cap(bytes) <= maxKeptBuffer {
		c.buffer = bytes
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(bytes)
	return err == nil
}

// end closes the connection, and rolls back a transaction that was left open.
func (c *client) close() {
	c.liveness.end()
	c.rollBackTransaction()
	c.reader.Release()
	c.gateway.mutex.Lock()
	delete(c.gateway.clients, c)
	c.gateway.mutex.Unlock()
	_ = c.conn.Close()
}
