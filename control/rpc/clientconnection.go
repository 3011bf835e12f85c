package rpc

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"

	"github.com/rotisserie/eris"

	"eiderway/control/feed"
)

// clientConn is a client's connection to one controller. It carries many requests at a time.
type clientConn struct {
	client     *Client
	address    string
	connection net.Conn
	done       chan struct{} // closed when the connection has ended; cause is set by then

	mutex   sync.Mutex // guards the fields below and writing to the connection
	encoder *encoder
	lastID  uint64 // ID of the last request
	pending map[uint64]chan feed.WatchAnswer
	cause   error // why the connection ended
}

func newClientConn(client *Client, address string, connection net.Conn) *clientConn {
	return &clientConn{
		client:     client,
		address:    address,
		connection: connection,
		done:       make(chan struct{}),
		encoder:    newEncoder(kindGateway),
		pending:    map[uint64]chan feed.WatchAnswer{},
	}
}

// roundTrip sends the request and waits for its answer until the context ends, which also closes the connection.
func (c *clientConn) roundTrip(ctx context.Context, request feed.WatchRequest) (feed.WatchAnswer, error) {
	if ctx.Err() != nil {
		return feed.WatchAnswer{}, &UnreachableError{Address: c.address, Cause: ctx.Err()}
	}
	answered, err := c.send(ctx, request)
	if err != nil {
		return feed.WatchAnswer{}, err
	}
	select {
	case answer := <-answered:
		return answer, nil
	case <-c.done:
		return c.finalAnswer(answered)
	case <-ctx.Done():
		c.close(errAnswerTimeout)
		return feed.WatchAnswer{}, &UnknownOutcomeError{Address: c.address, Cause: ctx.Err()}
	}
}

// finalAnswer returns the result of a request whose connection has ended: the answer may have arrived just before.
func (c *clientConn) finalAnswer(answered <-chan feed.WatchAnswer) (feed.WatchAnswer, error) {
	select {
	case answer := <-answered:
		return answer, nil
	default:
		return feed.WatchAnswer{}, &UnknownOutcomeError{Address: c.address, Cause: c.cause}
	}
}

// send writes the request and registers it for its answer.
func (c *clientConn) send(ctx context.Context, request feed.WatchRequest) (<-chan feed.WatchAnswer, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cause != nil {
		return nil, &UnreachableError{Address: c.address, Cause: c.cause}
	}
	if err := c.encoder.add(requestFrame{ID: c.lastID + 1, Request: request}); err != nil {
		c.closeLocked(err)
		return nil, &UnreachableError{Address: c.address, Cause: err}
	}
	c.lastID++
	answered := make(chan feed.WatchAnswer, 1)
	c.pending[c.lastID] = answered
	latest, _ := ctx.Deadline()
	if err := c.encoder.flush(c.connection, latest); err != nil {
		c.closeLocked(err)
		return nil, &UnknownOutcomeError{Address: c.address, Cause: err}
	}
	return answered, nil
}

// readAnswers reads answers until the connection ends.
func (c *clientConn) readAnswers() {
	defer c.client.wait.Done()
	source := newDecoder(c.connection)
	for {
		var frame answerFrame
		err := source.readValue(&frame)
		if err == nil {
			err = unpack(&frame.Answer, frame.Packed)
		}
		if err != nil {
			c.countBroken(err)
			c.close(err)
			return
		}
		c.deliver(frame)
	}
}

// deliver passes the answer to its request. An answer without an open request is dropped.
func (c *clientConn) deliver(frame answerFrame) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	answered, isPending := c.pending[frame.ID]
	if !isPending || c.cause != nil {
		c.client.stray.Add(1)
		return
	}
	delete(c.pending, frame.ID)
	answered <- frame.Answer
}

func (c *clientConn) countBroken(err error) {
	if isBroken(err) {
		c.client.broken.Add(1)
	}
}

func (c *clientConn) close(cause error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closeLocked(cause)
}

func (c *clientConn) closeLocked(cause error) {
	if c.cause != nil {
		return
	}
	c.cause = cause
	if errors.Is(cause, io.EOF) {
		c.cause = errConnectionClosed
	}
	_ = c.connection.Close()
	c.client.forget(c)
	close(c.done)
}

// isBroken reports whether the error is due to invalid bytes rather than to the end of the connection.
func isBroken(err error) bool {
	return eris.Is(err, errFrameTooLong) || eris.Is(err, errBadFrame) || eris.Is(err, errBadGreeting)
}
