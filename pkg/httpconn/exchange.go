package httpconn

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

const (
	// maxInlineBody is the largest body that is written before the response is read. A larger body
	// is written concurrently, because an endpoint may respond before it has read all of it.
	maxInlineBody = 8 << 10
	// maxStale and maxStaleBytes limit the responses to earlier calls that are skipped.
	maxStale      = 4
	maxStaleBytes = 1 << 20
	// maxInformational limits the 1xx responses that are skipped.
	maxInformational = 8
)

// Call is a request to an endpoint.
type Call struct {
	Target Target
	Method string
	// URI is the request target: path and query.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the expected value of the response header IDHeader. A response with another value
	// belongs to another call and is skipped. If ID is empty, any response is accepted.
	ID       string
	IDHeader string
	// MaxIdle is the longest idle time of a reused connection. If negative, a new connection is
	// opened.
	MaxIdle time.Duration
	// Control marks a short call that carries no request of a client.
	Control bool
	// Repeatable allows the pool to break off the call when its connection leads over a silent link.
	Repeatable bool
}

// Response is the response of an endpoint. The caller must close its body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// ConnectedAt is when the connection that carries the response was opened. It leads to the same
	// incarnation of the endpoint since.
	ConnectedAt time.Time
	// Framed reports whether the body has a length or chunks. The body of others ends with the connection,
	// whatever ended that.
	Framed bool
	// Length is the announced length of the body in bytes, or -1 if there is none.
	Length int64
}

// NotSentError is returned if no part of the call reached the endpoint.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

func notSent(cause error) error { return &NotSentError{Cause: cause} }

// NotSent reports whether err is a NotSentError.
func NotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// BlockedError is returned if a gate blocked a call or a connection.
type BlockedError struct{ Cause error }

// Error implements error.
func (e *BlockedError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *BlockedError) Unwrap() error { return e.Cause }

// IsBlocked reports whether err is a BlockedError. It does not indicate a fault of the endpoint.
func IsBlocked(err error) bool {
	var e *BlockedError
	return errors.As(err, &e)
}

// AllInUseError is returned if all connections that this instance may open to an endpoint are in use.
type AllInUseError struct{ Cause error }

// Error implements error.
func (e *AllInUseError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *AllInUseError) Unwrap() error { return e.Cause }

// IsAllInUse reports whether err is an AllInUseError. It does not indicate a fault of the endpoint.
func IsAllInUse(err error) bool {
	var e *AllInUseError
	return errors.As(err, &e)
}

// LinkLostError is returned if a call was broken off because its connection led over a silent link,
// while other instances reach the endpoint. The endpoint may have processed the call.
type LinkLostError struct{}

// Error implements error.
func (*LinkLostError) Error() string {
	return "the link to the endpoint is silent (remedy: send the call over another path)"
}

// IsLinkLost reports whether err is a LinkLostError. It does not indicate a fault of the endpoint.
func IsLinkLost(err error) bool {
	var e *LinkLostError
	return errors.As(err, &e)
}

// Do sends a call and returns the response once its header has been read. If it fails and the error
// is not a NotSentError, the endpoint may have processed the call. The connection is closed when
// ctx is done.
func (p *Pool) Do(ctx context.Context, call Call) (*Response, error) {
	for _, check := range []Gate{p.gates.Connect, p.gates.Send} {
		if err := p.check(check, call.Target); err != nil {
			return nil, err
		}
	}
	c, err := p.acquire(ctx, call)
	if err != nil {
		return nil, err
	}
	for _, check := range []Gate{p.gates.Send, p.gates.Permit} {
		if err := p.check(check, call.Target); err != nil {
			// The endpoint may have been blocked, or its limit used up by other calls, while this
			// call waited for a connection.
			p.put(c, 0)
			return nil, err
		}
	}
	x := &exchange{pool: p, conn: c, call: call, written: make(chan error, 1)}
	x.stopWatch = context.AfterFunc(ctx, c.reset)
	p.begin(x)
	if err := x.write(); err != nil {
		x.abort()
		return nil, problem.Wrap(x.cause(err), problem.Unknown, "the call may have run; retry it only if it is idempotent", "sending the call to endpoint %s failed", call.Target.ID)
	}
	check := p.clock.AfterFunc(silenceCheckAfter, func() { p.checkSilence(x) })
	response, err := x.readHeader()
	check.Stop()
	if err != nil {
		x.abort()
		return nil, problem.Wrap(x.cause(err), problem.Unknown, "the call may have run; retry it only if it is idempotent", "endpoint %s did not respond", call.Target.ID)
	}
	p.heard(x)
	x.response = response
	return &Response{Status: response.StatusCode, Header: response.Header, Body: x, ConnectedAt: c.openedAt, Framed: framed(response), Length: response.ContentLength}, nil
}

