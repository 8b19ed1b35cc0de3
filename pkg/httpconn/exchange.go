package httpconn

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

const (
	// inlineBody is the greatest body that is written before the answer is read.
	// Longer ones are written beside, since an endpoint may answer before it has
	// read them.
	inlineBody = 8 << 10
	// maxSurplus bounds the answers to earlier calls that are passed over.
	maxSurplus      = 4
	maxSurplusBytes = 1 << 20
	// maxInformational bounds the 1xx answers that are passed over.
	maxInformational = 8
)

// Call is one message to an endpoint.
type Call struct {
	Target Target
	Method string
	// URI is path and query, as they go on the wire.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the value that the answer carries under the header IDHeader. Answers
	// that carry another one belong to other calls and are passed over. Empty:
	// any answer is taken.
	ID       string
	IDHeader string
	// MaxRest bounds how long a kept connection may have rested to be used for this
	// call; negative: only a new one is used.
	MaxRest time.Duration
}

// Answer is an endpoint's answer. Its body must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// NotSentError says that nothing of the call reached the endpoint.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

func notSent(cause error) error { return &NotSentError{Cause: cause} }

// NotSent tells whether err says that nothing of the call was sent.
func NotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// BarredError says that a gate did not let a call or a connection pass.
type BarredError struct{ Cause error }

// Error implements error.
func (e *BarredError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *BarredError) Unwrap() error { return e.Cause }

// Barred tells whether err says that the endpoint may not be used now, which says nothing against it.
func Barred(err error) bool {
	var e *BarredError
	return errors.As(err, &e)
}

// Do makes a call and returns the head of its answer. Unless NotSent(err), the endpoint
// may have acted on the call. When ctx ends, the connection is closed.
func (p *Pool) Do(ctx context.Context, call Call) (*Answer, error) {
	for _, gate := range []Gate{p.gates.Connect, p.gates.Send} {
		if err := p.pass(gate, call.Target); err != nil {
			return nil, err
		}
	}
	c, err := p.take(ctx, call.Target, call.MaxRest)
	if err != nil {
		return nil, err
	}
	for _, gate := range []Gate{p.gates.Send, p.gates.Spend} {
		if err := p.pass(gate, call.Target); err != nil {
			// The endpoint said so to another call, or other calls took what it bears, while this one waited for
			// its connection.
			p.keep(c, 0)
			return nil, err
		}
	}
	x := &exchange{pool: p, conn: c, call: call, written: make(chan error, 1)}
	x.unhook = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := x.write(); err != nil {
		x.fail()
		return nil, problem.Wrap(err, problem.Unknown, "it may have run; send it elsewhere only if it may be repeated", "call to endpoint %s broke while it was sent", call.Target.ID)
	}
	response, err := x.readHead()
	if err != nil {
		x.fail()
		return nil, problem.Wrap(err, problem.Unknown, "it may have run; send it elsewhere only if it may be repeated", "endpoint %s gave no answer", call.Target.ID)
	}
	x.response = response
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: x}, nil
}

// exchange is a call under way. As an io.ReadCloser it is the answer's body.
type exchange struct {
	pool     *Pool
	conn     *conn
	call     Call
	unhook   func() bool
	written  chan error
	response *http.Response
	whole    bool
	closed   bool
}

func (x *exchange) write() error {
	head := x.head()
	if len(x.call.Body) <= inlineBody {
		head.Write(x.call.Body)
		_, err := x.conn.Write(head.Bytes())
		x.written <- err
		return err
	}
	if _, err := x.conn.Write(head.Bytes()); err != nil {
		return err
	}
	go func() {
		_, err := x.conn.Write(x.call.Body)
		x.written <- err
	}()
	return nil
}

// hopHeaders concern one connection only and do not travel on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// EndToEnd returns the headers of a message that travel on, without those that concern
// one connection, named so by the standard or by the Connection header.
func EndToEnd(h http.Header) http.Header {
	named := map[string]bool{}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	kept := make(http.Header, len(h))
	for name, values := range h {
		if !hopHeaders[name] && !named[name] {
			kept[name] = values
		}
	}
	return kept
}

func (x *exchange) head() *bytes.Buffer {
	b := bytes.NewBuffer(make([]byte, 0, 1024+min(len(x.call.Body), inlineBody)))
	b.WriteString(x.call.Method)
	b.WriteByte(' ')
	b.WriteString(x.call.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(x.call.Host)
	b.WriteString("\r\n")
	for name, values := range x.call.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	if len(x.call.Body) > 0 || x.call.Method == http.MethodPost || x.call.Method == http.MethodPut || x.call.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(x.call.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b
}

// readHead reads answers until one belongs to this call.
func (x *exchange) readHead() (*http.Response, error) {
	request := &http.Request{Method: x.call.Method}
	informational := 0
	for surplus := 0; surplus <= maxSurplus; {
		response, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			if informational++; informational > maxInformational {
				break
			}
			continue
		}
		x.pool.heard(x.call.Target, x.call.URI, response.StatusCode, response.Header)
		id := response.Header.Get(x.call.IDHeader)
		if x.call.ID == "" || id == "" || id == x.call.ID {
			return response, nil
		}
		surplus++
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBytes))
		if err != nil || n == maxSurplusBytes {
			return nil, errors.Newf("an answer to another call did not end (%v)", err)
		}
	}
	return nil, errors.New("only answers to other calls came")
}

// Read reads the answer's body. It ends with io.EOF only if the whole body came.
func (x *exchange) Read(buffer []byte) (int, error) {
	n, err := x.response.Body.Read(buffer)
	if err == io.EOF {
		x.whole = true
	}
	return n, err
}

// Close ends the call. The connection is kept if the whole exchange went well.
func (x *exchange) Close() error {
	if x.closed {
		return nil
	}
	x.closed = true
	if !x.whole {
		x.whole = x.atEnd()
	}
	if !x.unhook() || !x.whole || x.response.Close || !x.allWritten() || x.call.MaxRest < 0 {
		x.pool.discard(x.conn)
		return nil
	}
	x.pool.keep(x.conn, keepAlive(x.response.Header))
	return nil
}

// atEnd tells whether a body without bytes has ended.
func (x *exchange) atEnd() bool {
	return x.response.ContentLength == 0 || x.response.Body == http.NoBody
}

// allWritten tells whether the call was sent whole: an endpoint that answered before it
// had read all goes on reading.
func (x *exchange) allWritten() bool {
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

func (x *exchange) fail() {
	x.unhook()
	x.pool.discard(x.conn)
}

// keepAlive returns the time that an answer tells for its connection, or 0.
func keepAlive(h http.Header) time.Duration {
	for _, line := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			seconds, err := strconv.Atoi(value)
			if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
				return time.Duration(max(seconds, 1)) * time.Second
			}
		}
	}
	return 0
}
