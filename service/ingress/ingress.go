// Package ingress serves clients over plain HTTP/1.1. It reads each request completely, has the
// gateway run it and writes the response.
package ingress

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/gateway"
	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/memquota"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

const (
	// The default header limits apply until a configuration sets others; the maximum limits always
	// apply.
	defaultHeaderTimeout = 10 * time.Second
	defaultHeaderBytes   = 64 << 10
	maxHeaderTimeout     = 2 * time.Minute
	maxHeaderBytes       = 1 << 20
	defaultMaxBodyBytes  = 4 << 20
	// bodyTimeout limits the time to read a request body.
	bodyTimeout = 15 * time.Second
	// drainTimeout and maxDrainBytes limit how much of a refused body is read.
	drainTimeout  = 2 * time.Second
	maxDrainBytes = 16 << 20
	// defaultIdleTimeout applies until a configuration sets another idle timeout.
	defaultIdleTimeout = 30 * time.Second
	// keepAliveMargin is subtracted from the idle timeout advertised to clients. It covers the
	// transfer time of a request on a saturated link and the sweep period.
	keepAliveMargin = 5 * time.Second
	// writeMargin is the time to write a response after the request's deadline.
	writeMargin    = time.Second
	defaultMaxWait = time.Minute
	sweepPeriod    = time.Second
	// refusalRetryAfter is the retry delay sent when this instance cannot take a request.
	refusalRetryAfter = 50 * time.Millisecond
)

// Overload judges whether the instance has more work than processor time.
type Overload interface {
	// Admit reports whether a new connection is taken; otherwise it is closed unread.
	Admit() bool
	// Limited reports whether new connections are limited.
	Limited() bool
	// ReportExhausted records that a request was refused for want of memory.
	ReportExhausted()
}

// noOverload takes all connections.
type noOverload struct{}

func (noOverload) Admit() bool      { return true }
func (noOverload) Limited() bool    { return false }
func (noOverload) ReportExhausted() {}

// Options configures a server.
type Options struct {
	Run     func(ctx context.Context, r *gateway.Request, responder gateway.Responder)
	Dialect gateway.Dialect
	// Limits returns the client limits of the current configuration, if there is one.
	Limits func() (route.Limits, bool)
	// Held accounts for the memory of request bodies. If nil, it is unlimited.
	Held *memquota.Quota
	// Overload limits new connections. If nil, all are taken.
	Overload Overload
	Clock    clockwork.Clock
	Log      *logrus.Entry
}

// Server serves requests of clients over HTTP.
type Server struct {
	Options
	server   *http.Server
	inFlight atomic.Int64
	// closeConns disables keep-alive; rejecting rejects new requests.
	closeConns atomic.Bool
	rejecting  atomic.Bool

	clientLimits clientLimits

	mu sync.Mutex
	// idle holds the time since when each connection has been idle; reading, since when it has been
	// receiving a request header.
	idle    map[net.Conn]time.Time
	reading map[net.Conn]time.Time
}

// New returns a server.
func New(o Options) *Server {
	if o.Held == nil {
		o.Held = memquota.NewQuota(0)
	}
	if o.Overload == nil {
		o.Overload = noOverload{}
	}
	s := &Server{Options: o, idle: map[net.Conn]time.Time{}, reading: map[net.Conn]time.Time{}}
	s.server = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: maxHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.connState,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
	}
	return s
}

// Serve accepts connections until the server is closed.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.server.Serve(&trackingListener{listener, s}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// DisableKeepAlives disables keep-alive, so that clients move to other instances.
func (s *Server) DisableKeepAlives() { s.closeConns.Store(true) }

// RejectRequests rejects new requests.
func (s *Server) RejectRequests() { s.rejecting.Store(true) }

// Close closes the listener and all connections.
func (s *Server) Close() { _ = s.server.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.setKeepAlive(w.Header())
	uri := requestURI(r)
	path, _, _ := strings.Cut(uri, "?")
	request := &gateway.Request{
		Arrived: s.Clock.Now(),
		Method:  r.Method,
		URI:     uri,
		Path:    path,
		Host:    r.Host,
		Header:  httpconn.EndToEnd(r.Header),
	}
	writer := &responder{writer: w, control: http.NewResponseController(w)}
	s.handle(writer, r, request)
	if writer.aborted {
		panic(http.ErrAbortHandler)
	}
}

// setKeepAlive advertises the idle timeout, or closes the connection after the response. Clients that keep
// connections to an instance with too much work would stay there.
func (s *Server) setKeepAlive(h http.Header) {
	if s.closeConns.Load() || s.Overload.Limited() {
		h.Set("Connection", "close")
		return
	}
	idle := s.clientLimits.update(s.Limits()).IdleTimeout - keepAliveMargin
	if seconds := int(idle / time.Second); seconds > 0 {
		h.Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
	}
}

