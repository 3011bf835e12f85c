package simwire

import (
	"encoding/base64"
	"encoding/binary"
	"hash/fnv"
	"math"

	"eiderway/splitter"
)

// A message between routers is paid for by the byte: a flag for a question and the group in one varint, then
// for each word a hash of the node's name and its position in milliseconds, of which the low bits tell enough.
const (
	wordLen = 5
	posBits = 15 // 32 s of positions; the top bit tells a primary
)

func hashOf(name string) uint32 {
	f := fnv.New32a()
	f.Write([]byte(name))
	sum := f.Sum32()
	return (sum ^ sum>>24) & 0xffffff
}

func (h *host) Tell(peer, group int, ask bool, words []splitter.Word) {
	head := uint64(group) << 1
	if ask {
		head |= 1
	}
	data := binary.AppendUvarint(nil, head)
	for _, w := range words {
		ms := int64(math.Floor((w.Pos-h.zero)*1000)) & (1<<posBits - 1)
		if w.Primary {
			ms |= 1 << posBits
		}
		id := h.hashes[w.Node]
		data = append(data, byte(id>>16), byte(id>>8), byte(id), byte(ms>>8), byte(ms))
	}
	h.act("memoTo", action{Whom: &peer, Data: base64.StdEncoding.EncodeToString(data)})
}

// inbox decodes a message; what is malformed or names an unknown node is dropped.
func (h *host) inbox(ev *event) {
	data, err := base64.StdEncoding.DecodeString(ev.Data)
	if err != nil {
		return
	}
	head, n := binary.Uvarint(data)
	if n <= 0 || head>>1 > math.MaxInt32 || (len(data)-n)%wordLen != 0 {
		return
	}
	var words []splitter.Word
	now := int64(math.Floor((h.s.now - h.zero) * 1000))
	for d := data[n:]; len(d) > 0; d = d[wordLen:] {
		node, ok := h.byHash[uint32(d[0])<<16|uint32(d[1])<<8|uint32(d[2])]
		if !ok {
			continue
		}
		ms := int64(binary.BigEndian.Uint16(d[3:]))
		age := (now - ms) & (1<<posBits - 1)
		words = append(words, splitter.Word{Node: node, Primary: ms>>posBits == 1,
			Pos: h.zero + float64(now-age)/1000})
	}
	h.router.Heard(ev.Src, int(head>>1), head&1 == 1, words)
}
