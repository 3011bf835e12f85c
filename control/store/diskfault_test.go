//go:build linux

package store

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"unsafe"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"go.etcd.io/bbolt"

	"eiderway/control/quorum"
	"eiderway/control/replication"
)

// writeHook returns a pointer to bbolt's internal hook for tests, through which it does all its writes.
func writeHook(database *bbolt.DB) *func([]byte, int64) (int, error) {
	field := reflect.ValueOf(database).Elem().FieldByName("ops").FieldByName("writeAt")
	return (*func([]byte, int64) (int, error))(unsafe.Pointer(field.UnsafeAddr()))
}

// replaceDescriptor makes the descriptor of the file refer to a device: /dev/full fails writes with "no space left", and /dev/null
// fails syncs.
func replaceDescriptor(t *testing.T, file *os.File, device string) {
	t.Helper()
	opened, err := os.OpenFile(device, os.O_RDWR, 0)
	must(err)
	defer opened.Close()
	must(syscall.Dup3(int(opened.Fd()), int(file.Fd()), 0))
}

// fault is one way in which a disk fails a transaction.
type fault struct {
	name   string
	device string // replaces the file ("": none) after the successful writes
	writes int    // number of writes that succeed first
	isTorn bool   // half of the failing write is done
}

// TestReopenAfterFailedApply fails each write and each sync of a transaction. Reopen must return the complete state before or after
// the transaction, and the store must be usable again.
func TestReopenAfterFailedApply(t *testing.T) {
	faults := []fault{{name: "disk full", device: "/dev/full"}}
	for writes := range 3 {
		faults = append(faults,
			fault{name: "disk full after some writes", device: "/dev/full", writes: writes},
			fault{name: "sync fails", device: "/dev/null", writes: writes + 1},
			fault{name: "write fails", writes: writes},
			fault{name: "write is torn", writes: writes, isTorn: true},
		)
	}
	failed := 0
	for _, injected := range faults {
		for step, writes := range script()[:6] {
			if failApply(t, injected, step, writes) {
				failed++
			}
		}
	}
	t.Logf("%d of %d transactions failed", failed, len(faults)*6)
	if failed < len(faults)*4 {
		t.Fatal("too few transactions failed")
	}
}

// failApply runs one step with the fault, and reports whether it made Apply fail.
func failApply(t *testing.T, injected fault, step int, writes []replication.Write) bool {
	t.Helper()
	is := is.New(t)
	directory := t.TempDir()
	var database *bbolt.DB
	var file *os.File
	store, state, err := Open(directory, Options{
		Log: silent(), FirstStart: true,
		opened: func(openedDatabase *bbolt.DB, openedFile *os.File) { database, file = openedDatabase, openedFile },
	})
	is.NoErr(err)
	for _, earlier := range script()[:step] {
		is.NoErr(store.Apply(earlier))
		state = stateAfter(state, earlier)
	}
	injected.arm(t, database, file)
	err = store.Apply(writes)
	if err == nil { // the transaction has fewer writes than succeed first
		is.NoErr(store.Close())
		return false
	}
	is.Equal(store.Apply(writes), ErrReopenFirst)
	found, err := store.Reopen()
	is.NoErr(err)
	if !reflect.DeepEqual(found, state) && !reflect.DeepEqual(found, stateAfter(state, writes)) {
		t.Fatalf("%s after %d writes, step %d: the state is neither the one before nor the one after", injected.name, injected.writes, step)
	}
	is.NoErr(store.Apply(writes))
	is.NoErr(store.Close())
	store, again, err := Open(directory, Options{Log: silent()})
	is.NoErr(err)
	is.Equal(again, stateAfter(state, writes))
	is.NoErr(store.Close())
	return true
}

// arm makes the disk fail after the writes that succeed first.
func (f fault) arm(t *testing.T, database *bbolt.DB, file *os.File) {
	t.Helper()
	hook := writeHook(database)
	writeAt, left := *hook, f.writes
	if f.device != "" && left == 0 {
		replaceDescriptor(t, file, f.device)
	}
	*hook = func(data []byte, offset int64) (int, error) {
		if left == 0 && f.device == "" {
			done := 0
			if f.isTorn {
				done, _ = writeAt(data[:len(data)/2], offset)
			}
			return done, syscall.EIO
		}
		done, err := writeAt(data, offset)
		left--
		if left == 0 && f.device != "" {
			replaceDescriptor(t, file, f.device)
		}
		return done, err
	}
}

