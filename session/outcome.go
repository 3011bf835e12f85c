package session

import (
	"eiderway/wire"
)

// OutcomeKind says how an attempt to run a statement ended.
type OutcomeKind int

const (
	// Answered means that the instance answered.
	Answered OutcomeKind = iota
	// NotRun means that the statement was not sent, so it has not been run and won't be.
	NotRun
	// Lost means that the statement was sent, and the connection ended without an answer.
	Lost
	// TimedOut means that the statement was sent, and its deadline passed without an answer.
	TimedOut
)

// Outcome describes how an attempt to run a statement ended.
type Outcome struct {
	Kind   OutcomeKind
	Answer wire.Answer // with Answered
	Reason string      // of NotRun, for the client
	Intact bool        // of NotRun: the connection still works and its state is unchanged
	Stale  bool        // the gateway's right to use the leader ended before the answer arrived
}

// BackendAction says what to do with the backend connection.
type BackendAction int

const (
	// KeepBackend keeps the connection for the session's open transaction.
	KeepBackend BackendAction = iota
	// FreeBackend returns the connection to the pool: another session may use it.
	FreeBackend
	// RollbackBackend rolls back the transaction on the connection, then frees the connection.
	RollbackBackend
	// CloseBackend closes the connection.
	CloseBackend
)

// Resolution is the answer to the client, and what to do with the backend connection.
type Resolution struct {
	Answer wire.Answer
	Action BackendAction

	// RolledBack says, with FreeBackend, that a transaction on the connection was rolled back rather than committed.
	RolledBack bool
}

// HandleOutcome decides on the outcome of a statement that HandleQuery returned.
func (s *Session) HandleOutcome(statement Statement, outcome Outcome) Resolution {
	wasInTransaction := s.state == wire.InTransaction
	resolution := s.resolve(statement, outcome)
	committed := statement.Class == Commit && outcome.Answer.Code == ""
	resolution.RolledBack = wasInTransaction && resolution.Action == FreeBackend && !committed
	return resolution
}

func (s *Session) resolve(statement Statement, outcome Outcome) Resolution {
	switch statement.Class {
	case Begin:
		return s.resolveBegin(outcome)
	case Commit:
		return s.resolveCommit(outcome)
	case Abort:
		return s.resolveAbort(outcome)
	}
	if s.state == wire.InTransaction {
		return s.resolveInTransaction(outcome)
	}
	return s.resolveSingle(statement.Class, outcome)
}

// resolveSingle resolves a read or write outside a transaction. The state stays I.
func (s *Session) resolveSingle(class Class, outcome Outcome) Resolution {
	answer := outcome.Answer
	switch {
	case outcome.Kind == NotRun:
		return refusal(wire.Busy, outcome.Reason, wire.Idle, actionIfIntact(outcome, FreeBackend))
	case outcome.Kind == TimedOut:
		return refusal(wire.Timeout, "", wire.Idle, CloseBackend)
	case outcome.Kind == Lost:
		return refusal(unknownOutcomeCode(class), "", wire.Idle, CloseBackend)
	case answer.Code == wire.NoStmt:
		return refusal(wire.Busy, lostPreparedName, wire.Idle, CloseBackend)
	case answer.Code != "":
		answer.State = wire.Idle
		return Resolution{Answer: answer, Action: freeIfIdle(outcome.Answer)}
	case answer.State != wire.Idle || outcome.Stale:
		return refusal(unknownOutcomeCode(class), "", wire.Idle, freeIfIdle(answer))
	}
	return Resolution{Answer: answer, Action: FreeBackend}
}

// unknownOutcomeCode returns the code for a single statement that may or may not have run. BUSY promises that it had no
// effect, which holds for any read.
func unknownOutcomeCode(class Class) wire.Code {
	if class == Write {
		return wire.InDoubt
	}
	return wire.Busy
}

func (s *Session) resolveBegin(outcome Outcome) Resolution {
	answer := outcome.Answer
	switch {
	case outcome.Kind == TimedOut:
		return refusal(wire.Timeout, "", wire.Idle, CloseBackend)
	case outcome.Kind != Answered:
		return refusal(wire.Busy, outcome.Reason, wire.Idle, actionIfIntact(outcome, FreeBackend))
	case answer.Code != "":
		answer.State = wire.Idle
		return Resolution{Answer: answer, Action: freeIfIdle(outcome.Answer)}
	case answer.State != wire.InTransaction:
		return refusal(wire.Busy, "", wire.Idle, CloseBackend)
	case outcome.Stale:
		return refusal(wire.Busy, "", wire.Idle, RollbackBackend)
	}
	s.state = wire.InTransaction
	return Resolution{Answer: answer, Action: KeepBackend}
}

