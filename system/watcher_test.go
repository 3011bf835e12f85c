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

// testWatcher is a watcher on a temporary file, which the test checks explicitly.
type testWatcher struct {
	*watcher
	t     *testing.T
	lines *test.Hook
}

func newTestWatcher(t *testing.T) *testWatcher {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	log, lines := test.NewNullLogger()
	current, err := Parse([]byte(readExample(t, "controller.json")))
	if err != nil {
		t.Fatal(err)
	}
	return &testWatcher{watcher: newWatcher(path, current, log), t: t, lines: lines}
}

func (w *testWatcher) writeAndCheck(contents string) {
	w.t.Helper()
	if err := os.WriteFile(w.path, []byte(contents), 0o600); err != nil {
		w.t.Fatal(err)
	}
	w.checkFile()
}

func (w *testWatcher) published() (Settings, bool) {
	select {
	case settings := <-w.changed:
		return settings, true
	default:
		return Settings{}, false
	}
}

func (w *testWatcher) errorCount() int {
	return len(w.lines.AllEntries())
}

func TestWatcherSendsOnlyChangedSettings(t *testing.T) {
	is := is.New(t)
	watcher, sound := newTestWatcher(t), readExample(t, "controller.json")
	watcher.writeAndCheck(sound)
	watcher.writeAndCheck(sound + "\n\n") // different bytes, the same settings
	_, changed := watcher.published()
	is.True(!changed)

	watcher.writeAndCheck(strings.Replace(sound, "10.2.0.8:8782", "10.2.0.9:8782", 1))
	watcher.writeAndCheck(strings.Replace(sound, "10.2.0.8:8782", "10.2.0.10:8782", 1))
	settings, changed := watcher.published()
	is.True(changed)
	is.Equal(settings.Seeds[1], "10.2.0.10:8782") // the newest only
	_, changed = watcher.published()
	is.True(!changed)
}

func TestWatcherKeepsSettingsWhenTheFileIsBroken(t *testing.T) {
	is := is.New(t)
	watcher, sound := newTestWatcher(t), readExample(t, "controller.json")
	watcher.writeAndCheck(sound[:len(sound)/2])
	watcher.writeAndCheck(sound[:len(sound)/2])
	is.Equal(watcher.errorCount(), 1) // one line for each state of the file
	is.NoErr(os.Remove(watcher.path))
	watcher.checkFile()
	watcher.checkFile()
	is.Equal(watcher.errorCount(), 2)
	watcher.writeAndCheck(sound)
	_, changed := watcher.published()
	is.True(!changed)
	watcher.writeAndCheck(strings.Replace(sound, "core-qro-a-1", "core-qro-a-2", 1))
	settings, changed := watcher.published()
	is.True(changed)
	is.Equal(settings.Name, "core-qro-a-2")
	is.Equal(watcher.errorCount(), 2)
}

func TestWatchReadsFileOnSignalAndPeriodically(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	path := filepath.Join(t.TempDir(), "settings.json")
	sound := readExample(t, "controller.json")
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
		case <-time.After(20 * pollInterval):
			t.Fatalf("%s: not published", name)
		}
	}
}

// replace renames a new file over the old one, so that no check reads a part of it.
func replace(path, contents string) error {
	if err := os.WriteFile(path+".new", []byte(contents), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
