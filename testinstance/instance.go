package testinstance

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"eiderway/control/failover"
)

// Instance is a database server. It may crash and be started again with its log.
type Instance struct {
	service *Service
	id      string
	address string
	zone    string
	beatNow chan struct{} // a heartbeat is wanted at once

	// All below belong to the service's lock.
	isRunning   bool
	isFrozen    bool
	left        bool
	draining    bool
	leavesFirst bool // it leaves without having said that it drains
	primary     bool
	term        uint64
	termHeld    uint64
	paused      bool
	log         Log
	busyUntil   time.Time
	metNewAt    time.Time // when an old primary could reach the new one first
	busy        int
	callSeq     uint64
	stop        context.CancelFunc
	listener    net.Listener
	connections map[*connection]struct{}
}

// ID names the instance.
func (i *Instance) ID() string { return i.id }

// Address is where it is called.
func (i *Instance) Address() string { return i.address }

// Status is what a STATUS would be answered with.
func (i *Instance) Status() failover.Status {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	return i.status()
}

// Log is what the instance holds.
func (i *Instance) Log() Log {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	return i.log
}

// Crash ends the instance without a word. Its log stays.
func (i *Instance) Crash() {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	i.service.note("%s crashes", i.id)
	i.end()
}

// Freeze stops the instance where it is, as a stopped process would be, or lets it go on.
func (i *Instance) Freeze(isFrozen bool) {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	i.isFrozen = isFrozen
	i.service.announce()
}

// awaitThaw waits while the instance is frozen, and tells whether it goes on.
func (i *Instance) awaitThaw(ctx context.Context) bool {
	for {
		i.service.mutex.Lock()
		isFrozen := i.isFrozen
		changed := i.service.changed
		i.service.mutex.Unlock()
		if !isFrozen {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// Restart brings a crashed instance back with its log, as a replica if another was promoted meanwhile.
func (i *Instance) Restart() error {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	if i.isRunning || i.left {
		return eris.Errorf("%s can't be started again", i.id)
	}
	i.primary = i.primary && i.service.leader == i
	i.paused = false
	i.isFrozen = false
	i.metNewAt = time.Time{}
	i.service.note("%s is started again", i.id)
	return i.begin()
}

// begin starts to serve. The lock is held.
func (i *Instance) begin() error {
	listener, err := net.Listen("tcp4", i.address)
	if err != nil {
		return eris.Wrapf(err, "instance %s", i.id)
	}
	ctx, stop := context.WithCancel(context.Background())
	i.isRunning = true
	i.stop = stop
	i.listener = listener
	i.busy = 0
	i.connections = map[*connection]struct{}{}
	i.service.running.Go(func() { i.accept(ctx, listener) })
	i.service.running.Go(func() { i.follow(ctx) })
	i.service.running.Go(func() { i.beat(ctx) })
	i.service.announce()
	return nil
}

// end stops serving. The lock is held.
func (i *Instance) end() {
	if !i.isRunning {
		return
	}
	i.isRunning = false
	i.stop()
	_ = i.listener.Close()
	for open := range i.connections {
		open.cut()
	}
	i.service.announce()
}

func (i *Instance) status() failover.Status {
	return failover.Status{
		Primary:     i.primary,
		Term:        i.term,
		Received:    i.log.End(),
		TermHeld:    i.termHeld,
		Busy:        i.busy,
		Connections: len(i.connections),
	}
}

// stepDown turns a primary into a replica. Commits that no replica has received stay without an answer.
func (i *Instance) stepDown(term uint64) {
	i.primary = false
	i.metNewAt = time.Time{}
	i.termHeld = max(i.termHeld, term)
	i.service.note("%s steps down", i.id)
	i.beatSoon()
	i.service.announce()
}

// pause keeps a replica from receiving.
func (i *Instance) pause(term uint64) {
	if i.primary || term <= i.termHeld {
		return
	}
	i.termHeld = term
	i.paused = true
}

// resume ends a pause.
func (i *Instance) resume() {
	i.paused = false
	i.service.announce()
}

func (i *Instance) beatSoon() {
	select {
	case i.beatNow <- struct{}{}:
	default:
	}
}
