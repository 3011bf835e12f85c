package replication

import (
	"fmt"
	"testing"
	"time"
)

// TestEveryPairOfFaultsLosesNoAcknowledgedChange injects all pairs of faults, with different pauses between them, on all pairs
// of the initial primary, the first backup and the last, in small worlds.
func TestEveryPairOfFaultsLosesNoAcknowledgedChange(t *testing.T) {
	pauses := []time.Duration{0, 30 * time.Millisecond, 1050 * time.Millisecond, 1250 * time.Millisecond}
	for _, shape := range []shape{{3, 3, 1}, {5, 3, 2}} {
		for first := range faults() {
			t.Run(fmt.Sprintf("%d nodes, %s", shape.count, faults()[first].name), func(t *testing.T) {
				t.Parallel()
				for second := range faults() {
					for _, pause := range pauses {
						checkFaultPair(t, shape, first, second, pause)
					}
				}
			})
		}
	}
}

// checkFaultPair injects the first fault on each of three machines, and the second on each of them.
func checkFaultPair(t *testing.T, shape shape, first, second int, pause time.Duration) {
	victims := []int{0, 1, shape.count - 1}
	for _, firstIndex := range victims {
		for _, secondIndex := range victims {
			w := newWorld(int64(1000*first+second), shape.count, shape.seeds, shape.tolerance, disabledGuards{})
			w.run(1500 * time.Millisecond)
			losses := shape.tolerance
			injectFault(w, faults()[first], firstIndex, &losses)
			w.run(pause)
			injectFault(w, faults()[second], secondIndex, &losses)
			w.run(900 * time.Millisecond)
			w.settle(5 * time.Second)
			if w.checker.violation != "" {
				t.Errorf("%s on %d, after %s %s on %d: %s", faults()[first].name, firstIndex, pause, faults()[second].name, secondIndex,
					w.checker.violation)
			}
		}
	}
}

func injectFault(w *world, fault fault, index int, losses *int) {
	if fault.losesDisk {
		if *losses == 0 {
			return
		}
		*losses--
	}
	fault.inject(w, w.machines[index])
}

// TestPowerLossAtEveryWriteLosesNoAcknowledgedChange cuts the power of one machine at each of its writes, from the founding
// on: before the write is on disk, or after it is on disk but before the process learns of it.
func TestPowerLossAtEveryWriteLosesNoAcknowledgedChange(t *testing.T) {
	const writes = 60
	for victim := 0; victim < 3; victim++ {
		for _, synced := range []bool{false, true} {
			t.Run(fmt.Sprintf("machine %d, synced %v", victim, synced), func(t *testing.T) {
				t.Parallel()
				for write := 1; write <= writes; write++ {
					if violation := losePowerAt(victim, uint64(write), synced); violation != "" {
						t.Errorf("write %d: %s", write, violation)
					}
				}
			})
		}
	}
}

func losePowerAt(victim int, write uint64, synced bool) string {
	w := newWorld(int64(write), 4, 3, 1, disabledGuards{}) // the fourth joins, and one leaves
	machine := w.machines[victim]
	w.schedule(2*time.Second, func() { w.leave(w.machines[(victim+1)%3], true) })
	machine.disk.powerLossWrite = write
	machine.disk.powerLossAfterSync = synced
	machine.disk.onPowerLoss = func() {
		w.powerLoss(machine)
		w.schedule(300*time.Millisecond, func() { w.start(machine) })
	}
	w.run(4 * time.Second)
	w.settle(5 * time.Second)
	return w.checker.violation
}
