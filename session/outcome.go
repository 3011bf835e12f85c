package session

import (
	"eiderway/wire"
)

// OutcomeKind says how the try to run a statement ended.
type OutcomeKind int

const (
	// Answered by the instance.
	Answered OutcomeKind = iota
	// NotRun: the statement was not sent, so it hasn't been run and won't be.
	NotRun
	// Lost: it was sent, and the connection ended without an answer.
	Lost
	// TimedOut: it was sent, and its time ran out before an answer.
	TimedOut
)

// Outcome is how the try to run a statement ended.
type Outcome struct {
	Kind   OutcomeKind
	Answer wire.Answer // with Answered
	Reason string      // of NotRun, for the client
	Intact bool        // of NotRun: the connection is sound, and in the state that it was in before
	Stale  bool        // the gateway's right to use the leader didn't last from the sending to the answer
}

// BackendAction says what becomes of the backend connection.
type BackendAction int

const (
	// KeepBackend keeps it for the session's open transaction.
	KeepBackend BackendAction = iota
	// FreeBackend gives it back: another session may use it.
	FreeBackend
	// RollbackBackend rolls its transaction back, then frees it.
	RollbackBackend
	// CloseBackend closes it.
	CloseBackend
)

// Resolution is what the client is told, and what becomes of the backend connection.
type Resolution struct {
	Answer wire.Answer
	Action BackendAction

	// RolledBack tells, with FreeBackend, that a transaction on the connection was rolled back rather than committed.
	RolledBack bool
}

// HandleOutcome judges how a statement that HandleQuery handed out has ended.
func (s *Session) HandleOutcome(statement Statement, outcome Outcome) Resolution {
	inside := s.state == wire.InTransaction
	verdict := s.judge(statement, outcome)
	committed := statement.Class == Commit && outcome.Answer.Code == ""
	verdict.RolledBack = inside && verdict.Action == FreeBackend && !committed
	return verdict
}

func (s *Session) judge(statement Statement, outcome Outcome) Resolution {
	switch statement.Class {
	case Begin:
		return s.beginEnded(outcome)
	case Commit:
		return s.commitEnded(outcome)
	case Abort:
		return s.abortEnded(outcome)
	}
	if s.state == wire.InTransaction {
		return s.insideEnded(outcome)
	}
	return s.singleEnded(statement.Class, outcome)
}

// singleEnded judges a read or write outside a transaction. The state stays I.
func (s *Session) singleEnded(class Class, outcome Outcome) Resolution {
	answer := outcome.Answer
	switch {
	case outcome.Kind == NotRun:
		return refused(wire.Busy, outcome.Reason, wire.Idle, intact(outcome, FreeBackend))
	case outcome.Kind == TimedOut:
		return refused(wire.Timeout, "", wire.Idle, CloseBackend)
	case outcome.Kind == Lost:
		return refused(unknown(class), "", wire.Idle, CloseBackend)
	case answer.Code == wire.NoStmt:
		return refused(wire.Busy, outOfSync, wire.Idle, CloseBackend)
	case answer.Code != "":
		answer.State = wire.Idle
		return Resolution{Answer: answer, Action: freeIfIdle(outcome.Answer)}
	case answer.State != wire.Idle || outcome.Stale:
		return refused(unknown(class), "", wire.Idle, freeIfIdle(answer))
	}
	return Resolution{Answer: answer, Action: FreeBackend}
}

// unknown is what a client is told when it isn't known whether its single statement ran: a read keeps nothing.
func unknown(class Class) wire.Code {
	if class == Write {
		return wire.InDoubt
	}
	return wire.Busy
}

