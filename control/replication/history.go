package replication

import (
	"sort"
	"strings"

	"eiderway/control/quorum"
)

const (
	// maxKeptChanges bounds the changes that are kept for members that are a little behind.
	maxKeptChanges = 512
	// maxKeptBytes bounds their memory: a machine may have less than 200 MB.
	maxKeptBytes = 2 << 20
	// mutationOverhead is the estimated size of a mutation beyond its key and value.
	mutationOverhead = 16
	// smallStateBytes is the total size up to which changes are sent rather than a snapshot, however small the state is.
	smallStateBytes = 1 << 10
)

// history holds the state and the most recent changes that led to it.
type history struct {
	entries     map[string][]byte
	groups      map[string]map[string][]byte // the same entries by the part of their keys before the first slash
	size        int                          // bytes of all entries
	stamp       quorum.Stamp
	changes     []Change // newest changes, each applying to the state after the one before; the last led to the stamp
	changeBytes int      // total size of the changes
}

func newHistory(stamp quorum.Stamp, entries map[string][]byte) history {
	created := history{entries: make(map[string][]byte, len(entries)), groups: map[string]map[string][]byte{}, stamp: stamp}
	for key, value := range entries {
		created.put(key, value)
	}
	return created
}

// groupOf returns the part of a key before the first slash, which entries of one kind share.
func groupOf(key string) string {
	start, _, _ := strings.Cut(key, "/")
	return start
}

func (h *history) put(key string, value []byte) {
	h.remove(key)
	h.entries[key] = value
	group := h.groups[groupOf(key)]
	if group == nil {
		group = map[string][]byte{}
		h.groups[groupOf(key)] = group
	}
	group[key] = value
	h.size += entrySize(key, value)
}

func (h *history) remove(key string) {
	old, found := h.entries[key]
	if !found {
		return
	}
	h.size -= entrySize(key, old)
	delete(h.entries, key)
	delete(h.groups[groupOf(key)], key)
}

func entrySize(key string, value []byte) int { return len(key) + len(value) + mutationOverhead }

func changeSize(change Change) int {
	size := mutationOverhead
	for _, mutation := range change.Mutations {
		size += entrySize(mutation.Key, mutation.Value)
	}
	return size
}

// apply applies one change.
func (h *history) apply(change Change) {
	for _, mutation := range change.Mutations {
		if mutation.Delete {
			h.remove(mutation.Key)
			continue
		}
		h.put(mutation.Key, mutation.Value)
	}
	h.stamp = change.Stamp
	h.changes = append(h.changes, change)
	h.changeBytes += changeSize(change)
	for len(h.changes) > maxKeptChanges || (h.changeBytes > maxKeptBytes && len(h.changes) > 1) {
		h.changeBytes -= changeSize(h.changes[0])
		h.changes = h.changes[1:]
	}
}

// changesSince returns the changes that lead from the stamp to the current state, if all of them are kept.
func (h *history) changesSince(stamp quorum.Stamp) ([]Change, bool) {
	if stamp == h.stamp {
		return nil, true
	}
	for index := len(h.changes) - 1; index >= 0; index-- {
		if h.changes[index].Previous == stamp {
			return h.changes[index:], true
		}
	}
	return nil, false
}

// prefersChanges reports whether the changes should be sent rather than the state: they are no larger, or there is only one.
func (h *history) prefersChanges(changes []Change) bool {
	limit := max(h.size, smallStateBytes)
	for _, change := range changes {
		limit -= changeSize(change)
		if limit < 0 {
			return len(changes) == 1
		}
	}
	return true
}

// list returns the entries whose keys begin with the prefix, sorted by key.
func (h *history) list(prefix string) []Mutation {
	searched := h.entries
	if strings.Contains(prefix, "/") {
		searched = h.groups[groupOf(prefix)]
	}
	var found []Mutation
	for key, value := range searched {
		if strings.HasPrefix(key, prefix) {
			found = append(found, Mutation{Key: key, Value: value})
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	return found
}
