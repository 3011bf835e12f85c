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

// A machine that is partitioned or without power closes no connections. These limits detect that within seconds: a connection ends when bytes
// stay unacknowledged for unackedTimeout, and idle connections are checked by keep-alive probes.
const unackedTimeout = 5 * time.Second

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

var errNoSocket = eris.New("host: the connection has no socket")

// listen opens a TCP listener whose connections use keep-alive probes.
func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	return config.Listen(ctx, "tcp4", address)
}

// setUnackedTimeout sets TCP_USER_TIMEOUT. Its signature is that of net.Dialer.Control.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		// A system without the option still works, but detects partitions later.
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}

// limitedListener bounds the number of open connections. Further ones are closed at once, so that the caller turns to another controller
// instead of waiting in a queue.
type limitedListener struct {
	net.Listener
	limit   int64
	maxKept int64 // connections beyond these are for one call each, so that kept ones never lock other callers out; 0: all are kept
	open    atomic.Int64
	refused *atomic.Uint64
}

// Accept waits for the next connection within the limit, and closes those beyond it.
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
		l.setTimeout(connection)
		forOneCall := l.maxKept > 0 && open > l.maxKept
		return &limitedConn{Conn: connection, forOneCall: forOneCall, release: func() { l.open.Add(-1) }}, nil
	}
}

func (l *limitedListener) setTimeout(connection net.Conn) {
	source, ok := connection.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := source.SyscallConn(); err == nil {
		_ = setUnackedTimeout("", "", raw)
	}
}

// limitedConn frees its place in the listener's limit when it is closed.
type limitedConn struct {
	net.Conn
	forOneCall  bool
	releaseOnce sync.Once
	release     func()
}

// oneCallKey is the context key that marks connections for one call.
type oneCallKey struct{}

// markOneCall marks the context of a new connection if it is for one call.
func markOneCall(ctx context.Context, connection net.Conn) context.Context {
	if limited, ok := connection.(*limitedConn); ok && limited.forOneCall {
		return context.WithValue(ctx, oneCallKey{}, true)
	}
	return ctx
}

func isForOneCall(ctx context.Context) bool { return ctx.Value(oneCallKey{}) != nil }

// SyscallConn returns the raw connection of the underlying socket.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return source.SyscallConn()
}

// Close closes the connection and frees its place once.
func (c *limitedConn) Close() error {
	c.releaseOnce.Do(c.release)
	return c.Conn.Close()
}
