package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/feed"
	"eiderway/control/quorum"
	"eiderway/control/rpc"
	"eiderway/testing/loopback"
	"eiderway/wire"
)

// faultOnVerb injects a fault into statements of one verb.
func faultOnVerb(verb wire.Verb, injected fault) func(wire.Statement) fault {
	return func(statement wire.Statement) fault {
		if statement.Verb == verb {
			return injected
		}
		return noFault
	}
}

// statementGate holds statements of one verb at an instance until it is released or the test ends.
type statementGate struct {
	verb       wire.Verb
	arrived    chan struct{} // closed when the first statement has arrived
	arriveOnce sync.Once
	opened     chan struct{}
	openOnce   sync.Once
}

func holdStatements(t *testing.T, verb wire.Verb) *statementGate {
	gate := &statementGate{verb: verb, arrived: make(chan struct{}), opened: make(chan struct{})}
	t.Cleanup(gate.release)
	return gate
}

func (h *statementGate) intercept(statement wire.Statement) fault {
	if statement.Verb == h.verb {
		h.arriveOnce.Do(func() { close(h.arrived) })
		<-h.opened
	}
	return noFault
}

// startHeld sends a statement until the gate holds it: on a busy machine the lease may have run out, and the statement is refused. The
// channel delivers its answer.
func (c *testClient) startHeld(text string, gate *statementGate) <-chan string {
	c.Helper()
	answer := make(chan string, 1)
	for {
		c.start(text)
		go func() { answer <- c.answer() }()
		select {
		case <-gate.arrived:
			return answer
		case got := <-answer: // "end" after ten seconds without an answer
			if got != "ERROR BUSY / I" {
				c.Fatalf("%s: got %s", text, got)
			}
		}
	}
}

func (h *statementGate) release() { h.openOnce.Do(func() { close(h.opened) }) }

func TestStatementsReachTheLeaderUnchanged(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	c := env.connect("c")
	c.expect("PUT 1a4 some  data", "COMPLETE stamp / I")
	c.expect("FETCH 1a4", `COMPLETE stamp ["some  data"] / I`)
	c.expect("BEGIN", "COMPLETE stamp / T")
	c.expect("PUT 1a5 x", "COMPLETE stamp / T")
	c.expect("COMMIT", "COMPLETE stamp / I")
	is.Equal(env.first.texts(), []string{"c1 PUT 1a4 some  data", "c2 FETCH 1a4", "c3 BEGIN", "c4 PUT 1a5 x", "c5 COMMIT"})
	is.Equal(env.first.dials(), 1)
	is.Equal(len(env.second.texts()), 0)
}

// The gateway finds the primary through a seed that redirects it, over the controllers' real protocol.
func TestPrimaryIsFoundThroughASeed(t *testing.T) {
	is := is.New(t)
	asker := &rpc.Client{}
	env := startEnvWith(t, func(env *testEnv) controllerClient {
		port := loopback.ReserveForTest(t, "127.0.0.1", "127.0.0.2").Number
		primary, err := net.Listen("tcp4", "127.0.0.1:"+strconv.Itoa(port))
		is.NoErr(err)
		seed, err := net.Listen("tcp4", "127.0.0.2:"+strconv.Itoa(port))
		is.NoErr(err)
		env.settings.Seeds = []string{"127.0.0.2:1"}
		env.settings.InternalPorts = []int{port, port}
		leads := rpc.Serve(primary, rpc.Handlers{Watch: func(ctx context.Context, request feed.WatchRequest) (feed.WatchAnswer, bool) {
			answer, err := env.controller.Watch(ctx, "", request)
			return answer, err == nil
		}})
		sendsOn := rpc.Serve(seed, rpc.Handlers{Watch: func(context.Context, feed.WatchRequest) (feed.WatchAnswer, bool) {
			return feed.WatchAnswer{NotPrimary: true, Primary: quorum.Member{Address: primary.Addr().String()}}, true
		}})
		env.Cleanup(func() {
			asker.Close()
			sendsOn.Close()
			leads.Close()
		})
		return asker
	})
	env.connect("c").expect("PUT 1 x", "COMPLETE stamp / I")
	env.controller.publish(env.table(2, "i-1", true))
	env.eventually("the freeze is acknowledged", func() bool { return env.controller.hasApplied(2) })
}

