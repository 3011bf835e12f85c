package review

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

const controlSite = "../given/kit/more/system/control/leiedal-registry-control.toml"

// runSecondCase runs a command at the root of the repository, only if REVIEW2_CASES is set, and fails the test if the command fails.
func runSecondCase(t *testing.T, name string, arguments ...string) {
	t.Helper()
	if os.Getenv("REVIEW2_CASES") == "" {
		t.Skip("set REVIEW2_CASES, after the build of the deploy file and review/build-2.sh, to run this case")
	}
	command := exec.Command(name, arguments...)
	command.Dir = ".."
	output, err := command.CombinedOutput()
	if err != nil {
		t.Errorf("%v\n%s", err, output[max(0, len(output)-4000):])
	}
}

// playDay plays a day of a case on a seed, with the bench in ../given, and fails the test if a rule is broken.
func playDay(t *testing.T, day, seed string) {
	t.Helper()
	report := filepath.Join(t.TempDir(), "report.json")
	runSecondCase(t, "../given/kit/more/system/bin/fleetbench", "run", controlSite, day, "--seed", seed, "--report", report)
	checkReport(t, report)
}

// checkReport fails the test if the report of a day names a broken rule.
func checkReport(t *testing.T, path string) {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var report struct {
		Breaks map[string]int `json:"breaks"`
	}
	if err := json.Unmarshal(content, &report); err != nil {
		t.Fatal(err)
	}
	if len(report.Breaks) > 0 {
		t.Errorf("broken rules: %v", report.Breaks)
	}
}

// Rule LOST: acknowledged commits are missing from the log of the promoted server.
func TestResetProbesAreNoProofOfDeath(t *testing.T) {
	playDay(t, "review/4/day.toml", "1")
}

// Rule RECOVER: a service whose primary was restarted at once is never served again.
func TestServiceIsServedAfterQuickRestartsOfItsPrimary(t *testing.T) {
	playDay(t, "review/5/day.toml", "1")
}

// The same with processes and a single restart.
func TestServiceIsServedAfterOneQuickRestartOfItsPrimary(t *testing.T) {
	runSecondCase(t, "sh", "review/5/run.sh")
}

// Rule DRAIN: an open transaction has the first half of graceS in which to end.
func TestOpenTransactionMayCommitInTheFirstHalfOfGrace(t *testing.T) {
	runSecondCase(t, "sh", "review/6/run.sh")
}
