package state

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"eiderway/control/guard"
	"eiderway/control/replication"
)

// Transaction is an overlay over a Reader, which must not change meanwhile. Commands are applied to it one by one, and each
// sees the effects of those before it. A Transaction is a Reader itself.
type Transaction struct {
	base       Reader
	changed    map[string]replication.Mutation
	disabled   guard.Set
	violations []string // invariants that a refused change would have violated
}

// NewTransaction returns a transaction without changes.
func NewTransaction(reader Reader) *Transaction {
	return &Transaction{base: reader, changed: make(map[string]replication.Mutation)}
}

// DisableGuards disables the given guards, for tests that show what each of them prevents.
func (t *Transaction) DisableGuards(guards guard.Set) *Transaction {
	t.disabled = guards
	return t
}

// Entry returns the value of a key. It must not be modified.
func (t *Transaction) Entry(key string) ([]byte, bool) {
	if mutation, found := t.changed[key]; found {
		return mutation.Value, !mutation.Delete
	}
	return t.base.Entry(key)
}

// Entries returns the entries whose keys start with the prefix, sorted by key. They must not be modified.
func (t *Transaction) Entries(prefix string) []replication.Mutation {
	base := t.base.Entries(prefix)
	changed := t.changesWithPrefix(prefix)
	if len(changed) == 0 {
		return base
	}
	merged := make([]replication.Mutation, 0, len(base)+len(changed))
	for _, entry := range base {
		if _, replaced := t.changed[entry.Key]; !replaced {
			merged = append(merged, entry)
		}
	}
	for _, mutation := range changed {
		if !mutation.Delete {
			merged = append(merged, mutation)
		}
	}
	sortByKey(merged)
	return merged
}

// Violations returns the invariants that refused changes would have violated.
func (t *Transaction) Violations() []string { return t.violations }

// Mutations returns the net changes, sorted by key. It is empty if every entry is as before.
func (t *Transaction) Mutations() []replication.Mutation {
	mutations := t.changesWithPrefix("")
	sortByKey(mutations)
	return mutations
}

func (t *Transaction) changesWithPrefix(prefix string) []replication.Mutation {
	var mutations []replication.Mutation
	for key, mutation := range t.changed {
		if strings.HasPrefix(key, prefix) {
			mutations = append(mutations, mutation)
		}
	}
	return mutations
}

func sortByKey(mutations []replication.Mutation) {
	slices.SortFunc(mutations, func(a, b replication.Mutation) int { return cmp.Compare(a.Key, b.Key) })
}

// set writes an entry. A value equal to that of the base is not recorded as a change.
func (t *Transaction) set(key string, value []byte) {
	before, found := t.base.Entry(key)
	if found && bytes.Equal(before, value) {
		delete(t.changed, key)
		return
	}
	t.changed[key] = replication.Mutation{Key: key, Value: value}
}

// drop deletes an entry. The deletion of an entry that the base doesn't have is not recorded as a change.
func (t *Transaction) drop(key string) {
	if _, found := t.base.Entry(key); !found {
		delete(t.changed, key)
		return
	}
	t.changed[key] = replication.Mutation{Key: key, Delete: true}
}
