package ingress

import (
	"net"
	"syscall"
)

// hasUnreadData reports whether the socket's receive buffer holds data, so that a request that
// arrived in time is not cut off. It neither consumes data nor waits for a concurrent Read.
func hasUnreadData(c net.Conn) bool {
	if wrapped, ok := c.(*trackingConn); ok {
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
	unread := false
	err = control.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = peekErr == nil && n > 0
	})
	return err == nil && unread
}
