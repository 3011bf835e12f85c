package store

import (
	"bytes"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"eiderway/control/quorum"
	"eiderway/control/replication"
)

// dumped creates a file with entries that are hard to represent as text, and returns its path, its state and its dump.
func dumped(t *testing.T) (string, replication.DurableState, string) {
	t.Helper()
	is := is.New(t)
	directory := t.TempDir()
	store, state, err := Open(directory, Options{Log: silent(), NewIncarnation: numbered()})
	is.NoErr(err)
	writes := []replication.Write{{
		Voter: voterRecord(7),
		Stamp: &quorum.Stamp{Epoch: 7, Sequence: 1 << 63},
		Mutations: []replication.Mutation{
			put("text", `{"a": "<b> & \u2028 c"}`), put("empty", ""), put("lines", "a\nb\x00"), put("replacement", "\ufffd"),
			put("binary", "\xff\xfe\x00"), put("key \xff", "value"), put("große", "schlüssel"),
		},
	}}
	is.NoErr(store.Apply(writes))
	is.NoErr(store.Close())
	path := filepath.Join(directory, FileName)
	var dump bytes.Buffer
	is.NoErr(Dump(path, &dump))
	return path, stateAfter(state, writes), dump.String()
}

func TestDumpAndRestore(t *testing.T) {
	is := is.New(t)
	path, state, dump := dumped(t)
	is.True(strings.Contains(dump, `{"Key":"große","Value":"schlüssel"}`)) // readable text

	directory := t.TempDir()
	restored := filepath.Join(directory, FileName)
	is.NoErr(Restore(strings.NewReader(dump), restored))
	store, found, err := Open(directory, Options{Log: silent()})
	is.NoErr(err)
	state.Voter.Restored = true // a dump lacks what was acknowledged after it was made
	is.Equal(found, state)
	is.NoErr(store.Apply(mutate(put("more", "x"))))
	is.NoErr(store.Close())

	is.True(errors.Is(Restore(strings.NewReader(dump), path), ErrExists))
	is.True(Restore(strings.NewReader(dump), filepath.Join(directory, "other.db")) != nil)
}

func TestIncompleteOrChangedDumpIsRejected(t *testing.T) {
	is := is.New(t)
	_, _, dump := dumped(t)
	lines := strings.SplitAfter(strings.TrimSuffix(dump, "\n"), "\n")
	for name, damagedDump := range map[string]string{
		"empty":          "",
		"missing line":   strings.Join(lines[:len(lines)-1], ""),
		"truncated line": dump[:len(dump)-5],
		"duplicate line": dump + lines[len(lines)-1],
		"changed":        strings.Replace(dump, "schlüssel", "schlussel", 1),
		"newer format":   strings.Replace(dump, `"Format":1`, `"Format":2`, 1),
		"no format":      strings.Replace(dump, `"Format":1,`, ``, 1),
		"other promise":  strings.Replace(dump, `"Promised":7`, `"Promised":6`, 1),
		"no incarnation": strings.Replace(dump, `"Incarnation":"incarnation-1"`, `"Incarnation":""`, 1),
		"trailing data":  dump + "x",
	} {
		path := filepath.Join(t.TempDir(), FileName)
		if err := Restore(strings.NewReader(damagedDump), path); err == nil {
			t.Errorf("%s: the dump was restored", name)
		}
		_, err := Check(path)
		is.True(err != nil) // no file was left
	}
}

func TestCheckReports(t *testing.T) {
	is := is.New(t)
	path, state, _ := dumped(t)
	report, err := Check(path)
	is.NoErr(err)
	is.Equal(report.Incarnation, state.Incarnation)
	is.Equal(report.Voter, state.Voter)
	is.Equal(report.Stamp, state.Stamp)
	is.Equal(report.Entries, len(state.Entries))
	is.True(report.UsedBytes > 0 && report.UsedBytes <= report.FileBytes)
	var text bytes.Buffer
	is.NoErr(Inspect(path, &text))
	is.True(strings.Contains(text.String(), "view         7.2, 2 voters, 2 copies\n"))
}

// The text is the one in docs/operators/control-state.md.
func ExampleReport_String() {
	member := func(incarnation quorum.Incarnation, name, address string) quorum.Member {
		return quorum.Member{Incarnation: incarnation, Name: name, Address: address}
	}
	fmt.Print(Report{
		Path:        "/var/lib/eiderway/control.db",
		Format:      formatVersion,
		Incarnation: "4f1c9a02d7b3e85166a0c2f4",
		Voter: quorum.VoterRecord{
			Promised: 7,
			Accepted: quorum.View{
				ID:      quorum.ViewID{Epoch: 7, Revision: 2},
				Primary: "4f1c9a02d7b3e85166a0c2f4",
				Copies:  []quorum.Incarnation{"4f1c9a02d7b3e85166a0c2f4", "9b07e3d15c2a48f0b6d1e977"},
				Voters: []quorum.Member{
					member("4f1c9a02d7b3e85166a0c2f4", "core-1", "10.0.0.1:7946"),
					member("9b07e3d15c2a48f0b6d1e977", "core-2", "10.0.0.2:7946"),
					member("c83e10a9f45d7b62e0945c1d", "core-3", "10.0.0.3:7946"),
				},
			},
		},
		Stamp:      quorum.Stamp{Epoch: 7, Sequence: 1841},
		Entries:    212,
		EntryBytes: 48210,
		FileBytes:  217088,
		UsedBytes:  81920,
	})
	// Output:
	// file         /var/lib/eiderway/control.db
	// format       1
	// incarnation  4f1c9a02d7b3e85166a0c2f4
	// promised     epoch 7
	// view         7.2, 3 voters, 2 copies
	// voter        4f1c9a02d7b3e85166a0c2f4 core-1 at 10.0.0.1:7946, primary
	// voter        9b07e3d15c2a48f0b6d1e977 core-2 at 10.0.0.2:7946, copy
	// voter        c83e10a9f45d7b62e0945c1d core-3 at 10.0.0.3:7946
	// may found    false
	// stamp        7.1841
	// entries      212, 48210 bytes
	// size         217088 bytes, 81920 in use
}
