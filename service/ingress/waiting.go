package ingress

import (
	"net"
	"syscall"
)

// bytesWait tells whether bytes have come on a connection that nobody has read yet: a request that
// came in time must not be cut off. It takes nothing, and does not wait for who reads the
// connection.
func bytesWait(c net.Conn) bool {
	if wrapped, ok := c.(*headConn); ok {
		c = wrapped.Conn
	}
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	wait := false
	err = control.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wait = peekErr == nil && n > 0
	})
	return err == nil && wait
}
