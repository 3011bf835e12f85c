package pgwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// This file parses and rewrites statements: a comment of names and values, then one SQL command. Only the value
// of d in the comment may ever change.

// Statement is a client's statement and the values of its comment.
type Statement struct {
	Text        string
	ID          string
	Type        string  // name of the transaction type
	Wait        float64 // seconds that the client waits for the answer
	Group       int
	MinPosition float64 // position in seconds that the read must see; 0: none
	IsRetry     bool    // whether the client marks it as a retry
	Key         string  // first quoted value of the command; it names the session where there are sessions
	isUntagged  bool    // it has no comment of ours and is forwarded unchanged
	waitStart   int     // offsets in Text at which the value of d starts and ends
	waitEnd     int
}

// longestWait bounds d, in ms, so that arithmetic on it can't overflow.
const longestWait = 1 << 40

// NewUntagged returns a statement without our comment. Its id starts with a comma, so it can't equal an id from a comment.
func NewUntagged(text string, number int, wait float64, group int) Statement {
	return Statement{Text: text, ID: "," + strconv.Itoa(number), Wait: wait, Group: group, isUntagged: true}
}

// IsTagged reports whether a statement begins with a comment that has the names id and c, well formed or not.
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

// ParseStatement parses a statement with its comment; the error says what is malformed.
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
			s.waitStart = from + strings.Index(value, trimmed)
			s.waitEnd = s.waitStart + len(trimmed)
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
	return s, s.parseCommand(text[end+2:])
}

// parseCommand sets Key to the first quoted value and checks that sql holds exactly one command.
func (s *Statement) parseCommand(sql string) error {
	isQuoted, hasEnded, isPresent, first := false, false, false, -1
	for i := 0; i < len(sql); i++ {
		switch c := sql[i]; {
		case c == 0:
			return fmt.Errorf("a zero byte in the command")
		case c == '\'':
			if hasEnded {
				return fmt.Errorf("more than one command")
			}
			isQuoted, isPresent = !isQuoted, true
			if first < 0 {
				first = i + 1
			} else if s.Key == "" && !isQuoted {
				s.Key = sql[first:i]
			}
		case isQuoted || c == ' ' || c == '\t' || c == '\n' || c == '\r':
		case c == ';':
			hasEnded = true
		case hasEnded:
			return fmt.Errorf("more than one command")
		default:
			isPresent = true
		}
	}
	if !isPresent || isQuoted {
		return fmt.Errorf("no whole command")
	}
	return nil
}

// AppendTo adds the statement to dst as a simple query, with wait (in seconds) as its value of d.
func (s *Statement) AppendTo(dst []byte, wait float64) []byte {
	if s.isUntagged {
		return AppendQuery(dst, s.Text)
	}
	ms := strconv.FormatInt(int64(max(1, math.Ceil(wait*1000))), 10)
	return Append(dst, 'Q', s.Text[:s.waitStart], ms, s.Text[s.waitEnd:], "\x00")
}
