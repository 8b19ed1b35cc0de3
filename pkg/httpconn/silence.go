package httpconn

import (
	"net"
	"time"
)

const (
	// silenceTimeout is after how long without any packet from the peer, or without an acknowledgement
	// of data, a connection in use counts as broken. A sound peer may be silent for a second or two.
	silenceTimeout = 3 * time.Second
	// keepAlivePeriod is the time between keep-alive probes. Where there is a user timeout, the kernel
	// gives up by that, whatever their count.
	keepAlivePeriod = time.Second
)

// SetSilenceTimeout makes a TCP connection fail when its peer has been silent for too long. Other
// connections remain as they are, as do those whose options the kernel refuses.
func SetSilenceTimeout(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: int(silenceTimeout / keepAlivePeriod)})
	setUserTimeout(tcp, silenceTimeout)
}