// handle runs a request. If the handler fails without a response, it sends an internal error, or
// aborts the connection if the response has already started.
func (s *Server) handle(writer *responder, r *http.Request, request *gateway.Request) {
	defer func() {
		fault := recover()
		clientGone := r.Context().Err() != nil
		if fault == nil && (writer.started || clientGone) {
			return
		}
		s.Log.WithFields(logrus.Fields{"event": "request_unanswered", "id": request.ID, "begun": writer.started, "fault": fault}).Error()
		if writer.started {
			writer.Abort()
			return
		}
		s.refuse(writer, request, refuseInternal())
	}()
	body := s.Held.NewReservation()
	defer body.Release()
	if refusal := s.read(writer, r, request, body); refusal != nil {
		if refusal.Reason == reasonNoMemory {
			s.Overload.ReportExhausted()
		}
		s.refuse(writer, request, refusal)
		return
	}
	s.Run(r.Context(), request, writer)
}

// refuseInternal does not claim that the request has not run.
func refuseInternal() *gateway.Refusal {
	return &gateway.Refusal{Status: http.StatusInternalServerError, Reason: "internal", Message: "an internal error occurred; the request may have run; report its id to the operators of the service"}
}

// requestURI returns the path and query as sent by the client.
func requestURI(r *http.Request) string {
	if len(r.RequestURI) > 0 && r.RequestURI[0] == '/' {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// read validates the headers and reads the body.
func (s *Server) read(writer *responder, r *http.Request, request *gateway.Request, reservation *memquota.Reservation) *gateway.Refusal {
	if s.rejecting.Load() {
		return gateway.RefuseStopping()
	}
	if headerSize(r) > s.clientLimits.update(s.Limits()).HeaderBytes {
		return refuseHeader()
	}
	if err := s.Dialect.Describe(r.Header, request); err != nil {
		return &gateway.Refusal{Status: http.StatusBadRequest, Reason: "bad_header", Message: err.Error()}
	}
	limit := int64(defaultMaxBodyBytes)
	if limits, known := s.Limits(); known && limits.BodyBytes > 0 {
		limit = limits.BodyBytes
	}
	if r.ContentLength > limit {
		drainBody(writer, r)
		return refuseBody(limit)
	}
	if refusal := readBody(writer, r, request, limit, reservation); refusal != nil {
		return refusal
	}
	if s.rejecting.Load() {
		// Reading the body may have taken until now.
		return gateway.RefuseStopping()
	}
	wait := request.MaxWait
	if wait == 0 {
		wait = defaultMaxWait
	}
	_ = writer.control.SetWriteDeadline(time.Now().Add(wait + writeMargin))
	return nil
}

// drainBody reads a limited part of a refused body. Without it, the client would see a connection
// reset instead of the response.
func drainBody(writer *responder, r *http.Request) {
	_ = writer.control.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, maxDrainBytes)
}

func readBody(writer *responder, r *http.Request, request *gateway.Request, limit int64, reservation *memquota.Reservation) *gateway.Refusal {
	if r.ContentLength == 0 {
		return nil
	}
	tracked, admitted := trackBody(http.MaxBytesReader(nil, r.Body, limit), r.ContentLength, reservation)
	if !admitted {
		drainBody(writer, r)
		return refuseMemory()
	}
	_ = writer.control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(tracked)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, memquota.ErrExhausted):
		drainBody(writer, r)
		return refuseMemory()
	case errors.As(err, &tooLarge):
		drainBody(writer, r)
		return refuseBody(limit)
	case err != nil:
		return &gateway.Refusal{Status: http.StatusBadRequest, Reason: "bad_body", Message: "the request body is incomplete; send the complete body"}
	}
	_ = writer.control.SetReadDeadline(time.Time{})
	request.Body = body
	return nil
}

func refuseBody(limit int64) *gateway.Refusal {
	return &gateway.Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body_too_large", Message: "the body exceeds " + strconv.FormatInt(limit, 10) + " bytes; send a smaller one"}
}

// refuse responds to a request that is not passed to the gateway.
func (s *Server) refuse(writer *responder, request *gateway.Request, refusal *gateway.Refusal) {
	s.Log.WithFields(logrus.Fields{"event": "request", "id": request.ID, "status": refusal.Status, "outcome": refusal.Reason}).Info()
	h := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if refusal.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	writer.Respond(refusal.Status, h, []byte(refusal.Error()+"\n"))
}
