package gateway

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"eiderway/control/failover"
	"eiderway/control/feed"
	"eiderway/control/quorum"
	"eiderway/control/quota"
	"eiderway/system"
	"eiderway/system/metrics"
	"eiderway/testing/loopback"
	"eiderway/wire"
)

// ranStatement is a statement that reached a fake instance.
type ranStatement struct {
	connection      int
	user            string // the name in the caller's CONNECT
	id              string
	text            string
	values          map[string]string
	shape           string // of an EXECUTE
	isInTransaction bool   // a transaction was open on the connection
}

// fault is what a fake instance does to a statement.
type fault int

const (
	noFault    fault = iota
	cutBefore        // close the connection before running the statement
	cutAfter         // run the statement, then close the connection without an answer
	refuseBusy       // answer BUSY
)

// fakeInstance speaks an instance's protocol, stores commits and records the statements that it received.
type fakeInstance struct {
	id       string
	listener net.Listener
	serving  sync.WaitGroup

	mutex          sync.Mutex
	statements     []ranStatement
	connections    map[int]net.Conn
	dialCount      int
	maxConnections int // 0: unlimited
	data           map[string]string
	logPosition    failover.Position // named in answers
	commits        int
	intercept      func(statement wire.Statement) fault // may be nil, may block
}

func startFakeInstance(t *testing.T, id string) *fakeInstance {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	instance := &fakeInstance{id: id, listener: listener, connections: map[int]net.Conn{}, data: map[string]string{}}
	instance.logPosition = failover.Position{Term: 3, Number: 2}
	instance.serving.Add(1)
	go instance.accept()
	t.Cleanup(instance.stop)
	return instance
}

func (s *fakeInstance) stop() {
	s.listener.Close()
	s.cutAll()
	s.serving.Wait()
}

func (s *fakeInstance) cutAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, conn := range s.connections {
		conn.Close()
	}
}

func (s *fakeInstance) address() string { return s.listener.Addr().String() }

func (s *fakeInstance) accept() {
	defer s.serving.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.dialCount++
		number := s.dialCount
		isFull := s.maxConnections > 0 && len(s.connections) >= s.maxConnections
		s.connections[number] = conn
		s.mutex.Unlock()
		s.serving.Add(1)
		go s.serve(number, conn, isFull)
	}
}

func (s *fakeInstance) serve(number int, conn net.Conn, isFull bool) {
	defer s.serving.Done()
	defer func() {
		conn.Close()
		s.mutex.Lock()
		delete(s.connections, number)
		s.mutex.Unlock()
	}()
	reader := wire.NewReader(conn)
	line, err := reader.ReadLine()
	if err != nil {
		return
	}
	connect, err := wire.ParseConnect(line)
	switch {
	case err != nil:
		return
	case connect.InstanceID != s.id || connect.Database != "orders":
		_, _ = conn.Write(wire.AppendError(nil, wire.WrongNode, s.id))
		return
	case isFull:
		_, _ = conn.Write(wire.AppendError(nil, wire.ConnLimit, ""))
		return
	}
	_, _ = conn.Write(wire.AppendReady(nil, wire.Idle, "3.1"))
	connection := &fakeConnection{instance: s, number: number, user: connect.User, state: wire.Idle}
	connection.reset()
	for {
		line, err := reader.ReadLine()
		if err != nil {
			return
		}
		request, err := wire.ParseRequest(line)
		if err != nil || request.Quit {
			return
		}
		answer, isOpen := connection.handle(request)
		if !isOpen {
			return
		}
		if _, err := conn.Write(wire.AppendAnswer(nil, answer)); err != nil {
			return
		}
	}
}

// fakeConnection is the state of one connection at a fake instance.
type fakeConnection struct {
	instance *fakeInstance
	number   int
	user     string
	state    wire.State
	values   map[string]string
	prepared map[string]wire.Statement
	pending  map[string]string // writes of the open transaction
}

func (c *fakeConnection) reset() {
	c.values, c.prepared = map[string]string{}, map[string]wire.Statement{}
}

