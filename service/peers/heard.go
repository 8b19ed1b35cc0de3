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

// heardConn knows how long its reader has waited for bytes in vain, and closes itself when the peer takes none.
// While a large message is being parsed nobody reads, and the peer is not silent: on a fifth of a core that
// takes a quarter of a second for 1.7 MB. Without the bound on writes, a
// connection to a peer that was cut off with more under way than the sockets hold never ended: the
// ping that would have shown it waited to be written too, and 189 plans of two seconds waited until
// the cut had healed.
type heardConn struct {
	net.Conn
	// waits is since when the reader waits for bytes; nil while it does not.
	waits atomic.Pointer[time.Time]
}

// Read implements net.Conn. It has one caller at a time.
func (c *heardConn) Read(buffer []byte) (int, error) {
	now := time.Now()
	c.waits.Store(&now)
	defer c.waits.Store(nil)
	return c.Conn.Read(buffer)
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

// silence is how long the reader has waited for bytes that do not come.
func (c *heardConn) silence() time.Duration {
	waits := c.waits.Load()
	if waits == nil {
		return 0
	}
	return time.Since(*waits)
}
