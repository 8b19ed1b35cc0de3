package peers

import (
	"net"
	"sync/atomic"
	"time"
)

// heardConn knows when bytes last came.
type heardConn struct {
	net.Conn
	last atomic.Pointer[time.Time]
}

// Read implements net.Conn.
func (c *heardConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		now := time.Now()
		c.last.Store(&now)
	}
	return n, err
}

// silence is how long ago bytes last came.
func (c *heardConn) silence() time.Duration {
	last := c.last.Load()
	if last == nil {
		return 1 << 62
	}
	return time.Since(*last)
}
