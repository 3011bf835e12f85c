package host

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"eiderway/control/controller"
	"eiderway/control/quorum"
	"eiderway/control/replication"
)

// Pauses between attempts to reopen the store after a failed write. The disk of a small machine fails for seconds at a time; the pauses
// add at most a second to that.
const (
	reopenPauseMin = 100 * time.Millisecond
	reopenPauseMax = time.Second
)

// diskStore is the part of store.Store that diskWriter uses.
type diskStore interface {
	Apply(writes []replication.Write) error
	Reopen() (replication.DurableState, error)
}

// errForeignIncarnation ends the process, which must not act for an incarnation whose promises are no longer on disk.
var errForeignIncarnation = eris.New("host: the disk holds another incarnation than before")

// diskWriter applies writes in order and reports their outcome to the controller. All queued writes go into one transaction.
type diskWriter struct {
	store    diskStore
	self     quorum.Incarnation
	inbox    *mailbox
	log      logrus.FieldLogger
	counters *counters
	cancel   context.CancelCauseFunc // ends the process
	wake     chan struct{}           // holds one token while there may be work
	stopping chan struct{}
	ended    chan struct{}
	pause    time.Duration // before the next attempt to reopen the store; 0: the last write succeeded. Used by the goroutine of run only

	mutex                sync.Mutex
	queue                []replication.Write
	hasUnreportedFailure bool // a write failed, and the controller has not taken the failure yet
	isWriting            bool // a transaction is in progress
	isForeign            bool // the disk holds another incarnation
}

func newDiskWriter(store diskStore, self quorum.Incarnation, inbox *mailbox, log logrus.FieldLogger, counters *counters, cancel context.CancelCauseFunc) *diskWriter {
	return &diskWriter{
		store:    store,
		self:     self,
		cancel:   cancel,
		inbox:    inbox,
		log:      log,
		counters: counters,
		wake:     make(chan struct{}, 1),
		stopping: make(chan struct{}),
		ended:    make(chan struct{}),
	}
}

// enqueue queues writes. It does not block.
func (d *diskWriter) enqueue(writes []replication.Write) {
	if len(writes) == 0 {
		return
	}
	d.mutex.Lock()
	d.queue = append(d.queue, writes...)
	d.mutex.Unlock()
	d.signal()
}

// acknowledgeFailure is called by the loop when it passes DiskFailed to the controller: all writes queued until now count as failed and
// are dropped, and later ones are applied again.
func (d *diskWriter) acknowledgeFailure() {
	d.mutex.Lock()
	d.queue = nil
	d.hasUnreportedFailure = false
	d.mutex.Unlock()
	d.signal()
}

// isIdle reports whether no write is queued or in progress.
func (d *diskWriter) isIdle() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.queue) == 0 && !d.isWriting && !d.hasUnreportedFailure
}

// stop makes run return after it has applied the queued writes.
func (d *diskWriter) stop() { close(d.stopping) }

func (d *diskWriter) run() {
	defer close(d.ended)
	for {
		writes := d.next()
		if len(writes) > 0 {
			d.write(writes)
			continue
		}
		select {
		case <-d.wake:
		case <-d.stopping:
			if writes := d.next(); len(writes) > 0 {
				d.write(writes)
			}
			return
		}
	}
}

// next takes all writes that may be applied now.
func (d *diskWriter) next() []replication.Write {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.hasUnreportedFailure || d.isForeign {
		return nil
	}
	writes := d.queue
	d.queue = nil
	d.isWriting = len(writes) > 0
	return writes
}

func (d *diskWriter) write(writes []replication.Write) {
	err := d.store.Apply(writes)
	d.logTransition(err)
	d.finish(err != nil)
	if err == nil {
		d.counters.diskWrites.Add(1)
		d.inbox.post(controller.Persisted{Write: writes[len(writes)-1].Number})
		return
	}
	d.counters.diskFailures.Add(1)
	d.inbox.post(controller.DiskFailed{Write: writes[0].Number})
	d.reopen()
}

// logTransition logs when writes begin to fail and when they succeed again, not each failure in between.
func (d *diskWriter) logTransition(err error) {
	wasFailing := d.pause > 0
	switch {
	case err == nil && wasFailing:
		d.pause = 0
		d.log.Info("disk: writes succeed again")
	case err != nil && !wasFailing:
		d.pause = reopenPauseMin
		d.log.WithError(err).Warn("disk: a write failed; nothing is acknowledged until one succeeds")
	}
}

func (d *diskWriter) finish(failed bool) {
	d.mutex.Lock()
	d.isWriting = false
	d.hasUnreportedFailure = failed
	d.mutex.Unlock()
}

// reopen retries until the store is open or the writer is stopped. The pauses grow until a write succeeds.
func (d *diskWriter) reopen() {
	for d.sleep(d.pause) {
		d.pause = min(2*d.pause, reopenPauseMax)
		durable, err := d.store.Reopen()
		if err != nil {
			continue
		}
		if durable.Incarnation != d.self {
			d.abortProcess()
		}
		return
	}
}

// abortProcess ends the process. Nothing more is written to the disk, which belongs to another incarnation.
func (d *diskWriter) abortProcess() {
	d.mutex.Lock()
	d.isForeign = true
	d.mutex.Unlock()
	d.cancel(errForeignIncarnation)
}

// sleep pauses, and returns false if the writer was stopped meanwhile.
func (d *diskWriter) sleep(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.stopping:
		return false
	}
}

func (d *diskWriter) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
