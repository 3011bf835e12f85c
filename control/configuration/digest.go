package configuration

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// digestForm starts what is hashed. Digests are kept on disk: another form of the same value needs another start.
const digestForm = "eiderway configuration 1\n"

// digestOf is the SHA-256 of the normal form of a value, in hexadecimal.
func digestOf(root value) string {
	hash := sha256.New()
	out := digestWriter{bufio.NewWriter(hash)}
	out.text(digestForm)
	out.value(root)
	out.Flush() // writing to a hash does not fail
	return hex.EncodeToString(hash.Sum(nil))
}

// digestWriter writes values so that different ones differ: each with its kind, and its length or number of parts.
type digestWriter struct{ *bufio.Writer }

func (w digestWriter) value(v value) {
	w.WriteByte(byte(v.kind))
	switch v.kind {
	case isList:
		w.count(len(v.items))
		for _, item := range v.items {
			w.value(item)
		}
	case isObject:
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
