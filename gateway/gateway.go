// Package gateway serves clients: it takes their sessions, runs their statements on the instances of the services, and
// follows the controllers' table.
//
// The rules it keeps at any price: a statement goes only to the instance that leads its service by the newest table,
// under a valid lease and while the service isn't frozen, checked after the statement was read and again before it is
// sent; only a read that may be some time old goes to a replica, which itself proves that its log holds a position that the
// lawful leader had within that time; a freeze is acknowledged only when nothing is under way at the leader; a client hears of success only with
// the instance's stamp and while the right to use the leader has lasted; and a promise that nothing is kept only where
// that is known. Whatever can't be done under these rules is refused.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"eiderway/control/access"
	"eiderway/control/feed"
	"eiderway/control/rpc"
	"eiderway/system"
	"eiderway/system/metrics"
	"eiderway/wire"
)

// Options is what a gateway needs from its host process.
type Options struct {
	Settings  system.Settings
	Reload    <-chan system.Settings // settings that were read again; may be nil
	Log       logrus.FieldLogger
	Terminate <-chan struct{}      // is closed when the process has been asked to end
	Publish   func(metrics.Source) // serves the process's figures; nil: nobody reads them
}

// watcher asks a controller for news.
type watcher interface {
	Watch(ctx context.Context, address string, request feed.WatchRequest) (feed.WatchAnswer, error)
}

// Gateway is one running gateway.
type Gateway struct {
	log      logrus.FieldLogger
	watcher  watcher
	started  time.Time
	identity string // the name and a random word: tells this life from an earlier one
	name     string
	counters counters
	backends backendCounts
	reports  reports
	landed   chan struct{} // a flight has ended
	reseed   chan []string
	budget   *wire.Budget // of memory for long messages

	allowance *allowance // of operations of tenants

	// What belongs to the loop that asks.
	calmUntil       time.Duration // until then no question is broken off
	failedQuestions []string      // the last ones, for the log

	mutex     sync.Mutex
	settings  system.Settings
	directory *directory
	news      chan struct{} // closed and replaced when the directory has changed
	flights   map[*flight]struct{}
	pools     map[poolKey]*pool
	clients   map[*client]struct{}
	reads     map[string]*reads // by service
	primary   string            // the controller that answered last

	primaryRelays bool // it isn't primary, and passes questions on

	phase atomic.Int32
}

// Run serves until it is asked to terminate and has done so in order, or until the context ends. An error means that it
// could not start.
func Run(ctx context.Context, boot Options) error {
	asker := &rpc.Client{Routes: boot.Settings.InternalRoutes}
	defer asker.Close()
	return run(ctx, boot, asker)
}

func run(ctx context.Context, boot Options, asker watcher) error {
	gateway := newGateway(boot, asker)
	front, readiness, err := listen(ctx, boot.Settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := gateway.serveReadiness(readiness)
	defer server.Close()
	if boot.Publish != nil {
		boot.Publish(gateway.figures)
	}
	following := make(chan struct{})
	followed, stopFollowing := context.WithCancel(ctx)
	defer stopFollowing()
	go func() {
		defer close(following)
		gateway.follow(followed)
	}()
	go gateway.accept(front)
	go gateway.keepHouse(ctx)
	go gateway.borrow(ctx)
	go gateway.reload(ctx, boot.Reload)
	gateway.log.WithField("front", boot.Settings.Listen.Front).Info("gateway started")

	select {
	case <-ctx.Done():
	case <-boot.Terminate:
		gateway.terminate(ctx)
	}
	front.Close()
	stopFollowing()
	<-following
	gateway.cutClients()
	gateway.closePools()
	gateway.sayGoodbye()
	return nil
}

func newGateway(boot Options, asker watcher) *Gateway {
	held := newDirectory()
	held.keys.Lasting = access.LastingFor(boot.Settings.Bounds.Revoke())
	started := &Gateway{
		log:       boot.Log,
		watcher:   asker,
		started:   time.Now(),
		identity:  boot.Settings.Name + "/" + randomWord(),
		name:      boot.Settings.Name,
		reports:   reports{urgent: make(chan struct{}, 1)},
		landed:    make(chan struct{}, 1),
		reseed:    make(chan []string, 1),
		budget:    wire.NewBudget(messageMemory(boot.Settings.Limits)),
		settings:  boot.Settings,
		directory: held,
		news:      make(chan struct{}),
		flights:   map[*flight]struct{}{},
		pools:     map[poolKey]*pool{},
		clients:   map[*client]struct{}{},
		reads:     map[string]*reads{},
	}
	started.allowance = newAllowance(started.now)
	return started
}

const (
	// messageShare is the part of the machine's memory that long messages of clients may take while they are read:
	// each is copied a few times on its way.
	messageShare = 16
	// leastMessageMemory is enough for a few messages of the greatest length, in bytes.
	leastMessageMemory = 4 * wire.MaxMessage
)

func messageMemory(limits system.Limits) int64 {
	const mebibyte = 1 << 20
	return max(leastMessageMemory, int64(limits.MemoryMb*mebibyte/messageShare))
}

func randomWord() string {
	var word [8]byte
	_, _ = rand.Read(word[:]) // never fails
	return hex.EncodeToString(word[:])
}

// now is the steady time since the start.
func (g *Gateway) now() time.Duration { return time.Since(g.started) }

// clientKeepAlive finds clients that have vanished: thousands rest for long, so it is done rarely.
var clientKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Minute, Interval: 10 * time.Second, Count: 3}

