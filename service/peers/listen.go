package peers

import (
	"net"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// portTries bounds the search for a port that is free for TCP and UDP alike, where the
// settings leave the choice to the system.
const portTries = 20

// ListenTCP listens at the address (IP:port) that the settings give a face.
func ListenTCP(face, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, problem.Wrap(err, problem.Invalid, "use an address of this machine with a free port", "listen.%s %s", face, address)
	}
	return listener, nil
}

// Listen listens for peers' calls over TCP and their heartbeats over UDP, at one port.
func Listen(address string) (net.Listener, *net.UDPConn, error) {
	var last error
	for range portTries {
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
	return nil, nil, problem.Wrap(last, problem.Invalid, "use an address whose port is free for UDP too", "listen.peers %s", address)
}
