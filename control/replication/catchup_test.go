package replication

import (
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// byteCounter counts the bytes written to it.
type byteCounter struct{ total int }

func (b *byteCounter) Write(bytes []byte) (int, error) {
	b.total += len(bytes)
	return len(bytes), nil
}

// gobSize returns a function that measures the encoded size of messages sent on one connection.
func gobSize() func(Message) int {
	counter := &byteCounter{}
	encoder := gob.NewEncoder(counter)
	return func(message Message) int {
		before := counter.total
		if err := encoder.Encode(message); err != nil {
			panic(err)
		}
		return counter.total - before
	}
}

// commit proposes one change to the primary and waits for its end.
func (w *world) commit(mutations []Mutation) {
	for end := w.now + 5*time.Second; w.now < end; {
		if primary := w.primary(); primary != nil && primary.node.MayPropose() {
			w.requests++
			w.step(primary, Propose{Request: w.requests, Mutations: mutations})
			for ; primary.node.leads() && primary.node.leadership.pending != nil && w.now < end; w.run(time.Millisecond) {
			}
			return
		}
		w.run(5 * time.Millisecond)
	}
	panic("no primary")
}

// catchUpCost returns how many messages and bytes are sent until a member that missed so many changes has caught up.
func catchUpCost(t *testing.T, entries, changes int) (messages, bytes int) {
	t.Helper()
	w := newWorld(1, 3, 3, 1, disabledGuards{})
	w.clientActive = false
	w.run(time.Second)
	var state []Mutation
	for index := 0; index < entries; index++ {
		state = append(state, Mutation{Key: fmt.Sprintf("entry/%04d", index), Value: make([]byte, 100)})
	}
	w.commit(state)
	lagging := w.machine("c")
	w.isolate(lagging)
	for index := 0; index < changes; index++ {
		key := fmt.Sprintf("entry/%04d", index%entries)
		w.commit([]Mutation{{Key: key, Value: make([]byte, 100)}})
	}
	sizeOf := gobSize()
	sizeOf(Message{Append: &Append{}}) // gob sends the description of the types only once, with the first message
	clear(w.cutLinks)
	w.messages, w.sentBytes, w.bytes = 0, 0, sizeOf
	goal := w.primary().node.Stamp()
	startedAt := w.now
	for lagging.node.Stamp() != goal {
		w.run(time.Millisecond)
		if w.now-startedAt > 4*time.Second {
			t.Fatalf("not caught up after %s: %s", w.now-startedAt, w.describe())
		}
	}
	return w.messages, w.sentBytes
}

// TestCatchUpCostIsBoundedByStateSize guards against a cost that grows with the number of missed changes.
func TestCatchUpCostIsBoundedByStateSize(t *testing.T) {
	for _, entries := range []int{10, 1000} {
		is := is.New(t)
		size := entries * (100 + len("entry/0000") + mutationOverhead)
		mostBytes := max(size, smallStateBytes) + 4*1024 // includes heartbeats and message headers
		for _, changes := range []int{10, 100, 1000} {
			messages, bytes := catchUpCost(t, entries, changes)
			t.Logf("%d entries, %d changes missed: %d messages, %d bytes", entries, changes, messages, bytes)
			is.True(bytes <= mostBytes)                   // bounded by the size of the state
			is.True(messages <= 16+2*(1+size/pieceBytes)) // and so are the messages
		}
	}
}

// TestChangesDoNotRestartSnapshotFetch guards against a fetch of a large state that starts again with every change.
func TestChangesDoNotRestartSnapshotFetch(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, 3, 1, disabledGuards{})
	w.clientActive = false
	w.run(time.Second)
	w.commit([]Mutation{{Key: "big", Value: make([]byte, 1<<20)}})
	w.wipe(w.machine("c"))
	w.run(2 * time.Second)
	w.clientActive = true
	fresh := w.machine("c")
	w.start(fresh)
	startedAt := w.now
	for fresh.node.Role() != Backup {
		w.run(time.Millisecond)
		is.True(w.now-startedAt < 2*time.Second) // 65 pieces of some 4 ms each
	}
	installed := 0
	for _, event := range fresh.events {
		if event.What == "snapshot installed" && fresh.diskCount == 2 {
			installed++
		}
	}
	is.Equal(installed, 1)
	is.Equal(w.checker.violation, "")
}
