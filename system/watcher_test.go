package system

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// watched is a watcher on a file of its own, looked at by hand.
type watched struct {
	*watcher
	t     *testing.T
	lines *test.Hook
}

func watch(t *testing.T) *watched {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	log, lines := test.NewNullLogger()
	current, err := Parse([]byte(example(t, "controller.json")))
	if err != nil {
		t.Fatal(err)
	}
	return &watched{watcher: newWatcher(path, current, log), t: t, lines: lines}
}

func (w *watched) lookAt(contents string) {
	w.t.Helper()
	if err := os.WriteFile(w.path, []byte(contents), 0o600); err != nil {
		w.t.Fatal(err)
	}
	w.look()
}

func (w *watched) handedOut() (Settings, bool) {
	select {
	case settings := <-w.changed:
		return settings, true
	default:
		return Settings{}, false
	}
}

func (w *watched) errors() int {
	return len(w.lines.AllEntries())
}

func TestWatcherSendsOnlyChangedSettings(t *testing.T) {
	is := is.New(t)
	watcher, sound := watch(t), example(t, "controller.json")
	watcher.lookAt(sound)
	watcher.lookAt(sound + "\n\n") // other bytes, the same settings
	_, changed := watcher.handedOut()
	is.True(!changed)

	watcher.lookAt(strings.Replace(sound, "10.2.0.8:8782", "10.2.0.9:8782", 1))
	watcher.lookAt(strings.Replace(sound, "10.2.0.8:8782", "10.2.0.10:8782", 1))
	settings, changed := watcher.handedOut()
	is.True(changed)
	is.Equal(settings.Seeds[1], "10.2.0.10:8782") // the newest only
	_, changed = watcher.handedOut()
	is.True(!changed)
}

func TestWatcherKeepsSettingsWhenTheFileIsBroken(t *testing.T) {
	is := is.New(t)
	watcher, sound := watch(t), example(t, "controller.json")
	watcher.lookAt(sound[:len(sound)/2])
	watcher.lookAt(sound[:len(sound)/2])
	is.Equal(watcher.errors(), 1) // one line for one state of the file
	is.NoErr(os.Remove(watcher.path))
	watcher.look()
	watcher.look()
	is.Equal(watcher.errors(), 2)
	watcher.lookAt(sound)
	_, changed := watcher.handedOut()
	is.True(!changed)
	watcher.lookAt(strings.Replace(sound, "core-qro-a-1", "core-qro-a-2", 1))
	settings, changed := watcher.handedOut()
	is.True(changed)
	is.Equal(settings.Name, "core-qro-a-2")
	is.Equal(watcher.errors(), 2)
}

func TestWatchReadsFileOnSignalAndPeriodically(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	path := filepath.Join(t.TempDir(), "settings.json")
	sound := example(t, "controller.json")
	current, err := Parse([]byte(sound))
	is.NoErr(err)
	hangup := make(chan os.Signal, 1)
	changed := Watch(ctx, path, current, hangup, logrus.StandardLogger())

	for _, name := range []string{"by-signal", "by-poll"} {
		is.NoErr(replace(path, strings.Replace(sound, "core-qro-a-1", name, 1)))
		if name == "by-signal" {
			hangup <- syscall.SIGHUP
		}
		select {
		case settings := <-changed:
			is.Equal(settings.Name, name)
		case <-time.After(20 * pollEvery):
			t.Fatalf("%s: not handed out", name)
		}
	}
}

// replace changes the file as a careful writer does, so that no look meets half of it.
func replace(path, contents string) error {
	if err := os.WriteFile(path+".new", []byte(contents), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
