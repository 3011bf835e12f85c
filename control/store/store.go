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

// incarnationBytes of chance make two equal incarnations as good as impossible.
const incarnationBytes = 12

// Options of Open.
type Options struct {
	FirstStart     bool                      // the whole system starts for the first time: a new incarnation may found a core
	NewIncarnation func() quorum.Incarnation // nil: random
	Log            logrus.FieldLogger        // nil: the standard logger

	opened func(*bbolt.DB, *os.File) // sees the database each time that it was opened for Apply
}

// Store is the open state of one controller. It is used by one goroutine at a time.
type Store struct {
	directory string
	options   Options
	database  *bbolt.DB // nil: closed, or to be reopened
	closed    bool
	head      head
	remapped  bool // the mapping was found stale, and that has been logged
}

// Open reads the state in the directory. An empty directory, or one with a damaged state, becomes a new incarnation.
// What Open returns is safe on disk.
func Open(directory string, options Options) (*Store, replication.DurableState, error) {
	if options.NewIncarnation == nil {
		options.NewIncarnation = randomIncarnation
	}
	if options.Log == nil {
		options.Log = logrus.StandardLogger()
	}
	if err := os.MkdirAll(directory, folderMode); err != nil {
		return nil, replication.DurableState{}, eris.Wrap(err, "make the folder of the control state")
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

// Apply carries the writes out as one transaction, which is safe on disk once Apply has returned nil. After an error
// it is unknown whether the disk has it, and Reopen must succeed before the next Apply.
func (s *Store) Apply(writes []replication.Write) error {
	if s.closed {
		return ErrClosed
	}
	if s.database == nil {
		return ErrReopenFirst
	}
	next := s.head
	err := guard(func() error {
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

// Reopen reads the state again after an error of Apply. The failed transaction is in it as a whole, or not at all.
//
// The state is written to a new file that takes the place of the old one: after a failed sync, what can be read
// from the old file need not be on the disk, and a second sync doesn't tell.
//
// A file that is found damaged here is an error (see IsDamage), and left to the next Open: the running process
// still speaks as the old incarnation.
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

// Close ends the use of the directory.
func (s *Store) Close() error {
	s.closed = true
	if s.database == nil {
		return nil
	}
	database := s.database
	s.database = nil
	return eris.Wrap(database.Close(), "close the control state")
}

// release closes the database after a failure, as well as it goes.
func (s *Store) release() {
	if s.database == nil {
		return
	}
	database := s.database
	s.database = nil
	if err := guard(database.Close); err != nil {
		s.options.Log.WithError(err).Warn("control state: close after a failure")
	}
}

func (s *Store) path() string { return filepath.Join(s.directory, FileName) }

// start opens what is there.
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

// startNew makes the file of a new incarnation, and opens it.
func (s *Store) startNew() (contents, error) {
	if err := s.setUnfinishedAside(); err != nil {
		return contents{}, err
	}
	damagedBefore, err := hasDamaged(s.directory)
	if err != nil {
		return contents{}, err
	}
	// One that has lost its state may have founded a core already.
	mayFound := s.options.FirstStart && !damagedBefore
	if err := writeFile(s.directory, newContents(s.options.NewIncarnation(), mayFound)); err != nil {
		return contents{}, err
	}
	file, err := openLocked(s.path(), os.O_RDWR, syscall.LOCK_EX)
	if err != nil {
		return contents{}, eris.Wrap(err, "open the control state")
	}
	made, err := readFile(file)
	if err != nil {
		return contents{}, errors.Join(err, file.Close())
	}
	return made, s.attach(file, made.head)
}

// setUnfinishedAside keeps what a power loss during the first start has left.
func (s *Store) setUnfinishedAside() error {
	_, err := os.Stat(filepath.Join(s.directory, unfinishedName))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	aside, err := setAside(s.directory, unfinishedName, setUnfinishedOff)
	if err != nil {
		return err
	}
	s.options.Log.WithField("kept", aside).Warn("control state: an unfinished file was set aside; nothing was ever said from it")
	return nil
}

// startDamaged keeps the damaged file under another name, and goes on as a new incarnation.
func (s *Store) startDamaged(file *os.File, cause error) (contents, error) {
	aside, err := setAside(s.directory, FileName, damagedName)
	if err := errors.Join(err, file.Close()); err != nil {
		return contents{}, err
	}
	s.options.Log.WithError(cause).WithField("kept", aside).
		Error("control state: the file is damaged and was set aside; this controller starts as a new one")
	return s.startNew()
}

// attach lets bbolt use an open file that was read and found sound. What was read may not be synced yet, if the process
// before was killed: it is before attach returns.
func (s *Store) attach(file *os.File, expected head) error {
	var database *bbolt.DB
	err := guard(func() (err error) {
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

// rewrite puts the state into a new file, and opens that.
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

// checkMapping reads back what was written. A system whose mappings do not show later writes gets a new mapping after
// each transaction.
func (s *Store) checkMapping(next head, writes []replication.Write) error {
	if readsBack(s.database, next, writes) {
		return nil
	}
	if !s.remapped {
		s.remapped = true
		s.options.Log.Warn("control state: the mapping of the file does not show what was written; it is mapped anew after each write")
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
		return eris.New("the file does not hold what was written")
	}
	return nil
}