func TestUnknownDatabaseIsRefused(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	c := env.connect("c")
	other := env.dial("o")
	other.send("CONNECT nowhere o")
	line, err := other.reader.ReadLine()
	is.NoErr(err)
	is.Equal(line, "ERROR NODB nowhere")
	_, err = other.reader.ReadLine()
	is.Equal(err, io.EOF)

	renamed := env.table(2, "i-1", false)
	renamed.ConfigurationNumber, renamed.Configuration = 8, newConfiguration(8, "store")
	env.controller.publish(renamed)
	env.eventually("the table is applied", func() bool { return env.controller.hasApplied(2) })
	c.expect("FETCH a", "ERROR NODB / I")
	c.expect("BEGIN", "ERROR NODB / I")
	is.Equal(len(env.first.clientStatements()), 0)
}

func TestMalformedInputReachesNoInstance(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	c := env.connect("c")
	for _, line := range []string{"FETCH a", "QUERY", "QUERY 1", "QUERY 1 STATUS", "QUERY 1 AFTERPOS 3.1 FETCH a", "QUERY - PUT a b", "QUERY 1 PUT a b\nQUERY 2 PUT c d", ""} {
		c.send(line)
		c.expectAnswer("ERROR MALFORMED / I")
	}
	c.expect("PUT a b", "COMPLETE stamp / I") // the session continues
	is.Equal(env.first.texts(), []string{"c1 PUT a b"})
	for _, line := range []string{"HELLO", "CONNECT shop", "QUERY 1 FETCH a", "CONNECT shop c i-1"} {
		other := env.dial("o")
		other.send(line)
		got, err := other.reader.ReadLine()
		is.NoErr(err)
		is.Equal(got, "ERROR MALFORMED")
		_, err = other.reader.ReadLine()
		is.Equal(err, io.EOF)
	}
	long := env.connect("l")
	go func() { _, _ = long.conn.Write([]byte("QUERY 1 PUT a " + strings.Repeat("x", 2*wire.MaxMessage))) }()
	_, err := io.ReadAll(long.conn)
	_ = err // a reset or the end of the stream: the session is over
	is.Equal(len(env.first.texts()), 1)
}

func TestPipelinedInputIsAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	c := env.dial("c")
	c.send("CONNECT shop c\r\nQUERY 1 PUT a x\r\nQUERY 2 FETCH a\r\nQUERY 3 nonsense\r\nQUERY 4 FETCH b\r\nQUIT")
	everything, err := io.ReadAll(c.conn)
	is.NoErr(err)
	is.Equal(string(everything), "READY I -\r\nCOMPLETE stamp\r\nREADY I 3.2\r\nROW x\r\nCOMPLETE stamp\r\nREADY I 3.2\r\n"+
		"ERROR MALFORMED\r\nREADY I -\r\nROW \r\nCOMPLETE stamp\r\nREADY I 3.2\r\n")
	is.Equal(env.first.texts(), []string{"1 PUT a x", "2 FETCH a", "4 FETCH b"})
}

