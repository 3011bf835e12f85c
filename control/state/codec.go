package state

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

// recordFormat is the first byte of each encoded record. A new encoding needs a new value, and decode must then read both.
const recordFormat byte = 1

// encode returns the encoded record: the format byte, then JSON.
func encode(record any) []byte {
	text, err := json.Marshal(record)
	if err != nil {
		panic(eris.Wrapf(err, "a record of type %T can't be encoded", record)) // a bug in this package: records are plain data
	}
	return append([]byte{recordFormat}, text...)
}

// decode is the reverse of encode.
func decode(encoded []byte, record any) error {
	if len(encoded) == 0 {
		return eris.New("the record is empty")
	}
	if encoded[0] != recordFormat {
		return eris.New(fmt.Sprintf("the record has the unknown format %d", encoded[0]))
	}
	return eris.Wrap(json.Unmarshal(encoded[1:], record), "the record can't be decoded")
}

// read decodes one entry. An entry that can't be decoded is reported as not found; Verify tells the difference.
func read[Record any](reader Reader, key string) (Record, bool) {
	var record Record
	encoded, found := reader.Entry(key)
	if !found || decode(encoded, &record) != nil {
		var none Record
		return none, false
	}
	return record, true
}

// readAll decodes the entries of one kind, sorted by key, and skips those that can't be decoded.
func readAll[Record any](reader Reader, prefix string) []Record {
	entries := reader.Entries(prefix)
	records := make([]Record, 0, len(entries))
	for _, entry := range entries {
		var record Record
		if decode(entry.Value, &record) == nil {
			records = append(records, record)
		}
	}
	return records
}
