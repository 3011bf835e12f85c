// Package session decides what happens in a client's session: which statements are answered at the gateway, what must
// be put in order on a backend connection before a statement may run there, and what an answer, a broken connection
// or a time-out means for the client.
//
// It does no I/O and knows no clocks. The gateway asks HandleQuery what to do with a text, runs what it says, and asks HandleOutcome
// what the client is told and what becomes of the backend connection. Two things hold throughout:
//
//   - A promise that nothing of a try is kept is given only where that is known: the statement was not sent, the
//     instance says so, or the transaction's COMMIT was never sent and its connection is rolled back or closed.
//   - A session in state E has no backend connection. The transaction is rolled back at once, and its end is answered
//     here. So nothing that a client sends after an error can reach an instance and be kept.
package session

import (
	"eiderway/wire"
)

// maxStatements is the most reads and writes of one transaction; the protocol sets it.
const maxStatements = 12

// Bounds of what a session may keep at the gateway. Clients use a few; these keep memory bounded with thousands of
// sessions.
const (
	maxNames      = 64       // prepared names
	maxValues     = 64       // session values
	maxKeptBytes  = 16 << 10 // of names, shapes and values together
	maxNameLength = 256      // bytes of a prepared name or of a value's name
)

// Class says how a statement is run at an instance.
type Class int

const (
	// Read keeps nothing: FETCH, and EXECUTE of a FETCH.
	Read Class = iota
	// Write: PUT, and EXECUTE of a PUT.
	Write
	// Begin opens a transaction.
	Begin
	// Commit ends it and keeps its writes.
	Commit
	// Abort ends it and keeps nothing.
	Abort
)

// Statement is a statement that must run at an instance.
type Statement struct {
	Class    Class
	Text     string    // as the client sent it
	Prepared *Prepared // for an EXECUTE: what its name stands for

	ReadOnly bool // it keeps nothing, nor does the transaction that it opens: a replica may run it
}

// Decision says what to do with a text that the client sent.
type Decision struct {
	Local           bool        // answer with Answer; nothing is run
	Answer          wire.Answer // with Local
	Rollback        bool        // with Local: the backend connection's transaction must be rolled back now
	Statement       Statement   // without Local
	NeedsConnection bool        // without Local: the statement stands outside a transaction or begins one, and needs a connection
}

// Session is the state of one client's session.
type Session struct {
	state      wire.State
	wrote      bool // the transaction has sent a write
	statements int  // reads and writes of the transaction
	untold     bool // the transaction was rolled back while the client rested, and it hasn't heard of it
	names      map[string]Prepared
	values     map[string]string
	keptBytes  int
}

// New makes the session of a client that has just connected.
func New() *Session { return &Session{state: wire.Idle} }

// State is the state that the client was told last.
func (s *Session) State() wire.State { return s.state }

// HasOpenTransaction tells whether a transaction is open at an instance.
func (s *Session) HasOpenTransaction() bool { return s.state == wire.InTransaction }

// IsFirstOperation tells whether the statement, which was taken last, is the first read or write of the open transaction.
func (s *Session) IsFirstOperation(statement Statement) bool {
	runs := statement.Class == Read || statement.Class == Write
	return runs && s.HasOpenTransaction() && s.statements == 1
}

// HasWritten tells whether the open transaction has sent a write.
func (s *Session) HasWritten() bool { return s.wrote }

// HandleQuery decides what to do with the text of a QUERY.
func (s *Session) HandleQuery(text string) Decision {
	statement, err := wire.ParseStatement(text)
	if s.state == wire.Failed {
		return s.takeFailed(statement, err == nil)
	}
	if err != nil {
		return s.refuse(wire.Malformed, "")
	}
	switch statement.Verb {
	case wire.SetOpt, wire.Prepare, wire.Release:
		return s.takeOwn(statement)
	case wire.Begin:
		if s.state == wire.InTransaction {
			return s.refuse(wire.Malformed, "already in a transaction")
		}
		return s.run(Statement{Class: Begin, Text: text, ReadOnly: statement.ReadOnly})
	case wire.Commit:
		return s.takeEnd(Statement{Class: Commit, Text: text})
	case wire.Abort:
		return s.takeEnd(Statement{Class: Abort, Text: text})
	case wire.Fetch:
		return s.takeOperation(Statement{Class: Read, Text: text, ReadOnly: true})
	case wire.Put:
		return s.takeOperation(Statement{Class: Write, Text: text})
	}
	return s.takeExecute(statement.Name, text)
}

func (s *Session) takeExecute(name, text string) Decision {
	prepared, known := s.names[name]
	if !known {
		return s.refuse(wire.NoStmt, name)
	}
	statement := Statement{Class: Read, Text: text, Prepared: &prepared, ReadOnly: true}
	if prepared.Kind == wire.Put {
		statement.Class, statement.ReadOnly = Write, false
	}
	return s.takeOperation(statement)
}

func (s *Session) takeOperation(statement Statement) Decision {
	if s.state == wire.InTransaction {
		if s.statements == maxStatements {
			return s.refuse(wire.Malformed, "too many statements in a transaction")
		}
		s.statements++
		s.wrote = s.wrote || statement.Class == Write
	}
	return s.run(statement)
}

func (s *Session) takeEnd(statement Statement) Decision {
	if s.state == wire.Idle {
		return s.refuse(wire.Malformed, "not in a transaction")
	}
	return s.run(statement)
}

func (s *Session) run(statement Statement) Decision {
	return Decision{Statement: statement, NeedsConnection: s.state == wire.Idle}
}

// takeFailed answers in state E: the end of the transaction, and the refusal of all else.
func (s *Session) takeFailed(statement wire.Statement, readable bool) Decision {
	untold := s.untold
	s.untold = false
	switch {
	case readable && statement.Verb == wire.Abort:
		s.leave(wire.Idle)
		return local(wire.Completed(wire.Idle))
	case readable && statement.Verb == wire.Commit:
		s.leave(wire.Idle)
		return local(wire.Refusal(wire.RolledBack, "", wire.Idle))
	case untold:
		return local(wire.Refusal(wire.RolledBack, "", wire.Failed))
	}
	return local(wire.Refusal(wire.Malformed, "the transaction has failed", wire.Failed))
}

// refuse answers a text that is not run. Inside a transaction any error fails it.
func (s *Session) refuse(code wire.Code, text string) Decision {
	rollback := s.state == wire.InTransaction
	if rollback {
		s.leave(wire.Failed)
	}
	decision := local(wire.Refusal(code, text, s.state))
	decision.Rollback = rollback
	return decision
}

// HandleMalformed is the decision on a message that can't be read at all.
func (s *Session) HandleMalformed() Decision {
	if s.state == wire.Failed {
		return s.takeFailed(wire.Statement{}, false)
	}
	return s.refuse(wire.Malformed, "")
}

// HandleRollback records that the open transaction was rolled back while nothing was asked: it rested for too long, its
// connection was lost, or the gateway had to end it. The client hears of it with its next statement.
func (s *Session) HandleRollback() {
	if s.state != wire.InTransaction {
		return
	}
	s.leave(wire.Failed)
	s.untold = true
}

// leave ends the transaction at the instance, as far as the session is concerned.
func (s *Session) leave(state wire.State) {
	s.state = state
	s.wrote = false
	s.statements = 0
}

func local(answer wire.Answer) Decision { return Decision{Local: true, Answer: answer} }