func TestSessionsShareAConnectionAndKeepTheirNamesAndValues(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	a, b := env.connect("a"), env.connect("b")
	a.expect("PREPARE s1 PUT q2c", "COMPLETE - / I")
	b.expect("PREPARE s1 FETCH other", "COMPLETE - / I") // the same name, another shape
	b.expect("PREPARE s9 PUT q2c", "COMPLETE - / I")     // the same shape, another name
	a.expect("SETOPT zone noord", "COMPLETE - / I")
	a.expect("EXECUTE s1 1 x", "COMPLETE stamp / I")
	b.expect("EXECUTE s1 1", `COMPLETE stamp ["x"] / I`)
	b.expect("EXECUTE s9 1 y", "COMPLETE stamp / I")
	a.expect("EXECUTE s1 1 z", "COMPLETE stamp / I")
	b.expect("RELEASE s1", "COMPLETE - / I")
	b.expect("EXECUTE s1 1", "ERROR NOSTMT / I")
	is.Equal(env.first.dials(), 1)
	statements := env.first.clientStatements()
	is.Equal(len(statements), 4)
	noord := map[string]string{"zone": "noord"}
	for index, want := range []ranStatement{
		{id: "a3", text: "EXECUTE pq2c 1 x", shape: "q2c", values: noord},
		{id: "b3", text: "EXECUTE fother 1", shape: "other", values: map[string]string{}},
		{id: "b4", text: "EXECUTE pq2c 1 y", shape: "q2c", values: map[string]string{}},
		{id: "a4", text: "EXECUTE pq2c 1 z", shape: "q2c", values: noord},
	} {
		want.connection, want.user = 1, "edge-1"
		is.Equal(statements[index], want)
	}
}

func TestTransactionsDoNotShareConnections(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	a, b := env.connect("a"), env.connect("b")
	a.expect("BEGIN", "COMPLETE stamp / T")
	b.expect("PUT 2 y", "COMPLETE stamp / I")
	b.expect("BEGIN", "COMPLETE stamp / T")
	a.expect("PUT 1 x", "COMPLETE stamp / T")
	b.expect("PUT 1 y", "COMPLETE stamp / T")
	b.expect("ABORT", "COMPLETE stamp / I")
	a.expect("COMMIT", "COMPLETE stamp / I")
	statements := env.first.clientStatements()
	for _, statement := range statements {
		is.Equal(statement.connection, map[byte]int{'a': 1, 'b': 2}[statement.id[0]])
	}
	is.Equal(env.first.read("1"), "x")
}

// A client that disconnects inside a transaction: the transaction is rolled back and its connection is reused.
func TestClosedSessionRollsBackItsTransaction(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	a := env.connect("a")
	a.expect("BEGIN", "COMPLETE stamp / T")
	a.expect("PUT 1 x", "COMPLETE stamp / T")
	a.conn.Close()
	env.eventually("the transaction is rolled back", func() bool { return slices.Contains(env.first.texts(), "- ABORT") })
	b := env.connect("b")
	b.expect("FETCH 1", `COMPLETE stamp [""] / I`)
	is.Equal(env.first.dials(), 1)
}

func TestNothingIsStartedWithoutLease(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	env.controller.change(func(s *fakeController) { s.lease = 0 })
	c := env.connect("c")
	env.eventually("the lease has run out", func() bool { return c.ask("FETCH a") == "ERROR BUSY / I" })
	before := len(env.first.clientStatements())
	start := time.Now()
	c.expect("PUT a b", "ERROR BUSY / I")
	is.True(time.Since(start) < 100*time.Millisecond) // within a quarter of the route's target latency
	c.expect("BEGIN", "ERROR BUSY / I")
	is.Equal(len(env.first.clientStatements()), before)
	env.controller.change(func(s *fakeController) { s.lease = testLease })
	env.eventually("it is served again", func() bool { return c.ask("FETCH a") == `COMPLETE stamp [""] / I` })
}

// A gateway without contact to the controllers reports that it isn't ready. After a while it closes sessions once it
// has answered their statement.
func TestGatewayCutOffFromControllersClosesSessions(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	c, resting := env.connect("c"), env.connect("r")
	env.controller.change(func(s *fakeController) { s.isSilent = true })
	env.eventually("it isn't ready", func() bool { return env.readiness() == http.StatusServiceUnavailable })
	c.expect("FETCH 1", "ERROR BUSY / I")
	c.expect("FETCH 1", "ERROR BUSY / I") // not closed yet, since the platform may not have noticed
	time.Sleep(closeSessionsAfter - unreadyAfter)
	c.expect("FETCH 1", "ERROR BUSY / I")
	is.Equal(c.answer(), "end")
	env.controller.change(func(s *fakeController) { s.isSilent = false })
	env.eventually("it is ready", func() bool { return env.readiness() == http.StatusOK })
	resting.expect("FETCH 1", `COMPLETE stamp [""] / I`)
}

