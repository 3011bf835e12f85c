package rpc

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"

	"github.com/rotisserie/eris"

	"eiderway/control/configuration"
	"eiderway/control/feed"
)

const (
	// packFrom is the size of a configuration, in bytes, from which packing pays: a smaller one fits one packet.
	packFrom = 1 << 10
	// packServicesFrom is the number of services from which packing pays: each takes some hundred bytes.
	packServicesFrom = 8
	// packedKept is how many packed parts are kept. All gateways get the same at about the same time, but some are a version behind.
	packedKept = 4
	// mostUnpacked bounds what is unpacked, in bytes: more than any table takes.
	mostUnpacked = 8 * MaxFrame
)

// packedParts are the large parts of an answer's table, which is without them then; nil: not packed.
type packedParts struct {
	Configuration []byte
	Services      []byte
}

// packing packs the large parts of tables. Tables share them, and nobody changes them, so one is known by where it lies.
type packing struct {
	configurations packedRing[byte]
	services       packedRing[feed.Service]
}

// pack takes what is large out of the answer's table and returns it packed.
func (p *packing) pack(answer *feed.WatchAnswer) (packedParts, error) {
	var parts packedParts
	if answer.Table == nil {
		return parts, nil
	}
	table := *answer.Table
	var err error
	if len(table.Configuration) >= packFrom {
		parts.Configuration, err = p.configurations.of(table.Configuration, func(source []byte) ([]byte, error) { return source, nil })
		table.Configuration = nil
	}
	if err == nil && len(table.Services) >= packServicesFrom {
		parts.Services, err = p.services.of(table.Services, encodeServices)
		table.Services = nil
	}
	answer.Table = &table
	return parts, err
}

func encodeServices(services []feed.Service) ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(services)
	return buffer.Bytes(), eris.Wrap(err, "pack services")
}

// packedRing keeps the parts of one kind that were packed last.
type packedRing[Element any] struct {
	mutex sync.Mutex
	kept  []packedPart[Element] // the oldest first
}

type packedPart[Element any] struct {
	source []Element
	packed []byte
}

// of gives the part packed.
func (r *packedRing[Element]) of(source []Element, encode func([]Element) ([]byte, error)) ([]byte, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, known := range r.kept {
		if len(known.source) == len(source) && &known.source[0] == &source[0] {
			return known.packed, nil
		}
	}
	encoded, err := encode(source)
	if err != nil {
		return nil, err
	}
	packed, err := deflate(encoded)
	if err != nil {
		return nil, err
	}
	if len(r.kept) == packedKept {
		r.kept = append(r.kept[:0:0], r.kept[1:]...)
	}
	r.kept = append(r.kept, packedPart[Element]{source, packed})
	return packed, nil
}

func deflate(source []byte) ([]byte, error) {
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
	return buffer.Bytes(), nil
}

// unpack puts packed parts back into the answer's table.
func unpack(answer *feed.WatchAnswer, parts packedParts) error {
	if len(parts.Configuration) == 0 && len(parts.Services) == 0 {
		return nil
	}
	if answer.Table == nil {
		return eris.Wrap(errBadFrame, "parts of a table that isn't there")
	}
	if len(parts.Configuration) > 0 {
		body, err := inflate(parts.Configuration, configuration.MaxBody)
		if err != nil {
			return err
		}
		answer.Table.Configuration = body
	}
	if len(parts.Services) == 0 {
		return nil
	}
	encoded, err := inflate(parts.Services, mostUnpacked)
	if err != nil {
		return err
	}
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&answer.Table.Services); err != nil {
		return eris.Wrap(errBadFrame, "services that can't be read")
	}
	return nil
}

func inflate(packed []byte, most int) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	unpacked, err := io.ReadAll(io.LimitReader(reader, int64(most)+1))
	if err != nil || len(unpacked) > most {
		return nil, eris.Wrap(errBadFrame, "a part that can't be unpacked")
	}
	return unpacked, nil
}
