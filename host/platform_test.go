package host

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/failover"
	"eiderway/testing/loopback"
)

// fakePlatform records the calls that it receives, and answers each as the test wants.
type fakePlatform struct {
	listener net.Listener
	end      func(connection net.Conn) // after the call has been read
	requests chan receivedCall
	running  sync.WaitGroup
}

// receivedCall is a call as the platform received it.
type receivedCall struct {
	line, holder, fence, body string
}

func newFakePlatform(t *testing.T, end func(net.Conn)) *fakePlatform {
	t.Helper()
	fake := &fakePlatform{end: end, requests: make(chan receivedCall, 10)}
	fake.listener = serveConnections(t, &fake.running, fake.serve)
	return fake
}

// serve answers all calls on a connection, as a platform with keep-alive would.
func (p *fakePlatform) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		p.requests <- receivedCall{
			line:   request.Method + " " + request.URL.Path,
			holder: request.Header.Get(headerHolder),
			fence:  request.Header.Get(headerFence),
			body:   string(body),
		}
		p.end(connection)
	}
}

func answerWith(text string) func(net.Conn) {
	return func(connection net.Conn) { _, _ = io.WriteString(connection, text) }
}

func status(code int) func(net.Conn) {
	return answerWith(fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", code))
}

func resetConnection(connection net.Conn) {
	_ = connection.(*net.TCPConn).SetLinger(0)
	_ = connection.Close()
}

// callPlatform makes one call and returns how it ended.
func callPlatform(t *testing.T, address string, wait time.Duration) failover.PlatformResult {
	t.Helper()
	results := make(chan failover.PlatformResult, 1)
	caller := &platformClient{
		address:  address,
		deliver:  func(result failover.PlatformResult) { results <- result },
		counters: &counters{},
		ctx:      t.Context(),
		timeout:  wait,
	}
	caller.start(failover.PlatformCall{Number: 7, Service: "s", InstanceID: "i-1", Holder: "c-1", Fence: 42}, time.Now())
	result := receive(t, results)
	caller.calls.Wait()
	return result
}

func TestPlatformCallIsSentOnceWithCorrectOutcome(t *testing.T) {
	const silence = 100 * time.Millisecond
	for _, example := range []struct {
		name    string
		end     func(net.Conn)
		wait    time.Duration
		outcome failover.PlatformOutcome
		code    int
	}{
		{"accepted", status(200), testTimeout, failover.Accepted, 200},
		{"accepted without content", status(204), testTimeout, failover.Accepted, 204},
		{"interim answer first", answerWith("HTTP/1.1 102 x\r\n\r\nHTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n"), testTimeout, failover.Accepted, 200},
		{"conflict", status(409), testTimeout, failover.Declined, 409},
		{"too many", status(429), testTimeout, failover.Declined, 429},
		{"fault", status(500), testTimeout, failover.OutcomeUnknown, 500},
		{"redirect", answerWith("HTTP/1.1 307 x\r\nLocation: /failover\r\nContent-Length: 0\r\n\r\n"), testTimeout, failover.OutcomeUnknown, 307},
		{"reset", resetConnection, testTimeout, failover.OutcomeUnknown, 0},
		{"closed", func(connection net.Conn) { _ = connection.Close() }, testTimeout, failover.OutcomeUnknown, 0},
		{"half an answer", func(connection net.Conn) { answerWith("HTTP/1.1 20")(connection); _ = connection.Close() }, testTimeout, failover.OutcomeUnknown, 0},
		{"silence", func(net.Conn) {}, silence, failover.OutcomeUnknown, 0},
	} {
		t.Run(example.name, func(t *testing.T) {
			is := is.New(t)
			fake := newFakePlatform(t, example.end)
			result := callPlatform(t, fake.listener.Addr().String(), example.wait)
			is.Equal(result, failover.PlatformResult{Number: 7, Outcome: example.outcome, Code: example.code})
			is.Equal(receive(t, fake.requests), receivedCall{
				line:   "POST /failover",
				holder: "c-1",
				fence:  "42",
				body:   `{"targetService":"s","instanceId":"i-1"}`,
			})
			is.Equal(len(fake.requests), 0) // exactly one
		})
	}
}

func TestRefusedPlatformConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	is.Equal(callPlatform(t, loopback.ReserveForTest(t).Address(), testTimeout).Outcome, failover.NotSent) // nobody listens there
	is.Equal(callPlatform(t, "", testTimeout).Outcome, failover.NotSent)                                   // a process without a platform
}

// callPlatformOver makes one call over a connection that the test opens, and returns how it ended.
func callPlatformOver(t *testing.T, connect func(context.Context) (net.Conn, error)) failover.PlatformResult {
	t.Helper()
	results := make(chan failover.PlatformResult, 1)
	caller := &platformClient{
		deliver:  func(result failover.PlatformResult) { results <- result },
		counters: &counters{},
		ctx:      t.Context(),
		timeout:  testTimeout,
		connect:  connect,
	}
	caller.start(failover.PlatformCall{Number: 7, Service: "s", InstanceID: "i-1", Holder: "c-1", Fence: 42}, time.Now())
	result := receive(t, results)
	caller.calls.Wait()
	return result
}

// Bytes that a call wrote last, and that the kernel still resends, are sent long before MaxCallDelay, on which failovers rely.
func TestPlatformCallsEndBeforeMaxCallDelay(t *testing.T) {
	is.New(t).True(maxPlatformCallAge+unackedTimeout < failover.DefaultSettings().MaxCallDelay/2)
}

// A process that was frozen between the dial and the write resumes with a connection that still accepts bytes.
func TestStalePlatformCallIsNotSent(t *testing.T) {
	is := is.New(t)
	fake := newFakePlatform(t, status(200))
	result := callPlatformOver(t, func(context.Context) (net.Conn, error) {
		connection, err := net.Dial("tcp4", fake.listener.Addr().String())
		time.Sleep(maxPlatformCallAge + 10*time.Millisecond)
		return connection, err
	})
	is.Equal(result, failover.PlatformResult{Number: 7, Outcome: failover.NotSent})
	fake.running.Go(func() { _ = fake.listener.Close() })
	fake.running.Wait()
	is.Equal(len(fake.requests), 0)
}

// A connection that accepts no bytes, or no more of them, is abandoned when the call reaches maxPlatformCallAge.
func TestPlatformCallWriteIsBounded(t *testing.T) {
	for _, example := range []struct {
		name    string
		read    int // bytes that the other end reads
		outcome failover.PlatformOutcome
	}{
		{"nothing went out", 0, failover.NotSent},
		{"a part went out", 10, failover.OutcomeUnknown},
	} {
		t.Run(example.name, func(t *testing.T) {
			is := is.New(t)
			near, far := net.Pipe()
			defer far.Close()
			began := time.Now()
			result := callPlatformOver(t, func(context.Context) (net.Conn, error) {
				go func() { _, _ = io.ReadFull(far, make([]byte, example.read)) }()
				return near, nil
			})
			is.Equal(result, failover.PlatformResult{Number: 7, Outcome: example.outcome})
			is.True(time.Since(began) < testTimeout/2) // long before the timeout of the whole call
		})
	}
}