// The lease runs out while the instance runs a statement. A write or COMMIT that succeeds there is in doubt; a read
// keeps nothing and may be repeated.
func TestLeaseEndBetweenSendingAndAnswerIsNotReportedAsSuccess(t *testing.T) {
	for text, want := range map[string]string{"PUT a b": "ERROR INDOUBT / I", "FETCH a": "ERROR BUSY / I", "COMMIT": "ERROR INDOUBT / I"} {
		t.Run(text, func(t *testing.T) {
			env := startEnv(t)
			c := env.connect("c")
			if text == "COMMIT" {
				c.expect("BEGIN", "COMPLETE stamp / T")
				c.expect("PUT a b", "COMPLETE stamp / T")
			}
			verb, _, _ := strings.Cut(text, " ")
			gate := holdStatements(t, wire.Verb(verb))
			env.first.setIntercept(gate.intercept)
			env.controller.change(func(s *fakeController) { s.isSilent = true })
			c.start(text)
			<-gate.arrived
			time.Sleep(testLease + 50*time.Millisecond)
			gate.release()
			c.expectAnswer(want)
		})
	}
}

// The lease runs out and is renewed before the answer comes: what happened in between isn't known.
func TestLeaseLapseBeforeTheAnswerLeavesAWriteInDoubt(t *testing.T) {
	env := startEnv(t)
	c, other := env.connect("c"), env.connect("o")
	gate := holdStatements(t, wire.Put)
	env.first.setIntercept(gate.intercept)
	answer := c.startHeld("PUT a b", gate)
	env.controller.change(func(s *fakeController) { s.isSilent = true })
	time.Sleep(testLease + 50*time.Millisecond)
	env.controller.change(func(s *fakeController) { s.isSilent = false })
	env.eventually("there is a lease again", func() bool { return other.ask("FETCH a") == `COMPLETE stamp [""] / I` })
	gate.release()
	if got := <-answer; got != "ERROR INDOUBT / I" {
		t.Fatalf("got %s", got)
	}
}

// A COMMIT without a valid lease is not sent.
func TestCommitWithoutLeaseIsRolledBack(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	c := env.connect("c")
	c.expect("BEGIN", "COMPLETE stamp / T")
	c.expect("PUT a b", "COMPLETE stamp / T")
	env.controller.change(func(s *fakeController) { s.lease, s.isSilent = 0, true })
	other := env.connect("o")
	for start := time.Now(); time.Since(start) < testLease; {
		c.expect("PUT a b", "COMPLETE stamp / T") // so that the transaction isn't idle for too long
		time.Sleep(testLease / 10)
	}
	other.expect("FETCH a", "ERROR BUSY / I")
	c.expect("COMMIT", "ERROR ROLLEDBACK / I")
	is.Equal(env.first.read("a"), "")
}

func TestFreezeWaitsForOpenTransactions(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	c, other := env.connect("c"), env.connect("o")
	c.expect("BEGIN", "COMPLETE stamp / T")
	c.expect("PUT 1 x", "COMPLETE stamp / T")
	env.controller.publish(env.table(2, "i-1", true))
	env.eventually("first statements are refused", func() bool { return other.ask("FETCH 1") == "ERROR BUSY / I" })
	is.True(!env.controller.hasApplied(2))
	c.expect("COMMIT", "COMPLETE stamp / I")
	env.eventually("the freeze is acknowledged", func() bool { return env.controller.hasApplied(2) })
	c.expect("FETCH 1", "ERROR BUSY / I")
	env.controller.publish(env.table(3, "i-2", false))
	env.eventually("the new leader serves", func() bool { return c.ask("FETCH 1") == `COMPLETE stamp [""] / I` })
	is.True(len(env.second.clientStatements()) == 1)
}

