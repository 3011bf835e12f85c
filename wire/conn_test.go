package wire

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/failover"
)

// fakeInstance listens on loopback, accepts one connection and calls play for it.
func fakeInstance(t *testing.T, play func(network net.Conn, reader *Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		network, err := listener.Accept()
		if err != nil {
			return
		}
		defer network.Close()
		play(network, NewReader(network))
	}()
	t.Cleanup(func() {
		listener.Close()
		<-ended
	})
	return listener.Addr().String()
}

// connectAndRead answers CONNECT and returns the next message.
func connectAndRead(network net.Conn, reader *Reader) string {
	_, _ = reader.ReadLine()
	_, _ = network.Write(AppendReady(nil, Idle, "3.1"))
	line, _ := reader.ReadLine()
	return line
}

func dial(t *testing.T, address string) *Conn {
	t.Helper()
	conn, err := Dial(context.Background(), address, "service", "who", "i-1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	return conn
}

func TestQueryReturnsRowsStampAndState(t *testing.T) {
	is := is.New(t)
	received := make(chan string, 1)
	conn := dial(t, fakeInstance(t, func(network net.Conn, reader *Reader) {
		received <- connectAndRead(network, reader)
		_, _ = network.Write([]byte("ROW a b\r\nCOMPLETE 7.1\r\nREADY T 3.2\r\n"))
		_, _ = reader.ReadLine()
	}))
	is.Equal(conn.Position(), "3.1")
	answer, err := conn.Query(context.Background(), "5c", "FETCH 1a4")
	is.NoErr(err)
	is.Equal(<-received, "QUERY 5c FETCH 1a4")
	is.Equal(answer, Answer{Rows: []string{"a b"}, Stamp: "7.1", State: InTransaction, Position: "3.2"})
	is.Equal(conn.State(), InTransaction)
	is.True(conn.IsUsable())
}

func TestStatusAndRefusal(t *testing.T) {
	is := is.New(t)
	conn := dial(t, fakeInstance(t, func(network net.Conn, reader *Reader) {
		connectAndRead(network, reader)
		_, _ = network.Write([]byte("ROW replica 3 3.1209 4 12 2 17\r\nCOMPLETE -\r\nREADY I 3.2\r\n"))
		_, _ = reader.ReadLine()
		_, _ = network.Write([]byte("ERROR BUSY no slot\r\nREADY I 3.2\r\n"))
		_, _ = reader.ReadLine()
	}))
	status, err := conn.Pause(context.Background(), 4)
	is.NoErr(err)
	is.Equal(status, failover.Status{Term: 3, Received: failover.Position{Term: 3, Number: 1209}, TermHeld: 4, LagMs: 12, Busy: 2, Connections: 17})
	_, err = conn.Status(context.Background())
	var refused *RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, Busy)
	is.True(conn.IsUsable()) // a refusal doesn't break the connection
}

func TestRefusedConnectCountsAsNotSent(t *testing.T) {
	is := is.New(t)
	address := fakeInstance(t, func(network net.Conn, reader *Reader) {
		_, _ = reader.ReadLine()
		_, _ = network.Write([]byte("ERROR WRONGNODE i-2\r\n"))
	})
	_, err := Dial(context.Background(), address, "service", "who", "i-1")
	var refused *RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, WrongNode)
	is.Equal(DeliveryOf(err), NotSent)
}

// An answer that arrives after the caller has given up must never be taken for the answer to another statement.
func TestLateAnswerBreaksTheConnection(t *testing.T) {
	is := is.New(t)
	givenUp := make(chan struct{})
	conn := dial(t, fakeInstance(t, func(network net.Conn, reader *Reader) {
		connectAndRead(network, reader)
		<-givenUp
		_, _ = network.Write([]byte("COMPLETE 7.1\r\nREADY I 3.2\r\n"))
	}))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := conn.Query(ctx, "1", "PUT a b")
	close(givenUp)
	var failure *ConnError
	is.True(errors.As(err, &failure))
	is.True(failure.Timeout)
	is.Equal(DeliveryOf(err), MaybeRan)
	_, err = conn.Query(context.Background(), "2", "FETCH a")
	is.Equal(DeliveryOf(err), NotSent)
	is.True(!conn.IsUsable())
}

func TestStatementMayHaveRunIfConnectionBreaksAfterSending(t *testing.T) {
	is := is.New(t)
	conn := dial(t, fakeInstance(t, func(network net.Conn, reader *Reader) {
		connectAndRead(network, reader)
		_, _ = network.Write([]byte("COMPLETE 7.1\r\n")) // and no READY
	}))
	_, err := conn.Query(context.Background(), "1", "PUT a b")
	is.Equal(DeliveryOf(err), MaybeRan)
	var failure *ConnError
	is.True(errors.As(err, &failure))
	is.True(!failure.Timeout)
}

func TestCancelledQueryEndsAtOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	conn := dial(t, fakeInstance(t, func(network net.Conn, reader *Reader) {
		connectAndRead(network, reader)
		cancel()
		_, _ = reader.ReadLine()
	}))
	_, err := conn.Query(ctx, "1", "PUT a b")
	is.Equal(DeliveryOf(err), MaybeRan)
	_, err = conn.Query(ctx, "2", "PUT a b")
	is.Equal(DeliveryOf(err), NotSent)
}

func TestClosedConnectionsAndUnrequestedBytesAreNotUsable(t *testing.T) {
	is := is.New(t)
	for _, unrequested := range []string{"", "ROW x\r\n"} {
		done := make(chan struct{})
		release := make(chan struct{})
		conn := dial(t, fakeInstance(t, func(network net.Conn, reader *Reader) {
			_, _ = reader.ReadLine()
			_, _ = network.Write(AppendReady(nil, Idle, NoPosition))
			if unrequested != "" {
				_, _ = network.Write([]byte(unrequested))
			} else {
				network.Close()
			}
			close(done)
			<-release
		}))
		<-done
		for start := time.Now(); conn.IsUsable() && time.Since(start) < time.Second; {
			time.Sleep(time.Millisecond)
		}
		is.True(!conn.IsUsable())
		close(release)
	}
}

// shortWriter accepts only the first bytes of what is written, and then fails.
type shortWriter struct {
	net.Conn
	accepts int
}

func (w shortWriter) Write(bytes []byte) (int, error) {
	return min(w.accepts, len(bytes)), net.ErrClosed
}

// A statement whose line was not sent whole was never run; one that was sent whole may have been.
func TestPartialWriteCountsAsNotSent(t *testing.T) {
	is := is.New(t)
	length := len(AppendQuery(nil, "1", "PUT a b"))
	for accepts, want := range map[int]Delivery{0: NotSent, length - 1: NotSent, length: MaybeRan} {
		near, _ := net.Pipe()
		conn := &Conn{network: shortWriter{Conn: near, accepts: accepts}, reader: NewReader(strings.NewReader(""))}
		_, err := conn.QueryUntil(time.Time{}, "1", "PUT a b")
		is.True(err != nil)
		is.Equal(DeliveryOf(err), want)
	}
}
