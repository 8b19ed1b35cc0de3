package peers

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// firstTunnelByte is the first byte of the CONNECT requests that open tunnels. The first byte of a
// JSON-RPC frame is that of its length, which is far below 1 GB.
const firstTunnelByte = 'C'

// Split divides the connections accepted by a listener into those for JSON-RPC calls and those for
// tunnels, by their first byte. Closing either listener closes both.
func Split(listener net.Listener) (calls, tunnels net.Listener) {
	s := &splitter{listener: listener, closed: make(chan struct{})}
	c := &splitListener{splitter: s, conns: make(chan net.Conn)}
	t := &splitListener{splitter: s, conns: make(chan net.Conn)}
	go s.accept(c, t)
	return c, t
}

type splitter struct {
	listener net.Listener
	closed   chan struct{}
	once     sync.Once
}

func (s *splitter) accept(calls, tunnels *splitListener) {
	defer s.close()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.classify(conn, calls, tunnels)
	}
}

func (s *splitter) close() {
	s.once.Do(func() {
		close(s.closed)
		_ = s.listener.Close()
	})
}

// classify waits for the first byte of a connection and passes the connection on.
func (s *splitter) classify(conn net.Conn, calls, tunnels *splitListener) {
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	reader := bufio.NewReaderSize(conn, 1)
	first, err := reader.Peek(1)
	if err != nil {
		_ = conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	to := calls
	if first[0] == firstTunnelByte {
		to = tunnels
	}
	select {
	case to.conns <- &peekedConn{Conn: conn, reader: reader}:
	case <-s.closed:
		_ = conn.Close()
	}
}

// splitListener accepts one kind of the connections.
type splitListener struct {
	*splitter
	conns chan net.Conn
}

var _ net.Listener = (*splitListener)(nil)

// Accept implements net.Listener.
func (l *splitListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *splitListener) Close() error {
	l.close()
	return nil
}

// Addr implements net.Listener.
func (l *splitListener) Addr() net.Addr { return l.listener.Addr() }

// peekedConn returns the bytes that were read to classify the connection first.
type peekedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (c *peekedConn) Read(buffer []byte) (int, error) {
	if c.reader == nil {
		return c.Conn.Read(buffer)
	}
	if c.reader.Buffered() == 0 {
		c.reader = nil
		return c.Conn.Read(buffer)
	}
	return c.reader.Read(buffer)
}

// NetConn returns the accepted connection.
func (c *peekedConn) NetConn() net.Conn { return c.Conn }
