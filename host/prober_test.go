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

// instanceStandIn is an instance that answers each question as the test wants.
type instanceStandIn struct {
	listener net.Listener
	greeting string
	asked    chan askedQuestion
	ended    chan struct{} // one token for each connection that has ended
	running  sync.WaitGroup
}

// askedQuestion is one question that came, with the connection to answer on.
type askedQuestion struct {
	text       string
	connection net.Conn
}

func (q askedQuestion) answer(text string) { _, _ = q.connection.Write([]byte(text)) }

func rowOf(number uint64) string {
	status := failover.Status{Term: 3, Received: failover.Position{Term: 3, Number: number}, TermHeld: 3}
	return "ROW " + wire.FormatStatus(status) + "\r\nCOMPLETE -\r\nREADY I 3.1\r\n"
}

func newInstanceStandIn(t *testing.T, greeting string) *instanceStandIn {
	t.Helper()
	stand := &instanceStandIn{greeting: greeting, asked: make(chan askedQuestion, 10), ended: make(chan struct{}, 100)}
	stand.listener = serveConnections(t, &stand.running, stand.serve)
	return stand
}

// serveConnections listens, and serves each connection by itself until the test ends.
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

// newAnsweringInstance is an instance that answers every question with the same row, as the primary of its service or not.
func newAnsweringInstance(t *testing.T, primary bool) *instanceStandIn {
	t.Helper()
	stand := newInstanceStandIn(t, ready)
	status := failover.Status{Primary: primary, Term: 3, Received: failover.Position{Term: 3, Number: 9}, TermHeld: 3}
	row := "ROW " + wire.FormatStatus(status) + "\r\nCOMPLETE -\r\n" + ready
	ctx, cancel := context.WithCancel(context.Background())
	stand.running.Go(func() {
		for {
			select {
			case question := <-stand.asked:
				question.answer(row)
			case <-ctx.Done():
				return
			}
		}
	})
	t.Cleanup(cancel)
	return stand
}

func (s *instanceStandIn) serve(connection net.Conn) {
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
		s.asked <- askedQuestion{text: line, connection: connection}
	}
}

func (s *instanceStandIn) probe(number uint64, kind failover.ProbeKind) failover.Probe {
	return failover.Probe{Number: number, Kind: kind, Term: 4, Service: "s", InstanceID: "i-1", Address: s.listener.Addr().String()}
}

// probing is a prober with the results that it delivers.
type probing struct {
	*prober
	results chan failover.ProbeResult
}

func newProbing(t *testing.T, answerWait time.Duration) probing {
	t.Helper()
	started := time.Now()
	results := make(chan failover.ProbeResult, 100)
	now := func() time.Duration { return time.Since(started) }
	deliver := func(result failover.ProbeResult) { results <- result }
	made := newProber(t.Context(), "c-1", now, deliver, &counters{})
	made.waits.answer = answerWait
	t.Cleanup(made.close)
	return probing{prober: made, results: results}
}

const ready = "READY I 3.1\r\n"

func TestProbesShareAConnectionAndTakeTurns(t *testing.T) {
	is := is.New(t)
	stand := newInstanceStandIn(t, ready)
	prober := newProbing(t, patience)
	kinds := []failover.ProbeKind{failover.AskStatus, failover.AskPause, failover.AskContinue, failover.AskStepDown}
	for index, kind := range kinds {
		prober.start(stand.probe(uint64(index), kind))
	}
	var first net.Conn
	for index, text := range []string{"STATUS", "PAUSE 4", "CONTINUE", "STEPDOWN 4"} {
		question := receive(t, stand.asked)
		is.Equal(question.text, "QUERY - "+text)
		is.Equal(len(stand.asked), 0) // the next one waits for this one's answer
		if first == nil {
			first = question.connection
		}
		is.Equal(question.connection, first)
		question.answer(rowOf(uint64(index)))
		result := receive(t, prober.results)
		is.Equal(result.Number, uint64(index))
		is.Equal(result.Answer, failover.Answered)
		is.Equal(result.Status.Received.Number, uint64(index))
	}
}

