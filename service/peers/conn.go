package peers

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// writeTimeout bounds the write of each chunk of writeChunk bytes. It leaves time for the
	// retransmission of a lost packet; a chunk takes 26 ms on an idle link of 10 Mbit/s.
	writeTimeout = time.Second
	writeChunk   = 32 << 10
)

// monitoredConn measures how long its reader has been blocked, and closes itself if a write times
// out.
//
// While a large message is being decoded nobody reads, which does not count as silence: 1.7 MB take a
// quarter of a second on a fifth of a core. Without the write timeout, calls over a full connection to
// a partitioned peer would hang, because the ping that detects the partition could not be written
// either; 189 plans of two seconds waited until a partition had healed.
type monitoredConn struct {
	net.Conn
	// readSince is when the current Read began; nil if there is none.
	readSince atomic.Pointer[time.Time]
}

// Read implements net.Conn. It must not be called concurrently.
func (c *monitoredConn) Read(buffer []byte) (int, error) {
	now := time.Now()
	c.readSince.Store(&now)
	defer c.readSince.Store(nil)
	return c.Conn.Read(buffer)
}

// Write implements net.Conn.
func (c *monitoredConn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		chunk := data[written:min(len(data), written+writeChunk)]
		err := c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err == nil {
			var n int
			n, err = c.Conn.Write(chunk)
			written += n
		}
		if err != nil {
			// A partially written message leaves the stream unusable.
			_ = c.Close()
			return written, err
		}
	}
	return written, nil
}

// silence returns how long the current Read has been blocked.
func (c *monitoredConn) silence() time.Duration {
	since := c.readSince.Load()
	if since == nil {
		return 0
	}
	return time.Since(*since)
}
