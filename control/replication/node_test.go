package replication

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/quorum"
)

func member(name string) quorum.Member {
	return quorum.Member{Incarnation: quorum.Incarnation(name), Name: name, Address: name + ":1"}
}

// threeVoters returns a view with a as primary and all voters as copies.
func threeVoters() quorum.View {
	return quorum.View{
		ID:      quorum.ViewID{Epoch: 3, Revision: 1},
		Primary: "a",
		Copies:  []quorum.Incarnation{"a", "b", "c"},
		Voters:  []quorum.Member{member("a"), member("b"), member("c")},
	}
}

// newBackup returns node b of a core that has a committed view.
func newBackup() *Node {
	return NewNode(0, Settings{Self: member("b"), Tolerance: 1, Timing: DefaultTiming(), Random: 1}, DurableState{
		Incarnation: "b",
		Voter:       quorum.VoterRecord{Promised: 3, Accepted: threeVoters()},
		Stamp:       quorum.Stamp{Epoch: 3, Sequence: 7},
		Entries:     map[string][]byte{"k": []byte("v")},
	})
}

// appendFromA returns an Append of a to b.
func appendFromA(epoch quorum.Epoch, round uint64, content Append) Received {
	return Received{Message: Message{From: member("a"), To: "b", Epoch: epoch, Request: round, Append: &content}}
}

func change(sequence uint64) Change {
	return Change{
		Stamp:     quorum.Stamp{Epoch: 3, Sequence: sequence},
		Previous:  quorum.Stamp{Epoch: 3, Sequence: sequence - 1},
		Mutations: []Mutation{{Key: fmt.Sprint(sequence), Value: []byte("v")}},
	}
}

func appendAnswers(effects Effects) []AppendAnswer {
	var found []AppendAnswer
	for _, envelope := range effects.Send {
		if envelope.Message.AppendAnswer != nil {
			found = append(found, *envelope.Message.AppendAnswer)
		}
	}
	return found
}

func TestBackupAcknowledgesOnlySyncedChanges(t *testing.T) {
	is := is.New(t)
	node := newBackup()
	effects := node.Step(0, appendFromA(3, 1, Append{Changes: []Change{change(8), change(9)}}))
	is.Equal(len(effects.Writes), 1) // both in one write
	is.Equal(*effects.Writes[0].Stamp, quorum.Stamp{Epoch: 3, Sequence: 9})
	is.Equal(len(appendAnswers(effects)), 0)
	effects = node.Step(maxAnswerDelay, Tick{}) // the sync takes long: the answer reports what is synced so far
	is.Equal(appendAnswers(effects)[0].Received.Sequence, uint64(9))
	is.Equal(appendAnswers(effects)[0].Synced.Sequence, uint64(7))
	effects = node.Step(maxAnswerDelay, Persisted{Write: 1})
	is.Equal(appendAnswers(effects)[0].Synced.Sequence, uint64(9))
}

func TestFailedWriteIsNotAcknowledgedUntilStateIsRewritten(t *testing.T) {
	is := is.New(t)
	node := newBackup()
	node.Step(0, appendFromA(3, 1, Append{Changes: []Change{change(8)}}))
	node.Step(time.Millisecond, DiskFailed{Write: 1})
	effects := node.Step(2*time.Millisecond, appendFromA(3, 2, Append{Changes: []Change{change(9)}}))
	is.Equal(len(effects.Writes), 0)
	is.Equal(appendAnswers(effects)[0].Synced.Sequence, uint64(7))
	effects = node.Step(2*time.Millisecond, Persisted{Write: 1}) // for a write that has failed
	is.Equal(len(appendAnswers(effects)), 0)
	effects = node.Step(time.Millisecond+diskRetry, Tick{})
	is.Equal(len(effects.Writes), 1)
	is.True(effects.Writes[0].Replace && effects.Writes[0].Voter != nil)
	is.Equal(len(effects.Writes[0].Mutations), 3)
	effects = node.Step(time.Millisecond+diskRetry, Persisted{Write: 2})
	is.Equal(appendAnswers(effects)[0].Synced.Sequence, uint64(9))
}

