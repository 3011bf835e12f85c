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

// verbIs meets statements of one verb with a mishap.
func verbIs(verb wire.Verb, met mishap) func(wire.Statement) mishap {
	return func(statement wire.Statement) mishap {
		if statement.Verb == verb {
			return met
		}
		return none
	}
}

// held keeps statements of one verb waiting at an instance until they are released, or the test ends.
type held struct {
	verb    wire.Verb
	arrived chan struct{} // is closed when the first has come
	came    sync.Once
	let     chan struct{}
	letOnce sync.Once
}

func hold(t *testing.T, verb wire.Verb) *held {
	keeping := &held{verb: verb, arrived: make(chan struct{}), let: make(chan struct{})}
	t.Cleanup(keeping.release)
	return keeping
}

func (h *held) meet(statement wire.Statement) mishap {
	if statement.Verb == h.verb {
		h.came.Do(func() { close(h.arrived) })
		<-h.let
	}
	return none
}

func (h *held) release() { h.letOnce.Do(func() { close(h.let) }) }

func TestStatementsReachTheLeaderUnchanged(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	c := w.connect("c")
	c.must("PUT 1a4 some  data", "COMPLETE stamp / I")
	c.must("FETCH 1a4", `COMPLETE stamp ["some  data"] / I`)
	c.must("BEGIN", "COMPLETE stamp / T")
	c.must("PUT 1a5 x", "COMPLETE stamp / T")
	c.must("COMMIT", "COMPLETE stamp / I")
	is.Equal(w.first.texts(), []string{"c1 PUT 1a4 some  data", "c2 FETCH 1a4", "c3 BEGIN", "c4 PUT 1a5 x", "c5 COMMIT"})
	is.Equal(w.first.dials(), 1)
	is.Equal(len(w.second.texts()), 0)
}

// The gateway finds the primary through a seed that sends it on, over the controllers' own protocol.
func TestPrimaryIsFoundThroughASeed(t *testing.T) {
	is := is.New(t)
	asker := &rpc.Client{}
	w := startWorldAsking(t, func(w *world) watcher {
		port := loopback.ReserveForTest(t, "127.0.0.1", "127.0.0.2").Number
		primary, err := net.Listen("tcp4", "127.0.0.1:"+strconv.Itoa(port))
		is.NoErr(err)
		seed, err := net.Listen("tcp4", "127.0.0.2:"+strconv.Itoa(port))
		is.NoErr(err)
		w.settings.Seeds = []string{"127.0.0.2:1"}
		w.settings.InternalPorts = []int{port, port}
		leads := rpc.Serve(primary, rpc.Handlers{Watch: func(ctx context.Context, request feed.WatchRequest) (feed.WatchAnswer, bool) {
			answer, err := w.controller.Watch(ctx, "", request)
			return answer, err == nil
		}})
		sendsOn := rpc.Serve(seed, rpc.Handlers{Watch: func(context.Context, feed.WatchRequest) (feed.WatchAnswer, bool) {
			return feed.WatchAnswer{NotPrimary: true, Primary: quorum.Member{Address: primary.Addr().String()}}, true
		}})
		w.Cleanup(func() {
			asker.Close()
			sendsOn.Close()
			leads.Close()
		})
		return asker
	})
	w.connect("c").must("PUT 1 x", "COMPLETE stamp / I")
	w.controller.publish(w.table(2, "i-1", true))
	w.eventually("the freeze is acknowledged", func() bool { return w.controller.applied(2) })
}

func TestDatabasesThatAreNotThere(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	c := w.connect("c")
	other := w.dial("o")
	other.send("CONNECT nowhere o")
	line, err := other.reader.ReadLine()
	is.NoErr(err)
	is.Equal(line, "ERROR NODB nowhere")
	_, err = other.reader.ReadLine()
	is.Equal(err, io.EOF)

	renamed := w.table(2, "i-1", false)
	renamed.ConfigurationNumber, renamed.Configuration = 8, configurationOf(8, "store")
	w.controller.publish(renamed)
	w.eventually("the table is applied", func() bool { return w.controller.applied(2) })
	c.must("FETCH a", "ERROR NODB / I")
	c.must("BEGIN", "ERROR NODB / I")
	is.Equal(len(w.first.asked()), 0)
}

