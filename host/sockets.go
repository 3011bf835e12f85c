package host

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// A machine that is cut off or without power says nothing. These bounds find that out within seconds: unacknowledged
// bytes end a connection after unsentTimeout, and a connection at rest is asked for a sign of life.
const unsentTimeout = 5 * time.Second

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

var errNoSocket = eris.New("host: the connection has no socket")

// listen opens a TCP listener whose connections notice a silent cut.
func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	return config.Listen(ctx, "tcp4", address)
}

// setUnsentTimeout is a Control function for sockets on their way to be connected.
func setUnsentTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		// A system without the option still works; it only finds cuts later.
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unsentTimeout.Milliseconds()))
	})
}

// limitedListener accepts a bounded number of connections at a time. Those beyond it are closed at once, so that the
// caller goes on to another controller instead of waiting in a queue that nobody empties.
type limitedListener struct {
	net.Listener
	limit   int64
	keep    int64 // connections beyond these are for one call each, so that callers who keep theirs never shut others out; 0: all are kept
	open    atomic.Int64
	refused *atomic.Uint64
}

// Accept waits for the next connection that there is room for.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open := l.open.Add(1)
		if open > l.limit {
			l.open.Add(-1)
			l.refused.Add(1)
			_ = connection.Close()
			continue
		}
		l.bound(connection)
		once := l.keep > 0 && open > l.keep
		return &limitedConn{Conn: connection, forOneCall: once, release: func() { l.open.Add(-1) }}, nil
	}
}

func (l *limitedListener) bound(connection net.Conn) {
	source, ok := connection.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := source.SyscallConn(); err == nil {
		_ = setUnsentTimeout("", "", raw)
	}
}

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	net.Conn
	forOneCall bool
	once       sync.Once
	release    func()
}

// oneCallKey marks the context of connections that are for one call.
type oneCallKey struct{}

// noteOneCall marks the context of a new connection, if it is for one call.
func noteOneCall(ctx context.Context, connection net.Conn) context.Context {
	if limited, ok := connection.(*limitedConn); ok && limited.forOneCall {
		return context.WithValue(ctx, oneCallKey{}, true)
	}
	return ctx
}

func isForOneCall(ctx context.Context) bool { return ctx.Value(oneCallKey{}) != nil }

// SyscallConn gives access to the socket beneath.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return source.SyscallConn()
}

// Close ends the connection.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
