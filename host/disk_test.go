package host

import (
	"errors"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"eiderway/control/controller"
	"eiderway/control/replication"
)

var errDisk = errors.New("input/output error")

// writeOnEachFetch returns a controller function that answers each fetch with a write, a message that depends on the write, and one that
// doesn't. The writes are numbered from 1.
func writeOnEachFetch() func(controller.Input) controller.Effects {
	last := uint64(0)
	return func(input controller.Input) controller.Effects {
		if _, isFetch := input.(controller.FetchConfiguration); !isFetch {
			return controller.Effects{}
		}
		last++
		return controller.Effects{
			Writes: []replication.Write{{Number: last}},
			Send:   []replication.Envelope{{To: "unheld"}, {To: "peer", After: last}},
		}
	}
}

// stallDisk makes each transaction that begins from now on wait for release.
func (r *rig) stallDisk(t *testing.T) (release func()) {
	stall := make(chan struct{})
	r.store.set(func(m *fakeStore) { m.stall = stall })
	release = sync.OnceFunc(func() { close(stall) })
	t.Cleanup(release)
	return release
}

func (r *rig) requestWrite() { r.loop.inbox.post(controller.FetchConfiguration{}) }

// nextHeldWrite returns the number of the write on which the next held message depends.
func (r *rig) nextHeldWrite(t *testing.T) uint64 {
	t.Helper()
	for {
		if envelope := receive(t, r.sent); envelope.To == "peer" {
			return envelope.After
		}
	}
}

func TestMessageIsSentAfterItsWriteIsSynced(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{answer: writeOnEachFetch()})
	release := r.stallDisk(t)
	r.requestWrite()
	receive(t, r.store.applying)
	is.Equal(receive(t, r.sent).To, "unheld")

	// The controller goes on while the disk stalls.
	r.requestWrite()
	r.requestWrite()
	is.Equal(receive(t, r.sent).To, "unheld")
	is.Equal(receive(t, r.sent).To, "unheld")
	receive(t, r.controller.ticks)
	receive(t, r.controller.ticks)
	is.Equal(len(r.sent), 0)

	release()
	is.Equal(r.nextHeldWrite(t), uint64(1))
	is.Equal(r.nextHeldWrite(t), uint64(2))
	is.Equal(r.nextHeldWrite(t), uint64(3))
	is.Equal(waitForInput[controller.Persisted](t, r.controller).Write, uint64(1))
	is.Equal(waitForInput[controller.Persisted](t, r.controller).Write, uint64(3))
	is.Equal(r.store.numbers(), [][]uint64{{1}, {2, 3}}) // all queued writes in one transaction
}

func TestFailedWriteIsReportedAndDropped(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{answer: writeOnEachFetch()})
	release := r.stallDisk(t)
	r.store.set(func(m *fakeStore) { m.applyError = errDisk })
	r.requestWrite()
	receive(t, r.store.applying)
	r.requestWrite() // issued before the controller hears of the failure: dropped as well
	for range 2 {
		waitForInput[controller.FetchConfiguration](t, r.controller)
	}
	r.store.set(func(m *fakeStore) { m.stall, m.applyError, m.reopenError = nil, nil, errDisk })
	release()
	is.Equal(waitForInput[controller.DiskFailed](t, r.controller).Write, uint64(1))
	r.requestWrite()

	receive(t, r.store.reopened) // the first attempt fails
	is.Equal(len(r.store.numbers()), 0)
	r.store.set(func(m *fakeStore) { m.reopenError = nil })
	is.Equal(waitForInput[controller.Persisted](t, r.controller).Write, uint64(3))
	is.Equal(r.store.numbers(), [][]uint64{{3}})
	is.Equal(r.nextHeldWrite(t), uint64(3)) // messages that depend on the failed writes are never sent
	is.Equal(r.counters.diskFailures.Load(), uint64(1))
}

func TestRepeatedDiskFailureIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{answer: writeOnEachFetch()})
	logger, lines := test.NewNullLogger()
	r.loop.disk.log = logger
	r.store.set(func(m *fakeStore) { m.applyError = errDisk })
	for range 3 { // the store reopens each time, and the next write fails
		r.requestWrite()
		waitForInput[controller.DiskFailed](t, r.controller)
		receive(t, r.store.reopened)
	}
	r.store.set(func(m *fakeStore) { m.applyError = nil })
	r.requestWrite()
	waitForInput[controller.Persisted](t, r.controller)
	r.stop()
	is.Equal(len(lines.AllEntries()), 2)
	is.Equal(lines.AllEntries()[0].Level, logrus.WarnLevel)
	is.Equal(lines.AllEntries()[1].Level, logrus.InfoLevel)
}

func TestForeignIncarnationOnDiskEndsProcess(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{answer: writeOnEachFetch()})
	r.store.set(func(m *fakeStore) { m.applyError, m.foundIncarnation = errDisk, "another" })
	r.requestWrite()
	is.Equal(receive(t, r.canceled), errForeignIncarnation)
	waitForInput[controller.DiskFailed](t, r.controller)
	r.store.set(func(m *fakeStore) { m.applyError = nil })
	r.requestWrite()
	waitForInput[controller.FetchConfiguration](t, r.controller)
	r.stop()
	is.Equal(len(r.store.numbers()), 0) // nothing is written to the foreign disk
}

func TestStoppingWriterFlushesQueue(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{answer: writeOnEachFetch()})
	release := r.stallDisk(t)
	r.requestWrite()
	receive(t, r.store.applying)
	r.requestWrite()
	for range 2 {
		waitForInput[controller.FetchConfiguration](t, r.controller)
	}
	r.store.set(func(m *fakeStore) { m.stall = nil })
	release()
	r.stop()
	is.Equal(r.store.numbers(), [][]uint64{{1}, {2}})
}
