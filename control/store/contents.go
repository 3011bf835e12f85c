package store

import (
	"io"

	"eiderway/control/quorum"
	"eiderway/control/replication"
)

// The buckets and keys of the file.
const (
	controllerBucket = "controller"
	formatKey        = "format"
	headKey          = "head"
	entriesBucket    = "entries"
)

// contents is the decoded content of a file.
type contents struct {
	head    head
	entries map[string][]byte
	pages   int // number of pages in use
}

// newContents returns the state of a new incarnation.
func newContents(incarnation quorum.Incarnation, mayFound bool) contents {
	return contents{head: head{
		Incarnation: incarnation,
		Voter:       quorum.VoterRecord{MayFound: mayFound},
	}}
}

// durable returns the part of the contents that the replication needs.
func (c contents) durable() replication.DurableState {
	return replication.DurableState{
		Incarnation: c.head.Incarnation,
		Voter:       c.head.Voter,
		Stamp:       c.head.Stamp,
		Entries:     c.entries,
	}
}

// checkSums returns an error if the entries don't match the count and the checksum in the head.
func (c contents) checkSums() error {
	computed := head{}
	for key, value := range c.entries {
		computed.add(key, value)
	}
	if computed.Entries != c.head.Entries {
		return damaged("the file holds %d entries instead of %d", computed.Entries, c.head.Entries)
	}
	if computed.Sum != c.head.Sum {
		return damaged("the entries do not match their checksum")
	}
	return nil
}

// collector copies what walkPages visits.
type collector struct {
	format, head []byte
	entries      map[string][]byte
}

func (c *collector) visit(bucket, key string, value []byte) error {
	switch {
	case bucket == entriesBucket:
		c.entries[key] = append([]byte{}, value...)
	case bucket == controllerBucket && key == formatKey:
		c.format = append([]byte{}, value...)
	case bucket == controllerBucket && key == headKey:
		c.head = append([]byte{}, value...)
	}
	return nil
}

// readContents reads and checks the whole file without bbolt and without a memory mapping.
func readContents(file io.ReaderAt, size int64) (contents, error) {
	found := collector{entries: map[string][]byte{}}
	pages, err := walkPages(file, size, found.visit)
	if err != nil {
		return contents{}, err
	}
	if err := checkFormat(found.format); err != nil {
		return contents{}, err
	}
	read := contents{entries: found.entries, pages: pages}
	if read.head, err = decodeHead(found.head); err != nil {
		return contents{}, err
	}
	return read, read.checkSums()
}
