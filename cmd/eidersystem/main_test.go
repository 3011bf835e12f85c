package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"eiderway/control/store"
	"eiderway/system"
	"eiderway/testing/loopback"
)

// waitTimeout bounds each wait for a condition; no test waits this long unless it fails.
const waitTimeout = 20 * time.Second

func writeSettings(t *testing.T, contents string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(contents), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(system.PathVariable, path)
	return path
}

func freeAddress(t *testing.T) string {
	t.Helper()
	return loopback.ReserveForTest(t).Address()
}

func freePort(t *testing.T) string {
	t.Helper()
	return strconv.Itoa(loopback.ReserveForTest(t).Number)
}

func TestExitCodes(t *testing.T) {
	is := is.New(t)
	is.Equal(exitCode(nil), exitOK)
	is.Equal(exitCode(eris.New("address in use")), exitFailure)
	is.Equal(exitCode(eris.Wrap(system.ErrInvariant, "two primaries")), exitInvariant)

	validSettings := `{"routerName": "g", "serves": ["edge"], "ipAddress": "127.0.0.1", "zone": "z", "internalPortRange": [1, 2],
		"listenAddrs": {"front": "127.0.0.1:1", "readiness": "127.0.0.1:2"}}`
	path := writeSettings(t, validSettings)
	is.Equal(execute(t.Context(), []string{"check"}), exitOK) // the file that the environment variable names
	is.Equal(execute(t.Context(), []string{"check", path}), exitOK)
	is.Equal(execute(t.Context(), []string{"check", path, path}), exitFailure)
	is.Equal(execute(t.Context(), []string{"version"}), exitOK)
	for _, wrong := range [][]string{{}, {"serve"}, {"run", "here"}, {"state"}, {"state", "check"}, {"state", "check", path + ".none"}} {
		is.Equal(execute(t.Context(), wrong), exitFailure)
	}
	writeSettings(t, `{"serves": ["edge"]}`)
	is.Equal(execute(t.Context(), []string{"run"}), exitFailure)
}

func TestProcessHasExactlyOneRole(t *testing.T) {
	is := is.New(t)
	_, err := roleOf(system.Settings{Serves: []string{system.ServesEdge, system.ServesControlPlane}})
	is.True(err != nil)
	_, err = roleOf(system.Settings{})
	is.True(err != nil)
	role, err := roleOf(system.Settings{Serves: []string{"others", system.ServesControlPlane}})
	is.NoErr(err)
	is.Equal(role, controllerRole)
}

// TestControllerRunsUntilTerminated starts a single controller on an empty disk, has it take a configuration, ends it with
// SIGTERM, and checks the state file that it leaves.
func TestControllerRunsUntilTerminated(t *testing.T) {
	is := is.New(t)
	control, data := freeAddress(t), t.TempDir()
	writeSettings(t, fmt.Sprintf(`{"routerName": "c", "serves": ["control_plane"], "ipAddress": "127.0.0.1", "zone": "z",
		"internalPortRange": [%s, 65535], "listenAddrs": {"control": %q}, "seedPeers": [%q], "firstStart": true,
		"dataDir": %q}`, freePort(t), control, control, data))
	exited := make(chan int, 1)
	admin := filepath.Join(t.TempDir(), "admin")
	go func() { exited <- execute(t.Context(), []string{"run", "--admin", admin}) }()

	waitFor(t, "an acknowledgement", exited, func() bool {
		return statusOfConfiguration("http://"+control+"/config/replace") == http.StatusOK
	})
	is.Equal(statusOf("http://"+control+"/config/fetch"), http.StatusOK)
	checkRefusedGiveUps(t, admin)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	is.Equal(awaitExit(t, exited), exitOK)

	state := filepath.Join(data, store.FileName)
	is.Equal(execute(t.Context(), []string{"state", "check", state}), exitOK)
	is.Equal(execute(t.Context(), []string{"state", "dump", state}), exitOK)
	is.NoErr(os.Truncate(state, 100))
	is.Equal(execute(t.Context(), []string{"state", "check", state}), exitInvariant)
}

// checkRefusedGiveUps sends requests to give up a service that a running controller must refuse, and checks the reasons.
func checkRefusedGiveUps(t *testing.T, admin string) {
	t.Helper()
	for _, refused := range []struct{ typed, by, reason string }{
		{"other\n", "ann", "another one"},
		{"", "ann", "not typed again"},
		{"orders\n", "", "who asks"},
		{"orders\n", "ann", "no service orders"},
	} {
		err := giveUp(t.Context(), admin, "orders", refused.by, strings.NewReader(refused.typed), io.Discard)
		if err == nil || !strings.Contains(err.Error(), refused.reason) {
			t.Errorf("typed %q by %q: error %v lacks %q", refused.typed, refused.by, err, refused.reason)
		}
	}
	info, err := os.Stat(admin)
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the socket file: %v, %v", info, err)
	}
}

// TestGatewayRunsUntilTerminated starts a gateway whose seed controller doesn't run: the gateway is up, but not ready.
func TestGatewayRunsUntilTerminated(t *testing.T) {
	is := is.New(t)
	readiness := freeAddress(t)
	writeSettings(t, fmt.Sprintf(`{"routerName": "g", "serves": ["edge"], "ipAddress": "127.0.0.1", "zone": "z",
		"internalPortRange": [%s, 65535], "listenAddrs": {"front": %q, "readiness": %q}, "seedPeers": [%q]}`,
		freePort(t), freeAddress(t), readiness, freeAddress(t)))
	exited := make(chan int, 1)
	go func() { exited <- execute(t.Context(), []string{"run"}) }()

	waitFor(t, "an answer", exited, func() bool { return statusOf("http://"+readiness+"/readiness") == http.StatusServiceUnavailable })
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	is.Equal(awaitExit(t, exited), exitOK)
}

func newCaller() *http.Client {
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
}

func statusOf(url string) int { return status(newCaller().Get(url)) }

func statusOfConfiguration(url string) int {
	const configuration = `{"configRevision": 3, "routeTable": [], "serviceTable": [], "limits": {}}`
	return status(newCaller().Post(url, "application/json", strings.NewReader(configuration)))
}

func status(answer *http.Response, err error) int {
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// waitFor waits until the condition holds, and fails if the process exits before, or if the time runs out.
func waitFor(t *testing.T, what string, exited <-chan int, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		select {
		case code := <-exited:
			t.Fatalf("exited with %d while waiting for %s", code, what)
		default:
		}
		if time.Now().After(deadline) {
			t.Fatalf("waited too long for %s", what)
		}
	}
}

func awaitExit(t *testing.T, exited <-chan int) int {
	t.Helper()
	select {
	case code := <-exited:
		return code
	case <-time.After(waitTimeout):
		t.Fatal("did not end")
		return 0
	}
}
