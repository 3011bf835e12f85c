package rpc

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"eiderway/control/feed"
	"eiderway/control/replication"
)

// patience is the longest wait for an event that must happen; no test waits this long unless it fails.
const patience = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// serve runs a server until the end of the test.
func serve(t *testing.T, handlers Handlers) (*Server, string) {
	t.Helper()
	listener := listen(t)
	server := Serve(listener, handlers)
	t.Cleanup(server.Close)
	return server, listener.Addr().String()
}

func newClient(t *testing.T) *Client {
	t.Helper()
	client := &Client{}
	t.Cleanup(client.Close)
	return client
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), patience)
	t.Cleanup(stop)
	return ctx
}

// scriptedServer runs a server that calls play for each connection, and returns its address.
func scriptedServer(t *testing.T, play func(connection *scriptedConn)) string {
	t.Helper()
	listener := listen(t)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for number := 1; ; number++ {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			play(newScripted(connection, number))
			_ = connection.Close()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return listener.Addr().String()
}

// scriptedConn is the server's side of a connection to a scriptedServer.
type scriptedConn struct {
	net.Conn
	number int // of the connection, starting at 1
	source *decoder
	out    *encoder
}

func newScripted(connection net.Conn, number int) *scriptedConn {
	_ = connection.SetDeadline(time.Now().Add(patience))
	return &scriptedConn{Conn: connection, number: number, source: newDecoder(connection), out: newEncoder("")}
}

// request reads a request, and before it the greeting unless greeted; false at the end of the connection.
func (s *scriptedConn) request(greeted bool) (requestFrame, bool) {
	var frame requestFrame
	if !greeted {
		if _, err := s.source.readGreeting(); err != nil {
			return frame, false
		}
	}
	return frame, s.source.readValue(&frame) == nil
}

func (s *scriptedConn) answer(id uint64, name string) {
	if err := s.out.add(answerFrame{ID: id, Answer: answerFor(name)}); err == nil {
		_ = s.out.flush(s.Conn, time.Time{})
	}
}

// reset ends the connection like a process that is killed with unread bytes.
func (s *scriptedConn) reset() {
	_ = s.Conn.(*net.TCPConn).SetLinger(0)
	_ = s.Close()
}

// waitForEnd reads until the other side has closed.
func (s *scriptedConn) waitForEnd() {
	var frame requestFrame
	for s.source.readValue(&frame) == nil {
		continue
	}
}

func watchRequest(name string) feed.WatchRequest { return feed.WatchRequest{Gateway: name} }

// answerFor returns an answer that carries the name of its request.
func answerFor(name string) feed.WatchAnswer {
	answer := feed.WatchAnswer{Lease: time.Second}
	answer.Primary.Name = name
	return answer
}

func echo(_ context.Context, request feed.WatchRequest) (feed.WatchAnswer, bool) {
	return answerFor(request.Gateway), true
}

func message(request uint64) replication.Message {
	return replication.Message{Request: request, Append: &replication.Append{}}
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not happen within %v", what, patience)
		}
	}
}
