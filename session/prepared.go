package session

import (
	"crypto/sha256"
	"encoding/hex"

	"eiderway/wire"
)

// Prepared is a prepared statement: the kind and shape that a prepared name refers to.
type Prepared struct {
	Kind  wire.Verb // wire.Fetch or wire.Put
	Shape string
}

// longestPlainShape is the length in bytes up to which a shape is used in its backend name verbatim.
const longestPlainShape = 32

// BackendName returns the name under which the shape is prepared on backend connections. It depends on kind and shape
// alone, so sessions with the same shape share it whatever name they use themselves, and no two shapes have the same name:
// names of plain shapes start with f or p, the others are digests that start with F or P.
func (p Prepared) BackendName() string {
	if isPlain(p.Shape) {
		if p.Kind == wire.Put {
			return "p" + p.Shape
		}
		return "f" + p.Shape
	}
	digest := sha256.Sum256([]byte(p.Shape))
	name := hex.EncodeToString(digest[:])
	if p.Kind == wire.Put {
		return "P" + name
	}
	return "F" + name
}

func isPlain(shape string) bool {
	if len(shape) > longestPlainShape {
		return false
	}
	for _, character := range []byte(shape) {
		isDigit := character >= '0' && character <= '9'
		isLetter := character >= 'a' && character <= 'z' || character >= 'A' && character <= 'Z'
		if !isDigit && !isLetter {
			return false
		}
	}
	return true
}

// handleLocally answers SETOPT, PREPARE and RELEASE, whose effects the session stores at the gateway.
func (s *Session) handleLocally(statement wire.Statement) Decision {
	switch statement.Verb {
	case wire.SetOpt:
		if !s.storeValue(statement.Name, statement.Value) {
			return s.refuse(wire.Malformed, "too many session values")
		}
	case wire.Prepare:
		if !s.storePrepared(statement.Name, Prepared{Kind: statement.Kind, Shape: statement.Shape}) {
			return s.refuse(wire.Malformed, "too many prepared names")
		}
	case wire.Release:
		prepared, known := s.prepared[statement.Name]
		if !known {
			return s.refuse(wire.NoStmt, statement.Name)
		}
		s.storedBytes -= len(statement.Name) + len(prepared.Shape)
		delete(s.prepared, statement.Name)
	}
	return answerLocally(wire.Completed(s.state))
}

func (s *Session) storePrepared(name string, prepared Prepared) bool {
	old, known := s.prepared[name]
	bytes := s.storedBytes + len(name) + len(prepared.Shape)
	if known {
		bytes -= len(name) + len(old.Shape)
	}
	if len(name) > maxNameLength || bytes > maxStoredBytes || (!known && len(s.prepared) == maxPreparedNames) {
		return false
	}
	if s.prepared == nil {
		s.prepared = map[string]Prepared{}
	}
	s.prepared[name] = prepared
	s.storedBytes = bytes
	return true
}

func (s *Session) storeValue(name, value string) bool {
	old, known := s.values[name]
	bytes := s.storedBytes + len(name) + len(value)
	if known {
		bytes -= len(name) + len(old)
	}
	if len(name) > maxNameLength || bytes > maxStoredBytes || (!known && len(s.values) == maxValues) {
		return false
	}
	if s.values == nil {
		s.values = map[string]string{}
	}
	s.values[name] = value
	s.storedBytes = bytes
	return true
}
