package rpc

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/rotisserie/eris"

	"eiderway/control/configuration"
	"eiderway/control/feed"
)

// packFrom is the size of a configuration, in bytes, from which packing pays: a smaller one fits one packet.
const packFrom = 1 << 10

// packing packs the configurations of tables. All gateways get the same one at about the same time, so the last is kept.
type packing struct {
	mutex  sync.Mutex
	source []byte // as it came in a table; tables share it, and nobody changes it
	packed []byte
}

// pack takes the configuration out of the answer's table and returns it packed; nil where that doesn't pay.
func (p *packing) pack(answer *feed.WatchAnswer) ([]byte, error) {
	if answer.Table == nil || len(answer.Table.Configuration) < packFrom {
		return nil, nil
	}
	packed, err := p.packedOf(answer.Table.Configuration)
	if err != nil {
		return nil, err
	}
	table := *answer.Table
	table.Configuration = nil
	answer.Table = &table
	return packed, nil
}

func (p *packing) packedOf(source []byte) ([]byte, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.source) == len(source) && &p.source[0] == &source[0] {
		return p.packed, nil
	}
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "pack")
	}
	if _, err := writer.Write(source); err != nil {
		return nil, eris.Wrap(err, "pack")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "pack")
	}
	p.source, p.packed = source, buffer.Bytes()
	return p.packed, nil
}

// unpack puts a packed configuration back into the answer's table.
func unpack(answer *feed.WatchAnswer, packed []byte) error {
	if len(packed) == 0 {
		return nil
	}
	if answer.Table == nil {
		return eris.Wrap(errBadFrame, "configuration that can't be unpacked")
	}
	reader := flate.NewReader(bytes.NewReader(packed))
	body, err := io.ReadAll(io.LimitReader(reader, configuration.MaxBody+1))
	if err != nil || len(body) > configuration.MaxBody {
		return eris.Wrap(errBadFrame, "configuration that can't be unpacked")
	}
	answer.Table.Configuration = body
	return nil
}
