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

// patience is how long a test waits for what must come; only a fault uses it up.
const patience = 10 * time.Second

const ownIncarnation quorum.Incarnation = "own"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scripted is a controller whose steps a test decides on, and which keeps what it was told.
type scripted struct {
	answer func(input controller.Input) controller.Effects // in the loop's goroutine; nil: nothing
	told   chan controller.Input                           // all inputs but ticks
	ticks  chan struct{}                                   // one token for the ticks since it was taken last
}

func newScripted(answer func(controller.Input) controller.Effects) *scripted {
	return &scripted{answer: answer, told: make(chan controller.Input, 1000), ticks: make(chan struct{}, 1)}
}

func (s *scripted) Step(_ time.Duration, input controller.Input) controller.Effects {
	if _, isTick := input.(controller.Tick); isTick {
		select {
		case s.ticks <- struct{}{}:
		default:
		}
	} else {
		s.told <- input
	}
	if s.answer == nil {
		return controller.Effects{}
	}
	return s.answer(input)
}

// wait returns the next input of this kind that the controller was told.
func wait[Input controller.Input](t *testing.T, s *scripted) Input {
	t.Helper()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		select {
		case input := <-s.told:
			if wanted, isIt := input.(Input); isIt {
				return wanted
			}
		case <-timer.C:
			var none Input
			t.Fatalf("no %T came", none)
		}
	}
}

// receive returns what comes through the channel.
func receive[T any](t *testing.T, channel <-chan T) T {
	t.Helper()
	select {
	case value := <-channel:
		return value
	case <-time.After(patience):
		t.Fatalf("nothing came")
	}
	panic("not reached")
}

// memoryStore is a disk whose trouble a test decides on.
type memoryStore struct {
	mutex       sync.Mutex
	applied     [][]replication.Write
	applyError  error
	reopenError error
	found       quorum.Incarnation
	stall       chan struct{} // while open, Apply waits for it
	reopened    chan struct{}
	applying    chan struct{}
}

func newMemoryStore() *memoryStore {
	return &memoryStore{found: ownIncarnation, reopened: make(chan struct{}, 100), applying: make(chan struct{}, 100)}
}

func (m *memoryStore) Apply(writes []replication.Write) error {
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

func (m *memoryStore) Reopen() (replication.DurableState, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.reopened <- struct{}{}
	return replication.DurableState{Incarnation: m.found}, m.reopenError
}

func (m *memoryStore) set(change func(*memoryStore)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	change(m)
}

// numbers of the writes that were applied, one list for each transaction.
func (m *memoryStore) numbers() [][]uint64 {
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

// rig is a loop around a scripted controller, with the front and a disk.
type rig struct {
	controller *scripted
	store      *memoryStore
	loop       *loop
	front      *front
	internal   *processFront
	url        string
	address    string
	sent       chan replication.Envelope
	lost       chan error
	counters   *counters
	stop       func()
}

// rigOptions change what a rig is made of.
type rigOptions struct {
	answer   func(controller.Input) controller.Effects
	limit    int // of the mailbox
	held     bool
	backstop time.Duration
}

func newRig(t *testing.T, options rigOptions) *rig {
	t.Helper()
	if options.limit == 0 {
		options.limit = mailboxLimit
	}
	if options.backstop == 0 {
		options.backstop = patience
	}
	logger := quietLog()
	counters := &counters{}
	inbox := newMailbox(options.limit)
	numbers := &callNumbers{}
	replies := newPending[controller.Reply]()
	watches := newPending[feed.WatchAnswer]()
	r := &rig{
		controller: newScripted(options.answer),
		store:      newMemoryStore(),
		sent:       make(chan replication.Envelope, 1000),
		lost:       make(chan error, 10),
		counters:   counters,
	}
	disk := newDiskWriter(r.store, ownIncarnation, inbox, logger, counters, func(cause error) { r.lost <- cause })
	r.front = newFront(inbox, numbers, replies, counters)
	r.front.backstop = options.backstop
	r.internal = &processFront{inbox: inbox, numbers: numbers, watches: watches, counters: counters, backstop: options.backstop}
	r.loop = &loop{
		controller: r.controller,
		leads:      func() bool { return false },
		inbox:      inbox,
		disk:       disk,
		outbox:     &outbox{send: func(envelope replication.Envelope) { r.sent <- envelope }},
		replies:    replies,
		watches:    watches,
		probe:      func(failover.Probe) {},
		call:       func(failover.PlatformCall, time.Time) {},
		log:        logger,
		counters:   counters,
		counterLog: counterLog{counters: counters, log: logger, due: countersEvery},
		started:    time.Now(),
	}
	r.run(t, options.held)
	return r
}

// run starts everything; a held loop does not run.
func (r *rig) run(t *testing.T, held bool) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = listener.Addr().String()
	r.url = "http://" + r.address
	server := newHTTPServer(r.front, r.loop.log)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	running.Go(r.loop.disk.run)
	if !held {
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

// plainClient follows no redirects and keeps no connections.
func plainClient(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{
		Transport:     transport,
		Timeout:       patience,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// answerOf a call: status, headers and body.
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
