package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"io"

	"github.com/rotisserie/eris"
)

// Layout of a bbolt file (format version 2, in use since 2013).
const (
	pageSize        = 4096 // fixed, because bbolt's default depends on the machine
	pageHeaderSize  = 16
	elementSize     = 16 // of branch and leaf pages
	bucketSize      = 16
	metaSize        = 64
	metaChecksummed = 56 // number of bytes that the checksum of a meta page covers

	boltMagic   = 0xED0CDAED
	boltVersion = 2

	branchPage = 0x01
	leafPage   = 0x02

	bucketElement = 0x01

	noFreelist = ^uint64(0)
)

// meta holds the fields of a bbolt meta page that are used here.
type meta struct {
	root        uint64
	freelist    uint64
	pages       uint64 // all pages in use have lower ids
	transaction uint64
}

// visitor is called for each key and value of the file. Both are only valid during the call.
type visitor func(bucket, key string, value []byte) error

// pageReader walks the pages of a bbolt file and checks everything that it reads.
type pageReader struct {
	file    io.ReaderAt
	limit   uint64 // all page ids must be lower
	used    map[uint64]bool
	visitor visitor
}

// keyRange is the half-open range of the keys of a page. An empty upper bound means none.
type keyRange struct {
	from, below []byte
}

// walkPages checks the structure of the whole file and visits each key and value. It returns the number of pages in use.
func walkPages(file io.ReaderAt, size int64, visit visitor) (int, error) {
	newest, err := readNewestMeta(file)
	if err != nil {
		return 0, err
	}
	if newest.freelist != noFreelist {
		return 0, damaged("the first transaction is missing")
	}
	reader := &pageReader{
		file:    file,
		limit:   min(newest.pages, uint64(size)/pageSize),
		used:    map[uint64]bool{0: true, 1: true},
		visitor: visit,
	}
	if err := reader.walkRoot(newest.root, keyRange{}); err != nil {
		return 0, err
	}
	return len(reader.used), nil
}

// readNewestMeta returns the meta page that bbolt will use: the newest valid one. A torn write may have left one of the two invalid.
func readNewestMeta(file io.ReaderAt) (meta, error) {
	var newest meta
	found := false
	for page := range int64(2) {
		candidate, valid, err := readMeta(file, page)
		if err != nil {
			return meta{}, err
		}
		if valid && (!found || candidate.transaction > newest.transaction) {
			newest = candidate
			found = true
		}
	}
	if !found {
		return meta{}, damaged("both meta pages are invalid")
	}
	return newest, nil
}

// readMeta reads a meta page, and reports whether it is valid.
func readMeta(file io.ReaderAt, page int64) (meta, bool, error) {
	var buffer [pageHeaderSize + metaSize]byte
	if err := readFull(file, buffer[:], page*pageSize); err != nil {
		return meta{}, false, err
	}
	body := buffer[pageHeaderSize:]
	sum := fnv.New64a()
	sum.Write(body[:metaChecksummed])
	valid := binary.LittleEndian.Uint32(body) == boltMagic &&
		binary.LittleEndian.Uint32(body[4:]) == boltVersion &&
		binary.LittleEndian.Uint32(body[8:]) == pageSize &&
		binary.LittleEndian.Uint64(body[metaChecksummed:]) == sum.Sum64()
	return meta{
		root:        binary.LittleEndian.Uint64(body[16:]),
		freelist:    binary.LittleEndian.Uint64(body[32:]),
		pages:       binary.LittleEndian.Uint64(body[40:]),
		transaction: binary.LittleEndian.Uint64(body[48:]),
	}, valid, nil
}

// readFull fills the buffer. A file that ends too early is damaged; any other failure is an I/O error.
func readFull(file io.ReaderAt, buffer []byte, offset int64) error {
	count, err := file.ReadAt(buffer, offset)
	if count == len(buffer) {
		return nil
	}
	if err == nil || errors.Is(err, io.EOF) {
		return damaged("the file ends at offset %d, before the end of page %d", offset+int64(count), offset/pageSize)
	}
	return eris.Wrap(err, "read the control state")
}

// walkRoot walks the tree that holds the buckets.
func (r *pageReader) walkRoot(id uint64, keys keyRange) error {
	return r.walkTree(id, keys, func(element leafElement) error {
		if !element.isBucket {
			return damaged("a value is found in place of a bucket")
		}
		return r.walkBucket(string(element.key), element.value)
	})
}

// walkBucket walks one bucket. A small bucket is stored inline in its value.
func (r *pageReader) walkBucket(name string, value []byte) error {
	if len(value) < bucketSize {
		return damaged("bucket %q is truncated", name)
	}
	visit := func(element leafElement) error {
		if element.isBucket {
			return damaged("bucket %q contains a bucket", name)
		}
		return r.visitor(name, string(element.key), element.value)
	}
	if root := binary.LittleEndian.Uint64(value); root != 0 {
		return r.walkTree(root, keyRange{}, visit)
	}
	inline := value[bucketSize:]
	if len(inline) < pageHeaderSize {
		return damaged("bucket %q is truncated", name)
	}
	header := decodePageHeader(inline)
	if header.id != 0 || header.flags != leafPage || header.overflow != 0 {
		return damaged("inline bucket %q is not a leaf page", name)
	}
	return walkLeaf(inline, header.count, keyRange{}, visit)
}

