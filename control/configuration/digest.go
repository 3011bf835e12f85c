package configuration

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// digestPrefix is hashed first. Digests are kept on disk: a change of the encoding needs another prefix.
const digestPrefix = "eiderway configuration 1\n"

// digestOf returns the SHA-256 of the canonical form of a value, in hexadecimal.
func digestOf(root value) string {
	hash := sha256.New()
	writer := digestWriter{bufio.NewWriter(hash)}
	writer.text(digestPrefix)
	writer.value(root)
	writer.Flush() // writing to a hash does not fail
	return hex.EncodeToString(hash.Sum(nil))
}

// digestWriter writes values so that different values give different bytes: each with its kind, and its length or number of elements.
type digestWriter struct{ *bufio.Writer }

func (w digestWriter) value(v value) {
	w.WriteByte(byte(v.kind))
	switch v.kind {
	case kindArray:
		w.count(len(v.items))
		for _, item := range v.items {
			w.value(item)
		}
	case kindObject:
		w.count(len(v.members))
		for _, member := range v.members {
			w.text(member.key)
			w.value(member.value)
		}
	default:
		w.text(v.text)
	}
}

func (w digestWriter) text(text string) {
	w.count(len(text))
	w.WriteString(text)
}

func (w digestWriter) count(count int) {
	w.WriteString(strconv.Itoa(count))
	w.WriteByte(':')
}