func (c *fakeConnection) handle(request wire.Request) (answer wire.Answer, isOpen bool) {
	statement, err := wire.ParseInstanceStatement(request.Text)
	if err != nil {
		return wire.Refusal(wire.Malformed, "", c.state), true
	}
	c.record(request, statement)
	c.instance.mutex.Lock()
	intercept := c.instance.intercept
	isLagging := statement.HasAfter && c.instance.logPosition.Less(statement.After)
	c.instance.mutex.Unlock()
	if isLagging {
		return wire.Refusal(wire.Lagging, "", c.state), true
	}
	fault := noFault
	if intercept != nil {
		fault = intercept(statement)
	}
	switch fault {
	case cutBefore:
		return wire.Answer{}, false
	case refuseBusy:
		return wire.Refusal(wire.Busy, "", c.state), true
	}
	answer = c.run(statement)
	return answer, fault != cutAfter
}

func (c *fakeConnection) record(request wire.Request, statement wire.Statement) {
	c.instance.mutex.Lock()
	defer c.instance.mutex.Unlock()
	c.instance.statements = append(c.instance.statements, ranStatement{
		connection:      c.number,
		user:            c.user,
		id:              request.ID,
		text:            request.Text,
		values:          maps.Clone(c.values),
		shape:           c.prepared[statement.Name].Shape,
		isInTransaction: c.state == wire.InTransaction,
	})
}

func (c *fakeConnection) run(statement wire.Statement) wire.Answer {
	if statement.Verb == wire.Execute {
		prepared, isKnown := c.prepared[statement.Name]
		if !isKnown {
			return wire.Refusal(wire.NoStmt, statement.Name, c.state)
		}
		statement.Verb = prepared.Kind
	}
	switch statement.Verb {
	case wire.Reset:
		c.reset()
	case wire.SetOpt:
		c.values[statement.Name] = statement.Value
	case wire.Prepare:
		c.prepared[statement.Name] = statement
	case wire.Begin:
		c.state, c.pending = wire.InTransaction, map[string]string{}
	case wire.Abort:
		c.state = wire.Idle
	case wire.Commit:
		c.instance.commit(c.pending)
		c.state = wire.Idle
	case wire.Fetch:
		return wire.Answer{Rows: []string{c.instance.read(statement.Key)}, Stamp: "stamp", State: c.state, Position: c.instance.position()}
	case wire.Put:
		if c.state == wire.InTransaction {
			c.pending[statement.Key] = statement.Data
		} else {
			c.instance.commit(map[string]string{statement.Key: statement.Data})
		}
	}
	return wire.Answer{Stamp: "stamp", State: c.state, Position: c.instance.position()}
}

func (s *fakeInstance) position() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return wire.FormatPosition(s.logPosition)
}

func (s *fakeInstance) setPosition(number uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.logPosition.Number = number
}

func (s *fakeInstance) commit(writes map[string]string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	maps.Copy(s.data, writes)
	s.commits++
}

func (s *fakeInstance) read(thing string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.data[thing]
}

// setIntercept sets what happens to statements; nil means nothing special.
func (s *fakeInstance) setIntercept(intercept func(wire.Statement) fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.intercept = intercept
}

// clientStatements returns the statements that clients had run here, which have a client's ID.
func (s *fakeInstance) clientStatements() []ranStatement {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(s.statements), func(statement ranStatement) bool { return statement.id == wire.InternalID })
}

// texts returns all statements that reached the instance, each as ID and text.
func (s *fakeInstance) texts() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var texts []string
	for _, statement := range s.statements {
		texts = append(texts, statement.id+" "+statement.text)
	}
	return texts
}

func (s *fakeInstance) dials() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.dialCount
}

// fakeController acts as the primary controller.
type fakeController struct {
	mutex          sync.Mutex
	table          *feed.Table
	lease          time.Duration
	isSilent       bool
	requests       []feed.WatchRequest
	changed        chan struct{}
	operationsLeft int                  // for all tenants together; negative: unlimited
	drains         map[string]time.Time // until when statements may begin at draining instances
}

// testLease is longer than a controller may hold a watch, and short enough for tests to wait for its end.
const testLease = time.Second

func newFakeController(table *feed.Table) *fakeController {
	return &fakeController{table: table, lease: testLease, operationsLeft: -1, changed: make(chan struct{})}
}

var errSilent = eris.New("no answer")

