package test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// tcpLink forwards connections to a target until it is cut. Cutting closes what is
// open and refuses what is new.
type tcpLink struct {
	listener net.Listener
	target   func() string
	cut      atomic.Bool
	mu       sync.Mutex
	conns    []net.Conn
}

func newTCPLink(address string, target func() string) *tcpLink {
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	l := &tcpLink{listener: listener, target: target}
	go l.serve()
	DeferCleanup(func() {
		l.setCut(true)
		_ = listener.Close()
	})
	return l
}

func (l *tcpLink) address() string { return l.listener.Addr().String() }

func (l *tcpLink) serve() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

func (l *tcpLink) forward(conn net.Conn) {
	if l.cut.Load() {
		_ = conn.Close()
		return
	}
	other, err := net.Dial("tcp", l.target())
	if err != nil {
		_ = conn.Close()
		return
	}
	l.mu.Lock()
	l.conns = append(l.conns, conn, other)
	l.mu.Unlock()
	go func() {
		_, _ = io.Copy(other, conn)
		_ = other.Close()
	}()
	_, _ = io.Copy(conn, other)
	_ = conn.Close()
}

func (l *tcpLink) setCut(cut bool) {
	l.cut.Store(cut)
	if !cut {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	l.conns = nil
}

// peerLink stands before one instance's peer address, for TCP and UDP.
type peerLink struct {
	*tcpLink
	udp *net.UDPConn
}

func newPeerLink(target func() string) *peerLink {
	tcp := newTCPLink("127.0.0.1:0", target)
	address := tcp.listener.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: address.IP, Port: address.Port})
	Expect(err).NotTo(HaveOccurred())
	l := &peerLink{tcpLink: tcp, udp: udp}
	go l.datagrams()
	DeferCleanup(udp.Close)
	return l
}

func (l *peerLink) datagrams() {
	buffer := make([]byte, 64<<10)
	for {
		n, err := l.udp.Read(buffer)
		if err != nil {
			return
		}
		if l.cut.Load() {
			continue
		}
		if target, err := net.ResolveUDPAddr("udp", l.target()); err == nil {
			_, _ = l.udp.WriteToUDP(buffer[:n], target)
		}
	}
}
