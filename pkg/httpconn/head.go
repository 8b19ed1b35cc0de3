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

var (
	lineFeed = []byte("\n")
	blank    = []byte(" ")
)

const remedyMalformed = "check what listens at the endpoint's address"

// errHeadTooLong is returned when an endpoint sends a head without end.
var errHeadTooLong = problem.New(problem.Invalid, remedyMalformed, "the endpoint sent %d bytes without a complete response head", maxHeadBytes)

// checkHead returns an error if the head of a response is not one of HTTP/1.1. It is stricter than net/http,
// to which what is no response may look like the start of another one.
func checkHead(head []byte) error {
	line, _, _ := bytes.Cut(head, lineFeed)
	return checkStatusLine(trimReturn(line))
}

// checkStatusLine returns an error if a line is not a status line: RFC 9112, section 4. The blank before an
// empty reason may be missing.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, blank)
	status, reason, _ := bytes.Cut(rest, blank)
	if !isVersion(version) || !isStatus(status) || !isText(reason) {
		return problem.New(problem.Invalid, remedyMalformed, "malformed status line %.100q", line)
	}
	return nil
}

// isVersion reports whether text is a version of HTTP/1.
func isVersion(text []byte) bool {
	minor, found := bytes.CutPrefix(text, []byte("HTTP/1."))
	return found && len(minor) == 1 && isDigit(minor[0])
}

// isStatus reports whether text is a status code: RFC 9110, section 15.
func isStatus(text []byte) bool {
	return len(text) == 3 && '1' <= text[0] && text[0] <= '5' && isDigit(text[1]) && isDigit(text[2])
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isText reports whether text may stand in a reason or in the value of a field: it has no control bytes but
// tabs.
func isText(text []byte) bool {
	return !bytes.ContainsFunc(text, func(r rune) bool { return r < ' ' && r != '\t' || r == '\x7f' })
}

// trimReturn returns a line without the carriage return before its line feed.
func trimReturn(line []byte) []byte { return bytes.TrimSuffix(line, []byte("\r")) }

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
