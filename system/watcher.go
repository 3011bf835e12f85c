package system

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"
)

// pollEvery is the time between looks at the settings file, which may change without a signal. A look costs an open, a
// read and a close.
const pollEvery = time.Second

// Watch hands out the settings each time that the file has others than before, until the context ends. It looks at the
// file's contents every second and at each signal on hangup, which may be nil. Only the newest settings wait to be taken.
// A file that can't be used is told of in the log, once, and the settings stay as they were.
func Watch(ctx context.Context, path string, current Settings, hangup <-chan os.Signal, log logrus.FieldLogger) <-chan Settings {
	watcher := newWatcher(path, current, log)
	go watcher.run(ctx, hangup)
	return watcher.changed
}

type watcher struct {
	path    string
	log     logrus.FieldLogger
	seen    []byte // contents at the last look; nil: none yet, or the file couldn't be read
	problem string // why the file couldn't be read at the last look
	current Settings
	changed chan Settings
}

func newWatcher(path string, current Settings, log logrus.FieldLogger) *watcher {
	return &watcher{path: path, log: log, current: current, changed: make(chan Settings, 1)}
}

func (w *watcher) run(ctx context.Context, hangup <-chan os.Signal) {
	poll := time.NewTicker(pollEvery)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-poll.C:
		}
		w.look()
	}
}

// look reads the file, and hands out its settings if they are others than before.
func (w *watcher) look() {
	contents, err := os.ReadFile(w.path)
	if err != nil {
		w.note(err)
		return
	}
	w.problem = ""
	if w.seen != nil && bytes.Equal(contents, w.seen) {
		return
	}
	w.seen = contents
	settings, err := Parse(contents)
	if err != nil {
		w.log.Errorf("settings stay as they were: %v", err)
		return
	}
	if reflect.DeepEqual(settings, w.current) {
		return
	}
	w.current = settings
	w.handOut(settings)
}

// note tells of a file that can't be read, once for each reason in a row.
func (w *watcher) note(err error) {
	if w.problem == err.Error() {
		return
	}
	w.problem = err.Error()
	w.log.Errorf("settings stay as they were: %v", err)
}

func (w *watcher) handOut(settings Settings) {
	select {
	case <-w.changed: // nobody has taken the last ones
	default:
	}
	w.changed <- settings
}
