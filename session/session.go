// Package session implements the state machine of a client's session: which statements the gateway answers itself, how a
// backend connection must be set up before it may run a statement, and what an answer, a broken connection or a timeout
// means for the client.
//
// It does no I/O and reads no clocks. The gateway passes each statement to HandleQuery, runs it on a backend connection if
// asked to, and passes the outcome to HandleOutcome, which returns the client's answer and what to do with the connection.
// Two invariants hold:
//
//   - The client is promised that a statement had no effect only if that is certain: it was not sent, the instance said so,
//     or the transaction's COMMIT was never sent and its connection is rolled back or closed.
//   - A session in state E has no backend connection. The transaction is rolled back at once, and the statement that ends
//     it is answered here. Nothing that a client sends after an error can reach an instance and be committed.
package session

import (
	"eiderway/wire"
)

// maxStatements is the largest number of reads and writes in one transaction; the protocol sets it.
const maxStatements = 12

// Limits on what a session may store at the gateway. Clients use little of it; the limits bound the gateway's memory with
// thousands of sessions.
const (
	maxPreparedNames = 64
	maxValues        = 64       // session values
	maxStoredBytes   = 16 << 10 // names, shapes and values together
	maxNameLength    = 256      // in bytes, of a prepared name or of a value's name
)

// Class is the kind of a statement that an instance runs.
type Class int

const (
	// Read changes nothing: FETCH, and EXECUTE of a FETCH.
	Read Class = iota
	// Write is a PUT, or an EXECUTE of a PUT.
	Write
	// Begin opens a transaction.
	Begin
	// Commit ends the transaction and commits its writes.
	Commit
	// Abort ends the transaction and rolls it back.
	Abort
)

// Statement is a statement that an instance must run.
type Statement struct {
	Class    Class
	Text     string    // as the client sent it
	Prepared *Prepared // of EXECUTE: the prepared statement that it runs

	ReadOnly bool // neither it nor the transaction that it begins writes anything, so a replica may run it
}

// Decision says what to do with a statement that the client sent.
type Decision struct {
	Local           bool        // the gateway replies with Answer and runs nothing
	Answer          wire.Answer // with Local
	Rollback        bool        // with Local: the transaction on the backend connection must be rolled back now
	Statement       Statement   // without Local
	NeedsConnection bool        // without Local: the statement begins a transaction or is outside one, so it has no backend connection yet
}

// Session is the state of one client's session.
type Session struct {
	state                 wire.State
	wrote                 bool                // the transaction has sent a write
	statements            int                 // number of reads and writes in the transaction
	hasUnreportedRollback bool                // the transaction was rolled back between statements, and the client has not been told
	prepared              map[string]Prepared // by the client's names
	values                map[string]string
	storedBytes           int
}

// New returns the session of a client that has just connected.
func New() *Session { return &Session{state: wire.Idle} }

// State returns the state that the client was last told.
func (s *Session) State() wire.State { return s.state }

// HasOpenTransaction reports whether a transaction is open at an instance.
func (s *Session) HasOpenTransaction() bool { return s.state == wire.InTransaction }

// IsFirstOperation reports whether the statement, which HandleQuery returned last, is the first read or write of the open
// transaction.
func (s *Session) IsFirstOperation(statement Statement) bool {
	isOperation := statement.Class == Read || statement.Class == Write
	return isOperation && s.HasOpenTransaction() && s.statements == 1
}

// HasWritten reports whether a write of the open transaction has been sent.
func (s *Session) HasWritten() bool { return s.wrote }

