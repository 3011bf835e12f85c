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

// maxPieceBytes is the number of bytes of a configuration that one entry holds at most, before compression. Changes and snapshots
// are sent entry by entry, and small entries let a slow link carry other messages in between. Each piece is compressed on its own,
// so that unchanged pieces need not be sent again. Incompressible data grows by a few bytes and still takes less than 64 KiB.
const maxPieceBytes = 60 << 10

// compressionLevel is a level of compress/flate. It shrinks routes that resemble each other to less than a tenth. Level 1 takes
// the same time and more memory, and compresses less; levels 5 and 6 take twice the time for a seventh less.
const compressionLevel = 2

// putBody replaces the stored body of the configuration, and drops the pieces that a longer one left.
func (t *Transaction) putBody(body []byte) {
	pieces := compressBody(body)
	for index, piece := range pieces {
		t.set(bodyKey(index), piece)
	}
	for _, entry := range t.Entries(bodyPrefix) {
		if entry.Key >= bodyKey(len(pieces)) {
			t.drop(entry.Key)
		}
	}
}

// compressBody splits a body into pieces and compresses each of them.
func compressBody(body []byte) [][]byte {
	var pieces [][]byte
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, compressionLevel)
	mustCompress(err)
	for piece := range slices.Chunk(body, maxPieceBytes) {
		compressed.Reset()
		writer.Reset(&compressed)
		_, err := writer.Write(piece)
		mustCompress(err)
		mustCompress(writer.Close())
		pieces = append(pieces, bytes.Clone(compressed.Bytes()))
	}
	return pieces
}

func mustCompress(err error) {
	if err != nil {
		panic(eris.Wrap(err, "a configuration can't be compressed")) // a bug in this package: writes into memory don't fail
	}
}

// decompressBody joins the pieces of a body of the given size. Its memory is bounded by the size, whatever the pieces hold.
func decompressBody(pieces []replication.Mutation, size int) ([]byte, *Corruption) {
	if size < 0 || size > configuration.MaxBody {
		return nil, &Corruption{Key: configurationKey, Problem: fmt.Sprintf("a body can't have a size of %d bytes", size)}
	}
	body := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead)) // with room for the read that finds the end
	for _, piece := range pieces {
		if err := decompressPiece(body, piece.Value, size-body.Len()); err != nil {
			return nil, &Corruption{Key: piece.Key, Problem: err.Error()}
		}
	}
	if body.Len() != size {
		return nil, &Corruption{Key: configurationKey, Problem: fmt.Sprintf("the body has %d bytes instead of %d", body.Len(), size)}
	}
	return body.Bytes(), nil
}

// decompressPiece appends the content of a piece, which must have no more than limit bytes and no trailing data.
func decompressPiece(body *bytes.Buffer, piece []byte, limit int) error {
	compressed := bytes.NewReader(piece)
	count, err := io.Copy(body, io.LimitReader(flate.NewReader(compressed), int64(limit)+1))
	switch {
	case err != nil:
		return eris.Wrap(err, "the piece can't be decompressed")
	case count > int64(limit):
		return eris.New("the piece exceeds the size of the body")
	case compressed.Len() > 0:
		return eris.New(fmt.Sprintf("%d trailing bytes after the piece", compressed.Len()))
	}
	return nil
}
