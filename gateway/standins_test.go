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

// ran is a statement that reached the stand-in of an instance.
type ran struct {
	connection int
	who        string // as the caller named itself when it connected
	id         string
	text       string
	values     map[string]string
	shape      string // of an EXECUTE
	inside     bool   // a transaction was open on the connection
}

// mishap is what a stand-in of an instance does to a statement.
type mishap int

const (
	none      mishap = iota
	cutBefore        // the connection ends before the statement is run
	cutAfter         // it ends after it was run, without an answer
	refuseIt         // BUSY
)

// standinInstance plays an instance: it speaks the protocol, keeps commits and remembers what it was asked.
type standinInstance struct {
	id       string
	listener net.Listener
	serving  sync.WaitGroup

	mutex       sync.Mutex
	ran         []ran
	connections map[int]net.Conn
	made        int
	most        int // connections; 0: any number
	kept        map[string]string
	holds       failover.Position // its log; answers name it
	commits     int
	meet        func(statement wire.Statement) mishap // may be nil, may block
}

func startInstance(t *testing.T, id string) *standinInstance {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started := &standinInstance{id: id, listener: listener, connections: map[int]net.Conn{}, kept: map[string]string{}}
	started.holds = failover.Position{Term: 3, Number: 2}
	started.serving.Add(1)
	go started.accept()
	t.Cleanup(started.stop)
	return started
}

func (s *standinInstance) stop() {
	s.listener.Close()
	s.cutAll()
	s.serving.Wait()
}

func (s *standinInstance) cutAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, network := range s.connections {
		network.Close()
	}
}

func (s *standinInstance) address() string { return s.listener.Addr().String() }

func (s *standinInstance) accept() {
	defer s.serving.Done()
	for {
		network, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.made++
		number := s.made
		full := s.most > 0 && len(s.connections) >= s.most
		s.connections[number] = network
		s.mutex.Unlock()
		s.serving.Add(1)
		go s.serve(number, network, full)
	}
}

func (s *standinInstance) serve(number int, network net.Conn, full bool) {
	defer s.serving.Done()
	defer func() {
		network.Close()
		s.mutex.Lock()
		delete(s.connections, number)
		s.mutex.Unlock()
	}()
	reader := wire.NewReader(network)
	line, err := reader.ReadLine()
	if err != nil {
		return
	}
	connect, err := wire.ParseConnect(line)
	switch {
	case err != nil:
		return
	case connect.InstanceID != s.id || connect.Database != "orders":
		_, _ = network.Write(wire.AppendError(nil, wire.WrongNode, s.id))
		return
	case full:
		_, _ = network.Write(wire.AppendError(nil, wire.ConnLimit, ""))
		return
	}
	_, _ = network.Write(wire.AppendReady(nil, wire.Idle, "3.1"))
	served := &standinConnection{instance: s, number: number, who: connect.Who, state: wire.Idle}
	served.reset()
	for {
		line, err := reader.ReadLine()
		if err != nil {
			return
		}
		request, err := wire.ParseRequest(line)
		if err != nil || request.Quit {
			return
		}
		answer, goOn := served.take(request)
		if !goOn {
			return
		}
		if _, err := network.Write(wire.AppendAnswer(nil, answer)); err != nil {
			return
		}
	}
}

// standinConnection is one connection's state at a stand-in of an instance.
type standinConnection struct {
	instance *standinInstance
	number   int
	who      string
	state    wire.State
	values   map[string]string
	prepared map[string]wire.Statement
	pending  map[string]string // writes of the open transaction
}

func (c *standinConnection) reset() {
	c.values, c.prepared = map[string]string{}, map[string]wire.Statement{}
}

func (c *standinConnection) take(request wire.Request) (answer wire.Answer, goOn bool) {
	statement, err := wire.ParseInstanceStatement(request.Text)
	if err != nil {
		return wire.Refusal(wire.Malformed, "", c.state), true
	}
	c.note(request, statement)
	c.instance.mutex.Lock()
	meet := c.instance.meet
	lacks := statement.HasAfter && c.instance.holds.Less(statement.After)
	c.instance.mutex.Unlock()
	if lacks {
		return wire.Refusal(wire.Lagging, "", c.state), true
	}
	met := none
	if meet != nil {
		met = meet(statement)
	}
	switch met {
	case cutBefore:
		return wire.Answer{}, false
	case refuseIt:
		return wire.Refusal(wire.Busy, "", c.state), true
	}
	answer = c.run(statement)
	return answer, met != cutAfter
}

func (c *standinConnection) note(request wire.Request, statement wire.Statement) {
	c.instance.mutex.Lock()
	defer c.instance.mutex.Unlock()
	c.instance.ran = append(c.instance.ran, ran{
		connection: c.number,
		who:        c.who,
		id:         request.ID,
		text:       request.Text,
		values:     maps.Clone(c.values),
		shape:      c.prepared[statement.Name].Shape,
		inside:     c.state == wire.InTransaction,
	})
}