func TestReopenFailsUntilFileCanBeWritten(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	store, first, err := Open(directory, Options{Log: silent()})
	is.NoErr(err)
	is.NoErr(store.Apply(mutate(put("a", "1"))))
	store.release()
	// A folder at the path of the new file, so that the file can't be created.
	obstacle := filepath.Join(directory, unfinishedName)
	is.NoErr(os.MkdirAll(filepath.Join(obstacle, "full"), folderMode))
	_, err = store.Reopen()
	is.True(err != nil)
	is.Equal(store.Apply(nil), ErrReopenFirst)
	is.NoErr(os.RemoveAll(obstacle))
	found, err := store.Reopen()
	is.NoErr(err)
	is.Equal(found, stateAfter(first, mutate(put("a", "1"))))
	is.NoErr(store.Close())
	_, err = store.Reopen()
	is.Equal(err, ErrClosed)
}

func TestReopenReportsDamage(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	store, _, err := Open(directory, Options{Log: silent()})
	is.NoErr(err)
	store.release()
	is.NoErr(os.WriteFile(store.path(), []byte("damaged"), fileMode))
	_, err = store.Reopen()
	is.True(IsDamage(err))
	is.Equal(names(t, directory), []string{FileName}) // the file is left to the next start
	is.NoErr(store.Close())
}

func TestInvalidMutationRollsBackTheTransaction(t *testing.T) {
	is := is.New(t)
	store, first, err := Open(t.TempDir(), Options{Log: silent()})
	is.NoErr(err)
	is.True(store.Apply(mutate(put("a", "1"), put("", "no key"))) != nil)
	found, err := store.Reopen()
	is.NoErr(err)
	is.Equal(found, first) // no part of the transaction
	is.NoErr(store.Close())
}

// TestStaleMapping replaces bbolt's memory mapping by a copy of the file, as on a system whose mappings do not show later writes. The
// store must still read its writes.
func TestStaleMapping(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	log, lines := test.NewNullLogger()
	replaceMapping := func(database *bbolt.DB, file *os.File) {
		info, err := file.Stat()
		must(err)
		content := make([]byte, info.Size())
		_, err = file.ReadAt(content, 0)
		must(err)
		address := database.Info().Data
		_, _, failure := syscall.Syscall6(syscall.SYS_MMAP, address, initialMapBytes, syscall.PROT_READ|syscall.PROT_WRITE,
			syscall.MAP_PRIVATE|syscall.MAP_ANON|syscall.MAP_FIXED, ^uintptr(0), 0)
		is.Equal(failure, syscall.Errno(0))
		copy(unsafe.Slice((*byte)(*(*unsafe.Pointer)(unsafe.Pointer(&address))), initialMapBytes), content)
	}
	store, state, err := Open(directory, Options{Log: log, opened: replaceMapping})
	is.NoErr(err)
	for _, writes := range script() {
		is.NoErr(store.Apply(writes))
		state = stateAfter(state, writes)
	}
	is.NoErr(store.Close())
	is.Equal(len(lines.AllEntries()), 1) // logged once
	is.Equal(lines.LastEntry().Level, logrus.WarnLevel)
	store, found, err := Open(directory, Options{Log: silent()})
	is.NoErr(err)
	is.Equal(found, state)
	is.NoErr(store.Close())
}

// BenchmarkApply writes the record of one instance and the stamp to a state of usual size.
func BenchmarkApply(b *testing.B) {
	written, calls := 0, 0
	store, _, err := Open(b.TempDir(), Options{Log: silent(), opened: func(database *bbolt.DB, _ *os.File) {
		hook := writeHook(database)
		writeAt := *hook
		*hook = func(data []byte, offset int64) (int, error) {
			calls++
			written += len(data)
			return writeAt(data, offset)
		}
	}})
	must(err)
	must(store.Apply(script()[3]))
	must(store.Apply(script()[5]))
	written, calls = 0, 0
	b.ReportAllocs()
	for round := range b.N {
		must(store.Apply([]replication.Write{{
			Stamp:     &quorum.Stamp{Epoch: 3, Sequence: uint64(round)},
			Mutations: []replication.Mutation{put(fmt.Sprintf("instance/%04d", round%300), strings.Repeat("fresh", 20))},
		}}))
	}
	b.ReportMetric(float64(written)/float64(b.N), "written-B/op")
	b.ReportMetric(float64(calls)/float64(b.N), "writes/op")
	must(store.Close())
}
