package store

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"go.etcd.io/bbolt"

	"eiderway/control/quorum"
	"eiderway/control/replication"
)

// soundFile creates a file with some pages of each kind, and returns its content and the states after its last two transactions.
func soundFile(t testing.TB) (file []byte, before, last replication.DurableState) {
	t.Helper()
	is := is.New(t)
	directory := t.TempDir()
	store, found, err := Open(directory, Options{Log: silent(), FirstStart: true, NewIncarnation: numbered()})
	is.NoErr(err)
	for _, writes := range script()[:8] {
		is.NoErr(store.Apply(writes))
		before, found = found, stateAfter(found, writes)
	}
	is.NoErr(store.Close())
	file, err = os.ReadFile(filepath.Join(directory, FileName))
	is.NoErr(err)
	return file, before, found
}

// openBytes opens a store in a folder whose file has the given content.
func openBytes(t *testing.T, file []byte) (string, replication.DurableState, error) {
	t.Helper()
	directory := t.TempDir()
	if err := os.WriteFile(filepath.Join(directory, FileName), file, fileMode); err != nil {
		t.Fatal(err)
	}
	store, found, err := Open(directory, Options{Log: silent(), FirstStart: true, NewIncarnation: func() quorum.Incarnation { return "new" }})
	if err == nil {
		err = store.Close()
	}
	return directory, found, err
}

// isNew reports whether a state is that of a new incarnation that may not found a core.
func isNew(found replication.DurableState) bool {
	return found.Incarnation == "new" && !found.Voter.MayFound && len(found.Entries) == 0
}

// expectSetAside checks that the damaged file was kept unchanged.
func expectSetAside(t *testing.T, directory string, file []byte) {
	t.Helper()
	kept, err := os.ReadFile(filepath.Join(directory, damagedName+"-1"))
	if err != nil || !bytes.Equal(kept, file) {
		t.Fatalf("the damaged file was not kept unchanged: %v", err)
	}
}

// TestDamageIsNeverUsed changes bytes anywhere in a file. Open must return the exact state, as it does when the bytes are not in
// use, or a new incarnation. Only damage to the newest meta page can't be told from a torn write: then Open may return the state
// before the last transaction.
func TestDamageIsNeverUsed(t *testing.T) {
	file, before, last := soundFile(t)
	newest := newestMetaPage(t, file)
	random := rand.New(rand.NewPCG(1, 2))
	used, setAside := 0, 0
	for range 1500 {
		damagedFile := bytes.Clone(file)
		position := random.IntN(len(file))
		switch random.IntN(3) {
		case 0:
			damagedFile[position] ^= 1 << random.IntN(8)
		case 1:
			copy(damagedFile[position/512*512:], make([]byte, 512))
		case 2:
			from := random.IntN(len(file) / pageSize)
			copy(damagedFile[position/pageSize*pageSize:], file[from*pageSize:(from+1)*pageSize])
		}
		directory, found, err := openBytes(t, damagedFile)
		if err != nil {
			t.Fatalf("position %d: %v", position, err)
		}
		switch {
		case isNew(found):
			setAside++
			expectSetAside(t, directory, damagedFile)
		case stepOf(found, []replication.DurableState{last}) == 0:
			used++
		case position/pageSize == newest && stepOf(found, []replication.DurableState{before}) == 0:
		default:
			t.Fatalf("position %d: a damaged state was used, stamp %s, %d entries", position, found.Stamp, len(found.Entries))
		}
	}
	t.Logf("intact %d, set aside %d", used, setAside)
	if used < 50 || setAside < 50 {
		t.Fatal("too few files were intact, or too few were set aside")
	}
}

func newestMetaPage(t *testing.T, file []byte) int {
	t.Helper()
	first, _, err := readMeta(bytes.NewReader(file), 0)
	if err != nil {
		t.Fatal(err)
	}
	second, _, err := readMeta(bytes.NewReader(file), 1)
	if err != nil {
		t.Fatal(err)
	}
	if second.transaction > first.transaction {
		return 1
	}
	return 0
}

func TestForeignFileIsSetAside(t *testing.T) {
	is := is.New(t)
	file, _, _ := soundFile(t)
	random := rand.NewChaCha8([32]byte{7})
	noise := make([]byte, 64<<10)
	_, _ = random.Read(noise)
	behindSoundMeta := append(bytes.Clone(file[:2*pageSize]), noise...)
	for name, foreign := range map[string][]byte{
		"empty":         {},
		"text":          []byte("not a control state"),
		"noise":         noise,
		"noisy pages":   behindSoundMeta,
		"zeros":         make([]byte, len(file)),
		"truncated":     file[:len(file)/2],
		"only metas":    file[:2*pageSize],
		"other buckets": otherDatabase(t),
		"fresh bbolt":   freshDatabase(t),
	} {
		directory, found, err := openBytes(t, foreign)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		is.True(isNew(found)) // a new incarnation that may not found a core
		expectSetAside(t, directory, foreign)
	}
}

