package systemtest

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strings"

	"eiderway/control/invariant"
	"eiderway/systemtest/workload"
)

// view is a committed view of the controllers' replication, as a controller's log describes it.
type view struct{ epoch, revision, voters, copies int }

func (v view) before(other view) bool {
	if v.epoch != other.epoch {
		return v.epoch < other.epoch
	}
	return v.revision < other.revision
}

// viewMark precedes a committed view in a controller's log.
const viewMark = "view committed: "

// newestView returns the newest view in the logs of all controllers.
func (w *world) newestView() view {
	var newest view
	for _, one := range w.controllers {
		file, err := os.Open(one.logPath)
		if err != nil {
			continue
		}
		for lines := bufio.NewScanner(file); lines.Scan(); {
			if read, found := readView(lines.Text()); found && newest.before(read) {
				newest = read
			}
		}
		_ = file.Close()
	}
	return newest
}

func readView(line string) (read view, found bool) {
	_, text, found := strings.Cut(line, viewMark)
	if !found {
		return view{}, false
	}
	count, _ := fmt.Sscanf(text, "%d.%d: %d voters, %d copies", &read.epoch, &read.revision, &read.voters, &read.copies)
	return read, count == 4
}

// awaitMembers waits until all controllers are voters and hold the control state, so that any one may be lost. Orders must
// have been acknowledged since the last loss, so that the newest view reflects it.
func (w *world) awaitMembers() {
	w.Helper()
	w.await("all controllers are members", func() bool {
		newest := w.newestView()
		return newest.voters == workload.ControllerCount && newest.copies == workload.ControllerCount
	})
}

// brokenInvariants returns the log lines in which a process reports a broken invariant.
func (w *world) brokenInvariants() []string { return w.linesWith(invariant.Broken) }

// logged counts the log lines of all processes that contain a text.
func (w *world) logged(text string) int { return len(w.linesWith(text)) }

// linesWith returns the log lines of all processes that contain a text, with the names of the processes.
func (w *world) linesWith(text string) []string {
	var found []string
	for _, one := range append(slices.Clone(w.controllers), w.gateways...) {
		contents, _ := os.ReadFile(one.logPath)
		for line := range strings.Lines(string(contents)) {
			if strings.Contains(line, text) {
				found = append(found, one.name+": "+strings.TrimSpace(line))
			}
		}
	}
	return found
}
