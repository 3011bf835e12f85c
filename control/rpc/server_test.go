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

// call connects to the address and writes the bytes.
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

// expectClosed waits until the other side closes the connection, which it must do without sending anything.
func expectClosed(t *testing.T, connection net.Conn) {
	t.Helper()
	count, err := connection.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); err == nil || count > 0 || ok && timeout.Timeout() {
		t.Fatalf("the connection was not closed: read %d bytes, %v", count, err)
	}
}

func TestForeignCallersAreDisconnectedAndLoggedOnce(t *testing.T) {
	is := is.New(t)
	log, lines := test.NewNullLogger()
	server, address := serve(t, Handlers{Log: log})
	for _, contents := range []string{"GET / HTTP/1.1\r\n\r\n", "CONNECT db u1\r\n", "\x00\x00\x00\x13eiderway-rpc/9 peer"} {
		expectClosed(t, call(t, address, []byte(contents)))
	}
	is.Equal(server.Counts().Foreign, uint64(3))
	is.Equal(len(lines.AllEntries()), 1)
}

func TestSilentCallersAreDisconnected(t *testing.T) {
	is := is.New(t)
	server, address := serve(t, Handlers{})
	expectClosed(t, call(t, address, nil))
	is.Equal(server.Counts().Foreign, uint64(1))
}

func TestCallersThatSendInvalidFramesAreDisconnected(t *testing.T) {
	is := is.New(t)
	server, address := serve(t, Handlers{})
	greeting := encodeFrames(t, kindGateway)
	expectClosed(t, call(t, address, append(greeting, "\x00\x00\x00\x05abcde"...)))
	expectClosed(t, call(t, address, append(greeting, "\xff\xff\xff\xff"...)))
	is.Equal(server.Counts().Broken, uint64(2))
}

func TestTooManyOpenRequestsCloseTheConnection(t *testing.T) {
	is := is.New(t)
	server, address := serve(t, Handlers{Watch: waitForConnectionEnd})
	var requests []any
	for id := range uint64(maxOpenRequests + 1) {
		requests = append(requests, requestFrame{ID: id + 1})
	}
	expectClosed(t, call(t, address, encodeFrames(t, kindGateway, requests...)))
	is.Equal(server.Counts().Broken, uint64(1))
}

// waitForConnectionEnd is a Watch handler that answers only after the connection has ended.
func waitForConnectionEnd(ctx context.Context, _ feed.WatchRequest) (feed.WatchAnswer, bool) {
	<-ctx.Done()
	return feed.WatchAnswer{}, true
}

func TestContextOfARequestEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	received, ended := make(chan struct{}), make(chan struct{})
	server, address := serve(t, Handlers{Watch: func(ctx context.Context, request feed.WatchRequest) (feed.WatchAnswer, bool) {
		close(received)
		defer close(ended)
		return waitForConnectionEnd(ctx, request)
	}})
	connection := call(t, address, encodeFrames(t, kindGateway, requestFrame{ID: 1}))
	<-received
	is.NoErr(connection.Close())
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("the context was not cancelled")
	}
	eventually(t, "removal of the connection", func() bool { return server.Counts().Open == 0 })
}

func TestMissingAnswerClosesTheConnection(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, Handlers{Watch: func(context.Context, feed.WatchRequest) (feed.WatchAnswer, bool) {
		return feed.WatchAnswer{}, false
	}})
	_, err := newClient(t).Watch(testContext(t), address, watchRequest("x"))
	is.True(isUnknown(err))
}

func TestClosingTheServerEndsConnectionsAndHandlers(t *testing.T) {
	is := is.New(t)
	received := make(chan struct{})
	server, address := serve(t, Handlers{Watch: func(ctx context.Context, request feed.WatchRequest) (feed.WatchAnswer, bool) {
		close(received)
		return waitForConnectionEnd(ctx, request)
	}})
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		<-received
		server.Close()
	}()
	_, err := newClient(t).Watch(testContext(t), address, watchRequest("x"))
	is.True(isUnknown(err))
	<-closed // the client may see the end of the connection while the server still waits for its handlers
	is.Equal(server.Counts().Open, 0)
}
