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

// patience bounds waits for what must come about; no test waits this long unless it fails.
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

func patient(t *testing.T) context.Context {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), patience)
	t.Cleanup(stop)
	return ctx
}

// script is a server that does what a test wants with each connection.
func script(t *testing.T, play func(connection *scripted)) string {
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

// scripted is the server's side of a connection that plays a script.
type scripted struct {
	net.Conn
	number int // of the connection, from 1 on
	source *decoder
	out    *encoder
}

func newScripted(connection net.Conn, number int) *scripted {
	_ = connection.SetDeadline(time.Now().Add(patience))
	return &scripted{Conn: connection, number: number, source: newDecoder(connection), out: newEncoder("")}
}

// question reads the greeting, where it is still to come, and a question; false at the end of the connection.
func (s *scripted) question(greeted bool) (questionFrame, bool) {
	var frame questionFrame
	if !greeted {
		if _, err := s.source.greeting(); err != nil {
			return frame, false
		}
	}
	return frame, s.source.value(&frame) == nil
}

func (s *scripted) answer(id uint64, name string) {
	if err := s.out.add(answerFrame{ID: id, Answer: answerFor(name)}); err == nil {
		_ = s.out.flush(s.Conn, time.Time{})
	}
}

// reset ends the connection as a process does that is killed with unread bytes.
func (s *scripted) reset() {
	_ = s.Conn.(*net.TCPConn).SetLinger(0)
	_ = s.Close()
}

// waitForEnd reads until the other side has closed.
func (s *scripted) waitForEnd() {
	var frame questionFrame
	for s.source.value(&frame) == nil {
		continue
	}
}

func asks(name string) feed.WatchRequest { return feed.WatchRequest{Gateway: name} }

// answerFor makes an answer by which its question is known.
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
			t.Fatalf("%s: not within %v", what, patience)
		}
	}
}