func (s *Session) beginEnded(outcome Outcome) Resolution {
	answer := outcome.Answer
	switch {
	case outcome.Kind == TimedOut:
		return refused(wire.Timeout, "", wire.Idle, CloseBackend)
	case outcome.Kind != Answered:
		return refused(wire.Busy, outcome.Reason, wire.Idle, intact(outcome, FreeBackend))
	case answer.Code != "":
		answer.State = wire.Idle
		return Resolution{Answer: answer, Action: freeIfIdle(outcome.Answer)}
	case answer.State != wire.InTransaction:
		return refused(wire.Busy, "", wire.Idle, CloseBackend)
	case outcome.Stale:
		return refused(wire.Busy, "", wire.Idle, RollbackBackend)
	}
	s.state = wire.InTransaction
	return Resolution{Answer: answer, Action: KeepBackend}
}

// insideEnded judges a read or write inside a transaction: its COMMIT hasn't been sent, so an end of the connection
// rolls it back.
func (s *Session) insideEnded(outcome Outcome) Resolution {
	answer := outcome.Answer
	switch {
	case outcome.Kind == TimedOut:
		return s.fail(wire.Timeout, "", CloseBackend)
	case outcome.Kind != Answered:
		return s.fail(wire.RolledBack, outcome.Reason, intact(outcome, RollbackBackend))
	case answer.Code == wire.NoStmt:
		return s.fail(wire.RolledBack, outOfSync, CloseBackend)
	case answer.Code != "":
		verdict := s.fail(answer.Code, answer.Text, rollbackUnlessIdle(answer))
		verdict.Answer.Position = answer.Position
		return verdict
	case answer.State != wire.InTransaction:
		return s.fail(wire.RolledBack, "", CloseBackend)
	}
	return Resolution{Answer: answer, Action: KeepBackend}
}

// fail ends the transaction with an error; the client has to end it too.
func (s *Session) fail(code wire.Code, text string, fate BackendAction) Resolution {
	s.leave(wire.Failed)
	return refused(code, text, wire.Failed, fate)
}

func (s *Session) commitEnded(outcome Outcome) Resolution {
	wrote := s.wrote
	answer := outcome.Answer
	s.leave(wire.Idle)
	switch {
	case outcome.Kind == NotRun:
		return refused(wire.RolledBack, outcome.Reason, wire.Idle, intact(outcome, RollbackBackend))
	case outcome.Kind == TimedOut:
		return refused(wire.Timeout, "", wire.Idle, CloseBackend)
	case outcome.Kind == Lost && wrote:
		return refused(wire.InDoubt, "", wire.Idle, CloseBackend)
	case outcome.Kind == Lost:
		return refused(wire.RolledBack, "", wire.Idle, CloseBackend)
	case answer.Code != "":
		answer.State = wire.Idle
		return Resolution{Answer: answer, Action: rollbackUnlessIdle(outcome.Answer)}
	case wrote && (outcome.Stale || answer.State != wire.Idle):
		return refused(wire.InDoubt, "", wire.Idle, freeIfIdle(answer))
	case answer.State != wire.Idle:
		return refused(wire.RolledBack, "", wire.Idle, CloseBackend)
	}
	return Resolution{Answer: answer, Action: FreeBackend}
}

// abortEnded: whatever came of it at the instance, the transaction is rolled back, since a connection that didn't say
// so is closed.
func (s *Session) abortEnded(outcome Outcome) Resolution {
	s.leave(wire.Idle)
	if outcome.Kind == Answered && outcome.Answer.Code == "" && outcome.Answer.State == wire.Idle {
		return Resolution{Answer: outcome.Answer, Action: FreeBackend}
	}
	return Resolution{Answer: wire.Completed(wire.Idle), Action: CloseBackend}
}

func refused(code wire.Code, text string, state wire.State, fate BackendAction) Resolution {
	return Resolution{Answer: wire.Refusal(code, text, state), Action: fate}
}

// outOfSync tells that the instance doesn't know a name that was prepared there. It has not run the statement.
const outOfSync = "the backend connection lost a prepared name"

// intact is the fate of a connection on which the statement was not run: as given if it is sound.
func intact(outcome Outcome, fate BackendAction) BackendAction {
	if outcome.Kind == NotRun && outcome.Intact {
		return fate
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
