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

// Pauses between attempts to open the store again after the disk refused a write. The disk of a small machine refuses
// for seconds at a time; a second is the longest that is added to that.
const (
	reopenPauseFirst = 100 * time.Millisecond
	reopenPauseMost  = time.Second
)

// diskStore is what the writer needs of the store.
type diskStore interface {
	Apply(writes []replication.Write) error
	Reopen() (replication.DurableState, error)
}

// errOtherDisk ends the process: it must not speak for an incarnation whose promises are gone.
var errOtherDisk = eris.New("host: the disk holds another incarnation than before")

// diskWriter carries writes out in order, all that wait in one transaction, and tells the controller how they ended.
type diskWriter struct {
	store    diskStore
	self     quorum.Incarnation
	inbox    *mailbox
	log      logrus.FieldLogger
	counters *counters
	lost     context.CancelCauseFunc // ends the process
	wake     chan struct{}           // holds one token while there is something to look at
	stopping chan struct{}
	ended    chan struct{}
	pause    time.Duration // before the store is opened again; 0: the last write succeeded. The writer's own

	mutex   sync.Mutex
	queue   []replication.Write
	refused bool // a write failed, and the controller has not been told yet
	busy    bool // a transaction is under way
	foreign bool // the disk holds another incarnation now
}

func newDiskWriter(store diskStore, self quorum.Incarnation, inbox *mailbox, log logrus.FieldLogger, counters *counters, lost context.CancelCauseFunc) *diskWriter {
	return &diskWriter{
		store:    store,
		self:     self,
		lost:     lost,
		inbox:    inbox,
		log:      log,
		counters: counters,
		wake:     make(chan struct{}, 1),
		stopping: make(chan struct{}),
		ended:    make(chan struct{}),
	}
}

// enqueue hands writes out. It does not wait.
func (d *diskWriter) enqueue(writes []replication.Write) {
	if len(writes) == 0 {
		return
	}
	d.mutex.Lock()
	d.queue = append(d.queue, writes...)
	d.mutex.Unlock()
	d.signal()
}

// failureTaken is called by the loop when it hands DiskFailed to the controller: all writes that were handed out until
// now count as refused, and those that follow are carried out again.
func (d *diskWriter) failureTaken() {
	d.mutex.Lock()
	d.queue = nil
	d.refused = false
	d.mutex.Unlock()
	d.signal()
}

// idle tells whether no write waits or is under way.
func (d *diskWriter) idle() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.queue) == 0 && !d.busy && !d.refused
}

// stop lets the writer finish what waits and end.
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

// next takes all that may be written now.
func (d *diskWriter) next() []replication.Write {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.refused || d.foreign {
		return nil
	}
	writes := d.queue
	d.queue = nil
	d.busy = len(writes) > 0
	return writes
}

func (d *diskWriter) write(writes []replication.Write) {
	err := d.store.Apply(writes)
	d.noteState(err)
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

// noteState logs when the disk begins to refuse writes and when it takes them again, not each failure in between.
func (d *diskWriter) noteState(err error) {
	wasFailing := d.pause > 0
	switch {
	case err == nil && wasFailing:
		d.pause = 0
		d.log.Info("disk: writes succeed again")
	case err != nil && !wasFailing:
		d.pause = reopenPauseFirst
		d.log.WithError(err).Warn("disk: a write failed; nothing is acknowledged until one succeeds")
	}
}

func (d *diskWriter) finish(refused bool) {
	d.mutex.Lock()
	d.busy = false
	d.refused = refused
	d.mutex.Unlock()
}

// reopen tries until the store is open or the writer is to stop. The pauses grow until a write succeeds.
func (d *diskWriter) reopen() {
	for d.sleep(d.pause) {
		d.pause = min(2*d.pause, reopenPauseMost)
		durable, err := d.store.Reopen()
		if err != nil {
			continue
		}
		if durable.Incarnation != d.self {
			d.giveUp()
		}
		return
	}
}

// giveUp ends the process. Until then nothing is written to the disk of another incarnation.
func (d *diskWriter) giveUp() {
	d.mutex.Lock()
	d.foreign = true
	d.mutex.Unlock()
	d.lost(errOtherDisk)
}

// sleep waits, and tells whether it was not disturbed by the end of the writer.
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