func TestBrokenInputReachesNobody(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	c := w.connect("c")
	for _, line := range []string{"FETCH a", "QUERY", "QUERY 1", "QUERY 1 STATUS", "QUERY 1 AFTERPOS 3.1 FETCH a", "QUERY - PUT a b", "QUERY 1 PUT a b\nQUERY 2 PUT c d", ""} {
		c.send(line)
		c.gets("ERROR MALFORMED / I")
	}
	c.must("PUT a b", "COMPLETE stamp / I") // the session goes on
	is.Equal(w.first.texts(), []string{"c1 PUT a b"})
	for _, line := range []string{"HELLO", "CONNECT shop", "QUERY 1 FETCH a", "CONNECT shop c i-1"} {
		other := w.dial("o")
		other.send(line)
		got, err := other.reader.ReadLine()
		is.NoErr(err)
		is.Equal(got, "ERROR MALFORMED")
		_, err = other.reader.ReadLine()
		is.Equal(err, io.EOF)
	}
	long := w.connect("l")
	go func() { _, _ = long.network.Write([]byte("QUERY 1 PUT a " + strings.Repeat("x", 2*wire.MaxMessage))) }()
	_, err := io.ReadAll(long.network)
	_ = err // a reset or an end: the session is over
	is.Equal(len(w.first.texts()), 1)
}

func TestPipelinedInputIsAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	c := w.dial("c")
	c.send("CONNECT shop c\r\nQUERY 1 PUT a x\r\nQUERY 2 FETCH a\r\nQUERY 3 nonsense\r\nQUERY 4 FETCH b\r\nQUIT")
	everything, err := io.ReadAll(c.network)
	is.NoErr(err)
	is.Equal(string(everything), "READY I -\r\nCOMPLETE stamp\r\nREADY I 3.2\r\nROW x\r\nCOMPLETE stamp\r\nREADY I 3.2\r\n"+
		"ERROR MALFORMED\r\nREADY I -\r\nROW \r\nCOMPLETE stamp\r\nREADY I 3.2\r\n")
	is.Equal(w.first.texts(), []string{"1 PUT a x", "2 FETCH a", "4 FETCH b"})
}

func TestSessionsShareAConnectionAndKeepTheirNamesAndValues(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	a, b := w.connect("a"), w.connect("b")
	a.must("PREPARE s1 PUT q2c", "COMPLETE - / I")
	b.must("PREPARE s1 FETCH other", "COMPLETE - / I") // the same name, another shape
	b.must("PREPARE s9 PUT q2c", "COMPLETE - / I")     // the same shape, another name
	a.must("SETOPT zone noord", "COMPLETE - / I")
	a.must("EXECUTE s1 1 x", "COMPLETE stamp / I")
	b.must("EXECUTE s1 1", `COMPLETE stamp ["x"] / I`)
	b.must("EXECUTE s9 1 y", "COMPLETE stamp / I")
	a.must("EXECUTE s1 1 z", "COMPLETE stamp / I")
	b.must("RELEASE s1", "COMPLETE - / I")
	b.must("EXECUTE s1 1", "ERROR NOSTMT / I")
	is.Equal(w.first.dials(), 1)
	asked := w.first.asked()
	is.Equal(len(asked), 4)
	noord := map[string]string{"zone": "noord"}
	for place, want := range []ran{
		{id: "a3", text: "EXECUTE pq2c 1 x", shape: "q2c", values: noord},
		{id: "b3", text: "EXECUTE fother 1", shape: "other", values: map[string]string{}},
		{id: "b4", text: "EXECUTE pq2c 1 y", shape: "q2c", values: map[string]string{}},
		{id: "a4", text: "EXECUTE pq2c 1 z", shape: "q2c", values: noord},
	} {
		want.connection, want.who = 1, "edge-1"
		is.Equal(asked[place], want)
	}
}

func TestTransactionsHaveConnectionsOfTheirOwn(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	a, b := w.connect("a"), w.connect("b")
	a.must("BEGIN", "COMPLETE stamp / T")
	b.must("PUT 2 y", "COMPLETE stamp / I")
	b.must("BEGIN", "COMPLETE stamp / T")
	a.must("PUT 1 x", "COMPLETE stamp / T")
	b.must("PUT 1 y", "COMPLETE stamp / T")
	b.must("ABORT", "COMPLETE stamp / I")
	a.must("COMMIT", "COMPLETE stamp / I")
	asked := w.first.asked()
	for _, one := range asked {
		is.Equal(one.connection, map[byte]int{'a': 1, 'b': 2}[one.id[0]])
	}
	is.Equal(w.first.read("1"), "x")
}