func (c *standinConnection) run(statement wire.Statement) wire.Answer {
	if statement.Verb == wire.Execute {
		prepared, known := c.prepared[statement.Name]
		if !known {
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
		c.instance.keep(c.pending)
		c.state = wire.Idle
	case wire.Fetch:
		return wire.Answer{Rows: []string{c.instance.read(statement.Thing)}, Stamp: "stamp", State: c.state, Position: c.instance.position()}
	case wire.Put:
		if c.state == wire.InTransaction {
			c.pending[statement.Thing] = statement.Data
		} else {
			c.instance.keep(map[string]string{statement.Thing: statement.Data})
		}
	}
	return wire.Answer{Stamp: "stamp", State: c.state, Position: c.instance.position()}
}

func (s *standinInstance) position() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return wire.FormatPosition(s.holds)
}

func (s *standinInstance) reach(number uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.holds.Number = number
}

func (s *standinInstance) keep(writes map[string]string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	maps.Copy(s.kept, writes)
	s.commits++
}

func (s *standinInstance) read(thing string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.kept[thing]
}

// on sets what is done to statements; nil ends it.
func (s *standinInstance) on(meet func(wire.Statement) mishap) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.meet = meet
}

// asked is what clients had run here: statements with an id of theirs.
func (s *standinInstance) asked() []ran {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(s.ran), func(one ran) bool { return one.id == wire.OwnID })
}

// texts is all that was run here, as id and text.
func (s *standinInstance) texts() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var texts []string
	for _, one := range s.ran {
		texts = append(texts, one.id+" "+one.text)
	}
	return texts
}

func (s *standinInstance) dials() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.made
}

// standinController plays the primary controller.
type standinController struct {
	mutex   sync.Mutex
	table   *feed.Table
	lease   time.Duration
	silent  bool
	asked   []feed.WatchRequest
	changed chan struct{}
	grants  int                  // operations that are left of each tenant; negative: any number
	drains  map[string]time.Time // until when statements may be begun at instances that drain
}

// leaseOfTests is longer than a question may be held back, and short enough to be waited out.
const leaseOfTests = time.Second

func startController(table *feed.Table) *standinController {
	return &standinController{table: table, lease: leaseOfTests, grants: -1, changed: make(chan struct{})}
}

var errSilent = eris.New("no answer")

// Watch answers as a controller does: at once if there is news, else when the wait is over.
func (s *standinController) Watch(ctx context.Context, _ string, request feed.WatchRequest) (feed.WatchAnswer, error) {
	s.mutex.Lock()
	silent := s.silent
	if request.Operations != nil && !silent {
		defer s.mutex.Unlock()
		return feed.WatchAnswer{Operations: s.grant(*request.Operations)}, nil
	}
	s.asked = append(s.asked, request)
	s.mutex.Unlock()
	wait := time.NewTimer(request.Wait)
	defer wait.Stop()
	for {
		s.mutex.Lock()
		answer, news := s.answer(request)
		silent, changed := s.silent, s.changed
		s.mutex.Unlock()
		if silent {
			return feed.WatchAnswer{}, errSilent
		}
		if news {
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

func (s *standinController) answer(request feed.WatchRequest) (answer feed.WatchAnswer, news bool) {
	answer = feed.WatchAnswer{Lease: s.lease, Members: []quorum.Member{{Address: "controller"}}, Drains: s.limits()}
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

// grant answers a question for operations. It is called with the lock held.
func (s *standinController) grant(request quota.Request) *quota.Answer {
	answer := &quota.Answer{Number: request.Number}
	for _, want := range request.Wants {
		granted := quota.Grant{Tenant: want.Tenant, Operations: want.Operations, Life: time.Second}
		if s.grants >= 0 {
			granted.Operations = min(want.Operations, s.grants)
			s.grants -= granted.Operations
		}
		if granted.Operations < want.Operations {
			granted.RetryAfter = time.Minute
		}
		answer.Grants = append(answer.Grants, granted)
	}
	return answer
}

// left is how many operations are left to grant.
func (s *standinController) left() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.grants
}

func (s *standinController) limits() []feed.DrainLimit {
	var limits []feed.DrainLimit
	for id, until := range s.drains {
		limits = append(limits, feed.DrainLimit{InstanceID: id, Left: max(0, time.Until(until))})
	}
	return limits
}

func (s *standinController) set(change func(*standinController)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *standinController) publish(table *feed.Table) {
	s.set(func(s *standinController) { s.table = table })
}

// applied tells whether the gateway has acknowledged the table with this number.
func (s *standinController) applied(sequence uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.ContainsFunc(s.asked, func(one feed.WatchRequest) bool { return one.Applied.Sequence >= sequence })
}

func (s *standinController) saidGoodbye() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.asked) > 0 && s.asked[len(s.asked)-1].Leaving
}

// world is a gateway with a stand-in controller and two stand-in instances, the first of which leads.
type world struct {
	*testing.T
	controller *standinController
	first      *standinInstance
	second     *standinInstance
	settings   system.Settings
	terminate  chan struct{}
	ended      chan struct{}
	figures    atomic.Pointer[metrics.Source]
}

// startWorld starts a world and waits until its gateway is ready.
func startWorld(t *testing.T) *world {
	t.Helper()
	return startWorldAsking(t, func(w *world) watcher { return w.controller })
}

// startWorldAsking starts a world whose gateway asks the controller in another way.
func startWorldAsking(t *testing.T, asker func(*world) watcher) *world {
	t.Helper()
	started := &world{
		T:         t,
		first:     startInstance(t, "i-1"),
		second:    startInstance(t, "i-2"),
		terminate: make(chan struct{}),
		ended:     make(chan struct{}),
	}
	started.settings = system.Settings{
		Name:          "edge-1",
		IPAddress:     "127.0.0.1",
		Listen:        system.ListenAddresses{Front: freeAddress(t), Readiness: freeAddress(t)},
		InternalPorts: []int{7440, 7455},
		Seeds:         []string{"127.0.0.1:8782"},
		Bounds:        system.DefaultBounds(),
	}
	started.settings.Bounds.GraceS = 2
	started.controller = startController(started.table(1, "i-1", false))
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	asked := asker(started)
	go func() {
		defer close(started.ended)
		boot := Options{Settings: started.settings, Log: log, Terminate: started.terminate, Publish: started.publishFigures}
		if err := run(ctx, boot, asked); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		started.first.on(nil)
		cancel()
		<-started.ended
	})
	started.eventually("the gateway is ready", func() bool { return started.readiness() == http.StatusOK })
	return started
}

