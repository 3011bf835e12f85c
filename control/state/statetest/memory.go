// Package statetest provides an in-memory control state for tests.
package statetest

import (
	"cmp"
	"slices"
	"strings"

	"eiderway/control/replication"
	"eiderway/control/state"
)

// Memory is a control state that is neither replicated nor stored. It implements state.Reader.
type Memory struct{ entries []replication.Mutation } // sorted by key

// NewMemory returns an empty control state.
func NewMemory() *Memory { return &Memory{} }

// Entry implements state.Reader.
func (m *Memory) Entry(key string) ([]byte, bool) {
	index, found := m.find(key)
	if !found {
		return nil, false
	}
	return m.entries[index].Value, true
}

// Entries implements state.Reader.
func (m *Memory) Entries(prefix string) []replication.Mutation {
	start, _ := m.find(prefix)
	end := start
	for end < len(m.entries) && strings.HasPrefix(m.entries[end].Key, prefix) {
		end++
	}
	return slices.Clip(m.entries[start:end])
}

// Commit applies the changes of a transaction over this memory.
func (m *Memory) Commit(transaction *state.Transaction) {
	for _, mutation := range transaction.Mutations() {
		if mutation.Delete {
			m.remove(mutation.Key)
			continue
		}
		m.Put(mutation.Key, slices.Clone(mutation.Value))
	}
}

// Put sets an entry to any bytes, as a faulty disk could.
func (m *Memory) Put(key string, value []byte) {
	entry := replication.Mutation{Key: key, Value: value}
	index, found := m.find(key)
	if found {
		m.entries[index] = entry
		return
	}
	m.entries = slices.Insert(m.entries, index, entry)
}

func (m *Memory) remove(key string) {
	if index, found := m.find(key); found {
		m.entries = slices.Delete(m.entries, index, index+1)
	}
}

func (m *Memory) find(key string) (int, bool) {
	return slices.BinarySearchFunc(m.entries, key, func(entry replication.Mutation, key string) int {
		return cmp.Compare(entry.Key, key)
	})
}

// Clone returns an independent copy.
func (m *Memory) Clone() *Memory { return &Memory{entries: slices.Clone(m.entries)} }
