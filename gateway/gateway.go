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
type controllerClient interface {
	Watch(ctx context.Context, address string, request feed.WatchRequest) (feed.WatchAnswer, error)
}

// Gateway is one running gateway.
type Gateway struct {
	log           logrus.FieldLogger
	controllers   controllerClient
	startedAt     time.Time
	identity      string // the name and a random word: tells this life from an earlier one
	name          string
	counters      counters
	backendCounts backendCounts
	reports       instanceReports
	flightEnded   chan struct{} // a flight has ended
	seedUpdates   chan []string
	messageBudget *wire.Budget // of memory for long messages

	limiter *limiter // of operations of tenants

	// What belongs to the loop that asks.
	nextUrgentAt  time.Duration // until then no question is broken off
	failedWatches []string      // the last ones, for the log

	mutex            sync.Mutex
	settings         system.Settings
	directory        *directory
	directoryChanged chan struct{} // closed and replaced when the directory has changed
	flights          map[*flight]struct{}
	pools            map[poolKey]*pool
	clients          map[*client]struct{}
	readStates       map[string]*readState // by service
	primary          string                // the controller that answered last

	primaryRelays bool // it isn't primary, and passes questions on

	phase atomic.Int32
}

// Run serves until it is asked to terminate and has done so in order, or until the context ends. An error means that it
// could not start.
func Run(ctx context.Context, options Options) error {
	controllers := &rpc.Client{Routes: options.Settings.InternalRoutes}
	defer controllers.Close()
	return run(ctx, options, controllers)
}

func run(ctx context.Context, options Options, controllers controllerClient) error {
	gateway := newGateway(options, controllers)
	front, readiness, err := listen(ctx, options.Settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := gateway.serveReadiness(readiness)
	defer server.Close()
	if options.Publish != nil {
		options.Publish(gateway.figures)
	}
	watchEnded := make(chan struct{})
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go func() {
		defer close(watchEnded)
		gateway.watchControllers(watchCtx)
	}()
	go gateway.accept(front)
	go gateway.maintain(ctx)
	go gateway.refillLimits(ctx)
	go gateway.watchSettings(ctx, options.Reload)
	gateway.log.WithField("front", options.Settings.Listen.Front).Info("gateway started")

	select {
	case <-ctx.Done():
	case <-options.Terminate:
		gateway.terminate(ctx)
	}
	front.Close()
	stopWatching()
	<-watchEnded
	gateway.closeClients()
	gateway.closePools()
	gateway.announceLeaving()
	return nil
}

func newGateway(options Options, controllers controllerClient) *Gateway {
	directory := newDirectory()
	directory.keys.Lasting = access.LastingFor(options.Settings.Bounds.Revoke())
	gateway := &Gateway{
		log:              options.Log,
		controllers:      controllers,
		startedAt:        time.Now(),
		identity:         options.Settings.Name + "/" + randomID(),
		name:             options.Settings.Name,
		reports:          instanceReports{urgent: make(chan struct{}, 1)},
		flightEnded:      make(chan struct{}, 1),
		seedUpdates:      make(chan []string, 1),
		messageBudget:    wire.NewBudget(messageMemory(options.Settings.Limits)),
		settings:         options.Settings,
		directory:        directory,
		directoryChanged: make(chan struct{}),
		flights:          map[*flight]struct{}{},
		pools:            map[poolKey]*pool{},
		clients:          map[*client]struct{}{},
		readStates:       map[string]*readState{},
	}
	gateway.limiter = newLimiter(gateway.elapsed)
	return gateway
}

const (
	// messageShare is the part of the machine's memory that long messages of clients may take while they are read:
	// each is copied a few times on its way.
	messageMemoryShare = 16
	// leastMessageMemory is enough for a few messages of the greatest length, in bytes.
	minMessageMemory = 4 * wire.MaxMessage
)

func messageMemory(limits system.Limits) int64 {
	const mebibyte = 1 << 20
	return max(minMessageMemory, int64(limits.MemoryMb*mebibyte/messageMemoryShare))
}

func randomID() string {
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails
	return hex.EncodeToString(id[:])
}

// now is the steady time since the start.
func (g *Gateway) elapsed() time.Duration { return time.Since(g.startedAt) }

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
const readinessTimeout = 2 * time.Second

func (g *Gateway) serveReadiness(listener net.Listener) *http.Server {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /readiness", func(writer http.ResponseWriter, _ *http.Request) {
		if !g.isReady() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: routes, ReadHeaderTimeout: readinessTimeout, WriteTimeout: readinessTimeout}
	go func() { _ = server.Serve(listener) }()
	return server
}

const (
	// unreadyAfter is how long the lease may be lost before the gateway says that it isn't ready: a takeover among the
	// controllers is over by then, and new clients do better elsewhere.
	unreadyAfter = 2 * time.Second
	// closeAfter is how long it may be lost before sessions are closed once they have been refused: by then the platform
	// has noticed, so that they come back elsewhere.
	closeSessionsAfter = 6 * time.Second
)

// ready tells whether the gateway can serve: it has a configuration, isn't ending, and hasn't lost its lease for long.
func (g *Gateway) isReady() bool {
	if g.hasReached(unready) {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.directory.hasConfiguration() && !g.isLeaseLostFor(unreadyAfter)
}

// leaseLostFor tells whether the lease ran out that long ago. It is called with the lock held.
func (g *Gateway) isLeaseLostFor(duration time.Duration) bool {
	return g.elapsed() >= g.directory.leaseUntil+duration
}

// isCutOff tells whether the lease has been lost for so long that sessions are better off elsewhere.
func (g *Gateway) isCutOff() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.directory.hasConfiguration() && g.isLeaseLostFor(closeSessionsAfter)
}

// reload takes over settings that may change while the process runs.
func (g *Gateway) watchSettings(ctx context.Context, changed <-chan system.Settings) {
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
			g.updateSeeds(settings.SeedRPCAddresses())
		}
	}
}

// newSeeds hands the seeds to the loop that asks the controllers; only the newest count.
func (g *Gateway) updateSeeds(seeds []string) {
	select {
	case <-g.seedUpdates:
	default:
	}
	g.seedUpdates <- seeds
}

const (
	// sweepEvery is between the rounds in which unused connections of tenants are closed, which are kept for seconds only.
	trimInterval = time.Second
	// sweepsInHouse is how many of these rounds there are to one in which those of others are closed too and counters printed.
	trimsPerFullRound = 10
)

func (g *Gateway) maintain(ctx context.Context) {
	ticker := time.NewTicker(trimInterval)
	defer ticker.Stop()
	for round := 1; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		isFullRound := round%trimsPerFullRound == 0
		if isFullRound || g.hasTenants() {
			g.trimPools(isFullRound)
		}
		if isFullRound {
			g.logCounters()
		}
	}
}

func (g *Gateway) trimPools(isFullRound bool) {
	for _, pool := range g.allPools() {
		pool.trim()
		if isFullRound {
			pool.forgetTenants()
		}
	}
}

// hasTenants tells whether the configuration held has tenants.
func (g *Gateway) hasTenants() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.directory.access.Required()
}