func TestPromiseWaitsForSyncAndIsGivenOncePerEpoch(t *testing.T) {
	is := is.New(t)
	node := newBackup()
	prepare := func(from string, epoch quorum.Epoch) Effects {
		return node.Step(0, Received{Message: Message{
			From: member(from), To: "b", Epoch: epoch, Request: 5, Prepare: &Prepare{View: threeVoters()},
		}})
	}
	effects := prepare("c", 4)
	is.Equal(len(effects.Writes), 1)
	is.Equal(effects.Send[0].After, effects.Writes[0].Number)
	is.Equal(effects.Send[0].Message.Promise.Stamp.Sequence, uint64(7))
	is.True(prepare("a", 4).Send[0].Message.Refusal != nil)
	is.True(prepare("c", 4).Send[0].Message.Promise != nil) // the candidate repeats its question
	is.True(prepare("c", 3).Send[0].Message.Refusal != nil)
	effects = node.Step(0, appendFromA(3, 9, Append{Changes: []Change{change(8)}}))
	is.Equal(effects.Send[0].Message.Refusal.Promised, quorum.Epoch(4))
	is.Equal(len(effects.Writes), 0)
}

func TestCopyNeverRegressesWithinEpoch(t *testing.T) {
	is := is.New(t)
	node := newBackup()
	offer := func(sequence uint64) []Envelope {
		stamp := quorum.Stamp{Epoch: 3, Sequence: sequence}
		return node.Step(0, appendFromA(3, 2, Append{Snapshot: &SnapshotOffer{Stamp: stamp, Pieces: 1}})).Send
	}
	for _, envelope := range offer(5) {
		is.True(envelope.Message.Fetch == nil)
	}
	var fetch Message
	for _, envelope := range offer(20) {
		if envelope.Message.Fetch != nil {
			fetch = envelope.Message
		}
	}
	is.True(fetch.Fetch != nil)
	node.Step(0, Received{Message: Message{
		From: member("a"), To: "b", Epoch: 3, Request: fetch.Request,
		Piece: &Piece{Stamp: quorum.Stamp{Epoch: 3, Sequence: 6}, Total: 1},
	}})
	_, found := node.Entry("k")
	is.True(found)
}

func TestForeignAndUnsolicitedMessagesAreDroppedAndCounted(t *testing.T) {
	is := is.New(t)
	node := newBackup()
	rejected := []Message{
		{From: member("a"), To: "x", Epoch: 3, Request: 1, Append: &Append{}}, // for another incarnation
		{From: member("b"), To: "b", Epoch: 3, Append: &Append{}},             // from itself
		{From: member("a"), To: "b", Epoch: 3},                                // empty
		{From: member("a"), To: "b", Epoch: 3, Request: 9, AppendAnswer: &AppendAnswer{}},
		{From: member("a"), To: "b", Epoch: 9, Request: 9, Promise: &Promise{}},
		{From: member("a"), To: "b", Epoch: 9, Request: 9, Refusal: &Refusal{Promised: 10}},
		{From: member("a"), To: "b", Request: 9, PollAnswer: &PollAnswer{Missing: true}},
		{From: member("a"), To: "b", Epoch: 3, Request: 9, Piece: &Piece{Total: 1}},
		{From: member("a"), To: "b", Epoch: 4, Fetch: &Fetch{}},
		{From: member("a"), To: "b", Request: 9, JoinAnswer: &JoinAnswer{}},
		{From: member("c"), To: "b", Epoch: 3, Handover: &Handover{}}, // not the primary
	}
	for index, message := range rejected {
		effects := node.Step(0, Received{Message: message})
		is.Equal(len(effects.Writes), 0)
		is.Equal(node.DroppedMessages(), uint64(index+1))
	}
	is.Equal(node.View().ID, threeVoters().ID)
}

func TestOnlyPrimaryAcceptsProposalsAndConfirms(t *testing.T) {
	is := is.New(t)
	node := newBackup()
	effects := node.Step(0, Propose{Request: 1})
	is.Equal(effects.Decisions, []Decision{{Request: 1, Outcome: NotPrimary}})
	effects = node.Step(0, Confirm{Request: 2})
	is.Equal(effects.Decisions, []Decision{{Request: 2, Outcome: NotPrimary}})
	is.Equal(node.Role(), Backup)
	is.True(!node.MayPropose())
}

