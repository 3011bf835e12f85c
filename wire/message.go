// Package wire implements the line protocol that clients, gateways and instances share.
//
// A message is a line: a word and its fields, separated by single blanks and terminated by CR LF; the last field extends
// to the end of the line. The package parses and formats the messages of both directions, and has a small blocking client
// for an instance. Package session has the rules of sessions.
package wire

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"eiderway/control/failover"
)

// MaxMessage is the largest size of a message in bytes, including its CR LF; the protocol sets it.
const MaxMessage = 1 << 20

// InternalID is the ID of statements that the system sends on its own behalf.
const InternalID = "-"

// NoPosition stands for a missing position, and NoStamp for a missing stamp.
const (
	NoPosition = "-"
	NoStamp    = "-"
)

// Code is the error code of an ERROR.
type Code string

// The codes of the protocol.
const (
	Busy       Code = "BUSY"
	RolledBack Code = "ROLLEDBACK"
	Lagging    Code = "LAGGING"
	ReadOnly   Code = "READONLY"
	WrongNode  Code = "WRONGNODE"
	ConnLimit  Code = "CONNLIMIT"
	InDoubt    Code = "INDOUBT"
	Timeout    Code = "TIMEOUT"
	ExecFail   Code = "EXECFAIL"
	NoStmt     Code = "NOSTMT"
	NoDB       Code = "NODB"
	AuthFail   Code = "AUTHFAIL"
	Malformed  Code = "MALFORMED"
)

// PromisesNoEffect reports whether the code promises that the statement had no effect.
func (code Code) PromisesNoEffect() bool {
	switch code {
	case Busy, RolledBack, Lagging, ReadOnly, WrongNode, ConnLimit:
		return true
	}
	return false
}

// State is the state of a session as READY reports it.
type State byte

// The states of a session.
const (
	Idle          State = 'I' // outside a transaction
	InTransaction State = 'T'
	Failed        State = 'E' // in a transaction that failed: ending it rolls it back
)

// ErrMalformed is the cause of the error for every message that can't be parsed.
var ErrMalformed = eris.New("malformed message")

// Connect is the first message of a connection.
type Connect struct {
	Database   string // to an instance: the name of the service
	User       string // to a gateway: the API key; to an instance: a user name
	InstanceID string // to an instance: the ID that it must have, or empty
}

// Request is a message of a client after CONNECT: a QUIT or a QUERY.
type Request struct {
	Quit bool
	ID   string // of a QUERY
	Text string // of a QUERY
}

// ParseConnect parses the first message of a connection, without its CR LF.
func ParseConnect(line string) (Connect, error) {
	word, rest, _ := strings.Cut(line, " ")
	if word != "CONNECT" {
		return Connect{}, eris.Wrap(ErrMalformed, "CONNECT expected")
	}
	database, rest, found := strings.Cut(rest, " ")
	if !found || database == "" {
		return Connect{}, eris.Wrap(ErrMalformed, "CONNECT without its fields")
	}
	user, instanceID, hasID := strings.Cut(rest, " ")
	if user == "" || (hasID && instanceID == "") {
		return Connect{}, eris.Wrap(ErrMalformed, "CONNECT with an empty field")
	}
	return Connect{Database: database, User: user, InstanceID: instanceID}, nil
}

// ParseRequest parses a message after CONNECT, without its CR LF.
func ParseRequest(line string) (Request, error) {
	if line == "QUIT" {
		return Request{Quit: true}, nil
	}
	word, rest, _ := strings.Cut(line, " ")
	if word != "QUERY" {
		return Request{}, eris.Wrap(ErrMalformed, "QUERY or QUIT expected")
	}
	id, text, found := strings.Cut(rest, " ")
	if !found || id == "" || text == "" {
		return Request{}, eris.Wrap(ErrMalformed, "QUERY without its fields")
	}
	return Request{ID: id, Text: text}, nil
}

