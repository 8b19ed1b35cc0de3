package ingress

import (
	"context"
	"net"
	"net/http"
	"time"
)

// connState notes which connections rest. Those that send a head rest until it has begun,
// and become active when it has been read.
func (f *Face) connState(c net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.idle, c)
	delete(f.reading, c)
	if state == http.StateNew || state == http.StateIdle {
		f.idle[c] = f.Clock.Now()
	}
}

// bytesCame notes that a connection that rested sends the head of a request.
func (f *Face) bytesCame(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, rested := f.idle[c]; rested {
		delete(f.idle, c)
		f.reading[c] = f.Clock.Now()
	}
}

// headListener and headConn tell the face when bytes come.
type headListener struct {
	net.Listener
	face *Face
}

// Accept implements net.Listener.
func (l *headListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headConn{c, l.face}, nil
}

type headConn struct {
	net.Conn
	face *Face
}

// Read implements net.Conn.
func (c *headConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.face.bytesCame(c)
	}
	return n, err
}

// Sweep closes the connections that have rested too long, or send a head for too long, each
// second until ctx ends.
func (f *Face) Sweep(ctx context.Context) {
	ticker := f.Clock.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			f.sweep()
		}
	}
}

func (f *Face) sweep() {
	allowed := f.allowance.take(f.Limits())
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	for _, c := range older(f.idle, now.Add(-allowed.IdleTimeout)) {
		if bytesWait(c) {
			// A request has begun that its reader has not come to yet: it has the time of a head.
			f.reading[c] = now
		} else {
			_ = c.Close()
		}
		delete(f.idle, c)
	}
	for _, c := range older(f.reading, now.Add(-allowed.HeaderTimeout)) {
		_ = c.Close()
		delete(f.reading, c)
	}
}

// older returns the connections noted before a time.
func older(conns map[net.Conn]time.Time, before time.Time) []net.Conn {
	var list []net.Conn
	for c, since := range conns {
		if since.Before(before) {
			list = append(list, c)
		}
	}
	return list
}
