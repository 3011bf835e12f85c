package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.etcd.io/bbolt"
)

// Names of files in the folder.
const (
	FileName       = "control.db"            // the state
	unfinishedName = "control.db.new"        // a file that is being written and has never been used
	damagedName    = "control.db.damaged"    // + number: a damaged state
	abandonedName  = "control.db.unfinished" // + number: left by a power loss while it was written
)

const (
	fileMode   = 0o600
	folderMode = 0o700

	// lockTimeout allows for a process that is just ending and still holds the lock.
	lockTimeout = 2 * time.Second
	// lockRetryInterval is the pause between two attempts to lock the file.
	lockRetryInterval = 50 * time.Millisecond

	// initialMapBytes is the initial size of the memory mapping. bbolt maps the file again only for a far larger state than usual.
	initialMapBytes = 4 << 20
	// growBytes is the step by which the file grows. Each growth costs one more sync.
	growBytes = 64 << 10
)

// openLocked opens and locks an existing file.
func openLocked(path string, flags, lock int) (*os.File, error) {
	file, err := os.OpenFile(path, flags, fileMode)
	if err != nil {
		return nil, err
	}
	if err := lockFile(file, lock); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

// lockFile locks the file, and waits up to lockTimeout for another process to unlock it.
func lockFile(file *os.File, lock int) error {
	for waited := time.Duration(0); ; waited += lockRetryInterval {
		err := syscall.Flock(int(file.Fd()), lock|syscall.LOCK_NB)
		if err == nil {
			return nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) {
			return eris.Wrapf(err, "lock %s", file.Name())
		}
		if waited >= lockTimeout {
			return eris.Wrap(ErrInUse, file.Name())
		}
		time.Sleep(lockRetryInterval)
	}
}

// readFile reads and checks an open file.
func readFile(file *os.File) (contents, error) {
	info, err := file.Stat()
	if err != nil {
		return contents{}, eris.Wrap(err, "read the control state")
	}
	return readContents(file, info.Size())
}

// openDatabase opens a file for writing. If file is nil, bbolt opens the path, and creates the file if needed.
func openDatabase(path string, file *os.File, options bbolt.Options) (*bbolt.DB, error) {
	options.Timeout = lockTimeout
	options.PageSize = pageSize
	options.InitialMmapSize = initialMapBytes
	options.NoFreelistSync = true // bbolt rebuilds the freelist from the pages when it opens the file
	options.FreelistType = bbolt.FreelistMapType
	options.NoStatistics = true
	if file != nil {
		options.OpenFile = func(string, int, os.FileMode) (*os.File, error) { return file, nil }
	}
	database, err := bbolt.Open(path, fileMode, &options)
	if err != nil {
		return nil, eris.Wrapf(err, "open %s", path)
	}
	database.AllocSize = growBytes
	return database, nil
}

// writeFile writes the contents to a file under a temporary name, and renames it. Once writeFile has returned nil, the file and its
// name are durable.
func writeFile(directory string, whole contents) error {
	unfinished := filepath.Join(directory, unfinishedName)
	if err := os.Remove(unfinished); err != nil && !errors.Is(err, os.ErrNotExist) {
		return eris.Wrap(err, "remove an unfinished control state")
	}
	if err := createFile(unfinished, whole); err != nil {
		return err
	}
	if err := os.Rename(unfinished, filepath.Join(directory, FileName)); err != nil {
		return eris.Wrap(err, "rename the new control state")
	}
	return syncFolder(directory)
}

// createFile writes a new file with a single sync at the end: nobody reads it before it is renamed.
func createFile(path string, whole contents) error {
	database, err := openDatabase(path, nil, bbolt.Options{NoSync: true, NoGrowSync: true})
	if err != nil {
		return err
	}
	err = database.Update(func(transaction *bbolt.Tx) error {
		return putContents(transaction, whole)
	})
	if err == nil {
		err = database.Sync()
	}
	return eris.Wrap(errors.Join(err, database.Close()), "create a control state")
}

// syncFolder makes created, renamed and removed file names durable.
func syncFolder(directory string) error {
	folder, err := os.Open(directory)
	if err != nil {
		return eris.Wrap(err, "sync the folder of the control state")
	}
	return eris.Wrap(errors.Join(folder.Sync(), folder.Close()), "sync the folder of the control state")
}

// setAside renames a file so that it is kept but not read, and returns the new path. The new name is durable.
func setAside(directory, name, newName string) (string, error) {
	for number := 1; ; number++ {
		aside := filepath.Join(directory, fmt.Sprintf("%s-%d", newName, number))
		_, err := os.Stat(aside)
		if err == nil {
			continue
		}
		if !errors.Is(err, os.ErrNotExist) {
			return "", eris.Wrap(err, "set a file of the control state aside")
		}
		if err := os.Rename(filepath.Join(directory, name), aside); err != nil {
			return "", eris.Wrap(err, "set a file of the control state aside")
		}
		return aside, syncFolder(directory)
	}
}

// hasDamaged reports whether a damaged state was set aside in this directory before.
func hasDamaged(directory string) (bool, error) {
	entries, err := os.ReadDir(directory)
	if err != nil {
		return false, eris.Wrap(err, "list the folder of the control state")
	}
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), damagedName) {
			return true, nil
		}
	}
	return false, nil
}
