package system

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"
)

// pollInterval is the time between checks of the settings file, which may change without a signal. A check costs an open, a read and a close.
const pollInterval = time.Second

// Watch sends the settings each time that they change in the file, until the context ends. It checks the file every second and at each
// signal on hangup, which may be nil. The channel holds only the newest settings. An unusable file is logged once, and the current settings
// stay in force.
func Watch(ctx context.Context, path string, current Settings, hangup <-chan os.Signal, log logrus.FieldLogger) <-chan Settings {
	watcher := newWatcher(path, current, log)
	go watcher.run(ctx, hangup)
	return watcher.changed
}

type watcher struct {
	path          string
	log           logrus.FieldLogger
	lastContents  []byte // contents that were read last; nil: none yet
	lastReadError string // why the last check couldn't read the file; "": it could
	current       Settings
	changed       chan Settings
}

func newWatcher(path string, current Settings, log logrus.FieldLogger) *watcher {
	return &watcher{path: path, log: log, current: current, changed: make(chan Settings, 1)}
}

func (w *watcher) run(ctx context.Context, hangup <-chan os.Signal) {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-poll.C:
		}
		w.checkFile()
	}
}

// checkFile reads the file, and publishes its settings if they have changed.
func (w *watcher) checkFile() {
	contents, err := os.ReadFile(w.path)
	if err != nil {
		w.logReadError(err)
		return
	}
	w.lastReadError = ""
	if w.lastContents != nil && bytes.Equal(contents, w.lastContents) {
		return
	}
	w.lastContents = contents
	settings, err := Parse(contents)
	if err != nil {
		w.log.Errorf("keeping the current settings: %v", err)
		return
	}
	if reflect.DeepEqual(settings, w.current) {
		return
	}
	w.current = settings
	w.publish(settings)
}

// logReadError logs why the file can't be read, once until the reason changes.
func (w *watcher) logReadError(err error) {
	if w.lastReadError == err.Error() {
		return
	}
	w.lastReadError = err.Error()
	w.log.Errorf("keeping the current settings: %v", err)
}

func (w *watcher) publish(settings Settings) {
	select {
	case <-w.changed: // discards settings that nobody has received
	default:
	}
	w.changed <- settings
}
