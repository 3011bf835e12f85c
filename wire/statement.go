package wire

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"eiderway/control/failover"
)

// Verb is the first word of a statement, not counting an AFTERPOS prefix.
type Verb string

// The statements of clients.
const (
	Begin   Verb = "BEGIN"
	Commit  Verb = "COMMIT"
	Abort   Verb = "ABORT"
	Fetch   Verb = "FETCH"
	Put     Verb = "PUT"
	SetOpt  Verb = "SETOPT"
	Prepare Verb = "PREPARE"
	Execute Verb = "EXECUTE"
	Release Verb = "RELEASE"
)

// The system's internal statements, which only instances accept.
const (
	Status   Verb = "STATUS"
	Pause    Verb = "PAUSE"
	Continue Verb = "CONTINUE"
	StepDown Verb = "STEPDOWN"
	Reset    Verb = "RESET"
)

// afterPos is the prefix of a read or a BEGIN that must see the log up to a position; only the system sends it.
const afterPos = "AFTERPOS"

// Statement is a parsed statement.
type Statement struct {
	Verb     Verb
	ReadOnly bool              // of BEGIN: BEGIN FETCH
	Name     string            // of SETOPT, PREPARE, EXECUTE, RELEASE
	Value    string            // of SETOPT
	Kind     Verb              // of PREPARE: Fetch or Put
	Shape    string            // of PREPARE
	Key      string            // of FETCH, PUT, EXECUTE
	Data     string            // of PUT, EXECUTE
	HasData  bool              // of EXECUTE
	Term     uint64            // of PAUSE, STEPDOWN
	HasAfter bool              // an AFTERPOS precedes it
	After    failover.Position // with HasAfter
}

// ParseStatement parses a statement that a client may send.
func ParseStatement(text string) (Statement, error) {
	verb, fields, hasFields := strings.Cut(text, " ")
	statement := Statement{Verb: Verb(verb)}
	var isComplete bool
	switch statement.Verb {
	case Commit, Abort:
		isComplete = !hasFields
	case Begin:
		statement.ReadOnly = fields == string(Fetch)
		isComplete = !hasFields || statement.ReadOnly
	case Fetch:
		statement.Key = fields
		isComplete = fields != ""
	case Put:
		statement.Key, statement.Data, isComplete = strings.Cut(fields, " ")
		isComplete = isComplete && statement.Key != ""
	case SetOpt:
		statement.Name, statement.Value, isComplete = strings.Cut(fields, " ")
		isComplete = isComplete && statement.Name != ""
	case Prepare:
		isComplete = statement.parsePrepare(fields)
	case Execute:
		isComplete = statement.parseExecute(fields)
	case Release:
		statement.Name = fields
		isComplete = isSingleField(fields)
	}
	if !isComplete {
		return Statement{}, eris.Wrapf(ErrMalformed, "statement %q", truncated(verb))
	}
	return statement, nil
}

func (s *Statement) parsePrepare(fields string) bool {
	name, rest, _ := strings.Cut(fields, " ")
	kind, shape, _ := strings.Cut(rest, " ")
	s.Name, s.Kind, s.Shape = name, Verb(kind), shape
	return name != "" && shape != "" && (s.Kind == Fetch || s.Kind == Put)
}

func (s *Statement) parseExecute(fields string) bool {
	name, rest, _ := strings.Cut(fields, " ")
	s.Name = name
	s.Key, s.Data, s.HasData = strings.Cut(rest, " ")
	return name != "" && s.Key != ""
}

// ParseInstanceStatement parses a statement that an instance accepts, which includes internal statements and AFTERPOS.
func ParseInstanceStatement(text string) (Statement, error) {
	verb, fields, hasFields := strings.Cut(text, " ")
	switch Verb(verb) {
	case Status, Continue, Reset:
		if hasFields {
			return Statement{}, eris.Wrapf(ErrMalformed, "%s with fields", verb)
		}
		return Statement{Verb: Verb(verb)}, nil
	case Pause, StepDown:
		term, err := strconv.ParseUint(fields, 10, 64)
		if err != nil {
			return Statement{}, eris.Wrapf(ErrMalformed, "%s without a term", verb)
		}
		return Statement{Verb: Verb(verb), Term: term}, nil
	case afterPos:
		return parseAfterPosition(fields)
	}
	return ParseStatement(text)
}

func parseAfterPosition(fields string) (Statement, error) {
	position, rest, _ := strings.Cut(fields, " ")
	after, err := ParsePosition(position)
	if err != nil {
		return Statement{}, err
	}
	statement, err := ParseStatement(rest)
	if err != nil {
		return Statement{}, err
	}
	statement.HasAfter, statement.After = true, after
	return statement, nil
}

// AfterPositionText returns the text of a read or a BEGIN that must see the log up to the position.
func AfterPositionText(position failover.Position, text string) string {
	return afterPos + " " + FormatPosition(position) + " " + text
}

// PrepareText returns the text that prepares a shape under a name.
func PrepareText(name string, kind Verb, shape string) string {
	return string(Prepare) + " " + name + " " + string(kind) + " " + shape
}

// SetOptText returns the text that sets a session value.
func SetOptText(name, value string) string { return string(SetOpt) + " " + name + " " + value }

// RenameExecute replaces the prepared name in the text of an EXECUTE and leaves the rest unchanged.
func RenameExecute(text, name string) string {
	rest := strings.TrimPrefix(text, string(Execute)+" ")
	_, fields, _ := strings.Cut(rest, " ")
	return string(Execute) + " " + name + " " + fields
}

// isSingleField reports whether the text is exactly one field.
func isSingleField(text string) bool { return text != "" && !strings.Contains(text, " ") }

// truncated keeps error messages short whatever a client sent.
func truncated(word string) string {
	const maxLength = 16 // bytes: longer than any verb
	if len(word) > maxLength {
		return word[:maxLength]
	}
	return word
}
