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
	// minPackedConfiguration is the size in bytes from which a configuration is packed: a smaller one fits into one packet anyway.
	minPackedConfiguration = 1 << 10
	// minPackedServices is the number of services from which they are packed: each takes a few hundred bytes.
	minPackedServices = 8
	// packCacheSize is the number of packed parts that are cached. All gateways receive the same parts at about the same time, but
	// some are a version behind.
	packCacheSize = 4
	// maxUnpacked is the largest size of an unpacked part in bytes, larger than any table.
	maxUnpacked = 8 * MaxFrame
)

// packedParts holds the large parts of an answer's table in compressed form; they are then missing from the table itself. A part
// that is nil was not packed.
type packedParts struct {
	Configuration []byte
	Services      []byte
}

// packer compresses the large parts of tables. Tables share these parts and nobody changes them, so a part is identified by its
// address.
type packer struct {
	configurations packCache[byte]
	services       packCache[feed.Service]
}

// pack removes the large parts from a copy of the answer's table and returns them packed.
func (p *packer) pack(answer *feed.WatchAnswer) (packedParts, error) {
	var parts packedParts
	if answer.Table == nil {
		return parts, nil
	}
	table := *answer.Table
	var err error
	if len(table.Configuration) >= minPackedConfiguration {
		parts.Configuration, err = p.configurations.get(table.Configuration, func(source []byte) ([]byte, error) { return source, nil })
		table.Configuration = nil
	}
	if err == nil && len(table.Services) >= minPackedServices {
		parts.Services, err = p.services.get(table.Services, encodeServices)
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

// packCache holds the most recently packed parts of one kind.
type packCache[Element any] struct {
	mutex   sync.Mutex
	entries []packCacheEntry[Element] // oldest first
}

type packCacheEntry[Element any] struct {
	source []Element
	packed []byte
}

// get returns the packed part, from the cache if it is there.
func (c *packCache[Element]) get(source []Element, encode func([]Element) ([]byte, error)) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, entry := range c.entries {
		if len(entry.source) == len(source) && &entry.source[0] == &source[0] {
			return entry.packed, nil
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
	if len(c.entries) == packCacheSize {
		c.entries = append(c.entries[:0:0], c.entries[1:]...)
	}
	c.entries = append(c.entries, packCacheEntry[Element]{source, packed})
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

// unpack restores the packed parts of the answer's table.
func unpack(answer *feed.WatchAnswer, parts packedParts) error {
	if len(parts.Configuration) == 0 && len(parts.Services) == 0 {
		return nil
	}
	if answer.Table == nil {
		return eris.Wrap(errBadFrame, "packed parts without a table")
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
	encoded, err := inflate(parts.Services, maxUnpacked)
	if err != nil {
		return err
	}
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&answer.Table.Services); err != nil {
		return eris.Wrap(errBadFrame, "services can't be decoded")
	}
	return nil
}

func inflate(packed []byte, maxSize int) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	unpacked, err := io.ReadAll(io.LimitReader(reader, int64(maxSize)+1))
	if err != nil || len(unpacked) > maxSize {
		return nil, eris.Wrap(errBadFrame, "a packed part can't be decompressed")
	}
	return unpacked, nil
}
