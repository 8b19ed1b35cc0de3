package peers

import (
	"net"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// maxPortAttempts bounds the search for a port that is free for both TCP and UDP if the configured
// port is 0.
const maxPortAttempts = 20

// ListenTCP listens on the address (IP:port) of a listen.* setting.
func ListenTCP(face, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, problem.Wrap(err, problem.Invalid, "use an address of this machine with a free port", "listen.%s %s", face, address)
	}
	return listener, nil
}

// Listen listens on the same port for calls over TCP and heartbeats over UDP.
func Listen(address string) (net.Listener, *net.UDPConn, error) {
	var last error
	for range maxPortAttempts {
		listener, err := ListenTCP("peers", address)
		if err != nil {
			return nil, nil, err
		}
		tcp := listener.Addr().(*net.TCPAddr)
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: tcp.IP, Port: tcp.Port})
		if err == nil {
			return listener, udp, nil
		}
		last = err
		_ = listener.Close()
	}
	return nil, nil, problem.Wrap(last, problem.Invalid, "use an address whose port is free for both TCP and UDP", "listen.peers %s", address)
}
