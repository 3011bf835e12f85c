// Package host runs a controller as a process: it does the network and disk I/O and the timers, and makes no decisions.
//
// One goroutine owns the controller and steps it. Everything else reaches the controller through one mailbox: HTTP callers, other processes
// of the system, the disk writer, probes of instances and calls to the platform. None of them blocks the owner, and a message that depends
// on a write is sent only after that write is synced.
package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"eiderway/control/controller"
	"eiderway/control/failover"
	"eiderway/control/feed"
	"eiderway/control/replication"
	"eiderway/control/rpc"
	"eiderway/control/store"
	"eiderway/system"
	"eiderway/system/metrics"
)

// Time limits of an orderly shutdown: handoverShare of the grace period for the controller to hand over, then callersTimeout for replies in
// flight, then diskStopTimeout for the disk. All three fit into the shortest grace period in use, which is some seconds.
const (
	handoverShare   = 0.8
	callersTimeout  = 300 * time.Millisecond
	diskStopTimeout = 300 * time.Millisecond
)

var errGraceExpired = eris.New("host: the time for the handover has expired")

// Options configure Run.
type Options struct {
	Settings  system.Settings
	Reload    <-chan system.Settings // new settings each time that the settings file changes; may be nil
	Log       logrus.FieldLogger
	Terminate <-chan struct{}      // closed when the process is asked to shut down in order; may be nil
	Publish   func(metrics.Source) // exposes the metrics of the process; nil: they aren't exposed

	AdminSocket string // path of the Unix socket for admin calls; "": none are served
}

// Run runs a controller until it has shut down in order after Options.Terminate, or the context ends.
func Run(ctx context.Context, options Options) error {
	if !options.Settings.IsController() {
		return eris.New("host: the settings don't name " + system.ServesControlPlane)
	}
	opened, durable, err := openStore(ctx, options)
	if err != nil {
		return err
	}
	listeners, err := openListeners(ctx, options.Settings)
	if err != nil {
		_ = opened.Close()
		return err
	}
	process := newProcess(ctx, options, opened, durable)
	if options.Publish != nil {
		options.Publish(process.samples)
	}
	if err := process.start(listeners); err != nil {
		process.shutdown()
		return err
	}
	process.loop.run(process.ctx)
	process.shutdown()
	return process.exitError()
}

// process holds the parts of a controller's process.
type process struct {
	options  Options
	store    *store.Store
	inbox    *mailbox
	counters *counters
	disk     *diskWriter
	prober   *prober
	platform *platformClient
	peers    *rpc.Peers
	relay    *relay
	loop     *loop
	http     *http.Server
	control  *controlHandler
	internal internalHandler
	server   *rpc.Server // serves other processes of the system; set by start

	parent     context.Context
	ctx        context.Context // ends the loop and everything that works for it
	cancel     context.CancelCauseFunc
	background sync.WaitGroup
}

func newProcess(parent context.Context, options Options, opened *store.Store, durable replication.DurableState) *process {
	ctx, cancel := context.WithCancelCause(parent)
	counters := &counters{}
	inbox := newMailbox(mailboxLimit)
	ids := &callIDs{}
	replies := newPending[controller.Reply]()
	watches := newPending[feed.WatchAnswer]()
	p := &process{options: options, store: opened, inbox: inbox, counters: counters, parent: parent, ctx: ctx, cancel: cancel}

	p.disk = newDiskWriter(opened, durable.Incarnation, inbox, options.Log, counters, cancel)
	p.peers = rpc.NewPeers(options.Settings.RPCAddress(), options.Settings.InternalRoutes, options.Log)
	p.relay = newRelay(options.Settings.InternalRoutes)
	p.control = newControlHandler(inbox, ids, replies, counters)
	p.http = newHTTPServer(p.control, options.Log)
	p.internal = internalHandler{inbox: inbox, ids: ids, watches: watches, counters: counters, backstop: watchBackstop, relay: p.relay.forward}

	started := time.Now()
	ctrl := controller.New(time.Since(started), ControllerSettings(options.Settings), durable)
	p.loop = &loop{
		controller: ctrl,
		isPrimary:  func() bool { return ctrl.Status().Role == replication.Primary },
		inbox:      inbox,
		disk:       p.disk,
		outbox:     &outbox{send: p.send},
		replies:    replies,
		watches:    watches,
		log:        options.Log,
		counters:   counters,
		counterLog: counterLog{counters: counters, log: options.Log, due: counterLogInterval},
		started:    started,
	}
	if options.Publish != nil {
		p.loop.readStatus = ctrl.Status
	}
	p.prober = newProber(ctx, options.Settings.Name, p.loop.now, p.deliverProbeResult, counters)
	p.platform = &platformClient{
		address:  platformAddress(options.Settings),
		deliver:  p.deliverPlatformResult,
		counters: counters,
		ctx:      ctx,
		timeout:  platformCallTimeout,
	}
	p.loop.cancelProbe = p.prober.cancel
	p.loop.startProbe = p.prober.start
	p.loop.startPlatformCall = p.platform.start
	return p
}

