package host

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/failover"
	"eiderway/testing/loopback"
	"eiderway/wire"
)

// fakeInstance is an instance that answers each query as the test wants.
type fakeInstance struct {
	listener net.Listener
	greeting string
	queries  chan receivedQuery
	ended    chan struct{} // one token for each connection that has ended
	running  sync.WaitGroup
}

// receivedQuery is a query that arrived, with the connection to answer on.
type receivedQuery struct {
	text       string
	connection net.Conn
}

func (q receivedQuery) answer(text string) { _, _ = q.connection.Write([]byte(text)) }

func rowOf(number uint64) string {
	status := failover.Status{Term: 3, Received: failover.Position{Term: 3, Number: number}, TermHeld: 3}
	return "ROW " + wire.FormatStatus(status) + "\r\nCOMPLETE -\r\nREADY I 3.1\r\n"
}

func newFakeInstance(t *testing.T, greeting string) *fakeInstance {
	t.Helper()
	fake := &fakeInstance{greeting: greeting, queries: make(chan receivedQuery, 10), ended: make(chan struct{}, 100)}
	fake.listener = serveConnections(t, &fake.running, fake.serve)
	return fake
}

// serveConnections listens, and serves each connection in its own goroutine until the test ends.
func serveConnections(t *testing.T, running *sync.WaitGroup, serve func(net.Conn)) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	running.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			running.Go(func() { serve(connection) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		running.Wait()
	})
	return listener
}

// newAnsweringInstance returns an instance that answers every query with the same status, as the primary of its service or not.
func newAnsweringInstance(t *testing.T, primary bool) *fakeInstance {
	t.Helper()
	fake := newFakeInstance(t, ready)
	status := failover.Status{Primary: primary, Term: 3, Received: failover.Position{Term: 3, Number: 9}, TermHeld: 3}
	row := "ROW " + wire.FormatStatus(status) + "\r\nCOMPLETE -\r\n" + ready
	ctx, cancel := context.WithCancel(context.Background())
	fake.running.Go(func() {
		for {
			select {
			case query := <-fake.queries:
				query.answer(row)
			case <-ctx.Done():
				return
			}
		}
	})
	t.Cleanup(cancel)
	return fake
}

func (s *fakeInstance) serve(connection net.Conn) {
	defer func() { s.ended <- struct{}{} }()
	defer connection.Close()
	reader := wire.NewReader(connection)
	if _, err := reader.ReadLine(); err != nil {
		return
	}
	_, _ = connection.Write([]byte(s.greeting))
	for {
		line, err := reader.ReadLine()
		if err != nil {
			return
		}
		s.queries <- receivedQuery{text: line, connection: connection}
	}
}

func (s *fakeInstance) probe(number uint64, kind failover.ProbeKind) failover.Probe {
	return failover.Probe{Number: number, Kind: kind, Term: 4, Service: "s", InstanceID: "i-1", Address: s.listener.Addr().String()}
}

// testProber is a prober with the results that it delivers.
type testProber struct {
	*prober
	results chan failover.ProbeResult
}

func newTestProber(t *testing.T, answerWait time.Duration) testProber {
	t.Helper()
	started := time.Now()
	results := make(chan failover.ProbeResult, 100)
	now := func() time.Duration { return time.Since(started) }
	deliver := func(result failover.ProbeResult) { results <- result }
	made := newProber(t.Context(), "c-1", now, deliver, &counters{})
	made.timeouts.answer = answerWait
	t.Cleanup(made.close)
	return testProber{prober: made, results: results}
}

const ready = "READY I 3.1\r\n"

func TestProbesShareOneConnectionInTurn(t *testing.T) {
	is := is.New(t)
	fake := newFakeInstance(t, ready)
	prober := newTestProber(t, testTimeout)
	kinds := []failover.ProbeKind{failover.AskStatus, failover.AskPause, failover.AskContinue, failover.AskStepDown}
	for index, kind := range kinds {
		prober.start(fake.probe(uint64(index), kind))
	}
	var first net.Conn
	for index, text := range []string{"STATUS", "PAUSE 4", "CONTINUE", "STEPDOWN 4"} {
		query := receive(t, fake.queries)
		is.Equal(query.text, "QUERY - "+text)
		is.Equal(len(fake.queries), 0) // the next query waits for the answer to this one
		if first == nil {
			first = query.connection
		}
		is.Equal(query.connection, first)
		query.answer(rowOf(uint64(index)))
		result := receive(t, prober.results)
		is.Equal(result.Number, uint64(index))
		is.Equal(result.Answer, failover.Answered)
		is.Equal(result.Status.Received.Number, uint64(index))
	}
}

// TestCancelledProbeIsNotSent guards against a pause that waits behind a probe without an answer, and reaches its replica after the service has
// been given back to its leader.
func TestCancelledProbeIsNotSent(t *testing.T) {
	is := is.New(t)
	fake := newFakeInstance(t, ready)
	prober := newTestProber(t, testTimeout)
	prober.start(fake.probe(1, failover.AskStatus))
	first := receive(t, fake.queries)
	prober.start(fake.probe(2, failover.AskPause))
	prober.start(fake.probe(3, failover.AskStatus))
	prober.cancel(2)
	first.answer(rowOf(1))
	is.Equal(receive(t, prober.results).Number, uint64(1))
	receive(t, fake.queries).answer(rowOf(3))
	result := receive(t, prober.results)
	is.Equal(result.Number, uint64(3))
	is.Equal(result.Status.Received.Number, uint64(3))
}

