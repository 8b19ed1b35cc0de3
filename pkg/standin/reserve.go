package standin

import (
	"net"
	"syscall"
)

// reservation keeps a TCP port bound without listening, so that connections are refused and no other process
// can use the port.
type reservation struct{ fd int }

// reserve binds an address of the form IPv4:port. It returns nil if that fails.
func reserve(address string) *reservation {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil
	}
	// Recently closed connections would otherwise block the port for a while.
	for _, shared := range []int{0, 1} {
		if r := bind(tcp, shared); r != nil {
			return r
		}
	}
	return nil
}

func bind(tcp *net.TCPAddr, shared int) *reservation {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, shared)
	target := &syscall.SockaddrInet4{Port: tcp.Port}
	copy(target.Addr[:], tcp.IP.To4())
	if err := syscall.Bind(fd, target); err != nil {
		_ = syscall.Close(fd)
		return nil
	}
	return &reservation{fd: fd}
}

func (r *reservation) release() {
	if r != nil {
		_ = syscall.Close(r.fd)
	}
}
