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

// Delivery says whether a statement that failed may have reached the instance.
type Delivery int

const (
	// NotSent means that the statement has not been run and won't be.
	NotSent Delivery = iota
	// MaybeRan means that the whole statement was sent: it may have been run, or may still be.
	MaybeRan
)

// ConnError is the failure of a connection to an instance. The connection has been closed.
type ConnError struct {
	Delivery Delivery
	Timeout  bool // the deadline of the caller passed, or its context was cancelled
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

// RefusedError is the ERROR with which an instance answered CONNECT or one of the system's internal statements.
type RefusedError struct {
	Code Code
	Text string
}

func (e *RefusedError) Error() string { return fmt.Sprintf("refused: %s %s", e.Code, e.Text) }

// DeliveryOf returns, for an error of Dial, Query or another call, whether the statement may have run.
func DeliveryOf(err error) Delivery {
	var failure *ConnError
	if errors.As(err, &failure) {
		return failure.Delivery
	}
	return NotSent
}

// errBroken is the cause of the error when a connection is used after it failed.
var errBroken = eris.New("the connection has failed before")

// keepAlive detects instances that disappeared without closing the connection: probes start after Idle and are sent every
// Interval, so that the loss is known within a few seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Conn is a blocking connection to an instance, for one caller at a time. After any failure, including an answer after the
// deadline, it is closed and can't be used again.
type Conn struct {
	network  net.Conn
	reader   *Reader
	buffer   []byte
	isBroken bool
	sentAt   time.Time
	state    State
	position string
}

// Dial connects to an instance and waits for its READY. If instanceID is empty, any instance of the service is accepted.
// Errors are *ConnError with NotSent, or *RefusedError.
func Dial(ctx context.Context, address, service, user, instanceID string) (*Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive}
	network, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, &ConnError{Delivery: NotSent, Timeout: ctx.Err() != nil, Cause: eris.Wrap(err, "dial")}
	}
	conn := &Conn{network: network, reader: NewReader(network)}
	if err := conn.handshake(ctx, Connect{Database: service, User: user, InstanceID: instanceID}); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

func (c *Conn) handshake(ctx context.Context, connect Connect) error {
	deadline, release := c.bindContext(ctx)
	defer release()
	if err := c.network.SetDeadline(deadline); err != nil {
		return c.fail(NotSent, eris.Wrap(err, "deadline"))
	}
	if _, err := c.network.Write(AppendConnect(nil, connect)); err != nil {
		return c.fail(NotSent, eris.Wrap(err, "CONNECT"))
	}
	line, err := c.reader.ReadLine()
	if err != nil {
		return c.fail(NotSent, eris.Wrap(err, "answer to CONNECT"))
	}
	word, fields, _ := strings.Cut(line, " ")
	switch word {
	case "READY":
		c.state, c.position, err = ParseReady(fields)
		if err == nil && c.state != Idle {
			err = eris.Wrap(ErrMalformed, "a new connection is inside a transaction")
		}
		if err != nil {
			return c.fail(NotSent, err)
		}
		return nil
	case "ERROR":
		code, text, _ := strings.Cut(fields, " ")
		return &RefusedError{Code: Code(code), Text: text}
	}
	return c.fail(NotSent, eris.Wrapf(ErrMalformed, "%q as answer to CONNECT", word))
}

// bindContext interrupts the connection when the context is cancelled, and returns the context's deadline. The returned
// function undoes this. It waits for a cancellation that is in progress, which must not affect the next caller.
func (c *Conn) bindContext(ctx context.Context) (deadline time.Time, release func()) {
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

// fail closes the connection for good and returns the error for it.
func (c *Conn) fail(delivery Delivery, cause error) error {
	c.Close()
	return &ConnError{Delivery: delivery, Timeout: errors.Is(cause, os.ErrDeadlineExceeded), Cause: cause}
}

// Query is QueryUntil with the deadline of a context, and stops when the context is cancelled. It costs more than QueryUntil.
func (c *Conn) Query(ctx context.Context, id, text string) (Answer, error) {
	if ctx.Err() != nil {
		return Answer{}, &ConnError{Delivery: NotSent, Timeout: true, Cause: ctx.Err()}
	}
	deadline, release := c.bindContext(ctx)
	defer release()
	answer, err := c.QueryUntil(deadline, id, text)
	var failure *ConnError
	if errors.As(err, &failure) && ctx.Err() != nil {
		failure.Timeout = true
	}
	return answer, err
}

// QueryUntil sends a statement and waits for its answer until the deadline; zero means no deadline. An ERROR of the
// instance is an answer, not an error. Errors are *ConnError; the connection is closed then.
func (c *Conn) QueryUntil(deadline time.Time, id, text string) (Answer, error) {
	if c.isBroken {
		return Answer{}, &ConnError{Delivery: NotSent, Cause: errBroken}
	}
	if err := c.network.SetDeadline(deadline); err != nil {
		return Answer{}, c.fail(NotSent, eris.Wrap(err, "deadline"))
	}
	c.buffer = AppendQuery(c.buffer[:0], id, text)
	c.sentAt = time.Time{}
	written, err := c.network.Write(c.buffer)
	c.sentAt = time.Now()
	if err != nil {
		return Answer{}, c.fail(deliveryAfterWrite(written, len(c.buffer)), eris.Wrap(err, "send"))
	}
	answer, err := c.reader.ReadAnswer()
	if err != nil {
		return Answer{}, c.fail(MaybeRan, eris.Wrap(err, "answer"))
	}
	c.state, c.position = answer.State, answer.Position
	if cap(c.buffer) > maxKeptBuffer {
		c.buffer = nil
	}
	return answer, nil
}

// maxKeptBuffer is the size in bytes of the largest send buffer that a connection keeps between statements.
const maxKeptBuffer = 4096

// deliveryAfterWrite returns the delivery after a failed write: an instance never runs a line whose end was not sent.
func deliveryAfterWrite(written, length int) Delivery {
	if written < length {
		return NotSent
	}
	return MaybeRan
}

// SentAt returns when the last statement had been written to the network; zero if there was none.
func (c *Conn) SentAt() time.Time { return c.sentAt }

// State returns the state that the instance last reported.
func (c *Conn) State() State { return c.state }

// Position returns the position that the instance last reported, or "-".
func (c *Conn) Position() string { return c.position }

// IsUsable reports whether the connection can take a statement: it has not failed, and the instance has neither closed it
// nor sent anything unrequested. It costs one system call.
func (c *Conn) IsUsable() bool {
	if c.isBroken {
		return false
	}
	if c.reader.Buffered() > 0 || !isOpenAndSilent(c.network) {
		c.Close()
		return false
	}
	return true
}

// Interrupt closes the connection while a caller may be using it; that caller gets an error. It may be called at any time
// from any goroutine.
func (c *Conn) Interrupt() { _ = c.network.Close() }

// Close closes the connection at once; the instance rolls back an open transaction.
func (c *Conn) Close() {
	c.isBroken = true
	_ = c.network.Close()
}
