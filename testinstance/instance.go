package testinstance

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"eiderway/control/failover"
)

// Instance is a database server. It may crash and be restarted with its log.
type Instance struct {
	service      *Service
	id           string
	address      string
	zone         string
	beatRequests chan struct{} // requests a heartbeat at once

	// The service's lock guards all fields below.
	isRunning          bool
	isFrozen           bool
	left               bool
	draining           bool
	leavesWithoutDrain bool // whether it leaves without having drained
	primary            bool
	term               uint64
	termHeld           uint64
	paused             bool
	log                Log
	busyUntil          time.Time
	newPrimarySeenAt   time.Time // when an old primary could first reach the new one
	busy               int
	callSeq            uint64
	begunAt            time.Time // of this life
	stop               context.CancelFunc
	listener           net.Listener
	connections        map[*connection]struct{}
}

// ID returns the instance's ID.
func (i *Instance) ID() string { return i.id }

// Address returns the address on which the instance listens.
func (i *Instance) Address() string { return i.address }

// Status returns what the instance would answer to STATUS.
func (i *Instance) Status() failover.Status {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	return i.status()
}

// Log returns the instance's log.
func (i *Instance) Log() Log {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	return i.log.clipped()
}

// Crash stops the instance without a report to the controllers. Its log stays.
func (i *Instance) Crash() {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	i.service.note("%s crashes", i.id)
	i.end()
}

// Freeze suspends the instance, as SIGSTOP does a process, or resumes it.
func (i *Instance) Freeze(isFrozen bool) {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	i.isFrozen = isFrozen
	i.service.notifyChange()
}

// awaitThaw waits while the instance is frozen, and returns false if the context ended.
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

// Restart starts a crashed instance with its log; as a replica if another instance was promoted meanwhile.
func (i *Instance) Restart() error {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	if i.isRunning || i.left {
		return eris.Errorf("%s can't be started again", i.id)
	}
	i.primary = i.primary && i.service.leader == i
	i.paused = false
	i.isFrozen = false
	i.newPrimarySeenAt = time.Time{}
	if i.service.settings.Renumber {
		i.callSeq = 0
	}
	i.service.note("%s is started again", i.id)
	return i.begin()
}

// RestartAs starts a crashed instance with its log and under a new ID, as Restart does under its own.
func (i *Instance) RestartAs(id string) (*Instance, error) {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	if i.isRunning || i.left {
		return nil, eris.Errorf("%s can't be started again", i.id)
	}
	next := &Instance{
		service: i.service, id: id, address: i.address, zone: i.zone, beatRequests: make(chan struct{}, 1),
		primary: i.primary && i.service.leader == i, term: i.term, termHeld: i.termHeld, log: i.log.clipped(),
	}
	if err := next.begin(); err != nil {
		return nil, err
	}
	i.left = true
	if i.service.leader == i {
		i.service.leader = next
	}
	i.service.instances = append(i.service.instances, next)
	i.service.note("%s is started again as %s", i.id, id)
	return next, nil
}

// begin starts serving. The lock is held.
func (i *Instance) begin() error {
	listener, err := net.Listen("tcp4", i.address)
	if err != nil {
		return eris.Wrapf(err, "instance %s", i.id)
	}
	ctx, stop := context.WithCancel(context.Background())
	i.isRunning = true
	i.begunAt = time.Now()
	i.stop = stop
	i.listener = listener
	i.busy = 0
	i.connections = map[*connection]struct{}{}
	i.service.running.Go(func() { i.accept(ctx, listener) })
	i.service.running.Go(func() { i.replicate(ctx) })
	i.service.running.Go(func() { i.beat(ctx) })
	i.service.notifyChange()
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
	i.service.notifyChange()
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

// stepDown turns a primary into a replica. Commits that no replica has received are never answered.
func (i *Instance) stepDown(term uint64) {
	i.primary = false
	i.newPrimarySeenAt = time.Time{}
	i.termHeld = max(i.termHeld, term)
	i.service.note("%s steps down", i.id)
	i.requestBeat()
	i.service.notifyChange()
}

// pause stops the replication to this replica until resume, or until a primary of a later term appears. A pause whose term
// isn't later than the one held is ignored.
func (i *Instance) pause(term uint64) {
	if i.primary || term <= i.termHeld {
		return
	}
	i.termHeld = term
	i.paused = true
}

// resume continues a paused replication.
func (i *Instance) resume() {
	i.paused = false
	i.service.notifyChange()
}

func (i *Instance) requestBeat() {
	select {
	case i.beatRequests <- struct{}{}:
	default:
	}
}
