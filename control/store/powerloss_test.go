//go:build linux

package store

import (
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// sectorBytes is the size of the parts of which a torn write keeps some. Other torn writes end at any byte.
const sectorBytes = 512

// simulatedDisk models what a power loss may leave of recorded operations. A file holds what its last sync covered; each later
// write is kept, lost or torn. A new file is durable after its own sync; changed names are durable after the sync of their folder.
type simulatedDisk struct {
	files        map[int]*simulatedFile
	names        map[string]int // durable names, with the numbers of their files
	pendingNames []operation
}

type simulatedFile struct {
	safe    []byte // durable content
	pending []operation
}

func newSimulatedDisk() *simulatedDisk {
	return &simulatedDisk{files: map[int]*simulatedFile{}, names: map[string]int{}}
}

// clone copies everything that later operations change.
func (d *simulatedDisk) clone() *simulatedDisk {
	copied := &simulatedDisk{files: map[int]*simulatedFile{}, names: maps.Clone(d.names), pendingNames: slices.Clone(d.pendingNames)}
	for number, file := range d.files {
		copied.files[number] = &simulatedFile{safe: file.safe, pending: slices.Clone(file.pending)}
	}
	return copied
}

func (d *simulatedDisk) apply(done operation) {
	switch done.kind {
	case created:
		d.files[done.file] = &simulatedFile{}
		d.pendingNames = append(d.pendingNames, done)
	case renamed, unlinked:
		d.pendingNames = append(d.pendingNames, done)
	case written, resized:
		file := d.files[done.file]
		file.pending = append(file.pending, done)
	case synced:
		d.syncFile(done.file)
	case folderSynced:
		d.names = d.namesAfter(len(d.pendingNames))
		d.pendingNames = nil
	}
}

// syncFile makes the content of a file durable, and its name if the file is new.
func (d *simulatedDisk) syncFile(number int) {
	file := d.files[number]
	file.safe = file.after(func(whole operation) []operation { return []operation{whole} })
	file.pending = nil
	d.pendingNames = slices.DeleteFunc(d.pendingNames, func(change operation) bool {
		if change.kind != created || change.file != number {
			return false
		}
		d.names[change.name] = number
		return true
	})
}

// namesAfter returns the names after the first count pending changes have reached the disk.
func (d *simulatedDisk) namesAfter(count int) map[string]int {
	names := maps.Clone(d.names)
	for _, change := range d.pendingNames[:count] {
		switch change.kind {
		case created:
			names[change.name] = change.file
		case renamed:
			if file, found := names[change.name]; found {
				names[change.to] = file
				delete(names, change.name)
			}
		case unlinked:
			delete(names, change.name)
		}
	}
	return names
}

// after returns the content of the file if the given parts of each pending write have reached the disk.
func (f *simulatedFile) after(parts func(operation) []operation) []byte {
	content := slices.Clone(f.safe)
	for _, pending := range f.pending {
		for _, part := range parts(pending) {
			content = part.applyTo(content)
		}
	}
	return content
}

func (o operation) applyTo(content []byte) []byte {
	if o.kind == resized {
		if int(o.offset) <= len(content) {
			return content[:o.offset]
		}
		return append(content, make([]byte, int(o.offset)-len(content))...)
	}
	end := int(o.offset) + len(o.data)
	if end > len(content) {
		content = append(content, make([]byte, end-len(content))...)
	}
	copy(content[o.offset:], o.data)
	return content
}

// outcome of a power loss: how many pending name changes are kept, and which parts of each pending write.
type outcome struct {
	names int
	parts func(operation) []operation
}

// outcomes returns the outcomes of a power loss in this state: all kept, all lost, only the names or
// only the writes kept, and a number of seeded mixes.
func (d *simulatedDisk) outcomes(mixes int, seed uint64) []outcome {
	keep := func(whole operation) []operation { return []operation{whole} }
	lose := func(operation) []operation { return nil }
	all := len(d.pendingNames)
	results := []outcome{{names: all, parts: keep}}
	if all == 0 && !d.anyPending() {
		return results // nothing can be lost
	}
	results = append(results, outcome{names: 0, parts: lose}, outcome{names: all, parts: lose}, outcome{names: 0, parts: keep})
	for mix := range mixes {
		random := rand.New(rand.NewPCG(seed, uint64(mix)))
		results = append(results, outcome{names: random.IntN(all + 1), parts: func(whole operation) []operation {
			return tear(whole, random)
		}})
	}
	return results
}

func (d *simulatedDisk) anyPending() bool {
	for _, file := range d.files {
		if len(file.pending) > 0 {
			return true
		}
	}
	return false
}

// tear keeps a write, loses it, or keeps its start or some of its sectors.
func tear(whole operation, random *rand.Rand) []operation {
	switch random.IntN(4) {
	case 0:
		return nil
	case 1:
		return []operation{whole}
	case 2:
		if whole.kind == written {
			whole.data = whole.data[:random.IntN(len(whole.data)+1)]
		}
		return []operation{whole}
	}
	if whole.kind != written {
		return []operation{whole}
	}
	var kept []operation
	for start := 0; start < len(whole.data); start += sectorBytes {
		if random.IntN(2) == 0 {
			part := whole
			part.offset += int64(start)
			part.data = whole.data[start:min(start+sectorBytes, len(whole.data))]
			kept = append(kept, part)
		}
	}
	return kept
}

// writeTo writes the files that the outcome leaves to an empty folder, and returns the numbers of the files by name.
func (d *simulatedDisk) writeTo(t *testing.T, directory string, left outcome) map[string]int {
	t.Helper()
	names := d.namesAfter(left.names)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		content := d.files[names[name]].after(left.parts)
		if err := os.WriteFile(filepath.Join(directory, name), content, fileMode); err != nil {
			t.Fatal(err)
		}
	}
	return names
}
