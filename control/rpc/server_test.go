package rpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus/hooks/test"

	"eiderway/control/feed"
)

// call opens a connection and writes the bytes.
func call(t *testing.T, address string, contents []byte) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(patience))
	if _, err := connection.Write(contents); err != nil {
		t.Fatal(err)
	}
	return connection
}

// isClosed waits until the other side closes, which it must without having said anything.
func isClosed(t *testing.T, connection net.Conn) {
	t.Helper()
	count, err := connection.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); err == nil || count > 0 || ok && timeout.Timeout() {
		t.Fatalf("not closed: %d bytes, %v", count, err)
	}
}

func TestForeignCallersAreClosedAndToldOfOnce(t *testing.T) {
	is := is.New(t)
	log, lines := test.NewNullLogger()
	server, address := serve(t, Handlers{Log: log})
	for _, contents := range []string{"GET / HTTP/1.1\r\n\r\n", "CONNECT db u1\r\n", "\x00\x00\x00\x13eiderway-rpc/9 peer"} {
		isClosed(t, call(t, address, []byte(contents)))
	}
	is.Equal(server.Counts().Foreign, uint64(3))
	is.Equal(len(lines.AllEntries()), 1)
}

func TestSilentCallersAreClosed(t *testing.T) {
	is := is.New(t)
	server, address := serve(t, Handlers{})
	isClosed(t, call(t, address, nil))
	is.Equal(server.Counts().Foreign, uint64(1))
}

func TestBrokenStreamsAreClosed(t *testing.T) {
	is := is.New(t)
	server, address := serve(t, Handlers{})
	greeting := framed(t, kindGateway)
	isClosed(t, call(t, address, append(greeting, "\x00\x00\x00\x05abcde"...)))
	isClosed(t, call(t, address, append(greeting, "\xff\xff\xff\xff"...)))
	is.Equal(server.Counts().Broken, uint64(2))
}

func TestTooManyQuestionsAtOnceCloseTheConnection(t *testing.T) {
	is := is.New(t)
	server, address := serve(t, Handlers{Watch: untilGone})
	var questions []any
	for id := range uint64(maxOpen + 1) {
		questions = append(questions, questionFrame{ID: id + 1})
	}
	isClosed(t, call(t, address, framed(t, kindGateway, questions...)))
	is.Equal(server.Counts().Broken, uint64(1))
}

// untilGone gives no answer until the connection has ended.
func untilGone(ctx context.Context, _ feed.WatchRequest) (feed.WatchAnswer, bool) {
	<-ctx.Done()
	return feed.WatchAnswer{}, true
}

func TestContextOfAQuestionEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	asked, ended := make(chan struct{}), make(chan struct{})
	server, address := serve(t, Handlers{Watch: func(ctx context.Context, request feed.WatchRequest) (feed.WatchAnswer, bool) {
		close(asked)
		defer close(ended)
		return untilGone(ctx, request)
	}})
	connection := call(t, address, framed(t, kindGateway, questionFrame{ID: 1}))
	<-asked
	is.NoErr(connection.Close())
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("the context goes on")
	}
	eventually(t, "connection given up", func() bool { return server.Counts().Open == 0 })
}

func TestNoAnswerClosesTheConnection(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, Handlers{Watch: func(context.Context, feed.WatchRequest) (feed.WatchAnswer, bool) {
		return feed.WatchAnswer{}, false
	}})
	_, err := newClient(t).Watch(patient(t), address, asks("x"))
	is.True(isUnknown(err))
}

func TestClosingTheServerEndsEverything(t *testing.T) {
	is := is.New(t)
	asked := make(chan struct{})
	server, address := serve(t, Handlers{Watch: func(ctx context.Context, request feed.WatchRequest) (feed.WatchAnswer, bool) {
		close(asked)
		return untilGone(ctx, request)
	}})
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		<-asked
		server.Close()
	}()
	_, err := newClient(t).Watch(patient(t), address, asks("x"))
	is.True(isUnknown(err))
	<-closed // the client may see the end while the server still waits for its handlers
	is.Equal(server.Counts().Open, 0)
}