// A client that leaves midway: its transaction is rolled back, and its connection serves others.
func TestLeavingMidwayRollsBack(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	a := w.connect("a")
	a.must("BEGIN", "COMPLETE stamp / T")
	a.must("PUT 1 x", "COMPLETE stamp / T")
	a.network.Close()
	w.eventually("the transaction is rolled back", func() bool { return slices.Contains(w.first.texts(), "- ABORT") })
	b := w.connect("b")
	b.must("FETCH 1", `COMPLETE stamp [""] / I`)
	is.Equal(w.first.dials(), 1)
}

func TestWithoutLeaseNothingIsStarted(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	w.controller.set(func(s *standinController) { s.lease = 0 })
	c := w.connect("c")
	w.eventually("the lease has run out", func() bool { return c.ask("FETCH a") == "ERROR BUSY / I" })
	before := len(w.first.asked())
	start := time.Now()
	c.must("PUT a b", "ERROR BUSY / I")
	is.True(time.Since(start) < 100*time.Millisecond) // within a quarter of the route's aim
	c.must("BEGIN", "ERROR BUSY / I")
	is.Equal(len(w.first.asked()), before)
	w.controller.set(func(s *standinController) { s.lease = leaseOfTests })
	w.eventually("it is served again", func() bool { return c.ask("FETCH a") == `COMPLETE stamp [""] / I` })
}

// A gateway that is cut off from the controllers says so, and in the end sends its clients away once it has answered.
func TestCutOffGatewayGivesItsClientsAway(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	c, resting := w.connect("c"), w.connect("r")
	w.controller.set(func(s *standinController) { s.silent = true })
	w.eventually("it isn't ready", func() bool { return w.readiness() == http.StatusServiceUnavailable })
	c.must("FETCH 1", "ERROR BUSY / I")
	c.must("FETCH 1", "ERROR BUSY / I") // not yet: the platform may not have noticed
	time.Sleep(closeAfter - unreadyAfter)
	c.must("FETCH 1", "ERROR BUSY / I")
	is.Equal(c.answer(), "end")
	w.controller.set(func(s *standinController) { s.silent = false })
	w.eventually("it is ready", func() bool { return w.readiness() == http.StatusOK })
	resting.must("FETCH 1", `COMPLETE stamp [""] / I`)
}

// The lease runs out while the instance is at work: a write that succeeds there is in doubt, and so is a COMMIT; a read
// keeps nothing.
func TestLeaseThatEndsBetweenSendingAndAnswer(t *testing.T) {
	for text, want := range map[string]string{"PUT a b": "ERROR INDOUBT / I", "FETCH a": "ERROR BUSY / I", "COMMIT": "ERROR INDOUBT / I"} {
		t.Run(text, func(t *testing.T) {
			w := startWorld(t)
			c := w.connect("c")
			if text == "COMMIT" {
				c.must("BEGIN", "COMPLETE stamp / T")
				c.must("PUT a b", "COMPLETE stamp / T")
			}
			verb, _, _ := strings.Cut(text, " ")
			keeping := hold(t, wire.Verb(verb))
			w.first.on(keeping.meet)
			w.controller.set(func(s *standinController) { s.silent = true })
			c.start(text)
			<-keeping.arrived
			time.Sleep(leaseOfTests + 50*time.Millisecond)
			keeping.release()
			c.gets(want)
		})
	}
}

// The same with a new lease before the answer comes: what happened in between isn't known.
func TestLapseBeforeTheAnswerLeavesAWriteInDoubt(t *testing.T) {
	w := startWorld(t)
	c, other := w.connect("c"), w.connect("o")
	keeping := hold(t, wire.Put)
	w.first.on(keeping.meet)
	w.controller.set(func(s *standinController) { s.silent = true })
	c.start("PUT a b")
	<-keeping.arrived
	time.Sleep(leaseOfTests + 50*time.Millisecond)
	w.controller.set(func(s *standinController) { s.silent = false })
	w.eventually("there is a lease again", func() bool { return other.ask("FETCH a") == `COMPLETE stamp [""] / I` })
	keeping.release()
	c.gets("ERROR INDOUBT / I")
}

