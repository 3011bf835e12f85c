package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"eiderway/control/failover"
	"eiderway/wire"
)

const (
	// probeDialTimeout bounds the dial and the greeting: a healthy instance answers within tens of milliseconds.
	probeDialTimeout = 400 * time.Millisecond
	// probeAnswerTimeout bounds the wait for an answer: longer than a busy instance needs, and short against the silence after which a leader
	// is suspected.
	probeAnswerTimeout = 600 * time.Millisecond
	// probeIdleTimeout is how long a connection is kept for the next probe. A new connection costs time and a slot, but a kept one occupies
	// one of the instance's connections.
	probeIdleTimeout = 30 * time.Second
	// maxQueuedProbes bounds the probes that wait for an earlier one of the same instance.
	maxQueuedProbes = 16
)

// probeTimeouts are the timeouts of a prober.
type probeTimeouts struct{ dial, answer, idle time.Duration }

// probeTarget identifies an instance as a probe names it. The same instance with another address or service is another target.
type probeTarget struct{ service, instanceID, address string }

// prober runs probes, one at a time for each instance, over a connection that is kept between them.
type prober struct {
	clientName string // how the prober introduces itself to instances
	now        func() time.Duration
	deliver    func(failover.ProbeResult)
	counters   *counters
	ctx        context.Context
	timeouts   probeTimeouts
	running    sync.WaitGroup

	mutex     sync.Mutex
	targets   map[probeTarget]*probedInstance
	idleConns int // number of targets with an idle connection
}

// idleCount returns the number of idle connections. The caller holds the mutex.
func (p *prober) idleCount() int { return p.idleConns }

// probedInstance is the state that the prober keeps for one target.
type probedInstance struct {
	queue      []failover.Probe
	current    uint64 // number of the probe that is being run
	cancelled  bool   // the current probe is not to be sent any more
	isWorking  bool   // a goroutine processes the queue and owns the connection
	connection *wire.Conn
	idleTimer  *time.Timer // closes the connection after timeouts.idle
}

// newProber returns a prober whose probes end with the context.
func newProber(ctx context.Context, clientName string, now func() time.Duration, deliver func(failover.ProbeResult), counters *counters) *prober {
	return &prober{
		clientName: clientName,
		now:        now,
		deliver:    deliver,
		counters:   counters,
		ctx:        ctx,
		timeouts:   probeTimeouts{dial: probeDialTimeout, answer: probeAnswerTimeout, idle: probeIdleTimeout},
		targets:    make(map[probeTarget]*probedInstance),
	}
}

// start runs a probe in the background.
func (p *prober) start(probe failover.Probe) {
	p.counters.probes.Add(1)
	target := probeTarget{service: probe.Service, instanceID: probe.InstanceID, address: probe.Address}
	if !p.enqueue(target, probe) {
		p.deliver(failover.ProbeResult{Number: probe.Number, Answer: failover.Silent, Started: p.now()})
	}
}

// enqueue adds the probe to the queue of its target, and reports whether there was room.
func (p *prober) enqueue(target probeTarget, probe failover.Probe) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	instance, found := p.targets[target]
	if !found {
		instance = &probedInstance{}
		p.targets[target] = instance
	}
	if len(instance.queue) >= maxQueuedProbes {
		return false
	}
	instance.queue = append(instance.queue, probe)
	if !instance.isWorking {
		instance.isWorking = true
		if found {
			p.idleConns--
		}
		instance.stopIdleTimer()
		p.running.Add(1)
		go p.processQueue(target, instance)
	}
	return true
}

// processQueue runs the probes of one target until its queue is empty.
func (p *prober) processQueue(target probeTarget, instance *probedInstance) {
	defer p.running.Done()
	for {
		probe, found := p.next(target, instance)
		if !found {
			return
		}
		if result, wasCancelled := p.run(instance, probe); !wasCancelled {
			p.deliver(result)
		}
	}
}

// cancel takes back a probe that has not been sent yet. It has no result then.
func (p *prober) cancel(number uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, instance := range p.targets {
		if instance.isWorking && instance.current == number {
			instance.cancelled = true
			return
		}
		waiting := len(instance.queue)
		instance.queue = slices.DeleteFunc(instance.queue, func(probe failover.Probe) bool { return probe.Number == number })
		if len(instance.queue) < waiting {
			return
		}
	}
}

