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
	Format int // version of the dump, the same as the file's
	head
}

// dumpEntry is a later line. What isn't text is written as bytes (base64 in JSON).
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

// Dump writes all that a file holds as lines of JSON: the controller's own record, then each entry, sorted by key.
func Dump(path string, out io.Writer) error {
	found, _, err := readShared(path)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(dumpHead{Format: formatVersion, head: found.head}); err != nil {
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

// Restore makes the file at the path, which must not exist, from a dump. The dump must be whole.
//
// The file speaks for the incarnation of the dump. It must not be used if that controller has run since the dump was
// made: it would have forgotten what it has said.
func Restore(dump io.Reader, path string) error {
	if filepath.Base(path) != FileName {
		return eris.Errorf("the file of a control state is called %s, not %s", FileName, filepath.Base(path))
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
	return writeFile(filepath.Dir(path), whole)
}

func readDump(decoder *json.Decoder) (contents, error) {
	var first dumpHead
	if err := decoder.Decode(&first); err != nil {
		return contents{}, eris.Wrap(err, "read the head of the dump")
	}
	if first.Format != formatVersion {
		return contents{}, eris.Errorf("the dump has format %d, known is %d", first.Format, formatVersion)
	}
	whole := contents{head: first.head, entries: map[string][]byte{}}
	for decoder.More() {
		var entry dumpEntry
		if err := decoder.Decode(&entry); err != nil {
			return contents{}, eris.Wrap(err, "read an entry of the dump")
		}
		whole.entries[entry.key()] = entry.value()
	}
	return whole, whole.checkSums()
}
