package store

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"unicode/utf8"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"
)

// dumpHead is the first line of a dump.
type dumpHead struct {
	Format  int    // version of the dump, equal to that of the file
	HeadSum uint64 // checksum of the rest of the line
	head
}

// dumpEntry is each further line. A key or value that is not UTF-8 is written as bytes (base64 in JSON).
type dumpEntry struct {
	Key        string `json:",omitempty"`
	KeyBytes   []byte `json:",omitempty"`
	Value      string `json:",omitempty"`
	ValueBytes []byte `json:",omitempty"`
}

func newDumpEntry(key string, value []byte) dumpEntry {
	var entry dumpEntry
	if utf8.ValidString(key) {
		entry.Key = key
	} else {
		entry.KeyBytes = []byte(key)
	}
	if utf8.Valid(value) {
		entry.Value = string(value)
	} else {
		entry.ValueBytes = value
	}
	return entry
}

func (e dumpEntry) key() string   { return e.Key + string(e.KeyBytes) }
func (e dumpEntry) value() []byte { return append([]byte(e.Value), e.ValueBytes...) }

// Dump writes the content of a file as lines of JSON: the controller's own record, then the entries sorted by key.
func Dump(path string, out io.Writer) error {
	found, _, err := readShared(path)
	if err != nil {
		return err
	}
	sum, err := headSum(found.head)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(dumpHead{Format: formatVersion, HeadSum: sum, head: found.head}); err != nil {
		return eris.Wrap(err, "dump the control state")
	}
	keys := lo.Keys(found.entries)
	slices.Sort(keys)
	for _, key := range keys {
		if err := encoder.Encode(newDumpEntry(key, found.entries[key])); err != nil {
			return eris.Wrap(err, "dump the control state")
		}
	}
	return nil
}

// Restore creates the file at the path, which must not exist, from a complete dump.
//
// The file belongs to the incarnation of the dump. It must not be used if that controller has run since the dump was made: the
// controller would have lost the promises and acknowledgements that it has sent since.
func Restore(dump io.Reader, path string) error {
	if filepath.Base(path) != FileName {
		return eris.Errorf("the file of a control state must be named %s, not %s", FileName, filepath.Base(path))
	}
	if _, err := os.Stat(path); err == nil {
		return eris.Wrap(ErrExists, path)
	} else if !errors.Is(err, os.ErrNotExist) {
		return eris.Wrap(err, "restore the control state")
	}
	whole, err := readDump(json.NewDecoder(dump))
	if err != nil {
		return err
	}
	whole.head.Voter.Restored = true
	return writeFile(filepath.Dir(path), whole)
}

func readDump(decoder *json.Decoder) (contents, error) {
	read, err := readDumpHead(decoder)
	if err != nil {
		return contents{}, err
	}
	whole := contents{head: read, entries: map[string][]byte{}}
	for decoder.More() {
		var entry dumpEntry
		if err := decoder.Decode(&entry); err != nil {
			return contents{}, eris.Wrap(err, "read an entry of the dump")
		}
		if _, duplicate := whole.entries[entry.key()]; duplicate {
			return contents{}, eris.Errorf("the dump has entry %q twice", entry.key())
		}
		whole.entries[entry.key()] = entry.value()
	}
	return whole, eris.Wrap(whole.checkSums(), "read the dump")
}

func readDumpHead(decoder *json.Decoder) (head, error) {
	var first dumpHead
	if err := decoder.Decode(&first); err != nil {
		return head{}, eris.Wrap(err, "read the head of the dump")
	}
	if first.Format != formatVersion {
		return head{}, eris.Errorf("the dump has format %d, this program reads format %d", first.Format, formatVersion)
	}
	sum, err := headSum(first.head)
	if err != nil {
		return head{}, err
	}
	if sum != first.HeadSum || first.Incarnation == "" {
		return head{}, eris.New("the head of the dump does not match its checksum")
	}
	return first.head, nil
}

// headSum returns the checksum of the head of a dump.
func headSum(h head) (uint64, error) {
	text, err := json.Marshal(h)
	return entrySum("", text), eris.Wrap(err, "encode the head of the dump")
}
