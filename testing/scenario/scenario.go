// Package scenario reads the scenario files of tests. Each line holds one command; a # begins a comment.
package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Line is one command.
type Line struct {
	Location string // file, line number and text, for failure messages
	Text     string // without the comment
	Words    []string
}

// Each runs play as a subtest for each scenario file in testdata, and fails if there is none.
func Each(t *testing.T, play func(t *testing.T, path string)) {
	t.Helper()
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) { play(t, path) })
	}
}

// Read returns the commands of a scenario file.
func Read(path string) ([]Line, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var lines []Line
	for index, line := range strings.Split(string(text), "\n") {
		command, _, _ := strings.Cut(line, "#")
		if words := strings.Fields(command); len(words) > 0 {
			location := fmt.Sprintf("%s:%d: %s", filepath.Base(path), index+1, strings.TrimSpace(command))
			lines = append(lines, Line{Location: location, Text: command, Words: words})
		}
	}
	return lines, nil
}

// MustRead is like Read, but ends the test if the file can't be read.
func MustRead(t testing.TB, path string) []Line {
	t.Helper()
	lines, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// ParseInt parses an integer. A malformed number is a mistake in the scenario file, so ParseInt panics, as do ParseFloat and
// ParseDuration.
func ParseInt(word string) int {
	value, err := strconv.Atoi(word)
	if err != nil {
		panic(err)
	}
	return value
}

// ParseFloat parses a number such as 0.3.
func ParseFloat(word string) float64 {
	value, err := strconv.ParseFloat(word, 64)
	if err != nil {
		panic(err)
	}
	return value
}

// ParseDuration parses a duration such as 300ms.
func ParseDuration(word string) time.Duration {
	value, err := time.ParseDuration(word)
	if err != nil {
		panic(err)
	}
	return value
}