func (w *world) publishFigures(source metrics.Source) { w.figures.Store(&source) }

// figure gives one of the gateway's figures.
func (w *world) figure(name string) float64 {
	figures := (*w.figures.Load())()
	place := slices.IndexFunc(figures, func(one metrics.Figure) bool { return one.Name == name })
	if place < 0 {
		w.Fatalf("no figure %s", name)
	}
	return figures[place].Value
}

func freeAddress(t *testing.T) string {
	t.Helper()
	return loopback.ReserveForTest(t).Address()
}

func (w *world) table(sequence uint64, leader string, isFrozen bool) *feed.Table {
	table := tableOf(sequence, leader, isFrozen)
	table.Services[0].Instances = []feed.Instance{instance("i-1", w.first.address()), instance("i-2", w.second.address())}
	return table
}

func (w *world) readiness() int {
	answer, err := http.Get("http://" + w.settings.Listen.Readiness + "/readiness")
	if err != nil {
		return 0
	}
	answer.Body.Close()
	return answer.StatusCode
}

// eventually waits for something that must come, for at most five seconds.
func (w *world) eventually(what string, holds func() bool) {
	w.Helper()
	for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(2 * time.Millisecond) {
		if holds() {
			return
		}
	}
	w.Fatalf("it never came that %s", what)
}

// tenant is a client.
type tenant struct {
	*testing.T
	network net.Conn
	reader  *wire.Reader
	asked   int
	name    string
}

// connect opens a session to the database and waits for its READY.
func (w *world) connect(name string) *tenant {
	w.Helper()
	return w.connectTo("shop", name)
}

func (w *world) connectTo(database, name string) *tenant {
	w.Helper()
	opened := w.dial(name)
	opened.send("CONNECT " + database + " " + name)
	if line, err := opened.reader.ReadLine(); err != nil || line != "READY I -" {
		w.Fatalf("CONNECT: %q, %v", line, err)
	}
	return opened
}

func (w *world) dial(name string) *tenant {
	w.Helper()
	network, err := net.Dial("tcp4", w.settings.Listen.Front)
	if err != nil {
		w.Fatal(err)
	}
	w.Cleanup(func() { network.Close() })
	_ = network.SetDeadline(time.Now().Add(10 * time.Second))
	return &tenant{T: w.T, network: network, reader: wire.NewReader(network), name: name}
}

func (c *tenant) send(line string) {
	c.Helper()
	if _, err := c.network.Write([]byte(line + "\r\n")); err != nil {
		c.Fatal(err)
	}
}

// ask sends a statement and waits for its answer, given as "ERROR code / state" or "COMPLETE stamp rows / state".
func (c *tenant) ask(text string) string {
	c.Helper()
	c.start(text)
	return c.answer()
}

func (c *tenant) start(text string) {
	c.Helper()
	c.asked++
	c.send(fmt.Sprintf("QUERY %s%d %s", c.name, c.asked, text))
}

func (c *tenant) answer() string {
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

// must asks and wants this answer.
func (c *tenant) must(text, want string) {
	c.Helper()
	if got := c.ask(text); got != want {
		c.Fatalf("%s: %s instead of %s", text, got, want)
	}
}

// gets waits for an answer and wants it to be this.
func (c *tenant) gets(want string) {
	c.Helper()
	if got := c.answer(); got != want {
		c.Fatalf("%s instead of %s", got, want)
	}
}