// Watch answers as a controller does: at once if there is news, else at the end of the wait.
func (s *fakeController) Watch(ctx context.Context, _ string, request feed.WatchRequest) (feed.WatchAnswer, error) {
	s.mutex.Lock()
	silent := s.isSilent
	if request.Operations != nil && !silent {
		defer s.mutex.Unlock()
		return feed.WatchAnswer{Operations: s.grant(*request.Operations)}, nil
	}
	s.requests = append(s.requests, request)
	s.mutex.Unlock()
	wait := time.NewTimer(request.Wait)
	defer wait.Stop()
	for {
		s.mutex.Lock()
		answer, hasNews := s.answer(request)
		silent, changed := s.isSilent, s.changed
		s.mutex.Unlock()
		if silent {
			return feed.WatchAnswer{}, errSilent
		}
		if hasNews {
			return answer, nil
		}
		select {
		case <-ctx.Done():
			return feed.WatchAnswer{}, ctx.Err()
		case <-wait.C:
			return answer, nil
		case <-changed:
		}
	}
}

func (s *fakeController) answer(request feed.WatchRequest) (answer feed.WatchAnswer, hasNews bool) {
	answer = feed.WatchAnswer{Lease: s.lease, Members: []quorum.Member{{Address: "controller"}}, Drains: s.drainLimits()}
	if s.table == nil || !request.Applied.Less(s.table.Version) {
		return answer, false
	}
	copied := *s.table
	if request.Configuration == copied.ConfigurationNumber {
		copied.Configuration = nil
	}
	answer.Table = &copied
	return answer, true
}

// grant answers a request for operations. The caller holds the lock.
func (s *fakeController) grant(requested quota.Request) *quota.Answer {
	answer := &quota.Answer{Number: requested.Number}
	for _, request := range requested.Wants {
		granted := quota.Grant{Tenant: request.Tenant, Operations: request.Operations, Life: time.Second}
		if s.operationsLeft >= 0 {
			granted.Operations = min(request.Operations, s.operationsLeft)
			s.operationsLeft -= granted.Operations
		}
		if granted.Operations < request.Operations {
			granted.RetryAfter = time.Minute
		}
		answer.Grants = append(answer.Grants, granted)
	}
	return answer
}

// remainingOperations returns how many operations are left to grant.
func (s *fakeController) remainingOperations() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.operationsLeft
}

func (s *fakeController) drainLimits() []feed.DrainLimit {
	var limits []feed.DrainLimit
	for id, until := range s.drains {
		limits = append(limits, feed.DrainLimit{InstanceID: id, Left: max(0, time.Until(until))})
	}
	return limits
}

func (s *fakeController) change(edit func(*fakeController)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	edit(s)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeController) publish(table *feed.Table) {
	s.change(func(s *fakeController) { s.table = table })
}

// hasApplied reports whether the gateway has acknowledged the table with this number.
func (s *fakeController) hasApplied(sequence uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.ContainsFunc(s.requests, func(request feed.WatchRequest) bool { return request.Applied.Sequence >= sequence })
}

func (s *fakeController) sawLeaving() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.requests) > 0 && s.requests[len(s.requests)-1].Leaving
}

// testEnv is a gateway with a fake controller and two fake instances, the first of which leads.
type testEnv struct {
	*testing.T
	controller    *fakeController
	first         *fakeInstance
	second        *fakeInstance
	settings      system.Settings
	terminate     chan struct{}
	ended         chan struct{}
	metricsSource atomic.Pointer[metrics.Source]
}

// startEnv starts a testEnv and waits until its gateway is ready.
func startEnv(t *testing.T) *testEnv {
	t.Helper()
	return startEnvWith(t, func(env *testEnv) controllerClient { return env.controller })
}

// startEnvWith starts a testEnv whose gateway reaches the controller through the given client.
func startEnvWith(t *testing.T, controllers func(*testEnv) controllerClient) *testEnv {
	t.Helper()
	env := &testEnv{
		T:         t,
		first:     startFakeInstance(t, "i-1"),
		second:    startFakeInstance(t, "i-2"),
		terminate: make(chan struct{}),
		ended:     make(chan struct{}),
	}
	env.settings = system.Settings{
		Name:          "edge-1",
		IPAddress:     "127.0.0.1",
		Listen:        system.ListenAddresses{Front: freeAddress(t), Readiness: freeAddress(t)},
		InternalPorts: []int{7440, 7455},
		Seeds:         []string{"127.0.0.1:8782"},
		Bounds:        system.DefaultBounds(),
	}
	env.settings.Bounds.GraceS = 2
	env.controller = newFakeController(env.table(1, "i-1", false))
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	client := controllers(env)
	go func() {
		defer close(env.ended)
		options := Options{Settings: env.settings, Log: log, Terminate: env.terminate, Publish: env.publishFigures}
		if err := run(ctx, options, client); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		env.first.setIntercept(nil)
		cancel()
		<-env.ended
	})
	env.eventually("the gateway is ready", func() bool { return env.readiness() == http.StatusOK })
	return env
}

