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

// writesOnRequest hands a write and a message that speaks of it out for each fetch, numbered one by one.
func writesOnRequest() func(controller.Input) controller.Effects {
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

// stallDisk makes each transaction that begins from now on wait for the release.
func (r *rig) stallDisk(t *testing.T) (release func()) {
	stall := make(chan struct{})
	r.store.set(func(m *memoryStore) { m.stall = stall })
	release = sync.OnceFunc(func() { close(stall) })
	t.Cleanup(release)
	return release
}

func (r *rig) makeWrite() { r.loop.inbox.post(controller.FetchConfiguration{}) }

// nextHeld returns the number of the write of the next message that was held back for one.
func (r *rig) nextHeld(t *testing.T) uint64 {
	t.Helper()
	for {
		if envelope := receive(t, r.sent); envelope.To == "peer" {
			return envelope.After
		}
	}
}

func TestMessageLeavesOnceItsWriteIsSafe(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{answer: writesOnRequest()})
	release := r.stallDisk(t)
	r.makeWrite()
	receive(t, r.store.applying)
	is.Equal(receive(t, r.sent).To, "unheld")

	// While the disk stalls, the controller goes on.
	r.makeWrite()
	r.makeWrite()
	is.Equal(receive(t, r.sent).To, "unheld")
	is.Equal(receive(t, r.sent).To, "unheld")
	receive(t, r.controller.ticks)
	receive(t, r.controller.ticks)
	is.Equal(len(r.sent), 0)

	release()
	is.Equal(r.nextHeld(t), uint64(1))
	is.Equal(r.nextHeld(t), uint64(2))
	is.Equal(r.nextHeld(t), uint64(3))
	is.Equal(wait[controller.Persisted](t, r.controller).Write, uint64(1))
	is.Equal(wait[controller.Persisted](t, r.controller).Write, uint64(3))
	is.Equal(r.store.numbers(), [][]uint64{{1}, {2, 3}}) // all that waited in one transaction
}

func TestRefusedWriteIsToldAndForgotten(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{answer: writesOnRequest()})
	release := r.stallDisk(t)
	r.store.set(func(m *memoryStore) { m.applyError = errDisk })
	r.makeWrite()
	receive(t, r.store.applying)
	r.makeWrite() // handed out before the controller hears of the failure: refused as well
	for range 2 {
		wait[controller.FetchConfiguration](t, r.controller)
	}
	r.store.set(func(m *memoryStore) { m.stall, m.applyError, m.reopenError = nil, nil, errDisk })
	release()
	is.Equal(wait[controller.DiskFailed](t, r.controller).Write, uint64(1))
	r.makeWrite()

	receive(t, r.store.reopened) // the first attempt is refused
	is.Equal(len(r.store.numbers()), 0)
	r.store.set(func(m *memoryStore) { m.reopenError = nil })
	is.Equal(wait[controller.Persisted](t, r.controller).Write, uint64(3))
	is.Equal(r.store.numbers(), [][]uint64{{3}})
	is.Equal(r.nextHeld(t), uint64(3)) // messages of the refused writes never leave
	is.Equal(r.counters.diskFailures.Load(), uint64(1))
}

func TestDiskThatKeepsRefusingIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{answer: writesOnRequest()})
	logger, lines := test.NewNullLogger()
	r.loop.disk.log = logger
	r.store.set(func(m *memoryStore) { m.applyError = errDisk })
	for range 3 { // the store opens again each time, and the next write is refused
		r.makeWrite()
		wait[controller.DiskFailed](t, r.controller)
		receive(t, r.store.reopened)
	}
	r.store.set(func(m *memoryStore) { m.applyError = nil })
	r.makeWrite()
	wait[controller.Persisted](t, r.controller)
	r.stop()
	is.Equal(len(lines.AllEntries()), 2)
	is.Equal(lines.AllEntries()[0].Level, logrus.WarnLevel)
	is.Equal(lines.AllEntries()[1].Level, logrus.InfoLevel)
}

func TestAnotherIncarnationOnTheDiskEndsTheProcess(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{answer: writesOnRequest()})
	r.store.set(func(m *memoryStore) { m.applyError, m.found = errDisk, "another" })
	r.makeWrite()
	is.Equal(receive(t, r.lost), errOtherDisk)
	wait[controller.DiskFailed](t, r.controller)
	r.store.set(func(m *memoryStore) { m.applyError = nil })
	r.makeWrite()
	wait[controller.FetchConfiguration](t, r.controller)
	r.stop()
	is.Equal(len(r.store.numbers()), 0) // nothing is written there
}

func TestStoppingWriterFinishesWhatWaits(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{answer: writesOnRequest()})
	release := r.stallDisk(t)
	r.makeWrite()
	receive(t, r.store.applying)
	r.makeWrite()
	for range 2 {
		wait[controller.FetchConfiguration](t, r.controller)
	}
	r.store.set(func(m *memoryStore) { m.stall = nil })
	release()
	r.stop()
	is.Equal(r.store.numbers(), [][]uint64{{1}, {2}})
}
