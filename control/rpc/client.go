package rpc

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"eiderway/control/feed"
)

var (
	errClientClosed     = eris.New("client closed")
	errConnectionClosed = eris.New("connection closed")
	errAnswerTimeout    = eris.New("connection closed because a request on it got no answer in time")
)

// ClientCounts counts events on a client's connections.
type ClientCounts struct {
	Connections uint64 // made
	Stray       uint64 // answers without an open request; dropped
	Broken      uint64 // connections closed because of bytes that are not a valid answer
}

// Client sends requests to controllers over one connection for each address. The zero value is ready for use.
type Client struct {
	Routes Routes // must not change after the first request

	connections, stray, broken atomic.Uint64

	mutex  sync.Mutex
	closed bool
	conns  map[string]*clientConn
	wait   sync.WaitGroup
}

// Watch sends the request to the controller at the address and waits for the answer until the context ends. If there is none
// by then, the connection is closed, which also ends all other requests on it. Errors are *UnreachableError or
// *UnknownOutcomeError.
func (c *Client) Watch(ctx context.Context, address string, request feed.WatchRequest) (feed.WatchAnswer, error) {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return feed.WatchAnswer{}, &UnreachableError{Address: address, Cause: err}
	}
	return conn.roundTrip(ctx, request)
}

// Counts returns the counts up to now.
func (c *Client) Counts() ClientCounts {
	return ClientCounts{Connections: c.connections.Load(), Stray: c.stray.Load(), Broken: c.broken.Load()}
}

// Close closes all connections. Open requests end with an UnknownOutcomeError, later ones with an UnreachableError.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	var all []*clientConn
	for _, existing := range c.conns {
		all = append(all, existing)
	}
	c.mutex.Unlock()
	for _, existing := range all {
		existing.close(errClientClosed)
	}
	c.wait.Wait()
}

// connect returns the open connection to the address, or makes one. If two are made at the same time, the first is kept.
func (c *Client) connect(ctx context.Context, address string) (*clientConn, error) {
	if existing, err := c.lookup(address); existing != nil || err != nil {
		return existing, err
	}
	connection, err := dial(ctx, c.Routes.resolve(address))
	if err != nil {
		return nil, err
	}
	created := newClientConn(c, address, connection)
	registered, err := c.register(created)
	if registered != created {
		_ = connection.Close()
	}
	return registered, err
}

func (c *Client) lookup(address string) (*clientConn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, errClientClosed
	}
	return c.conns[address], nil
}

func (c *Client) register(created *clientConn) (*clientConn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, errClientClosed
	}
	if existing := c.conns[created.address]; existing != nil {
		return existing, nil
	}
	if c.conns == nil {
		c.conns = map[string]*clientConn{}
	}
	c.conns[created.address] = created
	c.connections.Add(1)
	c.wait.Add(1)
	go created.readAnswers()
	return created, nil
}

func (c *Client) forget(closed *clientConn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conns[closed.address] == closed {
		delete(c.conns, closed.address)
	}
}