// A freeze is acknowledged only when nothing is in flight at the leader; what doesn't end by itself is cut.
func TestFreezeCutsFlightsThatDoNotEnd(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	resting, writing, committing := env.connect("r"), env.connect("w"), env.connect("c")
	resting.expect("BEGIN", "COMPLETE stamp / T")
	resting.expect("PUT 1 x", "COMPLETE stamp / T")
	committing.expect("BEGIN", "COMPLETE stamp / T")
	committing.expect("PUT 2 x", "COMPLETE stamp / T")
	writing.expect("BEGIN", "COMPLETE stamp / T")
	commits, puts := holdStatements(t, wire.Commit), holdStatements(t, wire.Put)
	env.first.setIntercept(func(statement wire.Statement) fault {
		puts.intercept(statement)
		return commits.intercept(statement)
	})
	committing.start("COMMIT")
	<-commits.arrived
	writing.start("PUT 3 x")
	<-puts.arrived
	frozenAt := time.Now()
	env.controller.publish(env.table(2, "i-1", true))
	committing.expectAnswer("ERROR INDOUBT / I")
	writing.expectAnswer("ERROR ROLLEDBACK / E")
	is.True(time.Since(frozenAt) >= freezeGrace)
	env.eventually("the freeze is acknowledged", func() bool { return env.controller.hasApplied(2) })
	is.True(time.Since(frozenAt) < freezeGrace+testLease/2)
	resting.expect("COMMIT", "ERROR ROLLEDBACK / I")
	writing.expect("ABORT", "COMPLETE - / I")
	is.Equal(env.first.read("1"), "")
}

// The leader is replaced while a write is in flight there: its success isn't trusted.
func TestChangeOfLeaderLeavesAWriteInDoubt(t *testing.T) {
	env := startEnv(t)
	c, other := env.connect("c"), env.connect("o")
	gate := holdStatements(t, wire.Put)
	env.first.setIntercept(gate.intercept)
	c.start("PUT 1 x")
	<-gate.arrived
	env.controller.publish(env.table(2, "i-2", false))
	env.eventually("the new leader serves", func() bool { return other.ask("FETCH 1") == `COMPLETE stamp [""] / I` })
	gate.release()
	c.expectAnswer("ERROR INDOUBT / I")
}

func TestConnectionCutBeforeAndAfterTheStatement(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	c := env.connect("c")
	for _, met := range []fault{cutBefore, cutAfter} {
		env.first.setIntercept(faultOnVerb(wire.Put, met))
		c.expect("PUT 1 x", "ERROR INDOUBT / I")
		env.first.setIntercept(faultOnVerb(wire.Fetch, met))
		c.expect("FETCH 1", "ERROR BUSY / I")
		env.first.setIntercept(nil)
		c.expect("BEGIN", "COMPLETE stamp / T")
		env.first.setIntercept(faultOnVerb(wire.Put, met))
		c.expect("PUT 2 x", "ERROR ROLLEDBACK / E")
		c.expect("PUT 2 x", "ERROR MALFORMED / E")
		c.expect("COMMIT", "ERROR ROLLEDBACK / I")
		env.first.setIntercept(faultOnVerb(wire.Commit, met))
		c.expect("BEGIN", "COMPLETE stamp / T")
		c.expect("FETCH 2", `COMPLETE stamp [""] / T`)
		c.expect("COMMIT", "ERROR ROLLEDBACK / I") // the transaction wrote nothing
		c.expect("BEGIN", "COMPLETE stamp / T")
		c.expect("PUT 3 x", "COMPLETE stamp / T")
		c.expect("COMMIT", "ERROR INDOUBT / I")
		env.first.setIntercept(nil)
	}
	c.expect("FETCH 3", `COMPLETE stamp ["x"] / I`)
	is.Equal(env.first.read("2"), "")
}

