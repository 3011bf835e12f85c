package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/wire"
)

// A statement that comes late in the grace period is passed on only if it can be answered before the process ends: else
// its client would lose a statement that was passed on, though nothing but a planned shutdown is going on.
func TestShutdownTakesOnlyStatementsThatItCanAnswer(t *testing.T) {
	is := is.New(t)
	shutdown := shutdown{begunAt: 10 * time.Second, grace: 6 * time.Second}
	for _, one := range []struct {
		sentAfter, timeout time.Duration
		isTaken            bool
	}{
		{0, time.Minute, true},
		{2400 * time.Millisecond, time.Minute, true}, // cut at the end, which is excused for one that was sent so early
		{2600 * time.Millisecond, time.Minute, false},
		{3100 * time.Millisecond, 2 * time.Second, true},
		{3300 * time.Millisecond, 2 * time.Second, false},
		{4100 * time.Millisecond, time.Second, true},
		{4300 * time.Millisecond, time.Second, false},
	} {
		receivedAt := shutdown.begunAt + one.sentAfter
		is.Equal(shutdown.mayTake(receivedAt, receivedAt+one.timeout), one.isTaken) // of one sent so long after the request
	}
}

// A transaction that is open at the request to shut down has the first half of the grace period, whatever the grace period and the timeout of its
// route are.
func TestShutdownLetsTransactionsEndInTheFirstHalf(t *testing.T) {
	is := is.New(t)
	for _, grace := range []time.Duration{time.Second, 6 * time.Second, 20 * time.Second} {
		for _, timeout := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, time.Minute} {
			shutdown := shutdown{begunAt: 10 * time.Second, grace: grace}
			half := shutdown.begunAt + grace/2
			is.True(shutdown.mayTakeNext(half, half+timeout))
			late := half + time.Millisecond
			is.Equal(shutdown.mayTakeNext(late, late+timeout), late+timeout+answerMargin <= shutdown.after(stopPart))
		}
	}
}

// A COMMIT that comes late in the first half of the grace period is passed on, though its route's timeout ends after the process does: else the
// transaction would be refused that the platform lets end (review/6).
func TestCommitLateInTheFirstHalfOfTheGracePeriodIsTaken(t *testing.T) {
	is := is.New(t)
	env := startEnvWith(t, func(env *testEnv) controllerClient {
		env.settings.Bounds.GraceS = 6
		return env.controller
	})
	client := env.connect("c")
	is.Equal(client.ask("BEGIN"), "COMPLETE stamp / T")
	close(env.terminate)
	for range 3 { // never idle for so long that the transaction is ended
		is.Equal(client.ask("PUT 1 x"), "COMPLETE stamp / T")
		time.Sleep(930 * time.Millisecond)
	}
	is.Equal(client.ask("COMMIT"), "COMPLETE stamp / I") // 2.8 s after the request
	<-env.ended
}

// The first statement of a session that was open before the shutdown comes when too little of the grace period is left:
// it is refused, with the promise that it didn't run, in place of being passed on and cut.
func TestLateFirstStatementOfShutdownIsRefusedNotCut(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	late := env.connect("l")
	gate := holdStatements(t, wire.Fetch)
	env.first.setIntercept(gate.intercept)
	close(env.terminate)
	time.Sleep(1300 * time.Millisecond) // of 2 s; the timeout of the route is longer than what is left
	is.Equal(late.ask("FETCH 1"), "ERROR BUSY / I")
	is.Equal(late.answer(), "end")
	<-env.ended
	is.Equal(len(env.first.clientStatements()), 0)
}

// What is still in progress when the process ends is answered with what is known of it, before its connection is closed.
func TestStatementsInProgressAtTheEndAreAnswered(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	reading, writing := env.connect("r"), env.connect("w")
	gate := holdStatements(t, wire.Fetch)
	env.first.setIntercept(func(statement wire.Statement) fault {
		if statement.Verb == wire.Put {
			<-gate.opened
		}
		return gate.intercept(statement)
	})
	close(env.terminate)
	time.Sleep(900 * time.Millisecond) // so that neither reaches the timeout of the route
	reading.start("FETCH 1")
	writing.start("PUT 1 x")
	reading.expectAnswer("ERROR BUSY / I")
	writing.expectAnswer("ERROR INDOUBT / I")
	is.Equal(reading.answer(), "end")
	is.Equal(writing.answer(), "end")
	<-env.ended
}
