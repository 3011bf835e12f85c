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

// Names in the folder.
const (
	FileName         = "control.db"            // the state
	unfinishedName   = "control.db.new"        // a file that is being made; nobody has spoken from it
	damagedName      = "control.db.damaged"    // and a number: a state that couldn't be read
	setUnfinishedOff = "control.db.unfinished" // and a number: left over from a power loss while it was made
)

const (
	fileMode   = 0o600
	folderMode = 0o700

	// lockWait is how long a process that is just ending may still hold the file.
	lockWait = 2 * time.Second
	// lockRetry is the pause between two attempts to lock the file.
	lockRetry = 50 * time.Millisecond

	// mapBytes is mapped at once, so that bbolt maps anew only for a state that has grown far beyond the usual.
	mapBytes = 4 << 20
	// growBytes is what the file grows by, each time with one more sync.
	growBytes = 64 << 10
)

// openLocked opens the file if it is there, and locks it.
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

func lockFile(file *os.File, lock int) error {
	for waited := time.Duration(0); ; waited += lockRetry {
		err := syscall.Flock(int(file.Fd()), lock|syscall.LOCK_NB)
		if err == nil {
			return nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) {
			return eris.Wrapf(err, "lock %s", file.Name())
		}
		if waited >= lockWait {
			return eris.Wrap(ErrInUse, file.Name())
		}
		time.Sleep(lockRetry)
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

// openDatabase opens a file for writing. If file is nil, it is opened (and made) by its path.
func openDatabase(path string, file *os.File, options bbolt.Options) (*bbolt.DB, error) {
	options.Timeout = lockWait
	options.PageSize = pageSize
	options.InitialMmapSize = mapBytes
	options.NoFreelistSync = true // the list is found again by the walk at the start
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

// writeFile makes a file of these contents, under another name first. It has its name, for good, when writeFile
// returns nil.
func writeFile(directory string, whole contents) error {
	unfinished := filepath.Join(directory, unfinishedName)
	if err := os.Remove(unfinished); err != nil && !errors.Is(err, os.ErrNotExist) {
		return eris.Wrap(err, "remove an unfinished control state")
	}
	if err := fillFile(unfinished, whole); err != nil {
		return err
	}
	if err := os.Rename(unfinished, filepath.Join(directory, FileName)); err != nil {
		return eris.Wrap(err, "name the control state")
	}
	return syncFolder(directory)
}

// fillFile writes a whole file, synced once: until it has its name, nobody reads it.
func fillFile(path string, whole contents) error {
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
	return eris.Wrap(errors.Join(err, database.Close()), "make a control state")
}

// syncFolder makes new, changed and removed names last.
func syncFolder(directory string) error {
	folder, err := os.Open(directory)
	if err != nil {
		return eris.Wrap(err, "sync the folder of the control state")
	}
	return eris.Wrap(errors.Join(folder.Sync(), folder.Close()), "sync the folder of the control state")
}

// setAside gives a file a name under which it is kept and not read, for good, and returns that name.
func setAside(directory, name, asideName string) (string, error) {
	for number := 1; ; number++ {
		aside := filepath.Join(directory, fmt.Sprintf("%s-%d", asideName, number))
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

// hasDamaged tells whether a state has been set aside as damaged here before.
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
