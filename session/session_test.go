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

func TestWhatASessionKeepsIsBounded(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"SETOPT n%d v", "PREPARE n%d PUT q"} {
		session := New()
		for number := range maxNames {
			is.Equal(session.HandleQuery(fmt.Sprintf(text, number)).Answer.Code, wire.Code(""))
		}
		is.Equal(session.HandleQuery(fmt.Sprintf(text, maxNames)).Answer.Code, wire.Malformed)
		is.Equal(session.HandleQuery(fmt.Sprintf(text, 0)).Answer.Code, wire.Code("")) // one that is there may change
	}
	session := New()
	is.Equal(session.HandleQuery("SETOPT a "+strings.Repeat("x", maxKeptBytes)).Answer.Code, wire.Malformed)
	is.Equal(session.HandleQuery("PREPARE s1 PUT "+strings.Repeat("x", maxKeptBytes-10)).Answer.Code, wire.Code(""))
	is.Equal(session.HandleQuery("SETOPT a "+strings.Repeat("x", 10)).Answer.Code, wire.Malformed)
	is.Equal(session.HandleQuery("RELEASE s1").Answer.Code, wire.Code(""))
	is.Equal(session.HandleQuery("SETOPT a "+strings.Repeat("x", 10)).Answer.Code, wire.Code(""))
}

func TestShapesHaveNamesOfTheirOwn(t *testing.T) {
	is := is.New(t)
	seen := map[string]Prepared{}
	for _, shape := range []string{"q", "fq", "pq", "q2c", "Q", "q c", "q  c", strings.Repeat("x", 32), strings.Repeat("x", 33), "é"} {
		for _, kind := range []wire.Verb{wire.Fetch, wire.Put} {
			prepared := Prepared{Kind: kind, Shape: shape}
			name := prepared.BackendName()
			other, taken := seen[name]
			if taken {
				t.Errorf("%+v and %+v are both %q", prepared, other, name)
			}
			is.True(!strings.ContainsAny(name, " \r\n"))
			seen[name] = prepared
		}
	}
}

func TestConnectionThatSuitsBest(t *testing.T) {
	is := is.New(t)
	session := New()
	session.HandleQuery("SETOPT a 1")
	session.HandleQuery("SETOPT b 2")
	same, part, more, unsure := NewBackend(), NewBackend(), NewBackend(), NewBackend()
	value := func(backend *Backend, name, value string) {
		backend.RecordStep(Step{Kind: StepValue, Name: name, Value: value}, false)
	}
	value(same, "a", "1")
	value(same, "b", "2")
	value(part, "a", "other")
	value(more, "a", "1")
	value(more, "b", "2")
	value(more, "c", "3")
	unsure.MarkUnknown()
	is.Equal(session.FitOf(same), Fits)
	is.Equal(session.FitOf(part), NeedsValues)
	is.Equal(session.FitOf(NewBackend()), NeedsValues)
	is.Equal(session.FitOf(more), NeedsReset)
	is.Equal(session.FitOf(unsure), NeedsReset)
	is.Equal(New().FitOf(same), NeedsReset)
	is.Equal(New().FitOf(NewBackend()), Fits)
}

// Whatever a client asks and whatever becomes of it, a promise is given only where nothing is kept: no write was sent
// whose end is unknown, and no COMMIT of a transaction with writes.
func FuzzPromises(f *testing.F) {
	f.Add([]byte{0, 0, 3, 0, 1, 2})
	f.Add([]byte{4, 0, 2, 0, 5, 3, 2, 4})
	texts := []string{"BEGIN", "BEGIN FETCH", "PUT a b", "FETCH a", "COMMIT", "ABORT", "SETOPT a b", "PREPARE s PUT q", "EXECUTE s a b", "nonsense"}
	f.Fuzz(func(t *testing.T, choices []byte) {
		session := New()
		wrote := false // in the open transaction, at the instance
		for len(choices) >= 2 {
			text, fate := texts[int(choices[0])%len(texts)], choices[1]
			choices = choices[2:]
			decision := session.HandleQuery(text)
			if decision.Local {
				wrote = wrote && !decision.Rollback
				continue
			}
			class := decision.Statement.Class
			outcome := fuzzedOutcome(class, fate)
			verdict := session.HandleOutcome(decision.Statement, outcome)
			sent := outcome.Kind != NotRun
			refusedThere := outcome.Kind == Answered && outcome.Answer.Code != ""
			mayBeKept := sent && !refusedThere && ((class == Write && decision.NeedsConnection) || (class == Commit && wrote))
			if verdict.Answer.Code.PromisesNoEffect() && mayBeKept {
				t.Fatalf("%s to %q, which may be kept", verdict.Answer.Code, text)
			}
			if verdict.Answer.State != session.State() {
				t.Fatalf("told %c in %c", verdict.Answer.State, session.State())
			}
			if (verdict.Action == KeepBackend) != (session.State() == wire.InTransaction) {
				t.Fatalf("fate %d in %c", verdict.Action, session.State())
			}
			wrote = session.HasOpenTransaction() && (wrote || class == Write)
		}
	})
}

func fuzzedOutcome(class Class, fate byte) Outcome {
	state := wire.InTransaction
	if class == Commit || class == Abort {
		state = wire.Idle
	}
	completed := wire.Answer{Stamp: "7.1", State: state, Position: "3.1"}
	switch fate % 8 {
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

func TestFirstStatementOfATransactionOpensIt(t *testing.T) {
	is := is.New(t)
	session := New()
	single := session.HandleQuery("FETCH a").Statement
	is.True(!session.IsFirstOperation(single)) // it stands outside
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
