package httpconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// Conn is a TCP connection to an endpoint whose directions have one outcome. The kernel reports the failure
// of a connection to one call only. If a Write is told, a Read finds the end of the data, as if the endpoint
// had closed its side. A Read of Conn returns io.EOF only if the endpoint has.
//
// One goroutine may read and another one write.
type Conn struct {
	// Conn is tcp, without its methods that io.Copy would call in place of Read and Write.
	net.Conn
	tcp *net.TCPConn

	// writing is held during a Write.
	writing sync.Mutex
	// failure is the first error that told a Write of the failure of the connection; writing protects it.
	failure error
}

var _ syscall.Conn = (*Conn)(nil)

// NewConn returns a Conn over a TCP connection.
func NewConn(tcp *net.TCPConn) *Conn { return &Conn{Conn: tcp, tcp: tcp} }

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.tcp.Write(data)
	if c.failure == nil && isFailure(err) {
		c.failure = err
	}
	return n, err
}

// isFailure reports whether an error of a Write means that the connection failed before the endpoint closed
// its side. A connection that is reset after that fails with EPIPE.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Read implements net.Conn. The end of the data ends the writing too: a connection to an endpoint is not used
// in one direction alone.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.tcp.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = c.endOfData()
	}
	return n, err
}

// endOfData returns io.EOF, or why the data has no end if a Write was told of the failure of the connection.
func (c *Conn) endOfData() error {
	// A Write in progress may have been told, but not have returned.
	_ = c.tcp.SetWriteDeadline(time.Unix(0, 1))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure == nil {
		return io.EOF
	}
	return problem.Wrap(c.failure, problem.Unknown, "treat what was received as incomplete", "the connection failed during a write")
}

// SetLinger sets how long Close tries to deliver unsent data, in seconds. With 0 it resets the connection.
func (c *Conn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }
