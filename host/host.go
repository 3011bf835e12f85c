// Package host is the process around a controller: it carries bytes, files and timers, and decides nothing.
//
// One goroutine owns the controller and steps it. All else reaches it through one mailbox: callers over HTTP, other
// processes of the system, a writer that owns the disk, probes of instances and calls to the platform. None of them
// makes the owner wait, and a message that speaks of a write leaves only once that write is safe.
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

// The order of an end: handOverShare of the grace for the controller, then answersWait for answers on their way, then
// diskEndWait for the disk. With the shortest grace in use, some seconds, all of it fits.
const (
	handOverShare = 0.8
	answersWait   = 300 * time.Millisecond
	diskEndWait   = 300 * time.Millisecond
)

var errGraceOver = eris.New("host: the time to hand over is used up")

// Options is what a controller's process is started with.
type Options struct {
	Settings  system.Settings
	Reload    <-chan system.Settings // the settings file has changed; may be nil
	Log       logrus.FieldLogger
	Terminate <-chan struct{}      // closed when the process is asked to end in order; may be nil
	Publish   func(metrics.Source) // serves the process's figures; nil: nobody reads them

	AdminSocket string // path of the socket file for admin calls; "": none are taken
}

// Run runs a controller until it has ended in order after Options.Terminate, or the context ends.
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
		options.Publish(process.figures)
	}
	if err := process.start(listeners); err != nil {
		process.end()
		return err
	}
	process.loop.run(process.ctx)
	process.end()
	return process.failure()
}

// process is all that a controller's process consists of.
type process struct {
	options  Options
	store    *store.Store
	inbox    *mailbox
	counters *counters
	disk     *diskWriter
	prober   *prober
	platform *platform
	peers    *rpc.Peers
	relay    *relay
	loop     *loop
	http     *http.Server
	front    *front
	internal processFront
	server   *rpc.Server // of other processes of the system; set by start

	parent     context.Context
	ctx        context.Context // ends the loop and all that works for it
	cancel     context.CancelCauseFunc
	background sync.WaitGroup
}

func newProcess(parent context.Context, options Options, opened *store.Store, durable replication.DurableState) *process {
	ctx, cancel := context.WithCancelCause(parent)
	counters := &counters{}
	inbox := newMailbox(mailboxLimit)
	numbers := &callNumbers{}
	replies := newPending[controller.Reply]()
	watches := newPending[feed.WatchAnswer]()
	p := &process{options: options, store: opened, inbox: inbox, counters: counters, parent: parent, ctx: ctx, cancel: cancel}

	p.disk = newDiskWriter(opened, durable.Incarnation, inbox, options.Log, counters, cancel)
	p.peers = rpc.NewPeers(options.Settings.RPCAddress(), options.Settings.InternalRoutes, options.Log)
	p.relay = newRelay(options.Settings.InternalRoutes)
	p.front = newFront(inbox, numbers, replies, counters)
	p.http = newHTTPServer(p.front, options.Log)
	p.internal = processFront{inbox: inbox, numbers: numbers, watches: watches, counters: counters, backstop: watchBackstop, relay: p.relay.ask}

	started := time.Now()
	decides := controller.New(time.Since(started), ControllerSettings(options.Settings), durable)
	p.loop = &loop{
		controller: decides,
		leads:      func() bool { return decides.Status().Role == replication.Primary },
		inbox:      inbox,
		disk:       p.disk,
		outbox:     &outbox{send: p.send},
		replies:    replies,
		watches:    watches,
		log:        options.Log,
		counters:   counters,
		counterLog: counterLog{counters: counters, log: options.Log, due: countersEvery},
		started:    started,
	}
	if options.Publish != nil {
		p.loop.tell = decides.Status
	}
	p.prober = newProber(ctx, options.Settings.Name, p.loop.now, p.probed, counters)
	p.platform = &platform{
		address:  platformAddress(options.Settings),
		deliver:  p.called,
		counters: counters,
		ctx:      ctx,
		wait:     platformWait,
	}
	p.loop.probe = p.prober.start
	p.loop.call = p.platform.start
	return p
}

func (p *process) send(envelope replication.Envelope) { p.peers.Send(envelope.To, envelope.Message) }

func (p *process) probed(result failover.ProbeResult) {
	p.inbox.post(controller.ProbeFinished{Result: result})
}

func (p *process) called(result failover.PlatformResult) {
	p.inbox.post(controller.PlatformCallFinished{Result: result})
}

// start starts all that works beside the loop.
func (p *process) start(listeners listeners) error {
	go p.disk.run()
	limits := connectionLimitsOf(p.options.Settings.Limits.MaxFds)
	p.server = rpc.Serve(p.limited(listeners.internal, limits.internal, 0), rpc.Handlers{
		Message: p.internal.message,
		Watch:   p.internal.watch,
		Log:     p.options.Log,
	})
	p.background.Go(func() {
		if err := p.http.Serve(p.limited(listeners.control, limits.control, limits.kept())); !errors.Is(err, http.ErrServerClosed) {
			p.cancel(eris.Wrap(err, "host: callers of the control plane"))
		}
	})
	p.background.Go(p.followOrders)
	return p.serveAdmin(p.front)
}

func (p *process) limited(listener net.Listener, limit, keep int) net.Listener {
	return &limitedListener{Listener: listener, limit: int64(limit), keep: int64(keep), refused: &p.counters.connectionsRefused}
}

// followOrders passes on what the platform wants of the process.
func (p *process) followOrders() {
	terminate := p.options.Terminate
	reload := p.options.Reload
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-terminate:
			terminate = nil
			p.inbox.post(controller.Terminate{})
			last := time.AfterFunc(p.lastMoment(), func() { p.cancel(errGraceOver) })
			defer last.Stop()
		case settings, open := <-reload:
			if !open {
				reload = nil
				continue
			}
			p.inbox.post(controller.SeedsChanged{Seeds: settings.SeedRPCAddresses()})
		}
	}
}

// lastMoment is how long after SIGTERM the controller may hand over.
func (p *process) lastMoment() time.Duration {
	return time.Duration(float64(p.options.Settings.Bounds.Grace()) * handOverShare)
}

// end closes everything, in an order in which nobody is left waiting: callers get their answers first, and the disk
// finishes what it has.
func (p *process) end() {
	p.inbox.close()
	closing, stop := context.WithTimeout(context.Background(), answersWait)
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

// closeDisk waits for the disk as long as it may. Then the process ends all the same: what is not synced was not spoken
// of.
func (p *process) closeDisk() {
	p.disk.stop()
	timer := time.NewTimer(diskEndWait)
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

// failure is why the process ended, if it was not asked to.
func (p *process) failure() error {
	cause := context.Cause(p.ctx)
	if p.parent.Err() != nil || errors.Is(cause, context.Canceled) || errors.Is(cause, errGraceOver) {
		return nil
	}
	return cause
}
