package scenario

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestReadSkipsCommentsAndBlankLines(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "one.txt")
	is.NoErr(os.WriteFile(path, []byte("# remark\nkill a  # why\n\n  wait 2s\n"), 0o600))
	lines, err := Read(path)
	is.NoErr(err)
	is.Equal(lines, []Line{
		{Location: "one.txt:2: kill a", Text: "kill a  ", Words: []string{"kill", "a"}},
		{Location: "one.txt:4: wait 2s", Text: "  wait 2s", Words: []string{"wait", "2s"}},
	})
}
