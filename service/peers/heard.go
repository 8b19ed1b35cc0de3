package peers

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// writeTimeout is how long the peer may take none of writeStep bytes: more than the second
	// sending of a lost packet takes, and 26 ms on an idle link of 10 Mbit/s.
	writeTimeout = time.Second
	writeStep    = 32 << 10
)

// heardConn knows when bytes last came, and closes itself when the peer takes none. Without that, a
// connection to a peer that was cut off with more under way than the sockets hold never ended: the
// ping that would have shown it waited to be written too, and 189 plans of two seconds waited until
// the cut had healed.
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

// Write implements net.Conn.
func (c *heardConn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		step := data[written:min(len(data), written+writeStep)]
		err := c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err == nil {
			var n int
			n, err = c.Conn.Write(step)
			written += n
		}
		if err != nil {
			// Part of a message may have gone: nothing that followed would be read rightly.
			_ = c.Close()
			return written, err
		}
	}
	return written, nil
}

// silence is how long ago bytes last came.
func (c *heardConn) silence() time.Duration {
	last := c.last.Load()
	if last == nil {
		return 1 << 62
	}
	return time.Since(*last)
}
