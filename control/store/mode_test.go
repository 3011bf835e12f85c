package store_test

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"eiderway/control/store"
)

// The state holds clients' keys, so only its owner may read it, whatever the umask.
func TestStateIsReadableByItsOwnerOnly(t *testing.T) {
	is := is.New(t)
	before := syscall.Umask(0)
	defer syscall.Umask(before)
	directory := filepath.Join(t.TempDir(), "made", "data")
	opened, _, err := store.Open(directory, store.Options{})
	is.NoErr(err)
	is.NoErr(opened.Close())
	entries, err := os.ReadDir(directory)
	is.NoErr(err)
	is.True(len(entries) > 0)
	for _, entry := range entries {
		info, err := entry.Info()
		is.NoErr(err)
		is.Equal(info.Mode().Perm(), os.FileMode(0o600)) // each file
	}
	for _, folder := range []string{directory, filepath.Dir(directory)} {
		info, err := os.Stat(folder)
		is.NoErr(err)
		is.Equal(info.Mode().Perm(), os.FileMode(0o700))
	}
}
