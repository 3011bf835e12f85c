package store

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strconv"

	"github.com/rotisserie/eris"

	"eiderway/control/quorum"
)

// formatVersion is the version of the file format and of dumps. A program refuses versions above its own.
const formatVersion = 1

// head holds everything but the entries. It is rewritten with each transaction.
type head struct {
	Incarnation quorum.Incarnation
	Voter       quorum.VoterRecord
	Stamp       quorum.Stamp
	Entries     uint64 // number of entries
	Sum         uint64 // sum of the checksums of all entries
}

// add updates the count and the sum for an added entry.
func (h *head) add(key string, value []byte) {
	h.Entries++
	h.Sum += entrySum(key, value)
}

// remove updates the count and the sum for a removed entry.
func (h *head) remove(key string, value []byte) {
	h.Entries--
	h.Sum -= entrySum(key, value)
}

// clear resets the count and the sum after all entries were removed.
func (h *head) clear() {
	h.Entries = 0
	h.Sum = 0
}

// entrySum returns the checksum of one entry. The length of the key makes the boundary between key and value part of it.
func entrySum(key string, value []byte) uint64 {
	sum := fnv.New64a()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(key)))
	sum.Write(length[:])
	sum.Write([]byte(key))
	sum.Write(value)
	return sum.Sum64()
}

// encodeHead encodes the head as its checksum in hex, a space, and JSON.
func encodeHead(h head) ([]byte, error) {
	text, err := json.Marshal(h)
	if err != nil {
		return nil, eris.Wrap(err, "encode the head of the control state")
	}
	return fmt.Appendf(nil, "%016x %s", entrySum("", text), text), nil
}

// decodeHead is the reverse of encodeHead.
func decodeHead(encoded []byte) (head, error) {
	sum, text, found := bytes.Cut(encoded, []byte(" "))
	if !found || string(sum) != fmt.Sprintf("%016x", entrySum("", text)) {
		return head{}, damaged("the head does not match its checksum")
	}
	var decoded head
	if err := json.Unmarshal(text, &decoded); err != nil {
		return head{}, damaged("the head can't be decoded: %v", err)
	}
	if decoded.Incarnation == "" {
		return head{}, damaged("the head has no incarnation")
	}
	return decoded, nil
}

// encodeFormat encodes the format version.
func encodeFormat() []byte { return strconv.AppendInt(nil, formatVersion, 10) }

// checkFormat returns an error if this program can't read the format.
func checkFormat(encoded []byte) error {
	version, err := strconv.ParseUint(string(encoded), 10, 32)
	if err != nil || version == 0 {
		return damaged("the format version is missing or invalid")
	}
	if version > formatVersion {
		return eris.Wrapf(ErrNewerFormat, "format %d, known up to %d", version, formatVersion)
	}
	return nil
}
