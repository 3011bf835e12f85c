// Package gateway serves clients: it accepts their sessions, runs their statements on the instances of the services,
// and follows the table that the controllers publish.
//
// It never breaks the following rules. A statement goes only to the instance that leads its service by the newest
// table, under a valid lease and while the service isn't frozen; this is checked after the statement was read and again
// before it is sent. Only a read that tolerates stale data goes to a replica, and the replica itself proves that its
// log holds a position that the lawful leader had within the tolerated time. A freeze is acknowledged only when nothing
// is in flight at the leader. A client is told of success only with the instance's stamp, and only if the right to use
// the leader lasted until the answer came. A client is told that nothing was kept only where that is known. A statement
// that can't be run under these rules is refused.
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
	Terminate <-chan struct{}      // closed when the process has been asked to shut down
	Publish   func(metrics.Source) // exposes the metrics of the process; nil: they aren't exposed
}

// controllerClient sends watch requests to controllers.
type controllerClient interface {
	Watch(ctx context.Context, address string, request feed.WatchRequest) (feed.WatchAnswer, error)
}

// Gateway is one running gateway.
type Gateway struct {
	log           logrus.FieldLogger
	controllers   controllerClient
	startedAt     time.Time
	identity      string // the name and a random ID, which distinguishes this process from earlier ones of the same name
	name          string
	counters      counters
	backendCounts backendCounts
	reports       instanceReports
	flightEnded   chan struct{} // signals that a flight has ended
	seedUpdates   chan []string
	messageBudget *wire.Budget // memory for long messages

	limiter *limiter // enforces the tenants' limits of operations

	// Only the goroutine that watches the controllers uses these.
	nextUrgentAt  time.Duration // before this time no pending watch is overtaken by an urgent one
	failedWatches []string      // the most recent ones, for the log

	mutex            sync.Mutex
	settings         system.Settings
	directory        *directory
	directoryChanged chan struct{} // closed and replaced when the directory has changed
	flights          map[*flight]struct{}
	pools            map[poolKey]*pool
	clients          map[*client]struct{}
	readStates       map[string]*readState // by service
	primary          string                // the address of the controller that answered last

	primaryRelays bool // that controller isn't the primary but passes requests on to it

	phase    atomic.Int32
	shutdown atomic.Pointer[shutdown] // nil until the process is asked to shut down
}

// Run serves until it is asked to shut down and has done so in order, or until the context ends. It returns an error if
// it could not start.
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
	directory.keys.Duration = access.TrustDuration(options.Settings.Bounds.Revoke())
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
	// messageMemoryShare is the divisor that gives the part of the machine's memory that long messages of clients may
	// take while they are read. Each message is copied several times on its way.
	messageMemoryShare = 16
	// minMessageMemory is enough for a few messages of the maximum length, in bytes.
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

// elapsed returns the monotonic time since the start.
func (g *Gateway) elapsed() time.Duration { return time.Since(g.startedAt) }

// clientKeepAlive detects clients that have vanished. Probes are rare since thousands of sessions are idle for long.
var clientKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Minute, Interval: 10 * time.Second, Count: 3}

func listen(ctx context.Context, settings system.Settings) (front, readiness net.Listener, err error) {
	config := net.ListenConfig{KeepAliveConfig: clientKeepAlive}
	front, err = config.Listen(ctx, "tcp4", settings.Listen.Front)
	if err != nil {
		return nil, nil, eris.Wrap(err, "listening for clients")
	}
	readiness, err = config.Listen(ctx, "tcp4", settings.Listen.Readiness)
	if err != nil {
		front.Close()
		return nil, nil, eris.Wrap(err, "listening for readiness checks")
	}
	return front, readiness, nil
}

// readinessTimeout bounds the reading of a readiness request and the writing of its answer. The platform asks every
// second, and the answer is one line.
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
	// unreadyAfter is how long the lease may be lost before the gateway reports that it isn't ready. A takeover among
	// the controllers is over by then, so new clients are better served elsewhere.
	unreadyAfter = 2 * time.Second
	// closeSessionsAfter is how long the lease may be lost before a session is closed once a statement of it has been
	// refused. By then the platform has noticed that the gateway isn't ready, so the client reconnects elsewhere.
	closeSessionsAfter = 6 * time.Second
)

// isReady reports whether the gateway can serve: it has a configuration, isn't shutting down, and hasn't lost its lease
// for long.
func (g *Gateway) isReady() bool {
	if g.hasReached(unready) {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.directory.hasConfiguration() && !g.isLeaseLostFor(unreadyAfter)
}

// isLeaseLostFor reports whether the lease ran out at least that long ago. The caller holds the lock.
func (g *Gateway) isLeaseLostFor(duration time.Duration) bool {
	return g.elapsed() >= g.directory.leaseUntil+duration
}

// isCutOff reports whether the lease has been lost for so long that sessions are better served elsewhere.
func (g *Gateway) isCutOff() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.directory.hasConfiguration() && g.isLeaseLostFor(closeSessionsAfter)
}

// watchSettings takes over settings that may change while the process runs.
func (g *Gateway) watchSettings(ctx context.Context, changed <-chan system.Settings) {
	for {
		select {
		case <-ctx.Done():
			return
		case settings, isOpen := <-changed:
			if !isOpen {
				return
			}
			g.mutex.Lock()
			g.settings = settings
			g.mutex.Unlock()
			g.updateSeeds(settings.SeedRPCAddresses())
		}
	}
}

// updateSeeds hands the seeds to the goroutine that watches the controllers. Seeds that it hasn't picked up yet are
// replaced.
func (g *Gateway) updateSeeds(seeds []string) {
	select {
	case <-g.seedUpdates:
	default:
	}
	g.seedUpdates <- seeds
}

const (
	// trimInterval is the time between rounds that close unused connections of tenants. These are kept for seconds
	// only.
	trimInterval = time.Second
	// trimsPerFullRound is how many rounds there are to a full one, which also trims when there are no tenants, forgets
	// tenants without connections and logs the counters.
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

// hasTenants reports whether the current configuration has tenants.
func (g *Gateway) hasTenants() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.directory.access.RequiresKeys()
}
