package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// maxHeadBytes limits the size of the head of a response.
const maxHeadBytes = 256 << 10

// errHeadTooLong is returned when an endpoint sends a head without end.
var errHeadTooLong = problem.New(problem.Invalid, remedyMalformed, "the endpoint sent %d bytes without a complete response head", maxHeadBytes)

// responseReader reads the responses on a connection.
type responseReader struct {
	// received is what comes from the connection.
	received *bufio.Reader
	// current is the current response: its head, which is sound, and what follows it.
	current *bufio.Reader
}

func newResponseReader(conn io.Reader) *responseReader {
	return &responseReader{received: bufio.NewReaderSize(conn, readBufferSize), current: bufio.NewReaderSize(nil, readBufferSize)}
}

// next reads the head of the next response. The body of the one before must have been read.
func (r *responseReader) next(request *http.Request) (*http.Response, error) {
	r.unread()
	head, err := readHead(r.received)
	if err != nil {
		return nil, err
	}
	if err := checkHead(head); err != nil {
		return nil, err
	}
	r.current.Reset(io.MultiReader(bytes.NewReader(head), r.received))
	return http.ReadResponse(r.current, request)
}

// unread returns what was buffered with the current response, and belongs to the next.
func (r *responseReader) unread() {
	n := r.current.Buffered()
	if n == 0 {
		return
	}
	next, _ := r.current.Peek(n)
	r.received = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(next)), r.received), readBufferSize)
}

// buffered returns the number of bytes that were received and not yet read.
func (r *responseReader) buffered() int { return r.current.Buffered() + r.received.Buffered() }

// readHead reads a head up to the empty line that ends it.
func readHead(r *bufio.Reader) ([]byte, error) {
	var head []byte
	for lineStart := 0; ; {
		part, err := r.ReadSlice('\n')
		head = append(head, part...)
		switch {
		case len(head) > maxHeadBytes:
			return nil, errHeadTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if line := bytes.TrimSuffix(head[lineStart:], lineFeed); len(trimReturn(line)) == 0 {
			return head, nil
		}
		lineStart = len(head)
	}
}
