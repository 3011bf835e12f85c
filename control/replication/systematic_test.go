package replication

import (
	"fmt"
	"testing"
	"time"
)

// TestEveryPairOfTroublesKeepsItsWord plays all pairs of troubles at all choices of two machines and of the pause
// between them, in the smallest worlds: on the primary, the first backup and the last.
func TestEveryPairOfTroublesKeepsItsWord(t *testing.T) {
	pauses := []time.Duration{0, 30 * time.Millisecond, 1050 * time.Millisecond, 1250 * time.Millisecond}
	for _, form := range []shape{{3, 3, 1}, {5, 3, 2}} {
		for first := range troubles() {
			t.Run(fmt.Sprintf("%d nodes, %s", form.count, troubles()[first].name), func(t *testing.T) {
				t.Parallel()
				for second := range troubles() {
					for _, pause := range pauses {
						playPairs(t, form, first, second, pause)
					}
				}
			})
		}
	}
}

// playPairs hits each of three machines with the one trouble and each with the other.
func playPairs(t *testing.T, form shape, first, second int, pause time.Duration) {
	hit := []int{0, 1, form.count - 1}
	for _, one := range hit {
		for _, other := range hit {
			w := newWorld(int64(1000*first+second), form.count, form.seeds, form.tolerance, disabledGuards{})
			w.run(1500 * time.Millisecond)
			losses := form.tolerance
			strike(w, troubles()[first], one, &losses)
			w.run(pause)
			strike(w, troubles()[second], other, &losses)
			w.run(900 * time.Millisecond)
			w.settle(5 * time.Second)
			if w.judge.broken != "" {
				t.Errorf("%s on %d, after %s %s on %d: %s", troubles()[first].name, one, pause, troubles()[second].name, other,
					w.judge.broken)
			}
		}
	}
}

func strike(w *world, what trouble, index int, losses *int) {
	if what.loss {
		if *losses == 0 {
			return
		}
		*losses--
	}
	what.hits(w, w.machines[index])
}

// TestPowerLostAtEveryWrite takes the power of one machine at each of its writes, from the founding on: while the write
// is under way, and when it is on disk but nothing that rests on it has been said.
func TestPowerLostAtEveryWrite(t *testing.T) {
	const writes = 60
	for victim := 0; victim < 3; victim++ {
		for _, synced := range []bool{false, true} {
			t.Run(fmt.Sprintf("machine %d, synced %v", victim, synced), func(t *testing.T) {
				t.Parallel()
				for write := 1; write <= writes; write++ {
					if broken := losePowerAt(victim, uint64(write), synced); broken != "" {
						t.Errorf("write %d: %s", write, broken)
					}
				}
			})
		}
	}
}

func losePowerAt(victim int, write uint64, synced bool) string {
	w := newWorld(int64(write), 4, 3, 1, disabledGuards{}) // the fourth joins, and one leaves
	one := w.machines[victim]
	w.schedule(2*time.Second, func() { w.leave(w.machines[(victim+1)%3], true) })
	one.disk.failPoint = write
	one.disk.failSynced = synced
	one.disk.failed = func() {
		w.powerLoss(one)
		w.schedule(300*time.Millisecond, func() { w.start(one) })
	}
	w.run(4 * time.Second)
	w.settle(5 * time.Second)
	return w.judge.broken
}
