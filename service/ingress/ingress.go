// Package ingress is the face to clients that speak plain HTTP/1.1: it reads their
// requests whole, has the gateway run them, and writes the answers.
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
	// headerTimeout and headerBytes bound slow and large heads until a configuration
	// says otherwise, and longestHead and largestHead whatever it says; bodyBytes bounds
	// bodies.
	headerTimeout = 10 * time.Second
	headerBytes   = 64 << 10
	longestHead   = 2 * time.Minute
	largestHead   = 1 << 20
	bodyBytes     = 4 << 20
	// bodyTimeout bounds how long a body may take.
	bodyTimeout = 15 * time.Second
	// drainTimeout and drainBytes bound what is read of a body that is refused.
	drainTimeout = 2 * time.Second
	drainBytes   = 16 << 20
	// idleTimeout is how long a connection may rest until a configuration says
	// otherwise.
	idleTimeout = 30 * time.Second
	// restMargin is how much sooner than they are closed clients are told to leave resting
	// connections: a request takes as long to come on a full link, and the sweep comes each second.
	restMargin = 5 * time.Second
	// writeSlack is how long after a request's time its answer may still be written.
	writeSlack  = time.Second
	defaultWait = time.Minute
	// sweepPeriod is the time between looks for connections that rest too long.
	sweepPeriod = time.Second
	// comeBack is when clients may come back that were refused while this instance
	// stops.
	comeBack = 50 * time.Millisecond
)

// Options of the face.
type Options struct {
	Run     func(ctx context.Context, r *gateway.Request, responder gateway.Responder)
	Dialect gateway.Dialect
	// Limits returns what the configuration in force allows clients.
	Limits func() (route.Limits, bool)
	// Held counts the bodies that are held for clients; nil: any number may be.
	Held  *memquota.Quota
	Clock clockwork.Clock
	Log   *logrus.Entry
}

// Face serves clients.
type Face struct {
	Options
	server   *http.Server
	inFlight atomic.Int64
	// leaving has clients told to use other connections; refusing refuses requests.
	leaving  atomic.Bool
	refusing atomic.Bool

	allowance allowance

	mu sync.Mutex
	// idle has the connections at rest, and since when; reading those that send the head
	// of a request.
	idle    map[net.Conn]time.Time
	reading map[net.Conn]time.Time
}

// New returns a face.
func New(o Options) *Face {
	if o.Held == nil {
		o.Held = memquota.NewQuota(0)
	}
	f := &Face{Options: o, idle: map[net.Conn]time.Time{}, reading: map[net.Conn]time.Time{}}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: longestHead,
		MaxHeaderBytes:    largestHead,
		ConnState:         f.connState,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
	}
	return f
}

