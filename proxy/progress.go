package proxy

// This file owns the pace at which an asker on the admin socket is told how far something is. It must not know what.

import (
	"net"
	"time"
)

// progress is an asker that is told of something every progressEach, until it goes or the core ends.
type progress struct {
	nc     net.Conn
	closed <-chan struct{}
	ended  <-chan struct{} // the core's
	each   *time.Ticker
}

// report begins; end is to be called after it.
func (c *core) report(nc net.Conn) *progress {
	return &progress{nc: nc, closed: gone(nc), ended: c.life.Done(), each: time.NewTicker(progressEach)}
}

// wait waits until the asker is due another line. more: it is still there, and so is the core.
func (p *progress) wait() (more bool) {
	select {
	case <-p.closed:
		return false
	case <-p.ended:
		return false
	case <-p.each.C:
		return true
	}
}

// end closes the connection: its reader ends before it is given back.
func (p *progress) end() {
	p.each.Stop()
	p.nc.Close()
	<-p.closed
}