// resolveInTransaction resolves a read or write inside a transaction. COMMIT has not been sent, so the transaction is
// rolled back when the connection ends.
func (s *Session) resolveInTransaction(outcome Outcome) Resolution {
	answer := outcome.Answer
	switch {
	case outcome.Kind == TimedOut:
		return s.fail(wire.Timeout, "", CloseBackend)
	case outcome.Kind != Answered:
		return s.fail(wire.RolledBack, outcome.Reason, actionIfIntact(outcome, RollbackBackend))
	case answer.Code == wire.NoStmt:
		return s.fail(wire.RolledBack, lostPreparedName, CloseBackend)
	case answer.Code != "":
		resolution := s.fail(answer.Code, answer.Text, rollbackUnlessIdle(answer))
		resolution.Answer.Position = answer.Position
		return resolution
	case answer.State != wire.InTransaction:
		return s.fail(wire.RolledBack, "", CloseBackend)
	}
	return Resolution{Answer: answer, Action: KeepBackend}
}

// fail puts the session into state E with an error; the client still has to end the transaction.
func (s *Session) fail(code wire.Code, text string, action BackendAction) Resolution {
	s.endTransaction(wire.Failed)
	return refusal(code, text, wire.Failed, action)
}

func (s *Session) resolveCommit(outcome Outcome) Resolution {
	wrote := s.wrote
	answer := outcome.Answer
	s.endTransaction(wire.Idle)
	switch {
	case outcome.Kind == NotRun:
		return refusal(wire.RolledBack, outcome.Reason, wire.Idle, actionIfIntact(outcome, RollbackBackend))
	case outcome.Kind == TimedOut:
		return refusal(wire.Timeout, "", wire.Idle, CloseBackend)
	case outcome.Kind == Lost && wrote:
		return refusal(wire.InDoubt, "", wire.Idle, CloseBackend)
	case outcome.Kind == Lost:
		return refusal(wire.RolledBack, "", wire.Idle, CloseBackend)
	case answer.Code != "":
		answer.State = wire.Idle
		return Resolution{Answer: answer, Action: rollbackUnlessIdle(outcome.Answer)}
	case wrote && (outcome.Stale || answer.State != wire.Idle):
		return refusal(wire.InDoubt, "", wire.Idle, freeIfIdle(answer))
	case answer.State != wire.Idle:
		return refusal(wire.RolledBack, "", wire.Idle, CloseBackend)
	}
	return Resolution{Answer: answer, Action: FreeBackend}
}

// resolveAbort resolves an ABORT. The transaction is rolled back in any case: a connection on which the instance didn't
// confirm it is closed.
func (s *Session) resolveAbort(outcome Outcome) Resolution {
	s.endTransaction(wire.Idle)
	if outcome.Kind == Answered && outcome.Answer.Code == "" && outcome.Answer.State == wire.Idle {
		return Resolution{Answer: outcome.Answer, Action: FreeBackend}
	}
	return Resolution{Answer: wire.Completed(wire.Idle), Action: CloseBackend}
}

func refusal(code wire.Code, text string, state wire.State, action BackendAction) Resolution {
	return Resolution{Answer: wire.Refusal(code, text, state), Action: action}
}

// lostPreparedName is the text of the answer when the instance doesn't know a name that was prepared there. The instance
// has not run the statement.
const lostPreparedName = "the backend connection lost a prepared name"

// actionIfIntact returns the action if the statement was not run and the connection is intact, and CloseBackend otherwise.
func actionIfIntact(outcome Outcome, action BackendAction) BackendAction {
	if outcome.Kind == NotRun && outcome.Intact {
		return action
	}
	return CloseBackend
}

func freeIfIdle(answer wire.Answer) BackendAction {
	if answer.State == wire.Idle {
		return FreeBackend
	}
	return CloseBackend
}

func rollbackUnlessIdle(answer wire.Answer) BackendAction {
	if answer.State == wire.Idle {
		return FreeBackend
	}
	return RollbackBackend
}
