package testserver

// This file holds a client with one connection that sends one simple query at a time and never retries.

import (
	"net"
	"time"

	"eiderway/pgwire"
)

// Client is a connection to a router or a node.
type Client struct {
	nc  net.Conn
	buf pgwire.Buffer
}

// Answer is what came back for a query, up to ReadyForQuery.
type Answer struct {
	Kinds string // the type bytes of its messages, in order
	Value string // the first column of the last row
	Code  string // SQLSTATE of the last error
	Text  string // message of the last error
}

// Dial connects, sends the startup message and waits until the server is ready for queries.
func Dial(addr string, within time.Duration) (*Client, error) {
	nc, err := net.DialTimeout("tcp", addr, within)
	if err != nil {
		return nil, err
	}
	c := &Client{nc: nc}
	nc.SetDeadline(time.Now().Add(within))
	if _, err = nc.Write(pgwire.AppendStartup(nil, "worker", "catalog")); err == nil {
		_, err = c.read()
	}
	if err != nil {
		nc.Close()
		return nil, err
	}
	return c, nil
}

// Ask sends a simple query and waits for its answer.
func (c *Client) Ask(text string, within time.Duration) (Answer, error) {
	c.nc.SetDeadline(time.Now().Add(within))
	if _, err := c.nc.Write(pgwire.AppendQuery(nil, text)); err != nil {
		return Answer{}, err
	}
	return c.read()
}

// Close ends the connection.
func (c *Client) Close() { c.nc.Close() }

// read reads messages up to and including ReadyForQuery.
func (c *Client) read() (a Answer, err error) {
	for {
		m, ok, err := c.buf.Next()
		if err != nil {
			return a, err
		}
		if !ok {
			if err := c.buf.Fill(c.nc); err != nil {
				return a, err
			}
			continue
		}
		switch m.Type {
		case 'E':
			a.Code, a.Text = pgwire.ErrorField(m.Body, 'C'), pgwire.ErrorField(m.Body, 'M')
		case 'D':
			if v, ok := pgwire.Value(m.Body); ok {
				a.Value = string(v)
			}
		}
		a.Kinds += string(m.Type)
		if m.Type == 'Z' {
			return a, nil
		}
	}
}

// More reports whether the server has sent anything beyond the answer that was read last.
func (c *Client) More() bool {
	if c.buf.Unread() > 0 {
		return true
	}
	c.nc.SetDeadline(time.Now().Add(time.Millisecond))
	return c.buf.Fill(c.nc) == nil
}