// The controller is told of a broken connection at once, not when the pending watch ends.
func TestBrokenConnectionIsReportedAtOnce(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	c := env.connect("c")
	env.first.setIntercept(faultOnVerb(wire.Fetch, cutAfter))
	reported := func() bool {
		env.controller.mutex.Lock()
		defer env.controller.mutex.Unlock()
		return slices.ContainsFunc(env.controller.requests, func(request feed.WatchRequest) bool {
			return len(request.Reports) == 1 && request.Reports[0] == feed.InstanceReport{InstanceID: "i-1", Failures: 1}
		})
	}
	env.eventually("a question has just begun", func() bool {
		env.controller.mutex.Lock()
		defer env.controller.mutex.Unlock()
		return len(env.controller.requests) > 1
	})
	start := time.Now()
	c.expect("FETCH 1", "ERROR BUSY / I")
	env.eventually("the failure is reported", reported)
	is.True(time.Since(start) < testLease/watchesInLease/2)
}

// A connection ends while its transaction is idle: no COMMIT was sent.
func TestConnectionCutWhileTheTransactionIsIdle(t *testing.T) {
	env := startEnv(t)
	c := env.connect("c")
	c.expect("BEGIN", "COMPLETE stamp / T")
	c.expect("PUT 1 x", "COMPLETE stamp / T")
	env.first.cutAll()
	time.Sleep(20 * time.Millisecond)
	c.expect("COMMIT", "ERROR ROLLEDBACK / I")
	c.expect("FETCH 1", `COMPLETE stamp [""] / I`) // on a new connection
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	env := startEnv(t)
	c := env.connect("c")
	c.expect("PUT 1 x", "COMPLETE stamp / I")
	env.first.cutAll()
	time.Sleep(20 * time.Millisecond)
	c.expect("PUT 1 y", "COMPLETE stamp / I")
}

func TestInstanceRefusalIsAnsweredAsBusy(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	c := env.connect("c")
	env.first.setIntercept(faultOnVerb(wire.Put, refuseBusy))
	c.expect("PUT 1 x", "ERROR BUSY / I")
	is.Equal(len(env.first.clientStatements()), 2) // the route allows two attempts, and BUSY means not run
	c.expect("BEGIN", "COMPLETE stamp / T")
	c.expect("PUT 1 x", "ERROR BUSY / E")
	is.Equal(len(env.first.clientStatements()), 4) // inside a transaction there is only one attempt
	c.expect("ABORT", "COMPLETE - / I")
	env.first.setIntercept(nil)

	env.first.mutex.Lock()
	env.first.maxConnections = 1
	env.first.mutex.Unlock()
	c.expect("BEGIN", "COMPLETE stamp / T")
	other := env.connect("o")
	other.expect("PUT 2 x", "ERROR BUSY / I")
	c.expect("COMMIT", "COMPLETE stamp / I")
	other.expect("PUT 2 x", "COMPLETE stamp / I")
}

// A client that doesn't read its answers delays no other client, and its unread answers don't use unlimited memory.
func TestClientThatNeverReadsBlocksNobody(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	c, other := env.connect("c"), env.connect("o")
	other.expect("PUT long "+strings.Repeat("x", wire.MaxMessage/2), "COMPLETE stamp / I")
	go func() {
		for range 100 { // more than the socket buffers hold
			if _, err := c.conn.Write([]byte("QUERY 1 FETCH long\r\n")); err != nil {
				return
			}
		}
	}()
	env.eventually("the first answers are under way", func() bool { return len(env.first.clientStatements()) > 3 })
	other.expect("PUT a b", "COMPLETE stamp / I")
	time.Sleep(100 * time.Millisecond)
	is.True(len(env.first.clientStatements()) < 50) // it is served only until its buffers are full
}

func TestStatementTimesOut(t *testing.T) {
	env := startEnv(t)
	hasty := env.table(2, "i-1", false)
	hasty.ConfigurationNumber = 8
	hasty.Configuration = []byte(strings.Replace(string(newConfiguration(8, "shop")), `"timeoutMs":3000`, `"timeoutMs":100`, 1))
	env.controller.publish(hasty)
	env.eventually("the table is applied", func() bool { return env.controller.hasApplied(2) })
	c := env.connect("c")
	env.first.setIntercept(holdStatements(t, wire.Put).intercept)
	c.expect("PUT 1 x", "ERROR TIMEOUT / I")
	c.expect("BEGIN", "COMPLETE stamp / T")
	c.expect("PUT 1 x", "ERROR TIMEOUT / E")
	c.expect("ABORT", "COMPLETE - / I")
}

