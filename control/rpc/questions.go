package rpc

import (
	"context"
	"net"
	"sync"
	"time"

	"eiderway/control/feed"
)

// questions serves one gateway's connection.
type questions struct {
	server     *Server
	connection net.Conn
	ctx        context.Context // ends with the connection
	wait       sync.WaitGroup

	mutex   sync.Mutex // of all below, and of writing
	encoder *encoder
	open    int
}

func serveQuestions(server *Server, connection net.Conn, source *decoder) {
	ctx, end := context.WithCancel(server.ctx)
	served := &questions{server: server, connection: connection, ctx: ctx, encoder: newEncoder("")}
	served.read(source)
	end()
	_ = connection.Close()
	served.wait.Wait()
}

func (q *questions) read(source *decoder) {
	for q.ctx.Err() == nil {
		var frame questionFrame
		if !q.server.read(q.connection, source, &frame) {
			return
		}
		if !q.begin() {
			q.server.noteBroken()
			return
		}
		go q.answer(frame)
	}
}

// begin counts a question as open; false if there are too many.
func (q *questions) begin() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.open >= maxOpen {
		return false
	}
	q.open++
	q.wait.Add(1)
	return true
}

func (q *questions) answer(frame questionFrame) {
	defer q.wait.Done()
	answer, given := q.server.handlers.Watch(q.ctx, frame.Request)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.open--
	if q.ctx.Err() != nil {
		return
	}
	if !given || !q.writeLocked(frame.ID, answer) {
		_ = q.connection.Close() // ends the reading, and with it the rest
	}
}

func (q *questions) writeLocked(id uint64, answer feed.WatchAnswer) bool {
	packed, err := q.server.packing.pack(&answer)
	if err == nil {
		err = q.encoder.add(answerFrame{ID: id, Answer: answer, Packed: packed})
	}
	if err != nil {
		if q.server.handlers.Log != nil {
			q.server.handlers.Log.WithError(err).Error("answer to a gateway dropped")
		}
		return false
	}
	return q.encoder.flush(q.connection, time.Time{}) == nil
}