// isCancelled reports whether the current probe is not to be sent any more.
func (p *prober) isCancelled(instance *probedInstance) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return instance.cancelled
}

// next takes the next probe. If there is none, it keeps the connection as idle.
func (p *prober) next(target probeTarget, instance *probedInstance) (failover.Probe, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(instance.queue) > 0 {
		probe := instance.queue[0]
		instance.queue = instance.queue[1:]
		instance.current, instance.cancelled = probe.Number, false
		return probe, true
	}
	instance.isWorking = false
	if instance.connection != nil && p.idleCount() >= maxIdleProbeConns {
		instance.connection.Close() // the connections that are idle already stay
		instance.connection = nil
	}
	if instance.connection == nil {
		delete(p.targets, target)
		return failover.Probe{}, false
	}
	p.idleConns++
	instance.idleTimer = time.AfterFunc(p.timeouts.idle, func() { p.closeIdle(target, instance) })
	return failover.Probe{}, false
}

// closeIdle closes a connection that has been idle for too long.
func (p *prober) closeIdle(target probeTarget, instance *probedInstance) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if instance.isWorking || p.targets[target] != instance {
		return
	}
	p.idleConns--
	instance.connection.Close()
	delete(p.targets, target)
}

func (i *probedInstance) stopIdleTimer() {
	if i.idleTimer != nil {
		i.idleTimer.Stop()
	}
}

// run runs one probe, unless it is cancelled before it is sent. A connection that failed, or on which a late answer may still arrive, is never
// reused.
func (p *prober) run(instance *probedInstance, probe failover.Probe) (result failover.ProbeResult, wasCancelled bool) {
	result = failover.ProbeResult{Number: probe.Number, Started: p.now()}
	if instance.connection == nil || !instance.connection.IsUsable() {
		instance.connection = nil
		connection, err := p.dial(probe)
		if err != nil {
			result.Answer = err.answer
			return result, false
		}
		instance.connection = connection
	}
	if p.isCancelled(instance) {
		return result, true
	}
	result.Started = p.now()
	status, err := p.query(instance.connection, probe)
	if err != nil {
		result.Answer = err.answer
		if !err.isConnUsable {
			instance.connection.Close()
			instance.connection = nil
		}
		return result, false
	}
	result.Status = status
	return result, false
}

func (p *prober) dial(probe failover.Probe) (*wire.Conn, *probeFailure) {
	ctx, cancel := context.WithTimeout(p.ctx, p.timeouts.dial)
	defer cancel()
	connection, err := wire.Dial(ctx, probe.Address, probe.Service, p.clientName, probe.InstanceID)
	if err != nil {
		return nil, classifyFailure(ctx, err)
	}
	return connection, nil
}

func (p *prober) query(connection *wire.Conn, probe failover.Probe) (failover.Status, *probeFailure) {
	ctx, cancel := context.WithTimeout(p.ctx, p.timeouts.answer)
	defer cancel()
	status, err := queryFor(probe)(connection, ctx)
	if err != nil {
		return failover.Status{}, classifyFailure(ctx, err)
	}
	return status, nil
}

// queryFor returns the method of wire.Conn that sends a probe of this kind.
func queryFor(probe failover.Probe) func(*wire.Conn, context.Context) (failover.Status, error) {
	switch probe.Kind {
	case failover.AskPause:
		return func(connection *wire.Conn, ctx context.Context) (failover.Status, error) {
			return connection.Pause(ctx, probe.Term)
		}
	case failover.AskContinue:
		return (*wire.Conn).Continue
	case failover.AskStepDown:
		return func(connection *wire.Conn, ctx context.Context) (failover.Status, error) {
			return connection.StepDown(ctx, probe.Term)
		}
	}
	return (*wire.Conn).Status
}

// close waits for the probes in progress, which end with the context, and closes the idle connections.
func (p *prober) close() {
	p.running.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for target, instance := range p.targets {
		instance.stopIdleTimer()
		if instance.connection != nil {
			instance.connection.Close()
		}
		delete(p.targets, target)
	}
}