func TestIdleTransactionIsRolledBack(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	c := env.connect("c")
	c.expect("BEGIN", "COMPLETE stamp / T")
	c.expect("PUT 1 x", "COMPLETE stamp / T")
	env.eventually("the transaction is rolled back", func() bool { return slices.Contains(env.first.texts(), "- ABORT") })
	c.expect("PUT 1 y", "ERROR ROLLEDBACK / E")
	c.expect("ABORT", "COMPLETE - / I")
	c.expect("PUT 1 z", "COMPLETE stamp / I")
	is.Equal(env.first.read("1"), "z")
}

func TestShutdownEndsSessionsInPhases(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	resting, committing, idle, asking := env.connect("r"), env.connect("c"), env.connect("i"), env.connect("a")
	idle.expect("FETCH 1", `COMPLETE stamp [""] / I`)
	resting.expect("BEGIN", "COMPLETE stamp / T")
	committing.expect("BEGIN", "COMPLETE stamp / T")
	committing.expect("PUT 1 x", "COMPLETE stamp / T")
	begun := time.Now()
	close(env.terminate)
	env.eventually("it isn't ready", func() bool { return env.readiness() == http.StatusServiceUnavailable })
	idle.expect("FETCH 1", `COMPLETE stamp [""] / I`) // it continues to serve
	env.connect("n").expect("FETCH 1", `COMPLETE stamp [""] / I`)
	committing.expect("PUT 2 x", "COMPLETE stamp / T")
	committing.expect("COMMIT", "COMPLETE stamp / I")

	gate := holdStatements(t, wire.Fetch)
	env.first.setIntercept(gate.intercept)
	asking.start("FETCH 1")
	<-gate.arrived
	is.Equal(idle.answer(), "end") // after half of the grace period, which is shorter here than unreadyTime
	is.True(time.Since(begun) >= time.Second)
	env.eventually("the open transaction is rolled back", func() bool { return slices.Contains(env.first.texts(), "- ABORT") })
	resting.expect("PUT 1 y", "ERROR ROLLEDBACK / E")
	resting.expect("ABORT", "COMPLETE - / I")
	is.Equal(resting.answer(), "end")
	gate.release()
	asking.expectAnswer(`COMPLETE stamp ["x"] / I`) // a statement in progress is answered
	is.Equal(asking.answer(), "end")
	<-env.ended
	is.True(time.Since(begun) < 2*time.Second)
	is.True(env.controller.sawLeaving())
}

// When the time that the leader's drain allows is over, nothing begins there even without further news. Transactions
// that have begun their work may end.
func TestNothingBeginsAtLeaderAfterDrainDeadline(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	single, begun, working := env.connect("s"), env.connect("b"), env.connect("w")
	begun.expect("BEGIN", "COMPLETE stamp / T")
	working.expect("BEGIN", "COMPLETE stamp / T")
	working.expect("PUT 1 x", "COMPLETE stamp / T")
	const left = 200 * time.Millisecond
	env.controller.change(func(s *fakeController) { s.drains = map[string]time.Time{"i-1": time.Now().Add(left)} })
	draining := env.table(2, "i-1", false)
	draining.Services[0].Instances[0].Draining = true
	env.controller.publish(draining)
	env.eventually("single statements are refused", func() bool { return single.ask("FETCH 1") == "ERROR BUSY / I" })
	before := len(env.first.clientStatements())
	begun.expect("PUT 2 x", "ERROR ROLLEDBACK / E")
	working.expect("PUT 3 x", "COMPLETE stamp / T")
	working.expect("COMMIT", "COMPLETE stamp / I")
	single.expect("PUT 4 x", "ERROR BUSY / I")
	is.Equal(env.first.read("1"), "x")
	is.Equal(env.first.read("2"), "")
	for _, statement := range env.first.clientStatements()[before:] {
		is.True(!strings.Contains(statement.text, "PUT 2") && !strings.Contains(statement.text, "PUT 4"))
	}
}
