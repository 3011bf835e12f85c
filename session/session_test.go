package session

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"eiderway/wire"
)

func TestThirteenthStatementFailsTheTransaction(t *testing.T) {
	is := is.New(t)
	session := New()
	begin := session.HandleQuery("BEGIN").Statement
	session.HandleOutcome(begin, Outcome{Kind: Answered, Answer: wire.Answer{Stamp: "7.1", State: wire.InTransaction, Position: "3.1"}})
	for range maxStatements {
		decision := session.HandleQuery("FETCH a")
		is.True(!decision.Local)
		session.HandleOutcome(decision.Statement, Outcome{Kind: Answered, Answer: wire.Answer{Stamp: "7.1", State: wire.InTransaction, Position: "3.1"}})
	}
	decision := session.HandleQuery("FETCH a")
	is.True(decision.Local)
	is.True(decision.Rollback)
	is.Equal(decision.Answer.Code, wire.Malformed)
	is.Equal(session.State(), wire.Failed)
}

func TestStoredSessionStateIsBounded(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"SETOPT n%d v", "PREPARE n%d PUT q"} {
		session := New()
		for number := range maxPreparedNames {
			is.Equal(session.HandleQuery(fmt.Sprintf(text, number)).Answer.Code, wire.Code(""))
		}
		is.Equal(session.HandleQuery(fmt.Sprintf(text, maxPreparedNames)).Answer.Code, wire.Malformed)
		is.Equal(session.HandleQuery(fmt.Sprintf(text, 0)).Answer.Code, wire.Code("")) // an existing entry may still change
	}
	session := New()
	is.Equal(session.HandleQuery("SETOPT a "+strings.Repeat("x", maxStoredBytes)).Answer.Code, wire.Malformed)
	is.Equal(session.HandleQuery("PREPARE s1 PUT "+strings.Repeat("x", maxStoredBytes-10)).Answer.Code, wire.Code(""))
	is.Equal(session.HandleQuery("SETOPT a "+strings.Repeat("x", 10)).Answer.Code, wire.Malformed)
	is.Equal(session.HandleQuery("RELEASE s1").Answer.Code, wire.Code(""))
	is.Equal(session.HandleQuery("SETOPT a "+strings.Repeat("x", 10)).Answer.Code, wire.Code(""))
}

func TestBackendNamesAreUnique(t *testing.T) {
	is := is.New(t)
	seen := map[string]Prepared{}
	for _, shape := range []string{"q", "fq", "pq", "q2c", "Q", "q c", "q  c", strings.Repeat("x", 32), strings.Repeat("x", 33), "é"} {
		for _, kind := range []wire.Verb{wire.Fetch, wire.Put} {
			prepared := Prepared{Kind: kind, Shape: shape}
			name := prepared.BackendName()
			other, taken := seen[name]
			if taken {
				t.Errorf("%+v and %+v have the same name %q", prepared, other, name)
			}
			is.True(!strings.ContainsAny(name, " \r\n"))
			seen[name] = prepared
		}
	}
}

func TestFitOfConnections(t *testing.T) {
	is := is.New(t)
	session := New()
	session.HandleQuery("SETOPT a 1")
	session.HandleQuery("SETOPT b 2")
	same, part, more, unknown := NewBackend(), NewBackend(), NewBackend(), NewBackend()
	value := func(backend *Backend, name, value string) {
		backend.RecordStep(Step{Kind: StepValue, Name: name, Value: value}, false)
	}
	value(same, "a", "1")
	value(same, "b", "2")
	value(part, "a", "other")
	value(more, "a", "1")
	value(more, "b", "2")
	value(more, "c", "3")
	unknown.MarkUnknown()
	is.Equal(session.FitOf(same), Fits)
	is.Equal(session.FitOf(part), NeedsValues)
	is.Equal(session.FitOf(NewBackend()), NeedsValues)
	is.Equal(session.FitOf(more), NeedsReset)
	is.Equal(session.FitOf(unknown), NeedsReset)
	is.Equal(New().FitOf(same), NeedsReset)
	is.Equal(New().FitOf(NewBackend()), Fits)
}

