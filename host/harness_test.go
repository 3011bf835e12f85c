package host

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"eiderway/control/controller"
	"eiderway/control/failover"
	"eiderway/control/feed"
	"eiderway/control/quorum"
	"eiderway/control/replication"
)

// testTimeout is how long a test waits for an event that must happen. Only a fault lets it expire.
const testTimeout = 10 * time.Second

const ownIncarnation quorum.Incarnation = "own"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedController is a state machine whose effects a test decides on. It records its inputs.
type scriptedController struct {
	answer func(input controller.Input) controller.Effects // called in the loop's goroutine; nil: no effects
	inputs chan controller.Input                           // all inputs but ticks
	ticks  chan struct{}                                   // holds one token after one or more ticks
}

func newScriptedController(answer func(controller.Input) controller.Effects) *scriptedController {
	return &scriptedController{answer: answer, inputs: make(chan controller.Input, 1000), ticks: make(chan struct{}, 1)}
}

func (s *scriptedController) Step(_ time.Duration, input controller.Input) controller.Effects {
	if _, isTick := input.(controller.Tick); isTick {
		select {
		case s.ticks <- struct{}{}:
		default:
		}
	} else {
		s.inputs <- input
	}
	if s.answer == nil {
		return controller.Effects{}
	}
	return s.answer(input)
}

// waitForInput returns the next input of this type that the controller received.
func waitForInput[Input controller.Input](t *testing.T, s *scriptedController) Input {
	t.Helper()
	timer := time.NewTimer(testTimeout)
	defer timer.Stop()
	for {
		select {
		case input := <-s.inputs:
			if wanted, ok := input.(Input); ok {
				return wanted
			}
		case <-timer.C:
			var none Input
			t.Fatalf("no input of type %T arrived", none)
		}
	}
}

// receive returns the next value from the channel.
func receive[T any](t *testing.T, channel <-chan T) T {
	t.Helper()
	select {
	case value := <-channel:
		return value
	case <-time.After(testTimeout):
		t.Fatalf("no value arrived")
	}
	panic("not reached")
}

// fakeStore is a store in memory whose failures a test decides on.
type fakeStore struct {
	mutex            sync.Mutex
	applied          [][]replication.Write
	applyError       error
	reopenError      error
	foundIncarnation quorum.Incarnation
	stall            chan struct{} // while open, Apply waits for it
	reopened         chan struct{}
	applying         chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{foundIncarnation: ownIncarnation, reopened: make(chan struct{}, 100), applying: make(chan struct{}, 100)}
}

func (m *fakeStore) Apply(writes []replication.Write) error {
	m.applying <- struct{}{}
	m.mutex.Lock()
	stall, err := m.stall, m.applyError
	m.mutex.Unlock()
	if stall != nil {
		<-stall
	}
	if err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.applied = append(m.applied, writes)
	return nil
}

func (m *fakeStore) Reopen() (replication.DurableState, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.reopened <- struct{}{}
	return replication.DurableState{Incarnation: m.foundIncarnation}, m.reopenError
}

func (m *fakeStore) set(change func(*fakeStore)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	change(m)
}

// numbers returns the numbers of the applied writes, one list for each transaction.
func (m *fakeStore) numbers() [][]uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var transactions [][]uint64
	for _, writes := range m.applied {
		var numbers []uint64
		for _, write := range writes {
			numbers = append(numbers, write.Number)
		}
		transactions = append(transactions, numbers)
	}
	return transactions
}

// rig is a loop around a scripted controller, with the handlers and a disk writer.
type rig struct {
	controller *scriptedController
	store      *fakeStore
	loop       *loop
	handler    *controlHandler
	internal   *internalHandler
	url        string
	address    string
	sent       chan replication.Envelope
	canceled   chan error
	counters   *counters
	stop       func()
}

// rigOptions configure a rig.
type rigOptions struct {
	answer      func(controller.Input) controller.Effects
	limit       int // of the mailbox
	withoutLoop bool
	backstop    time.Duration
}

func newRig(t *testing.T, options rigOptions) *rig {
	t.Helper()
	if options.limit == 0 {
		options.limit = mailboxLimit
	}
	if options.backstop == 0 {
		options.backstop = testTimeout
	}
	logger := quietLog()
	counters := &counters{}
	inbox := newMailbox(options.limit)
	ids := &callIDs{}
	replies := newPending[controller.Reply]()
	watches := newPending[feed.WatchAnswer]()
	r := &rig{
		controller: newScriptedController(options.answer),
		store:      newFakeStore(),
		sent:       make(chan replication.Envelope, 1000),
		canceled:   make(chan error, 10),
		counters:   counters,
	}
	disk := newDiskWriter(r.store, ownIncarnation, inbox, logger, counters, func(cause error) { r.canceled <- cause })
	r.handler = newControlHandler(inbox, ids, replies, counters)
	r.handler.backstop = options.backstop
	r.internal = &internalHandler{inbox: inbox, ids: ids, watches: watches, counters: counters, backstop: options.backstop}
	r.loop = &loop{
		controller:        r.controller,
		isPrimary:         func() bool { return false },
		inbox:             inbox,
		disk:              disk,
		outbox:            &outbox{send: func(envelope replication.Envelope) { r.sent <- envelope }},
		replies:           replies,
		watches:           watches,
		cancelProbe:       func(uint64) {},
		startProbe:        func(failover.Probe) {},
		startPlatformCall: func(failover.PlatformCall, time.Time) {},
		log:               logger,
		counters:          counters,
		counterLog:        counterLog{counters: counters, log: logger, due: counterLogInterval},
		started:           time.Now(),
	}
	r.run(t, options.withoutLoop)
	return r
}

// run starts everything, or everything but the loop.
func (r *rig) run(t *testing.T, withoutLoop bool) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = listener.Addr().String()
	r.url = "http://" + r.address
	server := newHTTPServer(r.handler, r.loop.log)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	running.Go(r.loop.disk.run)
	if !withoutLoop {
		running.Go(func() { r.loop.run(ctx) })
	}
	r.stop = sync.OnceFunc(func() {
		cancel()
		_ = server.Close()
		r.loop.disk.stop()
		running.Wait()
	})
	t.Cleanup(r.stop)
}

func quietLog() logrus.FieldLogger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// plainClient returns a client that follows no redirects and keeps no connections.
func plainClient(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{
		Transport:     transport,
		Timeout:       testTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// callAnswer is the answer to a call.
type callAnswer struct {
	status int
	header http.Header
	body   string
}

func call(t *testing.T, method, url string, body io.Reader) callAnswer {
	t.Helper()
	is := is.New(t)
	is.Helper()
	request, err := http.NewRequest(method, url, body)
	is.NoErr(err)
	response, err := plainClient(t).Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return callAnswer{status: response.StatusCode, header: response.Header, body: string(content)}
}
