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

// patience bounds waits for what must come about; no test waits this long unless it fails.
const patience = 20 * time.Second

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
	is.Equal(exitCode(nil), exitInOrder)
	is.Equal(exitCode(eris.New("address in use")), exitBadUse)
	is.Equal(exitCode(eris.Wrap(system.ErrInvariant, "two primaries")), exitInvariant)

	sound := `{"routerName": "g", "serves": ["edge"], "ipAddress": "127.0.0.1", "zone": "z", "internalPortRange": [1, 2],
		"listenAddrs": {"front": "127.0.0.1:1", "readiness": "127.0.0.1:2"}}`
	path := writeSettings(t, sound)
	is.Equal(execute(t.Context(), []string{"check"}), exitInOrder) // the file of the variable
	is.Equal(execute(t.Context(), []string{"check", path}), exitInOrder)
	is.Equal(execute(t.Context(), []string{"check", path, path}), exitBadUse)
	is.Equal(execute(t.Context(), []string{"version"}), exitInOrder)
	for _, wrong := range [][]string{{}, {"serve"}, {"run", "here"}, {"state"}, {"state", "check"}, {"state", "check", path + ".none"}} {
		is.Equal(execute(t.Context(), wrong), exitBadUse)
	}
	writeSettings(t, `{"serves": ["edge"]}`)
	is.Equal(execute(t.Context(), []string{"run"}), exitBadUse)
}

func TestProcessServesOneKindOfCallers(t *testing.T) {
	is := is.New(t)
	_, err := roleOf(system.Settings{Serves: []string{system.ServesEdge, system.ServesControlPlane}})
	is.True(err != nil)
	_, err = roleOf(system.Settings{})
	is.True(err != nil)
	role, err := roleOf(system.Settings{Serves: []string{"others", system.ServesControlPlane}})
	is.NoErr(err)
	is.Equal(role, controllerRole)
}

// TestControllerRunsUntilTerminated founds a core of one on an empty disk, has it take an order, ends it by SIGTERM, and
// reads what is left.
func TestControllerRunsUntilTerminated(t *testing.T) {
	is := is.New(t)
	control, data := freeAddress(t), t.TempDir()
	writeSettings(t, fmt.Sprintf(`{"routerName": "c", "serves": ["control_plane"], "ipAddress": "127.0.0.1", "zone": "z",
		"internalPortRange": [%s, 65535], "listenAddrs": {"control": %q}, "seedPeers": [%q], "firstStart": true,
		"dataDir": %q}`, freePort(t), control, control, data))
	ended := make(chan int, 1)
	admin := filepath.Join(t.TempDir(), "admin")
	go func() { ended <- execute(t.Context(), []string{"run", "--admin", admin}) }()

	waitFor(t, "an acknowledgement", ended, func() bool { return statusOfOrder("http://"+control+"/config/replace") == http.StatusOK })
	is.Equal(statusOf("http://"+control+"/config/fetch"), http.StatusOK)
	refusedGiveUps(t, admin)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	is.Equal(endOf(t, ended), exitInOrder)

	state := filepath.Join(data, store.FileName)
	is.Equal(execute(t.Context(), []string{"state", "check", state}), exitInOrder)
	is.Equal(execute(t.Context(), []string{"state", "dump", state}), exitInOrder)
	is.NoErr(os.Truncate(state, 100))
	is.Equal(execute(t.Context(), []string{"state", "check", state}), exitInvariant)
}

// refusedGiveUps asks a running controller to give up what must not be: each refusal is one line that says why.
func refusedGiveUps(t *testing.T, admin string) {
	t.Helper()
	for _, one := range []struct{ typed, by, says string }{
		{"other\n", "ann", "another one"},
		{"", "ann", "not typed again"},
		{"orders\n", "", "who asks"},
		{"orders\n", "ann", "no service orders"},
	} {
		err := giveUp(t.Context(), admin, "orders", one.by, strings.NewReader(one.typed), io.Discard)
		if err == nil || !strings.Contains(err.Error(), one.says) {
			t.Errorf("typed %q by %q: %v, which doesn't say %q", one.typed, one.by, err, one.says)
		}
	}
	info, err := os.Stat(admin)
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the socket file: %v, %v", info, err)
	}
}

// TestGatewayRunsUntilTerminated starts a gateway whose seed isn't there: it is up, but not ready.
func TestGatewayRunsUntilTerminated(t *testing.T) {
	is := is.New(t)
	readiness := freeAddress(t)
	writeSettings(t, fmt.Sprintf(`{"routerName": "g", "serves": ["edge"], "ipAddress": "127.0.0.1", "zone": "z",
		"internalPortRange": [%s, 65535], "listenAddrs": {"front": %q, "readiness": %q}, "seedPeers": [%q]}`,
		freePort(t), freeAddress(t), readiness, freeAddress(t)))
	ended := make(chan int, 1)
	go func() { ended <- execute(t.Context(), []string{"run"}) }()

	waitFor(t, "an answer", ended, func() bool { return statusOf("http://"+readiness+"/readiness") == http.StatusServiceUnavailable })
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	is.Equal(endOf(t, ended), exitInOrder)
}

func newCaller() *http.Client {
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
}

func statusOf(url string) int { return status(newCaller().Get(url)) }

func statusOfOrder(url string) int {
	const order = `{"configRevision": 3, "routeTable": [], "serviceTable": [], "limits": {}}`
	return status(newCaller().Post(url, "application/json", strings.NewReader(order)))
}

func status(answer *http.Response, err error) int {
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// waitFor waits until the condition holds, while the process runs.
func waitFor(t *testing.T, what string, ended <-chan int, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !holds(); time.Sleep(10 * time.Millisecond) {
		select {
		case code := <-ended:
			t.Fatalf("ended with %d while waiting for %s", code, what)
		default:
		}
		if time.Now().After(deadline) {
			t.Fatalf("waited too long for %s", what)
		}
	}
}

func endOf(t *testing.T, ended <-chan int) int {
	t.Helper()
	select {
	case code := <-ended:
		return code
	case <-time.After(patience):
		t.Fatal("did not end")
		return 0
	}
}