func (p *process) send(envelope replication.Envelope) { p.peers.Send(envelope.To, envelope.Message) }

func (p *process) deliverProbeResult(result failover.ProbeResult) {
	p.inbox.post(controller.ProbeFinished{Result: result})
}

func (p *process) deliverPlatformResult(result failover.PlatformResult) {
	p.inbox.post(controller.PlatformCallFinished{Result: result})
}

// start starts everything but the loop.
func (p *process) start(listeners listeners) error {
	go p.disk.run()
	limits := connectionLimitsOf(p.options.Settings.Limits.MaxFds)
	p.server = rpc.Serve(p.limitConnections(listeners.internal, limits.internal, 0), rpc.Handlers{
		Message: p.internal.message,
		Watch:   p.internal.watch,
		Log:     p.options.Log,
	})
	p.background.Go(func() {
		if err := p.http.Serve(p.limitConnections(listeners.control, limits.control, limits.maxKeptAlive())); !errors.Is(err, http.ErrServerClosed) {
			p.cancel(eris.Wrap(err, "host: callers of the control plane"))
		}
	})
	p.background.Go(p.watchLifecycle)
	return p.serveAdmin(p.control)
}

func (p *process) limitConnections(listener net.Listener, limit, maxKept int) net.Listener {
	return &limitedListener{Listener: listener, limit: int64(limit), maxKept: int64(maxKept), refused: &p.counters.connectionsRefused}
}

// watchLifecycle passes requests to terminate and changed settings on to the controller.
func (p *process) watchLifecycle() {
	terminate := p.options.Terminate
	reload := p.options.Reload
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-terminate:
			terminate = nil
			p.inbox.post(controller.Terminate{})
			deadline := time.AfterFunc(p.handoverTime(), func() { p.cancel(errGraceExpired) })
			defer deadline.Stop()
		case settings, open := <-reload:
			if !open {
				reload = nil
				continue
			}
			p.inbox.post(controller.SeedsChanged{Seeds: settings.SeedRPCAddresses()})
		}
	}
}

// handoverTime is how long the controller may take to hand over after SIGTERM.
func (p *process) handoverTime() time.Duration {
	return time.Duration(float64(p.options.Settings.Bounds.Grace()) * handoverShare)
}

// shutdown closes everything in an order that leaves nobody waiting: callers get their answers first, and the disk writer finishes its queue
// last.
func (p *process) shutdown() {
	p.inbox.close()
	closing, stop := context.WithTimeout(context.Background(), callersTimeout)
	defer stop()
	if err := p.http.Shutdown(closing); err != nil {
		_ = p.http.Close()
	}
	p.cancel(nil)
	p.server.Close()
	p.peers.Close()
	p.relay.close()
	p.prober.close()
	p.platform.calls.Wait()
	p.background.Wait()
	p.closeDisk()
}

// closeDisk waits for the disk writer, at most diskStopTimeout. The process may end with unsynced writes: no message that depends on them has
// been sent.
func (p *process) closeDisk() {
	p.disk.stop()
	timer := time.NewTimer(diskStopTimeout)
	defer timer.Stop()
	select {
	case <-p.disk.ended:
		if err := p.store.Close(); err != nil {
			p.options.Log.WithError(err).Warn("disk: closing the store failed")
		}
	case <-timer.C:
		p.options.Log.Warn("disk: the last write has not ended")
	}
}

// exitError returns why the process ended; nil if it was asked to.
func (p *process) exitError() error {
	cause := context.Cause(p.ctx)
	if p.parent.Err() != nil || errors.Is(cause, context.Canceled) || errors.Is(cause, errGraceExpired) {
		return nil
	}
	return cause
}