// FuzzReadContents changes bytes behind the meta pages. The reader must terminate. What it accepts must be the exact state, and bbolt
// must be able to open it.
func FuzzReadContents(f *testing.F) {
	f.Add([]byte{}, uint32(0))
	f.Add([]byte{2, 0, 1, 0, 0xff}, uint32(2*pageSize+8))
	sound, _, last := soundFile(f)
	f.Fuzz(func(t *testing.T, patch []byte, position uint32) {
		file := bytes.Clone(sound)
		behind := file[2*pageSize:]
		copy(behind[int(position)%len(behind):], patch)
		found, err := readContents(bytes.NewReader(file), int64(len(file)))
		if err != nil {
			if !IsDamage(err) && !errors.Is(err, ErrNewerFormat) {
				t.Fatal(err)
			}
			return
		}
		if stepOf(found.durable(), []replication.DurableState{last}) != 0 {
			t.Fatal("a damaged state was accepted")
		}
		if _, opened, err := openBytes(t, file); err != nil || isNew(opened) {
			t.Fatalf("a file that the reader accepted could not be opened: %v", err)
		}
	})
}

func otherDatabase(t *testing.T) []byte {
	t.Helper()
	return databaseWith(t, func(transaction *bbolt.Tx) error {
		bucket, err := transaction.CreateBucket([]byte("other"))
		if err != nil {
			return err
		}
		return bucket.Put([]byte("key"), []byte("value"))
	})
}

func freshDatabase(t *testing.T) []byte {
	t.Helper()
	return databaseWith(t, nil)
}

func databaseWith(t *testing.T, fill func(*bbolt.Tx) error) []byte {
	t.Helper()
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "other.db")
	database, err := openDatabase(path, nil, bbolt.Options{})
	is.NoErr(err)
	if fill != nil {
		is.NoErr(database.Update(fill))
	}
	is.NoErr(database.Close())
	file, err := os.ReadFile(path)
	is.NoErr(err)
	return file
}

func TestNewerFormatIsRefused(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	store, _, err := Open(directory, Options{Log: silent()})
	is.NoErr(err)
	is.NoErr(store.database.Update(func(transaction *bbolt.Tx) error {
		return transaction.Bucket([]byte(controllerBucket)).Put([]byte(formatKey), []byte("2"))
	}))
	is.NoErr(store.Close())
	before, err := os.ReadFile(filepath.Join(directory, FileName))
	is.NoErr(err)

	log, lines := test.NewNullLogger()
	_, _, err = Open(directory, Options{Log: log})
	is.True(errors.Is(err, ErrNewerFormat))
	is.True(bytes.Contains([]byte(err.Error()), []byte("format 2, known up to 1")))
	is.True(!bytes.Contains([]byte(err.Error()), []byte("\n"))) // one line
	is.Equal(len(lines.AllEntries()), 0)
	after, err := os.ReadFile(filepath.Join(directory, FileName))
	is.NoErr(err)
	is.True(bytes.Equal(before, after))
	is.Equal(names(t, directory), []string{FileName})
}

func TestDamagedStateMayNotFoundAgain(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	// As after a power loss between the renaming of the damaged file and the creation of a new one.
	is.NoErr(os.WriteFile(filepath.Join(directory, damagedName+"-1"), []byte("x"), fileMode))
	store, found, err := Open(directory, Options{Log: silent(), FirstStart: true})
	is.NoErr(err)
	is.True(!found.Voter.MayFound)
	is.NoErr(store.Close())
	// A second damaged file is kept under another name.
	is.NoErr(os.WriteFile(filepath.Join(directory, FileName), []byte("y"), fileMode))
	store, again, err := Open(directory, Options{Log: silent(), FirstStart: true})
	is.NoErr(err)
	is.True(again.Incarnation != found.Incarnation)
	is.NoErr(store.Close())
	is.Equal(names(t, directory), []string{FileName, damagedName + "-1", damagedName + "-2"})
}

func TestUnfinishedFirstStartIsRepeated(t *testing.T) {
	is := is.New(t)
	for _, left := range [][]byte{{}, []byte("half"), freshDatabase(t), otherDatabase(t)} {
		directory := t.TempDir()
		is.NoErr(os.WriteFile(filepath.Join(directory, unfinishedName), left, fileMode))
		log, lines := test.NewNullLogger()
		store, found, err := Open(directory, Options{Log: log, FirstStart: true})
		is.NoErr(err)
		is.True(found.Voter.MayFound) // the unfinished file was never used
		is.NoErr(store.Close())
		is.Equal(names(t, directory), []string{FileName, abandonedName + "-1"})
		is.Equal(len(lines.AllEntries()), 1)
		is.Equal(lines.LastEntry().Level, logrus.WarnLevel)
	}
}

func TestUnfinishedBesideSoundFileIsIgnored(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	store, first, err := Open(directory, Options{Log: silent()})
	is.NoErr(err)
	is.NoErr(store.Close())
	is.NoErr(os.WriteFile(filepath.Join(directory, unfinishedName), []byte("half"), fileMode))
	store, again, err := Open(directory, Options{Log: silent()})
	is.NoErr(err)
	is.Equal(again.Incarnation, first.Incarnation)
	_, err = store.Reopen()
	is.NoErr(err)
	is.NoErr(store.Close())
	is.Equal(names(t, directory), []string{FileName})
}

// brokenReader is a disk on which each read fails.
type brokenReader struct{}

func (brokenReader) ReadAt([]byte, int64) (int, error) { return 0, errors.New("input/output error") }

func TestFailedReadIsNotReportedAsDamage(t *testing.T) {
	is := is.New(t)
	_, err := readContents(brokenReader{}, 1<<20)
	is.True(err != nil)
	is.True(!IsDamage(err))
	_, err = readContents(bytes.NewReader(nil), 0)
	is.True(IsDamage(err))
}
