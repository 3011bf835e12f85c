package store

import (
	"bytes"
	"fmt"
	"runtime/debug"

	"github.com/rotisserie/eris"
	"go.etcd.io/bbolt"

	"eiderway/control/replication"
)

// putContents writes a complete state to an empty file.
func putContents(transaction *bbolt.Tx, whole contents) error {
	controller, err := transaction.CreateBucket([]byte(controllerBucket))
	if err != nil {
		return err
	}
	if err := controller.Put([]byte(formatKey), encodeFormat()); err != nil {
		return err
	}
	entries, err := transaction.CreateBucket([]byte(entriesBucket))
	if err != nil {
		return err
	}
	for key, value := range whole.entries {
		if err := entries.Put([]byte(key), value); err != nil {
			return err
		}
	}
	return putHead(transaction, whole.head)
}

func putHead(transaction *bbolt.Tx, next head) error {
	encoded, err := encodeHead(next)
	if err != nil {
		return err
	}
	return transaction.Bucket([]byte(controllerBucket)).Put([]byte(headKey), encoded)
}

// putWrites performs the writes in order and stores and returns the resulting head.
func putWrites(transaction *bbolt.Tx, next head, writes []replication.Write) (head, error) {
	for _, write := range writes {
		if write.Voter != nil {
			next.Voter = *write.Voter
		}
		if write.Stamp != nil {
			next.Stamp = *write.Stamp
		}
		if write.Replace {
			if err := dropEntries(transaction); err != nil {
				return next, err
			}
			next.clear()
		}
		entries := transaction.Bucket([]byte(entriesBucket))
		for _, mutation := range write.Mutations {
			if err := putMutation(entries, &next, mutation); err != nil {
				return next, eris.Wrapf(err, "write entry %q", mutation.Key)
			}
		}
	}
	return next, putHead(transaction, next)
}

func dropEntries(transaction *bbolt.Tx) error {
	if err := transaction.DeleteBucket([]byte(entriesBucket)); err != nil {
		return err
	}
	_, err := transaction.CreateBucket([]byte(entriesBucket))
	return err
}

func putMutation(entries *bbolt.Bucket, next *head, mutation replication.Mutation) error {
	key := []byte(mutation.Key)
	if old := entries.Get(key); old != nil {
		next.remove(mutation.Key, old)
	}
	if mutation.Delete {
		return entries.Delete(key)
	}
	value := mutation.Value
	if value == nil {
		value = []byte{} // bbolt's Get returns nil for a missing key
	}
	next.add(mutation.Key, value)
	return entries.Put(key, value)
}

// lastMutations returns the last mutation of each entry that the writes touch.
func lastMutations(writes []replication.Write) map[string]replication.Mutation {
	last := map[string]replication.Mutation{}
	for _, write := range writes {
		if write.Replace {
			clear(last)
		}
		for _, mutation := range write.Mutations {
			last[mutation.Key] = mutation
		}
	}
	return last
}

// readsBack reports whether bbolt's memory mapping shows what has just been written to the file. To check these entries and the
// head is enough: every page that a transaction writes is on the path to one of them.
func readsBack(database *bbolt.DB, expected head, writes []replication.Write) (matches bool) {
	err := catchPanics(func() error {
		return database.View(func(transaction *bbolt.Tx) error {
			encoded, err := encodeHead(expected)
			if err != nil {
				return err
			}
			controller := transaction.Bucket([]byte(controllerBucket))
			matches = controller != nil && bytes.Equal(controller.Get([]byte(headKey)), encoded)
			entries := transaction.Bucket([]byte(entriesBucket))
			for key, mutation := range lastMutations(writes) {
				value := entries.Get([]byte(key))
				matches = matches && (value == nil) == mutation.Delete && bytes.Equal(value, mutation.Value)
			}
			return nil
		})
	})
	return err == nil && matches
}

// catchPanics runs work and turns a panic of bbolt, or a read fault in its memory mapping, into an error.
func catchPanics(work func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			err = eris.New(fmt.Sprintf("bbolt panicked: %v", cause))
		}
	}()
	return work()
}
