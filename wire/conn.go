package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Delivery says how much of a statement may have left when it failed.
type Delivery int

const (
	// NotSent: the statement hasn't been run and won't be.
	NotSent Delivery = iota
	// MaybeRan: the statement was sent whole; it may have been run or may still be.
	MaybeRan
)

// ConnError is a failure of a connection to an instance. The connection is closed.
type ConnError struct {
	Delivery Delivery
	Timeout  bool // it took longer than the caller's context allowed
	Cause    error
}

func (e *ConnError) Error() string {
	if e.Delivery == NotSent {
		return "not sent: " + e.Cause.Error()
	}
	return "no answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ConnError) Unwrap() error { return e.Cause }

// RefusedError is an ERROR with which an instance answered CONNECT or one of the system's own statements.
type RefusedError struct {
	Code Code
	Text string
}

func (e *RefusedError) Error() string { return fmt.Sprintf("refused: %s %s", e.Code, e.Text) }

// DeliveryOf tells from an error of Dial, Query or the other calls whether the statement may have run.
func DeliveryOf(err error) Delivery {
	var failure *ConnError
	if errors.As(err, &failure) {
		return failure.Delivery
	}
	return NotSent
}

// errSpoiled is the cause of a call on a connection that has failed before.
var errSpoiled = eris.New("the connection has failed before")

// keepAlive finds instances that have vanished without a word: probes after this long, in this interval, so that the
// loss is known within a few seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Conn is a blocking connection to an instance, for one caller at a time. After any failure, also a late answer, it
// is closed and can't be used again.
type Conn struct {
	network  net.Conn
	reader   *Reader
	buffer   []byte
	spoiled  bool
	sentAt   time.Time
	state    State
	position string
}

// Dial connects to an instance and waits for its READY. instanceID may be empty: then any instance of the service is
// good. Errors are *ConnError with NotSent, or *RefusedError.
func Dial(ctx context.Context, address, service, who, instanceID string) (*Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive}
	network, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, &ConnError{Delivery: NotSent, Timeout: ctx.Err() != nil, Cause: eris.Wrap(err, "dial")}
	}
	conn := &Conn{network: network, reader: NewReader(network)}
	if err := conn.open(ctx, Connect{Database: service, User: who, InstanceID: instanceID}); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

func (c *Conn) open(ctx context.Context, connect Connect) error {
	deadline, release := c.bind(ctx)
	defer release()
	if err := c.network.SetDeadline(deadline); err != nil {
		return c.failed(NotSent, eris.Wrap(err, "deadline"))
	}
	if _, err := c.network.Write(AppendConnect(nil, connect)); err != nil {
		return c.failed(NotSent, eris.Wrap(err, "CONNECT"))
	}
	line, err := c.reader.ReadLine()
	if err != nil {
		return c.failed(NotSent, eris.Wrap(err, "answer to CONNECT"))
	}
	word, fields, _ := strings.Cut(line, " ")
	switch word {
	case "READY":
		c.state, c.position, err = ParseReady(fields)
		if err == nil && c.state != Idle {
			err = eris.Wrap(ErrMalformed, "a new connection inside a transaction")
		}
		if err != nil {
			return c.failed(NotSent, err)
		}
		return nil
	case "ERROR":
		code, text, _ := strings.Cut(fields, " ")
		return &RefusedError{Code: Code(code), Text: text}
	}
	return c.failed(NotSent, eris.Wrapf(ErrMalformed, "%q to CONNECT", word))
}

// bind makes the connection break off when the context is cancelled, and returns the context's deadline. The
// function returned undoes it, and waits for a cancellation that is just taking effect: it must not hit the next
// caller.
func (c *Conn) bind(ctx context.Context) (deadline time.Time, release func()) {
	deadline, _ = ctx.Deadline()
	if ctx.Done() == nil {
		return deadline, func() {}
	}
	cancelled := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		c.Interrupt()
		close(cancelled)
	})
	return deadline, func() {
		if !stop() {
			<-cancelled
		}
	}
}

// failed closes the connection for good and makes the error for it.
func (c *Conn) failed(sent Delivery, cause error) error {
	c.Close()
	return &ConnError{Delivery: sent, Timeout: errors.Is(cause, os.ErrDeadlineExceeded), Cause: cause}
}

// Query is QueryUntil with the deadline of a context, and breaks off when it is cancelled. It costs more than QueryUntil.
func (c *Conn) Query(ctx context.Context, id, text string) (Answer, error) {
	if ctx.Err() != nil {
		return Answer{}, &ConnError{Delivery: NotSent, Timeout: true, Cause: ctx.Err()}
	}
	deadline, release := c.bind(ctx)
	defer release()
	answer, err := c.QueryUntil(deadline, id, text)
	var failure *ConnError
	if errors.As(err, &failure) && ctx.Err() != nil {
		failure.Timeout = true
	}
	return answer, err
}

// QueryUntil sends a statement and waits for its answer until the deadline (zero: for ever). An ERROR of the instance is
// an answer, not an error. Errors are *ConnError; the connection is then closed.
func (c *Conn) QueryUntil(deadline time.Time, id, text string) (Answer, error) {
	if c.spoiled {
		return Answer{}, &ConnError{Delivery: NotSent, Cause: errSpoiled}
	}
	if err := c.network.SetDeadline(deadline); err != nil {
		return Answer{}, c.failed(NotSent, eris.Wrap(err, "deadline"))
	}
	c.buffer = AppendQuery(c.buffer[:0], id, text)
	c.sentAt = time.Time{}
	written, err := c.network.Write(c.buffer)
	c.sentAt = time.Now()
	if err != nil {
		return Answer{}, c.failed(sentAfterWrite(written, len(c.buffer)), eris.Wrap(err, "send"))
	}
	answer, err := c.reader.ReadAnswer()
	if err != nil {
		return Answer{}, c.failed(MaybeRan, eris.Wrap(err, "answer"))
	}
	c.state, c.position = answer.State, answer.Position
	if cap(c.buffer) > keptBuffer {
		c.buffer = nil
	}
	return answer, nil
}

// keptBuffer is the largest send buffer in bytes that a connection keeps between statements.
const keptBuffer = 4096

// sentAfterWrite: a line whose end has not left is never run.
func sentAfterWrite(written, length int) Delivery {
	if written < length {
		return NotSent
	}
	return MaybeRan
}

// SentAt is when the last statement had been handed to the network; zero: there was none.
func (c *Conn) SentAt() time.Time { return c.sentAt }

// State is the state that the instance named last.
func (c *Conn) State() State { return c.state }

// Position is the position that the instance named last, or "-".
func (c *Conn) Position() string { return c.position }

// IsUsable tells whether the connection can take a statement: it has not failed, the far end has not closed it and has
// sent nothing unasked. It costs one system call.
func (c *Conn) IsUsable() bool {
	if c.spoiled {
		return false
	}
	if c.reader.Buffered() > 0 || !quietAndOpen(c.network) {
		c.Close()
		return false
	}
	return true
}

// Interrupt closes the connection under whoever is using it; that caller gets an error. It may be called at any time by
// anyone.
func (c *Conn) Interrupt() { _ = c.network.Close() }

// Close ends the connection at once; an open transaction is rolled back by the instance.
func (c *Conn) Close() {
	c.spoiled = true
	_ = c.network.Close()
}