func framed(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// exchange is a call in progress. It implements io.ReadCloser for the response body.
type exchange struct {
	pool      *Pool
	conn      *conn
	call      Call
	stopWatch func() bool
	written   chan error
	response  *http.Response
	complete  bool
	closed    bool
	// linkLost is set if the pool broke off the call.
	linkLost atomic.Bool
}

// cause returns the error of a call that failed with err.
func (x *exchange) cause(err error) error {
	if x.linkLost.Load() {
		return &LinkLostError{}
	}
	return err
}

func (x *exchange) write() error {
	header := x.header()
	if len(x.call.Body) <= maxInlineBody {
		header.Write(x.call.Body)
		_, err := x.conn.Write(header.Bytes())
		x.written <- err
		return err
	}
	if _, err := x.conn.Write(header.Bytes()); err != nil {
		return err
	}
	go func() {
		_, err := x.conn.Write(x.call.Body)
		x.written <- err
	}()
	return nil
}

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// EndToEnd returns the headers without the hop-by-hop ones: the standard ones and those listed in
// the Connection header.
func EndToEnd(h http.Header) http.Header {
	hopByHop := map[string]bool{}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			hopByHop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	endToEnd := make(http.Header, len(h))
	for name, values := range h {
		if !hopHeaders[name] && !hopByHop[name] {
			endToEnd[name] = values
		}
	}
	return endToEnd
}

func (x *exchange) header() *bytes.Buffer {
	b := bytes.NewBuffer(make([]byte, 0, 1024+min(len(x.call.Body), maxInlineBody)))
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

// readHeader reads responses until one belongs to this call.
func (x *exchange) readHeader() (*http.Response, error) {
	request := &http.Request{Method: x.call.Method}
	informational := 0
	for stale := 0; stale <= maxStale; {
		response, err := x.conn.responses.next(request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			if informational++; informational > maxInformational {
				break
			}
			continue
		}
		x.pool.observe(x.call.Target, x.call.URI, response.StatusCode, response.Header)
		id := response.Header.Get(x.call.IDHeader)
		if x.call.ID == "" || id == "" || id == x.call.ID {
			return response, nil
		}
		stale++
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBytes))
		if err != nil || n == maxStaleBytes {
			return nil, errors.Newf("cannot skip a response to another call (%v)", err)
		}
	}
	return nil, errors.New("received only responses to other calls")
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete body.
func (x *exchange) Read(buffer []byte) (int, error) {
	n, err := x.response.Body.Read(buffer)
	if err == io.EOF {
		x.complete = true
		return n, err
	}
	return n, x.cause(err)
}

// Close ends the call. The connection is reused if both request and response are complete.
func (x *exchange) Close() error {
	if x.closed {
		return nil
	}
	x.closed = true
	x.pool.end(x)
	if !x.complete {
		x.complete = x.emptyBody()
	}
	if !x.complete {
		x.stopWatch()
		x.pool.discardBroken(x.conn)
		return nil
	}
	if !x.stopWatch() || x.response.Close || !x.requestSent() || x.call.MaxIdle < 0 {
		x.pool.discard(x.conn)
		return nil
	}
	x.pool.put(x.conn, keepAlive(x.response.Header))
	return nil
}

// emptyBody reports whether the response has no body.
func (x *exchange) emptyBody() bool {
	return x.response.ContentLength == 0 || x.response.Body == http.NoBody
}

// requestSent reports whether the request has been written completely. An endpoint may respond
// before it has read all of it.
func (x *exchange) requestSent() bool {
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

func (x *exchange) abort() {
	x.pool.end(x)
	x.stopWatch()
	x.pool.discardBroken(x.conn)
}

// keepAlive returns the timeout in the Keep-Alive header, or 0 if there is none.
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
