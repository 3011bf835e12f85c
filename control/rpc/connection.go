package rpc

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds one attempt to connect. Where there is a path, connecting takes a few milliseconds; if it takes longer
	// than this, the peer is unreachable or off. If the SYN was lost, the next attempt sends another.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent bytes may remain unacknowledged before the connection counts as dead. If the peer is up,
	// the next connection is made at once, so this is shorter than the time that others wait for a controller.
	unackedTimeout = 1500 * time.Millisecond
	// writeTimeout applies to each chunk of writeChunk bytes: a large frame may take long on a slow link, but a peer that
	// doesn't read is detected at the first chunk that can't be written.
	writeChunk   = 16 << 10
	writeTimeout = unackedTimeout
)

// Routes maps the addresses that are reached through a relay, such as a tunnel between sites, to the address to connect to
// instead. All others are reached directly.
type Routes map[string]string

func (r Routes) resolve(address string) string {
	if via, found := r[address]; found {
		return via
	}
	return address
}

// dial connects to another process.
func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp4", address)
}

// setUserTimeout bounds how long sent bytes may stay without an acknowledgement.
func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	var optionErr error
	err := connection.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// limitUnacked sets the user timeout on an accepted connection. If that fails, the write deadlines still apply.
func limitUnacked(connection net.Conn) {
	if plain, ok := connection.(syscall.Conn); ok {
		if raw, err := plain.SyscallConn(); err == nil {
			_ = setUserTimeout("", "", raw)
		}
	}
}

// writeAll writes all bytes as long as the other side accepts each chunk in time. The deadline latest, unless zero, bounds the
// whole.
func writeAll(connection net.Conn, contents []byte, latest time.Time) error {
	for len(contents) > 0 {
		chunk := contents[:min(len(contents), writeChunk)]
		deadline := time.Now().Add(writeTimeout)
		if !latest.IsZero() && latest.Before(deadline) {
			deadline = latest
		}
		_ = connection.SetWriteDeadline(deadline)
		if _, err := connection.Write(chunk); err != nil {
			return err
		}
		contents = contents[len(chunk):]
	}
	return nil
}
