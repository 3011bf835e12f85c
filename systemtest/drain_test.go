package systemtest

import (
	"testing"
	"time"

	"eiderway/testinstance"
)

// drainWatch is how long the end of an instance is watched: until it has ended, some time after it was to be left alone.
const drainWatch = drainTime + 2*time.Second

// TestLastInstanceDrains has both replicas crash for good, and then the primary, which is alone, drain, with nobody in its place. No
// statement may be begun there once the drain time is over, though nobody can follow.
func TestLastInstanceDrains(t *testing.T) {
	t.Parallel() // mostly waits
	w := startWorld(t)
	last := w.service.Leader()
	w.await("all instances are known", func() bool { return w.logged("instance joined: ") >= instanceCount })
	for _, one := range w.instances {
		if one != last {
			one.Crash()
		}
	}
	w.await("the replicas are taken for lost", func() bool { return w.logged("instance gone: ") >= instanceCount-1 })
	last.Drain()
	w.awaitDepartures(1)
	if w.logged("instance draining: "+last.ID()+" ") == 0 || w.logged(", leader, 0 others") == 0 {
		t.Error("the primary should have been the last instance of its service")
	}
	time.Sleep(drainWatch)
	w.conclude()
}

// TestInstancesThatLeftStayAway has both replicas leave without having drained. They serve on, say that they are ready, and calls of
// theirs come late; then the primary drains. None of those that left may lead, however long they go on.
func TestInstancesThatLeftStayAway(t *testing.T) {
	t.Parallel() // mostly waits
	w := startWorldWith(t, func(settings *testinstance.Settings) {
		settings.BeatsAfterLeave = true
	})
	w.service.SetFaults(testinstance.Faults{LateShare: 0.5, MaxLateDelay: 4 * time.Second})
	w.replicasLeave()
	w.service.Leader().Drain()
	w.awaitDepartures(instanceCount)
	time.Sleep(drainWatch)
	w.conclude()
}

// replicasLeave has all but the primary leave.
func (w *world) replicasLeave() {
	w.Helper()
	for _, one := range w.instances {
		if one != w.service.Leader() {
			one.Leave()
		}
	}
	w.awaitDepartures(instanceCount - 1)
}

// awaitDepartures waits until so many instances have had their drain or leave acknowledged.
func (w *world) awaitDepartures(count int) {
	w.Helper()
	w.await("drains and leaves are acknowledged", func() bool { return len(w.service.Journal().Departures) == count })
}
