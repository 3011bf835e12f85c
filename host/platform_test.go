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

// platformStandIn counts the calls that come, and ends each as the test wants.
type platformStandIn struct {
	listener net.Listener
	end      func(connection net.Conn) // after the call has been read
	requests chan receivedCall
	running  sync.WaitGroup
}

// receivedCall is what the platform saw of a call.
type receivedCall struct {
	line, holder, fence, body string
}

func newPlatformStandIn(t *testing.T, end func(net.Conn)) *platformStandIn {
	t.Helper()
	stand := &platformStandIn{end: end, requests: make(chan receivedCall, 10)}
	stand.listener = serveConnections(t, &stand.running, stand.serve)
	return stand
}

// serve answers all calls on a connection, as a platform with keep-alive would.
func (p *platformStandIn) serve(connection net.Conn) {
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

func resetIt(connection net.Conn) {
	_ = connection.(*net.TCPConn).SetLinger(0)
	_ = connection.Close()
}

// callPlatform makes one call and returns how it ended.
func callPlatform(t *testing.T, address string, wait time.Duration) failover.PlatformResult {
	t.Helper()
	results := make(chan failover.PlatformResult, 1)
	caller := &platform{
		address:  address,
		deliver:  func(result failover.PlatformResult) { results <- result },
		counters: &counters{},
		ctx:      t.Context(),
		wait:     wait,
	}
	caller.start(failover.PlatformCall{Number: 7, Service: "s", InstanceID: "i-1", Holder: "c-1", Fence: 42}, time.Now())
	result := receive(t, results)
	caller.calls.Wait()
	return result
}

func TestPlatformCallIsMadeOnceAndItsOutcomeIsRight(t *testing.T) {
	const silence = 100 * time.Millisecond
	for _, example := range []struct {
		name    string
		end     func(net.Conn)
		wait    time.Duration
		outcome failover.PlatformOutcome
		code    int
	}{
		{"accepted", status(200), patience, failover.Accepted, 200},
		{"accepted without content", status(204), patience, failover.Accepted, 204},
		{"interim answer first", answerWith("HTTP/1.1 102 x\r\n\r\nHTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n"), patience, failover.Accepted, 200},
		{"conflict", status(409), patience, failover.Declined, 409},
		{"too many", status(429), patience, failover.Declined, 429},
		{"fault", status(500), patience, failover.OutcomeUnknown, 500},
		{"redirect", answerWith("HTTP/1.1 307 x\r\nLocation: /failover\r\nContent-Length: 0\r\n\r\n"), patience, failover.OutcomeUnknown, 307},
		{"reset", resetIt, patience, failover.OutcomeUnknown, 0},
		{"closed", func(connection net.Conn) { _ = connection.Close() }, patience, failover.OutcomeUnknown, 0},
		{"half an answer", func(connection net.Conn) { answerWith("HTTP/1.1 20")(connection); _ = connection.Close() }, patience, failover.OutcomeUnknown, 0},
		{"silence", func(net.Conn) {}, silence, failover.OutcomeUnknown, 0},
	} {
		t.Run(example.name, func(t *testing.T) {
			is := is.New(t)
			stand := newPlatformStandIn(t, example.end)
			result := callPlatform(t, stand.listener.Addr().String(), example.wait)
			is.Equal(result, failover.PlatformResult{Number: 7, Outcome: example.outcome, Code: example.code})
			is.Equal(receive(t, stand.requests), receivedCall{
				line:   "POST /failover",
				holder: "c-1",
				fence:  "42",
				body:   `{"targetService":"s","instanceId":"i-1"}`,
			})
			is.Equal(len(stand.requests), 0) // exactly one
		})
	}
}

func TestPlatformThatRefusesConnectionsWasNotCalled(t *testing.T) {
	is := is.New(t)
	is.Equal(callPlatform(t, loopback.ReserveForTest(t).Address(), patience).Outcome, failover.NotSent) // nobody listens there
	is.Equal(callPlatform(t, "", patience).Outcome, failover.NotSent)                                   // a process without a platform
}

// connectedPlatform makes one call over a connection that the test makes, and returns how it ended.
func connectedPlatform(t *testing.T, connect func(context.Context) (net.Conn, error)) failover.PlatformResult {
	t.Helper()
	results := make(chan failover.PlatformResult, 1)
	caller := &platform{
		deliver:  func(result failover.PlatformResult) { results <- result },
		counters: &counters{},
		ctx:      t.Context(),
		wait:     patience,
		connect:  connect,
	}
	caller.start(failover.PlatformCall{Number: 7, Service: "s", InstanceID: "i-1", Holder: "c-1", Fence: 42}, time.Now())
	result := receive(t, results)
	caller.calls.Wait()
	return result
}

// What was written last, and what the kernel still sends of it, is sent long before failovers count on it.
func TestPlatformCallsEndWithinLateCall(t *testing.T) {
	is.New(t).True(platformFresh+unsentTimeout < failover.DefaultSettings().MaxCallDelay/2)
}

// A process that stood still between the dial and the write wakes with a connection that still takes bytes.
func TestPlatformCallThatIsTooOldIsNotSent(t *testing.T) {
	is := is.New(t)
	stand := newPlatformStandIn(t, status(200))
	result := connectedPlatform(t, func(context.Context) (net.Conn, error) {
		connection, err := net.Dial("tcp4", stand.listener.Addr().String())
		time.Sleep(platformFresh + 10*time.Millisecond)
		return connection, err
	})
	is.Equal(result, failover.PlatformResult{Number: 7, Outcome: failover.NotSent})
	stand.running.Go(func() { _ = stand.listener.Close() })
	stand.running.Wait()
	is.Equal(len(stand.requests), 0)
}

// A connection that takes no bytes, or no more of them, is given up while the call is still fresh.
func TestWritingOfAPlatformCallIsBounded(t *testing.T) {
	for _, example := range []struct {
		name    string
		read    int // bytes that the other end takes
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
			result := connectedPlatform(t, func(context.Context) (net.Conn, error) {
				go func() { _, _ = io.ReadFull(far, make([]byte, example.read)) }()
				return near, nil
			})
			is.Equal(result, failover.PlatformResult{Number: 7, Outcome: example.outcome})
			is.True(time.Since(began) < patience/2) // long before the whole call's time is over
		})
	}
}