// A COMMIT that isn't covered by a lease is not sent.
func TestCommitWithoutLeaseIsRolledBack(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	c := w.connect("c")
	c.must("BEGIN", "COMPLETE stamp / T")
	c.must("PUT a b", "COMPLETE stamp / T")
	w.controller.set(func(s *standinController) { s.lease, s.silent = 0, true })
	other := w.connect("o")
	for start := time.Now(); time.Since(start) < leaseOfTests; {
		c.must("PUT a b", "COMPLETE stamp / T") // it doesn't rest for too long
		time.Sleep(leaseOfTests / 10)
	}
	other.must("FETCH a", "ERROR BUSY / I")
	c.must("COMMIT", "ERROR ROLLEDBACK / I")
	is.Equal(w.first.read("a"), "")
}

func TestFreezeWaitsForWhatEndsByItself(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	c, other := w.connect("c"), w.connect("o")
	c.must("BEGIN", "COMPLETE stamp / T")
	c.must("PUT 1 x", "COMPLETE stamp / T")
	w.controller.publish(w.table(2, "i-1", true))
	w.eventually("first statements are refused", func() bool { return other.ask("FETCH 1") == "ERROR BUSY / I" })
	is.True(!w.controller.applied(2))
	c.must("COMMIT", "COMPLETE stamp / I")
	w.eventually("the freeze is acknowledged", func() bool { return w.controller.applied(2) })
	c.must("FETCH 1", "ERROR BUSY / I")
	w.controller.publish(w.table(3, "i-2", false))
	w.eventually("the new leader serves", func() bool { return c.ask("FETCH 1") == `COMPLETE stamp [""] / I` })
	is.True(len(w.second.asked()) == 1)
}

// A freeze is acknowledged only when nothing is under way at the leader: what doesn't end by itself is cut.
func TestFreezeCutsWhatDoesNotEnd(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	resting, writing, committing := w.connect("r"), w.connect("w"), w.connect("c")
	resting.must("BEGIN", "COMPLETE stamp / T")
	resting.must("PUT 1 x", "COMPLETE stamp / T")
	committing.must("BEGIN", "COMPLETE stamp / T")
	committing.must("PUT 2 x", "COMPLETE stamp / T")
	writing.must("BEGIN", "COMPLETE stamp / T")
	commits, puts := hold(t, wire.Commit), hold(t, wire.Put)
	w.first.on(func(statement wire.Statement) mishap {
		puts.meet(statement)
		return commits.meet(statement)
	})
	committing.start("COMMIT")
	<-commits.arrived
	writing.start("PUT 3 x")
	<-puts.arrived
	frozenAt := time.Now()
	w.controller.publish(w.table(2, "i-1", true))
	committing.gets("ERROR INDOUBT / I")
	writing.gets("ERROR ROLLEDBACK / E")
	is.True(time.Since(frozenAt) >= freezeTime)
	w.eventually("the freeze is acknowledged", func() bool { return w.controller.applied(2) })
	is.True(time.Since(frozenAt) < freezeTime+leaseOfTests/2)
	resting.must("COMMIT", "ERROR ROLLEDBACK / I")
	writing.must("ABORT", "COMPLETE - / I")
	is.Equal(w.first.read("1"), "")
}

// A leader that is replaced while a write is under way there: its success isn't believed.
func TestChangeOfLeaderLeavesAWriteInDoubt(t *testing.T) {
	w := startWorld(t)
	c, other := w.connect("c"), w.connect("o")
	keeping := hold(t, wire.Put)
	w.first.on(keeping.meet)
	c.start("PUT 1 x")
	<-keeping.arrived
	w.controller.publish(w.table(2, "i-2", false))
	w.eventually("the new leader serves", func() bool { return other.ask("FETCH 1") == `COMPLETE stamp [""] / I` })
	keeping.release()
	c.gets("ERROR INDOUBT / I")
}

func TestConnectionCutBeforeAndAfterTheStatement(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	c := w.connect("c")
	for _, met := range []mishap{cutBefore, cutAfter} {
		w.first.on(verbIs(wire.Put, met))
		c.must("PUT 1 x", "ERROR INDOUBT / I")
		w.first.on(verbIs(wire.Fetch, met))
		c.must("FETCH 1", "ERROR BUSY / I")
		w.first.on(nil)
		c.must("BEGIN", "COMPLETE stamp / T")
		w.first.on(verbIs(wire.Put, met))
		c.must("PUT 2 x", "ERROR ROLLEDBACK / E")
		c.must("PUT 2 x", "ERROR MALFORMED / E")
		c.must("COMMIT", "ERROR ROLLEDBACK / I")
		w.first.on(verbIs(wire.Commit, met))
		c.must("BEGIN", "COMPLETE stamp / T")
		c.must("FETCH 2", `COMPLETE stamp [""] / T`)
		c.must("COMMIT", "ERROR ROLLEDBACK / I") // it wrote nothing
		c.must("BEGIN", "COMPLETE stamp / T")
		c.must("PUT 3 x", "COMPLETE stamp / T")
		c.must("COMMIT", "ERROR INDOUBT / I")
		w.first.on(nil)
	}
	c.must("FETCH 3", `COMPLETE stamp ["x"] / I`)
	is.Equal(w.first.read("2"), "")
}

