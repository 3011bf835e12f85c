package store

import (
	"fmt"
	"reflect"
	"strings"

	"eiderway/control/quorum"
	"eiderway/control/replication"
)

// runIncarnation is the incarnation under which the script is run.
const runIncarnation = quorum.Incarnation("recorded")

// script returns the writes of the recorded child process, one Apply for each step. They grow the file, split and merge pages, and
// replace all entries.
func script() [][]replication.Write {
	manyPuts := func(from, to int, value string) (mutations []replication.Mutation) {
		for number := from; number < to; number++ {
			mutations = append(mutations, put(fmt.Sprintf("instance/%04d", number), value))
		}
		return mutations
	}
	stamp := func(sequence uint64) *quorum.Stamp { return &quorum.Stamp{Epoch: 3, Sequence: sequence} }
	var deletions []replication.Mutation
	for number := range 150 {
		deletions = append(deletions, remove(fmt.Sprintf("instance/%04d", number)))
	}
	large := strings.Repeat("large configuration ", 6000)
	return [][]replication.Write{
		{{Voter: voterRecord(1)}},
		{{Stamp: stamp(1), Mutations: manyPuts(0, 40, "first")}},
		{{Stamp: stamp(2), Mutations: manyPuts(20, 30, "second")}, {Voter: voterRecord(2)}},
		{{Stamp: stamp(3), Mutations: []replication.Mutation{put("configuration", large)}}},
		{{Voter: voterRecord(3)}},
		{{Stamp: stamp(4), Mutations: manyPuts(0, 300, strings.Repeat("third", 20))}},
		{{Stamp: stamp(5), Mutations: []replication.Mutation{put("configuration", large[:len(large)/2])}}},
		{{Stamp: stamp(6), Mutations: deletions}},
		{{Replace: true, Stamp: stamp(7), Mutations: manyPuts(5, 25, "snapshot")}},
		{{Stamp: stamp(8), Mutations: manyPuts(0, 60, "fourth")}, {Stamp: stamp(9), Mutations: deletions[:50]}},
		{{Voter: voterRecord(4)}},
		{{Stamp: stamp(10), Mutations: []replication.Mutation{put("last", "x")}}},
	}
}

// scriptStates returns the state before the script and after each of its steps.
func scriptStates(start replication.DurableState) []replication.DurableState {
	states := []replication.DurableState{start}
	for _, writes := range script() {
		states = append(states, stateAfter(states[len(states)-1], writes))
	}
	return states
}

// stateAfter models Apply: it returns the state after the writes.
func stateAfter(before replication.DurableState, writes []replication.Write) replication.DurableState {
	after := before
	after.Entries = map[string][]byte{}
	for key, value := range before.Entries {
		after.Entries[key] = value
	}
	for _, write := range writes {
		if write.Voter != nil {
			after.Voter = *write.Voter
		}
		if write.Stamp != nil {
			after.Stamp = *write.Stamp
		}
		if write.Replace {
			after.Entries = map[string][]byte{}
		}
		for _, mutation := range write.Mutations {
			delete(after.Entries, mutation.Key)
			if !mutation.Delete {
				after.Entries[mutation.Key] = mutation.Value
			}
		}
	}
	return after
}

// freshState returns the state of a new incarnation in the recorded run.
func freshState() replication.DurableState {
	return replication.DurableState{Incarnation: runIncarnation, Voter: quorum.VoterRecord{MayFound: true}, Entries: map[string][]byte{}}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// stepOf returns the index of the found state among the states, or -1.
func stepOf(found replication.DurableState, states []replication.DurableState) int {
	for step, state := range states {
		if reflect.DeepEqual(found, state) {
			return step
		}
	}
	return -1
}
