package replication

import (
	"sort"
	"strings"

	"eiderway/control/quorum"
)

const (
	// keptChanges bounds what is remembered for members that are a little behind.
	keptChanges = 512
	// keptBytes bounds the same in memory: a machine may have less than 200 MB.
	keptBytes = 2 << 20
	// mutationOverhead is what a mutation takes beside key and value.
	mutationOverhead = 16
	// smallState: up to this size changes are sent rather than a snapshot, whatever the size of the state.
	smallState = 1 << 10
)

// history is the state with the changes that led to it.
type history struct {
	entries map[string][]byte
	groups  map[string]map[string][]byte // the same entries by the start of their keys, up to the first slash
	size    int                          // bytes of all entries
	stamp   quorum.Stamp
	changes []Change // the newest, each applying to the one before; the last led to the stamp
	bytes   int      // of the changes
}

func newHistory(stamp quorum.Stamp, entries map[string][]byte) history {
	kept := history{entries: make(map[string][]byte, len(entries)), groups: map[string]map[string][]byte{}, stamp: stamp}
	for key, value := range entries {
		kept.put(key, value)
	}
	return kept
}

// groupOf is the start of a key that it shares with entries of its kind.
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

// apply makes one change.
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
	h.bytes += changeSize(change)
	for len(h.changes) > keptChanges || (h.bytes > keptBytes && len(h.changes) > 1) {
		h.bytes -= changeSize(h.changes[0])
		h.changes = h.changes[1:]
	}
}

// since returns the changes that lead from the stamp to the present state, if they are all kept.
func (h *history) since(stamp quorum.Stamp) ([]Change, bool) {
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

// worthwhile tells that sending the changes costs no more than sending the state.
func (h *history) worthwhile(changes []Change) bool {
	limit := max(h.size, smallState)
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
