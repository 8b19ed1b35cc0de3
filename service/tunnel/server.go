package tunnel

import (
	"context"
	"crypto/subtle"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/reach"
)

const (
	// openTimeout bounds the time to connect to an endpoint. It is shorter than what the caller waits
	// for, so that the caller learns the reason.
	openTimeout = 250 * time.Millisecond
	// copyBuffer is the size of the buffer of each direction of a tunnel. Two per tunnel must fit into
	// the memory of a small instance for maxTunnels tunnels.
	copyBuffer = 4 << 10
	// maxTunnels bounds the tunnels that an instance carries for others.
	maxTunnels = 512
)

// Endpoints gives a server access to the endpoints.
type Endpoints interface {
	// Target returns the endpoint with an ID, if it exists.
	Target(endpoint string) (httpconn.Target, bool)
	// Path returns this instance's path to an endpoint.
	Path(target httpconn.Target) reach.Path
	// Isolated reports whether a failed connection to an endpoint may be due to this instance's links.
	Isolated(target httpconn.Target) bool
	// DialDirect connects to an endpoint directly.
	DialDirect(ctx context.Context, target httpconn.Target) (net.Conn, error)
}

// Server carries tunnels for other instances.
type Server struct {
	endpoints Endpoints
	token     string
	server    *http.Server
	open      atomic.Int64
	opened    *metrics.Counter

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server that registers its metrics in set.
func NewServer(endpoints Endpoints, token string, set *metrics.Set) *Server {
	s := &Server{endpoints: endpoints, token: token, opened: set.NewCounter("cobaltcroft_tunnels_carried_total"), conns: map[net.Conn]struct{}{}}
	set.NewGauge("cobaltcroft_tunnels_open", func() float64 { return float64(s.open.Load()) })
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: openTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: stdlog.New(io.Discard, "", 0)}
	return s
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Open returns the number of open tunnels.
func (s *Server) Open() int { return int(s.open.Load()) }

// Close closes all tunnels.
func (s *Server) Close() {
	_ = s.server.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		httpconn.Reset(underlying(conn))
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.open.Add(1)
	defer s.open.Add(-1)
	endpoint, refused := s.connect(r)
	if refused != nil {
		refused.write(w)
		return
	}
	defer endpoint.Close()
	caller, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer caller.Close()
	defer s.untrack(caller, endpoint)
	if !s.track(caller, endpoint) {
		return
	}
	httpconn.SetSilenceTimeout(underlying(caller))
	response, toCaller := "HTTP/1.1 200 OK\r\n", sink(rawSink{caller})
	if r.Header.Get(headerFrames) == framesChunked {
		response, toCaller = response+headerFrames+": "+framesChunked+"\r\n", newFrameSink(caller)
	}
	// The caller sends nothing before it has this response.
	if _, err := io.WriteString(caller, response+"\r\n"); err != nil {
		return
	}
	s.opened.Inc()
	var both sync.WaitGroup
	both.Go(func() { forward(toCaller, endpoint) })
	both.Go(func() { forward(rawSink{endpoint}, caller) })
	both.Wait()
}

// connect connects to the endpoint that a request names, or returns why it does not.
func (s *Server) connect(r *http.Request) (net.Conn, *refusal) {
	if r.Method != http.MethodConnect || subtle.ConstantTimeCompare([]byte(r.Header.Get(headerToken)), []byte(tokenPrefix+s.token)) != 1 {
		return nil, &refusal{reason: reasonDenied}
	}
	if s.open.Load() > maxTunnels {
		return nil, &refusal{reason: reasonBusy}
	}
	target, known := s.endpoints.Target(r.Header.Get(headerEndpoint))
	if !known {
		return nil, &refusal{reason: reasonUnknown}
	}
	switch s.endpoints.Path(target) {
	case reach.Tunneled:
		return nil, &refusal{reason: reasonPartitioned}
	case reach.None:
		return nil, s.unreached(target, nil)
	case reach.Direct:
	}
	ctx, cancel := context.WithTimeout(r.Context(), openTimeout)
	defer cancel()
	conn, err := s.endpoints.DialDirect(ctx, target)
	if err != nil {
		return nil, s.unreached(target, err)
	}
	return conn, nil
}

// unreached returns the refusal if this instance could not connect to an endpoint. It is a witness
// against the endpoint only if it reaches others. err is the error of an attempt made just now, if any.
func (s *Server) unreached(target httpconn.Target, err error) *refusal {
	if s.endpoints.Isolated(target) {
		return &refusal{reason: reasonPartitioned}
	}
	return &refusal{reason: reasonUnreached, endpointRefused: errors.Is(err, syscall.ECONNREFUSED)}
}

// track registers the connections of a tunnel. It returns false if the server is closed.
func (s *Server) track(conns ...net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range conns {
		s.conns[c] = struct{}{}
	}
	return !s.closed
}

func (s *Server) untrack(conns ...net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range conns {
		delete(s.conns, c)
	}
}

// forward copies what it reads from a connection to the other side of a tunnel. When either side ends, both
// are closed: a connection to an endpoint is not used in one direction alone.
func forward(to sink, from net.Conn) {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				httpconn.Reset(underlying(from))
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			to.end()
			return
		case err != nil:
			to.reset()
			return
		}
	}
}

// underlying returns the connection that a connection wraps, or itself.
func underlying(conn net.Conn) net.Conn {
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return wrapper.NetConn()
	}
	return conn
}
