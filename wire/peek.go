package wire

import (
	"errors"
	"net"
	"syscall"
)

// isOpenAndSilent reports, without blocking, whether nothing has arrived on the connection: no byte, no end of stream, no
// reset. If the system can't tell, it returns true: the next statement will find out.
func isOpenAndSilent(network net.Conn) bool {
	source, ok := network.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	isSilent := false
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, readErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isSilent = readErr != nil && !isConnectionLoss(readErr)
	})
	return err == nil && isSilent
}

func isConnectionLoss(err error) bool {
	for _, loss := range []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EPIPE, syscall.ENOTCONN, syscall.EHOSTUNREACH} {
		if errors.Is(err, loss) {
			return true
		}
	}
	return false
}