func TestLateAnswerIsNotTakenForNextProbe(t *testing.T) {
	is := is.New(t)
	fake := newFakeInstance(t, ready)
	prober := newTestProber(t, 50*time.Millisecond)
	prober.start(fake.probe(1, failover.AskStatus))
	late := receive(t, fake.queries)
	is.Equal(receive(t, prober.results).Answer, failover.Silent)

	prober.timeouts.answer = testTimeout // the prober is idle: nothing else reads it
	prober.start(fake.probe(2, failover.AskStatus))
	next := receive(t, fake.queries)
	is.True(next.connection != late.connection)
	late.answer(rowOf(111))
	next.answer(rowOf(222))
	result := receive(t, prober.results)
	is.Equal(result.Answer, failover.Answered)
	is.Equal(result.Status.Received.Number, uint64(222))
	is.True(result.Started > 0)
}

func TestUnexpectedBytesDiscardKeptConnection(t *testing.T) {
	is := is.New(t)
	fake := newFakeInstance(t, ready)
	prober := newTestProber(t, testTimeout)
	prober.start(fake.probe(1, failover.AskStatus))
	first := receive(t, fake.queries)
	first.answer(rowOf(1) + rowOf(111)) // one answer too many
	is.Equal(receive(t, prober.results).Status.Received.Number, uint64(1))

	prober.start(fake.probe(2, failover.AskStatus))
	second := receive(t, fake.queries)
	is.True(second.connection != first.connection)
	second.answer(rowOf(2))
	is.Equal(receive(t, prober.results).Status.Received.Number, uint64(2))
}

func TestFailedProbeAnswers(t *testing.T) {
	reset := func(query receivedQuery) { resetConnection(query.connection) }
	answer := func(text string) func(receivedQuery) {
		return func(query receivedQuery) { query.answer(text) }
	}
	for _, example := range []struct {
		name     string
		greeting string
		end      func(receivedQuery)
		wanted   failover.ProbeAnswer
	}{
		{"busy", ready, answer("ERROR BUSY x\r\n" + ready), failover.Busy},
		{"a term too low", ready, answer("ERROR MALFORMED term\r\n" + ready), failover.Busy},
		{"it may have run", ready, answer("ERROR TIMEOUT x\r\n" + ready), failover.Silent},
		{"reset after the question", ready, reset, failover.Silent},
		{"no row", ready, answer("COMPLETE -\r\n" + ready), failover.Silent},
		{"another instance", "ERROR WRONGNODE i-2\r\n", nil, failover.Replaced},
		{"no connection to spare", "ERROR CONNLIMIT x\r\n", nil, failover.Busy},
	} {
		t.Run(example.name, func(t *testing.T) {
			is := is.New(t)
			fake := newFakeInstance(t, example.greeting)
			prober := newTestProber(t, testTimeout)
			prober.start(fake.probe(1, failover.AskPause))
			if example.end != nil {
				example.end(receive(t, fake.queries))
			}
			is.Equal(receive(t, prober.results).Answer, example.wanted)
		})
	}
}

func TestUnreachableInstance(t *testing.T) {
	is := is.New(t)
	prober := newTestProber(t, testTimeout)
	absent := newFakeInstance(t, ready).probe(1, failover.AskStatus)
	absent.Address = loopback.ReserveForTest(t).Address() // nobody listens there
	prober.start(absent)
	is.Equal(receive(t, prober.results).Answer, failover.Refused)

	mute := newFakeInstance(t, "") // takes the connection and says nothing
	prober.timeouts.dial = 50 * time.Millisecond
	prober.start(mute.probe(2, failover.AskStatus))
	is.Equal(receive(t, prober.results).Answer, failover.Silent)
}

func TestEveryProbeEndsWhenQueueIsFull(t *testing.T) {
	is := is.New(t)
	fake := newFakeInstance(t, ready)
	prober := newTestProber(t, testTimeout)
	const asked = maxQueuedProbes + 10
	for number := range uint64(asked) {
		prober.start(fake.probe(number, failover.AskStatus))
	}
	ended := map[uint64]bool{}
	for len(ended) < asked {
		select {
		case query := <-fake.queries:
			query.answer(rowOf(1))
		case result := <-prober.results:
			is.True(!ended[result.Number])
			ended[result.Number] = true
		case <-time.After(testTimeout):
			t.Fatal("a probe did not end")
		}
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	fake := newFakeInstance(t, ready)
	prober := newTestProber(t, testTimeout)
	prober.timeouts.idle = 10 * time.Millisecond
	prober.start(fake.probe(1, failover.AskStatus))
	receive(t, fake.queries).answer(rowOf(1))
	receive(t, fake.ended)
	is.Equal(receive(t, prober.results).Answer, failover.Answered)
}