func (e *testEnv) publishFigures(source metrics.Source) { e.metricsSource.Store(&source) }

// figure returns the value of one of the gateway's metrics.
func (e *testEnv) figure(name string) float64 {
	figures := (*e.metricsSource.Load())()
	index := slices.IndexFunc(figures, func(figure metrics.Sample) bool { return figure.Name == name })
	if index < 0 {
		e.Fatalf("no metric %s", name)
	}
	return figures[index].Value
}

func freeAddress(t *testing.T) string {
	t.Helper()
	return loopback.ReserveForTest(t).Address()
}

func (e *testEnv) table(sequence uint64, leader string, isFrozen bool) *feed.Table {
	table := newTable(sequence, leader, isFrozen)
	table.Services[0].Instances = []feed.Instance{newInstance("i-1", e.first.address()), newInstance("i-2", e.second.address())}
	return table
}

func (e *testEnv) readiness() int {
	answer, err := http.Get("http://" + e.settings.Listen.Readiness + "/readiness")
	if err != nil {
		return 0
	}
	answer.Body.Close()
	return answer.StatusCode
}

// eventually waits up to five seconds for the condition.
func (e *testEnv) eventually(what string, condition func() bool) {
	e.Helper()
	for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	e.Fatalf("timed out waiting until %s", what)
}

// testClient is a client of the gateway, or of an instance directly.
type testClient struct {
	*testing.T
	conn   net.Conn
	reader *wire.Reader
	sent   int
	name   string
}

// connect opens a session to the database shop and waits for its READY.
func (e *testEnv) connect(name string) *testClient {
	e.Helper()
	return e.connectTo("shop", name)
}

func (e *testEnv) connectTo(database, name string) *testClient {
	e.Helper()
	client := e.dial(name)
	client.send("CONNECT " + database + " " + name)
	if line, err := client.reader.ReadLine(); err != nil || line != "READY I -" {
		e.Fatalf("CONNECT: %q, %v", line, err)
	}
	return client
}

func (e *testEnv) dial(name string) *testClient {
	e.Helper()
	conn, err := net.Dial("tcp4", e.settings.Listen.Front)
	if err != nil {
		e.Fatal(err)
	}
	e.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &testClient{T: e.T, conn: conn, reader: wire.NewReader(conn), name: name}
}

func (c *testClient) send(line string) {
	c.Helper()
	if _, err := c.conn.Write([]byte(line + "\r\n")); err != nil {
		c.Fatal(err)
	}
}

// ask sends a statement and returns its answer as "ERROR code / state" or "COMPLETE stamp rows / state".
func (c *testClient) ask(text string) string {
	c.Helper()
	c.start(text)
	return c.answer()
}

func (c *testClient) start(text string) {
	c.Helper()
	c.sent++
	c.send(fmt.Sprintf("QUERY %s%d %s", c.name, c.sent, text))
}

func (c *testClient) answer() string {
	c.Helper()
	answer, err := c.reader.ReadAnswer()
	if err != nil {
		return "end"
	}
	if answer.Code != "" {
		return fmt.Sprintf("ERROR %s / %c", answer.Code, answer.State)
	}
	if len(answer.Rows) > 0 {
		return fmt.Sprintf("COMPLETE %s %q / %c", answer.Stamp, answer.Rows, answer.State)
	}
	return fmt.Sprintf("COMPLETE %s / %c", answer.Stamp, answer.State)
}

// expect sends a statement and requires this answer.
func (c *testClient) expect(text, want string) {
	c.Helper()
	if got := c.ask(text); got != want {
		c.Fatalf("%s: got %s, want %s", text, got, want)
	}
}

// expectAnswer waits for an answer and requires it to be this.
func (c *testClient) expectAnswer(want string) {
	c.Helper()
	if got := c.answer(); got != want {
		c.Fatalf("got %s, want %s", got, want)
	}
}
