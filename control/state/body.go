package state

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"slices"

	"github.com/rotisserie/eris"

	"eiderway/control/configuration"
	"eiderway/control/replication"
)

// bodyPiece is the most bytes of a configuration that one entry holds. Changes and snapshots travel by entries, and
// small ones let a slow link carry other messages in between. Each piece is compressed by itself, so that those that
// are as before need not travel again; one that can't be compressed grows by a few bytes and still takes less than 64 KiB.
const bodyPiece = 60 << 10

// bodyCompression is a level of compress/flate. Routes that repeat each other shrink to less than a tenth with it. Level 1
// takes the same time, more memory and leaves more bytes; levels 5 and 6 take twice the time for a seventh less.
const bodyCompression = 2

// putBody records the body of a configuration in place of the one before.
func (t *Transaction) putBody(body []byte) {
	pieces := packBody(body)
	for index, piece := range pieces {
		t.set(bodyKey(index), piece)
	}
	for _, entry := range t.Entries(bodyPrefix) {
		if entry.Key >= bodyKey(len(pieces)) {
			t.drop(entry.Key)
		}
	}
}

// packBody compresses the pieces of a body.
func packBody(body []byte) [][]byte {
	var pieces [][]byte
	var packed bytes.Buffer
	packer, err := flate.NewWriter(&packed, bodyCompression)
	mustPack(err)
	for piece := range slices.Chunk(body, bodyPiece) {
		packed.Reset()
		packer.Reset(&packed)
		_, err := packer.Write(piece)
		mustPack(err)
		mustPack(packer.Close())
		pieces = append(pieces, bytes.Clone(packed.Bytes()))
	}
	return pieces
}

func mustPack(err error) {
	if err != nil {
		panic(eris.Wrap(err, "a configuration can't be compressed")) // a fault of this package: it is compressed into memory
	}
}

// unpackBody puts the pieces of a body of this size together. It is bounded whatever the pieces hold.
func unpackBody(pieces []replication.Mutation, size int) ([]byte, *Corruption) {
	if size < 0 || size > configuration.MaxBody {
		return nil, &Corruption{Key: configurationKey, Problem: fmt.Sprintf("a body can't have %d bytes", size)}
	}
	body := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead)) // room for the read that finds the end
	for _, piece := range pieces {
		if err := unpackPiece(body, piece.Value, size-body.Len()); err != nil {
			return nil, &Corruption{Key: piece.Key, Problem: err.Error()}
		}
	}
	if body.Len() != size {
		return nil, &Corruption{Key: configurationKey, Problem: fmt.Sprintf("the body has %d bytes of %d", body.Len(), size)}
	}
	return body.Bytes(), nil
}

// unpackPiece appends what a piece holds, which must be the whole of it and no more than limit bytes.
func unpackPiece(body *bytes.Buffer, piece []byte, limit int) error {
	packed := bytes.NewReader(piece)
	unpacked, err := io.Copy(body, io.LimitReader(flate.NewReader(packed), int64(limit)+1))
	switch {
	case err != nil:
		return eris.Wrap(err, "the piece can't be unpacked")
	case unpacked > int64(limit):
		return eris.New("the piece is longer than the body")
	case packed.Len() > 0:
		return eris.New(fmt.Sprintf("%d bytes follow the piece", packed.Len()))
	}
	return nil
}
