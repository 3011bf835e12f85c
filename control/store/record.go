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

// formatVersion of the file and of dumps. A program refuses versions above its own.
const formatVersion = 1

// head is everything on disk but the entries. It is rewritten with each transaction.
type head struct {
	Incarnation quorum.Incarnation
	Voter       quorum.VoterRecord
	Stamp       quorum.Stamp
	Entries     uint64 // how many there are
	Sum         uint64 // of the sums of all entries
}

// add counts an entry in.
func (h *head) add(key string, value []byte) {
	h.Entries++
	h.Sum += entrySum(key, value)
}

// remove counts an entry out.
func (h *head) remove(key string, value []byte) {
	h.Entries--
	h.Sum -= entrySum(key, value)
}

// clear counts all entries out.
func (h *head) clear() {
	h.Entries = 0
	h.Sum = 0
}

// entrySum is the sum over one entry. The length keeps key and value apart.
func entrySum(key string, value []byte) uint64 {
	sum := fnv.New64a()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(key)))
	sum.Write(length[:])
	sum.Write([]byte(key))
	sum.Write(value)
	return sum.Sum64()
}

// encodeHead writes the head as its sum in hex, a space, and JSON.
func encodeHead(h head) ([]byte, error) {
	text, err := json.Marshal(h)
	if err != nil {
		return nil, eris.Wrap(err, "encode the head of the control state")
	}
	return fmt.Appendf(nil, "%016x %s", entrySum("", text), text), nil
}

// decodeHead reads what encodeHead wrote.
func decodeHead(encoded []byte) (head, error) {
	sum, text, found := bytes.Cut(encoded, []byte(" "))
	if !found || string(sum) != fmt.Sprintf("%016x", entrySum("", text)) {
		return head{}, damaged("the head does not fit its sum")
	}
	var decoded head
	if err := json.Unmarshal(text, &decoded); err != nil {
		return head{}, damaged("the head is not readable: %v", err)
	}
	if decoded.Incarnation == "" {
		return head{}, damaged("the head has no incarnation")
	}
	return decoded, nil
}

// encodeFormat writes the version of the format.
func encodeFormat() []byte { return strconv.AppendInt(nil, formatVersion, 10) }

// checkFormat tells whether this program can read the format.
func checkFormat(encoded []byte) error {
	version, err := strconv.ParseUint(string(encoded), 10, 32)
	if err != nil || version == 0 {
		return damaged("no format version")
	}
	if version > formatVersion {
		return eris.Wrapf(ErrNewerFormat, "format %d, known up to %d", version, formatVersion)
	}
	return nil
}
