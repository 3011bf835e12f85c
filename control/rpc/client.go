package rpc

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"eiderway/control/feed"
)

var (
	errClientClosed = eris.New("client closed")
	errClosed       = eris.New("connection closed")
	errGivenUp      = eris.New("connection closed because a question on it got no answer in time")
)

// ClientCounts counts what happened on a client's connections.
type ClientCounts struct {
	Connections uint64 // made
	Stray       uint64 // answers that no open question had asked for; dropped
	Broken      uint64 // connections closed because of bytes that make no answer
}

// Client asks controllers. It keeps one connection for each address. The zero value is ready for use.
type Client struct {
	Routes Routes // not to be changed after the first question

	connections, stray, broken atomic.Uint64

	mutex  sync.Mutex
	closed bool
	lines  map[string]*line
	wait   sync.WaitGroup
}

// Watch asks the controller at the address, and waits for the answer until the context ends. A connection whose question
// got no answer by then is closed, together with all other questions on it. Errors are *Unreachable or *Unknown.
func (c *Client) Watch(ctx context.Context, address string, request feed.WatchRequest) (feed.WatchAnswer, error) {
	asked, err := c.line(ctx, address)
	if err != nil {
		return feed.WatchAnswer{}, &Unreachable{Address: address, Cause: err}
	}
	return asked.ask(ctx, request)
}

// Counts returns the counts up to now.
func (c *Client) Counts() ClientCounts {
	return ClientCounts{Connections: c.connections.Load(), Stray: c.stray.Load(), Broken: c.broken.Load()}
}

// Close closes all connections. Open questions end as Unknown, later ones as Unreachable.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	var all []*line
	for _, known := range c.lines {
		all = append(all, known)
	}
	c.mutex.Unlock()
	for _, known := range all {
		known.end(errClientClosed)
	}
	c.wait.Wait()
}

// line returns the open connection to the address, or makes one. Of two that are made at once the first is kept.
func (c *Client) line(ctx context.Context, address string) (*line, error) {
	if known, err := c.known(address); known != nil || err != nil {
		return known, err
	}
	connection, err := dial(ctx, c.Routes.of(address))
	if err != nil {
		return nil, err
	}
	made := newLine(c, address, connection)
	kept, err := c.keep(made)
	if kept != made {
		_ = connection.Close()
	}
	return kept, err
}

func (c *Client) known(address string) (*line, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, errClientClosed
	}
	return c.lines[address], nil
}

func (c *Client) keep(made *line) (*line, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, errClientClosed
	}
	if earlier := c.lines[made.address]; earlier != nil {
		return earlier, nil
	}
	if c.lines == nil {
		c.lines = map[string]*line{}
	}
	c.lines[made.address] = made
	c.connections.Add(1)
	c.wait.Add(1)
	go made.read()
	return made, nil
}

func (c *Client) forget(ended *line) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.lines[ended.address] == ended {
		delete(c.lines, ended.address)
	}
}
