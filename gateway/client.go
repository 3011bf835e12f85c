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
	greetTime = 10 * time.Second
	// messageTime is how long a client may take for one message once its first byte has come: a mebibyte over a slow
	// link takes some seconds.
	messageTime = 20 * time.Second
	// writeTime is how long a client may leave its answers unread.
	writeTime = 10 * time.Second
	// keptAnswer is the largest buffer in bytes that is kept between answers.
	keptAnswer = 4096
	// acceptPause is the pause after a connection could not be accepted, which is for want of descriptors or memory.
	acceptPause = 50 * time.Millisecond
)

// client is one client's connection.
type client struct {
	gateway  *Gateway
	network  net.Conn
	reader   *wire.Reader
	buffer   []byte
	database string
	key      access.Key
	session  *session.Session
	interest *interest         // in connections that the session has used
	flight   *flight           // of the open transaction
	served   bool              // a statement has been answered
	counted  string            // the tenant for whom the operation was counted, and which hasn't been sent to an instance; "": none
	written  failover.Position // of the leader when it last acknowledged a commit of this session

	mutex   sync.Mutex
	waiting bool // for the first byte of a message
}

// accept takes clients until the listener is closed.
func (g *Gateway) accept(front net.Listener) {
	for {
		network, err := front.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.log.WithError(err).Warn("accept")
			time.Sleep(acceptPause)
			continue
		}
		g.welcome(network)
	}
}

// welcome starts a client's session, if there is room for it.
func (g *Gateway) welcome(network net.Conn) {
	arrived := &client{gateway: g, network: network, session: session.New(), interest: &interest{}}
	arrived.reader = wire.NewReader(network).WithBudget(g.budget)
	g.mutex.Lock()
	full := len(g.clients) >= g.mostClients()
	if !full && !g.at(ending) {
		g.clients[arrived] = struct{}{}
		g.mutex.Unlock()
		go arrived.attend()
		return
	}
	g.mutex.Unlock()
	_ = network.SetWriteDeadline(time.Now().Add(readinessTime))
	_, _ = network.Write(wire.AppendError(nil, wire.ConnLimit, ""))
	_ = network.Close()
}

// Descriptors of which a gateway needs some beside its clients': those that the platform keeps for files, and its own
// for instances, controllers and the platform.
const (
	reservedDescriptors = 400
	leastClients        = 100
	clientsWithoutLimit = 10000
)

// mostClients is how many clients there may be.
func (g *Gateway) mostClients() int {
	descriptors := g.settings.Limits.MaxFds
	if descriptors <= 0 {
		return clientsWithoutLimit
	}
	return max(leastClients, descriptors-reservedDescriptors)
}

// attend serves the client until its connection ends.
func (c *client) attend() {
	defer c.end()
	if !c.greet() {
		return
	}
	for {
		line, err := c.next()
		if err != nil && !errors.Is(err, wire.ErrMalformed) {
			c.explain(err)
			return
		}
		answer, goOn := c.take(line, err)
		if !goOn || !c.write(wire.AppendAnswer(c.buffer[:0], answer)) || endsSession(answer) {
			return
		}
	}
}

// endsSession tells whether the session is over with this answer: a client whose key isn't known would be refused at CONNECT, too.
func endsSession(answer wire.Answer) bool { return answer.Code == wire.AuthFail }

// greet takes the CONNECT.
func (c *client) greet() bool {
	_ = c.network.SetReadDeadline(time.Now().Add(greetTime))
	line, err := c.reader.ReadLine()
	if err != nil {
		c.explain(err)
		return false
	}
	connect, err := wire.ParseConnect(line)
	if err != nil || connect.InstanceID != "" {
		c.write(wire.AppendError(c.buffer[:0], wire.Malformed, ""))
		return false
	}
	if c.gateway.lacks(connect.Database) {
		c.gateway.counters.noDatabase.Add(1)
		c.write(wire.AppendError(c.buffer[:0], wire.NoDB, connect.Database))
		return false
	}
	c.database = connect.Database
	c.key = access.NewKey(connect.Who)
	if c.gateway.rejects(c.database, c.key) {
		c.gateway.counters.unknownKey.Add(1)
		c.write(wire.AppendError(c.buffer[:0], wire.AuthFail, ""))
		return false
	}
	return c.write(wire.AppendReady(c.buffer[:0], wire.Idle, wire.NoPosition))
}

func (g *Gateway) lacks(database string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.directory.lacks(g.now(), database)
}

