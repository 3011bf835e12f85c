//go:build linux

package store

import (
	"fmt"
	"os"
	"reflect"
	"strconv"
	"testing"

	"eiderway/control/quorum"
	"eiderway/control/replication"
)

const (
	runFolder = "EIDERWAY_STORE_TEST_FOLDER" // folder of the recorded child process
	runSteps  = "EIDERWAY_STORE_TEST_STEPS"  // number of steps of the script that it runs

	newIncarnation = quorum.Incarnation("another") // of stores that are opened after a power loss
	mixesPerPoint  = 12
)

func TestMain(m *testing.M) {
	if os.Getenv(runFolder) != "" {
		recordedRun()
		return
	}
	os.Exit(m.Run())
}

func openAs(incarnation quorum.Incarnation, directory string) (*Store, replication.DurableState, error) {
	return Open(directory, Options{
		FirstStart:     true,
		NewIncarnation: func() quorum.Incarnation { return incarnation },
		Log:            silent(),
	})
}

// recordedRun is the main function of the child process. It opens the folder, continues the script from the step that the state is
// at, and marks each step that is durable. In the middle it reopens the store, as after an error.
func recordedRun() {
	store, found, err := openAs(runIncarnation, os.Getenv(runFolder))
	must(err)
	marks := os.NewFile(markFile, "marks")
	mark := func(step int) {
		_, err := marks.Write([]byte(strconv.Itoa(step)))
		must(err)
	}
	step := stepOf(found, scriptStates(freshState()))
	mark(step)
	last, err := strconv.Atoi(os.Getenv(runSteps))
	must(err)
	for ; step < last; step++ {
		must(store.Apply(script()[step]))
		mark(step + 1)
		if step == last/2 {
			store.release()
			_, err := store.Reopen()
			must(err)
			mark(step + 1)
		}
	}
	must(store.Close())
}

func recordScript(t *testing.T, directory string, numbers map[string]int, steps int) []operation {
	t.Helper()
	return record(t, directory, numbers, runFolder+"="+directory, fmt.Sprintf("%s=%d", runSteps, steps))
}

// TestPowerLossAtEachOperation simulates a power loss after each system call of a recorded run. The state must be that of the last
// Apply that had returned, or of the one in progress.
func TestPowerLossAtEachOperation(t *testing.T) {
	directory := t.TempDir()
	recorded := recordScript(t, directory, nil, len(script()))
	disk := newSimulatedDisk()
	crash := crashTest{t: t, states: scriptStates(freshState()), mixes: mixesPerPoint, safe: -1}
	crash.losePower(disk, 0)
	for index, done := range recorded {
		disk.apply(done)
		crash.observe(done)
		crash.losePower(disk, index+1)
	}
	if crash.safe != len(script()) {
		t.Fatalf("the recorded run ended at step %d", crash.safe)
	}
	t.Logf("%d operations, %d power losses", len(recorded), crash.cases)
}

// TestPowerLossAfterKill kills the process at an operation, which loses no data, lets a new process open the folder and continue, and
// then simulates a power loss. The state that Open returned to the new process must have been durable.
func TestPowerLossAfterKill(t *testing.T) {
	first := recordScript(t, t.TempDir(), nil, 6)
	kills, cases := 0, 0
	disk := newSimulatedDisk()
	safe := -1
	for index, done := range first {
		disk.apply(done)
		safe = max(safe, stepMarked(done))
		if done.kind != written || safe > 2 {
			continue
		}
		kills++
		directory := t.TempDir()
		numbers := disk.writeTo(t, directory, disk.outcomes(0, 0)[0])
		second := recordScript(t, directory, numbers, safe+3)
		crash := crashTest{t: t, states: scriptStates(freshState()), mixes: 3, safe: safe}
		again := disk.clone()
		for later, done := range second {
			again.apply(done)
			crash.observe(done)
			crash.losePower(again, index*len(second)+later)
		}
		cases += crash.cases
	}
	if kills < 5 {
		t.Fatalf("only %d kills", kills)
	}
	t.Logf("%d kills, %d power losses", kills, cases)
}

// stepMarked returns the step that an operation marks, or -1.
func stepMarked(done operation) int {
	if done.kind != marked {
		return -1
	}
	step, err := strconv.Atoi(done.text)
	must(err)
	return step
}

// crashTest opens the folders that power losses leave, and checks the states.
type crashTest struct {
	t      *testing.T
	states []replication.DurableState
	mixes  int
	safe   int // last step that was marked as durable; -1: the first Open had not returned
	cases  int
}

// afterLoss holds the writes that are applied after each power loss.
var afterLoss = mutate(put("after", "the power loss"), remove("instance/0007"))

// observe notes the step that the operation marks, which must not go back.
func (c *crashTest) observe(done operation) {
	if done.kind != marked {
		return
	}
	step := stepMarked(done)
	if step < c.safe {
		c.t.Fatalf("the child found step %d after step %d was durable", step, c.safe)
	}
	c.safe = step
}

// losePower checks each outcome of a power loss in the state of the disk.
func (c *crashTest) losePower(disk *simulatedDisk, seed int) {
	c.t.Helper()
	for variant, left := range disk.outcomes(c.mixes, uint64(seed)) {
		directory, err := os.MkdirTemp(c.t.TempDir(), "loss")
		must(err)
		disk.writeTo(c.t, directory, left)
		if problem := c.reopen(directory); problem != "" {
			c.t.Fatalf("operation %d, variant %d: %s", seed, variant, problem)
		}
		must(os.RemoveAll(directory))
		c.cases++
	}
}

// reopen opens the folder, applies one more transaction, and opens the folder again. It returns a description of the problem, or "".
func (c *crashTest) reopen(directory string) string {
	store, found, err := openAs(newIncarnation, directory)
	if err != nil {
		return err.Error()
	}
	expected := stateAfter(found, afterLoss)
	if c.safe < 0 && found.Incarnation == newIncarnation {
		found.Incarnation = runIncarnation // the first incarnation has not sent anything yet
	}
	step := stepOf(found, c.states)
	if step != max(c.safe, 0) && step != c.safe+1 {
		return fmt.Sprintf("step %d was durable, but step %d was read: %s, stamp %s, %d entries", c.safe, step, found.Incarnation, found.Stamp, len(found.Entries))
	}
	must(store.Apply(afterLoss))
	must(store.Close())
	store, again, err := openAs(newIncarnation, directory)
	must(err)
	must(store.Close())
	if !reflect.DeepEqual(again, expected) {
		return "the transaction after the power loss was not read back"
	}
	return ""
}

// TestApplyTakesTwoSyncs counts the syncs and bytes of each Apply in a recorded run. An Apply that doesn't grow the file takes two syncs.
func TestApplyTakesTwoSyncs(t *testing.T) {
	recorded := recordScript(t, t.TempDir(), nil, len(script()))
	step, syncs, bytes, grown := -1, 0, 0, false
	for _, done := range recorded {
		switch done.kind {
		case synced, folderSynced:
			syncs++
		case written:
			bytes += len(done.data)
		case resized:
			grown = true
		case marked:
			next := stepMarked(done)
			t.Logf("step %d: %d syncs, %d bytes, grown: %t", next, syncs, bytes, grown)
			if next > step && step >= 0 && !grown && syncs != 2 {
				t.Errorf("step %d took %d syncs", next, syncs)
			}
			step, syncs, bytes, grown = next, 0, 0, false
		}
	}
}
