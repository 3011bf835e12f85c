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

// sectorBytes is the unit in which a write is torn, beside tears at any byte.
const sectorBytes = 512

// simulatedDisk is what a power loss may leave of recorded operations: a file holds what its last sync covered; each
// later write is there, missing or torn. A new file lasts with its own sync; changed names last with that of their folder.
type simulatedDisk struct {
	files        map[int]*simulatedFile
	names        map[string]int // that last
	pendingNames []operation
}

type simulatedFile struct {
	safe    []byte
	pending []operation
}

func newSimulatedDisk() *simulatedDisk {
	return &simulatedDisk{files: map[int]*simulatedFile{}, names: map[string]int{}}
}

// clone copies what later operations change.
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

// namesAfter gives the names when the first of the pending changes have reached the disk.
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

// after gives the bytes of the file when of each pending write the given parts have reached the disk.
func (f *simulatedFile) after(parts func(operation) []operation) []byte {
	held := slices.Clone(f.safe)
	for _, pending := range f.pending {
		for _, part := range parts(pending) {
			held = part.applyTo(held)
		}
	}
	return held
}

func (o operation) applyTo(held []byte) []byte {
	if o.kind == resized {
		if int(o.offset) <= len(held) {
			return held[:o.offset]
		}
		return append(held, make([]byte, int(o.offset)-len(held))...)
	}
	end := int(o.offset) + len(o.data)
	if end > len(held) {
		held = append(held, make([]byte, end-len(held))...)
	}
	copy(held[o.offset:], o.data)
	return held
}

// outcome of a power loss: what is kept of the pending names, and of each pending write.
type outcome struct {
	names int
	parts func(operation) []operation
}

// outcomes of a power loss in this state: all lost, all kept, and a number of seeded mixes.
func (d *simulatedDisk) outcomes(mixes int, seed uint64) []outcome {
	keep := func(whole operation) []operation { return []operation{whole} }
	lose := func(operation) []operation { return nil }
	all := len(d.pendingNames)
	found := []outcome{{names: all, parts: keep}}
	if all == 0 && !d.anyPending() {
		return found // nothing can get lost
	}
	found = append(found, outcome{names: 0, parts: lose}, outcome{names: all, parts: lose}, outcome{names: 0, parts: keep})
	for mix := range mixes {
		chance := rand.New(rand.NewPCG(seed, uint64(mix)))
		found = append(found, outcome{names: chance.IntN(all + 1), parts: func(whole operation) []operation {
			return tear(whole, chance)
		}})
	}
	return found
}

func (d *simulatedDisk) anyPending() bool {
	for _, file := range d.files {
		if len(file.pending) > 0 {
			return true
		}
	}
	return false
}

// tear keeps a write, loses it, or keeps some of its sectors, or its start.
func tear(whole operation, chance *rand.Rand) []operation {
	switch chance.IntN(4) {
	case 0:
		return nil
	case 1:
		return []operation{whole}
	case 2:
		if whole.kind == written {
			whole.data = whole.data[:chance.IntN(len(whole.data)+1)]
		}
		return []operation{whole}
	}
	if whole.kind != written {
		return []operation{whole}
	}
	var kept []operation
	for start := 0; start < len(whole.data); start += sectorBytes {
		if chance.IntN(2) == 0 {
			part := whole
			part.offset += int64(start)
			part.data = whole.data[start:min(start+sectorBytes, len(whole.data))]
			kept = append(kept, part)
		}
	}
	return kept
}

// lay writes what the outcome leaves into an empty folder, and returns the numbers of the files by name.
func (d *simulatedDisk) lay(t *testing.T, directory string, left outcome) map[string]int {
	t.Helper()
	names := d.namesAfter(left.names)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		held := d.files[names[name]].after(left.parts)
		if err := os.WriteFile(filepath.Join(directory, name), held, fileMode); err != nil {
			t.Fatal(err)
		}
	}
	return names
}
