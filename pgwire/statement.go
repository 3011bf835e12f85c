package pgwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// This file owns the form of a statement: a comment of names and values, then one SQL command. It must never
// change anything in it but the value of d.

// Statement is a client's statement with what its comment says.
type Statement struct {
	Text        string
	ID          string
	Type        string  // the txn type's name
	Wait        float64 // s the client waits for the answer
	Group       int
	MinPosition float64 // s, the position that the read must see; 0: none
	IsRetry     bool    // the client marks it as a retry
	Key         string  // the first quoted value, which names the session where there are any
	plain       bool    // it has no comment: it passes on as it came
	waitAt      int     // where the value of d stands
	waitEnd     int
}

// longestWait bounds d, in ms, so that no arithmetic on it runs over.
const longestWait = 1 << 40

// NewUntagged is a statement without our comment, under an id that no comment can hold.
func NewUntagged(text string, number int, wait float64, group int) Statement {
	return Statement{Text: text, ID: "," + strconv.Itoa(number), Wait: wait, Group: group, plain: true}
}

// IsTagged tells whether a statement begins with a comment that is meant as ours, well formed or not.
func IsTagged(text string) bool {
	end := strings.Index(text, "*/")
	if !strings.HasPrefix(text, "/*") || end < 2 {
		return false
	}
	names := map[string]bool{}
	for part := range strings.SplitSeq(text[2:end], ",") {
		name, _, ok := strings.Cut(part, "=")
		names[strings.TrimSpace(name)] = ok
	}
	return names["id"] && names["c"]
}

// ParseStatement reads a statement; of a malformed one it says what is wrong.
func ParseStatement(text string) (s Statement, err error) {
	s = Statement{Text: text, Group: -1, Wait: -1}
	if !strings.HasPrefix(text, "/*") {
		return s, fmt.Errorf("no comment")
	}
	end := strings.Index(text, "*/")
	if end < 2 {
		return s, fmt.Errorf("comment without an end")
	}
	seen := map[string]bool{}
	for at := 2; at < end; {
		stop := strings.IndexByte(text[at:end], ',')
		if stop < 0 {
			stop = end - at
		}
		name, value, ok := strings.Cut(text[at:at+stop], "=")
		from := at + len(name) + 1
		name = strings.TrimSpace(name)
		trimmed := strings.TrimSpace(value)
		if !ok || name == "" || trimmed == "" || seen[name] {
			return s, fmt.Errorf("malformed comment")
		}
		seen[name] = true
		switch name {
		case "id":
			s.ID = trimmed
		case "c":
			s.Type = trimmed
		case "d":
			ms, err := strconv.ParseFloat(trimmed, 64)
			if err != nil || math.IsInf(ms, 0) || !(ms > 0) {
				return s, fmt.Errorf("malformed d")
			}
			s.Wait = min(ms, longestWait) / 1000
			s.waitAt = from + strings.Index(value, trimmed)
			s.waitEnd = s.waitAt + len(trimmed)
		case "cluster":
			if s.Group, err = strconv.Atoi(trimmed); err != nil || s.Group < 0 {
				return s, fmt.Errorf("malformed cluster")
			}
		case "r":
			s.IsRetry = trimmed == "1"
		case "after":
			ms, err := strconv.ParseFloat(trimmed, 64)
			if err != nil || math.IsNaN(ms) || math.IsInf(ms, 0) || ms < 0 {
				return s, fmt.Errorf("malformed after")
			}
			s.MinPosition = ms / 1000
		}
		at += stop + 1
	}
	if s.ID == "" || s.Type == "" || s.Wait <= 0 || s.Group < 0 {
		return s, fmt.Errorf("the comment lacks id, c, d or cluster")
	}
	return s, s.command(text[end+2:])
}

// command finds the first quoted value, and sees to it that the command is there and is the only one.
func (s *Statement) command(sql string) error {
	quoted, ended, any, first := false, false, false, -1
	for i := 0; i < len(sql); i++ {
		switch c := sql[i]; {
		case c == 0:
			return fmt.Errorf("a zero byte in the command")
		case c == '\'':
			if ended {
				return fmt.Errorf("more than one command")
			}
			quoted, any = !quoted, true
			if first < 0 {
				first = i + 1
			} else if s.Key == "" && !quoted {
				s.Key = sql[first:i]
			}
		case quoted || c == ' ' || c == '\t' || c == '\n' || c == '\r':
		case c == ';':
			ended = true
		case ended:
			return fmt.Errorf("more than one command")
		default:
			any = true
		}
	}
	if !any || quoted {
		return fmt.Errorf("no whole command")
	}
	return nil
}

// AppendTo adds the statement as a query that says how long, in s, it is waited for.
func (s *Statement) AppendTo(dst []byte, wait float64) []byte {
	if s.plain {
		return AppendQuery(dst, s.Text)
	}
	ms := strconv.FormatInt(int64(max(1, math.Ceil(wait*1000))), 10)
	return Append(dst, 'Q', s.Text[:s.waitAt], ms, s.Text[s.waitEnd:], "\x00")
}