// Serve serves connections until the face is closed.
func (f *Face) Serve(listener net.Listener) error {
	if err := f.server.Serve(&headListener{listener, f}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// InFlight is the number of requests under way.
func (f *Face) InFlight() int64 { return f.inFlight.Load() }

// Leave has clients told with each answer to use another connection.
func (f *Face) Leave() { f.leaving.Store(true) }

// Refuse has further requests refused.
func (f *Face) Refuse() { f.refusing.Store(true) }

// Close closes listener and connections.
func (f *Face) Close() { _ = f.server.Close() }

// ServeHTTP implements http.Handler.
func (f *Face) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	f.tellRest(w.Header())
	uri := requestURI(r)
	path, _, _ := strings.Cut(uri, "?")
	request := &gateway.Request{
		Arrived: f.Clock.Now(),
		Method:  r.Method,
		URI:     uri,
		Path:    path,
		Host:    r.Host,
		Header:  httpconn.EndToEnd(r.Header),
	}
	writer := &responder{writer: w, control: http.NewResponseController(w)}
	f.answer(writer, r, request)
	if writer.broken {
		panic(http.ErrAbortHandler)
	}
}

// tellRest tells a client how long its connection may rest after this answer.
func (f *Face) tellRest(h http.Header) {
	if f.leaving.Load() {
		h.Set("Connection", "close")
		return
	}
	rest := f.allowance.take(f.Limits()).IdleTimeout - restMargin
	if seconds := int(rest / time.Second); seconds > 0 {
		h.Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
	}
}

// answer has a request answered. Every request that was read ends here: one that nobody
// answered, for a fault of ours, gets an answer all the same, or is broken off where that has begun.
func (f *Face) answer(writer *responder, r *http.Request, request *gateway.Request) {
	defer func() {
		fault := recover()
		clientLeft := r.Context().Err() != nil
		if fault == nil && (writer.answered || clientLeft) {
			return
		}
		f.Log.WithFields(logrus.Fields{"event": "request_unanswered", "id": request.ID, "begun": writer.answered, "fault": fault}).Error()
		if writer.answered {
			writer.Abort()
			return
		}
		f.refuse(writer, request, failInternal())
	}()
	body := &heldBody{account: f.Held}
	defer body.free()
	if refusal := f.read(writer, r, request, body); refusal != nil {
		f.refuse(writer, request, refusal)
		return
	}
	f.Run(r.Context(), request, writer)
}

// failInternal promises nothing: the request may have run.
func failInternal() *gateway.Refusal {
	return &gateway.Refusal{Status: http.StatusInternalServerError, Reason: "internal", Message: "this instance failed on the request, which may have run; send its id to those who run it"}
}

// requestURI returns path and query as the client sent them.
func requestURI(r *http.Request) string {
	if len(r.RequestURI) > 0 && r.RequestURI[0] == '/' {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// read takes the request's headers and body in.
func (f *Face) read(writer *responder, r *http.Request, request *gateway.Request, held *heldBody) *gateway.Refusal {
	if f.refusing.Load() {
		return &gateway.Refusal{Status: http.StatusServiceUnavailable, RetryAfter: comeBack, Reason: "stopping", Message: "this instance stops; the request has not run; send it to another"}
	}
	if headSize(r) > f.allowance.take(f.Limits()).HeaderBytes {
		return refuseHead()
	}
	if err := f.Dialect.Describe(r.Header, request); err != nil {
		return &gateway.Refusal{Status: http.StatusBadRequest, Reason: "bad_header", Message: err.Error()}
	}
	limit := int64(bodyBytes)
	if limits, known := f.Limits(); known && limits.BodyBytes > 0 {
		limit = limits.BodyBytes
	}
	if r.ContentLength > limit {
		drain(writer, r)
		return refuseBody(limit)
	}
	if refusal := readBody(writer, r, request, limit, held); refusal != nil {
		return refusal
	}
	wait := request.MaxWait
	if wait == 0 {
		wait = defaultWait
	}
	_ = writer.control.SetWriteDeadline(time.Now().Add(wait + writeSlack))
	return nil
}

// drain reads what a client still sends of a body that is refused, within bounds: a client
// whose bytes are not read sees a reset instead of the answer.
func drain(writer *responder, r *http.Request) {
	_ = writer.control.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, drainBytes)
}

func readBody(writer *responder, r *http.Request, request *gateway.Request, limit int64, held *heldBody) *gateway.Refusal {
	if r.ContentLength == 0 {
		return nil
	}
	if !held.take(r.ContentLength) {
		drain(writer, r)
		return refuseMemory()
	}
	_ = writer.control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(held.counted(http.MaxBytesReader(nil, r.Body, limit)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		drain(writer, r)
		return refuseMemory()
	case errors.As(err, &tooLarge):
		drain(writer, r)
		return refuseBody(limit)
	case err != nil:
		return &gateway.Refusal{Status: http.StatusBadRequest, Reason: "bad_body", Message: "the body broke off; send it whole"}
	}
	_ = writer.control.SetReadDeadline(time.Time{})
	request.Body = body
	return nil
}

func refuseBody(limit int64) *gateway.Refusal {
	return &gateway.Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body_too_large", Message: "the body is longer than " + strconv.FormatInt(limit, 10) + " bytes; send less"}
}

// refuse answers a request that never came to the gateway.
func (f *Face) refuse(writer *responder, request *gateway.Request, refusal *gateway.Refusal) {
	f.Log.WithFields(logrus.Fields{"event": "request", "id": request.ID, "status": refusal.Status, "outcome": refusal.Reason}).Info()
	h := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if refusal.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	writer.Respond(refusal.Status, h, []byte(refusal.Error()+"\n"))
}
