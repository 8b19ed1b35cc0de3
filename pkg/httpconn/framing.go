package httpconn

import (
	"bytes"
	"slices"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

var (
	transferEncoding = []byte("Transfer-Encoding")
	contentLength    = []byte("Content-Length")
)

// framing is what a head says of the end of the body.
type framing struct {
	version string
	status  string
	// chunked is set if there is a Transfer-Encoding, of which net/http takes chunks alone.
	chunked bool
	// lengths are the values of Content-Length.
	lengths []string
}

// add notes a field if it frames the body.
func (f *framing) add(name, value []byte) {
	switch {
	case bytes.EqualFold(name, transferEncoding):
		f.chunked = true
	case bytes.EqualFold(name, contentLength):
		f.lengths = append(f.lengths, string(value))
	}
}

// check returns an error if the end of the body is open to doubt: RFC 9112, section 6. net/http checks the
// values.
func (f *framing) check() error {
	switch {
	case f.chunked && f.version == "HTTP/1.0":
		return problem.New(problem.Invalid, remedyMalformed, "a response of HTTP/1.0 has a Transfer-Encoding")
	case f.chunked && len(f.lengths) > 0:
		return problem.New(problem.Invalid, remedyMalformed, "a response has a Transfer-Encoding and a Content-Length")
	case f.status == "101":
		return problem.New(problem.Invalid, remedyMalformed, "a response switches to another protocol, for which the call did not ask")
	case f.bodyless() && (f.chunked || slices.ContainsFunc(f.lengths, func(length string) bool { return length != "0" })):
		return problem.New(problem.Invalid, remedyMalformed, "a response with status %s, which has no body, says that there is one", f.status)
	}
	return nil
}

// bodyless reports whether responses with the status have neither a body nor a length.
func (f *framing) bodyless() bool { return f.status[0] == '1' || f.status == "204" }
