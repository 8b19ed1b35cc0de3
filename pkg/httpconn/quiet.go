package httpconn

import (
	"net"
	"syscall"
)

// quiet tells whether a kept connection is still open and has nothing to read: what
// comes while no call is under way belongs to no request.
func quiet(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		n, readErr := syscall.Read(int(fd), one[:])
		silent = n < 0 && (readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && silent
}