// FuzzNoEffectPromises checks that, whatever a client sends and whatever the outcome, the client is promised that a
// statement had no effect only if nothing can have been committed: no single write was sent with an unknown outcome, and
// no COMMIT of a transaction with writes.
func FuzzNoEffectPromises(f *testing.F) {
	f.Add([]byte{0, 0, 3, 0, 1, 2})
	f.Add([]byte{4, 0, 2, 0, 5, 3, 2, 4})
	texts := []string{"BEGIN", "BEGIN FETCH", "PUT a b", "FETCH a", "COMMIT", "ABORT", "SETOPT a b", "PREPARE s PUT q", "EXECUTE s a b", "nonsense"}
	f.Fuzz(func(t *testing.T, choices []byte) {
		session := New()
		wrote := false // whether the open transaction has written at the instance
		for len(choices) >= 2 {
			text, choice := texts[int(choices[0])%len(texts)], choices[1]
			choices = choices[2:]
			decision := session.HandleQuery(text)
			if decision.Local {
				wrote = wrote && !decision.Rollback
				continue
			}
			class := decision.Statement.Class
			outcome := chooseOutcome(class, choice)
			resolution := session.HandleOutcome(decision.Statement, outcome)
			sent := outcome.Kind != NotRun
			wasRefused := outcome.Kind == Answered && outcome.Answer.Code != ""
			mayBeCommitted := sent && !wasRefused && ((class == Write && decision.NeedsConnection) || (class == Commit && wrote))
			if resolution.Answer.Code.PromisesNoEffect() && mayBeCommitted {
				t.Fatalf("%s to %q, which may have been committed", resolution.Answer.Code, text)
			}
			if resolution.Answer.State != session.State() {
				t.Fatalf("the client is told state %c, but the session is in %c", resolution.Answer.State, session.State())
			}
			if (resolution.Action == KeepBackend) != (session.State() == wire.InTransaction) {
				t.Fatalf("backend action %d in state %c", resolution.Action, session.State())
			}
			wrote = session.HasOpenTransaction() && (wrote || class == Write)
		}
	})
}

func chooseOutcome(class Class, choice byte) Outcome {
	state := wire.InTransaction
	if class == Commit || class == Abort {
		state = wire.Idle
	}
	completed := wire.Answer{Stamp: "7.1", State: state, Position: "3.1"}
	switch choice % 8 {
	case 0:
		return Outcome{Kind: NotRun}
	case 1:
		return Outcome{Kind: NotRun, Intact: true}
	case 2:
		return Outcome{Kind: Lost}
	case 3:
		return Outcome{Kind: TimedOut}
	case 4:
		return Outcome{Kind: Answered, Answer: wire.Refusal(wire.ReadOnly, "i-1", wire.Failed)}
	case 5:
		return Outcome{Kind: Answered, Answer: completed, Stale: true}
	case 6:
		return Outcome{Kind: Answered, Answer: wire.Answer{Stamp: "7.1", State: wire.Idle, Position: "3.1"}}
	}
	return Outcome{Kind: Answered, Answer: completed}
}

func TestIsFirstOperation(t *testing.T) {
	is := is.New(t)
	session := New()
	single := session.HandleQuery("FETCH a").Statement
	is.True(!session.IsFirstOperation(single)) // outside a transaction
	begin := session.HandleQuery("BEGIN").Statement
	is.True(!session.IsFirstOperation(begin))
	inside := Outcome{Kind: Answered, Answer: wire.Answer{Stamp: "7.1", State: wire.InTransaction, Position: "3.1"}}
	session.HandleOutcome(begin, inside)
	first := session.HandleQuery("PUT a x").Statement
	is.True(session.IsFirstOperation(first))
	session.HandleOutcome(first, inside)
	commit := session.HandleQuery("COMMIT").Statement
	is.True(!session.IsFirstOperation(commit))
	is.True(!session.IsFirstOperation(session.HandleQuery("FETCH a").Statement))
}