// The controller hears of a broken connection at once, not when its question is over.
func TestBrokenConnectionIsReportedAtOnce(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	c := w.connect("c")
	w.first.on(verbIs(wire.Fetch, cutAfter))
	reported := func() bool {
		w.controller.mutex.Lock()
		defer w.controller.mutex.Unlock()
		return slices.ContainsFunc(w.controller.asked, func(one feed.WatchRequest) bool {
			return len(one.Reports) == 1 && one.Reports[0] == feed.InstanceReport{InstanceID: "i-1", Failures: 1}
		})
	}
	w.eventually("a question has just begun", func() bool {
		w.controller.mutex.Lock()
		defer w.controller.mutex.Unlock()
		return len(w.controller.asked) > 1
	})
	start := time.Now()
	c.must("FETCH 1", "ERROR BUSY / I")
	w.eventually("the failure is reported", reported)
	is.True(time.Since(start) < leaseOfTests/watchesInLease/2)
}

// A connection that ends while its transaction rests: COMMIT was never sent.
func TestConnectionCutWhileTheTransactionRests(t *testing.T) {
	w := startWorld(t)
	c := w.connect("c")
	c.must("BEGIN", "COMPLETE stamp / T")
	c.must("PUT 1 x", "COMPLETE stamp / T")
	w.first.cutAll()
	time.Sleep(20 * time.Millisecond)
	c.must("COMMIT", "ERROR ROLLEDBACK / I")
	c.must("FETCH 1", `COMPLETE stamp [""] / I`) // on a new connection, although the old one was idle
}

func TestIdleConnectionThatEndedIsNotUsed(t *testing.T) {
	w := startWorld(t)
	c := w.connect("c")
	c.must("PUT 1 x", "COMPLETE stamp / I")
	w.first.cutAll()
	time.Sleep(20 * time.Millisecond)
	c.must("PUT 1 y", "COMPLETE stamp / I")
}

func TestRefusalsOfAnInstance(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	c := w.connect("c")
	w.first.on(verbIs(wire.Put, refuseIt))
	c.must("PUT 1 x", "ERROR BUSY / I")
	is.Equal(len(w.first.asked()), 2) // the route allows two attempts, and BUSY means not run
	c.must("BEGIN", "COMPLETE stamp / T")
	c.must("PUT 1 x", "ERROR BUSY / E")
	is.Equal(len(w.first.asked()), 4) // inside a transaction there is one
	c.must("ABORT", "COMPLETE - / I")
	w.first.on(nil)

	w.first.mutex.Lock()
	w.first.most = 1
	w.first.mutex.Unlock()
	c.must("BEGIN", "COMPLETE stamp / T")
	other := w.connect("o")
	other.must("PUT 2 x", "ERROR BUSY / I")
	c.must("COMMIT", "COMPLETE stamp / I")
	other.must("PUT 2 x", "COMPLETE stamp / I")
}

// A client that doesn't read its answers holds up nobody else, and nothing is kept for it without end.
func TestClientThatNeverReads(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	c, other := w.connect("c"), w.connect("o")
	other.must("PUT long "+strings.Repeat("x", wire.MaxMessage/2), "COMPLETE stamp / I")
	go func() {
		for range 100 { // more than the sockets' buffers hold
			if _, err := c.network.Write([]byte("QUERY 1 FETCH long\r\n")); err != nil {
				return
			}
		}
	}()
	w.eventually("the first answers are under way", func() bool { return len(w.first.asked()) > 3 })
	other.must("PUT a b", "COMPLETE stamp / I")
	time.Sleep(100 * time.Millisecond)
	is.True(len(w.first.asked()) < 50) // it isn't served further than its buffers
}

