package replication

import (
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// byteCount counts what is written to it.
type byteCount struct{ total int }

func (b *byteCount) Write(bytes []byte) (int, error) {
	b.total += len(bytes)
	return len(bytes), nil
}

// gobSize measures messages as they travel on one connection, the description of the types left out.
func gobSize() func(Message) int {
	count := &byteCount{}
	encoder := gob.NewEncoder(count)
	return func(message Message) int {
		before := count.total
		if err := encoder.Encode(message); err != nil {
			panic(err)
		}
		return count.total - before
	}
}

// commit makes one change at the primary and waits for it.
func (w *world) commit(mutations []Mutation) {
	for end := w.now + 5*time.Second; w.now < end; {
		if leads := w.primary(); leads != nil && leads.node.MayPropose() {
			w.requests++
			w.step(leads, Propose{Request: w.requests, Mutations: mutations})
			for ; leads.node.leads() && leads.node.leadership.pending != nil && w.now < end; w.run(time.Millisecond) {
			}
			return
		}
		w.run(5 * time.Millisecond)
	}
	panic("no primary")
}

// catchUpCost is what it takes to bring a member up that was away for so many changes, beside the usual heartbeats.
func catchUpCost(t *testing.T, entries, changes int) (messages, bytes int) {
	t.Helper()
	w := newWorld(1, 3, 3, 1, disabledGuards{})
	w.client = false
	w.run(time.Second)
	var state []Mutation
	for index := 0; index < entries; index++ {
		state = append(state, Mutation{Key: fmt.Sprintf("entry/%04d", index), Value: make([]byte, 100)})
	}
	w.commit(state)
	away := w.machine("c")
	w.isolate(away)
	for index := 0; index < changes; index++ {
		key := fmt.Sprintf("entry/%04d", index%entries)
		w.commit([]Mutation{{Key: key, Value: make([]byte, 100)}})
	}
	measure := gobSize()
	measure(Message{Append: &Append{}}) // the description of the types
	clear(w.cut)
	w.messages, w.sentBytes, w.bytes = 0, 0, measure
	goal := w.primary().node.Stamp()
	begin := w.now
	for away.node.Stamp() != goal {
		w.run(time.Millisecond)
		if w.now-begin > 4*time.Second {
			t.Fatalf("not caught up after %s: %s", w.now-begin, w.describe())
		}
	}
	return w.messages, w.sentBytes
}

// TestCatchingUpCostsBySizeNotByHistory brings a member up after 10, 100 and 1,000 missed changes.
func TestCatchingUpCostsBySizeNotByHistory(t *testing.T) {
	for _, entries := range []int{10, 1000} {
		is := is.New(t)
		size := entries * (100 + len("entry/0000") + mutationOverhead)
		mostBytes := max(size, smallState) + 4*1024 // heartbeats and heads of messages included
		for _, changes := range []int{10, 100, 1000} {
			messages, bytes := catchUpCost(t, entries, changes)
			t.Logf("%d entries, %d changes missed: %d messages, %d bytes", entries, changes, messages, bytes)
			is.True(bytes <= mostBytes)                   // bounded by the size of the state
			is.True(messages <= 16+2*(1+size/pieceBytes)) // and so are the messages
		}
	}
}

// TestASnapshotDoesNotStartAgainBecauseOfChanges fetches a big state while changes go on.
func TestASnapshotDoesNotStartAgainBecauseOfChanges(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, 3, 1, disabledGuards{})
	w.client = false
	w.run(time.Second)
	w.commit([]Mutation{{Key: "big", Value: make([]byte, 1<<20)}})
	w.wipe(w.machine("c"))
	w.run(2 * time.Second)
	w.client = true
	fresh := w.machine("c")
	w.start(fresh)
	begin := w.now
	for fresh.node.Role() != Backup {
		w.run(time.Millisecond)
		is.True(w.now-begin < 2*time.Second) // 65 pieces of some 4 ms each
	}
	installed := 0
	for _, event := range fresh.events {
		if event.What == "snapshot installed" && fresh.lives == 2 {
			installed++
		}
	}
	is.Equal(installed, 1)
	is.Equal(w.judge.broken, "")
}
