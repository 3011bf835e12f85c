package wire

import (
	"errors"
	"net"
	"syscall"
)

// quietAndOpen tells, without waiting, whether nothing has come on the connection: no byte, no end, no reset. Where the
// system can't tell, the connection is taken for sound: the next statement finds out.
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
		quiet = readErr != nil && !isLoss(readErr)
	})
	return err == nil && quiet
}

func isLoss(err error) bool {
	for _, loss := range []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EPIPE, syscall.ENOTCONN, syscall.EHOSTUNREACH} {
		if errors.Is(err, loss) {
			return true
		}
	}
	return false
}
