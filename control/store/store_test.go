package store

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"eiderway/control/quorum"
	"eiderway/control/replication"
)

// silent returns a logger that discards its output.
func silent() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// numbered returns a generator of incarnations that tests can tell apart.
func numbered() func() quorum.Incarnation {
	count := 0
	return func() quorum.Incarnation {
		count++
		return quorum.Incarnation(fmt.Sprintf("incarnation-%d", count))
	}
}

func put(key, value string) replication.Mutation {
	return replication.Mutation{Key: key, Value: []byte(value)}
}

func remove(key string) replication.Mutation { return replication.Mutation{Key: key, Delete: true} }

func mutate(mutations ...replication.Mutation) []replication.Write {
	return []replication.Write{{Mutations: mutations}}
}

func voterRecord(epoch quorum.Epoch) *quorum.VoterRecord {
	return &quorum.VoterRecord{
		Promised: epoch,
		Accepted: quorum.View{
			ID:      quorum.ViewID{Epoch: epoch, Revision: 2},
			Primary: "a",
			Copies:  []quorum.Incarnation{"a", "b"},
			Voters:  []quorum.Member{{Incarnation: "a", Name: "core-1", Address: "10.0.0.1:7000"}, {Incarnation: "b"}},
		},
		MayFound: true,
	}
}

func TestStateIsReadBack(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	store, first, err := Open(directory, Options{Log: silent()})
	is.NoErr(err)
	is.Equal(len(first.Incarnation), 2*incarnationBytes) // random bytes in hex
	is.Equal(len(first.Entries), 0)
	is.True(!first.Voter.MayFound)

	is.NoErr(store.Apply([]replication.Write{
		{Number: 1, Voter: voterRecord(3)},
		{Number: 2, Stamp: &quorum.Stamp{Epoch: 3, Sequence: 1}, Mutations: []replication.Mutation{
			put("a", "old"), put("b", "2"), put("a", "1"), {Key: "empty"}, {Key: "empty"}, put("gone", "x"), remove("gone"), remove("never"),
		}},
	}))
	is.NoErr(store.Apply([]replication.Write{{Number: 3, Stamp: &quorum.Stamp{Epoch: 3, Sequence: 2}, Mutations: []replication.Mutation{remove("b")}}}))
	is.NoErr(store.Close())
	is.Equal(store.Apply(nil), ErrClosed)

	store, again, err := Open(directory, Options{Log: silent(), FirstStart: true})
	is.NoErr(err)
	is.Equal(again, replication.DurableState{
		Incarnation: first.Incarnation,
		Voter:       *voterRecord(3),
		Stamp:       quorum.Stamp{Epoch: 3, Sequence: 2},
		Entries:     map[string][]byte{"a": []byte("1"), "empty": {}},
	})
	is.NoErr(store.Apply([]replication.Write{
		{Mutations: []replication.Mutation{put("dropped", "x")}},
		{Replace: true, Mutations: []replication.Mutation{put("c", "3")}},
	}))
	is.NoErr(store.Close())

	store, replaced, err := Open(directory, Options{Log: silent()})
	is.NoErr(err)
	is.Equal(replaced.Entries, map[string][]byte{"c": []byte("3")})
	is.NoErr(store.Close())
}

func TestFirstStartMayFoundAlsoAfterRestart(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	store, durable, err := Open(directory, Options{Log: silent(), FirstStart: true, NewIncarnation: numbered()})
	is.NoErr(err)
	is.Equal(durable.Incarnation, quorum.Incarnation("incarnation-1"))
	is.True(durable.Voter.MayFound)
	is.NoErr(store.Close())
	store, durable, err = Open(directory, Options{Log: silent()})
	is.NoErr(err)
	is.True(durable.Voter.MayFound) // a restart before the core is founded keeps it
	is.NoErr(store.Close())
}

func TestFileInUseIsRefused(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	store, _, err := Open(directory, Options{Log: silent()})
	is.NoErr(err)
	_, err = Check(filepath.Join(directory, FileName))
	is.True(isErr(err, ErrInUse))
	_, _, err = Open(directory, Options{Log: silent()})
	is.True(isErr(err, ErrInUse))
	is.NoErr(store.Close())
	is.Equal(names(t, directory), []string{FileName}) // nothing was set aside
}

func TestFileStaysSmall(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	store, _, err := Open(directory, Options{Log: silent()})
	is.NoErr(err)
	const configuration = 40_000
	for round := range 400 {
		body := bytes.Repeat([]byte{byte(round)}, configuration+round*10)
		is.NoErr(store.Apply([]replication.Write{{Mutations: []replication.Mutation{
			{Key: "configuration", Value: body},
			put(fmt.Sprintf("instance/%d", round%50), fmt.Sprint(round)),
			put(fmt.Sprintf("digest/%d", round), "0123456789abcdef0123456789abcdef"),
		}}}))
	}
	is.NoErr(store.Close())
	info, err := os.Stat(filepath.Join(directory, FileName))
	is.NoErr(err)
	is.True(info.Size() < 512<<10) // the body of 40 KB is rewritten 400 times
	t.Logf("file: %d bytes", info.Size())
}

func TestDamageIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(directory, FileName), []byte("not a database"), fileMode))
	log, lines := test.NewNullLogger()
	store, _, err := Open(directory, Options{Log: log})
	is.NoErr(err)
	is.NoErr(store.Close())
	is.Equal(len(lines.AllEntries()), 1)
	is.Equal(lines.LastEntry().Level, logrus.ErrorLevel)
}