// HandleQuery decides what to do with the text of a QUERY.
func (s *Session) HandleQuery(text string) Decision {
	statement, err := wire.ParseStatement(text)
	if s.state == wire.Failed {
		return s.handleInFailedState(statement, err == nil)
	}
	if err != nil {
		return s.refuse(wire.Malformed, "")
	}
	switch statement.Verb {
	case wire.SetOpt, wire.Prepare, wire.Release:
		return s.handleLocally(statement)
	case wire.Begin:
		if s.state == wire.InTransaction {
			return s.refuse(wire.Malformed, "already in a transaction")
		}
		return s.forward(Statement{Class: Begin, Text: text, ReadOnly: statement.ReadOnly})
	case wire.Commit:
		return s.handleTransactionEnd(Statement{Class: Commit, Text: text})
	case wire.Abort:
		return s.handleTransactionEnd(Statement{Class: Abort, Text: text})
	case wire.Fetch:
		return s.handleOperation(Statement{Class: Read, Text: text, ReadOnly: true})
	case wire.Put:
		return s.handleOperation(Statement{Class: Write, Text: text})
	}
	return s.handleExecute(statement.Name, text)
}

func (s *Session) handleExecute(name, text string) Decision {
	prepared, known := s.prepared[name]
	if !known {
		return s.refuse(wire.NoStmt, name)
	}
	statement := Statement{Class: Read, Text: text, Prepared: &prepared, ReadOnly: true}
	if prepared.Kind == wire.Put {
		statement.Class, statement.ReadOnly = Write, false
	}
	return s.handleOperation(statement)
}

func (s *Session) handleOperation(statement Statement) Decision {
	if s.state == wire.InTransaction {
		if s.statements == maxStatements {
			return s.refuse(wire.Malformed, "too many statements in a transaction")
		}
		s.statements++
		s.wrote = s.wrote || statement.Class == Write
	}
	return s.forward(statement)
}

func (s *Session) handleTransactionEnd(statement Statement) Decision {
	if s.state == wire.Idle {
		return s.refuse(wire.Malformed, "not in a transaction")
	}
	return s.forward(statement)
}

func (s *Session) forward(statement Statement) Decision {
	return Decision{Statement: statement, NeedsConnection: s.state == wire.Idle}
}

// handleInFailedState answers a statement in state E: it accepts the end of the transaction and refuses everything else.
func (s *Session) handleInFailedState(statement wire.Statement, isValid bool) Decision {
	hasUnreportedRollback := s.hasUnreportedRollback
	s.hasUnreportedRollback = false
	switch {
	case isValid && statement.Verb == wire.Abort:
		s.endTransaction(wire.Idle)
		return answerLocally(wire.Completed(wire.Idle))
	case isValid && statement.Verb == wire.Commit:
		s.endTransaction(wire.Idle)
		return answerLocally(wire.Refusal(wire.RolledBack, "", wire.Idle))
	case hasUnreportedRollback:
		return answerLocally(wire.Refusal(wire.RolledBack, "", wire.Failed))
	}
	return answerLocally(wire.Refusal(wire.Malformed, "the transaction has failed", wire.Failed))
}

// refuse answers a statement that is not run. Inside a transaction, any error fails the transaction.
func (s *Session) refuse(code wire.Code, text string) Decision {
	rollback := s.state == wire.InTransaction
	if rollback {
		s.endTransaction(wire.Failed)
	}
	decision := answerLocally(wire.Refusal(code, text, s.state))
	decision.Rollback = rollback
	return decision
}

// HandleMalformed decides what to do with a message that can't be parsed at all.
func (s *Session) HandleMalformed() Decision {
	if s.state == wire.Failed {
		return s.handleInFailedState(wire.Statement{}, false)
	}
	return s.refuse(wire.Malformed, "")
}

// HandleRollback records that the open transaction was rolled back between statements: it was idle for too long, its
// connection was lost, or the gateway had to end it. The client is told with the answer to its next statement.
func (s *Session) HandleRollback() {
	if s.state != wire.InTransaction {
		return
	}
	s.endTransaction(wire.Failed)
	s.hasUnreportedRollback = true
}

// endTransaction records that the transaction has ended and sets the new state.
func (s *Session) endTransaction(state wire.State) {
	s.state = state
	s.wrote = false
	s.statements = 0
}

func answerLocally(answer wire.Answer) Decision { return Decision{Local: true, Answer: answer} }
