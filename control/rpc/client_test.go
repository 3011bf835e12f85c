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
	var unknown *UnknownOutcomeError
	return errors.As(err, &unknown)
}

func isUnreachable(err error) bool {
	var unreachable *UnreachableError
	return errors.As(err, &unreachable)
}

func TestWatchGetsItsAnswer(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, Handlers{Watch: echo})
	client := newClient(t)
	for _, name := range []string{"first", "second"} {
		answer, err := client.Watch(testContext(t), address, watchRequest(name))
		is.NoErr(err)
		is.Equal(answer, answerFor(name))
	}
	is.Equal(client.Counts(), ClientCounts{Connections: 1})
}

func TestConcurrentRequestsGetTheirOwnAnswers(t *testing.T) {
	is := is.New(t)
	firstReceived := make(chan struct{})
	secondAnswered := make(chan struct{})
	_, address := serve(t, Handlers{Watch: func(ctx context.Context, request feed.WatchRequest) (feed.WatchAnswer, bool) {
		if request.Gateway == "first" {
			close(firstReceived)
			<-secondAnswered // so the answers arrive in the opposite order
		}
		return echo(ctx, request)
	}})
	client := newClient(t)
	var wait sync.WaitGroup
	wait.Go(func() {
		answer, err := client.Watch(testContext(t), address, watchRequest("first"))
		is.NoErr(err)
		is.Equal(answer, answerFor("first"))
	})
	<-firstReceived
	answer, err := client.Watch(testContext(t), address, watchRequest("second"))
	close(secondAnswered)
	wait.Wait()
	is.NoErr(err)
	is.Equal(answer, answerFor("second"))
}

func TestRequestThatWasNotSentIsUnreachable(t *testing.T) {
	is := is.New(t)
	client := newClient(t)
	_, err := client.Watch(testContext(t), loopback.ReserveForTest(t).Address(), watchRequest("x")) // nobody listens there
	is.True(isUnreachable(err))

	_, address := serve(t, Handlers{Watch: echo})
	_, err = client.Watch(testContext(t), address, watchRequest("x"))
	is.NoErr(err)
	ended, end := context.WithCancel(testContext(t))
	end()
	_, err = client.Watch(ended, address, watchRequest("x"))
	is.True(isUnreachable(err))
	client.Close()
	_, err = client.Watch(testContext(t), address, watchRequest("x"))
	is.True(isUnreachable(err))
}

// A connection is closed after a request without an answer. A late answer, on whichever connection, must never be taken for
// the answer to a later request.
func TestConnectionIsNotReusedAfterARequestWithoutAnswer(t *testing.T) {
	is := is.New(t)
	received := make(chan struct{})
	address := scriptedServer(t, func(connection *scriptedConn) {
		request, _ := connection.request(false)
		if connection.number == 1 {
			close(received)
			connection.waitForEnd()
			connection.answer(request.ID, "late")
			return
		}
		connection.answer(request.ID, request.Request.Gateway)
		connection.waitForEnd()
	})
	client := newClient(t)
	ctx, giveUp := context.WithCancel(testContext(t))
	go func() {
		<-received
		giveUp()
	}()
	_, err := client.Watch(ctx, address, watchRequest("first"))
	is.True(isUnknown(err))
	is.True(errors.Is(err, context.Canceled))
	answer, err := client.Watch(testContext(t), address, watchRequest("second"))
	is.NoErr(err)
	is.Equal(answer, answerFor("second"))
	is.Equal(client.Counts(), ClientCounts{Connections: 2})
}

func TestAnswersWithoutRequestAreDropped(t *testing.T) {
	is := is.New(t)
	address := scriptedServer(t, func(connection *scriptedConn) {
		request, _ := connection.request(false)
		connection.answer(request.ID+1, "of the next question")
		connection.answer(0, "of none")
		connection.answer(request.ID, "right")
		connection.answer(request.ID, "again")
		request, _ = connection.request(true)
		connection.answer(request.ID, "right too")
		connection.waitForEnd()
	})
	client := newClient(t)
	answer, err := client.Watch(testContext(t), address, watchRequest("x"))
	is.NoErr(err)
	is.Equal(answer, answerFor("right"))
	answer, err = client.Watch(testContext(t), address, watchRequest("x"))
	is.NoErr(err)
	is.Equal(answer, answerFor("right too"))
	is.Equal(client.Counts(), ClientCounts{Connections: 1, Stray: 3})
}

func TestRequestEndsWithItsConnection(t *testing.T) {
	tooLongFrame := binary.BigEndian.AppendUint32(nil, MaxFrame+1)
	cases := []struct {
		name   string
		broken uint64
		play   func(connection *scriptedConn)
	}{
		{"closed", 0, func(*scriptedConn) {}},
		{"reset", 0, func(connection *scriptedConn) { connection.reset() }},
		{"closed within a frame", 0, func(connection *scriptedConn) { _, _ = connection.Write([]byte{0, 0, 1, 0, 7}) }},
		{"garbage", 1, func(connection *scriptedConn) { _, _ = connection.Write([]byte("\x00\x00\x00\x05abcde")) }},
		{"too long", 1, func(connection *scriptedConn) {
			_, _ = connection.Write(tooLongFrame)
			connection.waitForEnd()
		}},
	}
	for _, fault := range cases {
		t.Run(fault.name, func(t *testing.T) {
			is := is.New(t)
			address := scriptedServer(t, func(connection *scriptedConn) {
				request, _ := connection.request(false)
				if connection.number == 1 {
					fault.play(connection)
					return
				}
				connection.answer(request.ID, "sound")
				connection.waitForEnd()
			})
			client := newClient(t)
			_, err := client.Watch(testContext(t), address, watchRequest("x"))
			is.True(isUnknown(err))
			answer, err := client.Watch(testContext(t), address, watchRequest("x"))
			is.NoErr(err)
			is.Equal(answer, answerFor("sound"))
			is.Equal(client.Counts(), ClientCounts{Connections: 2, Broken: fault.broken})
		})
	}
}

func TestClosingTheClientEndsItsRequests(t *testing.T) {
	is := is.New(t)
	received := make(chan struct{})
	address := scriptedServer(t, func(connection *scriptedConn) {
		_, _ = connection.request(false)
		close(received)
		connection.waitForEnd()
	})
	client := newClient(t)
	go func() {
		<-received
		client.Close()
	}()
	_, err := client.Watch(testContext(t), address, watchRequest("x"))
	is.True(isUnknown(err))
}
