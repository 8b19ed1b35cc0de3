package ingress

import (
	"context"
	"net"
	"net/http"
	"time"
)

// connState tracks idle connections. A connection is idle until the first byte of a request
// arrives, and active once the request header has been read.
func (s *Server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.idle, c)
	delete(s.reading, c)
	if state == http.StateNew || state == http.StateIdle {
		s.idle[c] = s.Clock.Now()
	}
}

// markReading records that an idle connection has started to receive a request header.
func (s *Server) markReading(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, idle := s.idle[c]; idle {
		delete(s.idle, c)
		s.reading[c] = s.Clock.Now()
	}
}

// trackingListener and trackingConn report incoming data to the server.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. Connections that the instance has no processor time for are closed unread,
// so that their clients try another instance.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.Overload.Admit() {
			return &trackingConn{c, l.server}, nil
		}
		_ = c.Close()
	}
}

type trackingConn struct {
	net.Conn
	server *Server
}

// Read implements net.Conn.
func (c *trackingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.server.markReading(c)
	}
	return n, err
}

// Sweep periodically closes connections that exceed the idle or the header timeout. It returns when
// ctx is done.
func (s *Server) Sweep(ctx context.Context) {
	ticker := s.Clock.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			s.sweep()
		}
	}
}

func (s *Server) sweep() {
	allowed := s.clientLimits.update(s.Limits())
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for _, c := range olderThan(s.idle, now.Add(-allowed.IdleTimeout)) {
		if hasUnreadData(c) {
			// A request has arrived but has not been read yet; the header timeout applies.
			s.reading[c] = now
		} else {
			_ = c.Close()
		}
		delete(s.idle, c)
	}
	for _, c := range olderThan(s.reading, now.Add(-allowed.HeaderTimeout)) {
		_ = c.Close()
		delete(s.reading, c)
	}
}

// olderThan returns the connections recorded before the given time.
func olderThan(conns map[net.Conn]time.Time, before time.Time) []net.Conn {
	var list []net.Conn
	for c, since := range conns {
		if since.Before(before) {
			list = append(list, c)
		}
	}
	return list
}
