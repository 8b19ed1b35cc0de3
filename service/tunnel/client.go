package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

const (
	// peerDialTimeout bounds the time to connect to the other instance, answerTimeout the time until it
	// has answered, which includes its openTimeout.
	peerDialTimeout = 150 * time.Millisecond
	answerTimeout   = openTimeout + 150*time.Millisecond
)

// Client opens tunnels through other instances.
type Client struct{ Token string }

// RefusedError is returned if the other instance answered, but opened no tunnel. If the endpoint had
// refused its connection, errors.Is finds syscall.ECONNREFUSED in it.
type RefusedError struct {
	Reason string
	// EndpointRefused is set if the endpoint refused the connection of the other instance, so that
	// nothing listens on its address.
	EndpointRefused bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "the other instance opened no tunnel: " + e.Reason + " (remedy: use another endpoint)"
}

// Is makes a refused connection to the endpoint look like one of this instance.
func (e *RefusedError) Is(target error) bool {
	return e.EndpointRefused && target == error(syscall.ECONNREFUSED)
}

// IsUnreached reports whether err says that the other instance tried to connect to the endpoint, and
// failed.
func IsUnreached(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Reason == string(reasonUnreached)
}

// Open opens a tunnel to an endpoint through the instance with the given peer address. If it fails,
// the endpoint has received nothing.
func (c Client) Open(ctx context.Context, peer, endpoint string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1}).DialContext(ctx, "tcp", peer)
	if err != nil {
		return nil, problem.Wrap(err, problem.Unavailable, "use another instance", "cannot connect to peer %s", peer)
	}
	framed, err := c.open(ctx, conn, endpoint)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	httpconn.SetSilenceTimeout(conn)
	if framed {
		return &tunnel{Conn: conn, frames: newFrameReader(conn)}, nil
	}
	return &tunnel{Conn: conn}, nil
}

// open requests the tunnel on a connection to the other instance, and returns whether it sends frames.
func (c Client) open(ctx context.Context, conn net.Conn, endpoint string) (framed bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return false, err
	}
	request := &http.Request{Method: http.MethodConnect, URL: &url.URL{Host: tunnelHost}, Host: tunnelHost, Header: http.Header{headerToken: {tokenPrefix + c.Token}, headerEndpoint: {endpoint}, headerFrames: {framesChunked}}}
	if err := request.Write(conn); err != nil {
		return false, problem.Wrap(err, problem.Unavailable, "use another instance", "cannot request a tunnel to endpoint %s", endpoint)
	}
	// The endpoint sends nothing before a request, so that the reader buffers no bytes of the tunnel.
	response, err := http.ReadResponse(bufio.NewReaderSize(io.LimitReader(conn, maxHeaderBytes), maxHeaderBytes), request)
	if err != nil {
		return false, problem.Wrap(err, problem.Unavailable, "use another instance; one of an earlier build opens no tunnels", "no answer to the request for a tunnel to endpoint %s", endpoint)
	}
	if response.StatusCode != http.StatusOK {
		return false, &RefusedError{Reason: response.Header.Get(headerReason), EndpointRefused: response.Header.Get(headerEndpointRefused) != ""}
	}
	if !stop() {
		return false, ctx.Err()
	}
	return response.Header.Get(headerFrames) == framesChunked, conn.SetDeadline(time.Time{})
}

// tunnel is the connection to an endpoint through another instance.
type tunnel struct {
	net.Conn
	// frames reads what the other instance sends in frames; nil if it is of an earlier build.
	frames io.Reader
}

// SetLinger is that of the connection to the other instance.
func (t *tunnel) SetLinger(seconds int) error {
	tcp, ok := t.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return tcp.SetLinger(seconds)
}

// Read implements net.Conn. Without frames, the end of a tunnel does not show whether the endpoint closed
// its connection or the other instance has ended, so that it is an error.
func (t *tunnel) Read(buffer []byte) (int, error) {
	if t.frames != nil {
		return t.frames.Read(buffer)
	}
	n, err := t.Conn.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
