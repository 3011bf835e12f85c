package store

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.etcd.io/bbolt"

	"eiderway/control/quorum"
	"eiderway/control/replication"
)

// incarnationBytes is the number of random bytes of an incarnation: enough to make two equal ones practically impossible.
const incarnationBytes = 12

// Options are the options of Open.
type Options struct {
	FirstStart     bool                      // the whole system starts for the first time: a new incarnation may found a core
	NewIncarnation func() quorum.Incarnation // nil: random
	Log            logrus.FieldLogger        // nil: the standard logger

	opened func(*bbolt.DB, *os.File) // called each time the database has been opened for Apply; for tests
}

// Store is the open state of one controller. It must be used by one goroutine at a time.
type Store struct {
	directory          string
	options            Options
	database           *bbolt.DB // nil: closed, or Reopen must be called
	closed             bool
	head               head
	staleMappingLogged bool // the warning of checkMapping has been logged
}

// Open reads the state in the directory. In an empty directory, or one with a damaged state, it starts a new incarnation. The
// returned state is durable.
func Open(directory string, options Options) (*Store, replication.DurableState, error) {
	if options.NewIncarnation == nil {
		options.NewIncarnation = randomIncarnation
	}
	if options.Log == nil {
		options.Log = logrus.StandardLogger()
	}
	if err := os.MkdirAll(directory, folderMode); err != nil {
		return nil, replication.DurableState{}, eris.Wrap(err, "create the folder of the control state")
	}
	store := &Store{directory: directory, options: options}
	found, err := store.start()
	if err != nil {
		return nil, replication.DurableState{}, err
	}
	return store, found.durable(), nil
}

func randomIncarnation() quorum.Incarnation {
	var chance [incarnationBytes]byte
	rand.Read(chance[:])
	return quorum.Incarnation(hex.EncodeToString(chance[:]))
}

// Apply performs the writes as one transaction, which is durable once Apply has returned nil. After an error it is unknown whether
// the transaction is on disk, and Reopen must succeed before the next Apply.
func (s *Store) Apply(writes []replication.Write) error {
	if s.closed {
		return ErrClosed
	}
	if s.database == nil {
		return ErrReopenFirst
	}
	next := s.head
	err := catchPanics(func() error {
		return s.database.Update(func(transaction *bbolt.Tx) (err error) {
			next, err = putWrites(transaction, s.head, writes)
			return err
		})
	})
	if err == nil {
		err = s.checkMapping(next, writes)
	}
	if err != nil {
		s.release()
		return eris.Wrap(err, "write the control state")
	}
	s.head = next
	return nil
}

// Reopen reads the state again after a failed Apply. The failed transaction is in it completely or not at all.
//
// The state is written to a new file that replaces the old one: after a failed sync, what can be read from the old file need not
// be on the disk, and a second sync may succeed without writing it.
//
// If the file is found to be damaged, Reopen returns an error (see IsDamage) and leaves the file to the next Open, because the
// running process still acts as the old incarnation.
func (s *Store) Reopen() (replication.DurableState, error) {
	if s.closed {
		return replication.DurableState{}, ErrClosed
	}
	s.release()
	found, err := s.rewrite()
	if err != nil {
		return replication.DurableState{}, eris.Wrap(err, "reopen the control state")
	}
	return found.durable(), nil
}

// Close closes the store and unlocks its file.
func (s *Store) Close() error {
	s.closed = true
	if s.database == nil {
		return nil
	}
	database := s.database
	s.database = nil
	return eris.Wrap(database.Close(), "close the control state")
}

// release closes the database after a failure, and only logs an error of the closing.
func (s *Store) release() {
	if s.database == nil {
		return
	}
	database := s.database
	s.database = nil
	if err := catchPanics(database.Close); err != nil {
		s.options.Log.WithError(err).Warn("control state: could not close the database after a failure")
	}
}

func (s *Store) path() string { return filepath.Join(s.directory, FileName) }

