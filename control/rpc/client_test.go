package rpc

import (
	"context"
	"encoding/binary"
	"errors"
	"sync"
	"testing"

	"github.com/matryer/is"

	"eiderway/control/feed"
	"eiderway/testing/loopback"
)

func isUnknown(err error) bool {
	var unknown *Unknown
	return errors.As(err, &unknown)
}

func isUnreachable(err error) bool {
	var unreachable *Unreachable
	return errors.As(err, &unreachable)
}

func TestWatchGetsItsAnswer(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, Handlers{Watch: echo})
	client := newClient(t)
	for _, name := range []string{"first", "second"} {
		answer, err := client.Watch(patient(t), address, asks(name))
		is.NoErr(err)
		is.Equal(answer, answerFor(name))
	}
	is.Equal(client.Counts(), ClientCounts{Connections: 1})
}

func TestQuestionsThatCrossGetTheirOwnAnswers(t *testing.T) {
	is := is.New(t)
	bothAsked := make(chan struct{})
	secondAnswered := make(chan struct{})
	_, address := serve(t, Handlers{Watch: func(ctx context.Context, request feed.WatchRequest) (feed.WatchAnswer, bool) {
		if request.Gateway == "first" {
			close(bothAsked)
			<-secondAnswered // so the answers come in the other order
		}
		return echo(ctx, request)
	}})
	client := newClient(t)
	var wait sync.WaitGroup
	wait.Go(func() {
		answer, err := client.Watch(patient(t), address, asks("first"))
		is.NoErr(err)
		is.Equal(answer, answerFor("first"))
	})
	<-bothAsked
	answer, err := client.Watch(patient(t), address, asks("second"))
	close(secondAnswered)
	wait.Wait()
	is.NoErr(err)
	is.Equal(answer, answerFor("second"))
}

func TestNothingSentIsUnreachable(t *testing.T) {
	is := is.New(t)
	client := newClient(t)
	_, err := client.Watch(patient(t), loopback.ReserveForTest(t).Address(), asks("x")) // nobody listens there
	is.True(isUnreachable(err))

	_, address := serve(t, Handlers{Watch: echo})
	_, err = client.Watch(patient(t), address, asks("x"))
	is.NoErr(err)
	ended, end := context.WithCancel(patient(t))
	end()
	_, err = client.Watch(ended, address, asks("x"))
	is.True(isUnreachable(err))
	client.Close()
	_, err = client.Watch(patient(t), address, asks("x"))
	is.True(isUnreachable(err))
}

// A server that doesn't answer costs the connection. What it answers after that, and on whichever connection, is never
// taken for the answer to a later question.
func TestConnectionIsNotUsedAgainAfterAQuestionWithoutAnswer(t *testing.T) {
	is := is.New(t)
	asked := make(chan struct{})
	address := script(t, func(connection *scripted) {
		question, _ := connection.question(false)
		if connection.number == 1 {
			close(asked)
			connection.waitForEnd()
			connection.answer(question.ID, "late")
			return
		}
		connection.answer(question.ID, question.Request.Gateway)
		connection.waitForEnd()
	})
	client := newClient(t)
	ctx, giveUp := context.WithCancel(patient(t))
	go func() {
		<-asked
		giveUp()
	}()
	_, err := client.Watch(ctx, address, asks("first"))
	is.True(isUnknown(err))
	is.True(errors.Is(err, context.Canceled))
	answer, err := client.Watch(patient(t), address, asks("second"))
	is.NoErr(err)
	is.Equal(answer, answerFor("second"))
	is.Equal(client.Counts(), ClientCounts{Connections: 2})
}

func TestAnswersThatNobodyAskedForAreDropped(t *testing.T) {
	is := is.New(t)
	address := script(t, func(connection *scripted) {
		question, _ := connection.question(false)
		connection.answer(question.ID+1, "of the next question")
		connection.answer(0, "of none")
		connection.answer(question.ID, "right")
		connection.answer(question.ID, "again")
		question, _ = connection.question(true)
		connection.answer(question.ID, "right too")
		connection.waitForEnd()
	})
	client := newClient(t)
	answer, err := client.Watch(patient(t), address, asks("x"))
	is.NoErr(err)
	is.Equal(answer, answerFor("right"))
	answer, err = client.Watch(patient(t), address, asks("x"))
	is.NoErr(err)
	is.Equal(answer, answerFor("right too"))
	is.Equal(client.Counts(), ClientCounts{Connections: 1, Stray: 3})
}

func TestQuestionEndsWithItsConnection(t *testing.T) {
	tooLongFrame := binary.BigEndian.AppendUint32(nil, MaxFrame+1)
	cases := []struct {
		name   string
		broken uint64
		play   func(connection *scripted)
	}{
		{"closed", 0, func(*scripted) {}},
		{"reset", 0, func(connection *scripted) { connection.reset() }},
		{"closed within a frame", 0, func(connection *scripted) { _, _ = connection.Write([]byte{0, 0, 1, 0, 7}) }},
		{"garbage", 1, func(connection *scripted) { _, _ = connection.Write([]byte("\x00\x00\x00\x05abcde")) }},
		{"too long", 1, func(connection *scripted) {
			_, _ = connection.Write(tooLongFrame)
			connection.waitForEnd()
		}},
	}
	for _, fault := range cases {
		t.Run(fault.name, func(t *testing.T) {
			is := is.New(t)
			address := script(t, func(connection *scripted) {
				question, _ := connection.question(false)
				if connection.number == 1 {
					fault.play(connection)
					return
				}
				connection.answer(question.ID, "sound")
				connection.waitForEnd()
			})
			client := newClient(t)
			_, err := client.Watch(patient(t), address, asks("x"))
			is.True(isUnknown(err))
			answer, err := client.Watch(patient(t), address, asks("x"))
			is.NoErr(err)
			is.Equal(answer, answerFor("sound"))
			is.Equal(client.Counts(), ClientCounts{Connections: 2, Broken: fault.broken})
		})
	}
}

func TestClosingTheClientEndsItsQuestions(t *testing.T) {
	is := is.New(t)
	asked := make(chan struct{})
	address := script(t, func(connection *scripted) {
		_, _ = connection.question(false)
		close(asked)
		connection.waitForEnd()
	})
	client := newClient(t)
	go func() {
		<-asked
		client.Close()
	}()
	_, err := client.Watch(patient(t), address, asks("x"))
	is.True(isUnknown(err))
}