// walkTree walks a page and all pages below it.
func (r *pageReader) walkTree(id uint64, keys keyRange, visit func(leafElement) error) error {
	page, header, err := r.readPage(id)
	if err != nil {
		return err
	}
	switch header.flags {
	case leafPage:
		return walkLeaf(page, header.count, keys, visit)
	case branchPage:
		return r.walkBranch(page, header.count, keys, visit)
	}
	return damaged("page %d has the unknown type %#x", id, header.flags)
}

// walkBranch walks the pages below a branch page.
func (r *pageReader) walkBranch(page []byte, count int, keys keyRange, visit func(leafElement) error) error {
	elements, err := decodeBranch(page, count)
	if err != nil {
		return err
	}
	for index, element := range elements {
		below := keys.below
		if index+1 < len(elements) {
			below = elements[index+1].key
		}
		if err := keys.check(element.key); err != nil {
			return err
		}
		if err := r.walkTree(element.child, keyRange{from: element.key, below: below}, visit); err != nil {
			return err
		}
		keys.from = element.key
	}
	return nil
}

// walkLeaf visits the elements of a leaf page.
func walkLeaf(page []byte, count int, keys keyRange, visit func(leafElement) error) error {
	var previous []byte
	for index := range count {
		element, err := decodeLeafElement(page, index)
		if err != nil {
			return err
		}
		if err := keys.check(element.key); err != nil {
			return err
		}
		if index > 0 && bytes.Compare(previous, element.key) >= 0 {
			return damaged("the keys of a page are out of order")
		}
		if err := visit(element); err != nil {
			return err
		}
		previous = element.key
	}
	return nil
}

// check returns an error if the key is empty or outside the range.
func (k keyRange) check(key []byte) error {
	if len(key) == 0 {
		return damaged("a key is empty")
	}
	if bytes.Compare(key, k.from) < 0 || len(k.below) > 0 && bytes.Compare(key, k.below) >= 0 {
		return damaged("a key is outside the range of its page")
	}
	return nil
}

type pageHeader struct {
	id       uint64
	flags    uint16
	count    int    // of elements
	overflow uint64 // number of pages that follow and belong to this one
}

func decodePageHeader(page []byte) pageHeader {
	return pageHeader{
		id:       binary.LittleEndian.Uint64(page),
		flags:    binary.LittleEndian.Uint16(page[8:]),
		count:    int(binary.LittleEndian.Uint16(page[10:])),
		overflow: uint64(binary.LittleEndian.Uint32(page[12:])),
	}
}

// readPage reads a page with its overflow pages. Each page must be in use only once.
func (r *pageReader) readPage(id uint64) ([]byte, pageHeader, error) {
	if id >= r.limit {
		return nil, pageHeader{}, damaged("page %d is beyond the end of the file", id)
	}
	page := make([]byte, pageSize)
	if err := readFull(r.file, page, int64(id)*pageSize); err != nil {
		return nil, pageHeader{}, err
	}
	header := decodePageHeader(page)
	if header.id != id {
		return nil, header, damaged("page %d has the id of page %d", id, header.id)
	}
	if header.overflow >= r.limit-id {
		return nil, header, damaged("page %d extends beyond the end of the file", id)
	}
	for used := id; used <= id+header.overflow; used++ {
		if r.used[used] {
			return nil, header, damaged("page %d is in use twice", used)
		}
		r.used[used] = true
	}
	if header.overflow == 0 {
		return page, header, nil
	}
	page = make([]byte, (header.overflow+1)*pageSize)
	return page, header, readFull(r.file, page, int64(id)*pageSize)
}

type branchElement struct {
	key   []byte
	child uint64
}

func decodeBranch(page []byte, count int) ([]branchElement, error) {
	if count == 0 {
		return nil, damaged("a branch page has no elements")
	}
	elements := make([]branchElement, 0, count)
	for index := range count {
		start := pageHeaderSize + index*elementSize
		if start+elementSize > len(page) {
			return nil, damaged("a page has too many elements")
		}
		fields := page[start : start+elementSize]
		position := uint64(binary.LittleEndian.Uint32(fields))
		length := uint64(binary.LittleEndian.Uint32(fields[4:]))
		key, err := slice(page, uint64(start)+position, length)
		if err != nil {
			return nil, err
		}
		elements = append(elements, branchElement{key: key, child: binary.LittleEndian.Uint64(fields[8:])})
	}
	return elements, nil
}

type leafElement struct {
	isBucket   bool
	key, value []byte
}

func decodeLeafElement(page []byte, index int) (leafElement, error) {
	start := pageHeaderSize + index*elementSize
	if start+elementSize > len(page) {
		return leafElement{}, damaged("a page has too many elements")
	}
	fields := page[start : start+elementSize]
	position := uint64(start) + uint64(binary.LittleEndian.Uint32(fields[4:]))
	keyLength := uint64(binary.LittleEndian.Uint32(fields[8:]))
	valueLength := uint64(binary.LittleEndian.Uint32(fields[12:]))
	key, err := slice(page, position, keyLength)
	if err != nil {
		return leafElement{}, err
	}
	value, err := slice(page, position+keyLength, valueLength)
	if err != nil {
		return leafElement{}, err
	}
	flags := binary.LittleEndian.Uint32(fields)
	return leafElement{isBucket: flags&bucketElement != 0, key: key, value: value}, nil
}

// slice returns part of a page, or an error if it extends beyond the page.
func slice(page []byte, start, length uint64) ([]byte, error) {
	if start+length > uint64(len(page)) {
		return nil, damaged("an element extends beyond the end of its page")
	}
	return page[start : start+length], nil
}
