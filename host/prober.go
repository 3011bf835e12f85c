package host

import (
	"context"
	"sync"
	"time"

	"eiderway/control/failover"
	"eiderway/wire"
)

const (
	// probeDial bounds the opening of a connection to an instance: a healthy one answers within tens of milliseconds.
	probeDial = 400 * time.Millisecond
	// probeWait bounds the answer to a question: longer than a busy instance needs, short against the silence after which a
	// leader is suspected.
	probeWait = 600 * time.Millisecond
	// probeIdle is how long a connection is kept for the next probe: new connections are paid for and take a slot, and
	// kept ones take one of the instance's connections.
	probeIdle = 30 * time.Second
	// probesWaiting bounds the probes that wait for the one before them at the same instance.
	probesWaiting = 16
)

// probeWaits are the bounds of a prober's waits.
type probeWaits struct{ dial, answer, idle time.Duration }

// probeTarget is an instance as a probe names it. Another address, or another service, is another target.
type probeTarget struct{ service, instanceID, address string }

// prober carries probes out: one at a time for each instance, over a connection that is kept.
type prober struct {
	who      string // named to instances
	now      func() time.Duration
	deliver  func(failover.ProbeResult)
	counters *counters
	ctx      context.Context
	waits    probeWaits
	running  sync.WaitGroup

	mutex   sync.Mutex
	targets map[probeTarget]*probedInstance
	resting int // targets whose connection is kept for the next probe
}

// kept is how many connections rest. It is called with the lock held.
func (p *prober) kept() int { return p.resting }

// probedInstance is what the prober keeps of one instance.
type probedInstance struct {
	queue      []failover.Probe
	busy       bool // a goroutine works on the queue and owns the connection
	connection *wire.Conn
	rest       *time.Timer // closes the connection after probeIdle
}

// newProber makes a prober that ends with the context.
func newProber(ctx context.Context, who string, now func() time.Duration, deliver func(failover.ProbeResult), counters *counters) *prober {
	return &prober{
		who:      who,
		now:      now,
		deliver:  deliver,
		counters: counters,
		ctx:      ctx,
		waits:    probeWaits{dial: probeDial, answer: probeWait, idle: probeIdle},
		targets:  make(map[probeTarget]*probedInstance),
	}
}

// start carries a probe out in the background.
func (p *prober) start(probe failover.Probe) {
	p.counters.probes.Add(1)
	target := probeTarget{service: probe.Service, instanceID: probe.InstanceID, address: probe.Address}
	if !p.enqueue(target, probe) {
		p.deliver(failover.ProbeResult{Number: probe.Number, Answer: failover.Silent, Started: p.now()})
	}
}

// enqueue adds the probe to those of its instance, and tells whether there was room.
func (p *prober) enqueue(target probeTarget, probe failover.Probe) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	instance, found := p.targets[target]
	if !found {
		instance = &probedInstance{}
		p.targets[target] = instance
	}
	if len(instance.queue) >= probesWaiting {
		return false
	}
	instance.queue = append(instance.queue, probe)
	if !instance.busy {
		instance.busy = true
		if found {
			p.resting--
		}
		instance.stopRest()
		p.running.Add(1)
		go p.work(target, instance)
	}
	return true
}

// work carries out the probes of one instance until none waits.
func (p *prober) work(target probeTarget, instance *probedInstance) {
	defer p.running.Done()
	for {
		probe, found := p.next(target, instance)
		if !found {
			return
		}
		p.deliver(p.ask(instance, probe))
	}
}

// next takes the next probe. Without one the connection is left to rest.
func (p *prober) next(target probeTarget, instance *probedInstance) (failover.Probe, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(instance.queue) > 0 {
		probe := instance.queue[0]
		instance.queue = instance.queue[1:]
		return probe, true
	}
	instance.busy = false
	if instance.connection != nil && p.kept() >= probesKept {
		instance.connection.Close() // those that are kept already go on being of use
		instance.connection = nil
	}
	if instance.connection == nil {
		delete(p.targets, target)
		return failover.Probe{}, false
	}
	p.resting++
	instance.rest = time.AfterFunc(p.waits.idle, func() { p.forget(target, instance) })
	return failover.Probe{}, false
}

// forget closes a connection that has rested too long.
func (p *prober) forget(target probeTarget, instance *probedInstance) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if instance.busy || p.targets[target] != instance {
		return
	}
	p.resting--
	instance.connection.Close()
	delete(p.targets, target)
}

func (i *probedInstance) stopRest() {
	if i.rest != nil {
		i.rest.Stop()
	}
}

// ask carries one probe out. A connection that failed, or whose answer may still come, is never used again.
func (p *prober) ask(instance *probedInstance, probe failover.Probe) failover.ProbeResult {
	result := failover.ProbeResult{Number: probe.Number, Started: p.now()}
	if instance.connection == nil || !instance.connection.IsUsable() {
		instance.connection = nil
		connection, err := p.dial(probe)
		if err != nil {
			result.Answer = err.answer
			return result
		}
		instance.connection = connection
	}
	result.Started = p.now()
	status, err := p.question(instance.connection, probe)
	if err != nil {
		result.Answer = err.answer
		if !err.sound {
			instance.connection.Close()
			instance.connection = nil
		}
		return result
	}
	result.Status = status
	return result
}

func (p *prober) dial(probe failover.Probe) (*wire.Conn, *probeFailure) {
	ctx, cancel := context.WithTimeout(p.ctx, p.waits.dial)
	defer cancel()
	connection, err := wire.Dial(ctx, probe.Address, probe.Service, p.who, probe.InstanceID)
	if err != nil {
		return nil, failureOf(ctx, err)
	}
	return connection, nil
}

func (p *prober) question(connection *wire.Conn, probe failover.Probe) (failover.Status, *probeFailure) {
	ctx, cancel := context.WithTimeout(p.ctx, p.waits.answer)
	defer cancel()
	status, err := questionOf(probe)(connection, ctx)
	if err != nil {
		return failover.Status{}, failureOf(ctx, err)
	}
	return status, nil
}

// questionOf returns the call that asks what the probe asks.
func questionOf(probe failover.Probe) func(*wire.Conn, context.Context) (failover.Status, error) {
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

// close waits for what is under way, which ends with the context, and closes the kept connections.
func (p *prober) close() {
	p.running.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for target, instance := range p.targets {
		instance.stopRest()
		if instance.connection != nil {
			instance.connection.Close()
		}
		delete(p.targets, target)
	}
}
