package rpc

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// A connection is made within a few milliseconds where there is a path. Longer than this, the peer is cut off or
	// without power; a lost opening packet is sent again by the next attempt.
	dialTimeout = 400 * time.Millisecond
	// After this long without a word from the other side about bytes that were sent, the connection counts as dead. The
	// next one is made at once where the peer is there, so this is short of what others wait for a controller.
	unackedTimeout = 1500 * time.Millisecond
	// Each of these many bytes gets the time of writeTimeout: a large frame on a slow link takes longer than a small one,
	// but a peer that doesn't read is found out by the first that doesn't go.
	writeStep    = 16 << 10
	writeTimeout = unackedTimeout
)

// Routes says where to connect to instead, for addresses that are reached through a relay, such as a tunnel between sites. Others are
// reached directly.
type Routes map[string]string

func (r Routes) of(address string) string {
	if via, found := r[address]; found {
		return via
	}
	return address
}

// dial makes a connection to another process.
func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp4", address)
}

// setUserTimeout bounds how long sent bytes may stay without an acknowledgement.
func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	var failed error
	err := connection.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// bound sets the user timeout on a connection that was accepted. A failure leaves the write deadlines.
func bound(connection net.Conn) {
	if plain, ok := connection.(syscall.Conn); ok {
		if raw, err := plain.SyscallConn(); err == nil {
			_ = setUserTimeout("", "", raw)
		}
	}
}

// write writes all bytes, as long as the other side takes some now and then. Latest, if given, bounds the whole.
func write(connection net.Conn, contents []byte, latest time.Time) error {
	for len(contents) > 0 {
		step := contents[:min(len(contents), writeStep)]
		deadline := time.Now().Add(writeTimeout)
		if !latest.IsZero() && latest.Before(deadline) {
			deadline = latest
		}
		_ = connection.SetWriteDeadline(deadline)
		if _, err := connection.Write(step); err != nil {
			return err
		}
		contents = contents[len(step):]
	}
	return nil
}
