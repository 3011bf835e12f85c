package session

import (
	"crypto/sha256"
	"encoding/hex"

	"eiderway/wire"
)

// Prepared is what a prepared name stands for.
type Prepared struct {
	Kind  wire.Verb // wire.Fetch or wire.Put
	Shape string
}

// longestPlainShape is the longest shape, in bytes, that becomes a name as it is.
const longestPlainShape = 32

// BackendName is the name under which the shape is prepared on backend connections. It follows from kind and shape
// alone, so that sessions with the same shape share it whatever they call it themselves, and no two shapes have the
// same: names of plain shapes are marked f or p, others are digests marked F or P.
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

// takeOwn answers SETOPT, PREPARE and RELEASE, which the session keeps at the gateway.
func (s *Session) takeOwn(statement wire.Statement) Decision {
	switch statement.Verb {
	case wire.SetOpt:
		if !s.keepValue(statement.Name, statement.Value) {
			return s.refuse(wire.Malformed, "too many session values")
		}
	case wire.Prepare:
		if !s.keepName(statement.Name, Prepared{Kind: statement.Kind, Shape: statement.Shape}) {
			return s.refuse(wire.Malformed, "too many prepared names")
		}
	case wire.Release:
		prepared, known := s.names[statement.Name]
		if !known {
			return s.refuse(wire.NoStmt, statement.Name)
		}
		s.keptBytes -= len(statement.Name) + len(prepared.Shape)
		delete(s.names, statement.Name)
	}
	return local(wire.Completed(s.state))
}

func (s *Session) keepName(name string, prepared Prepared) bool {
	old, known := s.names[name]
	bytes := s.keptBytes + len(name) + len(prepared.Shape)
	if known {
		bytes -= len(name) + len(old.Shape)
	}
	if len(name) > maxNameLength || bytes > maxKeptBytes || (!known && len(s.names) == maxNames) {
		return false
	}
	if s.names == nil {
		s.names = map[string]Prepared{}
	}
	s.names[name] = prepared
	s.keptBytes = bytes
	return true
}

func (s *Session) keepValue(name, value string) bool {
	old, known := s.values[name]
	bytes := s.keptBytes + len(name) + len(value)
	if known {
		bytes -= len(name) + len(old)
	}
	if len(name) > maxNameLength || bytes > maxKeptBytes || (!known && len(s.values) == maxValues) {
		return false
	}
	if s.values == nil {
		s.values = map[string]string{}
	}
	s.values[name] = value
	s.keptBytes = bytes
	return true
}
