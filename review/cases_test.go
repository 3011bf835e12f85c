// Package review runs the cases of the review, only if REVIEW_CASES is set: each of them fails as long as its fault is there.
package review

import (
	"os"
	"os/exec"
	"testing"
)

// runCase runs a command at the root of the repository and fails the test if the command fails.
func runCase(t *testing.T, environment, name string, arguments ...string) {
	t.Helper()
	if os.Getenv("REVIEW_CASES") == "" {
		t.Skip("set REVIEW_CASES, after the build of the deploy file and review/build.sh, to run this case")
	}
	command := exec.Command(name, arguments...)
	command.Dir = ".."
	command.Env = append(os.Environ(), environment)
	output, err := command.CombinedOutput()
	if err != nil {
		t.Errorf("%v\n%s", err, output[max(0, len(output)-4000):])
	}
}

// Rule LOST: an acknowledged commit is missing from the log of the promoted server.
func TestReplacedReplicaTakesItsLogAlong(t *testing.T) {
	runCase(t, "TROUBLE=1", "sh", "review/1/run.sh")
}

// Rule LOST: a request that was passed on is not answered, though its gateway is stopped in order.
func TestTerminatedGatewayAnswersLateFirstStatement(t *testing.T) {
	runCase(t, "TROUBLE=1", "sh", "review/2/run.sh")
}

// Rule DRAIN: a request reaches a server more than drainMs after its leave was acknowledged.
func TestLateHeartbeatsDoNotTakeBackALeave(t *testing.T) {
	runCase(t, "TROUBLE=1", "sh", "review/3/run.sh")
}

// Rule ONE, in the world of the failover's own search only: seed 6159 of TestSearch, which plays 400 seeds by default.
func TestFailoverSearchOfMoreSeeds(t *testing.T) {
	runCase(t, "FAILOVER_SEEDS=6200", "go", "test", "./control/failover", "-run", "TestSearch$", "-count=1", "-timeout", "20m")
}
