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

// writeHook returns the place of bbolt's own hook for tests, through which all its writes go.
func writeHook(database *bbolt.DB) *func([]byte, int64) (int, error) {
	field := reflect.ValueOf(database).Elem().FieldByName("ops").FieldByName("writeAt")
	return (*func([]byte, int64) (int, error))(unsafe.Pointer(field.UnsafeAddr()))
}

// replaceDescriptor lets the file's descriptor lead to a device: /dev/full refuses writes for want of space, and
// /dev/null refuses syncs.
func replaceDescriptor(t *testing.T, file *os.File, device string) {
	t.Helper()
	opened, err := os.OpenFile(device, os.O_RDWR, 0)
	must(err)
	defer opened.Close()
	must(syscall.Dup3(int(opened.Fd()), int(file.Fd()), 0))
}

// refusal is one way in which a disk fails a transaction.
type refusal struct {
	name   string
	device string // that takes the place of the file ("": none), after
	writes int    // writes that still succeed
	torn   bool   // half of the failing write is done
}

// TestFailedApply refuses the writes and the syncs of a transaction one after the other. Reopen returns the state before it or
// after it, as a whole, and the store goes on.
func TestFailedApply(t *testing.T) {
	refusals := []refusal{{name: "full", device: "/dev/full"}}
	for writes := range 3 {
		refusals = append(refusals,
			refusal{name: "full after some", device: "/dev/full", writes: writes},
			refusal{name: "sync refused", device: "/dev/null", writes: writes + 1},
			refusal{name: "write refused", writes: writes},
			refusal{name: "write torn", writes: writes, torn: true},
		)
	}
	failed := 0
	for _, refused := range refusals {
		for step, writes := range script()[:6] {
			if failApply(t, refused, step, writes) {
				failed++
			}
		}
	}
	t.Logf("%d of %d transactions failed", failed, len(refusals)*6)
	if failed < len(refusals)*4 {
		t.Fatal("too few transactions failed")
	}
}

// failApply tells whether the refusal made Apply fail.
func failApply(t *testing.T, refused refusal, step int, writes []replication.Write) bool {
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
	refused.arm(t, database, file)
	err = store.Apply(writes)
	if err == nil { // the transaction has fewer writes than that
		is.NoErr(store.Close())
		return false
	}
	is.Equal(store.Apply(writes), ErrReopenFirst)
	found, err := store.Reopen()
	is.NoErr(err)
	if !reflect.DeepEqual(found, state) && !reflect.DeepEqual(found, stateAfter(state, writes)) {
		t.Fatalf("%s after %d, step %d: neither the state before nor after", refused.name, refused.writes, step)
	}
	is.NoErr(store.Apply(writes))
	is.NoErr(store.Close())
	store, again, err := Open(directory, Options{Log: silent()})
	is.NoErr(err)
	is.Equal(again, stateAfter(state, writes))
	is.NoErr(store.Close())
	return true
}

// arm lets the disk fail from a certain write on.
func (r refusal) arm(t *testing.T, database *bbolt.DB, file *os.File) {
	t.Helper()
	hook := writeHook(database)
	real, left := *hook, r.writes
	if r.device != "" && left == 0 {
		replaceDescriptor(t, file, r.device)
	}
	*hook = func(data []byte, offset int64) (int, error) {
		if left == 0 && r.device == "" {
			done := 0
			if r.torn {
				done, _ = real(data[:len(data)/2], offset)
			}
			return done, syscall.EIO
		}
		done, err := real(data, offset)
		left--
		if left == 0 && r.device != "" {
			replaceDescriptor(t, file, r.device)
		}
		return done, err
	}
}

func TestReopenWaitsForTheDisk(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	store, first, err := Open(directory, Options{Log: silent()})
	is.NoErr(err)
	is.NoErr(store.Apply(mutate(put("a", "1"))))
	store.release()
	// A folder in the place of the new file: it can't be made.
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
	is.Equal(names(t, directory), []string{FileName}) // left to the next start
	is.NoErr(store.Close())
}

func TestRefusedMutation(t *testing.T) {
	is := is.New(t)
	store, first, err := Open(t.TempDir(), Options{Log: silent()})
	is.NoErr(err)
	is.True(store.Apply(mutate(put("a", "1"), put("", "no key"))) != nil)
	found, err := store.Reopen()
	is.NoErr(err)
	is.Equal(found, first) // not even a part
	is.NoErr(store.Close())
}

// TestStaleMapping puts a copy of the file in the place of bbolt's mapping, as on a system whose mappings do not show
// what is written later.
func TestStaleMapping(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	log, lines := test.NewNullLogger()
	freeze := func(database *bbolt.DB, file *os.File) {
		info, err := file.Stat()
		must(err)
		held := make([]byte, info.Size())
		_, err = file.ReadAt(held, 0)
		must(err)
		address := database.Info().Data
		_, _, failure := syscall.Syscall6(syscall.SYS_MMAP, address, mapBytes, syscall.PROT_READ|syscall.PROT_WRITE,
			syscall.MAP_PRIVATE|syscall.MAP_ANON|syscall.MAP_FIXED, ^uintptr(0), 0)
		is.Equal(failure, syscall.Errno(0))
		copy(unsafe.Slice((*byte)(*(*unsafe.Pointer)(unsafe.Pointer(&address))), mapBytes), held)
	}
	store, state, err := Open(directory, Options{Log: log, opened: freeze})
	is.NoErr(err)
	for _, writes := range script() {
		is.NoErr(store.Apply(writes))
		state = stateAfter(state, writes)
	}
	is.NoErr(store.Close())
	is.Equal(len(lines.AllEntries()), 1) // said once
	is.Equal(lines.LastEntry().Level, logrus.WarnLevel)
	store, found, err := Open(directory, Options{Log: silent()})
	is.NoErr(err)
	is.Equal(found, state)
	is.NoErr(store.Close())
}

// BenchmarkApply writes the record of one instance, and the stamp, to a state of usual size.
func BenchmarkApply(b *testing.B) {
	written, calls := 0, 0
	store, _, err := Open(b.TempDir(), Options{Log: silent(), opened: func(database *bbolt.DB, _ *os.File) {
		hook := writeHook(database)
		real := *hook
		*hook = func(data []byte, offset int64) (int, error) {
			calls++
			written += len(data)
			return real(data, offset)
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