func TestStatementThatTakesTooLong(t *testing.T) {
	w := startWorld(t)
	hasty := w.table(2, "i-1", false)
	hasty.ConfigurationNumber = 8
	hasty.Configuration = []byte(strings.Replace(string(configurationOf(8, "shop")), `"timeoutMs":3000`, `"timeoutMs":100`, 1))
	w.controller.publish(hasty)
	w.eventually("the table is applied", func() bool { return w.controller.applied(2) })
	c := w.connect("c")
	w.first.on(hold(t, wire.Put).meet)
	c.must("PUT 1 x", "ERROR TIMEOUT / I")
	c.must("BEGIN", "COMPLETE stamp / T")
	c.must("PUT 1 x", "ERROR TIMEOUT / E")
	c.must("ABORT", "COMPLETE - / I")
}

func TestTransactionThatRestsForTooLong(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	c := w.connect("c")
	c.must("BEGIN", "COMPLETE stamp / T")
	c.must("PUT 1 x", "COMPLETE stamp / T")
	w.eventually("the transaction is rolled back", func() bool { return slices.Contains(w.first.texts(), "- ABORT") })
	c.must("PUT 1 y", "ERROR ROLLEDBACK / E")
	c.must("ABORT", "COMPLETE - / I")
	c.must("PUT 1 z", "COMPLETE stamp / I")
	is.Equal(w.first.read("1"), "z")
}

func TestOrderedEnd(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	resting, committing, idle, asking := w.connect("r"), w.connect("c"), w.connect("i"), w.connect("a")
	idle.must("FETCH 1", `COMPLETE stamp [""] / I`)
	resting.must("BEGIN", "COMPLETE stamp / T")
	committing.must("BEGIN", "COMPLETE stamp / T")
	committing.must("PUT 1 x", "COMPLETE stamp / T")
	begun := time.Now()
	close(w.terminate)
	w.eventually("it isn't ready", func() bool { return w.readiness() == http.StatusServiceUnavailable })
	idle.must("FETCH 1", `COMPLETE stamp [""] / I`) // it serves on
	w.connect("n").must("FETCH 1", `COMPLETE stamp [""] / I`)
	committing.must("PUT 2 x", "COMPLETE stamp / T")
	committing.must("COMMIT", "COMPLETE stamp / I")

	keeping := hold(t, wire.Fetch)
	w.first.on(keeping.meet)
	asking.start("FETCH 1")
	<-keeping.arrived
	is.Equal(idle.answer(), "end") // after half of the grace, which is shorter here than the platform's notice
	is.True(time.Since(begun) >= time.Second)
	w.eventually("the open transaction is rolled back", func() bool { return slices.Contains(w.first.texts(), "- ABORT") })
	resting.must("PUT 1 y", "ERROR ROLLEDBACK / E")
	resting.must("ABORT", "COMPLETE - / I")
	is.Equal(resting.answer(), "end")
	keeping.release()
	asking.gets(`COMPLETE stamp ["x"] / I`) // what is under way is answered
	is.Equal(asking.answer(), "end")
	<-w.ended
	is.True(time.Since(begun) < 2*time.Second)
	is.True(w.controller.saidGoodbye())
}

// When the time that a leader's drain leaves is over, nothing is begun there, without any further news. What has been begun may end.
func TestNothingIsBegunAtALeaderThatHasDrainedForTooLong(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	single, begun, working := w.connect("s"), w.connect("b"), w.connect("w")
	begun.must("BEGIN", "COMPLETE stamp / T")
	working.must("BEGIN", "COMPLETE stamp / T")
	working.must("PUT 1 x", "COMPLETE stamp / T")
	const left = 200 * time.Millisecond
	w.controller.set(func(s *standinController) { s.drains = map[string]time.Time{"i-1": time.Now().Add(left)} })
	drains := w.table(2, "i-1", false)
	drains.Services[0].Instances[0].Draining = true
	w.controller.publish(drains)
	w.eventually("single statements are refused", func() bool { return single.ask("FETCH 1") == "ERROR BUSY / I" })
	before := len(w.first.asked())
	begun.must("PUT 2 x", "ERROR ROLLEDBACK / E")
	working.must("PUT 3 x", "COMPLETE stamp / T")
	working.must("COMMIT", "COMPLETE stamp / I")
	single.must("PUT 4 x", "ERROR BUSY / I")
	is.Equal(w.first.read("1"), "x")
	is.Equal(w.first.read("2"), "")
	for _, one := range w.first.asked()[before:] {
		is.True(!strings.Contains(one.text, "PUT 2") && !strings.Contains(one.text, "PUT 4"))
	}
}
