package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"

	"eiderway/control/quorum"
)

// Report describes the content of an intact file.
type Report struct {
	Path        string
	Format      int
	Incarnation quorum.Incarnation
	Voter       quorum.VoterRecord
	Stamp       quorum.Stamp
	Entries     int
	EntryBytes  int64 // of keys and values
	FileBytes   int64
	UsedBytes   int64 // part of FileBytes; the rest is free for later transactions
}

// Check reads the whole file and returns an error if it is damaged, in use, or of a newer format. It doesn't modify the file.
func Check(path string) (Report, error) {
	found, size, err := readShared(path)
	if err != nil {
		return Report{}, err
	}
	report := Report{
		Path:        path,
		Format:      formatVersion,
		Incarnation: found.head.Incarnation,
		Voter:       found.head.Voter,
		Stamp:       found.head.Stamp,
		Entries:     len(found.entries),
		FileBytes:   size,
		UsedBytes:   int64(found.pages) * pageSize,
	}
	for key, value := range found.entries {
		report.EntryBytes += int64(len(key) + len(value))
	}
	return report, nil
}

// readShared reads a file that no process has open for writing.
func readShared(path string) (contents, int64, error) {
	file, err := openLocked(path, os.O_RDONLY, syscall.LOCK_SH)
	if err != nil {
		return contents{}, 0, eris.Wrap(err, "open the control state")
	}
	info, err := file.Stat()
	if err != nil {
		return contents{}, 0, errors.Join(err, file.Close())
	}
	found, err := readContents(file, info.Size())
	return found, info.Size(), errors.Join(err, file.Close())
}

// Inspect checks a file and writes the report as text.
func Inspect(path string, out io.Writer) error {
	report, err := Check(path)
	if err != nil {
		return err
	}
	_, err = io.WriteString(out, report.String())
	return err
}

// String returns the report as text, one fact per line.
func (r Report) String() string {
	var text strings.Builder
	line := func(name, format string, arguments ...any) {
		fmt.Fprintf(&text, "%-12s %s\n", name, fmt.Sprintf(format, arguments...))
	}
	line("file", "%s", r.Path)
	line("format", "%d", r.Format)
	line("incarnation", "%s", r.Incarnation)
	line("promised", "epoch %d", r.Voter.Promised)
	line("view", "%s", describeView(r.Voter.Accepted))
	for _, member := range r.Voter.Accepted.Voters {
		line("voter", "%s", describeMember(r.Voter.Accepted, member))
	}
	line("may found", "%t", r.Voter.MayFound)
	line("stamp", "%s", r.Stamp)
	line("entries", "%d, %d bytes", r.Entries, r.EntryBytes)
	line("size", "%d bytes, %d in use", r.FileBytes, r.UsedBytes)
	return text.String()
}

func describeView(view quorum.View) string {
	if len(view.Voters) == 0 {
		return "none accepted yet"
	}
	return fmt.Sprintf("%s, %d voters, %d copies", view.ID, len(view.Voters), len(view.Copies))
}

func describeMember(view quorum.View, member quorum.Member) string {
	text := fmt.Sprintf("%s %s at %s", member.Incarnation, member.Name, member.Address)
	if member.Incarnation == view.Primary {
		return text + ", primary"
	}
	if view.HasCopy(member.Incarnation) {
		return text + ", copy"
	}
	return text
}
