package store

import (
	"errors"
	"os"
	"testing"
)

func isErr(err, target error) bool { return errors.Is(err, target) }

// names returns the sorted names of the files in a folder.
func names(t *testing.T, directory string) []string {
	t.Helper()
	entries, err := os.ReadDir(directory)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, entry := range entries {
		found = append(found, entry.Name())
	}
	return found
}