func TestConfirmsShareRoundsAndTimeOut(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, 3, 1, disabledGuards{})
	w.clientActive = false
	w.run(time.Second)
	primary := w.primary()
	rounds := primary.node.leadership.round
	for request := uint64(1); request <= 50; request++ {
		w.checker.recordConfirm(w, request)
		w.step(primary, Confirm{Request: request})
	}
	w.run(60 * time.Millisecond)
	is.Equal(w.checker.confirmsDone, 50)
	is.True(primary.node.leadership.round-rounds <= 3)
	w.isolate(primary)
	w.step(primary, Confirm{Request: 99})
	var ended []Decision
	for startedAt := w.now; len(ended) == 0 && w.now-startedAt < 2*time.Second; w.now += tickInterval {
		ended = primary.node.Step(w.now, Tick{}).Decisions
	}
	is.Equal(ended, []Decision{{Request: 99, Outcome: Unknown}})
}

func TestEntriesAreSorted(t *testing.T) {
	is := is.New(t)
	state := newHistory(quorum.Stamp{}, map[string][]byte{"b/2": nil, "a/1": nil, "b/1": nil})
	var keys []string
	for _, entry := range state.list("b/") {
		keys = append(keys, entry.Key)
	}
	is.True(slices.Equal(keys, []string{"b/1", "b/2"}))
	state.apply(Change{Mutations: []Mutation{{Key: "a/1", Delete: true}, {Key: "b/1", Value: []byte("xyz")}}})
	is.Equal(state.size, 2*mutationOverhead+len("b/1")+len("b/2")+len("xyz"))
}

func TestKeptChangesAreBounded(t *testing.T) {
	is := is.New(t)
	state := newHistory(quorum.Stamp{Epoch: 3}, nil)
	for sequence := uint64(1); sequence <= 2*maxKeptChanges; sequence++ {
		state.apply(change(sequence))
	}
	is.Equal(len(state.changes), maxKeptChanges)
	_, found := state.changesSince(quorum.Stamp{Epoch: 3, Sequence: 1})
	is.True(!found)
	big := change(2*maxKeptChanges + 1)
	big.Mutations = []Mutation{{Key: "big", Value: make([]byte, maxKeptBytes)}}
	state.apply(big)
	is.Equal(len(state.changes), 1)
}

func TestTruncatedSnapshotIsRejected(t *testing.T) {
	is := is.New(t)
	whole := encodeEntries([]Mutation{{Key: "a", Value: []byte("1")}, {Key: "b", Value: make([]byte, 300)}})
	entries, err := decodeEntries(whole)
	is.NoErr(err)
	is.Equal(len(entries["b"]), 300)
	_, err = decodeEntries(whole[:len(whole)-1])
	is.True(err != nil)
}

func TestEveryMessageSurvivesGob(t *testing.T) {
	is := is.New(t)
	view := threeVoters()
	primary := member("a")
	messages := []Message{
		{Poll: &Poll{}}, {PollAnswer: &PollAnswer{View: &view}}, {Prepare: &Prepare{View: view, Seeds: []string{"a:1"}}},
		{Promise: &Promise{}}, {Append: &Append{View: &view, Changes: []Change{change(1)}, Snapshot: &SnapshotOffer{}}},
		{AppendAnswer: &AppendAnswer{}}, {Refusal: &Refusal{}}, {Fetch: &Fetch{}}, {Piece: &Piece{Bytes: []byte("x")}},
		{Join: &Join{}}, {JoinAnswer: &JoinAnswer{Primary: &primary}}, {Handover: &Handover{}},
	}
	var wire bytes.Buffer
	encoder := gob.NewEncoder(&wire)
	decoder := gob.NewDecoder(&wire)
	for _, sent := range messages {
		sent.From, sent.To, sent.Epoch, sent.Request = member("a"), "b", 4, 9
		is.NoErr(encoder.Encode(sent))
		var got Message
		is.NoErr(decoder.Decode(&got))
		is.Equal(got, sent)
	}
}
