// Package transport runs a gossip.Node: it has the socket, the signatures and the timers. All decisions are those of the Node.
//
// This file encodes and decodes datagrams and records. Every record is signed by its origin and every datagram by its sender.
// Whatever is malformed, of another version or signed with a key that is not trusted is rejected.
package transport

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"os"
	"strings"

	"eiderway/gossip"
)

const (
	version          = 1
	maxNameBytes     = 64 // bytes of the name of an instance, zone or server, or of an address
	headerBytes      = 2 + 1 + 8 + 8 + 8 + 8
	maxDatagramBytes = 1200 // small enough that no usual network path fragments the datagram
)

var (
	errMalformed = errors.New("malformed")
	errVersion   = errors.New("unsupported protocol version")
	errUntrusted = errors.New("key is not trusted")
	errSignature = errors.New("invalid signature")
)

// keyID identifies a public key on the wire: the first bytes of its SHA-256.
type keyID [8]byte

func idOf(key ed25519.PublicKey) (id keyID) {
	sum := sha256.Sum256(key)
	copy(id[:], sum[:])
	return id
}

// NewKey makes a key and writes its seed to a new file. It fails if the file exists.
func NewKey(path string) (ed25519.PublicKey, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintln(f, base64.StdEncoding.EncodeToString(private.Seed())); err != nil {
		f.Close()
		return nil, err
	}
	return public, f.Close()
}

// ReadKey reads a private key from a file. It fails if the group or others have any permission on the file.
func ReadKey(path string) (ed25519.PrivateKey, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s: group or others have access; run chmod 600 on it", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, fmt.Errorf("%s: no key of 32 bytes in base64; `eiderway key new` makes one", path)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// FormatKey returns a public key as it is written in the settings.
func FormatKey(key ed25519.PublicKey) string { return base64.StdEncoding.EncodeToString(key) }

// Fingerprint returns the short form of a public key.
func Fingerprint(key ed25519.PublicKey) string {
	id := idOf(key)
	return fmt.Sprintf("%x", id[:])
}

// ParseKey parses a public key as FormatKey writes it.
func ParseKey(text string) (ed25519.PublicKey, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("%q is not a public key of 32 bytes in base64", text)
	}
	return key, nil
}

// wireRecord is a record with the names and addresses that the wire has instead of indices.
type wireRecord struct {
	key    keyID
	record gossip.Record // Origin and Server are not set
	zone   string        // of Alive
	addr   string        // of Alive: address of its origin
	server string        // of Accuse and Retract
	signed []byte        // encoded, with its signature
}

func appendText(dst []byte, s string) []byte { return append(append(dst, byte(len(s))), s...) }

// encodeRecord encodes and signs a record.
func encodeRecord(key ed25519.PrivateKey, w *wireRecord) []byte {
	id := idOf(key.Public().(ed25519.PublicKey))
	b := append([]byte{byte(w.record.Kind)}, id[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(w.record.Incarnation))
	b = binary.BigEndian.AppendUint64(b, uint64(w.record.Seq))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(w.record.At))
	switch w.record.Kind {
	case gossip.Alive:
		b = binary.BigEndian.AppendUint64(b, uint64(w.record.ListVersion))
		b = appendText(appendText(b, w.zone), w.addr)
	case gossip.Accuse, gossip.Retract:
		b = appendText(append(b, byte(w.record.Reason)), w.server)
	}
	return append(b, ed25519.Sign(key, append([]byte("eiderway record 1 "), b...))...)
}

// reader reads values from a datagram. Once one is missing or invalid, bad is set and further values are zero.
type reader struct {
	b   []byte
	at  int
	bad bool
}

func (r *reader) bytes(n int) []byte {
	if r.bad || r.at+n > len(r.b) {
		r.bad = true
		return make([]byte, n)
	}
	r.at += n
	return r.b[r.at-n : r.at]
}

func (r *reader) number() uint64 { return binary.BigEndian.Uint64(r.bytes(8)) }

func (r *reader) text() string {
	n := int(r.bytes(1)[0])
	if n > maxNameBytes {
		r.bad = true
		return ""
	}
	return string(r.bytes(n))
}

// decodeRecord decodes one record and verifies its signature.
func decodeRecord(r *reader, trusted func(keyID) ed25519.PublicKey) (w wireRecord, err error) {
	start := r.at
	w.record.Kind = gossip.Kind(r.bytes(1)[0])
	copy(w.key[:], r.bytes(len(w.key)))
	w.record.Incarnation, w.record.Seq = int64(r.number()), int64(r.number())
	w.record.At = math.Float64frombits(r.number())
	switch w.record.Kind {
	case gossip.Alive:
		w.record.ListVersion = int64(r.number())
		w.zone, w.addr = r.text(), r.text()
	case gossip.Accuse, gossip.Retract:
		w.record.Reason = gossip.Reason(r.bytes(1)[0])
		w.server = r.text()
	case gossip.Leave:
	default:
		return w, errMalformed
	}
	body := r.b[start:r.at]
	signature := r.bytes(ed25519.SignatureSize)
	if r.bad || math.IsNaN(w.record.At) || math.IsInf(w.record.At, 0) || w.record.Seq < 0 {
		return w, errMalformed
	}
	key := trusted(w.key)
	if key == nil {
		return w, errUntrusted
	}
	if !ed25519.Verify(key, append([]byte("eiderway record 1 "), body...), signature) {
		return w, errSignature
	}
	w.signed = r.b[start:r.at:r.at]
	w.record.Size, w.record.Encoded = len(w.signed), append([]byte(nil), w.signed...)
	return w, nil
}

// envelope is the header of a datagram. Incarnation and counter let receivers reject replays.
type envelope struct {
	key         keyID
	incarnation int64
	counter     int64
	at          float64
}

// encodeDatagram encodes and signs a datagram of records.
func encodeDatagram(key ed25519.PrivateKey, e envelope, records []gossip.Record) []byte {
	id := idOf(key.Public().(ed25519.PublicKey))
	b := append([]byte{'E', 'W', version}, id[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(e.incarnation))
	b = binary.BigEndian.AppendUint64(b, uint64(e.counter))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(e.at))
	for _, r := range records {
		b = append(b, r.Encoded...)
	}
	return append(b, ed25519.Sign(key, b)...)
}

// decodeDatagram decodes a datagram and verifies its signature and those of its records. If a record is invalid, the records before
// it are still returned.
func decodeDatagram(b []byte, trusted func(keyID) ed25519.PublicKey) (e envelope, decoded []wireRecord, err error) {
	if len(b) < headerBytes+ed25519.SignatureSize || b[0] != 'E' || b[1] != 'W' {
		return e, nil, errMalformed
	}
	if b[2] != version {
		return e, nil, errVersion
	}
	body := b[:len(b)-ed25519.SignatureSize]
	r := &reader{b: body, at: 3}
	copy(e.key[:], r.bytes(len(e.key)))
	e.incarnation, e.counter = int64(r.number()), int64(r.number())
	e.at = math.Float64frombits(r.number())
	key := trusted(e.key)
	if key == nil {
		return e, nil, errUntrusted
	}
	if !ed25519.Verify(key, body, b[len(body):]) {
		return e, nil, errSignature
	}
	for r.at < len(body) {
		w, err := decodeRecord(r, trusted)
		if err != nil {
			if errors.Is(err, errUntrusted) && !r.bad {
				continue // a record of an instance that we don't trust, passed on by one that we do trust
			}
			return e, decoded, err
		}
		decoded = append(decoded, w)
	}
	return e, decoded, nil
}
