package httpconn

import (
	"io"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// maxHeaderBytes limits the size of a response header.
const maxHeaderBytes = 256 << 10

// errHeaderTooLong is returned when an endpoint sends a header without end.
var errHeaderTooLong = problem.New(problem.Invalid, "check what listens at the endpoint's address", "the endpoint sent %d bytes without a complete response header", maxHeaderBytes)

// headerLimit is a reader that fails once a header is too long. It is used by one call at a time.
type headerLimit struct {
	reader io.Reader
	// left is the number of bytes that may be read; negative if there is no limit.
	left int
}

// begin limits the bytes read until end.
func (l *headerLimit) begin() { l.left = maxHeaderBytes }

// end lifts the limit.
func (l *headerLimit) end() { l.left = -1 }

// Read implements io.Reader.
func (l *headerLimit) Read(buffer []byte) (int, error) {
	if l.left == 0 {
		return 0, errHeaderTooLong
	}
	if l.left > 0 {
		buffer = buffer[:min(len(buffer), l.left)]
	}
	n, err := l.reader.Read(buffer)
	if l.left > 0 {
		l.left -= n
	}
	return n, err
}
