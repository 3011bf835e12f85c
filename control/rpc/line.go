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

// line is a client's connection to one controller.
type line struct {
	client     *Client
	address    string
	connection net.Conn
	done       chan struct{} // closed when the line has ended; then cause is set

	mutex   sync.Mutex // of all below, and of writing
	encoder *encoder
	last    uint64 // request id
	open    map[uint64]chan feed.WatchAnswer
	cause   error // why the line ended
}

func newLine(client *Client, address string, connection net.Conn) *line {
	return &line{
		client:     client,
		address:    address,
		connection: connection,
		done:       make(chan struct{}),
		encoder:    newEncoder(kindGateway),
		open:       map[uint64]chan feed.WatchAnswer{},
	}
}

func (l *line) ask(ctx context.Context, request feed.WatchRequest) (feed.WatchAnswer, error) {
	if ctx.Err() != nil {
		return feed.WatchAnswer{}, &Unreachable{Address: l.address, Cause: ctx.Err()}
	}
	answered, err := l.send(ctx, request)
	if err != nil {
		return feed.WatchAnswer{}, err
	}
	select {
	case answer := <-answered:
		return answer, nil
	case <-l.done:
		return l.lastAnswer(answered)
	case <-ctx.Done():
		l.end(errGivenUp)
		return feed.WatchAnswer{}, &Unknown{Address: l.address, Cause: ctx.Err()}
	}
}

// lastAnswer is for a question whose line ended: the answer may have come just before.
func (l *line) lastAnswer(answered <-chan feed.WatchAnswer) (feed.WatchAnswer, error) {
	select {
	case answer := <-answered:
		return answer, nil
	default:
		return feed.WatchAnswer{}, &Unknown{Address: l.address, Cause: l.cause}
	}
}

// send writes the question, and opens it for an answer.
func (l *line) send(ctx context.Context, request feed.WatchRequest) (<-chan feed.WatchAnswer, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cause != nil {
		return nil, &Unreachable{Address: l.address, Cause: l.cause}
	}
	if err := l.encoder.add(questionFrame{ID: l.last + 1, Request: request}); err != nil {
		l.endLocked(err)
		return nil, &Unreachable{Address: l.address, Cause: err}
	}
	l.last++
	answered := make(chan feed.WatchAnswer, 1)
	l.open[l.last] = answered
	latest, _ := ctx.Deadline()
	if err := l.encoder.flush(l.connection, latest); err != nil {
		l.endLocked(err)
		return nil, &Unknown{Address: l.address, Cause: err}
	}
	return answered, nil
}

// read takes answers until the line ends.
func (l *line) read() {
	defer l.client.wait.Done()
	source := newDecoder(l.connection)
	for {
		var frame answerFrame
		err := source.value(&frame)
		if err == nil {
			err = unpack(&frame.Answer, frame.Packed)
		}
		if err != nil {
			l.countBroken(err)
			l.end(err)
			return
		}
		l.take(frame)
	}
}

// take hands the answer to its question. One that nobody asked for is dropped.
func (l *line) take(frame answerFrame) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	answered, asked := l.open[frame.ID]
	if !asked || l.cause != nil {
		l.client.stray.Add(1)
		return
	}
	delete(l.open, frame.ID)
	answered <- frame.Answer
}

func (l *line) countBroken(err error) {
	if isBroken(err) {
		l.client.broken.Add(1)
	}
}

func (l *line) end(cause error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.endLocked(cause)
}

func (l *line) endLocked(cause error) {
	if l.cause != nil {
		return
	}
	l.cause = cause
	if errors.Is(cause, io.EOF) {
		l.cause = errClosed
	}
	_ = l.connection.Close()
	l.client.forget(l)
	close(l.done)
}

// isBroken tells bytes that make no frame from a connection that just ended.
func isBroken(err error) bool {
	return eris.Is(err, errFrameTooLong) || eris.Is(err, errBadFrame) || eris.Is(err, errBadGreeting)
}