func (g *Gateway) rejects(database string, key access.Key) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.directory.rejects(g.now(), database, key)
}

// explain tells the client why its connection ends, where that is its own doing.
func (c *client) explain(err error) {
	if errors.Is(err, wire.ErrTooLong) || errors.Is(err, wire.ErrMalformed) {
		c.write(wire.AppendError(c.buffer[:0], wire.Malformed, ""))
	}
}

// errLeave ends a session that is closed by the gateway.
var errLeave = errors.New("the gateway ends the session")

// next waits for the client's next message.
func (c *client) next() (string, error) {
	for {
		if err := c.waitForMessage(); err == nil {
			break
		} else if !errors.Is(err, os.ErrDeadlineExceeded) {
			return "", err
		}
	}
	_ = c.network.SetReadDeadline(time.Now().Add(messageTime))
	return c.reader.ReadLine()
}

// waitForMessage waits for the first byte of a message. It returns os.ErrDeadlineExceeded after it has done what a rest
// that lasted too long, or the end of the gateway, asks for.
func (c *client) waitForMessage() error {
	rest := c.restTime()
	// The phase is looked at after the wait is announced: whoever changes it rouses those who wait.
	c.startWaiting(rest)
	defer c.stopWaiting()
	if c.reader.Buffered() == 0 && c.mustLeave() {
		return errLeave
	}
	if c.reader.Buffered() == 0 && c.flight != nil && c.gateway.at(endingTransactions) {
		c.endRest()
		return os.ErrDeadlineExceeded
	}
	err := c.reader.WaitByte()
	restedOut := errors.Is(err, os.ErrDeadlineExceeded) && !rest.IsZero() && !time.Now().Before(rest)
	if c.flight != nil && restedOut {
		c.endRest()
	}
	return err
}

// endRest rolls back the transaction that rests.
func (c *client) endRest() {
	c.session.RolledBack()
	c.dropTransaction()
	c.gateway.counters.ended.Add(1)
}

func (c *client) startWaiting(until time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.waiting = true
	_ = c.network.SetReadDeadline(until)
}

func (c *client) stopWaiting() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.waiting = false
}

// rouse makes a session that waits for its client look at the phase. A message that is being read is left alone.
func (c *client) rouse() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.waiting {
		_ = c.network.SetReadDeadline(longAgo)
	}
}

// restTime is until when the session may rest: for ever, or as long as transactions may.
func (c *client) restTime() time.Time {
	if c.flight == nil {
		return time.Time{}
	}
	limit := c.gateway.transactionRest()
	if limit <= 0 {
		return time.Time{}
	}
	return time.Now().Add(limit)
}

func (g *Gateway) transactionRest() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return time.Duration(g.directory.limits.TxnIdleMs) * time.Millisecond
}

// mustLeave tells whether the gateway closes the session now, while nothing is asked. A new one may ask once: its
// first statement may be on its way.
func (c *client) mustLeave() bool {
	if c.session.State() == wire.Idle && c.served {
		return c.gateway.at(closingIdle) || c.gateway.isCutOff()
	}
	return c.gateway.at(ending)
}

// take answers one message; goOn is false after a QUIT.
func (c *client) take(line string, err error) (answer wire.Answer, goOn bool) {
	var request wire.Request
	if err == nil {
		request, err = wire.ParseRequest(line)
	}
	switch {
	case err != nil || request.ID == wire.OwnID:
		c.noticeCut()
		answer = c.refuseMalformed()
	case request.Quit:
		return wire.Answer{}, false
	default:
		answer = c.serve(request.ID, request.Text)
	}
	c.served = true
	c.gateway.counters.answered(answer)
	return answer, true
}

func (c *client) refuseMalformed() wire.Answer {
	decision := c.session.Malformed()
	if decision.Rollback {
		c.dropTransaction()
	}
	return decision.Answer
}

// write sends bytes to the client, and tells whether they have left.
func (c *client) write(bytes []byte) bool {
	if cap(bytes) <= keptAnswer {
		c.buffer = bytes
	}
	_ = c.network.SetWriteDeadline(time.Now().Add(writeTime))
	_, err := c.network.Write(bytes)
	return err == nil
}

// end closes the connection, and rolls back a transaction that was left open.
func (c *client) end() {
	c.interest.end()
	c.dropTransaction()
	c.reader.Release()
	c.gateway.mutex.Lock()
	delete(c.gateway.clients, c)
	c.gateway.mutex.Unlock()
	_ = c.network.Close()
}
