package systemtest

import (
	"testing"
	"time"

	"eiderway/testinstance"
)

// drainWatch is how long a departing instance is watched: past the drain time, until the instance has ended.
const drainWatch = drainTime + 2*time.Second

// TestLastInstanceDrains crashes both replicas for good and then drains the primary, which has no successor. Even so, no
// statement may be begun there once the drain time is over.
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

// TestDepartedInstancesNeverLead has both replicas leave without draining. They go on serving and reporting ready, and some
// of their calls arrive late; then the primary drains. A replica that left must never become primary, however long it goes on.
func TestDepartedInstancesNeverLead(t *testing.T) {
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

// replicasLeave has all instances but the primary leave.
func (w *world) replicasLeave() {
	w.Helper()
	for _, one := range w.instances {
		if one != w.service.Leader() {
			one.Leave()
		}
	}
	w.awaitDepartures(instanceCount - 1)
}

// awaitDepartures waits until the drain or leave of the given count of instances is acknowledged.
func (w *world) awaitDepartures(count int) {
	w.Helper()
	w.await("drains and leaves are acknowledged", func() bool { return len(w.service.Journal().Departures) == count })
}