// AppendConnect appends a CONNECT to the buffer.
func AppendConnect(buffer []byte, connect Connect) []byte {
	buffer = append(buffer, "CONNECT "...)
	buffer = append(buffer, connect.Database...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, connect.User...)
	if connect.InstanceID != "" {
		buffer = append(buffer, ' ')
		buffer = append(buffer, connect.InstanceID...)
	}
	return append(buffer, "\r\n"...)
}

// AppendQuery appends a QUERY to the buffer.
func AppendQuery(buffer []byte, id, text string) []byte {
	buffer = append(buffer, "QUERY "...)
	buffer = append(buffer, id...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, text...)
	return append(buffer, "\r\n"...)
}

// AppendQuit appends a QUIT to the buffer.
func AppendQuit(buffer []byte) []byte { return append(buffer, "QUIT\r\n"...) }

// Answer is the answer to a QUERY.
type Answer struct {
	Rows     []string
	Stamp    string // of COMPLETE
	Code     Code   // of ERROR; empty if the statement completed
	Text     string // of ERROR
	State    State
	Position string // as received: TERM.NUMBER or "-"
}

// Refusal returns an answer with an ERROR.
func Refusal(code Code, text string, state State) Answer {
	return Answer{Code: code, Text: text, State: state, Position: NoPosition}
}

// Completed returns an answer that the system gives itself: COMPLETE without a stamp.
func Completed(state State) Answer {
	return Answer{Stamp: NoStamp, State: state, Position: NoPosition}
}

// AppendAnswer appends a whole answer to the buffer: rows, COMPLETE or ERROR, and READY.
func AppendAnswer(buffer []byte, answer Answer) []byte {
	for _, row := range answer.Rows {
		buffer = append(buffer, "ROW "...)
		buffer = append(buffer, row...)
		buffer = append(buffer, "\r\n"...)
	}
	if answer.Code != "" {
		buffer = AppendError(buffer, answer.Code, answer.Text)
	} else {
		buffer = append(buffer, "COMPLETE "...)
		buffer = append(buffer, answer.Stamp...)
		buffer = append(buffer, "\r\n"...)
	}
	return AppendReady(buffer, answer.State, answer.Position)
}

// AppendError appends an ERROR to the buffer.
func AppendError(buffer []byte, code Code, text string) []byte {
	buffer = append(buffer, "ERROR "...)
	buffer = append(buffer, code...)
	if text != "" {
		buffer = append(buffer, ' ')
		buffer = append(buffer, text...)
	}
	return append(buffer, "\r\n"...)
}

// AppendReady appends a READY to the buffer.
func AppendReady(buffer []byte, state State, position string) []byte {
	buffer = append(buffer, "READY "...)
	buffer = append(buffer, byte(state), ' ')
	buffer = append(buffer, position...)
	return append(buffer, "\r\n"...)
}

// ParseReady parses the fields of a READY.
func ParseReady(fields string) (State, string, error) {
	state, position, found := strings.Cut(fields, " ")
	if !found || len(state) != 1 || position == "" {
		return 0, "", eris.Wrap(ErrMalformed, "READY without its fields")
	}
	switch known := State(state[0]); known {
	case Idle, InTransaction, Failed:
		return known, position, nil
	}
	return 0, "", eris.Wrap(ErrMalformed, "READY with an unknown state")
}

// ParsePosition parses TERM.NUMBER.
func ParsePosition(text string) (failover.Position, error) {
	term, number, found := strings.Cut(text, ".")
	if !found {
		return failover.Position{}, eris.Wrapf(ErrMalformed, "position %q", text)
	}
	termValue, termErr := strconv.ParseUint(term, 10, 64)
	numberValue, numberErr := strconv.ParseUint(number, 10, 64)
	if termErr != nil || numberErr != nil {
		return failover.Position{}, eris.Wrapf(ErrMalformed, "position %q", text)
	}
	return failover.Position{Term: termValue, Number: numberValue}, nil
}

// FormatPosition formats a position as TERM.NUMBER.
func FormatPosition(position failover.Position) string {
	return strconv.FormatUint(position.Term, 10) + "." + strconv.FormatUint(position.Number, 10)
}
