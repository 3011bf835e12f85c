package wire

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"eiderway/control/failover"
)

// Verb is the first word of a statement, after an AFTERPOS.
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

// The system's own statements, which only instances take.
const (
	Status   Verb = "STATUS"
	Pause    Verb = "PAUSE"
	Continue Verb = "CONTINUE"
	StepDown Verb = "STEPDOWN"
	Reset    Verb = "RESET"
)

// afterPos stands before a read or a BEGIN that must see a position; only the system sends it.
const afterPos = "AFTERPOS"

// Statement is a statement's text, read.
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
	HasAfter bool              // AFTERPOS stands before it
	After    failover.Position // with HasAfter
}

// ParseStatement reads a statement as a client may send it.
func ParseStatement(text string) (Statement, error) {
	verb, fields, hasFields := strings.Cut(text, " ")
	statement := Statement{Verb: Verb(verb)}
	var whole bool
	switch statement.Verb {
	case Commit, Abort:
		whole = !hasFields
	case Begin:
		statement.ReadOnly = fields == string(Fetch)
		whole = !hasFields || statement.ReadOnly
	case Fetch:
		statement.Key = fields
		whole = fields != ""
	case Put:
		statement.Key, statement.Data, whole = strings.Cut(fields, " ")
		whole = whole && statement.Key != ""
	case SetOpt:
		statement.Name, statement.Value, whole = strings.Cut(fields, " ")
		whole = whole && statement.Name != ""
	case Prepare:
		whole = statement.readPrepare(fields)
	case Execute:
		whole = statement.readExecute(fields)
	case Release:
		statement.Name = fields
		whole = isWord(fields)
	}
	if !whole {
		return Statement{}, eris.Wrapf(ErrMalformed, "statement %q", shortened(verb))
	}
	return statement, nil
}

func (s *Statement) readPrepare(fields string) bool {
	name, rest, _ := strings.Cut(fields, " ")
	kind, shape, _ := strings.Cut(rest, " ")
	s.Name, s.Kind, s.Shape = name, Verb(kind), shape
	return name != "" && shape != "" && (s.Kind == Fetch || s.Kind == Put)
}

func (s *Statement) readExecute(fields string) bool {
	name, rest, _ := strings.Cut(fields, " ")
	s.Name = name
	s.Key, s.Data, s.HasData = strings.Cut(rest, " ")
	return name != "" && s.Key != ""
}

// ParseInstanceStatement reads a statement as an instance takes it: also the system's own, and AFTERPOS.
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
		return parseAfter(fields)
	}
	return ParseStatement(text)
}

func parseAfter(fields string) (Statement, error) {
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

// AfterPositionText is the text of a read or a BEGIN that must see a position.
func AfterPositionText(position failover.Position, text string) string {
	return afterPos + " " + FormatPosition(position) + " " + text
}

// PrepareText is the text that prepares a shape under a name.
func PrepareText(name string, kind Verb, shape string) string {
	return string(Prepare) + " " + name + " " + string(kind) + " " + shape
}

// SetOptText is the text that sets a session value.
func SetOptText(name, value string) string { return string(SetOpt) + " " + name + " " + value }

// RenameExecute puts another prepared name into the text of an EXECUTE and leaves the rest as it is.
func RenameExecute(text, name string) string {
	rest := strings.TrimPrefix(text, string(Execute)+" ")
	_, fields, _ := strings.Cut(rest, " ")
	return string(Execute) + " " + name + " " + fields
}

// isWord tells whether the text is one field.
func isWord(text string) bool { return text != "" && !strings.Contains(text, " ") }

// shortened keeps error texts short whatever a client sent.
func shortened(word string) string {
	const most = 16 // bytes: longer than any verb
	if len(word) > most {
		return word[:most]
	}
	return word
}