func TestLateAnswerIsNeverTakenForTheNextProbe(t *testing.T) {
	is := is.New(t)
	stand := newInstanceStandIn(t, ready)
	prober := newProbing(t, 50*time.Millisecond)
	prober.start(stand.probe(1, failover.AskStatus))
	late := receive(t, stand.asked)
	is.Equal(receive(t, prober.results).Answer, failover.Silent)

	prober.waits.answer = patience // the prober rests: nobody else reads it
	prober.start(stand.probe(2, failover.AskStatus))
	next := receive(t, stand.asked)
	is.True(next.connection != late.connection)
	late.answer(rowOf(111))
	next.answer(rowOf(222))
	result := receive(t, prober.results)
	is.Equal(result.Answer, failover.Answered)
	is.Equal(result.Status.Received.Number, uint64(222))
	is.True(result.Started > 0)
}

func TestUnaskedBytesSpoilAKeptConnection(t *testing.T) {
	is := is.New(t)
	stand := newInstanceStandIn(t, ready)
	prober := newProbing(t, patience)
	prober.start(stand.probe(1, failover.AskStatus))
	first := receive(t, stand.asked)
	first.answer(rowOf(1) + rowOf(111)) // one answer too many
	is.Equal(receive(t, prober.results).Status.Received.Number, uint64(1))

	prober.start(stand.probe(2, failover.AskStatus))
	second := receive(t, stand.asked)
	is.True(second.connection != first.connection)
	second.answer(rowOf(2))
	is.Equal(receive(t, prober.results).Status.Received.Number, uint64(2))
}

func TestProbesThatFail(t *testing.T) {
	reset := func(question askedQuestion) { resetIt(question.connection) }
	answer := func(text string) func(askedQuestion) {
		return func(question askedQuestion) { question.answer(text) }
	}
	for _, example := range []struct {
		name     string
		greeting string
		end      func(askedQuestion)
		wanted   failover.ProbeAnswer
	}{
		{"busy", ready, answer("ERROR BUSY x\r\n" + ready), failover.Busy},
		{"a term too low", ready, answer("ERROR MALFORMED term\r\n" + ready), failover.Busy},
		{"it may have run", ready, answer("ERROR TIMEOUT x\r\n" + ready), failover.Silent},
		{"reset after the question", ready, reset, failover.Silent},
		{"no row", ready, answer("COMPLETE -\r\n" + ready), failover.Silent},
		{"another instance", "ERROR WRONGNODE i-2\r\n", nil, failover.Refused},
		{"no connection to spare", "ERROR CONNLIMIT x\r\n", nil, failover.Busy},
	} {
		t.Run(example.name, func(t *testing.T) {
			is := is.New(t)
			stand := newInstanceStandIn(t, example.greeting)
			prober := newProbing(t, patience)
			prober.start(stand.probe(1, failover.AskPause))
			if example.end != nil {
				example.end(receive(t, stand.asked))
			}
			is.Equal(receive(t, prober.results).Answer, example.wanted)
		})
	}
}

func TestInstanceThatIsNotThere(t *testing.T) {
	is := is.New(t)
	prober := newProbing(t, patience)
	absent := newInstanceStandIn(t, ready).probe(1, failover.AskStatus)
	absent.Address = loopback.ReserveForTest(t).Address() // nobody listens there
	prober.start(absent)
	is.Equal(receive(t, prober.results).Answer, failover.Refused)

	mute := newInstanceStandIn(t, "") // takes the connection and says nothing
	prober.waits.dial = 50 * time.Millisecond
	prober.start(mute.probe(2, failover.AskStatus))
	is.Equal(receive(t, prober.results).Answer, failover.Silent)
}

func TestEveryProbeEndsAlsoWhenTooManyWait(t *testing.T) {
	is := is.New(t)
	stand := newInstanceStandIn(t, ready)
	prober := newProbing(t, patience)
	const asked = probesWaiting + 10
	for number := range uint64(asked) {
		prober.start(stand.probe(number, failover.AskStatus))
	}
	ended := map[uint64]bool{}
	for len(ended) < asked {
		select {
		case question := <-stand.asked:
			question.answer(rowOf(1))
		case result := <-prober.results:
			is.True(!ended[result.Number])
			ended[result.Number] = true
		case <-time.After(patience):
			t.Fatal("a probe did not end")
		}
	}
}

func TestRestingConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	stand := newInstanceStandIn(t, ready)
	prober := newProbing(t, patience)
	prober.waits.idle = 10 * time.Millisecond
	prober.start(stand.probe(1, failover.AskStatus))
	receive(t, stand.asked).answer(rowOf(1))
	receive(t, stand.ended)
	is.Equal(receive(t, prober.results).Answer, failover.Answered)
}