func listen(ctx context.Context, settings system.Settings) (front, readiness net.Listener, err error) {
	config := net.ListenConfig{KeepAliveConfig: clientKeepAlive}
	front, err = config.Listen(ctx, "tcp4", settings.Listen.Front)
	if err != nil {
		return nil, nil, eris.Wrap(err, "front")
	}
	readiness, err = config.Listen(ctx, "tcp4", settings.Listen.Readiness)
	if err != nil {
		front.Close()
		return nil, nil, eris.Wrap(err, "readiness")
	}
	return front, readiness, nil
}

// readinessTime bounds each part of the platform's question: it comes every second and its answer is a line.
const readinessTime = 2 * time.Second

func (g *Gateway) serveReadiness(listener net.Listener) *http.Server {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /readiness", func(writer http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: routes, ReadHeaderTimeout: readinessTime, WriteTimeout: readinessTime}
	go func() { _ = server.Serve(listener) }()
	return server
}

const (
	// unreadyAfter is how long the lease may be lost before the gateway says that it isn't ready: a takeover among the
	// controllers is over by then, and new clients do better elsewhere.
	unreadyAfter = 2 * time.Second
	// closeAfter is how long it may be lost before sessions are closed once they have been refused: by then the platform
	// has noticed, so that they come back elsewhere.
	closeAfter = 6 * time.Second
)

// ready tells whether the gateway can serve: it has a configuration, isn't ending, and hasn't lost its lease for long.
func (g *Gateway) ready() bool {
	if g.at(leaving) {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.directory.configured() && !g.leaseLostFor(unreadyAfter)
}

// leaseLostFor tells whether the lease ran out that long ago. It is called with the lock held.
func (g *Gateway) leaseLostFor(long time.Duration) bool {
	return g.now() >= g.directory.leaseUntil+long
}

// isCutOff tells whether the lease has been lost for so long that sessions are better off elsewhere.
func (g *Gateway) isCutOff() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.directory.configured() && g.leaseLostFor(closeAfter)
}

// reload takes over settings that may change while the process runs.
func (g *Gateway) reload(ctx context.Context, changed <-chan system.Settings) {
	for {
		select {
		case <-ctx.Done():
			return
		case settings, open := <-changed:
			if !open {
				return
			}
			g.mutex.Lock()
			g.settings = settings
			g.mutex.Unlock()
			g.newSeeds(settings.SeedRPCAddresses())
		}
	}
}

// newSeeds hands the seeds to the loop that asks the controllers; only the newest count.
func (g *Gateway) newSeeds(seeds []string) {
	select {
	case <-g.reseed:
	default:
	}
	g.reseed <- seeds
}

const (
	// sweepEvery is between the rounds in which unused connections of tenants are closed, which are kept for seconds only.
	sweepEvery = time.Second
	// sweepsInHouse is how many of these rounds there are to one in which those of others are closed too and counters printed.
	sweepsInHouse = 10
)

func (g *Gateway) keepHouse(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for round := 1; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		isHouse := round%sweepsInHouse == 0
		if isHouse || g.hasTenants() {
			g.trimPools(isHouse)
		}
		if isHouse {
			g.printCounters()
		}
	}
}

func (g *Gateway) trimPools(isHouse bool) {
	for _, kept := range g.allPools() {
		kept.trim()
		if isHouse {
			kept.forgetParts()
		}
	}
}

// hasTenants tells whether the configuration held has tenants.
func (g *Gateway) hasTenants() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.directory.access.Required()
}