// start opens the existing file, or creates one.
func (s *Store) start() (contents, error) {
	file, err := openLocked(s.path(), os.O_RDWR, syscall.LOCK_EX)
	if errors.Is(err, os.ErrNotExist) {
		return s.startNew()
	}
	if err != nil {
		return contents{}, eris.Wrap(err, "open the control state")
	}
	found, err := readFile(file)
	if IsDamage(err) {
		return s.startDamaged(file, err)
	}
	if err != nil {
		return contents{}, errors.Join(err, file.Close())
	}
	return found, s.attach(file, found.head)
}

// startNew creates and opens the file of a new incarnation.
func (s *Store) startNew() (contents, error) {
	if err := s.setUnfinishedAside(); err != nil {
		return contents{}, err
	}
	damagedBefore, err := hasDamaged(s.directory)
	if err != nil {
		return contents{}, err
	}
	// A controller that has lost its state may have founded a core before.
	mayFound := s.options.FirstStart && !damagedBefore
	if err := writeFile(s.directory, newContents(s.options.NewIncarnation(), mayFound)); err != nil {
		return contents{}, err
	}
	file, err := openLocked(s.path(), os.O_RDWR, syscall.LOCK_EX)
	if err != nil {
		return contents{}, eris.Wrap(err, "open the control state")
	}
	created, err := readFile(file)
	if err != nil {
		return contents{}, errors.Join(err, file.Close())
	}
	return created, s.attach(file, created.head)
}

// setUnfinishedAside renames an unfinished file that a power loss during the first start has left.
func (s *Store) setUnfinishedAside() error {
	_, err := os.Stat(filepath.Join(s.directory, unfinishedName))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	aside, err := setAside(s.directory, unfinishedName, abandonedName)
	if err != nil {
		return err
	}
	s.options.Log.WithField("kept", aside).Warn("control state: an unfinished file was set aside; it was never used")
	return nil
}

// startDamaged renames the damaged file, and starts a new incarnation.
func (s *Store) startDamaged(file *os.File, cause error) (contents, error) {
	aside, err := setAside(s.directory, FileName, damagedName)
	if err := errors.Join(err, file.Close()); err != nil {
		return contents{}, err
	}
	s.options.Log.WithError(cause).WithField("kept", aside).
		Error("control state: the file is damaged and was set aside; this controller starts as a new one")
	return s.startNew()
}

// attach opens bbolt on a file that was read and found intact. If the previous process was killed, the content may not be synced
// yet, so attach syncs the file before it returns.
func (s *Store) attach(file *os.File, expected head) error {
	var database *bbolt.DB
	err := catchPanics(func() (err error) {
		database, err = openDatabase(s.path(), file, bbolt.Options{})
		return err
	})
	if err != nil {
		return errors.Join(err, file.Close())
	}
	s.database = database
	s.head = expected
	if err := database.Sync(); err != nil {
		s.release()
		return eris.Wrap(err, "sync the control state")
	}
	if s.options.opened != nil {
		s.options.opened(database, file)
	}
	return nil
}

// rewrite copies the state to a new file that replaces the old one, and opens the new file.
func (s *Store) rewrite() (contents, error) {
	file, err := openLocked(s.path(), os.O_RDWR, syscall.LOCK_EX)
	if err != nil {
		return contents{}, err
	}
	found, err := readFile(file)
	if err == nil {
		err = writeFile(s.directory, found)
	}
	if err := errors.Join(err, file.Close()); err != nil {
		return contents{}, err
	}
	file, err = openLocked(s.path(), os.O_RDWR, syscall.LOCK_EX)
	if err != nil {
		return contents{}, err
	}
	return found, s.attach(file, found.head)
}

// checkMapping reads back what was written. On a system whose memory mappings do not show later writes, it maps the file again
// after each transaction.
func (s *Store) checkMapping(next head, writes []replication.Write) error {
	if readsBack(s.database, next, writes) {
		return nil
	}
	if !s.staleMappingLogged {
		s.staleMappingLogged = true
		s.options.Log.Warn("control state: the memory mapping of the file does not show new writes; the file is mapped again after each write")
	}
	s.release()
	file, err := openLocked(s.path(), os.O_RDWR, syscall.LOCK_EX)
	if err != nil {
		return err
	}
	if err := s.attach(file, next); err != nil {
		return err
	}
	if !readsBack(s.database, next, writes) {
		return eris.New("the file does not contain what was written")
	}
	return nil
}
