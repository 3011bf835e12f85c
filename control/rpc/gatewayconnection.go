package rpc

import (
	"context"
	"net"
	"sync"
	"time"

	"eiderway/control/feed"
)

// gatewayConn serves the requests on one gateway's connection.
type gatewayConn struct {
	server     *Server
	connection net.Conn
	ctx        context.Context // cancelled when the connection ends
	wait       sync.WaitGroup

	mutex   sync.Mutex // guards the fields below and writing to the connection
	encoder *encoder
	open    int
}

func serveGateway(server *Server, connection net.Conn, source *decoder) {
	ctx, end := context.WithCancel(server.ctx)
	conn := &gatewayConn{server: server, connection: connection, ctx: ctx, encoder: newEncoder("")}
	conn.read(source)
	end()
	_ = connection.Close()
	conn.wait.Wait()
}

func (g *gatewayConn) read(source *decoder) {
	for g.ctx.Err() == nil {
		var frame requestFrame
		if !g.server.read(g.connection, source, &frame) {
			return
		}
		if !g.begin() {
			g.server.countBroken()
			return
		}
		go g.answer(frame)
	}
}

// begin counts a request as open; false if there are too many.
func (g *gatewayConn) begin() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.open >= maxOpenRequests {
		return false
	}
	g.open++
	g.wait.Add(1)
	return true
}

func (g *gatewayConn) answer(frame requestFrame) {
	defer g.wait.Done()
	answer, hasAnswer := g.server.handlers.Watch(g.ctx, frame.Request)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.open--
	if g.ctx.Err() != nil {
		return
	}
	if !hasAnswer || !g.writeLocked(frame.ID, answer) {
		_ = g.connection.Close() // ends read, and with it everything else
	}
}

func (g *gatewayConn) writeLocked(id uint64, answer feed.WatchAnswer) bool {
	packed, err := g.server.packer.pack(&answer)
	if err == nil {
		err = g.encoder.add(answerFrame{ID: id, Answer: answer, Packed: packed})
	}
	if err != nil {
		if g.server.handlers.Log != nil {
			g.server.handlers.Log.WithError(err).Error("answer to a gateway dropped")
		}
		return false
	}
	return g.encoder.flush(g.connection, time.Time{}) == nil
}
