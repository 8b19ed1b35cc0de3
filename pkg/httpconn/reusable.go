package httpconn

import (
	"net"
	"syscall"
)

// reusable reports whether an idle connection is open and has no unread data. Data that arrives
// between calls belongs to no call.
func reusable(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		n, readErr := syscall.Read(int(fd), one[:])
		reusable = n < 0 && (readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && reusable
}
