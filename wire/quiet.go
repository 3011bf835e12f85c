package wire

import (
	"errors"
	"net"
	"syscall"
)

// quietAndOpen tells, without waiting, whether nothing has come on the connection: no byte, no end, no error.
func quietAndOpen(network net.Conn) bool {
	source, ok := network.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, readErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(readErr, syscall.EAGAIN)
	})
	return err == nil && quiet
}
