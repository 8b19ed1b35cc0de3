// Package callers is the face towards callers: HTTP with JSON, and server-sent events
// for streamed answers.
package callers

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/uptrace/bunrouter"

	"github.com/cobaltcroft/cobaltcroft/pkg/atmostonce"
	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/request"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/convert"
)

const (
	// maxRequestID bounds a request id, in bytes.
	maxRequestID = 128
	// maxTicketBody bounds the body of a request for a ticket, in bytes.
	maxTicketBody = 4 << 10
)

// Runner runs requests.
type Runner interface {
	Run(ctx context.Context, r request.Request, sink func(endpoint.Token) error) request.Result
}

// Options of the face.
type Options struct {
	Runner Runner
	Gate   *atmostonce.Gate
	// Pipeline returns the pipeline of a name; nil if there is none.
	Pipeline func(name string) *config.Pipeline
	// Ready tells whether this instance serves.
	Ready func() bool
	// MaxBody bounds a caller's body, in bytes.
	MaxBody int64
	Log     *logrus.Entry
}

// Face answers callers.
type Face struct {
	Options
	router   *bunrouter.Router
	unready  atomic.Bool
	stopping atomic.Bool
}

// New returns the face.
func New(o Options) *Face {
	f := &Face{Options: o, router: bunrouter.New()}
	f.router.POST("/v1/pipelines/:pipeline", f.call)
	f.router.POST("/v1/tickets", f.ticket)
	f.router.GET("/ready", f.ready)
	f.router.GET("/live", func(w http.ResponseWriter, _ bunrouter.Request) error {
		w.WriteHeader(http.StatusOK)
		return nil
	})
	return f
}

// ServeHTTP implements http.Handler.
func (f *Face) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.router.ServeHTTP(w, r) }

// Unready makes the balancer send new requests elsewhere.
func (f *Face) Unready() { f.unready.Store(true) }

// Stopping makes the face refuse new requests, while those in flight go on.
func (f *Face) Stopping() { f.stopping.Store(true) }

func (f *Face) ready(w http.ResponseWriter, _ bunrouter.Request) error {
	status := http.StatusOK
	if f.unready.Load() || !f.Ready() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
	return nil
}

func (f *Face) ticket(w http.ResponseWriter, r bunrouter.Request) error {
	body := api.TicketRequest{}
	if err := decode(w, r.Request, maxTicketBody, &body); err != nil {
		return respond(w, request.Refuse("", err))
	}
	if f.stopping.Load() {
		return respond(w, request.Refuse(body.RequestID, errStopping()))
	}
	if body.Organisation == "" || body.RequestID == "" || len(body.RequestID) > maxRequestID {
		return respond(w, request.Refuse(body.RequestID, problem.New(problem.Invalid, "give organisation and request_id, of at most 128 characters", "a ticket needs both")))
	}
	ticket := f.Gate.IssueTicket(atmostonce.Key{Organisation: body.Organisation, ID: body.RequestID})
	return writeJSON(w, http.StatusOK, api.Ticket{RequestID: body.RequestID, Ticket: ticket, ExpiresInMs: atmostonce.TicketLife.Milliseconds()})
}

func (f *Face) call(w http.ResponseWriter, r bunrouter.Request) error {
	now := time.Now()
	var call api.Call
	if err := decode(w, r.Request, f.MaxBody, &call); err != nil {
		return respond(w, request.Refuse("", err))
	}
	// The server's read timeout is for the body, which is here; an answer may take
	// longer.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	req, err := f.accept(call, r.Param("pipeline"), now)
	if err != nil {
		return respond(w, refuse(call, err))
	}
	if call.Stream {
		return f.stream(w, r, req)
	}
	return respond(w, f.run(r.Context(), req, nil))
}

// refuse answers a call that is not taken in. If it must run at most once, an earlier
// copy of it may have run elsewhere, unless the call itself is wrong.
func refuse(call api.Call, err error) request.Result {
	once := call.Repeatable != nil && !*call.Repeatable
	if once && problem.KindOf(err) == problem.Unavailable {
		return request.Uncertain(call.RequestID, err)
	}
	return request.Refuse(call.RequestID, err)
}

// run runs a request; a not-repeatable one through the gate. The tokens of one that
// is not repeatable come all at the end: a copy of it may be answered from memory.
func (f *Face) run(ctx context.Context, r request.Request, sink func(endpoint.Token) error) request.Result {
	if r.Repeatable {
		return f.Runner.Run(ctx, r, sink)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return f.Gate.Do(ctx, r)
}

// accept checks what can be checked without running anything.
func (f *Face) accept(call api.Call, pipelineName string, now time.Time) (request.Request, error) {
	if f.stopping.Load() {
		return request.Request{}, errStopping()
	}
	pipeline := f.Pipeline(pipelineName)
	if pipeline == nil {
		return request.Request{}, problem.New(problem.NotFound, "name a pipeline that is configured; nothing ran", "no pipeline %q", pipelineName)
	}
	if len(call.Input) == 0 {
		return request.Request{}, problem.New(problem.Invalid, "give input, any JSON value; nothing ran", "the call has no input")
	}
	if len(call.RequestID) > maxRequestID {
		return request.Request{}, problem.New(problem.Invalid, "use at most 128 characters; nothing ran", "request_id has %d characters", len(call.RequestID))
	}
	if call.DeadlineMs < 0 {
		return request.Request{}, problem.New(problem.Invalid, "give a positive number of milliseconds; nothing ran", "deadline_ms is %d", call.DeadlineMs)
	}
	allowed := pipeline.Deadline()
	if asked := time.Duration(call.DeadlineMs) * time.Millisecond; call.DeadlineMs > 0 && asked < allowed {
		allowed = asked
	}
	r := convert.Request(call, pipelineName, now, allowed)
	if r.ID == "" && !r.Repeatable {
		return request.Request{}, problem.New(problem.Invalid, "give a request_id that all copies of the request carry; nothing ran", "a request that is not repeatable has no request_id")
	}
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	return r, nil
}

func errStopping() error {
	return problem.New(problem.Unavailable, "ask another instance; nothing of this copy ran", "this instance is stopping")
}

// decode reads one JSON object of at most limit bytes.
func decode(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return problem.New(problem.Invalid, "send less; nothing ran", "the body is longer than %d bytes", limit)
	}
	if err != nil {
		return problem.Wrap(err, problem.Invalid, "send one JSON object with the fields of docs/CALLERS.md; nothing ran", "the body does not parse")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return problem.New(problem.Invalid, "send one JSON object; nothing ran", "the body goes on after the first object")
	}
	return nil
}

func respond(w http.ResponseWriter, result request.Result) error {
	if result.RetryAfterMs > 0 {
		seconds := (result.RetryAfterMs + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	return writeJSON(w, statusOf(result), convert.Result(result))
}

func writeJSON(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(v)
}

// statusOf returns the HTTP status that fits a result. The outcome in the body says
// more.
func statusOf(r request.Result) int {
	if r.Outcome == request.Answered {
		return http.StatusOK
	}
	if r.Outcome == request.Unknown {
		return http.StatusGatewayTimeout
	}
	if r.Outcome == request.Failed {
		return http.StatusBadGateway
	}
	if r.Problem == nil {
		return http.StatusServiceUnavailable
	}
	switch r.Problem.Kind {
	case problem.Invalid:
		return http.StatusBadRequest
	case problem.NotFound:
		return http.StatusNotFound
	case problem.Overloaded:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}
